#include "rollout/shift.h"

#include <math.h>
#include <string.h>

/*
 * Trial. It starts after the longest pause within a session: a session from
 * before the order has then either ended or sent another request, by which the
 * nodes know its version.
 */
#define START_DELAY_MS 1000 /* in addition to that pause */
#define MAX_TRIAL_SHARE 0.04 /* of sessions */
#define TRIAL_SHARE_FACTOR 0.36 /* of expose_share */
#define EXPOSURE_SAFETY_FACTOR 0.9 /* of the exposure limit */
#define SPREAD_DEVIATIONS 3 /* standard deviations of a number of requests */
#define MIN_COMPARED_TO_FILL 40 /* answers with their latency compared */
#define MIN_COMPARED_TO_COMPLETE 40
#define MIN_COMPARED_SHARE 0.8 /* of those sent, if that is fewer */

/* Full share and completion. */
#define MOVE_START_FRACTION 0.5 /* of the time allowed */
#define MIN_FULL_SHARE_MS 1000 /* at the full share before completion */
#define SHORT_FULL_SHARE_MS 300 /* the same if the full share came late */
#define END_RESERVE_MS 1200 /* left of the time allowed at completion */
#define SHORT_END_RESERVE_MS 700 /* the same if the full share came late */

/* Sequential test; see struct rollout_params. */
#define MIN_BAD_SHARE 0.03
#define MARGIN 0.15
#define STOP_THRESHOLD 5.0 /* log likelihood ratio */

/* Comparison of latency with the old version. */
#define BASELINE_WEIGHT 0.05 /* of a new answer in the averages */
#define MIN_BASELINE_ANSWERS 8
#define MIN_EVENT_INTERVAL_FACTOR 0.3 /* of the mean, at any load */
#define SLOW_EVENT_INTERVAL_FACTOR 2.0 /* of the expected interval */
#define SLOW_FIRST_EVENT_FACTOR 6.0 /* of the usual time to the first event */
#define SLOW_PLAIN_ANSWER_FACTOR 3.0 /* the same for answers without events */
#define MIN_SLOW_EXCESS_MS 5.0 /* beyond the usual time, to be slow at all */

static const char *const state_names[] = {"trial", "rolled-back", "completed"};

/* Returns the state's name for logs. */
const char *shift_state_name(enum shift_state state)
{
	return state_names[state];
}

/*
 * Returns a shift for an order that arrives now, newly allocated. `session_ms`
 * is the longest pause within a session.
 */
struct traffic_shift *shift_new(const char *service, const char *target,
				uint32_t time_limit_ms, uint32_t session_ms,
				uint64_t now)
{
	struct traffic_shift *s = g_new0(struct traffic_shift, 1);

	s->service = g_strdup(service);
	s->target = g_strdup(target);
	s->time_limit_ms = MAX(time_limit_ms, 1);
	s->session_ms = session_ms;
	s->began_at = now;
	s->reports = g_array_new(FALSE, TRUE, sizeof(struct shift_report));
	return s;
}

/* Frees the shift; NULL is allowed. */
void shift_free(struct traffic_shift *s)
{
	if (!s)
		return;
	g_array_unref(s->reports);
	g_free(s->service);
	g_free(s->target);
	g_free(s);
}

/* Returns the time since the order was given, in ms. */
uint32_t shift_age_ms(const struct traffic_shift *s, uint64_t now)
{
	return now > s->began_at ? (uint32_t)(now - s->began_at) : 0;
}

/* Counts a request for the service that arrived at this node. */
void shift_on_request(struct traffic_shift *s)
{
	s->own_evidence.requests++;
}

/* Counts an attempt sent from this node to a server of the version. */
void shift_on_sent(struct traffic_shift *s, enum shift_version version)
{
	s->own_evidence.sent_new += version == SHIFT_NEW;
}

/* Returns two counts: all answers and bad answers. */
static uint32_t *metric_counts(struct shift_route_counts *c,
			       enum shift_version version,
			       enum shift_metric metric)
{
	return &c->count[4 * version + 2 * metric];
}

