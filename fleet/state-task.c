#include "fleet/state-task.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "daemon/gateway.h"
#include "fleet/cluster-key.h"
#include "fleet/fleet-task.h"
#include "fleet/member-transfer.h"
#include "fleet/packed-json.h"
#include "json-check.h"
#include "log-event.h"
#include "platform/feed-task.h"
#include "relay/header.h"
#include "rollout/shift-task.h"

#define REQUEST_INTERVAL_MS 150
#define LOST_TOLERANCE_MS 150 /* the source may be lost for so long */
#define REFRESH_INTERVAL_MS 2000
#define RESPONSE_PROGRESS_MS 400 /* to connect, and between two reads */
#define RESPONSE_TOTAL_MS 4000 /* even if bytes keep arriving */
#define MAX_RESPONSE_BYTES (8 * 1024 * 1024)
/*
 * Asks for changed servers only. Older nodes ignore it and send all, and do
 * not send it themselves.
 */
#define CHANGES_ONLY_PARAM "&changes=1"
/*
 * Says that the requester's revisions hold the era. A node without it would
 * take those of this node for later than any that its own source reports.
 */
#define ERAS_PARAM "&eras=1"

/* Asks for the configuration packed. Older nodes ignore it and send it plain. */
#define PACKED_PARAM "&packed=1"

/* Asks for the evacuated zones if they are of a later revision than the number. */
#define EVACUATIONS_PARAM "&evacuations="

struct peer_state {
	struct gateway_state *g;
	/* The configuration in force as sent to peers; NULL: not packed yet. */
	char *packed_config;
	size_t packed_config_len; /* of its JSON text */
	uint64_t packed_revision;
	struct http_client_call *call; /* NULL: none is pending */
	GString *body; /* of the response */
	int status;
	uint64_t requested_at; /* ms */
	uint64_t refreshed_at[FEED_TOPIC_COUNT]; /* ms */
	char address[32]; /* "ip:port" of the node asked last */
	struct member_transfer members;
	struct http_client_call *members_call; /* NULL: none is pending */
	GString *members_body;
	int members_status;
};

/* Allocates the task. It sends no request yet. */
struct peer_state *peer_state_new(struct gateway_state *g)
{
	struct peer_state *t = g_new0(struct peer_state, 1);

	t->g = g;
	t->body = g_string_new(NULL);
	t->members_body = g_string_new(NULL);
	return t;
}

/* Returns the number that follows `key` ("name=") in a path, or 0. */
static uint64_t query_number(const char *path, const char *key)
{
	const char *at = strstr(path, key);

	return at ? g_ascii_strtoull(at + strlen(key), NULL, 10) : 0;
}

static void add_number(struct json_object *o, const char *key, uint64_t n)
{
	json_object_object_add(o, key, json_object_new_int64((int64_t)n));
}

static struct json_object *server_to_json(const struct server_record *s,
					  uint64_t now)
{
	struct json_object *o = json_object_new_object();

	jcheck_add_string(o, "id", s->id);
	jcheck_add_string(o, "service", s->service);
	jcheck_add_string(o, "address", s->address);
	jcheck_add_string(o, "zone", s->zone);
	jcheck_add_string(o, "version", s->version);
	json_object_object_add(o, "slots", json_object_new_int64(s->slots));
	json_object_object_add(o, "draining",
			       json_object_new_boolean(s->draining));
	add_number(o, "revision", s->revision);
	add_number(o, "born", s->born);
	if (cold_left_ms(&s->cold, now))
		add_number(o, "cold_ms", cold_left_ms(&s->cold, now));
	return o;
}

/* Lists the servers that changed after revision `since`; 0: all. */
static struct json_object *changed_servers_to_json(const struct server_table *t,
						   uint64_t now, uint64_t since)
{
	struct json_object *list = json_object_new_array();

	for (guint i = 0; i < t->all->len; i++) {
		const struct server_record *s = t->all->pdata[i];

		if (s->state != SERVER_REMOVED && s->revision > since)
			json_object_array_add(list, server_to_json(s, now));
	}
	return list;
}

