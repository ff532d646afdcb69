#ifndef USAGE_USAGE_TASK_H
#define USAGE_USAGE_TASK_H

#include <stdbool.h>

#include "usage/usage.h"

struct node;

/* Writes the journal of usage to the object API. */
struct usage_writer;

struct usage_writer *usage_task_start(struct node *n);
/* Called once the record is durable, or cannot become so for now. */
typedef void (*usage_task_callback)(void *user);

void usage_task_add(struct usage_writer *t, const struct usage_record *record,
		    usage_task_callback done, void *user);
bool usage_task_is_full(const struct usage_writer *t);
bool usage_task_is_empty(const struct usage_writer *t);
void usage_task_flush_now(struct usage_writer *t);
void usage_task_stop(struct usage_writer *t);

#endif
