/*
 * Slopes for docs/CAPACITY.md: processor time, memory and bytes that the
 * decisions cost as the fleet grows, each at several sizes with a fitted line.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>
#include <json-c/json.h>

#include "answer/answer.h"
#include "config/config.h"
#include "config/sections.h"
#include "member/member.h"
#include "rollout/evidence.h"
#include "route/choose.h"
#include "route/server.h"
#include "trace/trace.h"
#include "wire/codec.h"

#define POINTS 5 /* sizes per measurement */
#define MEMBER_TICK_MS 50
#define MODEL_VERSIONS 33
#define ORGANISATIONS 100
#define SUBSET_NODES 400
#define SUBSET_SERVERS 12
#define SUBSET_ROUNDS 10
#define PICK_ROUNDS 1000
#define ANSWER_ROUNDS 50
#define STATED_ANSWER_TOKENS 271 /* at which the fitted line is printed */

/* Returns the processor time that this process has used. */
static double cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

/* Returns the bytes that are allocated on the heap. */
static double heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return (double)(m.uordblks + m.hblkhd);
}

/*
 * Prints the measured points, the line y = a + b x fitted to them by least
 * squares, and the value of the line at x = at.
 */
static void print_fit(const char *what, const char *x_name, const char *unit,
		      const double *x, const double *y, double at)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0, b, a;

	for (int i = 0; i < POINTS; i++) {
		sx += x[i];
		sy += y[i];
		sxx += x[i] * x[i];
		sxy += x[i] * y[i];
	}
	b = (POINTS * sxy - sx * sy) / (POINTS * sxx - sx * sx);
	a = (sy - b * sx) / POINTS;
	printf("%s (%s) by %s:", what, unit, x_name);
	for (int i = 0; i < POINTS; i++)
		printf(" %g:%.4g", x[i], y[i]);
	printf("\n    line %.4g + %.4g x; at %g: %.4g\n", a, b, at, a + b * at);
}

/* ---- membership ---- */

static void format_entry_name(int i, char *out, size_t size)
{
	snprintf(out, size, "entry-%d", i);
}

/* Nodes that exchange datagrams; an address is the index of the node. */
struct fleet {
	struct member_table *nodes;
	int n;
	GArray *in_flight; /* of struct member_datagram, for the next tick */
	double bytes; /* sent in all */
};

/* Encodes, decodes and delivers datagrams; replies go to f->in_flight. */
static void deliver(struct fleet *f, uint64_t now, GArray *arriving)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct member_datagram));

	for (guint i = 0; i < arriving->len; i++) {
		struct member_datagram *o =
			&g_array_index(arriving, struct member_datagram, i);
		uint8_t buf[PEER_WIRE_MAX_BYTES];
		struct member_msg msg;
		size_t len = peer_wire_encode(&o->msg, "key", buf, sizeof(buf));

		f->bytes += (double)len;
		if (peer_wire_decode(buf, len, "key", &msg) == PEER_WIRE_OK)
			member_on_message(&f->nodes[o->to.ip], now, &msg, out);
	}
	g_array_append_vals(f->in_flight, out->data, out->len);
	g_array_free(out, TRUE);
}

/*
 * Simulates n nodes for some seconds. Sets bytes sent and processor time, both
 * per second and node, and heap bytes per node.
 */
static void run_fleet(int n, double *bytes_s, double *cpu_us_s, double *heap)
{
	const int seconds = 20;
	struct fleet f = {.n = n, .nodes = g_new0(struct member_table, n)};
	double before = heap_bytes(), start;

	f.in_flight = g_array_new(FALSE, FALSE, sizeof(struct member_datagram));
	for (int i = 0; i < n; i++) {
		struct member_addr a = {.ip = (uint32_t)i, .port = 1};
		char name[MEMBER_NAME_BYTES];

		format_entry_name(i, name, sizeof(name));
		member_init(&f.nodes[i], name, a, 1, (uint64_t)i + 1);
		for (int k = 0; k < n; k++) {
			struct member_addr b = {.ip = (uint32_t)k, .port = 1};

			format_entry_name(k, name, sizeof(name));
			member_add(&f.nodes[i], 0, name, b);
		}
	}
	*heap = (heap_bytes() - before) / n;
	start = cpu_us();
	for (uint64_t now = 1000; now < 1000 + seconds * 1000u;
	     now += MEMBER_TICK_MS) {
		GArray *arriving = f.in_flight;

		f.in_flight = g_array_new(FALSE, FALSE,
					  sizeof(struct member_datagram));
		deliver(&f, now, arriving);
		g_array_free(arriving, TRUE);
		for (int i = 0; i < n; i++)
			member_tick(&f.nodes[i], now, f.in_flight);
	}
	*cpu_us_s = (cpu_us() - start) / n / seconds;
	*bytes_s = f.bytes / n / seconds;
	for (int i = 0; i < n; i++)
		member_clear(&f.nodes[i]);
	g_array_free(f.in_flight, TRUE);
	g_free(f.nodes);
}

