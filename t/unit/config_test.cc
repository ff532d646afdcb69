// Tests of settings and configuration: checks of their texts, sections and
// head, edits, and when a node may serve by the revision in force.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

extern "C" {
#include "config/config.h"
#include "config/edit.h"
#include "config/generate.h"
#include "config/sections.h"
#include "config/view.h"
#include "daemon/settings.h"
#include "json-check.h"
}

namespace
{

std::string read_file(const char *path)
{
	std::ifstream in(path);
	std::stringstream s;
	s << in.rdbuf();
	return s.str();
}

json_object *example()
{
	std::string text = read_file("examples/etcheverry.jsonc");
	json_object *doc = cfg_generate("example", text.c_str(), nullptr);
	EXPECT_NE(doc, nullptr);
	return doc;
}

std::string settings_text(const std::string &extra)
{
	return "{\n// a comment\n\"node\":\"n\",\"zone\":\"z\",\n"
	       "\"caller_address\":\"127.0.0.1:1\",\n"
	       "\"operator_address\":\"127.0.0.1:2\",\n"
	       "\"peer_address\":\"127.0.0.1:3\",\n"
	       "\"platform_address\":\"127.0.0.1:4\",\n"
	       "\"operator_key\":\"0123456789abcdef\",\n"
	       "\"cluster_key\":\"0123456789abcdef\"" +
	       extra + "}\n";
}

std::string settings_error(const std::string &text)
{
	GError *err = nullptr;
	node_settings *s = settings_parse("file", text.c_str(), &err);
	std::string message = err ? err->message : "";
	g_clear_error(&err);
	settings_free(s);
	return message;
}

TEST(Settings, ValidSettingsAreAccepted)
{
	EXPECT_EQ(settings_error(settings_text("")), "");
	EXPECT_EQ(settings_error(settings_text(",\"hedge_ms\":20")), "");
}

TEST(Settings, UnknownKeyIsRejectedWithItsLine)
{
	EXPECT_EQ(settings_error(settings_text(",\n\"colour\":1")),
		  "file:10: key 'colour' is unknown");
}

TEST(Settings, RepeatedKeyIsRejected)
{
	EXPECT_EQ(settings_error(settings_text(",\n\"zone\":\"y\"")),
		  "file:10: key 'zone' is repeated");
}

TEST(Settings, WrongTypesAndValuesOutOfRangeAreRejected)
{
	EXPECT_EQ(settings_error(settings_text(",\"hedge_ms\":\"a\"")),
		  "file:9: key 'hedge_ms' must be a whole number");
	EXPECT_EQ(settings_error(settings_text(",\"hedge_ms\":1")),
		  "file:9: key 'hedge_ms' has value 1, outside 5 to 60000");
}

TEST(Settings, MissingKeyIsNamedInTheError)
{
	EXPECT_NE(settings_error("{\"node\":\"n\"}").find("'zone'"),
		  std::string::npos);
}

TEST(Settings, SyntaxErrorHasItsLine)
{
	EXPECT_EQ(settings_error("{\n\"node\": }").substr(0, 7), "file:2:");
}

TEST(Settings, TextAfterTheEndIsRejected)
{
	EXPECT_NE(
		settings_error(settings_text("") + "}").find("cannot be read"),
		std::string::npos);
	EXPECT_EQ(settings_error(settings_text("") + "// end\n"), "");
}

// json-c accepts single quotes; keys in them would bypass the check for
// repeated keys.
TEST(Settings, SingleQuotesAreRejected)
{
	EXPECT_NE(settings_error(settings_text(",'zone':'y'")), "");
}

// Found by fuzzing: strings and comments that do not end.
TEST(Settings, UnterminatedStringIsRejected)
{
	EXPECT_NE(settings_error("[[\"a\"],[\"b]"), "");
	EXPECT_NE(settings_error("[]\""), "");
	EXPECT_NE(settings_error("[] /*"), "");
}

TEST(Settings, HostNameInPlaceOfAnAddressIsRejected)
{
	std::string text = settings_text("");
	size_t at = text.find("127.0.0.1:1");
	text.replace(at, 11, "localhost:1");
	EXPECT_NE(settings_error(text).find("not an address"),
		  std::string::npos);
}

RC_GTEST_PROP(JsonCheck, RandomBytesAreAcceptedOrRejected,
	      (const std::string &bytes))
{
	GError *err = nullptr;
	json_object *o =
		jcheck_parse("file", bytes.c_str(), settings_keys, &err);
	RC_ASSERT((o == nullptr) == (err != nullptr));
	json_object_put(o);
	g_clear_error(&err);
}

// Nearly valid text reaches more of the parser than random bytes do.
RC_GTEST_PROP(JsonCheck, DamagedSettingsNeverCrash, ())
{
	std::string text = settings_text(",\"hedge_ms\":20");
	for (int i = *rc::gen::inRange(1, 6); i > 0; i--) {
		size_t at = *rc::gen::inRange<size_t>(0, text.size());
		text[at] = *rc::gen::element('"', '{', '}', '[', ']', ',', ':',
					     '/', '*', '\\', 'x', '\n');
	}
	GError *err = nullptr;
	node_settings *s = settings_parse("file", text.c_str(), &err);
	RC_ASSERT((s == nullptr) == (err != nullptr));
	settings_free(s);
	g_clear_error(&err);
}

TEST(Questionnaire, BothExamplesGenerate)
{
	for (const char *path :
	     {"examples/etcheverry.jsonc", "examples/nakhla.jsonc"}) {
		GError *err = nullptr;
		std::string text = read_file(path);
		json_object *doc = cfg_generate(path, text.c_str(), &err);
		ASSERT_NE(doc, nullptr) << (err ? err->message : "");
		EXPECT_EQ(std::string(json_object_to_json_string(doc))
				  .find("-key\""),
			  std::string::npos)
			<< "the document holds a key instead of its digest";
		json_object_put(doc);
	}
}

TEST(Questionnaire, ContradictionIsRejected)
{
	std::string text = read_file("examples/etcheverry.jsonc");
	size_t at = text.find("\"/stock/query\"");
	text.replace(at, 14, "\"/orders/bulk\"");
	GError *err = nullptr;
	EXPECT_EQ(cfg_generate("q", text.c_str(), &err), nullptr);
	EXPECT_NE(std::string(err->message).find("both idempotent"),
		  std::string::npos);
	g_clear_error(&err);
}

TEST(Config, UnknownReferenceIsRejected)
{
	std::string text = read_file("examples/etcheverry.jsonc");
	size_t at = text.find("\"quill@3\"");
	text.replace(at, 9, "\"quill@9\"");
	GError *err = nullptr;
	EXPECT_EQ(cfg_generate("q", text.c_str(), &err), nullptr);
	EXPECT_NE(std::string(err->message).find("quill@9"), std::string::npos);
	g_clear_error(&err);
}

TEST(Config, OnlyAllowedAndNotWithdrawnVersionsMayBeUsed)
{
	json_object *doc = example();
	ASSERT_TRUE(cfg_edit_withdraw_version(doc, "quill@3", nullptr));
	cfg *c = cfg_build(doc, 1, nullptr);
	cfg_handle org = cfg_find_org_by_name(c, "certificates");
	EXPECT_FALSE(cfg_may_use(c, org, cfg_find_version(c, "quill@3")));
	EXPECT_TRUE(cfg_may_use(c, org, cfg_find_version(c, "quill@4")));
	org = cfg_find_org_by_name(c, "complaints");
	EXPECT_FALSE(cfg_may_use(c, org, cfg_find_version(c, "quill@4")));
	EXPECT_FALSE(cfg_may_use(c, CFG_NONE, 0));
	EXPECT_FALSE(cfg_may_use(c, org, CFG_NONE));
	cfg_free(c);
	json_object_put(doc);
}

TEST(Config, UnlistedWritesAreNonIdempotent)
{
	json_object *doc = example();
	cfg *c = cfg_build(doc, 1, nullptr);
	cfg_handle s = cfg_find_service(c, "mesa-pedidos");
	EXPECT_TRUE(cfg_is_idempotent(c, s, "GET", "/orders"));
	EXPECT_TRUE(cfg_is_idempotent(c, s, "POST", "/stock/query"));
	EXPECT_FALSE(cfg_is_idempotent(c, s, "POST", "/orders"));
	EXPECT_FALSE(cfg_is_idempotent(c, s, "DELETE", "/anything"));
	cfg_free(c);
	json_object_put(doc);
}

GHashTable *texts_by_digest(GPtrArray *sections)
{
	GHashTable *t = g_hash_table_new(g_str_hash, g_str_equal);
	for (guint i = 0; i < sections->len; i++) {
		cfg_section *s = static_cast<cfg_section *>(sections->pdata[i]);
		g_hash_table_insert(t, s->digest, s->text);
	}
	return t;
}

TEST(Sections, JoinRestoresWhatWasSplit)
{
	json_object *doc = example();
	GPtrArray *sections = cfg_section_split(doc);
	GHashTable *texts = texts_by_digest(sections);
	g_autofree char *text =
		cfg_section_format_head(7, "op", sections, nullptr);
	json_object *head = cfg_section_parse_head(text, strlen(text), nullptr);
	json_object *back = cfg_section_join(texts, head, nullptr);
	cfg *a = cfg_build(doc, 7, nullptr);
	cfg *b = cfg_build(back, 7, nullptr);
	ASSERT_NE(b, nullptr);
	EXPECT_EQ(a->n_orgs, b->n_orgs);
	EXPECT_EQ(a->n_versions, b->n_versions);
	EXPECT_EQ(a->n_servers, b->n_servers);
	EXPECT_TRUE(cfg_section_head_has_operation(head, "op"));
	EXPECT_FALSE(cfg_section_head_has_operation(head, "other"));
	cfg_free(a);
	cfg_free(b);
	json_object_put(back);
	json_object_put(head);
	json_object_put(doc);
	g_hash_table_destroy(texts);
	g_ptr_array_unref(sections);
}

TEST(Sections, OneChangeAltersOneSection)
{
	json_object *doc = example();
	GPtrArray *before = cfg_section_split(doc);
	GHashTable *texts = texts_by_digest(before);
	cfg_edit_withdraw_version(doc, "quill@4", nullptr);
	GPtrArray *after = cfg_section_split(doc);
	int changed = 0;
	for (guint i = 0; i < after->len; i++)
		changed += !g_hash_table_contains(
			texts,
			static_cast<cfg_section *>(after->pdata[i])->digest);
	EXPECT_EQ(changed, 1);
	g_hash_table_destroy(texts);
	g_ptr_array_unref(before);
	g_ptr_array_unref(after);
	json_object_put(doc);
}

TEST(Edit, StopWithdrawsTheNewVersionAndIsFinal)
{
	json_object *doc = example();
	double steps[] = {0.1, 1};
	ASSERT_TRUE(cfg_edit_start_rollout(doc, "r", "quill@3", "quill@4",
					   steps, 2, nullptr));
	EXPECT_FALSE(cfg_edit_start_rollout(doc, "r", "quill@3", "quill@4",
					    steps, 2, nullptr));
	ASSERT_TRUE(cfg_edit_stop_rollout(doc, "r", "bad", nullptr));
	EXPECT_FALSE(
		cfg_edit_set_rollout_state(doc, "r", "running", "", nullptr));
	EXPECT_FALSE(cfg_edit_start_rollout(doc, "r", "quill@3", "quill@4",
					    steps, 2, nullptr));
	cfg *c = cfg_build(doc, 1, nullptr);
	EXPECT_EQ(c->versions[cfg_find_version(c, "quill@4")].state,
		  CFG_VERSION_WITHDRAWN);
	cfg_free(c);
	json_object_put(doc);
}

// ---- view of the configuration's head ----

const cfg_view_peers kAlone = {1, 0};

TEST(View, NoWorkIsAcceptedBeforeTheFirstConfiguration)
{
	cfg_view v = {};
	EXPECT_EQ(cfg_view_evaluate(&v, 0, &kAlone), CFG_VIEW_EMPTY);
	EXPECT_FALSE(cfg_view_accepts_work(CFG_VIEW_EMPTY));
}

TEST(View, OlderRevisionIsNeverPutInForce)
{
	cfg_view v = {};
	EXPECT_EQ(cfg_view_on_head(&v, 10, 10, 5), CFG_VIEW_FETCH);
	EXPECT_TRUE(cfg_view_on_fetched(&v, 5));
	EXPECT_EQ(cfg_view_on_head(&v, 20, 20, 4), CFG_VIEW_NO_ACTION);
	EXPECT_FALSE(cfg_view_on_fetched(&v, 4));
	EXPECT_EQ(v.in_force, 5u);
}

TEST(View, OlderHeadDoesNotConfirm)
{
	cfg_view v = {};
	cfg_view_on_head(&v, 0, 0, 5);
	cfg_view_on_fetched(&v, 5);
	cfg_view_on_head(&v, CFG_VIEW_MAX_AGE_MS, CFG_VIEW_MAX_AGE_MS, 4);
	EXPECT_EQ(cfg_view_evaluate(&v, CFG_VIEW_MAX_AGE_MS + 1, &kAlone),
		  CFG_VIEW_STALE);
}

TEST(View, NodeThatResumesAfterAFreezeIsStale)
{
	cfg_view v = {};
	cfg_view_on_head(&v, 0, 0, 5);
	cfg_view_on_fetched(&v, 5);
	EXPECT_EQ(cfg_view_evaluate(&v, 100, &kAlone), CFG_VIEW_FRESH);
	EXPECT_EQ(cfg_view_evaluate(&v, 60000, &kAlone), CFG_VIEW_STALE);
}

TEST(View, OldRevisionServesWithinTheLimitWhileANewOneIsFetched)
{
	cfg_view v = {};
	cfg_view_on_head(&v, 0, 0, 5);
	cfg_view_on_fetched(&v, 5);
	cfg_view_on_head(&v, 100, 100, 6);
	EXPECT_EQ(cfg_view_evaluate(&v, 200, &kAlone), CFG_VIEW_FRESH);
	EXPECT_EQ(cfg_view_evaluate(&v, CFG_VIEW_MAX_AGE_MS + 1, &kAlone),
		  CFG_VIEW_STALE);
	cfg_view_on_fetched(&v, 6);
	EXPECT_EQ(cfg_view_evaluate(&v, CFG_VIEW_MAX_AGE_MS + 1, &kAlone),
		  CFG_VIEW_FRESH);
}

TEST(View, StoreOutageIsDistinguishedFromLossOfThisNodesConnection)
{
	cfg_view v = {};
	cfg_view_on_head(&v, 0, 0, 5);
	cfg_view_on_fetched(&v, 5);
	uint64_t past_max_age = CFG_VIEW_MAX_AGE_MS + 1;
	const cfg_view_peers all_without_store = {7, 7};
	const cfg_view_peers only_this_node = {7, 1};
	const cfg_view_peers no_majority = {7, 3};
	EXPECT_EQ(cfg_view_evaluate(&v, past_max_age, &all_without_store),
		  CFG_VIEW_OUTAGE);
	EXPECT_EQ(cfg_view_evaluate(&v, past_max_age, &only_this_node),
		  CFG_VIEW_STALE);
	EXPECT_EQ(cfg_view_evaluate(&v, past_max_age, &no_majority),
		  CFG_VIEW_STALE);
	cfg_view_on_head(&v, past_max_age, past_max_age, 6);
	EXPECT_EQ(cfg_view_evaluate(&v, past_max_age, &all_without_store),
		  CFG_VIEW_STALE);
}

// With heads, fetches and times in any order the revision in force only grows
// and is never one that the store does not have.
RC_GTEST_PROP(View, RevisionInForceOnlyGrows, ())
{
	const auto events =
		*rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
	cfg_view v = {};
	uint64_t now = 0, store = 1, in_force = 0;
	std::vector<uint64_t> accepted_at = {0, 0};
	for (int e : events) {
		now += *rc::gen::inRange(0, 3000);
		switch (e) {
		case 0: // the store accepts a change
			store++;
			accepted_at.push_back(now);
			break;
		case 1: // the node reads a head, perhaps an outdated one
			cfg_view_on_head(
				&v, now, now,
				*rc::gen::inRange<uint64_t>(
					store > 2 ? store - 2 : 1, store + 1));
			break;
		case 2:
			cfg_view_on_head(&v, now, now, store);
			break;
		default:
			cfg_view_on_fetched(&v, v.latest);
		}
		RC_ASSERT(v.in_force >= in_force);
		in_force = v.in_force;
		// Freshness is not checked: an outdated head is passed here
		// as of now, which the node cannot detect. Only a head that
		// was read from the store itself proves that a node is fresh;
		// the next test passes heads as the store has them.
		RC_ASSERT(v.in_force <= store);
	}
}

// With heads as the store has them, a fresh node serves a revision that was
// the head within CFG_VIEW_MAX_AGE_MS.
RC_GTEST_PROP(View, FreshRevisionWasTheHeadWithinTheLimit, ())
{
	const auto events =
		*rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
	cfg_view v = {};
	uint64_t now = 0, store = 1;
	std::vector<uint64_t> replaced_at = {0, UINT64_MAX};
	for (int e : events) {
		now += *rc::gen::inRange(0, 4000);
		switch (e) {
		case 0:
			replaced_at[store++] = now;
			replaced_at.push_back(UINT64_MAX);
			break;
		case 1:
			cfg_view_on_head(&v, now, now, store);
			break;
		default:
			cfg_view_on_fetched(&v, v.latest);
		}
		if (cfg_view_evaluate(&v, now, &kAlone) == CFG_VIEW_FRESH &&
		    replaced_at[v.in_force] != UINT64_MAX)
			RC_ASSERT(now - replaced_at[v.in_force] <=
				  CFG_VIEW_MAX_AGE_MS);
	}
}

} // namespace
