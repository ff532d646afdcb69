#ifndef FLEET_FINDINGS_TASK_H
#define FLEET_FINDINGS_TASK_H

#include <stddef.h>
#include <stdint.h>

#include "member/member.h"

struct fleet_task;
struct gateway_state;

/*
 * Tells other nodes what this one has found out about requests and servers:
 * parts of prompts that crash servers, loads beyond which servers fail, and which
 * servers are brittle.
 */
struct findings_task;

struct findings_task *findings_task_new(struct gateway_state *g,
					struct fleet_task *fleet);
void findings_task_on_contact(struct findings_task *t, struct member_addr with);
bool findings_task_has_heard_brittle(const struct findings_task *t);
void findings_task_tick(struct findings_task *t, uint64_t now);
void findings_task_on_crashes(struct findings_task *t, const uint8_t *bytes,
			      size_t len, struct member_addr sender);
void findings_task_on_brittle(struct findings_task *t, const uint8_t *bytes,
			      size_t len, struct member_addr sender);
void findings_task_on_load_limits(struct findings_task *t, const uint8_t *bytes,
				  size_t len);

#endif
