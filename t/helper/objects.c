/*
 * Test stand-in for the platform's object API, by its published protocol: kinds
 * of named objects that share one revision counter, lists, watches and
 * conditional writes. POST /control sets faults:
 *   {"mode": MODE}    for all later calls without the x-operator header field:
 *                     ok; busy (503); silent (never answers); reset (aborts the
 *                     connection); trickle (answers a list in TRICKLE_PIECES
 *                     pieces, TRICKLE_INTERVAL_MS apart). All but ok also end
 *                     the waiting watches with 503.
 *   {"forget": true}  drops the history; watches from older revisions get 410
 *   {"cut": true}     ends all waiting watches with 503
 *   {"lose": true}    never answers the waiting watches
 *   {"copy": true}    keeps a copy of all objects and of the revision
 *   {"restore": true} goes back to the copy: later writes are lost, their
 *                     revisions are given out again, watches from a revision
 *                     above the copy's get 410, and Store-Era rises by one
 *   {"page": N}       lists have at most N objects a page
 *   {"target": N}     targets of more than N bytes get 414
 * Lists are in the order of the escaped names. Targets are decoded as RFC 3986 and,
 * in the query, HTML forms ('+' is a blank) say; one that is malformed or has a
 * parameter that is not known gets 400.
 * To a client that uses the host 127.0.0.N, all addresses "127.0.0.1:PORT" read
 * "127.0.0.N:PORT", so that servers can tell nodes apart.
 * GET /calls returns the number of calls without x-operator, GET /calls/KIND the
 * number of lists of that kind among them that were answered, GET /refused the
 * number of those whose target was refused.
 */
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "http/server.h"
#include "json-check.h"

#define MAX_BODY_BYTES (4 * 1024 * 1024)
#define HEAD_TIMEOUT_MS 10000
#define TRICKLE_PIECES 8
#define TRICKLE_INTERVAL_MS 120
#define PAGE_ITEMS 500

enum mode {
	MODE_OK,
	MODE_BUSY,
	MODE_SILENT,
	MODE_RESET,
	MODE_TRICKLE,
	MODE_HALF,
};

static const char *const mode_names[] = {"ok",	  "busy",    "silent",
					 "reset", "trickle", "half"};

struct change {
	uint64_t revision;
	char *kind;
	char *event_json;
};

struct watch {
	struct http_server_request *req;
	char *kind;
	uint64_t since_revision;
	uv_timer_t timer;
};

static uv_loop_t *loop;
static GHashTable *objects; /* "kind/name", escaped -> json_object */
static uint64_t page_items = PAGE_ITEMS;
static uint64_t max_target_bytes = MAX_BODY_BYTES;
static uint64_t refused_count; /* targets */
static GPtrArray *history; /* of struct change */
static GPtrArray *watches;
static uint64_t revision = 10;
static uint64_t dropped_revision; /* history up to here is dropped */
static uint64_t call_count;
static GHashTable *list_counts; /* kind -> GUINT_TO_POINTER(lists) */
static enum mode mode;
static uint64_t era; /* rises with each restore */
static GHashTable *copied_objects; /* "kind/name" -> JSON text */
static uint64_t copied_revision;

/* Responds to a call of the API. */
static void reply(struct http_server_request *req, int status, const char *json)
{
	g_autofree char *value = g_strdup_printf("%" G_GUINT64_FORMAT, era);
	const char *host = http_server_header(req, "host");
	g_autofree char *view =
		g_strndup(host ? host : "", strcspn(host ? host : "", ":"));
	g_auto(GStrv) pieces = g_strsplit(json, "127.0.0.1:", -1);
	g_autofree char *separator = g_strdup_printf("%s:", view);
	g_autofree char *viewed = g_strjoinv(separator, pieces);

	if (mode == MODE_HALF && !http_server_header(req, "x-operator"))
		viewed[strlen(viewed) / 2] = '\0';
	http_server_add_header(req, "Store-Era", value);
	http_server_reply_json(req, status, *view ? viewed : json);
}

