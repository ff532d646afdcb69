#include "exchange/servers.h"

#include <string.h>
#include <xxhash.h>

#include "exchange/feed-revision.h"
#include "exchange/load-limit.h"

/* Weights of the latest sample in the moving averages. */
#define LATENCY_RATIO_WEIGHT 0.1
#define TABLE_MEAN_WEIGHT 0.02
#define FAILURE_RATE_WEIGHT 0.1
#define DELAY_WEIGHT 0.05
#define EVENT_MS_WEIGHT 0.15

/* Only requests of at least this weight are samples of a server's speed. */
#define MIN_SAMPLE_WEIGHT 0.5
/* A first event expected within this time is a sample of the base delay. */
#define MAX_IDLE_DELAY_MS 60.0
/* Bounds of one sample. */
#define MIN_DELAY_RATIO 0.2
#define MAX_DELAY_RATIO 20.0
#define MAX_LATENCY_RATIO 20

#define MAX_BROKEN_AT_ONCE 3 /* answers attributed to a version together */
#define RECENT_CONTACT_MS 500 /* shows that this node is not cut off */
#define EJECT_AFTER_FAILURES 2 /* in a row */
#define MAX_EJECT_DOUBLINGS 4

static const char *const state_names[] = {"ready", "draining", "gone"};

/* Returns the name of a state as logs show it. */
const char *server_state_name(enum server_state state)
{
	return state_names[state];
}

static void free_server(void *p)
{
	struct server_record *s = p;

	g_free(s->id);
	g_free(s->service);
	g_free(s->address);
	g_free(s->zone);
	g_free(s->version);
	g_free(s);
}

/* Initialises an empty table. */
void server_table_init(struct server_table *t)
{
	memset(t, 0, sizeof(*t));
	t->delay_ratio = 1;
	t->measured_placement = true;
	t->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	t->load_limits =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	t->brittle_services = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    g_free, g_free);
	t->paces = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 g_free);
	prefix_cache_init(&t->prefixes);
	t->all = g_ptr_array_new_with_free_func(free_server);
	removal_log_init(&t->removals);
	evacuations_init(&t->evacuations);
}

/* Frees the table and all its servers. */
void server_table_clear(struct server_table *t)
{
	g_hash_table_unref(t->by_id);
	g_hash_table_unref(t->load_limits);
	g_hash_table_unref(t->brittle_services);
	g_hash_table_unref(t->paces);
	prefix_cache_clear(&t->prefixes);
	g_ptr_array_unref(t->all);
	removal_log_clear(&t->removals);
	evacuations_clear(&t->evacuations);
}

/* Returns the server with an id, also if it has been removed, or NULL. */
struct server_record *server_find(const struct server_table *t, const char *id)
{
	return g_hash_table_lookup(t->by_id, id);
}

/* Returns the server whose id has this hash, as server_find(). */
struct server_record *server_find_by_hash(const struct server_table *t,
					  uint64_t hash)
{
	for (guint i = 0; i < t->all->len; i++) {
		struct server_record *s = t->all->pdata[i];

		if (s->hash == hash)
			return s;
	}
	return NULL;
}

static void set_text(char **field, const char *text)
{
	if (!g_strcmp0(*field, text))
		return;
	g_free(*field);
	*field = g_strdup(text);
}

