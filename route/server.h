#ifndef ROUTE_SERVER_H
#define ROUTE_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "config/config.h"

/*
 * What a node knows of one backend server, and the choice among them. Times
 * are milliseconds of the node's own clock.
 */
#define BACKEND_INITIAL_LIMIT 16.0
#define BACKEND_MIN_LIMIT 1.0
#define BACKEND_MAX_LIMIT 1024.0
#define BACKEND_FIRST_EJECTION_MS 500
#define BACKEND_MAX_EJECTION_MS 20000
#define BACKEND_MIN_PER_SERVICE 4

struct backend_state {
	uint32_t in_flight; /* of this node */
	double limit; /* adaptive, of this node */
	uint64_t limit_cut_at;
	double window_ms; /* best time to first byte in this window; 0: none */
	double before_ms; /* the same of the window before */
	uint64_t window_at;
	double reported; /* requests at the server, of all nodes; for status */
	uint64_t picked; /* grows from pick to pick; 0: never */
	uint64_t loaded; /* bit i: can run version i */
	uint32_t failures; /* in a row */
	uint64_t ejected_until;
	bool leaving;
	bool in_subset; /* this node uses it */
	bool ranks_this_node_first; /* it ranks this node first of the live ones */
	bool reports_loaded; /* `loaded` was reported, not assumed */
};

enum backend_outcome {
	BACKEND_OUTCOME_SUCCESS,
	BACKEND_OUTCOME_OVERLOADED, /* overload: 429 or 503 */
	BACKEND_OUTCOME_FAILED, /* unreachable, broken or silent */
	BACKEND_OUTCOME_IGNORED, /* says nothing of the server */
};

struct backend_criteria {
	cfg_handle service;
	cfg_handle version; /* CFG_NONE: a plain service */
	const char *zone;
	uint64_t affinity; /* of the session or prompt; 0: none */
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
			const struct backend_criteria *wish);
void backend_on_request_start(struct backend_state *s, uint64_t sequence);
void backend_on_request_end(struct backend_state *s, uint64_t now,
			    enum backend_outcome outcome, double first_ms);
void backend_on_missing_version(struct backend_state *s, cfg_handle version);
void backend_on_load_report(struct backend_state *s, double requests,
			    uint64_t loaded);
uint64_t backend_available_versions(const struct cfg *cfg,
				    const struct backend_state *table,
				    uint64_t now, bool ejected_too);

#endif
