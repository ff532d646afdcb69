#ifndef ROUTE_QUALITY_H
#define ROUTE_QUALITY_H

#include <stdbool.h>
#include <stdint.h>

#include "config/config.h"

/*
 * What is known of each version's quality for each kind of request: ratings
 * from 0 to 1, weighed by how recent they are.
 */
#define QUALITY_MIN_RATINGS 30.0
#define QUALITY_MAX_RATINGS 2000.0

struct quality_stats {
	double n; /* ratings, the older ones discounted */
	double sum;
	double squares;
	double accepted; /* ratings at or above the target then asked */
	double tokens_n;
	double tokens; /* output tokens */
	double first_ms; /* mean time to the first token; 0: unknown */
};

struct quality_table {
	struct quality_stats cells[CFG_MAX_VERSIONS][CFG_MAX_KINDS];
};

struct quality_estimate {
	double mean;
	double lower; /* one-sided 95 % bound; the stated quality helps little */
	bool enough; /* QUALITY_MIN_RATINGS ratings or more */
	double acceptance; /* chance of a rating at or above the target */
};

void quality_add_rating(struct quality_table *q, cfg_handle version,
			cfg_handle kind, double rating, double target);
void quality_add_measurement(struct quality_table *q, cfg_handle version,
			     cfg_handle kind, double output_tokens,
			     double first_ms);
struct quality_estimate quality_estimate(const struct quality_table *q,
					 const struct cfg *cfg,
					 cfg_handle version, cfg_handle kind);
double quality_expected_output_tokens(const struct quality_table *q,
				      cfg_handle version, cfg_handle kind);
void quality_carry_over(struct quality_table *to, const struct cfg *to_cfg,
			const struct quality_table *from,
			const struct cfg *from_cfg);

#endif
