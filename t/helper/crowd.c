/*
 * Test client that opens many connections at once and does not finish what it
 * has begun:
 *   crowd ADDRESS COUNT MODE BYTES PATH [HEAD LINES...]
 * With the modes whole, pieces and chunks each connection sends a POST with a
 * body of BYTES bytes but for its end: at once, in small pieces, or in chunks.
 * With idle it sends nothing. With unread it sends a whole POST without a body
 * and reads nothing of the answer until SIGUSR1; then it reads to the end.
 * "sent" is printed once no connection has anything left to send or all are
 * closed. At the end of unread, "complete N" tells how many answers ended with
 * an empty chunk. The process stays until it is killed, except after unread.
 */
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/address.h"

#define PIECE_BYTES 16384
#define PIECE_PAUSE_US 1000
#define READ_BYTES 65536
#define RECEIVE_BUFFER_BYTES 32768 /* keeps little of an answer in the kernel */
#define LAST_CHUNK "0\r\n\r\n"

struct client {
	int fd; /* -1: closed */
	GString *rest; /* to be sent */
	char end[sizeof(LAST_CHUNK)]; /* the last bytes received */
};

static volatile sig_atomic_t reading;

static void on_usr1(int number)
{
	(void)number;
	reading = 1;
}

static GString *make_request(const char *mode, size_t bytes, const char *path,
			     char **lines)
{
	GString *s = g_string_new(NULL);

	if (!strcmp(mode, "idle"))
		return s;
	g_string_append_printf(s, "POST %s HTTP/1.1\r\n", path);
	for (; *lines; lines++)
		g_string_append_printf(s, "%s\r\n", *lines);
	if (!strcmp(mode, "unread")) {
		g_string_append(s, "Content-Length: 0\r\n\r\n");
		return s;
	}
	if (strcmp(mode, "chunks") != 0) {
		g_string_append_printf(s, "Content-Length: %zu\r\n\r\n", bytes);
		while (--bytes)
			g_string_append_c(s, 'x');
		return s;
	}
	g_string_append(s, "Transfer-Encoding: chunked\r\n\r\n");
	for (size_t n; bytes; bytes -= n) {
		n = MIN(bytes, PIECE_BYTES);
		g_string_append_printf(s, "%zx\r\n", n);
		for (size_t i = 0; i < n; i++)
			g_string_append_c(s, 'x');
		g_string_append(s, "\r\n");
	}
	return s;
}

static void open_client(struct client *c, const struct sockaddr_in *sa,
			const char *mode)
{
	const int size = RECEIVE_BUFFER_BYTES;

	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (!strcmp(mode, "unread"))
		setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (connect(c->fd, (const struct sockaddr *)sa, sizeof(*sa)) != 0) {
		close(c->fd);
		c->fd = -1;
		return;
	}
	fcntl(c->fd, F_SETFL, O_NONBLOCK);
}

static void close_client(struct client *c)
{
	close(c->fd);
	c->fd = -1;
	g_string_truncate(c->rest, 0);
}

static void send_some(struct client *c, size_t most)
{
	ssize_t n = send(c->fd, c->rest->str, MIN(c->rest->len, most),
			 MSG_NOSIGNAL);

	if (n > 0)
		g_string_erase(c->rest, 0, n);
	else if (n < 0 && errno != EAGAIN && errno != EINTR)
		close_client(c);
}

static void read_some(struct client *c)
{
	const size_t keep = strlen(LAST_CHUNK);
	static char buf[READ_BYTES + sizeof(LAST_CHUNK)];
	ssize_t n;

	memcpy(buf, c->end, keep);
	n = recv(c->fd, buf + keep, READ_BYTES, 0);
	if (n > 0)
		memcpy(c->end, buf + n, keep);
	if (n > 0 && memcmp(c->end, LAST_CHUNK, keep) != 0)
		return;
	if (n >= 0 || (errno != EAGAIN && errno != EINTR))
		close_client(c);
}

/* Waits for all connections and serves them once; returns how many are open. */
static guint run_once(struct client *clients, guint count, const char *mode)
{
	g_autofree struct pollfd *fds = g_new0(struct pollfd, count);
	bool unread = !strcmp(mode, "unread");
	bool pieces = !strcmp(mode, "pieces");
	guint open = 0;

	for (guint i = 0; i < count; i++) {
		struct client *c = &clients[i];

		fds[i].fd = c->fd;
		fds[i].events = (short)((c->rest->len ? POLLOUT : 0) |
					(!unread || reading ? POLLIN : 0));
		open += c->fd >= 0;
	}
	if (poll(fds, count, 100) <= 0)
		return open;
	for (guint i = 0; i < count; i++) {
		struct client *c = &clients[i];

		if (c->fd >= 0 && (fds[i].revents & POLLOUT))
			send_some(c, pieces ? PIECE_BYTES : c->rest->len);
		if (c->fd >= 0 && (fds[i].events & POLLIN) &&
		    (fds[i].revents & (POLLIN | POLLHUP | POLLERR)))
			read_some(c);
	}
	if (pieces)
		usleep(PIECE_PAUSE_US);
	return open;
}

static bool has_rest(const struct client *clients, guint count)
{
	for (guint i = 0; i < count; i++)
		if (clients[i].fd >= 0 && clients[i].rest->len)
			return true;
	return false;
}

int main(int argc, char **argv)
{
	g_autofree struct client *clients = NULL;
	struct sockaddr_in sa;
	guint count, complete = 0;
	bool told = false;

	if (argc < 6 || !address_parse(argv[1], &sa, NULL)) {
		fprintf(stderr, "usage: crowd ADDRESS COUNT MODE BYTES PATH "
				"[HEAD LINES...]\n");
		return EXIT_FAILURE;
	}
	signal(SIGUSR1, on_usr1);
	count = (guint)strtoul(argv[2], NULL, 10);
	clients = g_new0(struct client, count);
	for (guint i = 0; i < count; i++) {
		clients[i].rest = make_request(
			argv[3], strtoul(argv[4], NULL, 10), argv[5], argv + 6);
		open_client(&clients[i], &sa, argv[3]);
	}
	while (run_once(clients, count, argv[3]) || strcmp(argv[3], "unread")) {
		if (!told && !has_rest(clients, count)) {
			told = true;
			puts("sent");
			fflush(stdout);
		}
	}
	for (guint i = 0; i < count; i++)
		complete +=
			!memcmp(clients[i].end, LAST_CHUNK, strlen(LAST_CHUNK));
	printf("complete %u\n", complete);
	return EXIT_SUCCESS;
}
