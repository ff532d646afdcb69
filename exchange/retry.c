#include "exchange/retry.h"

#include <glib.h>
#include <string.h>

#define MIN_RETRY_TIME_MS 20 /* before the deadline */
#define RETRY_AFTER_MS 150 /* that a refused client is asked to wait */

/*
 * Timeouts of attempts that another one may follow: a factor on the route's
 * objective, and the lowest value.
 */
#define PLAIN_TIMEOUT_FACTOR 3 /* head of a plain answer */
#define MIN_PLAIN_TIMEOUT_MS 250
#define FIRST_EVENT_TIMEOUT_FACTOR 1.25
#define MIN_FIRST_EVENT_TIMEOUT_MS 800
#define GAP_TIMEOUT_FACTOR 2.5 /* between events */
#define MIN_GAP_TIMEOUT_MS 500
#define PREFILL_TOKENS_PER_MS 20 /* extends the time to the first event */

static const char *const result_names[] = {
	[RETRY_RESULT_COMPLETE] = "good",
	[RETRY_RESULT_REFUSED] = "refused",
	[RETRY_RESULT_MISDIRECTED] = "misdirected",
	[RETRY_RESULT_UNSERVED] = "unserved",
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

/* Returns the name of a result as logs show it. */
const char *retry_result_name(enum retry_result result)
{
	return result_names[result];
}

/* Returns the name of a step as logs show it. */
const char *retry_step_name(enum retry_step step)
{
	return step_names[step];
}

/* Initialises the state of a request of a route, before its first attempt. */
void retry_init(struct retry_state *r, const struct route_entry *route)
{
	memset(r, 0, sizeof(*r));
	r->repeatable = route_is_repeatable(route);
	r->max_sent = route->attempts;
	r->verdict = VERDICT_NOT_RUN;
}

/*
 * Returns true if the request may be sent: it is repeatable, or no attempt so
 * far can have run it.
 */
bool retry_may_send(const struct retry_state *r)
{
	return r->repeatable || r->verdict == VERDICT_NOT_RUN;
}

/* Starts an attempt. Its result is RETRY_RESULT_BROKEN until a head arrives. */
void retry_begin_attempt(struct retry_state *r, struct retry_answer *a)
{
	memset(a, 0, sizeof(*a));
	a->result = RETRY_RESULT_BROKEN;
	r->sent++;
}

/* Returns true for statuses by which a client may assume it did not run. */
static bool implies_not_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/*
 * Sets the result by the head of an answer. Returns false if the answer cannot
 * be used, so that its body need not be read.
 */
bool retry_on_head(struct retry_answer *a, const struct retry_answer_head *h)
{
	a->status = h->status;
	a->result = RETRY_RESULT_BROKEN;
	if (h->has_id && !h->id_matches)
		return false;
	if (h->status == 421) {
		a->result = h->names_receiver ? RETRY_RESULT_UNSERVED
					      : RETRY_RESULT_MISDIRECTED;
		return true;
	}
	if (h->not_run) {
		a->result = RETRY_RESULT_REFUSED;
		return true;
	}
	if (!h->has_id || h->encoded)
		return false;
	/* Forwarding it would promise what the server did not. */
	if (implies_not_run(h->status))
		return false;
	if (h->status < 300 && !h->has_receipt)
		return false;
	a->result = RETRY_RESULT_COMPLETE;
	return true;
}

/*
 * Sets the final result when the attempt's call has ended: complete if all of
 * the answer came, unsent if no byte of the request was sent, cancelled if the
 * client has disconnected.
 */
void retry_on_end(struct retry_answer *a, bool complete, bool unsent,
		  bool cancelled)
{
	if (cancelled)
		a->result = RETRY_RESULT_CANCELLED;
	else if (a->result == RETRY_RESULT_WEAK)
		return;
	else if (unsent)
		a->result = RETRY_RESULT_UNSENT;
	else if (a->result == RETRY_RESULT_COMPLETE &&
		 (!complete || a->too_large))
		a->result = RETRY_RESULT_BROKEN;
}

/* Updates the verdict and the number of attempts by an attempt's result. */
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
	case RETRY_RESULT_MISDIRECTED:
		/* It says nothing of the server meant: not one of the attempts. */
		r->sent--;
		r->misdirected++;
		break;
	case RETRY_RESULT_UNSERVED:
		r->unserved = true;
		break;
	case RETRY_RESULT_REFUSED:
		break;
	}
}

