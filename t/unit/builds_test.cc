#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "fleet/builds.h"
}

namespace {

struct Members {
	member_table m = {};
	Members(const char *build, uint32_t protocol)
	{
		member_init(&m, "self", {1, 7000}, 1, 1);
		m.self_build.protocol = protocol;
		g_strlcpy(m.self_build.id, build, MEMBER_BUILD_BYTES);
	}
	~Members()
	{
		member_clear(&m);
	}
	void add(const char *name, member_state state, const char *build,
		 uint32_t protocol)
	{
		const member_update u = {"", {2, 7000}, state, 1};
		member_update named = u;
		member_build b = {"", protocol};

		g_strlcpy(named.name, name, sizeof(named.name));
		g_strlcpy(b.id, build, sizeof(b.id));
		member_learn(&m, 1000, &named);
		member_learn_build(&m, &named, &b);
	}
	builds_summary count() const
	{
		builds_summary s;

		builds_count(&m, &s);
		return s;
	}
	std::string text() const
	{
		const builds_summary s = count();
		char *t = builds_to_text(&s);
		std::string copy(t);

		g_free(t);
		return copy;
	}
};

TEST(Builds, TheProtocolIsTheLowestThatALiveNodeKnows)
{
	Members all("new", 3);

	all.add("a", MEMBER_ALIVE, "new", 3);
	all.add("gone", MEMBER_LEAVING, "old", 1);
	EXPECT_EQ(all.count().protocol, 3u);
	EXPECT_EQ(all.text(), "new:2");
	all.add("b", MEMBER_SUSPECT, "old", 2);
	EXPECT_EQ(all.count().protocol, 2u);
	all.add("c", MEMBER_ALIVE, "", 0);
	EXPECT_EQ(all.count().protocol, 0u);
	EXPECT_EQ(all.text(), "new:2,old:1,unknown:1");
}

TEST(Builds, MoreBuildsThanCanBeToldApartAreUnknown)
{
	Members all("b", 1);

	for (int i = 0; i < 10; i++) {
		const std::string name = "n" + std::to_string(i);

		all.add(name.c_str(), MEMBER_ALIVE, name.c_str(), 1);
	}
	EXPECT_EQ(all.count().n, (uint32_t)BUILDS_MAX);
	EXPECT_EQ(all.count().unknown, 3u);
}

TEST(Builds, AMixedFleetIsReportedOnceAndAStartingNodeIsNotOne)
{
	Members all("new", 1);
	builds_watch w = {};
	builds_summary s = all.count();

	EXPECT_FALSE(builds_watch_update(&w, 1000, &s));
	all.add("a", MEMBER_ALIVE, "", 0);
	s = all.count();
	EXPECT_FALSE(builds_watch_update(&w, 20999, &s));
	EXPECT_FALSE(builds_watch_update(&w, 21000, &s));
	EXPECT_TRUE(builds_watch_update(&w, 41000, &s));
	EXPECT_TRUE(w.is_mixed);
	EXPECT_FALSE(builds_watch_update(&w, 61000, &s));
	all.add("a", MEMBER_ALIVE, "new", 1);
	s = all.count();
	EXPECT_TRUE(builds_watch_update(&w, 81000, &s));
	EXPECT_FALSE(w.is_mixed);
}

} // namespace