/* Lists the ids of servers that were removed after `since` and not re-added. */
static struct json_object *
removed_servers_to_json(const struct gateway_state *g, uint64_t since)
{
	struct json_object *list = json_object_new_array();

	for (guint i = removal_log_first_after(&g->servers.removals, since);
	     i < g->servers.removals.ids->len; i++) {
		const char *id = g->servers.removals.ids->pdata[i];
		const struct server_record *s = server_find(&g->servers, id);

		if (!s || s->state == SERVER_REMOVED)
			json_object_array_add(list, json_object_new_string(id));
	}
	return list;
}

/*
 * Adds the servers: only the changes since the revision that the requester
 * knows if it asked for that and the log of removals goes back so far, else
 * all of them.
 */
static void add_servers(struct gateway_state *g, struct json_object *o,
			const char *path)
{
	uint64_t since = query_number(path, "servers=");

	if (!strstr(path, CHANGES_ONLY_PARAM) ||
	    !removal_log_covers(&g->servers.removals, since))
		since = 0;
	json_object_object_add(
		o, "servers",
		changed_servers_to_json(&g->servers, gateway_now(g), since));
	if (since)
		json_object_object_add(o, "servers_gone",
				       removed_servers_to_json(g, since));
	add_number(o, "servers_as_of", g->complete_revision[FEED_SERVERS]);
	add_number(o, "servers_changed", g->latest_revision[FEED_SERVERS]);
}

static void raise_latest_change(struct gateway_state *g, enum feed_topic topic,
				struct json_object *response, const char *key)
{
	uint64_t changed = (uint64_t)jcheck_get_int(response, key, 0);

	g->latest_revision[topic] = MAX(g->latest_revision[topic], changed);
}

/* Packs the configuration in force, once for all nodes that ask for it. */
static bool pack_config(struct gateway_state *g)
{
	struct peer_state *t = g->peer_state;

	if (t->packed_config && t->packed_revision == g->routes->revision)
		return true;
	g_free(t->packed_config);
	t->packed_config =
		packed_json_new(g->config_doc, &t->packed_config_len);
	t->packed_revision = g->routes->revision;
	return t->packed_config != NULL;
}

static void add_config(struct gateway_state *g, struct json_object *o,
		       const char *path)
{
	if (!strstr(path, PACKED_PARAM) || !pack_config(g)) {
		json_object_object_add(o, "config",
				       json_object_get(g->config_doc));
		return;
	}
	jcheck_add_string(o, "config_packed", g->peer_state->packed_config);
	add_number(o, "config_bytes", g->peer_state->packed_config_len);
}

/* Returns the configuration of a response, for json_object_put(), or NULL. */
static struct json_object *take_config(struct json_object *response)
{
	struct json_object *config = jcheck_get(response, "config");

	if (config)
		return json_object_get(config);
	return packed_json_parse(
		jcheck_get_string(response, "config_packed", NULL),
		(size_t)jcheck_get_int(response, "config_bytes", 0),
		MAX_RESPONSE_BYTES);
}

/* Returns whether the requester reads evacuations and knows an earlier set. */
static bool wants_evacuations(const struct gateway_state *g, const char *path)
{
	return g->reads_evacuations && g->topic_listed[FEED_EVACUATIONS] &&
	       strstr(path, EVACUATIONS_PARAM) &&
	       g->servers.evacuations.revision >
		       query_number(path, EVACUATIONS_PARAM);
}

static void add_evacuations(const struct gateway_state *g,
			    struct json_object *o)
{
	g_autoptr(GPtrArray) zones = evacuations_list(&g->servers.evacuations);
	struct json_object *list = json_object_new_array();

