#ifndef API_API_H
#define API_API_H

#include <stdbool.h>
#include <stdint.h>

#include "daemon/node.h"
#include "trace/trace.h"
#include "verdict.h"

/*
 * The common part of all requests of clients: authentication, deadline,
 * admission, refusals and the trace. Times are milliseconds of the node's own
 * clock unless they end in _us, which are microseconds of the wall clock.
 */
#define API_REQUEST_ID_SIZE 33 /* 32 hex digits and a NUL */
#define API_TRACEPARENT_SIZE 64

struct api_request {
	struct node *node;
	/* NULL once the client has disconnected. */
	struct http_server_request *http_request;
	void *task; /* state of the task that serves the request */
	uint64_t span_start_us; /* when the current hop began */
	char id[API_REQUEST_ID_SIZE];
	struct trace_handle trace;
	char *org; /* a name: handles change with the configuration */
	uint64_t started_at;
	uint64_t deadline;
	bool admitted; /* counts against the limits of the node */
	bool ended;
};

struct api_refusal {
	int status; /* HTTP status */
	enum verdict_kind verdict;
	const char *reason; /* machine-readable */
	const char *message; /* for people */
	uint32_t retry_after_s; /* 0: a retry does not help */
};

bool api_begin(struct api_request *request, struct node *n,
	       struct http_server_request *req);
bool api_admit(struct api_request *request, double capacity,
	       double expected_ms);
void api_refuse(struct api_request *request, const struct api_refusal *refusal);
void api_add_headers(struct api_request *request, const char *version,
		     enum verdict_kind verdict);
void api_release(struct api_request *request);
void api_end(struct api_request *request, enum verdict_kind verdict);
void api_clear(struct api_request *request);
bool api_find_org(const struct api_request *request, cfg_handle *org);
uint64_t api_wall_clock_us(void);
void api_trace_span(struct api_request *request, const char *name,
		    uint64_t start_us, const char *fmt, ...)
	G_GNUC_PRINTF(4, 5);
void api_trace_note(struct api_request *request, const char *key,
		    const char *fmt, ...) G_GNUC_PRINTF(3, 4);

#endif
