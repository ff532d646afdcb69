#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "builtin/builtin.h"
#include "builtin/cli.h"
#include "json-check.h"
#include "rng.h"

#define MAX_TARGETS 64
/* The buckets reach from 50 us to 50 us * 1.05^400, about 4 hours. */
#define HISTOGRAM_BUCKETS 400
#define HISTOGRAM_GROWTH 1.05
#define HISTOGRAM_FIRST_US 50.0
#define TICK_MS 1
#define CONNECT_TIMEOUT_MS 2000
#define DISTINCT_PROMPTS 97 /* model requests repeat among this many */
#define DEFAULT_RATE_PER_S 10
#define DEFAULT_DURATION_S 5
#define DEFAULT_DEADLINE_MS 10000
#define DEFAULT_TOKENS 24
#define DEFAULT_SEED 1

static const char load_text[] =
	"Generates an open-loop load: sends a mix of requests at a given "
	"rate,\n"
	"however slow the responses are, and measures latency from the time a\n"
	"request was due. Prints latency and refusals by verdict; with\n"
	"--platform also the sum of all stored usage records.\n\n"
	"example: chivegw load --target 127.0.0.1:8101 --rate 100 --seconds 10 "
	"\\\n"
	"             --key etcheverry-tenders-key --service mesa-pedidos \\\n"
	"             --mix draft=1,answer=3,tag=3,order=1,read=2\n";

/* Types of requests in the mix. */
enum type {
	TYPE_DRAFT, /* streamed */
	TYPE_ANSWER,
	TYPE_TAG,
	TYPE_ORDER,
	TYPE_READ,
	TYPE_COUNT,
};

static const char *const type_names[] = {"draft", "answer", "tag", "order",
					 "read"};

/* Results of requests; a refusal counts under the verdict that it states. */
enum result {
	RESULT_OK,
	RESULT_NOT_RUN,
	RESULT_MAY_HAVE_RUN,
	RESULT_RAN,
	RESULT_BROKEN, /* no complete response arrived */
	RESULT_COUNT,
};

static const char *const result_names[] = {"ok", "not-run", "may-have-run",
					   "ran", "broken"};

/* Latency counts in buckets of exponentially growing width. */
struct histogram {
	uint64_t n;
	uint64_t bucket[HISTOGRAM_BUCKETS];
	double max_us;
};

/* Results and latencies of the requests of one type. */
struct type_stats {
	uint64_t sent;
	uint64_t results[RESULT_COUNT];
	/* Latencies of requests with RESULT_OK, from the time they were due. */
	struct histogram first_byte;
	struct histogram complete;
};

/* Arguments and state of a run. */
struct load {
	struct cli cli;
	struct rng rng;
	const char **targets;
	int n_targets;
	const char *key;
	const char *service;
	const char *model;
	double weights[TYPE_COUNT]; /* relative shares of the types */
	double rate_per_s;
	uint64_t seed;
	uint64_t start_us;
	uint64_t end_us; /* no request is due after this */
	double next_us; /* when the next request is due */
	uint64_t sent;
	uint64_t in_flight;
	uint32_t deadline_ms;
	uint32_t tokens;
	uv_timer_t timer;
	FILE *log; /* gets a line per request; may be NULL */
	struct type_stats by_type[TYPE_COUNT];
};

/* A request in flight. */
struct load_request {
	struct load *load;
	enum type type;
	uint64_t number;
	uint64_t due_us; /* when it should have been sent */
	uint64_t first_us; /* first data of the body; 0 until then */
	int status;
	/* The last data of a 200 response; the whole body of any other. */
	GString *body_tail;
};

static uint64_t now_us(void)
{
	return (uint64_t)g_get_monotonic_time();
}

static void histogram_add(struct histogram *h, double us)
{
	double b = log(fmax(us, HISTOGRAM_FIRST_US) / HISTOGRAM_FIRST_US) /
		   log(HISTOGRAM_GROWTH);
	int i = (int)fmin(b, HISTOGRAM_BUCKETS - 1);

	h->n++;
	h->bucket[i]++;
	h->max_us = fmax(h->max_us, us);
}

