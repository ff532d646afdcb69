#include "fleet/fleet-task.h"

#include <arpa/inet.h>
#include <string.h>
#include <time.h>
#include <uv.h>

#include "daemon/gateway.h"
#include "daemon/version.h"
#include "exchange/peer-limits.h"
#include "fleet/builds.h"
#include "fleet/evacuation-task.h"
#include "fleet/findings-task.h"
#include "fleet/load-plan.h"
#include "fleet/member-transfer.h"
#include "fleet/peer-news.h"
#include "fleet/rank.h"
#include "fleet/source-follow.h"
#include "fleet/state-task.h"
#include "fleet/tenure.h"
#include "fleet/watch-plan.h"
#include "http/address.h"
#include "log-event.h"
#include "member/peer-task.h"
#include "platform/feed-task.h"
#include "rollout/shift-task.h"
#include "wire/codec.h"
#include "wire/fleet-codec.h"

#define JOIN_INTERVAL_MS 500
#define SEED_INTERVAL_MS 2000 /* once enough nodes are known */
/* After the start, the node makes itself known to all that it knows. */
#define ANNOUNCE_PERIOD_MS 10000
#define ANNOUNCE_FANOUT 24 /* nodes told in one tick */
#define IDLE_TICKS 5 /* ticks skipped between load messages without a load */
#define MAX_BEHIND_MS 500 /* then the state of a peer that knows more is read */
#define SOURCE_STATUS_INTERVAL_MS 200
#define WATCH_ROLE "watch" /* nodes that watch the source, by rank */
#define LIMIT_FANOUT 16 /* nodes that servers' limits are sent to */
#define BRITTLE_RANK_INTERVAL_MS 1000
#define COLD_RANK_INTERVAL_MS 1000
#define MS_PER_S 1000
#define EVALUATORS 2 /* nodes that get a roll-out's reports, by rank */

struct fleet_task {
	struct gateway_state *g;
	struct member_table members;
	struct member_addr self; /* address of this node */
	uv_udp_t socket;
	uint8_t received[PEER_WIRE_MAX_BYTES];
	uint64_t next_join_at; /* ms, as all times here */
	uint64_t next_report_at;
	bool sent_load; /* the last load message held at least one */
	uint64_t sent_changed[FEED_TOPIC_COUNT]; /* in that message */
	uint32_t idle_ticks; /* since that message */
	uint32_t load_ticks; /* since that message, idle or not */
	GHashTable *zone_peers; /* set of names: nodes in this node's zone */
	struct tenure tenure;
	struct builds_watch builds;
	uint64_t ticked_at; /* ms */
	uint64_t next_brittle_at; /* ranks for brittle servers are set anew */
	struct watch_plan watch_plan;
	struct watch_role watch_role;
	uint64_t lower_status_at; /* last source status of a lower rank */
	uint64_t next_source_status_at;
	bool sends_source_status; /* as last logged */
	struct source_follow follow;
	uint64_t next_cold_at; /* ranks for cold servers are set anew */
	struct evacuation_task evacuations;
	struct findings_task *findings;
	struct peer_news news[FEED_TOPIC_COUNT];
	bool logged_behind[FEED_TOPIC_COUNT];
	struct peer_task_logged_counts logged; /* last logged */
};

/* Sends a message to a node's address. */
void fleet_task_send(struct fleet_task *t, struct member_addr to,
		     const uint8_t *bytes, size_t len)
{
	peer_task_send(&t->socket, &t->g->counter_set, to, bytes, len);
}

static void send_all(struct fleet_task *t, GArray *out)
{
	peer_task_send_all(&t->socket, &t->g->counter_set,
			   t->g->settings->cluster_key, out);
}

/* Passes what is known of the configuration's head on to the messages. */
static void update_config_head(struct fleet_task *t, uint64_t now)
{
	const struct gateway_state *g = t->g;

	member_set_config_head(&t->members, g->routes ? g->routes->revision : 0,
			       now, g->routes && !g->lost_at[FEED_CONFIG],
			       g->lost_at[FEED_CONFIG] != 0);
}

/* Reads the address of a seed; returns false if it is malformed or this node's. */
static bool parse_seed(const struct fleet_task *t, const char *text,
		       struct member_addr *addr)
{
	struct sockaddr_in sa;

	if (!address_parse(text, &sa, NULL))
		return false;
	*addr = t->self;
	addr->ip = ntohl(sa.sin_addr.s_addr);
	return addr->ip != t->self.ip;
}

static char **split_seeds(const struct fleet_task *t)
{
	const char *seeds = t->g->settings->seeds;

	return g_strsplit(seeds ? seeds : "", ",", -1);
}

/* Asks the seeds, right after the start, what the node must know to serve. */
void fleet_task_ask_seeds(struct fleet_task *t)
{
	g_auto(GStrv) list = split_seeds(t);
	struct member_addr addr;

	for (char **s = list; *s; s++)
		if (parse_seed(t, *s, &addr))
			findings_task_on_contact(t->findings, addr);
}

/*
 * Pings the seed addresses of the settings at which no node is known to be alive:
 * often until as many members are alive as there are seeds, and seldom after that. A
 * seed that has left and started again may know other nodes only.
 */
