#ifndef ROLLOUT_ROLLOUT_H
#define ROLLOUT_ROLLOUT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Judges a roll-out by evidence from the whole fleet. Each answer of the new
 * version is good or bad in three respects; a sequential test on each stops
 * the roll-out when the new version is worse than the old one by a margin,
 * and lets it grow when that is ruled out. After the last step the test for
 * stopping goes on.
 */
enum rollout_metric {
	ROLLOUT_RATING, /* rated below the target */
	ROLLOUT_ERROR, /* failed */
	ROLLOUT_LATENCY, /* first token later than the limit */
	ROLLOUT_METRIC_COUNT,
};

struct rollout_counts {
	uint64_t n[ROLLOUT_METRIC_COUNT]; /* answers judged in this respect */
	uint64_t bad[ROLLOUT_METRIC_COUNT];
};

struct rollout_params {
	double min_bad_share; /* share of bad answers granted to any version */
	double margin; /* rise of the bad share that must be found */
	double stop_threshold; /* log of the odds at which to stop */
	double advance_threshold; /* log of the odds at which to grow */
	uint64_t min_step_ratings; /* answers rated at least for a step */
	uint64_t min_step_ms; /* shortest stay at a step */
};

struct rollout_test {
	double stop
		[ROLLOUT_METRIC_COUNT]; /* one-sided cumulative sums, never below 0 */
	double grow[ROLLOUT_METRIC_COUNT]; /* sums since the step began */
	uint64_t step_ratings; /* answers rated since the step began */
	uint64_t step_started_at; /* ms: when the step began */
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
				     enum rollout_metric *respect);
void rollout_begin_step(struct rollout_test *t, uint64_t now);
const char *rollout_metric_name(enum rollout_metric respect);

#endif
