#include "exchange/admission-task.h"

#include <string.h>
#include <xxhash.h>

#include "log-event.h"

/* How often it is looked up whether a service's servers share machines. */
#define CHECK_MS 100
#define MIN_RETRY_AFTER_MS 10 /* the header field has two decimals */
/* 2^64 over the golden ratio: spreads the indexes of models over all bits. */
#define MODEL_HASH_FACTOR 0x9e3779b97f4a7c15ULL

/* The queue of a service. It is kept until the process ends. */
struct admission_service {
	struct gateway_state *g;
	char *name;
	struct admission queue;
	bool shares_machines;
	uint64_t checked_at; /* 0: never */
	bool starting; /* waiting requests are being started */
	bool reported; /* the shortage, if there is one */
};

static struct admission_service *service_of(struct gateway_state *g,
					    const char *name)
{
	struct admission_service *s;

	if (!g->admission)
		g->admission = g_hash_table_new(g_str_hash, g_str_equal);
	s = g_hash_table_lookup(g->admission, name);
	if (s)
		return s;
	s = g_new0(struct admission_service, 1);
	s->g = g;
	s->name = g_strdup(name);
	admission_init(&s->queue);
	g_hash_table_insert(g->admission, s->name, s);
	return s;
}

/* Returns whether requests for the service are admitted by its room. */
static bool applies(struct admission_service *s, uint64_t now)
{
	if (!s->checked_at || now - s->checked_at >= CHECK_MS) {
		s->checked_at = now;
		s->shares_machines =
			service_shares_machines(&s->g->servers, s->name);
	}
	return s->shares_machines;
}

static void update_room(struct admission_service *s, uint64_t now)
{
	admission_set_room(&s->queue, pick_room(&s->g->servers, now, s->name));
}

/* The times of an answer differ by route, and by model if there are several. */
static uint64_t times_key(const struct exchange_request *x)
{
	return XXH3_64bits(x->route->name, strlen(x->route->name)) ^
	       (x->model ? (x->model_index + 1) * MODEL_HASH_FACTOR : 0);
}

static void set_request(struct exchange_request *x)
{
	struct admission_request *r = &x->admission;
	size_t len = 0;

	http_server_body(x->req, &len);
	r->priority = x->urgency;
	r->org = x->org ? XXH3_64bits(x->org, strlen(x->org)) : 0;
	r->route = times_key(x);
	r->size = admission_size(x->prompt.input_tokens, len);
	r->objective_ms = x->route->objective_ms;
	r->started_at = x->started_at;
	r->deadline = x->deadline;
}

static struct exchange_request *owner_of(struct admission_request *r)
{
	return (struct exchange_request *)((char *)r -
					   offsetof(struct exchange_request,
						    admission));
}

static void refuse(struct admission_service *s, struct admission_request *r,
		   const char *reason, uint32_t retry_after_ms)
{
	struct exchange_request *x = owner_of(r);
	uint64_t now = gateway_now(s->g);

	retry_after_ms = MAX(retry_after_ms, MIN_RETRY_AFTER_MS);
	log_event(LOG_EVENT_ADMISSION_REFUSED,
		  "request=%s service=%s org=%s priority=%u size=%u reason=%s "
		  "waited_ms=%" G_GUINT64_FORMAT " left_ms=%" G_GUINT64_FORMAT
		  " expected_ms=%.0f waiting=%u retry_after_ms=%u",
		  x->id, s->name, x->org ? x->org : "-", r->priority, r->size,
		  reason, now - r->offered_at,
		  x->deadline > now ? x->deadline - now : 0, r->work_ms,
		  s->queue.waiting->len, retry_after_ms);
	counter_add(&s->g->counter_set, COUNTER_ADMISSION_REFUSED, 1);
	exchange_refuse_unsent(x, reason, retry_after_ms);
}

static void report_shortage(struct admission_service *s)
{
	const struct pick_service_room *m = &s->queue.room;

	if (s->reported || !s->queue.short_since)
		return;
	s->reported = true;
	log_event(LOG_EVENT_SHORTAGE,
		  "service=%s running=%u waiting=%u slots=%u in_flight=%u "
		  "part=%.3f",
		  s->name, m->running, m->waiting, m->slots, s->queue.in_flight,
		  admission_part(&s->queue));
}

static void report_end(struct admission_service *s, uint64_t began_at,
		       uint64_t now)
{
	s->reported = false;
	log_event(LOG_EVENT_SHORTAGE_OVER,
		  "service=%s ms=%" G_GUINT64_FORMAT
		  " waited=%" G_GUINT64_FORMAT " refused=%" G_GUINT64_FORMAT,
		  s->name, now - began_at, s->queue.waited, s->queue.refused);
}

