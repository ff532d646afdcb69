#ifndef FLEET_FLEET_TASK_H
#define FLEET_FLEET_TASK_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "member/member.h"

struct findings_task;
struct gateway_state;
struct rng;
struct server_record;

/*
 * Takes part in the fleet over UDP: membership, the reports and plans of
 * roll-outs, the load on servers, and which nodes watch the source of the
 * configuration.
 */
struct fleet_task;

struct fleet_task *fleet_task_start(struct gateway_state *g, GError **err);
const struct findings_task *fleet_task_findings(const struct fleet_task *t);
void fleet_task_ask_seeds(struct fleet_task *t);
void fleet_task_on_brittle(struct fleet_task *t, uint64_t now);
void fleet_task_on_pause(struct fleet_task *t, uint64_t now, uint64_t ms);
void fleet_task_tick(struct fleet_task *t, uint64_t now);
void fleet_task_leave(struct fleet_task *t);
uint32_t fleet_task_rank(const struct fleet_task *t, const char *role);
bool fleet_task_coordinates(const struct fleet_task *t, const char *role);
bool fleet_task_gets_reports(const struct fleet_task *t, const char *role);
void fleet_task_list_serving(const struct fleet_task *t, GPtrArray *names);
bool fleet_task_is_isolated(const struct fleet_task *t);
uint32_t fleet_task_live_count(const struct fleet_task *t);
void fleet_task_send(struct fleet_task *t, struct member_addr to,
		     const uint8_t *bytes, size_t len);
void fleet_task_send_to_all(struct fleet_task *t, const uint8_t *bytes,
			    size_t len);
void fleet_task_send_to_some(struct fleet_task *t, uint32_t fanout,
			     const uint8_t *bytes, size_t len);
uint32_t fleet_task_slot_holders(struct fleet_task *t, uint64_t now,
				 const struct server_record *s,
				 const struct member_update **out,
				 uint32_t max);
uint32_t fleet_task_alive_members(const struct fleet_task *t, struct rng *rng,
				  const struct member_update **out,
				  uint32_t max);
const struct member_table *fleet_task_members(const struct fleet_task *t);
uint32_t fleet_task_learn_members(struct fleet_task *t,
				  struct json_object *list);
uint32_t fleet_task_random_ip(const struct fleet_task *t, struct rng *rng);

#endif
