#ifndef ROLLOUT_SHIFT_H
#define ROLLOUT_SHIFT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "rollout/rollout.h"

/*
 * Moves a service's traffic from its old servers to those of a new version,
 * within the time that the order gives. Every node counts; one judges by the
 * counts of all and tells the others the share of the new version. Times are
 * milliseconds of the node's own clock.
 */
#define SHIFT_NAME_MAX 128
#define SHIFT_MAX_ROUTES 12
#define SHIFT_COUNTS_PER_CELL 8
#define SHIFT_FULL_SHARE 65536
#define SHIFT_REPORT_INTERVAL_MS 200
#define SHIFT_TRIAL_ROTATION_MS 2500
#define SHIFT_FILL_SLOT_SHARE 0.75 /* of a server's slots */

enum shift_version {
	SHIFT_OLD,
	SHIFT_NEW,
};

/* What is told of an answer. */
enum shift_metric {
	SHIFT_ERROR,
	SHIFT_LATENCY,
};

/* Counts of one route: version, respect, and all or bad. */
struct shift_cell {
	uint64_t route;
	uint32_t count[SHIFT_COUNTS_PER_CELL];
};

struct shift_evidence {
	uint32_t requests; /* for the service since the order */
	uint32_t sent_new;
	uint32_t old_in_flight;
	uint32_t n_cells;
	struct shift_cell cells[SHIFT_MAX_ROUTES];
};

struct shift_report {
	char node[SHIFT_NAME_MAX];
	uint64_t boot;
	uint32_t age_ms; /* since the order */
	struct shift_evidence evidence;
};

enum shift_state {
	SHIFT_IN_PROGRESS,
	SHIFT_REVERTED,
	SHIFT_COMPLETED,
};

struct shift_plan {
	uint32_t age_ms;
	uint32_t share; /* of SHIFT_FULL_SHARE */
	enum shift_state state;
	bool fills; /* the trial fills new servers one by one */
};

struct shift_params {
	double expose_share;
	double expose_slack;
};

/* Where a session's last request ran, as far as this node knows. */
enum shift_last_version {
	SHIFT_LAST_UNKNOWN,
	SHIFT_LAST_OLD,
	SHIFT_LAST_NEW,
};

/* How an attempt at a server went. */
struct shift_attempt {
	uint64_t route;
	bool failed;
	double first_ms;
	double event_ms; /* mean time between its events, 0: it had none */
	double load; /* requests at the server meanwhile */
	bool fills; /* the server is being filled: judged by errors only */
};

/* Usual times of the old version on one route; means weigh late ones more. */
struct shift_baseline {
	uint64_t route;
	double first_ms;
	double event_ms;
	double load;
	double load_spread; /* variance of the load */
	double load_event_ms; /* covariance of load and event_ms */
	uint32_t n;
	uint32_t n_events;
};

struct shift_route_test {
	uint64_t route;
	struct rollout_test test;
	struct rollout_counts
		taken; /* of the new version, already in the test */
};

struct traffic_shift {
	char *service;
	char *target;
	uint32_t over_ms;
	uint32_t session_ms; /* requests within it belong to one session */
	uint64_t began_at;
	struct shift_evidence own;
	struct shift_baseline pace[SHIFT_MAX_ROUTES];
	uint32_t n_pace;
	GArray *reports; /* struct shift_report, the last of each node's run */
	struct shift_route_test tests[SHIFT_MAX_ROUTES];
	uint32_t n_tests;
	struct shift_plan plan; /* in force */
	uint64_t whole_since; /* when the share became whole; 0: not yet */
	const char *why; /* respect in which it failed, or NULL */
};

struct traffic_shift *shift_new(const char *service, const char *target,
				uint32_t over_ms, uint32_t session_ms,
				uint64_t now);
void shift_free(struct traffic_shift *s);
void shift_on_request(struct traffic_shift *s);
void shift_on_sent(struct traffic_shift *s, enum shift_version version);
bool shift_on_attempt(struct traffic_shift *s, enum shift_version version,
		      const struct shift_attempt *a);
bool shift_in_trial(const struct traffic_shift *s);
bool shift_fills_servers(const struct traffic_shift *s);
void shift_on_report(struct traffic_shift *s, uint64_t now,
		     const struct shift_report *r);
void shift_on_plan(struct traffic_shift *s, uint64_t now,
		   const struct shift_plan *plan);
void shift_set_state(struct traffic_shift *s, enum shift_state state);
bool shift_detect_regression(struct traffic_shift *s, uint64_t now);
struct shift_plan shift_update_plan(struct traffic_shift *s, uint64_t now,
				    const struct shift_params *p,
				    uint32_t ready_new);
enum shift_version shift_choose_version(const struct traffic_shift *s,
					uint64_t now, uint64_t hash,
					enum shift_last_version seen);
bool shift_announces_session(const struct traffic_shift *s, uint64_t now,
			     uint64_t session);
uint32_t shift_age_ms(const struct traffic_shift *s, uint64_t now);
struct shift_evidence shift_total_evidence(const struct traffic_shift *s);
const char *shift_state_name(enum shift_state state);

#endif
