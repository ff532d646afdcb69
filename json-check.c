#include "json-check.h"

#include <string.h>

G_DEFINE_QUARK(jcheck - error - quark, jcheck_error)

#define MAX_DEPTH 16 /* of nested objects and arrays */

/*
 * A pass over the text that finds the line of each key and duplicate keys,
 * which json-c's parser doesn't report.
 */
struct scan {
	const char *source; /* name of the text in errors */
	const char *text;
	size_t pos; /* offset into text */
	int line; /* of pos, from 1 */
	GHashTable *lines; /* path of a key -> its line */
	GError *error; /* the first one found */
};

/* Skips a comment of either form; pos is at its first slash. */
static void skip_comment(struct scan *s)
{
	const char *end;

	if (s->text[s->pos + 1] == '/') {
		while (s->text[s->pos] && s->text[s->pos] != '\n')
			s->pos++;
		return;
	}
	end = strstr(s->text + s->pos + 2, "*/");
	while (s->text[s->pos] && (!end || s->text + s->pos < end + 2)) {
		if (s->text[s->pos] == '\n')
			s->line++;
		s->pos++;
	}
}

static bool is_at_comment(const struct scan *s)
{
	return s->text[s->pos] == '/' &&
	       (s->text[s->pos + 1] == '/' || s->text[s->pos + 1] == '*');
}

static void skip_space(struct scan *s)
{
	for (;;) {
		if (is_at_comment(s)) {
			skip_comment(s);
			continue;
		}
		if (!s->text[s->pos] || !strchr(" \t\r\n", s->text[s->pos]))
			return;
		if (s->text[s->pos] == '\n')
			s->line++;
		s->pos++;
	}
}

/*
 * Skips a string and returns its text without quotes, escapes as they are; the
 * caller frees it.
 */
static char *scan_string(struct scan *s)
{
	size_t start = ++s->pos;
	char *key;

	while (s->text[s->pos] && s->text[s->pos] != '"') {
		if (s->text[s->pos] == '\\' && s->text[s->pos + 1])
			s->pos++;
		s->pos++;
	}
	key = g_strndup(s->text + start, s->pos - start);
	if (s->text[s->pos])
		s->pos++;
	return key;
}

static void scan_value(struct scan *s, const char *path, int depth);

static void scan_member(struct scan *s, const char *path, int depth)
{
	g_autofree char *key = scan_string(s);
	g_autofree char *full_path = g_strdup_printf("%s/%s", path, key);

	if (g_hash_table_contains(s->lines, full_path) && !s->error)
		g_set_error(&s->error, JCHECK_ERROR, JCHECK_ERROR_KEY,
			    "%s:%d: key '%s' is repeated", s->source, s->line,
			    full_path + 1);
	g_hash_table_insert(s->lines, g_strdup(full_path),
			    GINT_TO_POINTER(s->line));
	skip_space(s);
	if (s->text[s->pos] == ':')
		s->pos++;
	scan_value(s, full_path, depth + 1);
}

static void scan_object(struct scan *s, const char *path, int depth)
{
	s->pos++;
	for (;;) {
		skip_space(s);
		if (s->text[s->pos] != '"')
			break;
		scan_member(s, path, depth);
		skip_space(s);
		if (s->text[s->pos] == ',')
			s->pos++;
	}
	if (s->text[s->pos] == '}')
		s->pos++;
}

static void scan_array(struct scan *s, const char *path, int depth)
{
	int index = 0;

	s->pos++;
	for (;;) {
		g_autofree char *full_path = NULL;
		size_t before;

		skip_space(s);
		if (!s->text[s->pos] || s->text[s->pos] == ']')
			break;
		before = s->pos;
		full_path = g_strdup_printf("%s[%d]", path, index++);
		scan_value(s, full_path, depth + 1);
		skip_space(s);
		if (s->text[s->pos] == ',')
			s->pos++;
		if (s->pos == before)
			break;
	}
	if (s->text[s->pos] == ']')
		s->pos++;
}

