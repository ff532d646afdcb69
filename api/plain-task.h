#ifndef API_PLAIN_TASK_H
#define API_PLAIN_TASK_H

struct node;
struct hs_req;

/* Serves /services/NAME/...: idempotent requests, and orders. */
void plain_start(struct node *n, struct hs_req *req);

#endif
