#ifndef LIMIT_LIMIT_H
#define LIMIT_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "config/config.h"

/*
 * Admission control at one node: fair shares of its capacity among
 * organisations, a budget for retries, and deadlines. The capacity is the
 * number of requests in flight that the backend servers which the node uses
 * can take: the sum of their adaptive limits, which follow the load from all
 * nodes. Nodes share no counters. Times are milliseconds of the node's own
 * clock.
 */
#define LIMIT_MAX_ORGS 256 /* organisations past this number share counters */
/* Up to this share of the capacity, fair shares do not apply. */
#define LIMIT_UNRESERVED_SHARE 0.9
/* An organisation counts for fair shares this long after a request. */
#define LIMIT_ORG_ACTIVE_MS 10000
/* The retry budget is a token bucket; a retry takes one token. */
#define LIMIT_RETRIES_PER_REQUEST 0.1 /* tokens per admitted request */
#define LIMIT_RETRIES_PER_S 2.0
#define LIMIT_RETRY_TOKENS_MAX 50.0
#define LIMIT_RETRY_TOKENS_INITIAL 10.0

struct limit_org {
	uint32_t in_flight;
	uint64_t last_request_at; /* 0: never */
};

struct limiter {
	struct limit_org orgs[LIMIT_MAX_ORGS];
	uint32_t in_flight;
	double released_per_s; /* rate at which requests end */
	uint64_t rate_window_at; /* start of the window being counted */
	uint32_t released_in_window;
	double retry_tokens;
	uint64_t tokens_added_at; /* ms; last addition for elapsed time */
};

enum limit_reason {
	LIMIT_ADMITTED,
	LIMIT_AT_CAPACITY, /* the node has no capacity left */
	LIMIT_OVER_FAIR_SHARE, /* the organisation uses its fair share */
	LIMIT_DEADLINE_UNMET, /* passed, or too near to be met */
};

struct limit_decision {
	enum limit_reason reason;
	uint32_t retry_after_s; /* with a refusal; 0: do not retry */
};

void limit_init(struct limiter *l);
struct limit_decision limit_admit(struct limiter *l, const struct cfg *cfg,
				  uint64_t now, cfg_handle org, double capacity,
				  uint64_t deadline, double expected_ms);
void limit_release(struct limiter *l, uint64_t now, cfg_handle org);
bool limit_take_retry(struct limiter *l, uint64_t now);
void limit_remap_orgs(struct limiter *l, const struct cfg *to,
		      const struct cfg *from);
const char *limit_reason_name(enum limit_reason reason);

#endif
