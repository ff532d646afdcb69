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
#define RTY_MAX_UNSENT 4

/* How an attempt ended. */
enum rty_result {
	RTY_GOOD, /* the server's whole answer, of whatever status */
	RTY_REFUSED, /* the server says that it did not run it */
	RTY_MISDIRECTED, /* the same: another server has the address */
	RTY_UNSENT, /* no byte left this node */
	RTY_BROKEN, /* may have run; no whole answer */
	RTY_WEAK, /* dropped for an answer of a larger model */
	RTY_CANCELLED, /* the client has gone */
};

struct rty {
	bool repeatable;
	uint32_t max_sent;
	uint32_t sent; /* attempts that may have reached a server */
	uint32_t unsent;
	enum vd_verdict verdict; /* of all attempts together */
};

struct rty_answer {
	enum rty_result result;
	int status;
	bool no_continuation; /* no stream, where one is to go on */
	bool too_large;
};

/* What matters of an answer's head. */
struct rty_head {
	int status;
	bool has_id; /* names a request */
	bool is_ours; /* this one */
	bool not_run; /* is marked as not run */
	bool receipt;
	bool encoded;
};

struct rty_situation {
	uint64_t now;
	uint64_t deadline;
	bool begun; /* the client has a part of the answer */
	bool client_gone;
	bool has_spare; /* a server's failure could be given */
};

enum rty_step {
	RTY_DELIVER,
	RTY_DELIVER_SPARE,
	RTY_AGAIN, /* or go on, if the answer has begun */
	RTY_BREAK_OFF,
	RTY_REFUSE,
	RTY_FORGET,
};

struct rty_refusal {
	int status;
	const char *reason;
	uint32_t retry_after_ms; /* 0: none */
};

void rty_init(struct rty *r, const struct rts_route *route);
bool rty_may_send(const struct rty *r);
void rty_begin(struct rty *r, struct rty_answer *a);
bool rty_on_head(struct rty_answer *a, const struct rty_head *head);
void rty_on_end(struct rty_answer *a, bool whole, bool unsent, bool cancelled);
void rty_on_answer(struct rty *r, const struct rty_answer *a);
enum rty_step rty_after(struct rty *r, const struct rty_answer *a,
			const struct rty_situation *s);
enum rty_step rty_without_budget(const struct rty *r,
				 const struct rty_answer *a,
				 const struct rty_situation *s);
struct rty_refusal rty_refusal(const struct rty *r,
			       const struct rty_situation *s);
bool rty_may_repeat_now(const struct rty *r, const struct rty_situation *s);
uint32_t rty_first_ms(const struct rty *r, const struct rts_route *route,
		      uint32_t input_tokens);
uint32_t rty_gap_ms(const struct rty *r, const struct rts_route *route);
const char *rty_result_name(enum rty_result result);
const char *rty_step_name(enum rty_step step);

#endif
