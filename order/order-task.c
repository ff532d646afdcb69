#include <string.h>

#include "backend/table-task.h"
#include "api/plain.h"
#include "invariant.h"
#include "log-event.h"
#include "order/order.h"
#include "order/record.h"

#define MAX_SERVERS_TRIED 3
#define RUNNING_RETRY_S 1
#define STORE_RETRY_S 2

/*
 * A non-idempotent request to a plain service. With an idempotency key the
 * claim in the store decides who sends; without one it is sent once.
 */
struct order_task {
	struct plain_request *plain;
	struct order_attempt order;
	struct order_action action; /* waiting for its delay, or out */
	char *object;
	char *key; /* NULL: none */
	struct order_result result; /* of the server, or as recorded */
	char *server;
	cfg_handle last;
	uint32_t servers_tried;
	uv_timer_t timer;
};

static void perform(struct order_task *t, const struct order_action *a);

static void free_order(uv_handle_t *timer)
{
	struct order_task *t = timer->data;

	order_result_clear(&t->result);
	g_free(t->object);
	g_free(t->key);
	g_free(t->server);
	plain_free(t->plain);
	g_free(t);
}

static void end(struct order_task *t)
{
	uv_close((uv_handle_t *)&t->timer, free_order);
}

static void feed(struct order_task *t, const struct order_event *e)
{
	struct order_action a =
		order_handle_event(&t->order, node_now(t->plain->api.node), e);

	perform(t, &a);
}

static void feed_kind(struct order_task *t, enum order_event_kind kind)
{
	struct order_event e = {.kind = kind};

	feed(t, &e);
}

/* ---- the store ---- */

static void on_written(void *user, const struct store_result *r)
{
	struct order_task *t = user;
	struct order_event e = {.etag = r->etag};

	api_trace_span(&t->plain->api, "store", t->plain->api.span_start_us,
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
	feed(t, &e);
}

static void on_read(void *user, const struct store_result *r)
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
	feed(t, &e);
}

static void write_record(struct order_task *t, const struct order_action *a)
{
	const struct order_result *result =
		a->record.state == ORDER_DONE ? &t->result : NULL;
	g_autofree char *text =
		order_record_to_json(&a->record, t->plain->api.org, result);

	store_put(t->plain->api.node->store, t->object, text, strlen(text),
		  a->kind == ORDER_ACTION_CREATE ? STORE_IF_ABSENT
						 : STORE_IF_MATCH,
		  a->etag, on_written, t);
}

/* ---- the backend server ---- */

static void send_to_next(struct order_task *t);

static bool may_try_next(const struct order_task *t)
{
	return t->servers_tried < MAX_SERVERS_TRIED &&
	       node_now(t->plain->api.node) < t->plain->api.deadline;
}

static void on_answered(struct order_task *t,
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
	plain_record_usage(t->plain, VERDICT_RAN);
	feed_kind(t, ORDER_EVENT_ANSWERED);
}

static void on_server(void *user, struct backend_call *call,
		      enum backend_call_end backend_call_end,
		      const struct backend_call_answer *a)
{
	struct order_task *t = ((struct plain_request *)user)->api.task;

	(void)call;
	api_trace_span(&t->plain->api, "server", t->plain->api.span_start_us,
		       "%s end %d", a->server, (int)backend_call_end);
	switch (backend_call_end) {
	case BACKEND_CALL_ANSWERED:
		on_answered(t, a);
		return;
	case BACKEND_CALL_NOT_SENT:
	case BACKEND_CALL_REFUSED:
		/* Not run here, so another server may be asked. */
		if (may_try_next(t))
			send_to_next(t);
		else
			feed_kind(t, ORDER_EVENT_NOT_SENT);
		return;
	case BACKEND_CALL_NO_ANSWER:
	case BACKEND_CALL_CANCELLED:
		log_event(LOG_EVENT_ORDER_LOST, "request=%s server=%s",
			  t->plain->api.id, a->server);
		plain_record_usage(t->plain, VERDICT_MAY_HAVE_RUN);
		feed_kind(t, ORDER_EVENT_NO_ANSWER);
		return;
	}
}

static void send_to_next(struct order_task *t)
{
	const char *reason;
	cfg_handle server = plain_pick_server(t->plain, t->last, &reason);

	if (server == CFG_NONE) {
		feed_kind(t, ORDER_EVENT_NOT_SENT);
		return;
	}
	t->last = server;
	t->servers_tried++;
	counter_add(&t->plain->api.node->counter_set, COUNTER_ORDERS_SENT, 1);
	/* Always a fresh connection: a kept one may be dead unnoticed. */
	plain_call_server(t->plain, server, t->key, true, on_server);
}

/* ---- the caller ---- */

static int status_of(enum order_reason reason)
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