static void ping_seeds(struct fleet_task *t, uint64_t now)
{
	g_auto(GStrv) list = split_seeds(t);
	struct member_addr addr;
	GArray *out;

	if (now < t->next_join_at)
		return;
	t->next_join_at = now + JOIN_INTERVAL_MS;
	if (member_count(&t->members, MEMBER_ALIVE) >= g_strv_length(list))
		t->next_join_at = now + SEED_INTERVAL_MS;
	out = peer_task_new_datagrams();
	for (char **s = list; *s; s++)
		if (parse_seed(t, *s, &addr) &&
		    !member_is_alive_at(&t->members, addr))
			member_ping_address(&t->members, now, addr, out);
	send_all(t, out);
}

static struct rank_view live_nodes(const struct fleet_task *t)
{
	const struct rank_view v = {
		.members = t->members.members,
		.self = t->g->settings->node,
	};

	return v;
}

/*
 * Returns how many live nodes come before this one for a role; the nodes of the
 * lowest ranks perform it.
 */
uint32_t fleet_task_rank(const struct fleet_task *t, const char *role)
{
	const struct rank_view v = live_nodes(t);

	return rank_of_self(&v, role);
}

/*
 * Returns whether this node coordinates a role: it comes first, and stays. The others
 * leave out a node that leaves, and send it nothing that the role needs.
 */
bool fleet_task_coordinates(const struct fleet_task *t, const char *role)
{
	return !t->g->draining && !fleet_task_rank(t, role);
}

/* Returns whether this node gets the reports of the others for a role. */
bool fleet_task_gets_reports(const struct fleet_task *t, const char *role)
{
	return !t->g->draining && fleet_task_rank(t, role) < EVALUATORS;
}

/* Returns the number of nodes alive or suspect, including this one. */
uint32_t fleet_task_live_count(const struct fleet_task *t)
{
	const struct rank_view v = live_nodes(t);

	return rank_count_nodes(&v);
}

/*
 * Returns whether this node knows no other live one though the settings name some.
 * It can't tell whether these serve requests, and act for all as well.
 */
bool fleet_task_is_isolated(const struct fleet_task *t)
{
	g_auto(GStrv) list = split_seeds(t);
	struct member_addr addr;

	if (fleet_task_live_count(t) > 1)
		return false;
	for (char **s = list; *s; s++)
		if (parse_seed(t, *s, &addr))
			return true;
	return false;
}

static void send_to_evaluators(struct fleet_task *t, const char *role,
			       const uint8_t *bytes, size_t len)
{
	const struct member_entry *first[EVALUATORS];
	const struct rank_view v = live_nodes(t);
	uint32_t n = rank_find_first(&v, role, first, EVALUATORS);

	for (uint32_t i = 0; i < n; i++)
		fleet_task_send(t, first[i]->info.addr, bytes, len);
}

/* Returns whether a member serves requests, as far as this node knows. */
static bool may_serve(const struct fleet_task *t, const struct member_entry *m)
{
	double grace_ms = t->g->settings->grace_s * MS_PER_S;

	switch (m->info.state) {
	case MEMBER_ALIVE:
	case MEMBER_SUSPECT:
		return true;
	case MEMBER_LEAVING:
		return (double)(gateway_now(t->g) - m->changed_at) < grace_ms;
	case MEMBER_DEAD:
		break;
	}
	return false;
}

/*
 * Appends the names of the members that may serve requests to `names`. They are valid
 * until the loop goes on.
 */
void fleet_task_list_serving(const struct fleet_task *t, GPtrArray *names)
{
	const GArray *members = t->members.members;

	for (guint i = 0; i < members->len; i++) {
		struct member_entry *m =
			&g_array_index(members, struct member_entry, i);

		if (may_serve(t, m))
			g_ptr_array_add(names, m->info.name);
	}
}

/*
 * Sends a message to all members that serve requests; those that leave do so until
 * their time to stop is over.
 */
void fleet_task_send_to_all(struct fleet_task *t, const uint8_t *bytes,
			    size_t len)
{
	const GArray *members = t->members.members;

	for (guint i = 0; i < members->len; i++) {
		const struct member_entry *m =
			&g_array_index(members, struct member_entry, i);

		if (may_serve(t, m))
			fleet_task_send(t, m->info.addr, bytes, len);
	}
}

static void send_report(struct fleet_task *t, const struct traffic_shift *s,
			uint64_t now)
{
	uint8_t bytes[PEER_WIRE_MAX_BYTES];
	struct fleet_wire_report r;
	size_t len;

	shift_task_fill_report(t->g->shifts, s, now, &r);
	len = fleet_wire_encode_report(&r, t->g->settings->cluster_key, bytes,
				       sizeof(bytes));
	send_to_evaluators(t, s->service, bytes, len);
}

/* Sends the plan to all members, or only to the evaluators. */
static void send_plan(struct fleet_task *t, const struct traffic_shift *s,
		      uint64_t now, bool to_all)
{
	uint8_t bytes[PEER_WIRE_MAX_BYTES];
	struct fleet_wire_plan p = {.plan = s->plan};
	size_t len;

	p.plan.age_ms = shift_age_ms(s, now);
	g_strlcpy(p.node, t->g->settings->node, sizeof(p.node));
	g_strlcpy(p.service, s->service, sizeof(p.service));
	g_strlcpy(p.target, s->target, sizeof(p.target));
	len = fleet_wire_encode_plan(&p, t->g->settings->cluster_key, bytes,
				     sizeof(bytes));
	if (to_all)
		fleet_task_send_to_all(t, bytes, len);
	else
		send_to_evaluators(t, s->service, bytes, len);
}

