#include "http/server.h"

#include <http_parser.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "http/address.h"
#include "http/socket.h"

#define LISTEN_BACKLOG 1024
#define READ_BUFFER_BYTES 65536
#define DEFAULT_MAX_HEAD_BYTES 65536
#define DEFAULT_IDLE_MS 60000
/* TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged. */
#define USER_TIMEOUT_MS 8000
/* Reading stops when more than this waits behind the current request. */
#define MAX_PIPELINED_BYTES (256 * 1024)
/* How often a client that is not read from is checked for having left. */
#define CLIENT_CHECK_MS 200
/* How long a connection reads on after its last response; see linger(). */
#define LINGER_MS 300
/*
 * The same after a request was refused, or requests sent ahead were dropped, for want
 * of memory: a client may write its whole body before it reads, 4 MiB at 10 Mbit/s.
 */
#define LINGER_SENDING_MS 4000
/* A connection that is to be closed and on which more arrives is closed at once. */
#define MAX_DISCARDED_BYTES ((size_t)8 * 1024 * 1024)
/*
 * A connection that waits for its client to take MIN_TAKEN_BYTES of a response
 * for so long is closed.
 */
#define TAKE_MS 8000
#define MIN_TAKEN_BYTES 1024
/* Most that is passed to the kernel at once, before it is counted. */
#define MAX_WRITE_BYTES ((size_t)64 * 1024)
/* How often a connection that may not write yet tries again. */
#define SEND_RETRY_MS 20
/* How often a connection is checked that closes once its client has taken all. */
#define TAKEN_CHECK_MS 200
/* Buffers with more are freed when they are empty; smaller ones are reused. */
#define KEPT_BUFFER_BYTES 1024
/* A body's buffer grows by this or a quarter, whichever is more. */
#define MIN_BODY_STEP_BYTES ((size_t)16 * 1024)
/* Unsent bytes at which the owner may write on; see http_server_on_drain(). */
#define DRAINED_BYTES (HTTP_SERVER_BACKLOG_BYTES / 2)
/* About what an open connection takes without its buffers. */
#define CONN_BYTES 1024
/* Idle connections that are looked at for one without a request in its socket. */
#define MAX_IDLE_CHECKED 16
/* Connections beyond the limit that are told so; more are closed at once. */
#define MAX_TURNED_AWAY 16
/* Retry-After of refusals for want of room, spread over this range. */
#define RETRY_AFTER_MS 500
#define RETRY_AFTER_SPREAD_MS 1000
/* A client that has connected is expected to send its first request so soon. */
#define FIRST_REQUEST_MS 500

struct conn;

struct http_server {
	uv_loop_t *loop;
	uv_tcp_t listener;
	struct http_server_limits limits;
	http_server_request_cb request_cb;
	void *user;
	GHashTable *conns; /* set of struct conn */
	struct memory_account *memory; /* NULL: nothing is counted */
	enum http_server_role role;
	http_server_evict_cb evict_cb;
	/* Connections that may be closed for others, longest idle first. */
	GQueue idle;
	uint32_t turned_away; /* open connections beyond the limit */
	size_t open_requests;
	bool accepting;
	bool closing; /* each connection closes after its current response */
	char read_buffer[READ_BUFFER_BYTES];
};

/* A body that grows by steps, so that little more is held than has arrived. */
struct body {
	char *data; /* with a null byte after it */
	size_t len;
	size_t size; /* allocated */
};

/*
 * One request. It is freed once its response has been written or its connection
 * has closed. Functions that write do nothing after the response has ended.
 */
struct http_server_request {
	struct http_server *http_server;
	struct conn *conn;
	char *method;
	char *path;
	struct http_message_fields fields;
	struct body body;
	size_t declared_bytes; /* of the body; 0: unknown */
	size_t fields_bytes; /* that its head takes */
	GString *headers; /* of the response; complete lines */
	bool is_head; /* the method is HEAD */
	bool http10; /* HTTP/1.0 */
	bool keep_alive; /* the connection may serve another request */
	bool begun; /* the response's head has been written */
	enum http_server_framing framing; /* of the response */
	bool ended; /* the owner has ended or aborted the response */
	http_server_disconnect_cb disconnect_cb;
	void *disconnect_user;
	http_server_drain_cb drain_cb;
	void *drain_user;
};

enum phase {
	PHASE_HEAD, /* idle, or reading the head of a request */
	PHASE_BODY, /* reading the body */
	PHASE_RESPONSE, /* responding; further input is buffered */
	PHASE_LINGER, /* last response sent; discarding input until closed */
	PHASE_CLOSED,
};

struct conn {
	struct http_server *http_server;
	uv_tcp_t tcp;
	uv_timer_t timer;
	unsigned int open_handles; /* of tcp and timer; freed at 0 */
	uint64_t accepted_at; /* ms */
	bool served; /* a request has arrived on it */
	enum phase phase;
	http_parser parser;
	GString *input; /* received, not yet parsed */
	size_t scanned_bytes; /* of the input, by http_message_scan_head() */
	struct http_server_request *req; /* NULL: none, or rejected */
	GString *output; /* to be written after in_flight */
	GString *in_flight; /* being written, a piece at a time */
	size_t written; /* of in_flight */
	size_t piece_bytes; /* of in_flight, being written behind `written` */
	uv_write_t write;
	bool writing; /* a piece */
	bool send_waits; /* until its client has taken more; see may_send() */
	bool reading;
	bool message_done; /* the whole request has been parsed */
	bool body_too_large;
	bool close_when_sent;
	bool reset_when_sent; /* the response was aborted */
	bool write_failed;
	struct memory_holder held;
	GList idle_link; /* in the server's list */
	bool is_idle; /* it is in that list */
	bool counted; /* among the account's connections */
	bool is_turned_away;
	bool may_be_sending; /* its client, though its input is not wanted */
	size_t discarded_bytes; /* read since it is to be closed */
	size_t unread_bytes; /* in the socket, as last seen while paused */
	uint64_t write_started_at; /* ms; or when its client last took enough */
	size_t untaken_bytes; /* by the client, as last seen */
};

static void parse_input(struct conn *c);
static void start_reading(struct conn *c);
static void read_on(struct conn *c);

