#include "exchange/pick.h"

#include <float.h>
#include <string.h>
#include <xxhash.h>

#define OTHER_ZONE_LOAD 0.35
#define COLD_FACTOR 1.6
#define READ_MS_PER_TOKEN 0.021
#define REREAD_MS_PER_TOKEN 0.06
#define DECODE_MS 20.0
#define OTHER_ZONE_MS 3.0
#define FULL_MS 500.0
#define FAILURE_FACTOR 4
#define PACE_MIN 0.6
#define PACE_MAX 5.0
#define ENGINE_SLOTS 32

/* The work of all nodes that waits or runs at a server, in ms. */
static double work_ms(const struct server_record *s)
{
	return (s->prefill + s->others_prefill) * READ_MS_PER_TOKEN +
	       (s->decode + s->others_decode) * DECODE_MS;
}

/* Returns the mean of it over a service's ready servers but for a version. */
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

static bool was_tried(const struct pick_criteria *w,
		      const struct server_record *s)
{
	for (uint32_t i = 0; i < w->n_tried; i++)
		if (w->tried[i] == s->hash)
			return true;
	return false;
}

static bool version_fits(const struct pick_criteria *w,
			 const struct server_record *s)
{
	switch (w->versions) {
	case PICK_ANY_VERSION:
		return true;
	case PICK_ONLY_VERSION:
		return !g_strcmp0(s->version, w->version);
	case PICK_OTHER_VERSIONS:
		return g_strcmp0(s->version, w->version) != 0;
	}
	return true;
}

static bool is_candidate(const struct server_record *s, uint64_t now,
			 const struct pick_criteria *w, bool ejected_too)
{
	if (w->most_in_flight && s->in_flight >= w->most_in_flight)
		return false;
	return s->state == SERVER_READY && !s->misdirected &&
	       !strcmp(s->service, w->service) && version_fits(w, s) &&
	       !was_tried(w, s) && (ejected_too || s->ejected_until <= now);
}

static double weighed_load(const struct server_record *s, uint64_t now,
			   const struct pick_criteria *w)
{
	double slots = s->slots ? s->slots : 1;
	double load = (server_load(s, now) + 1) / MIN(slots, ENGINE_SLOTS);

	load *= CLAMP(s->slowness, 0.5, 8) * (1 + FAILURE_FACTOR * s->failure);
	if (s->cold_until > now)
		load *= COLD_FACTOR;
	if (g_strcmp0(s->zone, w->zone) != 0)
		load += OTHER_ZONE_LOAD / MIN(slots, ENGINE_SLOTS);
	return load;
}

static struct server_record *least_loaded(struct server_table *t, uint64_t now,
					  const struct pick_criteria *w,
					  bool ejected_too, struct rng *rng)
{
	struct server_record *best = NULL;
	double best_load = DBL_MAX;
	guint start = t->all->len ? rng_below(rng, t->all->len) : 0;

	for (guint k = 0; k < t->all->len; k++) {
		struct server_record *s =
			t->all->pdata[(start + k) % t->all->len];
		double load;

		if (!is_candidate(s, now, w, ejected_too))
			continue;
		load = weighed_load(s, now, w);
		if (load < best_load) {
			best = s;
			best_load = load;
		}
	}
	return best;
}

static uint64_t rank_of(const struct server_record *s, uint64_t affinity)
{
	const uint64_t both[2] = {s->hash, affinity};

	return XXH3_64bits(both, sizeof(both));
}

static bool is_filled(const struct server_record *s, uint64_t now,
		      const struct pick_criteria *w)
{
	if (w->fill > 0)
		return server_load(s, now) + 1 > w->fill * s->slots;
	return work_ms(s) > w->fill_ms;
}

/*
 * The first of the candidates, or of those not filled yet, in an order that
 * is the same at all nodes and differs by key; NULL: none.
 */
static struct server_record *first_in_order(const struct server_table *t,
					    uint64_t now,
					    const struct pick_criteria *w,
					    uint64_t key, bool unfilled)
{
	struct server_record *first = NULL;
	uint64_t best = 0;

	for (guint i = 0; i < t->all->len; i++) {
		struct server_record *s = t->all->pdata[i];
		uint64_t rank;

		if (!is_candidate(s, now, w, false) ||
		    (unfilled && is_filled(s, now, w)))
			continue;
		rank = rank_of(s, key);
		if (!first || rank > best) {
			first = s;
			best = rank;
		}
	}
	return first;
}

