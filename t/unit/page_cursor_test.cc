// Reading a list page by page.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <string>
#include <vector>

extern "C" {
#include "page-cursor.h"
}

namespace {

// A list of `n` names, `page` of them at a time; no page comes after a refused one.
struct List {
	int n;
	int page;
	std::set<int> refused;
	int calls = 0;

	std::string name(int i) const
	{
		return "n" + std::to_string(1000 + i);
	}
	// Reads all pages, and returns the names read; not all if there is no way on.
	std::set<std::string> read()
	{
		std::set<std::string> names;
		page_cursor c;
		bool more = true;

		page_cursor_init(&c);
		while (more) {
			const int from =
				c.after ? std::stoi(c.after + 1) - 1000 + 1 : 0;

			calls++;
			if (from && refused.count(from - 1)) {
				more = page_cursor_step_back(&c);
				continue;
			}
			page_cursor_begin_page(&c);
			for (int i = from; i < n && i < from + page; i++) {
				names.insert(name(i));
				page_cursor_add_name(&c,
						     g_strdup(name(i).c_str()));
			}
			more = from + page < n && page_cursor_advance(&c);
		}
		page_cursor_reset(&c);
		g_ptr_array_unref(c.names);
		return names;
	}
	bool has_way() const
	{
		for (int i = 0; i + page < n; i++) {
			int run = 0;
			while (run < page && refused.count(i + run))
				run++;
			if (run == page)
				return false;
		}
		return true;
	}
};

// A name that no page can be asked for after hides no name behind it.
RC_GTEST_PROP(PageCursor, RefusedNamesHideNoOthers, ())
{
	List list;

	list.n = *rc::gen::inRange(0, 40);
	list.page = *rc::gen::inRange(1, 8);
	list.refused = *rc::gen::container<std::set<int>>(rc::gen::inRange(0, 40));
	RC_PRE(list.has_way());
	RC_ASSERT(list.read().size() == (size_t)list.n);
	RC_ASSERT(list.calls <= 2 * list.n + 1);
}

TEST(PageCursor, EndsWhereNoNameOfThePageMayBeFollowed)
{
	List list = {4, 2, {2, 3}};
	EXPECT_EQ(list.read().size(), 4u);
	list = {6, 2, {2, 3}};
	EXPECT_EQ(list.read().size(), 4u);
	EXPECT_LE(list.calls, 5);
}

TEST(PageCursor, DoesNotAskForTheSamePageAgain)
{
	page_cursor c;

	page_cursor_init(&c);
	page_cursor_begin_page(&c);
	page_cursor_add_name(&c, nullptr);
	EXPECT_FALSE(page_cursor_advance(&c));
	for (bool moves : {true, false}) {
		page_cursor_begin_page(&c);
		page_cursor_add_name(&c, g_strdup("a"));
		EXPECT_EQ(page_cursor_advance(&c), moves);
	}
	page_cursor_reset(&c);
	EXPECT_EQ(c.after, nullptr);
	g_ptr_array_unref(c.names);
}

} // namespace
