#include "relay/reach.h"

#define FRESH_MS 300 /* so long a contact needs no confirmation */
#define MAX_FAILURES 8 /* that are counted */
#define KNOWN_MS 2000 /* so long a contact says that the server is reached */

/* Handles an answer, or a connection that could be made. */
void reach_on_contact(struct reach *r, uint64_t now)
{
	r->contacted_at = now;
	r->failed_at = 0;
	r->next_probe_at = 0;
	r->failures = 0;
}

/* Handles a connection that could not be made. */
void reach_on_failure(struct reach *r, uint64_t now)
{
	uint64_t ms = (uint64_t)REACH_PROBE_INTERVAL_MS
		      << (r->failures < MAX_FAILURES ? r->failures / 2
						     : MAX_FAILURES / 2);

	if (r->failures < MAX_FAILURES)
		r->failures++;
	if (ms > REACH_PROBE_MAX_INTERVAL_MS)
		ms = REACH_PROBE_MAX_INTERVAL_MS;
	r->failed_at = now;
	r->next_probe_at = now + ms;
}

/*
 * Returns what to doubt after a connection that could not be made; was_lost if
 * that server was lost before. A node that is cut off loses one server after the
 * other, so its doubts spread to all. A server that is down by itself must not
 * make every node connect to every other server.
 */
struct reach_doubt reach_doubts_on_failure(struct reach_doubts *d, uint64_t now,
					   bool was_lost)
{
	struct reach_doubt out = {false, 0};

	if (was_lost)
		return out;
	out.unknown = REACH_UNKNOWN_DOUBTS;
	if (now >= d->next_all_at) {
		out.known = true;
		d->next_all_at = now + REACH_DOUBT_ALL_INTERVAL_MS;
	}
	return out;
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

/* Returns whether the latest contact needs no confirmation yet. */
bool reach_has_contact(const struct reach *r, uint64_t now)
{
	return !r->failed_at && r->contacted_at &&
	       now - r->contacted_at < FRESH_MS;
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