static void scan_value(struct scan *s, const char *path, int depth)
{
	skip_space(s);
	if (depth > MAX_DEPTH)
		return;
	switch (s->text[s->pos]) {
	case '{':
		scan_object(s, path, depth);
		return;
	case '[':
		scan_array(s, path, depth);
		return;
	case '"':
		g_free(scan_string(s));
		return;
	default:
		while (s->text[s->pos] &&
		       !strchr(",]} \t\r\n/", s->text[s->pos]))
			s->pos++;
	}
}

/*
 * Rejects text that this pass could not scan to its end, since it has not seen
 * all keys. json-c's parser accepts more than JSON with comments.
 */
static void check_end(struct scan *s)
{
	skip_space(s);
	if (s->text[s->pos] && !s->error)
		g_set_error(&s->error, JCHECK_ERROR, JCHECK_ERROR_SYNTAX,
			    "%s:%d: text cannot be read from byte %zu on",
			    s->source, s->line, s->pos);
}

static int line_of(const struct scan *s, const char *path)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(s->lines, path));
}

/* Records an error for the key at `path`, unless there is one already. */
static void report_error(struct scan *s, const char *path, const char *fmt, ...)
	G_GNUC_PRINTF(3, 4);

static void report_error(struct scan *s, const char *path, const char *fmt, ...)
{
	g_autofree char *reason = NULL;
	va_list ap;

	if (s->error)
		return;
	va_start(ap, fmt);
	reason = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_set_error(&s->error, JCHECK_ERROR, JCHECK_ERROR_KEY,
		    "%s:%d: key '%s' %s", s->source, line_of(s, path),
		    path[0] ? path + 1 : path, reason);
}

static void check_object(struct scan *s, const char *path,
			 struct json_object *obj,
			 const struct jcheck_key *keys);

static void check_range(struct scan *s, const char *path,
			const struct jcheck_key *key, double value,
			const char *what)
{
	if (key->min == 0 && key->max == 0)
		return;
	if (value < key->min || value > key->max)
		report_error(s, path, "has %s %g, outside %g to %g", what,
			     value, key->min, key->max);
}

static void check_strings(struct scan *s, const char *path,
			  struct json_object *val)
{
	if (!json_object_is_type(val, json_type_array)) {
		report_error(s, path, "must be an array of strings");
		return;
	}
	for (size_t i = 0; i < jcheck_array_length(val); i++)
		if (!json_object_is_type(json_object_array_get_idx(val, i),
					 json_type_string))
			report_error(s, path, "must contain only strings");
}

static void check_objects(struct scan *s, const char *path,
			  struct json_object *val, const struct jcheck_key *sub)
{
	if (!json_object_is_type(val, json_type_array)) {
		report_error(s, path, "must be an array of objects");
		return;
	}
	for (size_t i = 0; i < jcheck_array_length(val); i++) {
		g_autofree char *full_path =
			g_strdup_printf("%s[%zu]", path, i);

		check_object(s, full_path, json_object_array_get_idx(val, i),
			     sub);
	}
}

static void check_reals(struct scan *s, const char *path,
			const struct jcheck_key *key, struct json_object *val)
{
	if (!json_object_is_type(val, json_type_object)) {
		report_error(s, path, "must be an object of numbers");
		return;
	}
	json_object_object_foreach (val, name, v) {
		g_autofree char *full_path =
			g_strdup_printf("%s/%s", path, name);

		if (!json_object_is_type(v, json_type_double) &&
		    !json_object_is_type(v, json_type_int))
			report_error(s, full_path, "must be a number");
		else
			check_range(s, full_path, key,
				    json_object_get_double(v), "value");
	}
}

