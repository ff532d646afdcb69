#include "config/view.h"

#include <glib.h>

/*
 * Records that `revision` was the head at time `confirmed_at` (ms), as read
 * from the store or confirmed by a peer. Returns what to do next. A lower
 * revision than one seen before is ignored: it is never served and never counts
 * as a confirmation.
 */
enum cfg_view_action cfg_view_on_head(struct cfg_view *v, uint64_t now,
				      uint64_t confirmed_at, uint64_t revision)
{
	confirmed_at = MIN(confirmed_at, now);
	if (revision < v->latest)
		return CFG_VIEW_NO_ACTION;
	if (revision > v->latest || confirmed_at > v->latest_confirmed_at)
		v->latest_confirmed_at = confirmed_at;
	v->latest = revision;
	if (revision > v->in_force)
		return CFG_VIEW_FETCH;
	v->in_force_confirmed_at = v->latest_confirmed_at;
	v->ever_confirmed = true;
	return CFG_VIEW_NO_ACTION;
}

/*
 * Records that all sections of `revision` were fetched. Returns true if it is
 * now in force and must be applied, and false for a revision that is not above
 * the one in force.
 */
bool cfg_view_on_fetched(struct cfg_view *v, uint64_t revision)
{
	if (revision <= v->in_force || revision > v->latest)
		return false;
	v->in_force = revision;
	if (revision == v->latest) {
		v->in_force_confirmed_at = v->latest_confirmed_at;
		v->ever_confirmed = true;
	}
	return true;
}

/*
 * Returns the ms since the revision in force was last known to be the head;
 * UINT64_MAX if it never was.
 */
uint64_t cfg_view_age_ms(const struct cfg_view *v, uint64_t now)
{
	if (!v->ever_confirmed)
		return UINT64_MAX;
	return now > v->in_force_confirmed_at ? now - v->in_force_confirmed_at
					      : 0;
}

/*
 * Returns the state of the view. The configuration in force is fresh if it was
 * the head within CFG_VIEW_MAX_AGE_MS: a newer one was then accepted no longer
 * ago than that. After that it still serves while a majority of the members
 * report that they cannot reach the store: that is an outage of the store, and
 * not just of this node's connection to it.
 */
enum cfg_view_state cfg_view_evaluate(const struct cfg_view *v, uint64_t now,
				      const struct cfg_view_peers *peers)
{
	if (!v->in_force)
		return CFG_VIEW_EMPTY;
	if (cfg_view_age_ms(v, now) <= CFG_VIEW_MAX_AGE_MS)
		return CFG_VIEW_FRESH;
	if (v->in_force < v->latest)
		return CFG_VIEW_STALE;
	if (2 * peers->without_store > peers->members)
		return CFG_VIEW_OUTAGE;
	return CFG_VIEW_STALE;
}

/* Returns whether a node in this state accepts new work. */
bool cfg_view_accepts_work(enum cfg_view_state state)
{
	switch (state) {
	case CFG_VIEW_FRESH:
	case CFG_VIEW_OUTAGE:
		return true;
	case CFG_VIEW_EMPTY:
	case CFG_VIEW_STALE:
		return false;
	}
	return false;
}

/* Returns the state's name for responses, status and metrics; a constant. */
const char *cfg_view_state_name(enum cfg_view_state state)
{
	switch (state) {
	case CFG_VIEW_EMPTY:
		return "empty";
	case CFG_VIEW_FRESH:
		return "fresh";
	case CFG_VIEW_OUTAGE:
		return "outage";
	case CFG_VIEW_STALE:
		return "stale";
	}
	return "stale";
}
