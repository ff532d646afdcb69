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
#define CSC_MAX_TARGETS 16

struct csc {
	double target[CSC_MAX_TARGETS]; /* quality wanted, by priority */
	size_t n;
};

/* What becomes of an answer that has not been passed on. */
enum csc_choice {
	CSC_GOOD,
	CSC_DROP, /* for one of the largest model */
	CSC_KEEP_LATE, /* the other one would hardly be on time */
	CSC_KEEP_LAST, /* no further attempt is allowed */
	CSC_KEEP_BUDGET, /* the fleet's retries are at their bound */
};

bool csc_parse(struct csc *c, const char *text);
double csc_target(const struct csc *c, uint32_t priority);
size_t csc_first(const struct csc *c, const struct rts_route *route);
double csc_chance(double left_ms, double expected_ms);
bool csc_is_enough(const struct csc *c, const struct rts_route *route,
		   size_t model, const char *confidence);
enum csc_choice csc_judge(const struct csc *c, const struct rts_route *route,
			  size_t model, const char *confidence, double chance);
const char *csc_choice_name(enum csc_choice choice);

#endif
