#ifndef API_CLIENT_LISTENER_H
#define API_CLIENT_LISTENER_H

struct http_server_request;

void client_listener_handle(void *node, struct http_server_request *req);

#endif
