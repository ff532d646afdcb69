#include "http/server.h"

#include <http_parser.h>
#include <stdlib.h>
#include <string.h>

#include "http/address.h"
#include "http/socket.h"

#define LISTEN_BACKLOG 1024
#define READ_BYTES 65536
#define HEAD_BYTES 65536
#define IDLE_MS 60000
#define USER_TIMEOUT_MS 8000
#define MAX_PIPELINED_BYTES (256 * 1024)
#define LINGER_MS 300

struct conn;

struct http_server {
	uv_loop_t *loop;
	uv_tcp_t listener;
	struct http_server_limits limits;
	http_server_request_cb cb;
	void *owner;
	GHashTable *conns; /* set of struct conn */
	size_t open_requests;
	bool accepting;
	bool closing; /* each connection closes after its answer */
	char read_buffer[READ_BYTES];
};

/*
 * One request. It lives until its response has left or the client has gone;
 * all calls on it after the end of its response do nothing.
 */
struct http_server_request {
	struct http_server *http_server;
	struct conn *conn;
	char *method;
	char *path;
	struct http_message_fields fields;
	GString *body;
	GString *headers; /* of the response, whole lines */
	bool is_head;
	bool http10;
	bool keep_alive;
	bool begun;
	bool chunked;
	bool unframed;
	bool ended;
	http_server_disconnect_cb on_gone;
	void *gone_user;
};

enum phase {
	PHASE_HEAD, /* waits for a request or reads its head */
	PHASE_BODY,
	PHASE_ANSWER, /* the owner answers; bytes that come wait */
	PHASE_LINGER, /* has had its last answer, reads until the peer closes */
	PHASE_CLOSED,
};

struct conn {
	struct http_server *http_server;
	uv_tcp_t tcp;
	uv_timer_t timer;
	unsigned int open_handles;
	enum phase phase;
	http_parser parser;
	GString *in; /* bytes not yet parsed */
	size_t scanned;
	struct http_server_request *req;
	GString *out;
	GString *sending;
	uv_write_t write;
	bool writing;
	bool reading;
	bool message_done;
	bool body_too_large;
	bool close_when_sent;
	bool failed;
};

static void parse(struct conn *c);
static void start_reading(struct conn *c);

static void free_request(struct http_server_request *r)
{
	r->http_server->open_requests--;
	g_free(r->method);
	g_free(r->path);
	http_message_fields_clear(&r->fields);
	g_string_free(r->body, TRUE);
	g_string_free(r->headers, TRUE);
	g_free(r);
}

static void on_closed(uv_handle_t *handle)
{
	struct conn *c = handle->data;

	if (--c->open_handles)
		return;
	g_string_free(c->in, TRUE);
	g_string_free(c->out, TRUE);
	g_string_free(c->sending, TRUE);
	g_free(c);
}

/* Ends the connection's request, telling its owner, and the connection. */
static void close_conn(struct conn *c)
{
	struct http_server_request *r = c->req;

	if (c->phase == PHASE_CLOSED)
		return;
	c->phase = PHASE_CLOSED;
	c->req = NULL;
	g_hash_table_remove(c->http_server->conns, c);
	uv_close((uv_handle_t *)&c->timer, on_closed);
	uv_close((uv_handle_t *)&c->tcp, on_closed);
	if (!r)
		return;
	if (r->on_gone)
		r->on_gone(r->gone_user);
	free_request(r);
}

static void on_limit(uv_timer_t *timer);

static void arm(struct conn *c, uint64_t ms)
{
	uv_timer_start(&c->timer, on_limit, ms, 0);
}

static void flush(struct conn *c);

static void on_shutdown(uv_shutdown_t *req, int status)
{
	(void)status;
	g_free(req);
}

/*
 * Sends the end of the stream and reads on for a moment: closing at once with
 * bytes unread would reset the connection and lose the answer.
 */
static void linger(struct conn *c)
{
	uv_shutdown_t *req = g_new0(uv_shutdown_t, 1);

	c->phase = PHASE_LINGER;
	g_string_truncate(c->in, 0);
	if (uv_shutdown(req, (uv_stream_t *)&c->tcp, on_shutdown) != 0)
		g_free(req);
	start_reading(c);
	arm(c, LINGER_MS);
}

