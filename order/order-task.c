#include <string.h>

#include "api/plain.h"
#include "backend/table-task.h"
#include "invariant.h"
#include "log-event.h"
#include "order/order.h"
#include "order/record.h"

#define MAX_SERVERS_TRIED 3 /* per order */
/* Retry-After of refusals, in seconds. */
#define RETRY_AFTER_S 1
#define RETRY_AFTER_STORE_DOWN_S 2

/*
 * Serves one non-idempotent request to a plain service. With an idempotency
 * key it is an order: the claim in the store decides which node sends it.
 * Without a key it is sent once and never repeated.
 */
struct order_task {
	struct plain_request *request;
	struct order_attempt attempt;
	struct order_action pending; /* waiting for its delay, or in flight */
	char *object_name; /* of the record in the store; NULL without a key */
	char *key; /* idempotency key, or NULL */
	struct order_result result; /* as answered, or as recorded */
	char *server; /* address of the one that answered */
	cfg_handle last_server; /* tried last, or CFG_NONE */
	uint32_t servers_tried;
	uv_timer_t delay_timer;
};

static void perform_action(struct order_task *t, const struct order_action *a);

static void free_task(uv_handle_t *timer)
{
	struct order_task *t = timer->data;

	order_result_clear(&t->result);
	g_free(t->object_name);
	g_free(t->key);
	g_free(t->server);
	plain_free(t->request);
	g_free(t);
}

static void end_task(struct order_task *t)
{
	uv_close((uv_handle_t *)&t->delay_timer, free_task);
}

static void handle_event(struct order_task *t, const struct order_event *e)
{
	struct order_action a = order_handle_event(
		&t->attempt, node_now(t->request->api.node), e);

	perform_action(t, &a);
}

static void handle_event_kind(struct order_task *t, enum order_event_kind kind)
{
	struct order_event e = {.kind = kind};

	handle_event(t, &e);
}

/* ---- store ---- */

static void on_store_written(void *user, const struct store_result *r)
{
	struct order_task *t = user;
	struct order_event e = {.etag = r->etag};

	api_trace_span(&t->request->api, "store", t->request->api.span_start_us,
		       "write %d", (int)r->outcome);
	switch (r->outcome) {
	case STORE_OK:
		e.kind = ORDER_EVENT_WRITTEN;
		break;
	case STORE_CONFLICT:
	case STORE_NOT_FOUND:
		e.kind = ORDER_EVENT_CONFLICT;
		break;
	case STORE_NOT_SENT:
		e.kind = ORDER_EVENT_STORE_REFUSED;
		break;
	default:
		e.kind = ORDER_EVENT_STORE_UNKNOWN;
		break;
	}
	handle_event(t, &e);
}

static void on_store_read(void *user, const struct store_result *r)
{
	struct order_task *t = user;
	struct order_event e = {.etag = r->etag};

	switch (r->outcome) {
	case STORE_OK:
		order_result_clear(&t->result);
		e.kind = order_record_parse(r->body, r->len, &e.record,
					    &t->result)
				 ? ORDER_EVENT_FOUND
				 : ORDER_EVENT_STORE_UNKNOWN;
		break;
	case STORE_NOT_FOUND:
		e.kind = ORDER_EVENT_ABSENT;
		break;
	default:
		e.kind = ORDER_EVENT_STORE_UNKNOWN;
		break;
	}
	handle_event(t, &e);
}

static void write_record(struct order_task *t, const struct order_action *a)
{
	const struct order_result *result =
		a->record.state == ORDER_DONE ? &t->result : NULL;
	g_autofree char *text =
		order_record_to_json(&a->record, t->request->api.org, result);

	store_put(t->request->api.node->store, t->object_name, text,
		  strlen(text),
		  a->kind == ORDER_ACTION_CREATE ? STORE_IF_ABSENT
						 : STORE_IF_MATCH,
		  a->etag, on_store_written, t);
}

/* ---- backend server ---- */

static void send_to_next_server(struct order_task *t);

static bool may_try_next_server(const struct order_task *t)
{
	return t->servers_tried < MAX_SERVERS_TRIED &&
	       node_now(t->request->api.node) < t->request->api.deadline;
}

static void handle_answer(struct order_task *t,
			  const struct backend_call_answer *a)
{
	order_result_clear(&t->result);
	t->result.status = a->status;
	t->result.type =
		g_strdup(a->type ? a->type : "application/octet-stream");
	t->result.body = g_memdup2(a->body->str, a->body->len + 1);
	t->result.len = a->body->len;
	g_free(t->server);
	t->server = g_strdup(a->server);
	plain_record_usage(t->request, VERDICT_RAN);
	handle_event_kind(t, ORDER_EVENT_ANSWERED);
}

