#include "api/chat-task.h"

#include <string.h>

#include "api/chat.h"
#include "backend/table-task.h"
#include "json-check.h"
#include "log-event.h"
#include "rollout/rating-task.h"
#include "route/choose.h"
#include "usage/usage-task.h"

#define MAX_ATTEMPTS 4 /* per request, over both versions of a cascade */
#define HTTP_NOT_FOUND 404
/* Limit to a first attempt's first byte, as a multiple of the usual time. */
#define FIRST_BYTE_LIMIT_FACTOR 4.0
#define FIRST_BYTE_LIMIT_MIN_MS 300.0
#define RETRY_AFTER_S 1

static void start_attempt(struct chat_request *c);

static void free_chat(struct chat_request *c)
{
	answer_clear(&c->answer);
	g_string_free(c->held_events, TRUE);
	json_object_put(c->body);
	g_free(c->kind);
	g_free(c->model);
	g_free(c->version);
	g_free(c->escalation);
	g_free(c->rollout);
	g_free(c->session_token);
	g_free(c->server);
	g_free(c->previous_server);
	api_clear(&c->api);
	g_free(c);
}

/*
 * The client has disconnected or has the end of its response: cancels the
 * attempt, if one is running.
 */
static void on_client_disconnect(void *user)
{
	struct chat_request *c = user;

	c->api.http_request = NULL;
	if (c->call)
		http_client_cancel(c->call);
}

static void close_request(struct chat_request *c)
{
	if (c->api.http_request) {
		http_server_on_disconnect(c->api.http_request, NULL, NULL);
		http_server_on_drain(c->api.http_request, NULL, NULL);
	}
	free_chat(c);
}

static struct usage_record usage_record_of(const struct chat_request *c)
{
	const struct answer_relay *a = &c->answer;
	struct usage_record r = {
		.request_id = c->api.id,
		.org = c->api.org,
		.version = c->version,
		.input_tokens = (uint64_t)c->input_tokens,
		.output_tokens = a->next_offset,
		.cost = c->cost,
		.verdict = verdict_name(a->verdict),
	};

	if (a->has_usage) {
		r.input_tokens = a->usage.input_tokens;
		r.output_tokens = a->usage.output_tokens;
	}
	return r;
}

/*
 * Adds the usage record of all attempts, unless nothing was run. To be called
 * once per request. `durable`, if not NULL, is called when a crash of this node
 * can no longer lose the record.
 */
static void record_usage(struct chat_request *c, usage_task_callback durable)
{
	const struct usage_record r = usage_record_of(c);

	if (c->answer.verdict == VERDICT_NOT_RUN)
		return;
	api_trace_note(&c->api, "billed", "%.3f micro-units", c->cost);
	usage_task_add(c->api.node->usage_task, &r, durable, c);
}

/*
 * Adds the cost of the current attempt, by the usage that the engine reported
 * or else by the estimated input and the events received.
 */
static void add_cost(struct chat_request *c)
{
	const struct cfg *cfg = c->api.node->cfg;
	cfg_handle v = cfg_find_version(cfg, c->version);
	double out = c->answer.has_usage ? (double)c->answer.usage.output_tokens
					 : (double)c->answer.next_offset;

	if (v != CFG_NONE && c->answer.verdict != VERDICT_NOT_RUN)
		c->cost += choose_expected_cost(
			cfg, v,
			c->answer.has_usage
				? (double)c->answer.usage.input_tokens
				: c->input_tokens,
			out);
}

static void update_quality(struct chat_request *c)
{
	struct node *n = c->api.node;
	cfg_handle v = cfg_find_version(n->cfg, c->version);
	cfg_handle k = cfg_find_kind(n->cfg, c->kind);

	if (v == CFG_NONE || k == CFG_NONE)
		return;
	quality_add_measurement(&n->quality, v, k,
				(double)c->answer.usage.output_tokens,
				c->first_byte_ms);
}

