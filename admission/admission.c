#include "admission/admission.h"

#include <math.h>
#include <string.h>

/* Part of the slots that may wait at servers, so that slots do not run empty. */
#define SERVER_QUEUE_SHARE 0.25
/*
 * While more than this share of all places is free, a node starts without regard
 * to its part: the others do not fill that many within one refresh of its view. The
 * share is larger after refusals by servers.
 */
#define AMPLE_SHARE 0.125
#define QUEUE_MS 250.0 /* the queue holds what is started in this time */
#define RATE_MS 1000.0 /* time constant of measured rates */
#define SHARE_MS 5000.0 /* time constant of the counts of served requests */
#define DECAY_STEP_MS 50 /* counts are decayed in steps of this and more */
/* Until the rate is measured for this long, the places tell it. */
#define RATE_KNOWN_MS 500
#define SHORTAGE_END_MS 1000 /* without a request that waits */
/*
 * An organisation goes first while it is served less than this fraction as often
 * as all. The requirement is a quarter; the rest is a margin for the counts, which
 * are those of one node.
 */
#define FLOOR_RATIO 0.35
#define MIN_FLOOR_OFFERS 3.0 /* recent requests to judge an organisation by */
#define TIMES_WEIGHT 0.1 /* of the latest sample in means */
#define MIN_SAMPLES 4 /* of a route's times before they refuse requests */
#define MIN_CAUTION 0.25
#define CAUTION_STEP 1.05 /* at each refresh without a refusal */
#define MIN_RATE_SHARE 0.02 /* that more urgent requests leave */
#define MIN_DRAIN_MS 100.0
#define MAX_DRAIN_MS 3000.0
#define LATER_PER_PRIORITY 0.15 /* of the drain time */
#define MAX_LATER_PRIORITY 4 /* later ones return with this one */
#define IDLE_ORGS 64 /* organisations kept without a recent request */

/* Requests of an organisation with one priority. */
struct admission_flow {
	double virtual_ms; /* work sent while others waited */
	double work_ms; /* of its waiting requests */
	uint32_t waiting;
	double offered[ADMISSION_SIZES]; /* recent requests */
	double served[ADMISSION_SIZES]; /* of these, sent */
};

struct admission_org {
	double offered; /* recent requests, of all priorities */
	double served;
	uint64_t decayed_at;
	uint32_t waiting;
	struct admission_flow flows[ADMISSION_PRIORITIES];
};

/* Mean times of a route's requests of one size. */
struct admission_times {
	double first_ms;
	double total_ms;
	uint32_t samples;
};

/* Initialises an empty queue. */
void admission_init(struct admission *a)
{
	memset(a, 0, sizeof(*a));
	a->caution = 1;
	a->waiting = g_ptr_array_new();
	a->orgs = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					g_free);
	a->times = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 g_free);
}

/* Frees the queue, not the requests in it. */
void admission_clear(struct admission *a)
{
	g_ptr_array_unref(a->waiting);
	g_hash_table_unref(a->orgs);
	g_hash_table_unref(a->times);
}

/*
 * Returns the size class of a request by the length of its prompt, or of its body
 * if it has none.
 */
uint32_t admission_size(uint32_t tokens, size_t body_bytes)
{
	static const uint32_t token_limits[] = {1500, 6000, 24000};
	static const size_t byte_limits[] = {4096, 65536, 1048576};
	uint32_t size = 0;

	while (size < ADMISSION_SIZES - 1 &&
	       (tokens ? tokens > token_limits[size]
		       : body_bytes > byte_limits[size]))
		size++;
	return size;
}

static uint32_t priority_of(const struct admission_request *r)
{
	return MIN(r->priority, ADMISSION_PRIORITIES - 1);
}

static struct admission_flow *flow_of(const struct admission_request *r)
{
	return &r->account->flows[priority_of(r)];
}

static void insert(GHashTable *table, uint64_t key, void *value)
{
	uint64_t *copy = g_new(uint64_t, 1);

	*copy = key;
	g_hash_table_insert(table, copy, value);
}

