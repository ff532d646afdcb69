#include "exchange/exchange.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "crash/crash-check-task.h"
#include "crash/fingerprint.h"
#include "exchange/admission-task.h"
#include "exchange/intake-task.h"
#include "exchange/load-limit.h"
#include "exchange/load-report.h"
#include "fleet/fleet-task.h"
#include "http/connect-test.h"
#include "invariant.h"
#include "log-event.h"
#include "relay/header.h"
#include "relay/probe-task.h"
#include "rollout/shift-task.h"

#define CONNECT_TIMEOUT_MS 250
/*
 * After the end of an answer that states none. The kernel closes the sockets of a
 * killed process one by one, the listening one among them.
 */
#define END_TEST_DELAY_MS 30
#define HELPER_CONNECT_MS                                                      \
	250 /* that a helper spends on an unreachable server */
#define MAX_BUFFERED_BODY_BYTES (1024 * 1024) /* of an answer, no stream */
/* Answers of which less is buffered are read on also if memory is short. */
#define MIN_PAUSED_BODY_BYTES (64 * 1024)
/*
 * Longest idle time of a kept connection that is used. It is shorter for a
 * request that is not repeatable: if the server closes the connection as the
 * request is sent, that cannot be sent again.
 */
#define MAX_KEPT_IDLE_MS 3000
#define MAX_KEPT_IDLE_NON_REPEATABLE_MS 400
#define MIN_SEND_TIME_MS 5 /* before the deadline */
#define MAX_RETRY_AFTER_MS 5000 /* in refusals */
#define MAX_PAUSE_S 3600.0 /* that a server can ask for */
#define MAX_LOGGED_VALUE 64 /* bytes of a header field in a log line */
#define MAX_URGENCY 9 /* the least urgent */
#define MIN_INTERVAL_EVENTS 3 /* for a mean time between events */
#define MIN_SERVER_SAMPLE_EVENTS 5 /* the same, to rate the server by it */
/* A server that crashes by a prompt does so within this after its first event. */
#define CRASH_AFTER_EVENT_MS 1000
#define TIME_OFFSET_MS 0.5 /* added to times of which 0 would mean none */

static void start_attempt(struct exchange_request *x);
static bool drop_if_client_left(struct exchange_request *x);

/* Takes the request out of those that wait for memory. */
static void stop_waiting_for_room(struct exchange_request *x)
{
	if (x->waits_for_room)
		g_ptr_array_remove(x->g->paused_answers, x);
	x->waits_for_room = false;
}

static void free_request(struct exchange_request *x)
{
	stop_waiting_for_room(x);
	memory_discharge(x->g->memory, x->counted_bytes);
	x->g->open_requests--;
	x->g->relayed_requests -= x->relayed;
	http_message_fields_clear(&x->head);
	http_message_fields_clear(&x->saved_head);
	g_string_free(x->body, TRUE);
	g_string_free(x->saved_body, TRUE);
	event_stream_clear(&x->events);
	route_table_unref(x->routes);
	g_free(x->first_server);
	g_free(x->id);
	g_free(x);
}

/* The client has disconnected, or has received its whole answer. */
static void on_client_disconnect(void *user)
{
	struct exchange_request *x = user;

	x->req = NULL;
	if (x->call)
		http_client_cancel(x->call);
	if (x->admission.waiting) {
		admission_task_leave(x);
		drop_if_client_left(x);
	}
}

static void finish_request(struct exchange_request *x)
{
	if (x->req) {
		http_server_on_disconnect(x->req, NULL, NULL);
		http_server_on_drain(x->req, NULL, NULL);
	}
	free_request(x);
}

/* Logs and measures the end of a request; status is 0 if there is no answer. */
static void log_request_end(struct exchange_request *x, int status,
			    const char *outcome)
{
	uint64_t now = gateway_now(x->g);

	histogram_add(&x->g->request_ms[x->route->kind],
		      (double)(now - x->started_at));
	if (x->events.count)
		histogram_add(&x->g->first_event_ms, x->first_event_ms);
	log_event(LOG_EVENT_REQUEST_ENDED,
		  "request=%s route=%s kind=%s org=%s service=%s server=%s "
		  "model=%s "
		  "version=%s session=%016" G_GINT64_MODIFIER
		  "x status=%d outcome=%s attempts=%u verdict=%s first_ms=%.0f "
		  "ms=%" G_GUINT64_FORMAT " events=%" G_GUINT64_FORMAT
		  " config=%" G_GUINT64_FORMAT " servers=%" G_GUINT64_FORMAT
		  " framing=%s closed=%s client_framing=%s",
		  x->id, x->route->name, route_kind_name(x->route->kind),
		  x->org ? x->org : "-", x->service,
		  x->first_server ? x->first_server : "-",
		  x->model ? x->model : "-",
		  x->server_version ? x->server_version : "-", x->session,
		  status, outcome, x->retry.sent,
		  verdict_name(x->retry.verdict), x->first_event_ms,
		  now - x->started_at, x->events.count, x->routes->revision,
		  x->g->complete_revision[FEED_SERVERS],
		  http_client_framing_name(x->framing),
		  http_client_close_name(x->closed),
		  x->req ? http_server_framing_name(x->req) : "-");
}

/* Returns when the client of a refused request should ask again, in ms. */
static uint32_t retry_after_ms(const struct exchange_request *x,
			       const struct retry_refusal *r)
{
	uint64_t wait_ms =
		server_wait_ms(&x->g->servers, gateway_now(x->g), x->service);

	if (!r->retry_after_ms)
		return 0;
	return MAX(r->retry_after_ms,
		   (uint32_t)MIN(wait_ms, MAX_RETRY_AFTER_MS));
}

/* Ends the request with an error of the gateway's own. */
static void send_refusal(struct exchange_request *x,
			 const struct retry_refusal *r)
{
	log_request_end(x, r->status, r->reason);
	counter_add(&x->g->counter_set,
		    x->retry.verdict == VERDICT_NOT_RUN
			    ? COUNTER_REFUSED_NOT_RUN
			    : COUNTER_REFUSED_MAY_HAVE_RUN,
		    1);
	if (x->req && x->relayed && x->retry.verdict == VERDICT_NOT_RUN)
		http_server_add_header(x->req, x->g->header_names->not_run,
				       "1");
	if (x->req)
		exchange_refuse(x->g, x->req, r->status,
				verdict_name(x->retry.verdict), r->reason,
				retry_after_ms(x, r));
	finish_request(x);
}

/* Returns true for fields of a server's answer that clients do not get. */
static bool is_internal_header(const struct exchange_request *x,
			       const char *name)
{
	const struct header_names *names = x->g->header_names;

	if (!g_ascii_strcasecmp(name, RELAY_SERVER_HEADER))
		return !x->relayed;
	return !g_ascii_strcasecmp(name, "content-length") ||
	       !g_ascii_strcasecmp(name, names->load) ||
	       !g_ascii_strcasecmp(name, names->cold) ||
	       !g_ascii_strcasecmp(name, names->not_run);
}

