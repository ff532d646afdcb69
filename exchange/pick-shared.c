#include "exchange/pick-shared.h"

#include <float.h>
#include <string.h>

/* Without measurements. */
#define DEFAULT_RUN_MS 500.0 /* that a model request holds its slot */
#define DEFAULT_HEAD_MS 20.0 /* of a plain request */

#define OTHER_ZONE_MS 3.0 /* a way between zones and back */
#define COLD_FACTOR 1.6
#define FAILURE_RATE_FACTOR 4 /* times the failure rate, added to 1 */
/*
 * A prompt is read in chunks between the steps of the running requests, all of
 * which then wait for it. This share of that delay counts as the request's own.
 */
#define OTHERS_DELAY_SHARE 0.25
/*
 * A shared beginning that is read at another server takes the memory of others, of
 * which the largest model reads this share again.
 */
#define EVICTION_SHARE 1.5
/*
 * A running request of weight 1 counts as so many tokens to prefill: it delays the
 * steps of the others and holds a slot, and what runs is known late.
 */
#define RUNNING_TOKENS 1000
/*
 * Servers that are this close to the best one are equal, and one of them is drawn:
 * other nodes decide by the same late reports.
 */
#define EQUAL_MS 2.0
#define EQUAL_SHARE 0.05

/* A request, and what is known for all servers. */
struct shared_request {
	const struct server_table *t;
	uint64_t now;
	const struct pick_criteria *c;
	struct pace_service *pace;
	double token_ms; /* of its model, at an idle server of usual speed */
	double unit_ms; /* the same, of a model of weight 1 */
	const struct prefix_cache_entry *entries[PROMPT_MAX_PARTS];
	uint32_t n_beginnings;
	struct prefix_cache_limits limits;
	/* The servers that all nodes prefer for the shared beginning, by rank. */
	const struct server_record *homes[PACE_HOME_RANKS];
	uint32_t first_home; /* class of the first of them */
};

/* What is expected of a server. */
struct shared_estimate {
	struct pace_sample sample;
	double load; /* requests there */
	double slots;
	double first_event_ms; /* or the time to the head of a plain answer */
	double own_ms; /* of these, without waiting for others */
	double cost_ms; /* with the delay of other requests */
};

/*
 * Returns the load of a server as server_load(), but a report of the server
 * counts the less the older it is.
 */
static double load_of(const struct server_record *s, uint64_t now)
{
	double others = s->peer_in_flight, reported = 0, age;

	if (s->reported_at && now - s->reported_at < SERVER_LOAD_MAX_AGE_MS) {
		age = (double)(now - s->reported_at);
		if (s->reported_load > s->reported_in_flight)
			reported = s->reported_load - s->reported_in_flight;
		others = MAX(others,
			     reported * (1 - age / SERVER_LOAD_MAX_AGE_MS));
	}
	return s->in_flight + others;
}

static struct prefix_cache_server cache_server(const struct server_record *s)
{
	const struct prefix_cache_server out = {
		.id = s->hash,
		.boot = s->born ? s->born : s->boots,
		.sent = s->sent_tokens,
	};

	return out;
}

/* Returns the limits of all servers but for the load of each. */
static struct prefix_cache_limits limits_of(const struct server_table *t,
					    const struct pick_criteria *c,
					    const struct pace_service *pace)
{
	uint32_t servers = server_count_ready(t, c->service, NULL);
	const struct prefix_cache_limits l = {
		.memory_ms = c->prefix_memory_ms,
		.has_capacity = c->kv_capacity > 0,
		.service_sent = pace->sent_tokens,
		.server_share = (double)MAX(c->live_nodes, 1) / MAX(servers, 1),
	};

	return l;
}

/* Finds the servers of highest rank for the beginning that requests share. */
static void find_homes(struct shared_request *r)
{
	const struct server_table *t = r->t;
	uint64_t rank[PACE_HOME_RANKS] = {0};

	for (guint i = 0; r->c->affinity && i < t->all->len; i++) {
		const struct server_record *s = t->all->pdata[i];
		uint64_t is;
		uint32_t at = PACE_HOME_RANKS;

		if (!pick_is_candidate(s, r->now, r->c, false))
			continue;
		is = pick_rank(s, r->c->affinity);
		while (at > 0 && (!r->homes[at - 1] || is > rank[at - 1])) {
			at--;
			if (at + 1 == PACE_HOME_RANKS)
				continue;
			r->homes[at + 1] = r->homes[at];
			rank[at + 1] = rank[at];
		}
		if (at == PACE_HOME_RANKS)
			continue;
		r->homes[at] = s;
		rank[at] = is;
	}
}

/* Returns whether this node has seen the shared beginning lately. */
static bool shares_are_recent(const struct shared_request *r)
{
	return r->n_beginnings > 1 &&
	       prefix_cache_is_recent(r->entries[r->n_beginnings - 2], r->now,
				      r->limits.memory_ms);
}

