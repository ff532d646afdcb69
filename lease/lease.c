#include "lease/lease.h"

#include <glib.h>
#include <string.h>

/* Initialises the view of the node named `self`; it doesn't hold the lease. */
void lease_init(struct lease_state *l, const char *self)
{
	memset(l, 0, sizeof(*l));
	g_strlcpy(l->self, self, sizeof(l->self));
}

static bool is_own(const struct lease_state *l)
{
	return l->record_since && !strcmp(l->record.holder, l->self);
}

static struct lease_action start_write(struct lease_state *l, uint64_t now,
				       bool create)
{
	struct lease_action a = {
		.kind = create ? LEASE_CREATE : LEASE_REPLACE,
		.etag = l->etag,
	};

	g_strlcpy(a.record.holder, l->self, sizeof(a.record.holder));
	a.record.fence = l->record.fence + !(is_own(l) && l->held);
	a.record.renewal = l->record.renewal + 1;
	l->action_pending = true;
	l->write_started_at = now;
	return a;
}

/*
 * Returns the action due now: read the lease, renew it if this node holds it,
 * create it, or take it over once it has not changed for LEASE_DURATION_MS. The
 * caller must pass its outcome to lease_on_result(), unless it is
 * LEASE_NO_ACTION.
 */
struct lease_action lease_tick(struct lease_state *l, uint64_t now)
{
	struct lease_action a = {.kind = LEASE_NO_ACTION};

	if (l->action_pending || now < l->next_action_at)
		return a;
	l->next_action_at = now + LEASE_RENEW_INTERVAL_MS;
	if (l->absent)
		return start_write(l, now, true);
	if (l->held && is_own(l))
		return start_write(l, now, false);
	if (l->record_since && now - l->record_since >= LEASE_DURATION_MS)
		return start_write(l, now, false);
	l->action_pending = true;
	a.kind = LEASE_READ;
	return a;
}

static void on_found(struct lease_state *l, uint64_t now,
		     const struct lease_result *r)
{
	bool changed = !l->record_since || r->etag != l->etag;

	l->absent = false;
	l->record = r->record;
	l->etag = r->etag;
	if (changed)
		l->record_since = now ? now : 1;
	if (!is_own(l))
		l->held = false;
}

static void on_written(struct lease_state *l, uint64_t now,
		       const struct lease_result *r)
{
	bool acquired = !(is_own(l) && l->held);

	l->absent = false;
	g_strlcpy(l->record.holder, l->self, sizeof(l->record.holder));
	l->record.fence += acquired;
	l->record.renewal++;
	l->etag = r->etag;
	l->record_since = now ? now : 1;
	l->renewed_at = l->write_started_at;
	l->held = true;
}

/* Handles the outcome of the last action. */
void lease_on_result(struct lease_state *l, uint64_t now,
		     const struct lease_result *result)
{
	l->action_pending = false;
	switch (result->kind) {
	case LEASE_FOUND:
		on_found(l, now, result);
		return;
	case LEASE_ABSENT:
		memset(&l->record, 0, sizeof(l->record));
		l->held = false;
		l->record_since = 0;
		l->absent = true;
		l->next_action_at = now;
		return;
	case LEASE_WRITTEN:
		on_written(l, now, result);
		return;
	case LEASE_CONFLICT:
		l->held = false;
		l->absent = false;
		l->next_action_at = now;
		return;
	case LEASE_FAILED:
		/* If a write took effect all the same, the next conflicts. */
		return;
	}
}

/*
 * Returns whether this node may act as the holder: its last write succeeded and
 * was started less than LEASE_DURATION_MS ago, so no other node may have taken
 * the lease over.
 */
bool lease_is_held(const struct lease_state *l, uint64_t now)
{
	return l->held && is_own(l) && now - l->renewed_at < LEASE_DURATION_MS;
}

/* Returns the fencing number of the lease as last read or written. */
uint64_t lease_fence(const struct lease_state *l)
{
	return l->record.fence;
}
