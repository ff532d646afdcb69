#include "relay/helpers.h"

#include <string.h>

#define REFUSAL_HOLD_MS 500 /* a node that refused is not asked again */
#define UNUSED_MEMORY_MS 60000
/*
 * Requests of this node at one helper. The helper bounds the sum of all nodes'
 * requests itself.
 */
#define MAX_IN_FLIGHT 64

static void free_helper(gpointer p)
{
	struct relay_helper *helper = p;

	g_free(helper->record.id);
	g_free(helper->record.address);
	g_free(helper);
}

/* Initialises without any helper. */
void relay_helpers_init(struct relay_helpers *h)
{
	h->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   free_helper);
}

static struct relay_helper *get_helper(struct relay_helpers *h,
				       const struct relay_candidate *c)
{
	struct relay_helper *helper = g_hash_table_lookup(h->by_name, c->name);

	if (!helper) {
		helper = g_new0(struct relay_helper, 1);
		helper->record.id = g_strdup_printf("node:%s", c->name);
		helper->record.load_limit = &helper->load_limit;
		g_hash_table_insert(h->by_name, g_strdup(c->name), helper);
	}
	if (g_strcmp0(helper->record.address, c->address) != 0) {
		g_free(helper->record.address);
		helper->record.address = g_strdup(c->address);
	}
	return helper;
}

static bool may_be_asked(const struct relay_helper *helper, uint64_t now)
{
	return helper->refused_until <= now &&
	       helper->record.ejected_until <= now &&
	       helper->record.in_flight < MAX_IN_FLIGHT;
}

/*
 * Returns the candidate that serves the fewest requests of this node and has not
 * refused one lately, or NULL. The order of the candidates decides among equals.
 */
struct relay_helper *relay_helpers_choose(struct relay_helpers *h, uint64_t now,
					  const struct relay_candidate *c,
					  uint32_t n)
{
	struct relay_helper *best = NULL;

	for (uint32_t i = 0; i < n; i++) {
		struct relay_helper *helper = get_helper(h, &c[i]);

		if (may_be_asked(helper, now) &&
		    (!best ||
		     helper->record.in_flight < best->record.in_flight))
			best = helper;
	}
	if (best)
		best->used_at = now;
	return best;
}

/* Handles a node's answer that it did not run a request. */
void relay_helper_on_refusal(struct relay_helper *helper, uint64_t now)
{
	helper->refused_until = now + REFUSAL_HOLD_MS;
}

static gboolean is_unused(gpointer name, gpointer p, gpointer now)
{
	const struct relay_helper *helper = p;

	(void)name;
	return !helper->record.in_flight &&
	       *(const uint64_t *)now - helper->used_at > UNUSED_MEMORY_MS;
}

/* Frees helpers that have not been used for long. */
void relay_helpers_expire(struct relay_helpers *h, uint64_t now)
{
	g_hash_table_foreach_remove(h->by_name, is_unused, &now);
}
