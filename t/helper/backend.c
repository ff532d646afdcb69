/*
 * Test stand-in for a backend server of configured routes. It writes its
 * responses as raw bytes, so that it can also send malformed ones. The mode is
 * the last segment of the request's path, or the one forced for all requests
 * with GET /control/MODE ("none" lifts it):
 *   ok            200 with a body
 *   fail          500
 *   refuse        503, the request did not run
 *   other         421, the request did not run: wrong instance
 *   unserved      421 of the expected instance: it does not serve such requests
 *   lose          runs the request, then closes the connection
 *   silent        runs the request, never responds
 *   crossed       a response with another request's id, then the right one
 *   alien         only a response with another request's id
 *   extra         a second response after the right one
 *   unframed      a body without a length, ended by closing the connection
 *   unframed-cut  the same, but the connection is reset
 *   unframed-late the same, the second half after LONG_EVENT_INTERVAL_MS
 *   status-000    a response with the status 000
 *   early-cut     a head without a length and part of a body as soon as the
 *                 request's head is there, then the end of its side, and a reset
 *                 EARLY_RESET_MS later, with the request's body unread
 *   cut           closes the connection before the announced length
 *   spoilt        not HTTP
 *   encoded       a content encoding that was not requested
 *   unsealed      no server seal
 *   odd-field     a header field whose name has a space in it
 *   not-modified  304 with a length, and no body
 *   slow          responds after SLOW_RESPONSE_MS, or what GET /slow/MS has set
 *   endless-head      header fields without end
 *   endless-interim   interim responses without end
 *   endless-junk      bytes without end that are not HTTP
 *   endless-body      a body without a length and without end
 *   endless-alien     the same, with another request's id
 *   endless-event     a stream with an event without end
 *   trickle-head      a header field, TRICKLE_INTERVAL_MS between bytes
 *   stream        STREAM_EVENTS events
 *   stream-unframed      the same without a length, ended by closing
 *   stream-unframed-cut  the same, ended in the middle of event 3, unless
 *                        resumed
 *   stream-cut    closes the connection in the middle of event 3, unless
 *                 resumed
 *   stream-gap    leaves out event 2
 *   stream-large  LARGE_STREAM_EVENTS events of LARGE_EVENT_BYTES each
 *   stream-slow   EVENT_INTERVAL_MS between events
 *   stream-pause  LONG_EVENT_INTERVAL_MS between events
 *   stream-unframed-pause  the same without a length, ended by closing
 *   stream-drip   after event 2 only bytes of a comment, DRIP_INTERVAL_MS
 *                 between them, unless resumed
 * GET /fail-above/N makes it answer 500 to requests while more than N run, and
 * GET /failed returns how often it did.
 * GET /brittle/ROOM/REFUSALS makes it refuse requests while ROOM run, and crash when
 * it has refused more than REFUSALS in a second, as it says in all its answers;
 * ROOM 0 ends that.
 * GET /say/FIELD/VALUE adds a header field to all responses, GET /say/FIELD
 * drops it. With the argument CRASH_PART, the server crashes CRASH_DELAY_MS after
 * it has begun to answer a request with that part in its prompt: it resets all
 * connections and accepts none for CRASH_DOWN_MS. POST /crash-on with "TENANT PATH
 * BODY" makes it do so CRASH_DELAY_MS after it has begun to run such a request,
 * GET /crash at once. With the argument VIEWS it also listens on the addresses
 * 127.0.0.2 to 127.0.0.VIEWS, one for each node. GET /cut/N/MODE cuts off those
 * that use 127.0.0.N:
 *   refuse      resets their connections and refuses new ones
 *   refuse-new  refuses new connections; open ones live on
 *   hang        falls silent: open connections, and new ones are not accepted
 *   heal        accepts new connections again
 * GET /crashes lists when it crashed, as GET /arrived. GET
 * /arrived lists when requests arrived, refused ones too, one a line: ms of the
 * machine's steady clock, id.
 * GET /ran lists the requests that ran, one a line: id, method, path, tenant,
 * deadline, model, last event id, body length, key, instance. GET /gone returns
 * the number of clients that disconnected while their request ran.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

#include "http/address.h"

#define STREAM_EVENTS 5
#define LARGE_STREAM_EVENTS 768
#define LARGE_EVENT_BYTES 16384
#define SLOW_RESPONSE_MS 300
#define EVENT_INTERVAL_MS 200
#define TRICKLE_INTERVAL_MS 20
#define EARLY_RESET_MS 50
#define LONG_EVENT_INTERVAL_MS 900
#define DRIP_INTERVAL_MS 200
#define FLOOD_BYTES 16384 /* of a write in the endless modes, at least */
#define CRASH_DELAY_MS 60
#define CRASH_DOWN_MS 1500
#define LISTEN_BACKLOG 64
#define REFUSAL_WINDOW_MS 1000
#define MAX_VIEWS 250
#define MAX_FILLERS 4 /* connections that fill the queue of a view that hangs */
#define READ_BUFFER_BYTES 65536

