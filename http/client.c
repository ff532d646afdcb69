#include "http/client.h"

#include <http_parser.h>
#include <stdlib.h>
#include <string.h>

#include "http/address.h"
#include "http/socket.h"

#define READ_BYTES 65536
#define IDLE_MS 15000
#define IDLE_SLACK_MS 300
#define USER_TIMEOUT_MS 3000
#define MAX_HEAD_FIELDS 128

struct conn;

/* Connections to one server. */
struct pool {
	char *name;
	struct http_client *http_client;
	GQueue idle; /* struct conn, the latest used first */
	uint32_t open; /* idle and in use */
	bool forgotten; /* frees itself with its last connection */
};

struct http_client {
	uv_loop_t *loop;
	GHashTable *pools; /* name -> struct pool */
	uint64_t connects;
	uint64_t crossed;
	char read_buffer[READ_BYTES];
};

struct conn {
	struct pool *pool;
	uv_tcp_t tcp;
	uv_timer_t timer; /* closes it when idle */
	unsigned int open_handles;
	uv_connect_t connect;
	uv_write_t write;
	http_parser parser;
	struct http_message_fields fields;
	struct http_client_call *call;
	char *sending; /* bytes of the request under way */
	uint64_t idle_since;
	uint64_t keep_ms;
	bool connected;
	bool writing;
	bool used_before;
	bool dropping; /* the answer under way is of another request */
	bool message_done;
	bool head_seen;
	bool closed;
	bool server_closes;
};

struct http_client_call {
	struct http_client *http_client;
	struct conn *conn;
	struct http_client_callbacks events;
	void *user;
	char *bytes; /* the request, until it is sent */
	size_t len;
	char *id_name;
	char *id_value;
	uint32_t first_ms;
	uint32_t progress_ms;
	uint64_t total_at; /* loop time, ms; 0: none */
	uv_timer_t timer;
	bool head_only;
	bool reused;
	bool sent;
	bool ended;
	enum http_client_outcome end;
};

/* Returns the name of how a call ended, for logs. */
const char *http_client_outcome_name(enum http_client_outcome end)
{
	static const char *const names[] = {"whole", "not-sent", "broken",
					    "silent", "cancelled"};

	return names[end];
}

/* Makes a client that runs on the loop. */
struct http_client *http_client_new(uv_loop_t *loop)
{
	struct http_client *http_client = g_new0(struct http_client, 1);

	http_client->loop = loop;
	http_client->pools = g_hash_table_new(g_str_hash, g_str_equal);
	return http_client;
}

/* Returns the loop's time, in ms. */
uint64_t http_client_now(const struct http_client *http_client)
{
	return uv_now(http_client->loop);
}

/* Returns the number of connections ever opened. */
uint64_t http_client_connect_count(const struct http_client *http_client)
{
	return http_client->connects;
}

/* Returns how many answers were dropped as another request's. */
uint64_t http_client_mismatch_count(const struct http_client *http_client)
{
	return http_client->crossed;
}

/* Changes the limit between two arrivals of bytes from the next one on. */
void http_client_set_progress_limit(struct http_client_call *call,
				    uint32_t progress_ms)
{
	call->progress_ms = progress_ms;
}

static struct pool *pool_of(struct http_client *http_client, const char *name)
{
	struct pool *p = g_hash_table_lookup(http_client->pools, name);

	if (p)
		return p;
	p = g_new0(struct pool, 1);
	p->name = g_strdup(name);
	p->http_client = http_client;
	g_queue_init(&p->idle);
	g_hash_table_insert(http_client->pools, p->name, p);
	return p;
}

static void free_pool_if_done(struct pool *p)
{
	if (!p->forgotten || p->open)
		return;
	g_free(p->name);
	g_free(p);
}

static void on_conn_closed(uv_handle_t *handle)
{
	struct conn *c = handle->data;

	if (--c->open_handles)
		return;
	http_message_fields_clear(&c->fields);
	g_free(c->sending);
	g_free(c);
}

static void close_conn(struct conn *c)
{
	struct pool *p = c->pool;

	if (c->closed)
		return;
	c->closed = true;
	if (c->call)
		c->call->conn = NULL;
	else
		g_queue_remove(&p->idle, c);
	c->call = NULL;
	uv_close((uv_handle_t *)&c->timer, on_conn_closed);
	uv_close((uv_handle_t *)&c->tcp, on_conn_closed);
	p->open--;
	free_pool_if_done(p);
}

static void close_idle(struct pool *p)
{
	struct conn *c;

	while ((c = g_queue_peek_head(&p->idle)))
		close_conn(c);
}