/* All of a response has left: the next request, or the end. */
static void response_sent(struct conn *c)
{
	struct http_server_request *r = c->req;

	c->req = NULL;
	if (r) {
		if (r->on_gone)
			r->on_gone(r->gone_user);
		free_request(r);
	}
	if (c->close_when_sent) {
		linger(c);
		return;
	}
	c->phase = PHASE_HEAD;
	c->scanned = 0;
	arm(c, c->http_server->limits.idle_ms);
	start_reading(c);
	parse(c);
}

static bool is_finished(const struct conn *c)
{
	return c->phase == PHASE_ANSWER &&
	       (!c->req || (c->req->ended && c->req->begun));
}

static void on_written(uv_write_t *write, int status)
{
	struct conn *c = write->data;

	c->writing = false;
	if (c->phase == PHASE_CLOSED)
		return;
	if (status != 0)
		close_conn(c);
	else if (!c->out->len && is_finished(c))
		response_sent(c);
	else
		flush(c);
}

static void on_deferred(uv_timer_t *timer)
{
	struct conn *c = timer->data;

	if (c->failed)
		close_conn(c);
	else if (!c->writing && !c->out->len && is_finished(c))
		response_sent(c);
}

/*
 * Ends a response from the loop, never from within the call by which the
 * owner ended it.
 */
static void defer_end(struct conn *c)
{
	uv_timer_start(&c->timer, on_deferred, 0, 0);
}

static void flush(struct conn *c)
{
	GString *swap;
	uv_buf_t buf;

	if (c->writing || c->failed || c->phase == PHASE_CLOSED)
		return;
	if (!c->out->len) {
		if (is_finished(c))
			defer_end(c);
		return;
	}
	swap = c->sending;
	c->sending = c->out;
	c->out = swap;
	g_string_truncate(c->out, 0);
	buf = uv_buf_init(c->sending->str, (unsigned int)c->sending->len);
	c->write.data = c;
	c->writing = true;
	if (uv_write(&c->write, (uv_stream_t *)&c->tcp, &buf, 1, on_written)) {
		c->writing = false;
		c->failed = true;
		defer_end(c);
	}
}

static const char *reason_of(int status)
{
	switch (status) {
#define XX(num, name, string)                                                  \
	case num:                                                              \
		return #string;
		HTTP_STATUS_MAP(XX)
#undef XX
	default:
		return "-";
	}
}

/* Answers a request that cannot be read, and closes. */
static void reject(struct conn *c, int status, const char *reason)
{
	g_autofree char *body = g_strdup_printf(
		"{\"error\":{\"verdict\":\"not-run\",\"reason\":\"%s\"}}",
		reason);

	g_string_append_printf(
		c->out,
		"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
		"Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
		status, reason_of(status), strlen(body), body);
	if (c->req)
		free_request(c->req);
	c->req = NULL;
	c->phase = PHASE_ANSWER;
	c->close_when_sent = true;
	g_string_truncate(c->in, 0);
	uv_timer_stop(&c->timer);
	flush(c);
}

static void on_limit(uv_timer_t *timer)
{
	struct conn *c = timer->data;

	if (c->phase == PHASE_BODY || (c->phase == PHASE_HEAD && c->in->len))
		reject(c, 408, "slow-request");
	else if (c->phase != PHASE_ANSWER)
		close_conn(c);
}

static int on_url(http_parser *p, const char *at, size_t len)
{
	struct conn *c = p->data;
	g_autofree char *before = c->req->path;

	c->req->path = before ? g_strdup_printf("%s%.*s", before, (int)len, at)
			      : g_strndup(at, len);
	return 0;
}

static int on_name(http_parser *p, const char *at, size_t len)
{
	http_message_fields_add_name(&((struct conn *)p->data)->req->fields, at,
				     len);
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t len)
{
	http_message_fields_add_value(&((struct conn *)p->data)->req->fields,
				      at, len);
	return 0;
}

