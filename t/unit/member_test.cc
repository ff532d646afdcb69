// Tests of membership and of how the configuration's head spreads, with many
// nodes in one process under simulated time and network; and of the wire
// format.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "config/view.h"
#include "member/member.h"
#include "wire/codec.h"
}

namespace
{

const uint64_t kTickMs = 50;
const uint64_t kWatchMs = 2000; // a node reads the head this often

struct Node {
	member_table m;
	cfg_view view = {};
	uint64_t store_ok_at = 0;
	uint64_t next_watch = 0;
	bool dead = false;
	bool frozen = false; // runs neither timers nor messages, may resume
};

// Nodes on one clock. A message arrives one tick after it was sent, unless
// `connected` says no. Nodes that can reach the store read its head every
// kWatchMs.
class Fleet
{
      public:
	std::vector<std::unique_ptr<Node>> nodes;
	uint64_t now = 1000;
	uint64_t head = 1;
	uint64_t bytes = 0;
	std::set<size_t> without_store;
	std::function<bool(size_t, size_t)> connected = [](size_t, size_t) {
		return true;
	};

	explicit Fleet(size_t n, uint64_t seed = 1)
	{
		for (size_t i = 0; i < n; i++) {
			auto node = std::make_unique<Node>();
			member_addr a = address(i);
			member_init(&node->m, name(i).c_str(), a, 1, seed + i);
			node->next_watch = now + i * kWatchMs / n;
			nodes.push_back(std::move(node));
		}
		for (auto &node : nodes)
			for (size_t i = 0; i < n; i++)
				member_add(&node->m, now, name(i).c_str(),
					   address(i));
	}
	~Fleet()
	{
		for (auto &n : nodes)
			member_clear(&n->m);
	}
	static std::string name(size_t i)
	{
		return "node" + std::to_string(i);
	}
	static member_addr address(size_t i)
	{
		return member_addr {(uint32_t)(0x0a000001 + i), 7000};
	}
	cfg_view_state view_state(size_t i)
	{
		cfg_view_peers p = member_estimate_peers(&nodes[i]->m, now);
		return cfg_view_evaluate(&nodes[i]->view, now, &p);
	}
	// Returns the state of the subject in the observer's table.
	member_state state_seen_by(size_t observer, size_t subject)
	{
		GArray *a = nodes[observer]->m.members;
		for (guint i = 0; i < a->len; i++) {
			member_entry *m = &g_array_index(a, member_entry, i);
			if (name(subject) == m->info.name)
				return m->info.state;
		}
		return MEMBER_DEAD;
	}
	void run(uint64_t ms)
	{
		for (uint64_t end = now + ms; now < end; now += kTickMs)
			tick();
	}

      private:
	struct InFlight {
		size_t from;
		member_datagram out;
	};
	std::vector<InFlight> in_flight;

