#ifndef EXCHANGE_EVENTS_H
#define EXCHANGE_EVENTS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Splits a text/event-stream body into events and checks that their ids are
 * consecutive. Only complete events are forwarded.
 */
enum event_stream_status {
	EVENT_STREAM_OK,
	EVENT_STREAM_NO_ID, /* an event has no numeric id */
	EVENT_STREAM_OUT_OF_ORDER, /* an id is not the previous id + 1 */
	EVENT_STREAM_TOO_LARGE, /* an event exceeds the size limit */
};

struct event_stream {
	GString *buffer; /* start of the event that is still incomplete */
	size_t scanned; /* bytes of buffer known to hold no end of an event */
	uint64_t last_id; /* of the last event that the client has */
	bool has_last_id; /* false: the client has none */
	uint64_t count; /* events forwarded, over all attempts */
	bool mid_event; /* buffer is not empty */
};

/* Receives one complete event, unchanged, with the empty line that ends it. */
typedef void (*event_stream_sink)(void *user, const char *data, size_t len);

void event_stream_init(struct event_stream *e);
void event_stream_clear(struct event_stream *e);
void event_stream_start_after(struct event_stream *e, uint64_t id);
void event_stream_restart(struct event_stream *e);
enum event_stream_status event_stream_push(struct event_stream *e,
					   const char *data, size_t len,
					   event_stream_sink sink, void *user);

#endif
