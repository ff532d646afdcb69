#ifndef ANSWER_ANSWER_H
#define ANSWER_ANSWER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "verdict.h"

/*
 * One model answer on its way to its caller, over one or more attempts at
 * engines. Decides which bytes may be passed on: only those of this request,
 * each once and in order.
 *
 * Engines are always asked for a stream, since progress shows in no other
 * way; a caller that wants one object gets it put together here. A stream is
 * a sequence of server-sent events, each a JSON object with "id" (the request
 * id) and "offset" (0, 1, ...), then one with "usage" whose offset is the
 * number of those before it, then "[DONE]".
 */
#define ANSWER_MAX_EVENT_BYTES (256 * 1024)
#define ANSWER_MAX_TEXT_BYTES (8 * 1024 * 1024)

enum answer_fault {
	ANSWER_FAULT_NONE,
	ANSWER_FAULT_ID_MISMATCH, /* the answer of another request */
	ANSWER_FAULT_GAP, /* an event is missing */
	ANSWER_FAULT_MALFORMED,
	ANSWER_FAULT_TOO_LARGE,
	ANSWER_FAULT_REFUSED, /* the engine refused with a status; not run */
	ANSWER_FAULT_ERROR_STATUS, /* the engine answered with an error status */
	ANSWER_FAULT_NOT_SENT, /* no byte left for the engine */
	ANSWER_FAULT_TRUNCATED, /* the connection broke or fell silent */
};

struct answer_usage {
	uint64_t input_tokens;
	uint64_t output_tokens;
};

struct answer_relay {
	char *request_id;
	bool streamed; /* events are passed on as they come */
	uint64_t next_offset; /* events taken so far */
	bool done; /* the end has arrived */
	struct answer_usage usage;
	bool has_usage;
	enum answer_fault fault; /* of the current attempt */
	int status; /* of the current attempt */
	GString *part; /* bytes of an unfinished event */
	GString *text; /* content so far */
	uint32_t attempts;
	enum verdict_kind verdict;
};

typedef void (*answer_sink)(void *user, const char *data, size_t len);

void answer_init(struct answer_relay *a, const char *request_id, bool streamed);
void answer_clear(struct answer_relay *a);
void answer_restart(struct answer_relay *a);
void answer_begin_attempt(struct answer_relay *a);
bool answer_on_head(struct answer_relay *a, int status, const char *request_id);
bool answer_on_data(struct answer_relay *a, const char *data, size_t len,
		    answer_sink sink, void *user);

enum answer_end {
	ANSWER_END_COMPLETE, /* the connection delivered all it had to */
	ANSWER_END_NOT_SENT,
	ANSWER_END_TRUNCATED,
};

enum answer_step {
	ANSWER_STEP_RETRY, /* nothing taken yet: start anew elsewhere */
	ANSWER_STEP_RESUME, /* go on elsewhere from next_offset */
	ANSWER_STEP_GIVE_UP,
};

bool answer_on_end(struct answer_relay *a, enum answer_end end);
enum answer_step answer_next_step(const struct answer_relay *a, bool may_retry);
char *answer_to_json(const struct answer_relay *a, const char *version);
const char *answer_fault_name(enum answer_fault fault);

#endif
