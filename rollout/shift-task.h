#ifndef ROLLOUT_SHIFT_TASK_H
#define ROLLOUT_SHIFT_TASK_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "exchange/feed.h"
#include "rollout/shift.h"
#include "wire/fleet-codec.h"

struct gateway_state;

/*
 * Keeps the roll-out orders known to this node and the traffic shift of each:
 * updates the plan while this node is the coordinator of the service (see
 * fleet_task_coordinates()), and writes the final state to the platform. Times
 * are milliseconds of the node's own clock.
 */
struct shift_controller;

struct shift_controller *shift_task_new(struct gateway_state *g);
void shift_task_on_order(struct shift_controller *t, uint64_t now,
			 const struct feed_rollout *order);
void shift_task_begin_listing(struct shift_controller *t);
void shift_task_end_listing(struct shift_controller *t);
void shift_task_on_order_removed(struct shift_controller *t,
				 const char *service);
void shift_task_tick(struct shift_controller *t, uint64_t now);
void shift_task_on_pause(struct shift_controller *t, uint64_t now);
void shift_task_on_report(struct shift_controller *t, uint64_t now,
			  const struct fleet_wire_report *r);
void shift_task_on_plan(struct shift_controller *t, uint64_t now,
			const struct fleet_wire_plan *p);

void shift_task_record_session(struct shift_controller *t, uint64_t now,
			       const char *service, uint64_t session,
			       const char *version);
bool shift_task_take_sessions(struct shift_controller *t, uint32_t i,
			      struct fleet_wire_sessions *out);
void shift_task_on_sessions(struct shift_controller *t, uint64_t now,
			    const struct fleet_wire_sessions *s);
uint64_t shift_task_version_hash(const char *version);
uint32_t shift_task_count(const struct shift_controller *t);
struct traffic_shift *shift_task_get(const struct shift_controller *t,
				     uint32_t i);
bool shift_task_is_open(const struct shift_controller *t, uint32_t i);
struct traffic_shift *shift_task_find(const struct shift_controller *t,
				      const char *service);
void shift_task_fill_report(struct shift_controller *t,
			    const struct traffic_shift *s, uint64_t now,
			    struct fleet_wire_report *r);
struct json_object *shift_task_orders_json(const struct shift_controller *t);

#endif
