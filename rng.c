#include "rng.h"

#include <math.h>

#define TWO_POW_53 9007199254740992.0

/* Initialises the generator; equal seeds give equal sequences. */
void rng_seed(struct rng *r, uint64_t seed)
{
	r->state = seed;
}

/* Returns the next 64 random bits (one step of splitmix64). */
uint64_t rng_next(struct rng *r)
{
	uint64_t z = (r->state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

/* Returns a number in [0, bound); 0 if bound is 0. */
uint32_t rng_below(struct rng *r, uint32_t bound)
{
	return (uint32_t)(((rng_next(r) >> 32) * bound) >> 32);
}

/* Returns a number in [0, 1). */
double rng_unit(struct rng *r)
{
	return (double)(rng_next(r) >> 11) / TWO_POW_53;
}

/* Returns a standard normal deviate (Box-Muller transform). */
double rng_normal(struct rng *r)
{
	double u = 1.0 - rng_unit(r);
	double v = rng_unit(r);

	return sqrt(-2.0 * log(u)) * cos(2.0 * M_PI * v);
}
