#ifndef ROLLOUT_COVERAGE_H
#define ROLLOUT_COVERAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "rollout/shift.h"

/*
 * Whether a node has the counts of all requests for a service since the order of a
 * roll-out. Nodes report to the first few by rank. Counts only increase within one
 * run of a node, so the last report of a run says all of it; but what a run that
 * has ended had counted is known only to nodes that got its reports. Pure; times
 * are milliseconds of the node's own clock.
 */
#define COVERAGE_LEARN_MS 2000 /* from an order until all nodes know of it */

/* Why counts may be missing. */
enum coverage_gap {
	COVERAGE_COMPLETE, /* none are */
	COVERAGE_LATE, /* reports have come only since long after the order */
	COVERAGE_UNREACHABLE, /* a node that was dead to this one may have served */
	COVERAGE_SILENT, /* the last report of another node is old */
};

/* Of one order. Initialise with zeroes. */
struct coverage {
	uint64_t since; /* reports come without a break; 0: they do not */
	bool unreachable; /* another node has counted as dead since the order */
};

/* What the member table says of the others. */
struct coverage_view {
	bool gets_reports; /* this node is among those that get them */
	bool any_dead;
	const char *const *serving; /* names of nodes that may serve requests */
	uint32_t n_serving;
};

void coverage_update(struct coverage *c, uint64_t now,
		     const struct coverage_view *v);
void coverage_on_pause(struct coverage *c, uint64_t now);
enum coverage_gap coverage_find_gap(const struct coverage *c,
				    const struct traffic_shift *s, uint64_t now,
				    const struct coverage_view *v);
const char *coverage_gap_name(enum coverage_gap gap);

#endif
