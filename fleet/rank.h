#ifndef FLEET_RANK_H
#define FLEET_RANK_H

#include <glib.h>
#include <stdint.h>

#include "member/member.h"

#define RANK_MAX_FIRST 32 /* found by rank_find_first() */

/*
 * Ranks of nodes for a role by rendezvous hashing: the node with the lowest hash
 * comes first. Nodes with different member tables may find the same rank for
 * themselves, so what a role does must be safe to do twice. Members are struct
 * member_entry, without this node; times are milliseconds of its own clock.
 */
struct rank_view {
	const GArray *members;
	const char *self; /* name of this node */
	uint64_t now;
	/* Members that died or left so short ago still count; 0: only live ones. */
	uint64_t hold_ms;
};

uint64_t rank_hash_role(const char *role);
uint64_t rank_hash_node(uint64_t role_hash, const char *node);
uint32_t rank_of_self(const struct rank_view *v, const char *role);
uint32_t rank_count_nodes(const struct rank_view *v);
uint32_t rank_find_first(const struct rank_view *v, const char *role,
			 const struct member_entry **first, uint32_t max);

#endif
