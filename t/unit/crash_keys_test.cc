#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "crash/crash-keys.h"
}

namespace {

constexpr uint64_t kShared = 1, kBad = 2, kOther = 3;

struct Parts {
	crash_keys c;
	std::vector<uint64_t> log; // parts that were blocked or released

	Parts() { crash_keys_init(&c); }
	~Parts() { crash_keys_clear(&c); }
	void add(uint64_t part, uint64_t server, uint64_t request, uint64_t at,
		 uint32_t depth = 1)
	{
		const crash_observation s = {part, server, request, depth, at};

		crash_keys_add(&c, &s, true);
	}
	// A request with the shared part and another one crashes servers.
	void crash(uint64_t part, uint64_t request, uint64_t at,
		   std::vector<uint64_t> servers)
	{
		for (uint64_t server : servers) {
			add(kShared, server, request, at, 0);
			add(part, server, request, at, 1);
			at += 60;
		}
	}
	void update(uint64_t now)
	{
		crash_keys_update(
			&c, now,
			[](void *user, const crash_key *p, uint32_t,
			   uint32_t) {
				((Parts *)user)->log.push_back(p->key);
			},
			this);
	}
	uint64_t blocked_ms(uint64_t now, uint64_t part)
	{
		return crash_keys_blocked_ms(&c, now, &part, 1);
	}
};

TEST(CrashParts, BlocksAPartThatCrashesServerAfterServer)
{
	Parts p;

	p.crash(kBad, 100, 1000, {1, 2, 3});
	p.update(1200);
	EXPECT_EQ(p.blocked_ms(1200, kBad), 0u) << "one request may be unlucky";
	p.crash(kBad, 101, 1300, {4});
	p.update(1400);
	EXPECT_GT(p.blocked_ms(1400, kBad), 60000u);
	EXPECT_EQ(p.log, std::vector<uint64_t>{kBad});
}

TEST(CrashParts, SharedPartOfAnsweredRequestsIsNotBlocked)
{
	Parts p;

	crash_keys_on_answer(&p.c, 900, &kShared, 1);
	for (uint64_t i = 0; i < 5; i++)
		p.crash(100 + i, 200 + i, 1000 + 300 * i, {2 * i, 2 * i + 1});
	p.update(3000);
	EXPECT_EQ(p.blocked_ms(3000, kShared), 0u);
}

TEST(CrashParts, OfEqualEvidenceBlocksTheDeepestPart)
{
	Parts p;

	p.crash(kBad, 100, 1000, {1, 2});
	p.crash(kBad, 101, 1300, {3, 4});
	p.update(1500);
	EXPECT_GT(p.blocked_ms(1500, kBad), 0u);
	EXPECT_EQ(p.blocked_ms(1500, kShared), 0u);
}

TEST(CrashParts, ReleasesAPartWhenAnotherExplainsMore)
{
	Parts p;

	// Both requests that carry kBad have kOther too.
	for (uint64_t server : {1, 2, 3, 4})
		p.add(kOther, server, 100 + server / 3, 1000 + 60 * server, 2);
	p.crash(kBad, 100, 1060, {1, 2});
	p.crash(kBad, 101, 1180, {3, 4});
	p.update(1500);
	EXPECT_GT(p.blocked_ms(1500, kOther), 0u);
	p.crash(kBad, 102, 2000, {5, 6});
	crash_keys_on_answer(&p.c, 2100, &kShared, 1);
	p.update(2200);
	EXPECT_GT(p.blocked_ms(2200, kBad), 0u);
	EXPECT_EQ(p.blocked_ms(2200, kOther), 0u);
}

TEST(CrashParts, ServersThatFailTogetherBlockNothing)
{
	Parts p;

	for (uint64_t i = 0; i < 12; i++)
		p.add(kBad, i, 100 + i, 1000 + 10 * i);
	p.update(1200);
	EXPECT_EQ(p.blocked_ms(1200, kBad), 0u);
}

TEST(CrashParts, CrashesApartBlockAlsoIfNoRequestIsSentAgain)
{
	Parts p;

	for (uint64_t i = 0; i < 4; i++)
		p.add(kBad, i, 100 + i, 1000 + 1000 * i);
	p.update(4100);
	EXPECT_EQ(p.blocked_ms(4100, kBad), 0u);
	p.add(kBad, 0, 110, 5000); // back, and crashed again
	p.update(5100);
	EXPECT_GT(p.blocked_ms(5100, kBad), 0u);
}

TEST(CrashParts, AnAnswerAtAnotherNodeReleasesAPart)
{
	Parts p;

	p.crash(kBad, 100, 1000, {1, 2});
	p.crash(kBad, 101, 1300, {3, 4});
	p.update(1500);
	ASSERT_GT(p.blocked_ms(1500, kBad), 0u);
	crash_keys_on_peer_answer(&p.c, 1400, kBad);
	p.update(1600);
	EXPECT_EQ(p.blocked_ms(1600, kBad), 0u);
}

TEST(CrashParts, IsReleasedAfterATimeWithoutCrashes)
{
	Parts p;
	uint64_t ms;

	p.crash(kBad, 100, 1000, {1, 2});
	p.crash(kBad, 101, 1300, {3, 4});
	p.update(1500);
	ms = p.blocked_ms(1500, kBad);
	p.update(1500 + ms - 1);
	EXPECT_GT(p.blocked_ms(1500 + ms - 1, kBad), 0u);
	p.update(1500 + ms + 1);
	EXPECT_EQ(p.blocked_ms(1500 + ms + 1, kBad), 0u);
	EXPECT_EQ(p.log, (std::vector<uint64_t>{kBad, kBad}));
}

TEST(CrashParts, NewsGoOutAFewTimesAndSummariesGoOn)
{
	Parts p, other;
	crash_observation out[8];
	uint32_t total = 0, n;

	p.crash(kBad, 100, 1000, {1, 2, 3});
	p.crash(kBad, 101, 1300, {4, 5, 6});
	while ((n = crash_keys_take_news(&p.c, out, 8)))
		total += n;
	EXPECT_EQ(total, 3 * 12u);
	p.update(1700);
	for (int i = 0; i < 4; i++) {
		n = crash_keys_summary(&p.c, out, 2);
		for (uint32_t k = 0; k < n; k++)
			crash_keys_add(&other.c, &out[k], false);
	}
	EXPECT_EQ(crash_keys_take_news(&other.c, out, 8), 0u);
	other.update(1700);
	EXPECT_GT(other.blocked_ms(1700, kBad), 0u);
}

TEST(CrashParts, WhatIsKeptIsBounded)
{
	Parts p;

	p.crash(kBad, 100, 1000, {1, 2});
	p.crash(kBad, 101, 1300, {3, 4});
	p.update(1500);
	for (uint64_t i = 0; i < 3000; i++) {
		p.add(1000 + i, i, i, 2000 + i);
		p.add(kBad, i, i, 2000 + i);
		const uint64_t answered = 10000 + i;
		crash_keys_on_answer(&p.c, 2000 + i, &answered, 1);
	}
	EXPECT_EQ(p.c.keys->len, (guint)CRASH_KEYS_MAX);
	p.update(5000);
	EXPECT_GT(p.blocked_ms(5000, kBad), 0u);
}

} // namespace
