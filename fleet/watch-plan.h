#ifndef FLEET_WATCH_PLAN_H
#define FLEET_WATCH_PLAN_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides which nodes watch the source of the configuration, so that its load
 * does not grow with the fleet. Pure; times in ms.
 *
 * In a small fleet each node watches. In a large one the nodes of the lowest
 * ranks do, and send their status to all; while these statuses stay away, the
 * number of nodes that look for themselves doubles step by step, so that an
 * outage is probed by a few nodes, and nodes that alone reach the source are
 * found soon.
 *
 * A status says that the source has just answered its sender: a watch that is
 * silent proves nothing. The first of the nodes that watch leads: its watch of
 * the configuration ends each WATCH_PLAN_ANSWER_INTERVAL_MS. The others' may last
 * long, and one of them leads once no node of a lower rank sends its status.
 */
#define WATCH_PLAN_WATCHERS 4 /* nodes that watch in a large fleet */
#define WATCH_PLAN_ANSWER_INTERVAL_MS 1000

struct watch_plan {
	bool large; /* the fleet counts as large */
	uint64_t large_since;
	bool stands_in; /* watches since the watchers are silent */
};

/* What a node knows when it decides. */
struct watch_plan_view {
	uint32_t live; /* nodes, with this one */
	uint32_t rank; /* of this node among them, from 0 */
	bool has_read; /* all topics, here or from a peer */
	bool caught_up; /* with what the watchers' statuses said */
	bool source_answers; /* this node, at its last call */
	uint64_t status_at; /* last status of another node; 0: none */
	uint64_t lower_status_at; /* last one of a node of lower rank */
	uint64_t answered_at; /* this node, about the configuration; 0: never */
};

struct watch_role {
	bool watches;
	bool announces; /* sends its status to all nodes, while it vouches */
	bool vouches; /* the source's last answer is new enough for a status */
	bool leads; /* its watch of the configuration ends often */
	bool confirms; /* leads, and needs an answer of the source at once */
	bool source_lost; /* neither this node nor a watcher reads the source */
	uint32_t watchers; /* nodes that watch, as far as this one knows */
	uint32_t retry_min_ms; /* backoff after failed calls */
	uint32_t retry_max_ms;
};

struct watch_role watch_plan_decide(struct watch_plan *p, uint64_t now,
				    const struct watch_plan_view *v);

#endif
