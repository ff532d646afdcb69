#ifndef LIMIT_LIMIT_H
#define LIMIT_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "config/config.h"

/*
 * Admission at one node: fair shares of its capacity among organisations, a
 * budget for retries, and deadlines. The capacity is the sum of the adaptive
 * limits of the servers that the node uses, which follow the load that all
 * nodes put on them; no counter is shared.
 */
#define LIMIT_MAX_ORGS 256
#define LIMIT_UNRESERVED_SHARE 0.9
#define LIMIT_ORG_ACTIVE_MS 10000
#define LIMIT_RETRIES_PER_REQUEST 0.1
#define LIMIT_RETRIES_PER_S 2.0
#define LIMIT_RETRY_TOKENS_MAX 50.0
#define LIMIT_RETRY_TOKENS_INITIAL 10.0

struct limit_org {
	uint32_t in_flight;
	uint64_t last_asked_at;
};

struct limiter {
	struct limit_org orgs[LIMIT_MAX_ORGS];
	uint32_t in_flight;
	double done_per_s; /* rate at which requests end */
	uint64_t rate_at;
	uint32_t done_since;
	double retry_tokens;
	uint64_t retry_at; /* when tokens were last added by time */
};

enum limit_reason {
	LIMIT_ADMITTED,
	LIMIT_AT_CAPACITY, /* no capacity left */
	LIMIT_OVER_FAIR_SHARE, /* the organisation has its fair share already */
	LIMIT_DEADLINE_UNMET, /* could not be met */
};

struct limit_decision {
	enum limit_reason reason;
	uint32_t retry_after_s; /* with a refusal */
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
