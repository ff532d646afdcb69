#ifndef ROLLOUT_SHIFT_H
#define ROLLOUT_SHIFT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "rollout/rollout.h"

/*
 * Shifts a service's traffic from the servers of its old version to those of a
 * new one, within the time set by a roll-out order. Every node counts requests
 * and answers and reports its counts. The coordinator, the first node by rank
 * for the service that does not leave, evaluates the counts of all nodes and
 * sends them the plan: the share of sessions that use the new version. Times are
 * milliseconds of the node's own clock.
 *
 * During the trial a small share of new sessions uses the new version. Later
 * all sessions move to it at once, as soon as that keeps within the limit of
 * struct shift_params. A node that detects that the new version is worse than
 * the old one reverts the shift and sends that to the coordinator.
 */
#define SHIFT_NAME_MAX 128 /* bytes, with the final NUL */
#define SHIFT_MAX_ROUTES 12
#define SHIFT_COUNTS_PER_ROUTE 8 /* 2 versions, 2 metrics, all and bad */
#define SHIFT_FULL_SHARE 65536 /* a share of 1 in struct shift_plan */
#define SHIFT_REPORT_INTERVAL_MS 200
#define SHIFT_REPORT_MAX_AGE_MS 1000 /* then a node counts as silent */
#define SHIFT_TRIAL_ROTATION_MS 2500 /* until the trial uses other servers */
#define SHIFT_FILL_SLOT_SHARE 0.75 /* of a server's slots, when filled */

enum shift_version {
	SHIFT_OLD,
	SHIFT_NEW,
};

enum shift_metric {
	SHIFT_ERROR, /* bad: the attempt failed */
	SHIFT_LATENCY, /* bad: much slower than the old version at that load */
};

/*
 * Answer counts of one route. The index of a count is
 * 4 * version + 2 * metric + (1 for bad answers, 0 for all).
 */
struct shift_route_counts {
	uint64_t route; /* hash of its name */
	uint32_t count[SHIFT_COUNTS_PER_ROUTE];
};

/* What a node has counted for one service since the order arrived. */
struct shift_evidence {
	uint32_t requests; /* received for the service */
	uint32_t sent_new; /* attempts at servers of the new version */
	uint32_t old_in_flight; /* requests now at servers of the old one */
	uint32_t n_routes;
	struct shift_route_counts routes[SHIFT_MAX_ROUTES];
};

/* A node's evidence, as sent to the coordinator. */
struct shift_report {
	char node[SHIFT_NAME_MAX];
	uint64_t boot; /* differs between runs of the node */
	uint32_t age_ms; /* since the order */
	struct shift_evidence evidence;
	uint64_t received_at; /* ms; not sent */
};

enum shift_state {
	SHIFT_IN_PROGRESS, /* "trial" in logs, also after the trial */
	SHIFT_REVERTED, /* final: all traffic uses the old version */
	SHIFT_COMPLETED, /* final: all traffic uses the new version */
};

/* What the coordinator has decided. */
struct shift_plan {
	uint32_t age_ms; /* since the order */
	uint32_t share; /* of sessions, in units of 1 / SHIFT_FULL_SHARE */
	enum shift_state state;
	bool fills; /* the trial fills new servers one after another */
};

/* Limit of the requests that a bad new version may get. */
struct shift_params {
	double expose_share; /* of the requests for the service */
	double expose_slack; /* requests allowed beyond that share */
	bool partial_counts; /* requests may be in no report */
};

/* Version used by a session's last request, as far as this node knows. */
enum shift_last_version {
	SHIFT_LAST_UNKNOWN,
	SHIFT_LAST_OLD,
	SHIFT_LAST_NEW,
};

/* Events of an answer after which its latency is compared. */
#define SHIFT_LATENCY_EVENTS 8

/*
 * Latency of an attempt at a server, by its first SHIFT_LATENCY_EVENTS events,
 * or all if the answer has fewer.
 */
