#ifndef ORDER_RECORD_H
#define ORDER_RECORD_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "order/order.h"

/* A backend server's answer to an order, kept for repeats of its key. */
struct order_result {
	int status; /* HTTP status */
	char *type; /* content type */
	char *body;
	size_t len; /* bytes of the body */
};

char *order_object_name(const char *org, const char *key);
char *order_request_digest(const char *method, const char *path,
			   const char *body, size_t len);
char *order_record_to_json(const struct order_record *record, const char *org,
			   const struct order_result *result);
bool order_record_parse(const char *text, size_t len,
			struct order_record *record,
			struct order_result *result);
void order_result_clear(struct order_result *result);

#endif
