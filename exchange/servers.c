#include "exchange/servers.h"

#include <float.h>
#include <string.h>
#include <xxhash.h>

#define SLOWNESS_WEIGHT 0.1
#define USUAL_WEIGHT 0.02
#define FAILURE_WEIGHT 0.1
#define OTHER_ZONE_LOAD 0.35
#define COLD_FACTOR 1.6
#define READ_MS_PER_TOKEN 0.021
#define REREAD_MS_PER_TOKEN 0.06
#define DECODE_MS 20.0
#define OTHER_ZONE_MS 3.0
#define FULL_MS 500.0
#define BROKEN_MOST 3 /* told together */
#define FAILURE_FACTOR 4
#define HEAVY_WEIGHT 0.5
#define SHORT_MS 60.0
#define RATIO_MIN 0.2
#define RATIO_MAX 20.0
#define RATIO_WEIGHT 0.05
#define PACE_WEIGHT 0.15
#define PACE_MIN 0.6
#define PACE_MAX 5.0
#define EJECT_AFTER 2
#define ENGINE_SLOTS 32

static const char *const state_names[] = {"ready", "draining", "gone"};

/* Returns a state's name for logs. */
const char *svt_state_name(enum svt_state state)
{
	return state_names[state];
}

static void free_server(void *p)
{
	struct svt_server *s = p;

	g_free(s->id);
	g_free(s->service);
	g_free(s->address);
	g_free(s->zone);
	g_free(s->version);
	g_free(s);
}

/* Starts with no server. */
void svt_init(struct svt *t)
{
	memset(t, 0, sizeof(*t));
	t->delay_ratio = 1;
	t->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	t->all = g_ptr_array_new_with_free_func(free_server);
}

/* Frees all servers. */
void svt_clear(struct svt *t)
{
	g_hash_table_unref(t->by_id);
	g_ptr_array_unref(t->all);
}

/* Returns the server with that id, or NULL. */
struct svt_server *svt_find(const struct svt *t, const char *id)
{
	return g_hash_table_lookup(t->by_id, id);
}

static void set_text(char **field, const char *text)
{
	if (!g_strcmp0(*field, text))
		return;
	g_free(*field);
	*field = g_strdup(text);
}

static struct svt_server *add(struct svt *t, const char *id)
{
	struct svt_server *s = g_new0(struct svt_server, 1);

	s->id = g_strdup(id);
	s->hash = XXH3_64bits(id, strlen(id));
	s->slowness = 1;
	g_hash_table_insert(t->by_id, s->id, s);
	g_ptr_array_add(t->all, s);
	return s;
}

/* What was learnt of a server does not hold for another start of it. */
static void forget_past(struct svt_server *s)
{
	s->failures = 0;
	s->ejections = 0;
	s->ejected_until = 0;
	s->failure = 0;
	s->slowness = 1;
	s->reported_at = 0;
	s->misdirected = false;
}

/*
 * Takes a server's entry. A server that is leaving stays so, unless its
 * entry is of a new start: an older entry never brings it back.
 */
struct svt_server *svt_put(struct svt *t, uint64_t now,
			   const struct svt_entry *entry)
{
	struct svt_server *s = svt_find(t, entry->id);

	if (s && entry->revision < s->revision)
		return s;
	if (!s)
		s = add(t, entry->id);
	else if (s->state != SVT_READY ||
		 g_strcmp0(s->address, entry->address) != 0)
		forget_past(s);
	if (g_strcmp0(s->version, entry->version) != 0)
		s->seen_at = now;
	set_text(&s->service, entry->service);
	set_text(&s->address, entry->address);
	set_text(&s->zone, entry->zone);
	set_text(&s->version, entry->version);
	s->slots = entry->slots;
	s->cold_until = entry->cold_ms ? now + entry->cold_ms : 0;
	s->state = entry->draining ? SVT_DRAINING : SVT_READY;
	s->revision = entry->revision;
	s->listed = true;
	return s;
}

/*
 * A server's entry is gone as of a revision, 0 if that is not known. Returns
 * whether it was there; an older word than the entry's own changes nothing.
 */
bool svt_remove(struct svt *t, const char *id, uint64_t revision)
{
	struct svt_server *s = svt_find(t, id);

	if (!s || s->state == SVT_GONE || (revision && revision < s->revision))
		return false;
	s->state = SVT_GONE;
	return true;
}

/* Begins a whole list: servers not put until its end are gone. */
void svt_begin_list(struct svt *t)
{
	for (guint i = 0; i < t->all->len; i++)
		((struct svt_server *)t->all->pdata[i])->listed = false;
}

/* Ends a whole list; returns how many servers it showed to be gone. */
uint32_t svt_end_list(struct svt *t)
{
	uint32_t gone = 0;

	for (guint i = 0; i < t->all->len; i++) {
		struct svt_server *s = t->all->pdata[i];

		if (s->listed || s->state == SVT_GONE)
			continue;
		s->state = SVT_GONE;
		gone++;
	}
	return gone;
}