static void body_append(struct body *b, const char *data, size_t len,
			size_t size)
{
	if (size > b->size) {
		b->data = g_realloc(b->data, size);
		b->size = size;
	}
	memcpy(b->data + b->len, data, len);
	b->len += len;
	b->data[b->len] = '\0';
}

/* Returns the size of the request's body buffer once `len` bytes more are in. */
static size_t body_size_with(const struct http_server_request *r, size_t len)
{
	const struct body *b = &r->body;
	size_t need = b->len + len + 1;
	size_t size = b->size + MAX(b->size / 4, MIN_BODY_STEP_BYTES);

	if (need <= b->size)
		return b->size;
	if (r->declared_bytes)
		size = MIN(size, r->declared_bytes + 1);
	return MAX(need, size);
}

/* Empties a buffer, and gives back its memory if it is much. */
static void empty_buffer(GString **s)
{
	if ((*s)->allocated_len <= KEPT_BUFFER_BYTES) {
		g_string_truncate(*s, 0);
		return;
	}
	g_string_free(*s, TRUE);
	*s = g_string_new(NULL);
}

/*
 * Returns how many bytes of further requests wait behind the current one. Nothing is
 * read between a response that the socket has accepted and its end here, so a client
 * that awaits each response has none.
 */
static size_t ahead_bytes(const struct conn *c)
{
	if (c->phase != PHASE_RESPONSE)
		return 0;
	return (c->input->len ? c->input->allocated_len : 0) + c->unread_bytes;
}

/* Counts what the connection holds now. */
static void count_memory(struct conn *c)
{
	size_t bytes = CONN_BYTES + c->input->allocated_len + c->unread_bytes +
		       c->output->allocated_len + c->in_flight->allocated_len +
		       c->held.unsent;

	if (!c->http_server->memory)
		return;
	if (c->req)
		bytes += sizeof(*c->req) + c->req->fields_bytes +
			 c->req->body.size + c->req->headers->allocated_len;
	memory_resize(c->http_server->memory, &c->held, bytes);
	memory_set_ahead(c->http_server->memory, &c->held, ahead_bytes(c));
}

/* Lets the account evict the connection's request while it is incomplete. */
static void begin_receiving(struct conn *c)
{
	struct http_server *s = c->http_server;

	if (s->memory && s->role != HTTP_SERVER_OPERATORS)
		memory_begin_receiving(s->memory, &c->held, uv_now(s->loop));
}

static void end_receiving(struct conn *c)
{
	if (c->http_server->memory)
		memory_end_receiving(c->http_server->memory, &c->held);
}

/* Takes back what the connection has of the account besides its bytes. */
static void leave_account(struct conn *c)
{
	struct memory_account *m = c->http_server->memory;

	if (!m)
		return;
	memory_set_ahead(m, &c->held, 0);
	memory_set_unsent(m, &c->held, 0);
	memory_narrow(m, &c->held);
}

/*
 * Counts what the kernel holds of responses for the connection, and returns how many
 * bytes that are.
 */
static size_t look_at_unsent(struct conn *c)
{
	size_t bytes = (size_t)MAX(socket_unacknowledged(&c->tcp), 0);

	if (c->http_server->memory)
		memory_set_unsent(c->http_server->memory, &c->held, bytes);
	return bytes;
}

/*
 * Returns how many written bytes the client has not acknowledged: those that wait
 * in the process and those that the kernel holds.
 */
static size_t untaken_bytes(struct conn *c)
{
	return uv_stream_get_write_queue_size((const uv_stream_t *)&c->tcp) +
	       look_at_unsent(c);
}

/*
 * Looks at all connections for which the kernel held responses when they were last
 * looked at, if that decides whether others may send.
 */
static void look_at_all_unsent(struct memory_account *m, uint64_t now)
{
	GList *next;

	if (!memory_is_send_limited(m) ||
	    now - m->unsent_checked_at < SEND_RETRY_MS)
		return;
	m->unsent_checked_at = now;
	for (GList *l = m->unsent.head; l; l = next) {
		struct conn *c = ((struct memory_holder *)l->data)->user;

		next = l->next;
		look_at_unsent(c);
		count_memory(c);
	}
}

/* Returns how many bytes of the response may be passed to the kernel now. */
static size_t may_send(struct conn *c)
{
	struct memory_account *m = c->http_server->memory;

	if (!m || c->phase != PHASE_RESPONSE || !memory_is_send_limited(m))
		return SIZE_MAX;
	look_at_all_unsent(m, uv_now(c->http_server->loop));
	look_at_unsent(c);
	return memory_may_send(m, &c->held);
}

/*
 * Lets the client send at the rate of a body. Another connection may have to give up
 * its buffer for that.
 */
static void widen(struct conn *c)
{
	struct memory_account *m = c->http_server->memory;
	struct memory_holder *narrowed;

	if (!m || c->held.wide)
		return;
	if (memory_widen(m, &c->held, &narrowed))
		socket_limit_receive_buffer(&c->tcp,
					    memory_body_receive_buffer(m));
	if (narrowed)
		socket_limit_receive_buffer(
			&((struct conn *)narrowed->user)->tcp,
			memory_idle_receive_buffer(m));
}

/*
 * Drops the requests that clients have sent ahead while memory is short. Their
 * connections close after the current response; until then input is discarded, so
 * that none lies in the kernel.
 */
static void drop_ahead(struct memory_account *m)
{
	struct memory_holder *h;

	while (m && (h = memory_next_ahead(m))) {
		struct conn *c = h->user;

		m->dropped++;
		c->close_when_sent = true;
		c->may_be_sending = true;
		empty_buffer(&c->input);
		memory_narrow(m, &c->held);
		socket_limit_receive_buffer(&c->tcp, 0);
		start_reading(c);
		count_memory(c);
	}
}

/* Sets whether the connection may be closed to make room for another one. */
static void set_idle(struct conn *c, bool idle)
{
	if (c->is_idle == idle)
		return;
	c->is_idle = idle;
	c->idle_link.data = c;
	if (idle)
		g_queue_push_tail_link(&c->http_server->idle, &c->idle_link);
	else
		g_queue_unlink(&c->http_server->idle, &c->idle_link);
}

static void free_request(struct http_server_request *r)
{
	r->http_server->open_requests--;
	g_free(r->method);
	g_free(r->path);
	http_message_fields_clear(&r->fields);
	g_free(r->body.data);
	g_string_free(r->headers, TRUE);
	g_free(r);
}