static struct shared_request request_of(const struct server_table *t,
					uint64_t now,
					const struct pick_criteria *c)
{
	struct pace_service *pace = server_pace_service(t, c->service);
	struct shared_request r = {
		.t = t,
		.now = now,
		.c = c,
		.pace = pace,
		.token_ms = pace_token_ms(pace, c->model, c->weight),
		.unit_ms = pace_token_ms(pace, 0, 1),
		.n_beginnings = c->prompt ? c->prompt->n_beginnings : 0,
		.limits = limits_of(t, c, pace),
	};

	for (uint32_t i = 0; i < r.n_beginnings; i++)
		r.entries[i] = prefix_cache_find(
			&t->prefixes,
			prefix_cache_key(c->prompt->beginnings[i], c->model));
	r.first_home = shares_are_recent(&r) ? PACE_HOME_RANKS : 0;
	find_homes(&r);
	return r;
}

/*
 * Sets the memory that the requests running at a server leave for beginnings.
 * Returns false if there is none.
 */
static bool set_capacity(const struct shared_request *r, double load,
			 struct prefix_cache_limits *l)
{
	double in_use = load * r->pace->prompt_tokens;

	l->capacity = in_use < r->c->kv_capacity
			      ? (uint64_t)(r->c->kv_capacity - in_use)
			      : 0;
	return !l->has_capacity || l->capacity > 0;
}

/* Returns how many tokens this node has sent there that are still held. */
static uint32_t sent_tokens_held(const struct shared_request *r,
				 const struct server_record *s,
				 const struct prefix_cache_limits *limits)
{
	const struct prefix_cache_server server = cache_server(s);
	uint32_t n = 0;

	while (n < r->n_beginnings &&
	       prefix_cache_holds(r->entries[n], r->now, &server, limits))
		n++;
	return n ? r->c->prompt->beginning_tokens[n - 1] : 0;
}

/* Sets how many tokens of the prompt the server holds, as far as is known. */
static void set_held(const struct shared_request *r,
		     const struct server_record *s, double load,
		     struct pace_sample *p)
{
	struct prefix_cache_limits limits = r->limits;
	double held;

	p->home = PACE_NO_HOME;
	if (!set_capacity(r, load, &limits))
		return;
	held = sent_tokens_held(r, s, &limits);
	for (uint32_t i = 0; i < PACE_HOME_RANKS; i++) {
		uint32_t home = r->first_home + i;
		double chance = r->pace->home_chance[home];

		if (r->homes[i] != s || held >= r->c->shared_tokens)
			continue;
		p->home = home;
		p->shared_tokens = r->c->shared_tokens;
		held = MAX(held, chance * r->c->shared_tokens);
	}
	p->held_tokens = (uint32_t)MIN(held, r->c->input_tokens);
}

/* Returns by what times at a server are longer than usual, but for slowness. */
static double penalty(const struct server_record *s, uint64_t now)
{
	return (1 + FAILURE_RATE_FACTOR * s->failure_rate) *
	       (cold_is_known(&s->cold, now) || cold_is_in_force(&s->cold, now)
			? COLD_FACTOR
			: 1);
}

/* Estimates the time to the first event of a model request. */
static void estimate_model(const struct shared_request *r,
			   const struct server_record *s,
			   struct shared_estimate *e)
{
	struct pace_sample *p = &e->sample;
	double speed = p->slowness * pace_factor(&s->pace, r->now) *
		       penalty(s, r->now);
	double run_ms = r->pace->run_ms > 0 ? r->pace->run_ms : DEFAULT_RUN_MS;

	p->crowding = 1 + MIN(e->load / e->slots, 1);
	set_held(r, s, e->load, p);
	p->prefill_ms =
		(p->tokens - p->held_tokens) * r->token_ms * p->crowding;
	p->wait_ms = (s->prefill + s->peer_prefill) * r->unit_ms;
	if (e->load >= e->slots)
		p->wait_ms += (e->load + 1 - e->slots) * run_ms / e->slots;
	e->first_event_ms =
		r->pace->base_ms + (p->wait_ms + p->prefill_ms) * speed;
	e->own_ms = r->pace->base_ms + p->prefill_ms / p->crowding;
	e->cost_ms = e->first_event_ms +
		     OTHERS_DELAY_SHARE * p->prefill_ms *
			     MIN(e->load / e->slots, 1) * speed +
		     (s->decode + s->peer_decode) * RUNNING_TOKENS *
			     r->unit_ms * speed;
	if (p->held_tokens < r->c->shared_tokens)
		e->cost_ms += EVICTION_SHARE * r->unit_ms *
			      (r->c->shared_tokens - p->held_tokens);
}

/*
 * Estimates the time to the head of a plain answer. A free slot counts the less
 * the fewer are left, since the load is known late.
 */
static void estimate_plain(const struct shared_request *r,
			   const struct server_record *s,
			   struct shared_estimate *e)
{
	struct pace_sample *p = &e->sample;
	double head_ms =
		r->pace->head_ms > 0 ? r->pace->head_ms : DEFAULT_HEAD_MS;

