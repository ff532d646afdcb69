#include "daemon/gateway.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <sys/stat.h>
#include <time.h>

#include "crash/crash-check-task.h"
#include "daemon/client-memory-task.h"
#include "daemon/gateway-metrics.h"
#include "daemon/version.h"
#include "exchange/admission-task.h"
#include "exchange/drain.h"
#include "exchange/exchange.h"
#include "exchange/intake-task.h"
#include "fleet/findings-task.h"
#include "fleet/fleet-task.h"
#include "fleet/state-task.h"
#include "http/address.h"
#include "invariant.h"
#include "log-event.h"
#include "platform/feed-task.h"
#include "platform/names.h"
#include "relay/probe-task.h"
#include "rollout/shift-task.h"

#define CONTENTION_FEATURE "pressure"
#define PLACEMENT_FEATURE "measured-placement"
#define MODEL_CHOICE_FEATURE "model-choice"
#define TICK_MS 100 /* duration of a tick */
#define SETTINGS_CHECK_TICKS 10
#define CLEANUP_TICKS 10
#define CONFIG_STALE_AFTER_MS 1500 /* without contact to the source */
#define WATCH_TIMEOUT_MS 30000 /* of one watch call to the platform */
/*
 * A watch of evacuations that has fallen silent is noticed and repeated within the
 * time that an evacuation may take.
 */
#define EVACUATION_WAIT_DIVISOR 2
#define MIN_DRAIN_MS 2600 /* the balancer needs it to see the node unready */
/* Limits until the first configuration sets them. */
#define INITIAL_MAX_BODY_BYTES (4 * 1024 * 1024)
#define INITIAL_RECEIVE_MS 5000
/* After start: how long requests wait until every topic has been read. */
#define MAX_WAIT_FOR_TOPICS_MS 600
/* The same until another node has told which servers are brittle. */
#define MAX_WAIT_FOR_PEERS_MS 300
/* Time after a pause in which the reports of other nodes arrive anew. */
#define RESUME_SETTLE_MS 1000
#define NS_PER_MS 1000000ULL
#define RELAY_HEAD_BYTES 1024 /* that nodes add to a client's head */
#define RELAY_IDLE_MS 10000 /* of a connection between nodes */
#define SESSION_MARGIN_MS 1000 /* sessions are kept for session_s plus this */

static struct gateway_state gateway;
static uv_signal_t sigterm_handle, sigint_handle, sighup_handle;
static uint32_t tick_count;
static struct stat settings_stat; /* of the settings file when last read */
static bool logged_ready; /* readiness as last logged */

/* Returns the topic's name as logs and metrics show it. */
const char *gateway_topic_name(enum feed_topic topic)
{
	static const char *const names[FEED_TOPIC_COUNT] = {
		"config", "servers", "rollouts", "evacuations"};

	return names[topic];
}

/* Returns the loop's current time in ms, not that of its last wake-up. */
uint64_t gateway_now(struct gateway_state *g)
{
	uv_update_time(g->loop);
	return uv_now(g->loop);
}

/*
 * Returns whether configuration, servers, roll-out orders and evacuations, if they
 * are read, have all been read at least once. Requests need them.
 */
bool gateway_has_all_topics(const struct gateway_state *g)
{
	return g->routes && g->topic_listed[FEED_SERVERS] &&
	       g->topic_listed[FEED_ROLLOUTS] &&
	       g->topic_listed[FEED_EVACUATIONS];
}

/*
 * Returns whether all topics have been read, even if there is no configuration
 * yet.
 */
bool gateway_has_read_source(const struct gateway_state *g)
{
	for (int i = 0; i < FEED_TOPIC_COUNT; i++)
		if (!g->topic_listed[i])
			return false;
	return true;
}

static uint64_t boot_clock_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / NS_PER_MS;
}

/*
 * Notes that the process runs. If it did not for a while, what it knows may have
 * been revoked: new requests wait until the store has confirmed it.
 */
