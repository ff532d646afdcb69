#include "exchange/events.h"

#include <string.h>

#define MAX_EVENT_BYTES (1024 * 1024)

/* Starts before the first event. */
void event_stream_init(struct event_stream *e)
{
	memset(e, 0, sizeof(*e));
	e->held = g_string_new(NULL);
}

/* Frees what the splitter holds. */
void event_stream_clear(struct event_stream *e)
{
	g_string_free(e->held, TRUE);
	e->held = NULL;
}

/* The client has the events up to this id already. */
void event_stream_start_after(struct event_stream *e, uint64_t id)
{
	e->last_id = id;
	e->has_last = true;
}

/* Another run goes on after the last whole event; drops what was cut. */
void event_stream_restart(struct event_stream *e)
{
	g_string_truncate(e->held, 0);
	e->scanned = 0;
	e->mid_event = false;
}

static const char *line_value(const char *line, size_t len, const char *field)
{
	size_t n = strlen(field);

	if (len <= n || memcmp(line, field, n) != 0 || line[n] != ':')
		return NULL;
	line += n + 1;
	return *line == ' ' ? line + 1 : line;
}

static bool event_id(const char *event, size_t len, uint64_t *id)
{
	const char *end = event + len;

	while (event < end) {
		const char *nl = memchr(event, '\n', (size_t)(end - event));
		size_t n = nl ? (size_t)(nl - event) : (size_t)(end - event);
		const char *value = line_value(event, n, "id");

		if (value && g_ascii_isdigit(*value)) {
			*id = g_ascii_strtoull(value, NULL, 10);
			return true;
		}
		event += n + 1;
	}
	return false;
}

static enum event_stream_status check_id(struct event_stream *e,
					 const char *event, size_t len)
{
	uint64_t id;

	if (!event_id(event, len, &id))
		return EVENT_STREAM_NO_ID;
	if (e->has_last && id != e->last_id + 1)
		return EVENT_STREAM_OUT_OF_ORDER;
	e->last_id = id;
	e->has_last = true;
	e->count++;
	return EVENT_STREAM_OK;
}

/* Returns the length of the first whole event held, or 0. */
static size_t whole_event(struct event_stream *e)
{
	const char *s = e->held->str;

	for (size_t i = MAX(e->scanned, 1); i < e->held->len; i++) {
		if (s[i] != '\n')
			continue;
		if (s[i - 1] == '\n' ||
		    (i >= 3 && s[i - 1] == '\r' && s[i - 2] == '\n'))
			return i + 1;
	}
	e->scanned = e->held->len;
	return 0;
}

/*
 * Takes bytes of the answer and passes whole events on, as they are. After a
 * fault nothing more of this run may be passed on.
 */
enum event_stream_status event_stream_push(struct event_stream *e,
					   const char *data, size_t len,
					   event_stream_sink pass, void *user)
{
	size_t n;

	g_string_append_len(e->held, data, (gssize)len);
	while ((n = whole_event(e))) {
		enum event_stream_status fault = check_id(e, e->held->str, n);

		if (fault != EVENT_STREAM_OK)
			return fault;
		pass(user, e->held->str, n);
		g_string_erase(e->held, 0, (gssize)n);
		e->scanned = 0;
	}
	e->mid_event = e->held->len > 0;
	return e->held->len > MAX_EVENT_BYTES ? EVENT_STREAM_TOO_LARGE
					      : EVENT_STREAM_OK;
}