	for (guint i = 0; i < zones->len; i++)
		json_object_array_add(list,
				      json_object_new_string(zones->pdata[i]));
	json_object_object_add(o, "evacuations", list);
	add_number(o, "evacuations_as_of", g->servers.evacuations.revision);
}

/*
 * Answers a node's request for state with those parts of which this node has
 * a later revision than the request names. Replies with status 403 without
 * the cluster's key.
 */
void peer_state_serve(struct gateway_state *g, struct http_server_request *req)
{
	const char *key = http_server_header(req, RELAY_CLUSTER_KEY_HEADER);
	bool knows_eras = strstr(http_server_path(req), ERAS_PARAM) != NULL;
	struct json_object *o;

	if (!cluster_key_matches(g->settings->cluster_key, key)) {
		http_server_reply_json(req, 403, "{\"error\":\"wrong key\"}");
		return;
	}
	o = json_object_new_object();
	if (g->routes && g->routes->revision >
				 query_number(http_server_path(req), "config="))
		add_config(g, o, http_server_path(req));
	if (knows_eras && g->routes &&
	    g->routes->revision >=
		    query_number(http_server_path(req), "config="))
		add_number(o, "config_as_of",
			   g->complete_revision[FEED_CONFIG]);
	if (knows_eras && g->topic_listed[FEED_SERVERS] &&
	    g->complete_revision[FEED_SERVERS] >
		    query_number(http_server_path(req), "servers="))
		add_servers(g, o, http_server_path(req));
	if (knows_eras && g->topic_listed[FEED_ROLLOUTS] &&
	    g->complete_revision[FEED_ROLLOUTS] >
		    query_number(http_server_path(req), "rollouts=")) {
		json_object_object_add(o, "rollouts",
				       shift_task_orders_json(g->shifts));
		add_number(o, "rollouts_as_of",
			   g->complete_revision[FEED_ROLLOUTS]);
		add_number(o, "rollouts_changed",
			   g->latest_revision[FEED_ROLLOUTS]);
	}
	if (knows_eras && wants_evacuations(g, http_server_path(req)))
		add_evacuations(g, o);
	http_server_reply_json(
		req, 200,
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
}

/*
 * Answers a node's request for the members of the fleet, without them if the
 * request's digest says that it knows the same.
 */
void peer_state_serve_members(struct gateway_state *g,
			      struct http_server_request *req)
{
	const char *key = http_server_header(req, RELAY_CLUSTER_KEY_HEADER);
	const struct member_table *members = fleet_task_members(g->fleet);
	uint64_t digest = query_number(http_server_path(req), "digest=");
	struct json_object *o;

	if (!cluster_key_matches(g->settings->cluster_key, key)) {
		http_server_reply_json(req, 403, "{\"error\":\"wrong key\"}");
		return;
	}
	o = json_object_new_object();
	if (digest != member_transfer_digest(members))
		json_object_object_add(o, "members",
				       member_transfer_to_json(members));
	http_server_reply_json(
		req, 200,
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
}

static void apply_server(struct gateway_state *g, struct json_object *o)
{
	const struct server_entry entry = {
		.id = jcheck_get_string(o, "id", NULL),
		.service = jcheck_get_string(o, "service", NULL),
		.address = jcheck_get_string(o, "address", NULL),
		.zone = jcheck_get_string(o, "zone", ""),
		.version = jcheck_get_string(o, "version", ""),
		.slots = (uint32_t)jcheck_get_int(o, "slots", 0),
		.draining = json_object_get_boolean(jcheck_get(o, "draining")),
		.revision = (uint64_t)jcheck_get_int(o, "revision", 0),
		.born = (uint64_t)jcheck_get_int(o, "born", 0),
		.cold_ms = (uint32_t)jcheck_get_int(o, "cold_ms", 0),
	};

	if (!entry.id || !entry.service || !entry.address)
		return;
	g->feed_handlers->server(g, &entry);
	server_hear_cold(&g->servers, gateway_now(g), entry.id, entry.revision,
			 entry.cold_ms);
}

/* Records that a peer has sent all changes of a topic up to a revision. */
static void advance(struct gateway_state *g, enum feed_topic topic,
		    uint64_t complete_revision)
{
	gateway_advance_revision(g, topic, complete_revision);
	platform_feed_advance(g->feed, topic, complete_revision);
}

static void apply_servers(struct gateway_state *g, struct json_object *response)
{
	struct json_object *list = jcheck_get(response, "servers");
	struct json_object *removed = jcheck_get(response, "servers_gone");
	uint64_t complete_revision =
		(uint64_t)jcheck_get_int(response, "servers_as_of", 0);

	if (!list || complete_revision <= g->complete_revision[FEED_SERVERS])
		return;
	if (!removed)
		g->feed_handlers->list(g, FEED_SERVERS, false);
	for (size_t i = 0; i < jcheck_array_length(list); i++)
		apply_server(g, json_object_array_get_idx(list, i));
	for (size_t i = 0; i < jcheck_array_length(removed); i++)
		g->feed_handlers->server_removed(
			g,
			json_object_get_string(
				json_object_array_get_idx(removed, i)),
			complete_revision);
	if (!removed)
		g->feed_handlers->list(g, FEED_SERVERS, true);
	raise_latest_change(g, FEED_SERVERS, response, "servers_changed");
	advance(g, FEED_SERVERS, complete_revision);
}

static void apply_rollouts(struct gateway_state *g,
			   struct json_object *response)
{
	struct json_object *list = jcheck_get(response, "rollouts");
	uint64_t complete_revision =
		(uint64_t)jcheck_get_int(response, "rollouts_as_of", 0);

	if (!list || complete_revision <= g->complete_revision[FEED_ROLLOUTS])
		return;
	g->feed_handlers->list(g, FEED_ROLLOUTS, false);
	for (size_t i = 0; i < jcheck_array_length(list); i++) {
		struct json_object *o = json_object_array_get_idx(list, i);
		const struct feed_rollout order = {
			.service = jcheck_get_string(o, "service", NULL),
			.target = jcheck_get_string(o, "target", NULL),
			.time_limit_ms =
				(uint32_t)jcheck_get_int(o, "over_ms", 0),
			.state = (enum feed_rollout_state)CLAMP(
				jcheck_get_int(o, "state", 0), 0,
				FEED_ROLLOUT_REVERTED),
			.revision = (uint64_t)jcheck_get_int(o, "revision", 0),
		};

		if (order.service && order.target)
			g->feed_handlers->rollout(g, &order);
	}
	g->feed_handlers->list(g, FEED_ROLLOUTS, true);
	raise_latest_change(g, FEED_ROLLOUTS, response, "rollouts_changed");
	advance(g, FEED_ROLLOUTS, complete_revision);
}

static void apply_evacuations(struct gateway_state *g,
			      struct json_object *response)
{
	struct json_object *list = jcheck_get(response, "evacuations");
	g_autoptr(GPtrArray) zones = g_ptr_array_new();

	if (!list)
		return;
	for (size_t i = 0; i < jcheck_array_length(list); i++) {
		struct json_object *zone = json_object_array_get_idx(list, i);

		if (json_object_is_type(zone, json_type_string))
			g_ptr_array_add(zones,
					(char *)json_object_get_string(zone));
	}
	gateway_hear_evacuations(
		g, zones,
		(uint64_t)jcheck_get_int(response, "evacuations_as_of", 0));
}

static void apply_response(struct peer_state *t)
{
	struct gateway_state *g = t->g;
	struct json_object *response = json_tokener_parse(t->body->str);
	struct json_object *config = take_config(response);
	uint64_t before = g->routes ? g->routes->revision : 0;

	if (config)
		g->feed_handlers->config(
			g, config,
			(uint64_t)jcheck_get_int(config, "revision", 0));
	if (jcheck_get(response, "config_as_of") && g->routes)
		advance(g, FEED_CONFIG,
			(uint64_t)jcheck_get_int(response, "config_as_of", 0));
	apply_servers(g, response);
	apply_rollouts(g, response);
	apply_evacuations(g, response);
	if (config)
		log_event(LOG_EVENT_STATE_FROM_PEER,
			  "from=%s config_before=%" G_GUINT64_FORMAT
			  " config=%" G_GUINT64_FORMAT,
			  t->address, before,
			  g->routes ? g->routes->revision : 0);
	json_object_put(config);
	json_object_put(response);
}

static void on_head(void *user, const struct http_client_head *head)
{
	((struct peer_state *)user)->status = head->status;
}

static void on_data(void *user, const char *data, size_t len)
{
	struct peer_state *t = user;

	if (t->body->len + len <= MAX_RESPONSE_BYTES)
		g_string_append_len(t->body, data, (gssize)len);
}

static void on_done(void *user, enum http_client_outcome end)
{
	struct peer_state *t = user;

	t->call = NULL;
	if (end == HTTP_CLIENT_COMPLETE && t->status == 200)
		apply_response(t);
}

static const struct http_client_callbacks events = {on_head, on_data, on_done};

/*
 * Requests the state of the node at an IP address (host byte order). Does
 * nothing while a response is pending or within REQUEST_INTERVAL_MS of the
 * last request.
 */
void peer_state_request(struct peer_state *t, uint64_t now, uint32_t ip)
{
	struct gateway_state *g = t->g;
	const char *colon = strrchr(g->settings->operator_address, ':');
	struct in_addr in = {.s_addr = htonl(ip)};
	char text[INET_ADDRSTRLEN];
	g_autofree char *headers = g_strdup_printf(
		RELAY_CLUSTER_KEY_HEADER ": %s\r\n", g->settings->cluster_key);
	g_autofree char *path = g_strdup_printf(
		PEER_STATE_PATH
		"?config=%" G_GUINT64_FORMAT "&servers=%" G_GUINT64_FORMAT
		"&rollouts=%" G_GUINT64_FORMAT CHANGES_ONLY_PARAM ERAS_PARAM
			PACKED_PARAM,
		g->routes ? g->routes->revision : 0,
		g->complete_revision[FEED_SERVERS],
		g->complete_revision[FEED_ROLLOUTS]);
	g_autofree char *full_path =
		g->reads_evacuations
			? g_strdup_printf("%s" EVACUATIONS_PARAM
					  "%" G_GUINT64_FORMAT,
					  path, g->servers.evacuations.revision)
			: g_strdup(path);
	struct http_client_request req = {
		.address = t->address,
		.method = "GET",
		.path = full_path,
		.headers = headers,
		.omit_content_length = true,
		.new_connection = true, /* its answer names no call */
		.connect_ms = RESPONSE_PROGRESS_MS,
		.progress_ms = RESPONSE_PROGRESS_MS,
		.total_ms = RESPONSE_TOTAL_MS,
	};

	if (t->call || now - t->requested_at < REQUEST_INTERVAL_MS)
		return;
	t->requested_at = now;
	inet_ntop(AF_INET, &in, text, sizeof(text));
	snprintf(t->address, sizeof(t->address), "%s%s", text, colon);
	g_string_truncate(t->body, 0);
	t->status = 0;
	t->call = http_client_start(g->http, &req, &events, t);
}

static void on_members_head(void *user, const struct http_client_head *head)
{
	((struct peer_state *)user)->members_status = head->status;
}

static void on_members_data(void *user, const char *data, size_t len)
{
	struct peer_state *t = user;

	if (t->members_body->len + len <= MAX_RESPONSE_BYTES)
		g_string_append_len(t->members_body, data, (gssize)len);
}

static void on_members_done(void *user, enum http_client_outcome end)
{
	struct peer_state *t = user;
	struct json_object *response;

	t->members_call = NULL;
	if (end != HTTP_CLIENT_COMPLETE || t->members_status != 200)
		return;
	response = json_tokener_parse(t->members_body->str);
	if (json_object_is_type(response, json_type_object))
		member_transfer_on_answer(
			&t->members, gateway_now(t->g),
			fleet_task_learn_members(
				t->g->fleet, jcheck_get(response, "members")),
			fleet_task_live_count(t->g->fleet));
	json_object_put(response);
}

/* Returns whether nearly all members of the fleet are known, by what others answer. */
bool peer_state_knows_members(const struct peer_state *t)
{
	return member_transfer_is_complete(&t->members);
}

static const struct http_client_callbacks members_events = {
	on_members_head, on_members_data, on_members_done};

/* Asks a random node for its members, if that is due. */
static void request_members(struct peer_state *t, uint64_t now)
{
	struct gateway_state *g = t->g;
	const char *colon = strrchr(g->settings->operator_address, ':');
	char text[INET_ADDRSTRLEN], address[32];
	struct in_addr in;
	g_autofree char *headers = g_strdup_printf(
		RELAY_CLUSTER_KEY_HEADER ": %s\r\n", g->settings->cluster_key);
	g_autofree char *path = g_strdup_printf(
		PEER_MEMBERS_PATH "?digest=%" G_GUINT64_FORMAT,
		member_transfer_digest(fleet_task_members(g->fleet)));
	struct http_client_request req = {
		.address = address,
		.method = "GET",
		.path = path,
		.headers = headers,
		.omit_content_length = true,
		.new_connection = true, /* its answer names no call */
		.connect_ms = RESPONSE_PROGRESS_MS,
		.progress_ms = RESPONSE_PROGRESS_MS,
		.total_ms = RESPONSE_TOTAL_MS,
	};
	uint32_t ip;

	if (t->members_call || !member_transfer_is_due(&t->members, now))
		return;
	ip = fleet_task_random_ip(g->fleet, &g->rng);
	if (!ip)
		return;
	member_transfer_on_asked(&t->members, now);
	in.s_addr = htonl(ip);
	inet_ntop(AF_INET, &in, text, sizeof(text));
	snprintf(address, sizeof(address), "%s%s", text, colon);
	g_string_truncate(t->members_body, 0);
	t->members_status = 0;
	t->members_call = http_client_start(g->http, &req, &members_events, t);
}

static bool is_source_lost(const struct gateway_state *g, uint64_t now)
{
	for (int i = 0; i < FEED_TOPIC_COUNT; i++)
		if ((g->lost_at[i] && now - g->lost_at[i] >= LOST_TOLERANCE_MS))
			return true;
	return false;
}

/*
 * Requests the members of random other nodes; while the source is lost, their
 * state.
 */
void peer_state_tick(struct peer_state *t, uint64_t now)
{
	uint32_t ip;

	request_members(t, now);
	if (!is_source_lost(t->g, now))
		return;
	ip = fleet_task_random_ip(t->g->fleet, &t->g->rng);
	if (ip)
		peer_state_request(t, now, ip);
}

/*
 * Handles the news that the node at `ip` has a later revision of a topic:
 * requests its state, and reads the source again, at most once per
 * REFRESH_INTERVAL_MS, since the watch may have missed the change. A lost
 * source is not read.
 */
void peer_state_on_newer(struct peer_state *t, uint64_t now, uint32_t ip,
			 enum feed_topic topic)
{
	peer_state_request(t, now, ip);
	if (t->g->lost_at[topic] ||
	    now - t->refreshed_at[topic] < REFRESH_INTERVAL_MS)
		return;
	t->refreshed_at[topic] = now;
	platform_feed_refresh(t->g->feed, topic);
}
