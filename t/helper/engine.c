/*
 * Test stand-in for a model engine: streamed and unstreamed answers, resumed
 * streams, load reports, and placement orders with fencing numbers. An answer's
 * content begins with its quality, "[q=0.93]", which the stand-in of the rating
 * service reads. Faults are set with POST /control.
 */
#include <json-c/json.h>
#include <signal.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "http/server.h"
#include "json-check.h"
#include "rng.h"

#define MAX_BODY_BYTES (4 * 1024 * 1024)
#define HEAD_TIMEOUT_MS 10000
#define MAX_VERSIONS 64
#define DEFAULT_ANSWER_TOKENS 24
#define QUALITY_STDDEV 0.05

struct version {
	char *name;
	double quality;
	bool loaded;
	uint64_t run_count;
};

enum fault {
	FAULT_NONE,
	FAULT_DIE, /* aborts the connection after `at` tokens */
	FAULT_SILENT, /* sends nothing more after `at` tokens */
	FAULT_CROSSED, /* answers with another request's id */
	FAULT_DOUBLED, /* sends every event twice */
	FAULT_GAP, /* leaves out event `at` */
	FAULT_REFUSE, /* 503 */
	FAULT_ERROR, /* 500 */
	FAULT_SLOW, /* delays the first token by `ms` */
};

static const char *const fault_names[] = {
	"none", "die",	  "silent", "crossed", "doubled",
	"gap",	"refuse", "error",  "slow",
};

static uv_loop_t *loop;
static struct http_server *server;
static struct version versions[MAX_VERSIONS];
static size_t n_versions;
static uint32_t ms_per_token = 2;
static uint32_t running, capacity = 64;
static enum fault fault;
static int64_t faults_left; /* requests that the fault still hits */
static int64_t fault_token, fault_ms;
static uint64_t highest_fence; /* highest fencing number received */
static bool honours_fencing = true;
static struct rng rng;
static GString *run_log; /* a line for each answer: request id, version */

struct answer {
	struct http_server_request *req;
	char *id;
	struct version *version;
	double quality;
	uint32_t token_count;
	uint32_t next_token; /* index */
	uint32_t prompt_tokens;
	bool streamed;
	enum fault fault;
	int64_t fault_token;
	uv_timer_t timer;
	bool closing;
};

static void free_answer(uv_handle_t *h)
{
	struct answer *a = h->data;

	g_free(a->id);
	g_free(a);
}

static void end_answer(struct answer *a)
{
	if (a->closing)
		return;
	a->closing = true;
	running--;
	if (a->req)
		http_server_on_disconnect(a->req, NULL, NULL);
	uv_close((uv_handle_t *)&a->timer, free_answer);
}

static void on_client_disconnect(void *user)
{
	struct answer *a = user;

	a->req = NULL;
	end_answer(a);
}

static void write_event(struct answer *a, struct json_object *o)
{
	g_autofree char *line = g_strdup_printf(
		"data: %s\n\n",
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));

	http_server_write(a->req, line, strlen(line));
}

/* Returns a "choices" array of one choice, whose `member` holds the text. */
static struct json_object *new_choices(const char *member, const char *text)
{
	struct json_object *choices = json_object_new_array();
	struct json_object *choice = json_object_new_object();
	struct json_object *inner = json_object_new_object();

	json_object_object_add(inner, "content", json_object_new_string(text));
	json_object_object_add(choice, member, inner);
	json_object_array_add(choices, choice);
	return choices;
}

/*
 * Returns a token's text. It depends on the token's index alone, so that a
 * resumed stream continues the broken one. Free with g_free().
 */
static char *token_text(const struct answer *a, uint32_t i)
{
	if (i == 0)
		return g_strdup_printf("[q=%.3f]", a->quality);
	return g_strdup_printf(" w%u", i);
}

static void write_token(struct answer *a)
{
	struct json_object *o = json_object_new_object();
	g_autofree char *text = token_text(a, a->next_token);

	json_object_object_add(o, "id", json_object_new_string(a->id));
	json_object_object_add(o, "offset",
			       json_object_new_int((int)a->next_token));
	json_object_object_add(o, "choices", new_choices("delta", text));
	if (a->fault != FAULT_GAP || a->next_token != a->fault_token)
		write_event(a, o);
	if (a->fault == FAULT_DOUBLED)
		write_event(a, o);
	json_object_put(o);
	a->next_token++;
}

static struct json_object *new_usage(const struct answer *a)
{
	struct json_object *u = json_object_new_object();

	json_object_object_add(u, "prompt_tokens",
			       json_object_new_int((int)a->prompt_tokens));
	json_object_object_add(u, "completion_tokens",
			       json_object_new_int((int)a->token_count));
	return u;
}