void gateway_check_pause(struct gateway_state *g)
{
	uint64_t ms = pause_watch_check(&g->pause, boot_clock_ms());

	if (!ms)
		return;
	log_event(LOG_EVENT_PAUSED, "ms=%" G_GUINT64_FORMAT " open=%zu", ms,
		  g->open_requests);
	g->resumed_at = gateway_now(g);
	/* The clock may not have counted the pause. */
	memset(g->answered_at, 0, sizeof(g->answered_at));
	g->unconfirmed = 1U << FEED_CONFIG;
	if (g->reads_evacuations)
		g->unconfirmed |= 1U << FEED_EVACUATIONS;
	for (guint i = 0; i < g->servers.all->len; i++)
		cold_on_pause(
			&((struct server_record *)g->servers.all->pdata[i])
				 ->cold,
			g->resumed_at);
	platform_feed_confirm(g->feed);
	fleet_task_on_pause(g->fleet, g->resumed_at, ms);
	shift_task_on_pause(g->shifts, g->resumed_at);
}

/* Returns whether new requests wait after a pause. */
bool gateway_is_confirming(struct gateway_state *g)
{
	return g->unconfirmed &&
	       gateway_now(g) - g->resumed_at <= MAX_WAIT_FOR_TOPICS_MS;
}

static bool has_settled(const struct gateway_state *g, uint64_t now)
{
	return !g->resumed_at || now - g->resumed_at >= RESUME_SETTLE_MS;
}

/* Returns whether the balancer may send new connections here. */
bool gateway_is_ready(const struct gateway_state *g)
{
	return gateway_has_all_topics(g) && !g->draining;
}

/*
 * Returns whether the configuration in force is likely to be the newest: its
 * source is reachable or was so within CONFIG_STALE_AFTER_MS.
 */
bool gateway_config_is_current(const struct gateway_state *g, uint64_t now)
{
	uint64_t lost_at = g->lost_at[FEED_CONFIG];

	return g->routes && (!lost_at || now - lost_at < CONFIG_STALE_AFTER_MS);
}

/*
 * Returns whether new requests may be served: what they need has been read, and
 * other nodes have told which servers are brittle, or have had the time to.
 */
bool gateway_may_serve(struct gateway_state *g)
{
	return gateway_has_all_topics(g) && !gateway_is_confirming(g) &&
	       (findings_task_has_heard_brittle(
			fleet_task_findings(g->fleet)) ||
		gateway_now(g) - g->started_at > MAX_WAIT_FOR_PEERS_MS);
}

/* Serves the requests that wait, if what they wait for is known. */
void gateway_serve_pending(struct gateway_state *g)
{
	if (gateway_may_serve(g))
		exchange_serve_pending(g);
}

static void log_readiness(struct gateway_state *g)
{
	bool ready = gateway_is_ready(g);

	if (ready == logged_ready)
		return;
	logged_ready = ready;
	log_event(LOG_EVENT_READY,
		  "ready=%d config=%" G_GUINT64_FORMAT " draining=%d", ready,
		  g->routes ? g->routes->revision : 0, g->draining);
}

static void apply_limits(struct gateway_state *g)
{
	const struct route_limits *l = &g->routes->limits;
	struct http_server_limits limits = {
		.head_bytes = l->head_bytes,
		.body_bytes = l->body_bytes,
		.receive_ms = l->receive_ms,
		.idle_ms = l->idle_ms,
	};

	http_server_set_limits(g->client_listener, &limits);
	limits.head_bytes += RELAY_HEAD_BYTES;
	limits.idle_ms = RELAY_IDLE_MS;
	http_server_set_limits(g->relay_listener, &limits);
}

/* Sets what the server's service says of cold servers. */
static void set_cold_rule(const struct gateway_state *g,
			  struct server_record *s)
{
	route_handle h = g->routes ? route_find_service(g->routes, s->service)
				   : ROUTE_NONE;

	if (h == ROUTE_NONE)
		return;
	s->cold.rule = cold_rule_of(
		g->routes->services[h].cold_per_s, g->settings->cold_over,
		g->settings->cold_slack, g->routes->services[h].cold_ms);
}

static void set_cold_rules(const struct gateway_state *g)
{
	for (guint i = 0; i < g->servers.all->len; i++)
		set_cold_rule(g, g->servers.all->pdata[i]);
}

