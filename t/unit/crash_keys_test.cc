#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
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

// Whole requests, which clients repeat.
constexpr uint32_t kRequest = CRASH_KEY_REQUEST_DEPTH;
constexpr uint64_t kRead = 50, kOrder = 51, kSound = 52;

TEST(CrashingRequest, IsBlockedAfterThreeCrashesThoughItIsNeverSentAgain)
{
	Parts p;

	for (uint64_t i = 0; i < 2; i++)
		p.add(kOrder, i, 100 + i, 1000 + 500 * i, kRequest);
	p.update(2000);
	EXPECT_EQ(p.blocked_ms(2000, kOrder), 0u);
	p.add(kOrder, 2, 102, 2100, kRequest);
	p.update(2200);
	EXPECT_GT(p.blocked_ms(2200, kOrder), 60000u);
	EXPECT_EQ(crash_keys_count_blocked(&p.c, true), 1u);
	EXPECT_EQ(crash_keys_count_blocked(&p.c, false), 0u);
}

TEST(CrashingRequest, ServersThatFailAtOnceAreNoReason)
{
	Parts p;

	for (uint64_t i = 0; i < 8; i++)
		p.add(kSound, i, 100 + i, 1000 + 10 * i, kRequest);
	p.update(1200);
	EXPECT_EQ(p.blocked_ms(1200, kSound), 0u);
}

TEST(CrashingRequest, OneThatIsAnsweredElsewhereIsNotBlocked)
{
	Parts p;

	for (uint64_t i = 0; i < 5; i++)
		p.add(kSound, i, 100 + i, 1000 + 500 * i, kRequest);
	crash_keys_on_peer_answer(&p.c, 3100, kSound);
	p.update(3200);
	EXPECT_EQ(p.blocked_ms(3200, kSound), 0u);
}

// Two requests that run at the same three crashes; returns the time after them.
uint64_t crash_together(Parts &p, uint64_t a, uint64_t b)
{
	uint64_t at = 1000;

	for (uint64_t i = 0; i < 3; i++, at += 500)
		for (uint64_t key : {a, b})
			p.add(key, i, key * 10 + i, at, kRequest);
	p.update(at);
	return at;
}

TEST(CrashingRequest, BothOfTwoThatAlwaysRunTogetherAreBlocked)
{
	Parts p;
	uint64_t at = crash_together(p, kRead, kOrder);

	EXPECT_GT(p.blocked_ms(at, kRead), 0u);
	EXPECT_GT(p.blocked_ms(at, kOrder), 0u);
	// What others explain gets another chance, and only one crash more.
	at += 11000;
	p.update(at);
	p.add(kRead, 10, 301, at, kRequest);
	p.update(at);
	p.update(at + 11000);
	EXPECT_GT(p.blocked_ms(at + 11000, kRead), 0u);
	p.add(kOrder, 11, 302, at + 11500, kRequest);
	p.update(at + 11500);
	EXPECT_GT(p.blocked_ms(at + 11500, kRead), 0u);
	EXPECT_GT(p.blocked_ms(at + 11500, kOrder), 0u);
}

TEST(CrashingRequest, ASoundOneThatRanBesideItIsReleased)
{
	Parts p;
	uint64_t at = crash_together(p, kRead, kSound);

	p.add(kRead, 9, 300, at, kRequest);
	p.update(at);
	p.update(at + 11000);
	EXPECT_EQ(p.blocked_ms(at + 11000, kSound), 0u);
	EXPECT_GT(p.blocked_ms(at + 11000, kRead), 0u);
}

TEST(CrashingRequest, DoesNotHideTheCrashingPartOfSeveral)
{
	Parts p;
	uint64_t at = 1000;

	for (uint64_t i = 0; i < 3; i++)
		for (uint64_t attempt = 0; attempt < 3; attempt++, at += 200) {
			const uint64_t server = 3 * i + attempt;

			p.add(kBad, server, 100 + i, at, 1);
			p.add(1000 + i, server, 100 + i, at, kRequest);
		}
	p.update(at);
	EXPECT_GT(p.blocked_ms(at, kBad), 0u);
	EXPECT_EQ(crash_keys_count_blocked(&p.c, true), 0u);
}

