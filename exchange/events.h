#ifndef EXCHANGE_EVENTS_H
#define EXCHANGE_EVENTS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Splits a stream of events (text/event-stream) and checks the order of their
 * ids. Only whole events are passed on.
 */
enum event_stream_status {
	EVENT_STREAM_OK,
	EVENT_STREAM_NO_ID,
	EVENT_STREAM_OUT_OF_ORDER, /* an id that does not follow the one before */
	EVENT_STREAM_TOO_LARGE,
};

struct event_stream {
	GString *held; /* bytes of an event that is not whole yet */
	size_t scanned;
	uint64_t last_id; /* of the last whole event passed on */
	bool has_last; /* last_id is known */
	uint64_t count; /* events passed on */
	bool mid_event; /* bytes are held */
};

typedef void (*event_stream_sink)(void *user, const char *data, size_t len);

void event_stream_init(struct event_stream *e);
void event_stream_clear(struct event_stream *e);
void event_stream_start_after(struct event_stream *e, uint64_t id);
void event_stream_restart(struct event_stream *e);
enum event_stream_status event_stream_push(struct event_stream *e,
					   const char *data, size_t len,
					   event_stream_sink pass, void *user);

#endif
