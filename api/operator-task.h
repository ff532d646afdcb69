#ifndef API_OPERATOR_TASK_H
#define API_OPERATOR_TASK_H

struct node;
struct http_server_request;

void operator_handle(void *node, struct http_server_request *req);
void operator_handle_health(struct node *n, struct http_server_request *req);

#endif