static void copy_answer_headers(struct exchange_request *x,
				const struct http_message_fields *head)
{
	for (size_t i = 0; i < http_message_fields_count(head); i++) {
		struct http_message_field f = http_message_field_at(head, i);

		if (!http_message_is_token(f.name) ||
		    is_internal_header(x, f.name))
			continue;
		if (!http_message_is_hop_by_hop(head, f.name) ||
		    header_names_is_end_to_end(x->g->header_names, f.name))
			http_server_add_header(x->req, f.name, f.value);
	}
}

/* Ends the request with a complete answer that is not a stream. */
static void send_buffered_answer(struct exchange_request *x, int status,
				 const struct http_message_fields *head,
				 const GString *body)
{
	counter_add(&x->g->counter_set, COUNTER_ANSWERED, 1);
	if (x->req) {
		copy_answer_headers(x, head);
		http_server_reply(x->req, status, NULL, body->str, body->len);
	}
	log_request_end(x, status, status < 400 ? "answered" : "server-failed");
	finish_request(x);
}

/* Sends the head of a streamed answer, unless that was done already. */
static void start_answer(struct exchange_request *x)
{
	if (x->answer_started || !x->req)
		return;
	x->answer_started = true;
	x->first_event_ms = (double)(gateway_now(x->g) - x->started_at);
	x->first_server = g_strdup(x->server->id);
	copy_answer_headers(x, &x->head);
	http_server_begin_response(x->req, x->answer.status);
}

/* Ends the request after a complete stream. */
static void finish_stream(struct exchange_request *x)
{
	start_answer(x);
	stream_lengths_add(&x->g->stream_lengths, x->route->name,
			   x->events.count);
	log_request_end(x, x->answer.status, "answered");
	counter_add(&x->g->counter_set, COUNTER_ANSWERED, 1);
	if (x->req)
		http_server_end_response(x->req);
	finish_request(x);
}

/* Ends the request by closing the connection in the middle of its answer. */
static void abort_answer(struct exchange_request *x, const char *reason)
{
	log_request_end(x, x->answer.status, reason);
	counter_add(&x->g->counter_set, COUNTER_BROKEN_OFF, 1);
	if (x->req)
		http_server_abort(x->req);
	finish_request(x);
}

/* Keeps a 5xx answer, to be delivered if no further attempt succeeds. */
static void save_server_error(struct exchange_request *x)
{
	GString *body = x->saved_body;

	x->saved_status = x->answer.status;
	http_message_fields_copy(&x->saved_head, &x->head);
	x->saved_body = x->body;
	x->body = body;
}

/* Returns whether the answer states no end but that of its connection. */
static bool ends_by_close(const struct exchange_request *x)
{
	return x->framing == HTTP_CLIENT_FRAMING_CLOSE;
}

/* Returns what the attempt says about the server. */
static enum server_outcome call_outcome(const struct exchange_request *x,
					enum http_client_outcome end)
{
	switch (x->answer.result) {
	case RETRY_RESULT_COMPLETE:
		return x->answer.status >= 500 ? SERVER_CALL_FAILED
					       : SERVER_CALL_OK;
	case RETRY_RESULT_MISDIRECTED:
		return SERVER_CALL_MISDIRECTED;
	case RETRY_RESULT_UNSERVED:
		return SERVER_CALL_UNSERVED;
	case RETRY_RESULT_REFUSED:
		return SERVER_CALL_REFUSED;
	case RETRY_RESULT_WEAK:
	case RETRY_RESULT_CANCELLED:
		return SERVER_CALL_IGNORED;
	case RETRY_RESULT_UNSENT:
	case RETRY_RESULT_BROKEN:
		return end == HTTP_CLIENT_TIMED_OUT ? SERVER_CALL_TIMED_OUT
						    : SERVER_CALL_FAILED;
	}
	return SERVER_CALL_IGNORED;
}

/* Returns the mean time between the attempt's events; 0 if it had too few. */
static double attempt_event_ms(const struct exchange_request *x)
{
	if (x->attempt_events < MIN_INTERVAL_EVENTS)
		return 0;
	return (double)(x->last_event_at - x->first_event_at) /
	       (double)(x->attempt_events - 1);
}

static uint64_t route_hash(const struct exchange_request *x)
{
	return XXH3_64bits(x->route->name, strlen(x->route->name));
}

/* Returns the roll-out that the attempt is evidence for, or NULL. */
static struct traffic_shift *attempt_rollout(const struct exchange_request *x)
{
	return x->rollout_active ? shift_task_find(x->g->shifts, x->service)
				 : NULL;
}

/* Starts to measure the attempt's latency if a roll-out needs it. */
static void begin_latency(struct exchange_request *x)
{
	x->latency_counted = x->fills || !attempt_rollout(x);
	if (!x->latency_counted)
		g_ptr_array_add(x->g->measured_attempts, x);
}

static void end_latency(struct exchange_request *x)
{
	if (!x->latency_counted)
		g_ptr_array_remove_fast(x->g->measured_attempts, x);
	x->latency_counted = true;
}

/* Counts the attempt's latency for the roll-out, once. */
static void count_latency(struct exchange_request *x)
{
	struct traffic_shift *shift = attempt_rollout(x);
	uint64_t now = gateway_now(x->g);
	struct shift_latency l = {
		.route = route_hash(x),
		.first_ms = x->head_ms,
		.event_ms = attempt_event_ms(x),
		.load = (x->load_at_start + server_load(x->server, now)) / 2,
		.fills = x->fills,
	};

	if (x->latency_counted)
		return;
	end_latency(x);
	if (x->attempt_events)
		l.first_ms = (double)(x->first_event_at - x->attempt_at) +
			     TIME_OFFSET_MS;
	if (shift)
		shift_on_latency(shift, x->version, &l);
}

/*
 * Counts the attempts as slow that are so for certain though their latency is
 * not known yet: a slow version would else be judged by its fast answers, which
 * are known first.
 */
void exchange_check_overdue(struct gateway_state *g, uint64_t now)
{
	for (guint i = g->measured_attempts->len; i-- > 0;) {
		struct exchange_request *x = g->measured_attempts->pdata[i];
		struct traffic_shift *shift = attempt_rollout(x);
		double load =
			(x->load_at_start + server_load(x->server, now)) / 2;

		if (shift && !shift_is_overdue(shift, route_hash(x), load,
					       (double)(now - x->attempt_at)))
			continue;
		end_latency(x);
		if (shift)
			shift_on_overdue(shift, x->version, route_hash(x));
	}
}

/* Reports the end of the attempt to the service's roll-out, if there is one. */
static void report_to_rollout(struct exchange_request *x)
{
	struct traffic_shift *shift = attempt_rollout(x);

	if (shift && x->answer.result == RETRY_RESULT_BROKEN && !x->was_paused)
		server_on_broken_answer(x->server, gateway_now(x->g));
	/* What the client names may be unknown to any version. */
	if (shift && x->answer.result == RETRY_RESULT_UNSERVED && x->model)
		shift_on_answer(shift, x->version, route_hash(x), true);
	if (!shift || x->answer.result != RETRY_RESULT_COMPLETE) {
		end_latency(x);
		return;
	}
	for (uint32_t n = server_take_broken_answers(x->server, x->attempt_at);
	     n; n--)
		shift_on_answer(shift, x->version, route_hash(x), true);
	shift_on_answer(shift, x->version, route_hash(x),
			x->answer.status >= 500);
	if (x->answer.status < 500)
		count_latency(x);
	else
		end_latency(x);
}

