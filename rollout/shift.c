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
const char *sft_state_name(enum sft_state state)
{
	return state_names[state];
}

/* Starts to follow an order that was seen now. */
struct sft *sft_new(const char *service, const char *target, uint32_t over_ms,
		    uint32_t session_ms, uint64_t now)
{
	struct sft *s = g_new0(struct sft, 1);

	s->service = g_strdup(service);
	s->target = g_strdup(target);
	s->over_ms = MAX(over_ms, 1);
	s->session_ms = session_ms;
	s->began_at = now;
	s->reports = g_array_new(FALSE, TRUE, sizeof(struct sft_report));
	return s;
}

/* Frees it; NULL is allowed. */
void sft_free(struct sft *s)
{
	if (!s)
		return;
	g_array_unref(s->reports);
	g_free(s->service);
	g_free(s->target);
	g_free(s);
}

/* Returns how long ago the order was given, in ms. */
uint32_t sft_age(const struct sft *s, uint64_t now)
{
	return now > s->began_at ? (uint32_t)(now - s->began_at) : 0;
}

/* A request for the service has arrived at this node. */
void sft_on_request(struct sft *s)
{
	s->own.requests++;
}

/* A request of this node was sent to a server of that version. */
void sft_on_sent(struct sft *s, enum sft_version version)
{
	s->own.sent_new += version == SFT_NEW;
}

static uint32_t *counts_of(struct sft_cell *c, enum sft_version version,
			   enum sft_respect respect)
{
	return &c->count[4 * version + 2 * respect];
}

/* Returns the cell of a route; routes beyond the table share the last one. */
static struct sft_cell *cell_of(struct sft_evidence *e, uint64_t route)
{
	for (uint32_t i = 0; i < e->n_cells; i++)
		if (e->cells[i].route == route)
			return &e->cells[i];
	if (e->n_cells == SFT_MAX_ROUTES)
		return &e->cells[SFT_MAX_ROUTES - 1];
	e->cells[e->n_cells].route = route;
	return &e->cells[e->n_cells++];
}

static struct sft_pace *pace_of(struct sft *s, uint64_t route)
{
	for (uint32_t i = 0; i < s->n_pace; i++)
		if (s->pace[i].route == route)
			return &s->pace[i];
	if (s->n_pace == SFT_MAX_ROUTES)
		return NULL;
	s->pace[s->n_pace].route = route;
	return &s->pace[s->n_pace++];
}

static void learn_pace(struct sft_pace *p, const struct sft_answer *a)
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
static double usual_event_ms(const struct sft_pace *p, double load)
{
	double slope = p->load_spread > 0
			       ? MAX(p->load_event_ms / p->load_spread, 0)
			       : 0;

	return MAX(p->event_ms + slope * (load - p->load),
		   LEAST_PACE * p->event_ms);
}

static bool is_slow(const struct sft_pace *p, const struct sft_answer *a)
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
bool sft_on_answer(struct sft *s, enum sft_version version,
		   const struct sft_answer *a)
{
	struct sft_cell *c = cell_of(&s->own, a->route);
	struct sft_pace *p = pace_of(s, a->route);
	uint32_t *errors = counts_of(c, version, SFT_ERROR);
	uint32_t *slow = counts_of(c, version, SFT_SLOW);
	bool late;

	errors[0]++;
	errors[1] += a->failed;
	if (a->failed || !p || a->fills)
		return false;
	late = is_slow(p, a);
	slow[0]++;
	slow[1] += late;
	if (version == SFT_OLD)
		learn_pace(p, a);
	return late;
}

/* Takes another node's counts; they only grow within one run of it. */
void sft_on_report(struct sft *s, uint64_t now, const struct sft_report *r)
{
	if (r->age_ms > sft_age(s, now))
		s->began_at = now > r->age_ms ? now - r->age_ms : 0;
	for (guint i = 0; i < s->reports->len; i++) {
		struct sft_report *known =
			&g_array_index(s->reports, struct sft_report, i);

		if (known->boot != r->boot || strcmp(known->node, r->node) != 0)
			continue;
		if (r->evidence.requests >= known->evidence.requests)
			*known = *r;
		return;
	}
	g_array_append_vals(s->reports, r, 1);
}

