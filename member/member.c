#include "member/member.h"

#include <string.h>

#include "invariant.h"

/* Each update is sent this many times log2 of the number of members. */
#define DISSEMINATION_FACTOR 3
/* A dead or leaving member is probed on one in so many of its turns. */
#define PROBE_GONE_ONE_IN 4

static const char *const state_names[] = {"alive", "suspect", "leaving",
					  "dead"};

/* Returns the name of a state as status answers show it; a constant. */
const char *member_state_name(enum member_state state)
{
	return state_names[state];
}

/*
 * Initialises a table that holds only this node. `incarnation` must be higher
 * than those of earlier runs under this name. The seed determines the order
 * of probes. Free the contents with member_clear().
 */
void member_init(struct member_table *m, const char *name,
		 struct member_addr addr, uint32_t incarnation, uint64_t seed)
{
	memset(m, 0, sizeof(*m));
	g_strlcpy(m->self.name, name, sizeof(m->self.name));
	m->self.addr = addr;
	m->self.state = MEMBER_ALIVE;
	m->self.incarnation = incarnation;
	m->members = g_array_new(FALSE, TRUE, sizeof(struct member_entry));
	m->probe_order = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	m->relays = g_array_new(FALSE, FALSE, sizeof(struct member_relay));
	rng_seed(&m->rng, seed);
	/* Late answers to an earlier run of this node must match no probe. */
	m->sequence = (uint32_t)rng_next(&m->rng);
}

/* Frees the contents of the table and zeroes it. */
void member_clear(struct member_table *m)
{
	g_array_free(m->members, TRUE);
	g_array_free(m->probe_order, TRUE);
	g_array_free(m->relays, TRUE);
	memset(m, 0, sizeof(*m));
}

static struct member_entry *entry_at(const struct member_table *m, uint32_t i)
{
	return &g_array_index(m->members, struct member_entry, i);
}

static struct member_entry *find_entry(const struct member_table *m,
				       const char *name)
{
	for (uint32_t i = 0; i < m->members->len; i++)
		if (!strcmp(entry_at(m, i)->info.name, name))
			return entry_at(m, i);
	return NULL;
}

/* Returns the number of members in a state, without this node. */
uint32_t member_count(const struct member_table *m, enum member_state state)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < m->members->len; i++)
		n += entry_at(m, i)->info.state == state;
	return n;
}

/* Returns whether a member at the address is alive, as far as is known. */
bool member_is_alive_at(const struct member_table *m, struct member_addr addr)
{
	for (uint32_t i = 0; i < m->members->len; i++) {
		const struct member_update *u = &entry_at(m, i)->info;

		if (u->state == MEMBER_ALIVE && u->addr.ip == addr.ip &&
		    u->addr.port == addr.port)
			return true;
	}
	return false;
}

/*
 * Returns how many messages carry an update: SWIM reaches all members with
 * high probability if it is a multiple of the logarithm of their number.
 */
static uint32_t dissemination_sends(const struct member_table *m)
{
	uint32_t n = m->members->len + 1;
	uint32_t log2 = 1;

	while (n >>= 1)
		log2++;
	return DISSEMINATION_FACTOR * log2;
}

static void add_entry(struct member_table *m, uint64_t now,
		      const struct member_update *u)
{
	struct member_entry new = {.info = *u, .changed_at = now};
	uint32_t index = m->members->len;
	uint32_t place;

	g_array_append_val(m->members, new);
	entry_at(m, index)->sends_left = dissemination_sends(m);
	place = rng_below(&m->rng, m->probe_order->len + 1);
	g_array_insert_val(m->probe_order, place, index);
}

/* Returns whether an update replaces what is known of the member. */
static bool overrides(const struct member_update *update,
		      const struct member_update *known)
{
	if (update->incarnation != known->incarnation)
		return update->incarnation > known->incarnation;
	return update->state > known->state;
}

