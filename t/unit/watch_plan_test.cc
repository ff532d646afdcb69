#include <algorithm>
#include <gtest/gtest.h>
#include <vector>

extern "C" {
#include "fleet/watch-plan.h"
}

namespace {

constexpr uint64_t TICK_MS = 100;
constexpr uint64_t STATUS_INTERVAL_MS = 200;
/* The shortest time that the rules give a large fleet for a change. */
constexpr uint64_t CHANGE_LIMIT_MS = 3000;
/* Of which nodes that look for themselves read and tell the others in so long. */
constexpr uint64_t TELL_MS = 1000;
constexpr uint64_t LONG_WATCH_MS = 8000;
constexpr uint64_t CALL_TIMEOUT_MS = 1000; /* beyond the wait of a watch */

/* A node of the simulated fleet, with the calls that it makes. */
struct sim_node {
	watch_plan plan = {};
	watch_role role = {};
	uint64_t status_at = 0;
	uint64_t lower_status_at = 0;
	uint64_t next_status_at = 0;
	uint64_t next_call_at = 0;
	uint32_t failures = 0;
	uint32_t failed_calls = 0;
	bool source_works = true; /* from this node */
	bool up = true;
	bool was_answered = false; /* since it watches */
	bool hangs = false; /* nothing arrives from the source any more */
	uint64_t answered_at = 0;
	uint64_t watch_ends_at = 0;
	uint32_t calls = 0; /* that were answered */
};

/*
 * A fleet whose nodes all know each other: ranks are the indices of the nodes
 * that are up, and statuses reach all at the next tick. A call fails after
 * 0 ms while the source does not answer the node, and after a timeout if it hangs.
 */
class sim_fleet {
    public:
	std::vector<sim_node> nodes;
	uint64_t now = 100000;

	explicit sim_fleet(size_t n)
		: nodes(n)
	{
		run(2000);
	}

	void run(uint64_t ms)
	{
		for (uint64_t end = now + ms; now < end; now += TICK_MS)
			tick();
	}

	uint32_t watching() const
	{
		uint32_t n = 0;

		for (const sim_node &node : nodes)
			n += node.up && node.role.watches;
		return n;
	}

	uint32_t failed_calls() const
	{
		uint32_t n = 0;

		for (const sim_node &node : nodes)
			n += node.failed_calls;
		return n;
	}

	void set_source(bool works)
	{
		for (sim_node &node : nodes)
			node.source_works = works;
	}

	/* Whether some node both watches and reaches the source. */
	bool is_read() const
	{
		for (const sim_node &node : nodes)
			if (node.up && node.role.watches && node.was_answered &&
			    !node.hangs)
				return true;
		return false;
	}

	uint32_t calls() const
	{
		uint32_t n = 0;

		for (const sim_node &node : nodes)
			n += node.calls;
		return n;
	}

	uint32_t leading() const
	{
		uint32_t n = 0;

		for (const sim_node &node : nodes)
			n += node.up && node.role.leads;
		return n;
	}

    private:
	uint32_t live() const
	{
		uint32_t n = 0;

		for (const sim_node &node : nodes)
			n += node.up;
		return n;
	}

	void start_watch(sim_node &node, uint64_t wait_ms)
	{
		node.watch_ends_at = now + wait_ms;
	}

	void on_answer(sim_node &node)
	{
		node.failures = 0;
		node.calls++;
		node.answered_at = now;
		start_watch(node, node.role.leads ?
					  WATCH_PLAN_ANSWER_INTERVAL_MS :
					  LONG_WATCH_MS);
	}

	/* The watch in flight ends, or has hung until its timeout. */
	void end_watch(sim_node &node)
	{
		if (now < node.watch_ends_at)
			return;
		if (!node.hangs)
			on_answer(node);
		else if (now >= node.watch_ends_at + CALL_TIMEOUT_MS)
			node.was_answered = false;
	}

	void call(sim_node &node)
	{
		node.was_answered = node.source_works && !node.hangs;
		if (node.was_answered) {
			on_answer(node);
			return;
		}
		node.failed_calls++;
		uint64_t backoff = (uint64_t)node.role.retry_min_ms
				   << std::min(node.failures, 5u);
		node.failures++;
		node.next_call_at =
			now +
			std::min<uint64_t>(backoff, node.role.retry_max_ms);
	}

