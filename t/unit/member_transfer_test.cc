#include <algorithm>
#include <cstring>
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "fleet/member-transfer.h"
}

namespace {

constexpr uint64_t TICK_MS = 100;
constexpr uint64_t JOIN_INTERVAL_MS = 500;
constexpr uint64_t ANNOUNCE_PERIOD_MS = 10000;
constexpr uint32_t ANNOUNCE_FANOUT = 24;
constexpr uint32_t SEEDS = 3;

member_table table_of(const char *name, uint32_t ip)
{
	member_table m;

	member_init(&m, name, {ip, 7000}, 1, 1);
	return m;
}

TEST(MemberTransfer, AStartingNodeLearnsTheWholeFleetFromOneAnswer)
{
	member_table full = table_of("full", 1), starting = table_of("new", 2);

	for (uint32_t i = 0; i < 400; i++) {
		std::string name = "node" + std::to_string(i);

		member_add(&full, 1000, name.c_str(), {100 + i, 7000});
	}
	json_object *list = member_transfer_to_json(&full);

	EXPECT_EQ(member_transfer_apply(&starting, 1000, list), 401u);
	EXPECT_EQ(member_count(&starting, MEMBER_ALIVE), 401u);
	EXPECT_EQ(member_transfer_apply(&starting, 1000, list), 0u);
	/* The others know them: no message needs to carry them. */
	for (guint i = 0; i < starting.members->len; i++)
		EXPECT_EQ(g_array_index(starting.members, member_entry, i)
				  .sends_left,
			  0u);
	json_object_put(list);
	member_clear(&full);
	member_clear(&starting);
}

TEST(MemberTransfer, SkipsMalformedAndKnownEntries)
{
	member_table m = table_of("me", 1);
	const std::string text =
		"[[\"a\",5,1,3],[\"me\",5,1,9],[\"b\",-5,1,3],"
		"[\"c\",5,70000,3],[\"d\",5,1],[5,5,1,3],[\"\",5,1,3],"
		"[\"e\",\"5\",1,3],[\"f\",5,1,-1],{},7,null,[],[\"" +
		std::string(100, 'x') + "\",5,1,3]]";
	json_object *list = json_tokener_parse(text.c_str());

	EXPECT_EQ(member_transfer_apply(&m, 1000, list), 1u);
	EXPECT_EQ(member_transfer_apply(&m, 1000, NULL), 0u);
	json_object_put(list);
	member_clear(&m);
}

TEST(MemberTransfer, TakesUpARestartThatItHasNotHeardOf)
{
	member_table before = table_of("me", 1), after = table_of("other", 2);
	const member_update dead = {"node", {9, 7000}, MEMBER_DEAD, 5};
	const member_update alive = {"node", {10, 7000}, MEMBER_ALIVE, 6};
	const member_update old = {"node", {9, 7000}, MEMBER_ALIVE, 5};

	member_add(&before, 1000, "node", {9, 7000});
	member_learn(&before, 1000, &dead);
	EXPECT_FALSE(member_learn(&before, 1000, &old));
	member_learn(&after, 1000, &alive);
	EXPECT_NE(member_transfer_digest(&before),
		  member_transfer_digest(&after));
	json_object *list = member_transfer_to_json(&after);

	EXPECT_EQ(member_transfer_apply(&before, 1000, list), 2u);
	EXPECT_EQ(member_count(&before, MEMBER_DEAD), 0u);
	member_learn(&after, 1000, &before.self);
	EXPECT_EQ(member_transfer_digest(&before),
		  member_transfer_digest(&after));
	json_object_put(list);
	member_clear(&before);
	member_clear(&after);
}

TEST(MemberTransfer, ABuildIsToldAndForgottenWhenTheMemberStartsAgain)
{
	member_table from = table_of("from", 1), to = table_of("to", 2);
	const member_update again = {"from", {1, 7000}, MEMBER_ALIVE, 9};
	struct json_object *list;

	g_strlcpy(from.self_build.id, "abc", sizeof(from.self_build.id));
	from.self_build.protocol = 3;
	list = member_transfer_to_json(&from);
	member_transfer_apply(&to, 1000, list);
	const member_entry *e = &g_array_index(to.members, member_entry, 0);
	EXPECT_STREQ(e->build.id, "abc");
	EXPECT_EQ(e->build.protocol, 3u);
	member_learn(&from, 1000, &to.self);
	EXPECT_EQ(member_transfer_digest(&from), member_transfer_digest(&to));

	member_learn(&to, 1000, &again);
	EXPECT_STREQ(e->build.id, "");
	member_transfer_apply(&to, 1000, list);
	EXPECT_STREQ(e->build.id, "") << "told by the run before";
	json_object_put(list);
	member_clear(&from);
	member_clear(&to);
}

TEST(MemberTransfer, WhatALaterBuildAppendsIsIgnored)
{
	member_table m = table_of("me", 1);
	json_object *list = json_tokener_parse(
		"[[\"a\",5,1,3,\"x\",2,{\"later\":1},7]]");

	EXPECT_EQ(member_transfer_apply(&m, 1000, list), 1u);
	EXPECT_EQ(g_array_index(m.members, member_entry, 0).build.protocol, 2u);
	json_object_put(list);
	member_clear(&m);
}

TEST(MemberTransfer, MalformedBuildsAreNotTakenUp)
{
	const char *tails[] = {"\"x\"", "\"x\",0", "\"x\",\"1\"", "7,1",
			       "\"\",1", "\"0123456789abcdef\",1",
			       "\"a b\",1", "\"a\\\"\",1"};

	for (const char *tail : tails) {
		member_table m = table_of("me", 1);
		const std::string text =
			std::string("[[\"a\",5,1,3,") + tail + "]]";
		json_object *list = json_tokener_parse(text.c_str());

		EXPECT_EQ(member_transfer_apply(&m, 1000, list), 1u) << tail;
		EXPECT_STREQ(g_array_index(m.members, member_entry, 0).build.id,
			     "")
			<< tail;
		json_object_put(list);
		member_clear(&m);
	}
}

/* Returns how often a node asks in a time if each answer holds `added` news. */
uint32_t questions_within(uint64_t ms, uint32_t added, bool answered)
{
	member_transfer t = {};
	uint32_t asked = 0;

	for (uint64_t now = 1000; now < 1000 + ms; now += TICK_MS) {
		if (!member_transfer_is_due(&t, now))
			continue;
		member_transfer_on_asked(&t, now);
		asked++;
		if (answered)
			member_transfer_on_answer(&t, now, added, 100);
	}
	return asked;
}

TEST(MemberTransfer, QuestionsAreRareOnceNothingNewIsLearnt)
{
	EXPECT_EQ(questions_within(20000, 0, true), 5u);
	EXPECT_EQ(questions_within(1000, 50, true), 4u);
	EXPECT_LE(questions_within(60000, 50, true), 8u + 12u);
	EXPECT_LE(questions_within(60000, 0, false), 8u + 12u);
}

TEST(MemberTransfer, OneAnswerOfANodeThatHasJustStartedDoesNotCompleteTheMembers)
{
	member_transfer t = {};

	member_transfer_on_asked(&t, 1000);
	member_transfer_on_answer(&t, 1000, 0, 60);
	EXPECT_FALSE(member_transfer_is_complete(&t));
	EXPECT_TRUE(member_transfer_is_due(&t, 1300));
	member_transfer_on_asked(&t, 1300);
	member_transfer_on_answer(&t, 1300, 39, 99);
	EXPECT_FALSE(member_transfer_is_complete(&t));
	for (uint64_t now = 1600; now <= 1900; now += 300) {
		member_transfer_on_asked(&t, now);
		member_transfer_on_answer(&t, now, 1, 100);
	}
	EXPECT_TRUE(member_transfer_is_complete(&t));
	EXPECT_FALSE(member_transfer_is_due(&t, 2200));
	/* Nodes that join later take nothing from those that know the fleet. */
	member_transfer_on_answer(&t, 6900, 50, 150);
	EXPECT_TRUE(member_transfer_is_complete(&t));
}

TEST(MemberTransfer, AStartingNodeMakesItselfKnownToAllOnce)
{
	member_table m = table_of("me", 1);
	uint32_t told = 0;

	for (uint32_t i = 0; i < 300; i++)
		member_add(&m, 1000, ("n" + std::to_string(i)).c_str(),
			   {100 + i, 7000});
	for (int i = 0; i < 30; i++) {
		GArray *out =
			g_array_new(FALSE, FALSE, sizeof(member_datagram));

		member_announce(&m, 24, out);
		EXPECT_LE(out->len, 24u);
		told += out->len;
		g_array_free(out, TRUE);
	}
	EXPECT_EQ(told, 300u);
	member_clear(&m);
}

/*
 * Nodes that exchange messages and member lists, each of which arrives at the
 * next tick. All know the addresses of SEEDS seeds.
 */
class sim_fleet {
    public:
	uint64_t now = 1000;

