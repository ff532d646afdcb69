#ifndef HTTP_SOCKET_H
#define HTTP_SOCKET_H

#include <uv.h>

void sck_prepare(uv_tcp_t *tcp, unsigned int user_timeout_ms);

#endif
