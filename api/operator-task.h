#ifndef API_OPERATOR_TASK_H
#define API_OPERATOR_TASK_H

struct node;
struct hs_req;

void operator_handle(void *node, struct hs_req *req);
void operator_handle_health(struct node *n, struct hs_req *req);

#endif
