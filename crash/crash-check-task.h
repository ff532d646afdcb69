#ifndef CRASH_CRASH_CHECK_TASK_H
#define CRASH_CRASH_CHECK_TASK_H

#include <stdint.h>
#include <uv.h>

#include "crash/crash-keys.h"
#include "exchange/servers.h"

/* Finds out whether servers that broke off answers have crashed. */
struct crash_checks;

/* An attempt that its server broke off early. */
struct crash_suspicion {
	const char *address; /* of the server, "ip:port" */
	uint64_t server; /* hash of its id */
	uint64_t request; /* hash of its id */
	const uint64_t *keys; /* parts of the prompt, then the fingerprint */
	uint32_t n_keys;
};

struct crash_checks *crash_checks_new(uv_loop_t *loop, struct crash_keys *keys,
				      const struct server_table *servers);
void crash_checks_start(struct crash_checks *t, uint64_t now,
			const struct crash_suspicion *s);

#endif