/*
 * Sends this node's counts of each open roll-out to its evaluators. The
 * coordinator sends its plan to all; any other node that has reverted the roll-out,
 * or whose plan the coordinator has lost, sends that to the evaluators.
 */
static void send_shift_state(struct fleet_task *t, uint64_t now)
{
	if (now < t->next_report_at)
		return;
	t->next_report_at = now + SHIFT_REPORT_INTERVAL_MS;
	for (uint32_t i = 0; i < shift_task_count(t->g->shifts); i++) {
		const struct traffic_shift *s = shift_task_get(t->g->shifts, i);

		if (!shift_task_is_open(t->g->shifts, i))
			continue;
		send_report(t, s, now);
		if (fleet_task_coordinates(t, s->service))
			send_plan(t, s, now, true);
		else if (s->plan.state == SHIFT_REVERTED || shift_is_ahead(s))
			send_plan(t, s, now, false);
	}
}

/* Sends all members the sessions to record for each roll-out. */
static void send_sessions(struct fleet_task *t)
{
	struct fleet_wire_sessions s;

	for (uint32_t i = 0; i < shift_task_count(t->g->shifts); i++) {
		uint8_t bytes[PEER_WIRE_MAX_BYTES];

		if (shift_task_take_sessions(t->g->shifts, i, &s))
			fleet_task_send_to_all(
				t, bytes,
				fleet_wire_encode_sessions(
					&s, t->g->settings->cluster_key, bytes,
					sizeof(bytes)));
	}
}

/* Logs that this node begins or ceases to send source statuses. */
static void log_source_status(struct fleet_task *t, uint64_t now, bool sends)
{
	const struct gateway_state *g = t->g;
	uint64_t answered_at = g->answered_at[FEED_CONFIG];

	if (sends == t->sends_source_status)
		return;
	t->sends_source_status = sends;
	log_event(
		LOG_EVENT_SOURCE_STATUS,
		"sends=%d announces=%d lost=%d answer_age_ms=%" G_GINT64_FORMAT,
		sends, t->watch_role.announces, gateway_source_is_lost(g),
		answered_at ? (gint64)(now - answered_at) : -1);
}

/*
 * Sends to all which changes this node's source reported, if its role is to.
 * Sends nothing unless the source answers on all topics, and did so lately.
 */
static void send_source_status(struct fleet_task *t, uint64_t now)
{
	const struct gateway_state *g = t->g;
	uint8_t bytes[PEER_WIRE_MAX_BYTES];
	struct fleet_wire_source s = {.servers =
					      server_table_digest(&g->servers)};
	bool sends = t->watch_role.announces && t->watch_role.vouches &&
		     gateway_has_read_source(g) && !gateway_source_is_lost(g);

	log_source_status(t, now, sends);
	if (!sends || now < t->next_source_status_at)
		return;
	t->next_source_status_at = now + SOURCE_STATUS_INTERVAL_MS;
	memcpy(s.changed, g->latest_revision, sizeof(s.changed));
	g_strlcpy(s.node, g->settings->node, sizeof(s.node));
	fleet_task_send_to_all(
		t, bytes,
		fleet_wire_encode_source(&s, g->settings->cluster_key, bytes,
					 sizeof(bytes)));
}

/*
 * Returns the latest change of a topic that this node knows of, or the
 * revision up to which its source reported all changes if that is later: an
 * object that was changed and then removed is in no list. Configurations are
 * never removed, and have revisions of their own, not the source's.
 */
static uint64_t latest_known_change(const struct gateway_state *g,
				    enum feed_topic topic)
{
	if (topic == FEED_CONFIG)
		return g->latest_revision[topic];
	return MAX(g->latest_revision[topic], g->complete_revision[topic]);
}

static void fill_known_changes(const struct gateway_state *g, uint64_t *known)
{
	for (int i = 0; i < FEED_TOPIC_COUNT; i++)
		known[i] = latest_known_change(g, (enum feed_topic)i);
}

/* Decides anew whether this node watches the source; see fleet/watch-plan.h. */
static void update_watch_role(struct fleet_task *t, uint64_t now)
{
	uint64_t known[FEED_TOPIC_COUNT];
	struct watch_plan_view view = {
		.live = fleet_task_live_count(t),
		.rank = fleet_task_rank(t, WATCH_ROLE),
		.has_read = gateway_has_read_source(t->g),
		.source_answers = !gateway_source_is_lost(t->g),
		.status_at = t->follow.status_at,
		.lower_status_at = t->lower_status_at,
		.answered_at = t->g->answered_at[FEED_CONFIG],
	};
	bool was_confirming = t->watch_role.confirms;

	fill_known_changes(t->g, known);
	view.caught_up =
		source_follow_is_caught_up(&t->follow, now, known) &&
		!(source_follow_hears_status(&t->follow, now) &&
		  evacuation_task_is_uninformed(&t->evacuations, t->g, now));
	t->watch_role = watch_plan_decide(&t->watch_plan, now, &view);
	platform_feed_set_watchers(
		t->g->feed, t->watch_role.watchers, view.rank,
		t->watch_role.leads ? WATCH_PLAN_ANSWER_INTERVAL_MS : 0);
	platform_feed_set_backoff(t->g->feed, t->watch_role.retry_min_ms,
				  t->watch_role.retry_max_ms);
	if (!t->watch_role.watches)
		gateway_set_followed_source(t->g, t->watch_role.source_lost);
	platform_feed_pause(t->g->feed, !t->watch_role.watches);
	if (t->watch_role.confirms && !was_confirming)
		platform_feed_confirm(t->g->feed);
}

