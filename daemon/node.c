#include "daemon/node.h"

#include <stdio.h>
#include <string.h>

#include "backend/table-task.h"
#include "config/watch-task.h"
#include "invariant.h"
#include "log-event.h"
#include "member/member-task.h"

/*
 * Returns the loop's time in ms, read anew: the process may have been frozen
 * since the loop last woke.
 */
uint64_t node_now(struct node *n)
{
	uv_update_time(n->loop);
	return uv_now(n->loop);
}

/* Writes a new request id: the boot id and a count, 32 hex digits. */
void node_new_request_id(struct node *n, char *out, size_t size)
{
	snprintf(out, size, "%s%016llx", n->boot,
		 (unsigned long long)++n->request_count);
}

/*
 * Puts a configuration in force. What was learnt and counted under the old
 * one is carried over by name.
 */
void node_apply_config(struct node *n, struct cfg *cfg)
{
	struct cfg *old = n->cfg;
	struct quality_table *before;

	INVARIANT(!old || cfg->revision > old->revision,
		  "configuration: the revision in force only grows");
	backend_table_on_config(n->backend_task, cfg, old);
	if (old) {
		before = g_memdup2(&n->quality, sizeof(n->quality));
		quality_carry_over(&n->quality, cfg, before, old);
		limit_remap_orgs(&n->limits, cfg, old);
		g_free(before);
	}
	n->cfg = cfg;
	cfg_free(old);
	counter_add(&n->counter_set, COUNTER_CONFIG_APPLIED, 1);
	log_event(LOG_EVENT_CONFIG_IN_FORCE, "revision=%" G_GUINT64_FORMAT,
		  cfg->revision);
}

static enum cfg_view_state judge(struct node *n, uint64_t now)
{
	struct cfg_view_peers peers =
		membership_task_estimate_peers(n->member_task, now);

	return cfg_view_evaluate(cfg_watch_view(n->config_task), now, &peers);
}

/* Logs when the node begins or ceases to rely on its configuration. */
void node_log_config_state(struct node *n, uint64_t now)
{
	enum cfg_view_state state = judge(n, now);

	if (state == n->last_state)
		return;
	log_event(LOG_EVENT_CONFIG_STATE, "from=%s to=%s",
		  cfg_view_state_name(n->last_state),
		  cfg_view_state_name(state));
	n->last_state = state;
}

/*
 * Tells whether a request may go to a backend server now, and if not, why: the
 * configuration in force must be sure. A node that stops still sends for the
 * requests that it has taken.
 */
bool node_can_send(struct node *n, uint64_t now, const char **reason)
{
	enum cfg_view_state state = judge(n, now);

	if (cfg_view_accepts_work(state) && n->cfg)
		return true;
	*reason = state == CFG_VIEW_EMPTY ? "no-configuration"
					  : "configuration-stale";
	return false;
}

/* Tells whether this node takes new requests now, and if not, why. */
bool node_accepts_requests(struct node *n, uint64_t now, const char **reason)
{
	if (!n->draining)
		return node_can_send(n, now, reason);
	*reason = "draining";
	return false;
}
