#ifndef LEASE_LEASE_H
#define LEASE_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Chooses which node tries first. A lease is an object with holder and fence;
 * it is renewed by conditional update, and taken over once it has not changed
 * for LEASE_DURATION_MS of the observer's own clock. Nothing is correct only
 * because of the lease: each durable step is a conditional update of its own.
 */
#define LEASE_NAME_MAX 64
#define LEASE_RENEW_INTERVAL_MS 3000
#define LEASE_DURATION_MS 10000

struct lease_record {
	char holder[LEASE_NAME_MAX];
	uint64_t fence; /* grows at each change of holder */
	uint64_t renewal; /* grows at each write */
};

enum lease_action_kind {
	LEASE_NO_ACTION,
	LEASE_READ,
	LEASE_CREATE,
	LEASE_REPLACE,
};

struct lease_action {
	enum lease_action_kind kind;
	uint64_t etag;
	struct lease_record record;
};

enum lease_result_kind {
	LEASE_FOUND,
	LEASE_ABSENT,
	LEASE_WRITTEN,
	LEASE_CONFLICT,
	LEASE_FAILED, /* no answer, or refused */
};

struct lease_result {
	enum lease_result_kind kind;
	uint64_t etag;
	struct lease_record record; /* with FOUND */
};

struct lease_state {
	char me[LEASE_NAME_MAX];
	struct lease_record seen;
	uint64_t etag;
	uint64_t changed_at; /* when `seen` was first seen; 0: never */
	uint64_t begun_at; /* when the write that is out was begun */
	uint64_t held_since; /* when the last write that took effect was */
	uint64_t next_at;
	bool waiting; /* an action is out */
	bool absent; /* the last read found no lease */
	bool held;
};

void lease_init(struct lease_state *l, const char *me);
struct lease_action lease_tick(struct lease_state *l, uint64_t now);
void lease_on_result(struct lease_state *l, uint64_t now,
		     const struct lease_result *event);
bool lease_is_held(const struct lease_state *l, uint64_t now);
uint64_t lease_fence(const struct lease_state *l);

#endif
