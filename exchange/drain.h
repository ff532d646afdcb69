#ifndef EXCHANGE_DRAIN_H
#define EXCHANGE_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

/*
 * What a node that stops may still begin. Its grace period is the time from the
 * signal to stop until it would be killed; it exits by itself shortly before.
 * Times are milliseconds.
 */
struct drain {
	uint64_t elapsed_ms; /* since the signal */
	uint64_t grace_ms;
};

uint64_t drain_exit_ms(uint64_t grace_ms);
bool drain_may_start(const struct drain *d, uint64_t takes_ms);

#endif
