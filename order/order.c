#include "order/order.h"

#include <glib.h>
#include <string.h>

#include "invariant.h"

/* Indexed by enum order_record_state. */
static const char *const state_names[] = {"claimed", "released", "done",
					  "lost"};

/* Returns the name under which a record's state is stored. */
const char *order_state_name(enum order_record_state state)
{
	return state_names[state];
}

/*
 * Parses the stored name of a state. Returns false and leaves `state` alone if
 * there is no such name.
 */
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

/* Returns the machine-readable reason that a refusal carries. */
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

static struct order_action new_action(enum order_action_kind kind)
{
	struct order_action a = {.kind = kind};

	return a;
}

/* Adds the client's final reply to an action. */
static struct order_action add_reply(struct order_attempt *o,
				     struct order_action a,
				     enum order_reply reply)
{
	INVARIANT(!o->replied, "order: the client gets exactly one reply");
	o->replied = true;
	a.reply = reply;
	return a;
}

/* Adds a refusal to an action as the client's final reply. */
static struct order_action refuse(struct order_attempt *o,
				  struct order_action a,
				  enum verdict_kind verdict,
				  enum order_reason reason)
{
	INVARIANT(verdict != VERDICT_NOT_RUN || !o->sent,
		  "order: refused as not run only if never sent");
	a.verdict = verdict;
	a.reason = reason;
	return add_reply(o, a, ORDER_REPLY_REFUSAL);
}

static struct order_action end_refused(struct order_attempt *o,
				       enum verdict_kind verdict,
				       enum order_reason reason)
{
	o->phase = ORDER_PHASE_ENDED;
	return refuse(o, new_action(ORDER_ACTION_END), verdict, reason);
}

/* Returns the exponential backoff before the given try; 0 for the first. */
static uint32_t retry_delay_ms(uint32_t tries)
{
	uint32_t delay_ms = ORDER_RETRY_FIRST_MS;

	if (tries < 2)
		return 0;
	while (--tries > 1 && delay_ms < ORDER_RETRY_MAX_MS)
		delay_ms *= 2;
	return MIN(delay_ms, ORDER_RETRY_MAX_MS);
}

static struct order_action store_action(struct order_attempt *o,
					enum order_action_kind kind)
{
	struct order_action a = new_action(kind);

	o->store_tries++;
	a.delay_ms = retry_delay_ms(o->store_tries);
	a.record = o->record;
	return a;
}

static struct order_action create_claim(struct order_attempt *o)
{
	o->phase = ORDER_PHASE_CLAIM;
	return store_action(o, ORDER_ACTION_CREATE);
}

static struct order_action replace_record(struct order_attempt *o,
					  uint64_t etag,
					  enum order_record_state state)
{
	struct order_action a;

	o->record.state = state;
	a = store_action(o, ORDER_ACTION_REPLACE);
	a.etag = etag;
	return a;
}

/* Starts to write the outcome, with a new count of tries. */
static struct order_action record_outcome(struct order_attempt *o,
					  enum order_record_state state)
{
	o->phase = ORDER_PHASE_RECORD;
	o->store_tries = 0;
	return replace_record(o, o->etag, state);
}

static struct order_action read_record(struct order_attempt *o)
{
	o->phase = ORDER_PHASE_READ;
	return store_action(o, ORDER_ACTION_READ);
}

/*
 * Starts an order. `operation` is unique to this request; `digest` shows
 * whether a later request under the same key is the same one. Returns the
 * first action: the write of the claim, or a refusal if the deadline has
 * passed.
 */
struct order_action order_start(struct order_attempt *o, uint64_t now,
				const char *operation, const char *digest,
				uint64_t deadline)
{
	memset(o, 0, sizeof(*o));
	g_strlcpy(o->record.operation, operation, sizeof(o->record.operation));
	g_strlcpy(o->record.digest, digest, sizeof(o->record.digest));
	o->record.state = ORDER_CLAIMED;
	o->deadline = deadline;
	if (now >= deadline)
		return end_refused(o, VERDICT_NOT_RUN,
				   ORDER_REASON_DEADLINE_PASSED);
	return create_claim(o);
}

