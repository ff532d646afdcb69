#ifndef HTTP_MESSAGE_H
#define HTTP_MESSAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* One header field. The strings contain no NUL but the one that ends them. */
struct http_message_field {
	const char *name;
	const char *value;
};

/* The header fields of one message, in the order of arrival. */
struct http_message_fields {
	GString *text; /* names and values, each ended by a NUL */
	GArray *offsets; /* uint32_t, into text: name, value, name, value... */
	bool in_value; /* the last bytes added belong to a value */
};

void http_message_fields_init(struct http_message_fields *f);
void http_message_fields_reset(struct http_message_fields *f);
void http_message_fields_clear(struct http_message_fields *f);
void http_message_fields_copy(struct http_message_fields *to,
			      const struct http_message_fields *from);
void http_message_fields_add_name(struct http_message_fields *f,
				  const char *data, size_t len);
void http_message_fields_add_value(struct http_message_fields *f,
				   const char *data, size_t len);
void http_message_fields_finish(struct http_message_fields *f);
size_t http_message_fields_count(const struct http_message_fields *f);
struct http_message_field
http_message_field_at(const struct http_message_fields *f, size_t i);
const char *http_message_find(const struct http_message_fields *f,
			      const char *name);
size_t http_message_count_name(const struct http_message_fields *f,
			       const char *name);
bool http_message_is_hop_by_hop(const struct http_message_fields *f,
				const char *name);
bool http_message_is_token(const char *name);
bool http_message_names_are_tokens(const struct http_message_fields *f);

/* What http_message_scan_head() found. */
enum http_message_scan_result {
	HTTP_MESSAGE_INCOMPLETE, /* more bytes are needed */
	HTTP_MESSAGE_HEAD_COMPLETE,
	HTTP_MESSAGE_MALFORMED, /* the request must be rejected */
};

enum http_message_scan_result http_message_scan_head(const char *data, size_t n,
						     size_t from, size_t *len);

#endif
