// Tests which requests yield when what is held for clients reaches its limit.
#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "http/memory.h"
}

namespace {

const size_t kKb = 1024;
const size_t kMb = 1024 * kKb;
const uint64_t kNow = 100000;

struct Account : testing::Test {
	memory_account a;
	std::vector<memory_holder *> holders;
	Account()
	{
		memory_init(&a, 16 * kMb, 10); // 4 MB of it for small holders
	}
	~Account() override
	{
		for (auto *h : holders) {
			memory_end_receiving(&a, h);
			memory_resize(&a, h, 0);
			delete h;
		}
		EXPECT_EQ(a.held, 0u);
		EXPECT_EQ(g_hash_table_size(a.clients), 0u);
		memory_clear(&a);
	}
	// Adds a request of so many bytes that last made progress at a time.
	memory_holder *add(size_t bytes, uint64_t client = 1, uint64_t at = kNow)
	{
		auto *h = new memory_holder();
		h->client = client;
		memory_begin_receiving(&a, h, at);
		memory_resize(&a, h, bytes);
		holders.push_back(h);
		return h;
	}
	// What is sent to a server, or an answer, cannot be evicted.
	memory_holder *add_kept(size_t bytes)
	{
		memory_holder *h = add(bytes);
		memory_end_receiving(&a, h);
		return h;
	}
	memory_verdict grow(memory_holder *h, size_t n, memory_holder **victim)
	{
		return memory_may_grow(&a, h, kNow, n, victim);
	}
};

// Guards against a node that refuses the largest legal request in calm.
TEST_F(Account, SmallestMachineTakesTheLargestRequest)
{
	memory_holder *victim;

	memory_set_limit(&a, memory_default_limit(88));
	EXPECT_EQ(a.limit, 30 * kMb);
	memory_holder *h = add(kKb);
	EXPECT_EQ(memory_may_begin(&a, h, kNow, 4 * kMb, &victim), MEMORY_FITS);
	memory_resize(&a, h, 4 * kMb);
	memory_charge(&a, 4 * kMb); // the copy that is sent
	EXPECT_EQ(grow(h, 4 * kMb, &victim), MEMORY_FITS);
	memory_discharge(&a, 4 * kMb);
}

// Guards against refusing ordinary traffic: 400 bodies of 72 KB on 88 MB.
TEST_F(Account, OrdinaryTrafficFits)
{
	memory_holder *victim;

	memory_set_limit(&a, memory_default_limit(88));
	for (int i = 0; i < 400; i++) {
		memory_holder *h = add(2 * kKb);
		ASSERT_EQ(memory_may_begin(&a, h, kNow, 72 * kKb, &victim),
			  MEMORY_FITS);
		memory_resize(&a, h, 74 * kKb);
		memory_end_receiving(&a, h);
	}
}

// Guards against a limit that leaves nothing, or that wraps around.
TEST(MemoryDefaults, StayWithinTheirRange)
{
	EXPECT_EQ(memory_default_limit(0), 8 * kMb);
	EXPECT_EQ(memory_default_limit(512), 295 * kMb);
	EXPECT_EQ(memory_default_limit(UINT64_C(1) << 30), 4096 * kMb);
	EXPECT_EQ(memory_default_connections(20), 1u);
	EXPECT_EQ(memory_default_connections(96), 64u);
	EXPECT_EQ(memory_default_connections(8192), 7168u);
}

// Guards against evicting a client that sends on for one that has stopped.
TEST_F(Account, StalledYieldFirst)
{
	memory_holder *victim;
	memory_holder *stalled = add(kMb, 1, kNow - 1000);
	memory_holder *growing = add(10 * kMb, 2);

	EXPECT_EQ(grow(growing, 2 * kMb, &victim), MEMORY_EVICT);
	EXPECT_EQ(victim, stalled);
}

// Guards against a client that stays growing by a byte now and then.
TEST_F(Account, TrickleIsNoProgress)
{
	memory_holder *h = add(kMb, 1, kNow - 1000);
	memory_holder *growing = add(11 * kMb, 2);
	memory_holder *victim;

	memory_on_received(h, kNow - 1, 100);
	EXPECT_EQ(grow(growing, kMb, &victim), MEMORY_EVICT);
	EXPECT_EQ(victim, h);
	memory_on_received(h, kNow, 16 * kKb);
	EXPECT_EQ(grow(growing, kMb, &victim), MEMORY_REFUSE);
}

TEST_F(Account, LargerYieldFirst)
{
	memory_holder *victim;
	memory_holder *smaller = add(4 * kMb);
	memory_holder *larger = add(7 * kMb);

	EXPECT_EQ(grow(smaller, 2 * kMb, &victim), MEMORY_EVICT);
	EXPECT_EQ(victim, larger);
	// The one that yields first is refused itself.
	EXPECT_EQ(grow(larger, 2 * kMb, &victim), MEMORY_REFUSE);
}

// Guards against a crowd of one client that drives out a single large body.
TEST_F(Account, ManyOfOneClientYieldFirst)
{
	memory_holder *victim;
	memory_holder *single = add(4 * kMb, 7);

	for (int i = 0; i < 8; i++)
		add(kMb, 8);
	EXPECT_EQ(grow(single, kMb, &victim), MEMORY_EVICT);
	EXPECT_EQ(victim->client, 8u);
}

// Guards against requests sent ahead that take the room of others.
TEST_F(Account, RequestsSentAheadAreDroppedWhileMemoryIsShort)
{
	memory_holder *single = add_kept(2 * kMb);
	memory_holder *one = add_kept(kMb), *more = add_kept(2 * kMb);

	single->client = 7;
	one->client = more->client = 8;
	memory_set_ahead(&a, single, 1800 * kKb);
	memory_set_ahead(&a, one, 900 * kKb);
	memory_set_ahead(&a, more, 1700 * kKb);
	EXPECT_EQ(memory_next_ahead(&a), nullptr); // 5 of 16 MB are held
	memory_holder *body = add(4 * kMb);
	EXPECT_EQ(memory_next_ahead(&a), more); // that client has most
	memory_set_ahead(&a, more, 0);
	memory_resize(&a, more, kKb);
	memory_resize(&a, body, 8 * kMb);
	EXPECT_EQ(memory_next_ahead(&a), single);
	memory_set_ahead(&a, single, 0);
	EXPECT_EQ(memory_next_ahead(&a), one);
	memory_set_ahead(&a, one, 0);
	EXPECT_EQ(memory_next_ahead(&a), nullptr);
}

// Guards against unread bytes that exceed a small machine, and against a window
// that slows down large bodies.
TEST_F(Account, ReceiveBuffersFollowTheLimit)
{
	memory_set_limit(&a, kMb);
	EXPECT_EQ(memory_body_receive_buffer(&a), 64 * kKb);
	memory_set_limit(&a, 8 * kMb);
	EXPECT_EQ(memory_body_receive_buffer(&a), 128 * kKb);
	memory_set_limit(&a, 30 * kMb);
	EXPECT_EQ(memory_body_receive_buffer(&a), 480 * kKb);
	memory_set_limit(&a, 4096 * kMb);
	EXPECT_EQ(memory_body_receive_buffer(&a), 512 * kKb);
	a.max_connections = 0;
	EXPECT_EQ(memory_idle_receive_buffer(&a), 64 * kKb);
	memory_set_limit(&a, 16 * kMb);
	a.max_connections = 512;
	EXPECT_EQ(memory_idle_receive_buffer(&a), 16 * kKb);
	a.max_connections = 100000;
	EXPECT_EQ(memory_idle_receive_buffer(&a), 8 * kKb);
}

// Guards against many connections that each sent a body once and then fill their
// receive buffers.
TEST_F(Account, WideBuffersKeepToHalfOfTheLimit)
{
	const size_t most = 8 * kMb / memory_body_receive_buffer(&a);
	memory_holder *narrowed;

	for (size_t i = 0; i < most; i++) {
		EXPECT_TRUE(memory_widen(&a, add(kKb), &narrowed));
		EXPECT_EQ(narrowed, nullptr);
	}
	memory_holder *next = add(kKb);
	EXPECT_FALSE(memory_widen(&a, next, &narrowed)); // all receive bodies
	EXPECT_FALSE(next->wide);
	memory_end_receiving(&a, holders[3]);
	memory_end_receiving(&a, holders[1]);
	EXPECT_TRUE(memory_widen(&a, next, &narrowed));
	ASSERT_EQ(narrowed, holders[1]); // it has had its own for longest
	EXPECT_FALSE(narrowed->wide);
	EXPECT_TRUE(memory_widen(&a, next, &narrowed)); // it has it
	EXPECT_EQ(narrowed, nullptr);
	EXPECT_EQ(a.wide.length, most);
	for (auto *h : holders)
		memory_narrow(&a, h);
	EXPECT_EQ(a.wide.length, 0u);
}

// Guards against responses that fill the kernel's memory while nobody takes them, and
// against a client that has to wait for others to take theirs.
TEST_F(Account, WritesAreLimitedWhileTheKernelHoldsMuch)
{
	memory_holder *small = add(kKb), *large = add(kKb), *other = add(kKb);

	memory_set_unsent(&a, small, 2 * kKb - 1);
	EXPECT_EQ(a.unsent_bytes, 0u); // an ordinary response on its way
	memory_set_unsent(&a, large, 4 * kMb - 1);
	EXPECT_FALSE(memory_is_send_limited(&a));
	EXPECT_GT(memory_may_send(&a, large), kMb);
	memory_set_unsent(&a, small, 2 * kKb);
	EXPECT_TRUE(memory_is_send_limited(&a));
	EXPECT_EQ(memory_may_send(&a, large), 0u);
	EXPECT_EQ(memory_may_send(&a, small), 0u);
	EXPECT_GE(memory_may_send(&a, other), 2 * kKb);
	EXPECT_LE(memory_may_send(&a, other), 64 * kKb);
	memory_set_unsent(&a, large, 0);
	EXPECT_FALSE(memory_is_send_limited(&a));
	memory_set_unsent(&a, small, 0);
	EXPECT_EQ(a.unsent_bytes, 0u);
	EXPECT_EQ(a.unsent.length, 0u);
}

// Guards against a full account that shuts out small requests as well.
TEST_F(Account, SmallUseTheReserve)
{
	memory_holder *victim;

	add_kept(12 * kMb);
	memory_holder *small = add(kKb), *large = add(kKb);
	EXPECT_EQ(memory_may_begin(&a, large, kNow, kMb, &victim),
		  MEMORY_REFUSE);
	EXPECT_EQ(memory_may_begin(&a, small, kNow, 72 * kKb, &victim),
		  MEMORY_FITS);
	EXPECT_EQ(grow(small, 72 * kKb, &victim), MEMORY_FITS);
}

// Guards against dropping what still grows for a large body that is new.
TEST_F(Account, NewLargeOnesAreRefusedFirst)
{
	memory_holder *victim;
	memory_holder *growing = add(10 * kMb, 2);
	memory_holder *h = add(kKb);

	EXPECT_EQ(memory_may_begin(&a, h, kNow, 4 * kMb, &victim),
		  MEMORY_REFUSE);
	EXPECT_EQ(memory_may_begin(&a, h, kNow + 1000, 4 * kMb, &victim),
		  MEMORY_EVICT);
	EXPECT_EQ(victim, growing);
}

// Guards against evicting what has been sent to a server, or an answer.
TEST_F(Account, KeptNeverYield)
{
	memory_holder *victim;

	add_kept(20 * kMb);
	EXPECT_TRUE(memory_is_exceeded(&a));
	EXPECT_EQ(memory_next_victim(&a, kNow), nullptr);
	memory_holder *h = add(kKb);
	EXPECT_EQ(grow(h, kKb, &victim), MEMORY_REFUSE);
}

} // namespace
