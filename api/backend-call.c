#include "api/backend-call.h"

#include <string.h>

#include "backend/table-task.h"
#include "log-event.h"

#define MAX_ANSWER_BYTES (8 * 1024 * 1024)
#define HTTP_TOO_MANY_REQUESTS 429
#define HTTP_SERVICE_UNAVAILABLE 503

struct backend_call {
	struct node *node;
	struct http_client_call *call;
	struct backend_call_answer answer;
	char request_id[API_REQUEST_ID_SIZE];
	uint64_t started_at;
	bool id_mismatch; /* the answer has another request's id */
	bool too_large;
	bool refusal_is_not_run;
	double first_byte_ms; /* time to the answer's head */
	backend_call_done done;
	void *user;
};

static void on_head(void *user, const struct http_client_head *head)
{
	struct backend_call *c = user;

	c->answer.status = head->status;
	c->answer.type = g_strdup(head->type);
	/* Half a millisecond more, since 0 means: not measured. */
	c->first_byte_ms = (double)(node_now(c->node) - c->started_at) + 0.5;
	if (head->request_id && strcmp(head->request_id, c->request_id) != 0) {
		c->id_mismatch = true;
		counter_add(&c->node->counter_set, COUNTER_CROSSED, 1);
		log_event(LOG_EVENT_ANSWER_CROSSED, "request=%s server=%s",
			  c->request_id, c->answer.server);
		http_client_cancel(c->call);
	}
}

static void on_data(void *user, const char *data, size_t len)
{
	struct backend_call *c = user;

	g_string_append_len(c->answer.body, data, (gssize)len);
	if (c->answer.body->len > MAX_ANSWER_BYTES) {
		c->too_large = true;
		http_client_cancel(c->call);
	}
}

static bool is_overload_status(int status)
{
	return status == HTTP_TOO_MANY_REQUESTS ||
	       status == HTTP_SERVICE_UNAVAILABLE;
}

static enum backend_call_end call_end_of(const struct backend_call *c,
					 enum http_client_outcome end)
{
	if (c->id_mismatch || c->too_large)
		return BACKEND_CALL_NO_ANSWER;
	switch (end) {
	case HTTP_CLIENT_COMPLETE:
		if (c->refusal_is_not_run &&
		    is_overload_status(c->answer.status))
			return BACKEND_CALL_REFUSED;
		return BACKEND_CALL_ANSWERED;
	case HTTP_CLIENT_NOT_SENT:
		return BACKEND_CALL_NOT_SENT;
	case HTTP_CLIENT_CANCELLED:
		return BACKEND_CALL_CANCELLED;
	default:
		return BACKEND_CALL_NO_ANSWER;
	}
}

static enum backend_outcome backend_outcome_of(enum backend_call_end end)
{
	switch (end) {
	case BACKEND_CALL_ANSWERED:
		return BACKEND_OUTCOME_SUCCESS;
	case BACKEND_CALL_REFUSED:
		return BACKEND_OUTCOME_OVERLOADED;
	case BACKEND_CALL_CANCELLED:
		return BACKEND_OUTCOME_IGNORED;
	default:
		return BACKEND_OUTCOME_FAILED;
	}
}

static void on_done(void *user, enum http_client_outcome outcome)
{
	struct backend_call *c = user;
	enum backend_call_end end = call_end_of(c, outcome);
	struct backend_state *s = backend_table_find(
		c->node->backend_task, c->node->cfg, c->answer.server);

	if (s && s->in_flight)
		backend_on_request_end(s, node_now(c->node),
				       backend_outcome_of(end),
				       c->first_byte_ms);
	c->done(c->user, c, end, &c->answer);
	g_string_free(c->answer.body, TRUE);
	g_free(c->answer.type);
	g_free(c->answer.server);
	g_free(c);
}

static const struct http_client_callbacks events = {on_head, on_data, on_done};

static char *header_lines(struct api_request *api,
			  const struct backend_call_request *r)
{
	char parent[API_TRACEPARENT_SIZE];
	GString *s = g_string_new(NULL);

	trace_write_traceparent(api->node->trace, api->trace, parent,
				sizeof(parent));
	g_string_append_printf(s,
			       "x-request-id: %s\r\ntraceparent: %s\r\n"
			       "x-chivegw-organisation: %s\r\n",
			       api->id, parent, api->org);
	if (r->type)
		g_string_append_printf(s, "content-type: %s\r\n", r->type);
	if (r->key)
		g_string_append_printf(s, "idempotency-key: %s\r\n", r->key);
	return g_string_free(s, FALSE);
}

/*
 * Sends a request to a backend server. The request must have been counted there
 * with backend_on_request_start; its end is counted here. `done` is called
 * once, later from the event loop, and the call is freed after it.
 */
struct backend_call *backend_call_start(struct api_request *api,
					const struct backend_call_request *r,
					backend_call_done done, void *user)
{
	struct node *n = api->node;
	struct backend_call *c = g_new0(struct backend_call, 1);
	g_autofree char *headers = header_lines(api, r);
	uint64_t now = node_now(n);
	struct http_client_request req = {
		.address = r->server,
		.method = r->method,
		.path = r->path,
		.headers = headers,
		.body = r->body,
		.len = r->len,
		.connect_ms = (uint32_t)n->settings->connect_ms,
		.progress_ms = (uint32_t)n->settings->progress_ms,
		.total_ms = now < api->deadline
				    ? (uint32_t)(api->deadline - now)
				    : 1,
		.new_connection = r->new_connection,
	};

	c->node = n;
	c->done = done;
	c->user = user;
	c->started_at = now;
	c->refusal_is_not_run = r->refusal_is_not_run;
	c->answer.body = g_string_new(NULL);
	c->answer.server = g_strdup(r->server);
	g_strlcpy(c->request_id, api->id, sizeof(c->request_id));
	counter_add(&n->counter_set, COUNTER_ATTEMPTS, 1);
	c->call = http_client_start(n->http, &req, &events, c);
	return c;
}

/*
 * Cancels a call; `done` is called with BACKEND_CALL_CANCELLED unless the call
 * has already ended.
 */
void backend_call_cancel(struct backend_call *call)
{
	http_client_cancel(call->call);
}