/* Closes the kept connections of a pool; calls under way go on. */
void http_client_close_idle_pool(struct http_client *http_client,
				 const char *pool)
{
	struct pool *p = g_hash_table_lookup(http_client->pools, pool);

	if (!p)
		return;
	g_hash_table_remove(http_client->pools, pool);
	p->open++;
	close_idle(p);
	p->open--;
	p->forgotten = true;
	free_pool_if_done(p);
}

/* Returns the number of open connections of a pool. */
uint32_t http_client_open_connections(const struct http_client *http_client,
				      const char *pool)
{
	const struct pool *p = g_hash_table_lookup(http_client->pools, pool);

	return p ? p->open : 0;
}

static void on_timer_closed(uv_handle_t *timer)
{
	struct http_client_call *call = timer->data;

	call->events.done(call->user, call->end);
	g_free(call->bytes);
	g_free(call->id_name);
	g_free(call->id_value);
	g_free(call);
}

/*
 * Marks the call's end. The owner hears of it from the loop, never from
 * within the call that it made itself.
 */
static void finish(struct http_client_call *call, enum http_client_outcome end)
{
	if (call->ended)
		return;
	call->ended = true;
	call->end = end;
	uv_close((uv_handle_t *)&call->timer, on_timer_closed);
}

/* Ends a connection and the call that it carries. */
static void fail_conn(struct conn *c, enum http_client_outcome end)
{
	struct http_client_call *call = c->call;

	close_conn(c);
	if (call)
		finish(call, call->sent ? end : HTTP_CLIENT_NOT_SENT);
}

static void on_limit(uv_timer_t *timer)
{
	struct http_client_call *call = timer->data;
	struct conn *c = call->conn;

	if (!c) {
		finish(call, HTTP_CLIENT_NOT_SENT);
		return;
	}
	/* What silenced one kept connection has most likely silenced all. */
	if (call->reused)
		close_idle(c->pool);
	fail_conn(c, HTTP_CLIENT_TIMED_OUT);
}

static void arm(struct http_client_call *call, uint64_t ms)
{
	uint64_t now = uv_now(call->http_client->loop);

	if (call->total_at) {
		uint64_t left = call->total_at > now ? call->total_at - now : 0;

		ms = MIN(ms, left);
	}
	uv_timer_start(&call->timer, on_limit, ms, 0);
}

static void on_idle_limit(uv_timer_t *timer)
{
	close_conn(timer->data);
}

static uint64_t keep_ms_of(const struct http_message_fields *fields)
{
	const char *value = http_message_find(fields, "keep-alive");
	const char *timeout = value ? strstr(value, "timeout=") : NULL;
	uint64_t ms;

	if (!timeout)
		return IDLE_MS;
	ms = g_ascii_strtoull(timeout + strlen("timeout="), NULL, 10) * 1000;
	return ms > 2 * IDLE_SLACK_MS ? MIN(ms - IDLE_SLACK_MS, IDLE_MS)
				      : ms / 2;
}

static void keep_conn(struct conn *c)
{
	c->call = NULL;
	c->idle_since = uv_now(c->pool->http_client->loop);
	g_queue_push_head(&c->pool->idle, c);
	uv_timer_start(&c->timer, on_idle_limit, c->keep_ms, 0);
}

/* The answer to the call is whole. `rest`: bytes that came after it. */
static void answer_done(struct conn *c, bool rest)
{
	struct http_client_call *call = c->call;
	bool keep = !rest && !c->writing && !c->server_closes &&
		    http_should_keep_alive(&c->parser) && !c->pool->forgotten;

	if (keep) {
		call->conn = NULL;
		c->used_before = true;
		keep_conn(c);
	} else {
		close_conn(c);
	}
	finish(call, HTTP_CLIENT_COMPLETE);
}

static void begin_answer(struct conn *c)
{
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	http_message_fields_reset(&c->fields);
	c->message_done = false;
	c->head_seen = false;
	c->dropping = false;
}

static int on_name(http_parser *p, const char *at, size_t len)
{
	struct conn *c = p->data;

	if (http_message_fields_count(&c->fields) > MAX_HEAD_FIELDS)
		return -1;
	if (!c->head_seen)
		http_message_fields_add_name(&c->fields, at, len);
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t len)
{
	struct conn *c = p->data;

	if (!c->head_seen)
		http_message_fields_add_value(&c->fields, at, len);
	return 0;
}

static bool is_of_another(const struct conn *c)
{
	const struct http_client_call *call = c->call;
	const char *id;

	if (!call->id_name)
		return false;
	id = http_message_find(&c->fields, call->id_name);
	return id && strcmp(id, call->id_value) != 0;
}

/* Tells whether the answer says where it ends (RFC 9112, 6.3). */
static bool is_framed(const http_parser *p)
{
	return (p->flags & F_CHUNKED) || p->content_length != UINT64_MAX ||
	       p->status_code == 204 || p->status_code == 304;
}