static struct admission_org *find_org(struct admission *a, uint64_t now,
				      uint64_t key)
{
	struct admission_org *o = g_hash_table_lookup(a->orgs, &key);

	if (!o) {
		o = g_new0(struct admission_org, 1);
		o->decayed_at = now;
		insert(a->orgs, key, o);
	}
	return o;
}

static uint64_t times_key(const struct admission_request *r)
{
	return r->route * ADMISSION_SIZES + r->size;
}

/* Returns the factor by which counts of `at` have decayed, 1 shortly after. */
static double decay(uint64_t *at, uint64_t now, double time_constant)
{
	double elapsed = (double)(now - *at);

	if (now < *at + DECAY_STEP_MS)
		return 1;
	*at = now;
	return exp(-elapsed / time_constant);
}

static void decay_org(struct admission_org *o, uint64_t now)
{
	double factor = decay(&o->decayed_at, now, SHARE_MS);

	if (factor >= 1)
		return;
	o->offered *= factor;
	o->served *= factor;
	for (int p = 0; p < ADMISSION_PRIORITIES; p++)
		for (int s = 0; s < ADMISSION_SIZES; s++) {
			o->flows[p].offered[s] *= factor;
			o->flows[p].served[s] *= factor;
		}
}

static void decay_counts(struct admission *a, uint64_t now)
{
	double factor = decay(&a->decayed_at, now, SHARE_MS);

	a->offered *= factor;
	for (int p = 0; p < ADMISSION_PRIORITIES; p++)
		a->served[p] *= factor;
	factor = decay(&a->rated_at, now, RATE_MS);
	a->sent *= factor;
	a->demand *= factor;
}

/* Returns the number of requests that servers have room for. */
static double places_free(const struct admission *a)
{
	const struct pick_service_room *m = &a->room;
	double queue = SERVER_QUEUE_SHARE * m->slots - m->waiting;

	return (double)m->slots - MIN(m->running, m->slots) + MAX(queue, 0);
}

/* Returns the recent starts of requests that are more urgent than a priority. */
static double served_above(const struct admission *a, uint32_t priority)
{
	double sum = 0;

	for (uint32_t p = 0; p < priority; p++)
		sum += a->served[p];
	return sum;
}

static double served_of_all(const struct admission *a)
{
	return served_above(a, ADMISSION_PRIORITIES);
}

/*
 * Returns this node's part of the room, 0 to 1: its recent demand relative to
 * what all nodes have at the servers, less after refusals by servers.
 */
double admission_part(const struct admission *a)
{
	double own = MAX(a->demand / RATE_MS * a->mean_ms, a->in_flight);
	double all = MAX((double)a->room.running + a->room.waiting, own);

	return all > 0 ? a->caution * own / all : 1;
}

static bool room_is_ample(const struct admission *a)
{
	return places_free(a) >= 1 &&
	       places_free(a) * a->caution > AMPLE_SHARE * a->room.slots;
}

/*
 * Returns whether this node may start a request now. A node that runs none may
 * start one in any case: the view of the room can be out of date, and only a node
 * that runs some keeps its part of it. Without a ready server nothing is decided
 * here.
 */
static bool has_place(const struct admission *a)
{
	if (!a->room.slots || !a->in_flight || room_is_ample(a))
		return true;
	return places_free(a) >= 1 && a->allowance >= 1;
}

/* Returns the requests that this node starts in a ms while there is a shortage. */
static double start_rate(const struct admission *a, uint64_t now)
{
	double by_places = MAX(a->in_flight, 1) / MAX(a->mean_ms, 1);
	double measured = a->sent / RATE_MS;

	if (!a->short_since || now - a->short_since < RATE_KNOWN_MS)
		return MAX(measured, by_places);
	return MAX(measured, 1 / RATE_MS);
}

