#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "http/memory.h"
#include "http/message.h"

/* HTTP/1.1 client on libuv with a pool of idle connections per server. */
struct http_client;
struct http_client_call;

/* How a call ended. */
enum http_client_outcome {
	HTTP_CLIENT_COMPLETE, /* the complete response arrived */
	HTTP_CLIENT_NOT_SENT, /* no byte of the request was sent */
	/* The request may have run; its response is incomplete or missing. */
	HTTP_CLIENT_INTERRUPTED,
	/* As HTTP_CLIENT_INTERRUPTED, because a time limit passed. */
	HTTP_CLIENT_TIMED_OUT,
	HTTP_CLIENT_CANCELLED, /* by http_client_cancel() */
};

/* How a response states where its body ends. */
enum http_client_framing {
	HTTP_CLIENT_FRAMING_NONE, /* no head has arrived */
	HTTP_CLIENT_FRAMING_LENGTH, /* also without a body by its status */
	HTTP_CLIENT_FRAMING_CHUNKS,
	HTTP_CLIENT_FRAMING_CLOSE, /* not at all: it ends with the connection */
};

/* How a call's connection ended, as far as the server is concerned. */
enum http_client_close {
	HTTP_CLIENT_CLOSE_NONE, /* it was open, or this client closed it */
	HTTP_CLIENT_CLOSE_FIN, /* in order */
	HTTP_CLIENT_CLOSE_RESET, /* by a reset or another error */
};

/* The head of a response; valid during the callback. */
struct http_client_head {
	int status;
	const char *request_id; /* x-request-id, or NULL */
	const char *etag; /* or NULL */
	const char *type; /* content-type, or NULL */
	int64_t retry_after_s; /* -1: absent */
	const struct http_message_fields *fields; /* all header fields */
	enum http_client_framing framing; /* never HTTP_CLIENT_FRAMING_NONE */
	bool reused; /* the connection had carried another request before */
};

/* A request to send; http_client_start() copies it. Limits are in ms. */
struct http_client_request {
	const char *address; /* "ip:port" */
	const char *pool; /* name of its connection pool; NULL: the address */
	const char *method;
	const char *path;
	const char *headers; /* complete lines, each ended by CRLF, or NULL */
	const void *body;
	size_t len; /* of the body, in bytes */
	uint32_t connect_ms; /* limit to the connection setup */
	uint32_t head_ms; /* limit to the response head; 0: progress_ms */
	uint32_t progress_ms; /* limit between two arrivals of bytes */
	uint32_t total_ms; /* limit to the whole call; 0: none */
	/* Skip connections that were idle for longer; 0: no limit. */
	uint32_t max_idle_ms;
	/*
	 * Open a new connection and close it afterwards. Needed unless the
	 * response names its request: a late copy of an earlier response could
	 * be taken for it.
	 */
	bool new_connection;
	bool has_host_header; /* `headers` has the Host field */
	bool omit_content_length; /* send no Content-Length */
	/*
	 * A response that has this header with another value belongs to
	 * another request and is discarded. NULL: no check.
	 */
	const char *correlation_header;
	const char *correlation_value;
};

/* Callbacks of a call; all run from the loop. */
struct http_client_callbacks {
	/* The head of the final response; not called for interim ones. */
	void (*head)(void *user, const struct http_client_head *head);
	/* Bytes of the body, without transfer coding. */
	void (*data)(void *user, const char *data, size_t len);
	/* The call has ended; the last callback. */
	void (*done)(void *user, enum http_client_outcome outcome);
};

const char *http_client_outcome_name(enum http_client_outcome outcome);
const char *http_client_framing_name(enum http_client_framing framing);
const char *http_client_close_name(enum http_client_close close);
enum http_client_close
http_client_closed_by_server(const struct http_client_call *call);
struct http_client *http_client_new(uv_loop_t *loop);
struct http_client_call *
http_client_start(struct http_client *http_client,
		  const struct http_client_request *request,
		  const struct http_client_callbacks *callbacks, void *user);
void http_client_set_memory(struct http_client *http_client,
			    struct memory_account *memory);
void http_client_cancel(struct http_client_call *call);
void http_client_pause(struct http_client_call *call);
void http_client_resume(struct http_client_call *call);
bool http_client_is_paused(const struct http_client_call *call);
void http_client_extend_by_caller(struct http_client_call *call);
void http_client_extend(struct http_client_call *call);
void http_client_set_progress_limit(struct http_client_call *call,
				    uint32_t progress_ms);
void http_client_close_idle_pool(struct http_client *http_client,
				 const char *pool);
uint32_t http_client_open_connections(const struct http_client *http_client,
				      const char *pool);
uint64_t http_client_connect_count(const struct http_client *http_client);
uint64_t http_client_mismatch_count(const struct http_client *http_client);
uint64_t http_client_now(const struct http_client *http_client);

#endif