/*
 * Raises this node's incarnation if an update says that it is suspect or
 * dead, so that its next messages override that update.
 */
static void refute(struct member_table *m, const struct member_update *u)
{
	if (u->incarnation < m->self.incarnation)
		return;
	if (u->state == MEMBER_ALIVE || u->state == m->self.state)
		return;
	m->self.incarnation = u->incarnation + 1;
}

static void apply_update(struct member_table *m, uint64_t now,
			 const struct member_update *u)
{
	struct member_entry *known;

	if (!u->name[0])
		return;
	if (!strcmp(u->name, m->self.name)) {
		refute(m, u);
		return;
	}
	known = find_entry(m, u->name);
	if (!known) {
		if (u->state != MEMBER_DEAD)
			add_entry(m, now, u);
		return;
	}
	if (!overrides(u, &known->info))
		return;
	INVARIANT(u->incarnation >= known->info.incarnation,
		  "member: incarnations never decrease");
	/* It may have started again, with another build. */
	if (u->incarnation != known->info.incarnation)
		memset(&known->build, 0, sizeof(known->build));
	known->info = *u;
	known->changed_at = now;
	known->sends_left = dissemination_sends(m);
}

/*
 * Adds a node from the platform's list. A node that is already in the table
 * keeps its state: a dead one stays dead until its own message says
 * otherwise.
 */
void member_add(struct member_table *m, uint64_t now, const char *name,
		struct member_addr addr)
{
	struct member_update u = {.addr = addr, .state = MEMBER_ALIVE};

	g_strlcpy(u.name, name, sizeof(u.name));
	if (!strcmp(name, m->self.name) || find_entry(m, name))
		return;
	add_entry(m, now, &u);
}

/*
 * Takes over what another node knows of a member. No message of this node
 * carries it, as others may ask that node too. Returns whether it was news.
 */
bool member_learn(struct member_table *m, uint64_t now,
		  const struct member_update *u)
{
	const struct member_entry *known = find_entry(m, u->name);

	if (!strcmp(u->name, m->self.name) ||
	    (known && !overrides(u, &known->info)))
		return false;
	apply_update(m, now, u);
	find_entry(m, u->name)->sends_left = 0;
	return true;
}

/* Takes over the build of a member, as told for the incarnation that `u` names. */
void member_learn_build(struct member_table *m, const struct member_update *u,
			const struct member_build *build)
{
	struct member_entry *known = find_entry(m, u->name);

	if (known && known->info.incarnation == u->incarnation)
		known->build = *build;
}

/*
 * Sets what this node's messages say of the configuration's head and of the
 * store. `confirmed_at` (ms) counts only if `confirmed`.
 */
void member_set_config_head(struct member_table *m, uint64_t revision,
			    uint64_t confirmed_at, bool confirmed,
			    bool store_unreachable)
{
	m->head_revision = revision;
	m->head_confirmed_at = confirmed_at;
	m->head_confirmed = confirmed;
	m->store_unreachable = store_unreachable;
}

/*
 * Appends the updates that were sent the fewest times, after those that the
 * message holds already.
 */
static void piggyback_updates(struct member_table *m, struct member_msg *msg)
{
	while (msg->n_updates < MEMBER_MAX_UPDATES) {
		struct member_entry *best = NULL;

		for (uint32_t i = 0; i < m->members->len; i++) {
			struct member_entry *e = entry_at(m, i);
			bool present = false;

			for (uint32_t j = 0; j < msg->n_updates; j++)
				present |= !strcmp(msg->updates[j].name,
						   e->info.name);
			if (present || !e->sends_left)
				continue;
			if (!best || e->sends_left > best->sends_left)
				best = e;
		}
		if (!best)
			return;
		best->sends_left--;
		msg->updates[msg->n_updates++] = best->info;
	}
}

/*
 * Returns a message from this node. `about`, if not NULL, is the first of its
 * updates.
 */