/* Responds with the changes since the watch's revision, or with 503. */
static void end_watch(struct watch *w, bool with_events)
{
	GString *body;
	bool is_first = true;

	g_ptr_array_remove(watches, w);
	uv_timer_stop(&w->timer);
	if (!w->req)
		return;
	http_server_on_disconnect(w->req, NULL, NULL);
	if (!with_events) {
		reply(w->req, 503, "{}");
		return;
	}
	body = g_string_new("{\"events\":[");
	for (guint i = 0; i < history->len; i++) {
		const struct change *c = history->pdata[i];

		if (c->revision <= w->since_revision ||
		    strcmp(c->kind, w->kind) != 0)
			continue;
		g_string_append_printf(body, "%s%s", is_first ? "" : ",",
				       c->event_json);
		is_first = false;
	}
	g_string_append_printf(body, "],\"as_of\":%" G_GUINT64_FORMAT "}",
			       revision);
	reply(w->req, 200, body->str);
	g_string_free(body, TRUE);
}

static void on_watch_timeout(uv_timer_t *timer)
{
	end_watch(timer->data, true);
}

static void on_watch_disconnect(void *user)
{
	struct watch *w = user;

	w->req = NULL;
	end_watch(w, false);
}

/*
 * Returns an object's text. If its spec is {"raw":TEXT}, TEXT stands in place of
 * the spec as it is, also if it is no JSON.
 */
static char *object_text(struct json_object *o)
{
	const char *raw = jcheck_get_string(jcheck_get(o, "spec"), "raw", NULL);

	if (!raw)
		return g_strdup(json_object_to_json_string_ext(
			o, JSON_C_TO_STRING_PLAIN));
	return g_strdup_printf(
		"{\"meta\":%s,\"spec\":%s}",
		json_object_to_json_string_ext(jcheck_get(o, "meta"),
					       JSON_C_TO_STRING_PLAIN),
		raw);
}

static void add_change(const char *kind, struct json_object *object,
		       bool removed)
{
	struct change *c = g_new0(struct change, 1);
	g_autofree char *text = object_text(object);
	g_autoptr(GPtrArray) matching = g_ptr_array_new();

	c->revision = revision;
	c->kind = g_strdup(kind);
	c->event_json = g_strdup_printf("{\"removed\":%s,\"object\":%s}",
					removed ? "true" : "false", text);
	g_ptr_array_add(history, c);
	for (guint i = 0; i < watches->len; i++) {
		struct watch *w = watches->pdata[i];

		if (!strcmp(w->kind, kind))
			g_ptr_array_add(matching, w);
	}
	for (guint i = 0; i < matching->len; i++)
		end_watch(matching->pdata[i], true);
}

/* Returns the number after `key`, such as "watch=", in the path; 0 if none. */
static uint64_t query_number(const char *path, const char *key)
{
	const char *found = strstr(path, key);

	return found ? g_ascii_strtoull(found + strlen(key), NULL, 10) : 0;
}

static void start_watch(struct http_server_request *req, const char *kind)
{
	const char *path = http_server_path(req);
	struct watch *w;

	if (query_number(path, "watch=") < dropped_revision ||
	    query_number(path, "watch=") > revision) {
		reply(req, 410, "{}");
		return;
	}
	w = g_new0(struct watch, 1);
	w->req = req;
	w->kind = g_strdup(kind);
	w->since_revision = query_number(path, "watch=");
	uv_timer_init(loop, &w->timer);
	w->timer.data = w;
	g_ptr_array_add(watches, w);
	http_server_on_disconnect(req, on_watch_disconnect, w);
	for (guint i = 0; i < history->len; i++) {
		const struct change *c = history->pdata[i];

		if (c->revision > w->since_revision && !strcmp(c->kind, kind)) {
			end_watch(w, true);
			return;
		}
	}
	uv_timer_start(&w->timer, on_watch_timeout,
		       query_number(path, "wait_ms="), 0);
}

/* A list response that is sent in pieces. */
struct trickle {
	struct http_server_request *req;
	GString *body;
	size_t offset;
	uv_timer_t timer;
};

static void free_trickle(uv_handle_t *timer)
{
	struct trickle *t = timer->data;

	g_string_free(t->body, TRUE);
	g_free(t);
}

static void on_trickle_disconnect(void *user)
{
	struct trickle *t = user;

	t->req = NULL;
	uv_close((uv_handle_t *)&t->timer, free_trickle);
}

static void on_trickle(uv_timer_t *timer)
{
	struct trickle *t = timer->data;
	size_t n = MIN(t->body->len / TRICKLE_PIECES + 1,
		       t->body->len - t->offset);

	http_server_write(t->req, t->body->str + t->offset, n);
	t->offset += n;
	if (t->offset < t->body->len)
		return;
	http_server_on_disconnect(t->req, NULL, NULL);
	http_server_end_response(t->req);
	uv_close((uv_handle_t *)timer, free_trickle);
}

