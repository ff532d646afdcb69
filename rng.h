#ifndef RNG_H
#define RNG_H

#include <stdint.h>

/*
 * Seeded pseudo-random numbers. Each owner keeps its own state, so that its
 * decisions can be repeated from the seed.
 */
struct rng {
	uint64_t state;
};

void rng_seed(struct rng *r, uint64_t seed);
uint64_t rng_next(struct rng *r);
uint32_t rng_below(struct rng *r, uint32_t bound);
double rng_unit(struct rng *r);
double rng_normal(struct rng *r);

#endif
