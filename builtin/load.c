#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "builtin/builtin.h"
#include "builtin/cli.h"
#include "json-check.h"
#include "rng.h"

#define MAX_TARGETS 64
#define BUCKETS 400
#define BUCKET_GROWTH 1.05
#define FIRST_BUCKET_US 50.0
#define TICK_MS 1
#define CONNECT_MS 2000

static const char load_text[] =
	"Sends a mix of requests at a given rate, open loop: a request leaves\n"
	"when its time has come, however slow the answers are, and latency\n"
	"counts from then. Prints latency and refusals by verdict; with\n"
	"--platform also what the run was billed.\n\n"
	"example: chivegw load --target 127.0.0.1:8101 --rate 100 --seconds 10 "
	"\\\n"
	"             --key etcheverry-tenders-key --service mesa-pedidos \\\n"
	"             --mix draft=1,answer=3,tag=3,order=1,read=2\n";

enum type {
	TYPE_DRAFT, /* streamed */
	TYPE_ANSWER,
	TYPE_TAG,
	TYPE_ORDER,
	TYPE_READ,
	TYPES,
};

static const char *const type_names[] = {"draft", "answer", "tag", "order",
					 "read"};

enum result {
	RESULT_OK,
	RESULT_NOT_RUN,
	RESULT_MAY_HAVE_RUN,
	RESULT_RAN,
	RESULT_BROKEN, /* no whole answer reached the tool */
	RESULTS,
};

static const char *const result_names[] = {"ok", "not-run", "may-have-run",
					   "ran", "broken"};

/* Counts in buckets that grow by BUCKET_GROWTH. */
struct histogram {
	uint64_t n;
	uint64_t bucket[BUCKETS];
	double max_us;
};

struct measures {
	uint64_t sent;
	uint64_t results[RESULTS];
	struct histogram first;
	struct histogram whole;
};

struct load {
	struct cli cli;
	struct rng rng;
	const char **targets;
	int n_targets;
	const char *key;
	const char *service;
	const char *model;
	double weights[TYPES];
	double rate;
	uint64_t seed;
	uint64_t start_us;
	uint64_t end_us;
	double next_us;
	uint64_t sent;
	uint64_t open;
	uint32_t deadline_ms;
	uint32_t tokens;
	uv_timer_t timer;
	FILE *log; /* one line a request, or NULL */
	struct measures by_type[TYPES];
};

struct shot {
	struct load *load;
	enum type type;
	uint64_t number;
	uint64_t due_us;
	uint64_t first_us;
	int status;
	GString *tail; /* end of a stream, or a refusal's body */
};

static uint64_t now_us(void)
{
	return (uint64_t)g_get_monotonic_time();
}

static void add_value(struct histogram *h, double us)
{
	double b = log(fmax(us, FIRST_BUCKET_US) / FIRST_BUCKET_US) /
		   log(BUCKET_GROWTH);
	int i = (int)fmin(b, BUCKETS - 1);

	h->n++;
	h->bucket[i]++;
	h->max_us = fmax(h->max_us, us);
}

/* Returns the upper bound in ms of the bucket that holds a quantile. */
static double quantile_ms(const struct histogram *h, double q)
{
	uint64_t want = (uint64_t)ceil(q * (double)h->n);
	uint64_t seen = 0;

	for (int i = 0; i < BUCKETS; i++) {
		seen += h->bucket[i];
		if (seen >= want && h->n)
			return fmin(FIRST_BUCKET_US * pow(BUCKET_GROWTH, i + 1),
				    h->max_us) /
			       1000;
	}
	return 0;
}

static enum result result_of(const struct shot *s, enum http_client_outcome end)
{
	if (end != HTTP_CLIENT_COMPLETE)
		return RESULT_BROKEN;
	if (s->status == 200) {
		if (s->type == TYPE_DRAFT && !strstr(s->tail->str, "[DONE]"))
			return RESULT_BROKEN;
		return RESULT_OK;
	}
	if (strstr(s->tail->str, "\"may-have-run\""))
		return RESULT_MAY_HAVE_RUN;
	if (strstr(s->tail->str, "\"not-run\""))
		return RESULT_NOT_RUN;
	return RESULT_RAN;
}

