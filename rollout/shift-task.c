#include "rollout/shift-task.h"

#include <string.h>
#include <xxhash.h>

#include "daemon/gateway.h"
#include "fleet/fleet-task.h"
#include "json-check.h"
#include "log-event.h"
#include "platform/feed-task.h"
#include "rollout/coverage.h"

#define WRITE_RETRY_MS 700
#define WRITE_DELAY_PER_RANK_MS 1500

/* A roll-out order and its shift at this node. */
struct shift_order {
	struct shift_controller *t;
	struct traffic_shift *shift;
	enum feed_rollout_state state; /* as stored */
	uint64_t revision; /* of the stored object */
	uint64_t decided_at; /* when the plan became final; 0: not yet */
	uint64_t next_write_at; /* of the final state */
	bool writing; /* a write is under way */
	bool listed; /* present in the listing being applied */
	struct coverage coverage;
	enum coverage_gap logged_gap; /* see has_all_counts() */
	bool logged_alone;
	uint32_t logged_plan; /* share + state of the plan logged last */
	struct fleet_wire_sessions unsent_sessions; /* for the other nodes */
};

/* A write under way; the order may be removed before it ends. */
struct pending_write {
	struct shift_controller *t;
	char *service;
};

struct shift_controller {
	struct gateway_state *g;
	GPtrArray *orders;
};

static void free_order(void *p)
{
	struct shift_order *o = p;

	shift_free(o->shift);
	g_free(o);
}

/* Returns the hash by which recent sessions store the version. */
uint64_t shift_task_version_hash(const char *version)
{
	return XXH3_64bits(version, strlen(version));
}

/* Returns a controller with no orders, newly allocated. */
struct shift_controller *shift_task_new(struct gateway_state *g)
{
	struct shift_controller *t = g_new0(struct shift_controller, 1);

	t->g = g;
	t->orders = g_ptr_array_new_with_free_func(free_order);
	return t;
}

static struct shift_order *find_order(const struct shift_controller *t,
				      const char *service)
{
	for (guint i = 0; i < t->orders->len; i++) {
		struct shift_order *o = t->orders->pdata[i];

		if (!strcmp(o->shift->service, service))
			return o;
	}
	return NULL;
}

/* Returns the number of known orders. */
uint32_t shift_task_count(const struct shift_controller *t)
{
	return t->orders->len;
}

/* Returns the shift of the order at index i, below shift_task_count(). */
struct traffic_shift *shift_task_get(const struct shift_controller *t,
				     uint32_t i)
{
	return ((struct shift_order *)t->orders->pdata[i])->shift;
}

static bool is_final(enum feed_rollout_state state)
{
	return state == FEED_ROLLOUT_COMPLETED ||
	       state == FEED_ROLLOUT_REVERTED;
}

/* Returns whether the stored state of the order at index i is not final. */
bool shift_task_is_open(const struct shift_controller *t, uint32_t i)
{
	return !is_final(((struct shift_order *)t->orders->pdata[i])->state);
}

/* Returns the shift of the service's order, or NULL if there is none. */
struct traffic_shift *shift_task_find(const struct shift_controller *t,
				      const char *service)
{
	struct shift_order *o = find_order(t, service);

	return o ? o->shift : NULL;
}

static enum shift_state final_shift_state(enum feed_rollout_state state)
{
	return state == FEED_ROLLOUT_COMPLETED ? SHIFT_COMPLETED
					       : SHIFT_REVERTED;
}

/* Logs the plan if its share or state has changed; `by` names its origin. */
static void log_plan(struct shift_order *o, uint64_t now, const char *by)
{
	const struct gateway_state *g = o->t->g;
	const struct traffic_shift *s = o->shift;
	struct shift_evidence sum;

	if (o->logged_plan == s->plan.share + s->plan.state)
		return;
	o->logged_plan = s->plan.share + s->plan.state;
	sum = shift_total_evidence(s);
	log_event(LOG_EVENT_SHIFT_PLAN,
		  "service=%s target=%s state=%s share=%.3f by=%s age_ms=%u "
		  "over_ms=%u requests=%u sent_new=%u old_in_flight=%u "
		  "reports=%u new_reports=%u nodes=%u leaving=%d "
		  "up_ms=%" G_GUINT64_FORMAT " why=%s",
		  s->service, s->target, shift_state_name(s->plan.state),
		  (double)s->plan.share / SHIFT_FULL_SHARE, by,
		  shift_age_ms(s, now), s->time_limit_ms, sum.requests,
		  sum.sent_new, sum.old_in_flight, s->reports->len,
		  shift_count_new_reports(s, now),
		  fleet_task_live_count(g->fleet), g->draining,
		  now - g->started_at,
		  s->failed_metric ? s->failed_metric : "-");
}

