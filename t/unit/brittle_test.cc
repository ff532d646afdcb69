#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

extern "C" {
#include "exchange/brittle.h"
#include "exchange/peer-brittle.h"
#include "exchange/servers.h"
}

namespace {

bool hear(brittle *b, uint64_t at, double refusals_per_s)
{
	const brittle_notice said = {refusals_per_s, at};

	return brittle_hear(b, &said);
}

bool hear(server_table *t, const char *id, uint64_t at, double refusals_per_s)
{
	const brittle_notice said = {refusals_per_s, at};

	return server_hear_brittle(t, server_find(t, id), &said);
}

/* Servers a and b of one service and c of another, known to this node. */
struct Servers {
	server_table t;
	Servers()
	{
		server_table_init(&t);
		for (const char *id : {"a", "b"})
			start(id, "desk", 1);
		start("c", "other", 1);
	}
	~Servers()
	{
		server_table_clear(&t);
	}
	void start(const char *id, const char *service, uint64_t born)
	{
		server_entry e = {};

		e.id = id;
		e.service = service;
		e.address = "127.0.0.1:1";
		e.zone = "z1";
		e.version = "v1";
		e.slots = 6;
		e.revision = ++revision;
		e.born = born;
		server_update(&t, 1000, &e);
	}
	brittle *of(const char *id)
	{
		return &server_find(&t, id)->brittle;
	}
	bool may_get(const char *id)
	{
		return server_may_get_request(server_find(&t, id), 2000);
	}
	uint64_t revision = 0;
};

TEST(Brittle, ParsesANumberOnly)
{
	EXPECT_EQ(brittle_parse("3"), 3);
	EXPECT_GT(brittle_parse("0"), 0);
	EXPECT_EQ(brittle_parse(nullptr), 0);
	EXPECT_EQ(brittle_parse("3x"), 0);
	EXPECT_EQ(brittle_parse("-1"), 0);
}

TEST(Brittle, LimitsNothingUntilAnAnswerSaysSoAndAfterItEnds)
{
	brittle b = {};

	EXPECT_TRUE(brittle_allows(&b, 1000, 99));
	EXPECT_TRUE(hear(&b, 1000, 3));
	EXPECT_FALSE(hear(&b, 1001, 3));
	EXPECT_FALSE(brittle_allows(&b, 1001, 0));
	brittle_set_rank(&b, 0, 9, 6);
	EXPECT_TRUE(brittle_allows(&b, 1001, 0));
	EXPECT_FALSE(brittle_allows(&b, 1001, 1));
	EXPECT_TRUE(hear(&b, 1002, 0));
	EXPECT_TRUE(brittle_allows(&b, 1002, 99));
}

TEST(Brittle, IsNotForgottenWithoutAnswers)
{
	brittle b = {};

	hear(&b, 1000, 3);
	brittle_set_rank(&b, 8, 9, 6);
	EXPECT_FALSE(brittle_allows(&b, 1001, 0));
	EXPECT_FALSE(brittle_allows(&b, 600000, 0));
	hear(&b, 600001, 0);
	EXPECT_TRUE(brittle_allows(&b, 600001, 99));
}

TEST(Brittle, OlderAnswersDoNotEndIt)
{
	brittle b = {};

	hear(&b, 1000, 3);
	EXPECT_FALSE(hear(&b, 999, 0));
	EXPECT_FALSE(brittle_allows(&b, 1000, 1));
}

TEST(Brittle, HoldsForAllServersOfTheService)
{
	Servers s;

	hear(&s.t, "a", 1000, 3);
	EXPECT_TRUE(brittle_is_in_force(s.of("b")));
	EXPECT_FALSE(brittle_is_in_force(s.of("c")));
}

TEST(Brittle, AServerThatHasAnsweredOtherwiseIsBelieved)
{
	Servers s;

	hear(&s.t, "a", 1000, 3);
	hear(&s.t, "b", 1001, 0);
	hear(&s.t, "a", 1002, 3);
	EXPECT_FALSE(brittle_is_in_force(s.of("b")));
	hear(&s.t, "a", 9000, 3);
	EXPECT_TRUE(brittle_is_in_force(s.of("b")));
}

TEST(Brittle, ARestartDoesNotEndIt)
{
	Servers s;

	hear(&s.t, "a", 1000, 3);
	brittle_set_rank(s.of("a"), 8, 9, 6);
	s.start("a", "desk", 2);
	EXPECT_FALSE(s.may_get("a"));
}

TEST(Brittle, AServerThatIsListedAgainIsNotSentToBeforeTheRankIsKnown)
{
	Servers s;

	hear(&s.t, "a", 1000, 3);
	for (const char *id : {"a", "b"}) {
		server_remove(&s.t, id, 0);
		server_free_removed(&s.t, 1500);
		server_free_removed(&s.t, 1500 + SERVER_DRAINED_MEMORY_MS + 1);
		ASSERT_EQ(server_find(&s.t, id), nullptr);
	}
	s.start("a", "desk", 2);
	EXPECT_FALSE(s.may_get("a"));
	brittle_set_rank(s.of("a"), 0, 9, 6);
	EXPECT_TRUE(s.may_get("a"));
}

TEST(Brittle, ARequestThatWasGivenUpHoldsItsSlotForAWhile)
{
	for (server_outcome outcome : {SERVER_CALL_TIMED_OUT, SERVER_CALL_IGNORED}) {
		Servers s;
		server_record *a = server_find(&s.t, "a");

		hear(&s.t, "a", 1000, 3);
		brittle_set_rank(&a->brittle, 0, 9, 6);
		server_on_request_start(a, 1000);
		server_on_request_end(&s.t, a, 1000, outcome, 0);
		EXPECT_FALSE(brittle_allows(&a->brittle, 1999, a->in_flight));
		EXPECT_TRUE(brittle_allows(&a->brittle, 2000, a->in_flight));
		server_on_request_start(a, 2000);
		server_on_request_end(&s.t, a, 2000, SERVER_CALL_OK, 1);
		EXPECT_TRUE(brittle_allows(&a->brittle, 2000, a->in_flight));
	}
}

TEST(Brittle, ARestartAfterTheServiceHasRecoveredEndsIt)
{
	Servers s;

	hear(&s.t, "a", 1000, 3);
	brittle_set_rank(s.of("a"), 8, 9, 6);
	hear(&s.t, "b", 1001, 0);
	s.start("a", "desk", 2);
	EXPECT_TRUE(s.may_get("a"));
}

/* Returns how many of a message's notices change what is known. */
int apply(Servers &to, const fleet_wire_brittle &m, uint64_t now)
{
	const char *service, *server;
	int changed = 0;

	for (uint32_t i = m.n; i-- > 0;)
		changed += peer_brittle_apply(&to.t, now, &m.notice[i],
					      &service, &server);
	return changed;
}

TEST(PeerBrittle, NewsAreToldOnce)
{
	Servers from;
	fleet_wire_brittle m;

	EXPECT_FALSE(peer_brittle_take_news(&from.t, 1000, "n", &m));
	hear(&from.t, "a", 1000, 3);
	from.of("a")->news = true;
	EXPECT_TRUE(peer_brittle_take_news(&from.t, 1100, "n", &m));
	EXPECT_EQ(m.n, 1u);
	EXPECT_EQ(m.notice[0].age_ms, 100u);
	EXPECT_FALSE(peer_brittle_take_news(&from.t, 1100, "n", &m));
}

TEST(PeerBrittle, ANodeThatHearsNothingItselfLearnsBothStartAndEnd)
{
	Servers from, to;
	fleet_wire_brittle m;

	hear(&from.t, "a", 1000, 3);
	ASSERT_TRUE(peer_brittle_summary(&from.t, 1100, "n", 0, &m));
	EXPECT_GT(apply(to, m, 5100), 0);
	EXPECT_EQ(apply(to, m, 5101), 0);
	EXPECT_TRUE(brittle_is_in_force(to.of("a")));
	EXPECT_TRUE(brittle_is_in_force(to.of("b")));
	EXPECT_FALSE(brittle_is_in_force(to.of("c")));

	hear(&from.t, "a", 2000, 0);
	hear(&from.t, "b", 2000, 0);
	ASSERT_TRUE(peer_brittle_summary(&from.t, 2100, "n", 1, &m));
	EXPECT_GT(apply(to, m, 6100), 0);
	EXPECT_FALSE(brittle_is_in_force(to.of("a")));
	EXPECT_FALSE(brittle_is_in_force(to.of("b")));
}

// A node that was cut off while the end was told must learn it when it tells of
// what it still believes, however late.
TEST(PeerBrittle, ANodeThatMissedTheEndIsTold)
{
	Servers missed, knows;
	fleet_wire_brittle m, reply = {};
	const uint64_t later = 3600000;

	hear(&missed.t, "a", 1000, 3);
	hear(&knows.t, "a", 1000, 3);
	hear(&knows.t, "a", 2000, 0);
	hear(&knows.t, "b", 2000, 0);
	ASSERT_FALSE(peer_brittle_summary(&knows.t, later, "n", 0, &m));
	ASSERT_TRUE(peer_brittle_summary(&missed.t, later, "n", 0, &m));
	for (uint32_t i = 0; i < m.n; i++)
		peer_brittle_correct(&knows.t, later, "n", &m.notice[i], &reply);
	apply(missed, reply, later);
	EXPECT_FALSE(brittle_is_in_force(missed.of("a")));
	EXPECT_FALSE(brittle_is_in_force(missed.of("b")));
}

TEST(PeerBrittle, ANewerNoticeIsNotCorrected)
{
	Servers from, knows;
	fleet_wire_brittle m, reply = {};

	hear(&knows.t, "a", 1000, 3);
	hear(&knows.t, "a", 2000, 0);
	hear(&from.t, "a", 3000, 3);
	ASSERT_TRUE(peer_brittle_summary(&from.t, 4000, "n", 0, &m));
	for (uint32_t i = 0; i < m.n; i++)
		peer_brittle_correct(&knows.t, 4000, "n", &m.notice[i], &reply);
	EXPECT_EQ(reply.n, 0u);
}

TEST(PeerBrittle, AnOlderNoticeDoesNotEndIt)
{
	Servers from, to;
	fleet_wire_brittle m;

	hear(&from.t, "a", 1000, 3);
	hear(&from.t, "a", 1001, 0);
	ASSERT_TRUE(peer_brittle_summary(&from.t, 1100, "n", 0, &m));
	hear(&to.t, "a", 5050, 3);
	apply(to, m, 5100);
	EXPECT_TRUE(brittle_is_in_force(to.of("a")));
}

TEST(PeerBrittle, AServiceIsToldOfWhileNoneOfItsServersIsListed)
{
	Servers from, to;
	fleet_wire_brittle m;

	hear(&from.t, "a", 1000, 3);
	for (const char *id : {"a", "b"})
		server_remove(&from.t, id, 0);
	server_free_removed(&from.t, 1500);
	ASSERT_EQ(server_find(&from.t, "a"), nullptr);
	ASSERT_TRUE(peer_brittle_summary(&from.t, 2000, "n", 0, &m));
	EXPECT_EQ(apply(to, m, 5100), 1);
	EXPECT_TRUE(brittle_is_in_force(to.of("a")));
}

RC_GTEST_PROP(Brittle, AllNodesTogetherStayWithinTheSlots, ())
{
	const uint32_t nodes = *rc::gen::inRange(1, 400);
	const uint32_t slots = *rc::gen::inRange(1, 100);
	uint32_t sum = 0;

	for (uint32_t rank = 0; rank < nodes; rank++) {
		brittle b = {};

		hear(&b, 1000, 3);
		brittle_set_rank(&b, rank, nodes, slots);
		sum += b.max_in_flight;
		RC_ASSERT(brittle_allows(&b, 1001, 0) == (b.max_in_flight > 0));
		RC_ASSERT(!brittle_allows(&b, 1001, b.max_in_flight));
	}
	RC_ASSERT(sum == slots);
}

RC_GTEST_PROP(Brittle, RefusalsStayBelowWhatTheServerBears, ())
{
	const uint32_t nodes = *rc::gen::inRange(1, 100);
	const uint32_t bears = *rc::gen::inRange(1, 20);
	const uint64_t end = 20000;
	uint32_t refusals = 0;

	// Each node sends as soon as it may, and is always refused.
	for (uint32_t i = 0; i < nodes; i++) {
		brittle b = {};

		for (uint64_t now = 1000; now < end; now += 10) {
			hear(&b, now, bears);
			brittle_set_rank(&b, i, nodes, nodes);
			if (!brittle_allows(&b, now, 0))
				continue;
			brittle_on_refusal(&b, now);
			refusals++;
		}
	}
	RC_ASSERT(refusals <= nodes + bears * (end - 1000) / 1000);
}

} // namespace
