#include "exchange/pick-shared.h"

#include <float.h>
#include <string.h>
#include <xxhash.h>

/* Estimated delays of a request to the most expensive model (weight 1). */
#define PREFILL_MS_PER_TOKEN 0.021
#define CACHE_MISS_MS_PER_TOKEN 0.06 /* of a shared prefix not cached there */
#define DECODE_MS_PER_REQUEST 20.0
#define OTHER_ZONE_DELAY_MS 3.0
#define FULL_SERVER_DELAY_MS 500.0

/* Factors on a server's delay or load. */
#define COLD_FACTOR 1.6
#define FAILURE_RATE_FACTOR 4 /* times the failure rate, added to 1 */
#define MIN_EVENT_MS_RATIO 0.6
#define MAX_EVENT_MS_RATIO 5.0
#define MIN_LATENCY_RATIO 0.5
#define MAX_LATENCY_RATIO 8

#define OTHER_ZONE_LOAD_REQUESTS 0.35 /* added to the load, in requests */
#define MAX_LOAD_SLOTS 32 /* more slots do not lower a server's load */

/* Returns the work of all nodes' model requests at a server, in ms. */
static double work_ms(const struct server_record *s)
{
	return (s->prefill + s->peer_prefill) * PREFILL_MS_PER_TOKEN +
	       (s->decode + s->peer_decode) * DECODE_MS_PER_REQUEST;
}

/*
 * Returns the mean work, in ms, of a service's ready servers that are not of
 * version but_version; 0 if there is none.
 */
double pick_mean_work_ms(const struct server_table *t, const char *service,
			 const char *but_version)
{
	double sum = 0;
	uint32_t n = 0;

	for (guint i = 0; i < t->all->len; i++) {
		const struct server_record *s = t->all->pdata[i];

		if (s->state != SERVER_READY ||
		    strcmp(s->service, service) != 0 ||
		    !g_strcmp0(s->version, but_version))
			continue;
		sum += work_ms(s);
		n++;
	}
	return n ? sum / n : 0;
}

static bool was_tried(const struct pick_criteria *c,
		      const struct server_record *s)
{
	for (uint32_t i = 0; i < c->n_tried; i++)
		if (c->tried[i] == s->hash)
			return true;
	return false;
}

static bool version_matches(const struct pick_criteria *c,
			    const struct server_record *s)
{
	switch (c->versions) {
	case PICK_ANY_VERSION:
		return true;
	case PICK_ONLY_VERSION:
		return !g_strcmp0(s->version, c->version);
	case PICK_OTHER_VERSIONS:
		return g_strcmp0(s->version, c->version) != 0;
	}
	return true;
}

/* Returns whether the server could serve any request of this node now. */
static bool is_available(const struct server_record *s, uint64_t now)
{
	return s->state == SERVER_READY && s->misdirected_until <= now &&
	       !reach_is_lost(&s->reach) && server_may_get_request(s, now);
}

/* Adds up the room of a service's available servers, ejected ones too or not. */
static struct pick_service_room room_of(const struct server_table *t,
					uint64_t now, const char *service,
					bool ejected_too)
{
	struct pick_service_room room = {0};

	for (guint i = 0; i < t->all->len; i++) {
		const struct server_record *s = t->all->pdata[i];
		uint32_t slots = MAX(s->slots, 1), load;

		if (strcmp(s->service, service) != 0 || !is_available(s, now) ||
		    (s->ejected_until > now && !ejected_too))
			continue;
		load = (uint32_t)server_load(s, now);
		room.servers++;
		room.slots += slots;
		room.running += MIN(load, slots);
		room.waiting += load > slots ? load - slots : 0;
	}
	return room;
}

/*
 * Returns the room of a service's servers that could serve requests of this node
 * now; of the ejected ones if there is no other, as they are used then. A server
 * whose slots are not known counts with one.
 */
struct pick_service_room pick_room(const struct server_table *t, uint64_t now,
				   const char *service)
{
	struct pick_service_room room = room_of(t, now, service, false);

	return room.servers ? room : room_of(t, now, service, true);
}

/*
 * Returns whether a server may get the request; ejected ones are none unless
 * ejected_too.
 */