/*
 * A fleet that shares all observations, in steps of 100 ms: servers run requests
 * for some steps; one that crashes them does so after its first step there.
 */
struct Fleet {
	static constexpr int kStepMs = 100, kDownSteps = 20, kSteps = 600;
	static constexpr uint64_t kStableMs = 3000;
	struct Run {
		uint64_t key, request;
		int end;
		bool crashes;
		int attempts_left;
	};
	struct Server {
		int up_at = 0;
		std::vector<Run> runs;
	};
	Parts p;
	std::vector<Server> servers;
	std::map<uint64_t, std::vector<uint64_t>> crashes, sends;
	int sound = 0, served = 0;
	uint64_t next_request = 1;

	uint64_t ms(int step) const { return 1000 + (uint64_t)step * kStepMs; }

	void send(int step, Run r, uint32_t draw)
	{
		if (p.blocked_ms(ms(step), r.key))
			return;
		for (size_t i = 0; i < servers.size(); i++) {
			Server &s = servers[(draw + i) % servers.size()];

			if (s.up_at > step)
				continue;
			sends[r.key].push_back(ms(step));
			r.end = step + (r.crashes ? 1 : 1 + draw % 4);
			s.runs.push_back(r);
			return;
		}
	}

	void crash(int step, size_t server, uint32_t draw)
	{
		std::vector<Run> lost;

		lost.swap(servers[server].runs);
		servers[server].up_at = step + kDownSteps;
		for (Run &r : lost) {
			p.add(r.key, server, r.request, ms(step), kRequest);
			if (r.crashes && r.end <= step)
				crashes[r.key].push_back(ms(step));
			if (r.attempts_left-- > 0 &&
			    !crash_keys_on_trial(&p.c, ms(step), &r.key, 1))
				send(step, r, draw++);
		}
	}

	void run(int step, size_t server, uint32_t draw)
	{
		Server &s = servers[server];
		std::vector<Run> left;

		for (const Run &r : s.runs)
			if (r.crashes && r.end <= step) {
				crash(step, server, draw);
				return;
			}
		for (const Run &r : s.runs) {
			if (r.end > step) {
				left.push_back(r);
				continue;
			}
			served++;
			crash_keys_on_answer(&p.c, ms(step), &r.key, 1);
		}
		s.runs = left;
	}

	uint32_t late(uint64_t key)
	{
		uint32_t n = 0;

		if (crashes[key].size() < 3)
			return 0;
		for (uint64_t at : sends[key])
			n += at > crashes[key][2] + kStableMs;
		return n;
	}
};

RC_GTEST_PROP(CrashingRequest, SeveralAtOnceCrashFewServersAndSoundOnesAreServed,
	      ())
{
	Fleet f;
	const int n_servers = *rc::gen::inRange(3, 10);
	const int n_bad = *rc::gen::inRange(1, 5);
	const int period = *rc::gen::inRange(4, 25);
	const int attempts = *rc::gen::inRange(0, 3);
	uint32_t draw = *rc::gen::arbitrary<uint32_t>();

	f.servers.resize(n_servers);
	for (int step = 0; step < Fleet::kSteps; step++) {
		draw = draw * 1664525 + 1013904223;
		for (int k = 0; k < n_bad; k++)
			if (step % period == (k * 3) % period)
				f.send(step,
				       {(uint64_t)(1 + k), f.next_request++, 0,
					true, attempts},
				       draw >> (8 + k));
		for (uint64_t k = 0; k < 6; k++)
			if ((step + k) % 5 == 0) {
				f.sound++;
				f.send(step,
				       {100 + k, f.next_request++, 0, false,
					attempts},
				       draw >> (12 + k));
			}
		for (size_t i = 0; i < f.servers.size(); i++)
			f.run(step, i, draw >> (4 + i));
		f.p.update(f.ms(step));
	}
	for (int k = 0; k < n_bad; k++)
		RC_ASSERT(f.late(1 + k) <= 3u);
	RC_ASSERT(2 * f.served >= f.sound);
}

} // namespace
