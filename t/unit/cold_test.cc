// Cold servers: which requests all nodes together send to one.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

extern "C" {
#include "exchange/cold.h"
#include "exchange/pick.h"
#include "fleet/rank.h"
#include "wire/codec.h"
#include "wire/fleet-codec.h"
}

namespace
{

const uint32_t kColdMs = 3000;
const uint32_t kMost = 23;

cold_state with_rule()
{
	cold_state c = {};

	c.rule = cold_rule_of(12, 1.5, 5, kColdMs);
	return c;
}

TEST(Cold, TheLimitIsTheRateTimesTheFactorAndTheSlack)
{
	EXPECT_EQ(cold_rule_of(12, 1.5, 5, 1).max_requests, kMost);
	EXPECT_EQ(cold_rule_of(0, 1.5, 5, 1).max_requests, 0u);
	EXPECT_EQ(cold_rule_of(12, 0, 5, 1).max_requests, 0u);
}

TEST(Cold, WithoutARuleAnyRequestMayBeSent)
{
	cold_state c = {};

	cold_on_entry(&c, 1000, 3000);
	cold_on_start(&c, 1000);
	cold_on_doubt(&c);
	EXPECT_TRUE(cold_allows(&c, 1001));
}

/* A later entry that was written before the cold phase must not end it. */
TEST(Cold, TheLongestTimeOfEntriesHolds)
{
	cold_state c = with_rule();

	cold_on_entry(&c, 1000, 3000);
	cold_on_entry(&c, 1200, 500);
	cold_on_entry(&c, 1400, 0);
	EXPECT_TRUE(cold_is_in_force(&c, 3999));
	EXPECT_EQ(cold_left_ms(&c, 3000), 1000u);
	EXPECT_FALSE(cold_is_in_force(&c, 4000));
}

/* Nodes that do not know the members would add up to more than the limit. */
TEST(Cold, ANodeWithoutARankSendsNothing)
{
	cold_state c = with_rule();

	cold_on_start(&c, 1000);
	EXPECT_FALSE(cold_allows(&c, 1500));
	cold_set_rank(&c, 40, 72);
	EXPECT_FALSE(cold_allows(&c, 1500));
	EXPECT_EQ(cold_allowed_at(&c, 1500), 1000u + kColdMs);
	cold_set_rank(&c, 4, 72);
	EXPECT_TRUE(cold_allows(&c, 1500));
	cold_count(&c, 1500);
	EXPECT_FALSE(cold_allows(&c, 2500));
	EXPECT_TRUE(cold_allows(&c, 2600));
}

/* Entries report a blackout up to 2 s late: the first contact must count. */
TEST(Cold, AServerThatWasOutOfReachIsPossiblyColdFromItsFirstContact)
{
	cold_state c = with_rule();

	cold_on_contact(&c, 500);
	EXPECT_TRUE(cold_allows(&c, 900));
	cold_on_doubt(&c);
	EXPECT_FALSE(cold_allows(&c, 20000));
	cold_on_contact(&c, 20000);
	EXPECT_FALSE(cold_allows(&c, 20000 + kColdMs - 1));
	EXPECT_FALSE(cold_is_known(&c, 20001));
	EXPECT_TRUE(cold_allows(&c, 20000 + kColdMs));
}

/* What an entry proves that may have been written before the blackout. */
TEST(Cold, OnlyALaterEntryOrAnAnswerProvesThatAServerIsWarm)
{
	cold_state c = with_rule();

	cold_on_doubt(&c);
	cold_on_contact(&c, 1000);
	cold_on_entry(&c, 1300, 0);
	EXPECT_FALSE(cold_allows(&c, 1400));
	/* Entries are written each 1.2 s: this one may be of before. */
	cold_on_entry(&c, 2300, 0);
	EXPECT_FALSE(cold_allows(&c, 2301));
	cold_on_entry(&c, 2500, 0);
	EXPECT_TRUE(cold_allows(&c, 2501));
	cold_on_doubt(&c);
	cold_on_answer(&c, 3000, "0");
	EXPECT_TRUE(cold_allows(&c, 3000));
	cold_on_answer(&c, 3000, "700");
	EXPECT_FALSE(cold_allows(&c, 3699));
	cold_on_answer(&c, 3000, "soon");
	EXPECT_TRUE(cold_allows(&c, 3700));
}

/*
 * The sum of all nodes in any second at a server that all know to be cold, when each
 * does not know up to a quarter of the others, some are cut off in a group of their
 * own, all want to send all the time, and requests take up to 100 ms to arrive.
 */
RC_GTEST_PROP(Cold, TheSumOfAllNodesKeepsToTheLimit, ())
{
	const uint32_t n = *rc::gen::inRange(1, 120);
	const uint32_t forgets = *rc::gen::inRange(4, 12);
	const uint32_t cut_off = *rc::gen::inRange(0u, n);
	const std::vector<uint32_t> noise =
		*rc::gen::container<std::vector<uint32_t>>(
			n, rc::gen::inRange(0u, 1u << 30));
	std::vector<uint64_t> arrivals;

	for (uint32_t i = 0; i < n; i++) {
		GArray *members =
			g_array_new(FALSE, TRUE, sizeof(member_entry));
		const std::string self = "node" + std::to_string(i);
		cold_state c = with_rule();

		for (uint32_t k = 0; k < n; k++) {
			member_entry m = {};

			if (k == i ||
			    (n > 8 && (noise[i] + 31 * k) % forgets == 0))
				continue;
			g_snprintf(m.info.name, sizeof(m.info.name), "node%u",
				   k);
			m.info.state = (k < cut_off) == (i < cut_off)
					       ? MEMBER_ALIVE
					       : MEMBER_DEAD;
			g_array_append_val(members, m);
		}
		const rank_view v = {members, self.c_str(), 100000, UINT64_MAX};
		cold_on_entry(&c, 1, 60000);
		cold_set_rank(&c, rank_of_self(&v, "server"),
			      rank_count_nodes(&v));
		for (uint64_t now = 1000 + noise[i] % 1000; now < 6000;
		     now += 7)
			if (cold_allows(&c, now)) {
				cold_count(&c, now);
				arrivals.push_back(now +
						   (noise[i] + now) % 100);
			}
		g_array_unref(members);
	}
	std::sort(arrivals.begin(), arrivals.end());
	for (size_t first = 0, i = 0; i < arrivals.size(); i++) {
		while (arrivals[i] - arrivals[first] >= 1000)
			first++;
		RC_ASSERT(i - first + 1 <= kMost);
	}
	RC_ASSERT(arrivals.size() >= 4u * std::min(n, 6u));
}

struct Servers {
	server_table t;
	rng r;
	Servers()
	{
		server_table_init(&t);
		rng_seed(&r, 1);
	}
	~Servers()
	{
		server_table_clear(&t);
	}
	server_record *put(const char *id, const char *zone, uint64_t now,
			   uint64_t revision, uint64_t born = 7,
			   uint32_t cold_ms = 0)
	{
		server_entry e = {};

		e.id = id;
		e.service = "s";
		e.address = "10.0.0.1:1";
		e.zone = zone;
		e.version = "v";
		e.slots = 8;
		e.revision = revision;
		e.born = born;
		e.cold_ms = cold_ms;
		server_record *s = server_update(&t, now, &e);
		s->cold.rule = {kMost, kColdMs};
		return s;
	}
	std::string pick(uint64_t now)
	{
		pick_criteria c = {};
		server_work work;

		c.service = "s";
		c.zone = "z1";
		server_record *s = pick_best_server(&t, now, &c, &r, &work);
		return s ? s->id : "none";
	}
	void evacuate(std::vector<const char *> zones, uint64_t now,
		      uint64_t revision)
	{
		evacuations_begin_listing(&t.evacuations);
		for (const char *z : zones)
			evacuations_stage(&t.evacuations, z, true);
		if (evacuations_commit(&t.evacuations, revision))
			server_apply_evacuations(&t, now);
	}
};

TEST(ColdServers, ANewOrRestartedOneIsColdAndOnesOfTheFirstListAreNot)
{
	Servers s;

	server_begin_listing(&s.t);
	s.put("a", "z1", 1000, 1);
	server_end_listing(&s.t);
	EXPECT_EQ(s.pick(1001), "a");
	s.put("a", "z1", 2000, 2, 8);
	EXPECT_EQ(s.pick(2001), "none") << "it has started again";
	s.put("b", "z1", 4000, 3);
	EXPECT_EQ(s.pick(4001), "none") << "a starts, b is new";
	EXPECT_EQ(s.pick(5000), "a");
	EXPECT_EQ(server_wait_ms(&s.t, 4500, "s"), 500u);
}

/* The source lists an entry again as it was written; a node tells what is left. */
TEST(ColdServers, AnEntryThatIsKnownDoesNotMakeItsServerColdAgain)
{
	Servers s;

	s.put("a", "z1", 1000, 5, 7, 3000);
	s.put("a", "z1", 9000, 5, 7, 3000);
	EXPECT_EQ(s.pick(9001), "a");
	server_hear_cold(&s.t, 9000, "a", 5, 400);
	EXPECT_EQ(s.pick(9399), "none");
	EXPECT_EQ(s.pick(9400), "a");
}

TEST(ColdServers, AllPossiblyColdMeansThatThisNodeWasCutOff)
{
	Servers s;
	server_record *a = s.put("a", "z1", 1000, 1);
	server_record *b = s.put("b", "z2", 1000, 2);

	cold_on_doubt(&a->cold);
	EXPECT_FALSE(server_service_is_suspected(&s.t, 1000, "s"));
	cold_on_doubt(&b->cold);
	EXPECT_TRUE(server_service_is_suspected(&s.t, 1000, "s"));
	cold_on_start(&b->cold, 1000);
	EXPECT_FALSE(server_service_is_suspected(&s.t, 1001, "s"));
}

/* No attempt, retry, resumption or relay may reach an evacuated zone. */
TEST(Evacuations, TheirServersGetNothingAndAreColdWhenTakenBack)
{
	Servers s;

	s.put("a", "z1", 1000, 1);
	s.put("b", "z2", 1000, 2);
	s.evacuate({"z1"}, 2000, 10);
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(s.pick(2000), "b");
	s.put("c", "z1", 2000, 11);
	s.evacuate({"z1", "z2"}, 3000, 12);
	EXPECT_EQ(s.pick(90000), "none");
	s.evacuate({"z2"}, 90000, 13);
	EXPECT_EQ(s.pick(90000 + kColdMs - 1), "none") << "taken back, cold";
	EXPECT_NE(s.pick(90000 + kColdMs), "none");
}

/* An answer that was under way while another node told a later set. */
TEST(Evacuations, NeverGoBackToAnEarlierRevision)
{
	Servers s;
	evacuations *e = &s.t.evacuations;
	g_autoptr(GPtrArray) later = g_ptr_array_new();

	g_ptr_array_add(later, (void *)"z2");
	s.evacuate({"z1"}, 1000, 10);
	EXPECT_TRUE(evacuations_replace(e, later, 20));
	evacuations_stage(e, "z1", true);
	EXPECT_FALSE(evacuations_commit(e, 15));
	EXPECT_FALSE(evacuations_has(e, "z1"));
	EXPECT_TRUE(evacuations_has(e, "z2"));
	evacuations_stage(e, "z2", false);
	EXPECT_TRUE(evacuations_commit(e, 21));
	EXPECT_EQ(evacuations_count(e), 0u);
	EXPECT_FALSE(evacuations_replace(e, later, 21));
}

/* Names of the longest zones that settings allow must fit into one message. */
TEST(Evacuations, AFullMessageArrivesAsItWasSent)
{
	const char *key = "key-of-the-cluster-0";
	fleet_wire_evacuations m = {}, got;
	uint8_t bytes[PEER_WIRE_MAX_BYTES];

	g_strlcpy(m.node, "node1", sizeof(m.node));
	m.revision = 3000000000017;
	for (m.n = 0; m.n < FLEET_WIRE_MAX_ZONES; m.n++)
		g_snprintf(m.zone[m.n], sizeof(m.zone[0]), "z%062u", m.n);
	const size_t len =
		fleet_wire_encode_evacuations(&m, key, bytes, sizeof(bytes));
	ASSERT_GT(len, 0u);
	EXPECT_EQ(fleet_wire_kind_of(bytes, len), FLEET_WIRE_EVACUATIONS);
	ASSERT_EQ(fleet_wire_decode_evacuations(bytes, len, key, &got),
		  PEER_WIRE_OK);
	EXPECT_EQ(got.revision, m.revision);
	ASSERT_EQ(got.n, m.n);
	EXPECT_STREQ(got.zone[11], m.zone[11]);
	EXPECT_NE(fleet_wire_decode_evacuations(bytes, len,
						"another-key-of-one", &got),
		  PEER_WIRE_OK);
	EXPECT_EQ(got.n, 0u);
}

} // namespace