/*
 * Returns the upper bound, in ms, of the bucket that holds the quantile q; 0 if
 * the histogram is empty.
 */
static double histogram_quantile_ms(const struct histogram *h, double q)
{
	uint64_t rank = (uint64_t)ceil(q * (double)h->n);
	uint64_t cumulative = 0;

	for (int i = 0; i < HISTOGRAM_BUCKETS; i++) {
		cumulative += h->bucket[i];
		if (cumulative >= rank && h->n)
			return fmin(HISTOGRAM_FIRST_US *
					    pow(HISTOGRAM_GROWTH, i + 1),
				    h->max_us) /
			       1000;
	}
	return 0;
}

/* Returns the result of a request that ended with the given outcome. */
static enum result classify_result(const struct load_request *request,
				   enum http_client_outcome outcome)
{
	if (outcome != HTTP_CLIENT_COMPLETE)
		return RESULT_BROKEN;
	if (request->status == 200) {
		if (request->type == TYPE_DRAFT &&
		    !strstr(request->body_tail->str, "[DONE]"))
			return RESULT_BROKEN;
		return RESULT_OK;
	}
	if (strstr(request->body_tail->str, "\"may-have-run\""))
		return RESULT_MAY_HAVE_RUN;
	if (strstr(request->body_tail->str, "\"not-run\""))
		return RESULT_NOT_RUN;
	return RESULT_RAN;
}

static void on_head(void *user, const struct http_client_head *head)
{
	((struct load_request *)user)->status = head->status;
}

static void on_data(void *user, const char *data, size_t len)
{
	struct load_request *request = user;

	if (!request->first_us)
		request->first_us = now_us();
	if (request->status == 200)
		g_string_truncate(request->body_tail, 0);
	g_string_append_len(request->body_tail, data, (gssize)len);
}

static void on_done(void *user, enum http_client_outcome outcome)
{
	struct load_request *request = user;
	struct type_stats *stats = &request->load->by_type[request->type];
	enum result r = classify_result(request, outcome);

	stats->results[r]++;
	if (request->load->log)
		fprintf(request->load->log, "%s load-%llu-%llu %s\n",
			type_names[request->type],
			(unsigned long long)request->load->seed,
			(unsigned long long)request->number, result_names[r]);
	if (r == RESULT_OK) {
		histogram_add(&stats->first_byte,
			      (double)(request->first_us - request->due_us));
		histogram_add(&stats->complete,
			      (double)(now_us() - request->due_us));
	}
	request->load->in_flight--;
	g_string_free(request->body_tail, TRUE);
	g_free(request);
}

static const struct http_client_callbacks events = {on_head, on_data, on_done};

/* Draws a type according to the weights of the mix. */
static enum type draw_type(struct load *l)
{
	double sum = 0, point;

	for (int i = 0; i < TYPE_COUNT; i++)
		sum += l->weights[i];
	point = rng_unit(&l->rng) * sum;
	for (int i = 0; i < TYPE_COUNT; i++) {
		point -= l->weights[i];
		if (point < 0)
			return (enum type)i;
	}
	return TYPE_READ;
}

/* Returns the body of a chat completion request. */
static char *format_model_request(const struct load *l, enum type type)
{
	return g_strdup_printf(
		"{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%u,"
		"\"messages\":[{\"role\":\"user\",\"content\":"
		"\"dossier %llu\"}]}",
		l->model, type == TYPE_DRAFT ? "true" : "false", l->tokens,
		(unsigned long long)l->sent % DISTINCT_PROMPTS);
}

