#include "fleet/source-follow.h"

#define STATUS_MAX_AGE_MS 700
#define MAX_MISSING_MS 1200 /* then a node that follows watches again */

/*
 * Handles the status of a node that watches. Returns whether this node should
 * ask it for its state, because it knows later changes or other servers.
 */
bool source_follow_on_status(struct source_follow *f, uint64_t now,
			     const struct source_comparison *c)
{
	bool knows_more = false, is_missing = false;

	f->status_at = now;
	for (int i = 0; i < FEED_TOPIC_COUNT; i++) {
		peer_news_on_report(&f->news[i], now, c->reported[i],
				    c->known[i]);
		knows_more |= c->reported[i] > c->known[i];
		is_missing |= peer_news_is_missing(&f->news[i], c->known[i]);
	}
	if (c->same_servers)
		f->differs_since = 0;
	else if (!f->differs_since)
		f->differs_since = now;
	/* Servers differ also because the other node lacks a change. */
	return knows_more || (!is_missing && !c->same_servers);
}

/*
 * Returns whether this node has got what the statuses said. `known` has the
 * latest change known here of each topic.
 */
bool source_follow_is_caught_up(const struct source_follow *f, uint64_t now,
				const uint64_t *known)
{
	for (int i = 0; i < FEED_TOPIC_COUNT; i++)
		if (peer_news_missing_ms(&f->news[i], now, known[i]) >
		    MAX_MISSING_MS)
			return false;
	return !f->differs_since || now - f->differs_since <= MAX_MISSING_MS;
}

/* Returns whether statuses arrive. */
bool source_follow_hears_status(const struct source_follow *f, uint64_t now)
{
	return f->status_at && now - f->status_at < STATUS_MAX_AGE_MS;
}

/* Returns whether statuses arrive and this node has got what they say. */
bool source_follow_is_safe(const struct source_follow *f, uint64_t now,
			   const uint64_t *known)
{
	return source_follow_hears_status(f, now) &&
	       source_follow_is_caught_up(f, now, known);
}
