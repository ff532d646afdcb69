/*
 * Compares the decisions of route/ with simpler policies: the cost of meeting a
 * quality target, and the time that requests queue when nodes choose servers by
 * outdated load reports. An engine is simulated as a queue with a fixed number
 * of slots, and each node decides on its own. Time is simulated and random
 * numbers are seeded, so that the output is reproducible.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/generate.h"
#include "rng.h"
#include "route/choose.h"
#include "route/server.h"

/* ---- cost of meeting the quality target ---- */

#define REQUEST_COUNT 20000
#define KIND_COUNT 3
#define RATED_SHARE 0.1 /* of requests that get a later rating */

/* Mean quality by version (mini, quill) and kind (answer, draft, tag). */
static const double true_quality[2][KIND_COUNT] = {
	{0.83, 0.66, 0.90},
	{0.94, 0.93, 0.95},
};
static const double quality_stddev = 0.08;
/* By kind: share of the requests, and mean tokens of a request. */
static const double kind_share[KIND_COUNT] = {0.3, 0.2, 0.5};
static const double input_tokens[KIND_COUNT] = {300, 6000, 200};
static const double output_tokens[KIND_COUNT] = {120, 1500, 8};

enum policy {
	POLICY_CHIVEGW,
	POLICY_CHEAPEST,
	POLICY_BEST,
	POLICY_RANDOM,
	POLICY_ROUND_ROBIN,
	POLICY_COUNT,
};

static const char *const policy_names[] = {
	"chivegw", "cheapest always", "best always", "random", "round robin",
};

/* State of a run with one policy. */
struct cost_model {
	struct cfg *cfg;
	struct quality_table quality;
	struct rng rng;
	cfg_handle version[2]; /* mini, quill */
	cfg_handle org;
	cfg_handle kind[KIND_COUNT];
	uint64_t next_turn; /* of the round robin */
};

/* Returns the row of true_quality for a version. */
static int version_index(const struct cost_model *s, cfg_handle v)
{
	return v == s->version[1];
}

/* Draws the quality of an answer, from 0 to 1. */
static double draw_quality(struct cost_model *s, cfg_handle v, int k)
{
	double q = true_quality[version_index(s, v)][k] +
		   quality_stddev * rng_normal(&s->rng);

	return fmin(fmax(q, 0), 1);
}

/* Chooses a version by policy p for a request of kind k. */
static struct choose_result choose_version(struct cost_model *s, enum policy p,
					   int k, bool streamed)
{
	struct choose_request req = {
		.org = s->org,
		.kind = s->kind[k],
		.pinned = CFG_NONE,
		.streamed = streamed,
		.can_rate = true,
		.input_tokens = input_tokens[k],
		.usable = UINT64_MAX,
	};
	struct choose_result c = {.second = CFG_NONE};

	switch (p) {
	case POLICY_CHIVEGW:
		return choose_for_request(s->cfg, &s->quality, &req, &s->rng);
	case POLICY_CHEAPEST:
		c.first = s->version[0];
		return c;
	case POLICY_BEST:
		c.first = s->version[1];
		return c;
	case POLICY_RANDOM:
		c.first = s->version[rng_below(&s->rng, 2)];
		return c;
	default:
		c.first = s->version[s->next_turn++ % 2];
		return c;
	}
}

struct totals {
	double cost; /* micro-units */
	/* By kind: sum of the quality, requests, requests below target. */
	double quality[KIND_COUNT];
	double n[KIND_COUNT];
	double below[KIND_COUNT];
};

/*
 * Serves a request of kind k. If the chosen version is the first of a cascade
 * and its answer misses the target, the second one answers and costs too.
 */
static void serve_request(struct cost_model *s, enum policy p, int k,
			  bool streamed, struct totals *totals)
{
	struct choose_result c = choose_version(s, p, k, streamed);
	double target = s->cfg->orgs[s->org].target[s->kind[k]];
	cfg_handle v = c.first;
	double q = draw_quality(s, v, k);

	totals->cost += choose_expected_cost(s->cfg, v, input_tokens[k],
					     output_tokens[k]);
	quality_add_measurement(&s->quality, v, s->kind[k], output_tokens[k],
				0);
	if (c.second != CFG_NONE) {
		quality_add_rating(&s->quality, v, s->kind[k], q, target);
		if (q < target) {
			v = c.second;
			q = draw_quality(s, v, k);
			totals->cost += choose_expected_cost(
				s->cfg, v, input_tokens[k], output_tokens[k]);
		}
	}
	if (rng_unit(&s->rng) < RATED_SHARE)
		quality_add_rating(&s->quality, v, s->kind[k], q, target);
	totals->quality[k] += q;
	totals->n[k]++;
	totals->below[k] += q < target;
}

