/*
 * Exposure to bad versions, over many seeds: how many answers of a bad new
 * version clients get until it is stopped, and how many good new versions are
 * stopped by mistake. Compares roll-outs on evidence with roll-outs by fixed
 * percentages on a schedule.
 */
#include <stdio.h>
#include <string.h>

#include "rng.h"
#include "rollout/rollout.h"

#define SEED_COUNT 200
#define FLEET_ANSWERS_PER_S 100.0 /* of the kind that is rolled out */
#define RATING_LAG_S 2 /* time from an answer to its rating */
#define ROUND_S 1
#define MAX_DURATION_S 7200
#define MAX_UNRATED 40 /* answers of the new version that await a rating */
#define OLD_BAD_SHARE 0.04 /* share of bad answers of the old version */
#define OLD_RATINGS 2000 /* known ratings of the old version */
#define FIXED_STEP_S 600
#define FIXED_WINDOW 100 /* ratings */

/* Share of traffic that the new version gets in each step. */
static const double step_shares[] = {0.01, 0.05, 0.25, 1};
#define STEP_COUNT (sizeof(step_shares) / sizeof(step_shares[0]))

struct outcome {
	double bad_answers; /* bad answers delivered by the new version */
	double answers; /* all answers delivered by the new version */
	double seconds; /* until stopped or fully rolled out */
	bool stopped;
};

/* Draws how many of n answers are bad, each with probability p. */
static uint64_t draw_bad(struct rng *r, uint64_t n, double p)
{
	uint64_t bad = 0;

	for (uint64_t i = 0; i < n; i++)
		bad += rng_unit(r) < p;
	return bad;
}

/* Rounds the mean up or down at random, so that the average is exact. */
static uint64_t draw_count(struct rng *r, double mean)
{
	uint64_t integer = (uint64_t)mean;

	return integer + (rng_unit(r) < mean - (double)integer);
}

/* Returns the counts of the old version: OLD_BAD_SHARE of its ratings are bad. */
static struct rollout_counts old_counts(void)
{
	struct rollout_counts c = {{0}, {0}};

	for (int i = 0; i < ROLLOUT_METRIC_COUNT; i++) {
		c.n[i] = OLD_RATINGS;
		c.bad[i] = i == ROLLOUT_RATING
				   ? (uint64_t)(OLD_RATINGS * OLD_BAD_SHARE)
				   : 0;
	}
	return c;
}

/*
 * Simulates a roll-out by rollout_decide(), which advances a step when the
 * evidence suffices. If `bounded`, the answers that await a rating are limited
 * to MAX_UNRATED.
 */
static struct outcome simulate_adaptive(struct rng *r, double p_bad,
					bool bounded)
{
	struct rollout_params params = rollout_default_params();
	struct rollout_counts from = old_counts();
	struct rollout_counts waiting[RATING_LAG_S + 1];
	struct rollout_test test;
	struct outcome o = {0};
	size_t step = 0;

	memset(&test, 0, sizeof(test));
	memset(waiting, 0, sizeof(waiting));
	for (int s = 0; s < MAX_DURATION_S; s += ROUND_S) {
		uint64_t unrated = 0;
		uint64_t n =
			draw_count(r, FLEET_ANSWERS_PER_S * step_shares[step]);
		struct rollout_counts *slot = &waiting[s % (RATING_LAG_S + 1)];
		struct rollout_counts arrived;
		enum rollout_metric metric;
		enum rollout_decision decision;

		for (int i = 0; i <= RATING_LAG_S; i++)
			unrated += waiting[i].n[ROLLOUT_RATING];
		arrived = waiting[(s + 1) % (RATING_LAG_S + 1)];
		if (bounded && step_shares[step] < 1 &&
		    unrated + n > MAX_UNRATED)
			n = unrated < MAX_UNRATED ? MAX_UNRATED - unrated : 0;
		memset(slot, 0, sizeof(*slot));
		slot->n[ROLLOUT_RATING] = n;
		slot->bad[ROLLOUT_RATING] = draw_bad(r, n, p_bad);
		slot->n[ROLLOUT_ERROR] = slot->n[ROLLOUT_LATENCY] = n;
		o.answers += (double)n;
		o.bad_answers += (double)slot->bad[ROLLOUT_RATING];
		o.seconds = s;
		decision = rollout_decide(&test, &params, (uint64_t)s * 1000,
					  &from, &arrived, &metric);
		if (decision == ROLLOUT_STOP) {
			o.stopped = true;
			return o;
		}
		if (decision == ROLLOUT_ADVANCE && step + 1 < STEP_COUNT) {
			step++;
			rollout_begin_step(&test, (uint64_t)s * 1000);
		} else if (decision == ROLLOUT_ADVANCE) {
			return o;
		}
	}
	return o;
}