/*
 * Our claim is durable: sends the request. If the deadline has passed in the
 * meantime, as after a pause of the process, releases the claim instead.
 */
static struct order_action on_claim_held(struct order_attempt *o, uint64_t now,
					 uint64_t etag)
{
	INVARIANT(!o->sent, "order: sent at most once");
	o->etag = etag;
	if (now >= o->deadline)
		return refuse(o, record_outcome(o, ORDER_RELEASED),
			      VERDICT_NOT_RUN, ORDER_REASON_DEADLINE_PASSED);
	o->phase = ORDER_PHASE_SEND;
	o->sent = true;
	return new_action(ORDER_ACTION_SEND);
}

/*
 * Refuses the client at once. If a write of the claim may still take effect,
 * reads the key for a while and releases the claim when it appears.
 */
static struct order_action abandon_claim(struct order_attempt *o, uint64_t now)
{
	enum order_reason reason = now >= o->deadline
					   ? ORDER_REASON_DEADLINE_PASSED
					   : ORDER_REASON_STORE_UNAVAILABLE;

	if (!o->claim_unconfirmed)
		return end_refused(o, VERDICT_NOT_RUN, reason);
	o->phase = ORDER_PHASE_ABANDON;
	o->store_tries = 1;
	return refuse(o, store_action(o, ORDER_ACTION_READ), VERDICT_NOT_RUN,
		      reason);
}

static bool may_retry_claim(const struct order_attempt *o, uint64_t now)
{
	return o->store_tries < ORDER_CLAIM_MAX_TRIES && now < o->deadline;
}

static struct order_action on_claim_event(struct order_attempt *o, uint64_t now,
					  const struct order_event *e)
{
	switch (e->kind) {
	case ORDER_EVENT_WRITTEN:
		return on_claim_held(o, now, e->etag);
	case ORDER_EVENT_CONFLICT:
		return read_record(o);
	case ORDER_EVENT_STORE_UNKNOWN:
		o->claim_unconfirmed = true;
		if (may_retry_claim(o, now))
			return read_record(o);
		return abandon_claim(o, now);
	case ORDER_EVENT_STORE_REFUSED:
		return abandon_claim(o, now);
	default:
		return new_action(ORDER_ACTION_NONE);
	}
}

static bool is_own_claim(const struct order_attempt *o,
			 const struct order_record *r)
{
	return !strcmp(r->operation, o->record.operation) &&
	       r->state == ORDER_CLAIMED;
}

/*
 * Decides by the record under the key, which another request or an earlier
 * write of this one left there.
 */
static struct order_action on_record_found(struct order_attempt *o,
					   uint64_t now,
					   const struct order_event *e)
{
	const struct order_record *r = &e->record;

	if (is_own_claim(o, r))
		return on_claim_held(o, now, e->etag);
	/* The conditions of our earlier writes can no longer hold. */
	o->claim_unconfirmed = false;
	if (strcmp(r->digest, o->record.digest) != 0)
		return end_refused(o, VERDICT_NOT_RUN, ORDER_REASON_KEY_REUSED);
	switch (r->state) {
	case ORDER_DONE:
		o->phase = ORDER_PHASE_ENDED;
		return add_reply(o, new_action(ORDER_ACTION_END),
				 ORDER_REPLY_RECORDED);
	case ORDER_RELEASED:
		if (!may_retry_claim(o, now))
			return abandon_claim(o, now);
		o->phase = ORDER_PHASE_CLAIM;
		return replace_record(o, e->etag, ORDER_CLAIMED);
	case ORDER_CLAIMED:
		return end_refused(o, VERDICT_MAY_HAVE_RUN,
				   ORDER_REASON_ALREADY_RUNNING);
	case ORDER_OUTCOME_UNKNOWN:
		break;
	}
	return end_refused(o, VERDICT_MAY_HAVE_RUN,
			   ORDER_REASON_OUTCOME_UNKNOWN);
}

