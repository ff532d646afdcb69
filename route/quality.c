#include "route/quality.h"

#include <math.h>
#include <string.h>

#define PRIOR_WEIGHT 4.0
#define PRIOR_VARIANCE 0.04
#define Z_95 1.645
#define MEASURE_WEIGHT 0.05
#define DEFAULT_OUTPUT_TOKENS 200.0

/*
 * Takes a rating from 0 to 1 of an answer. Beyond QUALITY_MAX_RATINGS the older
 * half loses weight, so that a change of the version's quality shows.
 */
void quality_add_rating(struct quality_table *q, cfg_handle version,
			cfg_handle kind, double rating, double target)
{
	struct quality_stats *c = &q->cells[version][kind];

	c->n += 1;
	c->sum += rating;
	c->squares += rating * rating;
	c->accepted += rating >= target;
	if (c->n <= QUALITY_MAX_RATINGS)
		return;
	c->n /= 2;
	c->sum /= 2;
	c->squares /= 2;
	c->accepted /= 2;
}

/* Takes the length of an answer and, if it was seen, its first token's time. */
void quality_add_measurement(struct quality_table *q, cfg_handle version,
			     cfg_handle kind, double output_tokens,
			     double first_ms)
{
	struct quality_stats *c = &q->cells[version][kind];

	if (c->tokens_n < 1)
		c->tokens = output_tokens;
	else
		c->tokens += MEASURE_WEIGHT * (output_tokens - c->tokens);
	c->tokens_n += 1;
	if (first_ms <= 0)
		return;
	if (c->first_ms <= 0)
		c->first_ms = first_ms;
	else
		c->first_ms += MEASURE_WEIGHT * (first_ms - c->first_ms);
}

/*
 * Estimates a version's quality for a kind. The quality its makers state
 * counts as PRIOR_WEIGHT ratings.
 */
struct quality_estimate quality_estimate(const struct quality_table *q,
					 const struct cfg *cfg,
					 cfg_handle version, cfg_handle kind)
{
	const struct quality_stats *c = &q->cells[version][kind];
	double prior = cfg->versions[version].expected[kind];
	double n = c->n + PRIOR_WEIGHT;
	double mean = (c->sum + PRIOR_WEIGHT * prior) / n;
	double squares =
		c->squares + PRIOR_WEIGHT * (prior * prior + PRIOR_VARIANCE);
	double variance = fmax(squares / n - mean * mean, 0.0001);
	struct quality_estimate e = {
		.mean = mean,
		.lower = mean - Z_95 * sqrt(variance / n),
		.enough = c->n >= QUALITY_MIN_RATINGS,
		.acceptance = (c->accepted + 1) / (c->n + 2),
	};

	return e;
}

/* Returns the length of answer to expect, in tokens. */
double quality_expected_output_tokens(const struct quality_table *q,
				      cfg_handle version, cfg_handle kind)
{
	const struct quality_stats *c = &q->cells[version][kind];

	return c->tokens_n >= 1 ? c->tokens : DEFAULT_OUTPUT_TOKENS;
}

/*
 * Fills the table for a new configuration with what was learnt under an old
 * one. Versions and kinds are matched by name, since handles may move.
 */
void quality_carry_over(struct quality_table *to, const struct cfg *to_cfg,
			const struct quality_table *from,
			const struct cfg *from_cfg)
{
	memset(to, 0, sizeof(*to));
	for (size_t v = 0; v < from_cfg->n_versions; v++) {
		cfg_handle tv =
			cfg_find_version(to_cfg, from_cfg->versions[v].name);

		for (size_t k = 0; k < from_cfg->n_kinds; k++) {
			cfg_handle tk =
				cfg_find_kind(to_cfg, from_cfg->kinds[k].name);

			if (tv != CFG_NONE && tk != CFG_NONE)
				to->cells[tv][tk] = from->cells[v][k];
		}
	}
}
