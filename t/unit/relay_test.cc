#include <gtest/gtest.h>

#include <algorithm>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "exchange/pick.h"
#include "relay/helpers.h"
#include "relay/reach.h"
}

namespace {

TEST(Reach, IsLostFromAFailureToTheNextContact)
{
	reach r = {};

	EXPECT_FALSE(reach_is_lost(&r));
	reach_on_failure(&r, 1000);
	EXPECT_TRUE(reach_is_lost(&r));
	EXPECT_FALSE(reach_needs_probe(&r, 1000));
	EXPECT_TRUE(reach_needs_probe(&r, 1000 + REACH_PROBE_INTERVAL_MS));
	reach_on_contact(&r, 1500);
	EXPECT_FALSE(reach_is_lost(&r));
	EXPECT_FALSE(reach_needs_probe(&r, 9000));
}

TEST(Reach, ADoubtIsSettledByAFurtherContactOrAProbe)
{
	reach r = {};

	reach_on_contact(&r, 1000);
	reach_on_doubt(&r, 1100);
	EXPECT_FALSE(reach_needs_probe(&r, 1200));
	EXPECT_TRUE(reach_needs_probe(&r, 1300));
	r.probing = true;
	EXPECT_FALSE(reach_needs_probe(&r, 1300));
	r.probing = false;
	reach_on_contact(&r, 1250);
	EXPECT_FALSE(reach_needs_probe(&r, 1300));
	EXPECT_FALSE(reach_is_lost(&r));
}

/* Guards against every node connecting to every server while one is down. */
TEST(Reach, OneServerThatStaysDownPutsFewOthersInDoubt)
{
	reach down = {};
	reach_doubts doubts = {};
	uint32_t probes = 0, unknown = 0, known = 0;

	for (uint64_t now = 1000; now < 11000; now += 100) {
		const bool first = now == 1000;
		reach_doubt d;

		if (!first && !reach_needs_probe(&down, now))
			continue;
		d = reach_doubts_on_failure(&doubts, now, reach_is_lost(&down));
		reach_on_failure(&down, now);
		probes++;
		unknown += d.unknown;
		known += d.known;
	}
	EXPECT_EQ(unknown, REACH_UNKNOWN_DOUBTS);
	EXPECT_EQ(known, 1u);
	EXPECT_LT(probes, 20u);
}

/* Guards against a node that is cut off and does not find out that it is. */
TEST(Reach, ANodeThatIsCutOffDoubtsMostServersWithinASecond)
{
	reach_doubts doubts = {};
	uint32_t lost = 0, failing = 1; /* of 100, none was in use */

	/* A connection that hangs fails after 250 ms. */
	for (uint64_t now = 1000; now < 2000; now += 250) {
		uint32_t doubted = 0;

		for (uint32_t i = 0; i < failing; i++)
			doubted += reach_doubts_on_failure(&doubts, now, false)
					   .unknown;
		lost += failing;
		failing = std::min(doubted, 100 - lost);
	}
	EXPECT_GE(lost, 80u);
}

struct Table {
	server_table t;

