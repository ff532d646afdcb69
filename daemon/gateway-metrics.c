#include "daemon/gateway-metrics.h"

#include "fleet/builds.h"
#include "fleet/fleet-task.h"

static void append_gauge(GString *out, const char *name, const char *help,
			 double v)
{
	g_string_append_printf(out,
			       "# HELP chivegw_%s %s\n"
			       "# TYPE chivegw_%s gauge\nchivegw_%s %.0f\n",
			       name, help, name, name, v);
}

static void append_histograms(const struct gateway_state *g, GString *out)
{
	g_string_append(out, "# TYPE chivegw_request_ms histogram\n");
	for (int k = 0; k < GATEWAY_ROUTE_KINDS; k++) {
		g_autofree char *label = g_strdup_printf(
			"kind=\"%s\"", route_kind_name((enum route_kind)k));

		histogram_write_text(&g->request_ms[k], "request_ms", label,
				     out);
	}
	g_string_append(out, "# TYPE chivegw_first_event_ms histogram\n");
	histogram_write_text(&g->first_event_ms, "first_event_ms",
			     "kind=\"streaming\"", out);
}

static void append_topic(GString *out, const char *name, int topic,
			 uint64_t value)
{
	g_string_append_printf(
		out, "chivegw_%s{topic=\"%s\"} %" G_GUINT64_FORMAT "\n", name,
		gateway_topic_name((enum feed_topic)topic), value);
}

static void append_sources(const struct gateway_state *g, uint64_t now,
			   GString *out)
{
	for (int i = 0; i < FEED_TOPIC_COUNT; i++) {
		if (i == FEED_EVACUATIONS && !g->reads_evacuations)
			continue;
		append_topic(out, "source_lost_ms", i,
			     g->lost_at[i] ? now - g->lost_at[i] : 0);
		append_topic(out, "source_as_of", i, g->complete_revision[i]);
		if (g->answered_at[i])
			append_topic(out, "source_answer_age_ms", i,
				     now - g->answered_at[i]);
	}
}

static void append_builds(const struct gateway_state *g, GString *out)
{
	struct builds_summary s;

	builds_count(fleet_task_members(g->fleet), &s);
	for (uint32_t i = 0; i < s.n; i++)
		g_string_append_printf(
			out, "chivegw_nodes_of_build{build=\"%s\"} %u\n",
			s.id[i], s.nodes[i]);
	g_string_append_printf(out,
			       "chivegw_nodes_of_build{build=\"unknown\"} %u\n",
			       s.unknown);
	append_gauge(out, "protocol", "that all live nodes know; 0: unknown",
		     s.protocol);
}

static void append_servers(const struct gateway_state *g, uint64_t now,
			   GString *out)
{
	uint32_t ready = 0, ejected = 0, limited = 0, in_flight = 0;
	uint32_t cold = 0;

	for (guint i = 0; i < g->servers.all->len; i++) {
		const struct server_record *s = g->servers.all->pdata[i];

		ready += s->state == SERVER_READY;
		ejected += s->ejected_until > now;
		limited += s->limit.per_s > 0;
		cold += cold_is_in_force(&s->cold, now);
		in_flight += s->in_flight;
	}
	append_gauge(out, "servers_ready", "servers that may get requests",
		     ready);
	append_gauge(out, "servers_ejected", "servers ejected after failures",
		     ejected);
	append_gauge(out, "servers_limited", "servers that name a limit",
		     limited);
	append_gauge(out, "servers_cold", "servers that count as cold", cold);
	append_gauge(out, "zones_evacuated", "zones without requests",
		     evacuations_count(&g->servers.evacuations));
	append_gauge(out, "in_flight", "requests of this node at servers",
		     in_flight);
	append_gauge(out, "parts_blocked",
		     "parts of prompts that crash servers",
		     crash_keys_count_blocked(&g->crash_keys, false));
	append_gauge(out, "requests_blocked",
		     "requests that crash servers, repeats counted as one",
		     crash_keys_count_blocked(&g->crash_keys, true));
}

/*
 * Appends counters, gauges and histograms of a node that serves configured
 * routes to `out`, in the Prometheus text format; `now` is the loop's time.
 */
void gateway_metrics_write(const struct gateway_state *g, uint64_t now,
			   GString *out)
{
	counter_write_text(&g->counter_set, out);
	append_gauge(out, "ready", "1: the balancer may send new connections",
		     gateway_is_ready(g));
	append_gauge(out, "config_revision",
		     "revision of the configuration in force",
		     g->routes ? (double)g->routes->revision : 0);
	append_gauge(out, "open_requests", "requests without a final answer",
		     (double)g->open_requests);
	append_gauge(out, "client_memory_bytes", "held for clients",
		     (double)g->memory->held);
	append_gauge(out, "client_memory_limit_bytes",
		     "most that is held for clients", (double)g->memory->limit);
	append_gauge(out, "client_connections", "connections of clients",
		     g->memory->connections);
	append_gauge(out, "nodes_live", "live nodes as seen by this node",
		     fleet_task_live_count(g->fleet));
	append_builds(g, out);
	append_gauge(out, "server_connects",
		     "connections opened to servers and peers",
		     (double)http_client_connect_count(g->http));
	append_servers(g, now, out);
	append_sources(g, now, out);
	append_histograms(g, out);
}