/* Returns whether the organisation is served far less often than all. */
static bool is_below_floor(const struct admission *a,
			   const struct admission_org *o)
{
	return o->offered >= MIN_FLOOR_OFFERS &&
	       o->served * a->offered <
		       FLOOR_RATIO * served_of_all(a) * o->offered;
}

static double served_share(const struct admission_flow *f, uint32_t size)
{
	return (f->served[size] + 0.5) / (f->offered[size] + 1);
}

/* Returns when the request should have its first event. */
static uint64_t due_of(const struct admission_request *r)
{
	return r->objective_ms
		       ? MIN(r->deadline, r->started_at + r->objective_ms)
		       : r->deadline;
}

static bool is_overdue(const struct admission_request *r, uint64_t now)
{
	return (double)now + r->first_ms > (double)due_of(r);
}

/* Returns whether x is to start before y, which arrived later. */
static bool goes_before(const struct admission *a, uint64_t now,
			const struct admission_request *x,
			const struct admission_request *y)
{
	const struct admission_flow *fx = flow_of(x), *fy = flow_of(y);
	bool floor_x = is_below_floor(a, x->account);
	bool floor_y = is_below_floor(a, y->account);

	if (floor_x != floor_y)
		return floor_x;
	if (priority_of(x) != priority_of(y))
		return priority_of(x) < priority_of(y);
	if (is_overdue(x, now) != is_overdue(y, now))
		return is_overdue(y, now);
	if (fx != fy)
		return fx->virtual_ms <= fy->virtual_ms;
	if (x->size != y->size)
		return served_share(fx, x->size) <= served_share(fy, y->size);
	return due_of(x) <= due_of(y);
}

static struct admission_request *first_waiting(const struct admission *a,
					       uint64_t now)
{
	struct admission_request *best = NULL;

	for (guint i = 0; i < a->waiting->len; i++) {
		struct admission_request *r = a->waiting->pdata[i];

		if (!best || !goes_before(a, now, best, r))
			best = r;
	}
	return best;
}

/* Returns the work of a flow's sent and waiting requests: what it asks for. */
static double flow_asks_ms(const struct admission_flow *f)
{
	return f->virtual_ms + f->work_ms;
}

/*
 * Returns the virtual time at which a flow's last waiting request starts. That
 * does not count its own work, or large requests would be refused first.
 */
static double last_start_ms(const struct admission_flow *f)
{
	return flow_asks_ms(f) - f->work_ms / MAX(f->waiting, 1);
}

/*
 * Returns whether x is to be refused rather than y, which arrived later, if there
 * is no room for both in the queue.
 */
static bool is_refused_before(const struct admission *a, uint64_t now,
			      const struct admission_request *x,
			      const struct admission_request *y)
{
	const struct admission_flow *fx = flow_of(x), *fy = flow_of(y);
	bool floor_x = is_below_floor(a, x->account);
	bool floor_y = is_below_floor(a, y->account);

	if (floor_x != floor_y)
		return floor_y;
	if (priority_of(x) != priority_of(y))
		return priority_of(x) > priority_of(y);
	if (is_overdue(x, now) != is_overdue(y, now))
		return is_overdue(x, now);
	if (fx != fy)
		return last_start_ms(fx) > last_start_ms(fy);
	if (x->size != y->size)
		return served_share(fx, x->size) > served_share(fy, y->size);
	return due_of(x) > due_of(y);
}

static struct admission_request *first_refused(const struct admission *a,
					       uint64_t now)
{
	struct admission_request *worst = NULL;

	for (guint i = 0; i < a->waiting->len; i++) {
		struct admission_request *r = a->waiting->pdata[i];

		if (!worst || !is_refused_before(a, now, worst, r))
			worst = r;
	}
	return worst;
}

static void add(struct admission *a, struct admission_request *r)
{
	struct admission_flow *f = flow_of(r);

	/* What was idle has saved up no claim. */
	if (!f->waiting)
		f->virtual_ms =
			MAX(f->virtual_ms, a->virtual_ms[priority_of(r)]);
	f->waiting++;
	f->work_ms += r->work_ms;
	r->account->waiting++;
	r->waiting = true;
	g_ptr_array_add(a->waiting, r);
}

