#ifndef HTTP_SOCKET_H
#define HTTP_SOCKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/* What the HTTP client and server share on the TCP level. */
bool socket_was_reset(uv_tcp_t *tcp);
bool socket_has_input(const uv_tcp_t *tcp);
bool socket_peer_has_closed(const uv_tcp_t *tcp);
int socket_unread(const uv_tcp_t *tcp);
int socket_unacknowledged(const uv_tcp_t *tcp);
void socket_limit_send_buffer(uv_tcp_t *tcp, size_t bytes);
void socket_limit_receive_buffer(uv_tcp_t *tcp, size_t bytes);
void socket_set_reset_on_close(uv_tcp_t *tcp, bool reset);
int socket_accept_waiting(const uv_tcp_t *listener);
void socket_set_options(uv_tcp_t *tcp, unsigned int user_timeout_ms);
uint32_t socket_peer_address(const uv_tcp_t *tcp);

#endif