/* Sends a message to so many live members, starting at a random one. */
void fleet_task_send_to_some(struct fleet_task *t, uint32_t fanout,
			     const uint8_t *bytes, size_t len)
{
	const GArray *members = t->members.members;
	uint32_t left = fanout;
	guint start = members->len ? rng_below(&t->g->rng, members->len) : 0;

	for (guint i = 0; i < members->len && left; i++) {
		const struct member_entry *m =
			&g_array_index(members, struct member_entry,
				       (start + i) % members->len);

		if (m->info.state != MEMBER_ALIVE)
			continue;
		fleet_task_send(t, m->info.addr, bytes, len);
		left--;
	}
}

/* Sends a message to live members as planned, from a random one on. */
static void send_by_plan(struct fleet_task *t, struct load_plan left,
			 const uint8_t *bytes, size_t len)
{
	const GArray *members = t->members.members;
	guint start = members->len ? rng_below(&t->g->rng, members->len) : 0;

	load_plan_limit_own_zone(&left, g_hash_table_size(t->zone_peers));
	for (guint i = 0; i < members->len && left.own_zone + left.others;
	     i++) {
		const struct member_entry *m =
			&g_array_index(members, struct member_entry,
				       (start + i) % members->len);

		if (m->info.state == MEMBER_ALIVE &&
		    load_plan_take(&left, g_hash_table_contains(t->zone_peers,
								m->info.name)))
			fleet_task_send(t, m->info.addr, bytes, len);
	}
}

/* Returns whether the node's loads are to be sent in this tick. */
static bool loads_are_due(struct fleet_task *t, const struct load_plan *plan,
			  const struct fleet_wire_loads *l, bool any)
{
	bool changed =
		memcmp(t->sent_changed, l->changed, sizeof(l->changed)) != 0;

	t->load_ticks++;
	if (!t->members.members->len)
		return false;
	if (changed)
		return true;
	if (!any && !t->sent_load && t->idle_ticks++ < IDLE_TICKS)
		return false;
	return t->load_ticks >= plan->interval_ticks;
}

/*
 * Sends the load that this node puts on the servers to some live members, as the
 * size of the fleet allows. Without a load it sends more seldom; the message
 * still says which changes this node knows, at once if these are new.
 */
static void send_loads(struct fleet_task *t)
{
	uint8_t bytes[PEER_WIRE_MAX_BYTES];
	struct fleet_wire_loads l;
	bool any = peer_loads_report(&t->g->servers, t->g->settings->node, &l);
	struct load_plan plan = load_plan_for(fleet_task_live_count(t));
	size_t len;

	peer_loads_set_interval(&t->g->peer_loads, plan.interval_ticks);
	g_strlcpy(l.zone, t->g->settings->zone, sizeof(l.zone));
	for (int i = 0; i < FLEET_WIRE_TOPICS; i++)
		l.changed[i] = t->g->latest_revision[i];
	if (!loads_are_due(t, &plan, &l, any))
		return;
	t->sent_load = any;
	t->idle_ticks = 0;
	t->load_ticks = 0;
	memcpy(t->sent_changed, l.changed, sizeof(l.changed));
	len = fleet_wire_encode_loads(&l, t->g->settings->cluster_key, bytes,
				      sizeof(bytes));
	send_by_plan(t, plan, bytes, len);
}

/* Sends what servers have said to this node of their limits. */
static void send_limits(struct fleet_task *t, uint64_t now)
{
	uint8_t bytes[PEER_WIRE_MAX_BYTES];
	struct fleet_wire_limits l;

	if (!peer_limits_report(&t->g->servers, now, t->g->settings->node, &l))
		return;
	fleet_task_send_to_some(
		t, LIMIT_FANOUT, bytes,
		fleet_wire_encode_limits(&l, t->g->settings->cluster_key, bytes,
					 sizeof(bytes)));
}

/*
 * The nodes that divide the slots of brittle servers. A node that has died or left
 * counts for a while: its requests may still run, and if it was only cut off or
 * paused it goes on.
 */
static struct rank_view slot_sharers(const struct fleet_task *t, uint64_t now)
{
	struct rank_view v = live_nodes(t);

	v.now = now;
	v.hold_ms = TENURE_HOLD_MS;
	return v;
}

static struct tenure_view view_of_others(const struct fleet_task *t)
{
	const struct tenure_view v = {
		.is_complete = peer_state_knows_members(t->g->peer_state),
		.is_alone = fleet_task_live_count(t) == 1,
	};

	return v;
}

