/*
 * Cost at the quality target, and server choice under lagging load reports,
 * with the decisions of route/ against simpler ways in the same run. Model
 * engines are queues with a fixed number of places; nodes decide by
 * themselves. Time is simulated, chance is seeded.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/generate.h"
#include "rng.h"
#include "route/choose.h"
#include "route/server.h"

/* ---- cost at the quality target ---- */

#define REQUESTS 20000
#define KINDS 3

/* True quality by version (mini, quill) and kind (answer, draft, tag). */
static const double true_quality[2][KINDS] = {
	{0.83, 0.66, 0.90},
	{0.94, 0.93, 0.95},
};
static const double spread = 0.08;
static const double kind_share[KINDS] = {0.3, 0.2, 0.5};
static const double input_tokens[KINDS] = {300, 6000, 200};
static const double output_tokens[KINDS] = {120, 1500, 8};

enum policy {
	POLICY_CHIVEGW,
	POLICY_CHEAPEST,
	POLICY_BEST,
	POLICY_RANDOM,
	POLICY_ROUND_ROBIN,
	POLICIES,
};

static const char *const policy_names[] = {
	"chivegw", "cheapest always", "best always", "random", "round robin",
};

struct scene {
	struct cfg *cfg;
	struct quality_table quality;
	struct rng rng;
	cfg_handle version[2]; /* mini, quill */
	cfg_handle org;
	cfg_handle kind[KINDS];
	uint64_t turn;
};

static int index_of(const struct scene *s, cfg_handle v)
{
	return v == s->version[1];
}

static double draw_quality(struct scene *s, cfg_handle v, int k)
{
	double q =
		true_quality[index_of(s, v)][k] + spread * rng_normal(&s->rng);

	return fmin(fmax(q, 0), 1);
}

static struct choose_result choose(struct scene *s, enum policy p, int k,
				   bool streamed)
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
		c.first = s->version[s->turn++ % 2];
		return c;
	}
}

struct sums {
	double cost;
	double quality[KINDS];
	double n[KINDS];
	double below[KINDS];
};

static void serve(struct scene *s, enum policy p, int k, bool streamed,
		  struct sums *sums)
{
	struct choose_result c = choose(s, p, k, streamed);
	double target = s->cfg->orgs[s->org].target[s->kind[k]];
	cfg_handle v = c.first;
	double q = draw_quality(s, v, k);

	sums->cost += choose_expected_cost(s->cfg, v, input_tokens[k],
					   output_tokens[k]);
	quality_add_measurement(&s->quality, v, s->kind[k], output_tokens[k],
				0);
	if (c.second != CFG_NONE) {
		quality_add_rating(&s->quality, v, s->kind[k], q, target);
		if (q < target) {
			v = c.second;
			q = draw_quality(s, v, k);
			sums->cost += choose_expected_cost(
				s->cfg, v, input_tokens[k], output_tokens[k]);
		}
	}
	if (rng_unit(&s->rng) < 0.1)
		quality_add_rating(&s->quality, v, s->kind[k], q, target);
	sums->quality[k] += q;
	sums->n[k]++;
	sums->below[k] += q < target;
}

static struct cfg *example(void)
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

static void run_policy(enum policy p, bool streamed, uint64_t seed)
{
	static const char *const kinds[KINDS] = {"answer", "draft", "tag"};
	struct scene s = {.cfg = example()};
	struct sums sums = {0};

	rng_seed(&s.rng, seed);
	s.version[0] = cfg_find_version(s.cfg, "quill-mini@2");
	s.version[1] = cfg_find_version(s.cfg, "quill@3");
	s.org = cfg_find_org_by_name(s.cfg, "tenders");
	for (int k = 0; k < KINDS; k++)
		s.kind[k] = cfg_find_kind(s.cfg, kinds[k]);
	for (int i = 0; i < REQUESTS; i++) {
		double at = rng_unit(&s.rng);
		int k = at < kind_share[0]		     ? 0
			: at < kind_share[0] + kind_share[1] ? 1
							     : 2;

		serve(&s, p, k, streamed && k == 1, &sums);
	}
	printf("| %-16s | %9.1f |", policy_names[p], sums.cost / REQUESTS);
	for (int k = 0; k < KINDS; k++)
		printf(" %.3f / %.2f |", sums.quality[k] / sums.n[k],
		       s.cfg->orgs[s.org].target[s.kind[k]]);
	printf("\n");
	cfg_free(s.cfg);
}

