#include "order/order.h"

#include <glib.h>
#include <string.h>

#include "invariant.h"

static const char *const state_names[] = {"claimed", "released", "done",
					  "lost"};

/* Returns the name of a record's state as stored. */
const char *order_state_name(enum order_record_state state)
{
	return state_names[state];
}

/* Parses a stored state's name; false if it is none. */
bool order_state_parse(const char *name, enum order_record_state *state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(state_names); i++) {
		if (!strcmp(name, state_names[i])) {
			*state = (enum order_record_state)i;
			return true;
		}
	}
	return false;
}

/* Returns the reason that a refusal carries for the caller's program. */
const char *order_reason_name(enum order_reason reason)
{
	switch (reason) {
	case ORDER_REASON_NONE:
		return "none";
	case ORDER_REASON_STORE_UNAVAILABLE:
		return "store-unavailable";
	case ORDER_REASON_DEADLINE_PASSED:
		return "deadline-passed";
	case ORDER_REASON_ALREADY_RUNNING:
		return "already-running";
	case ORDER_REASON_OUTCOME_UNKNOWN:
		return "outcome-unknown";
	case ORDER_REASON_KEY_REUSED:
		return "key-reused";
	case ORDER_REASON_NO_SERVER:
		return "no-backend-server";
	}
	return "none";
}

static struct order_action act(enum order_action_kind kind)
{
	struct order_action a = {.kind = kind};

	return a;
}

/* Attaches the caller's final answer to an action. */
static struct order_action answer(struct order_attempt *o,
				  struct order_action a, enum order_reply what)
{
	INVARIANT(!o->answered, "order: the caller is answered once");
	o->answered = true;
	a.answer = what;
	return a;
}

static struct order_action refuse(struct order_attempt *o,
				  struct order_action a,
				  enum verdict_kind verdict,
				  enum order_reason reason)
{
	INVARIANT(verdict != VERDICT_NOT_RUN || !o->sent,
		  "order: refused as not run only if never sent");
	a.verdict = verdict;
	a.reason = reason;
	return answer(o, a, ORDER_REPLY_REFUSAL);
}

static struct order_action end_refused(struct order_attempt *o,
				       enum verdict_kind verdict,
				       enum order_reason reason)
{
	o->phase = ORDER_PHASE_ENDED;
	return refuse(o, act(ORDER_ACTION_END), verdict, reason);
}

static uint32_t retry_delay(uint32_t tries)
{
	uint32_t delay = ORDER_RETRY_FIRST_MS;

	if (tries < 2)
		return 0;
	while (--tries > 1 && delay < ORDER_RETRY_MAX_MS)
		delay *= 2;
	return MIN(delay, ORDER_RETRY_MAX_MS);
}

static struct order_action store_action(struct order_attempt *o,
					enum order_action_kind kind)
{
	struct order_action a = act(kind);

	o->tries++;
	a.delay_ms = retry_delay(o->tries);
	a.record = o->mine;
	return a;
}

static struct order_action create_claim(struct order_attempt *o)
{
	o->phase = ORDER_PHASE_CLAIM;
	return store_action(o, ORDER_ACTION_CREATE);
}

static struct order_action replace(struct order_attempt *o, uint64_t etag,
				   enum order_record_state state)
{
	struct order_action a;

	o->mine.state = state;
	a = store_action(o, ORDER_ACTION_REPLACE);
	a.etag = etag;
	return a;
}

/* Starts to write the outcome; the tries begin anew. */
static struct order_action record(struct order_attempt *o,
				  enum order_record_state state)
{
	o->phase = ORDER_PHASE_RECORD;
	o->tries = 0;
	return replace(o, o->etag, state);
}

static struct order_action look(struct order_attempt *o)
{
	o->phase = ORDER_PHASE_READ;
	return store_action(o, ORDER_ACTION_READ);
}

/*
 * Starts an order. The operation is unique to this request; the digest tells
 * whether a repeat under the same key is the same request. The first action
 * is the claim.
 */