/* Sets this node's share of the slots of each brittle server. */
static void divide_slots(struct fleet_task *t, uint64_t now)
{
	const GPtrArray *servers = t->g->servers.all;
	const struct rank_view v = slot_sharers(t, now);
	const struct tenure_view others = view_of_others(t);
	bool may_share = tenure_is_valid(&t->tenure, now, &others);
	bool all = now >= t->next_brittle_at;
	uint32_t nodes = 0;

	if (all)
		t->next_brittle_at = now + BRITTLE_RANK_INTERVAL_MS;
	for (guint i = 0; i < servers->len; i++) {
		struct server_record *s = servers->pdata[i];

		if (!brittle_is_in_force(&s->brittle) ||
		    (s->brittle.ranked && !all))
			continue;
		if (!nodes)
			nodes = rank_count_nodes(&v);
		brittle_set_rank(&s->brittle,
				 may_share ? rank_of_self(&v, s->id) : nodes,
				 nodes, s->slots);
	}
}

/* Divides the limit of each server that names one between a few live nodes. */
static void divide_limits(struct fleet_task *t)
{
	const GPtrArray *servers = t->g->servers.all;
	uint32_t nodes = fleet_task_live_count(t);

	for (guint i = 0; i < servers->len; i++) {
		struct server_record *s = servers->pdata[i];

		if (s->limit.per_s > 0)
			rate_limit_set_rank(&s->limit,
					    fleet_task_rank(t, s->id), nodes);
	}
}

/* Logs, once each, that the server counts as cold and that it does not any more. */
static void log_cold(struct server_record *s, uint64_t now, bool cold)
{
	if (s->cold.logged == cold)
		return;
	s->cold.logged = cold;
	if (!cold) {
		log_event(LOG_EVENT_SERVER_WARM, "server=%s", s->id);
		return;
	}
	log_event(LOG_EVENT_SERVER_COLD,
		  "server=%s service=%s known=%d left_ms=%u most=%u "
		  "spacing_ms=%u",
		  s->id, s->service, cold_is_known(&s->cold, now),
		  cold_left_ms(&s->cold, now), s->cold.rule.max_requests,
		  s->cold.spacing_ms);
}

/*
 * Sets this node's part of the requests of each server that counts as cold. All
 * members count that are still known, also dead ones: a node that is cut off must
 * not take the parts of those that it does not see.
 */
static void divide_cold(struct fleet_task *t, uint64_t now)
{
	const GPtrArray *servers = t->g->servers.all;
	struct rank_view v = live_nodes(t);
	const struct tenure_view others = view_of_others(t);
	bool may_share = tenure_is_valid(&t->tenure, now, &others) &&
			 !fleet_task_is_isolated(t);
	bool all = now >= t->next_cold_at;

	v.now = now;
	v.hold_ms = UINT64_MAX;
	if (all)
		t->next_cold_at = now + COLD_RANK_INTERVAL_MS;
	for (guint i = 0; i < servers->len; i++) {
		struct server_record *s = servers->pdata[i];
		bool cold = s->state == SERVER_READY &&
			    cold_is_in_force(&s->cold, now);
		uint32_t nodes;

		if (!cold) {
			cold_clear_rank(&s->cold);
		} else if (!s->cold.ranked || all) {
			nodes = rank_count_nodes(&v);
			cold_set_rank(&s->cold,
				      may_share ? rank_of_self(&v, s->id)
						: nodes,
				      nodes);
		}
		log_cold(s, now, cold);
	}
}

/* Sets this node's shares of servers that have just been found to be brittle. */
void fleet_task_on_brittle(struct fleet_task *t, uint64_t now)
{
	divide_slots(t, now);
}

/*
 * Handles a pause of the process that has just ended after `ms`, of which the clock
 * of `now` may not have counted all: others may have taken over its shares meanwhile.
 */
void fleet_task_on_pause(struct fleet_task *t, uint64_t now, uint64_t ms)
{
	uint64_t counted = now - t->ticked_at;
	const struct tenure_view v = view_of_others(t);

	tenure_on_heard(&t->tenure, t->members.heard_at);
	tenure_on_pause(&t->tenure, now, ms > counted ? ms - counted : 0, &v);
	t->next_brittle_at = now;
	divide_slots(t, now);
}

static void log_builds(struct fleet_task *t, uint64_t now)
{
	struct builds_summary s;

	if (now < t->builds.next_at)
		return;
	builds_count(&t->members, &s);
	if (builds_watch_update(&t->builds, now, &s)) {
		g_autofree char *text = builds_to_text(&s);

		log_event(LOG_EVENT_BUILDS, "mixed=%s builds=%s protocol=%u",
			  t->builds.is_mixed ? "yes" : "no", text, s.protocol);
	}
}

/*
 * Runs the timers and sends the periodic messages. Call it every
 * MEMBER_ACK_TIMEOUT_MS / 2 ms.
 */
void fleet_task_tick(struct fleet_task *t, uint64_t now)
{
	GArray *out = peer_task_new_datagrams();

	t->ticked_at = now;
	update_config_head(t, now);
	member_tick(&t->members, now, out);
	tenure_on_heard(&t->tenure, t->members.heard_at);
	if (now - t->g->started_at < ANNOUNCE_PERIOD_MS)
		member_announce(&t->members, ANNOUNCE_FANOUT, out);
	send_all(t, out);
	ping_seeds(t, now);
	send_shift_state(t, now);
	send_sessions(t);
	send_loads(t);
	send_limits(t, now);
	findings_task_tick(t->findings, now);
	divide_limits(t);
	divide_slots(t, now);
	divide_cold(t, now);
	send_source_status(t, now);
	update_watch_role(t, now);
	evacuation_task_tick(&t->evacuations, t->g, t, now,
			     t->watch_role.announces);
	peer_task_log_changes(&t->members, &t->logged);
	log_builds(t, now);
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct fleet_task *t = handle->data;

	(void)size;
	*buf = uv_buf_init((char *)t->received, sizeof(t->received));
}

