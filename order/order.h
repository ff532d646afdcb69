#ifndef ORDER_ORDER_H
#define ORDER_ORDER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "verdict.h"

/*
 * One request that may not be repeated, with its idempotency key. A durable
 * claim under the key comes before the request is sent; whoever finds a claim
 * of another never sends. Times are milliseconds of the node's own clock.
 */
#define ORDER_ID_SIZE 64
#define ORDER_DIGEST_SIZE 65
#define ORDER_CLAIM_MAX_TRIES 4
#define ORDER_RECORD_MAX_TRIES 64
#define ORDER_ABANDON_MAX_READS 16
#define ORDER_RETRY_FIRST_MS 50
#define ORDER_RETRY_MAX_MS 5000

enum order_record_state {
	ORDER_CLAIMED, /* may be sent, or was sent, by the claim's holder */
	ORDER_RELEASED, /* the holder gave up before any byte left */
	ORDER_DONE, /* ran; the result is recorded */
	ORDER_OUTCOME_UNKNOWN, /* sent, but no whole answer came */
};

/* What the store holds under a key. */
struct order_record {
	enum order_record_state state;
	char operation[ORDER_ID_SIZE]; /* request id of the holder */
	char digest[ORDER_DIGEST_SIZE]; /* of method, path and body */
};

enum order_phase {
	ORDER_PHASE_CLAIM, /* a conditional write of the claim is out */
	ORDER_PHASE_READ, /* a read of the key is out */
	ORDER_PHASE_SEND, /* the request is at the backend server */
	ORDER_PHASE_RECORD, /* a write of the outcome is out */
	ORDER_PHASE_ABANDON, /* refused; a claim of mine may still stand */
	ORDER_PHASE_ENDED,
};

enum order_event_kind {
	ORDER_EVENT_WRITTEN, /* the conditional write took effect */
	ORDER_EVENT_CONFLICT, /* it did not: the object is not as expected */
	ORDER_EVENT_STORE_UNKNOWN, /* no answer: it may or may not take effect */
	ORDER_EVENT_STORE_REFUSED, /* the store refused it; no effect */
	ORDER_EVENT_FOUND, /* a read returned a record */
	ORDER_EVENT_ABSENT, /* a read found nothing */
	ORDER_EVENT_ANSWERED, /* the backend server answered, whole */
	ORDER_EVENT_NOT_SENT, /* no byte of the request left */
	ORDER_EVENT_NO_ANSWER, /* bytes left; no whole answer */
};

struct order_event {
	enum order_event_kind kind;
	uint64_t etag; /* with WRITTEN and FOUND */
	struct order_record record; /* with FOUND */
};

enum order_action_kind {
	ORDER_ACTION_NONE,
	ORDER_ACTION_CREATE, /* write `record` if the key is absent */
	ORDER_ACTION_REPLACE, /* write `record` if the etag matches */
	ORDER_ACTION_READ,
	ORDER_ACTION_SEND,
	ORDER_ACTION_END, /* nothing more to do; the caller has its answer */
};

/* What the caller gets along with an action; its final answer, once. */
enum order_reply {
	ORDER_REPLY_NONE,
	ORDER_REPLY_RESULT, /* what the backend server just answered */
	ORDER_REPLY_RECORDED, /* the result that the record holds */
	ORDER_REPLY_REFUSAL, /* verdict and reason */
};

enum order_reason {
	ORDER_REASON_NONE,
	ORDER_REASON_STORE_UNAVAILABLE, /* the store did not take the claim */
	ORDER_REASON_DEADLINE_PASSED, /* the deadline passed before sending */
	ORDER_REASON_ALREADY_RUNNING, /* another request holds the claim */
	ORDER_REASON_OUTCOME_UNKNOWN, /* sent before, outcome unknown */
	ORDER_REASON_KEY_REUSED, /* the key came with another request */
	ORDER_REASON_NO_SERVER, /* no backend server could be reached */
};

struct order_action {
	enum order_action_kind kind;
	uint32_t delay_ms; /* wait before doing it */
	uint64_t etag; /* with REPLACE */
	struct order_record record; /* with CREATE and REPLACE */
	enum order_reply answer;
	enum verdict_kind verdict; /* with a refusal */
	enum order_reason reason;
};

struct order_attempt {
	enum order_phase phase;
	struct order_record mine;
	uint64_t etag; /* of my claim in the store */
	uint64_t deadline;
	uint32_t tries;
	bool sent;
	bool claim_unclear; /* a write of the claim may take effect yet */
	bool answered; /* the caller has its final answer */
	bool recorded; /* the outcome is durable */
};

struct order_action order_start(struct order_attempt *o, uint64_t now,
				const char *operation, const char *digest,
				uint64_t deadline);
struct order_action order_handle_event(struct order_attempt *o, uint64_t now,
				       const struct order_event *event);
const char *order_reason_name(enum order_reason reason);
const char *order_state_name(enum order_record_state state);
bool order_state_parse(const char *name, enum order_record_state *state);

#endif