static void on_handle_closed(uv_handle_t *handle)
{
	struct conn *c = handle->data;

	if (--c->open_handles)
		return;
	if (c->http_server->memory)
		memory_resize(c->http_server->memory, &c->held, 0);
	g_string_free(c->input, TRUE);
	g_string_free(c->output, TRUE);
	g_string_free(c->in_flight, TRUE);
	g_free(c);
}

/* Closes a connection and frees its request after the disconnect callback. */
static void close_conn(struct conn *c)
{
	struct http_server_request *r = c->req;

	if (c->phase == PHASE_CLOSED)
		return;
	c->phase = PHASE_CLOSED;
	c->req = NULL;
	end_receiving(c);
	leave_account(c);
	set_idle(c, false);
	if (c->counted)
		c->http_server->memory->connections--;
	if (c->is_turned_away)
		c->http_server->turned_away--;
	g_hash_table_remove(c->http_server->conns, c);
	uv_close((uv_handle_t *)&c->timer, on_handle_closed);
	uv_close((uv_handle_t *)&c->tcp, on_handle_closed);
	if (!r)
		return;
	if (r->disconnect_cb)
		r->disconnect_cb(r->disconnect_user);
	free_request(r);
}

static void on_timeout(uv_timer_t *timer);

static void arm_timer(struct conn *c, uint64_t ms)
{
	uv_timer_start(&c->timer, on_timeout, ms, 0);
}

static void flush(struct conn *c);

static void on_shutdown(uv_shutdown_t *req, int status)
{
	(void)status;
	g_free(req);
}

/*
 * Shuts down the sending side and reads on for LINGER_MS, longer if the client
 * may not have read the response yet. Closing at once with input unread would
 * reset the connection, and the client could lose the end of the response.
 */
static void linger(struct conn *c)
{
	uv_shutdown_t *req = g_new0(uv_shutdown_t, 1);

	c->phase = PHASE_LINGER;
	empty_buffer(&c->input);
	empty_buffer(&c->output);
	empty_buffer(&c->in_flight);
	c->write_started_at = uv_now(c->http_server->loop);
	c->untaken_bytes = untaken_bytes(c);
	count_memory(c);
	set_idle(c, true);
	socket_set_reset_on_close(&c->tcp, false);
	if (uv_shutdown(req, (uv_stream_t *)&c->tcp, on_shutdown) != 0)
		g_free(req);
	start_reading(c);
	arm_timer(c, c->may_be_sending ? LINGER_SENDING_MS : LINGER_MS);
}

/*
 * Returns whether the kernel holds a part of the last response that the client still
 * has to take. The kernel would go on to deliver it after the connection was closed,
 * but no more as memory that is counted.
 */
static bool has_unsent(struct conn *c)
{
	look_at_unsent(c);
	count_memory(c);
	return c->held.unsent > 0;
}

/* Frees the request whose response was written; starts on the next one. */
static void finish_response(struct conn *c)
{
	struct http_server_request *r = c->req;

	c->req = NULL;
	if (r) {
		if (r->disconnect_cb)
			r->disconnect_cb(r->disconnect_user);
		free_request(r);
	}
	if (c->reset_when_sent) {
		close_conn(c);
		return;
	}
	if (c->close_when_sent) {
		linger(c);
		return;
	}
	c->phase = PHASE_HEAD;
	c->scanned_bytes = 0;
	if (!c->input->len)
		empty_buffer(&c->input);
	count_memory(c);
	set_idle(c, !c->input->len);
	if (c->input->len)
		begin_receiving(c);
	arm_timer(c, c->http_server->limits.idle_ms);
	parse_input(c);
	if (c->phase != PHASE_CLOSED)
		read_on(c);
}

static bool has_output(const struct conn *c)
{
	return c->in_flight->len || c->output->len;
}

static bool is_response_finished(const struct conn *c)
{
	return c->phase == PHASE_RESPONSE &&
	       (!c->req || (c->req->ended && c->req->begun));
}

static void on_written(uv_write_t *write, int status)
{
	struct conn *c = write->data;

	c->writing = false;
	if (c->phase == PHASE_CLOSED)
		return;
	if (status != 0) {
		close_conn(c);
		return;
	}
	c->written += c->piece_bytes;
	if (c->written == c->in_flight->len) {
		c->written = 0;
		empty_buffer(&c->in_flight);
	}
	count_memory(c);
	if (!has_output(c) && is_response_finished(c)) {
		finish_response(c);
		return;
	}
	flush(c);
	if (c->req && c->req->drain_cb && !c->req->ended &&
	    http_server_unsent_bytes(c->req) <= DRAINED_BYTES)
		c->req->drain_cb(c->req->drain_user);
}

static void on_deferred_end(uv_timer_t *timer)
{
	struct conn *c = timer->data;

	if (c->write_failed)
		close_conn(c);
	else if (!has_output(c) && is_response_finished(c))
		finish_response(c);
}

/*
 * Finishes a response later from the loop: the owner may still use the request
 * when the function returns by which it ended the response.
 */
static void defer_end(struct conn *c)
{
	uv_timer_start(&c->timer, on_deferred_end, 0, 0);
}

/* Tries again later to write the output, which may not be passed to the kernel yet. */
static void wait_to_send(struct conn *c)
{
	if (!c->send_waits) {
		c->send_waits = true;
		c->http_server->memory->delayed++;
		c->write_started_at = uv_now(c->http_server->loop);
		c->untaken_bytes = untaken_bytes(c);
	}
	count_memory(c);
	arm_timer(c, SEND_RETRY_MS);
}

