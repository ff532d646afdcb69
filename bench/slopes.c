/*
 * Slopes for docs/CAPACITY.md: what the decisions cost in processor time,
 * memory and bytes as the fleet grows, at a handful of sizes each, with a
 * straight line fitted.
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

#define POINTS 5
#define TICK_MS 50

static double cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

static double heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return (double)(m.uordblks + m.hblkhd);
}

/* Fits y = a + b x by least squares and prints points and line. */
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

static void name_of(int i, char *out, size_t size)
{
	snprintf(out, size, "entry-%d", i);
}

struct fleet {
	struct member_table *nodes;
	int n;
	GArray *flying;
	double bytes;
};

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
	g_array_append_vals(f->flying, out->data, out->len);
	g_array_free(out, TRUE);
}

static void run_fleet(int n, double *bytes_s, double *cpu_us_s, double *bytes)
{
	const int seconds = 20;
	struct fleet f = {.n = n, .nodes = g_new0(struct member_table, n)};
	double before = heap_bytes(), start;

	f.flying = g_array_new(FALSE, FALSE, sizeof(struct member_datagram));
	for (int i = 0; i < n; i++) {
		struct member_addr a = {.ip = (uint32_t)i, .port = 1};
		char name[MEMBER_NAME_BYTES];

		name_of(i, name, sizeof(name));
		member_init(&f.nodes[i], name, a, 1, (uint64_t)i + 1);
		for (int k = 0; k < n; k++) {
			struct member_addr b = {.ip = (uint32_t)k, .port = 1};

			name_of(k, name, sizeof(name));
			member_add(&f.nodes[i], 0, name, b);
		}
	}
	*bytes = (heap_bytes() - before) / n;
	start = cpu_us();
	for (uint64_t now = 1000; now < 1000 + seconds * 1000u;
	     now += TICK_MS) {
		GArray *arriving = f.flying;

		f.flying = g_array_new(FALSE, FALSE,
				       sizeof(struct member_datagram));
		deliver(&f, now, arriving);
		g_array_free(arriving, TRUE);
		for (int i = 0; i < n; i++)
			member_tick(&f.nodes[i], now, f.flying);
	}
	*cpu_us_s = (cpu_us() - start) / n / seconds;
	*bytes_s = f.bytes / n / seconds;
	for (int i = 0; i < n; i++)
		member_clear(&f.nodes[i]);
	g_array_free(f.flying, TRUE);
	g_free(f.nodes);
}

static void members(void)
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
	for (int i = 0; i < 33; i++)
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

static void configuration(void)
{
	double x[POINTS] = {20, 400, 800, 1600, 3200};
	double cpu[POINTS], heap[POINTS], size[POINTS], head[POINTS];
	double pick[POINTS], subset[POINTS];

	for (int i = 0; i < POINTS; i++) {
		g_autofree char *text = config_text((int)x[i], 100);
		struct json_object *doc = json_tokener_parse(text);
		GPtrArray *secs = cfg_section_split(doc);
		g_autofree char *h =
			cfg_section_format_head(1, "op", secs, NULL);
		double before, start;
		struct cfg *cfg;
		struct backend_state *table;
		struct backend_criteria wish = {
			.version = 0, .zone = "z1", .avoid = CFG_NONE};
		uint64_t nodes[400];

		head[i] = (double)strlen(h);
		size[i] = (double)strlen(text);
		before = heap_bytes();
		start = cpu_us();
		cfg = cfg_build(doc, 1, NULL);
		cpu[i] = cpu_us() - start;
		heap[i] = heap_bytes() - before;
		table = g_new0(struct backend_state, cfg->n_servers);
		for (size_t k = 0; k < cfg->n_servers; k++)
			backend_init(&table[k]);
		for (int k = 0; k < 400; k++) {
			char name[MEMBER_NAME_BYTES];

			name_of(k, name, sizeof(name));
			nodes[k] = backend_hash_name(name);
		}
		start = cpu_us();
		for (int k = 0; k < 10; k++)
			backend_select_subset(cfg, table, nodes, 400, nodes[7],
					      12);
		subset[i] = (cpu_us() - start) / 10;
		start = cpu_us();
		for (int k = 0; k < 1000; k++)
			backend_pick(cfg, table, 1, &wish);
		pick[i] = (cpu_us() - start) / 1000;
		g_free(table);
		cfg_free(cfg);
		json_object_put(doc);
		g_ptr_array_unref(secs);
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

static void drop(void *user, const char *data, size_t len)
{
	*(double *)user += (double)len + (data == NULL);
}

static void answers(void)
{
	double x[POINTS] = {50, 100, 200, 500, 1000};
	double cpu[POINTS];

	for (int i = 0; i < POINTS; i++) {
		double sum = 0, start = cpu_us();

		for (int k = 0; k < 50; k++) {
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

				answer_on_data(&a, event, (size_t)len, drop,
					       &sum);
			}
			answer_clear(&a);
		}
		cpu[i] = (cpu_us() - start) / 50;
	}
	print_fit("checking an answer", "tokens", "us", x, cpu, 271);
}

/* ---- evidence ---- */

static void evidence(void)
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
			name_of(k, name, sizeof(name));
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

static void fixed(void)
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
	members();
	configuration();
	answers();
	evidence();
	fixed();
	return 0;
}
