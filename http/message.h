#ifndef HTTP_MESSAGE_H
#define HTTP_MESSAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* One header field; both strings end with a NUL and hold none. */
struct htm_field {
	const char *name;
	const char *value;
};

/* The fields of one message, in the order in which they came. */
struct htm_fields {
	GString *text; /* names and values, each ended by a NUL */
	GArray *at; /* offsets into text: name, value, name, value */
	bool in_value;
};

void htm_fields_init(struct htm_fields *f);
void htm_fields_reset(struct htm_fields *f);
void htm_fields_clear(struct htm_fields *f);
void htm_fields_copy(struct htm_fields *to, const struct htm_fields *from);
void htm_fields_add_name(struct htm_fields *f, const char *at, size_t len);
void htm_fields_add_value(struct htm_fields *f, const char *at, size_t len);
void htm_fields_done(struct htm_fields *f);
size_t htm_fields_count(const struct htm_fields *f);
struct htm_field htm_field_at(const struct htm_fields *f, size_t i);
const char *htm_find(const struct htm_fields *f, const char *name);
size_t htm_count_of(const struct htm_fields *f, const char *name);
bool htm_is_hop_by_hop(const struct htm_fields *f, const char *name);
bool htm_names_are_tokens(const struct htm_fields *f);

/* How much of a request's head has come, and whether it may go on. */
enum htm_scan {
	HTM_MORE,
	HTM_HEAD, /* the head is whole; its length is in *len */
	HTM_BAD,
};

enum htm_scan htm_scan_head(const char *data, size_t n, size_t from,
			    size_t *len);

#endif
