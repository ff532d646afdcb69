#include "http/client.h"

#include <http_parser.h>
#include <stdlib.h>
#include <string.h>

#include "http/address.h"
#include "http/socket.h"

#define READ_BUFFER_BYTES 65536
/* How long a connection may stay idle; a Keep-Alive header may shorten it. */
#define MAX_IDLE_MS 15000
/*
 * How long before the server's own keep-alive timeout an idle connection is
 * closed: a request that crosses the server's close would be interrupted.
 */
#define IDLE_MARGIN_MS 300
/* TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged. */
#define USER_TIMEOUT_MS 3000
#define MAX_HEAD_FIELDS 128
#define REQUEST_ID_HEADER "x-request-id"
/* Bytes of interim responses, and of those to other requests, before the head. */
#define MAX_BYTES_BEFORE_HEAD (1024 * 1024)
#define MIN_STATUS 100
#define MIN_FINAL_STATUS 200
#define MAX_STATUS 599
/*
 * Between two looks at how much of a request its server has yet to acknowledge, once
 * it has closed its side.
 */
#define UPLOAD_CHECK_MS 5

struct conn;

static void on_alloc(uv_handle_t *handle, size_t wanted, uv_buf_t *buf);
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);

/* The connections that share a pool name, usually those to one address. */
struct pool {
	char *name;
	struct http_client *http_client;
	GQueue idle; /* struct conn, most recently used first */
	uint32_t open; /* number of connections, idle and in use */
	bool detached; /* not in the table; freed with its last connection */
};

struct http_client {
	uv_loop_t *loop;
	GHashTable *pools; /* name -> struct pool */
	struct memory_account *memory; /* NULL: requests are not counted */
	uint64_t connect_count; /* connection attempts */
	uint64_t mismatch_count; /* responses that belonged to other requests */
	char read_buffer[READ_BUFFER_BYTES];
};

struct conn {
	struct pool *pool;
	struct http_client *http_client;
	uv_tcp_t tcp;
	uv_timer_t timer; /* closes the connection when idle */
	unsigned int open_handles; /* of tcp and timer; freed at 0 */
	uv_connect_t connect;
	uv_write_t write;
	http_parser parser;
	struct http_message_fields fields;
	struct http_client_call *call; /* NULL: idle */
	char *request_bytes; /* of the call; kept until they are written */
	size_t request_len;
	uint64_t idle_since_ms; /* loop time */
	uint64_t keep_alive_ms; /* how long it may stay idle */
	bool connected;
	bool writing;
	bool used_before;
	bool discarding; /* the current response is not for this call */
	bool message_done;
	bool head_seen; /* of the final response, not of an interim one */
	bool closed;
	bool server_closes; /* the response has "Connection: close" */
	bool identified; /* the response names its request */
};

struct http_client_call {
	struct http_client *http_client;
	struct conn *conn;
	struct http_client_callbacks callbacks;
	void *user;
	char *request; /* head and body; the connection owns them once sent */
	size_t request_len;
	char *correlation_header;
	char *correlation_value;
	uint32_t head_ms;
	uint32_t progress_ms;
	bool extended_by_caller; /* see http_client_extend_by_caller() */
	bool body_timed; /* the timer was armed after the response's head */
	uint64_t deadline_ms; /* loop time; 0: none */
	uv_timer_t timer;
	bool head_only; /* HEAD: the response has no body */
	bool reused; /* runs on a connection that was idle */
	bool sent; /* the request may have reached the server */
	bool paused; /* nothing is read; see http_client_pause() */
	size_t bytes_before_head;
	bool ended;
	enum http_client_outcome outcome;
	enum http_client_close close; /* of the connection, by the server */
};

/* Returns the outcome's name as it appears in logs; a static string. */
const char *http_client_outcome_name(enum http_client_outcome outcome)
{
	static const char *const names[] = {"whole", "not-sent", "broken",
					    "silent", "cancelled"};

	return names[outcome];
}

/* Returns the name of a framing as it appears in logs; a static string. */
const char *http_client_framing_name(enum http_client_framing framing)
{
	static const char *const names[] = {"-", "length", "chunks", "close"};

	return names[framing];
}

/* Returns the name of a connection's end as logs show it; a static string. */
const char *http_client_close_name(enum http_client_close close)
{
	static const char *const names[] = {"no", "fin", "reset"};

	return names[close];
}

