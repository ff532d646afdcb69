#ifndef FLEET_EVACUATION_TASK_H
#define FLEET_EVACUATION_TASK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct gateway_state;
struct fleet_task;

/*
 * Tells nodes that do not watch the source which zones are evacuated, and hears it
 * from those that do. Times are ms of the node's clock. Initialise with zeroes and
 * the time of the start in heard_at.
 */
struct evacuation_task {
	uint64_t heard_at; /* last message of another node */
	uint64_t next_at; /* of the next message */
	uint64_t repeat_until; /* often, after a change */
	uint32_t sent_changes; /* of the set, in the last message */
};

void evacuation_task_tick(struct evacuation_task *e, struct gateway_state *g,
			  struct fleet_task *t, uint64_t now, bool announces);
void evacuation_task_on_message(struct evacuation_task *e,
				struct gateway_state *g, const uint8_t *bytes,
				size_t len);
bool evacuation_task_is_uninformed(const struct evacuation_task *e,
				   const struct gateway_state *g, uint64_t now);

#endif
