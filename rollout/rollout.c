#include "rollout/rollout.h"

#include <math.h>
#include <string.h>

#define MARGIN 0.08
#define STOP_AT 6.5
#define GROW_AT 2.5
#define STEP_MIN 40
#define STEP_MIN_MS 5000
#define OLD_PRIOR_WEIGHT 40.0
#define OLD_MAX_BAD 0.9
#define OLD_ERRORS_ABOVE 1.5
#define NEW_MAX_BAD 0.99

static const double old_prior_bad[ROLLOUT_METRIC_COUNT] = {0.05, 0.01, 0.02};
static const char *const respect_names[] = {"rating", "error", "latency"};

/* Returns a respect's name for logs and explanations. */
const char *rollout_metric_name(enum rollout_metric respect)
{
	return respect_names[respect];
}

/* Returns the parameters that roll-outs run with. */
struct rollout_params rollout_default_params(void)
{
	struct rollout_params p = {
		.margin = MARGIN,
		.stop_threshold = STOP_AT,
		.advance_threshold = GROW_AT,
		.min_step_ratings = STEP_MIN,
		.min_step_ms = STEP_MIN_MS,
	};

	return p;
}

/*
 * Returns the old version's share of bad answers, some standard errors above
 * the estimate: as long as it is known from few answers, the new version gets
 * the benefit of the doubt.
 */
static double old_bad_share(const struct rollout_counts *from,
			    enum rollout_metric r)
{
	double n = (double)from->n[r] + OLD_PRIOR_WEIGHT;
	double bad = (double)from->bad[r] + OLD_PRIOR_WEIGHT * old_prior_bad[r];
	double share = bad / n;

	share += OLD_ERRORS_ABOVE * sqrt(share * (1 - share) / n);
	return fmin(share, OLD_MAX_BAD);
}

/*
 * Adds new evidence to one respect's sums. The weight of one answer is the
 * log of how much likelier it is if the new version is worse by the margin
 * than if it is as the old one.
 */
static void add_evidence(struct rollout_test *t, const struct rollout_params *p,
			 enum rollout_metric r,
			 const struct rollout_counts *from,
			 const struct rollout_counts *to_new)
{
	double old = fmax(old_bad_share(from, r), p->min_bad_share);
	double worse = fmin(old + p->margin, NEW_MAX_BAD);
	double bad = (double)to_new->bad[r];
	double good = (double)(to_new->n[r] - to_new->bad[r]);
	double gain =
		bad * log(worse / old) + good * log((1 - worse) / (1 - old));

	t->stop[r] = fmax(t->stop[r] + gain, 0);
	t->grow[r] += gain;
}

/* Starts the evidence for growing anew; that for stopping goes on. */
void rollout_begin_step(struct rollout_test *t, uint64_t now)
{
	memset(t->grow, 0, sizeof(t->grow));
	t->step_ratings = 0;
	t->step_started_at = now;
}

static bool may_grow(const struct rollout_test *t,
		     const struct rollout_params *p, uint64_t now)
{
	if (t->step_ratings < p->min_step_ratings ||
	    now - t->step_started_at < p->min_step_ms)
		return false;
	for (int r = 0; r < ROLLOUT_METRIC_COUNT; r++)
		if (t->grow[r] > -p->advance_threshold)
			return false;
	return true;
}

/*
 * Takes the counts that came in since the last call: `from` is all that is
 * known of the old version, `to_new` only what is new of the new one. Says
 * whether to stop (and in which respect), to grow, or to hold.
 */
enum rollout_decision rollout_decide(struct rollout_test *t,
				     const struct rollout_params *p,
				     uint64_t now,
				     const struct rollout_counts *from,
				     const struct rollout_counts *to_new,
				     enum rollout_metric *respect)
{
	for (int r = 0; r < ROLLOUT_METRIC_COUNT; r++)
		add_evidence(t, p, r, from, to_new);
	t->step_ratings += to_new->n[ROLLOUT_RATING];
	for (int r = 0; r < ROLLOUT_METRIC_COUNT; r++) {
		if (t->stop[r] >= p->stop_threshold) {
			*respect = (enum rollout_metric)r;
			return ROLLOUT_STOP;
		}
	}
	return may_grow(t, p, now) ? ROLLOUT_ADVANCE : ROLLOUT_HOLD;
}
