#ifndef FLEET_LOAD_PLAN_H
#define FLEET_LOAD_PLAN_H

#include <stdbool.h>
#include <stdint.h>

/*
 * How often a node tells others the load that it puts on servers, and whom. Small
 * fleets tell nodes at random in each tick. In large ones that would be most of
 * what nodes send to other zones, so they tell it less often and mostly in their
 * own zone. Pure.
 */
struct load_plan {
	uint32_t interval_ticks; /* between two messages */
	bool by_zone; /* false: all receivers count as others */
	uint32_t own_zone; /* receivers in the zone of the sender */
	uint32_t others; /* receivers elsewhere, or whose zone is not known */
};

struct load_plan load_plan_for(uint32_t live);
void load_plan_limit_own_zone(struct load_plan *left, uint32_t peers);
bool load_plan_take(struct load_plan *left, bool same_zone);

#endif