static const char *last_message(const struct chat_request *c)
{
	struct json_object *messages = jcheck_get(c->body, "messages");
	size_t n = jcheck_array_length(messages);

	if (!n)
		return "";
	return jcheck_get_string(json_object_array_get_idx(messages, n - 1),
				 "content", "");
}

static struct rating_sample sample_of(const struct chat_request *c)
{
	struct rating_sample s = {
		.version = c->version,
		.kind = c->kind,
		.rollout = c->rollout,
		.request = last_message(c),
		.answer = c->answer.text->str,
		.target = c->quality_target,
	};

	return s;
}

static void add_response_headers(struct chat_request *c)
{
	struct api_request *request = &c->api;

	api_add_headers(request, c->version, VERDICT_RAN);
	if (!request->http_request)
		return;
	http_server_add_header(request->http_request, "x-chivegw-hops",
			       c->server);
	if (c->session_token)
		http_server_add_header(request->http_request,
				       "x-chivegw-session", c->session_token);
	if (c->version_withdrawn)
		http_server_add_header(request->http_request,
				       "x-chivegw-session-moved", "withdrawn");
}

static void send_end(struct chat_request *c)
{
	g_autofree char *text = NULL;

	if (!c->api.http_request)
		return;
	if (c->streamed) {
		http_server_write(c->api.http_request, c->held_events->str,
				  c->held_events->len);
		http_server_end_response(c->api.http_request);
		return;
	}
	text = answer_to_json(&c->answer, c->version);
	add_response_headers(c);
	http_server_reply_json(c->api.http_request, 200, text);
}

/* The usage record is durable: sends the rest of the answer. */
static void on_usage_durable(void *user)
{
	struct chat_request *c = user;
	struct node *n = c->api.node;
	struct rating_sample s = sample_of(c);

	api_trace_span(&c->api, "usage", c->usage_started_us, "durable");
	send_end(c);
	counter_add(&n->counter_set, COUNTER_ANSWERED, 1);
	if (!c->rate_before_delivery)
		rating_on_delivered(n->rating_task, &s, c->first_byte_ms);
	api_end(&c->api, VERDICT_RAN);
	close_request(c);
}

/*
 * The answer is complete. Its end, or all of it if it is not streamed, is held
 * back until the usage record is durable, so that a crash of this node cannot
 * leave a delivered answer without a record.
 */
static void finish(struct chat_request *c)
{
	update_quality(c);
	api_release(&c->api);
	c->usage_started_us = api_wall_clock_us();
	record_usage(c, on_usage_durable);
}

/* Continues with the second version of a cascade; drops the first answer. */
static void escalate(struct chat_request *c)
{
	counter_add(&c->api.node->counter_set, COUNTER_ESCALATIONS, 1);
	answer_restart(&c->answer);
	c->rate_before_delivery = false;
	g_free(c->version);
	c->version = g_steal_pointer(&c->escalation);
	start_attempt(c);
}

static void on_rated(void *user, bool rated, double rating)
{
	struct chat_request *c = user;

	api_trace_note(&c->api, "rating", "%s %.3f, target %.3f",
		       rated ? c->version : "none", rating, c->quality_target);
	if (rated && rating >= c->quality_target)
		finish(c);
	else
		escalate(c);
}

static void on_answer_complete(struct chat_request *c)
{
	struct rating_sample s;

	add_cost(c);
	if (!c->rate_before_delivery) {
		finish(c);
		return;
	}
	s = sample_of(c);
	rating_request(c->api.node->rating_task, &s, on_rated, c);
}

