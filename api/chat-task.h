#ifndef API_CHAT_TASK_H
#define API_CHAT_TASK_H

struct node;
struct hs_req;

/* Serves POST /v1/chat/completions. */
void chat_start(struct node *n, struct hs_req *req);

#endif
