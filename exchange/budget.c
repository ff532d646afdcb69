#include "exchange/budget.h"

#include <string.h>

/*
 * Part of the allowed ratio and burst that is used: requests are counted here
 * when they arrive, retries at the servers a little later.
 */
#define USED_SHARE 0.88
#define SLOTS 20

/* Counts of the last window, in a ring of equal spans. */
struct budget_service {
	uint32_t requests[SLOTS];
	uint32_t retries[SLOTS];
	uint64_t slot; /* number of the current span since the clock's start */
};

/* Starts with nothing counted. */
void budget_init(struct retry_budget *b, const struct budget_params *params)
{
	b->params = *params;
	b->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees what the budget holds. */
void budget_clear(struct retry_budget *b)
{
	g_hash_table_unref(b->services);
}

/* Puts other bounds in force; what was counted stays. */
void budget_set_params(struct retry_budget *b,
		       const struct budget_params *params)
{
	b->params = *params;
}

static struct budget_service *service_at(struct retry_budget *b, uint64_t now,
					 const char *name)
{
	struct budget_service *s = g_hash_table_lookup(b->services, name);
	uint64_t slot = now / MAX(b->params.window_ms / SLOTS, 1);

	if (!s) {
		s = g_new0(struct budget_service, 1);
		s->slot = slot;
		g_hash_table_insert(b->services, g_strdup(name), s);
	}
	if (slot - s->slot >= SLOTS) {
		memset(s->requests, 0, sizeof(s->requests));
		memset(s->retries, 0, sizeof(s->retries));
		s->slot = slot;
	}
	while (s->slot < slot) {
		s->slot++;
		s->requests[s->slot % SLOTS] = 0;
		s->retries[s->slot % SLOTS] = 0;
	}
	return s;
}

/* A request for the service arrived at this node. */
void budget_count_request(struct retry_budget *b, uint64_t now,
			  const char *service)
{
	struct budget_service *s = service_at(b, now, service);

	s->requests[s->slot % SLOTS]++;
}

/* Returns how many retries the budget still allows now. */
double budget_remaining(struct retry_budget *b, uint64_t now,
			const char *service)
{
	const struct budget_service *s = service_at(b, now, service);
	double requests = 0, retries = 0;

	for (int i = 0; i < SLOTS; i++) {
		requests += s->requests[i];
		retries += s->retries[i];
	}
	return USED_SHARE * (b->params.ratio * requests +
			     b->params.burst / MAX(b->params.nodes, 1)) -
	       retries;
}

/* Takes one retry from the budget; false if it is spent. */
bool budget_take_retry(struct retry_budget *b, uint64_t now,
		       const char *service)
{
	struct budget_service *s = service_at(b, now, service);

	if (budget_remaining(b, now, service) < 1)
		return false;
	s->retries[s->slot % SLOTS]++;
	return true;
}
