#ifndef ROUTE_CHOOSE_H
#define ROUTE_CHOOSE_H

#include <stdbool.h>
#include <stdint.h>

#include "config/config.h"
#include "rng.h"
#include "route/quality.h"

/* Chooses the version, or the cascade of two, that answers a request. */
#define CHOOSE_EXPLORE_SHARE 0.02

struct choose_request {
	cfg_handle org;
	cfg_handle kind;
	const char *model; /* wanted model, or NULL for any */
	cfg_handle pinned; /* version of the session, or CFG_NONE */
	bool streamed;
	bool can_rate; /* the rating service answers, and time allows it */
	double input_tokens;
	uint64_t usable; /* bit i: some server can run version i */
	uint64_t
		held_back; /* bit i: candidate i has too many unrated answers */
};

enum choose_reason {
	CHOOSE_CHEAPEST, /* lowest expected cost among those that meet the target */
	CHOOSE_CASCADE, /* the same, as a cascade */
	CHOOSE_BEST_KNOWN, /* none is known to meet the target */
	CHOOSE_PINNED,
	CHOOSE_REPINNED, /* the session's version was withdrawn */
	CHOOSE_ROLLOUT, /* drawn for a roll-out's new version */
	CHOOSE_EXPLORE, /* rated before delivery, to learn */
	CHOOSE_NONE_ALLOWED, /* the organisation may use no such version */
	CHOOSE_NONE_AVAILABLE, /* none of the allowed has a server now */
};

struct choose_result {
	enum choose_reason reason;
	cfg_handle first; /* CFG_NONE: refused */
	cfg_handle second; /* escalation of a cascade, or CFG_NONE */
	cfg_handle rollout; /* roll-out that this answer is evidence for */
	double expected_cost; /* micro-units */
	uint64_t considered; /* bit i: version i was a candidate */
	uint64_t meets_target; /* bit i: known to meet the target */
};

struct choose_result choose_for_request(const struct cfg *cfg,
					const struct quality_table *q,
					const struct choose_request *req,
					struct rng *rng);
const char *choose_reason_name(enum choose_reason reason);
double choose_expected_cost(const struct cfg *cfg, cfg_handle version,
			    double input_tokens, double output_tokens);

#endif
