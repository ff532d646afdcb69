#include "fleet/findings-task.h"

#include <string.h>
#include <xxhash.h>

#include "daemon/gateway.h"
#include "exchange/load-limit.h"
#include "exchange/peer-brittle.h"
#include "fleet/fleet-task.h"
#include "log-event.h"
#include "wire/codec.h"
#include "wire/fleet-codec.h"

#define SUMMARY_INTERVAL_MS 1000
#define SUMMARY_FANOUT 2 /* nodes that a summary is sent to */
#define ASK_MS 2000 /* after its start a node asks for summaries */
#define ASK_FANOUT 2
#define CONTRADICTIONS 8 /* expected answers of the fleet to a report */

struct findings_task {
	struct gateway_state *g;
	struct fleet_task *fleet;
	uint64_t next_summary_at; /* ms, as all times here */
	uint64_t next_brittle_at; /* the next summary of brittle servers */
	bool heard_brittle; /* what another node knows of them */
};

static size_t encode_crashes(struct findings_task *t, uint64_t now,
			     struct fleet_wire_crashes *m, uint8_t *bytes)
{
	g_strlcpy(m->node, t->g->settings->node, sizeof(m->node));
	for (uint32_t i = 0; i < m->n; i++)
		m->observation[i].at = now - m->observation[i].at;
	return fleet_wire_encode_crashes(m, t->g->settings->cluster_key, bytes,
					 PEER_WIRE_MAX_BYTES);
}

static bool has_blocked(const struct crash_keys *c)
{
	return crash_keys_count_blocked(c, false) ||
	       crash_keys_count_blocked(c, true);
}

/*
 * Sends what this node has seen running at servers that crashed to all, and now
 * and then what is known of blocked parts of prompts to some. After its start a
 * node asks a few for that, by a message without observations.
 */
static void send_crashes(struct findings_task *t, uint64_t now)
{
	struct crash_keys *c = &t->g->crash_keys;
	uint8_t bytes[PEER_WIRE_MAX_BYTES];
	struct fleet_wire_crashes m = {.n_answered = 0};

	m.n = crash_keys_take_news(c, m.observation, FLEET_WIRE_MAX_CRASHES);
	if (m.n)
		fleet_task_send_to_all(t->fleet, bytes,
				       encode_crashes(t, now, &m, bytes));
	m.n = 0;
	if (now - t->g->started_at < ASK_MS && !has_blocked(c))
		fleet_task_send_to_some(t->fleet, ASK_FANOUT, bytes,
					encode_crashes(t, now, &m, bytes));
	if (now < t->next_summary_at)
		return;
	t->next_summary_at = now + SUMMARY_INTERVAL_MS;
	m.n = crash_keys_summary(c, m.observation, FLEET_WIRE_MAX_CRASHES);
	if (m.n)
		fleet_task_send_to_some(t->fleet, SUMMARY_FANOUT, bytes,
					encode_crashes(t, now, &m, bytes));
}

/* Sends the limits of load that this node has found lately to all. */
static void send_load_limits(struct findings_task *t, uint64_t now)
{
	uint8_t bytes[PEER_WIRE_MAX_BYTES];
	struct fleet_wire_load_limits m = {.n = 0};
	GHashTableIter it;
	void *key, *value;

	g_hash_table_iter_init(&it, t->g->servers.load_limits);
	while (m.n < FLEET_WIRE_MAX_LOAD_LIMITS &&
	       g_hash_table_iter_next(&it, &key, &value)) {
		struct load_limit *l = value;

		if (!load_limit_take_news(l))
			continue;
		m.limit[m.n].version = XXH3_64bits(key, strlen(key));
		m.limit[m.n].limit = l->limit;
		m.limit[m.n++].age_ms = (uint32_t)(now - l->failed_at);
	}
	if (!m.n)
		return;
	g_strlcpy(m.node, t->g->settings->node, sizeof(m.node));
	fleet_task_send_to_all(
		t->fleet, bytes,
		fleet_wire_encode_load_limits(&m, t->g->settings->cluster_key,
					      bytes, sizeof(bytes)));
}

/*
 * Allocates the task, which sends through the given fleet task and is never
 * freed.
 */
struct findings_task *findings_task_new(struct gateway_state *g,
					struct fleet_task *fleet)
{
	struct findings_task *t = g_new0(struct findings_task, 1);

