#ifndef DAEMON_GATEWAY_H
#define DAEMON_GATEWAY_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "counters.h"
#include "daemon/settings.h"
#include "exchange/budget.h"
#include "exchange/cascade.h"
#include "exchange/feed.h"
#include "exchange/stream-lengths.h"
#include "exchange/peer-loads.h"
#include "exchange/header-names.h"
#include "exchange/routes.h"
#include "exchange/servers.h"
#include "histogram.h"
#include "http/client.h"
#include "http/server.h"
#include "rng.h"
#include "session/recent.h"

#define GATEWAY_ROUTE_KINDS 3

struct platform_feed;
struct fleet_task;
struct peer_state;
struct shift_controller;

/*
 * A node that serves configured routes: its settings, the tables in force and
 * the tasks. All run on one loop and one thread.
 */
struct gateway_state {
	uv_loop_t *loop;
	struct node_settings *settings;
	const char *settings_path;
	struct counter_set counter_set;
	struct rng rng;
	struct http_client *http;
	struct http_server *door;
	struct http_server *readiness;
	struct http_server *operators;
	const struct header_names *names;
	struct route_table *routes; /* in force; NULL: none yet */
	struct json_object *doc; /* of which `routes` was made */
	struct server_table servers;
	struct peer_loads loads;
	struct stream_lengths lengths;
	GPtrArray *early; /* requests that came before all was known */
	struct retry_budget budget;
	struct cascade_targets cascade;
	struct platform_feed *feed;
	const struct feed_handlers *events; /* what the feed tells */
	struct fleet_task *fleet;
	struct peer_state *state;
	struct shift_controller *shifts;
	struct recent_sessions recent;
	uint64_t boot; /* differs between any two runs of a node */
	uint64_t as_of
		[FEED_TOPIC_COUNT]; /* revision up to which each is known */
	uint64_t changed[FEED_TOPIC_COUNT]; /* latest change known of each */
	uint64_t lost_at
		[FEED_TOPIC_COUNT]; /* since when the source is away; 0: not */
	bool listed[FEED_TOPIC_COUNT]; /* read at least once */
	struct histogram_ms
		request_ms[GATEWAY_ROUTE_KINDS]; /* by the route's kind */
	struct histogram_ms first_event_ms;
	size_t open_requests;
	uint64_t started_at;
	bool draining;
	uint64_t drain_started_at;
	uv_timer_t tick;
};

uint64_t gateway_now(struct gateway_state *g);
bool gateway_has_all_topics(const struct gateway_state *g);
bool gateway_is_ready(const struct gateway_state *g);
bool gateway_config_is_current(const struct gateway_state *g, uint64_t now);
void gateway_advance_revision(struct gateway_state *g, enum feed_topic topic,
			      uint64_t revision);
int gateway_run(struct node_settings *settings, const char *path);

#endif
