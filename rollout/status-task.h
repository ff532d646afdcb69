#ifndef ROLLOUT_STATUS_TASK_H
#define ROLLOUT_STATUS_TASK_H

#include <json-c/json.h>

struct node;

/*
 * Writes this node's status object periodically: the configuration in force,
 * and the node's answer counts per version for the holder of the lease on
 * roll-outs.
 */
struct rollout_status_writer;

struct rollout_status_writer *rollout_status_start(struct node *n);
void rollout_status_stop(struct rollout_status_writer *t);
struct json_object *rollout_status_json(struct node *n);

#endif