/* Ends a request without a complete answer, after the last attempt. */
static void end_without_answer(struct chat_request *c)
{
	bool begun = c->streamed && c->answer.next_offset > 0;

	add_cost(c);
	if (begun) {
		counter_add(&c->api.node->counter_set, COUNTER_BROKEN_OFF, 1);
		log_event(LOG_EVENT_STREAM_BROKEN, "request=%s fault=%s",
			  c->api.id, answer_fault_name(c->answer.fault));
		api_trace_note(&c->api, "broken-off", "%s",
			       answer_fault_name(c->answer.fault));
		if (c->api.http_request)
			http_server_abort(c->api.http_request);
		record_usage(c, NULL);
		api_end(&c->api, c->answer.verdict);
	} else if (c->answer.verdict == VERDICT_NOT_RUN) {
		chat_refuse(c, 503, "overloaded",
			    "no backend server accepted the request",
			    RETRY_AFTER_S);
	} else {
		record_usage(c, NULL);
		chat_refuse(c, 502, "no-answer",
			    "no backend server gave a complete answer",
			    RETRY_AFTER_S);
	}
	close_request(c);
}

static enum backend_outcome backend_outcome_of(const struct chat_request *c,
					       bool client_left)
{
	if (client_left)
		return BACKEND_OUTCOME_IGNORED;
	switch (c->answer.fault) {
	case ANSWER_FAULT_NONE:
		return BACKEND_OUTCOME_SUCCESS;
	case ANSWER_FAULT_REFUSED:
		return BACKEND_OUTCOME_OVERLOADED;
	case ANSWER_FAULT_TOO_LARGE:
		return BACKEND_OUTCOME_IGNORED;
	default:
		return BACKEND_OUTCOME_FAILED;
	}
}

static void report_server_outcome(struct chat_request *c, bool client_left)
{
	struct node *n = c->api.node;
	struct backend_state *s =
		backend_table_find(n->backend_task, n->cfg, c->server);
	cfg_handle version = cfg_find_version(n->cfg, c->version);

	if (!s || !s->in_flight)
		return;
	if (c->answer.status == HTTP_NOT_FOUND && version != CFG_NONE) {
		backend_on_missing_version(s, version);
		backend_on_request_end(s, node_now(n), BACKEND_OUTCOME_IGNORED,
				       0);
		return;
	}
	backend_on_request_end(s, node_now(n),
			       backend_outcome_of(c, client_left),
			       c->first_byte_ms);
}

static bool may_retry(struct chat_request *c)
{
	struct node *n = c->api.node;

	return c->api.http_request && c->answer.attempts < MAX_ATTEMPTS &&
	       node_now(n) < c->api.deadline &&
	       limit_take_retry(&n->limits, node_now(n));
}

static enum answer_end answer_end_of(enum http_client_outcome end)
{
	switch (end) {
	case HTTP_CLIENT_COMPLETE:
		return ANSWER_END_COMPLETE;
	case HTTP_CLIENT_NOT_SENT:
		return ANSWER_END_NOT_SENT;
	default:
		return ANSWER_END_TRUNCATED;
	}
}

static void record_attempt(struct chat_request *c, bool client_left)
{
	api_trace_span(&c->api, "engine", c->attempt_started_us, "%s %s: %s",
		       c->version, c->server,
		       answer_fault_name(c->answer.fault));
	if (c->answer.fault == ANSWER_FAULT_ID_MISMATCH) {
		counter_add(&c->api.node->counter_set, COUNTER_CROSSED, 1);
		log_event(LOG_EVENT_ANSWER_CROSSED, "request=%s server=%s",
			  c->api.id, c->server);
	}
	if (c->answer.fault != ANSWER_FAULT_NONE && !client_left)
		rating_on_failed(c->api.node->rating_task, c->version);
}

static void start_retry(struct chat_request *c, bool resume)
{
	struct node *n = c->api.node;

	counter_add(&n->counter_set, resume ? COUNTER_RESUMES : COUNTER_RETRIES,
		    1);
	if (resume)
		log_event(LOG_EVENT_STREAM_RESUMED,
			  "request=%s offset=%" G_GUINT64_FORMAT, c->api.id,
			  c->answer.next_offset);
	start_attempt(c);
}

