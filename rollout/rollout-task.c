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
#define TICK_INTERVAL_MS 200

struct rollout_controller {
	struct node *node;
	struct lease_state lease;
	GHashTable *step_starts; /* "NAME STEP" -> ms when first seen here */
	uv_timer_t timer;
	uint64_t next_evaluation_at; /* ms */
	size_t next_rollout; /* index, modulo the number of roll-outs */
	bool evaluating; /* an evaluation is under way */
	bool stopped;
};

/*
 * An evaluation of one roll-out by the lease holder: reads the evidence object
 * and the status of all nodes, decides, stores the evidence and then changes
 * the configuration.
 */
struct evaluation {
	struct rollout_controller *controller;
	char *rollout; /* its name */
	char *from; /* names of the old and the new version */
	char *to;
	size_t step;
	size_t n_steps;
	bool running; /* not paused or done: may advance */
	struct rollout_evidence *evidence;
	uint64_t etag; /* of the evidence object; 0: absent */
	struct rollout_counts to_new; /* counts not yet in the test */
	uint32_t pending_reads; /* of status objects */
	enum rollout_decision decision;
	enum rollout_metric failed_metric;
};

static enum lease_result_kind to_lease_result_kind(enum store_outcome outcome,
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

static void handle_lease_result(struct rollout_controller *t,
				const struct store_result *stored, bool write)
{
	struct lease_result result = {
		.kind = to_lease_result_kind(stored->outcome, write),
		.etag = stored->etag,
	};
	bool was_held = t->lease.held;

	if (result.kind == LEASE_FOUND) {
		struct json_object *o = json_tokener_parse(stored->body);

		g_strlcpy(result.record.holder,
			  jcheck_get_string(o, "holder", ""),
			  sizeof(result.record.holder));
		result.record.fence = (uint64_t)jcheck_get_int(o, "fence", 0);
		result.record.renewal =
			(uint64_t)jcheck_get_int(o, "renewal", 0);
		json_object_put(o);
	}
	lease_on_result(&t->lease, node_now(t->node), &result);
	if (t->lease.held && !was_held)
		log_event(LOG_EVENT_LEASE_TAKEN,
			  "object=%s fence=%" G_GUINT64_FORMAT, LEASE_OBJECT,
			  lease_fence(&t->lease));
}

static void on_lease_read(void *user, const struct store_result *stored)
{
	handle_lease_result(user, stored, false);
}

static void on_lease_written(void *user, const struct store_result *stored)
{
	handle_lease_result(user, stored, true);
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

static void end_evaluation(struct evaluation *ev)
{
	ev->controller->evaluating = false;
	evidence_free(ev->evidence);
	g_free(ev->rollout);
	g_free(ev->from);
	g_free(ev->to);
	g_free(ev);
}

/*
 * Applies the decision to the configuration read last; returns the changed
 * document, or NULL with `err` set. Takes ownership of `doc`.
 */
static struct json_object *edit_config(struct json_object *doc, void *user,
				       GError **err)
{
	struct evaluation *ev = user;
	bool last = ev->step + 1 >= ev->n_steps;
	g_autofree char *reason = NULL;
	bool ok;

	if (ev->decision == ROLLOUT_STOP) {
		reason =
			g_strdup_printf("worse than %s by %s", ev->from,
					rollout_metric_name(ev->failed_metric));
		ok = cfg_edit_stop_rollout(doc, ev->rollout, reason, err);
	} else if (last) {
		ok = cfg_edit_finish_rollout(doc, ev->rollout, err);
	} else {
		ok = cfg_edit_set_rollout_step(doc, ev->rollout, ev->step + 1,
					       err);
	}
	if (ok)
		return doc;
	json_object_put(doc);
	return NULL;
}

static void on_config_changed(void *user, uint64_t revision, const GError *err)
{
	struct evaluation *ev = user;
	struct node *n = ev->controller->node;

	if (err) {
		end_evaluation(ev);
		return;
	}
	if (ev->decision == ROLLOUT_STOP) {
		counter_add(&n->counter_set, COUNTER_ROLLOUT_STOPS, 1);
		log_event(LOG_EVENT_ROLLOUT_STOPPED,
			  "rollout=%s respect=%s revision=%" G_GUINT64_FORMAT,
			  ev->rollout, rollout_metric_name(ev->failed_metric),
			  revision);
	} else {
		counter_add(&n->counter_set, COUNTER_ROLLOUT_STEPS, 1);
		log_event(ev->step + 1 >= ev->n_steps ? LOG_EVENT_ROLLOUT_DONE
						      : LOG_EVENT_ROLLOUT_GROWN,
			  "rollout=%s step=%zu revision=%" G_GUINT64_FORMAT,
			  ev->rollout, ev->step + 1, revision);
	}
	end_evaluation(ev);
}

static void change_config(struct evaluation *ev)
{
	struct node *n = ev->controller->node;
	char operation[33];
	struct cfg_change_request req = {
		.store = n->store,
		.loop = n->loop,
		.operation = operation,
		.edit = edit_config,
		/*
		 * A stop applies to whatever was stored meanwhile; a step is
		 * decided again.
		 */
		.rebase = ev->decision == ROLLOUT_STOP,
		.user = ev,
		.done = on_config_changed,
	};

	node_new_request_id(n, operation, sizeof(operation));
	cfg_change_start(&req);
}

static void on_evidence_written(void *user, const struct store_result *result)
{
	struct evaluation *ev = user;

	/*
	 * Unless this write takes effect, the next evaluation counts the same
	 * answers again, so no decision may be based on them before.
	 */
	if (result->outcome != STORE_OK || ev->decision == ROLLOUT_HOLD ||
	    !lease_is_held(&ev->controller->lease,
			   node_now(ev->controller->node)))
		end_evaluation(ev);
	else
		change_config(ev);
}

/* Returns when this node first saw the roll-out at its current step. */
static uint64_t step_start(struct evaluation *ev, uint64_t now)
{
	g_autofree char *key = g_strdup_printf("%s %zu", ev->rollout, ev->step);
	uint64_t *at = g_hash_table_lookup(ev->controller->step_starts, key);

	if (!at) {
		at = g_memdup2(&now, sizeof(now));
		g_hash_table_insert(ev->controller->step_starts,
				    g_steal_pointer(&key), at);
	}
	return *at;
}

static void evaluate(struct evaluation *ev)
{
	struct rollout_params params = rollout_default_params();
	struct rollout_evidence *e = ev->evidence;
	uint64_t now = node_now(ev->controller->node);
	g_autofree char *name = g_strdup_printf("evidence/%s", ev->rollout);
	g_autofree char *text = NULL;

	if (e->step != ev->step) {
		e->step = ev->step;
		rollout_begin_step(&e->test, now);
	}
	e->test.step_started_at = step_start(ev, now);
	ev->decision = rollout_decide(&e->test, &params, now, &e->from,
				      &ev->to_new, &ev->failed_metric);
	if (ev->decision == ROLLOUT_ADVANCE && !ev->running)
		ev->decision = ROLLOUT_HOLD;
	text = evidence_serialize(e);
	store_put(ev->controller->node->store, name, text, strlen(text),
		  ev->etag ? STORE_IF_MATCH : STORE_IF_ABSENT, ev->etag,
		  on_evidence_written, ev);
}

static void on_status_read(void *user, const struct store_result *result)
{
	struct evaluation *ev = user;
	struct json_object *o = NULL;

	if (result->outcome == STORE_OK)
		o = json_tokener_parse(result->body);
	if (o)
		evidence_add_status(ev->evidence, o, ev->from, &ev->to_new);
	json_object_put(o);
	if (--ev->pending_reads == 0)
		evaluate(ev);
}

static void on_status_list(void *user, const struct store_result *result)
{
	struct evaluation *ev = user;
	struct json_object *names = NULL;

	if (result->outcome == STORE_OK)
		names = json_tokener_parse(result->body);
	if (!jcheck_array_length(names)) {
		json_object_put(names);
		end_evaluation(ev);
		return;
	}
	ev->pending_reads = (uint32_t)jcheck_array_length(names);
	for (size_t i = 0; i < jcheck_array_length(names); i++)
		store_get(ev->controller->node->store,
			  json_object_get_string(
				  json_object_array_get_idx(names, i)),
			  on_status_read, ev);
	json_object_put(names);
}

static void on_evidence_read(void *user, const struct store_result *result)
{
	struct evaluation *ev = user;

	if (result->outcome != STORE_OK && result->outcome != STORE_NOT_FOUND) {
		end_evaluation(ev);
		return;
	}
	ev->etag = result->outcome == STORE_OK ? result->etag : 0;
	if (result->outcome == STORE_OK)
		ev->evidence = evidence_parse(result->body, result->len);
	if (ev->evidence && strcmp(ev->evidence->to, ev->to) != 0) {
		evidence_free(ev->evidence);
		ev->evidence = NULL;
	}
	if (!ev->evidence)
		ev->evidence = evidence_new(ev->rollout, ev->to);
	store_list_names(ev->controller->node->store, "status/", on_status_list,
			 ev);
}

static void start_evaluation(struct rollout_controller *t,
			     const struct cfg_rollout *rollout)
{
	const struct cfg *cfg = t->node->cfg;
	struct evaluation *ev = g_new0(struct evaluation, 1);
	g_autofree char *name = g_strdup_printf("evidence/%s", rollout->name);

	t->evaluating = true;
	ev->controller = t;
	ev->rollout = g_strdup(rollout->name);
	ev->from = g_strdup(cfg->versions[rollout->from].name);
	ev->to = g_strdup(cfg->versions[rollout->to].name);
	ev->step = rollout->step;
	ev->n_steps = rollout->n_steps;
	ev->running = rollout->state == CFG_ROLLOUT_RUNNING;
	store_get(t->node->store, name, on_evidence_read, ev);
}

/*
 * Evaluates the roll-outs in turn. Completed ones are still evaluated: they are
 * stopped if the version degrades.
 */
static void tick_evaluation(struct rollout_controller *t, uint64_t now)
{
	const struct cfg *cfg = t->node->cfg;

	if (t->evaluating || !cfg || now < t->next_evaluation_at ||
	    !lease_is_held(&t->lease, now))
		return;
	for (size_t i = 0; i < cfg->n_rollouts; i++) {
		const struct cfg_rollout *rollout =
			&cfg->rollouts[t->next_rollout++ % cfg->n_rollouts];

		if (rollout->state == CFG_ROLLOUT_STOPPED)
			continue;
		/*
		 * The nodes write their status objects at this interval, so an
		 * earlier evaluation would find no new counts.
		 */
		t->next_evaluation_at =
			now + (uint64_t)t->node->settings->status_ms;
		start_evaluation(t, rollout);
		return;
	}
}

static void on_tick(uv_timer_t *timer)
{
	struct rollout_controller *t = timer->data;
	uint64_t now = node_now(t->node);

	tick_lease(t, now);
	tick_evaluation(t, now);
}

/* Starts to compete for the lease and evaluates roll-outs while holding it. */
struct rollout_controller *rollout_task_start(struct node *n)
{
	struct rollout_controller *t = g_new0(struct rollout_controller, 1);
	g_autofree char *self =
		g_strdup_printf("%s/%s", n->settings->node, n->boot);

	t->node = n;
	t->step_starts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	lease_init(&t->lease, self);
	uv_timer_init(n->loop, &t->timer);
	t->timer.data = t;
	uv_timer_start(&t->timer, on_tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS);
	return t;
}

/* Stops the timer; does nothing when called again. */
void rollout_task_stop(struct rollout_controller *t)
{
	if (t->stopped)
		return;
	t->stopped = true;
	uv_close((uv_handle_t *)&t->timer, NULL);
}