/* Measures membership messages between all nodes. */
static void measure_membership(void)
{
	double x[POINTS] = {8, 50, 100, 200, 400};
	double bytes_s[POINTS], cpu[POINTS], heap[POINTS];

	for (int i = 0; i < POINTS; i++)
		run_fleet((int)x[i], &bytes_s[i], &cpu[i], &heap[i]);
	print_fit("membership, bytes sent", "nodes", "bytes/s a node", x,
		  bytes_s, 400);
	print_fit("membership, processor", "nodes", "us/s a node", x, cpu, 400);
	print_fit("membership, memory", "nodes", "bytes a node", x, heap, 400);
}

/* ---- configuration ---- */

/* Returns a configuration with that many servers and organisations. */
static char *config_text(int servers, int orgs)
{
	GString *s = g_string_new(
		"{\"general\":{\"deployment\":\"d\",\"kinds\":[{\"name\":\"a\","
		"\"quality_target\":0.8}]},\"services\":[{\"name\":\"e\","
		"\"kind\":\"engine\",\"servers\":[");

	for (int i = 0; i < servers; i++)
		g_string_append_printf(s,
				       "%s{\"address\":\"10.%d.%d.%d:9000\","
				       "\"zone\":\"z%d\"}",
				       i ? "," : "", i / 40000, i / 200 % 200,
				       i % 200 + 1, i % 11);
	g_string_append(s, "]}],\"models\":[");
	for (int i = 0; i < MODEL_VERSIONS; i++)
		g_string_append_printf(s,
				       "%s{\"name\":\"m\",\"version\":\"%d\","
				       "\"service\":\"e\","
				       "\"input_cost\":1,\"output_cost\":2,"
				       "\"expected_quality\":{\"a\":0.9}}",
				       i ? "," : "", i);
	g_string_append(s, "],\"organisations\":[");
	for (int i = 0; i < orgs; i++)
		g_string_append_printf(s,
				       "%s{\"name\":\"o%d\",\"key_digest\":"
				       "\"%064d\",\"models\":[\"m@*\"]}",
				       i ? "," : "", i, i);
	g_string_append(s, "]}");
	return g_string_free(s, FALSE);
}

/* Measures the configuration and choices of servers by it. */
static void measure_configuration(void)
{
	double x[POINTS] = {20, 400, 800, 1600, 3200};
	double cpu[POINTS], heap[POINTS], size[POINTS], head[POINTS];
	double pick[POINTS], subset[POINTS];

	for (int i = 0; i < POINTS; i++) {
		g_autofree char *text = config_text((int)x[i], ORGANISATIONS);
		struct json_object *doc = json_tokener_parse(text);
		GPtrArray *sections = cfg_section_split(doc);
		g_autofree char *head_text =
			cfg_section_format_head(1, "op", sections, NULL);
		double before, start;
		struct cfg *cfg;
		struct backend_state *table;
		struct backend_criteria criteria = {
			.version = 0, .zone = "z1", .avoid = CFG_NONE};
		uint64_t nodes[SUBSET_NODES];

		head[i] = (double)strlen(head_text);
		size[i] = (double)strlen(text);
		before = heap_bytes();
		start = cpu_us();
		cfg = cfg_build(doc, 1, NULL);
		cpu[i] = cpu_us() - start;
		heap[i] = heap_bytes() - before;
		table = g_new0(struct backend_state, cfg->n_servers);
		for (size_t k = 0; k < cfg->n_servers; k++)
			backend_init(&table[k]);
		for (int k = 0; k < SUBSET_NODES; k++) {
			char name[MEMBER_NAME_BYTES];

			format_entry_name(k, name, sizeof(name));
			nodes[k] = backend_hash_name(name);
		}
		start = cpu_us();
		for (int k = 0; k < SUBSET_ROUNDS; k++)
			backend_select_subset(cfg, table, nodes, SUBSET_NODES,
					      nodes[7], SUBSET_SERVERS);
		subset[i] = (cpu_us() - start) / SUBSET_ROUNDS;
		start = cpu_us();
		for (int k = 0; k < PICK_ROUNDS; k++)
			backend_pick(cfg, table, 1, &criteria);
		pick[i] = (cpu_us() - start) / PICK_ROUNDS;
		g_free(table);
		cfg_free(cfg);
		json_object_put(doc);
		g_ptr_array_unref(sections);
	}
	print_fit("configuration, whole text", "servers", "bytes", x, size,
		  3200);
	print_fit("configuration, head", "servers", "bytes", x, head, 3200);
	print_fit("configuration, building tables", "servers", "us", x, cpu,
		  3200);
	print_fit("configuration, memory", "servers", "bytes", x, heap, 3200);
	print_fit("choosing the subset, 400 nodes", "servers", "us", x, subset,
		  3200);
	print_fit("picking a server", "servers", "us", x, pick, 3200);
}

