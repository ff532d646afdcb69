#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "http/message.h"

/* HTTP/1.1 client on libuv with kept connections per address. */
struct http_client;
struct http_client_call;

/* How a call ended. */
enum http_client_outcome {
	HTTP_CLIENT_COMPLETE, /* the answer arrived whole */
	HTTP_CLIENT_NOT_SENT, /* no byte of the request left */
	HTTP_CLIENT_INTERRUPTED, /* the request may have run; no whole answer */
	HTTP_CLIENT_TIMED_OUT, /* as HTTP_CLIENT_INTERRUPTED: no progress within the limit */
	HTTP_CLIENT_CANCELLED,
};

/* What the answer's head said; valid during the call-back. */
struct http_client_head {
	int status;
	const char *request_id; /* x-request-id, or NULL */
	const char *etag;
	const char *type;
	int64_t retry_after_s; /* -1 if absent */
	const struct http_message_fields *fields;
	bool framed; /* false: the answer ends with its connection */
	bool reused; /* came over a kept connection */
};

struct http_client_request {
	const char *address; /* "ip:port" */
	const char *pool; /* what kept connections go by; NULL: the address */
	const char *method;
	const char *path;
	const char *headers; /* whole lines, each ended by CRLF, or NULL */
	const void *body;
	size_t len;
	uint32_t connect_ms;
	uint32_t first_ms; /* limit to the answer's head; 0: progress_ms */
	uint32_t progress_ms; /* limit between two arrivals of bytes */
	uint32_t total_ms; /* 0: no limit */
	uint32_t max_idle_ms; /* oldest kept connection to use; 0: any */
	bool fresh; /* never on a kept connection */
	bool has_host_header; /* `headers` has the host field */
	bool omit_content_length; /* no length field: a request without a body */
	/*
	 * An answer whose header id_name is there and is not id_value belongs
	 * to another request and is dropped. NULL: none is.
	 */
	const char *id_name;
	const char *id_value;
};

struct http_client_callbacks {
	void (*head)(void *user, const struct http_client_head *head);
	void (*data)(void *user, const char *data, size_t len);
	void (*done)(void *user, enum http_client_outcome end);
};

const char *http_client_outcome_name(enum http_client_outcome end);
struct http_client *http_client_new(uv_loop_t *loop);
struct http_client_call *
http_client_start(struct http_client *http_client,
		  const struct http_client_request *request,
		  const struct http_client_callbacks *events, void *user);
void http_client_cancel(struct http_client_call *call);
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