static struct order_action on_read_event(struct order_attempt *o, uint64_t now,
					 const struct order_event *e)
{
	switch (e->kind) {
	case ORDER_EVENT_FOUND:
		return on_record_found(o, now, e);
	case ORDER_EVENT_ABSENT:
		if (may_retry_claim(o, now))
			return create_claim(o);
		return abandon_claim(o, now);
	case ORDER_EVENT_STORE_UNKNOWN:
	case ORDER_EVENT_STORE_REFUSED:
		if (may_retry_claim(o, now))
			return read_record(o);
		/*
		 * Whether our claim is stored is unknown, but this request was
		 * not sent and never will be.
		 */
		return abandon_claim(o, now);
	default:
		return new_action(ORDER_ACTION_NONE);
	}
}

static struct order_action on_send_event(struct order_attempt *o,
					 const struct order_event *e)
{
	switch (e->kind) {
	case ORDER_EVENT_ANSWERED:
		return add_reply(o, record_outcome(o, ORDER_DONE),
				 ORDER_REPLY_RESULT);
	case ORDER_EVENT_NOT_SENT:
		o->sent = false;
		return refuse(o, record_outcome(o, ORDER_RELEASED),
			      VERDICT_NOT_RUN, ORDER_REASON_NO_SERVER);
	case ORDER_EVENT_NO_ANSWER:
		return refuse(o, record_outcome(o, ORDER_OUTCOME_UNKNOWN),
			      VERDICT_MAY_HAVE_RUN,
			      ORDER_REASON_OUTCOME_UNKNOWN);
	default:
		return new_action(ORDER_ACTION_NONE);
	}
}

/*
 * Handles the result of writing the outcome. Only the holder writes to a
 * claimed record, so a conflict means that an earlier write of ours took
 * effect.
 */
static struct order_action on_record_event(struct order_attempt *o,
					   const struct order_event *e)
{
	switch (e->kind) {
	case ORDER_EVENT_STORE_UNKNOWN:
	case ORDER_EVENT_STORE_REFUSED:
		if (o->store_tries < ORDER_RECORD_MAX_TRIES)
			return replace_record(o, o->etag, o->record.state);
		o->phase = ORDER_PHASE_ENDED;
		return new_action(ORDER_ACTION_END);
	case ORDER_EVENT_WRITTEN:
	case ORDER_EVENT_CONFLICT:
		o->phase = ORDER_PHASE_ENDED;
		o->recorded = true;
		return new_action(ORDER_ACTION_END);
	default:
		return new_action(ORDER_ACTION_NONE);
	}
}

/* The client was refused: releases our claim if it appears after that. */
static struct order_action on_abandon_event(struct order_attempt *o,
					    const struct order_event *e)
{
	switch (e->kind) {
	case ORDER_EVENT_FOUND:
		if (!is_own_claim(o, &e->record))
			break;
		o->etag = e->etag;
		return record_outcome(o, ORDER_RELEASED);
	case ORDER_EVENT_ABSENT:
	case ORDER_EVENT_STORE_UNKNOWN:
	case ORDER_EVENT_STORE_REFUSED:
		if (o->store_tries < ORDER_ABANDON_MAX_READS)
			return store_action(o, ORDER_ACTION_READ);
		break;
	default:
		return new_action(ORDER_ACTION_NONE);
	}
	o->phase = ORDER_PHASE_ENDED;
	return new_action(ORDER_ACTION_END);
}

/*
 * Handles an event and returns the next action, with the reply to the client
 * once it is decided. Writing the outcome continues after that reply.
 */
struct order_action order_handle_event(struct order_attempt *o, uint64_t now,
				       const struct order_event *event)
{
	switch (o->phase) {
	case ORDER_PHASE_CLAIM:
		return on_claim_event(o, now, event);
	case ORDER_PHASE_READ:
		return on_read_event(o, now, event);
	case ORDER_PHASE_SEND:
		return on_send_event(o, event);
	case ORDER_PHASE_RECORD:
		return on_record_event(o, event);
	case ORDER_PHASE_ABANDON:
		return on_abandon_event(o, event);
	case ORDER_PHASE_ENDED:
		return new_action(ORDER_ACTION_NONE);
	}
	return new_action(ORDER_ACTION_NONE);
}