static void on_member_message(struct fleet_task *t, const uint8_t *bytes,
			      size_t len)
{
	struct gateway_state *g = t->g;
	struct member_msg msg;
	struct member_head_report head;
	uint64_t now = gateway_now(g);
	GArray *out;

	if (peer_wire_decode(bytes, len, g->settings->cluster_key, &msg) !=
	    PEER_WIRE_OK) {
		counter_add(&g->counter_set, COUNTER_PEER_BAD, 1);
		return;
	}
	out = peer_task_new_datagrams();
	update_config_head(t, now);
	head = member_on_message(&t->members, now, &msg, out);
	send_all(t, out);
	findings_task_on_contact(t->findings, msg.from.addr);
	if (head.revision > (g->routes ? g->routes->revision : 0))
		peer_state_on_newer(g->peer_state, now, msg.from.addr.ip,
				    FEED_CONFIG);
}

/* Returns the task that tells what nodes have found out. */
const struct findings_task *fleet_task_findings(const struct fleet_task *t)
{
	return t->findings;
}

/* Returns the table of members; it changes when the loop goes on. */
const struct member_table *fleet_task_members(const struct fleet_task *t)
{
	return &t->members;
}

/*
 * Adds the members that another node has sent, and pings those that watch the
 * source, so that they know this node and send it their status. Returns how
 * many were added.
 */
uint32_t fleet_task_learn_members(struct fleet_task *t,
				  struct json_object *list)
{
	uint64_t now = gateway_now(t->g);
	uint32_t added = member_transfer_apply(&t->members, now, list);
	const struct member_entry *first[WATCH_PLAN_WATCHERS];
	const struct rank_view v = live_nodes(t);
	uint32_t n =
		rank_find_first(&v, WATCH_ROLE, first, WATCH_PLAN_WATCHERS);
	GArray *out = peer_task_new_datagrams();

	for (uint32_t i = 0; i < n; i++)
		member_ping_address(&t->members, now, first[i]->info.addr, out);
	send_all(t, out);
	return added;
}

static void on_report(struct fleet_task *t, const uint8_t *bytes, size_t len)
{
	struct fleet_wire_report r;

	if (fleet_wire_decode_report(bytes, len, t->g->settings->cluster_key,
				     &r) != PEER_WIRE_OK)
		counter_add(&t->g->counter_set, COUNTER_PEER_BAD, 1);
	else
		shift_task_on_report(t->g->shifts, gateway_now(t->g), &r);
}

static void on_plan(struct fleet_task *t, const uint8_t *bytes, size_t len)
{
	struct fleet_wire_plan p;

	if (fleet_wire_decode_plan(bytes, len, t->g->settings->cluster_key,
				   &p) != PEER_WIRE_OK)
		counter_add(&t->g->counter_set, COUNTER_PEER_BAD, 1);
	else
		shift_task_on_plan(t->g->shifts, gateway_now(t->g), &p);
}

static void on_sessions(struct fleet_task *t, const uint8_t *bytes, size_t len)
{
	struct fleet_wire_sessions s;

	if (fleet_wire_decode_sessions(bytes, len, t->g->settings->cluster_key,
				       &s) != PEER_WIRE_OK)
		counter_add(&t->g->counter_set, COUNTER_PEER_BAD, 1);
	else
		shift_task_on_sessions(t->g->shifts, gateway_now(t->g), &s);
}

static uint32_t ip_of(const struct sockaddr_in *from)
{
	return ntohl(from->sin_addr.s_addr);
}

static struct member_addr addr_of(const struct sockaddr_in *from)
{
	const struct member_addr addr = {.ip = ip_of(from),
					 .port = ntohs(from->sin_port)};

	return addr;
}

/* Logs, once each, that this node lacks a peer's changes and that it has them. */
static void log_behind(struct fleet_task *t, enum feed_topic topic,
		       uint64_t reported, uint64_t known, uint32_t ip)
{
	const struct peer_news *n = &t->news[topic];
	uint64_t ms = peer_news_missing_ms(n, gateway_now(t->g), known);
	struct in_addr in = {.s_addr = htonl(ip)};
	char peer[INET_ADDRSTRLEN];

	if (!ms && t->logged_behind[topic])
		log_event(LOG_EVENT_CAUGHT_UP,
			  "kind=%s as_of=%" G_GUINT64_FORMAT,
			  gateway_topic_name(topic), known);
	if (!ms)
		t->logged_behind[topic] = false;
	if (ms <= MAX_BEHIND_MS || reported <= known || t->logged_behind[topic])
		return;
	t->logged_behind[topic] = true;
	inet_ntop(AF_INET, &in, peer, sizeof(peer));
	log_event(LOG_EVENT_BEHIND_PEERS,
		  "kind=%s as_of=%" G_GUINT64_FORMAT
		  " missing=%" G_GUINT64_FORMAT " ms=%" G_GUINT64_FORMAT
		  " peer=%s following=%d",
		  gateway_topic_name(topic), known, n->missing_revision, ms,
		  peer, !t->watch_role.watches);
}

