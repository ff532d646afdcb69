/*
 * Processor time of configured routes for docs/CAPACITY.md, each at several
 * sizes with a fitted line: choosing a server, applying the loads that other
 * nodes report, deciding on a roll-out, building and matching routes.
 */
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <glib.h>
#include <json-c/json.h>

#include "exchange/peer-loads.h"
#include "exchange/routes.h"
#include "exchange/pick.h"
#include "exchange/servers.h"
#include "rollout/shift.h"

#define POINTS 5 /* sizes per measurement */
#define CLUSTER_KEY "a-key-of-the-cluster"
#define PICK_SERVERS 200000 /* servers examined at each size */
#define LOAD_SERVERS 90
#define BUSY_SERVERS 40
#define LOAD_ROUNDS 20
#define ROLLOUT_ROUNDS 50
#define MATCH_ROUNDS 2000

/* Returns the processor time that this process has used. */
static double cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

/*
 * Prints the measured points, the line y = a + b x fitted to them by least
 * squares, and the value of the line at x = at.
 */
static void print_fit(const char *what, const double *x, const double *y,
		      double at)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0, b, a;

	printf("%s:", what);
	for (int i = 0; i < POINTS; i++) {
		sx += x[i];
		sy += y[i];
		sxx += x[i] * x[i];
		sxy += x[i] * y[i];
		printf(" %g:%.4g", x[i], y[i]);
	}
	b = (POINTS * sxy - sx * sy) / (POINTS * sxx - sx * sx);
	a = (sy - b * sx) / POINTS;
	printf("\n    line %.4g + %.4g x; at %g: %.4g\n", a, b, at, a + b * at);
}

/* Initialises a table with one service of that many servers. */
static void fill_server_table(struct server_table *t, int servers)
{
	server_table_init(t);
	for (int i = 0; i < servers; i++) {
		g_autofree char *id = g_strdup_printf("i-%d", i);
		const struct server_entry e = {
			.id = id,
			.service = "engines",
			.address = "10.0.0.1:1",
			.zone = i % 3 ? "a" : "b",
			.version = "v1",
			.slots = 64,
		};

		server_update(t, 0, &e);
	}
}

/* Measures the choice of a server for a model request. */
static void measure_pick(void)
{
	const double sizes[POINTS] = {20, 100, 400, 1600, 3200};
	double us[POINTS];
	struct rng rng;

	rng_seed(&rng, 1);
	for (int p = 0; p < POINTS; p++) {
		struct server_table t;
		struct pick_criteria criteria = {.service = "engines",
						 .zone = "a",
						 .weight = 1,
						 .affinity = 1,
						 .shared_tokens = 500,
						 .input_tokens = 2000};
		int rounds = PICK_SERVERS / (int)sizes[p];
		struct server_work work;
		double start;

		fill_server_table(&t, (int)sizes[p]);
		start = cpu_us();
		for (int i = 0; i < rounds; i++) {
			criteria.affinity = rng_next(&rng);
			pick_best_server(&t, 1, &criteria, &rng, &work);
		}
		us[p] = (cpu_us() - start) / rounds;
		server_table_clear(&t);
	}
	print_fit("choosing a server for a model request (us) by servers",
		  sizes, us, 3200);
}

/* Measures applying the loads that other nodes report, and a report's size. */
static void measure_peer_loads(void)
{
	const double nodes[POINTS] = {7, 30, 100, 200, 400};
	double us[POINTS];
	struct server_table t;
	struct fleet_wire_loads report;
	uint8_t bytes[PEER_WIRE_MAX_BYTES];

	fill_server_table(&t, LOAD_SERVERS);
	for (guint i = 0; i < BUSY_SERVERS; i++)
		server_on_request_start(t.all->pdata[i], 0);
	peer_loads_report(&t, "node", &report);
	printf("a node's word of its loads on %u servers: %zu bytes\n",
	       report.n,
	       fleet_wire_encode_loads(&report, CLUSTER_KEY, bytes,
				       sizeof(bytes)));
	for (int p = 0; p < POINTS; p++) {
		struct peer_loads l;
		double start;

		peer_loads_init(&l);
		for (int n = 0; n < (int)nodes[p]; n++) {
			snprintf(report.node, sizeof(report.node), "node-%d",
				 n);
			peer_loads_update(&l, 1, &report);
		}
		start = cpu_us();
		for (int i = 0; i < LOAD_ROUNDS; i++)
			peer_loads_apply(&l, 1, &t);
		us[p] = (cpu_us() - start) / LOAD_ROUNDS;
		peer_loads_clear(&l);
	}
	print_fit(
		"adding up other nodes' loads, 90 servers (us a tick) by nodes",
		nodes, us, 400);
	server_table_clear(&t);
}

/* Measures a tick of a roll-out with the reports of all nodes. */
static void measure_rollout(void)
{
	const double nodes[POINTS] = {7, 30, 100, 200, 400};
	const struct shift_params params = {0.15, 30};
	double us[POINTS];

	for (int p = 0; p < POINTS; p++) {
		struct traffic_shift *s = shift_new("s", "v2", 24000, 5000, 0);
		struct shift_report r = {.evidence = {.n_routes = 3}};
		double start;

		for (int n = 0; n < (int)nodes[p]; n++) {
			snprintf(r.node, sizeof(r.node), "node-%d", n);
			shift_on_report(s, 1, &r);
		}
		start = cpu_us();
		for (int i = 0; i < ROLLOUT_ROUNDS; i++) {
			shift_detect_regression(s, 100);
			shift_update_plan(s, 100, &params, 3);
		}
		us[p] = (cpu_us() - start) / ROLLOUT_ROUNDS;
		shift_free(s);
	}
	print_fit("judging a roll-out (us a tick) by nodes", nodes, us, 400);
}

/* Returns a configuration with that many routes to one service. */
static struct json_object *route_document(int n_routes)
{
	g_autoptr(GString) text =
		g_string_new("{\"services\":[{\"name\":\"s\"}],"
			     "\"routes\":[");
	struct json_object *doc;

	for (int i = 0; i < n_routes; i++)
		g_string_append_printf(
			text,
			"%s{\"name\":\"r%d\",\"host\":\"h%d.example\","
			"\"path\":\"/p%d/\",\"kind\":\"idempotent\","
			"\"services\":[{\"service\":\"s\"}]}",
			i ? "," : "", i, i % 4, i);
	g_string_append(text, "]}");
	doc = json_tokener_parse(text->str);
	return doc;
}

/* Measures building a route table, and a match that many routes precede. */
static void measure_routes(void)
{
	const double sizes[POINTS] = {8, 50, 200, 800, 2000};
	double build[POINTS], match[POINTS];

	for (int p = 0; p < POINTS; p++) {
		struct json_object *doc = route_document((int)sizes[p]);
		double start = cpu_us();
		struct route_table *r = route_table_build(doc, 1, NULL);

		build[p] = cpu_us() - start;
		start = cpu_us();
		for (int i = 0; i < MATCH_ROUNDS; i++)
			route_match(r, "h1.example", "/p1/x");
		match[p] = (cpu_us() - start) / MATCH_ROUNDS;
		route_table_unref(r);
		json_object_put(doc);
	}
	print_fit("building the table of routes (us) by routes", sizes, build,
		  2000);
	print_fit("matching a route, the worst one (us) by routes", sizes,
		  match, 2000);
}

int main(void)
{
	measure_pick();
	measure_peer_loads();
	measure_rollout();
	measure_routes();
	return 0;
}
