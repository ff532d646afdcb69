#include "exchange/peer-loads.h"

#include <string.h>

/* Latest report of one node. */
struct peer_loads_node {
	uint64_t received_at;
	struct fleet_wire_loads report;
};

/* Initialises without any report. */
void peer_loads_init(struct peer_loads *l)
{
	l->nodes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	peer_loads_set_interval(l, 1);
}

/* Keeps reports for longer if nodes send them each so many ticks only. */
void peer_loads_set_interval(struct peer_loads *l, uint32_t ticks)
{
	l->max_age_ms = (uint64_t)PEER_LOADS_MAX_AGE_MS * ticks;
}

/* Frees the reports. */
void peer_loads_clear(struct peer_loads *l)
{
	g_hash_table_unref(l->nodes);
}

/* Stores the report of a node in place of its previous one. */
void peer_loads_update(struct peer_loads *l, uint64_t now,
		       const struct fleet_wire_loads *report)
{
	struct peer_loads_node *n = g_hash_table_lookup(l->nodes, report->node);

	if (!n) {
		n = g_new0(struct peer_loads_node, 1);
		g_hash_table_insert(l->nodes, g_strdup(report->node), n);
	}
	n->received_at = now;
	n->report = *report;
}

/* A time and the oldest report that still counts then. */
struct report_age {
	uint64_t now;
	uint64_t max_ms;
};

static gboolean is_stale(gpointer key, gpointer value, gpointer user)
{
	const struct peer_loads_node *n = value;
	const struct report_age *age = user;

	(void)key;
	return age->now - n->received_at > age->max_ms;
}

static void add_report(struct server_table *t,
		       const struct fleet_wire_loads *report)
{
	for (uint32_t i = 0; i < report->n; i++) {
		const struct fleet_wire_load *load = &report->load[i];
		struct server_record *s = server_find_by_hash(t, load->server);

		if (!s)
			continue;
		s->peer_decode += load->decode / 100.0;
		s->peer_prefill += load->prefill;
		s->peer_in_flight += load->in_flight;
	}
}

/*
 * Sets the peer_* fields of all servers to the sums over the reports. Reports
 * that are too old are dropped first.
 */
void peer_loads_apply(struct peer_loads *l, uint64_t now,
		      struct server_table *servers)
{
	GHashTableIter it;
	void *value;
	struct report_age age = {now, l->max_age_ms};

	g_hash_table_foreach_remove(l->nodes, is_stale, &age);
	for (guint i = 0; i < servers->all->len; i++) {
		struct server_record *s = servers->all->pdata[i];

		s->peer_decode = 0;
		s->peer_prefill = 0;
		s->peer_in_flight = 0;
	}
	g_hash_table_iter_init(&it, l->nodes);
	while (g_hash_table_iter_next(&it, NULL, &value))
		add_report(servers, &((struct peer_loads_node *)value)->report);
}

/*
 * Fills in the report of this node, with at most FLEET_WIRE_MAX_LOADS servers.
 * Returns false if this node has no request at any server.
 */
bool peer_loads_report(const struct server_table *servers, const char *node,
		       struct fleet_wire_loads *out)
{
	memset(out, 0, sizeof(*out));
	g_strlcpy(out->node, node, sizeof(out->node));
	for (guint i = 0; i < servers->all->len; i++) {
		const struct server_record *s = servers->all->pdata[i];
		struct fleet_wire_load *load = &out->load[out->n];

		if (!s->in_flight || out->n == FLEET_WIRE_MAX_LOADS)
			continue;
		load->server = s->hash;
		load->decode = (uint32_t)(s->decode * 100);
		load->prefill = (uint32_t)s->prefill;
		load->in_flight = s->in_flight;
		out->n++;
	}
	return out->n > 0;
}