static void on_head(void *user, const struct http_client_head *head)
{
	((struct shot *)user)->status = head->status;
}

static void on_data(void *user, const char *data, size_t len)
{
	struct shot *s = user;

	if (!s->first_us)
		s->first_us = now_us();
	if (s->status == 200)
		g_string_truncate(s->tail, 0);
	g_string_append_len(s->tail, data, (gssize)len);
}

static void on_done(void *user, enum http_client_outcome end)
{
	struct shot *s = user;
	struct measures *m = &s->load->by_type[s->type];
	enum result r = result_of(s, end);

	m->results[r]++;
	if (s->load->log)
		fprintf(s->load->log, "%s load-%llu-%llu %s\n",
			type_names[s->type], (unsigned long long)s->load->seed,
			(unsigned long long)s->number, result_names[r]);
	if (r == RESULT_OK) {
		add_value(&m->first, (double)(s->first_us - s->due_us));
		add_value(&m->whole, (double)(now_us() - s->due_us));
	}
	s->load->open--;
	g_string_free(s->tail, TRUE);
	g_free(s);
}

static const struct http_client_callbacks events = {on_head, on_data, on_done};

static enum type draw_type(struct load *l)
{
	double sum = 0, at;

	for (int i = 0; i < TYPES; i++)
		sum += l->weights[i];
	at = rng_unit(&l->rng) * sum;
	for (int i = 0; i < TYPES; i++) {
		at -= l->weights[i];
		if (at < 0)
			return (enum type)i;
	}
	return TYPE_READ;
}

static char *model_body(const struct load *l, enum type type)
{
	return g_strdup_printf(
		"{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%u,"
		"\"messages\":[{\"role\":\"user\",\"content\":"
		"\"dossier %llu\"}]}",
		l->model, type == TYPE_DRAFT ? "true" : "false", l->tokens,
		(unsigned long long)l->sent % 97);
}

static void send_shot(struct load *l, uint64_t due_us)
{
	enum type type = draw_type(l);
	struct shot *s = g_new0(struct shot, 1);
	g_autofree char *body = NULL;
	g_autofree char *path = NULL;
	g_autofree char *headers = NULL;
	struct http_client_request req = {
		.address =
			l->targets[rng_below(&l->rng, (uint32_t)l->n_targets)],
		.method = type == TYPE_READ ? "GET" : "POST",
		.connect_ms = CONNECT_MS,
		.progress_ms = l->deadline_ms + CONNECT_MS,
		.total_ms = l->deadline_ms + CONNECT_MS,
	};

	s->load = l;
	s->type = type;
	s->due_us = due_us;
	s->tail = g_string_new(NULL);
	l->sent++;
	s->number = l->sent;
	l->open++;
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
		body = model_body(l, type);
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
	http_client_start(l->cli.http, &req, &events, s);
}

/* Sends all that is due; times between requests are exponential. */
static void on_tick(uv_timer_t *timer)
{
	struct load *l = timer->data;
	uint64_t now = now_us();

	while (l->next_us <= (double)now && l->next_us < (double)l->end_us) {
		send_shot(l, (uint64_t)l->next_us);
		l->next_us += -log(1 - rng_unit(&l->rng)) * 1e6 / l->rate;
	}
	if (l->next_us >= (double)l->end_us)
		uv_close((uv_handle_t *)timer, NULL);
}