static uint32_t session_ms(const struct shift_controller *t)
{
	return (uint32_t)(1000 * t->g->settings->session_s);
}

/*
 * Handles a new or changed order. Older revisions are ignored; a new target
 * starts a new shift.
 */
void shift_task_on_order(struct shift_controller *t, uint64_t now,
			 const struct feed_rollout *order)
{
	struct shift_order *o = find_order(t, order->service);

	if (o && order->revision < o->revision)
		return;
	if (o && strcmp(o->shift->target, order->target) != 0) {
		g_ptr_array_remove(t->orders, o);
		o = NULL;
	}
	if (!o) {
		o = g_new0(struct shift_order, 1);
		o->t = t;
		o->shift = shift_new(order->service, order->target,
				     order->time_limit_ms, session_ms(t), now);
		o->logged_plan = UINT32_MAX;
		g_ptr_array_add(t->orders, o);
	}
	o->listed = true;
	o->state = order->state;
	o->revision = order->revision;
	if (is_final(order->state))
		shift_set_stored_end(o->shift, final_shift_state(order->state));
	log_event(LOG_EVENT_ROLLOUT_ORDER,
		  "service=%s target=%s over_ms=%u state=%d "
		  "revision=%" G_GUINT64_FORMAT,
		  order->service, order->target, order->time_limit_ms,
		  order->state, order->revision);
	log_plan(o, now, "store");
}

/* Ends the shift of a removed order; any server of the service may be used. */
void shift_task_on_order_removed(struct shift_controller *t,
				 const char *service)
{
	struct shift_order *o = find_order(t, service);

	if (!o)
		return;
	log_event(LOG_EVENT_ROLLOUT_ORDER, "service=%s state=removed", service);
	g_ptr_array_remove(t->orders, o);
}

/*
 * Starts a complete listing: orders without a shift_task_on_order() until
 * shift_task_end_listing() are removed there.
 */
void shift_task_begin_listing(struct shift_controller *t)
{
	for (guint i = 0; i < t->orders->len; i++)
		((struct shift_order *)t->orders->pdata[i])->listed = false;
}

/* Ends a complete listing: orders that it did not have are removed. */
void shift_task_end_listing(struct shift_controller *t)
{
	for (guint i = t->orders->len; i-- > 0;) {
		const struct shift_order *o = t->orders->pdata[i];

		if (!o->listed)
			shift_task_on_order_removed(t, o->shift->service);
	}
}

static void free_pending_write(struct pending_write *w)
{
	g_free(w->service);
	g_free(w);
}

static void on_written(void *user, bool applied, bool lost_race)
{
	struct pending_write *w = user;
	struct shift_order *o = find_order(w->t, w->service);

	log_event(LOG_EVENT_ROLLOUT_WRITTEN,
		  "service=%s effect=%d lost_race=%d", w->service, applied,
		  lost_race);
	if (o) {
		o->writing = false;
		o->next_write_at = gateway_now(w->t->g) + WRITE_RETRY_MS;
	}
	free_pending_write(w);
}

static void write_final_state(struct shift_order *o, uint64_t now)
{
	struct shift_controller *t = o->t;
	struct pending_write *w = g_new0(struct pending_write, 1);
	const struct feed_rollout order = {
		.service = o->shift->service,
		.target = o->shift->target,
		.state = o->shift->plan.state == SHIFT_COMPLETED
				 ? FEED_ROLLOUT_COMPLETED
				 : FEED_ROLLOUT_REVERTED,
		.revision = o->revision,
	};

	w->t = t;
	w->service = g_strdup(o->shift->service);
	o->next_write_at = now + WRITE_RETRY_MS;
	o->writing =
		platform_feed_write_rollout(t->g->feed, &order, on_written, w);
	if (!o->writing)
		free_pending_write(w);
}

