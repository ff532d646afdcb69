#ifndef RELAY_PROBE_TASK_H
#define RELAY_PROBE_TASK_H

#include <stdint.h>
#include <uv.h>

#include "exchange/servers.h"

/*
 * Connects to servers that are out of reach or may be, until they are reached
 * again. Nothing is sent on these connections.
 */
struct probe_task;

struct probe_task *probe_task_new(uv_loop_t *loop,
				  struct server_table *servers);
void probe_task_tick(struct probe_task *t, uint64_t now);
void probe_task_on_contact(struct server_record *s, uint64_t now);
void probe_task_on_failure(struct probe_task *t, struct server_record *s,
			   uint64_t now);
void probe_task_on_doubt(struct probe_task *t, struct server_record *s,
			 uint64_t now);

#endif