/* Finds out whether the server that broke off the attempt has crashed. */
static void check_for_crash(const struct exchange_request *x, uint64_t now)
{
	const struct crash_suspicion s = {
		.address = x->server->address,
		.server = x->server->hash,
		.request = XXH3_64bits(x->id, strlen(x->id)),
		.keys = x->crash_keys,
		.n_keys = x->n_crash_keys,
	};

	crash_checks_start(x->g->crash_checks, now, &s);
}

/* Relates the end of the attempt to crashes of its server. */
static void record_crash_outcome(struct exchange_request *x,
				 enum http_client_outcome end)
{
	uint64_t now = gateway_now(x->g);
	bool ended_early = !x->attempt_events ||
			   now - x->first_event_at < CRASH_AFTER_EVENT_MS;

	/* An answer without a length may be incomplete. */
	if (x->answer.result == RETRY_RESULT_COMPLETE && !ends_by_close(x)) {
		bool answered_prompt = x->answer.status < 300;
		uint32_t first = answered_prompt ? 0 : x->n_crash_keys - 1;

		crash_keys_on_answer(&x->g->crash_keys, now,
				     x->crash_keys + first,
				     x->n_crash_keys - first);
	}
	if (x->answer.result == RETRY_RESULT_BROKEN && ended_early &&
	    !x->helper && (end == HTTP_CLIENT_INTERRUPTED || ends_by_close(x)))
		check_for_crash(x, now);
}

/* Relates the status of an answer to the load of its server. */
static void record_load_outcome(const struct exchange_request *x)
{
	struct load_limit *l = x->server->load_limit;

	if (load_limit_on_answer(l, gateway_now(x->g), x->load_at_start,
				 x->answer.status >= 500))
		log_event(LOG_EVENT_LOAD_LIMIT,
			  "service=%s version=%s requests=%u", x->service,
			  x->server->version, l->limit);
}

/* Updates whether this node reaches the server. */
static void record_reach(const struct exchange_request *x,
			 enum http_client_outcome end)
{
	uint64_t now = gateway_now(x->g);

	if (end == HTTP_CLIENT_COMPLETE)
		probe_task_on_contact(x->server, now);
	else if (end == HTTP_CLIENT_NOT_SENT)
		probe_task_on_failure(x->g->probes, x->server, now);
	else if (end != HTTP_CLIENT_CANCELLED)
		probe_task_on_doubt(x->g->probes, x->server, now);
}

/* Logs that a brittle server had no room, and what was known before. */
static void record_brittle_refusal(const struct exchange_request *x)
{
	const struct brittle *b = &x->server->brittle;

	counter_add(&x->g->counter_set, COUNTER_BRITTLE_REFUSALS, 1);
	log_event(LOG_EVENT_BRITTLE_REFUSED,
		  "request=%s server=%s known=%d share=%u in_flight=%u "
		  "nodes=%u born=%" G_GUINT64_FORMAT,
		  x->id, x->server->id, x->brittle_at_start, b->max_in_flight,
		  x->server->in_flight, b->nodes, x->server->born);
}

/* Updates the measured speeds by the attempt, which has ended. */
static void record_pace(const struct exchange_request *x)
{
	struct pace_server *p = &x->server->pace;
	uint64_t now = gateway_now(x->g);

	if (x->answer.result != RETRY_RESULT_COMPLETE ||
	    x->answer.status >= 300)
		return;
	if (x->sample.weight > 0)
		pace_on_run(&x->sample, (double)(now - x->attempt_at));
	if (x->attempt_events >= MIN_SERVER_SAMPLE_EVENTS)
		pace_on_event_interval(&x->sample, p, now, attempt_event_ms(x));
	if (!x->streamed)
		pace_on_head(&x->sample, p, now, x->head_ms);
	if (pace_take_change(p, now))
		log_event(LOG_EVENT_SERVER_PACE,
			  "server=%s service=%s slow=%d factor=%.2f "
			  "slowness=%.2f",
			  x->server->id, x->service, p->said_slow,
			  pace_factor(p, now), pace_slowness(p, now));
}

/*
 * Returns whether the attempt ended as one does whose server starts again: it was
 * silent or broke off. One that refuses or answers with an error runs on.
 */
static bool server_may_restart(enum server_outcome outcome,
			       enum http_client_outcome end)
{
	return outcome == SERVER_CALL_TIMED_OUT ||
	       (outcome == SERVER_CALL_FAILED &&
		end == HTTP_CLIENT_INTERRUPTED);
}

/* Updates what is known of the server by the attempt that has ended. */
static void record_call_end(struct exchange_request *x,
			    enum http_client_outcome end)
{
	enum server_outcome outcome = call_outcome(x, end);

	if (x->helper) {
		record_crash_outcome(x, end);
		exchange_end_relay(x, end);
		return;
	}
	report_to_rollout(x);
	record_reach(x, end);
	record_crash_outcome(x, end);
	if (x->answer.result == RETRY_RESULT_COMPLETE)
		record_load_outcome(x);
	admission_task_on_end(x, outcome == SERVER_CALL_REFUSED);
	if (outcome == SERVER_CALL_REFUSED &&
	    brittle_is_in_force(&x->server->brittle))
		record_brittle_refusal(x);
	/* A client that read slowly says nothing of the server's speed. */
	if (x->sample.service && !x->was_paused)
		record_pace(x);
	else if (!x->was_paused && x->answer.result == RETRY_RESULT_COMPLETE &&
		 x->attempt_events >= MIN_SERVER_SAMPLE_EVENTS)
		server_on_event_interval(&x->g->servers, x->server, &x->work,
					 attempt_event_ms(x));
	server_remove_work(x->server, &x->work);
	if (x->route->kind == ROUTE_STREAMING)
		shift_task_record_session(x->g->shifts, gateway_now(x->g),
					  x->service, x->session,
					  x->server->version);
	/* A timeout at the request's own deadline does not blame the server. */
	if (outcome == SERVER_CALL_TIMED_OUT &&
	    gateway_now(x->g) >= x->deadline)
		outcome = SERVER_CALL_IGNORED;
	/* One that times out and answers others meanwhile is slow, not away. */
	if (server_may_restart(outcome, end) &&
	    (outcome != SERVER_CALL_TIMED_OUT ||
	     !reach_has_contact(&x->server->reach, gateway_now(x->g))))
		cold_on_doubt(&x->server->cold);
	server_on_request_end(&x->g->servers, x->server, gateway_now(x->g),
			      outcome, x->streamed ? 0 : x->head_ms);
}

static struct retry_context retry_context_of(const struct exchange_request *x)
{
	const struct retry_context s = {
		.now = gateway_now(x->g),
		.deadline = x->deadline,
		.answer_started = x->answer_started,
		.client_disconnected = !x->req,
		.has_saved = x->saved_status != 0,
		.chosen_by_client = !x->model,
	};

	return s;
}

static void log_attempt(const struct exchange_request *x,
			enum http_client_outcome end, enum retry_step step)
{
	g_autofree char *parts = prompt_parts_text(&x->prompt);

