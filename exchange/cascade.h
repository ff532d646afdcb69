#ifndef EXCHANGE_CASCADE_H
#define EXCHANGE_CASCADE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "exchange/routes.h"

/*
 * Chooses among a route's models: the smallest one answers first, and an
 * answer that its model holds for poor is dropped for one of the largest, as
 * far as that one is likely to answer on time.
 */
#define CASCADE_MAX_TARGETS 16

struct cascade_targets {
	double target[CASCADE_MAX_TARGETS]; /* quality wanted, by priority */
	size_t n;
};

/* What becomes of an answer that has not been passed on. */
enum cascade_choice {
	CASCADE_KEEP_GOOD,
	CASCADE_ESCALATE, /* for one of the largest model */
	CASCADE_KEEP_TOO_LATE, /* the other one would hardly be on time */
	CASCADE_KEEP_NO_ATTEMPT, /* no further attempt is allowed */
	CASCADE_KEEP_NO_BUDGET, /* the fleet's retries are at their bound */
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
