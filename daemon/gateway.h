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

#define GWY_KINDS 3

struct pfd;
struct fleet_task;
struct peer_state;
struct shift_controller;

/*
 * A node that serves configured routes: its settings, the tables in force and
 * the tasks. All run on one loop and one thread.
 */
struct gwy {
	uv_loop_t *loop;
	struct set *settings;
	const char *settings_path;
	struct ctr ctr;
	struct rng rng;
	struct hc *http;
	struct hs *door;
	struct hs *readiness;
	struct hs *operators;
	const struct header_names *names;
	struct route_table *routes; /* in force; NULL: none yet */
	struct json_object *doc; /* of which `routes` was made */
	struct server_table servers;
	struct peer_loads loads;
	struct stream_lengths lengths;
	GPtrArray *early; /* requests that came before all was known */
	struct retry_budget budget;
	struct cascade_targets cascade;
	struct pfd *feed;
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
	struct hst request_ms[GWY_KINDS]; /* by the route's kind */
	struct hst first_event_ms;
	size_t open_requests;
	uint64_t started_at;
	bool draining;
	uint64_t drain_at;
	uv_timer_t tick;
};

uint64_t gwy_now(struct gwy *g);
bool gwy_knows_all(const struct gwy *g);
bool gwy_is_ready(const struct gwy *g);
bool gwy_config_is_sure(const struct gwy *g, uint64_t now);
void gwy_take_as_of(struct gwy *g, enum feed_topic topic, uint64_t revision);
int gwy_run(struct set *settings, const char *path);

#endif
