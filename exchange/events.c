#include "exchange/events.h"

#include <string.h>

#define MAX_EVENT_BYTES (1024 * 1024)

/* Initialises a stream without any event. */
void event_stream_init(struct event_stream *e)
{
	memset(e, 0, sizeof(*e));
	e->buffer = g_string_new(NULL);
}

/* Frees the buffer. */
void event_stream_clear(struct event_stream *e)
{
	g_string_free(e->buffer, TRUE);
	e->buffer = NULL;
}

/* Makes id + 1 the first event expected: the client has those up to id. */
void event_stream_start_after(struct event_stream *e, uint64_t id)
{
	e->last_id = id;
	e->has_last_id = true;
}

/*
 * Prepares for another attempt, which continues after the last complete event;
 * drops the incomplete one.
 */
void event_stream_restart(struct event_stream *e)
{
	g_string_truncate(e->buffer, 0);
	e->scanned = 0;
	e->mid_event = false;
}

/* Returns the value of the line if it is of that field, or NULL. */
static const char *field_value(const char *line, size_t len, const char *field)
{
	size_t n = strlen(field);

	if (len <= n || memcmp(line, field, n) != 0 || line[n] != ':')
		return NULL;
	line += n + 1;
	return *line == ' ' ? line + 1 : line;
}

/* Finds the numeric id of an event. Returns false if it has none. */
static bool event_id(const char *event, size_t len, uint64_t *id)
{
	const char *end = event + len;

	while (event < end) {
		const char *nl = memchr(event, '\n', (size_t)(end - event));
		size_t n = nl ? (size_t)(nl - event) : (size_t)(end - event);
		const char *value = field_value(event, n, "id");

		if (value && g_ascii_isdigit(*value)) {
			*id = g_ascii_strtoull(value, NULL, 10);
			return true;
		}
		event += n + 1;
	}
	return false;
}

/* Checks the id of an event and counts the event if it is the next one. */
static enum event_stream_status check_id(struct event_stream *e,
					 const char *event, size_t len)
{
	uint64_t id;

	if (!event_id(event, len, &id))
		return EVENT_STREAM_NO_ID;
	if (e->has_last_id && id != e->last_id + 1)
		return EVENT_STREAM_OUT_OF_ORDER;
	e->last_id = id;
	e->has_last_id = true;
	e->count++;
	return EVENT_STREAM_OK;
}

/*
 * Returns the length in bytes of the first event in the buffer, with the empty
 * line that ends it, or 0 if it is incomplete.
 */
static size_t complete_event_length(struct event_stream *e)
{
	const char *s = e->buffer->str;

	for (size_t i = MAX(e->scanned, 1); i < e->buffer->len; i++) {
		if (s[i] != '\n')
			continue;
		if (s[i - 1] == '\n' ||
		    (i >= 3 && s[i - 1] == '\r' && s[i - 2] == '\n'))
			return i + 1;
	}
	e->scanned = e->buffer->len;
	return 0;
}

/*
 * Adds bytes of the answer and calls sink for each event that they complete.
 * Returns EVENT_STREAM_OK, or what is wrong with the stream; then nothing more
 * of this attempt may be forwarded.
 */
enum event_stream_status event_stream_push(struct event_stream *e,
					   const char *data, size_t len,
					   event_stream_sink sink, void *user)
{
	size_t n;

	g_string_append_len(e->buffer, data, (gssize)len);
	while ((n = complete_event_length(e))) {
		enum event_stream_status status =
			check_id(e, e->buffer->str, n);

		if (status != EVENT_STREAM_OK)
			return status;
		sink(user, e->buffer->str, n);
		g_string_erase(e->buffer, 0, (gssize)n);
		e->scanned = 0;
	}
	e->mid_event = e->buffer->len > 0;
	return e->buffer->len > MAX_EVENT_BYTES ? EVENT_STREAM_TOO_LARGE
						: EVENT_STREAM_OK;
}
