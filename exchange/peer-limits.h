#ifndef EXCHANGE_PEER_LIMITS_H
#define EXCHANGE_PEER_LIMITS_H

#include <stdbool.h>
#include <stdint.h>

#include "exchange/servers.h"
#include "wire/fleet-codec.h"

/*
 * What nodes tell each other of the limits that servers name. A node repeats
 * what it heard from a server itself for PEER_LIMITS_REPEAT_MS. Times are
 * milliseconds of the node's own clock.
 */
#define PEER_LIMITS_REPEAT_MS 5000

bool peer_limits_report(const struct server_table *servers, uint64_t now,
			const char *node, struct fleet_wire_limits *out);
const struct server_record *
peer_limits_apply(struct server_table *servers, uint64_t now,
		  const struct fleet_wire_limit *from);

#endif
