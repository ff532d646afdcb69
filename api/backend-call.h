#ifndef API_BACKEND_CALL_H
#define API_BACKEND_CALL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "api/api.h"
#include "http/client.h"

/*
 * One call to a backend server of a plain service. The answer is buffered
 * completely and its request id checked before it is handed over.
 */
struct backend_call;

enum backend_call_end {
	BACKEND_CALL_ANSWERED, /* completely, and for this request */
	BACKEND_CALL_REFUSED, /* by a status that means: not run */
	BACKEND_CALL_NOT_SENT, /* no byte was sent */
	BACKEND_CALL_NO_ANSWER, /* no complete answer; may have run */
	BACKEND_CALL_CANCELLED, /* by backend_call_cancel; may have run */
};

struct backend_call_answer {
	int status; /* HTTP status */
	char *type; /* content type, or NULL */
	GString *body;
	char *server; /* address */
};

struct backend_call_request {
	const char *server; /* address */
	const char *method;
	const char *path;
	const char *type; /* content type, or NULL */
	const char *key; /* idempotency key, or NULL */
	const char *body;
	size_t len;
	bool new_connection; /* use a new connection, never a pooled one */
	bool refusal_is_not_run; /* status 429 and 503 mean: not run */
};

/* Called once, when the call has ended; `call` and `answer` are freed after. */
typedef void (*backend_call_done)(void *user, struct backend_call *call,
				  enum backend_call_end end,
				  const struct backend_call_answer *answer);

struct backend_call *
backend_call_start(struct api_request *api,
		   const struct backend_call_request *request,
		   backend_call_done done, void *user);
void backend_call_cancel(struct backend_call *call);

#endif
