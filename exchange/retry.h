#ifndef EXCHANGE_RETRY_H
#define EXCHANGE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "exchange/routes.h"
#include "verdict.h"

/*
 * Decides what an answer's head means and how a request goes on after an
 * attempt. What may not be repeated is sent again only if it surely did not
 * run. Times are milliseconds of the node's own clock.
 */
#define RETRY_MAX_UNSENT 4

/* How an attempt ended. */
enum retry_result {
	RETRY_RESULT_COMPLETE, /* the server's whole answer, of whatever status */
	RETRY_RESULT_REFUSED, /* the server says that it did not run it */
	RETRY_RESULT_MISDIRECTED, /* the same: another server has the address */
	RETRY_RESULT_UNSENT, /* no byte left this node */
	RETRY_RESULT_BROKEN, /* may have run; no whole answer */
	RETRY_RESULT_WEAK, /* dropped for an answer of a larger model */
	RETRY_RESULT_CANCELLED, /* the client has gone */
};

struct retry_state {
	bool repeatable;
	uint32_t max_sent;
	uint32_t sent; /* attempts that may have reached a server */
	uint32_t unsent;
	enum verdict_kind verdict; /* of all attempts together */
};

struct retry_answer {
	enum retry_result result;
	int status;
	bool no_continuation; /* no stream, where one is to go on */
	bool too_large;
};

/* What matters of an answer's head. */
struct retry_answer_head {
	int status;
	bool has_id; /* names a request */
	bool is_ours; /* this one */
	bool not_run; /* is marked as not run */
	bool receipt;
	bool encoded;
};

struct retry_context {
	uint64_t now;
	uint64_t deadline;
	bool begun; /* the client has a part of the answer */
	bool client_gone;
	bool has_spare; /* a server's failure could be given */
};

enum retry_step {
	RETRY_STEP_DELIVER,
	RETRY_STEP_DELIVER_SAVED,
	RETRY_STEP_RESEND, /* or go on, if the answer has begun */
	RETRY_STEP_ABORT,
	RETRY_STEP_REFUSE,
	RETRY_STEP_DISCARD,
};

struct retry_refusal {
	int status;
	const char *reason;
	uint32_t retry_after_ms; /* 0: none */
};

void retry_init(struct retry_state *r, const struct route_entry *route);
bool retry_may_send(const struct retry_state *r);
void retry_begin_attempt(struct retry_state *r, struct retry_answer *a);
bool retry_on_head(struct retry_answer *a,
		   const struct retry_answer_head *head);
void retry_on_end(struct retry_answer *a, bool whole, bool unsent,
		  bool cancelled);
void retry_count_answer(struct retry_state *r, const struct retry_answer *a);
enum retry_step retry_next_step(struct retry_state *r,
				const struct retry_answer *a,
				const struct retry_context *s);
enum retry_step retry_step_without_budget(const struct retry_state *r,
					  const struct retry_answer *a,
					  const struct retry_context *s);
struct retry_refusal retry_refusal(const struct retry_state *r,
				   const struct retry_context *s);
bool retry_has_attempt_left(const struct retry_state *r,
			    const struct retry_context *s);
uint32_t retry_first_timeout_ms(const struct retry_state *r,
				const struct route_entry *route,
				uint32_t input_tokens);
uint32_t retry_gap_timeout_ms(const struct retry_state *r,
			      const struct route_entry *route);
const char *retry_result_name(enum retry_result result);
const char *retry_step_name(enum retry_step step);

#endif