static int on_headers(http_parser *p)
{
	struct conn *c = p->data;
	struct http_server_request *r = c->req;

	http_message_fields_finish(&r->fields);
	r->method = g_strdup(http_method_str((enum http_method)p->method));
	r->is_head = p->method == HTTP_HEAD;
	r->http10 = p->http_major == 1 && p->http_minor == 0;
	r->keep_alive = http_should_keep_alive(p);
	return 0;
}

static int on_body_bytes(http_parser *p, const char *at, size_t len)
{
	struct conn *c = p->data;

	if (c->req->body->len + len > c->http_server->limits.body_bytes) {
		c->body_too_large = true;
		return -1;
	}
	g_string_append_len(c->req->body, at, (gssize)len);
	return 0;
}

static int on_message(http_parser *p)
{
	((struct conn *)p->data)->message_done = true;
	http_parser_pause(p, 1);
	return 0;
}

/* Trailers are dropped: they come after the head was judged. */
static int on_trailer(http_parser *p, const char *at, size_t len)
{
	(void)p;
	(void)at;
	(void)len;
	return 0;
}

static const http_parser_settings head_settings = {
	.on_url = on_url,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_message_complete = on_message,
};

static const http_parser_settings body_settings = {
	.on_header_field = on_trailer,
	.on_header_value = on_trailer,
	.on_body = on_body_bytes,
	.on_message_complete = on_message,
};

static struct http_server_request *new_request(struct conn *c)
{
	struct http_server_request *r = g_new0(struct http_server_request, 1);

	r->http_server = c->http_server;
	r->conn = c;
	http_message_fields_init(&r->fields);
	r->body = g_string_new(NULL);
	r->headers = g_string_new(NULL);
	c->http_server->open_requests++;
	return r;
}

static bool head_is_sound(const struct conn *c)
{
	const struct http_server_request *r = c->req;

	if (!r->path || !r->method || c->parser.upgrade)
		return false;
	if (r->path[0] != '/' && strcmp(r->path, "*") != 0)
		return false;
	if (!http_message_names_are_tokens(&r->fields))
		return false;
	if (http_message_count_name(&r->fields, "host") > 1 ||
	    (!r->http10 && !http_message_find(&r->fields, "host")))
		return false;
	if (http_message_count_name(&r->fields, "content-length") > 1 ||
	    http_message_count_name(&r->fields, "transfer-encoding") > 1)
		return false;
	return !(http_message_find(&r->fields, "content-length") &&
		 http_message_find(&r->fields, "transfer-encoding"));
}

static bool declares_too_much(const struct conn *c)
{
	const char *length =
		http_message_find(&c->req->fields, "content-length");

	return length && g_ascii_strtoull(length, NULL, 10) >
				 c->http_server->limits.body_bytes;
}

static void give_to_owner(struct conn *c)
{
	c->phase = PHASE_ANSWER;
	uv_timer_stop(&c->timer);
	c->http_server->cb(c->http_server->owner, c->req);
}

/* Parses the head, which is whole and `len` bytes long. False: rejected. */
static bool take_head(struct conn *c, size_t len)
{
	size_t used;
	const char *expect;

	c->req = new_request(c);
	c->message_done = false;
	c->body_too_large = false;
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	used = http_parser_execute(&c->parser, &head_settings, c->in->str, len);
	if (HTTP_PARSER_ERRNO(&c->parser) == HPE_PAUSED)
		http_parser_pause(&c->parser, 0);
	if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK || used + 1 < len ||
	    !head_is_sound(c)) {
		reject(c, 400, "malformed-request");
		return false;
	}
	if (declares_too_much(c)) {
		reject(c, 413, "body-too-large");
		return false;
	}
	g_string_erase(c->in, 0, (gssize)len);
	expect = http_message_find(&c->req->fields, "expect");
	if (!c->message_done && expect &&
	    !g_ascii_strcasecmp(expect, "100-continue")) {
		g_string_append(c->out, "HTTP/1.1 100 Continue\r\n\r\n");
		flush(c);
	}
	c->phase = PHASE_BODY;
	return true;
}

