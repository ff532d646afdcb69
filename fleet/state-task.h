#ifndef FLEET_STATE_TASK_H
#define FLEET_STATE_TASK_H

#include <stdint.h>

#include "exchange/feed.h"

struct gwy;
struct hs_req;

/*
 * The state of other nodes: configuration, servers and roll-out orders, asked
 * of one of them while this node's own source is away or behind.
 */
struct pst;

#define PST_PATH "/peer/state"

struct pst *pst_new(struct gwy *g);
void pst_tick(struct pst *t, uint64_t now);
void pst_ask(struct pst *t, uint64_t now, uint32_t ip);
void pst_on_newer(struct pst *t, uint64_t now, uint32_t ip,
		  enum feed_topic topic);
void pst_serve(struct gwy *g, struct hs_req *req);

#endif