static void finish_stream(struct answer *a)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "id", json_object_new_string(a->id));
	json_object_object_add(o, "offset",
			       json_object_new_int((int)a->next_token));
	json_object_object_add(o, "usage", new_usage(a));
	write_event(a, o);
	json_object_put(o);
	http_server_write(a->req, "data: [DONE]\n\n",
			  strlen("data: [DONE]\n\n"));
	http_server_end_response(a->req);
	end_answer(a);
}

static void finish_unstreamed(struct answer *a)
{
	struct json_object *o = json_object_new_object();
	GString *text = g_string_new(NULL);

	for (uint32_t i = 0; i < a->token_count; i++) {
		g_autofree char *t = token_text(a, i);

		g_string_append(text, t);
	}
	json_object_object_add(o, "id", json_object_new_string(a->id));
	json_object_object_add(o, "choices", new_choices("message", text->str));
	json_object_object_add(o, "usage", new_usage(a));
	http_server_reply_json(
		a->req, 200,
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
	g_string_free(text, TRUE);
	end_answer(a);
}

static void on_token(uv_timer_t *timer)
{
	struct answer *a = timer->data;

	if (a->fault == FAULT_SILENT && a->next_token >= a->fault_token) {
		uv_timer_stop(timer);
		return;
	}
	if (a->fault == FAULT_DIE && a->next_token >= a->fault_token) {
		http_server_begin_response(a->req, 200);
		http_server_abort(a->req);
		end_answer(a);
		return;
	}
	if (!a->streamed) {
		if (++a->next_token >= a->token_count)
			finish_unstreamed(a);
		return;
	}
	http_server_begin_response(a->req, 200);
	if (a->next_token < a->token_count)
		write_token(a);
	else
		finish_stream(a);
}

static struct version *find_version(const char *name)
{
	for (size_t i = 0; i < n_versions; i++)
		if (!strcmp(versions[i].name, name))
			return &versions[i];
	return NULL;
}

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

static void start_answer(struct http_server_request *req,
			 struct json_object *body, struct version *v,
			 enum fault f)
{
	struct answer *a = g_new0(struct answer, 1);
	const char *id = http_server_header(req, "x-request-id");
	size_t len;

	http_server_body(req, &len);
	a->req = req;
	a->id = g_strdup(f == FAULT_CROSSED ? "another-request" : id ? id : "");
	a->version = v;
	a->fault = f;
	a->fault_token = fault_token;
	a->quality = v->quality + QUALITY_STDDEV * rng_normal(&rng);
	a->quality = fmin(fmax(a->quality, 0), 1);
	a->token_count = (uint32_t)jcheck_get_int(body, "max_tokens",
						  DEFAULT_ANSWER_TOKENS);
	a->token_count = a->token_count ? a->token_count : 1;
	a->prompt_tokens = (uint32_t)(len / 4);
	a->streamed = json_object_get_boolean(jcheck_get(body, "stream"));
	a->next_token = (uint32_t)jcheck_get_int(jcheck_get(body, "resume"),
						 "offset", 0);
	running++;
	v->run_count++;
	g_string_append_printf(run_log, "%s %s\n", a->id, v->name);
	http_server_add_header(req, "x-request-id", a->id);
	if (a->streamed)
		http_server_add_header(req, "content-type",
				       "text/event-stream");
	uv_timer_init(loop, &a->timer);
	a->timer.data = a;
	http_server_on_disconnect(req, on_client_disconnect, a);
	uv_timer_start(&a->timer, on_token,
		       f == FAULT_SLOW ? (uint64_t)fault_ms : ms_per_token,
		       ms_per_token ? ms_per_token : 1);
}

static void on_chat(struct http_server_request *req)
{
	size_t len;
	const char *bytes = http_server_body(req, &len);
	g_autofree char *text = g_strndup(bytes, len);
	struct json_object *body = json_tokener_parse(text);
	struct version *v = find_version(jcheck_get_string(body, "model", ""));
	enum fault f = consume_fault();

	if (!v || !v->loaded)
		http_server_reply_json(req, 404,
				       "{\"error\":\"version not loaded\"}");
	else if (f == FAULT_REFUSE || running >= capacity)
		http_server_reply_json(req, 503, "{\"error\":\"busy\"}");
	else if (f == FAULT_ERROR)
		http_server_reply_json(req, 500, "{\"error\":\"broken\"}");
	else
		start_answer(req, body, v, f);
	json_object_put(body);
}

static void on_load(struct http_server_request *req)
{
	struct json_object *o = json_object_new_object();
	struct json_object *list = json_object_new_array();

	for (size_t i = 0; i < n_versions; i++)
		if (versions[i].loaded)
			json_object_array_add(
				list, json_object_new_string(versions[i].name));
	json_object_object_add(o, "running", json_object_new_int((int)running));
	json_object_object_add(o, "capacity",
			       json_object_new_int((int)capacity));
	json_object_object_add(o, "versions", list);
	http_server_reply_json(req, 200, json_object_to_json_string(o));
	json_object_put(o);
}

/*
 * Loads or unloads a version. Refuses an order whose fencing number is lower
 * than the highest received, unless fencing is disabled by a control request.
 */
static void on_placement(struct http_server_request *req, struct json_object *o)
{
	uint64_t number = (uint64_t)jcheck_get_int(o, "fence", 0);
	struct version *v = find_version(jcheck_get_string(o, "version", ""));

	if (honours_fencing && number < highest_fence) {
		http_server_reply_json(req, 409,
				       "{\"error\":\"old fencing number\"}");
		return;
	}
	highest_fence = MAX(highest_fence, number);
	if (v)
		v->loaded = json_object_get_boolean(jcheck_get(o, "loaded"));
	http_server_reply_json(req, 200, "{}");
}

static void on_control(struct http_server_request *req, struct json_object *o)
{
	const char *name = jcheck_get_string(o, "fault", "none");
	struct version *v = find_version(jcheck_get_string(o, "version", ""));

	for (size_t i = 0; i < G_N_ELEMENTS(fault_names); i++)
		if (!strcmp(name, fault_names[i]))
			fault = (enum fault)i;
	faults_left = jcheck_get_int(o, "count", 1);
	fault_token = jcheck_get_int(o, "at", 5);
	fault_ms = jcheck_get_int(o, "ms", 0);
	capacity = (uint32_t)jcheck_get_int(o, "capacity", capacity);
	ms_per_token =
		(uint32_t)jcheck_get_int(o, "ms_per_token", ms_per_token);
	if (jcheck_get(o, "honours_fencing"))
		honours_fencing = json_object_get_boolean(
			jcheck_get(o, "honours_fencing"));
	if (v) {
		v->quality = jcheck_get_real(o, "quality", v->quality);
		if (jcheck_get(o, "loaded"))
			v->loaded = json_object_get_boolean(
				jcheck_get(o, "loaded"));
	}
	http_server_reply_json(req, 200, "{}");
}

static void on_request(void *owner, struct http_server_request *req)
{
	const char *path = http_server_path(req);
	size_t len;
	const char *bytes = http_server_body(req, &len);
	g_autofree char *text = g_strndup(bytes, len);
	struct json_object *o = NULL;

	(void)owner;
	if (!strcmp(path, "/v1/chat/completions")) {
		on_chat(req);
	} else if (!strcmp(path, "/load")) {
		on_load(req);
	} else if (!strcmp(path, "/ran")) {
		http_server_reply(req, 200, "text/plain", run_log->str,
				  run_log->len);
	} else {
		o = json_tokener_parse(text);
		if (!strcmp(path, "/control"))
			on_control(req, o);
		else if (!strcmp(path, "/orders"))
			on_placement(req, o);
		else
			http_server_reply_json(req, 404, "{}");
		json_object_put(o);
	}
}

static void on_signal(uv_signal_t *sig, int num)
{
	(void)num;
	uv_stop(sig->loop);
}

static bool add_version(char *arg)
{
	char *eq = strchr(arg, '=');

	if (!eq || n_versions == MAX_VERSIONS)
		return false;
	*eq = '\0';
	versions[n_versions].name = arg;
	versions[n_versions].quality = g_ascii_strtod(eq + 1, NULL);
	versions[n_versions++].loaded = true;
	return true;
}

int main(int argc, char **argv)
{
	GError *err = NULL;
	uv_signal_t sig;

	if (argc < 3) {
		fprintf(stderr, "usage: engine IP:PORT VERSION=QUALITY ...\n");
		return 2;
	}
	for (int i = 2; i < argc; i++)
		if (!add_version(argv[i]))
			return 2;
	rng_seed(&rng, g_str_hash(argv[1]));
	run_log = g_string_new(NULL);
	signal(SIGPIPE, SIG_IGN);
	loop = uv_default_loop();
	server = http_server_listen(loop, argv[1], MAX_BODY_BYTES,
				    HEAD_TIMEOUT_MS, on_request, NULL, &err);
	if (!server) {
		fprintf(stderr, "engine: %s\n", err->message);
		return 1;
	}
	uv_signal_init(loop, &sig);
	uv_signal_start(&sig, on_signal, SIGTERM);
	uv_run(loop, UV_RUN_DEFAULT);
	return 0;
}
