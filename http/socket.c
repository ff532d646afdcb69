#include "http/socket.h"

#include <glib.h>
#include <limits.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 3

/*
 * Returns whether a stream that libuv reports as ended was reset by the peer.
 * After a short read libuv takes a hang-up for an orderly close without asking
 * the socket for its error. Returns false if the socket cannot be queried.
 */
bool socket_was_reset(uv_tcp_t *tcp)
{
	int error = 0;
	socklen_t len = sizeof(error);
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)tcp, &fd) != 0)
		return false;
	return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) == 0 &&
	       error != 0;
}

/*
 * Returns whether there is something to read: bytes, the peer's end or an error.
 * Returns false if the socket cannot be queried.
 */
bool socket_has_input(const uv_tcp_t *tcp)
{
	struct pollfd p = {.events = POLLIN};

	return uv_fileno((const uv_handle_t *)tcp, &p.fd) == 0 &&
	       poll(&p, 1, 0) > 0;
}

/*
 * Returns whether the peer has closed its side of the connection or reset it,
 * also if bytes that it sent before are unread. Returns false if the socket
 * cannot be queried.
 */
bool socket_peer_has_closed(const uv_tcp_t *tcp)
{
	struct pollfd p = {.events = POLLRDHUP};

	if (uv_fileno((const uv_handle_t *)tcp, &p.fd) != 0)
		return false;
	return poll(&p, 1, 0) > 0 &&
	       (p.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

/*
 * Returns how many bytes passed to the socket the peer has not acknowledged, or 0 if
 * the socket cannot be queried.
 */
int socket_unacknowledged(const uv_tcp_t *tcp)
{
	int n = 0;
	uv_os_fd_t fd;

	if (uv_fileno((const uv_handle_t *)tcp, &fd) != 0 ||
	    ioctl(fd, TIOCOUTQ, &n) != 0)
		return 0;
	return n;
}

/*
 * Returns how many bytes the socket has received that were not read, or 0 if it
 * cannot be queried.
 */
int socket_unread(const uv_tcp_t *tcp)
{
	int n = 0;
	uv_os_fd_t fd;

	if (uv_fileno((const uv_handle_t *)tcp, &fd) != 0 ||
	    ioctl(fd, FIONREAD, &n) != 0)
		return 0;
	return n;
}

/*
 * Sets the options that all connections share: no delay of small writes
 * (TCP_NODELAY), keepalive probes that detect a silent peer, and a limit of
 * user_timeout_ms to how long sent data may stay unacknowledged. Errors are
 * ignored.
 */
void socket_set_options(uv_tcp_t *tcp, unsigned int user_timeout_ms)
{
	const int idle = KEEPALIVE_IDLE_S;
	const int interval = KEEPALIVE_INTERVAL_S;
	const int probes = KEEPALIVE_PROBES;
	const int on = 1;
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)tcp, &fd) != 0)
		return;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
		   sizeof(user_timeout_ms));
}

/*
 * Limits what the kernel holds of written bytes that the peer has not acknowledged to
 * about so many. The kernel then does not raise the limit by itself any more; it
 * doubles the value that it is given, for its own overhead. Errors are ignored.
 */
void socket_limit_send_buffer(uv_tcp_t *tcp, size_t bytes)
{
	const int half = (int)MIN(bytes / 2, (size_t)INT_MAX);
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)tcp, &fd) == 0)
		setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &half, sizeof(half));
}

/*
 * Limits what the kernel holds of received and unread bytes to about so many, of the
 * connection or of those that are accepted later at a listening socket; the kernel
 * then does not raise the limit by itself any more. Linux doubles the value that it
 * is given, for its own overhead, and does not widen the window with a larger buffer.
 * Errors are ignored.
 */
void socket_limit_receive_buffer(uv_tcp_t *tcp, size_t bytes)
{
	const int window = (int)MIN(bytes, (size_t)INT_MAX);
	const int half = window / 2;
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)tcp, &fd) != 0)
		return;
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &half, sizeof(half));
	setsockopt(fd, IPPROTO_TCP, TCP_WINDOW_CLAMP, &window, sizeof(window));
}

/*
 * Sets whether the connection is reset when its socket is closed, also if that is
 * because the process ends. Errors are ignored.
 */
void socket_set_reset_on_close(uv_tcp_t *tcp, bool reset)
{
	const struct linger l = {.l_onoff = reset, .l_linger = 0};
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)tcp, &fd) == 0)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
}

/*
 * Accepts a connection that waits at a listening socket. Returns its descriptor, or -1
 * if none waits.
 */
int socket_accept_waiting(const uv_tcp_t *listener)
{
	uv_os_fd_t fd;

	if (uv_fileno((const uv_handle_t *)listener, &fd) != 0)
		return -1;
	return accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
}

/*
 * Returns the address of the peer, without its port, as a number; 0 if the
 * socket cannot be queried.
 */
uint32_t socket_peer_address(const uv_tcp_t *tcp)
{
	struct sockaddr_in sa;
	int len = sizeof(sa);

	if (uv_tcp_getpeername(tcp, (struct sockaddr *)&sa, &len) != 0)
		return 0;
	return sa.sin_addr.s_addr;
}