/*
 * Returns the counts of a route, added if new. Once the table is full, further
 * routes share the last entry.
 */
static struct shift_route_counts *counts_of_route(struct shift_evidence *e,
						  uint64_t route)
{
	for (uint32_t i = 0; i < e->n_routes; i++)
		if (e->routes[i].route == route)
			return &e->routes[i];
	if (e->n_routes == SHIFT_MAX_ROUTES)
		return &e->routes[SHIFT_MAX_ROUTES - 1];
	e->routes[e->n_routes].route = route;
	return &e->routes[e->n_routes++];
}

static const struct shift_baseline *find_baseline(const struct traffic_shift *s,
						  uint64_t route)
{
	for (uint32_t i = 0; i < s->n_baselines; i++)
		if (s->baselines[i].route == route)
			return &s->baselines[i];
	return NULL;
}

/* Returns the baseline of a route, added if new; NULL if the table is full. */
static struct shift_baseline *route_baseline(struct traffic_shift *s,
					     uint64_t route)
{
	struct shift_baseline *known =
		(struct shift_baseline *)find_baseline(s, route);

	if (known)
		return known;
	if (s->n_baselines == SHIFT_MAX_ROUTES)
		return NULL;
	s->baselines[s->n_baselines].route = route;
	return &s->baselines[s->n_baselines++];
}

static void update_baseline(struct shift_baseline *b,
			    const struct shift_latency *l)
{
	double weight, load_diff, event_diff_ms;

	b->n++;
	weight = MAX(BASELINE_WEIGHT, 1.0 / b->n);
	b->first_ms += weight * (l->first_ms - b->first_ms);
	if (l->event_ms <= 0)
		return;
	b->n_events++;
	weight = MAX(BASELINE_WEIGHT, 1.0 / b->n_events);
	load_diff = l->load - b->load;
	event_diff_ms = l->event_ms - b->event_ms;
	b->load += weight * load_diff;
	b->event_ms += weight * event_diff_ms;
	b->load_variance = (1 - weight) *
			   (b->load_variance + weight * load_diff * load_diff);
	b->load_event_covariance =
		(1 - weight) *
		(b->load_event_covariance + weight * load_diff * event_diff_ms);
}

/*
 * Returns the time in ms expected between events of the old version at a server
 * with that load, by linear regression.
 */
static double expected_event_ms(const struct shift_baseline *b, double load)
{
	double slope =
		b->load_variance > 0
			? MAX(b->load_event_covariance / b->load_variance, 0)
			: 0;

	return MAX(b->event_ms + slope * (load - b->load),
		   MIN_EVENT_INTERVAL_FACTOR * b->event_ms);
}

/* Returns after which time a first event, or a plain answer, is slow. */
static double slow_first_ms(const struct shift_baseline *b)
{
	double factor = b->n_events ? SLOW_FIRST_EVENT_FACTOR
				    : SLOW_PLAIN_ANSWER_FACTOR;

	return MAX(factor * b->first_ms, b->first_ms + MIN_SLOW_EXCESS_MS);
}

static bool is_slow(const struct shift_baseline *b,
		    const struct shift_latency *l)
{
	if (b->n < MIN_BASELINE_ANSWERS)
		return false;
	if (l->event_ms > 0 && b->n_events >= MIN_BASELINE_ANSWERS &&
	    l->event_ms >
		    SLOW_EVENT_INTERVAL_FACTOR * expected_event_ms(b, l->load))
		return true;
	return l->first_ms > slow_first_ms(b);
}

/* Counts a complete answer of a server of the version. */
void shift_on_answer(struct traffic_shift *s, enum shift_version version,
		     uint64_t route, bool failed)
{
	uint32_t *errors = metric_counts(
		counts_of_route(&s->own_evidence, route), version, SHIFT_ERROR);

	errors[0]++;
	errors[1] += failed;
}

static void count_latency(struct traffic_shift *s, enum shift_version version,
			  uint64_t route, bool slow)
{
	uint32_t *counts =
		metric_counts(counts_of_route(&s->own_evidence, route), version,
			      SHIFT_LATENCY);

	counts[0]++;
	counts[1] += slow;
}

