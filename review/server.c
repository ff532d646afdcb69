/*
 * Test stand-in for a backend server, a thread for each connection. It answers
 * by the last segment of the request's path:
 *
 *   plain-MS       a whole answer after MS ms
 *   stream-MS      EVENTS events in chunks, MS ms between them
 *   open-MS        the same without a length, ended by closing the connection
 *
 * With the variable OPEN_ONE_IN = N in its environment, each Nth stream-MS is sent as
 * open-MS. SIGUSR1 makes it crash: it resets all connections and exits.
 *
 *   server IP PORT INSTANCE ID_FIELD SEAL_FIELD LOG [MODEL_FIELD MODELS
 *     INSTANCE_FIELD]
 *
 * ID_FIELD names the header field with the request's id, which is echoed,
 * SEAL_FIELD the one by which the server signs its answers. With MODELS, a list
 * "NAME,NAME", requests whose MODEL_FIELD names no model of it are rejected by
 * 421, whatever their path, with its own instance in INSTANCE_FIELD; their line in
 * LOG has "rejects". After SIGTERM all answers say that the server leaves; it
 * serves on until it is killed. LOG gets a line when a run begins and one when it
 * ends: ms of the steady clock, instance, event, id, path.
 */
#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define EVENTS 8
#define HEAD_BYTES 65536
#define TEXT_BYTES 1024
#define BACKLOG 256
#define MAX_FDS 1024

static const char *instance, *id_field, *seal_field;
static const char *model_field, *models, *instance_field; /* NULL: any model */
static FILE *record;
static volatile sig_atomic_t leaving;

static int open_one_in; /* 0: none */

static void on_crash(int number)
{
	const struct linger l = {.l_onoff = 1, .l_linger = 0};

	(void)number;
	for (int fd = 3; fd < MAX_FDS; fd++)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	_exit(0);
}

static void on_term(int number)
{
	(void)number;
	leaving = 1;
}

struct request {
	char path[TEXT_BYTES];
	char id[TEXT_BYTES];
	char model[TEXT_BYTES];
};

static long now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void sleep_ms(long ms)
{
	struct timespec ts = {.tv_sec = ms / 1000,
			      .tv_nsec = ms % 1000 * 1000000};

	nanosleep(&ts, NULL);
}

static void note(const char *event, const struct request *r)
{
	fprintf(record, "%ld %s %s %s %s\n", now_ms(), instance, event, r->id,
		r->path);
	fflush(record);
}