static void on_call_done(void *user, struct backend_call *call,
			 enum backend_call_end end,
			 const struct backend_call_answer *a)
{
	struct order_task *t = ((struct plain_request *)user)->api.task;

	(void)call;
	api_trace_span(&t->request->api, "server",
		       t->request->api.span_start_us, "%s end %d", a->server,
		       (int)end);
	switch (end) {
	case BACKEND_CALL_ANSWERED:
		handle_answer(t, a);
		return;
	case BACKEND_CALL_NOT_SENT:
	case BACKEND_CALL_REFUSED:
		/* Not run there, so another server may be tried. */
		if (may_try_next_server(t))
			send_to_next_server(t);
		else
			handle_event_kind(t, ORDER_EVENT_NOT_SENT);
		return;
	case BACKEND_CALL_NO_ANSWER:
	case BACKEND_CALL_CANCELLED:
		log_event(LOG_EVENT_ORDER_LOST, "request=%s server=%s",
			  t->request->api.id, a->server);
		plain_record_usage(t->request, VERDICT_MAY_HAVE_RUN);
		handle_event_kind(t, ORDER_EVENT_NO_ANSWER);
		return;
	}
}

static void send_to_next_server(struct order_task *t)
{
	const char *reason;
	cfg_handle server =
		plain_pick_server(t->request, t->last_server, &reason);

	if (server == CFG_NONE) {
		handle_event_kind(t, ORDER_EVENT_NOT_SENT);
		return;
	}
	t->last_server = server;
	t->servers_tried++;
	counter_add(&t->request->api.node->counter_set, COUNTER_ORDERS_SENT, 1);
	/*
	 * Always on a new connection: a pooled one may have been closed by the
	 * server, and then it would be unknown whether the request ran.
	 */
	plain_call_server(t->request, server, t->key, true, on_call_done);
}

/* ---- client ---- */

static int refusal_status(enum order_reason reason)
{
	switch (reason) {
	case ORDER_REASON_DEADLINE_PASSED:
		return 504;
	case ORDER_REASON_ALREADY_RUNNING:
	case ORDER_REASON_OUTCOME_UNKNOWN:
		return 409;
	case ORDER_REASON_KEY_REUSED:
		return 422;
	default:
		return 503;
	}
}

static const char *refusal_message(enum order_reason reason)
{
	switch (reason) {
	case ORDER_REASON_STORE_UNAVAILABLE:
		return "the claim could not be stored; the order was not sent";
	case ORDER_REASON_DEADLINE_PASSED:
		return "the deadline passed before the order was sent";
	case ORDER_REASON_ALREADY_RUNNING:
		return "the same order is in progress; repeat it under the "
		       "same key for its result";
	case ORDER_REASON_OUTCOME_UNKNOWN:
		return "the order was sent and its outcome is unknown; it will "
		       "not be sent again under this key";
	case ORDER_REASON_KEY_REUSED:
		return "the key was used for another request";
	case ORDER_REASON_NO_SERVER:
		return "no backend server could be reached; the order was not "
		       "sent";
	case ORDER_REASON_NONE:
		break;
	}
	return "";
}

static uint32_t refusal_retry_after_s(enum order_reason reason)
{
	switch (reason) {
	case ORDER_REASON_ALREADY_RUNNING:
	case ORDER_REASON_NO_SERVER:
		return RETRY_AFTER_S;
	case ORDER_REASON_STORE_UNAVAILABLE:
		return RETRY_AFTER_STORE_DOWN_S;
	default:
		return 0;
	}
}

static void reply_to_client(struct order_task *t, const struct order_action *a)
{
	const struct order_result *r = &t->result;

	switch (a->reply) {
	case ORDER_REPLY_NONE:
		return;
	case ORDER_REPLY_RECORDED:
		counter_add(&t->request->api.node->counter_set,
			    COUNTER_ORDERS_REPLAYED, 1);
		plain_reply(t->request, r->status, r->type, r->body, r->len,
			    "recorded");
		return;
	case ORDER_REPLY_RESULT:
		plain_reply(t->request, r->status, r->type, r->body, r->len,
			    t->server);
		return;
	case ORDER_REPLY_REFUSAL:
		plain_refuse(t->request, refusal_status(a->reason), a->verdict,
			     order_reason_name(a->reason),
			     refusal_message(a->reason),
			     refusal_retry_after_s(a->reason));
		return;
	}
}