struct conn {
	uv_tcp_t tcp;
	uv_timer_t timer;
	unsigned int open_handles; /* not yet closed */
	GString *input;
	char *mode;
	char *id;
	int next_event; /* id of the next stream event */
	char *flood; /* what the endless modes repeat */
	bool busy; /* a request runs; later ones wait in input */
	unsigned int view; /* 127.0.0.view is the local address */
	bool closed;
};

static uv_loop_t *loop;
static GString *run_log; /* what GET /ran returns */
static GString *arrival_log; /* what GET /arrived returns */
static GHashTable *extra_fields; /* name -> value, in all responses */
static char *forced_mode; /* for all requests, or NULL */
static const char *instance;
static const char *crash_part; /* NULL: none */
static GPtrArray *crash_requests; /* of POST /crash-on, texts */
static GString *crash_log; /* what GET /crashes returns */
static GPtrArray *conns; /* open ones */
static struct sockaddr_in listen_address;
static unsigned int view_count = 1;
static struct view {
	uv_tcp_t *listener; /* NULL: closed */
	int silent_socket; /* listens and never accepts; -1: none */
	int fillers[MAX_FILLERS];
} views[MAX_VIEWS + 1]; /* by the last byte of their address, from 1 */
static uv_timer_t crash_timer; /* until the crash, then until it is over */
static bool down; /* crashed and not back */
static unsigned int disconnect_count;
static unsigned int slow_response_ms = SLOW_RESPONSE_MS;
static unsigned int fail_above; /* running requests; 0: no limit */
static unsigned int overload_count;
static unsigned int room; /* for running requests while brittle; 0: no limit */
static unsigned int max_refusals; /* in REFUSAL_WINDOW_MS, while brittle */
static unsigned int refusals; /* since refusals_since */
static uint64_t refusals_since; /* ms */

static void on_closed(uv_handle_t *h)
{
	struct conn *c = h->data;

	if (--c->open_handles)
		return;
	g_string_free(c->input, TRUE);
	g_free(c->mode);
	g_free(c->id);
	g_free(c->flood);
	g_free(c);
}

static void close_conn(struct conn *c)
{
	if (c->closed)
		return;
	c->closed = true;
	g_ptr_array_remove(conns, c);
	uv_close((uv_handle_t *)&c->timer, on_closed);
	uv_close((uv_handle_t *)&c->tcp, on_closed);
}

static void reset_conn(struct conn *c)
{
	if (c->closed)
		return;
	c->closed = true;
	g_ptr_array_remove(conns, c);
	uv_close((uv_handle_t *)&c->timer, on_closed);
	uv_tcp_close_reset(&c->tcp, on_closed);
}

static void on_write(uv_write_t *w, int status)
{
	(void)status;
	g_free(w->data);
	g_free(w);
}

static void write_text(struct conn *c, const char *fmt, ...)
	G_GNUC_PRINTF(2, 3);

static void write_text(struct conn *c, const char *fmt, ...)
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

/* Returns the lines of the fields set with GET /say; free with g_free(). */
static char *extra_lines(void)
{
	GString *lines = g_string_new(NULL);
	GHashTableIter it;
	void *name, *value;

	g_hash_table_iter_init(&it, extra_fields);
	while (g_hash_table_iter_next(&it, &name, &value))
		g_string_append_printf(lines, "%s: %s\r\n", (char *)name,
				       (char *)value);
	return g_string_free(lines, FALSE);
}

static void write_response(struct conn *c, int status, const char *id,
			   const char *fields, const char *body)
{
	g_autofree char *extra = extra_lines();

	write_text(c,
		   "HTTP/1.1 %d X\r\nX-Chivegw-Request-Id: %s\r\n%s%s"
		   "Content-Length: %zu\r\n\r\n%s",
		   status, id, fields, extra, strlen(body), body);
}