/* Starts a request that was due at due_us, to a random target. */
static void send_request(struct load *l, uint64_t due_us)
{
	enum type type = draw_type(l);
	struct load_request *request = g_new0(struct load_request, 1);
	g_autofree char *body = NULL;
	g_autofree char *path = NULL;
	g_autofree char *headers = NULL;
	struct http_client_request req = {
		.address =
			l->targets[rng_below(&l->rng, (uint32_t)l->n_targets)],
		.method = type == TYPE_READ ? "GET" : "POST",
		.connect_ms = CONNECT_TIMEOUT_MS,
		.progress_ms = l->deadline_ms + CONNECT_TIMEOUT_MS,
		.total_ms = l->deadline_ms + CONNECT_TIMEOUT_MS,
	};

	request->load = l;
	request->type = type;
	request->due_us = due_us;
	request->body_tail = g_string_new(NULL);
	l->sent++;
	request->number = l->sent;
	l->in_flight++;
	l->by_type[type].sent++;
	if (type == TYPE_ORDER) {
		path = g_strdup_printf("/services/%s/orders", l->service);
		body = g_strdup_printf("{\"pallets\":%llu}",
				       (unsigned long long)l->sent);
	} else if (type == TYPE_READ) {
		path = g_strdup_printf("/services/%s/stock", l->service);
		body = g_strdup("");
	} else {
		path = g_strdup("/v1/chat/completions");
		body = format_model_request(l, type);
	}
	headers = g_strdup_printf(
		"authorization: Bearer %s\r\nx-chivegw-kind: %s\r\n"
		"x-chivegw-deadline-ms: %u\r\n"
		"content-type: application/json\r\n"
		"idempotency-key: load-%llu-%llu\r\n",
		l->key, type_names[type], l->deadline_ms,
		(unsigned long long)l->seed, (unsigned long long)l->sent);
	req.path = path;
	req.body = body;
	req.len = strlen(body);
	req.headers = headers;
	http_client_start(l->cli.http, &req, &events, request);
}

/*
 * Sends every request that is due. The times between requests are exponentially
 * distributed, so that arrivals form a Poisson process.
 */
static void on_tick(uv_timer_t *timer)
{
	struct load *l = timer->data;
	uint64_t now = now_us();

	while (l->next_us <= (double)now && l->next_us < (double)l->end_us) {
		send_request(l, (uint64_t)l->next_us);
		l->next_us += -log(1 - rng_unit(&l->rng)) * 1e6 / l->rate_per_s;
	}
	if (l->next_us >= (double)l->end_us)
		uv_close((uv_handle_t *)timer, NULL);
}

/* Returns the results of one type as a JSON object; latencies in ms. */
static struct json_object *format_stats_json(const struct type_stats *stats)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "sent",
			       json_object_new_int64((int64_t)stats->sent));
	for (int r = 0; r < RESULT_COUNT; r++)
		json_object_object_add(
			o, result_names[r],
			json_object_new_int64((int64_t)stats->results[r]));
	static const struct {
		const char *name;
		double q;
	} quantiles[] = {{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}};

	for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++) {
		g_autofree char *first_key =
			g_strdup_printf("first_ms_%s", quantiles[i].name);
		g_autofree char *complete_key =
			g_strdup_printf("whole_ms_%s", quantiles[i].name);

		json_object_object_add(
			o, first_key,
			json_object_new_double(histogram_quantile_ms(
				&stats->first_byte, quantiles[i].q)));
		json_object_object_add(
			o, complete_key,
			json_object_new_double(histogram_quantile_ms(
				&stats->complete, quantiles[i].q)));
	}
	return o;
}

