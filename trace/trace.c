#include "trace/trace.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "json-check.h"

#define ID_BYTES 33 /* 32 hex digits and a NUL */
#define SPAN_ID_BYTES 17 /* 16 hex digits and a NUL */
#define TRACEPARENT_LEN 55
#define MAX_NOTES 16 /* of a request */
#define OTLP_KIND_SERVER 2
#define OTLP_KIND_CLIENT 3

/* A hop of a request, such as a call to a backend server. */
struct span {
	char name[TRACE_NAME_BYTES];
	char detail[TRACE_DETAIL_BYTES];
	uint64_t start_us;
	uint64_t end_us;
};

/* A decision on a request, for its explanation. */
struct note {
	char key[TRACE_NAME_BYTES];
	char *value;
};

struct request {
	uint64_t generation; /* of the slot's request; 0: unused slot */
	char id[ID_BYTES];
	char trace_id[ID_BYTES];
	char parent_span[SPAN_ID_BYTES]; /* empty: a root span */
	uint64_t start_us;
	uint64_t end_us; /* 0: still open */
	char verdict[16];
	struct span spans[TRACE_MAX_SPANS];
	uint32_t n_spans;
	uint32_t dropped_spans;
	struct note notes[MAX_NOTES];
	uint32_t n_notes;
};

struct trace_buffer {
	char *node;
	struct request *ring; /* TRACE_MAX_REQUESTS of them */
	uint64_t count; /* requests recorded since start */
};

/* Returns an empty buffer for the node of this name; trace_free frees it. */
struct trace_buffer *trace_new(const char *node)
{
	struct trace_buffer *t = g_new0(struct trace_buffer, 1);

	t->node = g_strdup(node);
	t->ring = g_new0(struct request, TRACE_MAX_REQUESTS);
	return t;
}

static void clear_request(struct request *r)
{
	for (uint32_t i = 0; i < r->n_notes; i++)
		g_free(r->notes[i].value);
	memset(r, 0, sizeof(*r));
}

/* Frees the buffer. */
void trace_free(struct trace_buffer *t)
{
	for (uint32_t i = 0; i < TRACE_MAX_REQUESTS; i++)
		clear_request(&t->ring[i]);
	g_free(t->ring);
	g_free(t->node);
	g_free(t);
}

/*
 * Takes trace and parent span ids from a W3C traceparent header,
 * "00-<32 hex>-<16 hex>-<2 hex>". Without a valid one, the request id is the
 * trace id and the request's span is a root span.
 */
static void parse_traceparent(struct request *r, const char *traceparent)
{
	g_strlcpy(r->trace_id, r->id, sizeof(r->trace_id));
	if (!traceparent || strlen(traceparent) != TRACEPARENT_LEN ||
	    strncmp(traceparent, "00-", 3) != 0)
		return;
	for (int i = 3; i < 52; i++)
		if (i != 35 && !g_ascii_isxdigit(traceparent[i]))
			return;
	memcpy(r->trace_id, traceparent + 3, 32);
	memcpy(r->parent_span, traceparent + 36, 16);
}

/*
 * Records a new request, which overwrites the oldest one, and returns its
 * handle. `traceparent` is the header's value or NULL.
 */
struct trace_handle trace_begin_request(struct trace_buffer *t,
					const char *request_id,
					const char *traceparent,
					uint64_t now_us)
{
	struct trace_handle h = {
		.slot = (uint32_t)(t->count % TRACE_MAX_REQUESTS),
		.generation = t->count + 1,
	};
	struct request *r = &t->ring[h.slot];

	t->count++;
	clear_request(r);
	r->generation = h.generation;
	g_strlcpy(r->id, request_id, sizeof(r->id));
	r->start_us = now_us;
	parse_traceparent(r, traceparent);
	return h;
}

/* Returns the request of a handle, or NULL if it has been overwritten. */
static struct request *find_request(const struct trace_buffer *t,
				    struct trace_handle h)
{
	struct request *r = &t->ring[h.slot];

