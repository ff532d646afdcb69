#ifndef EXCHANGE_CASCADE_H
#define EXCHANGE_CASCADE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "exchange/routes.h"

/*
 * Model cascade: the smallest model of a route answers first. If the model
 * itself rates its answer below the quality target, the request is escalated to
 * the route's largest model, provided that one is likely to answer in time.
 */
#define CASCADE_MAX_TARGETS 16

struct cascade_targets {
	double target[CASCADE_MAX_TARGETS]; /* quality, 0 to 1, by priority */
	size_t n; /* at least 1 */
};

/* What happens to an answer of which the client has received nothing yet. */
enum cascade_choice {
	CASCADE_KEEP_GOOD,
	CASCADE_ESCALATE, /* drop it and ask the largest model */
	CASCADE_KEEP_TOO_LATE, /* a larger model is unlikely to be in time */
	CASCADE_KEEP_NO_ATTEMPT, /* the request has no attempt left */
	CASCADE_KEEP_NO_BUDGET, /* the retry budget is used up */
};

bool cascade_parse(struct cascade_targets *c, const char *text);
double cascade_target(const struct cascade_targets *c, uint32_t priority);
size_t cascade_first_model(const struct cascade_targets *c,
			   const struct route_entry *route);
double cascade_chance_in_time(double left_ms, double expected_ms);
bool cascade_is_good_enough(const struct cascade_targets *c,
			    const struct route_entry *route, size_t model,
			    const char *confidence);
enum cascade_choice cascade_decide(const struct cascade_targets *c,
				   const struct route_entry *route,
				   size_t model, const char *confidence,
				   double chance);
const char *cascade_choice_name(enum cascade_choice choice);

#endif
