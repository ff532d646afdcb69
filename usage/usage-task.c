#include "usage/usage-task.h"

#include <string.h>

#include "daemon/node.h"
#include "log-event.h"

#define TICK_MS 20

struct usage_writer {
	struct node *node;
	struct usage_journal usage;
	uv_timer_t timer;
	GQueue waiters; /* struct waiter, in the order of their records */
	bool hurry;
	bool stopped;
};

/* Somebody who waits for a record to become durable. */
struct waiter {
	uint64_t record; /* count of records taken, this one included */
	usage_task_callback done;
	void *user;
};

static enum usage_write_result event_of(enum store_outcome outcome)
{
	switch (outcome) {
	case STORE_OK:
		return USAGE_WRITE_OK;
	case STORE_CONFLICT:
		return USAGE_WRITE_CONFLICT;
	default:
		return USAGE_WRITE_FAILED;
	}
}

/*
 * Calls those whose records are durable. While the store is out of reach all
 * are called: answers then go on, and only a kill of this node could lose
 * their records.
 */
static void call_waiters(struct usage_writer *t)
{
	struct waiter *w;

	while ((w = g_queue_peek_head(&t->waiters)) != NULL) {
		if (w->record > t->usage.written && !t->usage.failures)
			return;
		g_queue_pop_head(&t->waiters);
		w->done(w->user);
		g_free(w);
	}
}

static void on_written(void *user, const struct store_result *r)
{
	struct usage_writer *t = user;
	uint64_t before = t->usage.written;

	usage_on_write_result(&t->usage, node_now(t->node),
			      event_of(r->outcome));
	counter_add(&t->node->counter_set, COUNTER_USAGE_WRITTEN,
		    t->usage.written - before);
	if (t->usage.failures == 1)
		log_event(LOG_EVENT_USAGE_WAITING, "records=%" G_GUINT64_FORMAT,
			  t->usage.taken - t->usage.written);
	call_waiters(t);
}

static void write_batch(struct usage_writer *t)
{
	g_autofree char *name = NULL;
	const char *batch =
		usage_next_batch(&t->usage, node_now(t->node), t->hurry, &name);

	if (batch)
		store_put(t->node->store, name, batch, strlen(batch),
			  STORE_IF_ABSENT, 0, on_written, t);
}

static void on_tick(uv_timer_t *timer)
{
	struct usage_writer *t = timer->data;

	write_batch(t);
	call_waiters(t);
}

/* Starts the journal of this run. */
struct usage_writer *usage_task_start(struct node *n)
{
	struct usage_writer *t = g_new0(struct usage_writer, 1);

	t->node = n;
	usage_init(&t->usage, n->settings->node, n->boot,
		   (uint64_t)n->settings->usage_flush_ms);
	uv_timer_init(n->loop, &t->timer);
	t->timer.data = t;
	uv_timer_start(&t->timer, on_tick, TICK_MS, TICK_MS);
	return t;
}

/*
 * Takes the record of one request. `done`, if given, is called from the loop
 * once the record is durable, or at the next failure of the store.
 */
void usage_task_add(struct usage_writer *t, const struct usage_record *record,
		    usage_task_callback done, void *user)
{
	struct waiter *w;

	usage_add(&t->usage, record);
	counter_add(&t->node->counter_set, COUNTER_USAGE_TAKEN, 1);
	if (done) {
		w = g_new0(struct waiter, 1);
		w->record = t->usage.taken;
		w->done = done;
		w->user = user;
		g_queue_push_tail(&t->waiters, w);
	}
	write_batch(t);
}

/* Tells whether no more records fit while the store is out of reach. */
bool usage_task_is_full(const struct usage_writer *t)
{
	return usage_is_full(&t->usage);
}

/* Tells whether all records are durable. */
bool usage_task_is_empty(const struct usage_writer *t)
{
	return usage_is_empty(&t->usage);
}

/* Writes without waiting for the flush interval from now on. */
void usage_task_flush_now(struct usage_writer *t)
{
	t->hurry = true;
}

/* Stops the journal; what is not written by then is lost. */
void usage_task_stop(struct usage_writer *t)
{
	if (t->stopped)
		return;
	t->stopped = true;
	uv_close((uv_handle_t *)&t->timer, NULL);
}
