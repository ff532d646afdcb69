#include "exchange/peer-loads.h"

#include <string.h>

struct peer_loads_node {
	uint64_t at;
	struct fleet_wire_loads told;
};

/* Starts with nothing told. */
void peer_loads_init(struct peer_loads *l)
{
	l->nodes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees what was told. */
void peer_loads_clear(struct peer_loads *l)
{
	g_hash_table_unref(l->nodes);
}

/* Takes what a node told; it replaces what that node told before. */
void peer_loads_update(struct peer_loads *l, uint64_t now,
		       const struct fleet_wire_loads *told)
{
	struct peer_loads_node *n = g_hash_table_lookup(l->nodes, told->node);

	if (!n) {
		n = g_new0(struct peer_loads_node, 1);
		g_hash_table_insert(l->nodes, g_strdup(told->node), n);
	}
	n->at = now;
	n->told = *told;
}

static gboolean is_stale(gpointer key, gpointer value, gpointer now)
{
	const struct peer_loads_node *n = value;

	(void)key;
	return *(uint64_t *)now - n->at > PEER_LOADS_MAX_AGE_MS;
}

static struct server_record *by_hash(const struct server_table *t,
				     uint64_t hash)
{
	for (guint i = 0; i < t->all->len; i++) {
		struct server_record *s = t->all->pdata[i];

		if (s->hash == hash)
			return s;
	}
	return NULL;
}

static void add_told(struct server_table *t,
		     const struct fleet_wire_loads *told)
{
	for (uint32_t i = 0; i < told->n; i++) {
		const struct fleet_wire_load *load = &told->load[i];
		struct server_record *s = by_hash(t, load->server);

		if (!s)
			continue;
		s->others_decode += load->decode / 100.0;
		s->others_prefill += load->prefill;
		s->others_in_flight += load->in_flight;
	}
}

/* Sets the servers' loads of the other nodes; forgets what is stale. */
void peer_loads_apply(struct peer_loads *l, uint64_t now,
		      struct server_table *servers)
{
	GHashTableIter it;
	void *value;

	g_hash_table_foreach_remove(l->nodes, is_stale, &now);
	for (guint i = 0; i < servers->all->len; i++) {
		struct server_record *s = servers->all->pdata[i];

		s->others_decode = 0;
		s->others_prefill = 0;
		s->others_in_flight = 0;
	}
	g_hash_table_iter_init(&it, l->nodes);
	while (g_hash_table_iter_next(&it, NULL, &value))
		add_told(servers, &((struct peer_loads_node *)value)->told);
}

/* Fills in what this node has to tell. False: it puts no load on any. */
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
