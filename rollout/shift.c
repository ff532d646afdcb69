#include "rollout/shift.h"

#include <string.h>

#define TRIAL_MOST 0.04
#define TRIAL_PART 0.36 /* of what may be exposed */
#define WARM_UP_MS 1000
#define MOVE_FROM 0.5
#define LAST_MS 1200 /* before the time is over */
#define LAST_SHORT_MS 700 /* the same after a short move */
#define WHOLE_LEAST_MS 1000
#define WHOLE_SHORT_MS 300
#define FILL_AFTER 40 /* answers whose times were compared */
#define EXPOSED_PART 0.9
#define LEAST_BAD 0.03
#define MARGIN 0.15
#define STOP_AT 5.0
#define PACE_WEIGHT 0.05
#define PACE_LEAST 8
#define LEAST_PACE 0.3
#define SLOW_EVENT 2.0
#define SLOW_FIRST 6.0
#define SLOW_PLAIN 3.0

static const char *const state_names[] = {"trial", "rolled-back", "completed"};

/* Returns a state's name for logs. */
const char *shift_state_name(enum shift_state state)
{
	return state_names[state];
}

/* Starts to follow an order that was seen now. */
struct traffic_shift *shift_new(const char *service, const char *target,
				uint32_t over_ms, uint32_t session_ms,
				uint64_t now)
{
	struct traffic_shift *s = g_new0(struct traffic_shift, 1);

	s->service = g_strdup(service);
	s->target = g_strdup(target);
	s->over_ms = MAX(over_ms, 1);
	s->session_ms = session_ms;
	s->began_at = now;
	s->reports = g_array_new(FALSE, TRUE, sizeof(struct shift_report));
	return s;
}

/* Frees it; NULL is allowed. */
void shift_free(struct traffic_shift *s)
{
	if (!s)
		return;
	g_array_unref(s->reports);
	g_free(s->service);
	g_free(s->target);
	g_free(s);
}

/* Returns how long ago the order was given, in ms. */
uint32_t shift_age_ms(const struct traffic_shift *s, uint64_t now)
{
	return now > s->began_at ? (uint32_t)(now - s->began_at) : 0;
}

/* A request for the service has arrived at this node. */
void shift_on_request(struct traffic_shift *s)
{
	s->own.requests++;
}

/* A request of this node was sent to a server of that version. */
void shift_on_sent(struct traffic_shift *s, enum shift_version version)
{
	s->own.sent_new += version == SHIFT_NEW;
}

static uint32_t *counts_of(struct shift_cell *c, enum shift_version version,
			   enum shift_metric respect)
{
	return &c->count[4 * version + 2 * respect];
}

/* Returns the cell of a route; routes beyond the table share the last one. */
static struct shift_cell *cell_of(struct shift_evidence *e, uint64_t route)
{
	for (uint32_t i = 0; i < e->n_cells; i++)
		if (e->cells[i].route == route)
			return &e->cells[i];
	if (e->n_cells == SHIFT_MAX_ROUTES)
		return &e->cells[SHIFT_MAX_ROUTES - 1];
	e->cells[e->n_cells].route = route;
	return &e->cells[e->n_cells++];
}

static struct shift_baseline *pace_of(struct traffic_shift *s, uint64_t route)
{
	for (uint32_t i = 0; i < s->n_pace; i++)
		if (s->pace[i].route == route)
			return &s->pace[i];
	if (s->n_pace == SHIFT_MAX_ROUTES)
		return NULL;
	s->pace[s->n_pace].route = route;
	return &s->pace[s->n_pace++];
}

static void learn_pace(struct shift_baseline *p, const struct shift_attempt *a)
{
	double w, off, off_ms;

	p->n++;
	w = MAX(PACE_WEIGHT, 1.0 / p->n);
	p->first_ms += w * (a->first_ms - p->first_ms);
	if (a->event_ms <= 0)
		return;
	p->n_events++;
	w = MAX(PACE_WEIGHT, 1.0 / p->n_events);
	off = a->load - p->load;
	off_ms = a->event_ms - p->event_ms;
	p->load += w * off;
	p->event_ms += w * off_ms;
	p->load_spread = (1 - w) * (p->load_spread + w * off * off);
	p->load_event_ms = (1 - w) * (p->load_event_ms + w * off * off_ms);
}