static bool read_head(struct conn *c)
{
	size_t len = 0;
	size_t skip = 0;

	if (!c->scanned)
		while (c->in->len >= skip + 2 &&
		       !memcmp(c->in->str + skip, "\r\n", 2))
			skip += 2;
	g_string_erase(c->in, 0, (gssize)skip);
	if (!c->in->len || (c->in->len == 1 && c->in->str[0] == '\r'))
		return false;
	if (!c->scanned)
		arm(c, c->http_server->limits.head_ms);
	switch (http_message_scan_head(c->in->str, c->in->len, c->scanned,
				       &len)) {
	case HTTP_MESSAGE_MALFORMED:
		reject(c, 400, "malformed-request");
		return false;
	case HTTP_MESSAGE_INCOMPLETE:
		c->scanned = c->in->len;
		if (c->in->len > c->http_server->limits.head_bytes)
			reject(c, 431, "head-too-large");
		return false;
	case HTTP_MESSAGE_HEAD_COMPLETE:
		if (len > c->http_server->limits.head_bytes) {
			reject(c, 431, "head-too-large");
			return false;
		}
		return take_head(c, len);
	}
	return false;
}

static void read_body(struct conn *c)
{
	size_t used = 0;

	if (!c->message_done && c->in->len) {
		used = http_parser_execute(&c->parser, &body_settings,
					   c->in->str, c->in->len);
		if (HTTP_PARSER_ERRNO(&c->parser) == HPE_PAUSED) {
			http_parser_pause(&c->parser, 0);
		} else if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK) {
			if (c->body_too_large)
				reject(c, 413, "body-too-large");
			else
				reject(c, 400, "malformed-body");
			return;
		}
		g_string_erase(c->in, 0, (gssize)used);
	}
	if (c->message_done)
		give_to_owner(c);
}

static void parse(struct conn *c)
{
	if (c->phase == PHASE_HEAD && !read_head(c))
		return;
	if (c->phase == PHASE_BODY)
		read_body(c);
}

static void on_alloc(uv_handle_t *handle, size_t wanted, uv_buf_t *buf)
{
	struct conn *c = handle->data;

	(void)wanted;
	*buf = uv_buf_init(c->http_server->read_buffer, READ_BYTES);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct conn *c = stream->data;

	if (!n)
		return;
	if (n < 0) {
		close_conn(c);
		return;
	}
	if (c->phase == PHASE_LINGER || c->close_when_sent)
		return;
	g_string_append_len(c->in, buf->base, n);
	if (c->phase != PHASE_ANSWER) {
		parse(c);
	} else if (c->in->len > MAX_PIPELINED_BYTES) {
		uv_read_stop(stream);
		c->reading = false;
	}
}

static void start_reading(struct conn *c)
{
	if (!c->reading)
		c->reading = uv_read_start((uv_stream_t *)&c->tcp, on_alloc,
					   on_read) == 0;
}

static void on_accept(uv_stream_t *listener, int status)
{
	struct http_server *http_server = listener->data;
	struct conn *c;

	if (status != 0)
		return;
	c = g_new0(struct conn, 1);
	c->http_server = http_server;
	c->in = g_string_new(NULL);
	c->out = g_string_new(NULL);
	c->sending = g_string_new(NULL);
	c->open_handles = 2;
	uv_tcp_init(http_server->loop, &c->tcp);
	uv_timer_init(http_server->loop, &c->timer);
	c->tcp.data = c;
	c->timer.data = c;
	g_hash_table_add(http_server->conns, c);
	if (uv_accept(listener, (uv_stream_t *)&c->tcp) != 0) {
		close_conn(c);
		return;
	}
	socket_set_options(&c->tcp, USER_TIMEOUT_MS);
	arm(c, http_server->limits.idle_ms);
	start_reading(c);
}

static bool bind_listener(struct http_server *http_server, const char *address,
			  GError **err)
{
	struct sockaddr_in sa;
	int rc;

	if (!address_parse(address, &sa, err))
		return false;
	uv_tcp_init(http_server->loop, &http_server->listener);
	http_server->listener.data = http_server;
	rc = uv_tcp_bind(&http_server->listener, (struct sockaddr *)&sa, 0);
	if (!rc)
		rc = uv_listen((uv_stream_t *)&http_server->listener,
			       LISTEN_BACKLOG, on_accept);
	if (rc) {
		g_set_error(err, ADDRESS_ERROR, ADDRESS_ERROR_LISTEN,
			    "cannot listen on %s: %s", address,
			    uv_strerror(rc));
		return false;
	}
	http_server->accepting = true;
	return true;
}

