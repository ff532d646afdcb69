#include "daemon/gateway-metrics.h"

#include "fleet/fleet-task.h"

static const char *const topics[FEED_TOPIC_COUNT] = {"config", "servers",
						     "rollouts"};

static void gauge(GString *out, const char *name, const char *help, double v)
{
	g_string_append_printf(out,
			       "# HELP chivegw_%s %s\n"
			       "# TYPE chivegw_%s gauge\nchivegw_%s %.0f\n",
			       name, help, name, name, v);
}

static void histograms(const struct gateway_state *g, GString *out)
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

static void sources(const struct gateway_state *g, uint64_t now, GString *out)
{
	for (int i = 0; i < FEED_TOPIC_COUNT; i++)
		g_string_append_printf(
			out,
			"chivegw_source_lost_ms{topic=\"%s\"} "
			"%" G_GUINT64_FORMAT "\nchivegw_source_as_of{topic=\"%"
			"s\"} %" G_GUINT64_FORMAT "\n",
			topics[i], g->lost_at[i] ? now - g->lost_at[i] : 0,
			topics[i], g->as_of[i]);
}

static void servers(const struct gateway_state *g, uint64_t now, GString *out)
{
	uint32_t ready = 0, ejected = 0, in_flight = 0;

	for (guint i = 0; i < g->servers.all->len; i++) {
		const struct server_record *s = g->servers.all->pdata[i];

		ready += s->state == SERVER_READY;
		ejected += s->ejected_until > now;
		in_flight += s->in_flight;
	}
	gauge(out, "servers_ready", "servers that may get requests", ready);
	gauge(out, "servers_ejected", "servers that rest after failures",
	      ejected);
	gauge(out, "in_flight", "requests of this node at servers", in_flight);
}

/* Appends gauges and histograms of a node that serves configured routes. */
void gateway_metrics_write(const struct gateway_state *g, uint64_t now,
			   GString *out)
{
	counter_write_text(&g->counter_set, out);
	gauge(out, "ready", "1: the balancer may send new connections",
	      gateway_is_ready(g));
	gauge(out, "config_revision", "configuration in force",
	      g->routes ? (double)g->routes->revision : 0);
	gauge(out, "open_requests", "requests without a final answer",
	      (double)g->open_requests);
	gauge(out, "nodes_live", "live nodes as this one sees them",
	      fleet_task_live_count(g->fleet));
	gauge(out, "server_connects", "connections opened to servers and peers",
	      (double)http_client_connect_count(g->http));
	servers(g, now, out);
	sources(g, now, out);
	histograms(g, out);
}