	p->crowding = e->load < e->slots
			      ? 1 + e->load / e->slots
			      : 2 * (1 + (e->load + 1 - e->slots) / e->slots);
	e->first_event_ms = head_ms * p->crowding * p->slowness *
			    pace_factor(&s->pace, r->now) * penalty(s, r->now);
	e->cost_ms = e->first_event_ms;
}

static struct shared_estimate estimate(const struct shared_request *r,
				       const struct server_record *s)
{
	struct shared_estimate e = {
		.load = load_of(s, r->now),
		.slots = MAX(s->slots, 1),
		.sample =
			{
				.service = r->pace,
				.model = r->c->model,
				.weight = r->c->weight,
				.slowness = pace_slowness(&s->pace, r->now),
				.tokens = r->c->input_tokens,
			},
	};

	if (r->c->weight > 0)
		estimate_model(r, s, &e);
	else
		estimate_plain(r, s, &e);
	if (g_strcmp0(s->zone, r->c->zone) != 0) {
		e.first_event_ms += OTHER_ZONE_MS;
		e.cost_ms += OTHER_ZONE_MS;
	}
	return e;
}

/*
 * Returns the candidate of the least cost, one of those about equal if there is
 * a random state, or NULL.
 */
static struct server_record *least_cost(const struct shared_request *r,
					bool ejected_too, struct rng *rng)
{
	GPtrArray *all = r->t->all;
	double *cost = g_new(double, all->len + 1);
	struct server_record *chosen = NULL;
	double best = DBL_MAX;
	uint32_t n = 0;

	for (guint i = 0; i < all->len; i++) {
		cost[i] = DBL_MAX;
		if (pick_is_candidate(all->pdata[i], r->now, r->c, ejected_too))
			cost[i] = estimate(r, all->pdata[i]).cost_ms;
		if (cost[i] < best) {
			best = cost[i];
			chosen = all->pdata[i];
		}
	}
	for (guint i = 0; rng && chosen && i < all->len; i++)
		if (cost[i] <= best * (1 + EQUAL_SHARE) + EQUAL_MS &&
		    !rng_below(rng, ++n))
			chosen = all->pdata[i];
	g_free(cost);
	return chosen;
}

/*
 * Returns the work that a request adds to a server. It is told to other nodes, in
 * tokens of a model of weight 1.
 */
static struct server_work work_of(const struct shared_request *r,
				  const struct shared_estimate *e)
{
	uint32_t missing = e->sample.tokens - e->sample.held_tokens;
	const struct server_work work = {
		.expected_ms = e->first_event_ms,
		.weight = r->c->weight,
		.prefill = r->c->weight > 0 ? missing * r->token_ms / r->unit_ms
					    : 0,
	};

	return work;
}

/*
 * Returns the best server as pick_best_server(), or the required one if there is
 * one, and stores in *work what the request adds to its load.
 */
struct server_record *pick_shared_server(struct server_table *t, uint64_t now,
					 const struct pick_criteria *c,
					 struct server_record *required,
					 struct rng *rng,
					 struct server_work *work)
{
	const struct shared_request r = request_of(t, now, c);
	struct server_record *s = required;
	struct shared_estimate e;

	if (!s)
		s = least_cost(&r, false, rng);
	if (!s)
		s = least_cost(&r, true, rng);
	if (!s)
		return NULL;
	e = estimate(&r, s);
	*work = work_of(&r, &e);
	return s;
}

/* Returns the expected times at the best server, as pick_estimate_delay(). */
struct pick_estimate pick_shared_estimate(const struct server_table *t,
					  uint64_t now,
					  const struct pick_criteria *c)
{
	const struct shared_request r = request_of(t, now, c);
	const struct server_record *s = least_cost(&r, false, NULL);
	struct pick_estimate out = {0, 0, 0};
	struct shared_estimate e;

	if (!s)
		return out;
	e = estimate(&r, s);
	out.first_event_ms = e.first_event_ms;
	out.own_ms = e.own_ms;
	if (c->weight > 0)
		out.event_ms = pace_event_ms(r.pace, c->model, c->weight) *
			       e.sample.crowding * e.sample.slowness *
			       pace_factor(&s->pace, now);
	return out;
}

/*
 * Records that a request goes to a server chosen for it: the server holds the
 * prompt from then on. Returns what is expected of the attempt, without a service
 * if that does not share its machines.
 */
struct pace_sample pick_on_sent(struct server_table *t, uint64_t now,
				const struct pick_criteria *c,
				struct server_record *s)
{
	struct pace_sample none = {.service = NULL};
	struct prefix_cache_server server;
	struct shared_request r;
	struct shared_estimate e;

	if (!t->measured_placement || !service_shares_machines(t, c->service))
		return none;
	r = request_of(t, now, c);
	e = estimate(&r, s);
	s->sent_tokens += e.sample.tokens - e.sample.held_tokens;
	pace_on_sent(&e.sample);
	r.limits.service_sent = r.pace->sent_tokens;
	server = cache_server(s);
	for (uint32_t i = 0; i < r.n_beginnings; i++)
		prefix_cache_add(
			&t->prefixes, now,
			prefix_cache_key(c->prompt->beginnings[i], c->model),
			&server, &r.limits);
	return e.sample;
}
