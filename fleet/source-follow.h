#ifndef FLEET_SOURCE_FOLLOW_H
#define FLEET_SOURCE_FOLLOW_H

#include <stdbool.h>
#include <stdint.h>

#include "exchange/feed.h"
#include "fleet/peer-news.h"

/*
 * Whether a node may leave watching the source to others that send what their
 * watches reported. Pure; times in ms.
 */
struct source_follow {
	uint64_t status_at; /* last status received; 0: none */
	uint64_t differs_since; /* the servers do; 0: the last ones agreed */
	struct peer_news news[FEED_TOPIC_COUNT]; /* by statuses */
};

/* What a status says, beside what this node knows. */
struct source_comparison {
	uint64_t reported[FEED_TOPIC_COUNT]; /* latest change */
	uint64_t known[FEED_TOPIC_COUNT];
	bool same_servers;
};

bool source_follow_on_status(struct source_follow *f, uint64_t now,
			     const struct source_comparison *c);
bool source_follow_is_caught_up(const struct source_follow *f, uint64_t now,
				const uint64_t *known);
bool source_follow_hears_status(const struct source_follow *f, uint64_t now);
bool source_follow_is_safe(const struct source_follow *f, uint64_t now,
			   const uint64_t *known);

#endif
