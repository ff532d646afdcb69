#include "exchange/servers.h"

#include <string.h>
#include <xxhash.h>

#define SLOWNESS_WEIGHT 0.1
#define USUAL_WEIGHT 0.02
#define FAILURE_WEIGHT 0.1
#define BROKEN_MOST 3 /* told together */
#define HEAVY_WEIGHT 0.5
#define SHORT_MS 60.0
#define RATIO_MIN 0.2
#define RATIO_MAX 20.0
#define RATIO_WEIGHT 0.05
#define PACE_WEIGHT 0.15
#define EJECT_AFTER 2

static const char *const state_names[] = {"ready", "draining", "gone"};

/* Returns a state's name for logs. */
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

/* Starts with no server. */
void server_table_init(struct server_table *t)
{
	memset(t, 0, sizeof(*t));
	t->delay_ratio = 1;
	t->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	t->all = g_ptr_array_new_with_free_func(free_server);
	removal_log_init(&t->removals);
}

/* Frees all servers. */
void server_table_clear(struct server_table *t)
{
	g_hash_table_unref(t->by_id);
	g_ptr_array_unref(t->all);
	removal_log_clear(&t->removals);
}

/* Returns the server with that id, or NULL. */
struct server_record *server_find(const struct server_table *t, const char *id)
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

static struct server_record *add(struct server_table *t, const char *id)
{
	struct server_record *s = g_new0(struct server_record, 1);

	s->id = g_strdup(id);
	s->hash = XXH3_64bits(id, strlen(id));
	s->slowness = 1;
	g_hash_table_insert(t->by_id, s->id, s);
	g_ptr_array_add(t->all, s);
	return s;
}

/* What was learnt of a server does not hold for another start of it. */
static void forget_past(struct server_record *s)
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
struct server_record *server_update(struct server_table *t, uint64_t now,
				    const struct server_entry *entry)
{
	struct server_record *s = server_find(t, entry->id);

	if (s && entry->revision < s->revision)
		return s;
	if (!s)
		s = add(t, entry->id);
	else if (s->state != SERVER_READY ||
		 g_strcmp0(s->address, entry->address) != 0)
		forget_past(s);
	set_text(&s->service, entry->service);
	set_text(&s->address, entry->address);
	set_text(&s->zone, entry->zone);
	set_text(&s->version, entry->version);
	s->slots = entry->slots;
	s->cold_until = entry->cold_ms ? now + entry->cold_ms : 0;
	s->state = entry->draining ? SERVER_DRAINING : SERVER_READY;
	s->revision = entry->revision;
	s->listed = true;
	return s;
}

static void remove_server(struct server_table *t, struct server_record *s)
{
	s->state = SERVER_REMOVED;
	removal_log_add(&t->removals, s->id);
}

/*
 * A server's entry is gone as of a revision, 0 if that is not known. Returns
 * whether it was there; an older word than the entry's own changes nothing.
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

/* Begins a whole list: servers not put until its end are gone. */
void server_begin_listing(struct server_table *t)
{
	for (guint i = 0; i < t->all->len; i++)
		((struct server_record *)t->all->pdata[i])->listed = false;
}

/* Ends a whole list; returns how many servers it showed to be gone. */
uint32_t server_end_listing(struct server_table *t)
{
	uint32_t gone = 0;

	for (guint i = 0; i < t->all->len; i++) {
		struct server_record *s = t->all->pdata[i];

		if (s->listed || s->state == SERVER_REMOVED)
			continue;
		remove_server(t, s);
		gone++;
	}
	return gone;
}

/* Frees servers that are gone and have no request of this node. */
void server_free_removed(struct server_table *t)
{
	for (guint i = t->all->len; i-- > 0;) {
		struct server_record *s = t->all->pdata[i];

		if (s->state != SERVER_REMOVED || s->in_flight)
			continue;
		g_hash_table_remove(t->by_id, s->id);
		g_ptr_array_remove_index_fast(t->all, i);
	}
}