	t->g = g;
	t->fleet = fleet;
	return t;
}

static size_t encode_brittle(const struct findings_task *t,
			     const struct fleet_wire_brittle *m, uint8_t *bytes)
{
	return fleet_wire_encode_brittle(m, t->g->settings->cluster_key, bytes,
					 PEER_WIRE_MAX_BYTES);
}

static bool is_asking_for_brittle(const struct findings_task *t, uint64_t now)
{
	return !t->heard_brittle && now - t->g->started_at < ASK_MS;
}

/* Handles contact to a node, which may know what this one has not heard yet. */
void findings_task_on_contact(struct findings_task *t, struct member_addr with)
{
	uint8_t bytes[PEER_WIRE_MAX_BYTES];
	struct fleet_wire_brittle m = {.n = 0};

	if (!is_asking_for_brittle(t, gateway_now(t->g)))
		return;
	g_strlcpy(m.node, t->g->settings->node, sizeof(m.node));
	fleet_task_send(t->fleet, with, bytes, encode_brittle(t, &m, bytes));
}

/* Returns whether another node has told what it knows of brittle servers. */
bool findings_task_has_heard_brittle(const struct findings_task *t)
{
	return t->heard_brittle;
}

/* Fills in what is known of brittle servers, beginning at a random one. */
static bool summarise_brittle(struct findings_task *t, uint64_t now,
			      struct fleet_wire_brittle *m)
{
	const struct server_table *servers = &t->g->servers;
	uint32_t start = servers->all->len
				 ? rng_below(&t->g->rng, servers->all->len)
				 : 0;

	return peer_brittle_summary(servers, now, t->g->settings->node, start,
				    m);
}

/*
 * Sends what servers have said to this node of being brittle to all, and now and then
 * all that is known to some. After its start a node asks a few for that.
 */
static void send_brittle(struct findings_task *t, uint64_t now)
{
	uint8_t bytes[PEER_WIRE_MAX_BYTES];
	struct fleet_wire_brittle m;

	if (peer_brittle_take_news(&t->g->servers, now, t->g->settings->node,
				   &m))
		fleet_task_send_to_all(t->fleet, bytes,
				       encode_brittle(t, &m, bytes));
	if (is_asking_for_brittle(t, now)) {
		m.n = 0;
		fleet_task_send_to_some(t->fleet, ASK_FANOUT, bytes,
					encode_brittle(t, &m, bytes));
	}
	if (now < t->next_brittle_at)
		return;
	t->next_brittle_at = now + SUMMARY_INTERVAL_MS;
	if (summarise_brittle(t, now, &m))
		fleet_task_send_to_some(t->fleet, SUMMARY_FANOUT, bytes,
					encode_brittle(t, &m, bytes));
}

/* Sends what this node has found; call it each tick. */
void findings_task_tick(struct findings_task *t, uint64_t now)
{
	send_crashes(t, now);
	send_brittle(t, now);
	send_load_limits(t, now);
}

static void send_crash_summary(struct findings_task *t, struct member_addr to)
{
	uint8_t bytes[PEER_WIRE_MAX_BYTES];
	struct fleet_wire_crashes m = {.n_answered = 0};

	m.n = crash_keys_summary(&t->g->crash_keys, m.observation,
				 FLEET_WIRE_MAX_CRASHES);
	if (m.n)
		fleet_task_send(
			t->fleet, to, bytes,
			encode_crashes(t, gateway_now(t->g), &m, bytes));
}

/*
 * Tells a node which of the parts that it has observed were answered here. Of a
 * large fleet only a few nodes do.
 */
static void send_answered_parts(struct findings_task *t, struct member_addr to,
				const struct fleet_wire_crashes *heard)
{
	uint64_t now = gateway_now(t->g);
	uint8_t bytes[PEER_WIRE_MAX_BYTES];
	struct fleet_wire_crashes m = {.n = 0};

	if (rng_below(&t->g->rng, fleet_task_live_count(t->fleet)) >=
	    CONTRADICTIONS)
		return;
	for (uint32_t i = 0; i < heard->n; i++) {
		uint64_t part = heard->observation[i].key;
		uint64_t at =
			crash_keys_answered_at(&t->g->crash_keys, now, part);

		if (!at)
			continue;
		m.answered[m.n_answered] = part;
		m.answered_age_ms[m.n_answered++] = now - at;
	}
	if (m.n_answered)
		fleet_task_send(t->fleet, to, bytes,
				encode_crashes(t, now, &m, bytes));
}

