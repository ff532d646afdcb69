#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "http/message.h"

/* HTTP/1.1 client on libuv with kept connections per address. */
struct hc;
struct hc_call;

/* How a call ended. */
enum hc_end {
	HC_WHOLE, /* the answer arrived whole */
	HC_NOT_SENT, /* no byte of the request left */
	HC_BROKEN, /* the request may have run; no whole answer */
	HC_SILENT, /* as HC_BROKEN: no progress within the limit */
	HC_CANCELLED,
};

/* What the answer's head said; valid during the call-back. */
struct hc_head {
	int status;
	const char *request_id; /* x-request-id, or NULL */
	const char *etag;
	const char *type;
	int64_t retry_after_s; /* -1 if absent */
	const struct htm_fields *fields;
	bool framed; /* false: the answer ends with its connection */
	bool reused; /* came over a kept connection */
};

struct hc_request {
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
	bool own_host; /* `headers` has the host field */
	bool no_length; /* no length field: a request without a body */
	/*
	 * An answer whose header id_name is there and is not id_value belongs
	 * to another request and is dropped. NULL: none is.
	 */
	const char *id_name;
	const char *id_value;
};

struct hc_events {
	void (*head)(void *user, const struct hc_head *head);
	void (*data)(void *user, const char *data, size_t len);
	void (*done)(void *user, enum hc_end end);
};

const char *hc_end_name(enum hc_end end);
struct hc *hc_new(uv_loop_t *loop);
struct hc_call *hc_start(struct hc *hc, const struct hc_request *request,
			 const struct hc_events *events, void *user);
void hc_cancel(struct hc_call *call);
void hc_set_progress(struct hc_call *call, uint32_t progress_ms);
void hc_forget(struct hc *hc, const char *pool);
uint32_t hc_open(const struct hc *hc, const char *pool);
uint64_t hc_connects(const struct hc *hc);
uint64_t hc_crossed(const struct hc *hc);
uint64_t hc_now(const struct hc *hc);

#endif
