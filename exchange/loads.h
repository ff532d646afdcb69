#ifndef EXCHANGE_LOADS_H
#define EXCHANGE_LOADS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "exchange/servers.h"
#include "wire/fleet-codec.h"

/*
 * What the other nodes' requests put on the servers, by what each node told
 * last. Times are milliseconds of the node's own clock.
 */
#define LDS_FRESH_MS 600

struct lds {
	GHashTable *nodes; /* name -> struct lds_node */
};

void lds_init(struct lds *l);
void lds_clear(struct lds *l);
void lds_take(struct lds *l, uint64_t now, const struct wfl_loads *told);
void lds_apply(struct lds *l, uint64_t now, struct svt *servers);
bool lds_fill(const struct svt *servers, const char *node,
	      struct wfl_loads *out);

#endif
