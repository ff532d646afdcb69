// Tests how answers of the platform's store are split into items.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "platform/envelope.h"
#include "platform/translate.h"
}

namespace {

std::string item(const std::string &name, const std::string &spec)
{
	return "{\"meta\":{\"name\":\"" + name + "\",\"rev\":5},\"spec\":" +
	       spec + "}";
}

std::string answer(const std::vector<std::string> &items)
{
	std::string text = "{\"items\":[";
	for (size_t i = 0; i < items.size(); i++)
		text += (i ? "," : "") + items[i];
	return text + "],\"has_more\":true,\"as_of\":42}";
}

std::string repeat(const std::string &s, int n)
{
	std::string out;
	while (n--)
		out += s;
	return out;
}

// The names of the items, "-" for those without, "!" after those that are bad.
std::vector<std::string> names_in(const std::string &text, envelope *e)
{
	std::vector<std::string> names;
	envelope_read(e, text.data(), text.size(), "items");
	for (guint i = 0; i < e->items->len; i++) {
		json_object *o;
		envelope_object_state state = envelope_object(
			g_array_index(e->items, json_span, i), &o);
		const char *name = platform_object_name(o);
		names.push_back(std::string(name ? name : "-") +
				(state == ENVELOPE_OBJECT_GOOD ? "" : "!"));
		json_object_put(o);
	}
	return names;
}

const std::vector<std::string> kDamagedSpecs = {
	repeat("[", 28) + repeat("]", 28),
	repeat("[", 5000) + repeat("]", 5000),
	repeat("{\"a\":", 300) + "1" + repeat("}", 300),
	"\"" + repeat("x", 2000000) + "\"",
	"{\"service\":7,\"slots\":\"many\"}",
	"{\"service\":\"\xff\xfe\x80 \xc3\"}",
	"{\"slots\":999999999999999999999999999999,\"born\":-1e400}",
	"{\"state\":\"ready\",\"state\":[]}",
	"what is this",
	std::string("{\"service\":\"a\0b\"}", 17),
	"\"}]\\\"{[\"",
	"",
};

// One damaged item of any list, anywhere in it, makes at most itself unusable.
RC_GTEST_PROP(Envelope, ADamagedItemLeavesTheOthers, ())
{
	std::vector<std::string> items, expected;
	const int n = *rc::gen::inRange(1, 20);
	const int damaged = *rc::gen::inRange(0, n);
	const auto &spec = kDamagedSpecs[(size_t)*rc::gen::inRange(
		0, (int)kDamagedSpecs.size())];
	envelope e;

	for (int i = 0; i < n; i++) {
		const std::string name = "n" + std::to_string(i);
		items.push_back(item(name, i == damaged ? spec : "{\"a\":[1]}"));
		expected.push_back(name);
	}
	std::vector<std::string> names = names_in(answer(items), &e);
	RC_ASSERT(e.whole && e.has_revision && e.revision == 42u && e.has_more);
	envelope_clear(&e);
	RC_ASSERT(names.size() == (size_t)n);
	for (int i = 0; i < n; i++)
		RC_ASSERT(names[(size_t)i] == expected[(size_t)i] ||
			  (i == damaged &&
			   names[(size_t)i] == expected[(size_t)i] + "!"));
}

// An answer that was cut short gives the items before the cut, and says so.
RC_GTEST_PROP(Envelope, ATruncatedAnswerGivesTheItemsBeforeIt, ())
{
	std::vector<std::string> items;
	for (int i = 0; i < 5; i++)
		items.push_back(item("n" + std::to_string(i), "{\"a\":\"b\"}"));
	const std::string text = answer(items);
	const size_t len = (size_t)*rc::gen::inRange(0, (int)text.size());
	envelope e;

	std::vector<std::string> names = names_in(text.substr(0, len), &e);
	RC_ASSERT(!e.whole);
	envelope_clear(&e);
	for (size_t i = 0; i < names.size(); i++)
		RC_ASSERT(names[i] == "n" + std::to_string(i));
	RC_ASSERT(names.size() >= (len > 10 ? (len - 10) / (items[0].size() + 1)
					    : 0));
}

// A name of any bytes is one value of a query and one segment of a path.
RC_GTEST_PROP(Envelope, ANameInATargetIsOnePartOfIt, ())
{
	const auto name = *rc::gen::container<std::string>(
		rc::gen::elementOf(std::string("aZ09&+#% =?/\"\n\r\0\x7f\xc3", 18)));
	json_object *o = json_object_new_object();
	json_object *meta = json_object_new_object();
	gsize len;

	json_object_object_add(meta, "name",
			       json_object_new_string_len(name.data(),
							  (int)name.size()));
	json_object_object_add(o, "meta", meta);
	g_autofree char *target = platform_object_target(o);
	json_object_put(o);
	RC_ASSERT(strspn(target, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQR"
				 "STUVWXYZ0123456789-._~%") == strlen(target));
	g_autoptr(GBytes) bytes = g_uri_unescape_bytes(target, -1, NULL, NULL);
	RC_ASSERT(!!bytes);
	const char *data = (const char *)g_bytes_get_data(bytes, &len);
	RC_ASSERT(std::string(data ? data : "", len) == name);
}

// As a C string it would be the name of another object.
TEST(Envelope, ANameWithANulIsNone)
{
	envelope e;
	const auto names =
		names_in(answer({item("i-2", "{}"), item("i-2\\u0000", "{}"),
				 item("i-2\\u0000x", "{}")}),
			 &e);
	envelope_clear(&e);
	EXPECT_EQ(names, (std::vector<std::string>{"i-2", "-", "-"}));
}

// Two objects would order roll-outs of one service.
TEST(Envelope, AnOrderOfAnotherNameIsNone)
{
	const char *spec = "{\"service\":\"desk\",\"target\":\"v2\"}";
	for (const std::string name : {"desk", "desk 2"}) {
		json_object *o = json_tokener_parse(item(name, spec).c_str());
		feed_rollout order;
		EXPECT_EQ(platform_translate_rollout(o, &order), name == "desk");
		json_object_put(o);
	}
}

TEST(Envelope, KeepsTheNameOfAnItemThatIsTooDeep)
{
	envelope e;
	const auto names = names_in(
		answer({item("good", "{}"),
			item("deep", repeat("[", 999) + repeat("]", 999)),
			"what is this", "null", "[1,2]"}),
		&e);
	envelope_clear(&e);
	EXPECT_EQ(names, (std::vector<std::string>{"good", "deep!", "-!", "-!",
						   "-!"}));
}

// The place where an answer ends may lie inside the key behind the list.
TEST(Envelope, KeepsTheListBeforeAKeyThatIsCut)
{
	envelope e;
	const auto names = names_in("{\"items\":[" + item("a", "1") +
					    "],\"has_mo",
				    &e);
	EXPECT_EQ(names, std::vector<std::string>{"a"});
	EXPECT_FALSE(e.whole);
	envelope_clear(&e);
}

TEST(Envelope, BearsSpaceAnywhere)
{
	const char *text = " { \"items\" : [ { } , 7 ] ,\n\t\"as_of\" : 42 \r\n}";
	envelope e;
	EXPECT_TRUE(envelope_read(&e, text, strlen(text), "items"));
	EXPECT_EQ(e.items->len, 2u);
	EXPECT_TRUE(e.whole && e.has_revision);
	EXPECT_EQ(e.revision, 42u);
	envelope_clear(&e);
}

TEST(Envelope, RejectsWhatHasNoList)
{
	for (const char *text :
	     {"", "[]", "{}", "{\"items\":7}", "{\"other\":[]}", "nothing"}) {
		envelope e;
		EXPECT_FALSE(envelope_read(&e, text, strlen(text), "items"))
			<< text;
		envelope_clear(&e);
	}
}

TEST(Envelope, RejectsRevisionsThatAreNoNumbers)
{
	for (const char *text :
	     {"{\"items\":[],\"as_of\":\"7\"}", "{\"items\":[],\"as_of\":-7}",
	      "{\"items\":[],\"as_of\":99999999999999999999}",
	      "{\"items\":[],\"as_of\":1e3}"}) {
		envelope e;
		EXPECT_TRUE(envelope_read(&e, text, strlen(text), "items"));
		EXPECT_FALSE(e.has_revision) << text;
		envelope_clear(&e);
	}
}

} // namespace