/* The order has its final state; nothing brings it back. */
void sft_settle(struct sft *s, enum sft_state state)
{
	if (s->plan.state != SFT_REVERTED || state == SFT_REVERTED)
		s->plan.state = state;
	if (s->plan.state == SFT_REVERTED)
		s->plan.share = 0;
	if (s->plan.state == SFT_COMPLETED)
		s->plan.share = SFT_WHOLE;
}

static void take_plan(struct sft *s, uint64_t now, const struct sft_plan *plan)
{
	if (s->plan.state != SFT_TRIAL)
		return;
	s->plan = *plan;
	if (plan->share == SFT_WHOLE && !s->whole_since)
		s->whole_since = now;
	sft_settle(s, plan->state);
}

/*
 * Takes the plan that another node told. The share never shrinks but by a
 * reversal, so that sessions stay on the new version.
 */
void sft_on_plan(struct sft *s, uint64_t now, const struct sft_plan *plan)
{
	struct sft_plan p = *plan;

	if (p.age_ms > sft_age(s, now))
		s->began_at = now > p.age_ms ? now - p.age_ms : 0;
	if (p.state == SFT_TRIAL)
		p.share = MAX(p.share, s->plan.share);
	take_plan(s, now, &p);
}

static void add_evidence(struct sft_evidence *sum, const struct sft_evidence *e)
{
	sum->requests += e->requests;
	sum->sent_new += e->sent_new;
	sum->old_in_flight += e->old_in_flight;
	for (uint32_t i = 0; i < e->n_cells; i++) {
		struct sft_cell *c = cell_of(sum, e->cells[i].route);

		for (int k = 0; k < SFT_CELL_COUNTS; k++)
			c->count[k] += e->cells[i].count[k];
	}
}

/* Returns this node's counts and those that others reported, together. */
struct sft_evidence sft_total(const struct sft *s)
{
	struct sft_evidence sum = s->own;

	for (guint i = 0; i < s->reports->len; i++)
		add_evidence(&sum,
			     &g_array_index(s->reports, struct sft_report, i)
				      .evidence);
	return sum;
}

static struct sft_test *test_of(struct sft *s, uint64_t route, uint64_t now)
{
	for (uint32_t i = 0; i < s->n_tests; i++)
		if (s->tests[i].route == route)
			return &s->tests[i];
	if (s->n_tests == SFT_MAX_ROUTES)
		return NULL;
	s->tests[s->n_tests].route = route;
	ro_begin_step(&s->tests[s->n_tests].test, now);
	return &s->tests[s->n_tests++];
}

static struct ro_counts counts_for_test(struct sft_cell *c,
					enum sft_version version)
{
	const uint32_t *errors = counts_of(c, version, SFT_ERROR);
	const uint32_t *slow = counts_of(c, version, SFT_SLOW);
	struct ro_counts out = {{0}, {0}};

	out.n[RO_ERROR] = errors[0];
	out.bad[RO_ERROR] = errors[1];
	out.n[RO_SLOW] = slow[0];
	out.bad[RO_SLOW] = slow[1];
	return out;
}

static bool test_fails(struct sft_test *t, struct sft_cell *c, uint64_t now,
		       enum ro_respect *respect)
{
	struct ro_params p = ro_default_params();
	struct ro_counts old = counts_for_test(c, SFT_OLD);
	struct ro_counts all = counts_for_test(c, SFT_NEW);
	struct ro_counts fresh = {{0}, {0}};

	p.least_bad = LEAST_BAD;
	p.margin = MARGIN;
	p.stop_at = STOP_AT;
	for (int r = 0; r < RO_RESPECTS; r++) {
		if (all.n[r] < t->taken.n[r] || all.bad[r] < t->taken.bad[r])
			continue;
		fresh.n[r] = all.n[r] - t->taken.n[r];
		fresh.bad[r] = all.bad[r] - t->taken.bad[r];
		t->taken.n[r] = all.n[r];
		t->taken.bad[r] = all.bad[r];
	}
	return ro_judge(&t->test, &p, now, &old, &fresh, respect) == RO_STOP;
}

/*
 * Tests the new version by all that this node knows, route by route. True: it
 * is bad, and the plan is to go back from now on.
 */
bool sft_check(struct sft *s, uint64_t now)
{
	struct sft_evidence sum;

	if (s->plan.state != SFT_TRIAL)
		return false;
	sum = sft_total(s);
	for (uint32_t i = 0; i < sum.n_cells; i++) {
		struct sft_test *t = test_of(s, sum.cells[i].route, now);
		enum ro_respect respect;

		if (!t || !test_fails(t, &sum.cells[i], now, &respect))
			continue;
		s->why = ro_respect_name(respect);
		sft_settle(s, SFT_REVERTED);
		return true;
	}
	return false;
}