/*
 * Counts the latency of an attempt at a server of the version. Returns whether
 * it counts as slow: compared with the old version at the load of that server,
 * since servers of the new version have fewer requests during the trial.
 */
bool shift_on_latency(struct traffic_shift *s, enum shift_version version,
		      const struct shift_latency *l)
{
	struct shift_baseline *b = route_baseline(s, l->route);
	bool slow;

	if (!b || l->fills)
		return false;
	slow = is_slow(b, l);
	count_latency(s, version, l->route, slow);
	if (version == SHIFT_OLD)
		update_baseline(b, l);
	return slow;
}

/*
 * Returns whether an attempt whose latency is not known after elapsed_ms is
 * certainly slow, so that it can be counted before its events have come.
 */
bool shift_is_overdue(const struct traffic_shift *s, uint64_t route,
		      double load, double elapsed_ms)
{
	const struct shift_baseline *b = find_baseline(s, route);
	double limit_ms;

	if (!b || b->n < MIN_BASELINE_ANSWERS)
		return false;
	limit_ms = slow_first_ms(b);
	if (b->n_events)
		limit_ms += SLOW_EVENT_INTERVAL_FACTOR *
			    (SHIFT_LATENCY_EVENTS - 1) *
			    expected_event_ms(b, load);
	return elapsed_ms > limit_ms;
}

/* Counts an attempt as slow whose latency is not known yet. */
void shift_on_overdue(struct traffic_shift *s, enum shift_version version,
		      uint64_t route)
{
	count_latency(s, version, route, true);
}

/*
 * Stores another node's evidence, unless a newer report of the same run is
 * known: counts only increase within one run of a node. A higher age moves the
 * start of the shift back.
 */
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
		if (r->evidence.requests >= known->evidence.requests) {
			*known = *r;
			known->received_at = now;
		}
		return;
	}
	g_array_append_vals(s->reports, r, 1);
	g_array_index(s->reports, struct shift_report, s->reports->len - 1)
		.received_at = now;
}

/* Returns whether the report is at most SHIFT_REPORT_MAX_AGE_MS old. */
bool shift_report_is_new(const struct shift_report *r, uint64_t now)
{
	return now - r->received_at <= SHIFT_REPORT_MAX_AGE_MS;
}

/* Returns of how many runs of other nodes the last report is new. */
uint32_t shift_count_new_reports(const struct traffic_shift *s, uint64_t now)
{
	uint32_t n = 0;

	for (guint i = 0; i < s->reports->len; i++)
		n += shift_report_is_new(
			&g_array_index(s->reports, struct shift_report, i),
			now);
	return n;
}

/*
 * Sets the state, and the share if the state is final. A reverted shift stays
 * reverted.
 */
void shift_set_state(struct traffic_shift *s, enum shift_state state)
{
	if (s->plan.state != SHIFT_REVERTED || state == SHIFT_REVERTED)
		s->plan.state = state;
	if (s->plan.state == SHIFT_REVERTED)
		s->plan.share = 0;
	if (s->plan.state == SHIFT_COMPLETED)
		s->plan.share = SHIFT_FULL_SHARE;
}

/*
 * Sets the end that the store has for the shift. It holds also for a node that
 * has decided otherwise: servers leave by what the store says.
 */
void shift_set_stored_end(struct traffic_shift *s, enum shift_state end)
{
	s->plan.state = end;
	shift_set_state(s, end);
}

/* Puts a plan into force unless the state is final. */
static void apply_plan(struct traffic_shift *s, uint64_t now,
		       const struct shift_plan *plan)
{
	if (s->plan.state != SHIFT_IN_PROGRESS)
		return;
	s->plan = *plan;
	if (plan->share == SHIFT_FULL_SHARE && !s->full_since)
		s->full_since = now;
	shift_set_state(s, plan->state);
}

/*
 * Handles a plan received from another node. The share decreases only when the
 * shift is reverted, so that sessions stay on the new version.
 */
