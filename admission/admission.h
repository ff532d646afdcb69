#ifndef ADMISSION_ADMISSION_H
#define ADMISSION_ADMISSION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "exchange/pick.h"
#include "rng.h"

/*
 * Decides which requests for a service are sent while its servers cannot run all:
 * by priority, then by fair shares of the organisations. The others wait in a
 * bounded queue while they can still be served in time. Times are milliseconds of
 * the node's own clock. See docs/design/0023-admission.md.
 */
#define ADMISSION_PRIORITIES 10
#define ADMISSION_SIZES 4
#define ADMISSION_MIN_QUEUE 16 /* requests that may wait in any case */
#define ADMISSION_MAX_QUEUE 512

enum admission_verdict {
	ADMISSION_SEND,
	ADMISSION_WAIT,
	ADMISSION_REFUSE,
};

/* A request. The caller keeps it while it waits. */
struct admission_request {
	/* Set by the caller. */
	uint32_t priority; /* 0 is the most urgent */
	uint64_t org; /* hash of its organisation; 0: none */
	uint64_t route; /* hash of its route */
	uint32_t size; /* by admission_size() */
	uint32_t objective_ms; /* from started_at to the first event; 0: none */
	uint64_t started_at;
	uint64_t deadline;
	/* Set by admission_offer(). */
	bool waiting;
	double first_ms; /* expected from the send to the first event */
	double work_ms; /* expected from the send to the end */
	uint64_t offered_at;
	uint64_t latest; /* may start until then */
	struct admission_org *account;
};

/* Why a request is refused, and when its client should ask again. */
struct admission_refusal {
	const char *reason;
	uint32_t retry_after_ms;
};

/* The queue of one service at this node. */
struct admission {
	GPtrArray *waiting; /* struct admission_request, by arrival */
	GHashTable *orgs; /* hash -> struct admission_org */
	GHashTable *times; /* route and size -> struct admission_times */
	double virtual_ms[ADMISSION_PRIORITIES]; /* of the latest start */
	double offered; /* recent requests, all organisations */
	double served[ADMISSION_PRIORITIES]; /* of these, sent */
	uint64_t decayed_at;
	struct pick_service_room room; /* as last told */
	uint32_t in_flight; /* attempts of this node */
	double allowance; /* starts left until the next refresh */
	double caution; /* 0 to 1: factor on this node's part, by refusals */
	double mean_ms; /* of an attempt; 0: unknown */
	double sent; /* recent, to measure their rate */
	double demand; /* recent offers */
	uint64_t rated_at; /* of these two */
	uint64_t short_since; /* 0: no shortage */
	uint64_t short_until; /* last seen */
	uint64_t refused; /* since the shortage began */
	uint64_t waited; /* since the shortage began */
};

void admission_init(struct admission *a);
void admission_clear(struct admission *a);
uint32_t admission_size(uint32_t tokens, size_t body_bytes);
void admission_set_room(struct admission *a, struct pick_service_room room);
void admission_refresh(struct admission *a, uint64_t now);
enum admission_verdict admission_offer(struct admission *a, uint64_t now,
				       struct admission_request *r,
				       struct rng *rng,
				       struct admission_refusal *refusal,
				       struct admission_request **evicted);
struct admission_request *admission_on_room(struct admission *a, uint64_t now);
struct admission_request *admission_take_expired(struct admission *a,
						 uint64_t now);
void admission_remove(struct admission *a, struct admission_request *r);
uint32_t admission_retry_after(const struct admission *a, uint64_t now,
			       const struct admission_request *r,
			       struct rng *rng);
void admission_on_start(struct admission *a);
void admission_on_end(struct admission *a, bool refused);
void admission_on_answer(struct admission *a, const struct admission_request *r,
			 double first_ms, double total_ms);
double admission_part(const struct admission *a);
bool admission_is_over(struct admission *a, uint64_t now);

#endif