static struct member_msg new_message_about(struct member_table *m, uint64_t now,
					   enum member_msg_kind kind,
					   uint32_t sequence,
					   const struct member_update *about)
{
	struct member_msg msg = {.kind = kind, .sequence = sequence};

	msg.from = m->self;
	if (about)
		msg.updates[msg.n_updates++] = *about;
	msg.head_revision = m->head_revision;
	msg.head_age_ms = MEMBER_AGE_UNKNOWN;
	if (m->head_confirmed &&
	    now - m->head_confirmed_at < MEMBER_AGE_UNKNOWN)
		msg.head_age_ms = (uint32_t)(now - m->head_confirmed_at);
	msg.store_unreachable = m->store_unreachable;
	piggyback_updates(m, &msg);
	return msg;
}

static struct member_msg new_message(struct member_table *m, uint64_t now,
				     enum member_msg_kind kind,
				     uint32_t sequence)
{
	return new_message_about(m, now, kind, sequence, NULL);
}

static void queue_message(GArray *out, struct member_addr to,
			  const struct member_msg *msg)
{
	struct member_datagram o = {.to = to, .msg = *msg};

	g_array_append_val(out, o);
}

/*
 * Records the result of the current probe. Those of leaving members, and of dead ones
 * that stay silent, are not recorded: member_estimate_peers() counts them from the table.
 */
static void record_probe_result(struct member_table *m, uint64_t now,
				bool acknowledged, bool store_unreachable)
{
	const struct member_entry *e = find_entry(m, m->probe.name);
	struct member_probe_result r = {.at = now,
					.acknowledged = acknowledged,
					.store_unreachable = store_unreachable};

	r.name_hash = g_str_hash(m->probe.name);
	if (e && (e->info.state == MEMBER_LEAVING ||
		  (!acknowledged && e->info.state == MEMBER_DEAD)))
		return;
	m->probe_results[m->n_probe_results++ % MEMBER_PROBE_HISTORY] = r;
}

static void mark_suspect(struct member_table *m, uint64_t now, const char *name)
{
	struct member_entry *e = find_entry(m, name);

	if (!e || e->info.state != MEMBER_ALIVE)
		return;
	e->info.state = MEMBER_SUSPECT;
	e->changed_at = now;
	e->sends_left = dissemination_sends(m);
}

/* Marks members dead that were suspect for MEMBER_SUSPECT_TIMEOUT_MS. */
static void expire_suspects(struct member_table *m, uint64_t now)
{
	for (uint32_t i = 0; i < m->members->len; i++) {
		struct member_entry *e = entry_at(m, i);

		if (e->info.state != MEMBER_SUSPECT ||
		    now - e->changed_at < MEMBER_SUSPECT_TIMEOUT_MS)
			continue;
		e->info.state = MEMBER_DEAD;
		e->changed_at = now;
		e->sends_left = dissemination_sends(m);
	}
}

static void shuffle_probe_order(struct member_table *m)
{
	g_array_set_size(m->probe_order, 0);
	for (uint32_t i = 0; i < m->members->len; i++) {
		uint32_t place = rng_below(&m->rng, m->probe_order->len + 1);

		g_array_insert_val(m->probe_order, place, i);
	}
}

static void remove_expired(struct member_table *m, uint64_t now)
{
	bool removed = false;

	for (uint32_t i = m->members->len; i > 0; i--) {
		struct member_entry *e = entry_at(m, i - 1);
		bool gone = e->info.state == MEMBER_DEAD ||
			    e->info.state == MEMBER_LEAVING;

		if (!gone || now - e->changed_at < MEMBER_RETENTION_MS)
			continue;
		/*
		 * Without the platform's list they could not be found again,
		 * and the reachable part of a partitioned fleet would take
		 * itself for the whole fleet.
		 */
		if (m->store_unreachable && e->info.state == MEMBER_DEAD)
			continue;
		g_array_remove_index_fast(m->members, i - 1);
		removed = true;
	}
	if (removed)
		shuffle_probe_order(m);
}

