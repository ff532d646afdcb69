#ifndef EXCHANGE_LOAD_LIMIT_H
#define EXCHANGE_LOAD_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Learns at how many requests at a time the servers of a version begin to fail,
 * from answers at all of them. Pure; times in ms.
 */
#define LOAD_LIMIT_BINS 40
#define LOAD_LIMIT_BIN_REQUESTS 2 /* width of a bin */

struct load_limit {
	/* Answers by the load at which they were sent; the last bin is open. */
	struct load_limit_bin {
		double n;
		double failed;
	} bin[LOAD_LIMIT_BINS];
	uint64_t decayed_at;
	uint32_t limit; /* requests at a server that it bears; 0: not known */
	uint64_t failed_at; /* last failure beyond the limit */
	uint32_t sends_left; /* to other nodes: datagrams may be lost */
};

bool load_limit_on_answer(struct load_limit *l, uint64_t now, double load,
			  bool failed);
void load_limit_on_peer_limit(struct load_limit *l, uint64_t failed_at,
			      uint32_t limit);
bool load_limit_take_news(struct load_limit *l);
bool load_limit_allows(const struct load_limit *l, uint64_t now, double load);

#endif