/* Prints a row for each type that was sent; latencies in ms. */
static void print_table(const struct load *l)
{
	printf("%-7s %7s %7s %8s %8s %6s %6s %9s %9s %9s %9s\n", "type", "sent",
	       "ok", "not-run", "may-run", "ran", "broken", "first p50",
	       "first p95", "whole p50", "whole p99");
	for (int t = 0; t < TYPE_COUNT; t++) {
		const struct type_stats *stats = &l->by_type[t];

		if (!stats->sent)
			continue;
		printf("%-7s %7llu %7llu %8llu %8llu %6llu %6llu %6.1f ms "
		       "%6.1f ms %6.1f ms %6.1f ms\n",
		       type_names[t], (unsigned long long)stats->sent,
		       (unsigned long long)stats->results[RESULT_OK],
		       (unsigned long long)stats->results[RESULT_NOT_RUN],
		       (unsigned long long)stats->results[RESULT_MAY_HAVE_RUN],
		       (unsigned long long)stats->results[RESULT_RAN],
		       (unsigned long long)stats->results[RESULT_BROKEN],
		       histogram_quantile_ms(&stats->first_byte, 0.5),
		       histogram_quantile_ms(&stats->first_byte, 0.95),
		       histogram_quantile_ms(&stats->complete, 0.5),
		       histogram_quantile_ms(&stats->complete, 0.99));
	}
}

/*
 * Returns the sum of the costs of all stored usage records, in micro-units, and
 * counts the records. Returns 0 if they cannot be listed.
 */
static double sum_billed_cost(struct cli *c, uint64_t *records)
{
	struct json_object *names;
	double cost = 0;

	*records = 0;
	if (cli_list_objects(c, "usage/", &names) != STORE_OK)
		return 0;
	for (size_t i = 0; i < jcheck_array_length(names); i++) {
		g_autofree char *text = NULL;
		g_auto(GStrv) lines = NULL;

		cli_get_object(c,
			       json_object_get_string(
				       json_object_array_get_idx(names, i)),
			       &text);
		lines = g_strsplit(text, "\n", -1);
		for (size_t k = 0; lines[k]; k++) {
			struct json_object *o = json_tokener_parse(lines[k]);

			*records += o != NULL;
			cost += jcheck_get_real(o, "cost", 0);
			json_object_put(o);
		}
	}
	json_object_put(names);
	return cost;
}

/* Parses "TYPE=WEIGHT,..."; returns false if the text is malformed. */
static bool parse_mix(struct load *l, const char *mix)
{
	g_auto(GStrv) parts = g_strsplit(mix, ",", -1);

	for (size_t i = 0; parts[i]; i++) {
		char *eq = strchr(parts[i], '=');
		bool found = false;

		if (!eq)
			return false;
		*eq = '\0';
		for (int t = 0; t < TYPE_COUNT; t++) {
			if (strcmp(parts[i], type_names[t]) != 0)
				continue;
			l->weights[t] = g_ascii_strtod(eq + 1, NULL);
			found = true;
		}
		if (!found)
			return false;
	}
	return true;
}

/* Sends requests for the given time, then waits until all have ended. */
static void run_load(struct load *l, double seconds)
{
	rng_seed(&l->rng, l->seed);
	l->start_us = now_us();
	l->end_us = l->start_us + (uint64_t)(seconds * 1e6);
	l->next_us = (double)l->start_us;
	uv_timer_init(l->cli.loop, &l->timer);
	l->timer.data = l;
	uv_timer_start(&l->timer, on_tick, 0, TICK_MS);
	while (l->in_flight || l->next_us < (double)l->end_us)
		uv_run(l->cli.loop, UV_RUN_ONCE);
}

/* Prints and stores the results. Returns an exit code. */
static int print_report(struct load *l, bool platform, bool json,
			const char *out)
{
	struct json_object *o = json_object_new_object();
	GError *err = NULL;
	uint64_t records = 0;
	double cost = platform ? sum_billed_cost(&l->cli, &records) : 0;
	int code = CLI_OK;

	for (int t = 0; t < TYPE_COUNT; t++)
		if (l->by_type[t].sent)
			json_object_object_add(
				o, type_names[t],
				format_stats_json(&l->by_type[t]));
	if (platform) {
		json_object_object_add(o, "usage_records",
				       json_object_new_int64((int64_t)records));
		json_object_object_add(o, "billed",
				       json_object_new_double(cost));
	}
	if (json)
		printf("%s\n", json_object_to_json_string(o));
	else
		print_table(l);
	if (platform && !json)
		printf("billed: %.1f micro-units in %llu records\n", cost,
		       (unsigned long long)records);
	if (out && !g_file_set_contents(out, json_object_to_json_string(o), -1,
					&err)) {
		fprintf(stderr, "chivegw load: %s\n", err->message);
		code = CLI_FAILED;
	}
	json_object_put(o);
	return code;
}

