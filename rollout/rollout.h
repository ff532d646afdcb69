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
enum ro_respect {
	RO_RATING, /* rated below the target */
	RO_ERROR, /* failed */
	RO_SLOW, /* first token later than the limit */
	RO_RESPECTS,
};

struct ro_counts {
	uint64_t n[RO_RESPECTS]; /* answers judged in this respect */
	uint64_t bad[RO_RESPECTS];
};

struct ro_params {
	double least_bad; /* share of bad answers granted to any version */
	double margin; /* rise of the bad share that must be found */
	double stop_at; /* log of the odds at which to stop */
	double grow_at; /* log of the odds at which to grow */
	uint64_t step_min; /* answers rated at least for a step */
	uint64_t step_min_ms; /* shortest stay at a step */
};

struct ro_test {
	double stop[RO_RESPECTS]; /* one-sided cumulative sums, never below 0 */
	double grow[RO_RESPECTS]; /* sums since the step began */
	uint64_t step_n; /* answers rated since the step began */
	uint64_t step_at; /* ms: when the step began */
};

enum ro_verdict {
	RO_HOLD,
	RO_GROW,
	RO_STOP,
};

struct ro_params ro_default_params(void);
enum ro_verdict ro_judge(struct ro_test *t, const struct ro_params *p,
			 uint64_t now, const struct ro_counts *from,
			 const struct ro_counts *to_new,
			 enum ro_respect *respect);
void ro_begin_step(struct ro_test *t, uint64_t now);
const char *ro_respect_name(enum ro_respect respect);

#endif
