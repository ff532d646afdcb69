#ifndef JSON_CHECK_H
#define JSON_CHECK_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Parsing of JSON with comments, checked against a table of the keys that an
 * object may have, and access to members of JSON objects. Text that passes has
 * no unknown, duplicate, missing, ill-typed or out-of-range key.
 */
enum jcheck_type {
	JCHECK_STRING, /* min and max bound its length in bytes */
	JCHECK_INT, /* min and max bound its value */
	JCHECK_REAL, /* min and max bound its value */
	JCHECK_BOOL,
	JCHECK_STRINGS, /* array of strings */
	JCHECK_OBJECT, /* sub describes its keys */
	JCHECK_OBJECTS, /* array of objects, sub describes the keys of each */
	JCHECK_REALS, /* object with any keys whose values are all numbers */
	JCHECK_ANY, /* not checked */
};

struct jcheck_key {
	const char *name; /* NULL ends a table */
	enum jcheck_type kind;
	bool required;
	double min; /* no bounds if min and max are both 0 */
	double max;
	const struct jcheck_key *sub; /* table of the nested object's keys */
	size_t offset; /* of the field that jcheck_fill_struct sets */
	const char *help; /* for people */
};

enum jcheck_error {
	JCHECK_ERROR_SYNTAX, /* not JSON */
	JCHECK_ERROR_KEY, /* breaks a rule of the table */
	JCHECK_ERROR_READ,
};

#define JCHECK_ERROR (jcheck_error_quark())
GQuark jcheck_error_quark(void);

struct json_object *jcheck_parse(const char *source, const char *text,
				 const struct jcheck_key *keys, GError **err);
struct json_object *
jcheck_read_file(const char *path, const struct jcheck_key *keys, GError **err);
void jcheck_fill_struct(void *target, struct json_object *obj,
			const struct jcheck_key *keys);
const char *jcheck_get_string(struct json_object *obj, const char *key,
			      const char *fallback);
const char *jcheck_get_name(struct json_object *obj, const char *key);
int64_t jcheck_get_int(struct json_object *obj, const char *key,
		       int64_t fallback);
uint32_t jcheck_get_bounded(struct json_object *obj, const char *key,
			    uint32_t fallback, uint32_t max);
double jcheck_get_real(struct json_object *obj, const char *key,
		       double fallback);
struct json_object *jcheck_get(struct json_object *obj, const char *key);
void jcheck_add_string(struct json_object *obj, const char *key,
		       const char *val);
size_t jcheck_array_length(struct json_object *array);

#endif