/*
 * Simulates a roll-out by fixed percentages, each for FIXED_STEP_S. It is
 * stopped when the share of bad ratings in a window of at least FIXED_WINDOW
 * ratings of the new version is above max_bad_share.
 */
static struct outcome simulate_fixed(struct rng *r, double p_bad,
				     double max_bad_share)
{
	struct outcome o = {0};
	uint64_t window_n = 0, window_bad = 0;
	const int step_s = FIXED_STEP_S;

	for (int s = 0; s < (int)STEP_COUNT * step_s; s++) {
		uint64_t n = draw_count(r, FLEET_ANSWERS_PER_S *
						   step_shares[s / step_s]);
		uint64_t bad = draw_bad(r, n, p_bad);

		o.answers += (double)n;
		o.bad_answers += (double)bad;
		o.seconds = s;
		window_n += n;
		window_bad += bad;
		if (window_n < FIXED_WINDOW)
			continue;
		if ((double)window_bad / (double)window_n > max_bad_share) {
			o.stopped = true;
			return o;
		}
		window_n = window_bad = 0;
	}
	return o;
}

/*
 * Runs a simulation with all seeds and prints the averages as a row. `arg` is
 * the last argument of `simulate`.
 */
static void print_row(const char *method, double p_bad,
		      struct outcome (*simulate)(struct rng *, double, double),
		      double arg)
{
	double bad = 0, answers = 0, seconds = 0;
	int stopped = 0;

	for (uint64_t seed = 1; seed <= SEED_COUNT; seed++) {
		struct rng r;
		struct outcome o;

		rng_seed(&r, seed);
		o = simulate(&r, p_bad, arg);
		bad += o.bad_answers;
		answers += o.answers;
		seconds += o.seconds;
		stopped += o.stopped;
	}
	printf("| %-28s | %4.0f %% | %3d of %d | %8.1f | %9.1f | %7.0f |\n",
	       method, p_bad * 100, stopped, SEED_COUNT, bad / SEED_COUNT,
	       answers / SEED_COUNT, seconds / SEED_COUNT);
}

/* Calls simulate_adaptive() with the signature that print_row() takes. */
static struct outcome simulate_adaptive_arg(struct rng *r, double p_bad,
					    double bounded)
{
	return simulate_adaptive(r, p_bad, bounded > 0);
}

int main(void)
{
	static const double bad_shares[] = {0.04, 0.06, 0.12, 0.2, 0.4, 0.8};

	printf("old version: %.0f %% bad; %.0f answers a second; ratings lag "
	       "%d s; seeds 1 to %d\n\n",
	       OLD_BAD_SHARE * 100, FLEET_ANSWERS_PER_S, RATING_LAG_S,
	       SEED_COUNT);
	printf("| way                          | new bad | stopped    | bad "
	       "given | all given | seconds |\n");
	printf("|---|---|---|---|---|---|\n");
	for (size_t i = 0; i < sizeof(bad_shares) / sizeof(bad_shares[0]);
	     i++) {
		print_row("evidence, bounded unrated", bad_shares[i],
			  simulate_adaptive_arg, 1);
		print_row("evidence, not bounded", bad_shares[i],
			  simulate_adaptive_arg, 0);
		print_row("fixed %, stop above 8 %", bad_shares[i],
			  simulate_fixed, 0.08);
		print_row("fixed %, stop above 12 %", bad_shares[i],
			  simulate_fixed, 0.12);
	}
	return 0;
}