static void bench_cost(void)
{
	printf("cost at the quality target: %d requests, seed 1, drafts "
	       "streamed; mean quality / target\n\n",
	       REQUESTS);
	printf("| way              | micro-units a request | answer | draft | "
	       "tag |\n|---|---|---|---|---|\n");
	for (int p = 0; p < POLICIES; p++)
		run_policy((enum policy)p, true, 1);
}

/* ---- server choice under lagging reports ---- */

#define SERVERS 20
#define NODES 8
#define PLACES 8
#define SERVICE_MS 200.0
#define REPORT_MS 1000
#define RUN_MS 60000
#define LOAD 0.8
#define SLOWED_LOAD 0.7
#define SLOWED 4 /* engines that are slowed in the scenes that slow some */

enum scene_kind {
	SCENE_EVEN,
	SCENE_SLOW, /* some engines take twice the time */
	SCENE_ONE_NODE, /* one node has six in ten requests */
	SCENE_OUTSIDERS, /* some engines have most places taken by others */
	SCENES,
};

static const char *const scene_names[] = {
	"even",
	"four engines half as fast",
	"six in ten requests at one node",
	"four engines with 2 places left",
};

enum pick {
	PICK_CHIVEGW,
	PICK_REPORTED,
	PICK_RANDOM,
	PICK_ROUND_ROBIN,
	PICKS,
};

static const char *const pick_names[] = {"chivegw", "least reported load",
					 "random", "round robin"};

/* A request in a server's queue. */
struct job {
	double arrived;
	double need_ms;
	int node;
};

struct engine {
	struct job queue[4096];
	int waiting;
	struct job running[PLACES];
	double left[PLACES];
	int n_running;
};

struct fleet {
	struct engine engines[SERVERS];
	struct backend_state table[NODES][SERVERS];
	struct cfg *cfg;
	struct rng rng;
	int turn[NODES];
	double waits[200000];
	int n_waits;
	uint64_t sequence;
	int most;
	enum scene_kind scene;
};

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

static int pick(struct fleet *f, enum pick p, int node, uint64_t now)
{
	struct backend_criteria wish = {
		.version = CFG_NONE, .zone = "z", .avoid = CFG_NONE};
	int best = 0;

	switch (p) {
	case PICK_CHIVEGW:
		return backend_pick(f->cfg, f->table[node], now, &wish);
	case PICK_REPORTED:
		for (int i = 1; i < SERVERS; i++)
			if (f->table[node][i].reported <
			    f->table[node][best].reported)
				best = i;
		return best;
	case PICK_RANDOM:
		return (int)rng_below(&f->rng, SERVERS);
	default:
		return f->turn[node]++ % SERVERS;
	}
}

static int arriving_node(struct fleet *f)
{
	if (f->scene == SCENE_ONE_NODE && rng_unit(&f->rng) < 0.6)
		return 0;
	return (int)rng_below(&f->rng, NODES);
}

static double service_ms(const struct fleet *f, int s)
{
	return f->scene == SCENE_SLOW && s < SLOWED ? 2 * SERVICE_MS
						    : SERVICE_MS;
}

static int places(const struct fleet *f, int s)
{
	return f->scene == SCENE_OUTSIDERS && s < SLOWED ? 2 : PLACES;
}

