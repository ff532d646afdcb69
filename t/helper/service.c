/*
 * Test stand-in for a plain service, such as an order desk or a ledger. GET
 * /ran lists the requests that ran, and POST /control sets faults.
 */
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <uv.h>

#include "http/server.h"
#include "json-check.h"

#define MAX_BODY_BYTES (1024 * 1024)
#define HEAD_TIMEOUT_MS 10000

enum fault {
	FAULT_NONE,
	FAULT_LOSE, /* runs the request, then aborts the connection */
	FAULT_SILENT, /* runs the request, never answers */
	FAULT_DROP, /* aborts the connection, the request does not run */
	FAULT_REFUSE, /* 503, the request does not run */
	FAULT_CROSSED, /* runs the request, answers with another one's id */
	FAULT_SLOW, /* runs the request, answers after `ms` */
};

static const char *const fault_names[] = {
	"none", "lose", "silent", "drop", "refuse", "crossed", "slow",
};

static uv_loop_t *loop;
static GString *run_log; /* a line for each request: method, path, key, body */
static enum fault fault;
static int64_t faults_left; /* requests that the fault still hits */
static int64_t fault_ms;
static uint32_t served_count; /* number of the last response */

/* A response that is sent after a delay, for FAULT_SLOW. */
struct delayed_reply {
	uv_timer_t timer;
	struct http_server_request *req;
	char *body;
};

/* Returns the fault that hits this request, and counts it. */
static enum fault consume_fault(void)
{
	enum fault f = fault;

	if (f == FAULT_NONE || faults_left <= 0)
		return FAULT_NONE;
	if (--faults_left == 0)
		fault = FAULT_NONE;
	return f;
}

static void free_delayed_reply(uv_handle_t *h)
{
	struct delayed_reply *d = h->data;

	g_free(d->body);
	g_free(d);
}

static void on_client_disconnect(void *user)
{
	((struct delayed_reply *)user)->req = NULL;
}

static void on_reply_due(uv_timer_t *timer)
{
	struct delayed_reply *d = timer->data;

	if (d->req) {
		http_server_on_disconnect(d->req, NULL, NULL);
		http_server_reply_json(d->req, 200, d->body);
	}
	uv_close((uv_handle_t *)timer, free_delayed_reply);
}

static void delay_reply(struct http_server_request *req, const char *body,
			uint64_t ms)
{
	struct delayed_reply *d = g_new0(struct delayed_reply, 1);

	d->req = req;
	d->body = g_strdup(body);
	uv_timer_init(loop, &d->timer);
	d->timer.data = d;
	http_server_on_disconnect(req, on_client_disconnect, d);
	uv_timer_start(&d->timer, on_reply_due, ms, 0);
}

static void abort_response(struct http_server_request *req)
{
	http_server_begin_response(req, 200);
	http_server_abort(req);
}

/* Adds a request that changes something to the list at GET /ran. */
static void log_run(struct http_server_request *req)
{
	size_t len;
	const char *body = http_server_body(req, &len);
	const char *key = http_server_header(req, "idempotency-key");

	if (!strcmp(http_server_method(req), "GET"))
		return;
	g_string_append_printf(run_log, "%s %s %s %.*s\n",
			       http_server_method(req), http_server_path(req),
			       key ? key : "-", (int)len, body);
}

static void serve(struct http_server_request *req, enum fault f)
{
	const char *id = http_server_header(req, "x-request-id");
	g_autofree char *body =
		g_strdup_printf("{\"number\":%u,\"path\":\"%s\"}",
				++served_count, http_server_path(req));

	log_run(req);
	http_server_add_header(req, "x-request-id",
			       f == FAULT_CROSSED ? "another-request"
			       : id		  ? id
						  : "");
	if (f == FAULT_LOSE)
		abort_response(req);
	else if (f == FAULT_SLOW)
		delay_reply(req, body, (uint64_t)fault_ms);
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
	faults_left = jcheck_get_int(o, "count", 1);
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
		http_server_reply(req, 200, "text/plain", run_log->str,
				  run_log->len);
	} else if (!strcmp(path, "/load")) {
		http_server_reply_json(req, 200,
				       "{\"running\":0,\"waiting\":0}");
	} else {
		f = consume_fault();
		if (f == FAULT_DROP)
			abort_response(req);
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
	run_log = g_string_new(NULL);
	if (!http_server_listen(loop, argv[1], MAX_BODY_BYTES, HEAD_TIMEOUT_MS,
				on_request, NULL, &err)) {
		fprintf(stderr, "service: %s\n", err->message);
		return 1;
	}
	uv_signal_init(loop, &sig);
	uv_signal_start(&sig, on_signal, SIGTERM);
	uv_run(loop, UV_RUN_DEFAULT);
	return 0;
}
