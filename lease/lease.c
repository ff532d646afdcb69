#include "lease/lease.h"

#include <glib.h>
#include <string.h>

/* Starts without the lease. */
void lease_init(struct lease_state *l, const char *me)
{
	memset(l, 0, sizeof(*l));
	g_strlcpy(l->me, me, sizeof(l->me));
}

static bool is_mine(const struct lease_state *l)
{
	return l->changed_at && !strcmp(l->seen.holder, l->me);
}

static struct lease_action write_record(struct lease_state *l, uint64_t now,
					bool create)
{
	struct lease_action a = {
		.kind = create ? LEASE_CREATE : LEASE_REPLACE,
		.etag = l->etag,
	};

	g_strlcpy(a.record.holder, l->me, sizeof(a.record.holder));
	a.record.fence = l->seen.fence + !(is_mine(l) && l->held);
	a.record.renewal = l->seen.renewal + 1;
	l->waiting = true;
	l->begun_at = now;
	return a;
}

/*
 * Returns what to do now: read the lease, renew it while it is held, or take
 * it over after it has stood unchanged for LEASE_DURATION_MS.
 */
struct lease_action lease_tick(struct lease_state *l, uint64_t now)
{
	struct lease_action a = {.kind = LEASE_NO_ACTION};

	if (l->waiting || now < l->next_at)
		return a;
	l->next_at = now + LEASE_RENEW_INTERVAL_MS;
	if (l->absent)
		return write_record(l, now, true);
	if (l->held && is_mine(l))
		return write_record(l, now, false);
	if (l->changed_at && now - l->changed_at >= LEASE_DURATION_MS)
		return write_record(l, now, false);
	l->waiting = true;
	a.kind = LEASE_READ;
	return a;
}

static void on_found(struct lease_state *l, uint64_t now,
		     const struct lease_result *e)
{
	bool changed = !l->changed_at || e->etag != l->etag;

	l->absent = false;
	l->seen = e->record;
	l->etag = e->etag;
	if (changed)
		l->changed_at = now ? now : 1;
	if (!is_mine(l))
		l->held = false;
}

static void on_written(struct lease_state *l, uint64_t now,
		       const struct lease_result *e)
{
	bool fresh = !(is_mine(l) && l->held);

	l->absent = false;
	g_strlcpy(l->seen.holder, l->me, sizeof(l->seen.holder));
	l->seen.fence += fresh;
	l->seen.renewal++;
	l->etag = e->etag;
	l->changed_at = now ? now : 1;
	l->held_since = l->begun_at;
	l->held = true;
}

/* Takes the outcome of the last action. */
void lease_on_result(struct lease_state *l, uint64_t now,
		     const struct lease_result *event)
{
	l->waiting = false;
	switch (event->kind) {
	case LEASE_FOUND:
		on_found(l, now, event);
		return;
	case LEASE_ABSENT:
		memset(&l->seen, 0, sizeof(l->seen));
		l->held = false;
		l->changed_at = 0;
		l->absent = true;
		l->next_at = now;
		return;
	case LEASE_WRITTEN:
		on_written(l, now, event);
		return;
	case LEASE_CONFLICT:
		l->held = false;
		l->absent = false;
		l->next_at = now;
		return;
	case LEASE_FAILED:
		return;
	}
}

/*
 * Tells whether this node may act as the holder: its last write took effect
 * and was begun less than LEASE_DURATION_MS ago.
 */
bool lease_is_held(const struct lease_state *l, uint64_t now)
{
	return l->held && is_mine(l) && now - l->held_since < LEASE_DURATION_MS;
}

/* Returns the fencing number of the lease as last seen. */
uint64_t lease_fence(const struct lease_state *l)
{
	return l->seen.fence;
}