/* Puts a configuration in force if it is valid and newer than the current. */
static void on_config(void *user, struct json_object *doc, uint64_t revision)
{
	struct gateway_state *g = user;
	GError *err = NULL;
	struct route_table *routes;

	g->latest_revision[FEED_CONFIG] =
		MAX(g->latest_revision[FEED_CONFIG], revision);
	if (g->routes && revision <= g->routes->revision)
		return;
	routes = route_table_build(doc, revision, &err);
	if (!routes) {
		log_event(LOG_EVENT_CONFIG_BAD,
			  "revision=%" G_GUINT64_FORMAT " error=\"%s\"",
			  revision, err->message);
		g_error_free(err);
		return;
	}
	INVARIANT(!g->routes || routes->revision > g->routes->revision,
		  "routes: the revision in force only grows");
	route_table_unref(g->routes);
	g->routes = routes;
	json_object_put(g->config_doc);
	g->config_doc = json_object_get(doc);
	apply_limits(g);
	set_cold_rules(g);
	counter_add(&g->counter_set, COUNTER_CONFIG_APPLIED, 1);
	log_event(LOG_EVENT_CONFIG_IN_FORCE,
		  "revision=%" G_GUINT64_FORMAT
		  " routes=%zu services=%zu organisations=%zu",
		  revision, routes->n_routes, routes->n_services,
		  routes->n_orgs);
	log_readiness(g);
	gateway_serve_pending(g);
}

static void on_server_removed(void *user, const char *id, uint64_t revision)
{
	struct gateway_state *g = user;

	g->latest_revision[FEED_SERVERS] =
		MAX(g->latest_revision[FEED_SERVERS], revision);
	if (server_remove(&g->servers, id, revision))
		log_event(LOG_EVENT_SERVER_CHANGED,
			  "server=%s to=gone revision=%" G_GUINT64_FORMAT, id,
			  revision);
}

/* Returns the name of a field for which an entry names no server to use, or NULL. */
static const char *unusable_field(const struct server_entry *entry)
{
	struct sockaddr_in sa;

	if (!address_parse(entry->address, &sa, NULL))
		return "address";
	return server_entry_unusable_field(entry);
}

/* A server whose entry is no longer usable counts as removed. */
static void on_server(void *user, const struct server_entry *entry)
{
	struct gateway_state *g = user;
	const char *unusable = unusable_field(entry);
	const struct server_record *old = server_find(&g->servers, entry->id);
	enum server_state before = old ? old->state : SERVER_REMOVED;
	struct server_record *s;

	if (unusable) {
		log_event(LOG_EVENT_SERVER_UNUSABLE,
			  "field=%s server=%.64s revision=%" G_GUINT64_FORMAT,
			  unusable, entry->id, entry->revision);
		on_server_removed(user, entry->id, entry->revision);
		return;
	}
	g->latest_revision[FEED_SERVERS] =
		MAX(g->latest_revision[FEED_SERVERS], entry->revision);
	s = server_update(&g->servers, gateway_now(g), entry);
	set_cold_rule(g, s);
	if (s->state != before)
		log_event(LOG_EVENT_SERVER_CHANGED,
			  "server=%s service=%s address=%s zone=%s version=%s "
			  "from=%s to=%s revision=%" G_GUINT64_FORMAT,
			  s->id, s->service, s->address, s->zone, s->version,
			  server_state_name(before),
			  server_state_name(s->state), s->revision);
}

static void on_server_listing(void *user, enum feed_topic topic, bool ended)
{
	struct gateway_state *g = user;

	if (topic == FEED_ROLLOUTS && ended)
		shift_task_end_listing(g->shifts);
	else if (topic == FEED_ROLLOUTS)
		shift_task_begin_listing(g->shifts);
	if (topic == FEED_EVACUATIONS && !ended)
		evacuations_begin_listing(&g->servers.evacuations);
	if (topic != FEED_SERVERS)
		return;
	if (!ended) {
		server_begin_listing(&g->servers);
		return;
	}
	log_event(LOG_EVENT_SERVERS_LISTED, "servers=%u gone=%u",
		  g->servers.all->len, server_end_listing(&g->servers));
}

static void on_rollout(void *user, const struct feed_rollout *order)
{
	struct gateway_state *g = user;

	g->latest_revision[FEED_ROLLOUTS] =
		MAX(g->latest_revision[FEED_ROLLOUTS], order->revision);
	shift_task_on_order(g->shifts, gateway_now(g), order);
}

static void on_rollout_removed(void *user, const char *service)
{
	struct gateway_state *g = user;

	shift_task_on_order_removed(g->shifts, service);
}

static void on_evacuation(void *user, const char *zone, bool evacuated)
{
	struct gateway_state *g = user;

	evacuations_stage(&g->servers.evacuations, zone, evacuated);
}

