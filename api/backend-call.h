#ifndef API_BACKEND_CALL_H
#define API_BACKEND_CALL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "api/api.h"
#include "http/client.h"

/*
 * One call to a plain service's server, whose answer is taken in whole and
 * checked against the request id before anybody sees it.
 */
struct backend_call;

enum backend_call_end {
	BACKEND_CALL_ANSWERED, /* whole, and of this request */
	BACKEND_CALL_REFUSED, /* the server says that it did not run it */
	BACKEND_CALL_NOT_SENT,
	BACKEND_CALL_NO_ANSWER, /* may have run */
	BACKEND_CALL_CANCELLED,
};

struct backend_call_answer {
	int status;
	char *type;
	GString *body;
	char *server;
};

struct backend_call_request {
	const char *server; /* address */
	const char *method;
	const char *path;
	const char *type; /* content type, or NULL */
	const char *key; /* idempotency key, or NULL */
	const char *body;
	size_t len;
	bool fresh;
	bool refusal_is_not_run; /* 429 and 503 mean: not run */
};

typedef void (*backend_call_done)(void *user, struct backend_call *call,
				  enum backend_call_end end,
				  const struct backend_call_answer *answer);

struct backend_call *
backend_call_start(struct api_request *d,
		   const struct backend_call_request *request,
		   backend_call_done done, void *user);
void backend_call_cancel(struct backend_call *call);

#endif
