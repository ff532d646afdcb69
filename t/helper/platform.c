/*
 * Test stand-in for the platform: an object store with versions, conditional
 * updates and watches, the list of VMs, and the rating service. Faults are set
 * with POST /control {"fault": NAME, "count": N, "ms": N}, the list of VMs with
 * {"vms": [...]}.
 */
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "http/server.h"
#include "json-check.h"

#define MAX_OBJECT_BYTES (1024 * 1024 + 4096)
#define HEAD_TIMEOUT_MS 10000

struct object {
	uint64_t version;
	char *body;
	size_t len;
	bool deleted;
};

struct watcher {
	struct http_server_request *req;
	char *name;
	uint64_t version;
	uv_timer_t timer;
	bool done;
};

enum fault {
	FAULT_NONE,
	FAULT_DOWN, /* answers every call with 503 */
	FAULT_HANG, /* never answers */
	FAULT_SLOW, /* answers after `ms` */
	FAULT_LOSE_WRITE, /* applies `count` writes without an answer */
	FAULT_LATE_WRITE, /* the same, applied after `ms` */
	FAULT_REFUSE_WRITE, /* answers `count` writes with 503, unapplied */
};

static const char *const fault_names[] = {
	"none",	      "down",	    "hang",	    "slow",
	"lose-write", "late-write", "refuse-write",
};

static uv_loop_t *loop;
static GHashTable *objects;
static GList *watchers;
static struct http_server *server;
static enum fault fault;
static int64_t faults_left; /* writes that the fault still hits */
static uint64_t fault_ms;
static uint64_t next_version = 1;
static uint64_t reads, writes, conflicts;
static char *vms_json;

/* A call that takes effect and is answered after a delay. */
struct delayed {
	uv_timer_t timer;
	struct http_server_request *req;
	void (*run)(struct delayed *d);
	char *name;
	char *body;
	size_t len;
	char *if_match;
	bool if_absent;
};

static void free_delayed(uv_handle_t *h)
{
	struct delayed *d = h->data;

	g_free(d->name);
	g_free(d->body);
	g_free(d->if_match);
	g_free(d);
}

static void on_delayed_disconnect(void *user)
{
	((struct delayed *)user)->req = NULL;
}

static void on_delay(uv_timer_t *timer)
{
	struct delayed *d = timer->data;

	d->run(d);
	if (d->req)
		http_server_on_disconnect(d->req, NULL, NULL);
	uv_close((uv_handle_t *)timer, free_delayed);
}

static struct delayed *delay(struct http_server_request *req, uint64_t ms,
			     void (*run)(struct delayed *d))
{
	struct delayed *d = g_new0(struct delayed, 1);

	d->req = req;
	d->run = run;
	uv_timer_init(loop, &d->timer);
	d->timer.data = d;
	http_server_on_disconnect(req, on_delayed_disconnect, d);
	uv_timer_start(&d->timer, on_delay, ms, 0);
	return d;
}

static void reply_object(struct http_server_request *req,
			 const struct object *o)
{
	char etag[32];

	if (!o || o->deleted) {
		http_server_reply_json(req, 404,
				       "{\"error\":\"no such object\"}");
		return;
	}
	snprintf(etag, sizeof(etag), "%" G_GUINT64_FORMAT, o->version);
	http_server_add_header(req, "etag", etag);
	http_server_reply(req, 200, "application/octet-stream", o->body,
			  o->len);
}

static void free_watcher(uv_handle_t *h)
{
	struct watcher *w = h->data;

	watchers = g_list_remove(watchers, w);
	g_free(w->name);
	g_free(w);
}

static void end_watch(struct watcher *w)
{
	if (w->done)
		return;
	w->done = true;
	uv_close((uv_handle_t *)&w->timer, free_watcher);
}

static void on_watch_disconnect(void *user)
{
	end_watch(user);
}

/* Ends a watch with the changed object, or with 304 if there is none. */
static void reply_watch(struct watcher *w, const struct object *o)
{
	if (w->done)
		return;
	http_server_on_disconnect(w->req, NULL, NULL);
	if (o)
		reply_object(w->req, o);
	else
		http_server_reply_json(w->req, 304, "");
	end_watch(w);
}

static void on_watch_timeout(uv_timer_t *timer)
{
	reply_watch(timer->data, NULL);
}

static void notify_watchers(const char *name, const struct object *o)
{
	for (GList *l = watchers; l; l = l->next) {
		struct watcher *w = l->data;

		if (!strcmp(w->name, name))
			reply_watch(w, o);
	}
}

