#include "crash/crash-check-task.h"

#include <glib.h>

#include "http/connect-test.h"

#define CONNECT_TIMEOUT_MS 250
#define MAX_CHECKS 64 /* at the same time */

struct crash_checks {
	uv_loop_t *loop;
	struct crash_keys *keys;
	const struct server_table *servers;
	GPtrArray *checks; /* struct crash_check, in progress */
};

/*
 * A connection to a server that broke off an answer, which shows whether it has
 * crashed. Nothing is sent on it.
 */
struct crash_check {
	struct crash_checks *task;
	uint64_t server; /* hash of its id */
	GArray *observations; /* struct crash_observation, valid if it has crashed */
};

/* A node that reaches no server cannot tell whether one has crashed. */
static void on_tested(void *user, enum connect_test_result result)
{
	struct crash_check *k = user;
	bool crashed = result == CONNECT_TEST_FAILED &&
		       !server_table_is_cut_off(k->task->servers,
						uv_now(k->task->loop));

	for (guint i = 0; crashed && i < k->observations->len; i++)
		crash_keys_add(k->task->keys,
			       &g_array_index(k->observations,
					      struct crash_observation, i),
			       true);
	g_ptr_array_remove_fast(k->task->checks, k);
	g_array_unref(k->observations);
	g_free(k);
}

static struct crash_check *find_check(const struct crash_checks *t,
				      uint64_t server)
{
	for (guint i = 0; i < t->checks->len; i++) {
		struct crash_check *k = t->checks->pdata[i];

		if (k->server == server)
			return k;
	}
	return NULL;
}

/* Starts to connect. Returns NULL if the address is invalid. */
static struct crash_check *connect_to(struct crash_checks *t,
				      const struct crash_suspicion *s)
{
	struct crash_check *k = g_new0(struct crash_check, 1);

	const struct connect_test_times times = {0, CONNECT_TIMEOUT_MS};

	if (!connect_test_start(t->loop, s->address, times, on_tested, k)) {
		g_free(k);
		return NULL;
	}
	k->task = t;
	k->server = s->server;
	k->observations =
		g_array_new(FALSE, FALSE, sizeof(struct crash_observation));
	g_ptr_array_add(t->checks, k);
	return k;
}

/*
 * Allocates the task, which adds observations of crashes to `keys` and is never
 * freed.
 */
struct crash_checks *crash_checks_new(uv_loop_t *loop, struct crash_keys *keys,
				      const struct server_table *servers)
{
	struct crash_checks *t = g_new0(struct crash_checks, 1);

	t->loop = loop;
	t->keys = keys;
	t->servers = servers;
	t->checks = g_ptr_array_new();
	return t;
}

/*
 * Handles an answer that broke off early: finds out whether the server has
 * crashed, and if so, adds an observation of each of the request's keys that is
 * not known to be answered.
 */
void crash_checks_start(struct crash_checks *t, uint64_t now,
			const struct crash_suspicion *s)
{
	struct crash_check *k = find_check(t, s->server);

	if (!k && t->checks->len < MAX_CHECKS)
		k = connect_to(t, s);
	if (!k)
		return;
	for (uint32_t i = 0; i < s->n_keys; i++) {
		const struct crash_observation observation = {
			.key = s->keys[i],
			.server = s->server,
			.request = s->request,
			.depth =
				i + 1 < s->n_keys ? i : CRASH_KEY_REQUEST_DEPTH,
			.at = now,
		};

		if (!crash_keys_answered_at(t->keys, now, s->keys[i]))
			g_array_append_val(k->observations, observation);
	}
}
