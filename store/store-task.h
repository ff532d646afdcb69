#ifndef STORE_STORE_TASK_H
#define STORE_STORE_TASK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "counters.h"
#include "http/client.h"

/*
 * Client of the platform's object API. Each call ends by `done`, which is
 * called once, with a result that is valid until it returns.
 */
struct store_client;

/* How a call ended. */
enum store_outcome {
	STORE_OK,
	STORE_NOT_FOUND, /* no such object */
	STORE_CONFLICT, /* the condition of a write did not hold */
	STORE_UNCHANGED, /* a watch ended without a change */
	STORE_NOT_SENT, /* no effect: the request was not sent */
	STORE_OUTCOME_UNKNOWN, /* no usable response: may have had an effect */
};

struct store_result {
	enum store_outcome outcome;
	uint64_t etag; /* version of the object; 0: none was sent */
	const char *body;
	size_t len; /* of body, in bytes */
};

typedef void (*store_callback)(void *user, const struct store_result *result);

/* When a write is applied. */
enum store_condition {
	STORE_IF_ABSENT,
	STORE_IF_MATCH, /* the object's version is the given etag */
	STORE_UNCONDITIONAL, /* for objects with one writer */
};

struct store_client *store_new(struct http_client *http_client,
			       const char *address, uint32_t timeout_ms,
			       struct counter_set *counter_set);
void store_get(struct store_client *s, const char *name, store_callback done,
	       void *user);
void store_put(struct store_client *s, const char *name, const char *body,
	       size_t len, enum store_condition condition, uint64_t etag,
	       store_callback done, void *user);
void store_watch(struct store_client *s, const char *name, uint64_t etag,
		 uint32_t wait_ms, store_callback done, void *user);
void store_list_names(struct store_client *s, const char *prefix,
		      store_callback done, void *user);
void store_list_vms(struct store_client *s, store_callback done, void *user);
void store_request_rating(struct store_client *s, const char *json,
			  store_callback done, void *user);
bool store_is_down(const struct store_client *s, uint64_t now);

#endif
