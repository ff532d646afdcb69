#ifndef LEASE_LEASE_H
#define LEASE_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Elects a node by a lease, so that nodes don't do the same work at the same
 * time. The lease is a stored object with a holder and a fencing number. The
 * holder renews it by conditional update; another node takes it over once it
 * has not changed for LEASE_DURATION_MS of that node's own clock. Correctness
 * must not depend on the lease alone, since a holder may pause and continue
 * after it was replaced: each durable step is a conditional update too. Times
 * are milliseconds of the caller's clock.
 */
#define LEASE_NAME_MAX 64 /* bytes, with the final NUL */
#define LEASE_RENEW_INTERVAL_MS 3000 /* also between reads by other nodes */
#define LEASE_DURATION_MS 10000

/* Contents of the lease object. */
struct lease_record {
	char holder[LEASE_NAME_MAX];
	uint64_t fence; /* incremented when a node acquires the lease */
	uint64_t renewal; /* incremented at each write */
};

enum lease_action_kind {
	LEASE_NO_ACTION,
	LEASE_READ,
	LEASE_CREATE,
	LEASE_REPLACE,
};

/* What the caller must do next. */
struct lease_action {
	enum lease_action_kind kind;
	uint64_t etag; /* that the object must have, with LEASE_REPLACE */
	struct lease_record record; /* to be written */
};

enum lease_result_kind {
	LEASE_FOUND,
	LEASE_ABSENT, /* the object does not exist */
	LEASE_WRITTEN,
	LEASE_CONFLICT, /* the condition of the write did not hold */
	LEASE_FAILED, /* not sent, or outcome unknown */
};

/* Outcome of an action. */
struct lease_result {
	enum lease_result_kind kind;
	uint64_t etag; /* of the object, with LEASE_FOUND and LEASE_WRITTEN */
	struct lease_record record; /* with LEASE_FOUND */
};

/* One node's view of the lease. */
struct lease_state {
	char self[LEASE_NAME_MAX];
	struct lease_record record; /* as last read or written */
	uint64_t etag; /* of that record */
	uint64_t record_since; /* when it was first read or written; 0: never */
	uint64_t write_started_at; /* start of the write under way */
	uint64_t renewed_at; /* start of the last successful write */
	uint64_t next_action_at; /* no action before */
	bool action_pending; /* an action is under way */
	bool absent; /* the last read found no object */
	bool held; /* this node is the holder, by the last result */
};

void lease_init(struct lease_state *l, const char *self);
struct lease_action lease_tick(struct lease_state *l, uint64_t now);
void lease_on_result(struct lease_state *l, uint64_t now,
		     const struct lease_result *result);
bool lease_is_held(const struct lease_state *l, uint64_t now);
uint64_t lease_fence(const struct lease_state *l);

#endif
