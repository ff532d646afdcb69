#include "fleet/tenure.h"

#define SETTLE_MS 3000 /* after a start, until the others know the node */
#define MAX_SETTLE_MS 10000 /* even if its view of the others is not complete */

/* Handles that another node has heard this one at a time, or later. */
void tenure_on_heard(struct tenure *t, uint64_t at)
{
	if (at <= t->heard_at)
		return;
	t->heard_at = at;
	t->suspended_ms = 0;
}

/*
 * Handles the end of a pause of the process, of which the clock has not counted
 * `suspended_ms`. If no other node has heard this one for TENURE_HOLD_MS, they may
 * have given its place away.
 */
void tenure_on_pause(struct tenure *t, uint64_t now, uint64_t suspended_ms,
		     const struct tenure_view *v)
{
	t->suspended_ms += suspended_ms;
	if (!v->is_alone &&
	    now - t->heard_at + t->suspended_ms >= TENURE_HOLD_MS)
		t->started_at = now;
}

/* Returns whether the node's rank is likely to be what the others take it for. */
bool tenure_is_valid(const struct tenure *t, uint64_t now,
		     const struct tenure_view *v)
{
	uint64_t ms = now - t->started_at;

	return ms >= MAX_SETTLE_MS ||
	       (ms >= SETTLE_MS && (v->is_complete || v->is_alone));
}