	log_event(LOG_EVENT_ATTEMPT_FAILED,
		  "request=%s server=%s address=%s attempt=%u result=%s end=%s "
		  "status=%d "
		  "ms=%" G_GUINT64_FORMAT " last_event=%" G_GUINT64_FORMAT
		  " next=%s load=%.0f fingerprint=%016" G_GINT64_MODIFIER
		  "x parts=%s framing=%s closed=%s",
		  x->id, x->server->id, x->server->address, x->retry.sent,
		  retry_result_name(x->answer.result),
		  http_client_outcome_name(end), x->answer.status,
		  gateway_now(x->g) - x->attempt_at, x->events.last_id,
		  retry_step_name(step),
		  server_load(x->server, gateway_now(x->g)),
		  x->crash_keys[x->n_crash_keys - 1], parts,
		  http_client_framing_name(x->framing),
		  http_client_close_name(x->closed));
}

/* Decides on the next step after an attempt and takes it. */
static void take_next_step(struct exchange_request *x,
			   enum http_client_outcome end)
{
	struct gateway_state *g = x->g;
	const struct retry_context s = retry_context_of(x);
	enum retry_step step = retry_next_step(&x->retry, &x->answer, &s);

	if (step == RETRY_STEP_RESEND &&
	    x->answer.result == RETRY_RESULT_BROKEN &&
	    crash_keys_on_trial(&g->crash_keys, s.now, x->crash_keys,
				x->n_crash_keys))
		step = retry_step_without_budget(&x->retry, &x->answer, &s);
	if (step == RETRY_STEP_RESEND &&
	    x->answer.result != RETRY_RESULT_UNSENT &&
	    x->answer.result != RETRY_RESULT_WEAK &&
	    !budget_take_retry(&g->budget, gateway_now(g), x->service)) {
		log_event(LOG_EVENT_RETRY_DENIED, "request=%s service=%s",
			  x->id, x->service);
		step = retry_step_without_budget(&x->retry, &x->answer, &s);
	}
	if (x->answer.result != RETRY_RESULT_WEAK &&
	    (x->answer.result != RETRY_RESULT_COMPLETE ||
	     step != RETRY_STEP_DELIVER))
		log_attempt(x, end, step);
	x->server = NULL;
	switch (step) {
	case RETRY_STEP_DELIVER:
		send_buffered_answer(x, x->answer.status, &x->head, x->body);
		return;
	case RETRY_STEP_DELIVER_SAVED:
		send_buffered_answer(x, x->saved_status, &x->saved_head,
				     x->saved_body);
		return;
	case RETRY_STEP_RESEND:
		if (x->answer.result == RETRY_RESULT_COMPLETE)
			save_server_error(x);
		counter_add(&g->counter_set,
			    x->answer_started ? COUNTER_RESUMES
					      : COUNTER_RETRIES,
			    1);
		start_attempt(x);
		return;
	case RETRY_STEP_ABORT:
		abort_answer(x, "broken-off");
		return;
	case RETRY_STEP_REFUSE: {
		const struct retry_refusal r =
			retry_make_refusal(&x->retry, &s);

		send_refusal(x, &r);
		return;
	}
	case RETRY_STEP_DISCARD:
		log_request_end(x, 0, "client-gone");
		finish_request(x);
		return;
	}
}

/*
 * Returns whether a node has passed the answer on without a length. Nodes of
 * older builds do, and end such an answer in order when its server resets it.
 */
static bool is_unframed_by_helper(const struct exchange_request *x)
{
	return x->helper && ends_by_close(x);
}

/* Takes the attempt's result and the next step. */
static void conclude_attempt(struct exchange_request *x,
			     enum http_client_outcome end)
{
	struct admission_service *admission = x->admission_service;

	retry_on_end(&x->answer, end == HTTP_CLIENT_COMPLETE,
		     end == HTTP_CLIENT_NOT_SENT,
		     !x->req && end == HTTP_CLIENT_CANCELLED);
	if (x->answer.result == RETRY_RESULT_COMPLETE && x->streamed &&
	    (x->events.mid_event || x->stream_status != EVENT_STREAM_OK ||
	     is_unframed_by_helper(x)))
		x->answer.result = RETRY_RESULT_BROKEN;
	/* Unless a helper says otherwise, a server may have run the request. */
	if (x->answer.result == RETRY_RESULT_COMPLETE && !x->by_server)
		x->answer.result = RETRY_RESULT_BROKEN;
	record_call_end(x, end);
	if (x->answer.result == RETRY_RESULT_COMPLETE && x->streamed) {
		retry_count_answer(&x->retry, &x->answer);
		finish_stream(x);
	} else {
		take_next_step(x, end);
	}
	admission_task_on_room(admission);
}

static void on_end_tested(void *user, enum connect_test_result result)
{
	conclude_attempt(user, result == CONNECT_TEST_CONNECTED
				       ? HTTP_CLIENT_COMPLETE
				       : HTTP_CLIENT_INTERRUPTED);
}

/*
 * Starts to find out whether the end of an answer that states none is what its
 * server meant: the kernel ends the connections of a killed process in the same
 * way. Returns false if there is nothing to find out.
 */
static bool test_end(struct exchange_request *x, enum http_client_outcome end)
{
	const struct connect_test_times times = {END_TEST_DELAY_MS,
						 CONNECT_TIMEOUT_MS};

	if (end != HTTP_CLIENT_COMPLETE || !ends_by_close(x) ||
	    x->answer.result != RETRY_RESULT_COMPLETE)
		return false;
	return connect_test_start(x->g->loop, x->server->address, times,
				  on_end_tested, x);
}

static void on_call_end(void *user, enum http_client_outcome end)
{
	struct exchange_request *x = user;

	x->closed = http_client_closed_by_server(x->call);
	x->call = NULL;
	stop_waiting_for_room(x);
	if (!test_end(x, end))
		conclude_attempt(x, end);
}

/* Counts a load report that is not used, and logs the first of several in a row. */
static void on_bad_load_report(struct exchange_request *x, const char *value)
{
	counter_add(&x->g->counter_set, COUNTER_BAD_LOAD_REPORTS, 1);
	if (x->server->bad_load_report)
		return;
	x->server->bad_load_report = true;
	log_event(LOG_EVENT_LOAD_REPORT_BAD,
		  "service=%s server=%s value=%.*s request=%s", x->service,
		  x->server->id, MAX_LOGGED_VALUE, value, x->id);
}

/*
 * Stores the load that a server reports as "running,waiting,slots", and how slow
 * its machine is if that is the fourth figure.
 */
static void read_load_header(struct exchange_request *x, const char *value,
			     bool by_server)
{
	struct load_report r;
	uint64_t now = gateway_now(x->g);

	if (!value)
		return;
	if (!load_report_parse(value, &r)) {
		on_bad_load_report(x, value);
		return;
	}
	x->server->bad_load_report = false;
	server_on_load_report(x->server, now, r.running, r.waiting, r.slots);
	if (!r.percent && x->g->contended)
		r.percent = PACE_USUAL_PERCENT;
	if (!x->helper && by_server &&
	    server_on_slowness_report(&x->g->servers, x->server, now,
				      r.percent))
		log_event(LOG_EVENT_SHARED_MACHINES,
			  "service=%s server=%s percent=%u", x->service,
			  x->server->id, r.percent);
	admission_task_on_room(x->admission_service);
}

