#ifndef API_MODELS_TASK_H
#define API_MODELS_TASK_H

#include "daemon/node.h"
#include "http/server.h"

void models_handle(struct node *n, struct http_server_request *req);

#endif