/* Takes a request out of the queue without starting it. */
void admission_remove(struct admission *a, struct admission_request *r)
{
	struct admission_flow *f = flow_of(r);

	if (!r->waiting)
		return;
	f->waiting--;
	f->work_ms = f->waiting ? MAX(f->work_ms - r->work_ms, 0) : 0;
	r->account->waiting--;
	r->waiting = false;
	g_ptr_array_remove(a->waiting, r);
}

/* Counts a request that is sent; in a shortage also the work of its flow. */
static void count_start(struct admission *a, struct admission_request *r)
{
	struct admission_flow *f = flow_of(r);

	a->allowance = MAX(a->allowance - 1, 0);
	a->sent++;
	a->served[priority_of(r)]++;
	r->account->served++;
	f->served[r->size]++;
	if (!a->short_since)
		return;
	a->virtual_ms[priority_of(r)] =
		MAX(a->virtual_ms[priority_of(r)], f->virtual_ms);
	f->virtual_ms =
		MAX(f->virtual_ms, a->virtual_ms[priority_of(r)]) + r->work_ms;
}

/* Returns the requests of another flow that start before all of this one. */
static double count_before(const struct admission_flow *other,
			   const struct admission_flow *own)
{
	double work = flow_asks_ms(own) - other->virtual_ms;

	if (!other->waiting || work <= 0)
		return 0;
	return MIN(other->waiting,
		   1 + work * other->waiting / MAX(other->work_ms, 1));
}

/* Returns the requests that are expected to start before r, which is not queued. */
static double count_ahead(const struct admission *a, uint64_t now,
			  const struct admission_request *r)
{
	const struct admission_flow *own = flow_of(r);
	double ahead = 0;

	if (is_below_floor(a, r->account))
		return 0;
	for (guint i = 0; i < a->waiting->len; i++) {
		const struct admission_request *w = a->waiting->pdata[i];

		if (priority_of(w) == priority_of(r) && is_overdue(w, now) &&
		    !is_overdue(r, now))
			continue;
		/* In its flow, what is of the same size or served less. */
		if (flow_of(w) == own)
			ahead += w->size == r->size ||
				 served_share(own, w->size) <=
					 served_share(own, r->size);
		else if (priority_of(w) < priority_of(r))
			ahead++;
		else if (priority_of(w) == priority_of(r))
			ahead += count_before(flow_of(w), own) /
				 flow_of(w)->waiting;
	}
	return ahead;
}

/* Sets the expected times, by the route's answers if there were some. */
static void set_times(const struct admission *a, struct admission_request *r)
{
	uint64_t key = times_key(r);
	const struct admission_times *t = g_hash_table_lookup(a->times, &key);
	bool known = t && t->samples >= MIN_SAMPLES;

	r->first_ms = t ? t->first_ms : 0;
	r->work_ms = MAX(t ? t->total_ms : a->mean_ms, 1);
	r->latest = r->deadline;
	if (known)
		r->latest -= MIN((uint64_t)t->total_ms, r->latest);
}

/*
 * Returns the time for which it is worth to wait: until the request can no longer
 * meet its objective, or its deadline if the objective is out of reach already.
 */
static double patience_ms(uint64_t now, const struct admission_request *r)
{
	double to_due = (double)due_of(r) - (double)now - r->first_ms;
	double to_latest = (double)r->latest - (double)now;

	return to_due > 0 ? MIN(to_due, to_latest) : to_latest;
}

/*
 * Returns for how long a request is expected to wait behind `ahead` others. Of the
 * places that become free, more urgent requests that are still to come get theirs
 * first; a flow that has had more than its share gets them at the rate that it had.
 */
