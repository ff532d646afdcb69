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
struct bud_params {
	double ratio; /* retries for each request, of the whole fleet */
	double burst; /* retries more within a window, of the whole fleet */
	uint32_t nodes; /* that may share the burst */
	uint32_t window_ms;
};

struct bud {
	struct bud_params params;
	GHashTable *services; /* name -> struct bud_service */
};

void bud_init(struct bud *b, const struct bud_params *params);
void bud_clear(struct bud *b);
void bud_set(struct bud *b, const struct bud_params *params);
void bud_on_request(struct bud *b, uint64_t now, const char *service);
bool bud_take(struct bud *b, uint64_t now, const char *service);
double bud_left(struct bud *b, uint64_t now, const char *service);

#endif
