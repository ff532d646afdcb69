#ifndef API_PLAIN_TASK_H
#define API_PLAIN_TASK_H

struct node;
struct http_server_request;

/* Serves /services/NAME/...: requests to plain services. */
void plain_start(struct node *n, struct http_server_request *req);

#endif