/*
 * Writes the final state, at once on the coordinator. Nodes of higher rank wait
 * longer by rank, in case the others fail to write it.
 */
static void write_final_state_if_due(struct shift_order *o, uint64_t now)
{
	uint64_t wait =
		WRITE_DELAY_PER_RANK_MS *
		(uint64_t)fleet_task_rank(o->t->g->fleet, o->shift->service);

	if (!o->decided_at)
		o->decided_at = now;
	if (!o->writing && now >= o->next_write_at &&
	    now - o->decided_at >= wait)
		write_final_state(o, now);
}

static uint32_t old_in_flight(const struct gateway_state *g,
			      const struct traffic_shift *s)
{
	uint32_t n = 0;

	for (guint i = 0; i < g->servers.all->len; i++) {
		const struct server_record *server = g->servers.all->pdata[i];

		if (!strcmp(server->service, s->service) &&
		    strcmp(server->version, s->target) != 0)
			n += server->in_flight;
	}
	return n;
}

/*
 * Returns whether this node, which judges the roll-out, has the counts of all others.
 * Logs, once each, that it has not, why, and that it has.
 */
static bool has_all_counts(struct shift_order *o, uint64_t now,
			   const struct coverage_view *v)
{
	const struct fleet_task *fleet = o->t->g->fleet;
	bool alone = fleet_task_is_isolated(fleet);
	enum coverage_gap gap =
		coverage_find_gap(&o->coverage, o->shift, now, v);

	if (alone != o->logged_alone || gap != o->logged_gap) {
		o->logged_alone = alone;
		o->logged_gap = gap;
		log_event(LOG_EVENT_ROLLOUT_PARTIAL,
			  "service=%s target=%s alone=%d gap=%s nodes=%u "
			  "new_reports=%u",
			  o->shift->service, o->shift->target, alone,
			  coverage_gap_name(gap), fleet_task_live_count(fleet),
			  shift_count_new_reports(o->shift, now));
	}
	return !alone && gap == COVERAGE_COMPLETE;
}

static void tick_order(struct shift_order *o, uint64_t now,
		       struct coverage_view *view)
{
	struct gateway_state *g = o->t->g;
	struct traffic_shift *s = o->shift;
	struct shift_params p = {
		.expose_share = g->settings->expose_share,
		.expose_slack = g->settings->expose_slack,
	};

	if (is_final(o->state))
		return;
	view->gets_reports = fleet_task_gets_reports(g->fleet, s->service);
	coverage_update(&o->coverage, now, view);
	s->own_evidence.old_in_flight = old_in_flight(g, s);
	if (shift_detect_regression(s, now))
		log_plan(o, now, "self");
	if (fleet_task_coordinates(g->fleet, s->service)) {
		p.partial_counts = !has_all_counts(o, now, view);
		shift_update_plan(
			s, now, &p,
			server_count_ready(&g->servers, s->service, s->target));
		log_plan(o, now, "judge");
	}
	if (s->plan.state != SHIFT_IN_PROGRESS)
		write_final_state_if_due(o, now);
}

/* Updates the plan of each open order and writes final states; for a timer. */
void shift_task_tick(struct shift_controller *t, uint64_t now)
{
	const struct member_table *members = fleet_task_members(t->g->fleet);
	g_autoptr(GPtrArray) serving = g_ptr_array_new();
	struct coverage_view view = {
		.any_dead = member_count(members, MEMBER_DEAD) > 0,
	};

	if (!t->orders->len)
		return;
	fleet_task_list_serving(t->g->fleet, serving);
	view.serving = (const char *const *)serving->pdata;
	view.n_serving = serving->len;
	for (guint i = 0; i < t->orders->len; i++)
		tick_order(t->orders->pdata[i], now, &view);
}

/* Handles the end of a pause of the process, in which reports were not received. */
void shift_task_on_pause(struct shift_controller *t, uint64_t now)
{
	for (guint i = 0; i < t->orders->len; i++)
		coverage_on_pause(
			&((struct shift_order *)t->orders->pdata[i])->coverage,
			now);
}

/* Returns the order to move the service to that target, or NULL. */
static struct shift_order *find_order_to(const struct shift_controller *t,
					 const char *service,
					 const char *target)
{
	struct shift_order *o = find_order(t, service);

	return o && !strcmp(o->shift->target, target) ? o : NULL;
}