static void check_value(struct scan *s, const char *path,
			struct json_object *val, const struct jcheck_key *key)
{
	switch (key->kind) {
	case JCHECK_STRING:
		if (!json_object_is_type(val, json_type_string))
			report_error(s, path, "must be a string");
		else
			check_range(s, path, key,
				    json_object_get_string_len(val), "length");
		return;
	case JCHECK_INT:
		if (!json_object_is_type(val, json_type_int))
			report_error(s, path, "must be a whole number");
		else
			check_range(s, path, key,
				    (double)json_object_get_int64(val),
				    "value");
		return;
	case JCHECK_REAL:
		if (!json_object_is_type(val, json_type_double) &&
		    !json_object_is_type(val, json_type_int))
			report_error(s, path, "must be a number");
		else
			check_range(s, path, key, json_object_get_double(val),
				    "value");
		return;
	case JCHECK_BOOL:
		if (!json_object_is_type(val, json_type_boolean))
			report_error(s, path, "must be true or false");
		return;
	case JCHECK_STRINGS:
		check_strings(s, path, val);
		return;
	case JCHECK_OBJECT:
		check_object(s, path, val, key->sub);
		return;
	case JCHECK_OBJECTS:
		check_objects(s, path, val, key->sub);
		return;
	case JCHECK_REALS:
		check_reals(s, path, key, val);
		return;
	case JCHECK_ANY:
		return;
	}
}

static const struct jcheck_key *find_key(const struct jcheck_key *keys,
					 const char *name)
{
	for (; keys->name; keys++)
		if (!strcmp(keys->name, name))
			return keys;
	return NULL;
}

static void check_object(struct scan *s, const char *path,
			 struct json_object *obj, const struct jcheck_key *keys)
{
	if (!json_object_is_type(obj, json_type_object)) {
		report_error(s, path, "must be an object");
		return;
	}
	json_object_object_foreach (obj, name, val) {
		const struct jcheck_key *key = find_key(keys, name);
		g_autofree char *full_path =
			g_strdup_printf("%s/%s", path, name);

		if (!key)
			report_error(s, full_path, "is unknown");
		else
			check_value(s, full_path, val, key);
	}
	for (const struct jcheck_key *key = keys; key->name; key++)
		if (key->required && !jcheck_get(obj, key->name))
			report_error(s, path, "lacks the required key '%s'",
				     key->name);
}

/*
 * Parses the text without checking its keys. Returns NULL and sets an error
 * with source, line and byte if it isn't JSON.
 */
static struct json_object *parse_syntax(const char *source, const char *text,
					GError **err)
{
	struct json_tokener *tok = json_tokener_new_ex(MAX_DEPTH);
	struct json_object *obj;
	size_t len = strlen(text);
	int line = 1;

	obj = json_tokener_parse_ex(tok, text, (int)len + 1);
	if (json_tokener_get_error(tok) != json_tokener_success) {
		size_t end = json_tokener_get_parse_end(tok);

		for (size_t i = 0; i < end && i < len; i++)
			line += text[i] == '\n';
		g_set_error(
			err, JCHECK_ERROR, JCHECK_ERROR_SYNTAX,
			"%s:%d: syntax error at byte %zu: %s", source, line,
			end,
			json_tokener_error_desc(json_tokener_get_error(tok)));
		if (obj)
			json_object_put(obj);
		obj = NULL;
	} else if (!obj) {
		g_set_error(err, JCHECK_ERROR, JCHECK_ERROR_SYNTAX,
			    "%s:1: contains no object", source);
	}
	json_tokener_free(tok);
	return obj;
}

/*
 * Parses JSON with comments and checks it against a table of keys. `source`
 * names the text in errors. Returns an object that the caller puts, or NULL and
 * an error with source, line, key and reason.
 */
struct json_object *jcheck_parse(const char *source, const char *text,
				 const struct jcheck_key *keys, GError **err)
{
	struct scan s = {.source = source, .text = text, .line = 1};
	struct json_object *obj = parse_syntax(source, text, err);

	if (!obj)
		return NULL;
	s.lines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	scan_value(&s, "", 0);
	check_end(&s);
	check_object(&s, "", obj, keys);
	g_hash_table_destroy(s.lines);
	if (s.error) {
		g_propagate_error(err, s.error);
		json_object_put(obj);
		return NULL;
	}
	return obj;
}

