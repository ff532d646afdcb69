#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "http/message.h"

/* HTTP/1.1 listener on libuv; one address, one callback. */
struct hs;
struct hs_req;

typedef void (*hs_on_request)(void *owner, struct hs_req *req);
typedef void (*hs_on_gone)(void *user);

/* What a client may send, and how long it may take; changes at any time. */
struct hs_limits {
	size_t head_bytes;
	size_t body_bytes;
	uint64_t head_ms; /* from the first byte of a request to its last */
	uint64_t idle_ms; /* a kept connection without a request */
};

struct hs *hs_listen(uv_loop_t *loop, const char *address, size_t max_body,
		     uint64_t head_timeout_ms, hs_on_request cb, void *owner,
		     GError **err);
void hs_set_limits(struct hs *hs, const struct hs_limits *limits);
void hs_close_idle(struct hs *hs);
void hs_stop_accepting(struct hs *hs);
void hs_shutdown(struct hs *hs);
size_t hs_open_requests(const struct hs *hs);

const char *hs_method(const struct hs_req *req);
const char *hs_path(const struct hs_req *req);
const char *hs_body(const struct hs_req *req, size_t *len);
const char *hs_header(struct hs_req *req, const char *name);
const struct htm_fields *hs_fields(const struct hs_req *req);

void hs_watch_gone(struct hs_req *req, hs_on_gone cb, void *user);
void hs_add_header(struct hs_req *req, const char *name, const char *value);
void hs_begin(struct hs_req *req, int status);
bool hs_begun(const struct hs_req *req);
void hs_write(struct hs_req *req, const void *data, size_t len);
void hs_end(struct hs_req *req);
void hs_abort(struct hs_req *req);
void hs_leave_unframed(struct hs_req *req);
size_t hs_unsent(const struct hs_req *req);
void hs_reply(struct hs_req *req, int status, const char *type,
	      const char *body, size_t len);
void hs_reply_json(struct hs_req *req, int status, const char *json);

#endif