/* chivegw load --target IP:PORT ... */
int cmd_load(int argc, char **argv)
{
	struct arg_str *target =
		arg_strn(NULL, "target", "IP:PORT", 1, MAX_TARGETS,
			 "client address of a node");
	struct arg_dbl *rate =
		arg_dbl0(NULL, "rate", "N", "requests a second (10)");
	struct arg_dbl *seconds =
		arg_dbl0(NULL, "seconds", "N", "how long to send (5)");
	struct arg_str *mix = arg_str0(NULL, "mix", "TYPE=WEIGHT,...",
				       "draft, answer, tag, order, read");
	struct arg_str *key =
		arg_str1(NULL, "key", "KEY", "an organisation's bearer key");
	struct arg_str *service =
		arg_str0(NULL, "service", "NAME", "for orders and reads");
	struct arg_str *model =
		arg_str0(NULL, "model", "MODEL", "ask for this model (auto)");
	struct arg_int *tokens =
		arg_int0(NULL, "tokens", "N", "length of model answers (24)");
	struct arg_int *deadline = arg_int0(NULL, "deadline-ms", "N",
					    "deadline of each request (10000)");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "of the mix (1)");
	struct arg_str *platform = arg_str0(NULL, "platform", "IP:PORT",
					    "sum the usage records there");
	struct arg_file *out =
		arg_file0("o", "output", "FILE", "write the results as JSON");
	struct arg_file *log = arg_file0(NULL, "log", "FILE",
					 "write type, key and result of each "
					 "request");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {log,	  target, rate,	  seconds,  mix,  key,
			 service, model,  tokens, deadline, seed, platform,
			 out,	  json,	  help,	  end};
	struct load load = {0};
	struct load *l = &load;
	int code;

	if (!cli_parse("load", argc, argv, table, end, help, load_text, &code))
		return code;
	if (!parse_mix(l, mix->count ? mix->sval[0] : "answer=1,tag=1")) {
		fprintf(stderr, "chivegw load: --mix must be TYPE=WEIGHT,... "
				"of draft, answer, tag, order, read\n");
		return CLI_USAGE;
	}
	if (!cli_open(&l->cli, "load", platform->count ? platform : NULL))
		return CLI_USAGE;
	l->targets = target->sval;
	l->n_targets = target->count;
	l->key = key->sval[0];
	l->service = service->count ? service->sval[0] : "none";
	l->model = model->count ? model->sval[0] : "auto";
	l->tokens = tokens->count ? (uint32_t)tokens->ival[0] : DEFAULT_TOKENS;
	l->deadline_ms = deadline->count ? (uint32_t)deadline->ival[0]
					 : DEFAULT_DEADLINE_MS;
	l->seed = seed->count ? (uint64_t)seed->ival[0] : DEFAULT_SEED;
	l->rate_per_s = rate->count ? rate->dval[0] : DEFAULT_RATE_PER_S;
	if (l->rate_per_s <= 0) {
		fprintf(stderr, "chivegw load: --rate must be above 0\n");
		return CLI_USAGE;
	}
	if (log->count) {
		l->log = fopen(log->filename[0], "w");
		if (!l->log) {
			fprintf(stderr, "chivegw load: cannot write %s\n",
				log->filename[0]);
			return CLI_FAILED;
		}
	}
	run_load(l, seconds->count ? seconds->dval[0] : DEFAULT_DURATION_S);
	if (l->log)
		fclose(l->log);
	return print_report(l, platform->count > 0, json->count > 0,
			    out->count ? out->filename[0] : NULL);
}
