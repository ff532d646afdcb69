#include "exchange/budget.h"

#include <string.h>

/*
 * Part of the allowed ratio and burst that is used: a service's requests are
 * counted where they end, and the bound counts them where they began.
 */
#define USED_SHARE 0.7

/* Starts with a full burst for each service. */
void bud_init(struct bud *b, const struct bud_params *params)
{
	b->params = *params;
	b->tokens =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees what the budget holds. */
void bud_clear(struct bud *b)
{
	g_hash_table_unref(b->tokens);
}

/* Puts other bounds in force; what was spent stays spent. */
void bud_set(struct bud *b, const struct bud_params *params)
{
	b->params = *params;
}

static double cap_of(const struct bud *b)
{
	return USED_SHARE * b->params.burst / MAX(b->params.nodes, 1);
}

static double *tokens_of(struct bud *b, const char *service)
{
	double *t = g_hash_table_lookup(b->tokens, service);

	if (t)
		return t;
	t = g_new0(double, 1);
	*t = cap_of(b);
	g_hash_table_insert(b->tokens, g_strdup(service), t);
	return t;
}

/* A request for the service arrived at this node. */
void bud_on_request(struct bud *b, const char *service)
{
	double *t = tokens_of(b, service);

	*t = MIN(*t + USED_SHARE * b->params.ratio,
		 MAX(cap_of(b), USED_SHARE * b->params.ratio));
}

/* Takes one retry from the budget; false if it is spent. */
bool bud_take(struct bud *b, const char *service)
{
	double *t = tokens_of(b, service);

	if (*t < 1)
		return false;
	*t -= 1;
	return true;
}