static void on_done(void *user, enum http_client_outcome end)
{
	struct chat_request *c = user;
	bool client_left = end == HTTP_CLIENT_CANCELLED && !c->api.http_request;
	bool complete = answer_on_end(&c->answer, answer_end_of(end));

	c->call = NULL;
	report_server_outcome(c, client_left);
	record_attempt(c, client_left);
	if (complete) {
		on_answer_complete(c);
		return;
	}
	switch (answer_next_step(&c->answer, may_retry(c))) {
	case ANSWER_STEP_RETRY:
		start_retry(c, false);
		return;
	case ANSWER_STEP_RESUME:
		start_retry(c, true);
		return;
	case ANSWER_STEP_GIVE_UP:
		end_without_answer(c);
		return;
	}
}

static void on_head(void *user, const struct http_client_head *head)
{
	struct chat_request *c = user;

	if (!answer_on_head(&c->answer, head->status, head->request_id))
		http_client_cancel(c->call);
}

/*
 * Passes an event on to a client that wants a stream, after the response's head
 * if it is the first.
 */
static void relay_event(void *user, const char *data, size_t len)
{
	struct chat_request *c = user;

	if (!c->api.http_request || !c->streamed)
		return;
	if (!http_server_response_begun(c->api.http_request)) {
		add_response_headers(c);
		http_server_add_header(c->api.http_request, "content-type",
				       "text/event-stream");
		http_server_begin_response(c->api.http_request, 200);
	}
	/* Everything from the usage event on waits for the usage record. */
	if (c->answer.has_usage)
		g_string_append_len(c->held_events, data, (gssize)len);
	else
		http_server_write(c->api.http_request, data, len);
}

static void on_data(void *user, const char *data, size_t len)
{
	struct chat_request *c = user;

	/* Half a millisecond more, since 0 means: no byte yet. */
	if (c->first_byte_ms <= 0)
		c->first_byte_ms = (double)(node_now(c->api.node) -
					    c->attempt_started_at) +
				   0.5;
	if (!answer_on_data(&c->answer, data, len, relay_event, c)) {
		http_client_cancel(c->call);
		return;
	}
	if (c->api.http_request &&
	    http_server_unsent_bytes(c->api.http_request) >
		    HTTP_SERVER_BACKLOG_BYTES)
		http_client_pause(c->call);
}

/* The client has taken enough of the answer to read on from the server. */
static void on_client_drained(void *user)
{
	struct chat_request *c = user;

	if (c->call)
		http_client_resume(c->call);
}

static const struct http_client_callbacks engine_events = {on_head, on_data,
							   on_done};

