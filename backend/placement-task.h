#ifndef BACKEND_PLACEMENT_TASK_H
#define BACKEND_PLACEMENT_TASK_H

struct node;

/*
 * Gives orders to the engines that rank this node first among the live ones.
 * Two nodes that both take themselves for the first do no harm.
 */
struct placement_task_state;

struct placement_task_state *placement_task_start(struct node *n);
void placement_task_stop(struct placement_task_state *t);

#endif
