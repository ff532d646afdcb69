#include "rollout/rollout-task.h"

#include <string.h>

#include "config/change-task.h"
#include "config/edit.h"
#include "daemon/node.h"
#include "json-check.h"
#include "lease/lease.h"
#include "log-event.h"
#include "rollout/evidence.h"

#define LEASE_OBJECT "lease/rollout"
#define TICK_MS 200

struct rollout_controller {
	struct node *node;
	struct lease_state lease;
	GHashTable *step_began; /* "roll-out step" -> ms, by this clock */
	uv_timer_t timer;
	uint64_t round_at; /* when the next round may begin */
	size_t turn; /* roll-out to look at next */
	bool round_out;
	bool stopped;
};

/* A round of the lease's holder over one roll-out. */
struct round {
	struct rollout_controller *task;
	char *rollout;
	char *from;
	char *to;
	size_t step;
	size_t n_steps;
	bool running;
	struct rollout_evidence *evidence;
	uint64_t etag; /* of the evidence object; 0: absent */
	struct rollout_counts new_to;
	uint32_t pending;
	enum rollout_decision verdict;
	enum rollout_metric respect;
};

static enum lease_result_kind lease_event(enum store_outcome outcome,
					  bool write)
{
	switch (outcome) {
	case STORE_OK:
		return write ? LEASE_WRITTEN : LEASE_FOUND;
	case STORE_NOT_FOUND:
		return LEASE_ABSENT;
	case STORE_CONFLICT:
		return LEASE_CONFLICT;
	default:
		return LEASE_FAILED;
	}
}

static void on_lease(struct rollout_controller *t, const struct store_result *r,
		     bool write)
{
	struct lease_result e = {
		.kind = lease_event(r->outcome, write),
		.etag = r->etag,
	};
	bool held = t->lease.held;

	if (e.kind == LEASE_FOUND) {
		struct json_object *o = json_tokener_parse(r->body);

		g_strlcpy(e.record.holder, jcheck_get_string(o, "holder", ""),
			  sizeof(e.record.holder));
		e.record.fence = (uint64_t)jcheck_get_int(o, "fence", 0);
		e.record.renewal = (uint64_t)jcheck_get_int(o, "renewal", 0);
		json_object_put(o);
	}
	lease_on_result(&t->lease, node_now(t->node), &e);
	if (t->lease.held && !held)
		log_event(LOG_EVENT_LEASE_TAKEN,
			  "object=%s fence=%" G_GUINT64_FORMAT, LEASE_OBJECT,
			  lease_fence(&t->lease));
}

static void on_lease_read(void *user, const struct store_result *r)
{
	on_lease(user, r, false);
}

static void on_lease_written(void *user, const struct store_result *r)
{
	on_lease(user, r, true);
}

static void write_lease(struct rollout_controller *t,
			const struct lease_action *a)
{
	struct json_object *o = json_object_new_object();
	const char *text;

	json_object_object_add(o, "holder",
			       json_object_new_string(a->record.holder));
	json_object_object_add(o, "fence",
			       json_object_new_int64((int64_t)a->record.fence));
	json_object_object_add(
		o, "renewal",
		json_object_new_int64((int64_t)a->record.renewal));
	text = json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN);
	store_put(t->node->store, LEASE_OBJECT, text, strlen(text),
		  a->kind == LEASE_CREATE ? STORE_IF_ABSENT : STORE_IF_MATCH,
		  a->etag, on_lease_written, t);
	json_object_put(o);
}

static void tick_lease(struct rollout_controller *t, uint64_t now)
{
	struct lease_action a = lease_tick(&t->lease, now);

	switch (a.kind) {
	case LEASE_NO_ACTION:
		return;
	case LEASE_READ:
		store_get(t->node->store, LEASE_OBJECT, on_lease_read, t);
		return;
	case LEASE_CREATE:
	case LEASE_REPLACE:
		write_lease(t, &a);
		return;
	}
}

static void end_round(struct round *r)
{
	r->task->round_out = false;
	evidence_free(r->evidence);
	g_free(r->rollout);
	g_free(r->from);
	g_free(r->to);
	g_free(r);
}

