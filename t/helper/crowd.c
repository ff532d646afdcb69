/*
 * Test client that opens many connections at once and does not finish what it
 * has begun:
 *   crowd ADDRESS COUNT MODE BYTES PATH [HEAD LINES...]
 * With the modes whole, pieces and chunks each connection sends a POST with a
 * body of BYTES bytes but for its end: at once, in small pieces, or in chunks.
 * With idle it sends nothing. With unread it sends a whole POST without a body
 * and reads nothing of the answer until SIGUSR1; then it reads to the end.
 * With ahead, ahead-post and ahead-large it sends GETs, or POSTs with bodies of
 * AHEAD_BODY_BYTES or AHEAD_LARGE_BYTES, one behind the other until it has sent BYTES
 * bytes, and reads nothing; it connects again if it is closed before. With ahead-paced
 * it sends GETs one at a time, AHEAD_PACE_US or more between them.
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
#define AHEAD_RECEIVE_BUFFER_BYTES 4096
#define AHEAD_BODY_BYTES 1000
#define AHEAD_LARGE_BYTES 60000
#define AHEAD_BLOCK_BYTES 65536 /* sent at once, at least, in whole requests */
#define AHEAD_PACE_US 10000

struct client {
	int fd; /* -1: closed */
	GString *rest; /* to be sent */
	size_t ahead_left; /* bytes that it goes on to send behind the rest */
	char end[sizeof(LAST_CHUNK)]; /* the last bytes received */
};

struct crowd {
	struct sockaddr_in sa;
	const char *mode;
	struct client *clients;
	guint count;
	GString *block; /* of requests that are sent ahead */
};

static volatile sig_atomic_t reading;

static void on_usr1(int number)
{
	(void)number;
	reading = 1;
}

static bool is_ahead(const char *mode)
{
	return g_str_has_prefix(mode, "ahead");
}

static bool is_paced(const char *mode)
{
	return !strcmp(mode, "ahead-paced");
}

static GString *make_block(const char *mode, const char *path, char **lines)
{
	bool large = !strcmp(mode, "ahead-large");
	size_t bytes = large			     ? AHEAD_LARGE_BYTES
		       : !strcmp(mode, "ahead-post") ? AHEAD_BODY_BYTES
						     : 0;
	g_autofree char *body = g_strnfill(bytes, 'x');
	g_autofree char *fields = g_strjoinv("\r\n", lines);
	GString *s = g_string_new(NULL);

	do {
		g_string_append_printf(
			s,
			"%s %s HTTP/1.1\r\n%s\r\nContent-Length: "
			"%zu\r\n\r\n%s",
			bytes ? "POST" : "GET", path, fields, bytes, body);
	} while (s->len < AHEAD_BLOCK_BYTES && !is_paced(mode));
	return s;
}

static GString *make_request(const char *mode, size_t bytes, const char *path,
			     char **lines)
{
	GString *s = g_string_new(NULL);

	if (!strcmp(mode, "idle") || is_ahead(mode))
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

static void open_client(struct client *c, const struct crowd *crowd)
{
	const int size = is_ahead(crowd->mode) ? AHEAD_RECEIVE_BUFFER_BYTES
					       : RECEIVE_BUFFER_BYTES;

	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (!strcmp(crowd->mode, "unread") || is_ahead(crowd->mode))
		setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (connect(c->fd, (const struct sockaddr *)&crowd->sa,
		    sizeof(crowd->sa)) != 0) {
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

/* Connects a closed client again and adds to its rest while it has more to send. */
static void continue_ahead(struct client *c, const struct crowd *crowd)
{
	if (!c->ahead_left)
		return;
	if (c->fd < 0)
		open_client(c, crowd);
	if (c->fd < 0 || c->rest->len)
		return;
	g_string_append_len(c->rest, crowd->block->str,
			    (gssize)crowd->block->len);
	c->ahead_left -= MIN(c->ahead_left, crowd->block->len);
}

/* Waits for all connections and serves them once; returns how many are open. */
static guint run_once(struct crowd *crowd)
{
	guint count = crowd->count;
	g_autofree struct pollfd *fds = g_new0(struct pollfd, count);
	bool unread = !strcmp(crowd->mode, "unread");
	bool pieces = !strcmp(crowd->mode, "pieces");
	bool reads = unread ? reading : !is_ahead(crowd->mode);
	guint open = 0;

	for (guint i = 0; i < count; i++) {
		struct client *c = &crowd->clients[i];

		continue_ahead(c, crowd);
		fds[i].events = (short)((c->rest->len ? POLLOUT : 0) |
					(reads ? POLLIN : 0));
		fds[i].fd = fds[i].events ? c->fd : -1;
		open += c->fd >= 0;
	}
	if (poll(fds, count, 100) <= 0)
		return open;
	for (guint i = 0; i < count; i++) {
		struct client *c = &crowd->clients[i];

		if (c->fd >= 0 && (fds[i].revents & POLLOUT))
			send_some(c, pieces ? PIECE_BYTES : c->rest->len);
		if (c->fd >= 0 && (fds[i].events & POLLIN) &&
		    (fds[i].revents & (POLLIN | POLLHUP | POLLERR)))
			read_some(c);
	}
	if (pieces)
		usleep(PIECE_PAUSE_US);
	if (is_paced(crowd->mode))
		usleep(AHEAD_PACE_US);
	return open;
}

static bool has_rest(const struct crowd *crowd)
{
	for (guint i = 0; i < crowd->count; i++) {
		const struct client *c = &crowd->clients[i];

		if (c->ahead_left || (c->fd >= 0 && c->rest->len))
			return true;
	}
	return false;
}

int main(int argc, char **argv)
{
	struct crowd crowd = {0};
	guint complete = 0;
	bool told = false;
	size_t bytes;

	if (argc < 6 || !address_parse(argv[1], &crowd.sa, NULL)) {
		fprintf(stderr, "usage: crowd ADDRESS COUNT MODE BYTES PATH "
				"[HEAD LINES...]\n");
		return EXIT_FAILURE;
	}
	signal(SIGUSR1, on_usr1);
	crowd.count = (guint)strtoul(argv[2], NULL, 10);
	crowd.mode = argv[3];
	bytes = strtoul(argv[4], NULL, 10);
	crowd.block = make_block(crowd.mode, argv[5], argv + 6);
	crowd.clients = g_new0(struct client, crowd.count);
	for (guint i = 0; i < crowd.count; i++) {
		struct client *c = &crowd.clients[i];

		c->rest = make_request(crowd.mode, bytes, argv[5], argv + 6);
		c->ahead_left = is_ahead(crowd.mode) ? bytes : 0;
		open_client(c, &crowd);
	}
	while (run_once(&crowd) || strcmp(crowd.mode, "unread")) {
		if (!told && !has_rest(&crowd)) {
			told = true;
			puts("sent");
			fflush(stdout);
		}
	}
	for (guint i = 0; i < crowd.count; i++)
		complete += !memcmp(crowd.clients[i].end, LAST_CHUNK,
				    strlen(LAST_CHUNK));
	printf("complete %u\n", complete);
	return EXIT_SUCCESS;
}