static void start_trickle(struct http_server_request *req, const GString *body)
{
	struct trickle *t = g_new0(struct trickle, 1);

	t->req = req;
	t->body = g_string_new_len(body->str, (gssize)body->len);
	uv_timer_init(loop, &t->timer);
	t->timer.data = t;
	http_server_on_disconnect(req, on_trickle_disconnect, t);
	http_server_begin_response(req, 200);
	uv_timer_start(&t->timer, on_trickle, TRICKLE_INTERVAL_MS,
		       TRICKLE_INTERVAL_MS);
}

/* Returns the text without its escapes; NULL if one is malformed. */
static GBytes *unescape(const char *text, bool is_form)
{
	g_autofree char *copy = g_strdup(text);

	return g_uri_unescape_bytes(
		is_form ? g_strdelimit(copy, "+", ' ') : copy, -1, NULL, NULL);
}

/* Returns an escaped text with no byte escaped that need not be; NULL as above. */
static char *normalise(const char *text, bool is_form)
{
	g_autoptr(GBytes) bytes = unescape(text, is_form);
	gsize len;
	const void *data;

	if (!bytes)
		return NULL;
	data = g_bytes_get_data(bytes, &len);
	return len ? g_uri_escape_bytes(data, len, NULL) : g_strdup("");
}

/* Returns the value of a parameter of the query as it stands there, or NULL. */
static char *query_value(const char *path, const char *name)
{
	const char *query = strchr(path, '?');
	g_auto(GStrv) parameters = g_strsplit(query ? query + 1 : "", "&", -1);

	for (size_t i = 0; parameters[i]; i++)
		if (g_str_has_prefix(parameters[i], name) &&
		    parameters[i][strlen(name)] == '=')
			return g_strdup(parameters[i] + strlen(name) + 1);
	return NULL;
}

/* Returns whether every parameter is one of the API, with a value that it may have. */
static bool is_query_valid(const char *query)
{
	static const char *const numbers[] = {"watch", "wait_ms",
					      "serializable", NULL};
	g_auto(GStrv) parameters = g_strsplit(query, "&", -1);

	for (size_t i = 0; parameters[i]; i++) {
		char *value = strchr(parameters[i], '=');
		g_autofree char *name = NULL;

		if (!value)
			return false;
		*value++ = '\0';
		if (!g_strcmp0(parameters[i], "since_rev"))
			name = normalise(value, true);
		else if (g_strv_contains(numbers, parameters[i]) &&
			 strspn(value, "0123456789") == strlen(value))
			name = g_strdup(value);
		if (!name || !*name)
			return false;
	}
	return true;
}

/* Returns whether a target below /objects/ has the form and the parts of the API. */
static bool is_target_valid(const char *path)
{
	static const char allowed[] = "-._~!$&'()*+,;=:@/?%";
	g_auto(GStrv) parts = g_strsplit(path, "?", 2);
	g_auto(GStrv) segments = g_strsplit(parts[0], "/", -1);

	for (const char *p = path; *p; p++)
		if (!g_ascii_isalnum(*p) && !strchr(allowed, *p))
			return false;
	for (size_t i = 1; segments[i]; i++) {
		g_autofree char *name = normalise(segments[i], false);

		if (!name || !*name)
			return false;
	}
	return g_strv_length(segments) <= 5 &&
	       (!parts[1] || is_query_valid(parts[1]));
}