/* Builds the configuration of the example; exits if it cannot be read. */
static struct cfg *load_example_config(void)
{
	g_autofree char *text = NULL;
	struct json_object *doc;
	struct cfg *cfg;

	if (!g_file_get_contents("examples/etcheverry.jsonc", &text, NULL,
				 NULL))
		exit(1);
	doc = cfg_generate("example", text, NULL);
	cfg = cfg_build(doc, 1, NULL);
	json_object_put(doc);
	return cfg;
}

/* Runs one policy and prints its row. */
static void run_policy(enum policy p, bool streamed, uint64_t seed)
{
	static const char *const kinds[KIND_COUNT] = {"answer", "draft", "tag"};
	struct cost_model s = {.cfg = load_example_config()};
	struct totals totals = {0};

	rng_seed(&s.rng, seed);
	s.version[0] = cfg_find_version(s.cfg, "quill-mini@2");
	s.version[1] = cfg_find_version(s.cfg, "quill@3");
	s.org = cfg_find_org_by_name(s.cfg, "tenders");
	for (int k = 0; k < KIND_COUNT; k++)
		s.kind[k] = cfg_find_kind(s.cfg, kinds[k]);
	for (int i = 0; i < REQUEST_COUNT; i++) {
		double point = rng_unit(&s.rng);
		int k = point < kind_share[0]			? 0
			: point < kind_share[0] + kind_share[1] ? 1
								: 2;

		serve_request(&s, p, k, streamed && k == 1, &totals);
	}
	printf("| %-16s | %9.1f |", policy_names[p],
	       totals.cost / REQUEST_COUNT);
	for (int k = 0; k < KIND_COUNT; k++)
		printf(" %.3f / %.2f |", totals.quality[k] / totals.n[k],
		       s.cfg->orgs[s.org].target[s.kind[k]]);
	printf("\n");
	cfg_free(s.cfg);
}

/* Prints a table of cost and quality by policy. */
static void bench_cost(void)
{
	printf("cost at the quality target: %d requests, seed 1, drafts "
	       "streamed; mean quality / target\n\n",
	       REQUEST_COUNT);
	printf("| way              | micro-units a request | answer | draft | "
	       "tag |\n|---|---|---|---|---|\n");
	for (int p = 0; p < POLICY_COUNT; p++)
		run_policy((enum policy)p, true, 1);
}

/* ---- server choice by outdated load reports ---- */

#define SERVERS 20
#define NODES 8
#define SLOTS_PER_ENGINE 8
#define MEAN_SERVICE_MS 200.0
#define REPORT_INTERVAL_MS 1000
#define RUN_MS 60000
#define LOAD_SHARE 0.8 /* offered load as a share of all slots */
#define DEGRADED_LOAD_SHARE 0.7 /* of scenarios with degraded engines */
#define DEGRADED_ENGINES 4
#define DEGRADED_SLOTS 2 /* slots left by external load */
#define ONE_NODE_SHARE 0.6 /* of requests, in SCENARIO_ONE_NODE */
#define MAX_QUEUE 4096 /* requests per engine */
#define MAX_WAITS 200000 /* above the expected requests of a run */
#define MAX_ARRIVALS 20 /* per ms */

/* Conditions under which nodes choose servers. */
enum scenario {
	SCENARIO_EVEN,
	SCENARIO_SLOW, /* degraded engines take twice the time */
	SCENARIO_ONE_NODE, /* most requests arrive at one node */
	SCENARIO_EXTERNAL_LOAD, /* other clients use slots of degraded engines */
	SCENARIO_COUNT,
};

static const char *const scenario_names[] = {
	"even",
	"four engines half as fast",
	"six in ten requests at one node",
	"four engines with 2 places left",
};