#define SEAL_FIELD "X-Chivegw-Server-Seal: seal-1\r\n"

static void end_response(struct conn *c)
{
	c->busy = false;
}

static bool is_unframed(const struct conn *c)
{
	return g_str_has_prefix(c->mode, "stream-unframed");
}

static void write_event(struct conn *c, int n)
{
	g_autofree char *e = g_strdup_printf("id: %d\ndata: part%d\n\n", n, n);

	if (is_unframed(c))
		write_text(c, "%s", e);
	else
		write_text(c, "%zx\r\n%s\r\n", strlen(e), e);
}

static void write_stream_head(struct conn *c)
{
	g_autofree char *extra = extra_lines();

	write_text(c,
		   "HTTP/1.1 200 OK\r\nX-Chivegw-Request-Id: %s\r\n" SEAL_FIELD
		   "Content-Type: text/event-stream\r\n%s"
		   "X-Chivegw-Confidence: 20\r\n%s\r\n",
		   c->id, extra,
		   is_unframed(c) ? "" : "Transfer-Encoding: chunked\r\n");
}

static void write_flood(struct conn *c);

static void on_flood_written(uv_write_t *w, int status)
{
	struct conn *c = w->handle->data;

	if (status == 0 && !c->closed)
		write_flood(c);
	g_free(w);
}

static void write_flood(struct conn *c)
{
	uv_write_t *w = g_new0(uv_write_t, 1);
	uv_buf_t buf = uv_buf_init(c->flood, (unsigned int)strlen(c->flood));

	if (uv_write(w, (uv_stream_t *)&c->tcp, &buf, 1, on_flood_written))
		g_free(w);
}

/* Sends the text over and over until the client closes. */
static void flood(struct conn *c, const char *text)
{
	GString *s = g_string_new(NULL);

	while (s->len < FLOOD_BYTES)
		g_string_append(s, text);
	c->flood = g_string_free(s, FALSE);
	write_flood(c);
}

static void respond_without_end(struct conn *c)
{
	const char *m = c->mode + strlen("endless-");
	const char *id = strcmp(m, "alien") ? c->id : "not-yours";

	if (!strcmp(m, "junk")) {
		flood(c, "x");
	} else if (!strcmp(m, "interim")) {
		flood(c, "HTTP/1.1 102 Processing\r\n\r\n");
	} else if (!strcmp(m, "head")) {
		write_text(c, "HTTP/1.1 200 OK\r\n");
		flood(c, "X-Field: value\r\n");
	} else if (!strcmp(m, "event")) {
		write_text(c,
			   "HTTP/1.1 200 OK\r\nX-Chivegw-Request-Id: "
			   "%s\r\n" SEAL_FIELD
			   "Content-Type: text/event-stream\r\n\r\ndata: ",
			   id);
		flood(c, "x");
	} else {
		write_text(c,
			   "HTTP/1.1 200 OK\r\nX-Chivegw-Request-Id: "
			   "%s\r\n" SEAL_FIELD "\r\n",
			   id);
		flood(c, "x");
	}
}

static void on_timer(uv_timer_t *timer)
{
	struct conn *c = timer->data;

	if (!strcmp(c->mode, "trickle-head")) {
		write_text(c, "x");
		return;
	}
	if (!strcmp(c->mode, "stream-drip")) {
		write_text(c, "1\r\n:\r\n");
		return;
	}
	if (!strcmp(c->mode, "unframed-late")) {
		write_text(c, " body");
		close_conn(c);
		return;
	}
	if (!strcmp(c->mode, "slow")) {
		write_response(c, 200, c->id, SEAL_FIELD, "slow body");
		end_response(c);
		return;
	}
	if (c->next_event <= STREAM_EVENTS) {
		write_event(c, c->next_event++);
		return;
	}
	uv_timer_stop(timer);
	if (is_unframed(c)) {
		close_conn(c);
		return;
	}
	write_text(c, "0\r\n\r\n");
	end_response(c);
}

static bool start_listening(void);

static void on_listener_closed(uv_handle_t *h)
{
	g_free(h);
}

static void close_view(unsigned int n)
{
	struct view *v = &views[n];

	if (v->listener)
		uv_close((uv_handle_t *)v->listener, on_listener_closed);
	v->listener = NULL;
	if (v->silent_socket < 0)
		return;
	for (int i = 0; i < MAX_FILLERS; i++)
		close(v->fillers[i]);
	close(v->silent_socket);
	v->silent_socket = -1;
}