/* Frees servers that are gone and have no request of this node. */
void svt_sweep(struct svt *t)
{
	for (guint i = t->all->len; i-- > 0;) {
		struct svt_server *s = t->all->pdata[i];

		if (s->state != SVT_GONE || s->in_flight)
			continue;
		g_hash_table_remove(t->by_id, s->id);
		g_ptr_array_remove_index_fast(t->all, i);
	}
}

/* Returns a digest of which servers are listed, and which of them drain. */
uint64_t svt_digest(const struct svt *t)
{
	uint64_t digest = 0;

	for (guint i = 0; i < t->all->len; i++) {
		const struct svt_server *s = t->all->pdata[i];
		uint64_t state = s->state == SVT_DRAINING;

		if (s->state != SVT_GONE)
			digest ^= XXH3_64bits_withSeed(&s->hash,
						       sizeof(s->hash), state);
	}
	return digest;
}

/*
 * Returns the load of a server in requests: this node's own exactly, those
 * of others by the server's last answer, if that is fresh, or by what the
 * other nodes told.
 */
double svt_load(const struct svt_server *s, uint64_t now)
{
	double others = s->others_in_flight;

	if (s->reported_at && now - s->reported_at < SVT_LOAD_FRESH_MS) {
		double told = s->reported > s->reported_in_flight
				      ? s->reported - s->reported_in_flight
				      : 0;

		others = MAX(others, told);
	}
	return s->in_flight + others;
}

/* The work of all nodes that waits or runs at a server, in ms. */
static double work_ms(const struct svt_server *s)
{
	return (s->prefill + s->others_prefill) * READ_MS_PER_TOKEN +
	       (s->decode + s->others_decode) * DECODE_MS;
}

/* Returns the mean of it over a service's ready servers but for a version. */
double svt_mean_work(const struct svt *t, const char *service,
		     const char *but_version)
{
	double sum = 0;
	uint32_t n = 0;

	for (guint i = 0; i < t->all->len; i++) {
		const struct svt_server *s = t->all->pdata[i];

		if (s->state != SVT_READY || strcmp(s->service, service) != 0 ||
		    !g_strcmp0(s->version, but_version))
			continue;
		sum += work_ms(s);
		n++;
	}
	return n ? sum / n : 0;
}

static bool was_tried(const struct svt_wish *w, const struct svt_server *s)
{
	for (uint32_t i = 0; i < w->n_tried; i++)
		if (w->tried[i] == s->hash)
			return true;
	return false;
}

static bool version_fits(const struct svt_wish *w, const struct svt_server *s)
{
	switch (w->versions) {
	case SVT_ANY_VERSION:
		return true;
	case SVT_ONLY:
		return !g_strcmp0(s->version, w->version);
	case SVT_NOT:
		return g_strcmp0(s->version, w->version) != 0;
	}
	return true;
}

static bool is_candidate(const struct svt_server *s, uint64_t now,
			 const struct svt_wish *w, bool ejected_too)
{
	if (w->most_in_flight && s->in_flight >= w->most_in_flight)
		return false;
	return s->state == SVT_READY && !s->misdirected &&
	       !strcmp(s->service, w->service) && version_fits(w, s) &&
	       !was_tried(w, s) && (ejected_too || s->ejected_until <= now);
}

static double weighed_load(const struct svt_server *s, uint64_t now,
			   const struct svt_wish *w)
{
	double slots = s->slots ? s->slots : 1;
	double load = (svt_load(s, now) + 1) / MIN(slots, ENGINE_SLOTS);

	load *= CLAMP(s->slowness, 0.5, 8) * (1 + FAILURE_FACTOR * s->failure);
	if (s->cold_until > now)
		load *= COLD_FACTOR;
	if (g_strcmp0(s->zone, w->zone) != 0)
		load += OTHER_ZONE_LOAD / MIN(slots, ENGINE_SLOTS);
	return load;
}