static void flush(struct conn *c)
{
	GString *swap;
	size_t most;
	uv_buf_t buf;

	if (c->phase == PHASE_CLOSED)
		return;
	if (c->writing || c->write_failed) {
		count_memory(c);
		return;
	}
	if (!has_output(c)) {
		if (is_response_finished(c))
			defer_end(c);
		return;
	}
	if (!c->in_flight->len) {
		swap = c->in_flight;
		c->in_flight = c->output;
		c->output = swap;
		g_string_truncate(c->output, 0);
	}
	most = may_send(c);
	if (!most) {
		wait_to_send(c);
		return;
	}
	c->send_waits = false;
	c->piece_bytes =
		MIN(MIN(most, MAX_WRITE_BYTES), c->in_flight->len - c->written);
	buf = uv_buf_init(c->in_flight->str + c->written,
			  (unsigned int)c->piece_bytes);
	c->write.data = c;
	c->writing = true;
	c->write_started_at = uv_now(c->http_server->loop);
	if (uv_write(&c->write, (uv_stream_t *)&c->tcp, &buf, 1, on_written)) {
		c->writing = false;
		c->write_failed = true;
		defer_end(c);
	} else if (!uv_is_active((uv_handle_t *)&c->timer)) {
		arm_timer(c, TAKE_MS);
	}
	c->untaken_bytes = untaken_bytes(c);
	count_memory(c);
}

static const char *status_reason(int status)
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

static struct http_server_request *new_request(struct conn *c);

/* Responds to a request that cannot be read, then closes the connection. */
static void reject(struct conn *c, int status, const char *reason)
{
	g_autofree char *body = g_strdup_printf(
		"{\"error\":{\"verdict\":\"not-run\",\"reason\":\"%s\"}}",
		reason);

	g_string_append_printf(
		c->output,
		"HTTP/1.1 %d %s\r\n%sContent-Type: application/json\r\n"
		"Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
		status, status_reason(status),
		c->req ? c->req->headers->str : "", strlen(body), body);
	if (c->req)
		free_request(c->req);
	c->req = NULL;
	c->phase = PHASE_RESPONSE;
	c->close_when_sent = true;
	end_receiving(c);
	set_idle(c, false);
	empty_buffer(&c->input);
	count_memory(c);
	uv_timer_stop(&c->timer);
	flush(c);
}

/*
 * Refuses a request that has not been read completely for want of room. Retries
 * are spread over time.
 */
static void refuse_for_room(struct conn *c, const char *reason)
{
	struct http_server *s = c->http_server;
	uint32_t ms =
		RETRY_AFTER_MS + g_random_int_range(0, RETRY_AFTER_SPREAD_MS);
	g_autofree char *after = g_strdup_printf("Retry-After: %u.%02u\r\n",
						 ms / 1000, ms % 1000 / 10);

	c->may_be_sending = true;
	if (!c->req)
		c->req = new_request(c);
	else if (s->evict_cb)
		s->evict_cb(s->user, c->req);
	g_string_append(c->req->headers, after);
	reject(c, 503, reason);
}

/*
 * Makes room for so many bytes more of a request. `whole` if they are all of it,
 * which are to come. Returns false if the request was refused.
 */
static bool make_room(struct conn *c, size_t bytes, bool whole)
{
	struct memory_account *m = c->http_server->memory;
	uint64_t now = uv_now(c->http_server->loop);
	struct memory_holder *victim;

	if (!m || !bytes || c->http_server->role == HTTP_SERVER_OPERATORS)
		return true;
	drop_ahead(m);
	for (;;) {
		switch (whole ? memory_may_begin(m, &c->held, now, bytes,
						 &victim)
			      : memory_may_grow(m, &c->held, now, bytes,
						&victim)) {
		case MEMORY_FITS:
			return true;
		case MEMORY_EVICT:
			m->evicted++;
			refuse_for_room(victim->user, "memory");
			break;
		case MEMORY_REFUSE:
			m->refused++;
			refuse_for_room(c, "memory");
			return false;
		}
	}
}

/*
 * Drops requests that were sent ahead while memory is short, and evicts incomplete
 * requests while more is held than the account allows, for answers to others. Does
 * nothing if there are none.
 */
void http_server_relieve(struct memory_account *memory, uint64_t now)
{
	struct memory_holder *victim;

	drop_ahead(memory);
	while (memory_is_exceeded(memory) &&
	       (victim = memory_next_victim(memory, now))) {
		memory->evicted++;
		refuse_for_room(victim->user, "memory");
	}
}

/* Counts what lies in the socket of a connection that is not read from. */
static void check_paused(struct conn *c)
{
	arm_timer(c, CLIENT_CHECK_MS);
	c->unread_bytes = (size_t)MAX(socket_unread(&c->tcp), 0);
	count_memory(c);
	drop_ahead(c->http_server->memory);
}

/* Stops to read until the response has ended; see MAX_PIPELINED_BYTES. */
static void pause_reading(struct conn *c)
{
	uv_read_stop((uv_stream_t *)&c->tcp);
	c->reading = false;
	check_paused(c);
}

/*
 * Returns whether the client has taken next to nothing of the response for as
 * long as a write may take.
 */
static bool is_unread(struct conn *c)
{
	uint64_t now = uv_now(c->http_server->loop);
	size_t before = c->untaken_bytes;
	size_t left;

	if ((!c->in_flight->len && c->phase != PHASE_LINGER) ||
	    now - c->write_started_at < TAKE_MS)
		return false;
	left = untaken_bytes(c);
	c->write_started_at = now;
	c->untaken_bytes = left;
	return left + MIN(MIN_TAKEN_BYTES, before) > before;
}

/* Closes a connection whose client does not take what the kernel holds for it. */
static void reset_conn(struct conn *c)
{
	socket_set_reset_on_close(&c->tcp, true);
	close_conn(c);
}

/* Looks again at a connection that is not read from, or whose client takes little. */
static void on_response_timeout(struct conn *c)
{
	if (!c->reading)
		check_paused(c);
	else if (c->writing)
		arm_timer(c, TAKE_MS);
	if (c->send_waits)
		flush(c);
}