/* What the configuration is changed to, as of when it is changed. */
static struct json_object *edit_step(struct json_object *doc, void *user,
				     GError **err)
{
	struct round *r = user;
	bool last = r->step + 1 >= r->n_steps;
	g_autofree char *reason = NULL;
	bool ok;

	if (r->verdict == ROLLOUT_STOP) {
		reason = g_strdup_printf("worse than %s by %s", r->from,
					 rollout_metric_name(r->respect));
		ok = cfg_edit_stop_rollout(doc, r->rollout, reason, err);
	} else if (last) {
		ok = cfg_edit_finish_rollout(doc, r->rollout, err);
	} else {
		ok = cfg_edit_set_rollout_step(doc, r->rollout, r->step + 1,
					       err);
	}
	if (ok)
		return doc;
	json_object_put(doc);
	return NULL;
}

static void on_changed(void *user, uint64_t revision, const GError *err)
{
	struct round *r = user;
	struct node *n = r->task->node;

	if (err) {
		end_round(r);
		return;
	}
	if (r->verdict == ROLLOUT_STOP) {
		counter_add(&n->counter_set, COUNTER_ROLLOUT_STOPS, 1);
		log_event(LOG_EVENT_ROLLOUT_STOPPED,
			  "rollout=%s respect=%s revision=%" G_GUINT64_FORMAT,
			  r->rollout, rollout_metric_name(r->respect),
			  revision);
	} else {
		counter_add(&n->counter_set, COUNTER_ROLLOUT_STEPS, 1);
		log_event(r->step + 1 >= r->n_steps ? LOG_EVENT_ROLLOUT_DONE
						    : LOG_EVENT_ROLLOUT_GROWN,
			  "rollout=%s step=%zu revision=%" G_GUINT64_FORMAT,
			  r->rollout, r->step + 1, revision);
	}
	end_round(r);
}

static void change_config(struct round *r)
{
	struct node *n = r->task->node;
	char operation[33];
	struct cfg_change_request req = {
		.store = n->store,
		.loop = n->loop,
		.operation = operation,
		.edit = edit_step,
		/* A stop holds on whatever came first; a step is judged anew. */
		.rebase = r->verdict == ROLLOUT_STOP,
		.user = r,
		.done = on_changed,
	};

	node_new_request_id(n, operation, sizeof(operation));
	cfg_change_start(&req);
}

static void on_evidence_written(void *user, const struct store_result *res)
{
	struct round *r = user;

	/*
	 * Without this write the same answers would count again next time, so
	 * nothing follows from them before it has taken effect.
	 */
	if (res->outcome != STORE_OK || r->verdict == ROLLOUT_HOLD ||
	    !lease_is_held(&r->task->lease, node_now(r->task->node)))
		end_round(r);
	else
		change_config(r);
}

/* Returns since when this node has known the roll-out at its step. */
static uint64_t step_began(struct round *r, uint64_t now)
{
	g_autofree char *key = g_strdup_printf("%s %zu", r->rollout, r->step);
	uint64_t *at = g_hash_table_lookup(r->task->step_began, key);

	if (!at) {
		at = g_memdup2(&now, sizeof(now));
		g_hash_table_insert(r->task->step_began, g_steal_pointer(&key),
				    at);
	}
	return *at;
}

static void judge(struct round *r)
{
	struct rollout_params params = rollout_default_params();
	struct rollout_evidence *e = r->evidence;
	uint64_t now = node_now(r->task->node);
	g_autofree char *name = g_strdup_printf("evidence/%s", r->rollout);
	g_autofree char *text = NULL;

	if (e->step != r->step) {
		e->step = r->step;
		rollout_begin_step(&e->test, now);
	}
	e->test.step_started_at = step_began(r, now);
	r->verdict = rollout_decide(&e->test, &params, now, &e->from,
				    &r->new_to, &r->respect);
	if (r->verdict == ROLLOUT_ADVANCE && !r->running)
		r->verdict = ROLLOUT_HOLD;
	text = evidence_serialize(e);
	store_put(r->task->node->store, name, text, strlen(text),
		  r->etag ? STORE_IF_MATCH : STORE_IF_ABSENT, r->etag,
		  on_evidence_written, r);
}