/* The server that a shared part belongs to, whatever its load; NULL: none. */
static const struct server_record *home_of(const struct server_table *t,
					   uint64_t now,
					   const struct pick_criteria *w)
{
	return w->affinity ? first_in_order(t, now, w, w->affinity, false)
			   : NULL;
}

static double tokens_to_read(const struct pick_criteria *w, bool at_home)
{
	uint32_t cached = at_home ? MIN(w->shared_tokens, w->input_tokens) : 0;

	return w->weight * (w->input_tokens - cached);
}

static double pace_of(const struct server_table *t,
		      const struct server_record *s)
{
	if (s->event_ms <= 0 || t->usual_event_ms <= 0)
		return 1;
	return CLAMP(s->event_ms / t->usual_event_ms, PACE_MIN, PACE_MAX);
}

/* Estimates the delay of a model request at a server, in ms. */
static double expected_delay(const struct server_table *t,
			     const struct server_record *s, uint64_t now,
			     const struct pick_criteria *w, bool at_home)
{
	double ms = work_ms(s) + tokens_to_read(w, at_home) * READ_MS_PER_TOKEN;

	ms *= pace_of(t, s) * (1 + FAILURE_FACTOR * s->failure);
	if (s->cold_until > now)
		ms *= COLD_FACTOR;
	if (s->slots && server_load(s, now) >= s->slots)
		ms += FULL_MS;
	if (g_strcmp0(s->zone, w->zone) != 0)
		ms += OTHER_ZONE_MS;
	if (!at_home)
		ms += REREAD_MS_PER_TOKEN * w->shared_tokens;
	return ms;
}

/*
 * The server with the shortest expected delay: what waits to be read in, the
 * requests that run, and for the home of the prompt's shared part what need
 * not be read again.
 */
static struct server_record *least_delay(struct server_table *t, uint64_t now,
					 const struct pick_criteria *w,
					 const struct server_record *home)
{
	struct server_record *best = NULL;
	double best_ms = DBL_MAX;

	for (guint i = 0; i < t->all->len; i++) {
		struct server_record *s = t->all->pdata[i];
		double ms;

		if (!is_candidate(s, now, w, false))
			continue;
		ms = expected_delay(t, s, now, w, s == home);
		if (ms < best_ms) {
			best = s;
			best_ms = ms;
		}
	}
	return best;
}

/* Returns what a request adds to the load of the server chosen for it. */
static struct server_work work_of(const struct server_table *t, uint64_t now,
				  const struct pick_criteria *w,
				  const struct server_record *s, bool at_home)
{
	struct server_work work = {
		.expected_ms = expected_delay(t, s, now, w, at_home),
		.weight = w->weight,
		.prefill = tokens_to_read(w, at_home),
	};

	return work;
}

/*
 * Returns what a model request may expect, corrected by the delays seen of
 * late; all 0 if no server could take it.
 */
struct pick_estimate pick_estimate_delay(struct server_table *t, uint64_t now,
					 const struct pick_criteria *wish)
{
	const struct server_record *home = home_of(t, now, wish);
	const struct server_record *s = least_delay(t, now, wish, home);
	struct pick_estimate out = {0, 0};

	if (!s)
		return out;
	out.first_ms = t->delay_base +
		       work_of(t, now, wish, s, s == home).expected_ms *
			       t->delay_ratio;
	out.event_ms = wish->weight *
		       (s->event_ms > 0 ? s->event_ms : t->usual_event_ms);
	return out;
}

/*
 * Chooses a server that is ready and was not tried yet, or returns NULL; in
 * work, what the request adds to its load. Ejected ones are used only if there
 * is no other.
 */
struct server_record *pick_best_server(struct server_table *t, uint64_t now,
				       const struct pick_criteria *w,
				       struct rng *rng,
				       struct server_work *work)
{
	const struct server_record *home = home_of(t, now, w);
	struct server_record *s = NULL;

	if (w->fill > 0 || w->fill_ms > 0)
		s = first_in_order(t, now, w, w->fill_order, true);
	if (!s && w->weight > 0)
		s = least_delay(t, now, w, home);
	if (!s)
		s = least_loaded(t, now, w, false, rng);
	if (!s)
		s = least_loaded(t, now, w, true, rng);
	if (s)
		*work = work_of(t, now, w, s, s == home);
	return s;
}
