/*
 * Test client: sends the bytes of standard input to ADDRESS, reads until the
 * connection ends and writes what it got to standard output. The last line on
 * standard error tells how it ended: "end=fin", "end=reset" or "end=timeout",
 * with the ms since the start.
 *
 *   client IP PORT TIMEOUT_MS
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define BUFFER_BYTES 65536

static long now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static int report(const char *end, long started)
{
	fprintf(stderr, "end=%s ms=%ld\n", end, now_ms() - started);
	return 0;
}

/* Reads until the connection ends. */
static int read_answer(int fd, long started, long timeout_ms)
{
	static char buffer[BUFFER_BYTES];

	for (;;) {
		struct pollfd p = {.fd = fd, .events = POLLIN};
		long left = started + timeout_ms - now_ms();
		ssize_t n;

		if (left <= 0 || poll(&p, 1, (int)left) == 0)
			return report("timeout", started);
		n = read(fd, buffer, sizeof(buffer));
		if (n < 0)
			return report("reset", started);
		if (n == 0)
			return report("fin", started);
		if (write(STDOUT_FILENO, buffer, (size_t)n) != n)
			return 2;
	}
}

int main(int argc, char **argv)
{
	static char buffer[BUFFER_BYTES];
	struct sockaddr_in sa = {.sin_family = AF_INET};
	long started = now_ms();
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	ssize_t n;

	if (argc != 4 || fd < 0 ||
	    inet_pton(AF_INET, argv[1], &sa.sin_addr) != 1) {
		fprintf(stderr, "usage: client IP PORT TIMEOUT_MS\n");
		return 2;
	}
	sa.sin_port = htons((uint16_t)atoi(argv[2]));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0)
		return report("refused", started);
	while ((n = read(STDIN_FILENO, buffer, sizeof(buffer))) > 0)
		if (send(fd, buffer, (size_t)n, MSG_NOSIGNAL) != n)
			return report("reset", started);
	return read_answer(fd, started, atol(argv[3]));
}
