#ifndef USAGE_USAGE_TASK_H
#define USAGE_USAGE_TASK_H

#include <stdbool.h>

#include "usage/usage.h"

struct node;

/* Writes the usage journal to the object API, and retries while it is down. */
struct usage_writer;

/* Called once the record is durable, or after a failed write. */
typedef void (*usage_task_callback)(void *user);

struct usage_writer *usage_task_start(struct node *n);
void usage_task_add(struct usage_writer *t, const struct usage_record *record,
		    usage_task_callback done, void *user);
bool usage_task_is_full(const struct usage_writer *t);
bool usage_task_is_empty(const struct usage_writer *t);
void usage_task_flush_now(struct usage_writer *t);
void usage_task_stop(struct usage_writer *t);

#endif