/* Returns how the server has closed the call's connection; for `done`. */
enum http_client_close
http_client_closed_by_server(const struct http_client_call *call)
{
	return call->close;
}

/* Returns a new client that runs on the loop. It is never freed. */
struct http_client *http_client_new(uv_loop_t *loop)
{
	struct http_client *http_client = g_new0(struct http_client, 1);

	http_client->loop = loop;
	http_client->pools = g_hash_table_new(g_str_hash, g_str_equal);
	return http_client;
}

/* Counts the copies of requests that are being sent in the account. */
void http_client_set_memory(struct http_client *http_client,
			    struct memory_account *memory)
{
	http_client->memory = memory;
}

/* Returns the loop's monotonic time in ms, from an arbitrary start. */
uint64_t http_client_now(const struct http_client *http_client)
{
	return uv_now(http_client->loop);
}

/* Returns the number of connection attempts since the client was created. */
uint64_t http_client_connect_count(const struct http_client *http_client)
{
	return http_client->connect_count;
}

/*
 * Returns how many responses were discarded because their correlation header
 * belonged to another request.
 */
uint64_t http_client_mismatch_count(const struct http_client *http_client)
{
	return http_client->mismatch_count;
}

/*
 * Sets the call's limit between two arrivals of bytes. It takes effect with the
 * next arrival; a timer that runs already keeps its time.
 */
void http_client_set_progress_limit(struct http_client_call *call,
				    uint32_t progress_ms)
{
	call->progress_ms = progress_ms;
}

/*
 * Makes only http_client_extend() extend the call's limit once the response's
 * head has arrived: bytes alone do not show that the response makes progress.
 */
void http_client_extend_by_caller(struct http_client_call *call)
{
	call->extended_by_caller = true;
}

static struct pool *get_pool(struct http_client *http_client, const char *name)
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

static void free_pool_if_unused(struct pool *p)
{
	if (!p->detached || p->open)
		return;
	g_free(p->name);
	g_free(p);
}

/* Frees the copy of a request, which may be NULL. */
static void release_request(struct http_client *http_client, char *bytes,
			    size_t len)
{
	if (bytes && http_client->memory)
		memory_discharge(http_client->memory, len);
	g_free(bytes);
}

static void on_conn_closed(uv_handle_t *handle)
{
	struct conn *c = handle->data;

	if (--c->open_handles)
		return;
	http_message_fields_clear(&c->fields);
	release_request(c->http_client, c->request_bytes, c->request_len);
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
	free_pool_if_unused(p);
}

static void close_idle(struct pool *p)
{
	struct conn *c;

	while ((c = g_queue_peek_head(&p->idle)))
		close_conn(c);
}

/*
 * Closes the idle connections of a pool. Calls in flight continue, and their
 * connections close after them. A pool that does not exist is ignored.
 */
void http_client_close_idle_pool(struct http_client *http_client,
				 const char *pool)
{
	struct pool *p = g_hash_table_lookup(http_client->pools, pool);

	if (!p)
		return;
	g_hash_table_remove(http_client->pools, pool);
	p->open++; /* keeps the pool alive while its connections close */
	close_idle(p);
	p->open--;
	p->detached = true;
	free_pool_if_unused(p);
}

/*
 * Returns how many connections of a pool are open, idle and in use. Those that
 * were in use when http_client_close_idle_pool() ran are not counted.
 */
uint32_t http_client_open_connections(const struct http_client *http_client,
				      const char *pool)
{
	const struct pool *p = g_hash_table_lookup(http_client->pools, pool);

	return p ? p->open : 0;
}

static void on_call_closed(uv_handle_t *timer)
{
	struct http_client_call *call = timer->data;

	call->callbacks.done(call->user, call->outcome);
	release_request(call->http_client, call->request, call->request_len);
	g_free(call->correlation_header);
	g_free(call->correlation_value);
	g_free(call);
}

/*
 * Ends a call. Its done callback runs later from the loop, never from within a
 * function of this module that the owner has called.
 */
static void end_call(struct http_client_call *call,
		     enum http_client_outcome outcome)
{
	if (call->ended)
		return;
	call->ended = true;
	call->outcome = outcome;
	uv_close((uv_handle_t *)&call->timer, on_call_closed);
}

/*
 * Closes a connection and ends its call: with the given outcome, or as not sent
 * if the request had not been passed to the socket.
 */
static void fail_conn(struct conn *c, enum http_client_outcome outcome)
{
	struct http_client_call *call = c->call;

	close_conn(c);
	if (call)
		end_call(call, call->sent ? outcome : HTTP_CLIENT_NOT_SENT);
}

