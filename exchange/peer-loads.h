#ifndef EXCHANGE_PEER_LOADS_H
#define EXCHANGE_PEER_LOADS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "exchange/servers.h"
#include "wire/fleet-codec.h"

/*
 * Load that the requests of the other nodes put on the servers, by the latest
 * report of each node. Times are milliseconds of the node's own clock.
 */
#define PEER_LOADS_MAX_AGE_MS 600 /* of reports that come each tick */

struct peer_loads {
	GHashTable *nodes; /* name -> struct peer_loads_node */
	uint64_t max_age_ms; /* older reports are dropped */
};

void peer_loads_init(struct peer_loads *l);
void peer_loads_clear(struct peer_loads *l);
void peer_loads_set_interval(struct peer_loads *l, uint32_t ticks);
void peer_loads_update(struct peer_loads *l, uint64_t now,
		       const struct fleet_wire_loads *report);
void peer_loads_apply(struct peer_loads *l, uint64_t now,
		      struct server_table *servers);
bool peer_loads_report(const struct server_table *servers, const char *node,
		       struct fleet_wire_loads *out);

#endif