/* The old version's usual time between events at a server with that load. */
static double usual_event_ms(const struct shift_baseline *p, double load)
{
	double slope = p->load_spread > 0
			       ? MAX(p->load_event_ms / p->load_spread, 0)
			       : 0;

	return MAX(p->event_ms + slope * (load - p->load),
		   LEAST_PACE * p->event_ms);
}

static bool is_slow(const struct shift_baseline *p,
		    const struct shift_attempt *a)
{
	if (p->n < PACE_LEAST)
		return false;
	if (a->event_ms > 0 && p->n_events >= PACE_LEAST &&
	    a->event_ms > SLOW_EVENT * usual_event_ms(p, a->load))
		return true;
	return a->first_ms >
	       (p->n_events ? SLOW_FIRST : SLOW_PLAIN) * p->first_ms;
}

/*
 * An answer came from a server of that version. Returns whether it counts as
 * slow: against what the old version takes on a server with that load, since
 * the new servers have less to do.
 */
bool shift_on_attempt(struct traffic_shift *s, enum shift_version version,
		      const struct shift_attempt *a)
{
	struct shift_cell *c = cell_of(&s->own, a->route);
	struct shift_baseline *p = pace_of(s, a->route);
	uint32_t *errors = counts_of(c, version, SHIFT_ERROR);
	uint32_t *slow = counts_of(c, version, SHIFT_LATENCY);
	bool late;

	errors[0]++;
	errors[1] += a->failed;
	if (a->failed || !p || a->fills)
		return false;
	late = is_slow(p, a);
	slow[0]++;
	slow[1] += late;
	if (version == SHIFT_OLD)
		learn_pace(p, a);
	return late;
}

/* Takes another node's counts; they only grow within one run of it. */
void shift_on_report(struct traffic_shift *s, uint64_t now,
		     const struct shift_report *r)
{
	if (r->age_ms > shift_age_ms(s, now))
		s->began_at = now > r->age_ms ? now - r->age_ms : 0;
	for (guint i = 0; i < s->reports->len; i++) {
		struct shift_report *known =
			&g_array_index(s->reports, struct shift_report, i);

		if (known->boot != r->boot || strcmp(known->node, r->node) != 0)
			continue;
		if (r->evidence.requests >= known->evidence.requests)
			*known = *r;
		return;
	}
	g_array_append_vals(s->reports, r, 1);
}

/* The order has its final state; nothing brings it back. */
void shift_set_state(struct traffic_shift *s, enum shift_state state)
{
	if (s->plan.state != SHIFT_REVERTED || state == SHIFT_REVERTED)
		s->plan.state = state;
	if (s->plan.state == SHIFT_REVERTED)
		s->plan.share = 0;
	if (s->plan.state == SHIFT_COMPLETED)
		s->plan.share = SHIFT_FULL_SHARE;
}

static void take_plan(struct traffic_shift *s, uint64_t now,
		      const struct shift_plan *plan)
{
	if (s->plan.state != SHIFT_IN_PROGRESS)
		return;
	s->plan = *plan;
	if (plan->share == SHIFT_FULL_SHARE && !s->whole_since)
		s->whole_since = now;
	shift_set_state(s, plan->state);
}

/*
 * Takes the plan that another node told. The share never shrinks but by a
 * reversal, so that sessions stay on the new version.
 */
void shift_on_plan(struct traffic_shift *s, uint64_t now,
		   const struct shift_plan *plan)
{
	struct shift_plan p = *plan;

	if (p.age_ms > shift_age_ms(s, now))
		s->began_at = now > p.age_ms ? now - p.age_ms : 0;
	if (p.state == SHIFT_IN_PROGRESS)
		p.share = MAX(p.share, s->plan.share);
	take_plan(s, now, &p);
}

static void add_evidence(struct shift_evidence *sum,
			 const struct shift_evidence *e)
{
	sum->requests += e->requests;
	sum->sent_new += e->sent_new;
	sum->old_in_flight += e->old_in_flight;
	for (uint32_t i = 0; i < e->n_cells; i++) {
		struct shift_cell *c = cell_of(sum, e->cells[i].route);

		for (int k = 0; k < SHIFT_COUNTS_PER_CELL; k++)
			c->count[k] += e->cells[i].count[k];
	}
}

