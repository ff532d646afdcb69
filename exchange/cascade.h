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

bool csc_parse(struct csc *c, const char *text);
double csc_target(const struct csc *c, uint32_t priority);
size_t csc_first(const struct csc *c, const struct rts_route *route);
double csc_chance(double left_ms, double expected_ms);
bool csc_is_weak(const struct csc *c, const struct rts_route *route,
		 size_t model, const char *confidence, double chance);

#endif
