#include "exchange/peer-limits.h"

#include <string.h>

/*
 * Fills in what this node has heard from servers itself, lately and of at most
 * FLEET_WIRE_MAX_LIMITS servers. Returns false if that is nothing.
 */
bool peer_limits_report(const struct server_table *servers, uint64_t now,
			const char *node, struct fleet_wire_limits *out)
{
	memset(out, 0, sizeof(*out));
	g_strlcpy(out->node, node, sizeof(out->node));
	for (guint i = 0; i < servers->all->len; i++) {
		const struct server_record *s = servers->all->pdata[i];
		struct fleet_wire_limit *to = &out->limit[out->n];

		if (!s->limit.heard_here || out->n == FLEET_WIRE_MAX_LIMITS ||
		    now - s->limit.heard_at > PEER_LIMITS_REPEAT_MS)
			continue;
		to->server = s->hash;
		to->per_s = s->limit.per_s;
		to->age_ms = (uint32_t)(now - s->limit.heard_at);
		out->n++;
	}
	return out->n > 0;
}

/*
 * Takes up what another node has heard of a server's limit. Returns the server
 * if its limit has changed, else NULL.
 */
const struct server_record *
peer_limits_apply(struct server_table *servers, uint64_t now,
		  const struct fleet_wire_limit *from)
{
	struct server_record *s = server_find_by_hash(servers, from->server);

	if (!s || from->age_ms > now ||
	    !rate_limit_hear(&s->limit, now - from->age_ms, from->per_s, false))
		return NULL;
	return s;
}