	void tick()
	{
		uint32_t rank = 0;
		std::vector<size_t> announcers;

		for (sim_node &node : nodes) {
			if (!node.up)
				continue;
			const watch_plan_view view = {
				live(),		    rank++,
				true,		    true,
				node.was_answered,  node.status_at,
				node.lower_status_at, node.answered_at};
			bool watched = node.role.watches;
			bool confirmed = node.role.confirms;

			node.role = watch_plan_decide(&node.plan, now, &view);
			if (!node.role.watches) {
				node.was_answered = false;
				continue;
			}
			if (!watched)
				node.next_call_at = now;
			if (!node.source_works)
				node.was_answered = false;
			if (node.was_answered && node.role.confirms &&
			    !confirmed)
				start_watch(node, 0);
			if (node.was_answered)
				end_watch(node);
			if (!node.was_answered && now >= node.next_call_at)
				call(node);
			if (node.role.announces && node.role.vouches &&
			    node.was_answered && now >= node.next_status_at) {
				node.next_status_at = now + STATUS_INTERVAL_MS;
				announcers.push_back(&node - nodes.data());
			}
		}
		for (size_t from : announcers)
			deliver_status(from);
	}

	void deliver_status(size_t from)
	{
		for (size_t i = 0; i < nodes.size(); i++) {
			if (i == from)
				continue;
			nodes[i].status_at = now;
			if (from < i)
				nodes[i].lower_status_at = now;
		}
	}
};

class WatchPlanSizes : public ::testing::TestWithParam<size_t> {};

TEST_P(WatchPlanSizes, CallsGrowWithTheWatchersNotWithTheNodes)
{
	sim_fleet fleet(GetParam());
	uint32_t expected = GetParam() > 16 ? WATCH_PLAN_WATCHERS :
					      (uint32_t)GetParam();

	for (int i = 0; i < 100; i++) {
		fleet.run(TICK_MS);
		EXPECT_EQ(fleet.watching(), expected);
	}
}

TEST_P(WatchPlanSizes, AnOutageIsProbedByAFewNodes)
{
	sim_fleet fleet(GetParam());
	const uint64_t outage_ms = 10000;
	uint32_t n = (uint32_t)GetParam();

	fleet.set_source(false);
	fleet.run(outage_ms);
	/* Two calls a second by each watcher, beside the first few quick ones;
	 * each other node looks at most three times.
	 */
	uint32_t probers = std::min(n, n > 16 ? WATCH_PLAN_WATCHERS : 16u);

	EXPECT_LE(fleet.failed_calls(),
		  probers * (2 * outage_ms / 1000 + 5) + 3 * n);
	fleet.set_source(true);
	fleet.run(1000);
	EXPECT_TRUE(fleet.is_read());
	fleet.run(1000);
	EXPECT_LE(fleet.watching(), std::max(probers, 4u));
}

TEST_P(WatchPlanSizes, ASingleNodeThatReachesTheSourceIsFound)
{
	for (size_t reached : {(size_t)0, GetParam() / 2, GetParam() - 1}) {
		sim_fleet fleet(GetParam());

		fleet.set_source(false);
		fleet.nodes[reached].source_works = true;
		uint64_t began = fleet.now;
		fleet.run(TICK_MS);
		while (!fleet.is_read() && fleet.now - began < 20000)
			fleet.run(TICK_MS);
		EXPECT_LE(fleet.now - began, CHANGE_LIMIT_MS)
			<< "node " << reached << " of " << GetParam();
	}
}

TEST_P(WatchPlanSizes, LostWatchersAreReplacedBeforeTheyCountAsDead)
{
	if (GetParam() <= 16)
		return;
	sim_fleet fleet(GetParam());

	/* They are cut off, but no member table shows it yet. */
	for (uint32_t i = 0; i < WATCH_PLAN_WATCHERS; i++)
		fleet.nodes[i].source_works = false;
	fleet.run(1500);
	for (int i = 0; i < 50; i++) {
		fleet.run(TICK_MS);
		EXPECT_TRUE(fleet.is_read());
	}
	EXPECT_LE(fleet.watching(), 2 * (uint32_t)WATCH_PLAN_WATCHERS);
	for (uint32_t i = 0; i < WATCH_PLAN_WATCHERS; i++)
		fleet.nodes[i].source_works = true;
	fleet.run(1500);
	EXPECT_EQ(fleet.watching(), (uint32_t)WATCH_PLAN_WATCHERS);
}

/* Watchers that are cut off vouched for the source until a call of theirs failed. */
TEST_P(WatchPlanSizes, WatchersThatAreNotAnsweredKeepNobodyFromLooking)
{
	if (GetParam() <= 16)
		return;
	for (uint64_t cut_after : {0, 300, 700, 1100, 2500}) {
		sim_fleet fleet(GetParam());

		fleet.run(5000 + cut_after);
		for (uint32_t i = 0; i < WATCH_PLAN_WATCHERS; i++)
			fleet.nodes[i].hangs = true;
		uint64_t began = fleet.now;
		fleet.run(TICK_MS);
		while (!fleet.is_read() && fleet.now - began < 20000)
			fleet.run(TICK_MS);
		EXPECT_LE(fleet.now - began, CHANGE_LIMIT_MS - TELL_MS)
			<< "cut off after " << cut_after;
	}
}

TEST_P(WatchPlanSizes, ALeaderThatIsNotAnsweredIsReplacedByAWatcher)
{
	if (GetParam() <= 16)
		return;
	sim_fleet fleet(GetParam());

	fleet.run(5000);
	EXPECT_EQ(fleet.leading(), 1u);
	EXPECT_TRUE(fleet.nodes[0].role.leads);
	fleet.nodes[0].hangs = true;
	for (int i = 0; i < 50; i++) {
		fleet.run(TICK_MS);
		EXPECT_EQ(fleet.watching(), (uint32_t)WATCH_PLAN_WATCHERS);
	}
	EXPECT_TRUE(fleet.nodes[1].role.leads);
	fleet.nodes[0].hangs = false;
	fleet.run(3000);
	EXPECT_EQ(fleet.leading(), 1u);
	EXPECT_TRUE(fleet.nodes[0].role.leads);
}

/* Each watcher that proves for itself that the source answers makes calls for it. */
TEST_P(WatchPlanSizes, OneNodeAsksTheSourceForAll)
{
	if (GetParam() <= 16)
		return;
	sim_fleet fleet(GetParam());
	constexpr uint64_t ms = 40000;

	fleet.run(5000);
	uint32_t before = fleet.calls();
	fleet.run(ms);
	EXPECT_LE(fleet.calls() - before,
		  ms / WATCH_PLAN_ANSWER_INTERVAL_MS +
			  WATCH_PLAN_WATCHERS * (ms / LONG_WATCH_MS));
}

INSTANTIATE_TEST_SUITE_P(Sizes, WatchPlanSizes,
			 ::testing::Values(1, 3, 24, 300, 400));

TEST(WatchPlan, RestartsInTurnDoNotChangeWhoWatches)
{
	sim_fleet fleet(18);
	uint32_t changes = 0, before = fleet.watching();

	for (size_t i = 6; i < 18; i += 2) {
		fleet.nodes[i].up = fleet.nodes[i + 1].up = false;
		for (int k = 0; k < 20; k++) {
			fleet.run(TICK_MS);
			changes += fleet.watching() != before;
			before = fleet.watching();
		}
		fleet.nodes[i].up = fleet.nodes[i + 1].up = true;
		fleet.run(1000);
	}
	EXPECT_EQ(changes, 0u);
}

TEST(WatchPlan, ANodeWithoutStateOrBehindReadsTheSourceItself)
{
	watch_plan plan = {};
	const watch_plan_view behind = {100,  50,   true, false,
					true, 5000, 5000, 5000};
	const watch_plan_view empty = {100,  50,   false, true,
				       true, 5000, 5000, 5000};

	EXPECT_TRUE(watch_plan_decide(&plan, 5100, &behind).watches);
	EXPECT_TRUE(watch_plan_decide(&plan, 5100, &empty).watches);
	EXPECT_FALSE(watch_plan_decide(&plan, 5100, &empty).announces);
}

TEST(WatchPlan, ANodeThatNeitherWatchesNorHearsOfWatchersSaysSo)
{
	watch_plan plan = {};
	const watch_plan_view far = {400,  399,  true, true,
				     true, 5000, 5000, 5000};

	EXPECT_FALSE(watch_plan_decide(&plan, 5100, &far).source_lost);
	EXPECT_TRUE(watch_plan_decide(&plan, 5900, &far).source_lost);
	EXPECT_FALSE(watch_plan_decide(&plan, 9000, &far).source_lost);
}

} // namespace