bool pick_is_candidate(const struct server_record *s, uint64_t now,
		       const struct pick_criteria *c, bool ejected_too)
{
	if (!is_available(s, now))
		return false;
	if (c->max_in_flight && s->in_flight >= c->max_in_flight)
		return false;
	if (!server_bears_another(s, now))
		return false;
	if (s->ejected_until > now && !ejected_too)
		return false;
	return !strcmp(s->service, c->service) && version_matches(c, s) &&
	       !was_tried(c, s);
}

/* Returns the load per slot, higher if slow, failing, cold or elsewhere. */
static double weighted_load(const struct server_record *s, uint64_t now,
			    const struct pick_criteria *c)
{
	double slots = s->slots ? s->slots : 1;
	double load = (server_load(s, now) + 1) / MIN(slots, MAX_LOAD_SLOTS);

	load *= CLAMP(s->latency_ratio, MIN_LATENCY_RATIO, MAX_LATENCY_RATIO) *
		(1 + FAILURE_RATE_FACTOR * s->failure_rate);
	if (cold_is_known(&s->cold, now) || cold_is_in_force(&s->cold, now))
		load *= COLD_FACTOR;
	if (g_strcmp0(s->zone, c->zone) != 0)
		load += OTHER_ZONE_LOAD_REQUESTS / MIN(slots, MAX_LOAD_SLOTS);
	return load;
}

/* Returns the candidate with the lowest weighted load; ties are random. */
static struct server_record *least_loaded(struct server_table *t, uint64_t now,
					  const struct pick_criteria *c,
					  bool ejected_too, struct rng *rng)
{
	struct server_record *best = NULL;
	double best_load = DBL_MAX;
	guint start = t->all->len ? rng_below(rng, t->all->len) : 0;

	for (guint k = 0; k < t->all->len; k++) {
		struct server_record *s =
			t->all->pdata[(start + k) % t->all->len];
		double load;

		if (!pick_is_candidate(s, now, c, ejected_too))
			continue;
		load = weighted_load(s, now, c);
		if (load < best_load) {
			best = s;
			best_load = load;
		}
	}
	return best;
}

/* Returns a server's rendezvous hash for a key: the same at all nodes. */
uint64_t pick_rank(const struct server_record *s, uint64_t key)
{
	const uint64_t both[2] = {s->hash, key};

	return XXH3_64bits(both, sizeof(both));
}

/* Returns true if the server has reached the criteria's fill level. */
static bool is_filled_up(const struct server_record *s, uint64_t now,
			 const struct pick_criteria *c)
{
	if (c->fill_share > 0)
		return server_load(s, now) + 1 > c->fill_share * s->slots;
	return work_ms(s) > c->fill_work_ms;
}

/*
 * Returns the candidate with the highest rank for a key, or NULL; with
 * unfilled, only of those that are not filled up.
 */
static struct server_record *first_by_rank(const struct server_table *t,
					   uint64_t now,
					   const struct pick_criteria *c,
					   uint64_t key, bool unfilled)
{
	struct server_record *first = NULL;
	uint64_t best = 0;

	for (guint i = 0; i < t->all->len; i++) {
		struct server_record *s = t->all->pdata[i];
		uint64_t rank;

		if (!pick_is_candidate(s, now, c, false) ||
		    (unfilled && is_filled_up(s, now, c)))
			continue;
		rank = pick_rank(s, key);
		if (!first || rank > best) {
			first = s;
			best = rank;
		}
	}
	return first;
}

/*
 * Returns the server that all nodes prefer for prompts with the same shared
 * prefix, so that it is cached there, whatever the server's load; or NULL.
 */
static const struct server_record *
affinity_server(const struct server_table *t, uint64_t now,
		const struct pick_criteria *c)
{
	return c->affinity ? first_by_rank(t, now, c, c->affinity, false)
			   : NULL;
}

/* Returns the weighted number of prompt tokens that the server must prefill. */
static double tokens_to_prefill(const struct pick_criteria *c,
				bool prefix_cached)
{
	uint32_t cached =
		prefix_cached ? MIN(c->shared_tokens, c->input_tokens) : 0;

	return c->weight * (c->input_tokens - cached);
}

/* Returns a server's time between events relative to the mean of all. */
static double event_ms_ratio(const struct server_table *t,
			     const struct server_record *s)
{
	if (s->event_ms <= 0 || t->mean_event_ms <= 0)
		return 1;
	return CLAMP(s->event_ms / t->mean_event_ms, MIN_EVENT_MS_RATIO,
		     MAX_EVENT_MS_RATIO);
}