/* Applies a changed set of evacuated zones; `from` says for logs who told it. */
static void apply_evacuations(struct gateway_state *g, const char *from)
{
	struct evacuations *e = &g->servers.evacuations;
	g_autoptr(GPtrArray) zones = evacuations_list(e);
	g_autofree char *text = NULL;

	server_apply_evacuations(&g->servers, gateway_now(g));
	g_ptr_array_add(zones, NULL);
	text = g_strjoinv(",", (char **)zones->pdata);
	log_event(LOG_EVENT_EVACUATIONS,
		  "zones=%s revision=%" G_GUINT64_FORMAT " from=%s",
		  *text ? text : "-", e->revision, from);
}

/* Takes up another node's set of evacuated zones if it is later than this one's. */
void gateway_hear_evacuations(struct gateway_state *g, const GPtrArray *zones,
			      uint64_t revision)
{
	if (!g->reads_evacuations ||
	    revision <= g->servers.evacuations.revision)
		return;
	if (evacuations_replace(&g->servers.evacuations, zones, revision))
		apply_evacuations(g, "node");
	gateway_advance_revision(g, FEED_EVACUATIONS, revision);
	platform_feed_advance(g->feed, FEED_EVACUATIONS, revision);
}

/*
 * Records that all changes of a topic up to a revision are known, whether from
 * the platform or from another node.
 */
void gateway_advance_revision(struct gateway_state *g, enum feed_topic topic,
			      uint64_t revision)
{
	g->complete_revision[topic] =
		MAX(g->complete_revision[topic], revision);
	g->topic_listed[topic] = true;
	if (topic == FEED_SERVERS)
		removal_log_set_revision(&g->servers.removals, revision);
	log_readiness(g);
	gateway_serve_pending(g);
}

static void on_current(void *user, enum feed_topic topic, uint64_t revision)
{
	struct gateway_state *g = user;

	g->lost_at[topic] = 0;
	g->answered_at[topic] = gateway_now(g);
	g->unconfirmed &= ~(1U << topic);
	if (topic == FEED_EVACUATIONS &&
	    evacuations_commit(&g->servers.evacuations, revision))
		apply_evacuations(g, "source");
	gateway_advance_revision(g, topic, revision);
}

static void on_source_lost(void *user, enum feed_topic topic,
			   const char *reason)
{
	struct gateway_state *g = user;

	(void)reason;
	if (!g->lost_at[topic])
		g->lost_at[topic] = gateway_now(g);
}

/* Returns whether some topic of the source cannot be read at present. */
bool gateway_source_is_lost(const struct gateway_state *g)
{
	for (int i = 0; i < FEED_TOPIC_COUNT; i++)
		if (g->lost_at[i])
			return true;
	return false;
}

/*
 * Records whether the source is lost to the nodes that read it on this node's
 * behalf, as lost to this node.
 */
void gateway_set_followed_source(struct gateway_state *g, bool lost)
{
	for (int i = 0; i < FEED_TOPIC_COUNT; i++)
		if (!lost || (i == FEED_EVACUATIONS && !g->reads_evacuations))
			g->lost_at[i] = 0;
		else if (!g->lost_at[i])
			g->lost_at[i] = gateway_now(g);
}

static const struct feed_handlers feed_callbacks = {
	.config = on_config,
	.server = on_server,
	.server_removed = on_server_removed,
	.list = on_server_listing,
	.rollout = on_rollout,
	.rollout_removed = on_rollout_removed,
	.evacuation = on_evacuation,
	.current = on_current,
	.lost = on_source_lost,
};

static void on_readiness(void *user, struct http_server_request *req)
{
	const struct gateway_state *g = user;

	if (gateway_is_ready(g))
		http_server_reply(req, 200, "text/plain", "ready\n", 6);
	else
		http_server_reply(req, 503, "text/plain", "not ready\n", 10);
}

static void on_operator(void *user, struct http_server_request *req)
{
	struct gateway_state *g = user;
	g_autoptr(GString) text = NULL;

	if (g_str_has_prefix(http_server_path(req), PEER_STATE_PATH)) {
		peer_state_serve(g, req);
		return;
	}
	if (g_str_has_prefix(http_server_path(req), PEER_MEMBERS_PATH)) {
		peer_state_serve_members(g, req);
		return;
	}
	if (strcmp(http_server_path(req), "/metrics") != 0) {
		http_server_reply(req, 404, "text/plain", "unknown path\n", 13);
		return;
	}
	text = g_string_new(NULL);
	gateway_metrics_write(g, gateway_now(g), text);
	http_server_reply(req, 200, "text/plain; version=0.0.4", text->str,
			  text->len);
}