/* How a node chooses a server. */
enum pick_strategy {
	STRATEGY_CHIVEGW,
	STRATEGY_LEAST_REPORTED,
	STRATEGY_RANDOM,
	STRATEGY_ROUND_ROBIN,
	STRATEGY_COUNT,
};

static const char *const strategy_names[] = {"chivegw", "least reported load",
					     "random", "round robin"};

/* A request that is queued or runs at an engine. */
struct queued_request {
	double arrived_ms;
	double need_ms; /* service time */
	int node; /* that sent it */
};

struct engine {
	struct queued_request queue[MAX_QUEUE];
	int waiting;
	struct queued_request running[SLOTS_PER_ENGINE];
	double left_ms[SLOTS_PER_ENGINE]; /* of the running requests */
	int n_running;
};

struct fleet {
	struct engine engines[SERVERS];
	struct backend_state table[NODES][SERVERS]; /* as each node sees them */
	struct cfg *cfg;
	struct rng rng;
	int next_turn[NODES]; /* of the round robin of each node */
	double wait_ms[MAX_WAITS]; /* time in queue of each started request */
	int n_waits;
	uint64_t sequence;
	int max_at_one_engine; /* queued and running requests */
	enum scenario scenario;
};

/* Returns a configuration that has only the servers. */
static struct cfg *fleet_config(void)
{
	struct cfg *cfg = g_new0(struct cfg, 1);

	cfg->servers = g_new0(struct cfg_server, SERVERS);
	cfg->n_servers = SERVERS;
	for (int i = 0; i < SERVERS; i++) {
		cfg->servers[i].address = g_strdup_printf("s%d", i);
		cfg->servers[i].zone = g_strdup("z");
	}
	return cfg;
}

/* Returns the server that a node chooses; CFG_NONE if it finds none. */
static int choose_server(struct fleet *f, enum pick_strategy p, int node,
			 uint64_t now)
{
	struct backend_criteria criteria = {
		.version = CFG_NONE, .zone = "z", .avoid = CFG_NONE};
	int best = 0;

	switch (p) {
	case STRATEGY_CHIVEGW:
		return backend_pick(f->cfg, f->table[node], now, &criteria);
	case STRATEGY_LEAST_REPORTED:
		for (int i = 1; i < SERVERS; i++)
			if (f->table[node][i].reported <
			    f->table[node][best].reported)
				best = i;
		return best;
	case STRATEGY_RANDOM:
		return (int)rng_below(&f->rng, SERVERS);
	default:
		return f->next_turn[node]++ % SERVERS;
	}
}

/* Draws the node at which a request arrives. */
static int draw_node(struct fleet *f)
{
	if (f->scenario == SCENARIO_ONE_NODE &&
	    rng_unit(&f->rng) < ONE_NODE_SHARE)
		return 0;
	return (int)rng_below(&f->rng, NODES);
}

/* Returns the mean service time of an engine. */
static double mean_service_ms(const struct fleet *f, int s)
{
	return f->scenario == SCENARIO_SLOW && s < DEGRADED_ENGINES
		       ? 2 * MEAN_SERVICE_MS
		       : MEAN_SERVICE_MS;
}

/* Returns the slots of an engine that the fleet can use. */
static int usable_slots(const struct fleet *f, int s)
{
	return f->scenario == SCENARIO_EXTERNAL_LOAD && s < DEGRADED_ENGINES
		       ? DEGRADED_SLOTS
		       : SLOTS_PER_ENGINE;
}

/* Queues a request at the chosen server, or at a random one if none is. */
static void on_arrival(struct fleet *f, enum pick_strategy p, double now)
{
	int node = draw_node(f);
	int s = choose_server(f, p, node, (uint64_t)now);
	struct engine *e;

	if (s == CFG_NONE)
		s = (int)rng_below(&f->rng, SERVERS);
	e = &f->engines[s];
	if (e->waiting < MAX_QUEUE) {
		struct queued_request j = {
			.arrived_ms = now,
			.need_ms = -log(1 - rng_unit(&f->rng)) *
				   mean_service_ms(f, s),
			.node = node,
		};

		e->queue[e->waiting++] = j;
		backend_on_request_start(&f->table[node][s], ++f->sequence);
	}
}

