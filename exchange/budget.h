#ifndef EXCHANGE_BUDGET_H
#define EXCHANGE_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Retry budget of one node for each service. The bound for the fleet is a
 * share of the requests plus a burst within any window; a node that keeps to
 * the share of its own requests and to its part of the burst keeps the bound
 * without asking the others. Times are milliseconds of the node's own clock.
 */
struct budget_params {
	double ratio; /* retries for each request, of the whole fleet */
	double burst; /* retries more within a window, of the whole fleet */
	uint32_t nodes; /* that may share the burst */
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
