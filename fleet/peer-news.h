#ifndef FLEET_PEER_NEWS_H
#define FLEET_PEER_NEWS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * What other nodes have reported of a topic's changes, and for how long this
 * node has lacked them. Pure.
 */
struct peer_news {
	uint64_t reported_revision; /* latest that any node has reported */
	uint64_t missing_revision; /* not known here; 0: all heard of is */
	uint64_t missing_since; /* ms */
};

void peer_news_on_report(struct peer_news *n, uint64_t now, uint64_t reported,
			 uint64_t known);
bool peer_news_is_missing(const struct peer_news *n, uint64_t known);
uint64_t peer_news_missing_ms(const struct peer_news *n, uint64_t now,
			      uint64_t known);

#endif