/* Simulates one millisecond of an engine. */
static void advance_engine(struct fleet *f, int s, double now)
{
	struct engine *e = &f->engines[s];

	for (int i = 0; i < e->n_running; i++) {
		e->left_ms[i] -= 1;
		if (e->left_ms[i] > 0)
			continue;
		f->table[e->running[i].node][s].in_flight--;
		e->n_running--;
		e->running[i] = e->running[e->n_running];
		e->left_ms[i] = e->left_ms[e->n_running];
		i--;
	}
	while (e->waiting && e->n_running < usable_slots(f, s)) {
		e->running[e->n_running] = e->queue[0];
		e->left_ms[e->n_running++] = e->queue[0].need_ms;
		f->wait_ms[f->n_waits++] = now - e->queue[0].arrived_ms;
		memmove(e->queue, e->queue + 1,
			sizeof(e->queue[0]) * (size_t)--e->waiting);
	}
	if (e->waiting + e->n_running > f->max_at_one_engine)
		f->max_at_one_engine = e->waiting + e->n_running;
}

/* Reports the load of all engines to all nodes. */
static void report_loads(struct fleet *f)
{
	for (int n = 0; n < NODES; n++)
		for (int s = 0; s < SERVERS; s++)
			backend_on_load_report(&f->table[n][s],
					       f->engines[s].n_running +
						       f->engines[s].waiting,
					       UINT64_MAX);
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* Runs one strategy in one scenario and prints its row. */
static void run_strategy(enum scenario scenario, enum pick_strategy p)
{
	struct fleet *f = g_new0(struct fleet, 1);
	bool degraded =
		scenario == SCENARIO_SLOW || scenario == SCENARIO_EXTERNAL_LOAD;
	double arrivals_per_ms = (degraded ? DEGRADED_LOAD_SHARE : LOAD_SHARE) *
				 SERVERS * SLOTS_PER_ENGINE / MEAN_SERVICE_MS;

	f->scenario = scenario;
	f->cfg = fleet_config();
	rng_seed(&f->rng, 1);
	for (int n = 0; n < NODES; n++)
		for (int s = 0; s < SERVERS; s++) {
			backend_init(&f->table[n][s]);
			f->table[n][s].in_subset = true;
			f->table[n][s].limit = BACKEND_MAX_LIMIT;
		}
	for (int now = 0; now < RUN_MS; now++) {
		double point = rng_unit(&f->rng);
		int n = 0; /* arrivals, Poisson distributed */

		if (now % REPORT_INTERVAL_MS == 0)
			report_loads(f);
		for (double sum = exp(-arrivals_per_ms), q = sum;
		     point > sum && n < MAX_ARRIVALS;) {
			n++;
			q *= arrivals_per_ms / n;
			sum += q;
		}
		for (int i = 0; i < n; i++)
			on_arrival(f, p, now + 1);
		for (int s = 0; s < SERVERS; s++)
			advance_engine(f, s, now + 1);
	}
	qsort(f->wait_ms, (size_t)f->n_waits, sizeof(double), compare_doubles);
	printf("| %s | %s | %6.1f ms | %6.1f ms | %6.1f ms | %4d |\n",
	       scenario_names[scenario], strategy_names[p],
	       f->wait_ms[f->n_waits / 2], f->wait_ms[f->n_waits * 95 / 100],
	       f->wait_ms[f->n_waits * 99 / 100], f->max_at_one_engine);
	g_free(f);
}

/* Prints a table of queueing times by scenario and strategy. */
static void bench_server_choice(void)
{
	printf("\nserver choice: %d nodes, %d engines of %d places, load %.0f "
	       "%% "
	       "(%.0f %% where some are slowed), reports every %d ms, seed 1; "
	       "time a request waits\n\n",
	       NODES, SERVERS, SLOTS_PER_ENGINE, LOAD_SHARE * 100,
	       DEGRADED_LOAD_SHARE * 100, REPORT_INTERVAL_MS);
	printf("| scene | way | p50 | p95 | p99 | most at one engine |\n"
	       "|---|---|---|---|---|---|\n");
	for (int scenario = 0; scenario < SCENARIO_COUNT; scenario++)
		for (int p = 0; p < STRATEGY_COUNT; p++)
			run_strategy((enum scenario)scenario,
				     (enum pick_strategy)p);
}

int main(void)
{
	bench_cost();
	bench_server_choice();
	return 0;
}
