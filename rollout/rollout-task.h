#ifndef ROLLOUT_ROLLOUT_TASK_H
#define ROLLOUT_ROLLOUT_TASK_H

struct node;

/*
 * Evaluates the roll-outs of versions by the evidence of all nodes, and steps,
 * completes or stops them by changing the stored configuration. Only the
 * holder of the lease does so.
 */
struct rollout_controller;

struct rollout_controller *rollout_task_start(struct node *n);
void rollout_task_stop(struct rollout_controller *t);

#endif
