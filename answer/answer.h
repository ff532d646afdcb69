#ifndef ANSWER_ANSWER_H
#define ANSWER_ANSWER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "verdict.h"

/*
 * Relays one model answer to its client, over one or more attempts at model
 * engines. Passes on only events of this request, each once and in order.
 *
 * Engines are always asked for a stream, since nothing else shows progress; a
 * client that wants a single object gets it assembled here. A stream is a
 * sequence of server-sent events, each a JSON object with "id" (the request
 * id) and "offset" (0, 1, ...), then one with "usage" whose offset is the
 * number of events before it, then "[DONE]".
 */
#define ANSWER_MAX_EVENT_BYTES (256 * 1024)
#define ANSWER_MAX_TEXT_BYTES (8 * 1024 * 1024) /* of all content */

enum answer_fault {
	ANSWER_FAULT_NONE,
	ANSWER_FAULT_ID_MISMATCH, /* the answer has another request's id */
	ANSWER_FAULT_GAP, /* an event or the usage is missing */
	ANSWER_FAULT_MALFORMED, /* not the events described above */
	ANSWER_FAULT_TOO_LARGE, /* a limit in bytes was exceeded */
	ANSWER_FAULT_REFUSED, /* status 429 or 503: not run */
	ANSWER_FAULT_ERROR_STATUS, /* any other error status */
	ANSWER_FAULT_NOT_SENT, /* no byte of the request was sent */
	ANSWER_FAULT_TRUNCATED, /* the connection broke or timed out */
};

struct answer_usage {
	uint64_t input_tokens;
	uint64_t output_tokens;
};

struct answer_relay {
	char *request_id;
	bool streamed; /* the client wants events as they arrive */
	uint64_t next_offset; /* number of content events accepted */
	bool done; /* "[DONE]" has arrived */
	struct answer_usage usage;
	bool has_usage;
	enum answer_fault fault; /* of the current attempt */
	int status; /* HTTP status of the current attempt; 0: none yet */
	GString *partial_event; /* bytes received of the next event */
	GString *text; /* content so far */
	uint32_t attempts;
	enum verdict_kind verdict; /* worst of all attempts so far */
};

/* Gets the bytes of one event for the client. */
typedef void (*answer_sink)(void *user, const char *data, size_t len);

void answer_init(struct answer_relay *a, const char *request_id, bool streamed);
void answer_clear(struct answer_relay *a);
void answer_restart(struct answer_relay *a);
void answer_begin_attempt(struct answer_relay *a);
bool answer_on_head(struct answer_relay *a, int status, const char *request_id);
bool answer_on_data(struct answer_relay *a, const char *data, size_t len,
		    answer_sink sink, void *user);

/* How the connection of an attempt ended. */
enum answer_end {
	ANSWER_END_COMPLETE, /* the HTTP response arrived completely */
	ANSWER_END_NOT_SENT, /* no byte of the request was sent */
	ANSWER_END_TRUNCATED, /* cancelled, broken or timed out */
};

/* What follows a failed attempt. */
enum answer_step {
	ANSWER_STEP_RETRY, /* no event accepted yet: start over */
	ANSWER_STEP_RESUME, /* continue from next_offset */
	ANSWER_STEP_GIVE_UP,
};

bool answer_on_end(struct answer_relay *a, enum answer_end end);
enum answer_step answer_next_step(const struct answer_relay *a, bool may_retry);
char *answer_to_json(const struct answer_relay *a, const char *version);
const char *answer_fault_name(enum answer_fault fault);

#endif
