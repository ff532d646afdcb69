#ifndef API_CHAT_TASK_H
#define API_CHAT_TASK_H

struct node;
struct http_server_request;

/* Serves POST /v1/chat/completions. */
void chat_start(struct node *n, struct http_server_request *req);

#endif
