#include <gtest/gtest.h>

extern "C" {
#include "fleet/tenure.h"
}

namespace {

const tenure_view kComplete = {true, false};
const tenure_view kPartial = {false, false};
const tenure_view kAlone = {false, true};
const uint64_t kStart = 1000;

/* A node that has been at work for a minute, in contact until `heard_at`. */
tenure long_standing(uint64_t heard_at)
{
	tenure t = {kStart, 0, 0};

	tenure_on_heard(&t, heard_at);
	return t;
}

TEST(Tenure, AStartingNodeUsesNoRankUntilItAndTheOthersKnowEachOther)
{
	const tenure t = {kStart, 0, 0};

	EXPECT_FALSE(tenure_is_valid(&t, kStart + 2999, &kComplete));
	EXPECT_FALSE(tenure_is_valid(&t, kStart + 2999, &kAlone));
	EXPECT_TRUE(tenure_is_valid(&t, kStart + 3000, &kComplete));
	EXPECT_TRUE(tenure_is_valid(&t, kStart + 3000, &kAlone));
	EXPECT_FALSE(tenure_is_valid(&t, kStart + 9999, &kPartial));
	EXPECT_TRUE(tenure_is_valid(&t, kStart + 10000, &kPartial));
}

TEST(Tenure, AShortPauseOfAllNodesLeavesNoneWithoutARank)
{
	tenure t = long_standing(60000);

	tenure_on_pause(&t, 61500, 0, &kComplete);
	EXPECT_TRUE(tenure_is_valid(&t, 61500, &kComplete));
}

TEST(Tenure, ANodeThatNobodyHeardUntilItsPlaceWasGivenAwayStartsAnew)
{
	tenure t = long_standing(60000);

	tenure_on_pause(&t, 70000, 0, &kComplete);
	EXPECT_FALSE(tenure_is_valid(&t, 72999, &kComplete));
	EXPECT_TRUE(tenure_is_valid(&t, 73000, &kComplete));
}

TEST(Tenure, PausesInARowCountTogetherUntilAnotherNodeHasHeardThisOne)
{
	tenure silent = long_standing(60000), heard = long_standing(60000);

	tenure_on_pause(&silent, 66000, 0, &kComplete);
	EXPECT_TRUE(tenure_is_valid(&silent, 66000, &kComplete));
	tenure_on_pause(&silent, 72000, 0, &kComplete);
	EXPECT_FALSE(tenure_is_valid(&silent, 72000, &kComplete));
	tenure_on_heard(&heard, 66100);
	tenure_on_pause(&heard, 72000, 0, &kComplete);
	EXPECT_TRUE(tenure_is_valid(&heard, 72000, &kComplete));
}

TEST(Tenure, TimeThatTheClockDoesNotCountIsPartOfThePause)
{
	tenure once = long_standing(60000), twice = long_standing(60000);

	tenure_on_pause(&once, 60100, 9900, &kComplete);
	EXPECT_FALSE(tenure_is_valid(&once, 60100, &kComplete));
	tenure_on_pause(&twice, 60100, 6000, &kComplete);
	EXPECT_TRUE(tenure_is_valid(&twice, 60100, &kComplete));
	tenure_on_pause(&twice, 60200, 6000, &kComplete);
	EXPECT_FALSE(tenure_is_valid(&twice, 60200, &kComplete));
}

TEST(Tenure, ANodeWithoutOthersKeepsItsRankThroughPauses)
{
	tenure t = {kStart, 0, 0};

	tenure_on_pause(&t, 60000, 30000, &kAlone);
	EXPECT_TRUE(tenure_is_valid(&t, 60000, &kAlone));
}

} // namespace