/* Returns this node's counts and those that others reported, together. */
struct shift_evidence shift_total_evidence(const struct traffic_shift *s)
{
	struct shift_evidence sum = s->own;

	for (guint i = 0; i < s->reports->len; i++)
		add_evidence(&sum,
			     &g_array_index(s->reports, struct shift_report, i)
				      .evidence);
	return sum;
}

static struct shift_route_test *test_of(struct traffic_shift *s, uint64_t route,
					uint64_t now)
{
	for (uint32_t i = 0; i < s->n_tests; i++)
		if (s->tests[i].route == route)
			return &s->tests[i];
	if (s->n_tests == SHIFT_MAX_ROUTES)
		return NULL;
	s->tests[s->n_tests].route = route;
	rollout_begin_step(&s->tests[s->n_tests].test, now);
	return &s->tests[s->n_tests++];
}

static struct rollout_counts counts_for_test(struct shift_cell *c,
					     enum shift_version version)
{
	const uint32_t *errors = counts_of(c, version, SHIFT_ERROR);
	const uint32_t *slow = counts_of(c, version, SHIFT_LATENCY);
	struct rollout_counts out = {{0}, {0}};

	out.n[ROLLOUT_ERROR] = errors[0];
	out.bad[ROLLOUT_ERROR] = errors[1];
	out.n[ROLLOUT_LATENCY] = slow[0];
	out.bad[ROLLOUT_LATENCY] = slow[1];
	return out;
}

static bool test_fails(struct shift_route_test *t, struct shift_cell *c,
		       uint64_t now, enum rollout_metric *respect)
{
	struct rollout_params p = rollout_default_params();
	struct rollout_counts old = counts_for_test(c, SHIFT_OLD);
	struct rollout_counts all = counts_for_test(c, SHIFT_NEW);
	struct rollout_counts fresh = {{0}, {0}};

	p.min_bad_share = LEAST_BAD;
	p.margin = MARGIN;
	p.stop_threshold = STOP_AT;
	for (int r = 0; r < ROLLOUT_METRIC_COUNT; r++) {
		if (all.n[r] < t->taken.n[r] || all.bad[r] < t->taken.bad[r])
			continue;
		fresh.n[r] = all.n[r] - t->taken.n[r];
		fresh.bad[r] = all.bad[r] - t->taken.bad[r];
		t->taken.n[r] = all.n[r];
		t->taken.bad[r] = all.bad[r];
	}
	return rollout_decide(&t->test, &p, now, &old, &fresh, respect) ==
	       ROLLOUT_STOP;
}

/*
 * Tests the new version by all that this node knows, route by route. True: it
 * is bad, and the plan is to go back from now on.
 */
bool shift_detect_regression(struct traffic_shift *s, uint64_t now)
{
	struct shift_evidence sum;

	if (s->plan.state != SHIFT_IN_PROGRESS)
		return false;
	sum = shift_total_evidence(s);
	for (uint32_t i = 0; i < sum.n_cells; i++) {
		struct shift_route_test *t =
			test_of(s, sum.cells[i].route, now);
		enum rollout_metric respect;

		if (!t || !test_fails(t, &sum.cells[i], now, &respect))
			continue;
		s->why = rollout_metric_name(respect);
		shift_set_state(s, SHIFT_REVERTED);
		return true;
	}
	return false;
}

/*
 * Tells whether all requests from now on may go to the new version, until the
 * time is over, within what a bad version may get. Such a step needs no verdict
 * to be safe: what shows only under load, or late, shows in few requests.
 */
static bool whole_is_safe(const struct traffic_shift *s, uint64_t now,
			  const struct shift_params *p,
			  const struct shift_evidence *e)
{
	double age = shift_age_ms(s, now);
	double left_ms = s->over_ms > age ? s->over_ms - age : 0;
	double to_come = e->requests / MAX(age, 1) * left_ms;
	double allowed =
		p->expose_share * (e->requests + to_come) + p->expose_slack;

	return e->sent_new + to_come <= EXPOSED_PART * allowed;
}

static bool trial_is_safe(const struct shift_params *p,
			  const struct shift_evidence *e)
{
	return e->sent_new <
	       EXPOSED_PART * (p->expose_share * e->requests + p->expose_slack);
}

