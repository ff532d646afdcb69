#include "relay/reach.h"

#define FRESH_MS 300 /* so long a contact needs no confirmation */
#define KNOWN_MS 2000 /* so long a contact says that the server is reached */

/* Handles an answer, or a connection that could be made. */
void reach_on_contact(struct reach *r, uint64_t now)
{
	r->contacted_at = now;
	r->failed_at = 0;
	r->next_probe_at = 0;
}

/* Handles a connection that could not be made. */
void reach_on_failure(struct reach *r, uint64_t now)
{
	r->failed_at = now;
	r->next_probe_at = now + REACH_PROBE_INTERVAL_MS;
}

/*
 * Handles a sign that the server may be out of reach: it is to be probed, unless
 * there is another contact until the latest one is FRESH_MS old.
 */
void reach_on_doubt(struct reach *r, uint64_t now)
{
	uint64_t fresh_until = r->contacted_at ? r->contacted_at + FRESH_MS : 0;

	if (!r->next_probe_at)
		r->next_probe_at = now > fresh_until ? now : fresh_until;
}

/* Returns whether the latest contact failed. */
bool reach_is_lost(const struct reach *r)
{
	return r->failed_at != 0;
}

/* Returns whether the server is lost, or was reached lately. */
bool reach_is_known(const struct reach *r, uint64_t now)
{
	return r->failed_at ||
	       (r->contacted_at && now - r->contacted_at < KNOWN_MS);
}

/* Returns whether a connection to the server should be tried now. */
bool reach_needs_probe(const struct reach *r, uint64_t now)
{
	return r->next_probe_at && r->next_probe_at <= now && !r->probing;
}
