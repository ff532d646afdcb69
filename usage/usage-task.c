#include "usage/usage-task.h"

#include <string.h>

#include "daemon/node.h"
#include "log-event.h"

#define TICK_INTERVAL_MS 20

struct usage_writer {
	struct node *node;
	struct usage_journal journal;
	uv_timer_t timer;
	GQueue waiters; /* struct waiter, in the order of their records */
	bool flush_now; /* write without waiting for the flush interval */
	bool stopped;
};

/* A callback that waits for a record to become durable. */
struct waiter {
	uint64_t record; /* number of the record, from 1 */
	usage_task_callback done;
	void *user;
};

static enum usage_write_result to_write_result(enum store_outcome outcome)
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
 * Calls the callbacks whose records are durable. After a failed write all are
 * called: answers then continue while the store is unreachable, and their
 * records are lost only if this node is killed.
 */
static void call_waiters(struct usage_writer *t)
{
	struct waiter *w;

	while ((w = g_queue_peek_head(&t->waiters)) != NULL) {
		if (w->record > t->journal.written && !t->journal.failures)
			return;
		g_queue_pop_head(&t->waiters);
		w->done(w->user);
		g_free(w);
	}
}

static void on_written(void *user, const struct store_result *r)
{
	struct usage_writer *t = user;
	uint64_t before = t->journal.written;

	usage_on_write_result(&t->journal, node_now(t->node),
			      to_write_result(r->outcome));
	counter_add(&t->node->counter_set, COUNTER_USAGE_WRITTEN,
		    t->journal.written - before);
	if (t->journal.failures == 1)
		log_event(LOG_EVENT_USAGE_WAITING, "records=%" G_GUINT64_FORMAT,
			  t->journal.added - t->journal.written);
	call_waiters(t);
}

static void write_batch(struct usage_writer *t)
{
	g_autofree char *name = NULL;
	const char *batch = usage_next_batch(&t->journal, node_now(t->node),
					     t->flush_now, &name);

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

/* Starts the journal of this run; its writes are driven by a timer. */
struct usage_writer *usage_task_start(struct node *n)
{
	struct usage_writer *t = g_new0(struct usage_writer, 1);

	t->node = n;
	usage_init(&t->journal, n->settings->node, n->boot,
		   (uint64_t)n->settings->usage_flush_ms);
	uv_timer_init(n->loop, &t->timer);
	t->timer.data = t;
	uv_timer_start(&t->timer, on_tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS);
	return t;
}

/*
 * Adds the record of one request. `done`, if not NULL, is called from the loop
 * once the record is durable, or after the next failed write.
 */
void usage_task_add(struct usage_writer *t, const struct usage_record *record,
		    usage_task_callback done, void *user)
{
	struct waiter *w;

	usage_add(&t->journal, record);
	counter_add(&t->node->counter_set, COUNTER_USAGE_TAKEN, 1);
	if (done) {
		w = g_new0(struct waiter, 1);
		w->record = t->journal.added;
		w->done = done;
		w->user = user;
		g_queue_push_tail(&t->waiters, w);
	}
	write_batch(t);
}

/* Returns whether the limit of records not stored yet is reached. */
bool usage_task_is_full(const struct usage_writer *t)
{
	return usage_is_full(&t->journal);
}

/* Returns whether all records are durable. */
bool usage_task_is_empty(const struct usage_writer *t)
{
	return usage_is_empty(&t->journal);
}

/* From now on writes records without waiting for the flush interval. */
void usage_task_flush_now(struct usage_writer *t)
{
	t->flush_now = true;
}

/* Stops the timer; records that are not durable by then are lost. */
void usage_task_stop(struct usage_writer *t)
{
	if (t->stopped)
		return;
	t->stopped = true;
	uv_close((uv_handle_t *)&t->timer, NULL);
}
