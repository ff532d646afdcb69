#include "http/message.h"

#include <string.h>

/* Initialises an empty list of fields. */
void http_message_fields_init(struct http_message_fields *f)
{
	f->text = g_string_sized_new(512);
	f->offsets = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	f->in_value = true;
}

/* Empties a list of fields and keeps its memory. */
void http_message_fields_reset(struct http_message_fields *f)
{
	g_string_truncate(f->text, 0);
	g_array_set_size(f->offsets, 0);
	f->in_value = true;
}

/* Frees the list's memory; the list must be initialised before further use. */
void http_message_fields_clear(struct http_message_fields *f)
{
	g_string_free(f->text, TRUE);
	g_array_unref(f->offsets);
}

/* Replaces the contents of `to`, which is initialised, by a copy of `from`. */
void http_message_fields_copy(struct http_message_fields *to,
			      const struct http_message_fields *from)
{
	http_message_fields_reset(to);
	g_string_append_len(to->text, from->text->str, (gssize)from->text->len);
	g_array_append_vals(to->offsets, from->offsets->data,
			    from->offsets->len);
}

/* Ends the previous string, if any, and starts an empty one. */
static void start_string(struct http_message_fields *f)
{
	uint32_t offset;

	if (f->offsets->len)
		g_string_append_c(f->text, '\0');
	offset = (uint32_t)f->text->len;
	g_array_append_val(f->offsets, offset);
}

/*
 * Appends `len` bytes to the name of the current field. Starts a new field if
 * the last call added to a value.
 */
void http_message_fields_add_name(struct http_message_fields *f,
				  const char *data, size_t len)
{
	if (f->in_value) {
		start_string(f);
		f->in_value = false;
	}
	g_string_append_len(f->text, data, (gssize)len);
}

/* Appends `len` bytes to the value of the current field. */
void http_message_fields_add_value(struct http_message_fields *f,
				   const char *data, size_t len)
{
	if (!f->in_value) {
		start_string(f);
		f->in_value = true;
	}
	g_string_append_len(f->text, data, (gssize)len);
}

/* Ends the list. A last field without a value gets an empty one. */
void http_message_fields_finish(struct http_message_fields *f)
{
	if (f->offsets->len % 2)
		start_string(f);
	f->in_value = true;
}

/* Returns the number of complete fields. */
size_t http_message_fields_count(const struct http_message_fields *f)
{
	return f->offsets->len / 2;
}

/*
 * Returns the field with index i, which must be in range. Its strings are valid
 * until the list changes.
 */
struct http_message_field
http_message_field_at(const struct http_message_fields *f, size_t i)
{
	struct http_message_field out = {
		f->text->str + g_array_index(f->offsets, uint32_t, 2 * i),
		f->text->str + g_array_index(f->offsets, uint32_t, 2 * i + 1),
	};

	return out;
}

/*
 * Returns the value of the first field with that name, ignoring case, or NULL.
 * The value is valid until the list changes.
 */
const char *http_message_find(const struct http_message_fields *f,
			      const char *name)
{
	for (size_t i = 0; i < http_message_fields_count(f); i++) {
		struct http_message_field field = http_message_field_at(f, i);

		if (!g_ascii_strcasecmp(field.name, name))
			return field.value;
	}
	return NULL;
}

/* Returns how many fields have that name, ignoring case. */
size_t http_message_count_name(const struct http_message_fields *f,
			       const char *name)
{
	size_t n = 0;

	for (size_t i = 0; i < http_message_fields_count(f); i++)
		n += !g_ascii_strcasecmp(http_message_field_at(f, i).name,
					 name);
	return n;
}

/* Returns whether a comma-separated list contains a name, ignoring case. */
static bool list_contains(const char *list, const char *name)
{
	size_t len = strlen(name);

	while (*list) {
		size_t n;

		list += strspn(list, " \t,");
		n = strcspn(list, " \t,");
		if (n == len && !g_ascii_strncasecmp(list, name, n))
			return true;
		list += n;
	}
	return false;
}

/*
 * Returns whether a field with that name must not be forwarded (RFC 9110,
 * 7.6.1): it is one of the hop-by-hop fields, or the message's Connection
 * fields in `f` name it.
 */
bool http_message_is_hop_by_hop(const struct http_message_fields *f,
				const char *name)
{
	static const char *const always[] = {"connection",
					     "keep-alive",
					     "proxy-connection",
					     "te",
					     "trailer",
					     "transfer-encoding",
					     "upgrade",
					     "proxy-authenticate",
					     "proxy-authorization"};

	for (size_t i = 0; i < G_N_ELEMENTS(always); i++)
		if (!g_ascii_strcasecmp(name, always[i]))
			return true;
	for (size_t i = 0; i < http_message_fields_count(f); i++) {
		struct http_message_field field = http_message_field_at(f, i);

		if (!g_ascii_strcasecmp(field.name, "connection") &&
		    list_contains(field.value, name))
			return true;
	}
	return false;
}

/* Returns whether a field name is a valid token (RFC 9110, 5.6.2). */
bool http_message_is_token(const char *name)
{
	if (!*name)
		return false;
	for (; *name; name++)
		if (!g_ascii_isalnum(*name) &&
		    !strchr("!#$%&'*+-.^_`|~", *name))
			return false;
	return true;
}

/* Returns whether all field names are, as http_message_is_token(). */
bool http_message_names_are_tokens(const struct http_message_fields *f)
{
	for (size_t i = 0; i < http_message_fields_count(f); i++)
		if (!http_message_is_token(http_message_field_at(f, i).name))
			return false;
	return true;
}

/*
 * Searches the n bytes of `data` for the end of a request head, starting at
 * offset `from`: earlier calls have scanned what is before. When the head is
 * complete, *len is its length in bytes, with the empty line. Line ends other
 * than CRLF, control characters and folded lines are malformed, because two
 * parsers could read them in different ways (request smuggling).
 */
enum http_message_scan_result http_message_scan_head(const char *data, size_t n,
						     size_t from, size_t *len)
{
	for (size_t i = from; i < n; i++) {
		unsigned char c = (unsigned char)data[i];
		unsigned char before = i ? (unsigned char)data[i - 1] : 0;

		if ((c == '\n') != (before == '\r'))
			return HTTP_MESSAGE_MALFORMED;
		if ((c < ' ' && c != '\t' && c != '\r' && c != '\n') ||
		    c == 0x7f)
			return HTTP_MESSAGE_MALFORMED;
		if ((c == ' ' || c == '\t') && (before == '\n' || !i))
			return HTTP_MESSAGE_MALFORMED;
		if (c == '\n' && i >= 3 && data[i - 2] == '\n') {
			*len = i + 1;
			return HTTP_MESSAGE_HEAD_COMPLETE;
		}
	}
	return HTTP_MESSAGE_INCOMPLETE;
}
