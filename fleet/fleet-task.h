#ifndef FLEET_FLEET_TASK_H
#define FLEET_FLEET_TASK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct gateway_state;
struct rng;

/*
 * This node's part in the fleet: who lives, reports and plans of roll-outs,
 * and the state of other nodes while the source of configuration is away.
 */
struct fleet_task;

struct fleet_task *fleet_task_start(struct gateway_state *g, GError **err);
void fleet_task_tick(struct fleet_task *t, uint64_t now);
void fleet_task_leave(struct fleet_task *t);
uint32_t fleet_task_rank(const struct fleet_task *t, const char *duty);
uint32_t fleet_task_live_count(const struct fleet_task *t);
uint32_t fleet_task_random_ip(const struct fleet_task *t, struct rng *rng);

#endif