static void on_timeout(uv_timer_t *timer)
{
	struct conn *c = timer->data;

	if (c->phase == PHASE_RESPONSE) {
		/* Its own timer may have replaced that of a deferred end. */
		if (c->write_failed ||
		    (!has_output(c) && is_response_finished(c)))
			on_deferred_end(timer);
		else if (is_unread(c))
			reset_conn(c);
		else if (!c->reading && socket_peer_has_closed(&c->tcp))
			close_conn(c);
		else
			on_response_timeout(c);
		return;
	}
	if (c->phase == PHASE_LINGER && has_unsent(c)) {
		if (is_unread(c))
			reset_conn(c);
		else
			arm_timer(c, TAKEN_CHECK_MS);
		return;
	}
	if (c->phase == PHASE_HEAD && !c->input->len && has_unsent(c)) {
		linger(c);
		return;
	}
	if (c->phase == PHASE_BODY || (c->phase == PHASE_HEAD && c->input->len))
		reject(c, 408, "slow-request");
	else
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

static int on_header_name(http_parser *p, const char *at, size_t len)
{
	http_message_fields_add_name(&((struct conn *)p->data)->req->fields, at,
				     len);
	return 0;
}

static int on_header_value(http_parser *p, const char *at, size_t len)
{
	http_message_fields_add_value(&((struct conn *)p->data)->req->fields,
				      at, len);
	return 0;
}

static int on_headers_complete(http_parser *p)
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

static int on_body(http_parser *p, const char *at, size_t len)
{
	struct conn *c = p->data;

	if (c->req->body.len + len > c->http_server->limits.body_bytes) {
		c->body_too_large = true;
		return -1;
	}
	body_append(&c->req->body, at, len, body_size_with(c->req, len));
	return 0;
}

static int on_message_complete(http_parser *p)
{
	((struct conn *)p->data)->message_done = true;
	http_parser_pause(p, 1);
	return 0;
}

/* Discards trailer fields: they arrive after the head was validated. */
static int on_trailer(http_parser *p, const char *at, size_t len)
{
	(void)p;
	(void)at;
	(void)len;
	return 0;
}

static const http_parser_settings head_parser_settings = {
	.on_url = on_url,
	.on_header_field = on_header_name,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_message_complete = on_message_complete,
};

static const http_parser_settings body_parser_settings = {
	.on_header_field = on_trailer,
	.on_header_value = on_trailer,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

static struct http_server_request *new_request(struct conn *c)
{
	struct http_server_request *r = g_new0(struct http_server_request, 1);

	r->http_server = c->http_server;
	r->conn = c;
	http_message_fields_init(&r->fields);
	r->headers = g_string_new(NULL);
	c->http_server->open_requests++;
	c->served = true;
	return r;
}

/*
 * Checks what http_parser accepts but other parsers may read differently, such
 * as repeated or contradictory framing fields.
 */
static bool is_head_valid(const struct conn *c)
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

/* Returns the body's length by the head; 0 if it states none. */
static uint64_t declared_body_bytes(const struct conn *c)
{
	const char *length =
		http_message_find(&c->req->fields, "content-length");

	return length ? g_ascii_strtoull(length, NULL, 10) : 0;
}

static bool declares_oversized_body(const struct conn *c)
{
	return declared_body_bytes(c) > c->http_server->limits.body_bytes;
}

static void dispatch_request(struct conn *c)
{
	c->phase = PHASE_RESPONSE;
	end_receiving(c);
	if (!c->input->len)
		empty_buffer(&c->input);
	count_memory(c);
	drop_ahead(c->http_server->memory);
	uv_timer_stop(&c->timer);
	c->http_server->request_cb(c->http_server->user, c->req);
}

/*
 * Parses the head, which is complete and `len` bytes long. Returns false if the
 * request was rejected.
 */
static bool parse_head(struct conn *c, size_t len)
{
	size_t used;
	const char *expect;

	c->req = new_request(c);
	c->message_done = false;
	c->body_too_large = false;
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	used = http_parser_execute(&c->parser, &head_parser_settings,
				   c->input->str, len);
	if (HTTP_PARSER_ERRNO(&c->parser) == HPE_PAUSED)
		http_parser_pause(&c->parser, 0);
	if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK || used + 1 < len ||
	    !is_head_valid(c)) {
		reject(c, 400, "malformed-request");
		return false;
	}
	if (declares_oversized_body(c)) {
		reject(c, 413, "body-too-large");
		return false;
	}
	g_string_erase(c->input, 0, (gssize)len);
	c->req->fields_bytes = len;
	c->req->declared_bytes = declared_body_bytes(c);
	count_memory(c);
	if (!make_room(c, c->req->declared_bytes, true))
		return false;
	expect = http_message_find(&c->req->fields, "expect");
	if (!c->message_done && expect &&
	    !g_ascii_strcasecmp(expect, "100-continue")) {
		g_string_append(c->output, "HTTP/1.1 100 Continue\r\n\r\n");
		flush(c);
	}
	c->phase = PHASE_BODY;
	if (!c->message_done)
		widen(c);
	return true;
}

/*
 * Looks for a complete head in the input, after any empty lines before the
 * request line, and parses it. Returns false if it is incomplete or rejected.
 */
static bool read_head(struct conn *c)
{
	size_t len = 0;
	size_t skip = 0;

	if (!c->scanned_bytes)
		while (c->input->len >= skip + 2 &&
		       !memcmp(c->input->str + skip, "\r\n", 2))
			skip += 2;
	g_string_erase(c->input, 0, (gssize)skip);
	if (!c->input->len || (c->input->len == 1 && c->input->str[0] == '\r'))
		return false;
	if (!c->scanned_bytes)
		arm_timer(c, c->http_server->limits.receive_ms);
	switch (http_message_scan_head(c->input->str, c->input->len,
				       c->scanned_bytes, &len)) {
	case HTTP_MESSAGE_MALFORMED:
		reject(c, 400, "malformed-request");
		return false;
	case HTTP_MESSAGE_INCOMPLETE:
		c->scanned_bytes = c->input->len;
		if (c->input->len > c->http_server->limits.head_bytes)
			reject(c, 431, "head-too-large");
		return false;
	case HTTP_MESSAGE_HEAD_COMPLETE:
		if (len > c->http_server->limits.head_bytes) {
			reject(c, 431, "head-too-large");
			return false;
		}
		return parse_head(c, len);
	}
	return false;
}

/*
 * Parses bytes of the body. Returns how many belong to it, or -1 if the request
 * was rejected.
 */
static ssize_t parse_body(struct conn *c, const char *data, size_t len)
{
	size_t used;

	if (!make_room(c, body_size_with(c->req, len) - c->req->body.size,
		       false))
		return -1;
	used = http_parser_execute(&c->parser, &body_parser_settings, data,
				   len);
	if (HTTP_PARSER_ERRNO(&c->parser) == HPE_PAUSED) {
		http_parser_pause(&c->parser, 0);
	} else if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK) {
		if (c->body_too_large)
			reject(c, 413, "body-too-large");
		else
			reject(c, 400, "malformed-body");
		return -1;
	}
	count_memory(c);
	return (ssize_t)used;
}