static void on_status_read(void *user, const struct store_result *res)
{
	struct round *r = user;
	struct json_object *o = NULL;

	if (res->outcome == STORE_OK)
		o = json_tokener_parse(res->body);
	if (o)
		evidence_add_status(r->evidence, o, r->from, &r->new_to);
	json_object_put(o);
	if (--r->pending == 0)
		judge(r);
}

static void on_status_list(void *user, const struct store_result *res)
{
	struct round *r = user;
	struct json_object *names = NULL;

	if (res->outcome == STORE_OK)
		names = json_tokener_parse(res->body);
	if (!jcheck_array_length(names)) {
		json_object_put(names);
		end_round(r);
		return;
	}
	r->pending = (uint32_t)jcheck_array_length(names);
	for (size_t i = 0; i < jcheck_array_length(names); i++)
		store_get(r->task->node->store,
			  json_object_get_string(
				  json_object_array_get_idx(names, i)),
			  on_status_read, r);
	json_object_put(names);
}

static void on_evidence(void *user, const struct store_result *res)
{
	struct round *r = user;

	if (res->outcome != STORE_OK && res->outcome != STORE_NOT_FOUND) {
		end_round(r);
		return;
	}
	r->etag = res->outcome == STORE_OK ? res->etag : 0;
	if (res->outcome == STORE_OK)
		r->evidence = evidence_parse(res->body, res->len);
	if (r->evidence && strcmp(r->evidence->to, r->to) != 0) {
		evidence_free(r->evidence);
		r->evidence = NULL;
	}
	if (!r->evidence)
		r->evidence = evidence_new(r->rollout, r->to);
	store_list_names(r->task->node->store, "status/", on_status_list, r);
}

static void start_round(struct rollout_controller *t,
			const struct cfg_rollout *ro)
{
	const struct cfg *cfg = t->node->cfg;
	struct round *r = g_new0(struct round, 1);
	g_autofree char *name = g_strdup_printf("evidence/%s", ro->name);

	t->round_out = true;
	r->task = t;
	r->rollout = g_strdup(ro->name);
	r->from = g_strdup(cfg->versions[ro->from].name);
	r->to = g_strdup(cfg->versions[ro->to].name);
	r->step = ro->step;
	r->n_steps = ro->n_steps;
	r->running = ro->state == CFG_ROLLOUT_RUNNING;
	store_get(t->node->store, name, on_evidence, r);
}

/* Roll-outs that ended well are watched on; one that degrades is stopped. */
static void tick_rounds(struct rollout_controller *t, uint64_t now)
{
	const struct cfg *cfg = t->node->cfg;

	if (t->round_out || !cfg || now < t->round_at ||
	    !lease_is_held(&t->lease, now))
		return;
	for (size_t i = 0; i < cfg->n_rollouts; i++) {
		const struct cfg_rollout *r =
			&cfg->rollouts[t->turn++ % cfg->n_rollouts];

		if (r->state == CFG_ROLLOUT_STOPPED)
			continue;
		/* Statuses change no faster; looking more often shows nothing. */
		t->round_at = now + (uint64_t)t->node->settings->status_ms;
		start_round(t, r);
		return;
	}
}

static void on_tick(uv_timer_t *timer)
{
	struct rollout_controller *t = timer->data;
	uint64_t now = node_now(t->node);

	tick_lease(t, now);
	tick_rounds(t, now);
}

/* Starts judging. */
struct rollout_controller *rollout_task_start(struct node *n)
{
	struct rollout_controller *t = g_new0(struct rollout_controller, 1);
	g_autofree char *me =
		g_strdup_printf("%s/%s", n->settings->node, n->boot);

	t->node = n;
	t->step_began =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	lease_init(&t->lease, me);
	uv_timer_init(n->loop, &t->timer);
	t->timer.data = t;
	uv_timer_start(&t->timer, on_tick, TICK_MS, TICK_MS);
	return t;
}

/* Stops judging. */
void rollout_task_stop(struct rollout_controller *t)
{
	if (t->stopped)
		return;
	t->stopped = true;
	uv_close((uv_handle_t *)&t->timer, NULL);
}
