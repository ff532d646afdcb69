#include <gtest/gtest.h>

#include <algorithm>

extern "C" {
#include "fleet/load-plan.h"
#include "fleet/peer-news.h"
#include "fleet/source-follow.h"
}

namespace {

TEST(PeerNews, KnowsForHowLongAChangeIsMissing)
{
	struct peer_news n = {};

	peer_news_on_report(&n, 1000, 7, 5);
	EXPECT_EQ(peer_news_missing_ms(&n, 1400, 5), 400u);
	EXPECT_EQ(peer_news_missing_ms(&n, 1400, 7), 0u);
}

TEST(PeerNews, ReportsOfStaleNodesDoNotRestartTheTime)
{
	struct peer_news n = {};

	peer_news_on_report(&n, 1000, 7, 5);
	for (uint64_t now = 1010; now < 2000; now += 10)
		peer_news_on_report(&n, now, 5, 5);
	EXPECT_EQ(peer_news_missing_ms(&n, 2000, 5), 1000u);
}

TEST(PeerNews, EachChangeOfASeriesIsWaitedForAnew)
{
	struct peer_news n = {};

	/* The node learns of each change 100 ms after its peers. */
	for (uint64_t now = 1000; now < 5000; now += 50) {
		peer_news_on_report(&n, now, now, now - 100);
		EXPECT_LE(peer_news_missing_ms(&n, now, now - 100), 150u);
	}
}

source_comparison comparison(uint64_t reported, uint64_t known,
			     bool same_servers)
{
	source_comparison c = {};

	c.reported[FEED_SERVERS] = reported;
	c.known[FEED_SERVERS] = known;
	c.same_servers = same_servers;
	return c;
}

TEST(SourceFollow, FollowsWhileStatusesAgreeAndArrive)
{
	const uint64_t known[FEED_TOPIC_COUNT] = {0, 5, 0};
	const source_comparison same = comparison(5, 5, true);
	source_follow f = {};

	EXPECT_FALSE(source_follow_is_safe(&f, 1000, known));
	EXPECT_FALSE(source_follow_on_status(&f, 1000, &same));
	EXPECT_TRUE(source_follow_is_safe(&f, 1600, known));
	EXPECT_FALSE(source_follow_is_safe(&f, 1800, known));
}

TEST(SourceFollow, StaleWatchersDoNotHideThatOneKnowsMore)
{
	const uint64_t known[FEED_TOPIC_COUNT] = {0, 5, 0};
	const source_comparison ahead = comparison(7, 5, false);
	const source_comparison stale = comparison(5, 5, true);
	source_follow f = {};

	for (uint64_t now = 1000; now < 2400; now += 200) {
		EXPECT_TRUE(source_follow_on_status(&f, now, &ahead));
		EXPECT_FALSE(source_follow_on_status(&f, now + 50, &stale));
	}
	EXPECT_FALSE(source_follow_is_safe(&f, 2400, known));
}

TEST(SourceFollow, AsksNoStaleWatcherWhileAChangeIsMissing)
{
	const source_comparison ahead = comparison(7, 5, false);
	const source_comparison stale = comparison(4, 5, false);
	source_follow f = {};

	EXPECT_TRUE(source_follow_on_status(&f, 1000, &ahead));
	EXPECT_FALSE(source_follow_on_status(&f, 1050, &stale));
}

TEST(SourceFollow, OtherServersWithoutALaterChangeAreAskedFor)
{
	const uint64_t known[FEED_TOPIC_COUNT] = {0, 5, 0};
	const source_comparison differs = comparison(5, 5, false);
	source_follow f = {};

	for (uint64_t now = 1000; now <= 2400; now += 200)
		EXPECT_TRUE(source_follow_on_status(&f, now, &differs));
	EXPECT_FALSE(source_follow_is_safe(&f, 2400, known));
}

/*
 * Guards against control traffic between zones that grows with the fleet: at 300
 * nodes it was most of what nodes sent.
 */
TEST(LoadPlan, ALargeFleetSendsLessAndMostlyInItsOwnZone)
{
	const load_plan small = load_plan_for(78);

	EXPECT_EQ(small.interval_ticks, 1u);
	EXPECT_EQ(small.own_zone, 0u);
	for (uint32_t live = 121; live <= 4000; live++) {
		const load_plan p = load_plan_for(live);

		/* A node's messages per tick, times the nodes, stay constant. */
		EXPECT_LE((p.own_zone + p.others) * live / p.interval_ticks,
			  1600u);
		EXPECT_LT(p.others, p.own_zone);
		EXPECT_GT(p.others, 0u);
	}
}

/* Guards against small fleets whose nodes tell their own zone nothing. */
TEST(LoadPlan, NodesOfTheOwnZoneAreToldInFleetsOfAnySize)
{
	for (uint32_t live : {5u, 72u, 120u, 121u, 400u}) {
		load_plan left = load_plan_for(live);
		uint32_t same = 0, others = 0;

		load_plan_limit_own_zone(&left, live - 1);
		for (uint32_t i = 0; i + 1 < live; i++)
			same += load_plan_take(&left, true);
		EXPECT_GE(same, std::min(live - 1, 12u)) << live;
		left = load_plan_for(live);
		load_plan_limit_own_zone(&left, 3);
		for (uint32_t i = 0; i + 1 < live; i++)
			others += load_plan_take(&left, false);
		EXPECT_GE(others, std::min(live - 1, 13u)) << live;
	}
}

} // namespace
