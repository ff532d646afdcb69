#ifndef DAEMON_CLIENT_MEMORY_TASK_H
#define DAEMON_CLIENT_MEMORY_TASK_H

#include <uv.h>

#include "counters.h"
#include "daemon/settings.h"
#include "http/memory.h"

/* The account of a process, what it reports, and the return of freed memory. */
struct client_memory;

struct client_memory *client_memory_start(uv_loop_t *loop,
					  const struct node_settings *settings,
					  struct counter_set *counters);
void client_memory_apply(struct client_memory *m,
			 const struct node_settings *settings);
struct memory_account *client_memory_account(struct client_memory *m);

#endif
