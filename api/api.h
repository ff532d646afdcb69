#ifndef API_API_H
#define API_API_H

#include <stdbool.h>
#include <stdint.h>

#include "daemon/node.h"
#include "trace/trace.h"
#include "verdict.h"

/* What all requests of callers have in common. */
#define API_REQUEST_ID_SIZE 33
#define API_TRACEPARENT_SIZE 64

struct api_request {
	struct node *node;
	/* NULL once the client has gone. */
	struct http_server_request *http_request;
	void *task; /* state of the task that serves the request */
	uint64_t span_start_us; /* when the current hop began */
	char id[API_REQUEST_ID_SIZE];
	struct trace_handle trace;
	char *org; /* by name: handles move with the configuration */
	uint64_t started_at;
	uint64_t deadline;
	bool admitted;
	bool ended;
};

struct api_refusal {
	int status;
	enum verdict_kind verdict;
	const char *reason;
	const char *message;
	uint32_t retry_after_s; /* 0: trying again does not help */
};

bool api_begin(struct api_request *d, struct node *n,
	       struct http_server_request *req);
bool api_admit(struct api_request *d, double capacity, double expected_ms);
void api_refuse(struct api_request *d, const struct api_refusal *refusal);
void api_add_headers(struct api_request *d, const char *version,
		     enum verdict_kind verdict);
void api_release(struct api_request *d);
void api_end(struct api_request *d, enum verdict_kind verdict);
void api_clear(struct api_request *d);
bool api_find_org(const struct api_request *d, cfg_handle *org);
uint64_t api_wall_clock_us(void);
void api_trace_span(struct api_request *d, const char *name, uint64_t start_us,
		    const char *fmt, ...) G_GNUC_PRINTF(4, 5);
void api_trace_note(struct api_request *d, const char *key, const char *fmt,
		    ...) G_GNUC_PRINTF(3, 4);

#endif
