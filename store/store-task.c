#include "store/store-task.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log-event.h"

#define DOWN_HOLD_MS 1000 /* the store counts as down since a failure */
#define DOWN_AFTER_FAILURES 2 /* in a row */
#define MAX_RESPONSE_BYTES (2 * 1024 * 1024)

struct store_client {
	struct http_client *http_client;
	char *address; /* "ip:port" */
	uint32_t timeout_ms; /* of a call */
	struct counter_set *counter_set;
	uint32_t failures; /* in a row */
	uint64_t failed_at; /* ms; the last failure */
};

struct store_call {
	struct store_client *client;
	store_callback done;
	void *user;
	GString *body;
	int status; /* HTTP status; 0: none, or the response was too long */
	uint64_t etag;
	bool counts_for_health; /* see store_is_down() */
};

/*
 * Returns a new client of the object API at "ip:port". A call ends at the
 * latest after timeout_ms; a watch may wait in addition.
 */
struct store_client *store_new(struct http_client *http_client,
			       const char *address, uint32_t timeout_ms,
			       struct counter_set *counter_set)
{
	struct store_client *s = g_new0(struct store_client, 1);

	s->http_client = http_client;
	s->address = g_strdup(address);
	s->timeout_ms = timeout_ms;
	s->counter_set = counter_set;
	return s;
}

/*
 * Returns whether the last DOWN_AFTER_FAILURES calls failed, the latest within
 * DOWN_HOLD_MS before `now`. A new call would most likely fail as well.
 */
bool store_is_down(const struct store_client *s, uint64_t now)
{
	return s->failures >= DOWN_AFTER_FAILURES &&
	       now - s->failed_at < DOWN_HOLD_MS;
}

static void on_head(void *user, const struct http_client_head *head)
{
	struct store_call *c = user;

	c->status = head->status;
	if (head->etag)
		c->etag = strtoull(head->etag, NULL, 10);
}

static void on_data(void *user, const char *data, size_t len)
{
	struct store_call *c = user;

	if (c->body->len + len <= MAX_RESPONSE_BYTES)
		g_string_append_len(c->body, data, (gssize)len);
	else
		c->status = 0;
}

static enum store_outcome outcome_of(const struct store_call *c,
				     enum http_client_outcome end)
{
	if (end == HTTP_CLIENT_NOT_SENT)
		return STORE_NOT_SENT;
	if (end != HTTP_CLIENT_COMPLETE)
		return STORE_OUTCOME_UNKNOWN;
	switch (c->status) {
	case 200:
	case 201:
		return STORE_OK;
	case 304:
		return STORE_UNCHANGED;
	case 404:
		return STORE_NOT_FOUND;
	case 412:
		return STORE_CONFLICT;
	default:
		return STORE_OUTCOME_UNKNOWN;
	}
}

static void record_health(struct store_client *s, enum store_outcome outcome,
			  uint64_t now)
{
	if (outcome != STORE_NOT_SENT && outcome != STORE_OUTCOME_UNKNOWN) {
		if (s->failures >= DOWN_AFTER_FAILURES)
			log_event(LOG_EVENT_STORE_UP, "address=%s", s->address);
		s->failures = 0;
		return;
	}
	counter_add(s->counter_set, COUNTER_STORE_FAILURES, 1);
	s->failed_at = now;
	if (++s->failures == DOWN_AFTER_FAILURES)
		log_event(LOG_EVENT_STORE_DOWN, "address=%s", s->address);
}

static void on_done(void *user, enum http_client_outcome end)
{
	struct store_call *c = user;
	struct store_result r = {
		.outcome = outcome_of(c, end),
		.etag = c->etag,
		.body = c->body->str,
		.len = c->body->len,
	};

	if (c->counts_for_health)
		record_health(c->client, r.outcome,
			      http_client_now(c->client->http_client));
	c->done(c->user, &r);
	g_string_free(c->body, TRUE);
	g_free(c);
}