static const char *message_of(enum order_reason reason)
{
	switch (reason) {
	case ORDER_REASON_STORE_UNAVAILABLE:
		return "the claim could not be stored; the order was not sent";
	case ORDER_REASON_DEADLINE_PASSED:
		return "the deadline passed before the order was sent";
	case ORDER_REASON_ALREADY_RUNNING:
		return "the same order is under way; its result comes under "
		       "the same key";
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

static uint32_t retry_after(enum order_reason reason)
{
	switch (reason) {
	case ORDER_REASON_ALREADY_RUNNING:
	case ORDER_REASON_NO_SERVER:
		return RUNNING_RETRY_S;
	case ORDER_REASON_STORE_UNAVAILABLE:
		return STORE_RETRY_S;
	default:
		return 0;
	}
}

static void answer_caller(struct order_task *t, const struct order_action *a)
{
	const struct order_result *r = &t->result;

	switch (a->answer) {
	case ORDER_REPLY_NONE:
		return;
	case ORDER_REPLY_RECORDED:
		counter_add(&t->plain->api.node->counter_set,
			    COUNTER_ORDERS_REPLAYED, 1);
		plain_reply(t->plain, r->status, r->type, r->body, r->len,
			    "recorded");
		return;
	case ORDER_REPLY_RESULT:
		plain_reply(t->plain, r->status, r->type, r->body, r->len,
			    t->server);
		return;
	case ORDER_REPLY_REFUSAL:
		plain_refuse(t->plain, status_of(a->reason), a->verdict,
			     order_reason_name(a->reason),
			     message_of(a->reason), retry_after(a->reason));
		return;
	}
}

static void run_action(struct order_task *t)
{
	const struct order_action *a = &t->action;

	t->plain->api.span_start_us = api_wall_clock_us();
	switch (a->kind) {
	case ORDER_ACTION_CREATE:
	case ORDER_ACTION_REPLACE:
		write_record(t, a);
		return;
	case ORDER_ACTION_READ:
		store_get(t->plain->api.node->store, t->object, on_read, t);
		return;
	case ORDER_ACTION_SEND:
		send_to_next(t);
		return;
	case ORDER_ACTION_END:
		if (t->order.sent && !t->order.recorded)
			log_event(LOG_EVENT_ORDER_CLAIM_STUCK,
				  "request=%s object=%s", t->plain->api.id,
				  t->object);
		end(t);
		return;
	case ORDER_ACTION_NONE:
		return;
	}
}

static void on_delay(uv_timer_t *timer)
{
	run_action(timer->data);
}

static void perform(struct order_task *t, const struct order_action *a)
{
	t->action = *a;
	answer_caller(t, a);
	if (a->delay_ms)
		uv_timer_start(&t->timer, on_delay, a->delay_ms, 0);
	else
		run_action(t);
}

/* ---- without a key ---- */

static void on_unkeyed(void *user, struct backend_call *call,
		       enum backend_call_end backend_call_end,
		       const struct backend_call_answer *a)
{
	struct order_task *t = ((struct plain_request *)user)->api.task;
	struct plain_request *p = t->plain;

	(void)call;
	switch (backend_call_end) {
	case BACKEND_CALL_ANSWERED:
		plain_record_usage(p, VERDICT_RAN);
		plain_reply(p, a->status, a->type, a->body->str, a->body->len,
			    a->server);
		break;
	case BACKEND_CALL_NOT_SENT:
	case BACKEND_CALL_REFUSED:
		plain_refuse(p, 503, VERDICT_NOT_RUN, "no-backend-server",
			     message_of(ORDER_REASON_NO_SERVER), 1);
		break;
	case BACKEND_CALL_NO_ANSWER:
	case BACKEND_CALL_CANCELLED:
		plain_record_usage(p, VERDICT_MAY_HAVE_RUN);
		plain_refuse(p, 502, VERDICT_MAY_HAVE_RUN, "outcome-unknown",
			     "the request was sent and its outcome is unknown; "
			     "with an idempotency-key a repeat is safe",
			     0);
		break;
	}
	end(t);
}

static void send_unkeyed(struct order_task *t)
{
	const char *reason;
	cfg_handle server = plain_pick_server(t->plain, CFG_NONE, &reason);

	if (server == CFG_NONE) {
		plain_refuse(t->plain, 503, VERDICT_NOT_RUN, reason,
			     message_of(ORDER_REASON_NO_SERVER), 1);
		end(t);
		return;
	}
	counter_add(&t->plain->api.node->counter_set, COUNTER_ORDERS_SENT, 1);
	plain_call_server(t->plain, server, NULL, true, on_unkeyed);
}

static void on_gone(void *user)
{
	struct plain_request *p = user;

	p->api.http_request = NULL;
}

static void start_keyed(struct order_task *t)
{
	struct plain_request *p = t->plain;
	uint64_t now = node_now(p->api.node);
	g_autofree char *digest =
		order_request_digest(p->method, p->path, p->body, p->len);
	struct order_action a;

	if (store_is_down(p->api.node->store, now)) {
		plain_refuse(p, 503, VERDICT_NOT_RUN,
			     order_reason_name(ORDER_REASON_STORE_UNAVAILABLE),
			     message_of(ORDER_REASON_STORE_UNAVAILABLE),
			     STORE_RETRY_S);
		end(t);
		return;
	}
	a = order_start(&t->order, now, p->api.id, digest, p->api.deadline);
	perform(t, &a);
}

/* Serves a non-idempotent request; it ends by itself. */
void order_task_start(struct plain_request *p, const char *key)
{
	struct order_task *t = g_new0(struct order_task, 1);

	t->plain = p;
	t->last = CFG_NONE;
	t->key = g_strdup(key);
	p->api.task = t;
	uv_timer_init(p->api.node->loop, &t->timer);
	t->timer.data = t;
	http_server_on_disconnect(p->api.http_request, on_gone, p);
	if (!key) {
		send_unkeyed(t);
		return;
	}
	t->object = order_object_name(p->api.org, key);
	start_keyed(t);
}
