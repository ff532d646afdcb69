#ifndef CONFIG_GENERATE_H
#define CONFIG_GENERATE_H

#include <glib.h>
#include <json-c/json.h>

struct json_object *cfg_generate(const char *source, const char *text,
				 GError **err);

#endif