static char *engine_body(const struct chat_request *c)
{
	struct json_object *o = NULL;
	char *text;

	json_object_deep_copy(c->body, &o, NULL);
	json_object_object_add(o, "model", json_object_new_string(c->version));
	json_object_object_add(o, "stream", json_object_new_boolean(true));
	if (c->answer.next_offset) {
		struct json_object *resume = json_object_new_object();

		json_object_object_add(
			resume, "offset",
			json_object_new_int64((int64_t)c->answer.next_offset));
		json_object_object_add(o, "resume", resume);
	}
	text = g_strdup(
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
	return text;
}

/*
 * Returns how long a first attempt may wait for its first byte, in
 * milliseconds: a few times the usual time of the version, or
 * slow_first_token_ms while that is unknown. A connection without progress then
 * costs little time; if the engine is only slow, the retry budget bounds the
 * extra work. Returns 0, which stands for progress_ms, for later attempts.
 */
static uint32_t first_byte_limit_ms(const struct chat_request *c)
{
	const struct node *n = c->api.node;
	double usual = chat_expected_first_ms(c);
	double limit = (double)n->settings->slow_first_token_ms;

	if (c->answer.attempts > 1)
		return 0;
	if (usual > 0)
		limit = MAX(FIRST_BYTE_LIMIT_FACTOR * usual,
			    FIRST_BYTE_LIMIT_MIN_MS);
	return (uint32_t)MIN(limit, (double)n->settings->progress_ms);
}

static void call_engine(struct chat_request *c)
{
	struct node *n = c->api.node;
	g_autofree char *body = engine_body(c);
	char parent[API_TRACEPARENT_SIZE];
	g_autofree char *headers = NULL;
	struct http_client_request req = {
		.address = c->server,
		.method = "POST",
		.path = "/v1/chat/completions",
		.body = body,
		.len = strlen(body),
		.connect_ms = (uint32_t)n->settings->connect_ms,
		.head_ms = first_byte_limit_ms(c),
		.progress_ms = (uint32_t)n->settings->progress_ms,
		.total_ms = (uint32_t)(c->api.deadline - node_now(n)),
		.new_connection = c->answer.attempts > 1,
	};

	trace_write_traceparent(n->trace, c->api.trace, parent, sizeof(parent));
	headers = g_strdup_printf("content-type: application/json\r\n"
				  "x-request-id: %s\r\ntraceparent: %s\r\n",
				  c->api.id, parent);
	req.headers = headers;
	counter_add(&n->counter_set, COUNTER_ATTEMPTS, 1);
	c->attempt_started_at = node_now(n);
	c->attempt_started_us = api_wall_clock_us();
	c->first_byte_ms = 0;
	c->call = http_client_start(n->http, &req, &engine_events, c);
}

/*
 * Picks the server of an attempt. Checks first that the configuration is
 * current and that the organisation may still use the version, since either may
 * have changed since the last attempt. Returns CFG_NONE and sets the reason if
 * the request may not be sent.
 */
static cfg_handle pick_server(struct chat_request *c, uint64_t now,
			      const char **reason)
{
	struct node *n = c->api.node;
	cfg_handle org, version;
	struct backend_criteria criteria = {.avoid = CFG_NONE};

	if (!node_can_send(n, now, reason))
		return CFG_NONE;
	*reason = "not-allowed";
	version = cfg_find_version(n->cfg, c->version);
	if (version == CFG_NONE || !api_find_org(&c->api, &org) ||
	    !cfg_may_use(n->cfg, org, version))
		return CFG_NONE;
	*reason = "overloaded";
	criteria.service = n->cfg->versions[version].service;
	criteria.version = version;
	criteria.zone = n->settings->zone;
	criteria.affinity = c->affinity;
	if (c->previous_server)
		for (size_t i = 0; i < n->cfg->n_servers; i++)
			if (!strcmp(n->cfg->servers[i].address,
				    c->previous_server))
				criteria.avoid = (cfg_handle)i;
	return backend_pick(n->cfg, backend_table_rows(n->backend_task), now,
			    &criteria);
}

/* Sends the request to an engine, or ends it if none can be used. */
static void start_attempt(struct chat_request *c)
{
	struct node *n = c->api.node;
	uint64_t now = node_now(n);
	const char *reason = "deadline";
	cfg_handle server = CFG_NONE;

	if (now < c->api.deadline)
		server = pick_server(c, now, &reason);
	if (server == CFG_NONE && c->answer.next_offset) {
		end_without_answer(c);
		return;
	}
	if (server == CFG_NONE) {
		record_usage(c, NULL);
		chat_refuse(c, 503, reason,
			    "no backend server is available for the request",
			    RETRY_AFTER_S);
		close_request(c);
		return;
	}
	answer_begin_attempt(&c->answer);
	g_free(c->previous_server);
	c->previous_server = c->server;
	c->server = g_strdup(n->cfg->servers[server].address);
	backend_on_request_start(&backend_table_rows(n->backend_task)[server],
				 ++n->pick_count);
	call_engine(c);
}

/* Serves a request to a model; its state is freed when it has ended. */
void chat_start(struct node *n, struct http_server_request *req)
{
	struct chat_request *c = g_new0(struct chat_request, 1);

	c->held_events = g_string_new(NULL);

	if (!api_begin(&c->api, n, req)) {
		free_chat(c);
		return;
	}
	answer_init(&c->answer, c->api.id, false);
	if (!chat_prepare(c)) {
		free_chat(c);
		return;
	}
	c->answer.streamed = c->streamed;
	http_server_on_disconnect(req, on_client_disconnect, c);
	http_server_on_drain(req, on_client_drained, c);
	start_attempt(c);
}
