#ifndef DOOR_MODELS_TASK_H
#define DOOR_MODELS_TASK_H

#include "daemon/node.h"
#include "http/server.h"

void mdl_start(struct node *n, struct hs_req *req);

#endif
