#ifndef EXCHANGE_FEED_REVISION_H
#define EXCHANGE_FEED_REVISION_H

#include <stdint.h>

/*
 * A source that is restored from an older copy loses changes and gives out
 * their revisions again. It counts these losses as its era. The revisions that
 * the handlers get are made of both, era first, so that they only grow and can
 * be compared between nodes; in logs, 2000000000032 is revision 32 of era 2.
 */
#define FEED_ERA_UNIT 1000000000000ULL /* revisions in an era */

/* Returns the revision made of an era and the source's own revision in it. */
static inline uint64_t feed_revision(uint64_t era, uint64_t source_revision)
{
	return era * FEED_ERA_UNIT + source_revision;
}

/* Returns the era of a feed_revision(). */
static inline uint64_t feed_revision_era(uint64_t revision)
{
	return revision / FEED_ERA_UNIT;
}

/* Returns the source's own revision of a feed_revision(). */
static inline uint64_t feed_revision_in_era(uint64_t revision)
{
	return revision % FEED_ERA_UNIT;
}

#endif
