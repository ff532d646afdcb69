#include <string.h>

#include "api/plain.h"
#include "backend/table-task.h"

#define MAX_PARALLEL_CALLS 2
#define RETRY_AFTER_S 1
#define MAX_ATTEMPTS 4 /* with hedged ones */

/*
 * Serves one idempotent request to a plain service. If no answer arrives within
 * hedge_ms, the request is sent to a second server as well and the first
 * complete answer is used. This bounds the delay that a connection without
 * progress causes.
 */
struct plain_idempotent {
	struct plain_request *request;
	struct backend_call *calls[MAX_PARALLEL_CALLS];
	cfg_handle last_server; /* tried last, or CFG_NONE */
	uint32_t attempts;
	enum verdict_kind verdict; /* of the attempts that have failed */
	uv_timer_t hedge_timer;
	bool replied; /* the client has its reply */
	bool closing;
};

static void free_task(uv_handle_t *timer)
{
	struct plain_idempotent *r = timer->data;

	plain_free(r->request);
	g_free(r);
}

static bool has_open_calls(const struct plain_idempotent *r)
{
	for (int i = 0; i < MAX_PARALLEL_CALLS; i++)
		if (r->calls[i])
			return true;
	return false;
}

/* Closes the task once the client has its reply and all calls have ended. */
static void close_if_done(struct plain_idempotent *r)
{
	if (!r->replied || has_open_calls(r) || r->closing)
		return;
	r->closing = true;
	uv_close((uv_handle_t *)&r->hedge_timer, free_task);
}

static void cancel_open_calls(struct plain_idempotent *r)
{
	uv_timer_stop(&r->hedge_timer);
	for (int i = 0; i < MAX_PARALLEL_CALLS; i++)
		if (r->calls[i])
			backend_call_cancel(r->calls[i]);
}

static void refuse(struct plain_idempotent *r, const char *reason)
{
	int status = r->verdict == VERDICT_NOT_RUN ? 503 : 502;

	r->replied = true;
	if (!strcmp(reason, "deadline"))
		status = 504;
	plain_record_usage(r->request, r->verdict);
	plain_refuse(r->request, status, r->verdict, reason,
		     "no backend server answered", RETRY_AFTER_S);
}

static bool start_call(struct plain_idempotent *r, const char **reason);

static void handle_answer(struct plain_idempotent *r,
			  const struct backend_call_answer *a)
{
	r->replied = true;
	plain_record_usage(r->request, VERDICT_RAN);
	plain_reply(r->request, a->status, a->type, a->body->str, a->body->len,
		    a->server);
	cancel_open_calls(r);
}

static void handle_failure(struct plain_idempotent *r,
			   enum backend_call_end end)
{
	struct node *n = r->request->api.node;
	const char *reason = "no-answer";

	if (end == BACKEND_CALL_NO_ANSWER)
		r->verdict = VERDICT_MAY_HAVE_RUN;
	if (has_open_calls(r))
		return;
	if (r->attempts < MAX_ATTEMPTS &&
	    limit_take_retry(&n->limits, node_now(n))) {
		counter_add(&n->counter_set, COUNTER_RETRIES, 1);
		if (start_call(r, &reason))
			return;
	}
	refuse(r, reason);
}

static void on_call_done(void *user, struct backend_call *call,
			 enum backend_call_end end,
			 const struct backend_call_answer *a)
{
	struct plain_idempotent *r = ((struct plain_request *)user)->api.task;

	for (int i = 0; i < MAX_PARALLEL_CALLS; i++)
		if (r->calls[i] == call)
			r->calls[i] = NULL;
	if (!r->replied && end == BACKEND_CALL_ANSWERED)
		handle_answer(r, a);
	else if (!r->replied)
		handle_failure(r, end);
	close_if_done(r);
}

/*
 * Sends the request to one more server. Returns false and sets the reason if
 * none can be used, and false if all call slots are in use.
 */
static bool start_call(struct plain_idempotent *r, const char **reason)
{
	cfg_handle server =
		plain_pick_server(r->request, r->last_server, reason);
	int slot = r->calls[0] ? 1 : 0;

	if (server == CFG_NONE || r->calls[slot])
		return false;
	r->last_server = server;
	r->calls[slot] = plain_call_server(r->request, server, NULL,
					   r->attempts > 0, on_call_done);
	r->attempts++;
	return true;
}

static void on_hedge(uv_timer_t *timer)
{
	struct plain_idempotent *r = timer->data;
	struct node *n = r->request->api.node;
	const char *reason;

	if (r->replied || !has_open_calls(r) ||
	    !limit_take_retry(&n->limits, node_now(n)))
		return;
	if (start_call(r, &reason))
		counter_add(&n->counter_set, COUNTER_HEDGES, 1);
}

static void on_client_disconnect(void *user)
{
	struct plain_request *p = user;

	p->api.http_request = NULL;
}

/*
 * Serves an idempotent request and takes over `p`, which is freed when all
 * calls have ended.
 */
void plain_idempotent_start(struct plain_request *p)
{
	struct plain_idempotent *r = g_new0(struct plain_idempotent, 1);
	struct node *n = p->api.node;
	const char *reason;

	r->request = p;
	r->last_server = CFG_NONE;
	p->api.task = r;
	uv_timer_init(n->loop, &r->hedge_timer);
	r->hedge_timer.data = r;
	http_server_on_disconnect(p->api.http_request, on_client_disconnect, p);
	if (start_call(r, &reason))
		uv_timer_start(&r->hedge_timer, on_hedge,
			       (uint64_t)n->settings->hedge_ms, 0);
	else
		refuse(r, reason);
	close_if_done(r);
}