/* Takes up the limit that a server names with an answer. */
static void read_rate_limit(struct exchange_request *x, const char *value)
{
	double per_s = rate_limit_parse(value);

	if (rate_limit_hear(&x->server->limit, gateway_now(x->g), per_s, true))
		log_event(LOG_EVENT_SERVER_LIMIT,
			  "server=%s per_s=%.3f request=%s", x->server->id,
			  per_s, x->id);
}

/* Takes up how many refusals a second a server says that it bears. */
static void read_brittle(struct exchange_request *x, const char *value)
{
	const struct brittle_notice said = {
		.refusals_per_s = brittle_parse(value),
		.answered_at = gateway_now(x->g),
	};

	if (!server_hear_brittle(&x->g->servers, x->server, &said))
		return;
	x->server->brittle.news = true;
	fleet_task_on_brittle(x->g->fleet, said.answered_at);
	log_event(LOG_EVENT_SERVER_BRITTLE,
		  "service=%s server=%s refusals_per_s=%.1f request=%s",
		  x->server->service, x->server->id, said.refusals_per_s,
		  x->id);
}

/* Takes up a time, in seconds, for which a refusing server wants no request. */
static void read_pause(struct exchange_request *x, const char *value)
{
	uint64_t now = gateway_now(x->g);
	double s = value && g_ascii_isdigit(*value)
			   ? g_ascii_strtod(value, NULL)
			   : 0;

	if (!(s > 0))
		return;
	s = MIN(s, MAX_PAUSE_S);
	if (server_may_get_request(x->server, now))
		log_event(LOG_EVENT_SERVER_PAUSE,
			  "server=%s pause_s=%.2f request=%s", x->server->id, s,
			  x->id);
	server_on_pause(x->server, now, (uint64_t)(1000 * s));
}

/* Takes up what the attempt's server says of itself. */
static void read_notices(struct exchange_request *x, int status,
			 const struct http_message_fields *fields)
{
	const struct header_names *names = x->g->header_names;
	const char *leaving = http_message_find(fields, names->leaving);

	read_rate_limit(x, http_message_find(fields, names->rate_limit));
	read_brittle(x, http_message_find(fields, names->brittle));
	cold_on_answer(&x->server->cold, gateway_now(x->g),
		       http_message_find(fields, names->cold));
	if (status == 503)
		read_pause(x, http_message_find(fields, "retry-after"));
	if (leaving && !strcmp(leaving, "1") &&
	    server_on_said_leaving(x->server))
		log_event(LOG_EVENT_SERVER_CHANGED,
			  "server=%s from=ready to=draining request=%s",
			  x->server->id, x->id);
}

/*
 * Takes up what a server says of itself with an answer of its own, also if it
 * came by way of a helper, which names the server then.
 */
static void read_server_notices(struct exchange_request *x, int status,
				const struct http_message_fields *fields)
{
	struct server_record *receiver = x->server;
	const char *id = http_message_find(fields, RELAY_SERVER_HEADER);

	if (x->helper)
		x->server = id ? server_find(&x->g->servers, id) : NULL;
	if (x->server)
		read_notices(x, status, fields);
	x->server = receiver;
}

/* Names the server that gave the answer for the node that asked. */
static void add_relay_server(struct exchange_request *x)
{
	const char *id = x->server->id;

	http_message_fields_add_name(&x->head, RELAY_SERVER_HEADER,
				     strlen(RELAY_SERVER_HEADER));
	http_message_fields_add_value(&x->head, id, strlen(id));
	http_message_fields_finish(&x->head);
}

/*
 * Decides by the expected times of the models and by evidence. Stores the model
 * to ask and what its answer is worth.
 */
static enum cascade_choice decide_by_time(struct exchange_request *x,
					  const char *confidence,
					  size_t *larger, double *value)
{
	struct model_option options[MODEL_CHOICE_MAX_MODELS];
	struct model_situation s =
		exchange_describe_models(x, gateway_now(x->g), options);

	s.kept_worth = model_choice_kept_worth(
		g_ascii_strtod(confidence, NULL),
		100 * cascade_target(&x->g->cascade, x->route->priority));
	*larger = model_choice_next(options, x->route->n_models, x->model_index,
				    &s, value);
	if (*larger != x->model_index)
		return CASCADE_ESCALATE;
	*larger = x->route->n_models - 1;
	return CASCADE_KEEP_TOO_LATE;
}

/* Decides by the chance that the largest model is in time. Stores both. */
static enum cascade_choice decide_by_chance(struct exchange_request *x,
					    const char *confidence,
					    size_t *larger, double *chance)
{
	*larger = x->route->n_models - 1;
	*chance = exchange_chance_in_time(x, gateway_now(x->g), *larger);
	return cascade_decide(&x->g->cascade, x->route, x->model_index,
			      confidence, *chance);
}

/*
 * Returns the choice, also by the attempts and the budget left. Takes a retry from
 * the budget if it is to escalate.
 */
static enum cascade_choice limit_choice(struct exchange_request *x,
					enum cascade_choice choice)
{
	struct gateway_state *g = x->g;
	const struct retry_context s = retry_context_of(x);

	if (choice != CASCADE_ESCALATE)
		return choice;
	if (!retry_has_attempt_left(&x->retry, &s))
		return CASCADE_KEEP_NO_ATTEMPT;
	return budget_take_retry(&g->budget, s.now, x->service)
		       ? CASCADE_ESCALATE
		       : CASCADE_KEEP_NO_BUDGET;
}

/* Adds the answer to what is known of its model; the largest is always kept. */
static void record_quality(struct exchange_request *x, bool good)
{
	const struct model_key key = exchange_model_key(x);

	if (x->model_index + 1 < x->route->n_models)
		model_choice_add(&x->g->model_choice, gateway_now(x->g), &key,
				 x->model_index, good);
}

/*
 * Decides whether to drop a smaller model's answer for its low confidence, as
 * long as the client has received nothing. If so, chooses a larger model for
 * the next attempt and returns true.
 */
static bool escalate_to_larger_model(struct exchange_request *x,
				     const struct http_message_fields *fields)
{
	const char *confidence =
		http_message_find(fields, x->g->header_names->confidence);
	enum cascade_choice choice;
	size_t larger;
	double chance;
	bool good, by_time = exchange_chooses_by_time(x);

	if (!x->model || x->answer_started || !x->req)
		return false;
	good = cascade_is_good_enough(&x->g->cascade, x->route, x->model_index,
				      confidence);
	if (by_time)
		record_quality(x, good);
	if (good)
		return false;
	choice = by_time ? decide_by_time(x, confidence, &larger, &chance)
			 : decide_by_chance(x, confidence, &larger, &chance);
	choice = limit_choice(x, choice);
	log_event(LOG_EVENT_WEAK_ANSWER,
		  "request=%s model=%s confidence=%s wanted=%.0f larger=%s "
		  "chance=%.2f tokens=%u ms=%" G_GUINT64_FORMAT " choice=%s",
		  x->id, x->model, confidence,
		  100 * cascade_target(&x->g->cascade, x->route->priority),
		  x->route->models[larger], chance, x->prompt.input_tokens,
		  gateway_now(x->g) - x->started_at,
		  cascade_choice_name(choice));
	if (choice != CASCADE_ESCALATE)
		return false;
	x->model_index = larger;
	x->model = x->route->models[larger];
	x->answer.result = RETRY_RESULT_WEAK;
	counter_add(&x->g->counter_set, COUNTER_ESCALATIONS, 1);
	return true;
}