/*
 * Returns whether the member is probed in its turn. Dead members are probed
 * too, at random with chance 1 / PROBE_GONE_ONE_IN: after a network partition
 * both sides take each other for dead, and only a probe shows that it has
 * ended. So are those that left: one that has started again may know other
 * nodes only.
 */
static bool should_probe(struct member_table *m, const struct member_entry *e)
{
	switch (e->info.state) {
	case MEMBER_ALIVE:
	case MEMBER_SUSPECT:
		return true;
	case MEMBER_LEAVING:
	case MEMBER_DEAD:
		return rng_below(&m->rng, PROBE_GONE_ONE_IN) == 0;
	}
	return false;
}

/*
 * Returns the next member to probe, or NULL. All members are visited in a
 * random order, which is shuffled after each round.
 */
static struct member_entry *next_target(struct member_table *m)
{
	for (uint32_t tries = 0; tries <= 2 * m->probe_order->len; tries++) {
		struct member_entry *e;

		if (m->next_probe >= m->probe_order->len) {
			shuffle_probe_order(m);
			m->next_probe = 0;
			if (!m->probe_order->len)
				return NULL;
		}
		e = entry_at(m, g_array_index(m->probe_order, uint32_t,
					      m->next_probe++));
		if (should_probe(m, e))
			return e;
	}
	return NULL;
}

static void send_indirect_probes(struct member_table *m, uint64_t now,
				 GArray *out)
{
	struct member_entry *target = find_entry(m, m->probe.name);
	struct member_msg msg;
	uint32_t asked = 0;

	m->probe.indirect_sent = true;
	if (!target)
		return;
	for (uint32_t i = 0;
	     i < m->members->len && asked < MEMBER_INDIRECT_PROBES; i++) {
		struct member_entry *e =
			entry_at(m, rng_below(&m->rng, m->members->len));

		if (e == target || e->info.state != MEMBER_ALIVE)
			continue;
		msg = new_message(m, now, MEMBER_PING_REQ, m->probe.sequence);
		msg.target = target->info.addr;
		queue_message(out, e->info.addr, &msg);
		asked++;
	}
}

static void start_probe(struct member_table *m, uint64_t now, GArray *out)
{
	struct member_entry *target = next_target(m);
	struct member_msg msg;

	if (!target)
		return;
	m->probe.pending = true;
	m->probe.indirect_sent = false;
	m->probe.sequence = ++m->sequence;
	m->probe.sent_at = now;
	g_strlcpy(m->probe.name, target->info.name, sizeof(m->probe.name));
	/* A member that is not alive here gets its state, to refute it. */
	msg = new_message_about(
		m, now, MEMBER_PING, m->probe.sequence,
		target->info.state == MEMBER_ALIVE ? NULL : &target->info);
	queue_message(out, target->info.addr, &msg);
}

static void expire_relays(struct member_table *m, uint64_t now)
{
	for (uint32_t i = m->relays->len; i > 0; i--)
		if (now - g_array_index(m->relays, struct member_relay, i - 1)
				    .sent_at >
		    2 * MEMBER_PROBE_PERIOD_MS)
			g_array_remove_index_fast(m->relays, i - 1);
}

/*
 * Runs the timers: sends indirect probes MEMBER_ACK_TIMEOUT_MS after an
 * unanswered probe, and every MEMBER_PROBE_PERIOD_MS suspects the member that
 * did not answer and starts the next probe. Appends the messages to send to
 * `out` (struct member_datagram). Call it every MEMBER_ACK_TIMEOUT_MS / 2 or
 * more often.
 */