static struct json_object *measures_json(const struct measures *m)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "sent",
			       json_object_new_int64((int64_t)m->sent));
	for (int r = 0; r < RESULTS; r++)
		json_object_object_add(
			o, result_names[r],
			json_object_new_int64((int64_t)m->results[r]));
	static const struct {
		const char *name;
		double q;
	} quantiles[] = {{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}};

	for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++) {
		g_autofree char *first =
			g_strdup_printf("first_ms_%s", quantiles[i].name);
		g_autofree char *whole =
			g_strdup_printf("whole_ms_%s", quantiles[i].name);

		json_object_object_add(o, first,
				       json_object_new_double(quantile_ms(
					       &m->first, quantiles[i].q)));
		json_object_object_add(o, whole,
				       json_object_new_double(quantile_ms(
					       &m->whole, quantiles[i].q)));
	}
	return o;
}

static void print_table(const struct load *l)
{
	printf("%-7s %7s %7s %8s %8s %6s %6s %9s %9s %9s %9s\n", "type", "sent",
	       "ok", "not-run", "may-run", "ran", "broken", "first p50",
	       "first p95", "whole p50", "whole p99");
	for (int t = 0; t < TYPES; t++) {
		const struct measures *m = &l->by_type[t];

		if (!m->sent)
			continue;
		printf("%-7s %7llu %7llu %8llu %8llu %6llu %6llu %6.1f ms "
		       "%6.1f ms %6.1f ms %6.1f ms\n",
		       type_names[t], (unsigned long long)m->sent,
		       (unsigned long long)m->results[RESULT_OK],
		       (unsigned long long)m->results[RESULT_NOT_RUN],
		       (unsigned long long)m->results[RESULT_MAY_HAVE_RUN],
		       (unsigned long long)m->results[RESULT_RAN],
		       (unsigned long long)m->results[RESULT_BROKEN],
		       quantile_ms(&m->first, 0.5),
		       quantile_ms(&m->first, 0.95),
		       quantile_ms(&m->whole, 0.5),
		       quantile_ms(&m->whole, 0.99));
	}
}

/* Sums the usage records that the object API holds. */
static double billed_cost(struct cli *c, uint64_t *records)
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

static bool parse_mix(struct load *l, const char *mix)
{
	g_auto(GStrv) parts = g_strsplit(mix, ",", -1);

	for (size_t i = 0; parts[i]; i++) {
		char *eq = strchr(parts[i], '=');
		bool known = false;

		if (!eq)
			return false;
		*eq = '\0';
		for (int t = 0; t < TYPES; t++) {
			if (strcmp(parts[i], type_names[t]) != 0)
				continue;
			l->weights[t] = g_ascii_strtod(eq + 1, NULL);
			known = true;
		}
		if (!known)
			return false;
	}
	return true;
}

static void run(struct load *l, double seconds)
{
	rng_seed(&l->rng, l->seed);
	l->start_us = now_us();
	l->end_us = l->start_us + (uint64_t)(seconds * 1e6);
	l->next_us = (double)l->start_us;
	uv_timer_init(l->cli.loop, &l->timer);
	l->timer.data = l;
	uv_timer_start(&l->timer, on_tick, 0, TICK_MS);
	while (l->open || l->next_us < (double)l->end_us)
		uv_run(l->cli.loop, UV_RUN_ONCE);
}

static int report(struct load *l, bool platform, bool json, const char *out)
{
	struct json_object *o = json_object_new_object();
	GError *err = NULL;
	uint64_t records = 0;
	double cost = platform ? billed_cost(&l->cli, &records) : 0;
	int code = CLI_OK;

	for (int t = 0; t < TYPES; t++)
		if (l->by_type[t].sent)
			json_object_object_add(o, type_names[t],
					       measures_json(&l->by_type[t]));
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
			 "callers' address of a node");
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
	l->tokens = tokens->count ? (uint32_t)tokens->ival[0] : 24;
	l->deadline_ms = deadline->count ? (uint32_t)deadline->ival[0] : 10000;
	l->seed = seed->count ? (uint64_t)seed->ival[0] : 1;
	l->rate = rate->count ? rate->dval[0] : 10;
	if (l->rate <= 0) {
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
	run(l, seconds->count ? seconds->dval[0] : 5);
	if (l->log)
		fclose(l->log);
	return report(l, platform->count > 0, json->count > 0,
		      out->count ? out->filename[0] : NULL);
}
