#ifndef TRACE_TRACE_H
#define TRACE_TRACE_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * A ring buffer of the last requests of this node, with a span for each hop and
 * notes on decisions, for explanations and export. Memory is bounded. Times are
 * microseconds since 1970.
 */
#define TRACE_MAX_REQUESTS 2048
#define TRACE_MAX_SPANS 24 /* of a request */
/* Sizes of strings with their NUL; longer ones are truncated. */
#define TRACE_NAME_BYTES 24
#define TRACE_DETAIL_BYTES 96

/*
 * Refers to a request. Functions ignore a handle whose request has been
 * overwritten by a newer one.
 */
struct trace_handle {
	uint32_t slot; /* index in the ring */
	uint64_t generation; /* of the request in that slot */
};

struct trace_buffer;

struct trace_buffer *trace_new(const char *node);
void trace_free(struct trace_buffer *t);
struct trace_handle trace_begin_request(struct trace_buffer *t,
					const char *request_id,
					const char *traceparent,
					uint64_t now_us);
void trace_add_span(struct trace_buffer *t, struct trace_handle h,
		    const char *name, uint64_t start_us, uint64_t end_us,
		    const char *detail);
void trace_add_note(struct trace_buffer *t, struct trace_handle h,
		    const char *key, const char *value);
void trace_end_request(struct trace_buffer *t, struct trace_handle h,
		       uint64_t now_us, const char *verdict);
void trace_write_traceparent(const struct trace_buffer *t,
			     struct trace_handle h, char *out, size_t size);
struct json_object *trace_explain(const struct trace_buffer *t,
				  const char *request_id);
struct json_object *trace_export_otlp(const struct trace_buffer *t);

#endif