static struct sockaddr_in view_address(unsigned int n)
{
	struct sockaddr_in sa = listen_address;

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK - 1 + n);
	return sa;
}

/* Listens without ever accepting; the queue is filled, so connecting hangs. */
static void hang_view(unsigned int n)
{
	struct view *v = &views[n];
	struct sockaddr_in sa = view_address(n);
	const int on = 1;

	v->silent_socket = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(v->silent_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(v->silent_socket, (struct sockaddr *)&sa, sizeof(sa)) ||
	    listen(v->silent_socket, 0))
		fprintf(stderr, "backend: cannot hang view %u\n", n);
	for (int i = 0; i < MAX_FILLERS; i++) {
		v->fillers[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		if (connect(v->fillers[i], (struct sockaddr *)&sa, sizeof(sa)))
			continue; /* in progress, or the queue is full */
	}
}

static bool open_view(unsigned int n);

/* Applies GET /cut/N/MODE. */
static void cut(unsigned int n, const char *mode)
{
	if (n < 1 || n > view_count)
		return;
	close_view(n);
	if (!strcmp(mode, "heal")) {
		open_view(n);
		return;
	}
	for (guint i = conns->len; i-- > 0;) {
		struct conn *c = conns->pdata[i];

		if (c->view != n)
			continue;
		if (!strcmp(mode, "refuse"))
			reset_conn(c);
		if (strcmp(mode, "hang") != 0)
			continue;
		uv_read_stop((uv_stream_t *)&c->tcp);
		uv_timer_stop(&c->timer);
	}
	if (!strcmp(mode, "hang"))
		hang_view(n);
}

static void on_crash_timer(uv_timer_t *timer)
{
	if (down) {
		down = !start_listening();
		return;
	}
	down = true;
	g_string_append_printf(crash_log, "%" G_GUINT64_FORMAT " %s\n",
			       (guint64)(uv_hrtime() / 1000000), instance);
	for (unsigned int i = 1; i <= view_count; i++)
		close_view(i);
	while (conns->len)
		reset_conn(conns->pdata[0]);
	uv_timer_start(timer, on_crash_timer, CRASH_DOWN_MS, CRASH_DOWN_MS);
}

/* Returns whether a part but the last of a list "ID:TOKENS,..." is crash_part. */
static bool has_crash_part(const char *prefix)
{
	g_auto(GStrv) parts = g_strsplit(prefix ? prefix : "", ",", -1);

	for (guint i = 0; crash_part && i + 1 < g_strv_length(parts); i++)
		if (g_str_has_prefix(parts[i], crash_part) &&
		    parts[i][strlen(crash_part)] == ':')
			return true;
	return false;
}

/* Returns whether POST /crash-on named the request. */
static bool is_crash_request(const char *tenant, const char *path,
			     const char *body)
{
	g_autofree char *text =
		g_strdup_printf("%s %s %s", tenant ? tenant : "-", path, body);

	for (guint i = 0; i < crash_requests->len; i++)
		if (!strcmp(text, crash_requests->pdata[i]))
			return true;
	return false;
}

static void schedule_crash(uint64_t delay_ms)
{
	if (!down && !uv_is_active((uv_handle_t *)&crash_timer))
		uv_timer_start(&crash_timer, on_crash_timer, delay_ms, 0);
}

/* Streams large events after the one with the id `last_event`, to the end. */
static void write_large_stream(struct conn *c, int last_event)
{
	g_autofree char *data = g_strnfill(LARGE_EVENT_BYTES, 'x');

	for (int id = last_event + 1; id <= LARGE_STREAM_EVENTS; id++) {
		g_autofree char *event =
			g_strdup_printf("id: %d\ndata: %s\n\n", id, data);

		write_text(c, "%zx\r\n%s\r\n", strlen(event), event);
	}
	write_text(c, "0\r\n\r\n");
	end_response(c);
}

/* Streams the events after the one with the id `last_event`. */
static void start_stream(struct conn *c, int last_event)
{
	bool cut = g_str_has_suffix(c->mode, "-cut") && !last_event;

	write_stream_head(c);
	c->next_event = last_event + 1;
	if (!strcmp(c->mode, "stream-large")) {
		write_large_stream(c, last_event);
		return;
	}
	if (!strcmp(c->mode, "stream-slow")) {
		uv_timer_start(&c->timer, on_timer, EVENT_INTERVAL_MS,
			       EVENT_INTERVAL_MS);
		return;
	}
	if (g_str_has_suffix(c->mode, "-pause")) {
		uv_timer_start(&c->timer, on_timer, LONG_EVENT_INTERVAL_MS,
			       LONG_EVENT_INTERVAL_MS);
		return;
	}
	if (!strcmp(c->mode, "stream-drip") && !last_event) {
		write_event(c, c->next_event++);
		write_event(c, c->next_event++);
		uv_timer_start(&c->timer, on_timer, DRIP_INTERVAL_MS,
			       DRIP_INTERVAL_MS);
		return;
	}
	for (; c->next_event <= STREAM_EVENTS; c->next_event++) {
		if (cut && c->next_event == 3) {
			write_text(c, is_unframed(c) ? "id: 3\nda"
						     : "20\r\nid: 3\nda");
			close_conn(c);
			return;
		}
		if (!strcmp(c->mode, "stream-gap") && c->next_event == 2)
			continue;
		write_event(c, c->next_event);
	}
	if (is_unframed(c)) {
		close_conn(c);
		return;
	}
	write_text(c, "0\r\n\r\n");
	end_response(c);
}

/* Rejects a request that this instance is expected to run but does not serve. */
static void write_unserved(struct conn *c)
{
	g_autofree char *field =
		g_strdup_printf("X-Chivegw-Instance-Id: %s\r\n", instance);

	write_response(c, 421, c->id, field, "");
}

/* Responds as the connection's mode says. */
static void respond(struct conn *c, int last_event)
{
	const char *m = c->mode;

	if (g_str_has_prefix(m, "endless-")) {
		respond_without_end(c);
		return;
	}
	if (!strcmp(m, "trickle-head")) {
		write_text(c, "HTTP/1.1 200 OK\r\nX-Field: ");
		uv_timer_start(&c->timer, on_timer, TRICKLE_INTERVAL_MS,
			       TRICKLE_INTERVAL_MS);
		return;
	}
	if (!strcmp(m, "fail"))
		write_response(c, 500, c->id, SEAL_FIELD, "failed");
	else if (!strcmp(m, "refuse"))
		write_response(c, 503, c->id, "X-Chivegw-Not-Run: 1\r\n",
			       "full");
	else if (!strcmp(m, "other"))
		write_response(c, 421, c->id,
			       "X-Chivegw-Instance-Id: i-another\r\n", "");
	else if (!strcmp(m, "odd-field"))
		write_response(c, 200, c->id, SEAL_FIELD "Odd Field: x\r\n",
			       "good body");
	else if (!strcmp(m, "not-modified"))
		write_text(c,
			   "HTTP/1.1 304 Not Modified\r\nX-Chivegw-Request-Id: "
			   "%s\r\n" SEAL_FIELD "Content-Length: 9\r\n\r\n",
			   c->id);
	else if (!strcmp(m, "unserved"))
		write_unserved(c);
	else if (!strcmp(m, "status-000"))
		write_text(c,
			   "HTTP/1.1 000 X\r\nX-Chivegw-Request-Id: %s\r\n"
			   "Content-Length: 0\r\n\r\n",
			   c->id);
	else if (!strcmp(m, "lose"))
		close_conn(c);
	else if (!strcmp(m, "silent"))
		return;
	else if (!strcmp(m, "alien"))
		write_response(c, 200, "not-yours", SEAL_FIELD, "alien body");
	else if (!strcmp(m, "spoilt"))
		write_text(c, "HTTQ/9 what\r\n\r\n");
	else if (!strcmp(m, "encoded"))
		write_response(c, 200, c->id,
			       SEAL_FIELD "Content-Encoding: gzip\r\n", "zip");
	else if (!strcmp(m, "unsealed"))
		write_response(c, 200, c->id, "", "no seal");
	else if (!strcmp(m, "cut"))
		write_text(c,
			   "HTTP/1.1 200 OK\r\nX-Chivegw-Request-Id: "
			   "%s\r\n" SEAL_FIELD
			   "Content-Length: 100\r\n\r\nonly this",
			   c->id);
	else if (g_str_has_prefix(m, "unframed"))
		write_text(c,
			   "HTTP/1.1 200 OK\r\nX-Chivegw-Request-Id: "
			   "%s\r\n" SEAL_FIELD "\r\nunframed%s",
			   c->id, strcmp(m, "unframed-late") ? " body" : "");
	else if (!strcmp(m, "slow"))
		uv_timer_start(&c->timer, on_timer, slow_response_ms, 0);
	else if (g_str_has_prefix(m, "stream"))
		start_stream(c, last_event);
	else {
		if (!strcmp(m, "crossed"))
			write_response(c, 200, "not-yours", SEAL_FIELD,
				       "alien body");
		write_response(c, 200, c->id, SEAL_FIELD, "good body");
		if (!strcmp(m, "extra"))
			write_response(c, 200, c->id, SEAL_FIELD, "extra body");
	}
	if (!strcmp(m, "cut") || !strcmp(m, "unframed") || !strcmp(m, "spoilt"))
		close_conn(c);
	else if (!strcmp(m, "unframed-cut"))
		reset_conn(c);
	else if (!strcmp(m, "unframed-late"))
		uv_timer_start(&c->timer, on_timer, LONG_EVENT_INTERVAL_MS, 0);
	else if (!g_str_has_prefix(m, "stream") && strcmp(m, "slow") != 0)
		end_response(c);
}

/* Returns a copy of the header field's value, or NULL; free with g_free(). */
static char *header_value(const char *head, const char *name)
{
	g_autofree char *key = g_strdup_printf("\r\n%s: ", name);
	char *lower = g_ascii_strdown(head, -1);
	g_autofree char *key_lower = g_ascii_strdown(key, -1);
	const char *found = strstr(lower, key_lower);
	char *value = NULL;

	if (found) {
		found = head + (found - lower) + strlen(key);
		value = g_strndup(found, strcspn(found, "\r"));
	}
	g_free(lower);
	return value;
}

/* Sets a header field of all responses by "FIELD/VALUE"; "FIELD" drops it. */
static void say(const char *field)
{
	const char *slash = strchr(field, '/');

	if (slash)
		g_hash_table_insert(extra_fields,
				    g_strndup(field, (gsize)(slash - field)),
				    g_strdup(slash + 1));
	else
		g_hash_table_remove(extra_fields, field);
}

static unsigned int running_requests(void)
{
	unsigned int n = 0;

	for (guint i = 0; i < conns->len; i++)
		n += ((struct conn *)conns->pdata[i])->busy;
	return n;
}

/* Counts a refusal for want of room; too many make a brittle server crash. */
static void count_refusal(void)
{
	uint64_t now = uv_now(loop);

	if (now - refusals_since >= REFUSAL_WINDOW_MS) {
		refusals_since = now;
		refusals = 0;
	}
	if (++refusals > max_refusals)
		schedule_crash(1);
}

static void set_brittle(const char *text)
{
	g_auto(GStrv) numbers = g_strsplit(text, "/", 2);
	g_autofree char *field = NULL;

	room = (unsigned int)atoi(numbers[0]);
	max_refusals = numbers[1] ? (unsigned int)atoi(numbers[1]) : 0;
	field = room ? g_strdup_printf("Server-Brittle/%u", max_refusals)
		     : g_strdup("Server-Brittle");
	say(field);
}

static bool mode_runs_request(const char *mode)
{
	return strcmp(mode, "refuse") != 0 && strcmp(mode, "other") != 0 &&
	       strcmp(mode, "unserved") != 0;
}

static void handle_request(struct conn *c, char *head, const char *body)
{
	g_auto(GStrv) line = g_strsplit(head, " ", 3);
	g_autofree char *tenant = header_value(head, "X-Chivegw-Tenant");
	g_autofree char *deadline = header_value(head, "X-Chivegw-Deadline-Ms");
	g_autofree char *model = header_value(head, "X-Chivegw-Model");
	g_autofree char *last = header_value(head, "Last-Event-Id");
	g_autofree char *key = header_value(head, "Authorization");
	g_autofree char *expect =
		header_value(head, "X-Chivegw-Expect-Instance");
	g_autofree char *prefix = header_value(head, "X-Chivegw-Prefix-Hash");
	const char *name = strrchr(line[1], '/');
	size_t body_len = strlen(body);
	char text[32];

	g_free(c->id);
	c->id = header_value(head, "X-Chivegw-Request-Id");
	g_free(c->mode);
	c->mode = forced_mode ? g_strdup(forced_mode) : g_strdup(name + 1);
	c->mode[strcspn(c->mode, "?")] = '\0';
	if (!strcmp(line[1], "/ran")) {
		write_response(c, 200, "-", "", run_log->str);
		return;
	}
	if (!strcmp(line[1], "/gone")) {
		snprintf(text, sizeof(text), "%u", disconnect_count);
		write_response(c, 200, "-", "", text);
		return;
	}
	if (g_str_has_prefix(line[1], "/fail-above/")) {
		fail_above = (unsigned int)atoi(name + 1);
		write_response(c, 200, "-", "", "");
		return;
	}
	if (g_str_has_prefix(line[1], "/slow/")) {
		slow_response_ms = (unsigned int)atoi(name + 1);
		write_response(c, 200, "-", "", "");
		return;
	}
	if (!strcmp(line[1], "/failed")) {
		snprintf(text, sizeof(text), "%u\n", overload_count);
		write_response(c, 200, "-", "", text);
		return;
	}
	if (!strcmp(line[1], "/arrived")) {
		write_response(c, 200, "-", "", arrival_log->str);
		return;
	}
	if (!strcmp(line[1], "/crashes")) {
		write_response(c, 200, "-", "", crash_log->str);
		return;
	}
	if (g_str_has_prefix(line[1], "/brittle/")) {
		set_brittle(line[1] + strlen("/brittle/"));
		write_response(c, 200, "-", "", "");
		return;
	}
	if (g_str_has_prefix(line[1], "/cut/")) {
		cut((unsigned int)atoi(line[1] + strlen("/cut/")), name + 1);
		write_response(c, 200, "-", "", "");
		return;
	}
	if (!strcmp(line[1], "/crash-on")) {
		g_ptr_array_add(crash_requests, g_strdup(body));
		write_response(c, 200, "-", "", "");
		return;
	}
	if (!strcmp(line[1], "/crash")) {
		schedule_crash(1);
		return;
	}
	if (g_str_has_prefix(line[1], "/say/")) {
		say(line[1] + strlen("/say/"));
		write_response(c, 200, "-", "", "");
		return;
	}
	if (g_str_has_prefix(line[1], "/control/")) {
		g_free(forced_mode);
		forced_mode =
			strcmp(name + 1, "none") ? g_strdup(name + 1) : NULL;
		write_response(c, 200, "-", "", "");
		return;
	}
	g_string_append_printf(arrival_log, "%" G_GUINT64_FORMAT " %s\n",
			       (guint64)(uv_hrtime() / 1000000),
			       c->id ? c->id : "-");
	if (g_strcmp0(expect, instance) != 0)
		c->mode = g_strdup("other");
	if (room && running_requests() >= room) {
		count_refusal();
		write_response(c, 503, c->id, "X-Chivegw-Not-Run: 1\r\n",
			       "full");
		return;
	}
	if (mode_runs_request(c->mode))
		g_string_append_printf(
			run_log,
			"%s %s %s tenant=%s deadline=%s model=%s last=%s "
			"body=%zu key=%s by=%s\n",
			c->id ? c->id : "-", line[0], line[1],
			tenant ? tenant : "-", deadline ? deadline : "-",
			model ? model : "-", last ? last : "-", body_len,
			key ? key : "-", instance);
	if (fail_above && running_requests() >= fail_above) {
		overload_count++;
		write_response(c, 500, c->id, SEAL_FIELD, "overloaded");
		return;
	}
	c->busy = true;
	if (has_crash_part(prefix) && mode_runs_request(c->mode)) {
		write_stream_head(c);
		schedule_crash(CRASH_DELAY_MS);
		return;
	}
	if (is_crash_request(tenant, line[1], body) &&
	    mode_runs_request(c->mode)) {
		schedule_crash(CRASH_DELAY_MS);
		return;
	}
	respond(c, last ? atoi(last) : 0);
}

static void on_early_reset(uv_timer_t *timer)
{
	close_conn(timer->data);
}

static void on_early_end(uv_shutdown_t *end, int status)
{
	struct conn *c = end->handle->data;

	(void)status;
	if (!c->closed)
		uv_timer_start(&c->timer, on_early_reset, EARLY_RESET_MS, 0);
	g_free(end);
}

/* Responds in mode early-cut, if that is the mode of the path. */
static void respond_early(struct conn *c, const char *head)
{
	const char *seal =
		strstr(head, "/talk/")
			? "Content-Type: text/event-stream\r\n" SEAL_FIELD
			: SEAL_FIELD;
	const char *end_of_line = strstr(head, " HTTP/1.1\r\n");

	if (!end_of_line || end_of_line - head < (int)strlen("/early-cut") ||
	    strncmp(end_of_line - strlen("/early-cut"), "/early-cut",
		    strlen("/early-cut")) != 0)
		return;
	c->busy = true;
	c->id = header_value(head, "X-Chivegw-Request-Id");
	uv_read_stop((uv_stream_t *)&c->tcp);
	write_text(c,
		   "HTTP/1.1 200 OK\r\nX-Chivegw-Request-Id: %s\r\n%s\r\n"
		   "id: 1\ndata: part1\n\n",
		   c->id, seal);
	uv_shutdown(g_new0(uv_shutdown_t, 1), (uv_stream_t *)&c->tcp,
		    on_early_end);
}

/* Handles the complete requests in the input, until one has no response yet. */
static void parse_requests(struct conn *c)
{
	while (!c->closed && !c->busy) {
		const char *end = strstr(c->input->str, "\r\n\r\n");
		g_autofree char *head = NULL;
		g_autofree char *length = NULL;
		g_autofree char *body = NULL;
		size_t head_len, body_len;

		if (!end)
			return;
		head_len = (size_t)(end - c->input->str) + 4;
		head = g_strndup(c->input->str, head_len);
		length = header_value(head, "Content-Length");
		body_len = length ? (size_t)atoi(length) : 0;
		if (c->input->len < head_len + body_len) {
			respond_early(c, head);
			return;
		}
		body = g_strndup(c->input->str + head_len, body_len);
		g_string_erase(c->input, 0, (gssize)(head_len + body_len));
		handle_request(c, head, body);
	}
}

static void on_alloc(uv_handle_t *h, size_t n, uv_buf_t *buf)
{
	static char bytes[READ_BUFFER_BYTES];

	(void)h;
	(void)n;
	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	struct conn *c = s->data;

	if (n < 0) {
		disconnect_count += c->busy && !c->closed;
		close_conn(c);
		return;
	}
	g_string_append_len(c->input, buf->base, n);
	parse_requests(c);
}

static void on_accept(uv_stream_t *from, int status)
{
	struct conn *c;

	if (status != 0)
		return;
	c = g_new0(struct conn, 1);
	g_ptr_array_add(conns, c);
	c->input = g_string_new(NULL);
	c->open_handles = 2;
	uv_tcp_init(loop, &c->tcp);
	uv_timer_init(loop, &c->timer);
	c->tcp.data = c;
	c->timer.data = c;
	uv_accept(from, (uv_stream_t *)&c->tcp);
	c->view = (unsigned int)(uintptr_t)from->data;
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

static bool open_view(unsigned int n)
{
	struct sockaddr_in sa = view_address(n);
	uv_tcp_t *l = g_new0(uv_tcp_t, 1);

	views[n].listener = l;
	l->data = (void *)(uintptr_t)n;
	uv_tcp_init(loop, l);
	return uv_tcp_bind(l, (struct sockaddr *)&sa, 0) == 0 &&
	       uv_listen((uv_stream_t *)l, LISTEN_BACKLOG, on_accept) == 0;
}

static bool start_listening(void)
{
	bool ok = true;

	uv_timer_stop(&crash_timer);
	for (unsigned int i = 1; i <= view_count; i++)
		ok &= open_view(i);
	return ok;
}

int main(int argc, char **argv)
{
	if (argc < 3 || argc > 5 ||
	    !address_parse(argv[1], &listen_address, NULL)) {
		fprintf(stderr, "usage: backend ADDRESS INSTANCE [CRASH_PART "
				"[VIEWS]]\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	instance = argv[2];
	crash_part = argc > 3 && strcmp(argv[3], "-") ? argv[3] : NULL;
	if (argc > 4)
		view_count = MIN((unsigned int)atoi(argv[4]), MAX_VIEWS);
	for (unsigned int i = 0; i <= MAX_VIEWS; i++)
		views[i].silent_socket = -1;
	run_log = g_string_new(NULL);
	arrival_log = g_string_new(NULL);
	crash_requests = g_ptr_array_new();
	crash_log = g_string_new(NULL);
	conns = g_ptr_array_new();
	extra_fields =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	loop = uv_default_loop();
	uv_timer_init(loop, &crash_timer);
	if (!start_listening()) {
		fprintf(stderr, "backend: cannot listen on %s\n", argv[1]);
		return 1;
	}
	return uv_run(loop, UV_RUN_DEFAULT);
}