static bool send_text(int fd, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static bool send_text(int fd, const char *fmt, ...)
{
	char text[TEXT_BYTES * 4];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	return send(fd, text, (size_t)n, MSG_NOSIGNAL) == n;
}

/* Copies the value of a header field to `out`, or "-" if there is none. */
static void copy_field(const char *head, const char *name, char *out)
{
	size_t len = strlen(name);

	snprintf(out, TEXT_BYTES, "-");
	for (const char *line = strstr(head, "\r\n"); line;
	     line = strstr(line + 2, "\r\n")) {
		const char *value = line + 2 + len;

		if (strncasecmp(line + 2, name, len) != 0 || *value != ':')
			continue;
		value += 1 + strspn(value + 1, " ");
		snprintf(out, TEXT_BYTES, "%.*s", (int)strcspn(value, "\r"),
			 value);
		return;
	}
}

/* Sends the events of a stream; returns false if the connection has ended. */
static bool send_events(int fd, long ms, bool framed)
{
	char event[TEXT_BYTES];

	for (int i = 1; i <= EVENTS; i++) {
		int n = snprintf(event, sizeof(event),
				 "id: %d\ndata: piece %d of %d\n\n", i, i,
				 EVENTS);

		if (i > 1)
			sleep_ms(ms);
		if (!(framed ? send_text(fd, "%x\r\n%s\r\n", (unsigned int)n,
					 event)
			     : send_text(fd, "%s", event)))
			return false;
	}
	return true;
}

static const char *leaving_line(void)
{
	return leaving ? "Server-Leaving: 1\r\n" : "";
}

static void send_head(int fd, const struct request *r, const char *framing)
{
	send_text(fd,
		  "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\n%s"
		  "Content-Type: text/event-stream\r\n%s\r\n",
		  id_field, r->id, seal_field, instance, leaving_line(),
		  framing);
}

/* Returns whether the next stream is one of those without a length. */
static bool is_turn_to_open(void)
{
	static atomic_int streams;

	return open_one_in && ++streams % open_one_in == 0;
}

/* Returns whether the request names a model that the server has. */
static bool has_model(const struct request *r)
{
	size_t len = strlen(r->model);
	const char *at = models;

	while (models && (at = strstr(at, r->model))) {
		if ((at == models || at[-1] == ',') &&
		    (at[len] == ',' || !at[len]))
			return true;
		at++;
	}
	return !models;
}

/* Answers a request. Returns false if the connection is closed. */
static bool answer(int fd, const struct request *r)
{
	const char *mode = strrchr(r->path, '/');
	long ms = strchr(mode, '-') ? atol(strchr(mode, '-') + 1) : 0;
	bool sent;

	if (!has_model(r)) {
		note("rejects", r);
		return send_text(fd,
				 "HTTP/1.1 421 Misdirected Request\r\n%s: "
				 "%s\r\n%s: %s\r\n"
				 "Content-Length: 0\r\n\r\n",
				 id_field, r->id, instance_field, instance);
	}
	note("runs", r);
	if (!strncmp(mode, "/stream-", strlen("/stream-")) &&
	    !is_turn_to_open()) {
		send_head(fd, r, "Transfer-Encoding: chunked\r\n");
		sent = send_events(fd, ms, true) && send_text(fd, "0\r\n\r\n");
		note(sent ? "ended" : "cut", r);
		return sent;
	}
	if (strncmp(mode, "/plain-", strlen("/plain-")) != 0) {
		note("sends-no-length", r);
		send_head(fd, r, "");
		sent = send_events(fd, ms, false);
		note(sent ? "ended" : "cut", r);
		close(fd);
		return false;
	}
	sleep_ms(ms);
	sent = send_text(fd,
			 "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\n%s"
			 "Content-Length: 4\r\n\r\ndone",
			 id_field, r->id, seal_field, instance, leaving_line());
	note(sent ? "ended" : "cut", r);
	return sent;
}

/* Reads one request. Returns false at the end of the connection. */
static bool read_request(int fd, struct request *r)
{
	static __thread char head[HEAD_BYTES];
	char length[TEXT_BYTES];
	char *end = NULL;
	size_t n = 0, body;

	while (!end) {
		ssize_t got = recv(fd, head + n, sizeof(head) - 1 - n, 0);

		if (got <= 0)
			return false;
		n += (size_t)got;
		head[n] = '\0';
		end = strstr(head, "\r\n\r\n");
	}
	copy_field(head, "Content-Length", length);
	copy_field(head, id_field, r->id);
	if (models)
		copy_field(head, model_field, r->model);
	body = strtoul(length, NULL, 10);
	n -= (size_t)(end + 4 - head);
	while (n < body) {
		char rest[TEXT_BYTES];
		ssize_t got = recv(fd, rest, sizeof(rest), 0);

		if (got <= 0)
			return false;
		n += (size_t)got;
	}
	*end = '\0';
	return sscanf(head, "%*s %1023s", r->path) == 1;
}

static void *serve(void *arg)
{
	int fd = (int)(long)arg;
	struct request r;

	while (read_request(fd, &r))
		if (!answer(fd, &r))
			return NULL;
	close(fd);
	return NULL;
}

int main(int argc, char **argv)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	const int on = 1;

	if ((argc != 7 && argc != 10) ||
	    inet_pton(AF_INET, argv[1], &sa.sin_addr) != 1) {
		fprintf(stderr, "usage: server IP PORT INSTANCE ID_FIELD "
				"SEAL_FIELD LOG [MODEL_FIELD MODELS]\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_term);
	signal(SIGUSR1, on_crash);
	if (getenv("OPEN_ONE_IN"))
		open_one_in = atoi(getenv("OPEN_ONE_IN"));
	sa.sin_port = htons((uint16_t)atoi(argv[2]));
	instance = argv[3];
	id_field = argv[4];
	seal_field = argv[5];
	record = fopen(argv[6], "a");
	if (argc == 10) {
		model_field = argv[7];
		models = argv[8];
		instance_field = argv[9];
	}
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (!record || bind(listener, (struct sockaddr *)&sa, sizeof(sa)) ||
	    listen(listener, BACKLOG)) {
		perror("server");
		return 1;
	}
	for (;;) {
		pthread_t thread;
		int fd = accept(listener, NULL, NULL);

		if (fd < 0)
			continue;
		if (pthread_create(&thread, NULL, serve, (void *)(long)fd))
			close(fd);
		else
			pthread_detach(thread);
	}
}
