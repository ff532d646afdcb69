#ifndef DAEMON_SETTINGS_H
#define DAEMON_SETTINGS_H

#include <glib.h>
#include <stdint.h>

#include "json-check.h"

/*
 * Settings of a node from its settings file. Units are in the names. The
 * strings belong to the structure. Each field has the name of its key.
 */
struct node_settings {
	char *node;
	char *zone;
	char *caller_address;
	char *operator_address;
	char *peer_address;
	char *platform_address;
	char *operator_key;
	char *cluster_key;
	int64_t store_timeout_ms;
	int64_t watch_ms;
	int64_t usage_flush_ms;
	int64_t load_poll_ms;
	int64_t reports_per_s;
	int64_t status_ms;
	int64_t connect_ms;
	int64_t progress_ms;
	int64_t default_deadline_ms;
	int64_t hedge_ms;
	int64_t head_timeout_ms;
	int64_t max_body_bytes;
	int64_t unready_ms;
	int64_t drain_ms;
	int64_t nodes_per_server;
	int64_t slow_first_token_ms;
	double rating_share;
	int64_t memory_mb; /* 0: what the kernel tells */
	int64_t client_memory_mb; /* 0: computed from memory_mb */

	/* Only for nodes that serve configured routes. */
	char *ready_address;
	char *seeds; /* "ip:port,..." of other nodes, may be outdated */
	double grace_s;
	int64_t fleet_nodes;
	double retry_ratio;
	double retry_burst;
	double retry_window_s;
	double expose_share;
	double expose_slack;
	double session_s;
	double prefix_memory_s;
	char *features; /* names, separated by commas; NULL: none */
	double cold_over; /* 0: no rule for cold servers */
	double cold_slack;
	int64_t evacuation_ms; /* 0: zones are not evacuated */
	char *quality_targets; /* "0.9,...", 0 to 1, by priority from the first */
};

extern const struct jcheck_key settings_keys[];

struct node_settings *settings_read(const char *path, GError **err);
struct node_settings *settings_parse(const char *source, const char *text,
				     GError **err);
bool settings_has_feature(const struct node_settings *s, const char *name);
void settings_free(struct node_settings *s);

#endif