static void read_body(struct conn *c)
{
	if (!c->message_done && c->input->len) {
		ssize_t used = parse_body(c, c->input->str, c->input->len);

		if (used < 0)
			return;
		g_string_erase(c->input, 0, used);
		if (!c->input->len)
			empty_buffer(&c->input);
		count_memory(c);
	}
	if (c->message_done)
		dispatch_request(c);
}

static void parse_input(struct conn *c)
{
	if (c->phase == PHASE_HEAD && !read_head(c))
		return;
	if (c->phase == PHASE_BODY)
		read_body(c);
}

/* Takes received bytes of a request that is not complete. */
static void receive(struct conn *c, const char *data, size_t len)
{
	ssize_t used = 0;

	set_idle(c, false);
	begin_receiving(c);
	memory_on_received(&c->held, uv_now(c->http_server->loop), len);
	/* Most bytes of a body need not go through the input buffer. */
	if (c->phase == PHASE_BODY && !c->input->len) {
		used = parse_body(c, data, len);
		if (used < 0)
			return;
	} else if (!make_room(c, len, false)) {
		return;
	}
	g_string_append_len(c->input, data + used, (gssize)len - used);
	count_memory(c);
	parse_input(c);
}

static void on_alloc(uv_handle_t *handle, size_t wanted, uv_buf_t *buf)
{
	struct conn *c = handle->data;

	(void)wanted;
	*buf = uv_buf_init(c->http_server->read_buffer, READ_BUFFER_BYTES);
}

/* Input behind a request has no room of its own if memory is short. */
static size_t max_pipelined_bytes(const struct conn *c)
{
	const struct memory_account *m = c->http_server->memory;

	return m && memory_is_short(m) ? 0 : MAX_PIPELINED_BYTES;
}

/* The client sends no more, or the connection failed; `n` is the error. */
static void on_read_end(struct conn *c, ssize_t n)
{
	c->reading = false;
	if (n == UV_EOF && c->phase == PHASE_HEAD && !c->input->len &&
	    has_unsent(c))
		linger(c);
	else if (n != UV_EOF || c->phase != PHASE_LINGER || !has_unsent(c))
		close_conn(c);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct conn *c = stream->data;

	if (!n)
		return;
	if (n < 0) {
		on_read_end(c, n);
		return;
	}
	if (c->phase == PHASE_LINGER || c->close_when_sent) {
		c->discarded_bytes += (size_t)n;
		if (c->discarded_bytes > MAX_DISCARDED_BYTES)
			reset_conn(c);
		return;
	}
	if (c->phase != PHASE_RESPONSE) {
		receive(c, buf->base, (size_t)n);
		return;
	}
	g_string_append_len(c->input, buf->base, n);
	count_memory(c);
	drop_ahead(c->http_server->memory);
	read_on(c);
}

static void start_reading(struct conn *c)
{
	c->unread_bytes = 0;
	if (!c->reading)
		c->reading = uv_read_start((uv_stream_t *)&c->tcp, on_alloc,
					   on_read) == 0;
}

/*
 * Reads, unless as much as may wait behind a request does so already: a response
 * uses up less input than a read adds.
 */
static void read_on(struct conn *c)
{
	if (c->phase == PHASE_RESPONSE &&
	    c->input->len > max_pipelined_bytes(c))
		pause_reading(c);
	else
		start_reading(c);
}

static struct conn *new_conn(struct http_server *http_server)
{
	struct conn *c = g_new0(struct conn, 1);

	c->http_server = http_server;
	c->input = g_string_new(NULL);
	c->output = g_string_new(NULL);
	c->in_flight = g_string_new(NULL);
	c->open_handles = 2;
	c->accepted_at = uv_now(http_server->loop);
	uv_tcp_init(http_server->loop, &c->tcp);
	uv_timer_init(http_server->loop, &c->timer);
	c->tcp.data = c;
	c->timer.data = c;
	c->held.user = c;
	g_hash_table_add(http_server->conns, c);
	return c;
}

/*
 * Returns the connection that may be closed for a new one, or NULL. A request
 * that lies in a socket is not read yet, and a response there not taken.
 */
static struct conn *longest_idle(struct http_server *s)
{
	GList *l = s->idle.head;

	for (int i = 0; l && i < MAX_IDLE_CHECKED; i++, l = l->next) {
		struct conn *c = l->data;

		if (c->held.unsent && has_unsent(c))
			continue;
		if (c->phase == PHASE_LINGER || !socket_has_input(&c->tcp))
			return c;
	}
	return NULL;
}

/*
 * Counts a new connection. One too many replaces the connection that has been
 * idle for longest; if there is none it is refused. Returns false if it was.
 */
static bool count_connection(struct conn *c)
{
	struct http_server *s = c->http_server;
	struct memory_account *m = s->memory;
	struct conn *idle;

	if (!m || s->role != HTTP_SERVER_CLIENTS)
		return true;
	m->connections++;
	c->counted = true;
	if (m->connections <= m->max_connections)
		return true;
	idle = longest_idle(s);
	if (idle) {
		m->closed++;
		close_conn(idle);
		return true;
	}
	m->turned_away++;
	if (s->turned_away >= MAX_TURNED_AWAY) {
		close_conn(c);
		return false;
	}
	s->turned_away++;
	c->is_turned_away = true;
	start_reading(c);
	refuse_for_room(c, "connections");
	return false;
}

/* Limits what the kernel holds for the connection, in both directions. */
static void limit_buffers(struct conn *c)
{
	const struct memory_account *m = c->http_server->memory;

	if (!m)
		return;
	socket_limit_receive_buffer(&c->tcp, memory_idle_receive_buffer(m));
	socket_limit_send_buffer(&c->tcp, memory_send_buffer(m));
}

static void begin_conn(struct conn *c)
{
	socket_set_options(&c->tcp, USER_TIMEOUT_MS);
	limit_buffers(c);
	c->held.client = socket_peer_address(&c->tcp);
	count_memory(c);
	if (!count_connection(c))
		return;
	set_idle(c, true);
	arm_timer(c, c->http_server->limits.idle_ms);
	start_reading(c);
}