static int compare_keys(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void list_objects(struct http_server_request *req, const char *kind)
{
	g_autofree char *prefix = g_strdup_printf("%s/", kind);
	g_autofree char *after =
		query_value(http_server_path(req), "since_rev");
	g_autofree char *name = after ? normalise(after, true) : NULL;
	g_autofree char *after_key =
		g_strdup_printf("%s%s", prefix, name ? name : "");
	g_autoptr(GString) body = g_string_new("{\"items\":[");
	g_autoptr(GPtrArray) keys = g_ptr_array_new();
	GHashTableIter it;
	void *key;
	guint n;

	g_hash_table_iter_init(&it, objects);
	while (g_hash_table_iter_next(&it, &key, NULL))
		if (g_str_has_prefix(key, prefix) && strcmp(key, after_key) > 0)
			g_ptr_array_add(keys, key);
	g_ptr_array_sort(keys, compare_keys);
	n = (guint)MIN(keys->len, page_items);
	for (guint i = 0; i < n; i++) {
		g_autofree char *text = object_text(
			g_hash_table_lookup(objects, keys->pdata[i]));

		g_string_append_printf(body, "%s%s", i ? "," : "", text);
	}
	g_string_append_printf(
		body, "],\"has_more\":%s,\"as_of\":%" G_GUINT64_FORMAT "}",
		n < keys->len ? "true" : "false", revision);
	if (mode == MODE_TRICKLE)
		start_trickle(req, body);
	else
		reply(req, 200, body->str);
}

static struct json_object *new_object(const char *escaped_name)
{
	struct json_object *o = json_object_new_object();
	struct json_object *meta = json_object_new_object();
	g_autoptr(GBytes) name = unescape(escaped_name, false);
	gsize len;
	const char *data = g_bytes_get_data(name, &len);

	json_object_object_add(meta, "name",
			       json_object_new_string_len(data, (int)len));
	json_object_object_add(o, "meta", meta);
	return o;
}

static void put_object(struct http_server_request *req, char **segments,
		       struct json_object *body)
{
	g_autofree char *key =
		g_strdup_printf("%s/%s", segments[0], segments[1]);
	struct json_object *o = g_hash_table_lookup(objects, key);
	const char *field = segments[2] ? "status" : "spec";
	int64_t requested_revision =
		jcheck_get_int(jcheck_get(body, "meta"), "rev", 0);
	struct json_object *meta;

	if (!o && segments[2]) {
		reply(req, 404, "{}");
		return;
	}
	if (!o) {
		o = new_object(segments[1]);
		g_hash_table_insert(objects, g_strdup(key), o);
	}
	meta = jcheck_get(o, "meta");
	if (requested_revision &&
	    requested_revision != jcheck_get_int(meta, "rev", 0)) {
		reply(req, 409, json_object_to_json_string(o));
		return;
	}
	revision++;
	json_object_object_add(meta, "rev",
			       json_object_new_int64((int64_t)revision));
	json_object_object_add(o, field,
			       json_object_get(jcheck_get(body, field)));
	add_change(segments[0], o, false);
	reply(req, 200, json_object_to_json_string(o));
}

static void delete_object(struct http_server_request *req, char **segments)
{
	g_autofree char *key =
		g_strdup_printf("%s/%s", segments[0], segments[1]);
	struct json_object *o = g_hash_table_lookup(objects, key);

	if (!o) {
		reply(req, 404, "{}");
		return;
	}
	revision++;
	add_change(segments[0], o, true);
	g_hash_table_remove(objects, key);
	reply(req, 200, "{}");
}

static void copy_all(void)
{
	GHashTableIter it;
	void *key, *value;

	g_hash_table_remove_all(copied_objects);
	g_hash_table_iter_init(&it, objects);
	while (g_hash_table_iter_next(&it, &key, &value))
		g_hash_table_insert(
			copied_objects, g_strdup(key),
			g_strdup(json_object_to_json_string(value)));
	copied_revision = revision;
}

static void restore_copy(void)
{
	GHashTableIter it;
	void *key, *text;

	g_hash_table_remove_all(objects);
	g_hash_table_iter_init(&it, copied_objects);
	while (g_hash_table_iter_next(&it, &key, &text))
		g_hash_table_insert(objects, g_strdup(key),
				    json_tokener_parse(text));
	revision = copied_revision;
	while (history->len) {
		const struct change *c = history->pdata[history->len - 1];

		if (c->revision <= revision)
			break;
		g_ptr_array_remove_index(history, history->len - 1);
	}
	era++;
}

/* Drops the waiting watches without an answer; their connections stay open. */
static void lose_watches(void)
{
	for (guint i = 0; i < watches->len; i++) {
		struct watch *w = watches->pdata[i];

		uv_timer_stop(&w->timer);
		http_server_on_disconnect(w->req, NULL, NULL);
	}
	g_ptr_array_set_size(watches, 0);
}

static void on_control(struct http_server_request *req, struct json_object *o)
{
	const char *name = jcheck_get_string(o, "mode", NULL);

	for (size_t i = 0; name && i < G_N_ELEMENTS(mode_names); i++)
		if (!strcmp(mode_names[i], name))
			mode = (enum mode)i;
	if (jcheck_get(o, "forget"))
		dropped_revision = ++revision;
	if (jcheck_get(o, "page"))
		page_items = (uint64_t)jcheck_get_int(o, "page", PAGE_ITEMS);
	if (jcheck_get(o, "target"))
		max_target_bytes =
			(uint64_t)jcheck_get_int(o, "target", MAX_BODY_BYTES);
	if (jcheck_get(o, "lose"))
		lose_watches();
	if (jcheck_get(o, "copy"))
		copy_all();
	if (jcheck_get(o, "restore"))
		restore_copy();
	if (jcheck_get(o, "cut") || mode != MODE_OK)
		while (watches->len)
			end_watch(watches->pdata[0], false);
	http_server_reply_json(req, 200, "{}");
}

static void count_list(const char *kind)
{
	guint lists =
		GPOINTER_TO_UINT(g_hash_table_lookup(list_counts, kind)) + 1;

	g_hash_table_replace(list_counts, g_strdup(kind),
			     GUINT_TO_POINTER(lists));
}

static void on_object_request(struct http_server_request *req,
			      struct json_object *body)
{
	g_autofree char *path = g_strndup(http_server_path(req),
					  strcspn(http_server_path(req), "?"));
	g_auto(GStrv) segments = g_strsplit(path + strlen("/objects/"), "/", 3);
	bool operator_call = http_server_header(req, "x-operator") != NULL;

	if (!is_target_valid(http_server_path(req))) {
		refused_count += !operator_call;
		reply(req, 400, "{}");
		return;
	}
	for (size_t i = 0; segments[i]; i++) {
		char *name = normalise(segments[i], false);

		g_free(segments[i]);
		segments[i] = name;
	}
	if (!operator_call) {
		call_count++;
		if (mode == MODE_SILENT)
			return;
		if (strlen(http_server_path(req)) > max_target_bytes) {
			reply(req, 414, "{}");
			return;
		}
		if (mode == MODE_BUSY) {
			reply(req, 503, "{}");
			return;
		}
		if (mode == MODE_RESET) {
			http_server_begin_response(req, 200);
			http_server_abort(req);
			return;
		}
	}
	if (!strcmp(http_server_method(req), "PUT") && segments[0] &&
	    segments[1])
		put_object(req, segments, body);
	else if (!strcmp(http_server_method(req), "DELETE") && segments[0] &&
		 segments[1])
		delete_object(req, segments);
	else if (strstr(http_server_path(req), "watch="))
		start_watch(req, segments[0]);
	else {
		if (!operator_call)
			count_list(segments[0]);
		list_objects(req, segments[0]);
	}
}

/* Returns the count that a path below /calls asks for. */
static uint64_t requested_count(const char *path)
{
	const char *kind;

	if (!strcmp(path, "/refused"))
		return refused_count;
	kind = path + strlen("/calls");
	if (*kind != '/')
		return call_count;
	return GPOINTER_TO_UINT(g_hash_table_lookup(list_counts, kind + 1));
}

static void on_request(void *owner, struct http_server_request *req)
{
	size_t len;
	const char *bytes = http_server_body(req, &len);
	struct json_object *body = len ? json_tokener_parse(bytes) : NULL;
	char text[64];

	(void)owner;
	if (!strcmp(http_server_path(req), "/control")) {
		on_control(req, body);
	} else if (g_str_has_prefix(http_server_path(req), "/calls") ||
		   !strcmp(http_server_path(req), "/refused")) {
		snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT "\n",
			 requested_count(http_server_path(req)));
		http_server_reply(req, 200, "text/plain", text, strlen(text));
	} else if (g_str_has_prefix(http_server_path(req), "/objects/")) {
		on_object_request(req, body);
	} else {
		http_server_reply_json(req, 404, "{}");
	}
	json_object_put(body);
}

static void release_object(void *o)
{
	json_object_put(o);
}

int main(int argc, char **argv)
{
	GError *err = NULL;

	if (argc != 2) {
		fprintf(stderr, "usage: objects ADDRESS\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	loop = uv_default_loop();
	objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					release_object);
	copied_objects =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	list_counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	history = g_ptr_array_new();
	watches = g_ptr_array_new();
	if (!http_server_listen(loop, argv[1], MAX_BODY_BYTES, HEAD_TIMEOUT_MS,
				on_request, NULL, &err)) {
		fprintf(stderr, "objects: %s\n", err->message);
		return 1;
	}
	return uv_run(loop, UV_RUN_DEFAULT);
}