/*
 * Returns whether the answer is of the server that the attempt is for. A node
 * that serves the request for this one speaks for the servers.
 */
static bool names_receiver(const struct exchange_request *x,
			   const struct http_message_fields *fields)
{
	const char *server =
		http_message_find(fields, x->g->header_names->server);

	return x->helper || (server && !strcmp(server, x->server->id));
}

static void on_head(void *user, const struct http_client_head *head)
{
	struct exchange_request *x = user;
	const struct header_names *names = x->g->header_names;
	const char *id = http_message_find(head->fields, names->request_id);
	const char *type = http_message_find(head->fields, "content-type");
	const struct retry_answer_head h = {
		.status = head->status,
		.has_id = id != NULL,
		.id_matches = id && !strcmp(id, x->id),
		.not_run =
			http_message_find(head->fields, names->not_run) != NULL,
		.has_receipt =
			http_message_find(head->fields, names->receipt) != NULL,
		.encoded = http_message_find(head->fields,
					     "content-encoding") != NULL,
		.names_receiver = names_receiver(x, head->fields),
	};

	x->head_ms =
		(double)(gateway_now(x->g) - x->attempt_at) + TIME_OFFSET_MS;
	x->by_server = !x->helper ||
		       http_message_find(head->fields, RELAY_SERVER_HEADER);
	if (!x->helper)
		probe_task_on_contact(x->server, gateway_now(x->g));
	read_load_header(x, http_message_find(head->fields, names->load),
			 h.id_matches && h.status != 421);
	if (h.id_matches && h.status != 421)
		read_server_notices(x, h.status, head->fields);
	if (!retry_on_head(&x->answer, &h)) {
		http_client_cancel(x->call);
		return;
	}
	x->framing = head->framing;
	x->streamed = head->status == 200 && type &&
		      g_str_has_prefix(type, "text/event-stream");
	if (x->streamed && escalate_to_larger_model(x, head->fields)) {
		http_client_cancel(x->call);
		return;
	}
	if (x->streamed)
		http_client_extend_by_caller(x->call);
	/* A resumed stream keeps the head of its first server. */
	if (!x->answer_started) {
		http_message_fields_copy(&x->head, head->fields);
		if (x->relayed)
			add_relay_server(x);
	} else if (!x->streamed)
		x->answer.not_a_stream = true;
}

static void forward_event(void *user, const char *data, size_t len)
{
	struct exchange_request *x = user;

	start_answer(x);
	x->last_event_at = gateway_now(x->g);
	if (!x->helper)
		probe_task_on_contact(x->server, x->last_event_at);
	if (!x->attempt_events++) {
		double ms = (double)(x->last_event_at - x->attempt_at);

		x->first_event_at = x->last_event_at;
		if (x->sample.service)
			pace_on_first_event(&x->sample, &x->server->pace,
					    x->first_event_at, ms);
		else
			server_on_first_event(&x->g->servers, &x->work, ms);
		server_on_prefill_done(x->server, &x->work);
	}
	if (x->attempt_events == SHIFT_LATENCY_EVENTS)
		count_latency(x);
	if (x->call) {
		http_client_set_progress_limit(
			x->call, retry_gap_timeout_ms(&x->retry, x->route));
		http_client_extend(x->call);
	}
	if (x->req)
		http_server_write(x->req, data, len);
}

/* Counts what is buffered of answers in the node's account. */
static void count_memory(struct exchange_request *x)
{
	size_t bytes = x->body->allocated_len + x->saved_body->allocated_len +
		       x->events.buffer->allocated_len;

	memory_discharge(x->g->memory, x->counted_bytes);
	memory_charge(x->g->memory, bytes);
	x->counted_bytes = bytes;
	if (memory_is_exceeded(x->g->memory))
		http_server_relieve(x->g->memory, gateway_now(x->g));
}

/* Stops reading from the server. Times of the attempt do not count any more. */
static void pause_answer(struct exchange_request *x)
{
	if (!x->call)
		return;
	x->was_paused = true;
	end_latency(x);
	http_client_pause(x->call);
}

/*
 * Stops reading an answer that the client does not get before it is complete while
 * memory is short, unless it is the first of these: one at a time goes on.
 */
static void pause_for_memory(struct exchange_request *x)
{
	GPtrArray *paused = x->g->paused_answers;

	if (!memory_is_exceeded(x->g->memory) ||
	    x->body->len < MIN_PAUSED_BODY_BYTES)
		return;
	if (!x->waits_for_room)
		g_ptr_array_add(paused, x);
	x->waits_for_room = true;
	if (paused->pdata[0] != x)
		pause_answer(x);
}

/* Reads answers on that were paused for want of memory; see pause_for_memory(). */
void exchange_resume_answers(struct gateway_state *g)
{
	GPtrArray *paused = g->paused_answers;
	bool is_short = memory_is_exceeded(g->memory);
	guint n = is_short ? MIN(paused->len, 1) : paused->len;

	for (guint i = 0; i < n; i++) {
		struct exchange_request *x = paused->pdata[i];

		x->waits_for_room = is_short;
		if (x->call)
			http_client_resume(x->call);
	}
	if (!is_short)
		g_ptr_array_set_size(paused, 0);
}

/* The client has taken enough of the answer that the server is read from again. */
static void on_client_drained(void *user)
{
	struct exchange_request *x = user;

	if (x->call && !x->waits_for_room)
		http_client_resume(x->call);
}

static void on_data(void *user, const char *data, size_t len)
{
	struct exchange_request *x = user;

	if (x->answer.result != RETRY_RESULT_COMPLETE)
		return;
	if (!x->streamed) {
		g_string_append_len(x->body, data, (gssize)len);
		if (x->body->len > MAX_BUFFERED_BODY_BYTES)
			x->answer.too_large = true;
	} else {
		x->stream_status = event_stream_push(&x->events, data, len,
						     forward_event, x);
	}
	count_memory(x);
	if (x->stream_status != EVENT_STREAM_OK || x->answer.too_large) {
		x->answer.result = RETRY_RESULT_BROKEN;
		if (x->call)
			http_client_cancel(x->call);
	} else if (!x->streamed) {
		pause_for_memory(x);
	} else if (x->req && http_server_unsent_bytes(x->req) >
				     HTTP_SERVER_BACKLOG_BYTES) {
		pause_answer(x);
	}
}

static const struct http_client_callbacks server_events = {on_head, on_data,
							   on_call_end};

/*
 * Returns the name of the pool of kept connections to a server, newly
 * allocated. It has the id, because an address may be reused by another server.
 */
char *exchange_pool_name(const struct server_record *s)
{
	return g_strdup_printf("%s/%s", s->address, s->id);
}

