#include "rollout/status-task.h"

#include <string.h>

#include "config/watch-task.h"
#include "daemon/node.h"
#include "member/member-task.h"
#include "rollout/rating-task.h"

#define TICK_INTERVAL_MS 100

struct rollout_status_writer {
	struct node *node;
	uv_timer_t timer;
	uint64_t next_write_at; /* ms */
	bool writing; /* a write is under way */
	bool stopped;
};

/* Returns this node's status object, newly allocated. */
struct json_object *rollout_status_json(struct node *n)
{
	const struct cfg_view *v = cfg_watch_view(n->config_task);
	uint64_t now = node_now(n);
	struct cfg_view_peers peers =
		membership_task_estimate_peers(n->member_task, now);
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "node",
			       json_object_new_string(n->settings->node));
	json_object_object_add(o, "boot", json_object_new_string(n->boot));
	json_object_object_add(o, "zone",
			       json_object_new_string(n->settings->zone));
	json_object_object_add(o, "revision",
			       json_object_new_int64((int64_t)v->in_force));
	json_object_object_add(o, "state",
			       json_object_new_string(cfg_view_state_name(
				       cfg_view_evaluate(v, now, &peers))));
	json_object_object_add(o, "draining",
			       json_object_new_boolean(n->draining));
	json_object_object_add(o, "at",
			       json_object_new_int64(g_get_real_time() / 1000));
	json_object_object_add(o, "evidence",
			       rating_evidence_json(n->rating_task));
	return o;
}

static void on_status_written(void *user, const struct store_result *r)
{
	(void)r;
	((struct rollout_status_writer *)user)->writing = false;
}

static void write_status(struct rollout_status_writer *t, uint64_t now)
{
	g_autofree char *name = NULL;
	struct json_object *o;
	const char *text;

	if (t->writing || now < t->next_write_at)
		return;
	t->next_write_at = now + (uint64_t)t->node->settings->status_ms;
	t->writing = true;
	name = g_strdup_printf("status/%s", t->node->settings->node);
	o = rollout_status_json(t->node);
	text = json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN);
	store_put(t->node->store, name, text, strlen(text), STORE_UNCONDITIONAL,
		  0, on_status_written, t);
	json_object_put(o);
}

static void on_tick(uv_timer_t *timer)
{
	struct rollout_status_writer *t = timer->data;

	write_status(t, node_now(t->node));
}

/* Starts to write the status object every `status_ms` of the settings. */
struct rollout_status_writer *rollout_status_start(struct node *n)
{
	struct rollout_status_writer *t =
		g_new0(struct rollout_status_writer, 1);

	t->node = n;
	uv_timer_init(n->loop, &t->timer);
	t->timer.data = t;
	uv_timer_start(&t->timer, on_tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS);
	return t;
}

/* Stops the timer; does nothing when called again. */
void rollout_status_stop(struct rollout_status_writer *t)
{
	if (t->stopped)
		return;
	t->stopped = true;
	uv_close((uv_handle_t *)&t->timer, NULL);
}