static void tell_head(struct conn *c)
{
	struct http_client_call *call = c->call;
	const struct http_message_fields *f = &c->fields;
	const char *retry_after = http_message_find(f, "retry-after");
	struct http_client_head head = {
		.status = (int)c->parser.status_code,
		.request_id = http_message_find(f, "x-request-id"),
		.etag = http_message_find(f, "etag"),
		.type = http_message_find(f, "content-type"),
		.retry_after_s = -1,
		.fields = f,
		.framed = is_framed(&c->parser),
		.reused = call->reused,
	};

	if (retry_after)
		head.retry_after_s = g_ascii_strtoll(retry_after, NULL, 10);
	call->events.head(call->user, &head);
}

static int on_headers(http_parser *p)
{
	struct conn *c = p->data;
	const char *connection;

	http_message_fields_finish(&c->fields);
	if (p->status_code < 200) {
		/* An interim response has neither body nor meaning here. */
		c->dropping = true;
		return 0;
	}
	c->head_seen = true;
	connection = http_message_find(&c->fields, "connection");
	c->server_closes =
		connection && !g_ascii_strcasecmp(connection, "close");
	c->keep_ms = keep_ms_of(&c->fields);
	if (is_of_another(c)) {
		c->dropping = true;
		c->pool->http_client->crossed++;
		return 0;
	}
	tell_head(c);
	if (!c->call || c->call->ended)
		return 0;
	return c->call->head_only ? 1 : 0;
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	struct conn *c = p->data;

	if (c->call && !c->call->ended && !c->dropping)
		c->call->events.data(c->call->user, at, len);
	return 0;
}

