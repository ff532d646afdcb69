#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

extern "C" {
#include "exchange/load-report.h"
}

namespace {

TEST(LoadReport, HasThreeOrFourFigures)
{
	load_report r;

	ASSERT_TRUE(load_report_parse("2,1,8", &r));
	EXPECT_EQ(r.running, 2u);
	EXPECT_EQ(r.waiting, 1u);
	EXPECT_EQ(r.slots, 8u);
	EXPECT_EQ(r.percent, 0u);
	ASSERT_TRUE(load_report_parse("2, 1, 8, 137.5,9", &r));
	EXPECT_EQ(r.percent, 137u);
}

/* A negative count was read as four thousand million requests. */
TEST(LoadReport, FiguresThatNoServerHasAreRefused)
{
	load_report r;

	for (const char *text :
	     {"", ",", "2", "2,1", "2,1,", ",1,8", "-1,0,8", "0,-1,8", "0,0,-1",
	      "2,0,8,-1", "+1,0,8", "0x10,0,8", "1e9,0,8", "nan,0,8",
	      "4294967295,0,8", "4294967296,0,8", "99999999999999999999,0,8",
	      "2,4294967295,8", "2,0,4294967295", "1000001,0,8", "2,0,65536",
	      "2;0;8", "2,0,8x", "2,0,8,", "2 1,0,8"})
		EXPECT_FALSE(load_report_parse(text, &r)) << text;
}

RC_GTEST_PROP(LoadReport, AnyTextGivesFiguresWithinTheirBounds, ())
{
	const auto text = *rc::gen::container<std::string>(
		rc::gen::elementOf(std::string("0123456789,,, .-+ex")));
	load_report r;

	if (!load_report_parse(text.c_str(), &r))
		return;
	RC_ASSERT(r.running <= (uint32_t)LOAD_REPORT_MAX_REQUESTS);
	RC_ASSERT(r.waiting <= (uint32_t)LOAD_REPORT_MAX_REQUESTS);
	RC_ASSERT(r.slots <= (uint32_t)LOAD_REPORT_MAX_SLOTS);
	RC_ASSERT(r.percent <= (uint32_t)LOAD_REPORT_MAX_PERCENT);
}

} // namespace
