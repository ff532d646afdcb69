#ifndef ROLLOUT_ROLLOUT_TASK_H
#define ROLLOUT_ROLLOUT_TASK_H

struct node;

/*
 * Judges the roll-outs by the evidence of all nodes, while this node holds
 * the lease, and changes the configuration accordingly.
 */
struct rollout_controller;

struct rollout_controller *rollout_task_start(struct node *n);
void rollout_task_stop(struct rollout_controller *t);

#endif