/* Returns a digest of which servers are listed, and which of them drain. */
uint64_t server_table_digest(const struct server_table *t)
{
	uint64_t digest = 0;

	for (guint i = 0; i < t->all->len; i++) {
		const struct server_record *s = t->all->pdata[i];
		uint64_t state = s->state == SERVER_DRAINING;

		if (s->state != SERVER_REMOVED)
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
double server_load(const struct server_record *s, uint64_t now)
{
	double others = s->others_in_flight;

	if (s->reported_at && now - s->reported_at < SERVER_LOAD_MAX_AGE_MS) {
		double told = s->reported > s->reported_in_flight
				      ? s->reported - s->reported_in_flight
				      : 0;

		others = MAX(others, told);
	}
	return s->in_flight + others;
}

/* The first event of a model request came after first_ms. */
void server_on_first_event(struct server_table *t,
			   const struct server_work *work, double first_ms)
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

/* A model request goes to the server. */
void server_add_work(struct server_record *s, const struct server_work *work)
{
	s->decode += work->weight;
	s->prefill += work->prefill;
}

/* The request's prompt has been read in, or it has ended. */
void server_on_prefill_done(struct server_record *s, struct server_work *work)
{
	s->prefill = MAX(s->prefill - work->prefill, 0);
	work->prefill = 0;
}

/* An answer of the server broke off. */
void server_on_broken_answer(struct server_record *s, uint64_t now)
{
	if (!s->broken++)
		s->broken_at = now;
}

/*
 * A request that began at that time has been answered by the server. Returns
 * how many answers broke off before, each told once: the server lives, so that
 * its version is to blame, not a crash.
 */
uint32_t server_take_broken_answers(struct server_record *s, uint64_t began_at)
{
	uint32_t n = s->broken;

	if (!n || began_at < s->broken_at)
		return 0;
	s->broken = 0;
	return MIN(n, BROKEN_MOST);
}

/* The request has ended. */
void server_remove_work(struct server_record *s, struct server_work *work)
{
	server_on_prefill_done(s, work);
	s->decode = MAX(s->decode - work->weight, 0);
}

/*
 * Takes the mean time between events of a stream. Only heavy streams tell a
 * server's pace.
 */
void server_on_event_interval(struct server_table *t, struct server_record *s,
			      const struct server_work *work, double event_ms)
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
void server_on_request_start(struct server_record *s)
{
	s->in_flight++;
}

/* Takes the load that an answer of the server told. */
void server_on_load_report(struct server_record *s, uint64_t now,
			   uint32_t running, uint32_t waiting, uint32_t slots)
{
	s->reported = running + waiting;
	s->reported_in_flight = s->in_flight;
	s->reported_at = now;
	if (slots)
		s->slots = slots;
}

static void eject(struct server_record *s, uint64_t now)
{
	uint64_t ms = (uint64_t)SERVER_EJECT_FIRST_MS << MIN(s->ejections, 4);

	s->ejections++;
	s->ejected_until = now + MIN(ms, SERVER_EJECT_MAX_MS);
}

static void note_times(struct server_table *t, struct server_record *s,
		       double head_ms)
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
void server_on_request_end(struct server_table *t, struct server_record *s,
			   uint64_t now, enum server_outcome outcome,
			   double head_ms)
{
	if (s->in_flight)
		s->in_flight--;
	switch (outcome) {
	case SERVER_CALL_OK:
		s->failures = 0;
		s->ejections = 0;
		s->failure -= FAILURE_WEIGHT * s->failure;
		note_times(t, s, head_ms);
		break;
	case SERVER_CALL_FAILED:
		s->failures++;
		s->failure += FAILURE_WEIGHT * (1 - s->failure);
		if (s->failures >= EJECT_AFTER)
			eject(s, now);
		break;
	case SERVER_CALL_TIMED_OUT:
		s->failure += FAILURE_WEIGHT * (1 - s->failure);
		eject(s, now);
		break;
	case SERVER_CALL_MISDIRECTED:
		s->misdirected = true;
		break;
	case SERVER_CALL_REFUSED:
	case SERVER_CALL_IGNORED:
		break;
	}
}

/* Returns how many servers of a service are ready; version NULL: of any. */
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
