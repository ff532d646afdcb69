#include "relay/probe-task.h"

#include <glib.h>

#include "http/connect-test.h"
#include "log-event.h"

#define CONNECT_TIMEOUT_MS 250
#define MAX_PROBES 16 /* at the same time */

struct probe_task {
	uv_loop_t *loop;
	struct server_table *servers;
	uint32_t open_probes;
	guint next; /* index of the server where the next search begins */
	guint next_doubt; /* the same, of servers to doubt */
	struct reach_doubts doubts;
};

struct probe {
	struct probe_task *task;
	uint64_t server; /* hash of its id */
};

/* Allocates the task, which is never freed. */
struct probe_task *probe_task_new(uv_loop_t *loop, struct server_table *servers)
{
	struct probe_task *t = g_new0(struct probe_task, 1);

	t->loop = loop;
	t->servers = servers;
	return t;
}

static void log_reach(const struct server_record *s, bool reached)
{
	log_event(LOG_EVENT_SERVER_REACH,
		  "server=%s service=%s address=%s reached=%d", s->id,
		  s->service, s->address, reached);
}

/* Handles an answer of the server, or a connection to it. */
void probe_task_on_contact(struct server_record *s, uint64_t now)
{
	if (reach_is_lost(&s->reach))
		log_reach(s, true);
	reach_on_contact(&s->reach, now);
	cold_on_contact(&s->cold, now);
}

static void start_due_probes(struct probe_task *t, uint64_t now);

static void on_probed(void *user, enum connect_test_result result)
{
	struct probe *p = user;
	struct probe_task *t = p->task;
	struct server_record *s = server_find_by_hash(t->servers, p->server);
	uint64_t now = uv_now(t->loop);

	g_free(p);
	t->open_probes--;
	if (!s)
		return;
	s->reach.probing = false;
	if (result != CONNECT_TEST_CONNECTED) {
		probe_task_on_failure(t, s, now);
		return;
	}
	probe_task_on_contact(s, now);
	start_due_probes(t, now);
}

static void start_probe(struct probe_task *t, struct server_record *s)
{
	const struct connect_test_times times = {0, CONNECT_TIMEOUT_MS};
	struct probe *p = g_new0(struct probe, 1);

	p->task = t;
	p->server = s->hash;
	if (!connect_test_start(t->loop, s->address, times, on_probed, p)) {
		g_free(p);
		return;
	}
	t->open_probes++;
	s->reach.probing = true;
}

/* Starts the probes that are due, at most MAX_PROBES at the same time. */
static void start_due_probes(struct probe_task *t, uint64_t now)
{
	const GPtrArray *all = t->servers->all;

	for (guint n = 0; n < all->len && t->open_probes < MAX_PROBES; n++) {
		struct server_record *s;

		t->next = (t->next + 1) % all->len;
		s = all->pdata[t->next];
		if (s->state == SERVER_READY &&
		    reach_needs_probe(&s->reach, now))
			start_probe(t, s);
	}
}

/* Starts due probes; call it each tick. */
void probe_task_tick(struct probe_task *t, uint64_t now)
{
	start_due_probes(t, now);
}

static void doubt_others(struct probe_task *t, uint64_t now,
			 struct reach_doubt doubt)
{
	const GPtrArray *all = t->servers->all;

	for (guint n = 0; n < all->len; n++) {
		struct server_record *s;

		t->next_doubt = (t->next_doubt + 1) % all->len;
		s = all->pdata[t->next_doubt];
		if (reach_is_known(&s->reach, now)) {
			if (doubt.known)
				reach_on_doubt(&s->reach, now);
		} else if (doubt.unknown) {
			reach_on_doubt(&s->reach, now);
			doubt.unknown--;
		}
	}
}

/*
 * Handles a connection to the server that could not be made. What made it fail
 * may hide other servers, so these are in doubt as well.
 */
void probe_task_on_failure(struct probe_task *t, struct server_record *s,
			   uint64_t now)
{
	bool was_lost = reach_is_lost(&s->reach);

	reach_on_failure(&s->reach, now);
	cold_on_doubt(&s->cold);
	if (!was_lost)
		log_reach(s, false);
	doubt_others(t, now,
		     reach_doubts_on_failure(&t->doubts, now, was_lost));
	start_due_probes(t, now);
}

/* Handles a request that got no answer: finds out whether the server is reached. */
void probe_task_on_doubt(struct probe_task *t, struct server_record *s,
			 uint64_t now)
{
	reach_on_doubt(&s->reach, now);
	start_due_probes(t, now);
}
