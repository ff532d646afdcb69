#include "exchange/budget.h"

#include <string.h>

/*
 * Share of the allowed ratio and burst that is used. The rest is a margin: a
 * request is counted here when it arrives, but a retry reaches the server a
 * little later and may fall into another window there.
 */
#define USABLE_SHARE 0.88
#define WINDOW_SLOTS 20

/* Counts of the last window, in a ring of equal time slots. */
struct budget_service {
	uint32_t requests[WINDOW_SLOTS];
	uint32_t retries[WINDOW_SLOTS];
	uint64_t slot; /* current time divided by the length of a slot */
};

/* Initialises a budget without any counts. */
void budget_init(struct retry_budget *b, const struct budget_params *params)
{
	b->params = *params;
	b->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees the counts. */
void budget_clear(struct retry_budget *b)
{
	g_hash_table_unref(b->services);
}

/* Replaces the limits; the counts stay. */
void budget_set_params(struct retry_budget *b,
		       const struct budget_params *params)
{
	b->params = *params;
}

/*
 * Returns the counts of a service, with the slots that are older than the
 * window cleared.
 */
static struct budget_service *current_window(struct retry_budget *b,
					     uint64_t now, const char *name)
{
	struct budget_service *s = g_hash_table_lookup(b->services, name);
	uint64_t slot = now / MAX(b->params.window_ms / WINDOW_SLOTS, 1);

	if (!s) {
		s = g_new0(struct budget_service, 1);
		s->slot = slot;
		g_hash_table_insert(b->services, g_strdup(name), s);
	}
	if (slot - s->slot >= WINDOW_SLOTS) {
		memset(s->requests, 0, sizeof(s->requests));
		memset(s->retries, 0, sizeof(s->retries));
		s->slot = slot;
	}
	while (s->slot < slot) {
		s->slot++;
		s->requests[s->slot % WINDOW_SLOTS] = 0;
		s->retries[s->slot % WINDOW_SLOTS] = 0;
	}
	return s;
}

/* Counts a request for the service that arrived at this node. */
void budget_count_request(struct retry_budget *b, uint64_t now,
			  const char *service)
{
	struct budget_service *s = current_window(b, now, service);

	s->requests[s->slot % WINDOW_SLOTS]++;
}

/* Returns the number of retries that the budget still allows now. */
double budget_remaining(struct retry_budget *b, uint64_t now,
			const char *service)
{
	const struct budget_service *s = current_window(b, now, service);
	double requests = 0, retries = 0;

	for (int i = 0; i < WINDOW_SLOTS; i++) {
		requests += s->requests[i];
		retries += s->retries[i];
	}
	return USABLE_SHARE * (b->params.ratio * requests +
			       b->params.burst / MAX(b->params.nodes, 1)) -
	       retries;
}

/* Counts one retry. Returns false and counts none if the budget is used up. */
bool budget_take_retry(struct retry_budget *b, uint64_t now,
		       const char *service)
{
	struct budget_service *s = current_window(b, now, service);

	if (budget_remaining(b, now, service) < 1)
		return false;
	s->retries[s->slot % WINDOW_SLOTS]++;
	return true;
}
