#ifndef ROUTE_SERVER_H
#define ROUTE_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "config/config.h"

/*
 * State that a node keeps of each backend server, and load balancing among
 * them. A table of states has one row for each server of the configuration,
 * indexed by handle. Times are milliseconds of the node's monotonic clock.
 */

/* Concurrency limit: requests that a node has in flight at one server. */
#define BACKEND_INITIAL_LIMIT 16.0
#define BACKEND_MIN_LIMIT 1.0
#define BACKEND_MAX_LIMIT 1024.0

/* Ejection time; doubles with further consecutive failures. */
#define BACKEND_FIRST_EJECTION_MS 500
#define BACKEND_MAX_EJECTION_MS 20000

/* Servers of each service that a node uses, if the service has as many. */
#define BACKEND_MIN_PER_SERVICE 4

struct backend_state {
	uint32_t in_flight; /* requests of this node */
	double limit; /* adaptive limit to in_flight */
	uint64_t limit_reduced_at; /* 0: never */
	double fastest_in_window_ms; /* time to first byte; 0: no sample */
	double fastest_in_last_window_ms; /* the same for the previous window */
	uint64_t window_started_at;
	double reported; /* requests of all nodes, by its report; for status */
	uint64_t last_picked; /* sequence number of the last pick; 0: never */
	uint64_t loaded; /* bit i: can run version i */
	uint32_t failures; /* consecutive */
	uint64_t ejected_until;
	bool leaving; /* about to be removed: gets no new requests */
	bool in_subset; /* this node uses it */
	bool ranks_this_node_first; /* of all live nodes */
	bool reports_loaded; /* `loaded` was reported, not assumed */
};

/* What the end of a request says about its server. */
enum backend_outcome {
	BACKEND_OUTCOME_SUCCESS,
	BACKEND_OUTCOME_OVERLOADED, /* status 429 or 503 */
	BACKEND_OUTCOME_FAILED, /* connection failed or broke, or timeout */
	BACKEND_OUTCOME_IGNORED, /* nothing, e.g. cancelled by the client */
};

/* What backend_pick looks for. */
struct backend_criteria {
	cfg_handle service;
	cfg_handle version; /* CFG_NONE for a plain service */
	const char *zone; /* of this node, preferred */
	uint64_t affinity; /* hash of the session or prompt; 0: none */
	cfg_handle avoid; /* server of the last attempt, or CFG_NONE */
};

void backend_init(struct backend_state *s);
uint64_t backend_hash_name(const char *name);
void backend_select_subset(const struct cfg *cfg, struct backend_state *table,
			   const uint64_t *nodes, size_t n_nodes, uint64_t self,
			   size_t nodes_per_server);
bool backend_is_in_use(const struct backend_state *s);
bool backend_is_ejected(const struct backend_state *s, uint64_t now);
cfg_handle backend_pick(const struct cfg *cfg,
			const struct backend_state *table, uint64_t now,
			const struct backend_criteria *criteria);
void backend_on_request_start(struct backend_state *s, uint64_t sequence);
void backend_on_request_end(struct backend_state *s, uint64_t now,
			    enum backend_outcome outcome, double first_byte_ms);
void backend_on_missing_version(struct backend_state *s, cfg_handle version);
void backend_on_load_report(struct backend_state *s, double requests,
			    uint64_t loaded);
uint64_t backend_available_versions(const struct cfg *cfg,
				    const struct backend_state *table,
				    uint64_t now, bool include_ejected);

#endif
