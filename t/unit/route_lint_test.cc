// Checks of configurations of routes before they are sent.

#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "exchange/route-lint.h"
}

namespace {

const char *kGood = R"({"revision": 7,
 "routes": [
  {"name": "a", "host": "h", "path": "/a/", "kind": "streaming",
   "resumable": true, "timeout_ms": 9000, "objective_ms": 2000,
   "pause_ms": 1000, "attempts": 3, "models": ["s", "l"],
   "services": [{"service": "engines", "weight": 1}]},
  {"name": "b", "host": "h", "path": "/b/", "kind": "idempotent",
   "timeout_ms": 600, "objective_ms": 100,
   "services": [{"service": "desk", "weight": 1}]}],
 "services": [
  {"name": "engines", "slots": 16, "max_connections": 500,
   "models": [{"name": "s", "cost": 0.1}, {"name": "l", "cost": 1}]},
  {"name": "desk"}],
 "organisations": [{"name": "o1", "keys": ["secret-1"]},
  {"name": "o2", "keys": ["secret-2"]}],
 "limits": {"max_body_bytes": 1048576, "head_ms": 3000, "idle_ms": 15000}})";

// Replaces the first `from` in the valid configuration.
std::string with(const std::string &from, const std::string &to)
{
	std::string text = kGood;
	const size_t at = text.find(from);

	EXPECT_NE(at, std::string::npos) << from;
	return text.replace(at, from.size(), to);
}

// Returns the findings, a line each; against: the configuration in force.
std::string check(const std::string &text, const char *against = nullptr)
{
	const route_lint_limits limits = {0.9, 88};
	GPtrArray *findings = route_lint_new_findings();
	json_object *doc = json_tokener_parse(text.c_str());
	std::string out;

	route_table_unref(route_lint_check(doc, &limits, findings));
	if (against) {
		json_object *from = json_tokener_parse(against);

		route_lint_compare(from, doc, findings);
		json_object_put(from);
	}
	for (guint i = 0; i < findings->len; i++) {
		auto *f = (route_lint_finding *)findings->pdata[i];

		out += route_lint_level_name(f->level);
		out += std::string(": ") + f->text + "\n";
	}
	json_object_put(doc);
	g_ptr_array_unref(findings);
	return out;
}

TEST(RouteLint, FindsNothingInAValidConfiguration)
{
	EXPECT_EQ(check(kGood), "");
}

/* Guards against entries that no request or key can match going unnoticed. */
TEST(RouteLint, FindsEntriesThatNeverMatch)
{
	const struct {
		const char *from, *to, *finding;
	} rows[] = {
		{"/b/", "/a/", "error: route b: never matched"},
		{"\"weight\": 1}]},\n  {\"name\": \"b\"",
		 "\"weight\": 1}, {\"service\": \"desk\", \"weight\": 0}]},"
		 "{\"name\": \"b\"",
		 "warning: route a: service desk has weight 0"},
		{"\"service\": \"desk\"", "\"service\": \"gone\"",
		 "error: routes: b: refers to an unknown service"},
		{"secret-2", "secret-1", "error: organisation o2: key 1 is "
					 "also held by o1"},
		{"[\"secret-2\"]", "[]", "warning: organisation o2: has no key"},
		{"[\"s\", \"l\"]", "[\"s\", \"x\"]",
		 "error: route a: service engines has no model x"},
		{"\"name\": \"o2\"", "\"name\": \"o1\"",
		 "error: organisations: the name o1 stands twice"},
		{"{\"name\": \"desk\"}", "{\"name\": \"desk\"}, {\"name\": \"z\"}",
		 "warning: service z: no route sends to it"},
	};

	for (const auto &row : rows)
		EXPECT_NE(check(with(row.from, row.to)).find(row.finding),
			  std::string::npos)
			<< row.finding << "\n"
			<< check(with(row.from, row.to));
}

/* Guards against limits that contradict each other going unnoticed. */
TEST(RouteLint, FindsLimitsThatContradictEachOther)
{
	EXPECT_NE(check(with("600", "60")).find("before the objective"),
		  std::string::npos);
	EXPECT_NE(check(with("1048576", "67108864")).find("memory of 88 MB"),
		  std::string::npos);
	EXPECT_NE(check(with("500", "8")).find("cannot fill 16 slots"),
		  std::string::npos);
	EXPECT_NE(check(with("15000", "500")).find("idle connections"),
		  std::string::npos);
	EXPECT_NE(check(with("\"attempts\": 3", "\"attempts\": 16"))
			  .find("hardly pays"),
		  std::string::npos);
}

/* Guards against keys in the output, which ends up in logs and reviews. */
TEST(RouteLint, NamesChangesWithoutKeys)
{
	const std::string out =
		check(with("secret-2", "secret-3"), kGood) +
		check(with("600", "700"), kGood) +
		check(with("secret-2", "secret-1"), kGood);

	EXPECT_NE(out.find("error: revision 7 is not above 7"),
		  std::string::npos);
	EXPECT_NE(out.find("organisation o2: keys change, from 1 to 1"),
		  std::string::npos);
	EXPECT_NE(out.find("route b: timeout_ms from 600 to 700"),
		  std::string::npos);
	EXPECT_EQ(out.find("secret-"), std::string::npos);
}

} // namespace