/*
 * Compares the changes that a peer knows of with those known here. If one has
 * been missing for MAX_BEHIND_MS, or is of a later era, this node's source does
 * not report changes any more: asks a peer that knows more for its state and
 * reads the source again.
 */
static void compare_changes(struct fleet_task *t, const uint64_t *changed,
			    uint32_t ip)
{
	struct gateway_state *g = t->g;
	uint64_t now = gateway_now(g);

	for (int i = 0; i < FLEET_WIRE_TOPICS; i++) {
		uint64_t known = latest_known_change(g, (enum feed_topic)i);
		struct peer_news *n = &t->news[i];
		bool later_era = feed_revision_era(changed[i]) >
				 feed_revision_era(known);

		peer_news_on_report(n, now, changed[i], known);
		log_behind(t, (enum feed_topic)i, changed[i], known, ip);
		if (changed[i] > known &&
		    (later_era ||
		     peer_news_missing_ms(n, now, known) > MAX_BEHIND_MS))
			peer_state_on_newer(g->peer_state, now, ip,
					    (enum feed_topic)i);
	}
}

static void on_source_status(struct fleet_task *t, const uint8_t *bytes,
			     size_t len, const struct sockaddr_in *from)
{
	struct fleet_wire_source s;
	struct source_comparison c = {.same_servers = false};
	uint64_t now = gateway_now(t->g);

	if (fleet_wire_decode_source(bytes, len, t->g->settings->cluster_key,
				     &s) != PEER_WIRE_OK) {
		counter_add(&t->g->counter_set, COUNTER_PEER_BAD, 1);
		return;
	}
	if (rank_hash_node(rank_hash_role(WATCH_ROLE), s.node) <
	    rank_hash_node(rank_hash_role(WATCH_ROLE), t->g->settings->node))
		t->lower_status_at = now;
	c.same_servers = s.servers == server_table_digest(&t->g->servers);
	memcpy(c.reported, s.changed, sizeof(s.changed));
	fill_known_changes(t->g, c.known);
	if (source_follow_on_status(&t->follow, now, &c) &&
	    !t->watch_role.watches)
		peer_state_request(t->g->peer_state, now, ip_of(from));
}

/* Records in which zone a node says that it is. */
static void learn_zone(struct fleet_task *t, const struct fleet_wire_loads *l)
{
	/* Names of nodes that were replaced; the others tell theirs again. */
	if (g_hash_table_size(t->zone_peers) > 2 * t->members.members->len + 1)
		g_hash_table_remove_all(t->zone_peers);
	if (strcmp(l->zone, t->g->settings->zone) != 0)
		g_hash_table_remove(t->zone_peers, l->node);
	else if (!g_hash_table_contains(t->zone_peers, l->node))
		g_hash_table_add(t->zone_peers, g_strdup(l->node));
}

static void on_loads(struct fleet_task *t, const uint8_t *bytes, size_t len,
		     const struct sockaddr_in *from)
{
	struct fleet_wire_loads l;

	if (fleet_wire_decode_loads(bytes, len, t->g->settings->cluster_key,
				    &l) != PEER_WIRE_OK)
		counter_add(&t->g->counter_set, COUNTER_PEER_BAD, 1);
	else {
		peer_loads_update(&t->g->peer_loads, gateway_now(t->g), &l);
		learn_zone(t, &l);
		compare_changes(t, l.changed, ip_of(from));
	}
}

static void on_limits(struct fleet_task *t, const uint8_t *bytes, size_t len)
{
	struct fleet_wire_limits l;

	if (fleet_wire_decode_limits(bytes, len, t->g->settings->cluster_key,
				     &l) != PEER_WIRE_OK)
		counter_add(&t->g->counter_set, COUNTER_PEER_BAD, 1);
	for (uint32_t i = 0; i < l.n; i++) {
		const struct server_record *s = peer_limits_apply(
			&t->g->servers, gateway_now(t->g), &l.limit[i]);

		if (s)
			log_event(LOG_EVENT_SERVER_LIMIT,
				  "server=%s per_s=%.3f node=%s", s->id,
				  s->limit.per_s, l.node);
	}
}