/* A helper needs time for an attempt of its own that fails. */
static uint32_t first_timeout_ms(const struct exchange_request *x)
{
	uint32_t ms = retry_first_timeout_ms(&x->retry, x->route,
					     x->prompt.input_tokens);

	return x->helper ? 2 * ms + HELPER_CONNECT_MS : ms;
}

/* Sends the attempt's request to x->server. */
static void call_server(struct exchange_request *x, uint64_t now)
{
	struct gateway_state *g = x->g;
	g_autofree char *headers = exchange_request_headers(x, now);
	g_autofree char *pool = exchange_pool_name(x->server);
	size_t len;
	const char *body = http_server_body(x->req, &len);
	bool repeatable = route_is_repeatable(x->route);
	uint32_t left = (uint32_t)(x->deadline - now);
	uint32_t first = first_timeout_ms(x);
	struct http_client_request req = {
		.address = x->server->address,
		.pool = pool,
		.method = http_server_method(x->req),
		.path = http_server_path(x->req),
		.headers = headers,
		.body = body,
		.len = len,
		.connect_ms = MIN(CONNECT_TIMEOUT_MS, left),
		.head_ms = MIN(first, left),
		.progress_ms = first,
		.total_ms = left,
		.max_idle_ms = repeatable ? MAX_KEPT_IDLE_MS
					  : MAX_KEPT_IDLE_NON_REPEATABLE_MS,
		.has_host_header = true,
		.omit_content_length =
			!len && !http_message_find(http_server_fields(x->req),
						   "content-length"),
		.correlation_header = g->header_names->request_id,
		.correlation_value = x->id,
	};

	counter_add(&g->counter_set, COUNTER_ATTEMPTS, 1);
	x->attempt_at = now;
	x->call = http_client_start(g->http, &req, &server_events, x);
}

/* Returns why a request is refused of which some crash key is blocked. */
static const char *blocked_reason(const struct exchange_request *x,
				  uint64_t now)
{
	return crash_keys_blocked_ms(&x->g->crash_keys, now,
				     x->crash_keys + x->n_crash_keys - 1, 1)
		       ? "crashing-request"
		       : "crashing-part";
}

/*
 * Sets the attempt's server, or the helper in its place: while half of the
 * service's servers or more are out of reach here, other nodes get the share of
 * the requests that would go there, so that the rest is not overrun. Returns false
 * if there is neither. A node that is no better off than the one that asks does
 * not help.
 */
static bool choose_receiver(struct exchange_request *x, uint64_t now)
{
	struct server_reach r =
		server_service_reach(&x->g->servers, now, x->service);
	bool impaired = server_reach_is_impaired(&r);

	x->helper = NULL;
	x->server = NULL;
	if (now + MIN_SEND_TIME_MS >= x->deadline ||
	    (impaired && x->relayed && !x->retry.sent))
		return false;
	impaired &= !x->relayed;
	if (impaired && rng_below(&x->g->rng, r.known) < r.lost &&
	    exchange_choose_helper(x, now))
		return true;
	x->server = exchange_pick_server(x, now);
	return x->server ||
	       ((impaired ||
		 (!x->relayed &&
		  (server_service_is_brittle(&x->g->servers, x->service) ||
		   server_service_is_suspected(&x->g->servers, now,
					       x->service)))) &&
		exchange_choose_helper(x, now));
}

/*
 * Ends the request if its client has left, which is not read yet if the process
 * has just gone on after a pause or has more to do than it can. Returns whether
 * it did.
 */
static bool drop_if_client_left(struct exchange_request *x)
{
	if (x->req && http_server_client_has_left(x->req))
		http_server_drop(x->req);
	if (x->req)
		return false;
	log_event(LOG_EVENT_CLIENT_LEFT, "request=%s route=%s attempts=%u",
		  x->id, x->route->name, x->retry.sent);
	counter_add(&x->g->counter_set, COUNTER_CLIENTS_LEFT, 1);
	log_request_end(x, 0, "client-gone");
	free_request(x);
	return true;
}

/*
 * Refuses a request that has not run and that may outlast the node, which stops.
 * Returns whether it did.
 */
static bool refuse_if_stopping(struct exchange_request *x, uint64_t now)
{
	const struct retry_refusal r = {503, "draining",
					EXCHANGE_DRAINING_RETRY_AFTER_MS};
	uint64_t left_ms = x->deadline > now ? x->deadline - now : 0;

	if (x->retry.verdict != VERDICT_NOT_RUN ||
	    gateway_may_start(x->g, left_ms))
		return false;
	send_refusal(x, &r);
	return true;
}

/*
 * Starts an attempt, or ends the request if its client has left or there is no
 * server for it.
 */
static void start_attempt(struct exchange_request *x)
{
	uint64_t now = gateway_now(x->g);
	struct traffic_shift *shift;
	const struct retry_context s = retry_context_of(x);
	uint64_t blocked_ms = crash_keys_blocked_ms(
		&x->g->crash_keys, now, x->crash_keys, x->n_crash_keys);

	if (drop_if_client_left(x))
		return;
	INVARIANT(retry_may_send(&x->retry),
		  "exchange: a request that may have run is not sent again");
	if (refuse_if_stopping(x, now))
		return;
	if (blocked_ms || !choose_receiver(x, now)) {
		struct retry_refusal r = retry_make_refusal(&x->retry, &s);

		if (blocked_ms) {
			r.reason = blocked_reason(x, now);
			if (r.retry_after_ms)
				r.retry_after_ms = (uint32_t)blocked_ms;
		}
		if (x->answer_started)
			abort_answer(x, blocked_ms ? r.reason : "no-server");
		else if (x->saved_status)
			send_buffered_answer(x, x->saved_status, &x->saved_head,
					     x->saved_body);
		else
			send_refusal(x, &r);
		return;
	}
	INVARIANT(!x->server->evacuated,
		  "exchange: no request for a server of an evacuated zone");
	INVARIANT(x->server->state == SERVER_READY,
		  "exchange: only a ready server gets a request");
	INVARIANT(server_may_get_request(x->server, now),
		  "exchange: no request for a server that wants none now");
	if (!x->helper && x->n_tried < PICK_MAX_TRIED)
		x->tried[x->n_tried++] = x->server->hash;
	retry_begin_attempt(&x->retry, &x->answer);
	g_string_truncate(x->body, 0);
	event_stream_restart(&x->events);
	x->streamed = false;
	x->was_paused = false;
	x->framing = HTTP_CLIENT_FRAMING_NONE;
	x->closed = HTTP_CLIENT_CLOSE_NONE;
	x->stream_status = EVENT_STREAM_OK;
	x->head_ms = 0;
	x->attempt_events = 0;
	if (cold_is_in_force(&x->server->cold, now))
		counter_add(&x->g->counter_set, COUNTER_COLD_REQUESTS, 1);
	server_on_request_start(x->server, now);
	server_add_work(x->server, &x->work);
	if (!x->helper)
		admission_task_on_start(x);
	x->load_at_start = server_load(x->server, now);
	x->brittle_at_start = brittle_is_in_force(&x->server->brittle);
	x->server_version = g_intern_string(x->server->version);
	shift = shift_task_find(x->g->shifts, x->service);
	if (shift && x->rollout_active)
		shift_on_sent(shift, x->version);
	begin_latency(x);
	if (x->route->kind == ROUTE_STREAMING && !x->helper)
		shift_task_record_session(x->g->shifts, now, x->service,
					  x->session, x->server->version);
	counter_add(&x->g->counter_set, COUNTER_PROMPT_TOKENS,
		    x->sample.tokens);
	counter_add(&x->g->counter_set, COUNTER_PROMPT_TOKENS_HELD,
		    x->sample.held_tokens);
	call_server(x, now);
}

