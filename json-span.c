#include "json-span.h"

#include <glib.h>
#include <string.h>

/* Depth of a value that is read; deeper ones are not. */
#define MAX_DEPTH 256

static const char *skip_space(const char *p, const char *end)
{
	while (p < end && (*p == ' ' || *p == '\t' || *p == '\n' || *p == '\r'))
		p++;
	return p;
}

/* Returns the end of the string that begins at p, or NULL if it has none. */
static const char *skip_string(const char *p, const char *end)
{
	for (p++; p < end; p++) {
		if (*p == '\\')
			p++;
		else if (*p == '"')
			return p + 1;
	}
	return NULL;
}

/* Returns the end of the array or object that begins at p, or NULL. */
static const char *skip_nested(const char *p, const char *end)
{
	size_t depth = 0;

	while (p && p < end) {
		switch (*p) {
		case '"':
			p = skip_string(p, end);
			continue;
		case '{':
		case '[':
			depth++;
			break;
		case '}':
		case ']':
			if (!--depth)
				return p + 1;
			break;
		default:
			break;
		}
		p++;
	}
	return NULL;
}

/* Returns the end of the value that begins at p, or NULL if it has none. */
static const char *skip_value(const char *p, const char *end)
{
	const char *start = p;

	if (p == end)
		return NULL;
	if (*p == '"')
		return skip_string(p, end);
	if (*p == '{' || *p == '[')
		return skip_nested(p, end);
	while (p < end && *p != ',' && *p != ']' && *p != '}')
		p++;
	return p == start || p == end ? NULL : p;
}

/*
 * Starts before the first member of an object ('{') or element of an array ('[').
 * Returns false unless the text begins as such.
 */
bool json_cursor_open(struct json_cursor *c, struct json_span span, char open)
{
	memset(c, 0, sizeof(*c));
	if (!span.text)
		return false;
	c->end = span.text + span.len;
	c->p = skip_space(span.text, c->end);
	c->close = open == '{' ? '}' : ']';
	if (c->p == c->end || *c->p != open)
		return false;
	c->p = skip_space(c->p + 1, c->end);
	c->ended = c->p < c->end && *c->p == c->close;
	return true;
}

/* Reads the key of a member and the colon. Returns false at anything else. */
static bool read_key(struct json_cursor *c)
{
	const char *after = NULL;

	c->key.text = NULL;
	c->key.len = 0;
	if (c->p < c->end && *c->p == '"')
		after = skip_string(c->p, c->end);
	if (!after)
		return false;
	c->key.text = c->p + 1;
	c->key.len = (size_t)(after - c->p) - 2;
	c->p = skip_space(after, c->end);
	if (c->p == c->end || *c->p != ':')
		return false;
	c->p = skip_space(c->p + 1, c->end);
	return true;
}

/*
 * Reads the next member or element. Returns false after the last one, with
 * `ended` set, and where the text can't be read on.
 */
bool json_cursor_next(struct json_cursor *c)
{
	const char *after;

	if (c->ended || (c->close == '}' && !read_key(c)))
		return false;
	after = skip_value(c->p, c->end);
	if (!after)
		return false;
	c->value.text = c->p;
	c->value.len = (size_t)(after - c->p);
	c->p = skip_space(after, c->end);
	if (c->p == c->end)
		return true;
	c->ended = *c->p == c->close;
	if (*c->p == ',')
		c->p = skip_space(c->p + 1, c->end);
	else if (!c->ended)
		c->p = c->end; /* neither: nothing after it can be read */
	return true;
}

/* Returns whether the current member has this key. */
bool json_cursor_is_key(const struct json_cursor *c, const char *key)
{
	return c->key.text && c->key.len == strlen(key) &&
	       !memcmp(c->key.text, key, c->key.len);
}

/* Returns the value of an object's last member with that key, or none. */
struct json_span json_span_member(struct json_span object, const char *key)
{
	struct json_span found = {NULL, 0};
	struct json_cursor c;

	if (!json_cursor_open(&c, object, '{'))
		return found;
	while (json_cursor_next(&c))
		if (json_cursor_is_key(&c, key))
			found = c.value;
	return found;
}

/* Returns whether the text is the value `true`. */
bool json_span_is_true(struct json_span span)
{
	return span.text && span.len >= 4 && !memcmp(span.text, "true", 4);
}

/* Returns the value that the text holds, as a new reference, or NULL. */
struct json_object *json_span_parse(struct json_span span)
{
	struct json_tokener *tok = json_tokener_new_ex(MAX_DEPTH);
	struct json_object *o = NULL;

	if (span.text && span.len < INT32_MAX)
		o = json_tokener_parse_ex(tok, span.text, (int)span.len);
	if (o && json_tokener_get_error(tok) != json_tokener_success) {
		json_object_put(o);
		o = NULL;
	}
	json_tokener_free(tok);
	return o;
}