static void on_receive(uv_udp_t *socket, ssize_t len, const uv_buf_t *buf,
		       const struct sockaddr *from, unsigned int flags)
{
	struct fleet_task *t = socket->data;
	const uint8_t *bytes = (const uint8_t *)buf->base;

	if (len <= 0 || !from || (flags & UV_UDP_PARTIAL))
		return;
	counter_add(&t->g->counter_set, COUNTER_PEER_BYTES_IN, (uint64_t)len);
	switch (fleet_wire_kind_of(bytes, (size_t)len)) {
	case FLEET_WIRE_MEMBERSHIP:
		on_member_message(t, bytes, (size_t)len);
		break;
	case FLEET_WIRE_REPORT:
		on_report(t, bytes, (size_t)len);
		break;
	case FLEET_WIRE_PLAN:
		on_plan(t, bytes, (size_t)len);
		break;
	case FLEET_WIRE_LOADS:
		on_loads(t, bytes, (size_t)len,
			 (const struct sockaddr_in *)from);
		break;
	case FLEET_WIRE_SOURCE:
		on_source_status(t, bytes, (size_t)len,
				 (const struct sockaddr_in *)from);
		break;
	case FLEET_WIRE_LIMITS:
		on_limits(t, bytes, (size_t)len);
		break;
	case FLEET_WIRE_CRASHES:
		findings_task_on_crashes(
			t->findings, bytes, (size_t)len,
			addr_of((const struct sockaddr_in *)from));
		break;
	case FLEET_WIRE_BRITTLE:
		findings_task_on_brittle(
			t->findings, bytes, (size_t)len,
			addr_of((const struct sockaddr_in *)from));
		break;
	case FLEET_WIRE_LOAD_LIMITS:
		findings_task_on_load_limits(t->findings, bytes, (size_t)len);
		break;
	case FLEET_WIRE_EVACUATIONS:
		evacuation_task_on_message(&t->evacuations, t->g, bytes,
					   (size_t)len);
		break;
	case FLEET_WIRE_SESSIONS:
		on_sessions(t, bytes, (size_t)len);
		break;
	}
}

/*
 * Binds the UDP socket and starts to receive; fleet_task_tick() does the
 * rest. Returns NULL and sets an error if the address cannot be bound.
 */
struct fleet_task *fleet_task_start(struct gateway_state *g, GError **err)
{
	struct fleet_task *t = g_new0(struct fleet_task, 1);
	struct sockaddr_in sa;
	int rc;

	t->g = g;
	t->findings = findings_task_new(g, t);
	t->zone_peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	t->tenure.started_at = gateway_now(g);
	t->evacuations.heard_at = t->tenure.started_at;
	address_parse(g->settings->peer_address, &sa, NULL);
	t->self.ip = ntohl(sa.sin_addr.s_addr);
	t->self.port = ntohs(sa.sin_port);
	uv_udp_init(g->loop, &t->socket);
	t->socket.data = t;
	rc = uv_udp_bind(&t->socket, (struct sockaddr *)&sa, 0);
	if (rc) {
		g_set_error(err, ADDRESS_ERROR, ADDRESS_ERROR_LISTEN,
			    "cannot listen on %s: %s",
			    g->settings->peer_address, uv_strerror(rc));
		return NULL;
	}
	member_init(&t->members, g->settings->node, t->self,
		    (uint32_t)time(NULL), rng_next(&g->rng));
	g_strlcpy(t->members.self_build.id, version_build(),
		  sizeof(t->members.self_build.id));
	t->members.self_build.protocol = CHIVEGW_PROTOCOL;
	uv_udp_recv_start(&t->socket, on_alloc, on_receive);
	return t;
}

/* Announces to other members that this node leaves. */
void fleet_task_leave(struct fleet_task *t)
{
	GArray *out = peer_task_new_datagrams();

	member_announce_leave(&t->members, gateway_now(t->g), out);
	send_all(t, out);
}

/*
 * Stores in `out` other nodes that are alive, from a random one on. Returns their
 * number, at most `max`. They are valid until the loop goes on.
 */
uint32_t fleet_task_alive_members(const struct fleet_task *t, struct rng *rng,
				  const struct member_update **out,
				  uint32_t max)
{
	const GArray *members = t->members.members;
	guint start = members->len ? rng_below(rng, members->len) : 0;
	uint32_t n = 0;

	for (guint i = 0; i < members->len && n < max; i++) {
		const struct member_entry *m =
			&g_array_index(members, struct member_entry,
				       (start + i) % members->len);

		if (m->info.state == MEMBER_ALIVE)
			out[n++] = &m->info;
	}
	return n;
}

/*
 * Stores in `out` the other nodes that have slots at a brittle server and are alive,
 * from a random one on. Returns their number, at most `max` and RANK_MAX_FIRST. They
 * are valid until the loop goes on.
 */
uint32_t fleet_task_slot_holders(struct fleet_task *t, uint64_t now,
				 const struct server_record *s,
				 const struct member_update **out, uint32_t max)
{
	const struct member_entry *first[RANK_MAX_FIRST];
	const struct rank_view v = slot_sharers(t, now);
	uint32_t slots = s->slots ? s->slots : max;
	uint32_t found = rank_find_first(&v, s->id, first, MIN(slots, max));
	uint32_t start = found ? rng_below(&t->g->rng, found) : 0;
	uint32_t n = 0;

	for (uint32_t i = 0; i < found; i++) {
		const struct member_entry *m = first[(start + i) % found];

		if (m->info.state == MEMBER_ALIVE)
			out[n++] = &m->info;
	}
	return n;
}

/*
 * Returns the IP address (host byte order) of another node that is alive,
 * chosen at random; 0 if there is none.
 */
uint32_t fleet_task_random_ip(const struct fleet_task *t, struct rng *rng)
{
	const GArray *members = t->members.members;
	guint start = members->len ? rng_below(rng, members->len) : 0;

	for (guint i = 0; i < members->len; i++) {
		const struct member_entry *m =
			&g_array_index(members, struct member_entry,
				       (start + i) % members->len);

		if (m->info.state == MEMBER_ALIVE)
			return m->info.addr.ip;
	}
	return 0;
}
