#ifndef EXCHANGE_PEER_BRITTLE_H
#define EXCHANGE_PEER_BRITTLE_H

#include <stdbool.h>
#include <stdint.h>

#include "exchange/servers.h"
#include "wire/fleet-codec.h"

/*
 * What nodes tell each other of brittle servers: changes at once, and all that
 * they know from time to time. Times are milliseconds of the node's own clock.
 */
bool peer_brittle_take_news(struct server_table *servers, uint64_t now,
			    const char *node, struct fleet_wire_brittle *out);
bool peer_brittle_summary(const struct server_table *servers, uint64_t now,
			  const char *node, uint32_t start,
			  struct fleet_wire_brittle *out);
void peer_brittle_correct(const struct server_table *servers, uint64_t now,
			  const char *node,
			  const struct fleet_wire_brittle_notice *from,
			  struct fleet_wire_brittle *reply);
bool peer_brittle_apply(struct server_table *servers, uint64_t now,
			const struct fleet_wire_brittle_notice *from,
			const char **service, const char **server);

#endif
