#ifndef RELAY_HELPERS_H
#define RELAY_HELPERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "exchange/load-limit.h"
#include "exchange/servers.h"

/*
 * The nodes that this one passes requests on to while it does not reach the
 * servers itself. Pure; times in ms.
 */

/* A node that serves requests for this one. */
struct relay_helper {
	struct server_record record; /* the node in a server's place */
	struct load_limit load_limit; /* of the record; unused */
	uint64_t refused_until; /* it cannot help either, or is busy */
	uint64_t used_at;
};

struct relay_helpers {
	GHashTable *by_name; /* name -> struct relay_helper */
};

/* A node that may be asked. */
struct relay_candidate {
	const char *name;
	char address[32]; /* "ip:port" of its listener for nodes */
};

void relay_helpers_init(struct relay_helpers *h);
struct relay_helper *relay_helpers_choose(struct relay_helpers *h, uint64_t now,
					  const struct relay_candidate *c,
					  uint32_t n);
void relay_helper_on_refusal(struct relay_helper *helper, uint64_t now);
void relay_helpers_expire(struct relay_helpers *h, uint64_t now);

#endif
