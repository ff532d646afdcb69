#ifndef ROLLOUT_ROLLOUT_H
#define ROLLOUT_ROLLOUT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides how a roll-out continues, by sequential tests on the answer counts of
 * the whole fleet. Each answer of the new version is good or bad by three
 * metrics. The roll-out stops once the new version is worse than the old one by
 * a margin in any metric, and advances to its next step once that is unlikely
 * in all of them. The test for stopping continues after the last step. Times
 * are milliseconds of the caller's clock.
 */
enum rollout_metric {
	ROLLOUT_RATING, /* bad: rated below the target */
	ROLLOUT_ERROR, /* bad: the attempt failed */
	ROLLOUT_LATENCY, /* bad: first token later than the limit */
	ROLLOUT_METRIC_COUNT,
};

/* Answers of one version, by metric. */
struct rollout_counts {
	uint64_t n[ROLLOUT_METRIC_COUNT]; /* answers measured */
	uint64_t bad[ROLLOUT_METRIC_COUNT]; /* those of them that were bad */
};

struct rollout_params {
	double min_bad_share; /* the old version's bad share is at least this */
	double margin; /* increase of the bad share that must be detected */
	double stop_threshold; /* log likelihood ratio at which to stop */
	double advance_threshold; /* the same, negated, at which to advance */
	uint64_t min_step_ratings; /* rated answers needed at each step */
	uint64_t min_step_ms; /* shortest duration of a step */
};

/* State of the sequential tests of one roll-out. */
struct rollout_test {
	double stop[ROLLOUT_METRIC_COUNT]; /* CUSUM statistics, never below 0 */
	double grow[ROLLOUT_METRIC_COUNT]; /* log ratios since step start */
	uint64_t step_ratings; /* answers rated since the step started */
	uint64_t step_started_at;
};

enum rollout_decision {
	ROLLOUT_HOLD,
	ROLLOUT_ADVANCE,
	ROLLOUT_STOP,
};

struct rollout_params rollout_default_params(void);
enum rollout_decision rollout_decide(struct rollout_test *t,
				     const struct rollout_params *p,
				     uint64_t now,
				     const struct rollout_counts *from,
				     const struct rollout_counts *to_new,
				     enum rollout_metric *failed_metric);
void rollout_begin_step(struct rollout_test *t, uint64_t now);
const char *rollout_metric_name(enum rollout_metric metric);

#endif
