#include "api/api.h"

#include <json-c/json.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/watch-task.h"
#include "json-check.h"
#include "member/member-task.h"
#include "usage/usage-task.h"

#define BEARER_PREFIX "Bearer "
#define MAX_DEADLINE_MS 3600000
/* Retry-After of refusals, in seconds. */
#define RETRY_AFTER_NODE_BUSY_S 1
#define RETRY_AFTER_USAGE_FULL_S 5

/* Returns the wall clock in microseconds, for traces only. */
uint64_t api_wall_clock_us(void)
{
	return (uint64_t)g_get_real_time();
}

/*
 * Adds a span from start_us until now to the request's trace. The formatted
 * detail is cut to TRACE_DETAIL_BYTES.
 */
void api_trace_span(struct api_request *request, const char *name,
		    uint64_t start_us, const char *fmt, ...)
{
	char detail[TRACE_DETAIL_BYTES];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(detail, sizeof(detail), fmt, ap);
	va_end(ap);
	trace_add_span(request->node->trace, request->trace, name, start_us,
		       api_wall_clock_us(), detail);
}

/* Adds a decision to the request's trace, as shown by /explain. */
void api_trace_note(struct api_request *request, const char *key,
		    const char *fmt, ...)
{
	g_autofree char *value = NULL;
	va_list ap;

	va_start(ap, fmt);
	value = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	trace_add_note(request->node->trace, request->trace, key, value);
}

static void count_refusal(struct node *n, enum verdict_kind verdict)
{
	switch (verdict) {
	case VERDICT_NOT_RUN:
		counter_add(&n->counter_set, COUNTER_REFUSED_NOT_RUN, 1);
		return;
	case VERDICT_MAY_HAVE_RUN:
		counter_add(&n->counter_set, COUNTER_REFUSED_MAY_HAVE_RUN, 1);
		return;
	case VERDICT_RAN:
		counter_add(&n->counter_set, COUNTER_REFUSED_RAN, 1);
		return;
	}
}