struct order_action order_start(struct order_attempt *o, uint64_t now,
				const char *operation, const char *digest,
				uint64_t deadline)
{
	memset(o, 0, sizeof(*o));
	g_strlcpy(o->mine.operation, operation, sizeof(o->mine.operation));
	g_strlcpy(o->mine.digest, digest, sizeof(o->mine.digest));
	o->mine.state = ORDER_CLAIMED;
	o->deadline = deadline;
	if (now >= deadline)
		return end_refused(o, VERDICT_NOT_RUN,
				   ORDER_REASON_DEADLINE_PASSED);
	return create_claim(o);
}

/*
 * My claim is durable: send, unless the deadline has passed meanwhile (the
 * process may have been frozen), in which case the claim is given back.
 */
static struct order_action on_claim_held(struct order_attempt *o, uint64_t now,
					 uint64_t etag)
{
	INVARIANT(!o->sent, "order: sent at most once");
	o->etag = etag;
	if (now >= o->deadline)
		return refuse(o, record(o, ORDER_RELEASED), VERDICT_NOT_RUN,
			      ORDER_REASON_DEADLINE_PASSED);
	o->phase = ORDER_PHASE_SEND;
	o->sent = true;
	return act(ORDER_ACTION_SEND);
}

/*
 * Refuses the caller at once. If a write of the claim may still take effect,
 * the key is watched for a while and the claim given back when it shows.
 */
static struct order_action give_up_claim(struct order_attempt *o, uint64_t now)
{
	enum order_reason reason = now >= o->deadline
					   ? ORDER_REASON_DEADLINE_PASSED
					   : ORDER_REASON_STORE_UNAVAILABLE;

	if (!o->claim_unclear)
		return end_refused(o, VERDICT_NOT_RUN, reason);
	o->phase = ORDER_PHASE_ABANDON;
	o->tries = 1;
	return refuse(o, store_action(o, ORDER_ACTION_READ), VERDICT_NOT_RUN,
		      reason);
}

static bool may_try_again(const struct order_attempt *o, uint64_t now)
{
	return o->tries < ORDER_CLAIM_MAX_TRIES && now < o->deadline;
}

static struct order_action on_claim(struct order_attempt *o, uint64_t now,
				    const struct order_event *e)
{
	switch (e->kind) {
	case ORDER_EVENT_WRITTEN:
		return on_claim_held(o, now, e->etag);
	case ORDER_EVENT_CONFLICT:
		return look(o);
	case ORDER_EVENT_STORE_UNKNOWN:
		o->claim_unclear = true;
		if (may_try_again(o, now))
			return look(o);
		return give_up_claim(o, now);
	case ORDER_EVENT_STORE_REFUSED:
		return give_up_claim(o, now);
	default:
		return act(ORDER_ACTION_NONE);
	}
}

static bool is_my_claim(const struct order_attempt *o,
			const struct order_record *r)
{
	return !strcmp(r->operation, o->mine.operation) &&
	       r->state == ORDER_CLAIMED;
}

/* Decides by what another request, or an earlier try of mine, left there. */
static struct order_action on_found(struct order_attempt *o, uint64_t now,
				    const struct order_event *e)
{
	const struct order_record *r = &e->record;

	if (is_my_claim(o, r))
		return on_claim_held(o, now, e->etag);
	/* Conditions of my earlier writes can hold no more. */
	o->claim_unclear = false;
	if (strcmp(r->digest, o->mine.digest) != 0)
		return end_refused(o, VERDICT_NOT_RUN, ORDER_REASON_KEY_REUSED);
	switch (r->state) {
	case ORDER_DONE:
		o->phase = ORDER_PHASE_ENDED;
		return answer(o, act(ORDER_ACTION_END), ORDER_REPLY_RECORDED);
	case ORDER_RELEASED:
		if (!may_try_again(o, now))
			return give_up_claim(o, now);
		o->phase = ORDER_PHASE_CLAIM;
		return replace(o, e->etag, ORDER_CLAIMED);
	case ORDER_CLAIMED:
		return end_refused(o, VERDICT_MAY_HAVE_RUN,
				   ORDER_REASON_ALREADY_RUNNING);
	case ORDER_OUTCOME_UNKNOWN:
		break;
	}
	return end_refused(o, VERDICT_MAY_HAVE_RUN,
			   ORDER_REASON_OUTCOME_UNKNOWN);
}

