#include "fleet/watch-plan.h"

/*
 * A fleet counts as large from LARGE_MIN_NODES on, until it has shrunk to
 * SMALL_MAX_NODES: restarts in turn must not change who watches.
 */
#define LARGE_MIN_NODES 17
#define SMALL_MAX_NODES 11
#define STATUS_MAX_AGE_MS 700
/* Age of the source's last answer up to which a node vouches for it. */
#define ANSWER_MAX_AGE_MS 1200
/* At this age the watch counts as silent, and a new call asks the source. */
#define ANSWER_OVERDUE_MS 1400
/* Without a status of a lower rank for so long, a node that watches leads. */
#define LEAD_AFTER_SILENCE_MS 450
/* While statuses stay away, the nodes that watch double this often. */
#define ESCALATION_STEP_MS 300
#define MAX_DOUBLINGS 24
/* Backoff after failed calls of the watchers, and of nodes that stand in. */
#define WATCHER_RETRY_MIN_MS 60
#define WATCHER_RETRY_MAX_MS 500
#define OTHER_RETRY_MIN_MS 2000
#define OTHER_RETRY_MAX_MS 8000

static void update_size(struct watch_plan *p, uint64_t now, uint32_t live)
{
	if (!p->large && live >= LARGE_MIN_NODES) {
		p->large = true;
		p->large_since = now;
	} else if (p->large && live <= SMALL_MAX_NODES) {
		p->large = false;
	}
}

/* Returns for how many ms no status has come after that of `status_at`. */
static uint64_t silent_ms(const struct watch_plan *p, uint64_t now,
			  uint64_t status_at)
{
	return now - (status_at > p->large_since ? status_at : p->large_since);
}

/* Returns for how many ms a status has been overdue; 0: it is not. */
static uint64_t overdue_ms(const struct watch_plan *p, uint64_t now,
			   uint64_t status_at)
{
	uint64_t age_ms = silent_ms(p, now, status_at);

	return age_ms < STATUS_MAX_AGE_MS ? 0 : age_ms - STATUS_MAX_AGE_MS + 1;
}

/* Returns how many nodes watch after statuses were overdue for so long. */
static uint32_t escalated_watchers(uint64_t ms)
{
	uint64_t doublings = 1 + ms / ESCALATION_STEP_MS;

	return (uint32_t)WATCH_PLAN_WATCHERS
	       << (doublings < MAX_DOUBLINGS ? doublings : MAX_DOUBLINGS);
}

/*
 * Returns whether a node that is none of the watchers stands in for them: from
 * when their statuses stay away, until others' arrive that are of a lower rank,
 * or of any if this node does not reach the source.
 */
static bool stands_in(const struct watch_plan *p, uint64_t now,
		      const struct watch_plan_view *v)
{
	uint64_t ms = overdue_ms(p, now, v->status_at);

	if (ms)
		return p->stands_in || v->rank < escalated_watchers(ms);
	return p->stands_in && v->source_answers &&
	       overdue_ms(p, now, v->lower_status_at);
}

/* Sets what a node does that watches on behalf of the others. */
static void announce(struct watch_role *role, const struct watch_plan *p,
		     uint64_t now, const struct watch_plan_view *v)
{
	uint64_t age_ms = v->answered_at ? now - v->answered_at : UINT64_MAX;

	role->announces = true;
	role->vouches = age_ms <= ANSWER_MAX_AGE_MS;
	role->leads =
		silent_ms(p, now, v->lower_status_at) >= LEAD_AFTER_SILENCE_MS;
	role->confirms = role->leads && age_ms > ANSWER_OVERDUE_MS;
}

/*
 * Decides the node's role at `now`. Nodes with different member tables may
 * both take a rank, so roles may overlap; that costs calls only.
 */
struct watch_role watch_plan_decide(struct watch_plan *p, uint64_t now,
				    const struct watch_plan_view *v)
{
	struct watch_role role = {
		.watches = true,
		.watchers = WATCH_PLAN_WATCHERS,
		.retry_min_ms = WATCHER_RETRY_MIN_MS,
		.retry_max_ms = WATCHER_RETRY_MAX_MS,
	};

	update_size(p, now, v->live);
	if (!p->large) {
		role.watchers = v->live;
		return role;
	}
	if (v->rank < WATCH_PLAN_WATCHERS) {
		announce(&role, p, now, v);
		return role;
	}
	p->stands_in = stands_in(p, now, v);
	if (p->stands_in)
		announce(&role, p, now, v);
	/* A node without state, or one that misses a change, reads it itself. */
	if (!v->has_read || !v->caught_up)
		return role;
	role.watches = p->stands_in;
	role.source_lost = !role.watches && overdue_ms(p, now, v->status_at);
	role.retry_min_ms = OTHER_RETRY_MIN_MS;
	role.retry_max_ms = OTHER_RETRY_MAX_MS;
	return role;
}