void shift_on_plan(struct traffic_shift *s, uint64_t now,
		   const struct shift_plan *plan)
{
	struct shift_plan p = *plan;

	s->heard_share = p.share;
	if (p.age_ms > shift_age_ms(s, now))
		s->began_at = now > p.age_ms ? now - p.age_ms : 0;
	if (p.state == SHIFT_IN_PROGRESS)
		p.share = MAX(p.share, s->plan.share);
	apply_plan(s, now, &p);
}

static void add_evidence(struct shift_evidence *sum,
			 const struct shift_evidence *e)
{
	sum->requests += e->requests;
	sum->sent_new += e->sent_new;
	sum->old_in_flight += e->old_in_flight;
	for (uint32_t i = 0; i < e->n_routes; i++) {
		struct shift_route_counts *c =
			counts_of_route(sum, e->routes[i].route);

		for (int k = 0; k < SHIFT_COUNTS_PER_ROUTE; k++)
			c->count[k] += e->routes[i].count[k];
	}
}

/* Returns the sum of this node's evidence and that reported by others. */
struct shift_evidence shift_total_evidence(const struct traffic_shift *s)
{
	struct shift_evidence sum = s->own_evidence;

	for (guint i = 0; i < s->reports->len; i++)
		add_evidence(&sum,
			     &g_array_index(s->reports, struct shift_report, i)
				      .evidence);
	return sum;
}

/* Returns the test of a route, added if new; NULL if the table is full. */
static struct shift_route_test *route_test(struct traffic_shift *s,
					   uint64_t route, uint64_t now)
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

static struct rollout_counts counts_for_test(struct shift_route_counts *c,
					     enum shift_version version)
{
	const uint32_t *errors = metric_counts(c, version, SHIFT_ERROR);
	const uint32_t *slow = metric_counts(c, version, SHIFT_LATENCY);
	struct rollout_counts out = {{0}, {0}};

	out.n[ROLLOUT_ERROR] = errors[0];
	out.bad[ROLLOUT_ERROR] = errors[1];
	out.n[ROLLOUT_LATENCY] = slow[0];
	out.bad[ROLLOUT_LATENCY] = slow[1];
	return out;
}

/*
 * Adds the counts that are not yet in the test and returns whether it rejects
 * the new version; `metric` is then set to the metric that it is worse in.
 */
static bool test_stops(struct shift_route_test *t, struct shift_route_counts *c,
		       uint64_t now, enum rollout_metric *metric)
{
	struct rollout_params p = rollout_default_params();
	struct rollout_counts old = counts_for_test(c, SHIFT_OLD);
	struct rollout_counts total = counts_for_test(c, SHIFT_NEW);
	struct rollout_counts added = {{0}, {0}};

	p.min_bad_share = MIN_BAD_SHARE;
	p.margin = MARGIN;
	p.stop_threshold = STOP_THRESHOLD;
	for (int m = 0; m < ROLLOUT_METRIC_COUNT; m++) {
		if (total.n[m] < t->included.n[m] ||
		    total.bad[m] < t->included.bad[m])
			continue;
		added.n[m] = total.n[m] - t->included.n[m];
		added.bad[m] = total.bad[m] - t->included.bad[m];
		t->included.n[m] = total.n[m];
		t->included.bad[m] = total.bad[m];
	}
	return rollout_decide(&t->test, &p, now, &old, &added, metric) ==
	       ROLLOUT_STOP;
}

/*
 * Tests the new version by all counts known to this node, route by route.
 * Returns true if it is worse than the old version; the shift is then reverted.
 */
bool shift_detect_regression(struct traffic_shift *s, uint64_t now)
{
	struct shift_evidence sum;

	if (s->plan.state != SHIFT_IN_PROGRESS)
		return false;
	sum = shift_total_evidence(s);
	for (uint32_t i = 0; i < sum.n_routes; i++) {
		struct shift_route_test *t =
			route_test(s, sum.routes[i].route, now);
		enum rollout_metric metric;

		if (!t || !test_stops(t, &sum.routes[i], now, &metric))
			continue;
		s->failed_metric = rollout_metric_name(metric);
		shift_set_state(s, SHIFT_REVERTED);
		return true;
	}
	return false;
}

