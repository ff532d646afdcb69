#include <gtest/gtest.h>

extern "C" {
#include "platform/translate.h"
}

namespace {

class ServerEntry : public ::testing::Test {
    protected:
	server_entry entry = {};
	json_object *object = nullptr;

	~ServerEntry() override
	{
		json_object_put(object);
	}

	bool read(const std::string &slots, const std::string &cold_ms)
	{
		const std::string text =
			R"({"meta":{"name":"i-1","rev":4},"spec":{"service":"desk",)"
			R"("addr":"127.0.0.1:80","zone":"z","version":"v1",)"
			R"("state":"ready","slots":)" +
			slots + R"(,"cold_left_ms":)" + cold_ms + "}}";

		json_object_put(object);
		object = json_tokener_parse(text.c_str());
		return platform_translate_server(object, &entry);
	}
};

TEST_F(ServerEntry, FiguresAreTakenAsTheyAre)
{
	ASSERT_TRUE(read("64", "1500"));
	EXPECT_EQ(entry.slots, 64u);
	EXPECT_EQ(entry.cold_ms, 1500u);
}

/* Figures beyond 32 bits were cut to their lowest ones. */
TEST_F(ServerEntry, FiguresThatDoNotFitAreBounded)
{
	ASSERT_TRUE(read("4294967301", "4294967296"));
	EXPECT_EQ(entry.slots, (uint32_t)UINT16_MAX);
	EXPECT_EQ(entry.cold_ms, (uint32_t)INT32_MAX);
	ASSERT_TRUE(read("9223372036854775807", "9223372036854775807"));
	EXPECT_EQ(entry.slots, (uint32_t)UINT16_MAX);
	EXPECT_EQ(entry.cold_ms, (uint32_t)INT32_MAX);
	EXPECT_FALSE(read("-1", "0"));
	EXPECT_FALSE(read("8", "-1"));
}

} // namespace