static enum retry_step step_without_retry(const struct retry_context *s)
{
	if (s->answer_started)
		return RETRY_STEP_ABORT;
	return s->has_saved ? RETRY_STEP_DELIVER_SAVED : RETRY_STEP_REFUSE;
}

static bool may_resend(const struct retry_state *r,
		       const struct retry_answer *a,
		       const struct retry_context *s)
{
	if (s->now + MIN_RETRY_TIME_MS > s->deadline || !retry_may_send(r))
		return false;
	if (a->result == RETRY_RESULT_UNSENT && r->unsent >= RETRY_MAX_UNSENT)
		return false;
	if (a->result == RETRY_RESULT_MISDIRECTED &&
	    r->misdirected >= RETRY_MAX_MISDIRECTED)
		return false;
	return r->sent < r->max_sent;
}

static bool is_deliverable(const struct retry_answer *a,
			   const struct retry_context *s)
{
	return a->result == RETRY_RESULT_COMPLETE && !s->answer_started &&
	       !a->not_a_stream;
}

/* Updates the state by an attempt's answer and returns the next step. */
enum retry_step retry_next_step(struct retry_state *r,
				const struct retry_answer *a,
				const struct retry_context *s)
{
	retry_count_answer(r, a);
	if (s->client_disconnected)
		return RETRY_STEP_DISCARD;
	if (is_deliverable(a, s) && a->status < 500)
		return RETRY_STEP_DELIVER;
	if (may_resend(r, a, s))
		return RETRY_STEP_RESEND;
	return retry_step_without_budget(r, a, s);
}

/* Returns the next step if the retry budget is used up; never a resend. */
enum retry_step retry_step_without_budget(const struct retry_state *r,
					  const struct retry_answer *a,
					  const struct retry_context *s)
{
	(void)r;
	return is_deliverable(a, s) ? RETRY_STEP_DELIVER
				    : step_without_retry(s);
}

/*
 * Returns the error for a request without any answer to deliver: 503 if it did
 * not run, or 421 if servers do not serve what the client asked for; 504 shortly
 * before the deadline, else 502.
 */
struct retry_refusal retry_make_refusal(const struct retry_state *r,
					const struct retry_context *s)
{
	struct retry_refusal not_run = {503, "no-server", RETRY_AFTER_MS};
	struct retry_refusal unserved = {421, "not-served-by-servers", 0};
	struct retry_refusal late = {504, "deadline", 0};
	struct retry_refusal unknown = {502, "no-answer", 0};

	if (r->verdict == VERDICT_NOT_RUN)
		return r->unserved && s->chosen_by_client ? unserved : not_run;
	return s->now + MIN_RETRY_TIME_MS > s->deadline ? late : unknown;
}

/* Returns true if another attempt may follow the current one. */
bool retry_has_attempt_left(const struct retry_state *r,
			    const struct retry_context *s)
{
	return r->repeatable && r->sent < r->max_sent &&
	       s->now + MIN_RETRY_TIME_MS <= s->deadline;
}

/* Returns true if no further attempt may follow after a timeout. */
static bool is_last_attempt(const struct retry_state *r)
{
	return !r->repeatable || r->sent >= r->max_sent;
}

/*
 * Returns how long the current attempt waits for the answer's head or the first
 * event, in ms. It follows from the objective if another attempt may come after
 * it, with more time for a long prompt; else it is the route's timeout.
 */
uint32_t retry_first_timeout_ms(const struct retry_state *r,
				const struct route_entry *route,
				uint32_t input_tokens)
{
	uint32_t ms;

	if (is_last_attempt(r) || !route->objective_ms)
		return route->timeout_ms;
	if (route->kind != ROUTE_STREAMING)
		return MAX(PLAIN_TIMEOUT_FACTOR * route->objective_ms,
			   MIN_PLAIN_TIMEOUT_MS);
	ms = (uint32_t)(FIRST_EVENT_TIMEOUT_FACTOR * route->objective_ms);
	return MAX(ms, MIN_FIRST_EVENT_TIMEOUT_MS) +
	       input_tokens / PREFILL_TOKENS_PER_MS;
}

/*
 * Returns how long the current attempt waits between two events, in ms, before
 * another server is tried.
 */
uint32_t retry_gap_timeout_ms(const struct retry_state *r,
			      const struct route_entry *route)
{
	uint32_t ms = (uint32_t)(GAP_TIMEOUT_FACTOR * route->pause_ms);

	if (is_last_attempt(r) || !route->pause_ms)
		return route->timeout_ms;
	return MAX(ms, MIN_GAP_TIMEOUT_MS);
}
