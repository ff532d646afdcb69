#include "route/quality.h"

#include <math.h>
#include <string.h>

#define PRIOR_WEIGHT 4.0 /* ratings that the expected quality counts as */
#define PRIOR_VARIANCE 0.04 /* assumed of these ratings */
#define MIN_VARIANCE 0.0001 /* keeps the bound apart from the mean */
#define NORMAL_QUANTILE_95 1.645
#define AVERAGE_WEIGHT 0.05 /* of a new sample in a moving average */
#define DEFAULT_OUTPUT_TOKENS 200.0 /* of a version without samples */

/*
 * Adds a rating from 0 to 1 of an answer whose request asked for the quality
 * `target`. When the number of ratings exceeds QUALITY_MAX_RATINGS, all are
 * halved in weight so that a change in the version's quality shows.
 */
void quality_add_rating(struct quality_table *q, cfg_handle version,
			cfg_handle kind, double rating, double target)
{
	struct quality_stats *c = &q->stats[version][kind];

	c->n += 1;
	c->sum += rating;
	c->sum_squares += rating * rating;
	c->accepted += rating >= target;
	if (c->n <= QUALITY_MAX_RATINGS)
		return;
	c->n /= 2;
	c->sum /= 2;
	c->sum_squares /= 2;
	c->accepted /= 2;
}

/*
 * Adds the length of an answer in tokens and its time to first token in ms;
 * first_token_ms is 0 or less if that is unknown.
 */
void quality_add_measurement(struct quality_table *q, cfg_handle version,
			     cfg_handle kind, double output_tokens,
			     double first_token_ms)
{
	struct quality_stats *c = &q->stats[version][kind];

	if (c->token_samples < 1)
		c->mean_output_tokens = output_tokens;
	else
		c->mean_output_tokens +=
			AVERAGE_WEIGHT *
			(output_tokens - c->mean_output_tokens);
	c->token_samples += 1;
	if (first_token_ms <= 0)
		return;
	if (c->first_token_ms <= 0)
		c->first_token_ms = first_token_ms;
	else
		c->first_token_ms +=
			AVERAGE_WEIGHT * (first_token_ms - c->first_token_ms);
}

/*
 * Estimates a version's quality for a kind of request. The expected quality
 * from the configuration is the prior and counts as PRIOR_WEIGHT ratings.
 */
struct quality_estimate quality_estimate(const struct quality_table *q,
					 const struct cfg *cfg,
					 cfg_handle version, cfg_handle kind)
{
	const struct quality_stats *c = &q->stats[version][kind];
	double prior = cfg->versions[version].expected[kind];
	double n = c->n + PRIOR_WEIGHT;
	double mean = (c->sum + PRIOR_WEIGHT * prior) / n;
	double squares = c->sum_squares +
			 PRIOR_WEIGHT * (prior * prior + PRIOR_VARIANCE);
	double variance = fmax(squares / n - mean * mean, MIN_VARIANCE);
	struct quality_estimate e = {
		.mean = mean,
		.lower = mean - NORMAL_QUANTILE_95 * sqrt(variance / n),
		.enough = c->n >= QUALITY_MIN_RATINGS,
		.acceptance = (c->accepted + 1) / (c->n + 2),
	};

	return e;
}

/* Returns the expected length of an answer, in tokens. */
double quality_expected_output_tokens(const struct quality_table *q,
				      cfg_handle version, cfg_handle kind)
{
	const struct quality_stats *c = &q->stats[version][kind];

	return c->token_samples >= 1 ? c->mean_output_tokens
				     : DEFAULT_OUTPUT_TOKENS;
}

/*
 * Fills the table `to` of a new configuration from that of an old one. Versions
 * and kinds are matched by name, since their handles may differ.
 */
void quality_carry_over(struct quality_table *to, const struct cfg *to_cfg,
			const struct quality_table *from,
			const struct cfg *from_cfg)
{
	memset(to, 0, sizeof(*to));
	for (size_t v = 0; v < from_cfg->n_versions; v++) {
		cfg_handle to_version =
			cfg_find_version(to_cfg, from_cfg->versions[v].name);

		for (size_t k = 0; k < from_cfg->n_kinds; k++) {
			cfg_handle to_kind =
				cfg_find_kind(to_cfg, from_cfg->kinds[k].name);

			if (to_version != CFG_NONE && to_kind != CFG_NONE)
				to->stats[to_version][to_kind] =
					from->stats[v][k];
		}
	}
}
