/*
 * Exposure to bad versions: answers of a bad new version that callers get
 * until it is stopped, and good new versions stopped by mistake, over many
 * seeds. Compared with roll-outs by fixed percentages on a timetable.
 */
#include <stdio.h>
#include <string.h>

#include "rng.h"
#include "rollout/rollout.h"

#define SEEDS 200
#define FLEET_RATE 100.0 /* answers a second of the old version's kind */
#define RATING_LAG_S 2 /* ratings come this much after the answer */
#define ROUND_S 1
#define MAX_S 7200
#define UNRATED_MAX 40
#define OLD_BAD 0.04
#define OLD_KNOWN 2000

static const double steps[] = {0.01, 0.05, 0.25, 1};
#define STEPS (sizeof(steps) / sizeof(steps[0]))

struct outcome {
	double bad; /* bad answers delivered by the new version */
	double all; /* answers delivered by the new version */
	double seconds; /* until stopped or fully out */
	bool stopped;
};

static uint64_t draw_bad(struct rng *r, uint64_t n, double p)
{
	uint64_t bad = 0;

	for (uint64_t i = 0; i < n; i++)
		bad += rng_unit(r) < p;
	return bad;
}

static uint64_t draw_count(struct rng *r, double mean)
{
	uint64_t whole = (uint64_t)mean;

	return whole + (rng_unit(r) < mean - (double)whole);
}

static struct rollout_counts old_counts(void)
{
	struct rollout_counts c = {{0}, {0}};

	for (int i = 0; i < ROLLOUT_METRIC_COUNT; i++) {
		c.n[i] = OLD_KNOWN;
		c.bad[i] = i == ROLLOUT_RATING ? (uint64_t)(OLD_KNOWN * OLD_BAD)
					       : 0;
	}
	return c;
}

/* chivegw's way: steps grow on evidence, unrated answers are bounded. */
static struct outcome run_adaptive(struct rng *r, double p_bad, bool bounded)
{
	struct rollout_params params = rollout_default_params();
	struct rollout_counts from = old_counts();
	struct rollout_counts waiting[RATING_LAG_S + 1];
	struct rollout_test test;
	struct outcome o = {0};
	size_t step = 0;

	memset(&test, 0, sizeof(test));
	memset(waiting, 0, sizeof(waiting));
	for (int s = 0; s < MAX_S; s += ROUND_S) {
		uint64_t unrated = 0;
		uint64_t n = draw_count(r, FLEET_RATE * steps[step]);
		struct rollout_counts *slot = &waiting[s % (RATING_LAG_S + 1)];
		struct rollout_counts arrived;
		enum rollout_metric why;
		enum rollout_decision v;

		for (int i = 0; i <= RATING_LAG_S; i++)
			unrated += waiting[i].n[ROLLOUT_RATING];
		arrived = waiting[(s + 1) % (RATING_LAG_S + 1)];
		if (bounded && steps[step] < 1 && unrated + n > UNRATED_MAX)
			n = unrated < UNRATED_MAX ? UNRATED_MAX - unrated : 0;
		memset(slot, 0, sizeof(*slot));
		slot->n[ROLLOUT_RATING] = n;
		slot->bad[ROLLOUT_RATING] = draw_bad(r, n, p_bad);
		slot->n[ROLLOUT_ERROR] = slot->n[ROLLOUT_LATENCY] = n;
		o.all += (double)n;
		o.bad += (double)slot->bad[ROLLOUT_RATING];
		o.seconds = s;
		v = rollout_decide(&test, &params, (uint64_t)s * 1000, &from,
				   &arrived, &why);
		if (v == ROLLOUT_STOP) {
			o.stopped = true;
			return o;
		}
		if (v == ROLLOUT_ADVANCE && step + 1 < STEPS) {
			step++;
			rollout_begin_step(&test, (uint64_t)s * 1000);
		} else if (v == ROLLOUT_ADVANCE) {
			return o;
		}
	}
	return o;
}

/*
 * Fixed percentages: ten minutes a step; stopped when more than `limit` of
 * the last 100 ratings of the new version are bad.
 */
static struct outcome run_fixed(struct rng *r, double p_bad, double limit)
{
	struct outcome o = {0};
	uint64_t window_n = 0, window_bad = 0;
	const int step_s = 600;

	for (int s = 0; s < (int)STEPS * step_s; s++) {
		uint64_t n = draw_count(r, FLEET_RATE * steps[s / step_s]);
		uint64_t bad = draw_bad(r, n, p_bad);

		o.all += (double)n;
		o.bad += (double)bad;
		o.seconds = s;
		window_n += n;
		window_bad += bad;
		if (window_n < 100)
			continue;
		if ((double)window_bad / (double)window_n > limit) {
			o.stopped = true;
			return o;
		}
		window_n = window_bad = 0;
	}
	return o;
}

static void print_row(const char *way, double p_bad,
		      struct outcome (*run)(struct rng *, double, double),
		      double arg)
{
	double bad = 0, all = 0, seconds = 0;
	int stopped = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct rng r;
		struct outcome o;

		rng_seed(&r, seed);
		o = run(&r, p_bad, arg);
		bad += o.bad;
		all += o.all;
		seconds += o.seconds;
		stopped += o.stopped;
	}
	printf("| %-28s | %4.0f %% | %3d of %d | %8.1f | %9.1f | %7.0f |\n",
	       way, p_bad * 100, stopped, SEEDS, bad / SEEDS, all / SEEDS,
	       seconds / SEEDS);
}

static struct outcome adaptive(struct rng *r, double p_bad, double bounded)
{
	return run_adaptive(r, p_bad, bounded > 0);
}

int main(void)
{
	static const double shares[] = {0.04, 0.06, 0.12, 0.2, 0.4, 0.8};

	printf("old version: %.0f %% bad; %.0f answers a second; ratings lag "
	       "%d s; seeds 1 to %d\n\n",
	       OLD_BAD * 100, FLEET_RATE, RATING_LAG_S, SEEDS);
	printf("| way                          | new bad | stopped    | bad "
	       "given | all given | seconds |\n");
	printf("|---|---|---|---|---|---|\n");
	for (size_t i = 0; i < sizeof(shares) / sizeof(shares[0]); i++) {
		print_row("evidence, bounded unrated", shares[i], adaptive, 1);
		print_row("evidence, not bounded", shares[i], adaptive, 0);
		print_row("fixed %, stop above 8 %", shares[i], run_fixed,
			  0.08);
		print_row("fixed %, stop above 12 %", shares[i], run_fixed,
			  0.12);
	}
	return 0;
}