static double wanted_share(const struct traffic_shift *s, uint64_t now,
			   const struct shift_params *p,
			   const struct shift_evidence *e)
{
	if (shift_age_ms(s, now) < s->session_ms + WARM_UP_MS)
		return 0;
	if (shift_age_ms(s, now) >= MOVE_FROM * s->over_ms &&
	    whole_is_safe(s, now, p, e))
		return 1;
	if (!trial_is_safe(p, e))
		return 0;
	return MIN(TRIAL_MOST, TRIAL_PART * p->expose_share);
}

/*
 * A version that fails under load only is to show it while it has few requests.
 * The times of a filled server are not comparable to those of the old ones, so
 * a slow version must have had the time to show itself.
 */
static bool may_fill(struct shift_evidence *e)
{
	uint32_t compared = 0;

	for (uint32_t i = 0; i < e->n_cells; i++)
		compared +=
			counts_of(&e->cells[i], SHIFT_NEW, SHIFT_LATENCY)[0];
	return compared >= FILL_AFTER;
}

/*
 * The old servers stop at once when the order is completed: what runs there
 * gets time to end, as far as there is some.
 */
static bool may_complete(const struct traffic_shift *s, uint64_t now,
			 const struct shift_evidence *e)
{
	uint32_t age = shift_age_ms(s, now);
	uint64_t whole_ms = s->whole_since ? now - s->whole_since : 0;

	if (whole_ms < WHOLE_LEAST_MS)
		return whole_ms >= WHOLE_SHORT_MS &&
		       age + LAST_SHORT_MS >= s->over_ms;
	return !e->old_in_flight || age + LAST_MS >= s->over_ms;
}

/*
 * Makes the plan, as the node that judges. Until half of the time the new
 * version gets new sessions only.
 */
struct shift_plan shift_update_plan(struct traffic_shift *s, uint64_t now,
				    const struct shift_params *p,
				    uint32_t ready_new)
{
	struct shift_evidence sum = shift_total_evidence(s);
	struct shift_plan plan = s->plan;
	uint32_t wanted;

	plan.age_ms = shift_age_ms(s, now);
	if (plan.state != SHIFT_IN_PROGRESS)
		return plan;
	wanted = (uint32_t)(SHIFT_FULL_SHARE * wanted_share(s, now, p, &sum));
	if (!ready_new)
		wanted = plan.share;
	plan.share = MAX(plan.share, wanted);
	plan.fills = plan.fills || may_fill(&sum);
	if (may_complete(s, now, &sum) && ready_new)
		plan.state = SHIFT_COMPLETED;
	take_plan(s, now, &plan);
	return plan;
}

/* Tells whether few requests go to the new version, to test it. */
bool shift_in_trial(const struct traffic_shift *s)
{
	return s->plan.state == SHIFT_IN_PROGRESS && !s->whole_since;
}

/* Tells whether the trial fills new servers one by one. */
bool shift_fills_servers(const struct traffic_shift *s)
{
	return shift_in_trial(s) && s->plan.fills;
}

static bool is_drawn(uint64_t hash, uint32_t share)
{
	return (hash >> 16) % SHIFT_FULL_SHARE < share;
}

/*
 * Tells whether other nodes need to know where a session ran: it is one of
 * those that the trial draws, and may still not move.
 */
bool shift_announces_session(const struct traffic_shift *s, uint64_t now,
			     uint64_t session)
{
	return s->plan.state == SHIFT_IN_PROGRESS && session &&
	       shift_age_ms(s, now) < MOVE_FROM * s->over_ms &&
	       is_drawn(session, (uint32_t)(SHIFT_FULL_SHARE * TRIAL_MOST));
}

/*
 * Chooses the version for a request; the hash is that of its session, or
 * random. In the first half a session stays where it was; in the second one
 * it may move to the new version, never back.
 */
enum shift_version shift_choose_version(const struct traffic_shift *s,
					uint64_t now, uint64_t hash,
					enum shift_last_version seen)
{
	bool may_move = shift_age_ms(s, now) >= MOVE_FROM * s->over_ms;

	if (s->plan.state == SHIFT_REVERTED)
		return SHIFT_OLD;
	if (s->plan.state == SHIFT_COMPLETED || seen == SHIFT_LAST_NEW)
		return SHIFT_NEW;
	if (seen == SHIFT_LAST_OLD && !may_move)
		return SHIFT_OLD;
	return is_drawn(hash, s->plan.share) ? SHIFT_NEW : SHIFT_OLD;
}
