#include <string.h>

#include "backend/table-task.h"
#include "api/plain.h"

#define MAX_CALLS 2
#define MAX_ATTEMPTS 4

/*
 * An idempotent request to a plain service. If no answer comes within the
 * hedge time, a second server is asked as well, and the first whole answer
 * counts: a connection that has gone silent then costs little time.
 */
struct plain_idempotent {
	struct plain_request *plain;
	struct backend_call *calls[MAX_CALLS];
	cfg_handle last;
	uint32_t attempts;
	enum verdict_kind verdict;
	uv_timer_t hedge;
	bool answered;
	bool closing;
};

static void free_read(uv_handle_t *timer)
{
	struct plain_idempotent *r = timer->data;

	plain_free(r->plain);
	g_free(r);
}

static bool any_out(const struct plain_idempotent *r)
{
	for (int i = 0; i < MAX_CALLS; i++)
		if (r->calls[i])
			return true;
	return false;
}

/* Lets go once the answer is given and the last call has ended. */
static void close_if_over(struct plain_idempotent *r)
{
	if (!r->answered || any_out(r) || r->closing)
		return;
	r->closing = true;
	uv_close((uv_handle_t *)&r->hedge, free_read);
}

static void cancel_rest(struct plain_idempotent *r)
{
	uv_timer_stop(&r->hedge);
	for (int i = 0; i < MAX_CALLS; i++)
		if (r->calls[i])
			backend_call_cancel(r->calls[i]);
}

static void refuse(struct plain_idempotent *r, const char *reason)
{
	int status = r->verdict == VERDICT_NOT_RUN ? 503 : 502;

	r->answered = true;
	if (!strcmp(reason, "deadline"))
		status = 504;
	plain_record_usage(r->plain, r->verdict);
	plain_refuse(r->plain, status, r->verdict, reason,
		     "no backend server gave an answer", 1);
}

static bool ask(struct plain_idempotent *r, const char **reason);

static void answer(struct plain_idempotent *r,
		   const struct backend_call_answer *a)
{
	r->answered = true;
	plain_record_usage(r->plain, VERDICT_RAN);
	plain_reply(r->plain, a->status, a->type, a->body->str, a->body->len,
		    a->server);
	cancel_rest(r);
}

static void note_failure(struct plain_idempotent *r, enum backend_call_end end)
{
	struct node *n = r->plain->api.node;
	const char *reason = "no-answer";

	if (end == BACKEND_CALL_NO_ANSWER)
		r->verdict = VERDICT_MAY_HAVE_RUN;
	if (any_out(r))
		return;
	if (r->attempts < MAX_ATTEMPTS &&
	    limit_take_retry(&n->limits, node_now(n))) {
		counter_add(&n->counter_set, COUNTER_RETRIES, 1);
		if (ask(r, &reason))
			return;
	}
	refuse(r, reason);
}

static void on_answer(void *user, struct backend_call *call,
		      enum backend_call_end end,
		      const struct backend_call_answer *a)
{
	struct plain_idempotent *r = ((struct plain_request *)user)->api.task;

	for (int i = 0; i < MAX_CALLS; i++)
		if (r->calls[i] == call)
			r->calls[i] = NULL;
	if (!r->answered && end == BACKEND_CALL_ANSWERED)
		answer(r, a);
	else if (!r->answered)
		note_failure(r, end);
	close_if_over(r);
}

/* Sends the request to one more server; false if there is none. */
static bool ask(struct plain_idempotent *r, const char **reason)
{
	cfg_handle server = plain_pick_server(r->plain, r->last, reason);
	int slot = r->calls[0] ? 1 : 0;

	if (server == CFG_NONE || r->calls[slot])
		return false;
	r->last = server;
	r->calls[slot] = plain_call_server(r->plain, server, NULL,
					   r->attempts > 0, on_answer);
	r->attempts++;
	return true;
}

static void on_hedge(uv_timer_t *timer)
{
	struct plain_idempotent *r = timer->data;
	struct node *n = r->plain->api.node;
	const char *reason;

	if (r->answered || !any_out(r) ||
	    !limit_take_retry(&n->limits, node_now(n)))
		return;
	if (ask(r, &reason))
		counter_add(&n->counter_set, COUNTER_HEDGES, 1);
}

static void on_gone(void *user)
{
	struct plain_request *p = user;

	p->api.http_request = NULL;
}

/* Serves an idempotent request; it ends by itself. */
void plain_idempotent_start(struct plain_request *p)
{
	struct plain_idempotent *r = g_new0(struct plain_idempotent, 1);
	struct node *n = p->api.node;
	const char *reason;

	r->plain = p;
	r->last = CFG_NONE;
	p->api.task = r;
	uv_timer_init(n->loop, &r->hedge);
	r->hedge.data = r;
	http_server_on_disconnect(p->api.http_request, on_gone, p);
	if (ask(r, &reason))
		uv_timer_start(&r->hedge, on_hedge,
			       (uint64_t)n->settings->hedge_ms, 0);
	else
		refuse(r, reason);
	close_if_over(r);
}