static int on_message(http_parser *p)
{
	struct conn *c = p->data;

	c->message_done = true;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings settings = {
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_message,
};

/* Takes bytes of answers; each may end one and begin the next. */
static void take_bytes(struct conn *c, const char *data, size_t n)
{
	while (n && c->call && !c->call->ended) {
		size_t used =
			http_parser_execute(&c->parser, &settings, data, n);
		enum http_errno e = HTTP_PARSER_ERRNO(&c->parser);

		if (!c->call || c->call->ended || c->closed)
			return;
		if (e == HPE_PAUSED && c->message_done) {
			http_parser_pause(&c->parser, 0);
			data += used;
			n -= used;
			if (c->dropping) {
				begin_answer(c);
				continue;
			}
			answer_done(c, n > 0);
			return;
		}
		if (e != HPE_OK || c->parser.upgrade) {
			fail_conn(c, HTTP_CLIENT_INTERRUPTED);
			return;
		}
		return;
	}
}

/* The server has closed its side in order. */
static void take_end(struct conn *c)
{
	struct http_client_call *call = c->call;

	if (!call) {
		close_conn(c);
		return;
	}
	if (c->head_seen && !c->dropping && !c->message_done &&
	    !is_framed(&c->parser) &&
	    http_parser_execute(&c->parser, &settings, NULL, 0) == 0 &&
	    c->message_done) {
		close_conn(c);
		finish(call, HTTP_CLIENT_COMPLETE);
		return;
	}
	fail_conn(c, HTTP_CLIENT_INTERRUPTED);
}

static void on_alloc(uv_handle_t *handle, size_t wanted, uv_buf_t *buf)
{
	struct conn *c = handle->data;

	(void)wanted;
	*buf = uv_buf_init(c->pool->http_client->read_buffer, READ_BYTES);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct conn *c = stream->data;

	if (!n || c->closed)
		return;
	if (n == UV_EOF && !socket_was_reset(&c->tcp)) {
		take_end(c);
	} else if (n < 0) {
		fail_conn(c, HTTP_CLIENT_INTERRUPTED);
	} else if (!c->call) {
		close_conn(c); /* belongs to no request */
	} else {
		take_bytes(c, buf->base, (size_t)n);
		if (c->call && !c->call->ended)
			arm(c->call, c->head_seen ? c->call->progress_ms
						  : c->call->first_ms);
	}
}

static void on_written(uv_write_t *write, int status)
{
	struct conn *c = write->data;

	c->writing = false;
	if (status != 0 && !c->closed)
		fail_conn(c, HTTP_CLIENT_INTERRUPTED);
}

static void send_request(struct conn *c)
{
	struct http_client_call *call = c->call;
	uv_buf_t buf;

	begin_answer(c);
	g_free(c->sending);
	c->sending = g_steal_pointer(&call->bytes);
	buf = uv_buf_init(c->sending, (unsigned int)call->len);
	c->write.data = c;
	c->writing = true;
	call->sent = true;
	arm(call, call->first_ms);
	if (uv_write(&c->write, (uv_stream_t *)&c->tcp, &buf, 1, on_written)) {
		c->writing = false;
		fail_conn(c, HTTP_CLIENT_INTERRUPTED);
	}
}

static void on_connect(uv_connect_t *req, int status)
{
	struct conn *c = req->data;

	if (c->closed)
		return;
	if (status != 0 || !c->call || c->call->ended) {
		fail_conn(c, HTTP_CLIENT_NOT_SENT);
		return;
	}
	c->connected = true;
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
	send_request(c);
}

static void open_conn(struct http_client_call *call, struct pool *p,
		      const struct sockaddr_in *sa)
{
	struct conn *c = g_new0(struct conn, 1);

	c->pool = p;
	c->call = call;
	call->conn = c;
	http_message_fields_init(&c->fields);
	c->open_handles = 2;
	c->tcp.data = c;
	c->timer.data = c;
	c->connect.data = c;
	p->open++;
	p->http_client->connects++;
	uv_tcp_init_ex(p->http_client->loop, &c->tcp, AF_INET);
	uv_timer_init(p->http_client->loop, &c->timer);
	socket_set_options(&c->tcp, USER_TIMEOUT_MS);
	if (uv_tcp_connect(&c->connect, &c->tcp, (const struct sockaddr *)sa,
			   on_connect))
		fail_conn(c, HTTP_CLIENT_NOT_SENT);
}

static struct conn *take_idle(struct pool *p, uint32_t max_idle_ms)
{
	struct conn *c = g_queue_peek_head(&p->idle);
	uint64_t now = uv_now(p->http_client->loop);

	if (!c || (max_idle_ms && now - c->idle_since > max_idle_ms))
		return NULL;
	g_queue_pop_head(&p->idle);
	uv_timer_stop(&c->timer);
	return c;
}

static void build_request(struct http_client_call *call,
			  const struct http_client_request *req)
{
	GString *s = g_string_sized_new(512 + req->len);

	g_string_append_printf(s, "%s %s HTTP/1.1\r\n", req->method, req->path);
	if (!req->has_host_header)
		g_string_append_printf(s, "host: %s\r\n", req->address);
	if (!req->omit_content_length)
		g_string_append_printf(s, "content-length: %zu\r\n", req->len);
	if (req->fresh)
		g_string_append(s, "connection: close\r\n");
	if (req->headers)
		g_string_append(s, req->headers);
	g_string_append(s, "\r\n");
	if (req->len)
		g_string_append_len(s, req->body, (gssize)req->len);
	call->len = s->len;
	call->bytes = g_string_free(s, FALSE);
}

static void connect_call(struct http_client_call *call,
			 const struct http_client_request *req,
			 const struct sockaddr_in *sa)
{
	struct pool *p = pool_of(call->http_client,
				 req->pool ? req->pool : req->address);
	struct conn *c = req->fresh ? NULL : take_idle(p, req->max_idle_ms);

	if (!c) {
		open_conn(call, p, sa);
		return;
	}
	c->call = call;
	call->conn = c;
	call->reused = true;
	send_request(c);
}

/*
 * Starts a call. The events come from the loop; done comes once and last, and
 * the call is gone after it. An address that cannot be parsed ends as
 * HTTP_CLIENT_NOT_SENT.
 */
struct http_client_call *
http_client_start(struct http_client *http_client,
		  const struct http_client_request *request,
		  const struct http_client_callbacks *events, void *user)
{
	struct http_client_call *call = g_new0(struct http_client_call, 1);
	struct sockaddr_in sa;

	call->http_client = http_client;
	call->events = *events;
	call->user = user;
	call->progress_ms = request->progress_ms;
	call->first_ms =
		request->first_ms ? request->first_ms : request->progress_ms;
	call->id_name = g_strdup(request->id_name);
	call->id_value = g_strdup(request->id_value);
	if (request->total_ms)
		call->total_at = uv_now(http_client->loop) + request->total_ms;
	call->head_only = !strcmp(request->method, "HEAD");
	uv_timer_init(http_client->loop, &call->timer);
	call->timer.data = call;
	build_request(call, request);
	if (!address_parse(request->address, &sa, NULL)) {
		finish(call, HTTP_CLIENT_NOT_SENT);
		return call;
	}
	arm(call, request->connect_ms);
	connect_call(call, request, &sa);
	return call;
}

/* Gives up a call; done comes with HTTP_CLIENT_CANCELLED unless it has ended. */
void http_client_cancel(struct http_client_call *call)
{
	if (call->ended)
		return;
	if (call->conn)
		close_conn(call->conn);
	finish(call, HTTP_CLIENT_CANCELLED);
}