/*
 * Tells whether all requests from now on may go to the new version, until the
 * time is over, within what a bad version may get. Such a step needs no verdict
 * to be safe: what shows only under load, or late, shows in few requests.
 */
static bool whole_is_safe(const struct sft *s, uint64_t now,
			  const struct sft_params *p,
			  const struct sft_evidence *e)
{
	double age = sft_age(s, now);
	double left_ms = s->over_ms > age ? s->over_ms - age : 0;
	double to_come = e->requests / MAX(age, 1) * left_ms;
	double allowed =
		p->expose_share * (e->requests + to_come) + p->expose_slack;

	return e->sent_new + to_come <= EXPOSED_PART * allowed;
}

static bool trial_is_safe(const struct sft_params *p,
			  const struct sft_evidence *e)
{
	return e->sent_new <
	       EXPOSED_PART * (p->expose_share * e->requests + p->expose_slack);
}

static double wanted_share(const struct sft *s, uint64_t now,
			   const struct sft_params *p,
			   const struct sft_evidence *e)
{
	if (sft_age(s, now) < s->session_ms + WARM_UP_MS)
		return 0;
	if (sft_age(s, now) >= MOVE_FROM * s->over_ms &&
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
static bool may_fill(struct sft_evidence *e)
{
	uint32_t compared = 0;

	for (uint32_t i = 0; i < e->n_cells; i++)
		compared += counts_of(&e->cells[i], SFT_NEW, SFT_SLOW)[0];
	return compared >= FILL_AFTER;
}

/*
 * The old servers stop at once when the order is completed: what runs there
 * gets time to end, as far as there is some.
 */
static bool may_complete(const struct sft *s, uint64_t now,
			 const struct sft_evidence *e)
{
	uint32_t age = sft_age(s, now);
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
struct sft_plan sft_judge(struct sft *s, uint64_t now,
			  const struct sft_params *p, uint32_t ready_new)
{
	struct sft_evidence sum = sft_total(s);
	struct sft_plan plan = s->plan;
	uint32_t wanted;

	plan.age_ms = sft_age(s, now);
	if (plan.state != SFT_TRIAL)
		return plan;
	wanted = (uint32_t)(SFT_WHOLE * wanted_share(s, now, p, &sum));
	if (!ready_new)
		wanted = plan.share;
	plan.share = MAX(plan.share, wanted);
	plan.fills = plan.fills || may_fill(&sum);
	if (may_complete(s, now, &sum) && ready_new)
		plan.state = SFT_COMPLETED;
	take_plan(s, now, &plan);
	return plan;
}

/* Tells whether few requests go to the new version, to test it. */
bool sft_is_trial(const struct sft *s)
{
	return s->plan.state == SFT_TRIAL && !s->whole_since;
}

/* Tells whether the trial fills new servers one by one. */
bool sft_fills(const struct sft *s)
{
	return sft_is_trial(s) && s->plan.fills;
}

static bool is_drawn(uint64_t hash, uint32_t share)
{
	return (hash >> 16) % SFT_WHOLE < share;
}

/*
 * Tells whether other nodes need to know where a session ran: it is one of
 * those that the trial draws, and may still not move.
 */
bool sft_tells_session(const struct sft *s, uint64_t now, uint64_t session)
{
	return s->plan.state == SFT_TRIAL && session &&
	       sft_age(s, now) < MOVE_FROM * s->over_ms &&
	       is_drawn(session, (uint32_t)(SFT_WHOLE * TRIAL_MOST));
}

/*
 * Chooses the version for a request; the hash is that of its session, or
 * random. In the first half a session stays where it was; in the second one
 * it may move to the new version, never back.
 */
enum sft_version sft_choose(const struct sft *s, uint64_t now, uint64_t hash,
			    enum sft_seen seen)
{
	bool may_move = sft_age(s, now) >= MOVE_FROM * s->over_ms;

	if (s->plan.state == SFT_REVERTED)
		return SFT_OLD;
	if (s->plan.state == SFT_COMPLETED || seen == SFT_SEEN_NEW)
		return SFT_NEW;
	if (seen == SFT_SEEN_OLD && !may_move)
		return SFT_OLD;
	return is_drawn(hash, s->plan.share) ? SFT_NEW : SFT_OLD;
}