static void start_watch(struct http_server_request *req, const char *name,
			uint64_t version, uint64_t timeout_ms)
{
	struct object *o = g_hash_table_lookup(objects, name);
	struct watcher *w;

	if (o && !o->deleted && o->version > version) {
		reply_object(req, o);
		return;
	}
	w = g_new0(struct watcher, 1);
	w->req = req;
	w->name = g_strdup(name);
	w->version = version;
	uv_timer_init(loop, &w->timer);
	w->timer.data = w;
	uv_timer_start(&w->timer, on_watch_timeout, timeout_ms, 0);
	watchers = g_list_append(watchers, w);
	http_server_on_disconnect(req, on_watch_disconnect, w);
}

/* Applies a conditional update. Returns the object, or NULL on a conflict. */
static struct object *put_object(const char *name, const char *body, size_t len,
				 const char *if_match, bool if_absent)
{
	struct object *o = g_hash_table_lookup(objects, name);
	bool present = o && !o->deleted;

	writes++;
	if ((if_absent && present) || (if_match && !present) ||
	    (if_match && strtoull(if_match, NULL, 10) != o->version)) {
		conflicts++;
		return NULL;
	}
	if (!o) {
		o = g_new0(struct object, 1);
		g_hash_table_insert(objects, g_strdup(name), o);
	}
	g_free(o->body);
	o->body = g_memdup2(body, len ? len : 1);
	o->len = len;
	o->deleted = false;
	o->version = next_version++;
	notify_watchers(name, o);
	return o;
}

static void reply_put(struct http_server_request *req, const struct object *o)
{
	char etag[32];

	if (!o) {
		http_server_reply_json(req, 412, "{\"error\":\"conflict\"}");
		return;
	}
	snprintf(etag, sizeof(etag), "%" G_GUINT64_FORMAT, o->version);
	http_server_add_header(req, "etag", etag);
	http_server_reply_json(req, 200, "{}");
}

static void run_put(struct delayed *d)
{
	struct object *o =
		put_object(d->name, d->body, d->len, d->if_match, d->if_absent);

	if (d->req)
		reply_put(d->req, o);
}

static void run_put_without_reply(struct delayed *d)
{
	put_object(d->name, d->body, d->len, d->if_match, d->if_absent);
}

static void delay_put(struct http_server_request *req, const char *name,
		      uint64_t ms, void (*run)(struct delayed *))
{
	struct delayed *d = delay(req, ms, run);
	const char *body = http_server_body(req, &d->len);

	d->name = g_strdup(name);
	d->body = g_memdup2(body, d->len ? d->len : 1);
	d->if_match = g_strdup(http_server_header(req, "if-match"));
	d->if_absent = http_server_header(req, "if-none-match") != NULL;
}

/* Returns whether this write is hit by a fault of this kind, and counts it. */
static bool consume_fault(enum fault kind)
{
	if (fault != kind || faults_left <= 0)
		return false;
	if (--faults_left == 0)
		fault = FAULT_NONE;
	return true;
}

static void on_put(struct http_server_request *req, const char *name)
{
	const char *if_match = http_server_header(req, "if-match");
	bool if_absent = http_server_header(req, "if-none-match") != NULL;
	size_t len;
	const char *body = http_server_body(req, &len);

	if (fault == FAULT_SLOW) {
		delay_put(req, name, fault_ms, run_put);
	} else if (consume_fault(FAULT_LOSE_WRITE)) {
		put_object(name, body, len, if_match, if_absent);
	} else if (consume_fault(FAULT_LATE_WRITE)) {
		delay_put(req, name, fault_ms, run_put_without_reply);
	} else if (consume_fault(FAULT_REFUSE_WRITE)) {
		http_server_reply_json(req, 503, "{\"error\":\"refused\"}");
	} else {
		reply_put(req,
			  put_object(name, body, len, if_match, if_absent));
	}
}

static void run_get(struct delayed *d)
{
	if (d->req)
		reply_object(d->req, g_hash_table_lookup(objects, d->name));
}

static uint64_t query_number(const char *query, const char *name)
{
	const char *at = query ? strstr(query, name) : NULL;

	return at ? strtoull(at + strlen(name) + 1, NULL, 10) : 0;
}

static void on_list(struct http_server_request *req, const char *prefix)
{
	struct json_object *names = json_object_new_array();
	GHashTableIter it;
	void *name, *o;

	g_hash_table_iter_init(&it, objects);
	while (g_hash_table_iter_next(&it, &name, &o))
		if (g_str_has_prefix(name, prefix) &&
		    !((struct object *)o)->deleted)
			json_object_array_add(names,
					      json_object_new_string(name));
	http_server_reply_json(req, 200, json_object_to_json_string(names));
	json_object_put(names);
}

