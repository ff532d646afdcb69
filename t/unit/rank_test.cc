// Ranks of nodes for a role, and the division of a brittle server's slots by them.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "exchange/brittle.h"
#include "fleet/rank.h"
}

namespace {

const uint64_t kNow = 100000;
const uint64_t kHoldMs = 10000;

/* What one node knows of the others. */
struct View {
	GArray *members =
		g_array_new(FALSE, TRUE, sizeof(struct member_entry));
	std::string self;
	explicit View(const std::string &name) : self(name) {}
	~View()
	{
		g_array_unref(members);
	}
	void add(const std::string &name, member_state state, uint64_t changed_at)
	{
		member_entry m = {};

		g_strlcpy(m.info.name, name.c_str(), sizeof(m.info.name));
		m.info.state = state;
		m.changed_at = changed_at;
		g_array_append_val(members, m);
	}
	rank_view view(uint64_t hold_ms) const
	{
		return {members, self.c_str(), kNow, hold_ms};
	}
};

std::string node(uint32_t i)
{
	return "node" + std::to_string(i);
}

TEST(Rank, ANodeThatDiedOrLeftKeepsItsPlaceForAWhile)
{
	View v("self");

	v.add("a", MEMBER_DEAD, kNow - kHoldMs + 1);
	v.add("b", MEMBER_LEAVING, kNow - kHoldMs + 1);
	v.add("c", MEMBER_DEAD, kNow - kHoldMs);
	v.add("d", MEMBER_SUSPECT, 0);
	const rank_view held = v.view(kHoldMs), live = v.view(0);
	EXPECT_EQ(rank_count_nodes(&held), 4u);
	EXPECT_EQ(rank_count_nodes(&live), 2u);
}

RC_GTEST_PROP(Rank, NodesWithTheSameViewHaveDifferentRanks, ())
{
	const uint32_t n = *rc::gen::inRange(1, 60);
	std::vector<bool> taken(n);

	for (uint32_t i = 0; i < n; i++) {
		View v(node(i));

		for (uint32_t k = 0; k < n; k++)
			if (k != i)
				v.add(node(k), MEMBER_ALIVE, 0);
		const rank_view all = v.view(0);
		const uint32_t rank = rank_of_self(&all, "role");
		RC_ASSERT(rank < n && !taken[rank]);
		taken[rank] = true;
		const member_entry *first[8];
		const uint32_t found = rank_find_first(&all, "role", first, 8);
		RC_ASSERT(found == std::min(8u, n - 1));
	}
}

/* Sum of the shares of nodes of which each knows a random nine in ten of the others. */
RC_GTEST_PROP(Rank, SharesOfDifferingViewsAddUpToLittleMoreThanTheSlots, ())
{
	const uint32_t n = *rc::gen::inRange(30, 200);
	const uint32_t slots = *rc::gen::inRange(4, 16);
	const uint32_t kServers = 20;
	const std::vector<uint32_t> unknown = *rc::gen::container<
		std::vector<uint32_t>>(n, rc::gen::inRange(0u, 1u << 30));
	uint32_t sum = 0;

	for (uint32_t i = 0; i < n; i++) {
		View v(node(i));

		for (uint32_t k = 0; k < n; k++)
			if (k != i && (unknown[i] + 7 * k) % 10)
				v.add(node(k), MEMBER_ALIVE, 0);
		const rank_view some = v.view(0);
		for (uint32_t s = 0; s < kServers; s++) {
			brittle b = {};

			brittle_set_rank(&b,
					 rank_of_self(&some, node(s).c_str()),
					 rank_count_nodes(&some), slots);
			sum += b.max_in_flight;
		}
	}
	/* On average; a fifth more is twice what the unknown tenth adds. */
	RC_ASSERT(sum <= kServers * slots * 12 / 10 + kServers);
}

} // namespace
