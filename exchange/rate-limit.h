#ifndef EXCHANGE_RATE_LIMIT_H
#define EXCHANGE_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The rate that a server names in its answers for as long as it needs it: the
 * requests a second that it takes from all nodes together. Times are
 * milliseconds of the node's own clock.
 */
struct rate_limit {
	double per_s; /* 0: none */
	uint64_t heard_at; /* of the answer that said so; 0: none ever did */
};

double rate_limit_parse(const char *text);
bool rate_limit_hear(struct rate_limit *l, uint64_t answered_at, double per_s);

#endif