static void on_timeout(uv_timer_t *timer)
{
	struct http_client_call *call = timer->data;
	struct conn *c = call->conn;

	if (!c) {
		end_call(call, HTTP_CLIENT_NOT_SENT);
		return;
	}
	/*
	 * A fault that silenced a reused connection most likely affects the
	 * pool's idle connections too.
	 */
	if (call->reused && !call->paused)
		close_idle(c->pool);
	fail_conn(c, HTTP_CLIENT_TIMED_OUT);
}

/*
 * Starts the call's timer: `ms` from now, or earlier at the deadline. A paused
 * call has its deadline only.
 */
static void arm_timer(struct http_client_call *call, uint64_t ms)
{
	uint64_t now = uv_now(call->http_client->loop);

	if (call->paused && !call->deadline_ms) {
		uv_timer_stop(&call->timer);
		return;
	}
	if (call->paused)
		ms = UINT64_MAX;
	if (call->deadline_ms) {
		uint64_t left =
			call->deadline_ms > now ? call->deadline_ms - now : 0;

		ms = MIN(ms, left);
	}
	uv_timer_start(&call->timer, on_timeout, ms, 0);
}

/* Starts the call's limit between two arrivals anew. */
void http_client_extend(struct http_client_call *call)
{
	if (!call->ended)
		arm_timer(call, call->progress_ms);
}

/*
 * Stops reading the response: its receiver has no room for more. What has been
 * read already may still be passed on. Silence does not end the call meanwhile,
 * its total limit does.
 */
void http_client_pause(struct http_client_call *call)
{
	if (call->ended || call->paused || !call->conn)
		return;
	call->paused = true;
	uv_read_stop((uv_stream_t *)&call->conn->tcp);
	arm_timer(call, call->progress_ms);
}

/* Reads on after http_client_pause(). */
void http_client_resume(struct http_client_call *call)
{
	if (call->ended || !call->paused)
		return;
	call->paused = false;
	uv_read_start((uv_stream_t *)&call->conn->tcp, on_alloc, on_read);
	arm_timer(call, call->progress_ms);
}

/* Returns whether the call is paused. */
bool http_client_is_paused(const struct http_client_call *call)
{
	return call->paused;
}

static void on_idle_timeout(uv_timer_t *timer)
{
	close_conn(timer->data);
}

/*
 * Returns how long, in ms, the connection may stay idle after a response with
 * these header fields (Keep-Alive: timeout=SECONDS).
 */
static uint64_t keep_alive_timeout(const struct http_message_fields *fields)
{
	const char *value = http_message_find(fields, "keep-alive");
	const char *timeout = value ? strstr(value, "timeout=") : NULL;
	uint64_t ms;

	if (!timeout)
		return MAX_IDLE_MS;
	ms = g_ascii_strtoull(timeout + strlen("timeout="), NULL, 10) * 1000;
	return ms > 2 * IDLE_MARGIN_MS ? MIN(ms - IDLE_MARGIN_MS, MAX_IDLE_MS)
				       : ms / 2;
}

static void return_to_pool(struct conn *c)
{
	c->call = NULL;
	c->idle_since_ms = uv_now(c->pool->http_client->loop);
	g_queue_push_head(&c->pool->idle, c);
	uv_timer_start(&c->timer, on_idle_timeout, c->keep_alive_ms, 0);
}

/*
 * Ends the call after its complete response and keeps the connection if it can
 * be reused. Bytes after the response (`trailing`) belong to no request, so
 * that the connection must close; so must one whose responses do not name their
 * requests, since a late copy of one would be taken for the next.
 */
static void complete_response(struct conn *c, bool trailing)
{
	struct http_client_call *call = c->call;
	bool keep = !trailing && !c->writing && !c->server_closes &&
		    c->identified && http_should_keep_alive(&c->parser) &&
		    !c->pool->detached;

	if (keep) {
		http_client_resume(call);
		call->conn = NULL;
		c->used_before = true;
		return_to_pool(c);
	} else {
		close_conn(c);
	}
	end_call(call, HTTP_CLIENT_COMPLETE);
}

static void reset_parser(struct conn *c)
{
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	http_message_fields_reset(&c->fields);
	c->message_done = false;
	c->head_seen = false;
	c->discarding = false;
}

