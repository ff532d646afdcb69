#include "config/view.h"

#include <glib.h>

/*
 * Takes note of a head that the store, or a peer that heard it from the
 * store, showed as of the given time. A lower revision than one heard before
 * is never acted on, and never counts as a confirmation.
 */
enum cfg_view_action cfg_view_on_head(struct cfg_view *v, uint64_t now,
				      uint64_t as_of, uint64_t revision)
{
	as_of = MIN(as_of, now);
	if (revision < v->wanted)
		return CFG_VIEW_NO_ACTION;
	if (revision > v->wanted || as_of > v->wanted_at)
		v->wanted_at = as_of;
	v->wanted = revision;
	if (revision > v->in_force)
		return CFG_VIEW_FETCH;
	v->in_force_at = v->wanted_at;
	v->confirmed = true;
	return CFG_VIEW_NO_ACTION;
}

/*
 * Called with a revision whose sections are all there. Returns true if it is
 * to be put in force; an older one than that in force is not.
 */
bool cfg_view_on_fetched(struct cfg_view *v, uint64_t revision)
{
	if (revision <= v->in_force || revision > v->wanted)
		return false;
	v->in_force = revision;
	if (revision == v->wanted) {
		v->in_force_at = v->wanted_at;
		v->confirmed = true;
	}
	return true;
}

/*
 * Returns for how long the revision in force has not been known to be the
 * head, in ms; UINT64_MAX if it never was.
 */
uint64_t cfg_view_age_ms(const struct cfg_view *v, uint64_t now)
{
	if (!v->confirmed)
		return UINT64_MAX;
	return now > v->in_force_at ? now - v->in_force_at : 0;
}

/*
 * Tells whether the configuration in force can be relied on. It can if it
 * was the head within CFG_VIEW_MAX_AGE_MS: a newer one was then accepted no longer
 * ago than that. It also can while a majority of the members tell this node
 * that the store is out of their reach: then a cut of this node alone is
 * ruled out.
 */
enum cfg_view_state cfg_view_evaluate(const struct cfg_view *v, uint64_t now,
				      const struct cfg_view_peers *peers)
{
	if (!v->in_force)
		return CFG_VIEW_EMPTY;
	if (cfg_view_age_ms(v, now) <= CFG_VIEW_MAX_AGE_MS)
		return CFG_VIEW_FRESH;
	if (v->in_force < v->wanted)
		return CFG_VIEW_STALE;
	if (2 * peers->without_store > peers->members)
		return CFG_VIEW_OUTAGE;
	return CFG_VIEW_STALE;
}

/* Tells whether a node in this state takes new work. */
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

/* Returns the state's name for answers, status and metrics. */
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