static uint64_t hash_name(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

static struct server_record *add_server(struct server_table *t, const char *id)
{
	struct server_record *s = g_new0(struct server_record, 1);

	s->id = g_strdup(id);
	s->hash = hash_name(id);
	s->latency_ratio = 1;
	g_hash_table_insert(t->by_id, s->id, s);
	g_ptr_array_add(t->all, s);
	return s;
}

/* Resets what was observed: it does not hold after a restart of the server. */
static void reset_statistics(struct server_record *s)
{
	s->failure_streak = 0;
	s->ejection_streak = 0;
	s->ejected_until = 0;
	s->failure_rate = 0;
	s->latency_ratio = 1;
	s->reported_at = 0;
	s->misdirected_until = 0;
	s->misdirected_streak = 0;
	memset(&s->reach, 0, sizeof(s->reach));
}

/* Returns whether the source was restored between the two entries. */
static bool was_restored(const struct server_record *s,
			 const struct server_entry *entry)
{
	return feed_revision_era(entry->revision) >
	       feed_revision_era(s->revision);
}

static bool is_same_boot(const struct server_record *s,
			 const struct server_entry *entry)
{
	if (s->born || entry->born)
		return s->born == entry->born;
	return s->state != SERVER_REMOVED || was_restored(s, entry);
}

/* Returns the latest that servers of a service have said of being brittle. */
static struct brittle_notice brittle_notice_of(const struct server_table *t,
					       uint64_t service)
{
	const struct brittle_notice *n =
		g_hash_table_lookup(t->brittle_services, &service);
	const struct brittle_notice none = {.answered_at = 0};

	return n ? *n : none;
}

/* Resets what the server said of itself before its restart. */
static void reset_boot(struct server_record *s,
		       const struct brittle_notice *service)
{
	s->draining = false;
	s->said_leaving = false;
	s->paused_until = 0;
	s->misdirected_until = 0;
	s->misdirected_streak = 0;
	memset(&s->limit, 0, sizeof(s->limit));
	memset(&s->pace, 0, sizeof(s->pace));
	s->boots++;
	brittle_on_start(&s->brittle, service);
}

/*
 * Returns whether the server drains. That is not taken back by an entry that
 * the source had before and has been restored to.
 */
static bool is_draining(const struct server_record *s,
			const struct server_entry *entry)
{
	return entry->draining ||
	       (s->draining &&
		(was_restored(s, entry) || entry->revision == s->revision));
}

static struct load_limit *get_load_limit(struct server_table *t,
					 const struct server_entry *entry)
{
	g_autofree char *key =
		g_strdup_printf("%s/%s", entry->service, entry->version);
	struct load_limit *l = g_hash_table_lookup(t->load_limits, key);

	if (!l) {
		l = g_new0(struct load_limit, 1);
		g_hash_table_insert(t->load_limits, g_steal_pointer(&key), l);
	}
	return l;
}

/* Returns the limit of the version whose "service/version" has this hash. */
struct load_limit *server_load_limit_by_hash(const struct server_table *t,
					     uint64_t hash)
{
	GHashTableIter it;
	void *key, *limit;

	g_hash_table_iter_init(&it, t->load_limits);
	while (g_hash_table_iter_next(&it, &key, &limit))
		if (XXH3_64bits(key, strlen(key)) == hash)
			return limit;
	return NULL;
}

/* Returns whether the value of a header field can hold the id, and no blank in it. */
static bool is_usable_id(const char *id)
{
	for (const char *p = id; *p; p++)
		if (!g_ascii_isgraph(*p))
			return false;
	return *id && strlen(id) <= SERVER_ENTRY_TEXT_MAX_BYTES;
}

/*
 * Returns the name of a field for which the entry names no server to use, or NULL
 * if it names one.
 */
const char *server_entry_unusable_field(const struct server_entry *entry)
{
	if (!is_usable_id(entry->id))
		return "id";
	if (strlen(entry->service) > SERVER_ENTRY_TEXT_MAX_BYTES)
		return "service";
	if (strlen(entry->zone) > SERVER_ENTRY_TEXT_MAX_BYTES)
		return "zone";
	if (strlen(entry->version) > SERVER_ENTRY_TEXT_MAX_BYTES)
		return "version";
	return NULL;
}

/*
 * Adds a server or updates it from a newer entry, and returns it. An entry of a
 * lower revision than the known one changes nothing, so a late message cannot
 * make a draining or removed server ready again.
 */
struct server_record *server_update(struct server_table *t, uint64_t now,
				    const struct server_entry *entry)
{
	struct server_record *s = server_find(t, entry->id);
	uint64_t service = hash_name(entry->service);
	struct brittle_notice brittle = brittle_notice_of(t, service);
	bool is_new;

	if (s && entry->revision < s->revision)
		return s;
	is_new = !s;
	if (!s)
		s = add_server(t, entry->id);
	else if (s->state != SERVER_READY ||
		 g_strcmp0(s->address, entry->address) != 0) {
		reset_statistics(s);
		cold_on_start(&s->cold, now);
	}
	if (!is_same_boot(s, entry) || s->service_hash != service) {
		reset_boot(s, &brittle);
		if (!is_new || t->listed_once)
			cold_on_start(&s->cold, now);
	} else if (is_new && t->listed_once) {
		cold_on_start(&s->cold, now);
	}
	/* The source gives a known entry again as it was written. */
	if (is_new || entry->revision != s->revision)
		cold_on_entry(&s->cold, now, entry->cold_ms);
	s->service_hash = service;
	set_text(&s->service, entry->service);
	set_text(&s->address, entry->address);
	set_text(&s->zone, entry->zone);
	set_text(&s->version, entry->version);
	s->load_limit = get_load_limit(t, entry);
	s->slots = entry->slots;
	s->evacuated = evacuations_has(&t->evacuations, entry->zone);
	s->draining = is_draining(s, entry);
	s->state =
		s->draining || s->said_leaving ? SERVER_DRAINING : SERVER_READY;
	s->removed_at = 0;
	s->born = entry->born;
	s->revision = entry->revision;
	s->listed = true;
	return s;
}

/*
 * Handles what another node says is left of a server's slow phase, by an entry of
 * a revision that may be known here.
 */
void server_hear_cold(struct server_table *t, uint64_t now, const char *id,
		      uint64_t revision, uint32_t left_ms)
{
	struct server_record *s = server_find(t, id);

	if (s && left_ms && revision >= s->revision)
		cold_on_entry(&s->cold, now, left_ms);
}

static void remove_server(struct server_table *t, struct server_record *s)
{
	s->state = SERVER_REMOVED;
	removal_log_add(&t->removals, s->id);
}

/*
 * Marks a server as removed at a revision, 0 if that is not known. Returns
 * false and changes nothing if it is unknown or removed already, or if its
 * entry is newer than the removal.
 */
bool server_remove(struct server_table *t, const char *id, uint64_t revision)
{
	struct server_record *s = server_find(t, id);

	if (!s || s->state == SERVER_REMOVED ||
	    (revision && revision < s->revision))
		return false;
	remove_server(t, s);
	return true;
}

/*
 * Puts the table's set of evacuated zones in force. A server whose zone is taken
 * back counts as started now.
 */
void server_apply_evacuations(struct server_table *t, uint64_t now)
{
	for (guint i = 0; i < t->all->len; i++) {
		struct server_record *s = t->all->pdata[i];
		bool was_evacuated = s->evacuated;

		s->evacuated = evacuations_has(&t->evacuations, s->zone);
		if (was_evacuated && !s->evacuated)
			cold_on_start(&s->cold, now);
	}
}

/*
 * Starts a complete listing: servers without a server_update() until
 * server_end_listing() are removed there.
 */
void server_begin_listing(struct server_table *t)
{
	for (guint i = 0; i < t->all->len; i++)
		((struct server_record *)t->all->pdata[i])->listed = false;
}

/* Ends a complete listing; returns the number of servers removed by it. */
uint32_t server_end_listing(struct server_table *t)
{
	uint32_t removed = 0;

	t->listed_once = true;

	for (guint i = 0; i < t->all->len; i++) {
		struct server_record *s = t->all->pdata[i];

		if (s->listed || s->state == SERVER_REMOVED)
			continue;
		remove_server(t, s);
		removed++;
	}
	return removed;
}

static bool may_be_freed(struct server_record *s, uint64_t now)
{
	if (s->state != SERVER_REMOVED || s->in_flight)
		return false;
	if (!s->removed_at)
		s->removed_at = now;
	return !(s->draining || s->said_leaving) ||
	       now - s->removed_at > SERVER_DRAINED_MEMORY_MS;
}

static gboolean is_unused_limit(gpointer key, gpointer limit, gpointer table)
{
	const struct server_table *t = table;

	(void)key;
	for (guint i = 0; i < t->all->len; i++)
		if (((struct server_record *)t->all->pdata[i])->load_limit ==
		    limit)
			return FALSE;
	return TRUE;
}

/*
 * Frees the removed servers that have no request of this node in flight. Those
 * that were leaving are kept for SERVER_DRAINED_MEMORY_MS, so that a restored source
 * does not make them ready again.
 */
void server_free_removed(struct server_table *t, uint64_t now)
{
	bool any = false;

	for (guint i = t->all->len; i-- > 0;) {
		struct server_record *s = t->all->pdata[i];

		if (!may_be_freed(s, now))
			continue;
		g_hash_table_remove(t->by_id, s->id);
		g_ptr_array_remove_index_fast(t->all, i);
		any = true;
	}
	if (any)
		g_hash_table_foreach_remove(t->load_limits, is_unused_limit, t);
}

/* Handles a refusal by which the server wants no request for some time. */
void server_on_pause(struct server_record *s, uint64_t now, uint64_t ms)
{
	s->paused_until = MAX(s->paused_until, now + ms);
}

/* Returns whether a ready server wants requests of this node now. */
bool server_may_get_request(const struct server_record *s, uint64_t now)
{
	return !s->evacuated && s->paused_until <= now &&
	       cold_allows(&s->cold, now) &&
	       rate_limit_allows(&s->limit, now) &&
	       brittle_allows(&s->brittle, now, s->in_flight);
}

/*
 * Returns how long no ready server of a service wants a request of this node,
 * as far as the servers have said; 0 if one does or that is not known.
 */
uint64_t server_wait_ms(const struct server_table *t, uint64_t now,
			const char *service)
{
	uint64_t at = UINT64_MAX;

	for (guint i = 0; i < t->all->len; i++) {
		const struct server_record *s = t->all->pdata[i];

		if (s->state == SERVER_READY && !s->evacuated &&
		    !strcmp(s->service, service))
			at = MIN(at, MAX(MAX(s->paused_until,
					     cold_allowed_at(&s->cold, now)),
					 rate_limit_allowed_at(&s->limit)));
	}
	return at == UINT64_MAX || at <= now ? 0 : at - now;
}

/*
 * Counts those of a service's ready servers that were tried lately. Of thousands
 * that are few, but they tell what share is out of reach.
 */
struct server_reach server_service_reach(const struct server_table *t,
					 uint64_t now, const char *service)
{
	struct server_reach r = {0, 0};

	for (guint i = 0; i < t->all->len; i++) {
		const struct server_record *s = t->all->pdata[i];

		if (s->state != SERVER_READY || s->evacuated ||
		    strcmp(s->service, service) != 0)
			continue;
		r.known += reach_is_known(&s->reach, now);
		r.lost += reach_is_lost(&s->reach);
	}
	return r;
}

/* Returns whether at least half of the known servers are out of reach. */
bool server_reach_is_impaired(const struct server_reach *r)
{
	return r->lost && 2 * r->lost >= r->known;
}

/*
 * Returns whether this node seems to be cut off: a ready server is lost and there
 * was no contact to another one lately.
 */
bool server_table_is_cut_off(const struct server_table *t, uint64_t now)
{
	bool any_lost = false;

	for (guint i = 0; i < t->all->len; i++) {
		const struct server_record *s = t->all->pdata[i];

		if (s->reach.contacted_at &&
		    now - s->reach.contacted_at < RECENT_CONTACT_MS)
			return false;
		any_lost |=
			s->state == SERVER_READY && reach_is_lost(&s->reach);
	}
	return any_lost;
}

/* Returns the service's notice, which is added if it has none. */
static struct brittle_notice *service_notice(struct server_table *t,
					     uint64_t service)
{
	struct brittle_notice *n =
		g_hash_table_lookup(t->brittle_services, &service);

	if (!n) {
		n = g_new0(struct brittle_notice, 1);
		g_hash_table_insert(t->brittle_services,
				    g_memdup2(&service, sizeof(service)), n);
	}
	return n;
}

/*
 * Takes up what some server of a service says of being brittle, for those that have
 * not answered themselves. Returns true if that has changed for the service.
 */
bool server_hear_brittle_service(struct server_table *t, uint64_t service,
				 const struct brittle_notice *said)
{
	struct brittle_notice *n = service_notice(t, service);
	bool changed = false;

	if (said->answered_at >= n->answered_at) {
		changed = said->refusals_per_s != n->refusals_per_s;
		*n = *said;
	}
	for (guint i = 0; said->refusals_per_s && i < t->all->len; i++) {
		struct server_record *s = t->all->pdata[i];

		if (s->service_hash == service)
			brittle_inherit(&s->brittle, said);
	}
	return changed;
}

/*
 * Takes up what an answer of the server says of being brittle, for all of its
 * service. Returns true if that has changed for the server.
 */
bool server_hear_brittle(struct server_table *t, struct server_record *s,
			 const struct brittle_notice *said)
{
	bool changed;

	if (!said->refusals_per_s && !s->brittle.notice.answered_at)
		return false;
	changed = brittle_hear(&s->brittle, said);
	server_hear_brittle_service(t, s->service_hash, said);
	return changed;
}

/* Returns whether a ready server of the service is brittle. */
bool server_service_is_brittle(const struct server_table *t,
			       const char *service)
{
	for (guint i = 0; i < t->all->len; i++) {
		const struct server_record *s = t->all->pdata[i];

		if (s->state == SERVER_READY && !strcmp(s->service, service) &&
		    brittle_is_in_force(&s->brittle))
			return true;
	}
	return false;
}

/*
 * Returns whether all ready servers of a service count as cold, none of them by
 * its entry: this node seems to have been cut off from them, others were not.
 */
bool server_service_is_suspected(const struct server_table *t, uint64_t now,
				 const char *service)
{
	uint32_t n = 0;

	for (guint i = 0; i < t->all->len; i++) {
		const struct server_record *s = t->all->pdata[i];

		if (s->state != SERVER_READY || s->evacuated ||
		    strcmp(s->service, service) != 0)
			continue;
		if (!cold_is_in_force(&s->cold, now) ||
		    cold_is_known(&s->cold, now))
			return false;
		n++;
	}
	return n > 0;
}

/*
 * Handles an answer in which the server says that it leaves. Returns true if
 * the server was ready until now.
 */
bool server_on_said_leaving(struct server_record *s)
{
	bool was_ready = s->state == SERVER_READY;

	s->said_leaving = true;
	if (was_ready)
		s->state = SERVER_DRAINING;
	return was_ready;
}

/*
 * Returns a hash of which servers are not removed and which of them drain by
 * their entries. It
 * does not depend on their order, so that nodes can compare it.
 */
uint64_t server_table_digest(const struct server_table *t)
{
	uint64_t digest = 0;

	for (guint i = 0; i < t->all->len; i++) {
		const struct server_record *s = t->all->pdata[i];
		uint64_t draining = s->draining;

		if (s->state != SERVER_REMOVED)
			digest ^= XXH3_64bits_withSeed(
				&s->hash, sizeof(s->hash), draining);
	}
	return digest;
}

/*
 * Returns the load of a server in requests: those of this node, counted, plus
 * those of the other nodes, by their reports or the server's last report while
 * that is recent, whichever is higher.
 */
double server_load(const struct server_record *s, uint64_t now)
{
	double others = s->peer_in_flight;

	if (s->reported_at && now - s->reported_at < SERVER_LOAD_MAX_AGE_MS) {
		double reported =
			s->reported_load > s->reported_in_flight
				? s->reported_load - s->reported_in_flight
				: 0;

		others = MAX(others, reported);
	}
	return s->in_flight + others;
}

/*
 * Updates the estimate of delays by a model request whose first event took
 * first_event_ms.
 */
void server_on_first_event(struct server_table *t,
			   const struct server_work *work,
			   double first_event_ms)
{
	double ratio;

	if (work->weight < MIN_SAMPLE_WEIGHT)
		return;
	if (work->expected_ms < MAX_IDLE_DELAY_MS) {
		t->base_delay_ms +=
			DELAY_WEIGHT * (first_event_ms - t->base_delay_ms);
		return;
	}
	ratio = MAX(first_event_ms - t->base_delay_ms, 0) / work->expected_ms;
	t->delay_ratio +=
		DELAY_WEIGHT * (CLAMP(ratio, MIN_DELAY_RATIO, MAX_DELAY_RATIO) -
				t->delay_ratio);
}

/* Adds a model request's work to its server. */
void server_add_work(struct server_record *s, const struct server_work *work)
{
	s->decode += work->weight;
	s->prefill += work->prefill;
}

/* Removes the prefill part of the work: the first event came, or the end. */
void server_on_prefill_done(struct server_record *s, struct server_work *work)
{
	s->prefill = MAX(s->prefill - work->prefill, 0);
	work->prefill = 0;
}

/* Counts an answer that the server did not complete. */
void server_on_broken_answer(struct server_record *s, uint64_t now)
{
	if (!s->broken_answers++)
		s->first_broken_at = now;
}

/*
 * Returns the number of broken answers to blame on the server's version, given
 * that it has completed an answer to a request that began at began_at, and
 * resets it. An answer to a request that began after the break shows that the
 * server did not crash. At most MAX_BROKEN_AT_ONCE are returned.
 */
uint32_t server_take_broken_answers(struct server_record *s, uint64_t began_at)
{
	uint32_t n = s->broken_answers;

	if (!n || began_at < s->first_broken_at)
		return 0;
	s->broken_answers = 0;
	return MIN(n, MAX_BROKEN_AT_ONCE);
}

/* Removes a model request's work from its server. */
void server_remove_work(struct server_record *s, struct server_work *work)
{
	server_on_prefill_done(s, work);
	s->decode = MAX(s->decode - work->weight, 0);
}

/*
 * Updates the mean times between events by a stream's mean, event_ms. Streams
 * of models below MIN_SAMPLE_WEIGHT are ignored.
 */
void server_on_event_interval(struct server_table *t, struct server_record *s,
			      const struct server_work *work, double event_ms)
{
	if (work->weight < MIN_SAMPLE_WEIGHT)
		return;
	event_ms /= work->weight;
	if (s->event_ms <= 0)
		s->event_ms = event_ms;
	if (t->mean_event_ms <= 0)
		t->mean_event_ms = event_ms;
	s->event_ms += EVENT_MS_WEIGHT * (event_ms - s->event_ms);
	t->mean_event_ms += TABLE_MEAN_WEIGHT * (event_ms - t->mean_event_ms);
}

/* Returns whether a server bears one more request, by its version's answers. */
bool server_bears_another(const struct server_record *s, uint64_t now)
{
	return load_limit_allows(s->load_limit, now, server_load(s, now) + 1);
}

/* Counts a request of this node that is sent to the server. */
void server_on_request_start(struct server_record *s, uint64_t now)
{
	s->in_flight++;
	cold_count(&s->cold, now);
	rate_limit_count(&s->limit, now);
}

/*
 * Stores the load that the server reported with an answer; slots is 0 if it did
 * not report them.
 */
void server_on_load_report(struct server_record *s, uint64_t now,
			   uint32_t running, uint32_t waiting, uint32_t slots)
{
	s->reported_load = running + waiting;
	s->reported_in_flight = s->in_flight;
	s->reported_at = now;
	if (slots)
		s->slots = slots;
}

/*
 * Returns the measured speeds of a service of which a server has reported the
 * slowness figure, or NULL.
 */
struct pace_service *server_pace_service(const struct server_table *t,
					 const char *service)
{
	uint64_t hash = hash_name(service);

	return g_hash_table_lookup(t->paces, &hash);
}

/* Returns whether servers of a service share their machines with other work. */
bool service_shares_machines(const struct server_table *t, const char *service)
{
	return server_pace_service(t, service) != NULL;
}

/*
 * Stores how long work takes at the server at this moment, in percent of the
 * usual time, by the fourth figure of its report; 0 if the report had none.
 * Returns true if it is the first such report of the service.
 */
bool server_on_slowness_report(struct server_table *t, struct server_record *s,
			       uint64_t now, uint32_t percent)
{
	struct pace_service *p;

	if (!percent || !s->service)
		return false;
	pace_on_slowness(&s->pace, now, percent);
	if (service_shares_machines(t, s->service))
		return false;
	p = g_new0(struct pace_service, 1);
	pace_service_init(p);
	g_hash_table_insert(
		t->paces, g_memdup2(&s->service_hash, sizeof(s->service_hash)),
		p);
	return true;
}

/* Excludes a server for a time that doubles with each ejection in a row. */
static void eject(struct server_record *s, uint64_t now)
{
	uint64_t ms = (uint64_t)SERVER_EJECT_FIRST_MS
		      << MIN(s->ejection_streak, MAX_EJECT_DOUBLINGS);

	s->ejection_streak++;
	s->ejected_until = now + MIN(ms, SERVER_EJECT_MAX_MS);
}

/*
 * Excludes a server whose address another one has, until its entry tells of a new
 * start or address, or for a time that doubles while nothing else is heard.
 */
static void misdirect(struct server_record *s, uint64_t now)
{
	uint64_t ms = (uint64_t)SERVER_MISDIRECTED_FIRST_MS
		      << MIN(s->misdirected_streak, MAX_EJECT_DOUBLINGS);

	s->misdirected_streak++;
	s->misdirected_until = now + MIN(ms, SERVER_MISDIRECTED_MAX_MS);
}

static void add_head_time(struct server_table *t, struct server_record *s,
			  double head_ms)
{
	if (head_ms <= 0)
		return;
	if (t->mean_head_ms <= 0)
		t->mean_head_ms = head_ms;
	s->latency_ratio += LATENCY_RATIO_WEIGHT *
			    (MIN(head_ms / t->mean_head_ms, MAX_LATENCY_RATIO) -
			     s->latency_ratio);
	t->mean_head_ms += TABLE_MEAN_WEIGHT * (head_ms - t->mean_head_ms);
}

/*
 * Updates a server's state at the end of a request of this node. head_ms is the
 * time to the head of the answer, or 0 if it is no sample: only plain answers
 * are.
 */
void server_on_request_end(struct server_table *t, struct server_record *s,
			   uint64_t now, enum server_outcome outcome,
			   double head_ms)
{
	if (s->in_flight)
		s->in_flight--;
	switch (outcome) {
	case SERVER_CALL_OK:
		s->misdirected_streak = 0;
		s->failure_streak = 0;
		s->ejection_streak = 0;
		s->failure_rate -= FAILURE_RATE_WEIGHT * s->failure_rate;
		add_head_time(t, s, head_ms);
		break;
	case SERVER_CALL_FAILED:
		s->failure_streak++;
		s->failure_rate += FAILURE_RATE_WEIGHT * (1 - s->failure_rate);
		if (s->failure_streak >= EJECT_AFTER_FAILURES)
			eject(s, now);
		break;
	case SERVER_CALL_TIMED_OUT:
		brittle_on_abandoned(&s->brittle, now);
		s->failure_rate += FAILURE_RATE_WEIGHT * (1 - s->failure_rate);
		eject(s, now);
		break;
	case SERVER_CALL_MISDIRECTED:
		misdirect(s, now);
		break;
	case SERVER_CALL_UNSERVED:
		s->misdirected_streak = 0;
		break;
	case SERVER_CALL_REFUSED:
		brittle_on_refusal(&s->brittle, now);
		break;
	case SERVER_CALL_IGNORED:
		brittle_on_abandoned(&s->brittle, now);
		break;
	}
}

/* Returns the number of a service's ready servers; version NULL: of any. */
uint32_t server_count_ready(const struct server_table *t, const char *service,
			    const char *version)
{
	uint32_t n = 0;

	for (guint i = 0; i < t->all->len; i++) {
		const struct server_record *s = t->all->pdata[i];

		n += s->state == SERVER_READY && !strcmp(s->service, service) &&
		     (!version || !g_strcmp0(s->version, version));
	}
	return n;
}