/* Starts the first attempt of a request that has waited for a place. */
void exchange_start_admitted(struct exchange_request *x)
{
	start_attempt(x);
}

/* Refuses a request that was not sent to any server, and frees it. */
void exchange_refuse_unsent(struct exchange_request *x, const char *reason,
			    uint32_t retry_after_ms)
{
	const struct retry_refusal r = {503, reason, retry_after_ms};

	INVARIANT(!x->retry.sent && x->retry.verdict == VERDICT_NOT_RUN,
		  "exchange: only what was not sent is refused as such");
	send_refusal(x, &r);
}

/*
 * Returns how long a request may take, in ms: the lesser of what its client and
 * its route allow.
 */
uint64_t exchange_time_ms(const struct gateway_state *g,
			  struct http_server_request *req,
			  const struct route_entry *route)
{
	const char *value = http_server_header(req, g->header_names->deadline);
	uint64_t ms = route->timeout_ms;

	if (value && g_ascii_isdigit(*value))
		ms = MIN(ms, g_ascii_strtoull(value, NULL, 10));
	return ms;
}

/* Chooses the first model by the expected times of all and by evidence. */
static void choose_first_by_time(struct exchange_request *x)
{
	struct model_option options[MODEL_CHOICE_MAX_MODELS];
	enum model_reason reason;
	const struct model_situation s =
		exchange_describe_models(x, x->started_at, options);
	size_t first =
		model_choice_first(options, x->route->n_models, &s, &reason);

	if (!first)
		return;
	x->model_index = first;
	x->model = x->route->models[first];
	counter_add(&x->g->counter_set, COUNTER_LARGER_FIRST, 1);
	log_event(LOG_EVENT_MODEL_CHOSEN,
		  "request=%s model=%s reason=%s good=%.2f answers=%.0f "
		  "small_ms=%.0f ms=%.0f second_run=%.2f tokens=%u",
		  x->id, x->model, model_reason_name(reason),
		  options[0].belief.mean, options[0].belief.tried,
		  options[0].first_event_ms, options[first].first_event_ms,
		  s.escalation_chance, x->prompt.input_tokens);
}

/*
 * Chooses the model if the client leaves that to the gateway. A stream that the
 * client resumes goes to the largest model.
 */
static void choose_model(struct exchange_request *x)
{
	const char *asked =
		http_server_header(x->req, x->g->header_names->model);

	if (!x->route->n_models || !asked ||
	    strcmp(asked, x->g->header_names->any_model) != 0)
		return;
	x->model_index =
		x->events.has_last_id
			? x->route->n_models - 1
			: cascade_first_model(&x->g->cascade, x->route);
	x->model = x->route->models[x->model_index];
	if (!x->model_index && exchange_chooses_by_time(x))
		choose_first_by_time(x);
}

/* Returns how many attempts the node that passes a request on leaves to this. */
static uint32_t granted_attempts(struct http_server_request *req,
				 const struct route_entry *route)
{
	const char *value = http_server_header(req, RELAY_ATTEMPTS_HEADER);
	uint64_t n = value && g_ascii_isdigit(*value)
			     ? g_ascii_strtoull(value, NULL, 10)
			     : 1;

	return (uint32_t)CLAMP(n, 1, MAX(route->attempts, 1));
}

static void set_crash_keys(struct exchange_request *x)
{
	struct fingerprint_input in = {
		.method = http_server_method(x->req),
		.host = http_server_header(x->req, "host"),
		.path = http_server_path(x->req),
		.caller = x->org,
	};

	in.body = http_server_body(x->req, &in.body_len);
	x->n_crash_keys = x->prompt.n_parts;
	memcpy(x->crash_keys, x->prompt.parts, sizeof(x->prompt.parts));
	x->crash_keys[x->n_crash_keys++] = fingerprint_of(&in);
}

static struct exchange_request *new_request(struct gateway_state *g,
					    struct http_server_request *req,
					    const struct route_entry *route,
					    route_handle org, const char *id,
					    bool relayed)
{
	struct exchange_request *x = g_new0(struct exchange_request, 1);
	const char *last_event =
		http_server_header(req, g->header_names->last_event);
	const char *session = http_server_header(req, g->header_names->session);

	x->g = g;
	x->req = req;
	x->routes = route_table_ref(g->routes);
	x->route = route;
	x->id = g_strdup(id);
	x->started_at = gateway_now(g);
	x->deadline = x->started_at + exchange_time_ms(g, req, route);
	x->urgency = route->priority;
	if (org != ROUTE_NONE) {
		x->org = g->routes->orgs[org].name;
		if (g->routes->orgs[org].has_priority)
			x->urgency = g->routes->orgs[org].priority;
	}
	x->urgency = MIN(x->urgency, MAX_URGENCY);
	prompt_parse(&x->prompt,
		     http_server_header(req, g->header_names->prefix),
		     http_server_header(req, g->header_names->tokens));
	set_crash_keys(x);
	x->session = session ? XXH3_64bits(session, strlen(session))
			     : x->prompt.session;
	retry_init(&x->retry, route);
	x->relayed = relayed;
	if (relayed)
		x->retry.max_sent = granted_attempts(req, route);
	g->relayed_requests += relayed;
	http_message_fields_init(&x->head);
	http_message_fields_init(&x->saved_head);
	x->body = g_string_new(NULL);
	x->saved_body = g_string_new(NULL);
	event_stream_init(&x->events);
	if (last_event && g_ascii_isdigit(*last_event))
		event_stream_start_after(
			&x->events, g_ascii_strtoull(last_event, NULL, 10));
	g->open_requests++;
	return x;
}

/*
 * Starts serving an admitted request. It frees itself after its answer; org is
 * the client's organisation or ROUTE_NONE, id is copied. If another node has
 * passed it on, that one counts it.
 */
void exchange_start(struct gateway_state *g, struct http_server_request *req,
		    const struct route_entry *route, route_handle org,
		    const char *id, bool relayed)
{
	struct exchange_request *x =
		new_request(g, req, route, org, id, relayed);
	route_handle service = route_draw_service(route, rng_next(&g->rng));
	struct traffic_shift *shift;

	x->service = g->routes->services[service].name;
	choose_model(x);
	shift = shift_task_find(g->shifts, x->service);
	if (!relayed)
		budget_count_request(&g->budget, gateway_now(g), x->service);
	if (shift && !relayed)
		shift_on_request(shift);
	http_server_on_disconnect(req, on_client_disconnect, x);
	http_server_on_drain(req, on_client_drained, x);
	if (!admission_task_hold(x))
		start_attempt(x);
}
