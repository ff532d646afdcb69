#ifndef EXCHANGE_BUDGET_H
#define EXCHANGE_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Retry budget of one node for each service. Within any window, the fleet's
 * retries are bounded by a share of its requests plus a burst. Each node limits
 * itself to that share of its own requests and to its part of the burst, so the
 * bound holds without any message between nodes. Times are milliseconds of the
 * node's own clock.
 */
struct budget_params {
	double ratio; /* retries allowed per request */
	double burst; /* further retries per window, of the whole fleet */
	uint32_t nodes; /* that the burst is divided among */
	uint32_t window_ms;
};

struct retry_budget {
	struct budget_params params;
	GHashTable *services; /* name -> struct budget_service */
};

void budget_init(struct retry_budget *b, const struct budget_params *params);
void budget_clear(struct retry_budget *b);
void budget_set_params(struct retry_budget *b,
		       const struct budget_params *params);
void budget_count_request(struct retry_budget *b, uint64_t now,
			  const char *service);
bool budget_take_retry(struct retry_budget *b, uint64_t now,
		       const char *service);
double budget_remaining(struct retry_budget *b, uint64_t now,
			const char *service);

#endif
