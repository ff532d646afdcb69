#ifndef ROUTE_QUALITY_H
#define ROUTE_QUALITY_H

#include <stdbool.h>
#include <stdint.h>

#include "config/config.h"

/*
 * Statistics of each version for each kind of request: ratings from 0 to 1
 * with more weight on recent ones, answer lengths and times to first token.
 */

/* Ratings below which an estimate is not relied on. */
#define QUALITY_MIN_RATINGS 30.0
/* Number of ratings at which the weight of all of them is halved. */
#define QUALITY_MAX_RATINGS 2000.0

struct quality_stats {
	double n; /* number of ratings, older ones discounted */
	double sum; /* of the ratings */
	double sum_squares; /* of the ratings */
	double accepted; /* ratings at or above the target of their request */
	double token_samples; /* answers in mean_output_tokens */
	double mean_output_tokens; /* moving average; valid with a sample */
	double first_token_ms; /* moving average time to first token; 0: unknown */
};

struct quality_table {
	struct quality_stats stats[CFG_MAX_VERSIONS][CFG_MAX_KINDS];
};

struct quality_estimate {
	double mean; /* rating, 0 to 1 */
	/*
	 * One-sided 95 % confidence bound of the mean. The expected quality
	 * raises it little, since it counts as only a few ratings.
	 */
	double lower;
	bool enough; /* at least QUALITY_MIN_RATINGS ratings */
	double acceptance; /* probability of a rating at or above the target */
};

void quality_add_rating(struct quality_table *q, cfg_handle version,
			cfg_handle kind, double rating, double target);
void quality_add_measurement(struct quality_table *q, cfg_handle version,
			     cfg_handle kind, double output_tokens,
			     double first_token_ms);
struct quality_estimate quality_estimate(const struct quality_table *q,
					 const struct cfg *cfg,
					 cfg_handle version, cfg_handle kind);
double quality_expected_output_tokens(const struct quality_table *q,
				      cfg_handle version, cfg_handle kind);
void quality_carry_over(struct quality_table *to, const struct cfg *to_cfg,
			const struct quality_table *from,
			const struct cfg *from_cfg);

#endif
