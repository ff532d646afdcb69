/*
 * Stand-in for a server behind configured routes, by the users' protocol. It
 * writes its answers byte by byte, so that it can give bad ones. The last part
 * of the path, or the mode set with GET /control/MODE, says how:
 *   ok, fail (500), refuse (503, not run), other (421), lose (runs, then
 *   closes), silent (runs, says nothing), crossed (answers with another id,
 *   then rightly), alien (only the other id's answer), extra (a second answer
 *   after the right one), unframed, unframed-cut (reset before its end), cut,
 *   spoilt, encoded, unsealed, slow (300 ms), stream (5 events), stream-cut
 *   (in the third event), stream-gap (event 2 missing), stream-slow (200 ms
 *   between events), early (answers before the body is here)
 * GET /ran lists what it ran, a line each: id, method, path, tenant, deadline,
 * model, last event, length of the body; GET /gone counts callers that left.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "http/address.h"

#define EVENTS 5

struct conn {
	uv_tcp_t tcp;
	uv_timer_t timer;
	unsigned int open_handles;
	GString *in;
	char *mode;
	char *id;
	int next; /* event */
	bool busy;
	bool closed;
};

static uv_loop_t *loop;
static GString *ran;
static char *fixed_mode;
static const char *instance;
static unsigned int gone;

static void on_closed(uv_handle_t *h)
{
	struct conn *c = h->data;

	if (--c->open_handles)
		return;
	g_string_free(c->in, TRUE);
	g_free(c->mode);
	g_free(c->id);
	g_free(c);
}

static void close_conn(struct conn *c)
{
	if (c->closed)
		return;
	c->closed = true;
	uv_close((uv_handle_t *)&c->timer, on_closed);
	uv_close((uv_handle_t *)&c->tcp, on_closed);
}

static void reset_conn(struct conn *c)
{
	if (c->closed)
		return;
	c->closed = true;
	uv_close((uv_handle_t *)&c->timer, on_closed);
	uv_tcp_close_reset(&c->tcp, on_closed);
}

static void on_write(uv_write_t *w, int status)
{
	(void)status;
	g_free(w->data);
	g_free(w);
}

