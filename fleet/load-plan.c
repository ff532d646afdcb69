#include "fleet/load-plan.h"

#define FANOUT 16 /* receivers of a message */
#define OTHER_ZONE_FANOUT 4 /* of these, in a large fleet */
/*
 * Up to this size a message each tick stays within what the smallest links of
 * 10 Mbit/s bear beside the requests.
 */
#define SMALL_MAX_NODES 120
/* A large fleet waits one more tick for each further so many nodes. */
#define NODES_PER_TICK 100

/* Returns the plan for a fleet of so many live nodes. */
struct load_plan load_plan_for(uint32_t live)
{
	struct load_plan p = {
		.interval_ticks = 1,
		.own_zone = 0,
		.others = FANOUT,
	};

	if (live <= SMALL_MAX_NODES)
		return p;
	p.interval_ticks = (live + NODES_PER_TICK - 1) / NODES_PER_TICK;
	p.by_zone = true;
	p.own_zone = FANOUT - OTHER_ZONE_FANOUT;
	p.others = OTHER_ZONE_FANOUT;
	return p;
}

/* Gives what the sender's zone lacks in nodes to the others. */
void load_plan_limit_own_zone(struct load_plan *left, uint32_t peers)
{
	if (peers >= left->own_zone)
		return;
	left->others += left->own_zone - peers;
	left->own_zone = peers;
}

/*
 * Returns whether a node gets the message, and takes it off what is left; same_zone
 * if it is known to be in the sender's zone.
 */
bool load_plan_take(struct load_plan *left, bool same_zone)
{
	uint32_t *n =
		left->by_zone && same_zone ? &left->own_zone : &left->others;

	if (!*n)
		return false;
	--*n;
	return true;
}
