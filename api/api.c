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

#define BEARER "Bearer "
#define MAX_DEADLINE_MS 3600000

/* Returns the wall clock in microseconds, for traces only. */
uint64_t api_wall_clock_us(void)
{
	return (uint64_t)g_get_real_time();
}

/* Adds a hop, from start_us until now, to the request's trace. */
void api_trace_span(struct api_request *d, const char *name, uint64_t start_us,
		    const char *fmt, ...)
{
	char detail[TRACE_DETAIL_BYTES];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(detail, sizeof(detail), fmt, ap);
	va_end(ap);
	trace_add_span(d->node->trace, d->trace, name, start_us,
		       api_wall_clock_us(), detail);
}

/* Notes a decision for the request's explanation. */
void api_trace_note(struct api_request *d, const char *key, const char *fmt,
		    ...)
{
	g_autofree char *value = NULL;
	va_list ap;

	va_start(ap, fmt);
	value = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	trace_add_note(d->node->trace, d->trace, key, value);
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

static char *refusal_text(const struct api_request *d,
			  const struct api_refusal *r)
{
	struct json_object *o = json_object_new_object();
	struct json_object *e = json_object_new_object();
	char *text;

	json_object_object_add(o, "error", e);
	jcheck_add_string(e, "verdict", verdict_name(r->verdict));
	jcheck_add_string(e, "reason", r->reason);
	jcheck_add_string(e, "message", r->message);
	jcheck_add_string(e, "request_id", d->id);
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
 * Refuses a request at once, with verdict, reason and when to come back, and
 * ends it. A caller that has gone gets nothing.
 */
void api_refuse(struct api_request *d, const struct api_refusal *r)
{
	g_autofree char *text = refusal_text(d, r);
	char after[16];

	count_refusal(d->node, r->verdict);
	api_trace_note(d, "refused", "%s: %s", r->reason, r->message);
	if (d->http_request) {
		api_add_headers(d, NULL, r->verdict);
		if (r->retry_after_s) {
			snprintf(after, sizeof(after), "%u", r->retry_after_s);
			http_server_add_header(d->http_request, "retry-after",
					       after);
		}
		http_server_reply_json(d->http_request, r->status, text);
	}
	api_end(d, r->verdict);
}

/*
 * Adds the headers that every answer carries. The version is "model@version"
 * or a plain service's name; NULL with a refusal.
 */
void api_add_headers(struct api_request *d, const char *version,
		     enum verdict_kind verdict)
{
	if (!d->http_request)
		return;
	http_server_add_header(d->http_request, "x-request-id", d->id);
	http_server_add_header(d->http_request, "x-chivegw-node",
			       d->node->settings->node);
	http_server_add_header(d->http_request, "x-chivegw-verdict",
			       verdict_name(verdict));
	if (version) {
		g_auto(GStrv) parts = g_strsplit(version, "@", 2);

		http_server_add_header(d->http_request, "x-chivegw-model",
				       parts[0]);
		http_server_add_header(d->http_request, "x-chivegw-version",
				       parts[1] ? parts[1] : "-");
	}
}

/* Gives back the request's admission: no backend server works for it. */
void api_release(struct api_request *d)
{
	cfg_handle org;

	if (!d->admitted)
		return;
	d->admitted = false;
	api_find_org(d, &org);
	limit_release(&d->node->limits, node_now(d->node), org);
}

/* Ends a request: gives back its admission and closes its trace. */
void api_end(struct api_request *d, enum verdict_kind verdict)
{
	if (d->ended)
		return;
	d->ended = true;
	api_release(d);
	trace_end_request(d->node->trace, d->trace, api_wall_clock_us(),
			  verdict_name(verdict));
}

/* Frees what the request holds; its task has nothing left to do. */
void api_clear(struct api_request *d)
{
	g_free(d->org);
	d->org = NULL;
	d->node->open_tasks--;
}

/* Finds the request's organisation in the configuration now in force. */
bool api_find_org(const struct api_request *d, cfg_handle *org)
{
	*org = cfg_find_org_by_name(d->node->cfg, d->org);
	return *org != CFG_NONE;
}

static void refuse_with(struct api_request *d, int status, const char *reason,
			const char *message, uint32_t retry_after_s)
{
	const struct api_refusal r = {
		.status = status,
		.verdict = VERDICT_NOT_RUN,
		.reason = reason,
		.message = message,
		.retry_after_s = retry_after_s,
	};

	api_refuse(d, &r);
}

static bool authenticate(struct api_request *d)
{
	const char *auth = http_server_header(d->http_request, "authorization");
	uint8_t digest[CFG_DIGEST_BYTES];
	gsize len = sizeof(digest);
	g_autoptr(GChecksum) sum = NULL;
	cfg_handle org;

	if (!auth || !g_str_has_prefix(auth, BEARER)) {
		refuse_with(d, 401, "unauthenticated",
			    "a bearer key is required", 0);
		return false;
	}
	sum = g_checksum_new(G_CHECKSUM_SHA256);
	g_checksum_update(sum, (const guchar *)auth + strlen(BEARER), -1);
	g_checksum_get_digest(sum, digest, &len);
	org = cfg_find_org_by_key(d->node->cfg, digest);
	if (org == CFG_NONE) {
		refuse_with(d, 401, "unauthenticated", "the key is unknown", 0);
		return false;
	}
	d->org = g_strdup(d->node->cfg->orgs[org].name);
	return true;
}

static bool take_deadline(struct api_request *d)
{
	const char *text =
		http_server_header(d->http_request, "x-chivegw-deadline-ms");
	uint64_t ms = (uint64_t)d->node->settings->default_deadline_ms;
	char *end;

	if (text) {
		ms = strtoull(text, &end, 10);
		if (!*text || *end || *text == '-' || ms < 1 ||
		    ms > MAX_DEADLINE_MS) {
			refuse_with(d, 400, "bad-deadline",
				    "x-chivegw-deadline-ms must be a whole "
				    "number of milliseconds from 1 to 3600000",
				    0);
			return false;
		}
	}
	d->deadline = d->started_at + ms;
	return true;
}

/*
 * Takes in a request: gives it an id and a trace, and checks that this node
 * takes work, who asks, and until when. Returns false if it was refused; the
 * caller of this function then only frees its own state.
 */
bool api_begin(struct api_request *d, struct node *n,
	       struct http_server_request *req)
{
	const char *reason;

	memset(d, 0, sizeof(*d));
	d->node = n;
	d->http_request = req;
	n->open_tasks++;
	d->started_at = node_now(n);
	node_new_request_id(n, d->id, sizeof(d->id));
	d->trace = trace_begin_request(n->trace, d->id,
				       http_server_header(req, "traceparent"),
				       api_wall_clock_us());
	counter_add(&n->counter_set, COUNTER_REQUESTS, 1);
	if (!node_accepts_requests(n, d->started_at, &reason)) {
		refuse_with(d, 503, reason, "this node takes no new work", 1);
		return false;
	}
	if (usage_task_is_full(n->usage_task)) {
		refuse_with(d, 503, "usage-waiting",
			    "usage records wait for the object API", 5);
		return false;
	}
	return authenticate(d) && take_deadline(d);
}

/*
 * Admits the request to the given capacity, or refuses it. expected_ms is
 * how long it takes as far as known.
 */
bool api_admit(struct api_request *d, double capacity, double expected_ms)
{
	struct limit_decision a;
	cfg_handle org;

	if (!api_find_org(d, &org)) {
		refuse_with(d, 401, "unauthenticated", "the key is unknown", 0);
		return false;
	}
	a = limit_admit(&d->node->limits, d->node->cfg, node_now(d->node), org,
			capacity, d->deadline, expected_ms);
	switch (a.reason) {
	case LIMIT_ADMITTED:
		d->admitted = true;
		return true;
	case LIMIT_OVER_FAIR_SHARE:
		refuse_with(d, 429, limit_reason_name(a.reason),
			    "the organisation uses its share already",
			    a.retry_after_s);
		return false;
	case LIMIT_AT_CAPACITY:
		refuse_with(d, 503, limit_reason_name(a.reason),
			    "all backend servers are busy", a.retry_after_s);
		return false;
	case LIMIT_DEADLINE_UNMET:
		refuse_with(d, 504, limit_reason_name(a.reason),
			    "the deadline could not be met", 0);
		return false;
	}
	return false;
}