static void apply_settings(struct gateway_state *g)
{
	const struct budget_params p = {
		.ratio = g->settings->retry_ratio,
		.burst = g->settings->retry_burst,
		.nodes = (uint32_t)g->settings->fleet_nodes,
		.window_ms = (uint32_t)(1000 * g->settings->retry_window_s),
	};

	budget_set_params(&g->budget, &p);
	cascade_parse(&g->cascade, g->settings->quality_targets);
	g->contended = settings_has_feature(g->settings, CONTENTION_FEATURE);
	g->times_models =
		settings_has_feature(g->settings, MODEL_CHOICE_FEATURE);
	g->servers.measured_placement =
		settings_has_feature(g->settings, PLACEMENT_FEATURE);
	set_cold_rules(g);
	client_memory_apply(g->client_memory, g->settings);
}

/* Reads the settings file again; invalid settings change nothing. */
static void reload_settings(struct gateway_state *g, const char *why)
{
	GError *err = NULL;
	struct node_settings *s = settings_read(g->settings_path, &err);

	stat(g->settings_path, &settings_stat);
	if (!s) {
		log_event(LOG_EVENT_SETTINGS_BAD, "why=%s error=\"%s\"", why,
			  err->message);
		g_error_free(err);
		return;
	}
	settings_free(g->settings);
	g->settings = s;
	apply_settings(g);
	log_event(LOG_EVENT_SETTINGS_READ, "why=%s file=%s", why,
		  g->settings_path);
}

static bool settings_changed(const struct gateway_state *g)
{
	struct stat now;

	if (stat(g->settings_path, &now) != 0)
		return false;
	return now.st_mtim.tv_sec != settings_stat.st_mtim.tv_sec ||
	       now.st_mtim.tv_nsec != settings_stat.st_mtim.tv_nsec ||
	       now.st_size != settings_stat.st_size ||
	       now.st_ino != settings_stat.st_ino;
}

static void stop_process(struct gateway_state *g)
{
	log_event(LOG_EVENT_STOPPED, "node=%s open=%zu", g->settings->node,
		  g->open_requests);
	log_event_flush();
	exit(EXIT_SUCCESS);
}

static uint64_t grace_ms(const struct gateway_state *g)
{
	return (uint64_t)(1000 * g->settings->grace_s);
}

/*
 * Returns whether a request that takes takes_ms at most may be started: the node
 * does not stop, or not too soon.
 */
bool gateway_may_start(struct gateway_state *g, uint64_t takes_ms)
{
	const struct drain d = {
		.elapsed_ms = gateway_now(g) - g->drain_started_at,
		.grace_ms = grace_ms(g),
	};

	return !g->draining || drain_may_start(&d, takes_ms);
}

/*
 * Ends a graceful shutdown when the balancer has had time to see the node as
 * unready and all requests are answered, or shortly before the process would be
 * killed.
 */
static void check_drain(struct gateway_state *g, uint64_t now)
{
	uint64_t elapsed_ms = now - g->drain_started_at;

	if (elapsed_ms >= drain_exit_ms(grace_ms(g))) {
		if (g->open_requests)
			log_event(LOG_EVENT_DRAIN_EXPIRED, "open=%zu",
				  g->open_requests);
		stop_process(g);
	}
	if (elapsed_ms < MIN_DRAIN_MS || g->open_requests ||
	    http_server_unanswered(g->client_listener) ||
	    http_server_unanswered(g->relay_listener)) {
		g->idle_ticks = 0;
		return;
	}
	/* What was accepted before has sent its first bytes by the next tick. */
	if (!g->idle_ticks++) {
		http_server_stop_accepting(g->client_listener);
		http_server_stop_accepting(g->relay_listener);
		return;
	}
	stop_process(g);
}

/* Frees removed servers without requests and closes connections to them. */
static void free_removed_servers(struct gateway_state *g, uint64_t now)
{
	for (guint i = 0; i < g->servers.all->len; i++) {
		const struct server_record *s = g->servers.all->pdata[i];
		g_autofree char *pool = NULL;

		if (s->state != SERVER_REMOVED || s->in_flight)
			continue;
		pool = exchange_pool_name(s);
		http_client_close_idle_pool(g->http, pool);
	}
	server_free_removed(&g->servers, now);
}

