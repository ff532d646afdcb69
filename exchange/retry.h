#ifndef EXCHANGE_RETRY_H
#define EXCHANGE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "exchange/routes.h"
#include "verdict.h"

/*
 * Classifies the head of an answer and decides the next step after an attempt.
 * A request that is not repeatable is sent again only if it certainly did not
 * run. Times are milliseconds of the node's own clock.
 */
#define RETRY_MAX_UNSENT 6 /* attempts of which no byte was sent */
/*
 * Attempts that reached another server than the one meant: as many as a request
 * keeps servers in mind that it has tried.
 */
#define RETRY_MAX_MISDIRECTED 8

/* How an attempt ended. */
enum retry_result {
	RETRY_RESULT_COMPLETE, /* a complete answer, of any status */
	RETRY_RESULT_REFUSED, /* the server says that it did not run */
	RETRY_RESULT_MISDIRECTED, /* did not run: address of another server */
	/* Did not run: the right server does not serve such requests. */
	RETRY_RESULT_UNSERVED,
	RETRY_RESULT_UNSENT, /* no byte left this node */
	RETRY_RESULT_BROKEN, /* may have run; no complete answer */
	RETRY_RESULT_WEAK, /* dropped to ask a larger model */
	RETRY_RESULT_CANCELLED, /* the client has disconnected */
};

/* What a request's attempts so far allow. */
struct retry_state {
	bool repeatable; /* the request may run more than once */
	uint32_t max_sent; /* limit of `sent` */
	uint32_t sent; /* attempts that may have reached a server */
	uint32_t unsent; /* attempts of which no byte was sent */
	uint32_t misdirected; /* attempts that another server turned away */
	bool unserved; /* some server does not serve such requests */
	enum verdict_kind verdict; /* of all attempts together */
};

/* The answer of the current attempt, as far as it has been read. */
struct retry_answer {
	enum retry_result result;
	int status;
	bool not_a_stream; /* though the client has part of a stream */
	bool too_large; /* exceeds the limit on buffered answers */
};

/* The parts of an answer's head that the result depends on. */
struct retry_answer_head {
	int status;
	bool has_id; /* carries a request id */
	bool id_matches; /* the id is that of this request */
	bool not_run; /* states that the request did not run */
	bool has_receipt; /* signed by the server */
	bool encoded; /* has a content encoding, which cannot be read here */
	bool names_receiver; /* it is of the server that the request was for */
};

/* The request's state when the next step is decided. */
struct retry_context {
	uint64_t now;
	uint64_t deadline;
	bool answer_started; /* the client has received a part of it */
	bool client_disconnected;
	bool has_saved; /* a server's 5xx answer is kept */
	bool chosen_by_client; /* what is asked for, and not by this node */
};

/* What to do after an attempt. */
enum retry_step {
	RETRY_STEP_DELIVER, /* forward the answer */
	RETRY_STEP_DELIVER_SAVED, /* forward the 5xx answer kept earlier */
	RETRY_STEP_RESEND, /* make another attempt, or resume the stream */
	RETRY_STEP_ABORT, /* cut the answer that the client is receiving */
	RETRY_STEP_REFUSE, /* answer with an error of the gateway's own */
	RETRY_STEP_DISCARD, /* the client has disconnected: free the request */
};

/* An error answer of the gateway's own. */
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
void retry_on_end(struct retry_answer *a, bool complete, bool unsent,
		  bool cancelled);
void retry_count_answer(struct retry_state *r, const struct retry_answer *a);
enum retry_step retry_next_step(struct retry_state *r,
				const struct retry_answer *a,
				const struct retry_context *s);
enum retry_step retry_step_without_budget(const struct retry_state *r,
					  const struct retry_answer *a,
					  const struct retry_context *s);
struct retry_refusal retry_make_refusal(const struct retry_state *r,
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