static void on_accept(uv_stream_t *listener, int status)
{
	struct conn *c;

	if (status != 0)
		return;
	c = new_conn(listener->data);
	if (uv_accept(listener, (uv_stream_t *)&c->tcp) != 0)
		close_conn(c);
	else
		begin_conn(c);
}

static void accept_waiting(struct http_server *http_server)
{
	int fd;

	while ((fd = socket_accept_waiting(&http_server->listener)) >= 0) {
		struct conn *c = new_conn(http_server);

		if (uv_tcp_open(&c->tcp, fd) == 0) {
			begin_conn(c);
			continue;
		}
		close(fd);
		close_conn(c);
	}
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
 * Listens on "ip:port" and calls cb with `user` for each request, once its body
 * of at most max_body_bytes has arrived. receive_ms limits the time that a
 * client may take to send a request, from its first byte to its last; the other
 * limits have their defaults. Returns NULL and sets an ADDRESS_ERROR if the
 * address is malformed or cannot be bound.
 */
struct http_server *http_server_listen(uv_loop_t *loop, const char *address,
				       size_t max_body_bytes,
				       uint64_t receive_ms,
				       http_server_request_cb cb, void *user,
				       GError **err)
{
	struct http_server *http_server = g_new0(struct http_server, 1);

	http_server->loop = loop;
	http_server->request_cb = cb;
	http_server->user = user;
	http_server->limits.head_bytes = DEFAULT_MAX_HEAD_BYTES;
	http_server->limits.body_bytes = max_body_bytes;
	http_server->limits.receive_ms = receive_ms;
	http_server->limits.idle_ms = DEFAULT_IDLE_MS;
	http_server->conns = g_hash_table_new(NULL, NULL);
	g_queue_init(&http_server->idle);
	if (!bind_listener(http_server, address, err)) {
		g_hash_table_unref(http_server->conns);
		g_free(http_server);
		return NULL;
	}
	return http_server;
}

/*
 * Counts what clients hold in the account, and evicts incomplete requests that
 * there is no room for; cb may be NULL or add header fields to the refusal. To
 * be called before the loop runs. Connections inherit the receive buffer that is set
 * here, since clients send before they are accepted.
 */
void http_server_set_memory(struct http_server *http_server,
			    struct memory_account *memory,
			    enum http_server_role role, http_server_evict_cb cb)
{
	http_server->memory = memory;
	http_server->role = role;
	http_server->evict_cb = cb;
	socket_limit_receive_buffer(&http_server->listener,
				    memory_idle_receive_buffer(memory));
}

/*
 * Replaces the limits. Limits of size apply at once, receive_ms to requests
 * that begin later; a changed idle_ms restarts the timers of idle connections.
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

		if (c->phase == PHASE_HEAD && !c->input->len)
			arm_timer(c, limits->idle_ms);
	}
}

/*
 * Closes the listening socket. Open connections continue, as do those that wait to be
 * accepted: the kernel would reset them.
 */
void http_server_stop_accepting(struct http_server *http_server)
{
	if (!http_server->accepting)
		return;
	http_server->accepting = false;
	accept_waiting(http_server);
	uv_close((uv_handle_t *)&http_server->listener, NULL);
}

/* Returns whether the first request of the connection may be on its way. */
static bool awaits_first_request(const struct conn *c)
{
	return !c->served &&
	       uv_now(c->http_server->loop) - c->accepted_at < FIRST_REQUEST_MS;
}

/*
 * Closes idle connections now and the others after their current response; those
 * that were accepted lately, or on which something has arrived, get time for a
 * request. New connections are still accepted and serve one request each.
 */
void http_server_close_idle(struct http_server *http_server)
{
	g_autoptr(GList) conns = g_hash_table_get_keys(http_server->conns);

	http_server->closing = true;
	for (GList *l = conns; l; l = l->next) {
		struct conn *c = l->data;

		if (c->phase != PHASE_HEAD || c->input->len)
			continue;
		if (awaits_first_request(c) || socket_has_input(&c->tcp))
			arm_timer(c, FIRST_REQUEST_MS);
		else
			close_conn(c);
	}
}

/* Stops accepting, and closes connections as http_server_close_idle() does. */
void http_server_shutdown(struct http_server *http_server)
{
	http_server_stop_accepting(http_server);
	http_server_close_idle(http_server);
}

/*
 * Returns the number of connections that wait for the response to a request, or
 * for the rest of one, or that were accepted so lately that their first request
 * may be on its way.
 */
size_t http_server_unanswered(const struct http_server *http_server)
{
	GHashTableIter it;
	void *conn;
	size_t n = 0;

	g_hash_table_iter_init(&it, http_server->conns);
	while (g_hash_table_iter_next(&it, &conn, NULL)) {
		const struct conn *c = conn;

		n += c->phase != PHASE_CLOSED && c->phase != PHASE_LINGER &&
		     (c->req || c->input->len || c->in_flight->len ||
		      awaits_first_request(c));
	}
	return n;
}

/*
 * Returns the number of requests whose head has arrived and whose response has
 * not been written completely.
 */
size_t http_server_open_requests(const struct http_server *http_server)
{
	return http_server->open_requests;
}

/* Returns the request's method, such as "GET"; valid as long as the request. */
const char *http_server_method(const struct http_server_request *req)
{
	return req->method;
}

/*
 * Returns the request's target, path and query, as the client sent it; valid as
 * long as the request.
 */
const char *http_server_path(const struct http_server_request *req)
{
	return req->path;
}

/*
 * Returns the request's body and sets *len to its length in bytes; valid as
 * long as the request.
 */
const char *http_server_body(const struct http_server_request *req, size_t *len)
{
	*len = req->body.len;
	return req->body.data ? req->body.data : "";
}

/*
 * Returns the value of the request's first header field with that name, or NULL
 * if absent; valid as long as the request.
 */
const char *http_server_header(struct http_server_request *req,
			       const char *name)
{
	return http_message_find(&req->fields, name);
}

/* Returns all header fields of the request; valid as long as the request. */
const struct http_message_fields *
http_server_fields(const struct http_server_request *req)
{
	return &req->fields;
}

/*
 * Returns whether the client has closed its connection, though that may not have
 * been read yet: its end can lie in the socket behind the request itself.
 */
bool http_server_client_has_left(const struct http_server_request *req)
{
	return socket_peer_has_closed(&req->conn->tcp);
}

/*
 * Closes the request's connection without an answer. The disconnect callback
 * runs, and the request is freed.
 */
void http_server_drop(struct http_server_request *req)
{
	close_conn(req->conn);
}

/*
 * Sets the callback that runs once, just before the request is freed: after its
 * response was written, or when its connection has closed.
 */
void http_server_on_disconnect(struct http_server_request *req,
			       http_server_disconnect_cb cb, void *user)
{
	req->disconnect_cb = cb;
	req->disconnect_user = user;
}

/*
 * Sets the callback that runs when the client has taken so much of the response
 * that the owner may write on, after http_server_unsent_bytes() was above
 * HTTP_SERVER_BACKLOG_BYTES.
 */
void http_server_on_drain(struct http_server_request *req,
			  http_server_drain_cb cb, void *user)
{
	req->drain_cb = cb;
	req->drain_user = user;
}

/* Adds a header field to the response; ignored once its head is written. */
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

/* Returns how a response with a body of `length` (-1: unknown) is framed. */
static enum http_server_framing
choose_framing(const struct http_server_request *r, int status, gint64 length)
{
	if (length >= 0)
		return HTTP_SERVER_FRAMING_LENGTH;
	if (r->http10)
		return HTTP_SERVER_FRAMING_CLOSE;
	return has_no_body(r, status) ? HTTP_SERVER_FRAMING_LENGTH
				      : HTTP_SERVER_FRAMING_CHUNKS;
}

/* Writes the response's head. `length` is that of the body; -1: unknown. */
static void write_response_head(struct http_server_request *r, int status,
				gint64 length)
{
	struct conn *c = r->conn;
	GString *output = c->output;

	r->begun = true;
	r->framing = choose_framing(r, status, length);
	g_string_append_printf(output, "HTTP/1.1 %d %s\r\n", status,
			       status_reason(status));
	g_string_append_len(output, r->headers->str, (gssize)r->headers->len);
	switch (r->framing) {
	case HTTP_SERVER_FRAMING_LENGTH:
		if (length >= 0 && status != 204 && status != 304)
			g_string_append_printf(
				output,
				"Content-Length: %" G_GINT64_FORMAT "\r\n",
				length);
		break;
	case HTTP_SERVER_FRAMING_CHUNKS:
		g_string_append(output, "Transfer-Encoding: chunked\r\n");
		break;
	case HTTP_SERVER_FRAMING_CLOSE:
		r->keep_alive = false;
		socket_set_reset_on_close(&c->tcp, true);
		break;
	case HTTP_SERVER_FRAMING_NONE:
		break;
	}
	if (c->http_server->closing || !r->keep_alive)
		c->close_when_sent = true;
	if (c->close_when_sent)
		g_string_append(output, "Connection: close\r\n");
	else if (r->http10)
		g_string_append(output, "Connection: keep-alive\r\n");
	g_string_append(output, "\r\n");
}

/*
 * Starts a response of unknown length, with the header fields added so far.
 * Ignored if a response has begun.
 */
void http_server_begin_response(struct http_server_request *req, int status)
{
	if (req->begun)
		return;
	write_response_head(req, status, -1);
	flush(req->conn);
}

/* Returns whether the response's head has been written. */
bool http_server_response_begun(const struct http_server_request *req)
{
	return req->begun;
}

/* Returns how the response is framed, as logs show it; a static string. */
const char *http_server_framing_name(const struct http_server_request *req)
{
	static const char *const names[] = {"-", "length", "chunks", "close"};

	return names[req->framing];
}

static bool is_chunked(const struct http_server_request *req)
{
	return req->framing == HTTP_SERVER_FRAMING_CHUNKS;
}

/*
 * Appends `len` bytes to the body of a response that has begun. They are
 * buffered until the client takes them: the owner stops at
 * HTTP_SERVER_BACKLOG_BYTES, see http_server_unsent_bytes().
 */
void http_server_write(struct http_server_request *req, const void *data,
		       size_t len)
{
	struct conn *c = req->conn;
	bool chunked = is_chunked(req);

	if (req->ended || !req->begun || !len)
		return;
	if (!req->is_head) {
		if (chunked)
			g_string_append_printf(c->output, "%zx\r\n", len);
		g_string_append_len(c->output, data, (gssize)len);
		if (chunked)
			g_string_append(c->output, "\r\n");
	}
	flush(c);
}

/* Completes a response that has begun. */
void http_server_end_response(struct http_server_request *req)
{
	if (req->ended || !req->begun)
		return;
	req->ended = true;
	if (is_chunked(req))
		g_string_append(req->conn->output, "0\r\n\r\n");
	flush(req->conn);
}

/*
 * Aborts a response that has begun: its connection closes without the end of
 * the response, so that the client can tell that it is incomplete. Where that
 * end is the connection's own, the connection is reset.
 */
void http_server_abort(struct http_server_request *req)
{
	if (req->ended || !req->begun)
		return;
	req->ended = true;
	req->conn->close_when_sent = true;
	req->conn->reset_when_sent = req->framing == HTTP_SERVER_FRAMING_CLOSE;
	if (!is_chunked(req))
		g_string_truncate(req->conn->output, 0);
	flush(req->conn);
}

/* Returns how many bytes of output the socket has not accepted yet. */
size_t http_server_unsent_bytes(const struct http_server_request *req)
{
	const struct conn *c = req->conn;

	return c->output->len + c->in_flight->len - c->written;
}

/*
 * Sends a complete response. `type` is its content type, or NULL; `len` the
 * length of the body in bytes. Ignored if a response has begun.
 */
void http_server_reply(struct http_server_request *req, int status,
		       const char *type, const char *body, size_t len)
{
	if (req->begun)
		return;
	if (type)
		http_server_add_header(req, "Content-Type", type);
	write_response_head(req, status, (gint64)len);
	req->ended = true;
	if (!has_no_body(req, status))
		g_string_append_len(req->conn->output, body, (gssize)len);
	flush(req->conn);
}

/* Sends a complete response with a JSON text as its body. */
void http_server_reply_json(struct http_server_request *req, int status,
			    const char *json)
{
	http_server_reply(req, status, "application/json", json, strlen(json));
}