	void enqueue(size_t from, GArray *out)
	{
		for (guint i = 0; i < out->len; i++)
			in_flight.push_back(
				{from, g_array_index(out, member_datagram, i)});
		g_array_set_size(out, 0);
	}
	void update_view(Node &n, uint64_t confirmed_at, uint64_t revision)
	{
		if (cfg_view_on_head(&n.view, now, confirmed_at, revision) ==
		    CFG_VIEW_FETCH)
			cfg_view_on_fetched(&n.view, revision);
	}
	void deliver(const InFlight &f, GArray *out)
	{
		size_t to = f.out.to.ip - 0x0a000001;
		if (to >= nodes.size() || !connected(f.from, to))
			return;
		Node &n = *nodes[to];
		if (n.dead || n.frozen)
			return;
		uint8_t buf[PEER_WIRE_MAX_BYTES];
		member_msg msg;
		size_t len =
			peer_wire_encode(&f.out.msg, "key", buf, sizeof(buf));
		ASSERT_GT(len, 0u);
		bytes += len;
		ASSERT_EQ(peer_wire_decode(buf, len, "key", &msg),
			  PEER_WIRE_OK);
		member_head_report h = member_on_message(&n.m, now, &msg, out);
		// A node that learns of a newer head reads it from the store.
		if (h.revision > n.view.latest && !without_store.count(to))
			update_view(n, now, head);
		if (h.confirmed && h.revision == n.view.latest)
			cfg_view_on_head(&n.view, now, h.confirmed_at, h.revision);
		enqueue(to, out);
	}
	void tick()
	{
		GArray *out =
			g_array_new(FALSE, FALSE, sizeof(member_datagram));
		std::vector<InFlight> arriving;
		arriving.swap(in_flight);
		for (const InFlight &f : arriving)
			deliver(f, out);
		for (size_t i = 0; i < nodes.size(); i++) {
			Node &n = *nodes[i];
			if (n.dead || n.frozen)
				continue;
			if (now >= n.next_watch) {
				n.next_watch = now + kWatchMs;
				if (!without_store.count(i)) {
					n.store_ok_at = now;
					update_view(n, now, head);
				}
			}
			member_set_config_head(
				&n.m, n.view.latest, n.view.latest_confirmed_at,
				n.view.latest != 0, now - n.store_ok_at > 5000);
			member_tick(&n.m, now, out);
			enqueue(i, out);
		}
		g_array_free(out, TRUE);
	}
};

TEST(Member, MembersOfAnIdleFleetStayAlive)
{
	Fleet f(9);
	f.run(60000);
	for (size_t i = 0; i < 9; i++) {
		EXPECT_EQ(member_count(&f.nodes[i]->m, MEMBER_ALIVE), 8u);
		EXPECT_EQ(f.view_state(i), CFG_VIEW_FRESH);
	}
}

TEST(Member, DeadNodeIsDetectedByAll)
{
	Fleet f(9);
	f.run(5000);
	f.nodes[4]->dead = true;
	f.run(15000);
	for (size_t i = 0; i < 9; i++)
		if (i != 4) {
			EXPECT_EQ(f.state_seen_by(i, 4), MEMBER_DEAD) << i;
		}
}

TEST(Member, FrozenNodeIsAliveAgainAfterItResumes)
{
	Fleet f(9);
	f.run(5000);
	f.nodes[4]->frozen = true;
	f.run(15000);
	EXPECT_EQ(f.view_state(4), CFG_VIEW_STALE);
	f.nodes[4]->frozen = false;
	f.run(20000);
	for (size_t i = 0; i < 9; i++) {
		EXPECT_EQ(f.state_seen_by(i == 4 ? 0 : i, 4), MEMBER_ALIVE)
			<< i;
		EXPECT_EQ(f.view_state(i), CFG_VIEW_FRESH);
	}
}

TEST(Member, MembersAreAliveAgainAfterAPartition)
{
	Fleet f(8);
	f.run(5000);
	f.connected = [](size_t a, size_t b) { return (a < 4) == (b < 4); };
	f.run(20000);
	EXPECT_EQ(f.state_seen_by(0, 7), MEMBER_DEAD);
	f.connected = [](size_t, size_t) { return true; };
	f.run(40000);
	for (size_t i = 0; i < 8; i++)
		EXPECT_EQ(member_count(&f.nodes[i]->m, MEMBER_ALIVE), 7u) << i;
}

/* A node announces that it leaves, and stops. */
void leave(Fleet &f, size_t node)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(member_datagram));

	member_announce_leave(&f.nodes[node]->m, f.now, out);
	for (guint i = 0; i < out->len; i++) {
		member_datagram *o = &g_array_index(out, member_datagram, i);
		GArray *more =
			g_array_new(FALSE, FALSE, sizeof(member_datagram));
		member_on_message(&f.nodes[o->to.ip - 0x0a000001]->m, f.now,
				  &o->msg, more);
		g_array_free(more, TRUE);
	}
	g_array_free(out, TRUE);
	f.nodes[node]->dead = true;
}

TEST(Member, ANodeThatLeftAndKnowsNobodyAfterItsRestartIsFound)
{
	for (uint32_t incarnation : {5u, 1u}) {
		Fleet f(9);
		Node &n = *f.nodes[2];

		f.run(5000);
		leave(f, 2);
		f.run(5000);
		member_clear(&n.m);
		member_init(&n.m, f.name(2).c_str(), f.address(2), incarnation,
			    77);
		n.dead = false;
		f.run(30000);
		EXPECT_EQ(member_count(&n.m, MEMBER_ALIVE), 8u);
		for (size_t i = 0; i < 9; i++)
			EXPECT_TRUE(i == 2 ||
				    f.state_seen_by(i, 2) == MEMBER_ALIVE)
				<< i;
	}
}

TEST(Member, OnlyAnAddressWithALiveMemberIsTakenForOne)
{
	member_table m = {};
	const member_update left = {"b", {7, 7000}, MEMBER_LEAVING, 5};

	member_init(&m, "a", {6, 7000}, 1, 1);
	member_add(&m, 1000, "b", {7, 7000});
	EXPECT_TRUE(member_is_alive_at(&m, {7, 7000}));
	EXPECT_FALSE(member_is_alive_at(&m, {7, 7001}));
	EXPECT_FALSE(member_is_alive_at(&m, {8, 7000}));
	member_learn(&m, 1000, &left);
	EXPECT_FALSE(member_is_alive_at(&m, {7, 7000}));
	member_clear(&m);
}