	Table(uint32_t n)
	{
		server_table_init(&t);
		for (uint32_t i = 0; i < n; i++) {
			const std::string id = "s" + std::to_string(i);
			server_entry e = {};

			e.id = id.c_str();
			e.service = "desk";
			e.address = "127.0.0.1:1";
			e.zone = e.version = "v";
			e.revision = 1;
			server_update(&t, 1000, &e);
		}
	}
	~Table() { server_table_clear(&t); }
	void lose(uint32_t i, uint64_t at)
	{
		reach_on_failure(&((server_record *)t.all->pdata[i])->reach, at);
	}
	void reach_all(uint64_t now)
	{
		for (guint i = 0; i < t.all->len; i++)
			reach_on_contact(
				&((server_record *)t.all->pdata[i])->reach, now);
	}
	bool impaired(uint64_t now = 1000)
	{
		const server_reach r = server_service_reach(&t, now, "desk");

		return server_reach_is_impaired(&r);
	}
};

TEST(ServiceReach, IsImpairedWhenHalfOfTheServersAreLost)
{
	Table t(4);

	EXPECT_FALSE(t.impaired());
	t.reach_all(900);
	t.lose(0, 1000);
	EXPECT_FALSE(t.impaired());
	t.lose(1, 1000);
	EXPECT_TRUE(t.impaired());
	const server_reach none = server_service_reach(&t.t, 1000, "other");
	EXPECT_FALSE(server_reach_is_impaired(&none));
}

TEST(ServiceReach, OfManyServersThoseTriedLatelyTell)
{
	Table t(3200);

	t.reach_all(1000);
	for (uint32_t i = 0; i < 20; i++)
		t.lose(i, 5000);
	EXPECT_FALSE(t.impaired(1500));
	EXPECT_TRUE(t.impaired(5000));
}

TEST(ServiceReach, NoRequestGoesToALostServer)
{
	Table t(2);
	pick_criteria c = {};
	server_work work;
	rng r;

	rng_seed(&r, 1);
	c.service = "desk";
	t.lose(0, 1000);
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(pick_best_server(&t.t, 1100, &c, &r, &work),
			  t.t.all->pdata[1]);
	t.lose(1, 1100);
	EXPECT_FALSE(pick_best_server(&t.t, 1200, &c, &r, &work));
}

TEST(ServiceReach, ACrashedServerIsNotTakenForACutOffNode)
{
	Table t(2);

	reach_on_contact(&((server_record *)t.t.all->pdata[1])->reach, 1000);
	t.lose(0, 1100);
	EXPECT_FALSE(server_table_is_cut_off(&t.t, 1200));
	EXPECT_TRUE(server_table_is_cut_off(&t.t, 5000));
}

TEST(ServiceReach, ARestartedServerIsNotLost)
{
	Table t(1);
	server_entry e = {};

	t.lose(0, 1000);
	e.id = "s0";
	e.service = "desk";
	e.address = "127.0.0.1:2";
	e.zone = e.version = "v";
	e.revision = 2;
	server_update(&t.t, 2000, &e);
	EXPECT_FALSE(t.impaired());
}

struct Helpers {
	relay_helpers h;
	std::vector<relay_candidate> c;

	Helpers(const std::vector<const char *> &names)
	{
		relay_helpers_init(&h);
		for (const char *name : names)
			c.push_back({name, "127.0.0.1:1"});
	}
	~Helpers() { g_hash_table_unref(h.by_name); }
	relay_helper *choose(uint64_t now)
	{
		return relay_helpers_choose(&h, now, c.data(),
					    (uint32_t)c.size());
	}
};

TEST(RelayHelpers, TheLeastUsedIsChosen)
{
	Helpers x({"a", "b"});
	relay_helper *first = x.choose(1000);

	ASSERT_TRUE(first);
	first->record.in_flight = 1;
	relay_helper *second = x.choose(1000);
	ASSERT_TRUE(second);
	EXPECT_STRNE(first->record.id, second->record.id);
}

TEST(RelayHelpers, OneThatRefusedIsLeftAloneForAWhile)
{
	Helpers x({"a"});
	relay_helper *a = x.choose(1000);

	ASSERT_TRUE(a);
	relay_helper_on_refusal(a, 1000);
	EXPECT_FALSE(x.choose(1001));
	EXPECT_EQ(x.choose(1600), a);
}

RC_GTEST_PROP(RelayHelpers, NoHelperIsOverrunAndUnusedOnesAreForgotten,
	      (std::vector<uint8_t> moves))
{
	Helpers x({"a", "b", "c"});
	uint64_t now = 1000;

	for (uint8_t move : moves) {
		relay_helper *helper = x.choose(now += move);

		if (helper)
			helper->record.in_flight++;
	}
	for (const char *name : {"a", "b", "c"}) {
		auto *helper =
			(relay_helper *)g_hash_table_lookup(x.h.by_name, name);

		if (!helper)
			continue;
		RC_ASSERT(helper->record.in_flight <= 64u);
		helper->record.in_flight = 0;
	}
	relay_helpers_expire(&x.h, now + 100000);
	RC_ASSERT(g_hash_table_size(x.h.by_name) == 0u);
}

} // namespace