static struct svt_server *least_loaded(struct svt *t, uint64_t now,
				       const struct svt_wish *w,
				       bool ejected_too, struct rng *rng)
{
	struct svt_server *best = NULL;
	double best_load = DBL_MAX;
	guint start = t->all->len ? rng_below(rng, t->all->len) : 0;

	for (guint k = 0; k < t->all->len; k++) {
		struct svt_server *s = t->all->pdata[(start + k) % t->all->len];
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

static uint64_t rank_of(const struct svt_server *s, uint64_t affinity)
{
	const uint64_t both[2] = {s->hash, affinity};

	return XXH3_64bits(both, sizeof(both));
}

/* Returns the server that a shared part belongs to, whatever its load. */
static struct svt_server *home_of(const struct svt *t, uint64_t now,
				  const struct svt_wish *w)
{
	struct svt_server *home = NULL;
	uint64_t best = 0;

	for (guint i = 0; i < t->all->len; i++) {
		struct svt_server *s = t->all->pdata[i];
		uint64_t rank;

		if (!is_candidate(s, now, w, false))
			continue;
		rank = rank_of(s, w->affinity);
		if (!home || rank > best) {
			home = s;
			best = rank;
		}
	}
	return home;
}

static double tokens_to_read(const struct svt_wish *w, bool at_home)
{
	uint32_t cached = at_home ? MIN(w->shared_tokens, w->input_tokens) : 0;

	return w->weight * (w->input_tokens - cached);
}

static double pace_of(const struct svt *t, const struct svt_server *s)
{
	if (s->event_ms <= 0 || t->usual_event_ms <= 0)
		return 1;
	return CLAMP(s->event_ms / t->usual_event_ms, PACE_MIN, PACE_MAX);
}

/* Estimates the delay of a model request at a server, in ms. */
static double expected_delay(const struct svt *t, const struct svt_server *s,
			     uint64_t now, const struct svt_wish *w,
			     bool at_home)
{
	double ms = work_ms(s) + tokens_to_read(w, at_home) * READ_MS_PER_TOKEN;

	ms *= pace_of(t, s) * (1 + FAILURE_FACTOR * s->failure);
	if (s->cold_until > now)
		ms *= COLD_FACTOR;
	if (s->slots && svt_load(s, now) >= s->slots)
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
static struct svt_server *least_delay(struct svt *t, uint64_t now,
				      const struct svt_wish *w)
{
	const struct svt_server *home = w->affinity ? home_of(t, now, w) : NULL;
	struct svt_server *best = NULL;
	double best_ms = DBL_MAX;

	for (guint i = 0; i < t->all->len; i++) {
		struct svt_server *s = t->all->pdata[i];
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
struct svt_work svt_work_of(const struct svt *t, uint64_t now,
			    const struct svt_wish *wish,
			    const struct svt_server *s)
{
	bool at_home = wish->affinity && home_of(t, now, wish) == s;
	struct svt_work work = {
		.expected_ms = expected_delay(t, s, now, wish, at_home),
		.weight = wish->weight,
		.prefill = tokens_to_read(wish, at_home),
	};

	return work;
}

/*
 * Returns what a model request may expect, corrected by the delays seen of
 * late; all 0 if no server could take it.
 */
struct svt_outlook svt_expect(struct svt *t, uint64_t now,
			      const struct svt_wish *wish)
{
	struct svt_server *s = least_delay(t, now, wish);
	struct svt_outlook out = {0, 0};

	if (!s)
		return out;
	out.first_ms =
		t->delay_base +
		svt_work_of(t, now, wish, s).expected_ms * t->delay_ratio;
	out.event_ms = wish->weight *
		       (s->event_ms > 0 ? s->event_ms : t->usual_event_ms);
	return out;
}

/* The first event of a model request came after first_ms. */
void svt_on_first(struct svt *t, const struct svt_work *work, double first_ms)
{
	double ratio;

	if (work->weight < HEAVY_WEIGHT)
		return;
	if (work->expected_ms < SHORT_MS) {
		t->delay_base += RATIO_WEIGHT * (first_ms - t->delay_base);
		return;
	}
	ratio = MAX(first_ms - t->delay_base, 0) / work->expected_ms;
	t->delay_ratio += RATIO_WEIGHT *
			  (CLAMP(ratio, RATIO_MIN, RATIO_MAX) - t->delay_ratio);
}

static bool is_filled(const struct svt_server *s, uint64_t now,
		      const struct svt_wish *w)
{
	if (w->fill > 0)
		return svt_load(s, now) + 1 > w->fill * s->slots;
	return work_ms(s) > w->fill_ms;
}

/* The first server in an order common to all nodes that is not full, or NULL. */
static struct svt_server *first_unfilled(const struct svt *t, uint64_t now,
					 const struct svt_wish *w)
{
	struct svt_server *first = NULL;
	uint64_t best = 0;

	for (guint i = 0; i < t->all->len; i++) {
		struct svt_server *s = t->all->pdata[i];
		uint64_t rank;

		if (!is_candidate(s, now, w, false) || is_filled(s, now, w))
			continue;
		rank = rank_of(s, w->fill_order);
		if (!first || rank > best) {
			first = s;
			best = rank;
		}
	}
	return first;
}

/*
 * Chooses a server that is ready and was not tried yet, or returns NULL.
 * Ejected ones are used only if there is no other.
 */
struct svt_server *svt_pick(struct svt *t, uint64_t now,
			    const struct svt_wish *w, struct rng *rng)
{
	struct svt_server *s = NULL;

	if (w->fill > 0 || w->fill_ms > 0)
		s = first_unfilled(t, now, w);
	if (!s && w->weight > 0)
		s = least_delay(t, now, w);
	if (!s)
		s = least_loaded(t, now, w, false, rng);
	return s ? s : least_loaded(t, now, w, true, rng);
}

/* A model request goes to the server. */
void svt_on_work(struct svt_server *s, const struct svt_work *work)
{
	s->decode += work->weight;
	s->prefill += work->prefill;
}

/* The request's prompt has been read in, or it has ended. */
void svt_on_read(struct svt_server *s, struct svt_work *work)
{
	s->prefill = MAX(s->prefill - work->prefill, 0);
	work->prefill = 0;
}

/* An answer of the server broke off. */
void svt_on_broken(struct svt_server *s, uint64_t now)
{
	if (!s->broken++)
		s->broken_at = now;
}

/*
 * A request that began at that time has been answered by the server. Returns
 * how many answers broke off before, each told once: the server lives, so that
 * its version is to blame, not a crash.
 */
uint32_t svt_take_broken(struct svt_server *s, uint64_t began_at)
{
	uint32_t n = s->broken;

	if (!n || began_at < s->broken_at)
		return 0;
	s->broken = 0;
	return MIN(n, BROKEN_MOST);
}

/* The request has ended. */
void svt_off_work(struct svt_server *s, struct svt_work *work)
{
	svt_on_read(s, work);
	s->decode = MAX(s->decode - work->weight, 0);
}

/*
 * Takes the mean time between events of a stream. Only heavy streams tell a
 * server's pace.
 */
void svt_on_pace(struct svt *t, struct svt_server *s,
		 const struct svt_work *work, double event_ms)
{
	if (work->weight < HEAVY_WEIGHT)
		return;
	event_ms /= work->weight;
	if (s->event_ms <= 0)
		s->event_ms = event_ms;
	if (t->usual_event_ms <= 0)
		t->usual_event_ms = event_ms;
	s->event_ms += PACE_WEIGHT * (event_ms - s->event_ms);
	t->usual_event_ms += USUAL_WEIGHT * (event_ms - t->usual_event_ms);
}

/* A request of this node goes to the server. */
void svt_on_start(struct svt_server *s)
{
	s->in_flight++;
}

/* Takes the load that an answer of the server told. */
void svt_on_load(struct svt_server *s, uint64_t now, uint32_t running,
		 uint32_t waiting, uint32_t slots)
{
	s->reported = running + waiting;
	s->reported_in_flight = s->in_flight;
	s->reported_at = now;
	if (slots)
		s->slots = slots;
}

static void eject(struct svt_server *s, uint64_t now)
{
	uint64_t ms = (uint64_t)SVT_EJECT_FIRST_MS << MIN(s->ejections, 4);

	s->ejections++;
	s->ejected_until = now + MIN(ms, SVT_EJECT_MAX_MS);
}

static void note_times(struct svt *t, struct svt_server *s, double head_ms)
{
	if (head_ms <= 0)
		return;
	if (t->usual_ms <= 0)
		t->usual_ms = head_ms;
	s->slowness += SLOWNESS_WEIGHT *
		       (MIN(head_ms / t->usual_ms, 20) - s->slowness);
	t->usual_ms += USUAL_WEIGHT * (head_ms - t->usual_ms);
}

/*
 * A request of this node at the server has ended; head_ms is the time to the
 * head of a plain answer, 0 if it says nothing.
 */
void svt_on_end(struct svt *t, struct svt_server *s, uint64_t now,
		enum svt_outcome outcome, double head_ms)
{
	if (s->in_flight)
		s->in_flight--;
	switch (outcome) {
	case SVT_GOOD:
		s->failures = 0;
		s->ejections = 0;
		s->failure -= FAILURE_WEIGHT * s->failure;
		note_times(t, s, head_ms);
		break;
	case SVT_FAILED:
		s->failures++;
		s->failure += FAILURE_WEIGHT * (1 - s->failure);
		if (s->failures >= EJECT_AFTER)
			eject(s, now);
		break;
	case SVT_SILENT:
		s->failure += FAILURE_WEIGHT * (1 - s->failure);
		eject(s, now);
		break;
	case SVT_MISDIRECTED:
		s->misdirected = true;
		break;
	case SVT_REFUSED:
	case SVT_NEUTRAL:
		break;
	}
}

/* Returns how many servers of a service are ready; version NULL: of any. */
uint32_t svt_count_ready(const struct svt *t, const char *service,
			 const char *version)
{
	uint32_t n = 0;

	for (guint i = 0; i < t->all->len; i++) {
		const struct svt_server *s = t->all->pdata[i];

		n += s->state == SVT_READY && !strcmp(s->service, service) &&
		     (!version || !g_strcmp0(s->version, version));
	}
	return n;
}