/* Returns the estimated delay of a model request at a server, in ms. */
static double expected_delay_ms(const struct server_table *t,
				const struct server_record *s, uint64_t now,
				const struct pick_criteria *c,
				bool prefix_cached)
{
	double ms = work_ms(s) +
		    tokens_to_prefill(c, prefix_cached) * PREFILL_MS_PER_TOKEN;

	ms *= event_ms_ratio(t, s) *
	      (1 + FAILURE_RATE_FACTOR * s->failure_rate);
	if (cold_is_known(&s->cold, now) || cold_is_in_force(&s->cold, now))
		ms *= COLD_FACTOR;
	if (s->slots && server_load(s, now) >= s->slots)
		ms += FULL_SERVER_DELAY_MS;
	if (g_strcmp0(s->zone, c->zone) != 0)
		ms += OTHER_ZONE_DELAY_MS;
	if (!prefix_cached)
		ms += CACHE_MISS_MS_PER_TOKEN * c->shared_tokens;
	return ms;
}

/*
 * Returns the candidate with the shortest expected delay, by the tokens waiting
 * for prefill, the running requests and whether it has the prefix cached.
 */
static struct server_record *
least_delay(struct server_table *t, uint64_t now, const struct pick_criteria *c,
	    const struct server_record *affinity_target)
{
	struct server_record *best = NULL;
	double best_ms = DBL_MAX;

	for (guint i = 0; i < t->all->len; i++) {
		struct server_record *s = t->all->pdata[i];
		double ms;

		if (!pick_is_candidate(s, now, c, false))
			continue;
		ms = expected_delay_ms(t, s, now, c,
				       affinity_target && s == affinity_target);
		if (ms < best_ms) {
			best = s;
			best_ms = ms;
		}
	}
	return best;
}

/* Returns the work that a request adds to the server chosen for it. */
static struct server_work request_work(const struct server_table *t,
				       uint64_t now,
				       const struct pick_criteria *c,
				       const struct server_record *s,
				       bool prefix_cached)
{
	struct server_work work = {
		.expected_ms = expected_delay_ms(t, s, now, c, prefix_cached),
		.weight = c->weight,
		.prefill = tokens_to_prefill(c, prefix_cached),
	};

	return work;
}

/* Returns whether the server is chosen by measured speeds and held prompts. */
static bool chooses_by_measurement(const struct server_table *t,
				   const struct pick_criteria *c)
{
	return t->measured_placement && service_shares_machines(t, c->service);
}

/*
 * Returns the expected times of a model request, corrected by recently measured
 * delays; all are 0 if no server fits the criteria.
 */
struct pick_estimate pick_estimate_delay(struct server_table *t, uint64_t now,
					 const struct pick_criteria *c)
{
	const struct server_record *affinity_target, *s;
	struct pick_estimate out = {0, 0, 0};

	if (chooses_by_measurement(t, c))
		return pick_shared_estimate(t, now, c);
	affinity_target = affinity_server(t, now, c);
	s = least_delay(t, now, c, affinity_target);
	if (!s)
		return out;
	out.first_event_ms =
		t->base_delay_ms +
		request_work(t, now, c, s, s == affinity_target).expected_ms *
			t->delay_ratio;
	out.event_ms =
		c->weight * (s->event_ms > 0 ? s->event_ms : t->mean_event_ms);
	return out;
}

/*
 * Returns the best server that is ready, fits the criteria and was not tried
 * yet, or NULL. Stores in *work what the request adds to its load. Ejected
 * servers are used only if there is no other.
 */
struct server_record *pick_best_server(struct server_table *t, uint64_t now,
				       const struct pick_criteria *c,
				       struct rng *rng,
				       struct server_work *work)
{
	const struct server_record *affinity_target;
	struct server_record *s = NULL;

	if (c->fill_share > 0 || c->fill_work_ms > 0)
		s = first_by_rank(t, now, c, c->fill_seed, true);
	if (chooses_by_measurement(t, c))
		return pick_shared_server(t, now, c, s, rng, work);
	affinity_target = affinity_server(t, now, c);
	if (!s && c->weight > 0)
		s = least_delay(t, now, c, affinity_target);
	if (!s)
		s = least_loaded(t, now, c, false, rng);
	if (!s)
		s = least_loaded(t, now, c, true, rng);
	if (s)
		*work = request_work(t, now, c, s, s == affinity_target);
	return s;
}
