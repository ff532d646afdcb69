#ifndef ORDER_ORDER_H
#define ORDER_ORDER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "verdict.h"

/*
 * State machine that executes an order: a non-idempotent request with an
 * idempotency key. A node sends the request only after it has written a
 * durable claim under the key; a node that finds the claim of another request
 * never sends. The machine does no I/O: the owner performs each action and
 * passes in the event that it led to. Times are milliseconds of the node's own
 * clock.
 */
#define ORDER_ID_SIZE 64 /* with the terminating NUL */
#define ORDER_DIGEST_SIZE 65 /* SHA-256 in hex and a NUL */
#define ORDER_CLAIM_MAX_TRIES 4 /* store calls before the request is refused */
/*
 * The client has its reply while the outcome is written, so these tries may
 * outlast a longer outage of the store.
 */
#define ORDER_RECORD_MAX_TRIES 64
#define ORDER_ABANDON_MAX_READS 16
#define ORDER_RETRY_FIRST_MS 50 /* doubles with each try */
#define ORDER_RETRY_MAX_MS 5000

/* Stored by name; see order_state_name. */
enum order_record_state {
	ORDER_CLAIMED, /* the holder of the claim may send, or has sent */
	ORDER_RELEASED, /* the holder gave up before sending any byte */
	ORDER_DONE, /* ran; the result is recorded */
	ORDER_OUTCOME_UNKNOWN, /* sent, but no complete answer arrived */
};

/* The record that the store holds under an idempotency key. */
struct order_record {
	enum order_record_state state;
	char operation[ORDER_ID_SIZE]; /* request id of the claim's holder */
	char digest[ORDER_DIGEST_SIZE]; /* of method, path and body */
};

enum order_phase {
	ORDER_PHASE_CLAIM, /* a conditional write of the claim is in flight */
	ORDER_PHASE_READ, /* a read of the key is in flight */
	ORDER_PHASE_SEND, /* the request is at the backend server */
	ORDER_PHASE_RECORD, /* a write of the outcome is in flight */
	ORDER_PHASE_ABANDON, /* refused, but our claim may still be written */
	ORDER_PHASE_ENDED,
};

enum order_event_kind {
	ORDER_EVENT_WRITTEN, /* the conditional write took effect */
	ORDER_EVENT_CONFLICT, /* the condition of the write did not hold */
	ORDER_EVENT_STORE_UNKNOWN, /* no reply: a write may still take effect */
	ORDER_EVENT_STORE_REFUSED, /* refused by the store; no effect */
	ORDER_EVENT_FOUND, /* a read returned a record */
	ORDER_EVENT_ABSENT, /* a read found no record */
	ORDER_EVENT_ANSWERED, /* the backend server answered completely */
	ORDER_EVENT_NOT_SENT, /* no byte of the request was sent */
	ORDER_EVENT_NO_ANSWER, /* sent at least in part; no complete answer */
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
	ORDER_ACTION_READ, /* read the record of the key */
	ORDER_ACTION_SEND, /* send the request to a backend server */
	ORDER_ACTION_END, /* nothing is left to do */
};

/* The final reply to the client; goes out with exactly one action. */
enum order_reply {
	ORDER_REPLY_NONE, /* not with this action */
	ORDER_REPLY_RESULT, /* the backend server's answer */
	ORDER_REPLY_RECORDED, /* the result that the record holds */
	ORDER_REPLY_REFUSAL, /* verdict and reason */
};

enum order_reason {
	ORDER_REASON_NONE,
	ORDER_REASON_STORE_UNAVAILABLE, /* the claim could not be stored */
	ORDER_REASON_DEADLINE_PASSED, /* before the request was sent */
	ORDER_REASON_ALREADY_RUNNING, /* another request holds the claim */
	ORDER_REASON_OUTCOME_UNKNOWN, /* sent, but no complete answer */
	ORDER_REASON_KEY_REUSED, /* the key belongs to a different request */
	ORDER_REASON_NO_SERVER, /* no backend server could be reached */
};

struct order_action {
	enum order_action_kind kind;
	uint32_t delay_ms; /* to wait before performing it */
	uint64_t etag; /* with REPLACE */
	struct order_record record; /* with CREATE and REPLACE */
	enum order_reply reply;
	enum verdict_kind verdict; /* with a refusal */
	enum order_reason reason; /* with a refusal */
};

/* One request's attempt to execute an order. */
struct order_attempt {
	enum order_phase phase;
	struct order_record record; /* as this attempt last wrote it */
	uint64_t etag; /* of our claim in the store */
	uint64_t deadline;
	uint32_t store_tries; /* store calls; restarts with RECORD, ABANDON */
	bool sent; /* the request may have reached a backend server */
	bool claim_unconfirmed; /* a claim's write may still take effect */
	bool replied; /* the client has its final reply */
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