static int on_header_name(http_parser *p, const char *at, size_t len)
{
	struct conn *c = p->data;

	if (http_message_fields_count(&c->fields) > MAX_HEAD_FIELDS)
		return -1;
	if (!c->head_seen)
		http_message_fields_add_name(&c->fields, at, len);
	return 0;
}

static int on_header_value(http_parser *p, const char *at, size_t len)
{
	struct conn *c = p->data;

	if (!c->head_seen)
		http_message_fields_add_value(&c->fields, at, len);
	return 0;
}

/* Returns whether the response says which request it belongs to. */
static bool names_request(const struct conn *c)
{
	const char *header = c->call->correlation_header;

	return http_message_find(&c->fields,
				 header ? header : REQUEST_ID_HEADER) != NULL;
}

/* Returns whether the response's correlation header names another request. */
static bool is_mismatched(const struct conn *c)
{
	const struct http_client_call *call = c->call;
	const char *id;

	if (!call->correlation_header)
		return false;
	id = http_message_find(&c->fields, call->correlation_header);
	return id && strcmp(id, call->correlation_value) != 0;
}

/* Returns whether a response has no body, whatever length it states. */
static bool has_no_body(const http_parser *p)
{
	return p->status_code == 204 || p->status_code == 304;
}

/* Returns how the response states where it ends (RFC 9112, 6.3). */
static enum http_client_framing framing_of(const http_parser *p)
{
	if (p->flags & F_CHUNKED)
		return HTTP_CLIENT_FRAMING_CHUNKS;
	if (p->content_length != UINT64_MAX || has_no_body(p))
		return HTTP_CLIENT_FRAMING_LENGTH;
	return HTTP_CLIENT_FRAMING_CLOSE;
}

static void report_head(struct conn *c)
{
	struct http_client_call *call = c->call;
	const struct http_message_fields *f = &c->fields;
	const char *retry_after = http_message_find(f, "retry-after");
	struct http_client_head head = {
		.status = (int)c->parser.status_code,
		.request_id = http_message_find(f, REQUEST_ID_HEADER),
		.etag = http_message_find(f, "etag"),
		.type = http_message_find(f, "content-type"),
		.retry_after_s = -1,
		.fields = f,
		.framing = framing_of(&c->parser),
		.reused = call->reused,
	};

	if (retry_after)
		head.retry_after_s = g_ascii_strtoll(retry_after, NULL, 10);
	call->callbacks.head(call->user, &head);
}

static int on_headers_complete(http_parser *p)
{
	struct conn *c = p->data;
	const char *connection;

	http_message_fields_finish(&c->fields);
	if (p->status_code < MIN_STATUS || p->status_code > MAX_STATUS)
		return -1;
	if (p->status_code < MIN_FINAL_STATUS) {
		/* An interim response has no body and is ignored. */
		c->discarding = true;
		return 0;
	}
	c->head_seen = true;
	connection = http_message_find(&c->fields, "connection");
	c->server_closes =
		connection && !g_ascii_strcasecmp(connection, "close");
	c->keep_alive_ms = keep_alive_timeout(&c->fields);
	c->identified = names_request(c);
	if (is_mismatched(c)) {
		c->discarding = true;
		c->pool->http_client->mismatch_count++;
		return 0;
	}
	report_head(c);
	if (!c->call || c->call->ended)
		return 0;
	return c->call->head_only || has_no_body(p) ? 1 : 0;
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	struct conn *c = p->data;

	if (c->call && !c->call->ended && !c->discarding)
		c->call->callbacks.data(c->call->user, at, len);
	return 0;
}