void member_tick(struct member_table *m, uint64_t now, GArray *out)
{
	if (m->probe.pending && !m->probe.indirect_sent &&
	    now - m->probe.sent_at >= MEMBER_ACK_TIMEOUT_MS)
		send_indirect_probes(m, now, out);
	if (now < m->next_probe_at)
		return;
	m->next_probe_at = now + MEMBER_PROBE_PERIOD_MS;
	if (m->probe.pending) {
		m->probe.pending = false;
		record_probe_result(m, now, false, false);
		mark_suspect(m, now, m->probe.name);
	}
	expire_suspects(m, now);
	remove_expired(m, now);
	expire_relays(m, now);
	start_probe(m, now, out);
}

/* Forwards the acknowledgement of a ping that another node asked for. */
static void relay_ack(struct member_table *m, const struct member_msg *msg,
		      GArray *out)
{
	for (uint32_t i = 0; i < m->relays->len; i++) {
		struct member_relay r =
			g_array_index(m->relays, struct member_relay, i);
		struct member_msg forwarded;

		if (r.sequence != msg->sequence)
			continue;
		forwarded = *msg;
		forwarded.sequence = r.requester_sequence;
		forwarded.head_age_ms = MEMBER_AGE_UNKNOWN;
		queue_message(out, r.requester, &forwarded);
		g_array_remove_index_fast(m->relays, i);
		return;
	}
}

/*
 * Handles an acknowledgement. What it says of the head was true when it was
 * sent. That was after this node sent the probe, so the age counts back from
 * that time.
 */
static struct member_head_report on_ack(struct member_table *m, uint64_t now,
					const struct member_msg *msg,
					GArray *out)
{
	struct member_head_report head = {.revision = msg->head_revision};

	if (!m->probe.pending || msg->sequence != m->probe.sequence ||
	    strcmp(msg->from.name, m->probe.name) != 0) {
		relay_ack(m, msg, out);
		return head;
	}
	m->probe.pending = false;
	m->heard_at = m->probe.sent_at;
	record_probe_result(m, now, true, msg->store_unreachable);
	if (msg->head_age_ms == MEMBER_AGE_UNKNOWN ||
	    msg->head_age_ms > m->probe.sent_at)
		return head;
	head.confirmed = true;
	head.confirmed_at = m->probe.sent_at - msg->head_age_ms;
	return head;
}

static void on_ping_req(struct member_table *m, uint64_t now,
			const struct member_msg *msg, GArray *out)
{
	struct member_relay r = {
		.sequence = ++m->sequence,
		.requester_sequence = msg->sequence,
		.requester = msg->from.addr,
		.sent_at = now,
	};
	struct member_msg ping = new_message(m, now, MEMBER_PING, r.sequence);

	g_array_append_val(m->relays, r);
	queue_message(out, msg->target, &ping);
}

/*
 * Handles a received message and appends the replies to `out`
 * (struct member_datagram). Returns what the message says of the
 * configuration's head; a revision that is not `confirmed` is only a hint
 * that a newer one may exist.
 */
struct member_head_report member_on_message(struct member_table *m,
					    uint64_t now,
					    const struct member_msg *msg,
					    GArray *out)
{
	struct member_head_report head = {.revision = msg->head_revision};
	struct member_msg ack;

	apply_update(m, now, &msg->from);
	for (uint32_t i = 0; i < msg->n_updates && i < MEMBER_MAX_UPDATES; i++)
		apply_update(m, now, &msg->updates[i]);
	switch (msg->kind) {
	case MEMBER_PING:
		ack = new_message(m, now, MEMBER_ACK, msg->sequence);
		queue_message(out, msg->from.addr, &ack);
		break;
	case MEMBER_ACK:
		head = on_ack(m, now, msg, out);
		break;
	case MEMBER_PING_REQ:
		on_ping_req(m, now, msg, out);
		break;
	}
	return head;
}

/*
 * Appends messages that make this node known to at most `max` members that it
 * has not told yet. They need no answer.
 */