	sim_fleet(uint32_t n, bool transfers)
		: transfers(transfers)
	{
		for (uint32_t i = 0; i < n; i++) {
			nodes.push_back(std::make_unique<node>());
			start(i, 1);
		}
	}

	~sim_fleet()
	{
		for (auto &n : nodes)
			member_clear(&n->table);
	}

	void restart(uint32_t i)
	{
		uint32_t incarnation = nodes[i]->table.self.incarnation;

		member_clear(&nodes[i]->table);
		start(i, incarnation + 10);
	}

	void run(uint64_t ms)
	{
		for (uint64_t end = now + ms; now < end; now += TICK_MS)
			tick();
	}

	/* The fewest members that any node counts as alive. */
	uint32_t fewest_known() const
	{
		uint32_t fewest = UINT32_MAX;

		for (auto &n : nodes)
			fewest = std::min(fewest,
					  member_count(&n->table, MEMBER_ALIVE));
		return fewest;
	}

	/* The fewest nodes that know the present run of one of the nodes. */
	uint32_t fewest_informed() const
	{
		uint32_t fewest = UINT32_MAX;

		for (auto &of : nodes) {
			uint32_t informed = 0;

			for (auto &n : nodes)
				informed += knows(n->table, of->table.self);
			fewest = std::min(fewest, informed);
		}
		return fewest;
	}