static void run_pending_action(struct order_task *t)
{
	const struct order_action *a = &t->pending;

	t->request->api.span_start_us = api_wall_clock_us();
	switch (a->kind) {
	case ORDER_ACTION_CREATE:
	case ORDER_ACTION_REPLACE:
		write_record(t, a);
		return;
	case ORDER_ACTION_READ:
		store_get(t->request->api.node->store, t->object_name,
			  on_store_read, t);
		return;
	case ORDER_ACTION_SEND:
		send_to_next_server(t);
		return;
	case ORDER_ACTION_END:
		if (t->attempt.sent && !t->attempt.recorded)
			log_event(LOG_EVENT_ORDER_CLAIM_STUCK,
				  "request=%s object=%s", t->request->api.id,
				  t->object_name);
		end_task(t);
		return;
	case ORDER_ACTION_NONE:
		return;
	}
}

static void on_delay(uv_timer_t *timer)
{
	run_pending_action(timer->data);
}

static void perform_action(struct order_task *t, const struct order_action *a)
{
	t->pending = *a;
	reply_to_client(t, a);
	if (a->delay_ms)
		uv_timer_start(&t->delay_timer, on_delay, a->delay_ms, 0);
	else
		run_pending_action(t);
}

/* ---- without a key ---- */

static void on_unkeyed_done(void *user, struct backend_call *call,
			    enum backend_call_end end,
			    const struct backend_call_answer *a)
{
	struct order_task *t = ((struct plain_request *)user)->api.task;
	struct plain_request *p = t->request;

	(void)call;
	switch (end) {
	case BACKEND_CALL_ANSWERED:
		plain_record_usage(p, VERDICT_RAN);
		plain_reply(p, a->status, a->type, a->body->str, a->body->len,
			    a->server);
		break;
	case BACKEND_CALL_NOT_SENT:
	case BACKEND_CALL_REFUSED:
		plain_refuse(p, 503, VERDICT_NOT_RUN, "no-backend-server",
			     refusal_message(ORDER_REASON_NO_SERVER),
			     RETRY_AFTER_S);
		break;
	case BACKEND_CALL_NO_ANSWER:
	case BACKEND_CALL_CANCELLED:
		plain_record_usage(p, VERDICT_MAY_HAVE_RUN);
		plain_refuse(
			p, 502, VERDICT_MAY_HAVE_RUN, "outcome-unknown",
			"the request was sent and its outcome is unknown; "
			"with an idempotency-key it can be repeated safely",
			0);
		break;
	}
	end_task(t);
}

static void send_unkeyed(struct order_task *t)
{
	const char *reason;
	cfg_handle server = plain_pick_server(t->request, CFG_NONE, &reason);

	if (server == CFG_NONE) {
		plain_refuse(t->request, 503, VERDICT_NOT_RUN, reason,
			     refusal_message(ORDER_REASON_NO_SERVER),
			     RETRY_AFTER_S);
		end_task(t);
		return;
	}
	counter_add(&t->request->api.node->counter_set, COUNTER_ORDERS_SENT, 1);
	plain_call_server(t->request, server, NULL, true, on_unkeyed_done);
}

static void on_client_disconnect(void *user)
{
	struct plain_request *p = user;

	p->api.http_request = NULL;
}

static void start_keyed(struct order_task *t)
{
	struct plain_request *p = t->request;
	uint64_t now = node_now(p->api.node);
	g_autofree char *digest =
		order_request_digest(p->method, p->path, p->body, p->len);
	struct order_action a;

	if (store_is_down(p->api.node->store, now)) {
		plain_refuse(p, 503, VERDICT_NOT_RUN,
			     order_reason_name(ORDER_REASON_STORE_UNAVAILABLE),
			     refusal_message(ORDER_REASON_STORE_UNAVAILABLE),
			     RETRY_AFTER_STORE_DOWN_S);
		end_task(t);
		return;
	}
	a = order_start(&t->attempt, now, p->api.id, digest, p->api.deadline);
	perform_action(t, &a);
}

/*
 * Serves a non-idempotent request and takes over `p`, which is freed once the
 * client has its reply and the outcome, if any, is recorded. `key` is the
 * idempotency key, or NULL.
 */
void order_task_start(struct plain_request *p, const char *key)
{
	struct order_task *t = g_new0(struct order_task, 1);

	t->request = p;
	t->last_server = CFG_NONE;
	t->key = g_strdup(key);
	p->api.task = t;
	uv_timer_init(p->api.node->loop, &t->delay_timer);
	t->delay_timer.data = t;
	http_server_on_disconnect(p->api.http_request, on_client_disconnect, p);
	if (!key) {
		send_unkeyed(t);
		return;
	}
	t->object_name = order_object_name(p->api.org, key);
	start_keyed(t);
}