static void arrive(struct fleet *f, enum pick p, double now)
{
	int node = arriving_node(f);
	int s = pick(f, p, node, (uint64_t)now);
	struct engine *e;

	if (s == CFG_NONE)
		s = (int)rng_below(&f->rng, SERVERS);
	e = &f->engines[s];
	if (e->waiting < 4096) {
		struct job j = {
			.arrived = now,
			.need_ms =
				-log(1 - rng_unit(&f->rng)) * service_ms(f, s),
			.node = node,
		};

		e->queue[e->waiting++] = j;
		backend_on_request_start(&f->table[node][s], ++f->sequence);
	}
}

static void step_engine(struct fleet *f, int s, double now)
{
	struct engine *e = &f->engines[s];

	for (int i = 0; i < e->n_running; i++) {
		e->left[i] -= 1;
		if (e->left[i] > 0)
			continue;
		f->table[e->running[i].node][s].in_flight--;
		e->n_running--;
		e->running[i] = e->running[e->n_running];
		e->left[i] = e->left[e->n_running];
		i--;
	}
	while (e->waiting && e->n_running < places(f, s)) {
		e->running[e->n_running] = e->queue[0];
		e->left[e->n_running++] = e->queue[0].need_ms;
		f->waits[f->n_waits++] = now - e->queue[0].arrived;
		memmove(e->queue, e->queue + 1,
			sizeof(e->queue[0]) * (size_t)--e->waiting);
	}
	if (e->waiting + e->n_running > f->most)
		f->most = e->waiting + e->n_running;
}

static void report(struct fleet *f)
{
	for (int n = 0; n < NODES; n++)
		for (int s = 0; s < SERVERS; s++)
			backend_on_load_report(&f->table[n][s],
					       f->engines[s].n_running +
						       f->engines[s].waiting,
					       UINT64_MAX);
}

static int by_value(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static void run_picks(enum scene_kind scene, enum pick p)
{
	struct fleet *f = g_new0(struct fleet, 1);
	bool slowed = scene == SCENE_SLOW || scene == SCENE_OUTSIDERS;
	double rate =
		(slowed ? SLOWED_LOAD : LOAD) * SERVERS * PLACES / SERVICE_MS;

	f->scene = scene;
	f->cfg = fleet_config();
	rng_seed(&f->rng, 1);
	for (int n = 0; n < NODES; n++)
		for (int s = 0; s < SERVERS; s++) {
			backend_init(&f->table[n][s]);
			f->table[n][s].in_subset = true;
			f->table[n][s].limit = BACKEND_MAX_LIMIT;
		}
	for (int now = 0; now < RUN_MS; now++) {
		double at = rng_unit(&f->rng);
		int n = 0;

		if (now % REPORT_MS == 0)
			report(f);
		for (double sum = exp(-rate), q = sum; at > sum && n < 20;) {
			n++;
			q *= rate / n;
			sum += q;
		}
		for (int i = 0; i < n; i++)
			arrive(f, p, now + 1);
		for (int s = 0; s < SERVERS; s++)
			step_engine(f, s, now + 1);
	}
	qsort(f->waits, (size_t)f->n_waits, sizeof(double), by_value);
	printf("| %s | %s | %6.1f ms | %6.1f ms | %6.1f ms | %4d |\n",
	       scene_names[scene], pick_names[p], f->waits[f->n_waits / 2],
	       f->waits[f->n_waits * 95 / 100], f->waits[f->n_waits * 99 / 100],
	       f->most);
	g_free(f);
}

static void bench_picks(void)
{
	printf("\nserver choice: %d nodes, %d engines of %d places, load %.0f "
	       "%% "
	       "(%.0f %% where some are slowed), reports every %d ms, seed 1; "
	       "time a request waits\n\n",
	       NODES, SERVERS, PLACES, LOAD * 100, SLOWED_LOAD * 100,
	       REPORT_MS);
	printf("| scene | way | p50 | p95 | p99 | most at one engine |\n"
	       "|---|---|---|---|---|---|\n");
	for (int scene = 0; scene < SCENES; scene++)
		for (int p = 0; p < PICKS; p++)
			run_picks((enum scene_kind)scene, (enum pick)p);
}

int main(void)
{
	bench_cost();
	bench_picks();
	return 0;
}
