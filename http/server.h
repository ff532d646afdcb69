#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "http/memory.h"
#include "http/message.h"

/* Unsent bytes of a response above which its owner should not write on. */
#define HTTP_SERVER_BACKLOG_BYTES ((size_t)256 * 1024)

/* HTTP/1.1 server on libuv: one listening address, one request callback. */
struct http_server;
struct http_server_request;

typedef void (*http_server_request_cb)(void *user,
				       struct http_server_request *req);
typedef void (*http_server_disconnect_cb)(void *user);
typedef void (*http_server_drain_cb)(void *user);
/* A request that is evicted; `user` is that of the request callback. */
typedef void (*http_server_evict_cb)(void *user,
				     struct http_server_request *req);

/* How a response states where its body ends. */
enum http_server_framing {
	HTTP_SERVER_FRAMING_NONE, /* it has not begun */
	HTTP_SERVER_FRAMING_LENGTH, /* also without a body by its status */
	HTTP_SERVER_FRAMING_CHUNKS,
	HTTP_SERVER_FRAMING_CLOSE, /* it ends when the connection closes */
};

/* Whom a listener serves, and so what its account may refuse. */
enum http_server_role {
	HTTP_SERVER_CLIENTS, /* requests, and connections beyond their limit */
	HTTP_SERVER_NODES, /* requests */
	HTTP_SERVER_OPERATORS, /* nothing; what they hold is counted */
};

/* What a client may send, and how long it may take. */
struct http_server_limits {
	size_t head_bytes; /* request line and header fields */
	size_t body_bytes;
	uint64_t receive_ms; /* from the first byte of a request to its last */
	uint64_t idle_ms; /* on a connection without a request */
};

struct http_server *http_server_listen(uv_loop_t *loop, const char *address,
				       size_t max_body_bytes,
				       uint64_t receive_ms,
				       http_server_request_cb cb, void *user,
				       GError **err);
void http_server_set_limits(struct http_server *http_server,
			    const struct http_server_limits *limits);
void http_server_set_memory(struct http_server *http_server,
			    struct memory_account *memory,
			    enum http_server_role role,
			    http_server_evict_cb cb);
void http_server_relieve(struct memory_account *memory, uint64_t now);
void http_server_close_idle(struct http_server *http_server);
void http_server_stop_accepting(struct http_server *http_server);
void http_server_shutdown(struct http_server *http_server);
size_t http_server_unanswered(const struct http_server *http_server);
size_t http_server_open_requests(const struct http_server *http_server);

const char *http_server_method(const struct http_server_request *req);
const char *http_server_path(const struct http_server_request *req);
const char *http_server_body(const struct http_server_request *req,
			     size_t *len);
const char *http_server_header(struct http_server_request *req,
			       const char *name);
const struct http_message_fields *
http_server_fields(const struct http_server_request *req);

bool http_server_client_has_left(const struct http_server_request *req);
void http_server_drop(struct http_server_request *req);
void http_server_on_disconnect(struct http_server_request *req,
			       http_server_disconnect_cb cb, void *user);
void http_server_on_drain(struct http_server_request *req,
			  http_server_drain_cb cb, void *user);
void http_server_add_header(struct http_server_request *req, const char *name,
			    const char *value);
void http_server_begin_response(struct http_server_request *req, int status);
bool http_server_response_begun(const struct http_server_request *req);
const char *http_server_framing_name(const struct http_server_request *req);
void http_server_write(struct http_server_request *req, const void *data,
		       size_t len);
void http_server_end_response(struct http_server_request *req);
void http_server_abort(struct http_server_request *req);
size_t http_server_unsent_bytes(const struct http_server_request *req);
void http_server_reply(struct http_server_request *req, int status,
		       const char *type, const char *body, size_t len);
void http_server_reply_json(struct http_server_request *req, int status,
			    const char *json);

#endif