/*
 * Listens on "ip:port" and calls cb for each request, whole with its body of
 * at most max_body bytes. head_timeout_ms bounds the time a client may take
 * to send a request. Returns NULL and sets an error if the address cannot be
 * bound.
 */
struct http_server *http_server_listen(uv_loop_t *loop, const char *address,
				       size_t max_body,
				       uint64_t head_timeout_ms,
				       http_server_request_cb cb, void *owner,
				       GError **err)
{
	struct http_server *http_server = g_new0(struct http_server, 1);

	http_server->loop = loop;
	http_server->cb = cb;
	http_server->owner = owner;
	http_server->limits.head_bytes = HEAD_BYTES;
	http_server->limits.body_bytes = max_body;
	http_server->limits.head_ms = head_timeout_ms;
	http_server->limits.idle_ms = IDLE_MS;
	http_server->conns = g_hash_table_new(NULL, NULL);
	if (!bind_listener(http_server, address, err)) {
		g_hash_table_unref(http_server->conns);
		g_free(http_server);
		return NULL;
	}
	return http_server;
}

/*
 * Puts other limits in force. Connections that wait for a request follow the
 * new idle time from now on.
 */
void http_server_set_limits(struct http_server *http_server,
			    const struct http_server_limits *limits)
{
	bool idle_changed = http_server->limits.idle_ms != limits->idle_ms;
	GHashTableIter it;
	void *key;

	http_server->limits = *limits;
	if (!idle_changed)
		return;
	g_hash_table_iter_init(&it, http_server->conns);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct conn *c = key;

		if (c->phase == PHASE_HEAD && !c->in->len)
			arm(c, limits->idle_ms);
	}
}

/* Closes the listening socket; open connections go on. */
void http_server_stop_accepting(struct http_server *http_server)
{
	if (!http_server->accepting)
		return;
	http_server->accepting = false;
	uv_close((uv_handle_t *)&http_server->listener, NULL);
}

/*
 * From now on each connection closes after its answer; those without a request
 * close now. New connections are still accepted.
 */
void http_server_close_idle(struct http_server *http_server)
{
	g_autoptr(GList) conns = g_hash_table_get_keys(http_server->conns);

	http_server->closing = true;
	for (GList *l = conns; l; l = l->next) {
		struct conn *c = l->data;

		if (c->phase == PHASE_HEAD && !c->in->len)
			close_conn(c);
	}
}

/* Stops accepting as well. */
void http_server_shutdown(struct http_server *http_server)
{
	http_server_stop_accepting(http_server);
	http_server_close_idle(http_server);
}

/* Returns the number of requests that have no whole response yet. */
size_t http_server_open_requests(const struct http_server *http_server)
{
	return http_server->open_requests;
}

/* Returns the request's method. */
const char *http_server_method(const struct http_server_request *req)
{
	return req->method;
}

/* Returns the request's path with its query, as sent. */
const char *http_server_path(const struct http_server_request *req)
{
	return req->path;
}

/* Returns the request's body and its length; valid as long as the request. */
const char *http_server_body(const struct http_server_request *req, size_t *len)
{
	*len = req->body->len;
	return req->body->str;
}

/*
 * Returns a request header's value, or NULL if absent; valid as long as the
 * request.
 */
const char *http_server_header(struct http_server_request *req,
			       const char *name)
{
	return http_message_find(&req->fields, name);
}

/* Returns all header fields of the request. */
const struct http_message_fields *
http_server_fields(const struct http_server_request *req)
{
	return &req->fields;
}

/* Asks for cb when the request's memory ends, whoever ended it. */
void http_server_on_disconnect(struct http_server_request *req,
			       http_server_disconnect_cb cb, void *user)
{
	req->on_gone = cb;
	req->gone_user = user;
}