static int on_message_complete(http_parser *p)
{
	struct conn *c = p->data;

	c->message_done = true;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_header_field = on_header_name,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

/*
 * Parses received bytes. They may end a response that is discarded and begin
 * the one that the call waits for.
 */
static void parse_responses(struct conn *c, const char *data, size_t n)
{
	while (n && c->call && !c->call->ended) {
		size_t used = http_parser_execute(&c->parser, &parser_settings,
						  data, n);
		enum http_errno error = HTTP_PARSER_ERRNO(&c->parser);

		if (!c->call || c->call->ended || c->closed)
			return;
		if (error == HPE_PAUSED && c->message_done) {
			http_parser_pause(&c->parser, 0);
			data += used;
			n -= used;
			if (c->discarding) {
				reset_parser(c);
				continue;
			}
			complete_response(c, n > 0);
			return;
		}
		if (error != HPE_OK || c->parser.upgrade) {
			fail_conn(c, HTTP_CLIENT_INTERRUPTED);
			return;
		}
		return;
	}
}

static void handle_eof(struct conn *c);

/* Returns whether bytes of the request may not have reached the server yet. */
static bool is_uploading(const struct conn *c)
{
	return c->writing || socket_unacknowledged(&c->tcp) > 0;
}

static void on_upload_check(uv_timer_t *timer)
{
	struct conn *c = timer->data;

	if (socket_was_reset(&c->tcp)) {
		c->call->close = HTTP_CLIENT_CLOSE_RESET;
		fail_conn(c, HTTP_CLIENT_INTERRUPTED);
	} else if (!is_uploading(c)) {
		handle_eof(c);
	}
}

/*
 * Handles an orderly close by the server, which completes a response that
 * states no length. Any other response under way is interrupted. A server that
 * closes before it has read the request resets the connection a moment later,
 * and its response may be cut short, so that the request's end is awaited.
 */
static void handle_eof(struct conn *c)
{
	struct http_client_call *call = c->call;
	bool ends_by_close;

	if (!call) {
		close_conn(c);
		return;
	}
	ends_by_close = c->head_seen && !c->discarding && !c->message_done &&
			framing_of(&c->parser) == HTTP_CLIENT_FRAMING_CLOSE;
	if (ends_by_close && is_uploading(c)) {
		uv_timer_start(&c->timer, on_upload_check, UPLOAD_CHECK_MS,
			       UPLOAD_CHECK_MS);
		return;
	}
	if (ends_by_close &&
	    http_parser_execute(&c->parser, &parser_settings, NULL, 0) == 0 &&
	    c->message_done) {
		close_conn(c);
		end_call(call, HTTP_CLIENT_COMPLETE);
		return;
	}
	fail_conn(c, HTTP_CLIENT_INTERRUPTED);
}

static void on_alloc(uv_handle_t *handle, size_t wanted, uv_buf_t *buf)
{
	struct conn *c = handle->data;

	(void)wanted;
	*buf = uv_buf_init(c->pool->http_client->read_buffer,
			   READ_BUFFER_BYTES);
}

/*
 * Extends the time limit of a call whose response arrives. Nothing that comes
 * before the response's head does so.
 */
static void continue_call(struct conn *c, size_t received)
{
	struct http_client_call *call = c->call;

	if (c->head_seen && !c->discarding) {
		if (!call->extended_by_caller || !call->body_timed)
			arm_timer(call, call->progress_ms);
		call->body_timed = true;
		return;
	}
	call->bytes_before_head += received;
	if (call->bytes_before_head > MAX_BYTES_BEFORE_HEAD)
		fail_conn(c, HTTP_CLIENT_INTERRUPTED);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct conn *c = stream->data;

	if (!n || c->closed)
		return;
	if (n < 0) {
		bool reset = n != UV_EOF || socket_was_reset(&c->tcp);

		if (c->call)
			c->call->close = reset ? HTTP_CLIENT_CLOSE_RESET
					       : HTTP_CLIENT_CLOSE_FIN;
		if (reset)
			fail_conn(c, HTTP_CLIENT_INTERRUPTED);
		else
			handle_eof(c);
	} else if (!c->call) {
		close_conn(c); /* bytes on an idle connection: no request's */
	} else {
		parse_responses(c, buf->base, (size_t)n);
		if (c->call && !c->call->ended)
			continue_call(c, (size_t)n);
	}
}

static void on_written(uv_write_t *write, int status)
{
	struct conn *c = write->data;

	c->writing = false;
	release_request(c->http_client, c->request_bytes, c->request_len);
	c->request_bytes = NULL;
	if (status != 0 && !c->closed)
		fail_conn(c, HTTP_CLIENT_INTERRUPTED);
}

static void send_request(struct conn *c)
{
	struct http_client_call *call = c->call;
	uv_buf_t buf;

	reset_parser(c);
	release_request(c->http_client, c->request_bytes, c->request_len);
	c->request_bytes = g_steal_pointer(&call->request);
	c->request_len = call->request_len;
	buf = uv_buf_init(c->request_bytes, (unsigned int)call->request_len);
	c->write.data = c;
	c->writing = true;
	call->sent = true;
	arm_timer(call, call->head_ms);
	if (uv_write(&c->write, (uv_stream_t *)&c->tcp, &buf, 1, on_written)) {
		c->writing = false;
		fail_conn(c, HTTP_CLIENT_INTERRUPTED);
	}
}

/*
 * Returns whether the call's timer is due. After a pause of the process, what
 * happened to its sockets meanwhile is handled before its timers.
 */
static bool is_overdue(const struct http_client_call *call)
{
	return uv_timer_get_due_in(&call->timer) == 0;
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
	if (is_overdue(c->call)) {
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
	c->http_client = p->http_client;
	c->call = call;
	call->conn = c;
	http_message_fields_init(&c->fields);
	c->open_handles = 2;
	c->tcp.data = c;
	c->timer.data = c;
	c->connect.data = c;
	p->open++;
	p->http_client->connect_count++;
	uv_timer_init(p->http_client->loop, &c->timer);
	if (uv_tcp_init_ex(p->http_client->loop, &c->tcp, AF_INET) != 0) {
		/* It is no handle of the loop then, and could not be closed. */
		uv_tcp_init(p->http_client->loop, &c->tcp);
		fail_conn(c, HTTP_CLIENT_NOT_SENT);
		return;
	}
	socket_set_options(&c->tcp, USER_TIMEOUT_MS);
	if (uv_tcp_connect(&c->connect, &c->tcp, (const struct sockaddr *)sa,
			   on_connect))
		fail_conn(c, HTTP_CLIENT_NOT_SENT);
}

/*
 * Takes the most recently used idle connection. Returns NULL if there is none
 * or it has been idle for longer than max_idle_ms (0: no limit).
 */
static struct conn *pop_idle(struct pool *p, uint32_t max_idle_ms)
{
	struct conn *c;
	uint64_t now = uv_now(p->http_client->loop);

	/* Its end, or bytes of no request, may not have been read yet. */
	while ((c = g_queue_peek_head(&p->idle)) && socket_has_input(&c->tcp))
		close_conn(c);
	if (!c || (max_idle_ms && now - c->idle_since_ms > max_idle_ms))
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
	if (req->new_connection)
		g_string_append(s, "connection: close\r\n");
	if (req->headers)
		g_string_append(s, req->headers);
	g_string_append(s, "\r\n");
	if (req->len)
		g_string_append_len(s, req->body, (gssize)req->len);
	call->request_len = s->len;
	call->request = g_string_free(s, FALSE);
	if (call->http_client->memory)
		memory_charge(call->http_client->memory, call->request_len);
}

static void connect_call(struct http_client_call *call,
			 const struct http_client_request *req,
			 const struct sockaddr_in *sa)
{
	struct pool *p = get_pool(call->http_client,
				  req->pool ? req->pool : req->address);
	struct conn *c =
		req->new_connection ? NULL : pop_idle(p, req->max_idle_ms);

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
 * Starts a call and returns its handle; the request is copied. The callbacks
 * run from the loop. done runs exactly once, as the last, and the handle is
 * freed after it. An address that cannot be parsed ends the call with
 * HTTP_CLIENT_NOT_SENT.
 */
struct http_client_call *
http_client_start(struct http_client *http_client,
		  const struct http_client_request *request,
		  const struct http_client_callbacks *callbacks, void *user)
{
	struct http_client_call *call = g_new0(struct http_client_call, 1);
	struct sockaddr_in sa;

	call->http_client = http_client;
	call->callbacks = *callbacks;
	call->user = user;
	call->progress_ms = request->progress_ms;
	call->head_ms =
		request->head_ms ? request->head_ms : request->progress_ms;
	call->correlation_header = g_strdup(request->correlation_header);
	call->correlation_value = g_strdup(request->correlation_value);
	if (request->total_ms)
		call->deadline_ms =
			uv_now(http_client->loop) + request->total_ms;
	call->head_only = !strcmp(request->method, "HEAD");
	uv_timer_init(http_client->loop, &call->timer);
	call->timer.data = call;
	build_request(call, request);
	if (!address_parse(request->address, &sa, NULL)) {
		end_call(call, HTTP_CLIENT_NOT_SENT);
		return call;
	}
	arm_timer(call, request->connect_ms);
	connect_call(call, request, &sa);
	return call;
}

/*
 * Cancels a call and closes its connection. done still runs from the loop, with
 * HTTP_CLIENT_CANCELLED unless the call had ended before.
 */
void http_client_cancel(struct http_client_call *call)
{
	if (call->ended)
		return;
	if (call->conn)
		close_conn(call->conn);
	end_call(call, HTTP_CLIENT_CANCELLED);
}