	return r->generation == h.generation ? r : NULL;
}

/* Adds a span to a request; spans beyond TRACE_MAX_SPANS are only counted. */
void trace_add_span(struct trace_buffer *t, struct trace_handle h,
		    const char *name, uint64_t start_us, uint64_t end_us,
		    const char *detail)
{
	struct request *r = find_request(t, h);
	struct span *s;

	if (!r)
		return;
	if (r->n_spans == TRACE_MAX_SPANS) {
		r->dropped_spans++;
		return;
	}
	s = &r->spans[r->n_spans++];
	g_strlcpy(s->name, name, sizeof(s->name));
	g_strlcpy(s->detail, detail, sizeof(s->detail));
	s->start_us = start_us;
	s->end_us = end_us;
}

/*
 * Adds a note on a decision to a request, which becomes a member of its
 * explanation. Notes beyond MAX_NOTES are dropped.
 */
void trace_add_note(struct trace_buffer *t, struct trace_handle h,
		    const char *key, const char *value)
{
	struct request *r = find_request(t, h);

	if (!r || r->n_notes == MAX_NOTES)
		return;
	g_strlcpy(r->notes[r->n_notes].key, key, TRACE_NAME_BYTES);
	r->notes[r->n_notes++].value = g_strdup(value);
}

/* Records the end of a request and its verdict. */
void trace_end_request(struct trace_buffer *t, struct trace_handle h,
		       uint64_t now_us, const char *verdict)
{
	struct request *r = find_request(t, h);

	if (!r)
		return;
	r->end_us = now_us;
	g_strlcpy(r->verdict, verdict, sizeof(r->verdict));
}

/* Writes the id of span n: 0 is the request itself, hops follow from 1. */
static void format_span_id(const struct request *r, uint32_t n,
			   char out[SPAN_ID_BYTES])
{
	snprintf(out, SPAN_ID_BYTES, "%016llx",
		 (unsigned long long)XXH64(r->id, strlen(r->id), n + 1));
}

/*
 * Writes the traceparent header's value for the next hop; an empty string if
 * the request has been overwritten.
 */
void trace_write_traceparent(const struct trace_buffer *t,
			     struct trace_handle h, char *out, size_t size)
{
	const struct request *r = find_request(t, h);
	char id[SPAN_ID_BYTES];

	out[0] = '\0';
	if (!r)
		return;
	format_span_id(r, 0, id);
	snprintf(out, size, "00-%s-%s-01", r->trace_id, id);
}

static void add_us(struct json_object *o, const char *key, uint64_t us)
{
	json_object_object_add(o, key, json_object_new_int64((int64_t)us));
}

static struct json_object *spans_to_json(const struct request *r)
{
	struct json_object *list = json_object_new_array();

	for (uint32_t i = 0; i < r->n_spans; i++) {
		const struct span *s = &r->spans[i];
		struct json_object *o = json_object_new_object();

		jcheck_add_string(o, "hop", s->name);
		jcheck_add_string(o, "detail", s->detail);
		add_us(o, "after_us", s->start_us - r->start_us);
		add_us(o, "took_us", s->end_us - s->start_us);
		json_object_array_add(list, o);
	}
	return list;
}

/*
 * Returns a JSON object, owned by the caller, with the verdict, notes and spans
 * of a request, or NULL if the buffer doesn't hold it (any more).
 */
struct json_object *trace_explain(const struct trace_buffer *t,
				  const char *request_id)
{
	for (uint32_t i = 0; i < TRACE_MAX_REQUESTS; i++) {
		const struct request *r = &t->ring[i];
		struct json_object *o;

		if (!r->generation || strcmp(r->id, request_id) != 0)
			continue;
		o = json_object_new_object();
		jcheck_add_string(o, "request", r->id);
		jcheck_add_string(o, "node", t->node);
		jcheck_add_string(o, "verdict",
				  r->end_us ? r->verdict : "open");
		if (r->end_us)
			add_us(o, "took_us", r->end_us - r->start_us);
		for (uint32_t n = 0; n < r->n_notes; n++)
			jcheck_add_string(o, r->notes[n].key,
					  r->notes[n].value);
		json_object_object_add(o, "hops", spans_to_json(r));
		if (r->dropped_spans)
			json_object_object_add(
				o, "hops_not_kept",
				json_object_new_int((int)r->dropped_spans));
		return o;
	}
	return NULL;
}

