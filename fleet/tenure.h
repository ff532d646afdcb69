#ifndef FLEET_TENURE_H
#define FLEET_TENURE_H

#include <stdbool.h>
#include <stdint.h>

/* Others keep a node's place in their ranks for so long after its death. */
#define TENURE_HOLD_MS 10000

/*
 * Whether this node's rank among the nodes is what the others take it for: not before
 * it knows them and they know it, and not after they have given its place away. Times
 * are ms of the node's own clock. Initialise with zeroes and the time of the start.
 */
struct tenure {
	uint64_t started_at; /* or gone on after its place was given away */
	uint64_t heard_at; /* latest time of which another node has heard it */
	uint64_t suspended_ms; /* since then, not counted by the clock */
};

/* What a node knows of the others. */
struct tenure_view {
	bool is_complete; /* they list hardly anybody that it does not know */
	bool is_alone; /* there are none, as far as it knows */
};

void tenure_on_heard(struct tenure *t, uint64_t at);
void tenure_on_pause(struct tenure *t, uint64_t now, uint64_t suspended_ms,
		     const struct tenure_view *v);
bool tenure_is_valid(const struct tenure *t, uint64_t now,
		     const struct tenure_view *v);

#endif