static void log_crash_key(void *user, const struct crash_key *p,
			  uint32_t crashes, uint32_t requests)
{
	(void)user;
	if (crash_key_is_request(p)) {
		log_event(LOG_EVENT_REQUEST_BLOCKED,
			  "fingerprint=%016" G_GINT64_MODIFIER
			  "x blocked=%d crashes=%u requests=%u",
			  p->key, p->blocked, crashes, requests);
		return;
	}
	log_event(LOG_EVENT_PART_BLOCKED,
		  "part=%" G_GINT64_MODIFIER "x blocked=%d crashes=%u "
		  "requests=%u",
		  p->key, p->blocked, crashes, requests);
}

static void on_tick(uv_timer_t *timer)
{
	struct gateway_state *g = timer->data;
	uint64_t now = gateway_now(g);

	tick_count++;
	gateway_check_pause(g);
	fleet_task_tick(g->fleet, now);
	peer_state_tick(g->peer_state, now);
	crash_keys_update(&g->crash_keys, now, log_crash_key, NULL);
	probe_task_tick(g->probes, now);
	exchange_check_overdue(g, now);
	exchange_resume_answers(g);
	if (has_settled(g, now))
		shift_task_tick(g->shifts, now);
	peer_loads_apply(&g->peer_loads, now, &g->servers);
	admission_task_tick(g, now);
	if (tick_count % CLEANUP_TICKS == 0) {
		free_removed_servers(g, now);
		recent_sessions_expire(&g->recent, now);
		relay_helpers_expire(&g->helpers, now);
	}
	if (tick_count % SETTINGS_CHECK_TICKS == 0 && settings_changed(g))
		reload_settings(g, "changed");
	if (g->pending_requests->len &&
	    (gateway_may_serve(g) ||
	     (now - g->started_at > MAX_WAIT_FOR_TOPICS_MS &&
	      !gateway_is_confirming(g))))
		exchange_serve_pending(g);
	if (g->draining)
		check_drain(g, now);
	log_event_flush();
}

/*
 * Begins a graceful shutdown: the node is unready at once, requests that it has
 * accepted are finished.
 */
static void on_stop_signal(uv_signal_t *signal, int number)
{
	struct gateway_state *g = signal->data;

	if (g->draining)
		return;
	log_event(LOG_EVENT_STOPPING, "signal=%d open=%zu", number,
		  g->open_requests);
	g->draining = true;
	g->drain_started_at = gateway_now(g);
	http_server_close_idle(g->client_listener);
	fleet_task_leave(g->fleet);
	log_readiness(g);
}

static void on_reload_signal(uv_signal_t *signal, int number)
{
	(void)number;
	reload_settings(signal->data, "signal");
}

static void watch_signal(struct gateway_state *g, uv_signal_t *signal,
			 int number, uv_signal_cb cb)
{
	uv_signal_init(g->loop, signal);
	signal->data = g;
	uv_signal_start(signal, cb, number);
}

static bool start_listeners(struct gateway_state *g, GError **err)
{
	const struct node_settings *s = g->settings;

	g->client_listener = http_server_listen(
		g->loop, s->caller_address, INITIAL_MAX_BODY_BYTES,
		INITIAL_RECEIVE_MS, exchange_on_request, g, err);
	if (!g->client_listener)
		return false;
	g->relay_listener = http_server_listen(
		g->loop, s->peer_address, INITIAL_MAX_BODY_BYTES,
		INITIAL_RECEIVE_MS, exchange_on_relayed_request, g, err);
	if (!g->relay_listener)
		return false;
	http_server_set_memory(g->client_listener, g->memory,
			       HTTP_SERVER_CLIENTS, exchange_on_evicted);
	http_server_set_memory(g->relay_listener, g->memory, HTTP_SERVER_NODES,
			       exchange_on_relayed_evicted);
	g->readiness_listener =
		http_server_listen(g->loop, s->ready_address, 0,
				   INITIAL_RECEIVE_MS, on_readiness, g, err);
	if (!g->readiness_listener)
		return false;
	g->operator_listener =
		http_server_listen(g->loop, s->operator_address, 0,
				   INITIAL_RECEIVE_MS, on_operator, g, err);
	if (!g->operator_listener)
		return false;
	http_server_set_memory(g->readiness_listener, g->memory,
			       HTTP_SERVER_OPERATORS, NULL);
	http_server_set_memory(g->operator_listener, g->memory,
			       HTTP_SERVER_OPERATORS, NULL);
	return true;
}

