#include "rollout/rollout.h"

#include <math.h>
#include <string.h>

#define MARGIN 0.08 /* increase of the share of bad answers */
#define STOP_THRESHOLD 6.5 /* log likelihood ratio */
#define ADVANCE_THRESHOLD 2.5 /* the same, negated */
#define MIN_STEP_RATINGS 40
#define MIN_STEP_MS 5000
#define PRIOR_WEIGHT_ANSWERS 40.0
#define MAX_OLD_BAD_SHARE 0.9 /* below MAX_WORSE_BAD_SHARE */
#define OLD_BAD_STANDARD_ERRORS 1.5
#define MAX_WORSE_BAD_SHARE 0.99 /* keeps log(1 - share) finite */

/* Expected bad share of the old version before any answer is counted. */
static const double prior_bad_share[ROLLOUT_METRIC_COUNT] = {0.05, 0.01, 0.02};
static const char *const metric_names[] = {"rating", "error", "latency"};

/* Returns the metric's name for logs and explanations. */
const char *rollout_metric_name(enum rollout_metric metric)
{
	return metric_names[metric];
}

/* Returns the default parameters, with no minimum for the bad share. */
struct rollout_params rollout_default_params(void)
{
	struct rollout_params p = {
		.margin = MARGIN,
		.stop_threshold = STOP_THRESHOLD,
		.advance_threshold = ADVANCE_THRESHOLD,
		.min_step_ratings = MIN_STEP_RATINGS,
		.min_step_ms = MIN_STEP_MS,
	};

	return p;
}

/*
 * Returns an upper estimate of the old version's share of bad answers, some
 * standard errors above the mean: while few of its answers are counted, the
 * new version gets the benefit of the doubt.
 */
static double old_bad_share(const struct rollout_counts *from,
			    enum rollout_metric m)
{
	double n = (double)from->n[m] + PRIOR_WEIGHT_ANSWERS;
	double bad = (double)from->bad[m] +
		     PRIOR_WEIGHT_ANSWERS * prior_bad_share[m];
	double share = bad / n;

	share += OLD_BAD_STANDARD_ERRORS * sqrt(share * (1 - share) / n);
	return fmin(share, MAX_OLD_BAD_SHARE);
}

/*
 * Adds new answers to one metric's statistics. An answer adds the log
 * likelihood ratio of two hypotheses: the new version is worse by the margin,
 * or it is like the old one.
 */
static void update_statistics(struct rollout_test *t,
			      const struct rollout_params *p,
			      enum rollout_metric m,
			      const struct rollout_counts *from,
			      const struct rollout_counts *to_new)
{
	double old = fmax(old_bad_share(from, m), p->min_bad_share);
	double worse = fmin(old + p->margin, MAX_WORSE_BAD_SHARE);
	double bad = (double)to_new->bad[m];
	double good = (double)(to_new->n[m] - to_new->bad[m]);
	double log_ratio =
		bad * log(worse / old) + good * log((1 - worse) / (1 - old));

	t->stop[m] = fmax(t->stop[m] + log_ratio, 0);
	t->grow[m] += log_ratio;
}

/* Resets the test for advancing at a new step; that for stopping continues. */
void rollout_begin_step(struct rollout_test *t, uint64_t now)
{
	memset(t->grow, 0, sizeof(t->grow));
	t->step_ratings = 0;
	t->step_started_at = now;
}

static bool may_advance(const struct rollout_test *t,
			const struct rollout_params *p, uint64_t now)
{
	if (t->step_ratings < p->min_step_ratings ||
	    now - t->step_started_at < p->min_step_ms)
		return false;
	for (int m = 0; m < ROLLOUT_METRIC_COUNT; m++)
		if (t->grow[m] > -p->advance_threshold)
			return false;
	return true;
}

/*
 * Updates the test and returns whether to stop, advance or hold. `from` holds
 * all counts of the old version, `to_new` only what was added to those of the
 * new version since the last call. `failed_metric` is set with ROLLOUT_STOP
 * only.
 */
enum rollout_decision rollout_decide(struct rollout_test *t,
				     const struct rollout_params *p,
				     uint64_t now,
				     const struct rollout_counts *from,
				     const struct rollout_counts *to_new,
				     enum rollout_metric *failed_metric)
{
	for (int m = 0; m < ROLLOUT_METRIC_COUNT; m++)
		update_statistics(t, p, m, from, to_new);
	t->step_ratings += to_new->n[ROLLOUT_RATING];
	for (int m = 0; m < ROLLOUT_METRIC_COUNT; m++) {
		if (t->stop[m] >= p->stop_threshold) {
			*failed_metric = (enum rollout_metric)m;
			return ROLLOUT_STOP;
		}
	}
	return may_advance(t, p, now) ? ROLLOUT_ADVANCE : ROLLOUT_HOLD;
}
