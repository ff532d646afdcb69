#include "daemon/node.h"

#include <stdio.h>
#include <string.h>

#include "backend/table-task.h"
#include "config/watch-task.h"
#include "invariant.h"
#include "log-event.h"
#include "member/member-task.h"

/*
 * Returns the loop's current time in ms, not that of its last wake-up: the
 * process may have been suspended since then.
 */
uint64_t node_now(struct node *n)
{
	uv_update_time(n->loop);
	return uv_now(n->loop);
}

/* Writes a new request id of 32 hex digits: the boot id and a count. */
void node_new_request_id(struct node *n, char *out, size_t size)
{
	snprintf(out, size, "%s%016llx", n->boot,
		 (unsigned long long)++n->request_count);
}

/*
 * Puts a configuration in force and takes ownership of it. Quality statistics
 * and counts in the limits are carried over from the old one by name; the old
 * one is freed.
 */
void node_apply_config(struct node *n, struct cfg *cfg)
{
	struct cfg *old = n->cfg;
	struct quality_table *old_quality;

	INVARIANT(!old || cfg->revision > old->revision,
		  "configuration: the revision in force only grows");
	backend_table_on_config(n->backend_task, cfg, old);
	if (old) {
		old_quality = g_memdup2(&n->quality, sizeof(n->quality));
		quality_carry_over(&n->quality, cfg, old_quality, old);
		limit_remap_orgs(&n->limits, cfg, old);
		g_free(old_quality);
	}
	n->cfg = cfg;
	cfg_free(old);
	counter_add(&n->counter_set, COUNTER_CONFIG_APPLIED, 1);
	log_event(LOG_EVENT_CONFIG_IN_FORCE, "revision=%" G_GUINT64_FORMAT,
		  cfg->revision);
}

/* Returns how far the configuration in force can be relied on at `now`. */
static enum cfg_view_state evaluate_config(struct node *n, uint64_t now)
{
	struct cfg_view_peers peers =
		membership_task_estimate_peers(n->member_task, now);

	return cfg_view_evaluate(cfg_watch_view(n->config_task), now, &peers);
}

/* Logs the state of the configuration if it has changed since the last call. */
void node_log_config_state(struct node *n, uint64_t now)
{
	enum cfg_view_state state = evaluate_config(n, now);

	if (state == n->last_state)
		return;
	log_event(LOG_EVENT_CONFIG_STATE, "from=%s to=%s",
		  cfg_view_state_name(n->last_state),
		  cfg_view_state_name(state));
	n->last_state = state;
}

/*
 * Returns whether a request may be sent to a backend server now: the
 * configuration in force must not be stale. If not, sets *reason to a static
 * string. A node that shuts down still sends the requests that it has accepted.
 */
bool node_can_send(struct node *n, uint64_t now, const char **reason)
{
	enum cfg_view_state state = evaluate_config(n, now);

	if (cfg_view_accepts_work(state) && n->cfg)
		return true;
	*reason = state == CFG_VIEW_EMPTY ? "no-configuration"
					  : "configuration-stale";
	return false;
}

/*
 * Returns whether this node accepts new requests now; if not, sets *reason to a
 * static string.
 */
bool node_accepts_requests(struct node *n, uint64_t now, const char **reason)
{
	if (!n->draining)
		return node_can_send(n, now, reason);
	*reason = "draining";
	return false;
}
