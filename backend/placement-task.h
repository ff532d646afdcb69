#ifndef BACKEND_PLACEMENT_TASK_H
#define BACKEND_PLACEMENT_TASK_H

struct node;

/*
 * Sends load and unload orders to the backend servers that rank this node
 * first among the live nodes. It does no harm if two nodes both send to one
 * server, since orders state the wanted end and carry a fencing number.
 */
struct placement_task_state;

struct placement_task_state *placement_task_start(struct node *n);
void placement_task_stop(struct placement_task_state *t);

#endif
