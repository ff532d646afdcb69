#include "limit/limit.h"

#include <math.h>
#include <string.h>

#include "invariant.h"

#define RATE_WINDOW_MS 1000
#define RETRY_AFTER_MAX_S 30

static const char *const reason_names[] = {"admitted", "overloaded",
					   "fair-share", "deadline"};

/* Returns a reason's name as refusals carry it. */
const char *limit_reason_name(enum limit_reason reason)
{
	return reason_names[reason];
}

/* Starts with nothing in flight and a few retries in the budget. */
void limit_init(struct limiter *l)
{
	memset(l, 0, sizeof(*l));
	l->retry_tokens = LIMIT_RETRY_TOKENS_INITIAL;
}

/*
 * Returns the organisation's part of the capacity: by its share among those
 * that asked within LIMIT_ORG_ACTIVE_MS.
 */
static double fair_part(const struct limiter *l, const struct cfg *cfg,
			uint64_t now, cfg_handle org, double capacity)
{
	double sum = 0;

	for (size_t i = 0; i < cfg->n_orgs && i < LIMIT_MAX_ORGS; i++) {
		const struct limit_org *o = &l->orgs[i];
		bool active = o->in_flight ||
			      (o->last_asked_at &&
			       now - o->last_asked_at <= LIMIT_ORG_ACTIVE_MS);

		if (active || i == org)
			sum += cfg->orgs[i].share;
	}
	return capacity * cfg->orgs[org].share / sum;
}

/* Seconds until about one more request fits, by the rate of late. */
static uint32_t retry_after(const struct limiter *l, double over)
{
	double s = l->done_per_s > 0 ? ceil(over / l->done_per_s) : 1;

	return (uint32_t)fmin(fmax(s, 1), RETRY_AFTER_MAX_S);
}

static struct limit_decision refuse(enum limit_reason reason, uint32_t after)
{
	struct limit_decision a = {.reason = reason, .retry_after_s = after};

	return a;
}

/*
 * Admits a request or refuses it at once. Up to LIMIT_UNRESERVED_SHARE of the
 * capacity anyone may use; beyond, only those below their fair part, so an
 * organisation that comes back finds room while another floods.
 */
struct limit_decision limit_admit(struct limiter *l, const struct cfg *cfg,
				  uint64_t now, cfg_handle org, double capacity,
				  uint64_t deadline, double expected_ms)
{
	struct limit_org *o = &l->orgs[org % LIMIT_MAX_ORGS];
	double part = fair_part(l, cfg, now, org, capacity);

	o->last_asked_at = now ? now : 1;
	if (now >= deadline || (double)(deadline - now) < expected_ms)
		return refuse(LIMIT_DEADLINE_UNMET, 0);
	if (l->in_flight + 1 > capacity)
		return refuse(LIMIT_AT_CAPACITY,
			      retry_after(l, l->in_flight + 1 - capacity));
	if (l->in_flight + 1 > LIMIT_UNRESERVED_SHARE * capacity &&
	    o->in_flight + 1 > part)
		return refuse(LIMIT_OVER_FAIR_SHARE,
			      retry_after(l, o->in_flight + 1 - part));
	o->in_flight++;
	l->in_flight++;
	l->retry_tokens = fmin(l->retry_tokens + LIMIT_RETRIES_PER_REQUEST,
			       LIMIT_RETRY_TOKENS_MAX);
	return refuse(LIMIT_ADMITTED, 0);
}

/*
 * Gives back what an admitted request held. The organisation is CFG_NONE if a
 * new configuration has removed it meanwhile.
 */
void limit_release(struct limiter *l, uint64_t now, cfg_handle org)
{
	uint64_t passed;

	INVARIANT(l->in_flight, "limit: done no more than admitted");
	/* One removed and brought back has lost count of its old requests. */
	if (org != CFG_NONE && l->orgs[org % LIMIT_MAX_ORGS].in_flight)
		l->orgs[org % LIMIT_MAX_ORGS].in_flight--;
	l->in_flight--;
	l->done_since++;
	passed = now - l->rate_at;
	if (passed < RATE_WINDOW_MS)
		return;
	l->done_per_s = 1000.0 * l->done_since / (double)passed;
	l->done_since = 0;
	l->rate_at = now;
}

/*
 * Takes one retry from the budget; false once it is spent. It grows with the
 * requests admitted, so that retries add at most LIMIT_RETRIES_PER_REQUEST to the load,
 * and a little with time, so that a quiet node can retry at all.
 */
bool limit_take_retry(struct limiter *l, uint64_t now)
{
	if (l->retry_at && now > l->retry_at)
		l->retry_tokens += LIMIT_RETRIES_PER_S *
				   (double)(now - l->retry_at) / 1000;
	l->retry_tokens = fmin(l->retry_tokens, LIMIT_RETRY_TOKENS_MAX);
	l->retry_at = now;
	if (l->retry_tokens < 1)
		return false;
	l->retry_tokens -= 1;
	return true;
}

/* Moves the counts of organisations to their handles in a new configuration. */
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
