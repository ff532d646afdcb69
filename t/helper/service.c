/*
 * Stand-in for a plain service, such as an order desk or a ledger. It keeps a
 * list of all that it ran; faults are set with POST /control.
 */
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <uv.h>

#include "http/server.h"
#include "json-check.h"

#define MAX_BODY (1024 * 1024)

enum fault {
	FAULT_NONE,
	FAULT_LOSE, /* runs it, then breaks the connection */
	FAULT_SILENT, /* runs it, then says nothing */
	FAULT_DROP, /* breaks the connection without running it */
	FAULT_REFUSE, /* 503, not run */
	FAULT_CROSSED, /* runs it, answers with another request's id */
	FAULT_SLOW, /* runs it, answers after ms */
};

static const char *const fault_names[] = {
	"none", "lose", "silent", "drop", "refuse", "crossed", "slow",
};

static uv_loop_t *loop;
static GString *ran; /* one line a run: method, path, key, body */
static enum fault fault;
static int64_t fault_count, fault_ms;
static uint32_t count;

struct late {
	uv_timer_t timer;
	struct http_server_request *req;
	char *body;
};

static enum fault take_fault(void)
{
	enum fault f = fault;

	if (f == FAULT_NONE || fault_count <= 0)
		return FAULT_NONE;
	if (--fault_count == 0)
		fault = FAULT_NONE;
	return f;
}

static void free_late(uv_handle_t *h)
{
	struct late *l = h->data;

	g_free(l->body);
	g_free(l);
}

static void on_gone(void *user)
{
	((struct late *)user)->req = NULL;
}

static void on_late(uv_timer_t *timer)
{
	struct late *l = timer->data;

	if (l->req) {
		http_server_on_disconnect(l->req, NULL, NULL);
		http_server_reply_json(l->req, 200, l->body);
	}
	uv_close((uv_handle_t *)timer, free_late);
}

static void reply_late(struct http_server_request *req, const char *body,
		       uint64_t ms)
{
	struct late *l = g_new0(struct late, 1);

	l->req = req;
	l->body = g_strdup(body);
	uv_timer_init(loop, &l->timer);
	l->timer.data = l;
	http_server_on_disconnect(req, on_gone, l);
	uv_timer_start(&l->timer, on_late, ms, 0);
}

static void break_off(struct http_server_request *req)
{
	http_server_begin_response(req, 200);
	http_server_abort(req);
}

static void note_run(struct http_server_request *req)
{
	size_t len;
	const char *body = http_server_body(req, &len);
	const char *key = http_server_header(req, "idempotency-key");

	if (!strcmp(http_server_method(req), "GET"))
		return;
	g_string_append_printf(ran, "%s %s %s %.*s\n", http_server_method(req),
			       http_server_path(req), key ? key : "-", (int)len,
			       body);
}

static void serve(struct http_server_request *req, enum fault f)
{
	const char *id = http_server_header(req, "x-request-id");
	g_autofree char *body =
		g_strdup_printf("{\"number\":%u,\"path\":\"%s\"}", ++count,
				http_server_path(req));

	note_run(req);
	http_server_add_header(req, "x-request-id",
			       f == FAULT_CROSSED ? "another-request"
			       : id		  ? id
						  : "");
	if (f == FAULT_LOSE)
		break_off(req);
	else if (f == FAULT_SLOW)
		reply_late(req, body, (uint64_t)fault_ms);
	else if (f != FAULT_SILENT)
		http_server_reply_json(req, 200, body);
}

static void on_control(struct http_server_request *req)
{
	size_t len;
	const char *bytes = http_server_body(req, &len);
	g_autofree char *text = g_strndup(bytes, len);
	struct json_object *o = json_tokener_parse(text);
	const char *name = jcheck_get_string(o, "fault", "none");

	for (size_t i = 0; i < G_N_ELEMENTS(fault_names); i++)
		if (!strcmp(name, fault_names[i]))
			fault = (enum fault)i;
	fault_count = jcheck_get_int(o, "count", 1);
	fault_ms = jcheck_get_int(o, "ms", 0);
	json_object_put(o);
	http_server_reply_json(req, 200, "{}");
}

static void on_request(void *owner, struct http_server_request *req)
{
	const char *path = http_server_path(req);
	enum fault f;

	(void)owner;
	if (!strcmp(path, "/control")) {
		on_control(req);
	} else if (!strcmp(path, "/ran")) {
		http_server_reply(req, 200, "text/plain", ran->str, ran->len);
	} else if (!strcmp(path, "/load")) {
		http_server_reply_json(req, 200,
				       "{\"running\":0,\"waiting\":0}");
	} else {
		f = take_fault();
		if (f == FAULT_DROP)
			break_off(req);
		else if (f == FAULT_REFUSE)
			http_server_reply_json(req, 503,
					       "{\"error\":\"busy\"}");
		else
			serve(req, f);
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
		fprintf(stderr, "usage: service IP:PORT\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	loop = uv_default_loop();
	ran = g_string_new(NULL);
	if (!http_server_listen(loop, argv[1], MAX_BODY, 10000, on_request,
				NULL, &err)) {
		fprintf(stderr, "service: %s\n", err->message);
		return 1;
	}
	uv_signal_init(loop, &sig);
	uv_signal_start(&sig, on_signal, SIGTERM);
	uv_run(loop, UV_RUN_DEFAULT);
	return 0;
}
