#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

extern "C" {
#include "exchange/brittle.h"
}

namespace {

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
	EXPECT_TRUE(brittle_hear(&b, 1000, 3));
	EXPECT_FALSE(brittle_hear(&b, 1001, 3));
	EXPECT_TRUE(brittle_allows(&b, 1001, 0));
	EXPECT_FALSE(brittle_allows(&b, 1001, 1));
	EXPECT_TRUE(brittle_hear(&b, 1002, 0));
	EXPECT_TRUE(brittle_allows(&b, 1002, 99));
}

TEST(Brittle, IsForgottenWithoutAnswers)
{
	brittle b = {};

	brittle_hear(&b, 1000, 3);
	brittle_set_rank(&b, 8, 9, 6);
	EXPECT_FALSE(brittle_allows(&b, 1001, 0));
	EXPECT_TRUE(brittle_allows(&b, 60000, 0));
}

RC_GTEST_PROP(Brittle, AllNodesTogetherStayWithinTheSlots, ())
{
	const uint32_t nodes = *rc::gen::inRange(1, 400);
	const uint32_t slots = *rc::gen::inRange(1, 100);
	uint32_t sum = 0;

	for (uint32_t rank = 0; rank < nodes; rank++) {
		brittle b = {};

		brittle_hear(&b, 1000, 3);
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
			brittle_hear(&b, now, bears);
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