/* Adds a header to the response; before http_server_begin_response. */
void http_server_add_header(struct http_server_request *req, const char *name,
			    const char *value)
{
	if (!req->begun)
		g_string_append_printf(req->headers, "%s: %s\r\n", name, value);
}

static bool has_no_body(const struct http_server_request *r, int status)
{
	return r->is_head || status == 204 || status == 304;
}

/* Writes the response's head; length -1: not known beforehand. */
static void start(struct http_server_request *r, int status, gint64 length)
{
	struct conn *c = r->conn;
	GString *out = c->out;

	r->begun = true;
	g_string_append_printf(out, "HTTP/1.1 %d %s\r\n", status,
			       reason_of(status));
	g_string_append_len(out, r->headers->str, (gssize)r->headers->len);
	if (r->unframed) {
		r->keep_alive = false;
	} else if (length >= 0) {
		if (status != 204)
			g_string_append_printf(
				out, "Content-Length: %" G_GINT64_FORMAT "\r\n",
				length);
	} else if (r->http10) {
		r->keep_alive = false;
	} else if (!has_no_body(r, status)) {
		r->chunked = true;
		g_string_append(out, "Transfer-Encoding: chunked\r\n");
	}
	if (c->http_server->closing || !r->keep_alive)
		c->close_when_sent = true;
	if (c->close_when_sent)
		g_string_append(out, "Connection: close\r\n");
	else if (r->http10)
		g_string_append(out, "Connection: keep-alive\r\n");
	g_string_append(out, "\r\n");
}

/* Starts a streamed response with the headers added so far. */
void http_server_begin_response(struct http_server_request *req, int status)
{
	if (req->begun)
		return;
	start(req, status, -1);
	flush(req->conn);
}

/* Tells whether the response's head has been given. */
bool http_server_response_begun(const struct http_server_request *req)
{
	return req->begun;
}

/* Appends to a begun response; it leaves as soon as the client takes it. */
void http_server_write(struct http_server_request *req, const void *data,
		       size_t len)
{
	struct conn *c = req->conn;

	if (req->ended || !req->begun || !len)
		return;
	if (!req->is_head) {
		if (req->chunked)
			g_string_append_printf(c->out, "%zx\r\n", len);
		g_string_append_len(c->out, data, (gssize)len);
		if (req->chunked)
			g_string_append(c->out, "\r\n");
	}
	flush(c);
}

/* Ends a begun response, whole. */
void http_server_end_response(struct http_server_request *req)
{
	if (req->ended || !req->begun)
		return;
	req->ended = true;
	if (req->chunked)
		g_string_append(req->conn->out, "0\r\n\r\n");
	flush(req->conn);
}

/*
 * Breaks off a begun response, so that the client can tell that it is not
 * whole: the connection ends without the response's end.
 */
void http_server_abort(struct http_server_request *req)
{
	if (req->ended || !req->begun)
		return;
	req->ended = true;
	req->conn->close_when_sent = true;
	if (!req->chunked)
		g_string_truncate(req->conn->out, 0);
	flush(req->conn);
}

/*
 * The response gets no length: it ends with its connection, so that the client
 * knows as little of its end as we do.
 */
void http_server_send_unframed(struct http_server_request *req)
{
	req->unframed = true;
}

/* Returns how many bytes wait for the client to take them. */
size_t http_server_unsent_bytes(const struct http_server_request *req)
{
	const struct conn *c = req->conn;

	return c->out->len + (c->writing ? c->sending->len : 0);
}

/* Sends a whole response of the given content type. */
void http_server_reply(struct http_server_request *req, int status,
		       const char *type, const char *body, size_t len)
{
	if (req->begun)
		return;
	if (type)
		http_server_add_header(req, "Content-Type", type);
	start(req, status, (gint64)len);
	req->ended = true;
	if (!has_no_body(req, status))
		g_string_append_len(req->conn->out, body, (gssize)len);
	flush(req->conn);
}

/* Sends a whole JSON response. */
void http_server_reply_json(struct http_server_request *req, int status,
			    const char *json)
{
	http_server_reply(req, status, "application/json", json, strlen(json));
}
