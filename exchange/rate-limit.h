#ifndef EXCHANGE_RATE_LIMIT_H
#define EXCHANGE_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The rate that a server names in its answers for as long as it needs it: the
 * requests a second that it takes from all nodes together. A few nodes, chosen
 * by rank, divide it between them; the others send nothing there. Nodes tell
 * each other what they heard. If nobody has heard it for long, each node tries the
 * server in turn: the end may have been told while it was cut off. Times are
 * milliseconds of the node's own clock.
 */
struct rate_limit {
	double per_s; /* 0: none */
	uint64_t heard_at; /* of the answer that said so; 0: none ever did */
	bool heard_here; /* the answer was this node's own */
	double share_per_s; /* this node's part; 0: it must not send */
	uint64_t next_at; /* when the next request is due at this rate */
	uint32_t rank; /* of this node among `nodes` */
	uint32_t nodes;
	uint64_t tried_at; /* without a part; see above */
};

double rate_limit_parse(const char *text);
bool rate_limit_hear(struct rate_limit *l, uint64_t answered_at, double per_s,
		     bool heard_here);
void rate_limit_set_rank(struct rate_limit *l, uint32_t rank, uint32_t nodes);
uint64_t rate_limit_allowed_at(const struct rate_limit *l);
bool rate_limit_allows(const struct rate_limit *l, uint64_t now);
void rate_limit_count(struct rate_limit *l, uint64_t now);

#endif
