#include "exchange/retry.h"

#include <glib.h>
#include <string.h>

#define RETRY_MIN_LEFT_MS 20
#define PLAIN_FACTOR 3
#define PLAIN_MIN_MS 250
#define FIRST_EVENT_SHARE 1.25
#define FIRST_EVENT_MIN_MS 800
#define TOKENS_PER_MS 20
#define GAP_SHARE 2.5
#define GAP_MIN_MS 500
#define RETRY_AFTER_MS 150

static const char *const result_names[] = {
	[RTY_GOOD] = "good",
	[RTY_REFUSED] = "refused",
	[RTY_MISDIRECTED] = "misdirected",
	[RTY_UNSENT] = "unsent",
	[RTY_BROKEN] = "broken",
	[RTY_WEAK] = "weak",
	[RTY_CANCELLED] = "cancelled",
};
static const char *const step_names[] = {
	[RTY_DELIVER] = "deliver", [RTY_DELIVER_SPARE] = "deliver-spare",
	[RTY_AGAIN] = "again",	   [RTY_BREAK_OFF] = "break-off",
	[RTY_REFUSE] = "refuse",   [RTY_FORGET] = "forget",
};

/* Returns a result's name for logs. */
const char *rty_result_name(enum rty_result result)
{
	return result_names[result];
}

/* Returns a step's name for logs. */
const char *rty_step_name(enum rty_step step)
{
	return step_names[step];
}

/* Starts with no attempt made. */
void rty_init(struct rty *r, const struct rts_route *route)
{
	memset(r, 0, sizeof(*r));
	r->repeatable = rts_may_repeat(route);
	r->max_sent = route->attempts;
	r->verdict = VD_NOT_RUN;
}

/* Tells whether sending the request now cannot run it a second time. */
bool rty_may_send(const struct rty *r)
{
	return r->repeatable || r->verdict == VD_NOT_RUN;
}

/* An attempt begins; until its answer's head it counts as broken. */
void rty_begin(struct rty *r, struct rty_answer *a)
{
	memset(a, 0, sizeof(*a));
	a->result = RTY_BROKEN;
	r->sent++;
}

static bool is_promise(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/*
 * Takes the head of an answer. False: it is of no use, and the rest of it
 * need not be read.
 */
bool rty_on_head(struct rty_answer *a, const struct rty_head *h)
{
	a->status = h->status;
	a->result = RTY_BROKEN;
	if (h->has_id && !h->is_ours)
		return false;
	if (h->status == 421) {
		a->result = RTY_MISDIRECTED;
		return true;
	}
	if (h->not_run) {
		a->result = RTY_REFUSED;
		return true;
	}
	if (!h->has_id || h->encoded)
		return false;
	/* Passed on it would promise what the server did not. */
	if (is_promise(h->status))
		return false;
	if (h->status < 300 && !h->receipt)
		return false;
	a->result = RTY_GOOD;
	return true;
}

/* The call of the attempt has ended. */
void rty_on_end(struct rty_answer *a, bool whole, bool unsent, bool cancelled)
{
	if (cancelled)
		a->result = RTY_CANCELLED;
	else if (a->result == RTY_WEAK)
		return;
	else if (unsent)
		a->result = RTY_UNSENT;
	else if (a->result == RTY_GOOD && (!whole || a->too_large))
		a->result = RTY_BROKEN;
}

/* Adds the attempt's result to the verdict of the request. */
void rty_on_answer(struct rty *r, const struct rty_answer *a)
{
	switch (a->result) {
	case RTY_GOOD:
		r->verdict = VD_RAN;
		break;
	case RTY_BROKEN:
	case RTY_WEAK:
	case RTY_CANCELLED:
		r->verdict = vd_worst(r->verdict, VD_MAY_HAVE_RUN);
		break;
	case RTY_UNSENT:
		r->sent--;
		r->unsent++;
		break;
	case RTY_REFUSED:
	case RTY_MISDIRECTED:
		break;
	}
}

static enum rty_step without_retry(const struct rty_situation *s)
{
	if (s->begun)
		return RTY_BREAK_OFF;
	return s->has_spare ? RTY_DELIVER_SPARE : RTY_REFUSE;
}

static bool may_try(const struct rty *r, const struct rty_answer *a,
		    const struct rty_situation *s)
{
	if (s->now + RETRY_MIN_LEFT_MS > s->deadline || !rty_may_send(r))
		return false;
	if (a->result == RTY_UNSENT && r->unsent >= RTY_MAX_UNSENT)
		return false;
	return r->sent < r->max_sent;
}

static bool is_deliverable(const struct rty_answer *a,
			   const struct rty_situation *s)
{
	return a->result == RTY_GOOD && !s->begun && !a->no_continuation;
}

/* Decides how the request goes on after an attempt. */
enum rty_step rty_after(struct rty *r, const struct rty_answer *a,
			const struct rty_situation *s)
{
	rty_on_answer(r, a);
	if (s->client_gone)
		return RTY_FORGET;
	if (is_deliverable(a, s) && a->status < 500)
		return RTY_DELIVER;
	if (may_try(r, a, s))
		return RTY_AGAIN;
	return rty_without_budget(r, a, s);
}

/* The same where the budget allows no retry. */
enum rty_step rty_without_budget(const struct rty *r,
				 const struct rty_answer *a,
				 const struct rty_situation *s)
{
	(void)r;
	return is_deliverable(a, s) ? RTY_DELIVER : without_retry(s);
}

/* Returns the answer to a request that is given up. */
struct rty_refusal rty_refusal(const struct rty *r,
			       const struct rty_situation *s)
{
	struct rty_refusal not_run = {503, "no-server", RETRY_AFTER_MS};
	struct rty_refusal late = {504, "deadline", 0};
	struct rty_refusal unknown = {502, "no-answer", 0};

	if (r->verdict == VD_NOT_RUN)
		return not_run;
	return s->now + RETRY_MIN_LEFT_MS > s->deadline ? late : unknown;
}

/* Tells whether the request could be sent once more after the attempt. */
bool rty_may_repeat_now(const struct rty *r, const struct rty_situation *s)
{
	return r->repeatable && r->sent < r->max_sent &&
	       s->now + RETRY_MIN_LEFT_MS <= s->deadline;
}

static bool is_last(const struct rty *r)
{
	return !r->repeatable || r->sent >= r->max_sent;
}

/*
 * Returns how long the attempt that has begun waits for the answer's head or
 * the first event, in ms: where another attempt may follow, a part of the
 * objective, and more for a long prompt.
 */
uint32_t rty_first_ms(const struct rty *r, const struct rts_route *route,
		      uint32_t input_tokens)
{
	uint32_t ms;

	if (is_last(r) || !route->objective_ms)
		return route->timeout_ms;
	if (route->kind != RTS_STREAMING)
		return MAX(PLAIN_FACTOR * route->objective_ms, PLAIN_MIN_MS);
	ms = (uint32_t)(FIRST_EVENT_SHARE * route->objective_ms);
	return MAX(ms, FIRST_EVENT_MIN_MS) + input_tokens / TOKENS_PER_MS;
}

/* Returns the longest pause between two events before another server is tried. */
uint32_t rty_gap_ms(const struct rty *r, const struct rts_route *route)
{
	uint32_t ms = (uint32_t)(GAP_SHARE * route->pause_ms);

	if (is_last(r) || !route->pause_ms)
		return route->timeout_ms;
	return MAX(ms, GAP_MIN_MS);
}
