#include "member/member.h"

#include <string.h>

#include "invariant.h"

#define TELL_FACTOR 3
#define PROBE_DEAD_ONE_IN 4

static const char *const state_names[] = {"alive", "suspect", "leaving",
					  "dead"};

/* Returns a state's name for status and logs. */
const char *member_state_name(enum member_state state)
{
	return state_names[state];
}

/* Starts with this node alone. Equal seeds probe in equal order. */
void member_init(struct member_table *m, const char *name,
		 struct member_addr addr, uint32_t incarnation, uint64_t seed)
{
	memset(m, 0, sizeof(*m));
	g_strlcpy(m->self.name, name, sizeof(m->self.name));
	m->self.addr = addr;
	m->self.state = MEMBER_ALIVE;
	m->self.incarnation = incarnation;
	m->members = g_array_new(FALSE, TRUE, sizeof(struct member_entry));
	m->order = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	m->relays = g_array_new(FALSE, FALSE, sizeof(struct member_relay));
	rng_seed(&m->rng, seed);
	/* Late answers to an earlier run of this node match no probe. */
	m->sequence = (uint32_t)rng_next(&m->rng);
}

/* Frees what the membership holds. */
void member_clear(struct member_table *m)
{
	g_array_free(m->members, TRUE);
	g_array_free(m->order, TRUE);
	g_array_free(m->relays, TRUE);
	memset(m, 0, sizeof(*m));
}

static struct member_entry *at(const struct member_table *m, uint32_t i)
{
	return &g_array_index(m->members, struct member_entry, i);
}

static struct member_entry *find(const struct member_table *m, const char *name)
{
	for (uint32_t i = 0; i < m->members->len; i++)
		if (!strcmp(at(m, i)->is.name, name))
			return at(m, i);
	return NULL;
}

/* Returns how many members are in a state; this node is not counted. */
uint32_t member_count(const struct member_table *m, enum member_state state)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < m->members->len; i++)
		n += at(m, i)->is.state == state;
	return n;
}

/* Each news item is passed on a few times the logarithm of the members. */
static uint32_t tell_times(const struct member_table *m)
{
	uint32_t n = m->members->len + 1;
	uint32_t log2 = 1;

	while (n >>= 1)
		log2++;
	return TELL_FACTOR * log2;
}

static void add_member(struct member_table *m, uint64_t now,
		       const struct member_update *u)
{
	struct member_entry new = {.is = *u, .changed_at = now};
	uint32_t index = m->members->len;
	uint32_t place;

	g_array_append_val(m->members, new);
	at(m, index)->tell_left = tell_times(m);
	place = rng_below(&m->rng, m->order->len + 1);
	g_array_insert_val(m->order, place, index);
}

/* Whether news of a member beats what is known of it. */
static bool beats(const struct member_update *news,
		  const struct member_update *known)
{
	if (news->incarnation != known->incarnation)
		return news->incarnation > known->incarnation;
	return news->state > known->state;
}

/* News that this node is suspected or dead is answered with a newer word. */
static void defend_self(struct member_table *m, const struct member_update *u)
{
	if (u->incarnation < m->self.incarnation)
		return;
	if (u->state == MEMBER_ALIVE || u->state == m->self.state)
		return;
	m->self.incarnation = u->incarnation + 1;
}

static void learn(struct member_table *m, uint64_t now,
		  const struct member_update *u)
{
	struct member_entry *known;

	if (!u->name[0])
		return;
	if (!strcmp(u->name, m->self.name)) {
		defend_self(m, u);
		return;
	}
	known = find(m, u->name);
	if (!known) {
		if (u->state != MEMBER_DEAD)
			add_member(m, now, u);
		return;
	}
	if (!beats(u, &known->is))
		return;
	INVARIANT(u->incarnation >= known->is.incarnation,
		  "member: incarnations never go back");
	known->is = *u;
	known->changed_at = now;
	known->tell_left = tell_times(m);
}

/*
 * Takes a node from the platform's list. One already known keeps its state;
 * one that was given up stays so until it speaks for itself.
 */
void member_add(struct member_table *m, uint64_t now, const char *name,
		struct member_addr addr)
{
	struct member_update u = {.addr = addr, .state = MEMBER_ALIVE};

	g_strlcpy(u.name, name, sizeof(u.name));
	if (!strcmp(name, m->self.name) || find(m, name))
		return;
	add_member(m, now, &u);
}