static void say(struct conn *c, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

static void say(struct conn *c, const char *fmt, ...)
{
	uv_write_t *w = g_new0(uv_write_t, 1);
	uv_buf_t buf;
	va_list ap;
	char *text;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	w->data = text;
	buf = uv_buf_init(text, (unsigned int)strlen(text));
	if (uv_write(w, (uv_stream_t *)&c->tcp, &buf, 1, on_write)) {
		g_free(text);
		g_free(w);
	}
}

static void answer(struct conn *c, int status, const char *id,
		   const char *extra, const char *body)
{
	say(c,
	    "HTTP/1.1 %d X\r\nX-Chivegw-Request-Id: %s\r\n%s"
	    "Content-Length: %zu\r\n\r\n%s",
	    status, id, extra, strlen(body), body);
}

#define SEAL "X-Chivegw-Server-Seal: seal-1\r\n"

static void end_answer(struct conn *c)
{
	c->busy = false;
}

static void say_event(struct conn *c, int n)
{
	g_autofree char *e = g_strdup_printf("id: %d\ndata: part%d\n\n", n, n);

	say(c, "%zx\r\n%s\r\n", strlen(e), e);
}

static void stream_head(struct conn *c)
{
	say(c,
	    "HTTP/1.1 200 OK\r\nX-Chivegw-Request-Id: %s\r\n" SEAL
	    "Content-Type: text/event-stream\r\n"
	    "X-Chivegw-Confidence: 20\r\nTransfer-Encoding: chunked\r\n\r\n",
	    c->id);
}

static void on_timer(uv_timer_t *timer)
{
	struct conn *c = timer->data;

	if (!strcmp(c->mode, "slow")) {
		answer(c, 200, c->id, SEAL, "slow body");
		end_answer(c);
		return;
	}
	if (c->next <= EVENTS) {
		say_event(c, c->next++);
		return;
	}
	uv_timer_stop(timer);
	say(c, "0\r\n\r\n");
	end_answer(c);
}

static void stream(struct conn *c, int after)
{
	bool cut = !strcmp(c->mode, "stream-cut") && !after;

	stream_head(c);
	c->next = after + 1;
	if (!strcmp(c->mode, "stream-slow")) {
		uv_timer_start(&c->timer, on_timer, 200, 200);
		return;
	}
	for (; c->next <= EVENTS; c->next++) {
		if (cut && c->next == 3) {
			say(c, "20\r\nid: 3\nda");
			close_conn(c);
			return;
		}
		if (!strcmp(c->mode, "stream-gap") && c->next == 2)
			continue;
		say_event(c, c->next);
	}
	say(c, "0\r\n\r\n");
	end_answer(c);
}

static void run(struct conn *c, int last_event)
{
	const char *m = c->mode;

	if (!strcmp(m, "fail"))
		answer(c, 500, c->id, SEAL, "failed");
	else if (!strcmp(m, "refuse"))
		answer(c, 503, c->id, "X-Chivegw-Not-Run: 1\r\n", "full");
	else if (!strcmp(m, "other"))
		answer(c, 421, c->id, "", "");
	else if (!strcmp(m, "lose"))
		close_conn(c);
	else if (!strcmp(m, "silent"))
		return;
	else if (!strcmp(m, "alien"))
		answer(c, 200, "not-yours", SEAL, "alien body");
	else if (!strcmp(m, "spoilt"))
		say(c, "HTTQ/9 what\r\n\r\n");
	else if (!strcmp(m, "encoded"))
		answer(c, 200, c->id, SEAL "Content-Encoding: gzip\r\n", "zip");
	else if (!strcmp(m, "unsealed"))
		answer(c, 200, c->id, "", "no seal");
	else if (!strcmp(m, "cut"))
		say(c,
		    "HTTP/1.1 200 OK\r\nX-Chivegw-Request-Id: %s\r\n" SEAL
		    "Content-Length: 100\r\n\r\nonly this",
		    c->id);
	else if (g_str_has_prefix(m, "unframed"))
		say(c,
		    "HTTP/1.1 200 OK\r\nX-Chivegw-Request-Id: %s\r\n" SEAL
		    "\r\nunframed body",
		    c->id);
	else if (!strcmp(m, "slow"))
		uv_timer_start(&c->timer, on_timer, 300, 0);
	else if (g_str_has_prefix(m, "stream"))
		stream(c, last_event);
	else {
		if (!strcmp(m, "crossed"))
			answer(c, 200, "not-yours", SEAL, "alien body");
		answer(c, 200, c->id, SEAL, "good body");
		if (!strcmp(m, "extra"))
			answer(c, 200, c->id, SEAL, "extra body");
	}
	if (!strcmp(m, "cut") || !strcmp(m, "unframed") || !strcmp(m, "spoilt"))
		close_conn(c);
	else if (!strcmp(m, "unframed-cut"))
		reset_conn(c);
	else if (!g_str_has_prefix(m, "stream") && strcmp(m, "slow") != 0)
		end_answer(c);
}

static char *header(const char *head, const char *name)
{
	g_autofree char *key = g_strdup_printf("\r\n%s: ", name);
	char *lower = g_ascii_strdown(head, -1);
	g_autofree char *key_lower = g_ascii_strdown(key, -1);
	const char *at = strstr(lower, key_lower);
	char *value = NULL;

	if (at) {
		at = head + (at - lower) + strlen(key);
		value = g_strndup(at, strcspn(at, "\r"));
	}
	g_free(lower);
	return value;
}

static bool is_ran(const char *mode)
{
	return strcmp(mode, "refuse") != 0 && strcmp(mode, "other") != 0;
}

static void take_request(struct conn *c, char *head, size_t body_len)
{
	g_auto(GStrv) line = g_strsplit(head, " ", 3);
	g_autofree char *tenant = header(head, "X-Chivegw-Tenant");
	g_autofree char *deadline = header(head, "X-Chivegw-Deadline-Ms");
	g_autofree char *model = header(head, "X-Chivegw-Model");
	g_autofree char *last = header(head, "Last-Event-Id");
	g_autofree char *key = header(head, "Authorization");
	g_autofree char *expect = header(head, "X-Chivegw-Expect-Instance");
	const char *name = strrchr(line[1], '/');
	char text[32];

	g_free(c->id);
	c->id = header(head, "X-Chivegw-Request-Id");
	g_free(c->mode);
	c->mode = fixed_mode ? g_strdup(fixed_mode) : g_strdup(name + 1);
	c->mode[strcspn(c->mode, "?")] = '\0';
	if (!strcmp(line[1], "/ran")) {
		answer(c, 200, "-", "", ran->str);
		return;
	}
	if (!strcmp(line[1], "/gone")) {
		snprintf(text, sizeof(text), "%u", gone);
		answer(c, 200, "-", "", text);
		return;
	}
	if (g_str_has_prefix(line[1], "/control/")) {
		g_free(fixed_mode);
		fixed_mode =
			strcmp(name + 1, "none") ? g_strdup(name + 1) : NULL;
		answer(c, 200, "-", "", "");
		return;
	}
	if (g_strcmp0(expect, instance) != 0)
		c->mode = g_strdup("other");
	if (is_ran(c->mode))
		g_string_append_printf(
			ran,
			"%s %s %s tenant=%s deadline=%s model=%s last=%s "
			"body=%zu key=%s by=%s\n",
			c->id ? c->id : "-", line[0], line[1],
			tenant ? tenant : "-", deadline ? deadline : "-",
			model ? model : "-", last ? last : "-", body_len,
			key ? key : "-", instance);
	c->busy = true;
	run(c, last ? atoi(last) : 0);
}

static void parse(struct conn *c)
{
	while (!c->closed && !c->busy) {
		const char *end = strstr(c->in->str, "\r\n\r\n");
		g_autofree char *head = NULL;
		g_autofree char *length = NULL;
		size_t head_len, body_len;

		if (!end)
			return;
		head_len = (size_t)(end - c->in->str) + 4;
		head = g_strndup(c->in->str, head_len);
		length = header(head, "Content-Length");
		body_len = length ? (size_t)atoi(length) : 0;
		if (c->in->len < head_len + body_len)
			return;
		g_string_erase(c->in, 0, (gssize)(head_len + body_len));
		take_request(c, head, body_len);
	}
}

static void on_alloc(uv_handle_t *h, size_t n, uv_buf_t *buf)
{
	static char bytes[65536];

	(void)h;
	(void)n;
	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	struct conn *c = s->data;

	if (n < 0) {
		gone += c->busy && !c->closed;
		close_conn(c);
		return;
	}
	g_string_append_len(c->in, buf->base, n);
	parse(c);
}

static void on_accept(uv_stream_t *listener, int status)
{
	struct conn *c;

	if (status != 0)
		return;
	c = g_new0(struct conn, 1);
	c->in = g_string_new(NULL);
	c->open_handles = 2;
	uv_tcp_init(loop, &c->tcp);
	uv_timer_init(loop, &c->timer);
	c->tcp.data = c;
	c->timer.data = c;
	uv_accept(listener, (uv_stream_t *)&c->tcp);
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

int main(int argc, char **argv)
{
	struct sockaddr_in sa;
	uv_tcp_t listener;

	if (argc != 3 || !address_parse(argv[1], &sa, NULL)) {
		fprintf(stderr, "usage: backend ADDRESS INSTANCE\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	instance = argv[2];
	ran = g_string_new(NULL);
	loop = uv_default_loop();
	uv_tcp_init(loop, &listener);
	if (uv_tcp_bind(&listener, (struct sockaddr *)&sa, 0) ||
	    uv_listen((uv_stream_t *)&listener, 64, on_accept)) {
		fprintf(stderr, "backend: cannot listen on %s\n", argv[1]);
		return 1;
	}
	return uv_run(loop, UV_RUN_DEFAULT);
}