TEST(Member, LeavingNodeIsNotSuspected)
{
	Fleet f(9);
	f.run(5000);
	leave(f, 2);
	f.run(10000);
	for (size_t i = 0; i < 9; i++)
		if (i != 2) {
			EXPECT_EQ(f.state_seen_by(i, 2), MEMBER_LEAVING) << i;
		}
}

TEST(Heads, NodeWithoutTheStoreIsConfirmedByItsPeers)
{
	Fleet f(9);
	f.run(5000);
	f.without_store = {3};
	f.run(30000);
	EXPECT_EQ(f.view_state(3), CFG_VIEW_FRESH);
	// It learns of a change that it cannot read, and accepts no new work.
	f.head = 2;
	f.run(9000);
	EXPECT_EQ(f.view_state(3), CFG_VIEW_STALE);
	for (size_t i = 0; i < 9; i++)
		if (i != 3) {
			EXPECT_EQ(f.nodes[i]->view.in_force, 2u);
		}
	f.without_store.clear();
	f.run(5000);
	EXPECT_EQ(f.view_state(3), CFG_VIEW_FRESH);
	EXPECT_EQ(f.nodes[3]->view.in_force, 2u);
}

TEST(Heads, NodeWithoutPeersIsConfirmedByTheStore)
{
	Fleet f(9);
	f.run(5000);
	f.connected = [](size_t a, size_t b) { return a != 3 && b != 3; };
	f.run(30000);
	EXPECT_EQ(f.view_state(3), CFG_VIEW_FRESH);
}

TEST(Heads, NodeWithoutPeersAndStoreAcceptsNoWork)
{
	Fleet f(9);
	f.run(5000);
	f.connected = [](size_t a, size_t b) { return a != 3 && b != 3; };
	f.without_store = {3};
	f.run(9000);
	EXPECT_EQ(f.view_state(3), CFG_VIEW_STALE);
}

TEST(Heads, StoreOutageStopsNoNode)
{
	Fleet f(9);
	f.run(5000);
	for (size_t i = 0; i < 9; i++)
		f.without_store.insert(i);
	f.run(60000);
	for (size_t i = 0; i < 9; i++)
		EXPECT_EQ(f.view_state(i), CFG_VIEW_OUTAGE) << i;
}

TEST(Heads, MinorityWithoutTheStoreAcceptsNoWork)
{
	Fleet f(9);
	f.run(5000);
	for (size_t i = 0; i < 9; i++)
		f.without_store.insert(i);
	f.connected = [](size_t a, size_t b) { return (a < 3) == (b < 3); };
	// The three are a minority before they declare the others dead, and also
	// long after: dead members are kept while the store is unreachable.
	f.run(12000);
	for (size_t i = 0; i < 3; i++)
		EXPECT_EQ(f.view_state(i), CFG_VIEW_STALE) << i;
	f.run(200000);
	for (size_t i = 0; i < 3; i++)
		EXPECT_EQ(f.view_state(i), CFG_VIEW_STALE) << i;
	for (size_t i = 3; i < 9; i++)
		EXPECT_EQ(f.view_state(i), CFG_VIEW_OUTAGE) << i;
}

// Random partitions, freezes, store outages and changes: a node with a fresh
// view never serves a revision that was replaced more than
// CFG_VIEW_MAX_AGE_MS ago.
RC_GTEST_PROP(Heads, FreshViewIsNeverOlderThanTheLimit, ())
{
	const auto events =
		*rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
	const uint64_t seed = *rc::gen::inRange<uint64_t>(1, 1000);
	Fleet f(7, seed);
	std::map<uint64_t, uint64_t> replaced_at;
	std::vector<uint64_t> in_force(7);

	for (int e : events) {
		size_t who = *rc::gen::inRange<size_t>(0, 7);
		switch (e) {
		case 0:
			replaced_at[f.head++] = f.now;
			break;
		case 1:
			f.without_store.insert(who);
			break;
		case 2:
			f.without_store.clear();
			break;
		case 3:
			f.nodes[who]->frozen = !f.nodes[who]->frozen;
			break;
		case 4:
			f.connected = [who](size_t a, size_t b) {
				return a != who && b != who;
			};
			break;
		default:
			f.connected = [](size_t, size_t) { return true; };
		}
		for (int step = *rc::gen::inRange(1, 30); step > 0; step--) {
			f.run(200);
			for (size_t i = 0; i < 7; i++) {
				const cfg_view &v = f.nodes[i]->view;
				RC_ASSERT(v.in_force >= in_force[i]);
				in_force[i] = v.in_force;
				auto r = replaced_at.find(v.in_force);
				if (f.view_state(i) == CFG_VIEW_FRESH &&
				    r != replaced_at.end())
					RC_ASSERT(f.now - r->second <=
						  CFG_VIEW_MAX_AGE_MS);
			}
		}
	}
}

