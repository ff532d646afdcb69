#ifndef API_CLIENT_LISTENER_H
#define API_CLIENT_LISTENER_H

struct hs_req;

void client_listener_handle(void *node, struct hs_req *req);

#endif