struct shift_latency {
	uint64_t route;
	double first_ms; /* to the first event, or to the head if it has none */
	double event_ms; /* mean time between events; 0: too few */
	double load; /* mean number of requests at the server meanwhile */
	bool fills; /* the trial was filling the server: it is not compared */
};

/*
 * Latency of the old version on one route, as exponentially weighted averages.
 * The covariance with the load predicts the latency at other loads.
 */
struct shift_baseline {
	uint64_t route;
	double first_ms;
	double event_ms;
	double load;
	double load_variance;
	double load_event_covariance; /* of load and event_ms */
	uint32_t n; /* answers */
	uint32_t n_events; /* answers with event_ms */
};

/* Sequential test of the new version on one route. */
struct shift_route_test {
	uint64_t route;
	struct rollout_test test;
	/* counts of the new version that `test` includes */
	struct rollout_counts included;
};

/* A shift in progress or completed, at this node. */
struct traffic_shift {
	char *service;
	char *target; /* the new version */
	uint32_t time_limit_ms; /* time allowed from the order to completion */
	uint32_t session_ms; /* longest pause between requests of a session */
	uint64_t began_at; /* when the order was given */
	struct shift_evidence own_evidence;
	struct shift_baseline baselines[SHIFT_MAX_ROUTES];
	uint32_t n_baselines;
	GArray *reports; /* struct shift_report, the last of each node's run */
	struct shift_route_test tests[SHIFT_MAX_ROUTES];
	uint32_t n_tests;
	struct shift_plan plan; /* in force */
	uint32_t heard_share; /* of the latest plan received */
	uint64_t full_since; /* when the share became full; 0: not yet */
	const char *failed_metric; /* name, if that reverted it; else NULL */
};

struct traffic_shift *shift_new(const char *service, const char *target,
				uint32_t time_limit_ms, uint32_t session_ms,
				uint64_t now);
void shift_free(struct traffic_shift *s);
void shift_on_request(struct traffic_shift *s);
void shift_on_sent(struct traffic_shift *s, enum shift_version version);
void shift_on_answer(struct traffic_shift *s, enum shift_version version,
		     uint64_t route, bool failed);
bool shift_on_latency(struct traffic_shift *s, enum shift_version version,
		      const struct shift_latency *l);
bool shift_is_overdue(const struct traffic_shift *s, uint64_t route,
		      double load, double elapsed_ms);
void shift_on_overdue(struct traffic_shift *s, enum shift_version version,
		      uint64_t route);
bool shift_is_ahead(const struct traffic_shift *s);
bool shift_in_trial(const struct traffic_shift *s);
bool shift_fills_servers(const struct traffic_shift *s);
void shift_on_report(struct traffic_shift *s, uint64_t now,
		     const struct shift_report *r);
void shift_on_plan(struct traffic_shift *s, uint64_t now,
		   const struct shift_plan *plan);
void shift_set_stored_end(struct traffic_shift *s, enum shift_state end);
void shift_set_state(struct traffic_shift *s, enum shift_state state);
bool shift_detect_regression(struct traffic_shift *s, uint64_t now);
struct shift_plan shift_update_plan(struct traffic_shift *s, uint64_t now,
				    const struct shift_params *p,
				    uint32_t ready_new);
enum shift_version shift_choose_version(const struct traffic_shift *s,
					uint64_t now, uint64_t hash,
					enum shift_last_version last);
bool shift_announces_session(const struct traffic_shift *s, uint64_t now,
			     uint64_t session);
uint32_t shift_age_ms(const struct traffic_shift *s, uint64_t now);
struct shift_evidence shift_total_evidence(const struct traffic_shift *s);
bool shift_report_is_new(const struct shift_report *r, uint64_t now);
uint32_t shift_count_new_reports(const struct traffic_shift *s, uint64_t now);
const char *shift_state_name(enum shift_state state);

#endif
