#include "limit/limit.h"

#include <math.h>
#include <string.h>

#include "invariant.h"

#define RATE_WINDOW_MS 1000 /* shortest window to measure the rate of ends */
#define RETRY_AFTER_MAX_S 30

/* Indexed by enum limit_reason. */
static const char *const reason_names[] = {"admitted", "overloaded",
					   "fair-share", "deadline"};

/* Returns the machine-readable reason that a refusal carries. */
const char *limit_reason_name(enum limit_reason reason)
{
	return reason_names[reason];
}

/* Starts with nothing in flight and LIMIT_RETRY_TOKENS_INITIAL retries. */
void limit_init(struct limiter *l)
{
	memset(l, 0, sizeof(*l));
	l->retry_tokens = LIMIT_RETRY_TOKENS_INITIAL;
}

/*
 * Returns the organisation's fair part of the capacity: in proportion to its
 * configured share among the organisations with a request in flight or within
 * LIMIT_ORG_ACTIVE_MS.
 */
static double fair_part(const struct limiter *l, const struct cfg *cfg,
			uint64_t now, cfg_handle org, double capacity)
{
	double sum = 0;

	for (size_t i = 0; i < cfg->n_orgs && i < LIMIT_MAX_ORGS; i++) {
		const struct limit_org *o = &l->orgs[i];
		bool active = o->in_flight ||
			      (o->last_request_at &&
			       now - o->last_request_at <= LIMIT_ORG_ACTIVE_MS);

		if (active || i == org)
			sum += cfg->orgs[i].share;
	}
	return capacity * cfg->orgs[org].share / sum;
}

/*
 * Returns the seconds after which `excess` requests should have ended, by the
 * rate of the last window; at least 1 and at most RETRY_AFTER_MAX_S.
 */
static uint32_t retry_after_s(const struct limiter *l, double excess)
{
	double s = l->released_per_s > 0 ? ceil(excess / l->released_per_s) : 1;

	return (uint32_t)fmin(fmax(s, 1), RETRY_AFTER_MAX_S);
}

static struct limit_decision decide(enum limit_reason reason,
				    uint32_t retry_after_s)
{
	struct limit_decision a = {.reason = reason,
				   .retry_after_s = retry_after_s};

	return a;
}

/*
 * Admits a request or refuses it at once; an admitted one must be released with
 * limit_release. `capacity` is in requests, and `expected_ms` is how long
 * the request should take, 0 if unknown. Any organisation may use up to
 * LIMIT_UNRESERVED_SHARE of the capacity. Beyond that only organisations below
 * their fair part are admitted, so that one which becomes active finds capacity
 * while another sends as much as it can.
 */
struct limit_decision limit_admit(struct limiter *l, const struct cfg *cfg,
				  uint64_t now, cfg_handle org, double capacity,
				  uint64_t deadline, double expected_ms)
{
	struct limit_org *o = &l->orgs[org % LIMIT_MAX_ORGS];
	double fair = fair_part(l, cfg, now, org, capacity);

	o->last_request_at = now ? now : 1;
	if (now >= deadline || (double)(deadline - now) < expected_ms)
		return decide(LIMIT_DEADLINE_UNMET, 0);
	if (l->in_flight + 1 > capacity)
		return decide(LIMIT_AT_CAPACITY,
			      retry_after_s(l, l->in_flight + 1 - capacity));
	if (l->in_flight + 1 > LIMIT_UNRESERVED_SHARE * capacity &&
	    o->in_flight + 1 > fair)
		return decide(LIMIT_OVER_FAIR_SHARE,
			      retry_after_s(l, o->in_flight + 1 - fair));
	o->in_flight++;
	l->in_flight++;
	l->retry_tokens = fmin(l->retry_tokens + LIMIT_RETRIES_PER_REQUEST,
			       LIMIT_RETRY_TOKENS_MAX);
	return decide(LIMIT_ADMITTED, 0);
}

/*
 * Releases the capacity of an admitted request that has ended. `org` is
 * CFG_NONE if a new configuration has removed the organisation in the meantime.
 */
void limit_release(struct limiter *l, uint64_t now, cfg_handle org)
{
	uint64_t elapsed_ms;

	INVARIANT(l->in_flight, "limit: released no more than admitted");
	/*
	 * The counter may be 0: it was reset if the organisation was removed
	 * and added again while the request ran.
	 */
	if (org != CFG_NONE && l->orgs[org % LIMIT_MAX_ORGS].in_flight)
		l->orgs[org % LIMIT_MAX_ORGS].in_flight--;
	l->in_flight--;
	l->released_in_window++;
	elapsed_ms = now - l->rate_window_at;
	if (elapsed_ms < RATE_WINDOW_MS)
		return;
	l->released_per_s = 1000.0 * l->released_in_window / (double)elapsed_ms;
	l->released_in_window = 0;
	l->rate_window_at = now;
}

/*
 * Takes one retry from the budget. Returns false if the budget is exhausted. It
 * grows with admitted requests, so that retries add at most
 * LIMIT_RETRIES_PER_REQUEST to the load, and slowly with time, so that a node
 * with few requests can retry at all.
 */
bool limit_take_retry(struct limiter *l, uint64_t now)
{
	if (l->tokens_added_at && now > l->tokens_added_at)
		l->retry_tokens += LIMIT_RETRIES_PER_S *
				   (double)(now - l->tokens_added_at) / 1000;
	l->retry_tokens = fmin(l->retry_tokens, LIMIT_RETRY_TOKENS_MAX);
	l->tokens_added_at = now;
	if (l->retry_tokens < 1)
		return false;
	l->retry_tokens -= 1;
	return true;
}

/*
 * Moves the counters of organisations to their handles in a new configuration;
 * those of removed organisations are dropped.
 */
void limit_remap_orgs(struct limiter *l, const struct cfg *to,
		      const struct cfg *from)
{
	struct limit_org old[LIMIT_MAX_ORGS];

	memcpy(old, l->orgs, sizeof(old));
	memset(l->orgs, 0, sizeof(l->orgs));
	for (size_t i = 0; i < from->n_orgs && i < LIMIT_MAX_ORGS; i++) {
		cfg_handle h = cfg_find_org_by_name(to, from->orgs[i].name);

		if (h != CFG_NONE && h < LIMIT_MAX_ORGS)
			l->orgs[h] = old[i];
	}
}