/* Handles another node's evidence. */
void shift_task_on_report(struct shift_controller *t, uint64_t now,
			  const struct fleet_wire_report *r)
{
	struct shift_order *o = find_order_to(t, r->service, r->target);

	if (o)
		shift_on_report(o->shift, now, &r->report);
}

/*
 * Records that a request of the session runs or ended on the version, and
 * queues that for the other nodes if the trial may select the session. Nothing
 * is queued while the queue is full.
 */
void shift_task_record_session(struct shift_controller *t, uint64_t now,
			       const char *service, uint64_t session,
			       const char *version)
{
	struct shift_order *o = find_order(t, service);
	uint64_t hash = shift_task_version_hash(version);
	bool is_new;

	recent_sessions_record(&t->g->recent, now, session, hash);
	if (!o || !shift_announces_session(o->shift, now, session) ||
	    o->unsent_sessions.n == FLEET_WIRE_MAX_SESSIONS)
		return;
	is_new = !strcmp(version, o->shift->target);
	for (uint32_t i = 0; i < o->unsent_sessions.n; i++) {
		if (o->unsent_sessions.session[i] == session) {
			o->unsent_sessions.is_new[i] = is_new;
			return;
		}
	}
	o->unsent_sessions.session[o->unsent_sessions.n] = session;
	o->unsent_sessions.is_new[o->unsent_sessions.n++] = is_new;
}

/*
 * Moves the queued sessions of the order at index i to `out`. Returns false if
 * there are none.
 */
bool shift_task_take_sessions(struct shift_controller *t, uint32_t i,
			      struct fleet_wire_sessions *out)
{
	struct shift_order *o = t->orders->pdata[i];

	if (!o->unsent_sessions.n)
		return false;
	*out = o->unsent_sessions;
	g_strlcpy(out->service, o->shift->service, sizeof(out->service));
	g_strlcpy(out->target, o->shift->target, sizeof(out->target));
	o->unsent_sessions.n = 0;
	return true;
}

/* Handles the versions of sessions that another node has announced. */
void shift_task_on_sessions(struct shift_controller *t, uint64_t now,
			    const struct fleet_wire_sessions *s)
{
	uint64_t target = shift_task_version_hash(s->target);

	if (!find_order_to(t, s->service, s->target))
		return;
	for (uint32_t i = 0; i < s->n; i++)
		recent_sessions_record(&t->g->recent, now, s->session[i],
				       s->is_new[i] ? target : ~target);
}

/* Handles a plan received from another node. */
void shift_task_on_plan(struct shift_controller *t, uint64_t now,
			const struct fleet_wire_plan *p)
{
	struct shift_order *o = find_order_to(t, p->service, p->target);

	if (!o || is_final(o->state))
		return;
	shift_on_plan(o->shift, now, &p->plan);
	log_plan(o, now, p->node);
}

/* Fills in this node's report of a shift for the coordinator. */
void shift_task_fill_report(struct shift_controller *t,
			    const struct traffic_shift *s, uint64_t now,
			    struct fleet_wire_report *r)
{
	memset(r, 0, sizeof(*r));
	g_strlcpy(r->service, s->service, sizeof(r->service));
	g_strlcpy(r->target, s->target, sizeof(r->target));
	/* As members know it. */
	g_strlcpy(r->report.node, t->g->settings->node, MEMBER_NAME_BYTES);
	r->report.boot = t->g->boot;
	r->report.age_ms = shift_age_ms(s, now);
	r->report.evidence = s->own_evidence;
}

/* Returns the orders as JSON for other nodes, newly allocated. */
struct json_object *shift_task_orders_json(const struct shift_controller *t)
{
	struct json_object *list = json_object_new_array();

	for (guint i = 0; i < t->orders->len; i++) {
		const struct shift_order *o = t->orders->pdata[i];
		struct json_object *j = json_object_new_object();

		jcheck_add_string(j, "service", o->shift->service);
		jcheck_add_string(j, "target", o->shift->target);
		json_object_object_add(
			j, "over_ms",
			json_object_new_int64(o->shift->time_limit_ms));
		json_object_object_add(j, "state",
				       json_object_new_int(o->state));
		json_object_object_add(
			j, "revision",
			json_object_new_int64((int64_t)o->revision));
		json_object_array_add(list, j);
	}
	return list;
}