/*
 * Returns whether all requests may use the new version from now to the end of
 * the time allowed without exceeding the exposure limit. The move is then safe
 * even if the version turns out bad under full load or late.
 */
static bool full_share_is_safe(const struct traffic_shift *s, uint64_t now,
			       const struct shift_params *p,
			       const struct shift_evidence *e)
{
	double age_ms = shift_age_ms(s, now);
	double left_ms =
		s->time_limit_ms > age_ms ? s->time_limit_ms - age_ms : 0;
	double expected_requests = e->requests / MAX(age_ms, 1) * left_ms;
	double allowed_requests =
		p->expose_share * (e->requests + expected_requests) +
		p->expose_slack;
	/* Independent arrivals: the variance of their number is its mean. */
	double spread = SPREAD_DEVIATIONS * sqrt(expected_requests);

	return e->sent_new + expected_requests + spread <=
	       EXPOSURE_SAFETY_FACTOR * allowed_requests;
}

static double trial_share(const struct shift_params *p)
{
	return MIN(MAX_TRIAL_SHARE, TRIAL_SHARE_FACTOR * p->expose_share);
}

/*
 * Returns whether all requests may use the new version until the time allowed is
 * over, whatever part of them this node has counted: so little of the time is left
 * that they keep within the share, beside the trial, without what is allowed beyond.
 */
static bool late_move_is_safe(const struct traffic_shift *s, uint64_t now,
			      const struct shift_params *p)
{
	double age = (double)shift_age_ms(s, now) / s->time_limit_ms;

	return 1 - age + trial_share(p) <=
	       EXPOSURE_SAFETY_FACTOR * p->expose_share;
}

/* Returns whether the requests sent so far leave room for more of the trial. */
static bool trial_is_safe(const struct shift_params *p,
			  const struct shift_evidence *e)
{
	return e->sent_new <
	       EXPOSURE_SAFETY_FACTOR *
		       (p->expose_share * e->requests + p->expose_slack);
}

/* Returns the share of sessions that should use the new version now, 0 to 1. */
static double desired_share(const struct traffic_shift *s, uint64_t now,
			    const struct shift_params *p,
			    const struct shift_evidence *e)
{
	if (shift_age_ms(s, now) < s->session_ms + START_DELAY_MS)
		return 0;
	if (shift_age_ms(s, now) >= MOVE_START_FRACTION * s->time_limit_ms &&
	    (p->partial_counts ? late_move_is_safe(s, now, p)
			       : full_share_is_safe(s, now, p, e)))
		return 1;
	if (!trial_is_safe(p, e))
		return 0;
	return trial_share(p);
}

/* Returns how many answers of the new version have their latency compared. */
static uint32_t compared_answers(struct shift_evidence *e)
{
	uint32_t compared = 0;

	for (uint32_t i = 0; i < e->n_routes; i++)
		compared += metric_counts(&e->routes[i], SHIFT_NEW,
					  SHIFT_LATENCY)[0];
	return compared;
}

/*
 * Returns whether the trial may fill new servers one after another, so that few
 * requests detect a version that fails only under load. The latency of a filled
 * server is not comparable with the old version's, so enough answers must have
 * been compared before.
 */
static bool may_fill(struct shift_evidence *e)
{
	return compared_answers(e) >= MIN_COMPARED_TO_FILL;
}

/*
 * Returns whether what is known of the new version speaks for all of it. Fast
 * answers are known before slow ones, so the first of them do not.
 */
static bool is_representative(struct shift_evidence *e)
{
	return compared_answers(e) >=
	       MIN(MIN_COMPARED_TO_COMPLETE, MIN_COMPARED_SHARE * e->sent_new);
}

/*
 * Returns whether the order may be completed. The old servers are stopped as
 * soon as it is, so requests running there get as much time to end as the
 * order leaves.
 */