/* Sets what this node's messages tell of the head and of the store. */
void member_set_config_head(struct member_table *m, uint64_t revision,
			    uint64_t confirmed_at, bool confirmed,
			    bool store_cut)
{
	m->head_revision = revision;
	m->head_confirmed_at = confirmed_at;
	m->head_confirmed = confirmed;
	m->store_cut = store_cut;
}

/*
 * Adds the news told least often, after those already there.
 */
static void attach_updates(struct member_table *m, struct member_msg *msg)
{
	while (msg->n_updates < MEMBER_MAX_UPDATES) {
		struct member_entry *best = NULL;

		for (uint32_t i = 0; i < m->members->len; i++) {
			struct member_entry *c = at(m, i);
			bool taken = false;

			for (uint32_t j = 0; j < msg->n_updates; j++)
				taken |= !strcmp(msg->updates[j].name,
						 c->is.name);
			if (taken || !c->tell_left)
				continue;
			if (!best || c->tell_left > best->tell_left)
				best = c;
		}
		if (!best)
			return;
		best->tell_left--;
		msg->updates[msg->n_updates++] = best->is;
	}
}

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
	msg.store_cut = m->store_cut;
	attach_updates(m, &msg);
	return msg;
}

static struct member_msg new_message(struct member_table *m, uint64_t now,
				     enum member_msg_kind kind,
				     uint32_t sequence)
{
	return new_message_about(m, now, kind, sequence, NULL);
}

static void send(GArray *out, struct member_addr to,
		 const struct member_msg *msg)
{
	struct member_datagram o = {.to = to, .msg = *msg};

	g_array_append_val(out, o);
}

/* Notes a probe's outcome; the dead are counted without probing them. */
static void add_sample(struct member_table *m, uint64_t now, bool heard,
		       bool cut)
{
	const struct member_entry *c = find(m, m->probe.name);
	struct member_probe_result s = {.at = now, .heard = heard, .cut = cut};

	s.who = g_str_hash(m->probe.name);
	if (!heard && c && c->is.state == MEMBER_DEAD)
		return;
	m->samples[m->n_samples++ % MEMBER_PROBE_HISTORY] = s;
}

static void suspect(struct member_table *m, uint64_t now, const char *name)
{
	struct member_entry *c = find(m, name);

	if (!c || c->is.state != MEMBER_ALIVE)
		return;
	c->is.state = MEMBER_SUSPECT;
	c->changed_at = now;
	c->tell_left = tell_times(m);
}

/* Gives up on members suspected for long, and forgets the long dead. */
static void age_members(struct member_table *m, uint64_t now)
{
	for (uint32_t i = 0; i < m->members->len; i++) {
		struct member_entry *c = at(m, i);

		if (c->is.state != MEMBER_SUSPECT ||
		    now - c->changed_at < MEMBER_SUSPECT_TIMEOUT_MS)
			continue;
		c->is.state = MEMBER_DEAD;
		c->changed_at = now;
		c->tell_left = tell_times(m);
	}
}

static void rebuild_order(struct member_table *m)
{
	g_array_set_size(m->order, 0);
	for (uint32_t i = 0; i < m->members->len; i++) {
		uint32_t place = rng_below(&m->rng, m->order->len + 1);

		g_array_insert_val(m->order, place, i);
	}
}

static void forget_dead(struct member_table *m, uint64_t now)
{
	bool forgot = false;

	for (uint32_t i = m->members->len; i > 0; i--) {
		struct member_entry *c = at(m, i - 1);
		bool gone = c->is.state == MEMBER_DEAD ||
			    c->is.state == MEMBER_LEAVING;

		if (!gone || now - c->changed_at < MEMBER_RETENTION_MS)
			continue;
		/*
		 * Without the platform's list nobody would name them again,
		 * and the rest of a cut fleet would look like all of it.
		 */
		if (m->store_cut && c->is.state == MEMBER_DEAD)
			continue;
		g_array_remove_index_fast(m->members, i - 1);
		forgot = true;
	}
	if (forgot)
		rebuild_order(m);
}

/*
 * The dead are probed too, though seldom: after a cut both sides hold each
 * other for dead, and only a probe shows that it has healed.
 */
static bool is_probed(struct member_table *m, const struct member_entry *c)
{
	switch (c->is.state) {
	case MEMBER_ALIVE:
	case MEMBER_SUSPECT:
		return true;
	case MEMBER_DEAD:
		return rng_below(&m->rng, PROBE_DEAD_ONE_IN) == 0;
	case MEMBER_LEAVING:
		return false;
	}
	return false;
}

