#ifndef DAEMON_PAUSE_H
#define DAEMON_PAUSE_H

#include <stdint.h>

/*
 * Detects that the process did not run for a while, because it was stopped or
 * its machine was suspended. Pure; times in ms of a clock that counts
 * suspension.
 */
struct pause_watch {
	uint64_t seen_at; /* the process ran; 0: not yet */
};

uint64_t pause_watch_check(struct pause_watch *p, uint64_t now);

#endif