static double expected_wait_ms(const struct admission *a, uint64_t now,
			       const struct admission_request *r, double ahead)
{
	const struct admission_flow *f = flow_of(r);
	double more_urgent = served_above(a, priority_of(r));
	double left = 1 - more_urgent / MAX(served_of_all(a), 1);
	double own = 0, ms;

	ms = ahead / (start_rate(a, now) * MAX(left, MIN_RATE_SHARE));
	if (f->virtual_ms <= a->virtual_ms[priority_of(r)])
		return ms;
	for (int s = 0; s < ADMISSION_SIZES; s++)
		own += f->served[s];
	return MAX(ms, f->waiting * SHARE_MS / MAX(own, 1));
}

static uint32_t queue_limit(const struct admission *a, uint64_t now)
{
	return (uint32_t)CLAMP(QUEUE_MS * start_rate(a, now),
			       ADMISSION_MIN_QUEUE, ADMISSION_MAX_QUEUE);
}

/* Returns why a request that has no place is refused at once, or NULL. */
static const char *why_not_wait(const struct admission *a, uint64_t now,
				const struct admission_request *r)
{
	double ahead = count_ahead(a, now, r);

	if (r->latest <= now)
		return "no-time";
	/* The first one of its rank gets the next place, whenever that comes. */
	if (ahead > 0 &&
	    expected_wait_ms(a, now, r, ahead) > patience_ms(now, r))
		return "no-room-in-time";
	return NULL;
}

/*
 * Returns how long the client of a refused request should wait, in ms. Refused
 * clients return spread over the time in which the queue drains, those of less
 * urgent requests later, and all within a third of the time that they have, since
 * they honour no longer one.
 */
uint32_t admission_retry_after(const struct admission *a, uint64_t now,
			       const struct admission_request *r,
			       struct rng *rng)
{
	double later = LATER_PER_PRIORITY *
		       (1 + MIN(priority_of(r), MAX_LATER_PRIORITY));
	double drain = a->waiting->len / start_rate(a, now);
	double most = r->deadline > now ? (double)(r->deadline - now) / 3 : 0;
	double span = CLAMP(drain, MIN_DRAIN_MS, MAX_DRAIN_MS);

	span = MIN(span * (1 + later), most);
	return (uint32_t)MAX(span * (later + (1 - later) * rng_unit(rng)), 1);
}

static void begin_shortage(struct admission *a, uint64_t now)
{
	a->short_until = now;
	if (a->short_since)
		return;
	a->short_since = MAX(now, 1);
	a->refused = 0;
	a->waited = 0;
}

static void count_offer(struct admission *a, uint64_t now,
			struct admission_request *r)
{
	r->account = find_org(a, now, r->org);
	r->waiting = false;
	r->offered_at = now;
	r->size = MIN(r->size, ADMISSION_SIZES - 1);
	decay_counts(a, now);
	decay_org(r->account, now);
	a->offered++;
	a->demand++;
	r->account->offered++;
	flow_of(r)->offered[r->size]++;
	set_times(a, r);
}

/*
 * Decides on a new request: it is sent if there is a place and none goes before
 * it. If it waits and the queue is full, *evicted is the request that is to be
 * refused instead, else NULL. Sets *refusal if it, or *evicted, is refused.
 */
enum admission_verdict admission_offer(struct admission *a, uint64_t now,
				       struct admission_request *r,
				       struct rng *rng,
				       struct admission_refusal *refusal,
				       struct admission_request **evicted)
{
	struct admission_request *worst;
	bool place = has_place(a);

	*evicted = NULL;
	count_offer(a, now, r);
	if (place && !a->waiting->len) {
		count_start(a, r);
		return ADMISSION_SEND;
	}
	begin_shortage(a, now);
	refusal->reason = why_not_wait(a, now, r);
	if (!place && refusal->reason) {
		a->refused++;
		refusal->retry_after_ms = admission_retry_after(a, now, r, rng);
		return ADMISSION_REFUSE;
	}
	add(a, r);
	if (place && first_waiting(a, now) == r) {
		admission_remove(a, r);
		count_start(a, r);
		return ADMISSION_SEND;
	}
	a->waited++;
	if (a->waiting->len <= queue_limit(a, now))
		return ADMISSION_WAIT;
	worst = first_refused(a, now);
	admission_remove(a, worst);
	a->refused++;
	refusal->reason = "queue-full";
	refusal->retry_after_ms = admission_retry_after(a, now, worst, rng);
	if (worst == r)
		return ADMISSION_REFUSE;
	*evicted = worst;
	return ADMISSION_WAIT;
}