/* Handles a message about crashes from the node at `sender`. */
void findings_task_on_crashes(struct findings_task *t, const uint8_t *bytes,
			      size_t len, struct member_addr sender)
{
	struct fleet_wire_crashes m;
	uint64_t now = gateway_now(t->g);

	if (fleet_wire_decode_crashes(bytes, len, t->g->settings->cluster_key,
				      &m) != PEER_WIRE_OK)
		counter_add(&t->g->counter_set, COUNTER_PEER_BAD, 1);
	else if (!m.n && !m.n_answered)
		send_crash_summary(t, sender);
	for (uint32_t i = 0; i < m.n; i++) {
		struct crash_observation *s = &m.observation[i];

		s->at = now - MIN(now, s->at);
		crash_keys_add(&t->g->crash_keys, s, false);
	}
	for (uint32_t i = 0; i < m.n_answered; i++)
		crash_keys_on_peer_answer(&t->g->crash_keys,
					  now - MIN(now, m.answered_age_ms[i]),
					  m.answered[i]);
	if (m.n)
		send_answered_parts(t, sender, &m);
}

/* Handles a message about limits of load. */
void findings_task_on_load_limits(struct findings_task *t, const uint8_t *bytes,
				  size_t len)
{
	struct fleet_wire_load_limits m;
	uint64_t now = gateway_now(t->g);

	if (fleet_wire_decode_load_limits(bytes, len,
					  t->g->settings->cluster_key,
					  &m) != PEER_WIRE_OK)
		counter_add(&t->g->counter_set, COUNTER_PEER_BAD, 1);
	for (uint32_t i = 0; i < m.n; i++) {
		struct load_limit *l = server_load_limit_by_hash(
			&t->g->servers, m.limit[i].version);

		if (l)
			load_limit_on_peer_limit(
				l, now - MIN(now, m.limit[i].age_ms),
				m.limit[i].limit);
	}
}

/*
 * Tells a node what is known of brittle servers. A node that is asking itself does
 * not say that there are none.
 */
static void answer_about_brittle(struct findings_task *t, struct member_addr to)
{
	uint64_t now = gateway_now(t->g);
	uint8_t bytes[PEER_WIRE_MAX_BYTES];
	struct fleet_wire_brittle m;

	if (!summarise_brittle(t, now, &m)) {
		if (is_asking_for_brittle(t, now))
			return;
		m.n = 1; /* without a service: an empty message would ask */
	}
	fleet_task_send(t->fleet, to, bytes, encode_brittle(t, &m, bytes));
}

/* Handles a message about brittle servers from the node at `sender`. */
void findings_task_on_brittle(struct findings_task *t, const uint8_t *bytes,
			      size_t len, struct member_addr sender)
{
	struct fleet_wire_brittle m, ends = {.n = 0};
	uint8_t reply[PEER_WIRE_MAX_BYTES];
	uint64_t now = gateway_now(t->g);

	if (fleet_wire_decode_brittle(bytes, len, t->g->settings->cluster_key,
				      &m) != PEER_WIRE_OK) {
		counter_add(&t->g->counter_set, COUNTER_PEER_BAD, 1);
		return;
	}
	t->heard_brittle |= m.n > 0;
	/* Services come first in a message; servers' own answers say more. */
	for (uint32_t i = m.n; i-- > 0;) {
		const char *service, *server;

		peer_brittle_correct(&t->g->servers, now, t->g->settings->node,
				     &m.notice[i], &ends);
		if (peer_brittle_apply(&t->g->servers, now, &m.notice[i],
				       &service, &server))
			log_event(LOG_EVENT_SERVER_BRITTLE,
				  "service=%s server=%s refusals_per_s=%.1f "
				  "node=%s",
				  service, server, m.notice[i].refusals_per_s,
				  m.node);
	}
	if (m.n)
		fleet_task_on_brittle(t->fleet, now);
	else
		answer_about_brittle(t, sender);
	if (ends.n)
		fleet_task_send(t->fleet, sender, reply,
				encode_brittle(t, &ends, reply));
	gateway_serve_pending(t->g);
}
