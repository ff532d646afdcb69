#ifndef FLEET_PACKED_JSON_H
#define FLEET_PACKED_JSON_H

#include <json-c/json.h>
#include <stddef.h>

/*
 * A JSON document as text that can be sent inside another one and is much
 * shorter: compressed by zlib, in base64. All nodes fetch a new configuration at
 * the same moment.
 */
char *packed_json_new(struct json_object *doc, size_t *len);
struct json_object *packed_json_parse(const char *packed, size_t len,
				      size_t max_len);

#endif