/* ---- answers ---- */

/* Output callback that adds up the length, so that no work is optimised away. */
static void count_output(void *user, const char *data, size_t len)
{
	*(double *)user += (double)len + (data == NULL);
}

/* Measures checking streamed answers. */
static void measure_answers(void)
{
	double x[POINTS] = {50, 100, 200, 500, 1000};
	double cpu[POINTS];

	for (int i = 0; i < POINTS; i++) {
		double sum = 0, start = cpu_us();

		for (int k = 0; k < ANSWER_ROUNDS; k++) {
			struct answer_relay a;

			answer_init(&a, "0123456789abcdef0123456789abcdef",
				    true);
			answer_begin_attempt(&a);
			answer_on_head(&a, 200, a.request_id);
			for (int t = 0; t < (int)x[i]; t++) {
				char event[256];
				int len = snprintf(
					event, sizeof(event),
					"data: {\"id\":\"%s\",\"offset\":%d,"
					"\"choices\":[{\"delta\":{\"content\":"
					"\" token\"}}]}\n\n",
					a.request_id, t);

				answer_on_data(&a, event, (size_t)len,
					       count_output, &sum);
			}
			answer_clear(&a);
		}
		cpu[i] = (cpu_us() - start) / ANSWER_ROUNDS;
	}
	print_fit("checking an answer", "tokens", "us", x, cpu,
		  STATED_ANSWER_TOKENS);
}

/* ---- evidence ---- */

/* Measures the evidence object of a roll-out with the reports of all nodes. */
static void measure_evidence(void)
{
	double x[POINTS] = {8, 50, 100, 200, 400};
	double size[POINTS], cpu[POINTS];

	for (int i = 0; i < POINTS; i++) {
		struct rollout_evidence *e = evidence_new("r", "m@2");
		double start = cpu_us();
		g_autofree char *text = NULL;

		for (int k = 0; k < (int)x[i]; k++) {
			GPtrArray *v = evidence_versions_new();
			struct rollout_counts fresh = {{0}, {0}};
			struct json_object *o = json_object_new_object();
			char name[MEMBER_NAME_BYTES];

			evidence_version_counts(v, "m@2")->n[0] = 1000;
			evidence_version_counts(v, "m@1")->n[0] = 100000;
			format_entry_name(k, name, sizeof(name));
			json_object_object_add(o, "node",
					       json_object_new_string(name));
			json_object_object_add(
				o, "boot",
				json_object_new_string("0123456789abcdef"));
			json_object_object_add(o, "evidence",
					       evidence_versions_json(v));
			evidence_add_status(e, o, "m@1", &fresh);
			json_object_put(o);
			g_ptr_array_unref(v);
		}
		text = evidence_serialize(e);
		cpu[i] = cpu_us() - start;
		size[i] = (double)strlen(text);
		evidence_free(e);
	}
	print_fit("roll-out evidence, object", "nodes", "bytes", x, size, 400);
	print_fit("roll-out evidence, a round", "nodes", "us", x, cpu, 400);
}

/* Prints memory that does not depend on the size of the fleet. */
static void measure_fixed_memory(void)
{
	double before = heap_bytes();
	struct trace_buffer *t = trace_new("n");

	printf("traces of 2048 requests (bytes): %.4g\n",
	       heap_bytes() - before);
	printf("learnt quality (bytes): %zu\n", sizeof(struct quality_table));
	trace_free(t);
}

int main(void)
{
	measure_membership();
	measure_configuration();
	measure_answers();
	measure_evidence();
	measure_fixed_memory();
	return 0;
}