static struct json_object *otlp_span(const struct request *r, uint32_t n,
				     const char *parent, const char *name,
				     uint64_t start_us, uint64_t end_us,
				     const char *detail)
{
	struct json_object *o = json_object_new_object();
	struct json_object *attributes = json_object_new_array();
	struct json_object *attribute = json_object_new_object();
	struct json_object *value = json_object_new_object();
	char id[SPAN_ID_BYTES], at[32];

	format_span_id(r, n, id);
	jcheck_add_string(o, "traceId", r->trace_id);
	jcheck_add_string(o, "spanId", id);
	jcheck_add_string(o, "parentSpanId", parent);
	jcheck_add_string(o, "name", name);
	json_object_object_add(
		o, "kind",
		json_object_new_int(n ? OTLP_KIND_CLIENT : OTLP_KIND_SERVER));
	snprintf(at, sizeof(at), "%llu000", (unsigned long long)start_us);
	jcheck_add_string(o, "startTimeUnixNano", at);
	snprintf(at, sizeof(at), "%llu000", (unsigned long long)end_us);
	jcheck_add_string(o, "endTimeUnixNano", at);
	jcheck_add_string(value, "stringValue", detail);
	jcheck_add_string(attribute, "key", "chivegw.detail");
	json_object_object_add(attribute, "value", value);
	json_object_array_add(attributes, attribute);
	json_object_object_add(o, "attributes", attributes);
	return o;
}

static void add_request_spans(struct json_object *list, const struct request *r)
{
	char root[SPAN_ID_BYTES];

	format_span_id(r, 0, root);
	json_object_array_add(list,
			      otlp_span(r, 0, r->parent_span, "request",
					r->start_us, r->end_us, r->verdict));
	for (uint32_t i = 0; i < r->n_spans; i++) {
		const struct span *s = &r->spans[i];

		json_object_array_add(list, otlp_span(r, i + 1, root, s->name,
						      s->start_us, s->end_us,
						      s->detail));
	}
}

/* Returns an object with one member: a list that contains only `inner`. */
static struct json_object *wrap_in_list(const char *key,
					struct json_object *inner)
{
	struct json_object *o = json_object_new_object();
	struct json_object *list = json_object_new_array();

	json_object_array_add(list, inner);
	json_object_object_add(o, key, list);
	return o;
}

static struct json_object *otlp_resource(const char *node)
{
	struct json_object *resource = json_object_new_object();
	struct json_object *attributes = json_object_new_array();
	struct json_object *attribute = json_object_new_object();
	struct json_object *value = json_object_new_object();

	jcheck_add_string(value, "stringValue", node);
	jcheck_add_string(attribute, "key", "service.instance.id");
	json_object_object_add(attribute, "value", value);
	json_object_array_add(attributes, attribute);
	json_object_object_add(resource, "attributes", attributes);
	return resource;
}

/*
 * Returns the ended requests in OTLP/JSON (ExportTraceServiceRequest), as an
 * object owned by the caller.
 */
struct json_object *trace_export_otlp(const struct trace_buffer *t)
{
	struct json_object *spans = json_object_new_array();
	struct json_object *scope = json_object_new_object();
	struct json_object *resource_spans;

	for (uint32_t i = 0; i < TRACE_MAX_REQUESTS; i++)
		if (t->ring[i].generation && t->ring[i].end_us)
			add_request_spans(spans, &t->ring[i]);
	json_object_object_add(scope, "spans", spans);
	resource_spans = wrap_in_list("scopeSpans", scope);
	json_object_object_add(resource_spans, "resource",
			       otlp_resource(t->node));
	return wrap_in_list("resourceSpans", resource_spans);
}
