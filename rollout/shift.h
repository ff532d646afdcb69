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
#define SFT_NAME_MAX 128
#define SFT_MAX_ROUTES 12
#define SFT_CELL_COUNTS 8
#define SFT_WHOLE 65536
#define SFT_REPORT_MS 200
#define SFT_TURN_MS 2500
#define SFT_FILL 0.75 /* of a server's slots */

enum sft_version {
	SFT_OLD,
	SFT_NEW,
};

/* What is told of an answer. */
enum sft_respect {
	SFT_ERROR,
	SFT_SLOW,
};

/* Counts of one route: version, respect, and all or bad. */
struct sft_cell {
	uint64_t route;
	uint32_t count[SFT_CELL_COUNTS];
};

struct sft_evidence {
	uint32_t requests; /* for the service since the order */
	uint32_t sent_new;
	uint32_t old_in_flight;
	uint32_t n_cells;
	struct sft_cell cells[SFT_MAX_ROUTES];
};

struct sft_report {
	char node[SFT_NAME_MAX];
	uint64_t boot;
	uint32_t age_ms; /* since the order */
	struct sft_evidence evidence;
};

enum sft_state {
	SFT_TRIAL,
	SFT_REVERTED,
	SFT_COMPLETED,
};

struct sft_plan {
	uint32_t age_ms;
	uint32_t share; /* of SFT_WHOLE */
	enum sft_state state;
	bool fills; /* the trial fills new servers one by one */
};

struct sft_params {
	double expose_share;
	double expose_slack;
};

/* Where a session's last request ran, as far as this node knows. */
enum sft_seen {
	SFT_UNSEEN,
	SFT_SEEN_OLD,
	SFT_SEEN_NEW,
};

/* How an attempt at a server went. */
struct sft_answer {
	uint64_t route;
	bool failed;
	double first_ms;
	double event_ms; /* mean time between its events, 0: it had none */
	double load; /* requests at the server meanwhile */
	bool fills; /* the server is being filled: judged by errors only */
};

/* Usual times of the old version on one route; means weigh late ones more. */
struct sft_pace {
	uint64_t route;
	double first_ms;
	double event_ms;
	double load;
	double load_spread; /* variance of the load */
	double load_event_ms; /* covariance of load and event_ms */
	uint32_t n;
	uint32_t n_events;
};

struct sft_test {
	uint64_t route;
	struct ro_test test;
	struct ro_counts taken; /* of the new version, already in the test */
};

struct sft {
	char *service;
	char *target;
	uint32_t over_ms;
	uint32_t session_ms; /* requests within it belong to one session */
	uint64_t began_at;
	struct sft_evidence own;
	struct sft_pace pace[SFT_MAX_ROUTES];
	uint32_t n_pace;
	GArray *reports; /* struct sft_report, the last of each node's run */
	struct sft_test tests[SFT_MAX_ROUTES];
	uint32_t n_tests;
	struct sft_plan plan; /* in force */
	uint64_t whole_since; /* when the share became whole; 0: not yet */
	const char *why; /* respect in which it failed, or NULL */
};

struct sft *sft_new(const char *service, const char *target, uint32_t over_ms,
		    uint32_t session_ms, uint64_t now);
void sft_free(struct sft *s);
void sft_on_request(struct sft *s);
void sft_on_sent(struct sft *s, enum sft_version version);
bool sft_on_answer(struct sft *s, enum sft_version version,
		   const struct sft_answer *a);
bool sft_is_trial(const struct sft *s);
bool sft_fills(const struct sft *s);
void sft_on_report(struct sft *s, uint64_t now, const struct sft_report *r);
void sft_on_plan(struct sft *s, uint64_t now, const struct sft_plan *plan);
void sft_settle(struct sft *s, enum sft_state state);
bool sft_check(struct sft *s, uint64_t now);
struct sft_plan sft_judge(struct sft *s, uint64_t now,
			  const struct sft_params *p, uint32_t ready_new);
enum sft_version sft_choose(const struct sft *s, uint64_t now, uint64_t hash,
			    enum sft_seen seen);
bool sft_tells_session(const struct sft *s, uint64_t now, uint64_t session);
uint32_t sft_age(const struct sft *s, uint64_t now);
struct sft_evidence sft_total(const struct sft *s);
const char *sft_state_name(enum sft_state state);

#endif
