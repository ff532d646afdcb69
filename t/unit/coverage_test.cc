#include <gtest/gtest.h>

#include <cstring>
#include <initializer_list>
#include <vector>

extern "C" {
#include "rollout/coverage.h"
}

namespace
{

const uint64_t kOrder = 100000;
const uint64_t kNow = 110000;

// A node that is sent the reports on one order.
class Judge
{
      public:
	traffic_shift *shift;
	coverage state = {};
	std::vector<const char *> serving;
	coverage_view view = {true, false, nullptr, 0};

	explicit Judge(std::initializer_list<const char *> nodes)
	    : shift(shift_new("s", "v2", 24000, 5000, kOrder)), serving(nodes)
	{
		view.serving = serving.data();
		view.n_serving = (uint32_t)serving.size();
	}
	~Judge()
	{
		shift_free(shift);
	}
	void report(const char *node, uint64_t at)
	{
		shift_report r = {};

		strcpy(r.node, node);
		r.boot = 1;
		r.age_ms = (uint32_t)(at - kOrder);
		shift_on_report(shift, at, &r);
	}
	void update(uint64_t at)
	{
		coverage_update(&state, at, &view);
	}
	coverage_gap gap(uint64_t now = kNow)
	{
		return coverage_find_gap(&state, shift, now, &view);
	}
};

TEST(Coverage, ANodeThatGotAllReportsSinceTheOrderHasAllCounts)
{
	Judge j({"a", "b"});

	j.update(kOrder + COVERAGE_LEARN_MS);
	j.report("a", kNow - SHIFT_REPORT_MAX_AGE_MS);
	j.report("b", kNow);
	j.update(kNow);
	EXPECT_EQ(j.gap(), COVERAGE_COMPLETE);
}

// Guards against a node that has just started and moves all traffic by its first reports.
TEST(Coverage, ANodeThatStartedLongAfterTheOrderLacksCounts)
{
	Judge j({"a"});

	j.update(kOrder + COVERAGE_LEARN_MS + 1);
	j.report("a", kNow);
	EXPECT_EQ(j.gap(), COVERAGE_LATE);
}

// The order's age comes with the reports: to a node that starts, the order is new.
TEST(Coverage, ANodeThatStartedLearnsFromReportsThatItIsLate)
{
	Judge j({"a"});

	shift_free(j.shift);
	j.shift = shift_new("s", "v2", 24000, 5000, kNow);
	j.update(kNow);
	EXPECT_EQ(j.gap(), COVERAGE_SILENT);
	j.report("a", kNow);
	EXPECT_EQ(j.gap(), COVERAGE_LATE);
}

TEST(Coverage, ANodeThatWasNotSentReportsForAWhileLacksCounts)
{
	Judge j({"a"});

	j.update(kOrder);
	j.view.gets_reports = false;
	j.update(kOrder + 5000);
	EXPECT_EQ(j.gap(), COVERAGE_LATE);
	j.view.gets_reports = true;
	j.update(kOrder + 6000);
	j.report("a", kNow);
	EXPECT_EQ(j.gap(), COVERAGE_LATE);
}

TEST(Coverage, APauseOfTheProcessLosesCounts)
{
	Judge early({"a"}), late({"a"});

	early.update(kOrder);
	coverage_on_pause(&early.state, kOrder + 1000);
	early.report("a", kNow);
	EXPECT_EQ(early.gap(), COVERAGE_COMPLETE);
	late.update(kOrder);
	coverage_on_pause(&late.state, kNow);
	late.report("a", kNow);
	EXPECT_EQ(late.gap(), COVERAGE_LATE);
}

TEST(Coverage, APauseDoesNotMakeANodeGetReports)
{
	Judge j({"a"});

	j.view.gets_reports = false;
	j.update(kOrder);
	coverage_on_pause(&j.state, kOrder + 1000);
	j.report("a", kNow);
	EXPECT_EQ(j.gap(), COVERAGE_LATE);
}

// Another run of a node that was dead to this one may have counted what nobody reports.
TEST(Coverage, ANodeThatCameBackLeavesItsUnknownCountsMissing)
{
	Judge j({"a"});

	j.update(kOrder);
	j.view.any_dead = true;
	j.update(kOrder + 3000);
	j.view.any_dead = false;
	j.update(kOrder + 4000);
	j.report("a", kNow);
	EXPECT_EQ(j.gap(), COVERAGE_UNREACHABLE);
}

TEST(Coverage, AServingNodeWithoutANewReportIsMissing)
{
	Judge j({"a", "b"});

	j.update(kOrder);
	j.report("a", kNow);
	EXPECT_EQ(j.gap(), COVERAGE_SILENT);
	j.report("b", kNow - SHIFT_REPORT_MAX_AGE_MS - 1);
	EXPECT_EQ(j.gap(), COVERAGE_SILENT);
	j.report("b", kNow);
	EXPECT_EQ(j.gap(), COVERAGE_COMPLETE);
}

} // namespace
