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
	bool probing; /* a connection attempt is in progress */
};

/* An unreachable server is probed so often. */
#define REACH_PROBE_INTERVAL_MS 200

void reach_on_contact(struct reach *r, uint64_t now);
void reach_on_failure(struct reach *r, uint64_t now);
void reach_on_doubt(struct reach *r, uint64_t now);
bool reach_is_lost(const struct reach *r);
bool reach_is_known(const struct reach *r, uint64_t now);
bool reach_needs_probe(const struct reach *r, uint64_t now);

#endif