void member_announce(struct member_table *m, uint32_t max, GArray *out)
{
	struct member_msg msg = {
		.kind = MEMBER_ACK,
		.sequence = ++m->sequence,
		.from = m->self,
		.head_revision = m->head_revision,
		.head_age_ms = MEMBER_AGE_UNKNOWN,
		.store_unreachable = m->store_unreachable,
	};

	/* Removals may have moved members to a place before this one. */
	m->n_announced = MIN(m->n_announced, m->members->len);
	for (; max && m->n_announced < m->members->len; m->n_announced++) {
		const struct member_entry *e = entry_at(m, m->n_announced);

		if (e->info.state != MEMBER_ALIVE)
			continue;
		queue_message(out, e->info.addr, &msg);
		max--;
	}
}

/*
 * Appends a ping to an address whose node's name is not known yet. Its
 * acknowledgement carries the name.
 */
void member_ping_address(struct member_table *m, uint64_t now,
			 struct member_addr to, GArray *out)
{
	struct member_msg msg = new_message(m, now, MEMBER_PING, ++m->sequence);

	queue_message(out, to, &msg);
}

/*
 * Appends messages that announce to at most MEMBER_LEAVE_FANOUT live members
 * that this node leaves; they spread it to the others.
 */
void member_announce_leave(struct member_table *m, uint64_t now, GArray *out)
{
	struct member_msg msg;

	m->self.state = MEMBER_LEAVING;
	m->self.incarnation++;
	for (uint32_t i = 0; i < m->members->len && i < MEMBER_LEAVE_FANOUT;
	     i++) {
		struct member_entry *e = entry_at(m, i);

		if (e->info.state != MEMBER_ALIVE)
			continue;
		msg = new_message(m, now, MEMBER_PING, ++m->sequence);
		queue_message(out, e->info.addr, &msg);
	}
}

/* The latest probe results, one for each member probed. */
struct probe_counts {
	uint32_t probed;
	uint32_t without_store; /* acknowledged, cannot reach the store */
};

static bool has_newer_result(const struct member_table *m, uint32_t newer,
			     uint32_t name_hash)
{
	for (uint32_t i = 0; i < newer; i++)
		if (m->probe_results[(m->n_probe_results - 1 - i) %
				     MEMBER_PROBE_HISTORY]
			    .name_hash == name_hash)
			return true;
	return false;
}

static struct probe_counts count_recent_probes(const struct member_table *m,
					       uint64_t now)
{
	uint32_t n = MIN(m->n_probe_results, MEMBER_PROBE_HISTORY);
	struct probe_counts counts = {0};

	for (uint32_t i = 0; i < n; i++) {
		const struct member_probe_result *r =
			&m->probe_results[(m->n_probe_results - 1 - i) %
					  MEMBER_PROBE_HISTORY];

		if (now - r->at > MEMBER_PROBE_HISTORY_MS)
			break;
		if (has_newer_result(m, i, r->name_hash))
			continue;
		counts.probed++;
		counts.without_store += r->acknowledged && r->store_unreachable;
	}
	return counts;
}

/*
 * Returns the number of members and an estimate of how many of them answer
 * and report that they cannot reach the store, both including this node. The
 * estimate uses the latest probe of each member probed within
 * MEMBER_PROBE_HISTORY_MS: all members of a small fleet; of a large one a
 * random sample, scaled to the members that are not dead. Dead members count
 * as members, but never as without the store; leaving ones do not count.
 */
struct cfg_view_peers member_estimate_peers(const struct member_table *m,
					    uint64_t now)
{
	uint32_t leaving = member_count(m, MEMBER_LEAVING);
	uint32_t others = m->members->len - leaving;
	uint32_t live = others - member_count(m, MEMBER_DEAD);
	struct probe_counts counts = count_recent_probes(m, now);
	struct cfg_view_peers p = {
		.members = others + 1,
		.without_store = m->store_unreachable,
	};

	if (!counts.probed)
		return p;
	p.without_store += live * counts.without_store / counts.probed;
	return p;
}