static const struct http_client_callbacks events = {on_head, on_data, on_done};

static void start_call(struct store_client *s, struct http_client_request *req,
		       uint32_t extra_ms, bool counts_for_health,
		       store_callback done, void *user)
{
	struct store_call *c = g_new0(struct store_call, 1);

	c->client = s;
	c->done = done;
	c->user = user;
	c->counts_for_health = counts_for_health;
	c->body = g_string_new(NULL);
	req->address = s->address;
	req->new_connection = true; /* its answer names no call */
	req->connect_ms = s->timeout_ms;
	req->progress_ms = s->timeout_ms + extra_ms;
	req->total_ms = s->timeout_ms + extra_ms;
	counter_add(s->counter_set, COUNTER_STORE_CALLS, 1);
	http_client_start(s->http_client, req, &events, c);
}

static void get_path(struct store_client *s, const char *path,
		     uint32_t extra_ms, store_callback done, void *user)
{
	struct http_client_request req = {.method = "GET", .path = path};

	start_call(s, &req, extra_ms, true, done, user);
}

/*
 * Returns the target of an object, or of a prefix of names, newly allocated. Slashes
 * in the name divide it into segments.
 */
static char *target_of(const char *name)
{
	g_autofree char *escaped = g_uri_escape_string(name, "/", FALSE);

	return g_strdup_printf("/objects/%s", escaped);
}

/* Reads an object; the result holds its body and etag. */
void store_get(struct store_client *s, const char *name, store_callback done,
	       void *user)
{
	g_autofree char *path = target_of(name);

	get_path(s, path, 0, done, user);
}

/*
 * Writes an object if the condition holds, else the outcome is STORE_CONFLICT.
 * `etag` counts only with STORE_IF_MATCH.
 */
void store_put(struct store_client *s, const char *name, const char *body,
	       size_t len, enum store_condition condition, uint64_t etag,
	       store_callback done, void *user)
{
	g_autofree char *path = target_of(name);
	char header[64] = "if-none-match: *\r\n";
	struct http_client_request req = {
		.method = "PUT",
		.path = path,
		.headers = condition == STORE_UNCONDITIONAL ? NULL : header,
		.body = body,
		.len = len,
	};

	if (condition == STORE_IF_MATCH)
		snprintf(header, sizeof(header),
			 "if-match: %" G_GUINT64_FORMAT "\r\n", etag);
	start_call(s, &req, 0, true, done, user);
}

/*
 * Reads an object as soon as its version is above `etag`. The outcome is
 * STORE_UNCHANGED if that does not happen within wait_ms.
 */
void store_watch(struct store_client *s, const char *name, uint64_t etag,
		 uint32_t wait_ms, store_callback done, void *user)
{
	g_autofree char *target = target_of(name);
	g_autofree char *path =
		g_strdup_printf("%s?watch=%" G_GUINT64_FORMAT "&timeout_ms=%u",
				target, etag, wait_ms);

	get_path(s, path, wait_ms, done, user);
}

/* Reads the names of objects with a prefix, as a JSON array. */
void store_list_names(struct store_client *s, const char *prefix,
		      store_callback done, void *user)
{
	g_autofree char *target = target_of(prefix);
	g_autofree char *path = g_strdup_printf("%s?list=1", target);

	get_path(s, path, 0, done, user);
}

/* Reads the platform's list of VMs, a JSON array that lags behind. */
void store_list_vms(struct store_client *s, store_callback done, void *user)
{
	get_path(s, "/vms", 0, done, user);
}

/*
 * Posts a request for the rating of an answer. Failures do not count for
 * store_is_down().
 */
void store_request_rating(struct store_client *s, const char *json,
			  store_callback done, void *user)
{
	struct http_client_request req = {
		.method = "POST",
		.path = "/rate",
		.headers = "content-type: application/json\r\n",
		.body = json,
		.len = strlen(json),
	};

	start_call(s, &req, 0, false, done, user);
}
