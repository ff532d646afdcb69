#ifndef DAEMON_GATEWAY_H
#define DAEMON_GATEWAY_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "counters.h"
#include "crash/crash-keys.h"
#include "daemon/pause.h"
#include "daemon/settings.h"
#include "exchange/budget.h"
#include "exchange/cascade.h"
#include "exchange/feed.h"
#include "exchange/stream-lengths.h"
#include "exchange/peer-loads.h"
#include "exchange/header-names.h"
#include "exchange/model-choice.h"
#include "exchange/routes.h"
#include "exchange/servers.h"
#include "histogram.h"
#include "http/client.h"
#include "http/server.h"
#include "relay/helpers.h"
#include "rng.h"
#include "session/recent.h"

#define GATEWAY_ROUTE_KINDS 3 /* values of enum route_kind */

struct client_memory;
struct crash_checks;
struct platform_feed;
struct probe_task;
struct fleet_task;
struct peer_state;
struct shift_controller;

/*
 * State of a node that serves configured routes: its settings, the tables in
 * force and its tasks. All of it runs on one loop in one thread. Times are in
 * ms of the loop's clock.
 */
struct gateway_state {
	uv_loop_t *loop;
	struct node_settings *settings;
	const char *settings_path;
	struct counter_set counter_set;
	struct rng rng;
	struct http_client *http;
	struct client_memory *client_memory;
	struct memory_account *memory; /* of client_memory */
	/* Answers that are not read on for want of memory, but for the first. */
	GPtrArray *paused_answers; /* struct exchange_request */
	struct http_server *client_listener;
	struct http_server *relay_listener; /* requests from other nodes */
	struct http_server *readiness_listener; /* for the balancer's checks */
	struct http_server
		*operator_listener; /* metrics, and state for peers */
	const struct header_names *header_names;
	struct route_table *routes; /* in force; NULL: none yet */
	struct json_object *config_doc; /* from which `routes` was built */
	struct server_table servers;
	struct peer_loads peer_loads;
	struct stream_lengths stream_lengths;
	struct crash_keys crash_keys;
	struct crash_checks *crash_checks;
	struct probe_task *probes; /* of servers that may be out of reach */
	struct relay_helpers helpers;
	uint32_t relayed_requests; /* of other nodes, being served here */
	/* Requests that wait until every topic has been read once. */
	GPtrArray *pending_requests; /* struct pending_request */
	struct retry_budget budget;
	struct cascade_targets cascade;
	/*
	 * Clients compete for the room of the servers, which are treated as if
	 * they shared their machines.
	 */
	bool contended;
	bool times_models; /* models are chosen by expected times and evidence */
	struct model_choice model_choice;
	struct platform_feed *feed;
	const struct feed_handlers *feed_handlers; /* called by the feed */
	struct fleet_task *fleet;
	struct peer_state *peer_state;
	struct shift_controller *shifts;
	/* Attempts whose latency is to be counted for a roll-out. */
	GPtrArray *measured_attempts; /* struct exchange_request */
	GHashTable *admission; /* service -> struct admission_service */
	struct recent_sessions recent;
	uint64_t boot; /* random, differs between runs of a node */
	/* Revision up to which all changes of a topic are known. */
	uint64_t complete_revision[FEED_TOPIC_COUNT];
	/* Revision of the latest known change of a topic. */
	uint64_t latest_revision[FEED_TOPIC_COUNT];
	/* When the source of a topic became unreachable; 0: it is reachable. */
	uint64_t lost_at[FEED_TOPIC_COUNT];
	/* When the source last answered this node on a topic; 0: never. */
	uint64_t answered_at[FEED_TOPIC_COUNT];
	bool topic_listed[FEED_TOPIC_COUNT]; /* read at least once */
	/* Time from a request to the end of its response, by route kind. */
	struct histogram_ms request_ms[GATEWAY_ROUTE_KINDS];
	struct histogram_ms first_event_ms; /* of streaming routes */
	size_t open_requests; /* without a final response */
	uint64_t started_at;
	struct pause_watch pause;
	uint64_t resumed_at; /* after the last pause; 0: there was none */
	uint32_t unconfirmed; /* after that pause: 1 << enum feed_topic */
	bool reads_evacuations; /* the setting at the start */
	bool draining;
	uint64_t drain_started_at;
	uint32_t idle_ticks; /* without an open request while draining */
	uv_timer_t tick_timer;
};

const char *gateway_topic_name(enum feed_topic topic);
uint64_t gateway_now(struct gateway_state *g);
bool gateway_has_all_topics(const struct gateway_state *g);
bool gateway_may_start(struct gateway_state *g, uint64_t takes_ms);
bool gateway_may_serve(struct gateway_state *g);
void gateway_serve_pending(struct gateway_state *g);
bool gateway_has_read_source(const struct gateway_state *g);
void gateway_check_pause(struct gateway_state *g);
bool gateway_is_confirming(struct gateway_state *g);
bool gateway_is_ready(const struct gateway_state *g);
bool gateway_config_is_current(const struct gateway_state *g, uint64_t now);
void gateway_advance_revision(struct gateway_state *g, enum feed_topic topic,
			      uint64_t revision);
bool gateway_source_is_lost(const struct gateway_state *g);
void gateway_hear_evacuations(struct gateway_state *g, const GPtrArray *zones,
			      uint64_t revision);
void gateway_set_followed_source(struct gateway_state *g, bool lost);
int gateway_run(struct node_settings *settings, const char *path);

#endif
