#ifndef JSON_SPAN_H
#define JSON_SPAN_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>

/*
 * Splits JSON texts by strings and brackets alone, without a limit on depth, so
 * that parts which can't be parsed don't hide the others.
 */

/* Part of a text; valid as long as that. */
struct json_span {
	const char *text; /* NULL: absent */
	size_t len;
};

/* A position among the members of an object or the elements of an array. */
struct json_cursor {
	const char *p;
	const char *end;
	char close; /* the bracket that ends them */
	bool ended; /* at that bracket */
	struct json_span key; /* of a member, without quotes */
	struct json_span value;
};

bool json_cursor_open(struct json_cursor *c, struct json_span span, char open);
bool json_cursor_next(struct json_cursor *c);
bool json_cursor_is_key(const struct json_cursor *c, const char *key);
struct json_span json_span_member(struct json_span object, const char *key);
bool json_span_is_true(struct json_span span);
struct json_object *json_span_parse(struct json_span span);

#endif