/* Walks all members in random order, a new one for each round. */
static struct member_entry *next_target(struct member_table *m)
{
	for (uint32_t tries = 0; tries <= 2 * m->order->len; tries++) {
		struct member_entry *c;

		if (m->next >= m->order->len) {
			rebuild_order(m);
			m->next = 0;
			if (!m->order->len)
				return NULL;
		}
		c = at(m, g_array_index(m->order, uint32_t, m->next++));
		if (is_probed(m, c))
			return c;
	}
	return NULL;
}

static void ask_helpers(struct member_table *m, uint64_t now, GArray *out)
{
	struct member_entry *target = find(m, m->probe.name);
	struct member_msg msg;
	uint32_t asked = 0;

	m->probe.asked_helpers = true;
	if (!target)
		return;
	for (uint32_t i = 0;
	     i < m->members->len && asked < MEMBER_INDIRECT_PROBES; i++) {
		struct member_entry *c =
			at(m, rng_below(&m->rng, m->members->len));

		if (c == target || c->is.state != MEMBER_ALIVE)
			continue;
		msg = new_message(m, now, MEMBER_PING_REQ, m->probe.sequence);
		msg.target = target->is.addr;
		send(out, c->is.addr, &msg);
		asked++;
	}
}

static void begin_probe(struct member_table *m, uint64_t now, GArray *out)
{
	struct member_entry *target = next_target(m);
	struct member_msg msg;

	if (!target)
		return;
	m->probe.out = true;
	m->probe.asked_helpers = false;
	m->probe.sequence = ++m->sequence;
	m->probe.sent_at = now;
	g_strlcpy(m->probe.name, target->is.name, sizeof(m->probe.name));
	msg = new_message_about(m, now, MEMBER_PING, m->probe.sequence,
				target->is.state == MEMBER_ALIVE ? NULL
								 : &target->is);
	send(out, target->is.addr, &msg);
}

static void expire_relays(struct member_table *m, uint64_t now)
{
	for (uint32_t i = m->relays->len; i > 0; i--)
		if (now - g_array_index(m->relays, struct member_relay, i - 1)
				    .at >
		    2 * MEMBER_PROBE_PERIOD_MS)
			g_array_remove_index_fast(m->relays, i - 1);
}

/*
 * Does what is due: asks helpers for a probe that was not answered in
 * MEMBER_ACK_TIMEOUT_MS, ends it after MEMBER_PROBE_PERIOD_MS, begins the next. Call it every
 * MEMBER_ACK_TIMEOUT_MS / 2 or more often.
 */
void member_tick(struct member_table *m, uint64_t now, GArray *out)
{
	if (m->probe.out && !m->probe.asked_helpers &&
	    now - m->probe.sent_at >= MEMBER_ACK_TIMEOUT_MS)
		ask_helpers(m, now, out);
	if (now < m->next_at)
		return;
	m->next_at = now + MEMBER_PROBE_PERIOD_MS;
	if (m->probe.out) {
		m->probe.out = false;
		add_sample(m, now, false, false);
		suspect(m, now, m->probe.name);
	}
	age_members(m, now);
	forget_dead(m, now);
	expire_relays(m, now);
	begin_probe(m, now, out);
}

static void relay_ack(struct member_table *m, const struct member_msg *msg,
		      GArray *out)
{
	for (uint32_t i = 0; i < m->relays->len; i++) {
		struct member_relay r =
			g_array_index(m->relays, struct member_relay, i);
		struct member_msg back;

		if (r.sequence != msg->sequence)
			continue;
		back = *msg;
		back.sequence = r.their_sequence;
		back.head_age_ms = MEMBER_AGE_UNKNOWN;
		send(out, r.back, &back);
		g_array_remove_index_fast(m->relays, i);
		return;
	}
}

/*
 * An acknowledgement of my own probe. What it says of the head held when it
 * was sent, thus no earlier than my probe left.
 */
static struct member_head_report on_ack(struct member_table *m, uint64_t now,
					const struct member_msg *msg,
					GArray *out)
{
	struct member_head_report head = {.revision = msg->head_revision};

	if (!m->probe.out || msg->sequence != m->probe.sequence ||
	    strcmp(msg->from.name, m->probe.name) != 0) {
		relay_ack(m, msg, out);
		return head;
	}
	m->probe.out = false;
	add_sample(m, now, true, msg->store_cut);
	if (msg->head_age_ms == MEMBER_AGE_UNKNOWN ||
	    msg->head_age_ms > m->probe.sent_at)
		return head;
	head.confirmed = true;
	head.as_of = m->probe.sent_at - msg->head_age_ms;
	return head;
}