static void start(struct admission_service *s, struct admission_request *r,
		  uint64_t now)
{
	struct exchange_request *x = owner_of(r);

	log_event(
		LOG_EVENT_ADMITTED,
		"request=%s service=%s priority=%u waited_ms=%" G_GUINT64_FORMAT
		" waiting=%u",
		x->id, s->name, r->priority, now - r->offered_at,
		s->queue.waiting->len);
	exchange_start_admitted(x);
}

/*
 * Starts the waiting requests that have a place now. Call it after the ends of
 * attempts, once their own next attempts have begun, and when the loads of
 * servers are updated. s may be NULL.
 */
void admission_task_on_room(struct admission_service *s)
{
	struct admission_request *r;
	uint64_t now;

	/* Starting a request can end it, which leads here again. */
	if (!s || !s->queue.waiting->len || s->starting)
		return;
	/* After a pause, keys and evacuations may have changed meanwhile. */
	gateway_check_pause(s->g);
	if (gateway_is_confirming(s->g))
		return;
	s->starting = true;
	now = gateway_now(s->g);
	update_room(s, now);
	while ((r = admission_on_room(&s->queue, now))) {
		start(s, r, now);
		update_room(s, now);
	}
	s->starting = false;
}

/*
 * Decides whether a new request is sent now. Returns false if so; else it waits,
 * or has been refused and freed. What another node has passed on was admitted
 * there.
 */
bool admission_task_hold(struct exchange_request *x)
{
	struct gateway_state *g = x->g;
	uint64_t now = gateway_now(g);
	struct admission_service *s = service_of(g, x->service);
	struct admission_refusal why = {NULL, 0};
	struct admission_request *evicted;
	enum admission_verdict verdict;

	if (!applies(s, now))
		return false;
	x->admission_service = s;
	set_request(x);
	if (x->relayed)
		return false;
	admission_task_on_room(s);
	update_room(s, now);
	verdict = admission_offer(&s->queue, now, &x->admission, &g->rng, &why,
				  &evicted);
	report_shortage(s);
	if (evicted)
		refuse(s, evicted, why.reason, why.retry_after_ms);
	switch (verdict) {
	case ADMISSION_SEND:
		return false;
	case ADMISSION_WAIT:
		counter_add(&g->counter_set, COUNTER_ADMISSION_WAITED, 1);
		return true;
	case ADMISSION_REFUSE:
		refuse(s, &x->admission, why.reason, why.retry_after_ms);
		return true;
	}
	return false;
}

/* Takes a request out of its queue because its client has left. */
void admission_task_leave(struct exchange_request *x)
{
	admission_remove(&x->admission_service->queue, &x->admission);
}

/* Counts an attempt at a server, also that of a request which did not wait. */
void admission_task_on_start(struct exchange_request *x)
{
	if (!x->admission_service)
		return;
	x->admission_counted = true;
	admission_on_start(&x->admission_service->queue);
}

/*
 * Counts the end of the attempt; refused if the server did not run the request.
 * Returns the queue for admission_task_on_room(), or NULL.
 */
struct admission_service *admission_task_on_end(struct exchange_request *x,
						bool refused)
{
	struct admission_service *s = x->admission_service;
	uint64_t now = gateway_now(x->g);
	double first_ms = x->head_ms;

	if (!x->admission_counted)
		return s;
	x->admission_counted = false;
	admission_on_end(&s->queue, refused);
	if (x->answer.result != RETRY_RESULT_COMPLETE ||
	    x->answer.status >= 400)
		return s;
	if (x->attempt_events)
		first_ms = (double)(x->first_event_at - x->attempt_at);
	x->admission.route = times_key(x);
	admission_on_answer(&s->queue, &x->admission, first_ms,
			    (double)(now - x->attempt_at));
	return s;
}

/* Refuses all waiting requests: the node stops. */
static void refuse_all(struct admission_service *s)
{
	while (s->queue.waiting->len) {
		struct admission_request *r = s->queue.waiting->pdata[0];

		admission_remove(&s->queue, r);
		refuse(s, r, "draining", EXCHANGE_DRAINING_RETRY_AFTER_MS);
	}
}

static void tick_service(struct admission_service *s, uint64_t now)
{
	uint64_t short_since = s->queue.short_since;
	struct admission_request *r;

	if (s->g->draining)
		refuse_all(s);
	update_room(s, now);
	admission_refresh(&s->queue, now);
	while ((r = admission_take_expired(&s->queue, now)))
		refuse(s, r, "no-room-in-time",
		       admission_retry_after(&s->queue, now, r, &s->g->rng));
	admission_task_on_room(s);
	if (admission_is_over(&s->queue, now))
		report_end(s, short_since, now);
}

/* Updates the queues, once the loads of the other nodes have been applied. */
void admission_task_tick(struct gateway_state *g, uint64_t now)
{
	GHashTableIter it;
	void *value;

	if (!g->admission)
		return;
	g_hash_table_iter_init(&it, g->admission);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct admission_service *s = value;

		if (applies(s, now) || s->queue.waiting->len)
			tick_service(s, now);
	}
}
