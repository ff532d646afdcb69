#include "fleet/rank.h"

#include <stdbool.h>
#include <string.h>
#include <xxhash.h>

/* Returns the hash of a role, for rank_hash_node(). */
uint64_t rank_hash_role(const char *role)
{
	return XXH3_64bits(role, strlen(role));
}

/* Returns the hash by which a node is ranked for a role. */
uint64_t rank_hash_node(uint64_t role_hash, const char *node)
{
	const uint64_t pair[2] = {role_hash, XXH3_64bits(node, strlen(node))};

	return XXH3_64bits(pair, sizeof(pair));
}

static const struct member_entry *member_at(const struct rank_view *v, guint i)
{
	return &g_array_index(v->members, struct member_entry, i);
}

static bool counts(const struct rank_view *v, const struct member_entry *m)
{
	switch (m->info.state) {
	case MEMBER_ALIVE:
	case MEMBER_SUSPECT:
		return true;
	case MEMBER_LEAVING:
	case MEMBER_DEAD:
		break;
	}
	return v->now - m->changed_at < v->hold_ms;
}

/* Returns how many nodes come before this one for a role. */
uint32_t rank_of_self(const struct rank_view *v, const char *role)
{
	uint64_t hash = rank_hash_role(role);
	uint64_t mine = rank_hash_node(hash, v->self);
	uint32_t rank = 0;

	for (guint i = 0; i < v->members->len; i++) {
		const struct member_entry *m = member_at(v, i);

		rank += counts(v, m) &&
			rank_hash_node(hash, m->info.name) < mine;
	}
	return rank;
}

/* Returns the number of nodes that are ranked, including this one. */
uint32_t rank_count_nodes(const struct rank_view *v)
{
	uint32_t n = 1;

	for (guint i = 0; i < v->members->len; i++)
		n += counts(v, member_at(v, i));
	return n;
}

/*
 * Stores the members of the lowest ranks for a role, without this node, in `first`,
 * in their order. Returns their number, at most `max` and RANK_MAX_FIRST.
 */
uint32_t rank_find_first(const struct rank_view *v, const char *role,
			 const struct member_entry **first, uint32_t max)
{
	uint64_t hash = rank_hash_role(role);
	uint64_t ranks[RANK_MAX_FIRST] = {0};
	uint32_t n = 0;

	max = MIN(max, RANK_MAX_FIRST);
	for (guint i = 0; i < v->members->len; i++) {
		const struct member_entry *m = member_at(v, i);
		uint64_t rank = rank_hash_node(hash, m->info.name);
		uint32_t at = n;

		if (!counts(v, m))
			continue;
		while (at && rank < ranks[at - 1])
			at--;
		if (at >= max)
			continue;
		n = MIN(n + 1, max);
		for (uint32_t k = n - 1; k > at; k--) {
			ranks[k] = ranks[k - 1];
			first[k] = first[k - 1];
		}
		ranks[at] = rank;
		first[at] = m;
	}
	return n;
}