static void on_ping_req(struct member_table *m, uint64_t now,
			const struct member_msg *msg, GArray *out)
{
	struct member_relay r = {
		.sequence = ++m->sequence,
		.their_sequence = msg->sequence,
		.back = msg->from.addr,
		.at = now,
	};
	struct member_msg ping = new_message(m, now, MEMBER_PING, r.sequence);

	g_array_append_val(m->relays, r);
	send(out, msg->target, &ping);
}

/*
 * Takes a message and queues the replies. Returns what it told of the
 * configuration's head; a revision without `confirmed` is only a hint that a
 * newer one exists.
 */
struct member_head_report member_on_message(struct member_table *m,
					    uint64_t now,
					    const struct member_msg *msg,
					    GArray *out)
{
	struct member_head_report head = {.revision = msg->head_revision};
	struct member_msg ack;

	learn(m, now, &msg->from);
	for (uint32_t i = 0; i < msg->n_updates && i < MEMBER_MAX_UPDATES; i++)
		learn(m, now, &msg->updates[i]);
	switch (msg->kind) {
	case MEMBER_PING:
		ack = new_message(m, now, MEMBER_ACK, msg->sequence);
		send(out, msg->from.addr, &ack);
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
 * Makes this node known at an address whose node has no name yet; its
 * acknowledgement tells the name.
 */
void member_ping_address(struct member_table *m, uint64_t now,
			 struct member_addr to, GArray *out)
{
	struct member_msg msg = new_message(m, now, MEMBER_PING, ++m->sequence);

	send(out, to, &msg);
}

/* Tells some members that this node leaves; they pass it on. */
void member_announce_leave(struct member_table *m, uint64_t now, GArray *out)
{
	struct member_msg msg;

	m->self.state = MEMBER_LEAVING;
	m->self.incarnation++;
	for (uint32_t i = 0; i < m->members->len && i < MEMBER_LEAVE_FANOUT;
	     i++) {
		struct member_entry *c = at(m, i);

		if (c->is.state != MEMBER_ALIVE)
			continue;
		msg = new_message(m, now, MEMBER_PING, ++m->sequence);
		send(out, c->is.addr, &msg);
	}
}

/* The latest outcomes of probes, one for each member probed. */
struct tally {
	uint32_t probed;
	uint32_t cut;
};

static bool probed_since(const struct member_table *m, uint32_t newer,
			 uint32_t who)
{
	for (uint32_t i = 0; i < newer; i++)
		if (m->samples[(m->n_samples - 1 - i) % MEMBER_PROBE_HISTORY]
			    .who == who)
			return true;
	return false;
}

static struct tally count_samples(const struct member_table *m, uint64_t now)
{
	uint32_t n = MIN(m->n_samples, MEMBER_PROBE_HISTORY);
	struct tally t = {0};

	for (uint32_t i = 0; i < n; i++) {
		const struct member_probe_result *s =
			&m->samples[(m->n_samples - 1 - i) %
				    MEMBER_PROBE_HISTORY];

		if (now - s->at > MEMBER_PROBE_HISTORY_MS)
			break;
		if (probed_since(m, i, s->who))
			continue;
		t.probed++;
		t.cut += s->heard && s->cut;
	}
	return t;
}

/*
 * Estimates how many members can be heard and say that the store is out of
 * their reach, from the latest probe of each member probed
 * within MEMBER_PROBE_HISTORY_MS. With few members that is all of them; with many it is
 * a random sample, scaled to those not dead. The dead count as members that
 * cannot be heard.
 */
struct cfg_view_peers member_estimate_peers(const struct member_table *m,
					    uint64_t now)
{
	uint32_t leaving = member_count(m, MEMBER_LEAVING);
	uint32_t others = m->members->len - leaving;
	uint32_t live = others - member_count(m, MEMBER_DEAD);
	struct tally t = count_samples(m, now);
	struct cfg_view_peers p = {
		.members = others + 1,
		.cut = m->store_cut,
	};

	if (!t.probed)
		return p;
	p.cut += live * t.cut / t.probed;
	return p;
}