static bool may_complete(const struct traffic_shift *s, uint64_t now,
			 struct shift_evidence *e)
{
	uint32_t age_ms = shift_age_ms(s, now);
	uint64_t full_share_ms = s->full_since ? now - s->full_since : 0;

	if (!is_representative(e))
		return false;
	if (full_share_ms < MIN_FULL_SHARE_MS)
		return full_share_ms >= SHORT_FULL_SHARE_MS &&
		       age_ms + SHORT_END_RESERVE_MS >= s->time_limit_ms;
	return !e->old_in_flight || age_ms + END_RESERVE_MS >= s->time_limit_ms;
}

/*
 * Updates the plan, on the coordinator, and returns it. In the first half of
 * the time allowed only new sessions use the new version. `ready_new` is the
 * number of servers of the new version that are ready.
 */
struct shift_plan shift_update_plan(struct traffic_shift *s, uint64_t now,
				    const struct shift_params *p,
				    uint32_t ready_new)
{
	struct shift_evidence sum = shift_total_evidence(s);
	struct shift_plan plan = s->plan;
	uint32_t desired;

	plan.age_ms = shift_age_ms(s, now);
	if (plan.state != SHIFT_IN_PROGRESS)
		return plan;
	desired = (uint32_t)(SHIFT_FULL_SHARE * desired_share(s, now, p, &sum));
	if (!ready_new)
		desired = plan.share;
	plan.share = MAX(plan.share, desired);
	plan.fills = plan.fills || may_fill(&sum);
	if (ready_new && may_complete(s, now, &sum) &&
	    (!p->partial_counts || late_move_is_safe(s, now, p)))
		plan.state = SHIFT_COMPLETED;
	apply_plan(s, now, &plan);
	return plan;
}

/*
 * Returns whether this node's plan has a higher share than the coordinator's, which has
 * lost its own: it has started again, or is another node that has just started.
 */
bool shift_is_ahead(const struct traffic_shift *s)
{
	return s->plan.state == SHIFT_IN_PROGRESS &&
	       s->plan.share > s->heard_share;
}

/* Returns whether the shift is in its trial: the share is not full yet. */
bool shift_in_trial(const struct traffic_shift *s)
{
	return s->plan.state == SHIFT_IN_PROGRESS && !s->full_since;
}

/* Returns whether the trial fills new servers one after another. */
bool shift_fills_servers(const struct traffic_shift *s)
{
	return shift_in_trial(s) && s->plan.fills;
}

/* Returns whether the hash falls within the share of SHIFT_FULL_SHARE. */
static bool is_selected(uint64_t hash, uint32_t share)
{
	return (hash >> 16) % SHIFT_FULL_SHARE < share;
}

/*
 * Returns whether other nodes need to know the version of a session: the
 * trial may select it, and it must not change its version yet.
 */
bool shift_announces_session(const struct traffic_shift *s, uint64_t now,
			     uint64_t session)
{
	return s->plan.state == SHIFT_IN_PROGRESS && session &&
	       shift_age_ms(s, now) < MOVE_START_FRACTION * s->time_limit_ms &&
	       is_selected(session,
			   (uint32_t)(SHIFT_FULL_SHARE * MAX_TRIAL_SHARE));
}

/*
 * Returns the version for a request. `hash` is that of its session, or random
 * if it has none; `last` is the version of the session's last request. In the
 * first half of the time allowed a session keeps its version; in the second
 * half it may move to the new version, never back.
 */
enum shift_version shift_choose_version(const struct traffic_shift *s,
					uint64_t now, uint64_t hash,
					enum shift_last_version last)
{
	bool may_move =
		shift_age_ms(s, now) >= MOVE_START_FRACTION * s->time_limit_ms;

	if (s->plan.state == SHIFT_REVERTED)
		return SHIFT_OLD;
	if (s->plan.state == SHIFT_COMPLETED || last == SHIFT_LAST_NEW)
		return SHIFT_NEW;
	if (last == SHIFT_LAST_OLD && !may_move)
		return SHIFT_OLD;
	return is_selected(hash, s->plan.share) ? SHIFT_NEW : SHIFT_OLD;
}
