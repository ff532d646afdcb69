#ifndef FLEET_FLEET_TASK_H
#define FLEET_FLEET_TASK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct gwy;
struct rng;

/*
 * This node's part in the fleet: who lives, reports and plans of roll-outs,
 * and the state of other nodes while the source of configuration is away.
 */
struct flt;

struct flt *flt_start(struct gwy *g, GError **err);
void flt_tick(struct flt *t, uint64_t now);
void flt_leave(struct flt *t);
uint32_t flt_rank(const struct flt *t, const char *duty);
uint32_t flt_live(const struct flt *t);
uint32_t flt_any_ip(const struct flt *t, struct rng *rng);

#endif