static struct order_action on_look(struct order_attempt *o, uint64_t now,
				   const struct order_event *e)
{
	switch (e->kind) {
	case ORDER_EVENT_FOUND:
		return on_found(o, now, e);
	case ORDER_EVENT_ABSENT:
		if (may_try_again(o, now))
			return create_claim(o);
		return give_up_claim(o, now);
	case ORDER_EVENT_STORE_UNKNOWN:
	case ORDER_EVENT_STORE_REFUSED:
		if (may_try_again(o, now))
			return look(o);
		/*
		 * Whether a claim stands is not known, but this request was
		 * not sent and never will be.
		 */
		return give_up_claim(o, now);
	default:
		return act(ORDER_ACTION_NONE);
	}
}

static struct order_action on_send(struct order_attempt *o,
				   const struct order_event *e)
{
	switch (e->kind) {
	case ORDER_EVENT_ANSWERED:
		return answer(o, record(o, ORDER_DONE), ORDER_REPLY_RESULT);
	case ORDER_EVENT_NOT_SENT:
		o->sent = false;
		return refuse(o, record(o, ORDER_RELEASED), VERDICT_NOT_RUN,
			      ORDER_REASON_NO_SERVER);
	case ORDER_EVENT_NO_ANSWER:
		return refuse(o, record(o, ORDER_OUTCOME_UNKNOWN),
			      VERDICT_MAY_HAVE_RUN,
			      ORDER_REASON_OUTCOME_UNKNOWN);
	default:
		return act(ORDER_ACTION_NONE);
	}
}

/*
 * The outcome is on its way to the store. Only the holder writes to a claimed
 * record, so a conflict means that an earlier try of mine took effect.
 */
static struct order_action on_record(struct order_attempt *o,
				     const struct order_event *e)
{
	switch (e->kind) {
	case ORDER_EVENT_STORE_UNKNOWN:
	case ORDER_EVENT_STORE_REFUSED:
		if (o->tries < ORDER_RECORD_MAX_TRIES)
			return replace(o, o->etag, o->mine.state);
		o->phase = ORDER_PHASE_ENDED;
		return act(ORDER_ACTION_END);
	case ORDER_EVENT_WRITTEN:
	case ORDER_EVENT_CONFLICT:
		o->phase = ORDER_PHASE_ENDED;
		o->recorded = true;
		return act(ORDER_ACTION_END);
	default:
		return act(ORDER_ACTION_NONE);
	}
}

/* The caller has its refusal; a claim of mine that shows is given back. */
static struct order_action on_abandon(struct order_attempt *o,
				      const struct order_event *e)
{
	switch (e->kind) {
	case ORDER_EVENT_FOUND:
		if (!is_my_claim(o, &e->record))
			break;
		o->etag = e->etag;
		return record(o, ORDER_RELEASED);
	case ORDER_EVENT_ABSENT:
	case ORDER_EVENT_STORE_UNKNOWN:
	case ORDER_EVENT_STORE_REFUSED:
		if (o->tries < ORDER_ABANDON_MAX_READS)
			return store_action(o, ORDER_ACTION_READ);
		break;
	default:
		return act(ORDER_ACTION_NONE);
	}
	o->phase = ORDER_PHASE_ENDED;
	return act(ORDER_ACTION_END);
}

/*
 * Takes an event and returns what to do next and, once, what to answer the
 * caller. Recording the outcome goes on behind that answer.
 */
struct order_action order_handle_event(struct order_attempt *o, uint64_t now,
				       const struct order_event *event)
{
	switch (o->phase) {
	case ORDER_PHASE_CLAIM:
		return on_claim(o, now, event);
	case ORDER_PHASE_READ:
		return on_look(o, now, event);
	case ORDER_PHASE_SEND:
		return on_send(o, event);
	case ORDER_PHASE_RECORD:
		return on_record(o, event);
	case ORDER_PHASE_ABANDON:
		return on_abandon(o, event);
	case ORDER_PHASE_ENDED:
		return act(ORDER_ACTION_NONE);
	}
	return act(ORDER_ACTION_NONE);
}
