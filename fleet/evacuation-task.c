#include "fleet/evacuation-task.h"

#include "daemon/gateway.h"
#include "fleet/fleet-task.h"
#include "wire/codec.h"
#include "wire/fleet-codec.h"

#define INTERVAL_MS 2000 /* while nothing changes */
/* A change is repeated, so that nodes that miss a message have it within a second. */
#define REPEAT_INTERVAL_MS 200
#define REPEAT_MS 2000
/* Without a message for so long, the nodes that watch may be of an older build. */
#define MAX_SILENCE_MS 3000

static bool knows_set(const struct gateway_state *g)
{
	return g->reads_evacuations && g->topic_listed[FEED_EVACUATIONS] &&
	       !g->lost_at[FEED_EVACUATIONS];
}

/* Sends the set to all nodes, unless it has too many zones for a message. */
static void send_set(const struct gateway_state *g, struct fleet_task *t)
{
	const struct evacuations *e = &g->servers.evacuations;
	g_autoptr(GPtrArray) zones = evacuations_list(e);
	struct fleet_wire_evacuations m = {.revision = e->revision};
	uint8_t bytes[PEER_WIRE_MAX_BYTES];
	size_t len;

	if (zones->len > FLEET_WIRE_MAX_ZONES)
		return;
	g_strlcpy(m.node, g->settings->node, sizeof(m.node));
	m.n = zones->len;
	for (guint i = 0; i < zones->len; i++)
		g_strlcpy(m.zone[i], zones->pdata[i], sizeof(m.zone[i]));
	len = fleet_wire_encode_evacuations(&m, g->settings->cluster_key, bytes,
					    sizeof(bytes));
	if (len)
		fleet_task_send_to_all(t, bytes, len);
}

/* Sends the set when that is due, if this node announces what its source says. */
void evacuation_task_tick(struct evacuation_task *e, struct gateway_state *g,
			  struct fleet_task *t, uint64_t now, bool announces)
{
	const struct evacuations *set = &g->servers.evacuations;

	if (!announces || !knows_set(g))
		return;
	if (set->changes != e->sent_changes) {
		e->sent_changes = set->changes;
		e->repeat_until = now + REPEAT_MS;
		e->next_at = now;
	}
	if (now < e->next_at)
		return;
	e->next_at = now +
		     (now < e->repeat_until ? REPEAT_INTERVAL_MS : INTERVAL_MS);
	send_set(g, t);
}

/* Handles another node's set. */
void evacuation_task_on_message(struct evacuation_task *e,
				struct gateway_state *g, const uint8_t *bytes,
				size_t len)
{
	struct fleet_wire_evacuations m;
	g_autoptr(GPtrArray) zones = g_ptr_array_new();

	if (fleet_wire_decode_evacuations(bytes, len, g->settings->cluster_key,
					  &m) != PEER_WIRE_OK) {
		counter_add(&g->counter_set, COUNTER_PEER_BAD, 1);
		return;
	}
	e->heard_at = gateway_now(g);
	for (uint32_t i = 0; i < m.n; i++)
		g_ptr_array_add(zones, m.zone[i]);
	gateway_hear_evacuations(g, zones, m.revision);
}

/*
 * Returns whether this node must read evacuations itself, as no node that watches
 * the source tells of them.
 */
bool evacuation_task_is_uninformed(const struct evacuation_task *e,
				   const struct gateway_state *g, uint64_t now)
{
	return g->reads_evacuations && now - e->heard_at > MAX_SILENCE_MS;
}
