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
	[RETRY_RESULT_COMPLETE] = "good",
	[RETRY_RESULT_REFUSED] = "refused",
	[RETRY_RESULT_MISDIRECTED] = "misdirected",
	[RETRY_RESULT_UNSENT] = "unsent",
	[RETRY_RESULT_BROKEN] = "broken",
	[RETRY_RESULT_WEAK] = "weak",
	[RETRY_RESULT_CANCELLED] = "cancelled",
};
static const char *const step_names[] = {
	[RETRY_STEP_DELIVER] = "deliver",
	[RETRY_STEP_DELIVER_SAVED] = "deliver-spare",
	[RETRY_STEP_RESEND] = "again",
	[RETRY_STEP_ABORT] = "break-off",
	[RETRY_STEP_REFUSE] = "refuse",
	[RETRY_STEP_DISCARD] = "forget",
};

/* Returns a result's name for logs. */
const char *retry_result_name(enum retry_result result)
{
	return result_names[result];
}

/* Returns a step's name for logs. */
const char *retry_step_name(enum retry_step step)
{
	return step_names[step];
}

/* Starts with no attempt made. */
void retry_init(struct retry_state *r, const struct route_entry *route)
{
	memset(r, 0, sizeof(*r));
	r->repeatable = route_is_repeatable(route);
	r->max_sent = route->attempts;
	r->verdict = VERDICT_NOT_RUN;
}

/* Tells whether sending the request now cannot run it a second time. */
bool retry_may_send(const struct retry_state *r)
{
	return r->repeatable || r->verdict == VERDICT_NOT_RUN;
}

/* An attempt begins; until its answer's head it counts as broken. */
void retry_begin_attempt(struct retry_state *r, struct retry_answer *a)
{
	memset(a, 0, sizeof(*a));
	a->result = RETRY_RESULT_BROKEN;
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
bool retry_on_head(struct retry_answer *a, const struct retry_answer_head *h)
{
	a->status = h->status;
	a->result = RETRY_RESULT_BROKEN;
	if (h->has_id && !h->is_ours)
		return false;
	if (h->status == 421) {
		a->result = RETRY_RESULT_MISDIRECTED;
		return true;
	}
	if (h->not_run) {
		a->result = RETRY_RESULT_REFUSED;
		return true;
	}
	if (!h->has_id || h->encoded)
		return false;
	/* Passed on it would promise what the server did not. */
	if (is_promise(h->status))
		return false;
	if (h->status < 300 && !h->receipt)
		return false;
	a->result = RETRY_RESULT_COMPLETE;
	return true;
}

/* The call of the attempt has ended. */
void retry_on_end(struct retry_answer *a, bool whole, bool unsent,
		  bool cancelled)
{
	if (cancelled)
		a->result = RETRY_RESULT_CANCELLED;
	else if (a->result == RETRY_RESULT_WEAK)
		return;
	else if (unsent)
		a->result = RETRY_RESULT_UNSENT;
	else if (a->result == RETRY_RESULT_COMPLETE && (!whole || a->too_large))
		a->result = RETRY_RESULT_BROKEN;
}

/* Adds the attempt's result to the verdict of the request. */
void retry_count_answer(struct retry_state *r, const struct retry_answer *a)
{
	switch (a->result) {
	case RETRY_RESULT_COMPLETE:
		r->verdict = VERDICT_RAN;
		break;
	case RETRY_RESULT_BROKEN:
	case RETRY_RESULT_WEAK:
	case RETRY_RESULT_CANCELLED:
		r->verdict = verdict_merge(r->verdict, VERDICT_MAY_HAVE_RUN);
		break;
	case RETRY_RESULT_UNSENT:
		r->sent--;
		r->unsent++;
		break;
	case RETRY_RESULT_REFUSED:
	case RETRY_RESULT_MISDIRECTED:
		break;
	}
}

static enum retry_step without_retry(const struct retry_context *s)
{
	if (s->begun)
		return RETRY_STEP_ABORT;
	return s->has_spare ? RETRY_STEP_DELIVER_SAVED : RETRY_STEP_REFUSE;
}

static bool may_try(const struct retry_state *r, const struct retry_answer *a,
		    const struct retry_context *s)
{
	if (s->now + RETRY_MIN_LEFT_MS > s->deadline || !retry_may_send(r))
		return false;
	if (a->result == RETRY_RESULT_UNSENT && r->unsent >= RETRY_MAX_UNSENT)
		return false;
	return r->sent < r->max_sent;
}

static bool is_deliverable(const struct retry_answer *a,
			   const struct retry_context *s)
{
	return a->result == RETRY_RESULT_COMPLETE && !s->begun &&
	       !a->no_continuation;
}

/* Decides how the request goes on after an attempt. */
enum retry_step retry_next_step(struct retry_state *r,
				const struct retry_answer *a,
				const struct retry_context *s)
{
	retry_count_answer(r, a);
	if (s->client_gone)
		return RETRY_STEP_DISCARD;
	if (is_deliverable(a, s) && a->status < 500)
		return RETRY_STEP_DELIVER;
	if (may_try(r, a, s))
		return RETRY_STEP_RESEND;
	return retry_step_without_budget(r, a, s);
}

/* The same where the budget allows no retry. */
enum retry_step retry_step_without_budget(const struct retry_state *r,
					  const struct retry_answer *a,
					  const struct retry_context *s)
{
	(void)r;
	return is_deliverable(a, s) ? RETRY_STEP_DELIVER : without_retry(s);
}

/* Returns the answer to a request that is given up. */
struct retry_refusal retry_refusal(const struct retry_state *r,
				   const struct retry_context *s)
{
	struct retry_refusal not_run = {503, "no-server", RETRY_AFTER_MS};
	struct retry_refusal late = {504, "deadline", 0};
	struct retry_refusal unknown = {502, "no-answer", 0};

	if (r->verdict == VERDICT_NOT_RUN)
		return not_run;
	return s->now + RETRY_MIN_LEFT_MS > s->deadline ? late : unknown;
}

/* Tells whether the request could be sent once more after the attempt. */
bool retry_has_attempt_left(const struct retry_state *r,
			    const struct retry_context *s)
{
	return r->repeatable && r->sent < r->max_sent &&
	       s->now + RETRY_MIN_LEFT_MS <= s->deadline;
}

static bool is_last(const struct retry_state *r)
{
	return !r->repeatable || r->sent >= r->max_sent;
}

/*
 * Returns how long the attempt that has begun waits for the answer's head or
 * the first event, in ms: where another attempt may follow, a part of the
 * objective, and more for a long prompt.
 */
uint32_t retry_first_timeout_ms(const struct retry_state *r,
				const struct route_entry *route,
				uint32_t input_tokens)
{
	uint32_t ms;

	if (is_last(r) || !route->objective_ms)
		return route->timeout_ms;
	if (route->kind != ROUTE_STREAMING)
		return MAX(PLAIN_FACTOR * route->objective_ms, PLAIN_MIN_MS);
	ms = (uint32_t)(FIRST_EVENT_SHARE * route->objective_ms);
	return MAX(ms, FIRST_EVENT_MIN_MS) + input_tokens / TOKENS_PER_MS;
}

/* Returns the longest pause between two events before another server is tried. */
uint32_t retry_gap_timeout_ms(const struct retry_state *r,
			      const struct route_entry *route)
{
	uint32_t ms = (uint32_t)(GAP_SHARE * route->pause_ms);

	if (is_last(r) || !route->pause_ms)
		return route->timeout_ms;
	return MAX(ms, GAP_MIN_MS);
}
