#ifndef RELAY_REACH_H
#define RELAY_REACH_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Whether this node reaches a server, by its latest contact: an answer or a
 * connection, or the failure to connect. Says nothing of whether the server works.
 * Pure; times in ms.
 */
struct reach {
	uint64_t contacted_at; /* 0: never */
	uint64_t failed_at; /* 0: never */
	uint64_t next_probe_at;
	uint32_t failures; /* in a row */
	bool probing; /* a connection attempt is in progress */
};

/*
 * An unreachable server is probed after this time, which doubles with each second
 * failure up to the longest.
 */
#define REACH_PROBE_INTERVAL_MS 200
#define REACH_PROBE_MAX_INTERVAL_MS 800

/* Of the servers of which nothing is known, those doubted with one that is lost. */
#define REACH_UNKNOWN_DOUBTS 4
/* All servers that are in use are doubted at most this often. */
#define REACH_DOUBT_ALL_INTERVAL_MS 500

/* Which servers to doubt when one is lost. Initialise with zeroes. */
struct reach_doubts {
	uint64_t next_all_at;
};

/* What a loss puts in doubt. */
struct reach_doubt {
	bool known; /* the servers that are known to be reached */
	uint32_t unknown; /* so many of the others */
};

void reach_on_contact(struct reach *r, uint64_t now);
void reach_on_failure(struct reach *r, uint64_t now);
void reach_on_doubt(struct reach *r, uint64_t now);
bool reach_is_lost(const struct reach *r);
bool reach_has_contact(const struct reach *r, uint64_t now);
bool reach_is_known(const struct reach *r, uint64_t now);
struct reach_doubt reach_doubts_on_failure(struct reach_doubts *d, uint64_t now,
					   bool was_lost);
bool reach_needs_probe(const struct reach *r, uint64_t now);

#endif