static char *refusal_json(const struct api_request *request,
			  const struct api_refusal *r)
{
	struct json_object *o = json_object_new_object();
	struct json_object *e = json_object_new_object();
	char *text;

	json_object_object_add(o, "error", e);
	jcheck_add_string(e, "verdict", verdict_name(r->verdict));
	jcheck_add_string(e, "reason", r->reason);
	jcheck_add_string(e, "message", r->message);
	jcheck_add_string(e, "request_id", request->id);
	if (r->retry_after_s)
		json_object_object_add(
			e, "retry_after_s",
			json_object_new_int((int)r->retry_after_s));
	text = g_strdup(
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
	return text;
}

/*
 * Refuses a request with verdict, reason and, where a retry helps, Retry-After,
 * and ends it. Sends nothing if the client has disconnected.
 */
void api_refuse(struct api_request *request, const struct api_refusal *r)
{
	g_autofree char *text = refusal_json(request, r);
	char after[16];

	count_refusal(request->node, r->verdict);
	api_trace_note(request, "refused", "%s: %s", r->reason, r->message);
	if (request->http_request) {
		api_add_headers(request, NULL, r->verdict);
		if (r->retry_after_s) {
			snprintf(after, sizeof(after), "%u", r->retry_after_s);
			http_server_add_header(request->http_request,
					       "retry-after", after);
		}
		http_server_reply_json(request->http_request, r->status, text);
	}
	api_end(request, r->verdict);
}

/*
 * Adds the headers that every response carries. `version` is "model@version" or
 * the name of a plain service; NULL with a refusal.
 */
void api_add_headers(struct api_request *request, const char *version,
		     enum verdict_kind verdict)
{
	if (!request->http_request)
		return;
	http_server_add_header(request->http_request, "x-request-id",
			       request->id);
	http_server_add_header(request->http_request, "x-chivegw-node",
			       request->node->settings->node);
	http_server_add_header(request->http_request, "x-chivegw-verdict",
			       verdict_name(verdict));
	if (version) {
		g_auto(GStrv) parts = g_strsplit(version, "@", 2);

		http_server_add_header(request->http_request, "x-chivegw-model",
				       parts[0]);
		http_server_add_header(request->http_request,
				       "x-chivegw-version",
				       parts[1] ? parts[1] : "-");
	}
}

/*
 * Releases the capacity that the request was admitted to. Called as soon as no
 * backend server works for it any longer.
 */
void api_release(struct api_request *request)
{
	cfg_handle org;

	if (!request->admitted)
		return;
	request->admitted = false;
	api_find_org(request, &org);
	limit_release(&request->node->limits, node_now(request->node), org);
}

/* Ends a request, once: releases its capacity and ends its trace. */
void api_end(struct api_request *request, enum verdict_kind verdict)
{
	if (request->ended)
		return;
	request->ended = true;
	api_release(request);
	trace_end_request(request->node->trace, request->trace,
			  api_wall_clock_us(), verdict_name(verdict));
}

/* Frees the members of a request when its task has nothing left to do. */
void api_clear(struct api_request *request)
{
	g_free(request->org);
	request->org = NULL;
	request->node->open_tasks--;
}

/*
 * Finds the request's organisation in the configuration in force. Returns false
 * if it was removed; `org` is CFG_NONE then.
 */
bool api_find_org(const struct api_request *request, cfg_handle *org)
{
	*org = cfg_find_org_by_name(request->node->cfg, request->org);
	return *org != CFG_NONE;
}

static void refuse_with(struct api_request *request, int status,
			const char *reason, const char *message,
			uint32_t retry_after_s)
{
	const struct api_refusal r = {
		.status = status,
		.verdict = VERDICT_NOT_RUN,
		.reason = reason,
		.message = message,
		.retry_after_s = retry_after_s,
	};

	api_refuse(request, &r);
}

static bool authenticate(struct api_request *request)
{
	const char *auth =
		http_server_header(request->http_request, "authorization");
	uint8_t digest[CFG_DIGEST_BYTES];
	gsize len = sizeof(digest);
	g_autoptr(GChecksum) sum = NULL;
	cfg_handle org;

	if (!auth || !g_str_has_prefix(auth, BEARER_PREFIX)) {
		refuse_with(request, 401, "unauthenticated",
			    "a bearer key is required", 0);
		return false;
	}
	sum = g_checksum_new(G_CHECKSUM_SHA256);
	g_checksum_update(sum, (const guchar *)auth + strlen(BEARER_PREFIX),
			  -1);
	g_checksum_get_digest(sum, digest, &len);
	org = cfg_find_org_by_key(request->node->cfg, digest);
	if (org == CFG_NONE) {
		refuse_with(request, 401, "unauthenticated",
			    "the key is unknown", 0);
		return false;
	}
	request->org = g_strdup(request->node->cfg->orgs[org].name);
	return true;
}

static bool parse_deadline(struct api_request *request)
{
	const char *text = http_server_header(request->http_request,
					      "x-chivegw-deadline-ms");
	uint64_t ms = (uint64_t)request->node->settings->default_deadline_ms;
	char *end;

	if (text) {
		ms = strtoull(text, &end, 10);
		if (!*text || *end || *text == '-' || ms < 1 ||
		    ms > MAX_DEADLINE_MS) {
			refuse_with(request, 400, "bad-deadline",
				    "x-chivegw-deadline-ms must be a whole "
				    "number of milliseconds from 1 to 3600000",
				    0);
			return false;
		}
	}
	request->deadline = request->started_at + ms;
	return true;
}

/*
 * Starts a request: gives it an id and a trace, and checks that this node
 * accepts requests, the client's key and the deadline. Returns false if the
 * request was refused and has ended; then only api_clear is left to call.
 */
bool api_begin(struct api_request *request, struct node *n,
	       struct http_server_request *req)
{
	const char *reason;

	memset(request, 0, sizeof(*request));
	request->node = n;
	request->http_request = req;
	n->open_tasks++;
	request->started_at = node_now(n);
	node_new_request_id(n, request->id, sizeof(request->id));
	request->trace = trace_begin_request(
		n->trace, request->id, http_server_header(req, "traceparent"),
		api_wall_clock_us());
	counter_add(&n->counter_set, COUNTER_REQUESTS, 1);
	if (!node_accepts_requests(n, request->started_at, &reason)) {
		refuse_with(request, 503, reason,
			    "this node accepts no new requests",
			    RETRY_AFTER_NODE_BUSY_S);
		return false;
	}
	if (usage_task_is_full(n->usage_task)) {
		refuse_with(request, 503, "usage-waiting",
			    "too many usage records wait to be stored",
			    RETRY_AFTER_USAGE_FULL_S);
		return false;
	}
	return authenticate(request) && parse_deadline(request);
}

/*
 * Admits the request or refuses it; returns false if it was refused. `capacity`
 * is the number of requests that the service can take at once, and
 * `expected_ms` how long the request should take, 0 if unknown.
 */
bool api_admit(struct api_request *request, double capacity, double expected_ms)
{
	struct limit_decision a;
	cfg_handle org;

	if (!api_find_org(request, &org)) {
		refuse_with(request, 401, "unauthenticated",
			    "the key is unknown", 0);
		return false;
	}
	a = limit_admit(&request->node->limits, request->node->cfg,
			node_now(request->node), org, capacity,
			request->deadline, expected_ms);
	switch (a.reason) {
	case LIMIT_ADMITTED:
		request->admitted = true;
		return true;
	case LIMIT_OVER_FAIR_SHARE:
		refuse_with(request, 429, limit_reason_name(a.reason),
			    "the organisation already uses its fair share",
			    a.retry_after_s);
		return false;
	case LIMIT_AT_CAPACITY:
		refuse_with(request, 503, limit_reason_name(a.reason),
			    "all backend servers are busy", a.retry_after_s);
		return false;
	case LIMIT_DEADLINE_UNMET:
		refuse_with(request, 504, limit_reason_name(a.reason),
			    "the deadline could not be met", 0);
		return false;
	}
	return false;
}