    private:
	struct node {
		member_table table;
		member_transfer transfer;
		uint64_t started_at;
		uint64_t next_join_at;
	};

	static bool knows(const member_table &m, const member_update &self)
	{
		for (guint i = 0; i < m.members->len; i++) {
			const member_update &u =
				g_array_index(m.members, member_entry, i).info;

			if (!strcmp(u.name, self.name))
				return u.incarnation == self.incarnation;
		}
		return false;
	}

	void start(uint32_t i, uint32_t incarnation)
	{
		node &n = *nodes[i];

		member_init(&n.table, ("n" + std::to_string(i)).c_str(),
			    {i + 1, 7000}, incarnation, i);
		n.transfer = {};
		n.started_at = now;
		n.next_join_at = 0;
	}

	void ask(node &n, rng &r)
	{
		const GArray *members = n.table.members;
		struct json_object *list;
		uint32_t added;

		if (!members->len || !member_transfer_is_due(&n.transfer, now))
			return;
		member_transfer_on_asked(&n.transfer, now);
		const member_update &to =
			g_array_index(members, member_entry,
				      rng_below(&r, members->len))
				.info;
		if (to.state != MEMBER_ALIVE)
			return;
		list = member_transfer_to_json(
			&nodes[to.addr.ip - 1]->table);
		added = member_transfer_apply(&n.table, now, list);
		member_transfer_on_answer(&n.transfer, now, added,
					  members->len);
		json_object_put(list);
	}

	void join(node &n, GArray *out)
	{
		if (now < n.next_join_at ||
		    member_count(&n.table, MEMBER_ALIVE) >= SEEDS)
			return;
		n.next_join_at = now + JOIN_INTERVAL_MS;
		for (uint32_t s = 1; s <= SEEDS; s++)
			if (n.table.self.addr.ip != s)
				member_ping_address(&n.table, now, {s, 7000},
						    out);
	}

	void tick()
	{
		GArray *sent = g_array_new(FALSE, FALSE,
					   sizeof(member_datagram));

		for (guint i = 0; i < in_flight.size(); i++)
			member_on_message(
				&nodes[in_flight[i].to.ip - 1]->table, now,
				&in_flight[i].msg, sent);
		for (auto &n : nodes) {
			member_tick(&n->table, now, sent);
			join(*n, sent);
			if (!transfers)
				continue;
			ask(*n, random);
			if (now - n->started_at < ANNOUNCE_PERIOD_MS)
				member_announce(&n->table, ANNOUNCE_FANOUT,
						sent);
		}
		in_flight.assign((member_datagram *)sent->data,
				 (member_datagram *)sent->data + sent->len);
		g_array_free(sent, TRUE);
	}

	bool transfers;
	std::vector<std::unique_ptr<node>> nodes;
	std::vector<member_datagram> in_flight;
	rng random = {};
};

TEST(MemberTransfer, ALargeFleetKnowsItselfSecondsAfterAllNodesStart)
{
	sim_fleet fleet(300, true);

	fleet.run(3000);
	EXPECT_GE(fleet.fewest_known(), 299u * 95 / 100);
	fleet.run(4000);
	EXPECT_EQ(fleet.fewest_known(), 299u);
}

TEST(MemberTransfer, RestartedNodesAreKnownToAllWithinSeconds)
{
	sim_fleet fleet(300, true);

	fleet.run(12000);
	for (uint32_t i = 100; i < 132; i++)
		fleet.restart(i);
	fleet.run(4000);
	EXPECT_EQ(fleet.fewest_known(), 299u);
	EXPECT_EQ(fleet.fewest_informed(), 299u);
}

TEST(MemberTransfer, GossipAloneTakesLonger)
{
	sim_fleet fleet(300, false);

	fleet.run(7000);
	EXPECT_LT(fleet.fewest_known(), 200u);
}

} // namespace