// ---- wire format ----

rc::Gen<member_update> update_generator()
{
	return rc::gen::exec([] {
		member_update u = {};
		std::string name =
			"n" + std::to_string(*rc::gen::inRange(0, 100000));
		g_strlcpy(u.name, name.c_str(), sizeof(u.name));
		u.addr.ip = *rc::gen::arbitrary<uint32_t>();
		u.addr.port = *rc::gen::arbitrary<uint16_t>();
		u.state = (member_state)*rc::gen::inRange(0, 4);
		u.incarnation = *rc::gen::arbitrary<uint32_t>();
		return u;
	});
}

member_msg random_message()
{
	member_msg m = {};
	m.kind = (member_msg_kind)*rc::gen::inRange(0, 3);
	m.sequence = *rc::gen::arbitrary<uint32_t>();
	m.from = *update_generator();
	m.head_revision = *rc::gen::arbitrary<uint64_t>();
	m.head_age_ms = *rc::gen::arbitrary<uint32_t>();
	m.store_unreachable = *rc::gen::arbitrary<bool>();
	m.n_updates = *rc::gen::inRange(0, MEMBER_MAX_UPDATES + 1);
	for (uint32_t i = 0; i < m.n_updates; i++)
		m.updates[i] = *update_generator();
	return m;
}

RC_GTEST_PROP(Wire, DecodesWhatItEncoded, ())
{
	member_msg m = random_message(), back;
	uint8_t buf[PEER_WIRE_MAX_BYTES];
	size_t len = peer_wire_encode(&m, "key", buf, sizeof(buf));
	RC_ASSERT(len > 0u);
	RC_ASSERT(peer_wire_decode(buf, len, "key", &back) == PEER_WIRE_OK);
	RC_ASSERT(back.kind == m.kind && back.sequence == m.sequence);
	RC_ASSERT(std::string(back.from.name) == m.from.name);
	RC_ASSERT(back.head_revision == m.head_revision);
	RC_ASSERT(back.head_age_ms == m.head_age_ms);
	RC_ASSERT(back.n_updates == m.n_updates);
	for (uint32_t i = 0; i < m.n_updates; i++) {
		RC_ASSERT(back.updates[i].incarnation ==
			  m.updates[i].incarnation);
		RC_ASSERT(back.updates[i].state == m.updates[i].state);
	}
}

RC_GTEST_PROP(Wire, AlteredMessagesAndWrongKeysAreRejected, ())
{
	member_msg m = random_message(), back;
	uint8_t buf[PEER_WIRE_MAX_BYTES];
	size_t len = peer_wire_encode(&m, "key", buf, sizeof(buf));
	RC_ASSERT(peer_wire_decode(buf, len, "other", &back) ==
		  PEER_WIRE_BAD_MAC);
	buf[*rc::gen::inRange<size_t>(0, len)] ^= 1 << *rc::gen::inRange(0, 8);
	RC_ASSERT(peer_wire_decode(buf, len, "key", &back) ==
		  PEER_WIRE_BAD_MAC);
}

// Random changes under a valid signature, as a faulty member could send them.
RC_GTEST_PROP(Wire, SignedGarbageIsDecodedWithinBounds, ())
{
	member_msg m = random_message(), back;
	uint8_t buf[PEER_WIRE_MAX_BYTES];
	size_t len = peer_wire_encode(&m, "key", buf, sizeof(buf));
	size_t body = len - PEER_WIRE_MAC_BYTES;
	for (int i = *rc::gen::inRange(1, 8); i > 0; i--)
		buf[*rc::gen::inRange<size_t>(0, body)] =
			*rc::gen::arbitrary<uint8_t>();
	peer_wire_sign(buf, body, "key");
	peer_wire_decode(buf, len, "key", &back);
	RC_ASSERT(back.n_updates <= MEMBER_MAX_UPDATES);
}

RC_GTEST_PROP(Wire, RandomBytesAreRejected, (const std::vector<uint8_t> &bytes))
{
	member_msg back;
	RC_ASSERT(peer_wire_decode(bytes.data(), bytes.size(), "key", &back) !=
		  PEER_WIRE_OK);
}

} // namespace
