#include <cmath>
#include <gtest/gtest.h>

extern "C" {
#include "exchange/load-limit.h"
}

namespace {

// Answers of servers that fail half of what they get at `from` or more.
void answer(load_limit *l, uint64_t now, int n, double load, double from)
{
	for (int i = 0; i < n; i++)
		load_limit_on_answer(l, now, load, load >= from && i % 2 == 0);
}

TEST(LoadLimit, IsFoundWhereServersBeginToFail)
{
	load_limit l = {};

	for (double load = 1; load < 30; load++)
		answer(&l, 1000, 2, load, 30);
	EXPECT_TRUE(load_limit_allows(&l, 1000, 60));
	answer(&l, 2000, 6, 34, 30);
	EXPECT_FALSE(load_limit_allows(&l, 2000, 34));
	EXPECT_TRUE(load_limit_allows(&l, 2000, 27));
}

/* A load beyond the range of an int was counted outside the table. */
TEST(LoadLimit, LoadsOfAnySizeAreCountedWithinTheTable)
{
	struct {
		uint64_t before[64];
		load_limit l;
		uint64_t after[64];
	} guarded = {};

	for (double load : {-1.0, 0.0, 1e6, 2147483648.0, 4294967296.0,
			    8589934592.0, 1e18, 1e300, HUGE_VAL, -HUGE_VAL})
		load_limit_on_answer(&guarded.l, 1000, load, true);
	double counted = 0;
	for (const auto &bin : guarded.l.bin)
		counted += bin.n;
	EXPECT_EQ(counted, 10);
	EXPECT_EQ(guarded.l.bin[LOAD_LIMIT_BINS - 1].n, 7);
	for (int i = 0; i < 64; i++) {
		EXPECT_EQ(guarded.before[i], 0u);
		EXPECT_EQ(guarded.after[i], 0u);
	}
}

TEST(LoadLimit, FailuresAtAnyLoadSetNone)
{
	load_limit l = {};

	for (int k = 0; k < 20; k++)
		for (double load = 1; load < 40; load++)
			answer(&l, 1000 + k, 2, load, 0);
	EXPECT_TRUE(load_limit_allows(&l, 2000, 40));
}

TEST(LoadLimit, FewFailuresSetNone)
{
	load_limit l = {};

	answer(&l, 1000, 100, 10, 30);
	for (int i = 0; i < 100; i++)
		load_limit_on_answer(&l, 1000, 40, i % 10 == 0);
	EXPECT_TRUE(load_limit_allows(&l, 1000, 40));
}

TEST(LoadLimit, RisesAgainAndIsRestoredByAFailure)
{
	load_limit l = {};
	uint64_t now = 2000;

	answer(&l, 1000, 40, 10, 30);
	answer(&l, now, 6, 32, 30);
	ASSERT_FALSE(load_limit_allows(&l, now, 33));
	EXPECT_FALSE(load_limit_allows(&l, now + 20000, 33));
	now += 120000;
	ASSERT_TRUE(load_limit_allows(&l, now, 33));
	load_limit_on_answer(&l, now, 33, true);
	EXPECT_FALSE(load_limit_allows(&l, now, 33));
}

TEST(LoadLimit, OfAnotherNodeHoldsUnlessAnswersContradictIt)
{
	load_limit l = {}, other = {};

	answer(&l, 1000, 40, 20, 30);
	answer(&l, 2000, 6, 34, 30);
	ASSERT_TRUE(load_limit_take_news(&l));
	load_limit_on_peer_limit(&other, l.failed_at, l.limit);
	EXPECT_FALSE(load_limit_allows(&other, 2000, 34));
	EXPECT_FALSE(load_limit_take_news(&other));
	other = {};
	answer(&other, 1000, 40, 36, 60);
	load_limit_on_peer_limit(&other, l.failed_at, l.limit);
	EXPECT_TRUE(load_limit_allows(&other, 2000, 34));
}

} // namespace