/* Reads a file and parses its text as jcheck_parse does. */
struct json_object *
jcheck_read_file(const char *path, const struct jcheck_key *keys, GError **err)
{
	g_autofree char *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, err))
		return NULL;
	return jcheck_parse(path, text, keys, err);
}

/*
 * Copies the scalar members of a checked object to the fields of `target` at
 * the table's offsets: char * (newly allocated, the old string is freed),
 * int64_t, double or bool. Fields of absent keys keep their values, so the
 * caller sets the defaults first.
 */
void jcheck_fill_struct(void *target, struct json_object *obj,
			const struct jcheck_key *keys)
{
	for (const struct jcheck_key *key = keys; key->name; key++) {
		struct json_object *val = jcheck_get(obj, key->name);
		char *field = (char *)target + key->offset;

		if (!val)
			continue;
		switch (key->kind) {
		case JCHECK_STRING:
			g_free(*(char **)field);
			*(char **)field = g_strdup(json_object_get_string(val));
			break;
		case JCHECK_INT:
			*(int64_t *)field = json_object_get_int64(val);
			break;
		case JCHECK_REAL:
			*(double *)field = json_object_get_double(val);
			break;
		case JCHECK_BOOL:
			*(bool *)field = json_object_get_boolean(val);
			break;
		default:
			break;
		}
	}
}

/*
 * Returns a member, borrowed from the object, or NULL if there is none or `obj`
 * is NULL or no object.
 */
struct json_object *jcheck_get(struct json_object *obj, const char *key)
{
	struct json_object *val = NULL;

	if (obj && json_object_is_type(obj, json_type_object))
		json_object_object_get_ex(obj, key, &val);
	return val;
}

/* Returns a string member, borrowed, or the fallback if there is none. */
const char *jcheck_get_string(struct json_object *obj, const char *key,
			      const char *fallback)
{
	struct json_object *val = jcheck_get(obj, key);

	if (!val || !json_object_is_type(val, json_type_string))
		return fallback;
	return json_object_get_string(val);
}

/*
 * Returns a string member, borrowed, or NULL if there is none or it has a NUL: as a
 * C string it would be another name.
 */
const char *jcheck_get_name(struct json_object *obj, const char *key)
{
	struct json_object *val = jcheck_get(obj, key);
	const char *name = jcheck_get_string(obj, key, NULL);

	return name && strlen(name) == (size_t)json_object_get_string_len(val)
		       ? name
		       : NULL;
}

/* Returns an integer member, or the fallback if there is none. */
int64_t jcheck_get_int(struct json_object *obj, const char *key,
		       int64_t fallback)
{
	struct json_object *val = jcheck_get(obj, key);

	return val ? json_object_get_int64(val) : fallback;
}

/* Returns an integer member, bounded to 0..max, or the fallback if there is none. */
uint32_t jcheck_get_bounded(struct json_object *obj, const char *key,
			    uint32_t fallback, uint32_t max)
{
	int64_t v = jcheck_get_int(obj, key, fallback);

	return (uint32_t)CLAMP(v, 0, (int64_t)max);
}

/* Returns a number member, or the fallback if there is none. */
double jcheck_get_real(struct json_object *obj, const char *key,
		       double fallback)
{
	struct json_object *val = jcheck_get(obj, key);

	return val ? json_object_get_double(val) : fallback;
}

/* Adds a string member, a copy of `val`, or replaces the one of that key. */
void jcheck_add_string(struct json_object *obj, const char *key,
		       const char *val)
{
	json_object_object_add(obj, key, json_object_new_string(val));
}

/* Returns the length of an array; 0 for NULL and any other type. */
size_t jcheck_array_length(struct json_object *array)
{
	if (!array || !json_object_is_type(array, json_type_array))
		return 0;
	return json_object_array_length(array);
}
