#ifndef ROUTE_CHOOSE_H
#define ROUTE_CHOOSE_H

#include <stdbool.h>
#include <stdint.h>

#include "config/config.h"
#include "rng.h"
#include "route/quality.h"

/*
 * Selects the model version that answers a request, or a cascade of two: the
 * first version's answer is rated and, if the rating is below the quality
 * target, the second version answers instead.
 */

/* Share of eligible requests that try a version with too few ratings. */
#define CHOOSE_EXPLORE_SHARE 0.02

struct choose_request {
	cfg_handle org;
	cfg_handle kind;
	const char *model; /* model or version name, or NULL for any */
	cfg_handle pinned; /* version of the session, or CFG_NONE */
	bool streamed;
	bool can_rate; /* rating service is up and the deadline allows it */
	double input_tokens;
	uint64_t usable; /* bit i: some server can run version i */
	/*
	 * Bit i: version i has too many unrated answers; roll-outs send it no
	 * further requests.
	 */
	uint64_t withheld_versions;
};

enum choose_reason {
	CHOOSE_CHEAPEST, /* lowest expected cost that meets the target */
	CHOOSE_CASCADE, /* a cascade has the lowest expected cost */
	CHOOSE_BEST_KNOWN, /* none meets the target: highest lower bound */
	CHOOSE_PINNED, /* the session's version */
	CHOOSE_REPINNED, /* the session's version was withdrawn */
	CHOOSE_ROLLOUT, /* selected at random for a roll-out's new version */
	CHOOSE_EXPLORE, /* cascade whose first version has too few ratings */
	CHOOSE_NONE_ALLOWED, /* the organisation may use no such version */
	CHOOSE_NONE_AVAILABLE, /* no allowed version has a server now */
};

struct choose_result {
	enum choose_reason reason;
	cfg_handle first; /* CFG_NONE: refused */
	cfg_handle second; /* second version of a cascade, or CFG_NONE */
	cfg_handle rollout; /* roll-out that counts the answer, or CFG_NONE */
	double expected_cost; /* micro-units */
	uint64_t considered; /* bit i: version i was a candidate */
	uint64_t meets_target; /* bit i: version i meets the quality target */
};

struct choose_result choose_for_request(const struct cfg *cfg,
					const struct quality_table *q,
					const struct choose_request *req,
					struct rng *rng);
const char *choose_reason_name(enum choose_reason reason);
double choose_expected_cost(const struct cfg *cfg, cfg_handle version,
			    double input_tokens, double output_tokens);

#endif