/*
 * Returns the waiting request that is to be sent now, or NULL if none waits or
 * there is no place. Call it until it returns NULL.
 */
struct admission_request *admission_on_room(struct admission *a, uint64_t now)
{
	struct admission_request *r;

	if (!a->waiting->len)
		return NULL;
	decay_counts(a, now);
	a->short_until = now;
	if (!has_place(a))
		return NULL;
	r = first_waiting(a, now);
	admission_remove(a, r);
	count_start(a, r);
	return r;
}

/*
 * Returns a waiting request that can no longer be served before its deadline,
 * which is to be refused, or NULL. Call it until it returns NULL.
 */
struct admission_request *admission_take_expired(struct admission *a,
						 uint64_t now)
{
	for (guint i = 0; i < a->waiting->len; i++) {
		struct admission_request *r = a->waiting->pdata[i];

		if (r->latest > now)
			continue;
		admission_remove(a, r);
		a->refused++;
		return r;
	}
	return NULL;
}

/* Stores the room at the service's servers, as this node sees it now. */
void admission_set_room(struct admission *a, struct pick_service_room room)
{
	a->room = room;
}

static gboolean is_idle(gpointer key, gpointer value, gpointer now)
{
	struct admission_org *o = value;

	(void)key;
	decay_org(o, *(uint64_t *)now);
	return !o->waiting && o->offered < 0.01;
}

/*
 * Allows this node its part of the room, at least one place, until the next call.
 * Call it after the loads of the other nodes were applied.
 */
void admission_refresh(struct admission *a, uint64_t now)
{
	double places = places_free(a);

	decay_counts(a, now);
	a->allowance = MIN(a->allowance, 1);
	if (places >= 1)
		a->allowance += places * admission_part(a);
	a->caution = MIN(a->caution * CAUTION_STEP, 1);
	if (g_hash_table_size(a->orgs) > IDLE_ORGS)
		g_hash_table_foreach_remove(a->orgs, is_idle, &now);
}

/* Counts an attempt of this node, also one that was not offered. */
void admission_on_start(struct admission *a)
{
	a->in_flight++;
}

/*
 * Counts the end of an attempt. Its place is this node's to fill again, unless the
 * server refused the request for want of room.
 */
void admission_on_end(struct admission *a, bool refused)
{
	a->in_flight -= a->in_flight > 0;
	if (refused)
		a->caution = MAX(a->caution / 2, MIN_CAUTION);
	else
		a->allowance++;
}

static void add_sample(double *mean, double ms, double weight)
{
	*mean += weight * (ms - *mean);
}

/* Learns the times of an answered request, from its send. */
void admission_on_answer(struct admission *a, const struct admission_request *r,
			 double first_ms, double total_ms)
{
	uint64_t key = times_key(r);
	struct admission_times *t = g_hash_table_lookup(a->times, &key);
	double weight;

	if (!t) {
		t = g_new0(struct admission_times, 1);
		insert(a->times, key, t);
	}
	t->samples++;
	weight = MAX(1.0 / t->samples, TIMES_WEIGHT);
	add_sample(&t->first_ms, first_ms, weight);
	add_sample(&t->total_ms, total_ms, weight);
	add_sample(&a->mean_ms, total_ms, a->mean_ms > 0 ? TIMES_WEIGHT : 1);
}

/* Returns whether a shortage has just ended, and forgets it then. */
bool admission_is_over(struct admission *a, uint64_t now)
{
	if (!a->short_since || a->waiting->len ||
	    now - a->short_until < SHORTAGE_END_MS)
		return false;
	a->short_since = 0;
	return true;
}