static void on_get(struct http_server_request *req, const char *name,
		   const char *query)
{
	reads++;
	if (query && strstr(query, "watch=")) {
		start_watch(req, name, query_number(query, "watch"),
			    query_number(query, "timeout_ms"));
	} else if (query && strstr(query, "list=1")) {
		on_list(req, name);
	} else if (fault == FAULT_SLOW) {
		delay(req, fault_ms, run_get)->name = g_strdup(name);
	} else {
		reply_object(req, g_hash_table_lookup(objects, name));
	}
}

static void on_control(struct http_server_request *req)
{
	size_t len;
	const char *body = http_server_body(req, &len);
	g_autofree char *text = g_strndup(body, len);
	struct json_object *o = json_tokener_parse(text);
	const char *name = jcheck_get_string(o, "fault", "none");

	for (size_t i = 0; i < G_N_ELEMENTS(fault_names); i++)
		if (!strcmp(name, fault_names[i]))
			fault = (enum fault)i;
	faults_left = jcheck_get_int(o, "count", 1);
	fault_ms = (uint64_t)jcheck_get_int(o, "ms", 0);
	if (jcheck_get(o, "vms")) {
		g_free(vms_json);
		vms_json = g_strdup(
			json_object_to_json_string(jcheck_get(o, "vms")));
	}
	json_object_put(o);
	http_server_reply_json(req, 200, "{}");
}

/* The rating service: rates an answer by the quality that the engine stand-in
 * wrote into it. */
static void on_rate(struct http_server_request *req)
{
	size_t len;
	const char *body = http_server_body(req, &len);
	g_autofree char *text = g_strndup(body, len);
	struct json_object *o = json_tokener_parse(text);
	const char *at = strstr(jcheck_get_string(o, "answer", ""), "[q=");
	g_autofree char *reply = NULL;

	reply = g_strdup_printf("{\"rating\":%.3f}",
				at ? g_ascii_strtod(at + 3, NULL) : 0.0);
	json_object_put(o);
	http_server_reply_json(req, 200, reply);
}

static void on_stats(struct http_server_request *req)
{
	g_autofree char *s = g_strdup_printf(
		"{\"reads\":%" G_GUINT64_FORMAT ",\"writes\":%" G_GUINT64_FORMAT
		",\"conflicts\":%" G_GUINT64_FORMAT "}",
		reads, writes, conflicts);

	http_server_reply_json(req, 200, s);
}

static void on_request(void *owner, struct http_server_request *req)
{
	const char *path = http_server_path(req);
	g_auto(GStrv) parts = g_strsplit(path, "?", 2);
	g_autofree char *decoded = g_uri_unescape_string(parts[0], NULL);
	const char *name = decoded && g_str_has_prefix(decoded, "/objects/")
				   ? decoded + strlen("/objects/")
				   : NULL;

	(void)owner;
	if (!strcmp(path, "/control")) {
		on_control(req);
	} else if (!strcmp(path, "/stats")) {
		on_stats(req);
	} else if (fault == FAULT_DOWN) {
		http_server_reply_json(req, 503, "{\"error\":\"outage\"}");
	} else if (fault == FAULT_HANG) {
		return;
	} else if (!strcmp(path, "/rate")) {
		on_rate(req);
	} else if (!strcmp(path, "/vms")) {
		http_server_reply_json(req, 200, vms_json);
	} else if (!g_str_has_prefix(path, "/objects/")) {
		http_server_reply_json(req, 404,
				       "{\"error\":\"no such path\"}");
	} else if (!name || strchr(path, '#')) {
		http_server_reply_json(req, 400,
				       "{\"error\":\"malformed target\"}");
	} else if (!strcmp(http_server_method(req), "PUT")) {
		on_put(req, name);
	} else {
		on_get(req, name, parts[1]);
	}
}

static void on_signal(uv_signal_t *sig, int num)
{
	(void)num;
	uv_stop(sig->loop);
}

int main(int argc, char **argv)
{
	GError *err = NULL;
	uv_signal_t sig;

	if (argc != 2) {
		fprintf(stderr, "usage: platform IP:PORT\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	loop = uv_default_loop();
	objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	vms_json = g_strdup("[]");
	server = http_server_listen(loop, argv[1], MAX_OBJECT_BYTES,
				    HEAD_TIMEOUT_MS, on_request, NULL, &err);
	if (!server) {
		fprintf(stderr, "platform: %s\n", err->message);
		return 1;
	}
	uv_signal_init(loop, &sig);
	uv_signal_start(&sig, on_signal, SIGTERM);
	uv_run(loop, UV_RUN_DEFAULT);
	return 0;
}