static void seed_rng(struct gateway_state *g)
{
	uint64_t value = 0;

	if (getrandom(&value, sizeof(value), 0) != sizeof(value) ||
	    getrandom(&g->boot, sizeof(g->boot), 0) != sizeof(g->boot))
		g_error("no random numbers: %s", strerror(errno));
	rng_seed(&g->rng, value);
}

static void start_feed(struct gateway_state *g)
{
	const struct platform_feed_options options = {
		.address = g->settings->platform_address,
		.timeout_ms = (uint32_t)g->settings->store_timeout_ms,
		.wait_ms = WATCH_TIMEOUT_MS,
		.evacuation_wait_ms = (uint32_t)g->settings->evacuation_ms /
				      EVACUATION_WAIT_DIVISOR,
		.counter_set = &g->counter_set,
	};

	g->feed_handlers = &feed_callbacks;
	g->feed = platform_feed_start(g->loop, g->http, &options,
				      &feed_callbacks, g);
}

/*
 * Runs a node that serves configured routes until it gets SIGTERM or SIGINT.
 * `path` is the settings file, read again when it changes or on SIGHUP. Returns
 * the process's exit code.
 */
int gateway_run(struct node_settings *settings, const char *path)
{
	struct gateway_state *g = &gateway;
	const struct budget_params no_retries = {0, 0, 1, 1000};
	GError *err = NULL;

	signal(SIGPIPE, SIG_IGN);
	g->loop = uv_default_loop();
	g->settings = settings;
	g->settings_path = path;
	g->header_names = &platform_header_names;
	log_event_start_buffering();
	log_event_catch_crashes();
	seed_rng(g);
	stat(path, &settings_stat);
	g->client_memory =
		client_memory_start(g->loop, settings, &g->counter_set);
	g->memory = client_memory_account(g->client_memory);
	g->paused_answers = g_ptr_array_new();
	g->http = http_client_new(g->loop);
	http_client_set_memory(g->http, g->memory);
	server_table_init(&g->servers);
	peer_loads_init(&g->peer_loads);
	stream_lengths_init(&g->stream_lengths);
	model_choice_init(&g->model_choice);
	crash_keys_init(&g->crash_keys);
	g->crash_checks =
		crash_checks_new(g->loop, &g->crash_keys, &g->servers);
	g->probes = probe_task_new(g->loop, &g->servers);
	relay_helpers_init(&g->helpers);
	g->pending_requests = g_ptr_array_new();
	g->measured_attempts = g_ptr_array_new();
	budget_init(&g->budget, &no_retries);
	apply_settings(g);
	g->reads_evacuations = settings->evacuation_ms > 0;
	g->topic_listed[FEED_EVACUATIONS] = !g->reads_evacuations;
	recent_sessions_init(&g->recent,
			     (uint64_t)(1000 * settings->session_s) +
				     SESSION_MARGIN_MS);
	g->shifts = shift_task_new(g);
	g->peer_state = peer_state_new(g);
	g->fleet = fleet_task_start(g, &err);
	if (!g->fleet || !start_listeners(g, &err)) {
		log_event(LOG_EVENT_START_FAILED, "error=\"%s\"", err->message);
		log_event_flush();
		return EXIT_FAILURE;
	}
	g->started_at = gateway_now(g);
	fleet_task_ask_seeds(g->fleet);
	start_feed(g);
	watch_signal(g, &sigterm_handle, SIGTERM, on_stop_signal);
	watch_signal(g, &sigint_handle, SIGINT, on_stop_signal);
	watch_signal(g, &sighup_handle, SIGHUP, on_reload_signal);
	uv_timer_init(g->loop, &g->tick_timer);
	g->tick_timer.data = g;
	uv_timer_start(&g->tick_timer, on_tick, TICK_MS, TICK_MS);
	log_event(LOG_EVENT_STARTED,
		  "node=%s zone=%s clients=%s ready=%s version=%s build=%s",
		  settings->node, settings->zone, settings->caller_address,
		  settings->ready_address, CHIVEGW_VERSION, version_build());
	uv_run(g->loop, UV_RUN_DEFAULT);
	return EXIT_SUCCESS;
}
