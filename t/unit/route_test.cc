// Unit tests of the choice of version and server, admission limits and session
// tokens.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

extern "C" {
#include "config/edit.h"
#include "config/generate.h"
#include "limit/limit.h"
#include "route/choose.h"
#include "route/server.h"
#include "session/session.h"
}

namespace {

// The configuration of examples/etcheverry.jsonc; tests edit it.
class Example {
public:
	json_object *doc;
	cfg *c = nullptr; // built from doc
	quality_table q = {};
	rng r;

	Example()
	{
		std::ifstream in("examples/etcheverry.jsonc");
		std::stringstream s;
		s << in.rdbuf();
		doc = cfg_generate("example", s.str().c_str(), nullptr);
		rng_seed(&r, 7);
		build();
	}
	~Example()
	{
		cfg_free(c);
		json_object_put(doc);
	}
	// Builds the configuration again after an edit of doc.
	void build()
	{
		cfg_free(c);
		c = cfg_build(doc, 1, nullptr);
	}
	cfg_handle version(const char *name) const
	{
		return cfg_find_version(c, name);
	}
	choose_request request(const char *org, const char *kind) const
	{
		choose_request req = {};
		req.org = cfg_find_org_by_name(c, org);
		req.kind = cfg_find_kind(c, kind);
		req.pinned = CFG_NONE;
		req.can_rate = true;
		req.input_tokens = 100;
		req.usable = UINT64_MAX;
		return req;
	}
	// Adds n equal ratings; the target is 0.8.
	void rate(const char *version_name, const char *kind, double rating,
		  int n)
	{
		cfg_handle k = cfg_find_kind(c, kind);
		for (int i = 0; i < n; i++)
			quality_add_rating(&q, version(version_name), k, rating,
					   0.8);
	}
	choose_result choose(const choose_request &req)
	{
		return choose_for_request(c, &q, &req, &r);
	}
};

TEST(Choose, CheapVersionIsChosenOnceItMeetsTheTarget)
{
	Example x;
	choose_request req = x.request("tenders", "answer");
	req.streamed = true;
	EXPECT_EQ(x.choose(req).first, x.version("quill@3"));
	x.rate("quill-mini@2", "answer", 0.9, 100);
	EXPECT_EQ(x.choose(req).first, x.version("quill-mini@2"));
}

TEST(Choose, TooFewRatingsNeverMeetTheTarget)
{
	Example x;
	choose_request req = x.request("tenders", "answer");
	req.streamed = true;
	x.rate("quill-mini@2", "answer", 1.0, (int)QUALITY_MIN_RATINGS - 1);
	EXPECT_EQ(x.choose(req).meets_target &
			  (1ull << x.version("quill-mini@2")),
		  0u);
}

TEST(Choose, VersionBelowTargetIsAvoided)
{
	Example x;
	choose_request req = x.request("tenders", "answer");
	req.streamed = true;
	x.rate("quill-mini@2", "answer", 0.5, 100);
	x.rate("quill@3", "answer", 0.95, 100);
	EXPECT_EQ(x.choose(req).first, x.version("quill@3"));
}

// A cheap version without ratings is asked first in a cascade: it costs little
// and clients get no answer below the target. Low ratings end that.
TEST(Choose, UnknownCheapVersionIsAskedFirstInACascade)
{
	Example x;
	choose_result c = x.choose(x.request("tenders", "answer"));
	EXPECT_EQ(c.reason, CHOOSE_CASCADE);
	EXPECT_EQ(c.first, x.version("quill-mini@2"));
	x.rate("quill-mini@2", "answer", 0.3, 12);
	int cascades = 0;
	for (int i = 0; i < 1000; i++)
		cascades += x.choose(x.request("tenders", "answer")).first ==
			    x.version("quill-mini@2");
	EXPECT_LT(cascades, 60);
}

TEST(Choose, CascadeIfTheCheapVersionOftenMeetsTheTarget)
{
	Example x;
	choose_request req = x.request("tenders", "answer");
	x.rate("quill@3", "answer", 0.95, 100);
	x.rate("quill-mini@2", "answer", 0.9, 70);
	x.rate("quill-mini@2", "answer", 0.5, 30);
	choose_result c = x.choose(req);
	EXPECT_EQ(c.reason, CHOOSE_CASCADE);
	EXPECT_EQ(c.first, x.version("quill-mini@2"));
	EXPECT_EQ(c.second, x.version("quill@3"));
	req.streamed = true;
	EXPECT_EQ(x.choose(req).second, CFG_NONE);
}

TEST(Choose, SessionKeepsItsVersionUntilWithdrawn)
{
	Example x;
	choose_request req = x.request("tenders", "draft");
	req.pinned = x.version("quill-mini@2");
	choose_result c = x.choose(req);
	EXPECT_EQ(c.reason, CHOOSE_PINNED);
	EXPECT_EQ(c.first, req.pinned);
	cfg_edit_withdraw_version(x.doc, "quill-mini@2", nullptr);
	x.build();
	req.pinned = x.version("quill-mini@2");
	c = x.choose(req);
	EXPECT_EQ(c.reason, CHOOSE_REPINNED);
	EXPECT_NE(c.first, req.pinned);
}

TEST(Choose, SessionIsRefusedRatherThanMovedWhileItsVersionHasNoServer)
{
	Example x;
	choose_request req = x.request("tenders", "draft");
	req.pinned = x.version("quill@3");
	req.usable = ~(1ull << req.pinned);
	choose_result c = x.choose(req);
	EXPECT_EQ(c.first, CFG_NONE);
	EXPECT_EQ(c.reason, CHOOSE_NONE_AVAILABLE);
}

double measure_share(Example &x, const choose_request &req, const char *version)
{
	int n = 0;
	for (int i = 0; i < 4000; i++)
		n += x.choose(req).first == x.version(version);
	return n / 4000.0;
}

TEST(Choose, RollOutGetsItsShareOfRequests)
{
	Example x;
	double steps[] = {0.1, 1};
	choose_request req = x.request("tenders", "draft");
	req.streamed = true;
	EXPECT_EQ(measure_share(x, req, "quill@4"), 0.0);
	cfg_edit_start_rollout(x.doc, "r", "quill@3", "quill@4", steps, 2,
			       nullptr);
	x.build();
	req = x.request("tenders", "draft");
	req.streamed = true;
	EXPECT_NEAR(measure_share(x, req, "quill@4"), 0.1, 0.02);
	req.withheld_versions = 1ull << x.version("quill@4");
	EXPECT_EQ(measure_share(x, req, "quill@4"), 0.0);
	cfg_edit_stop_rollout(x.doc, "r", "bad", nullptr);
	x.build();
	req = x.request("tenders", "draft");
	req.streamed = true;
	EXPECT_EQ(measure_share(x, req, "quill@4"), 0.0);
}

// For any configuration and any ratings, the chosen versions are allowed, not
// withdrawn and usable, and a session keeps its version.
RC_GTEST_PROP(Choose, OnlyPermittedVersionsAreChosen, ())
{
	static const char *const names[] = {"quill@3", "quill@4",
					    "quill-mini@2"};
	static const char *const orgs[] = {"tenders", "certificates",
					   "complaints", "order-desk"};
	static const char *const kinds[] = {"draft", "answer", "tag"};
	Example x;
	double steps[] = {0.5, 1};
	rng_seed(&x.r, *rc::gen::arbitrary<uint64_t>());
	if (*rc::gen::arbitrary<bool>())
		cfg_edit_start_rollout(x.doc, "r", "quill@3", "quill@4", steps,
				       2, nullptr);
	for (const char *name : names) {
		if (*rc::gen::weightedElement<bool>({{3, false}, {1, true}}))
			cfg_edit_withdraw_version(x.doc, name, nullptr);
	}
	x.build();
	for (const char *name : names)
		for (const char *kind : kinds)
			x.rate(name, kind, *rc::gen::inRange(0, 100) / 100.0,
			       *rc::gen::inRange(0, 80));
	choose_request req = x.request(
		*rc::gen::elementOf(std::vector<const char *>(orgs, orgs + 4)),
		*rc::gen::elementOf(
			std::vector<const char *>(kinds, kinds + 3)));
	req.usable = *rc::gen::arbitrary<uint64_t>();
	req.streamed = *rc::gen::arbitrary<bool>();
	if (*rc::gen::arbitrary<bool>())
		req.pinned = (cfg_handle)*rc::gen::inRange(0, 3);
	choose_result c = x.choose(req);
	if (c.first == CFG_NONE)
		return;
	for (cfg_handle h : {c.first, c.second}) {
		if (h == CFG_NONE)
			continue;
		RC_ASSERT(cfg_may_use(x.c, req.org, h));
		RC_ASSERT((req.usable >> h) & 1);
	}
	if (req.pinned != CFG_NONE && cfg_may_use(x.c, req.org, req.pinned))
		RC_ASSERT(c.first == req.pinned && c.second == CFG_NONE);
	if (req.streamed)
		RC_ASSERT(c.second == CFG_NONE);
}

// ---- servers ----

std::vector<backend_state> initial_table(const cfg *c)
{
	std::vector<backend_state> t(c->n_servers);
	for (backend_state &s : t) {
		backend_init(&s);
		s.in_subset = true;
	}
	return t;
}

backend_criteria criteria_for(const Example &x)
{
	backend_criteria criteria = {};
	criteria.service = cfg_find_service(x.c, "redactor");
	criteria.version = x.version("quill@3");
	criteria.zone = "rancagua-a";
	criteria.avoid = CFG_NONE;
	return criteria;
}

TEST(Server, LeavingEjectedUnloadedAndFullServersAreNotPicked)
{
	Example x;
	auto t = initial_table(x.c);
	backend_criteria criteria = criteria_for(x);
	std::vector<size_t> engines;
	for (size_t i = 0; i < t.size(); i++)
		if (x.c->servers[i].service == criteria.service)
			engines.push_back(i);
	ASSERT_EQ(engines.size(), 3u);
	t[engines[0]].leaving = true;
	t[engines[1]].loaded = 0;
	for (int i = 0; i < 100; i++)
		ASSERT_EQ(backend_pick(x.c, t.data(), 0, &criteria),
			  engines[2]);
	backend_on_request_start(&t[engines[2]], 1);
	backend_on_request_end(&t[engines[2]], 0, BACKEND_OUTCOME_FAILED, 0);
	// An ejected server is picked only if no other one is eligible.
	EXPECT_EQ(backend_pick(x.c, t.data(), 1, &criteria), engines[2]);
	t[engines[1]].loaded = UINT64_MAX;
	for (int i = 0; i < 100; i++)
		ASSERT_EQ(backend_pick(x.c, t.data(), 1, &criteria),
			  engines[1]);
	t[engines[1]].loaded = 0;
	t[engines[2]].in_flight = 1000;
	EXPECT_EQ(backend_pick(x.c, t.data(), BACKEND_FIRST_EJECTION_MS + 1,
			       &criteria),
		  CFG_NONE);
}

TEST(Server, SessionsKeepTheirServerAndAreSpread)
{
	Example x;
	auto t = initial_table(x.c);
	backend_criteria criteria = criteria_for(x);
	std::map<cfg_handle, int> picks;
	for (uint64_t session = 1; session <= 300; session++) {
		criteria.affinity = session * 2654435761u;
		cfg_handle first = backend_pick(x.c, t.data(), 0, &criteria);
		for (int i = 0; i < 5; i++)
			ASSERT_EQ(backend_pick(x.c, t.data(), 0, &criteria),
				  first);
		picks[first]++;
	}
	EXPECT_EQ(picks.size(), 3u);
	for (auto &s : picks)
		EXPECT_GT(s.second, 50);
}

// Equally loaded servers are picked round robin and a busier one is skipped. A
// load report of 0 requests doesn't draw all requests to one server.
TEST(Server, FewestInFlightRoundRobin)
{
	Example x;
	auto t = initial_table(x.c);
	backend_criteria criteria = criteria_for(x);
	std::map<cfg_handle, int> picks;
	uint64_t sequence = 0;
	criteria.zone = "none";
	for (backend_state &s : t)
		backend_on_load_report(&s, 50, UINT64_MAX);
	t[0].reported = 0;
	for (int i = 0; i < 30; i++) {
		cfg_handle h = backend_pick(x.c, t.data(), 0, &criteria);
		backend_on_request_start(&t[h], ++sequence);
		backend_on_request_end(&t[h], 0, BACKEND_OUTCOME_SUCCESS, 5);
		picks[h]++;
	}
	ASSERT_EQ(picks.size(), 3u);
	for (auto &s : picks)
		EXPECT_EQ(s.second, 10);
	cfg_handle busy = picks.begin()->first;
	backend_on_request_start(&t[busy], ++sequence);
	for (int i = 0; i < 10; i++) {
		cfg_handle h = backend_pick(x.c, t.data(), 0, &criteria);
		ASSERT_NE(h, busy);
		backend_on_request_start(&t[h], ++sequence);
		backend_on_request_end(&t[h], 0, BACKEND_OUTCOME_SUCCESS, 5);
	}
}

TEST(Server, OwnZoneIsPreferredAmongEqualServers)
{
	Example x;
	auto t = initial_table(x.c);
	backend_criteria criteria = criteria_for(x);
	cfg_handle h = backend_pick(x.c, t.data(), 0, &criteria);
	EXPECT_STREQ(x.c->servers[h].zone, "rancagua-a");
	backend_on_request_start(&t[h], 1);
	EXPECT_STRNE(
		x.c->servers[backend_pick(x.c, t.data(), 0, &criteria)].zone,
		"rancagua-a");
}

TEST(Server, LimitFollowsOverload)
{
	backend_state s;
	backend_init(&s);
	double before = s.limit;
	for (int i = 0; i < 20; i++) {
		backend_on_request_start(&s, 1);
		backend_on_request_end(&s, 1000 + i * 200,
				       BACKEND_OUTCOME_OVERLOADED, 0);
	}
	EXPECT_LT(s.limit, before / 4);
	EXPECT_GE(s.limit, BACKEND_MIN_LIMIT);
	before = s.limit;
	for (int i = 0; i < 500; i++) {
		while (s.in_flight + 1 < s.limit)
			backend_on_request_start(&s, 1);
		backend_on_request_start(&s, 1);
		backend_on_request_end(&s, 10000 + i, BACKEND_OUTCOME_SUCCESS,
				       5);
	}
	EXPECT_GT(s.limit, before + 5);
}

// A server that becomes ten times slower for all requests keeps most of its
// limit. One that is slow for nine of ten requests, as with a queue, doesn't.
TEST(Server, SlowerServerKeepsItsLimit)
{
	backend_state s;
	backend_init(&s);
	auto serve = [&](uint64_t from, uint64_t until, double first_ms) {
		for (uint64_t now = from; now < until; now += 20) {
			while (s.in_flight + 1 < s.limit)
				backend_on_request_start(&s, 1);
			backend_on_request_start(&s, 1);
			backend_on_request_end(&s, now, BACKEND_OUTCOME_SUCCESS,
					       first_ms);
		}
	};
	serve(1, 10000, 2);
	double before = s.limit;
	EXPECT_GT(before, BACKEND_INITIAL_LIMIT);
	serve(10000, 40000, 20);
	EXPECT_GT(s.limit, before / 2);
	backend_state queue;
	backend_init(&queue);
	for (int i = 0; i < 300; i++) {
		while (queue.in_flight + 1 < queue.limit)
			backend_on_request_start(&queue, 1);
		backend_on_request_start(&queue, 1);
		backend_on_request_end(&queue, 1000 + i * 20,
				       BACKEND_OUTCOME_SUCCESS,
				       i % 10 ? 50 : 2);
	}
	EXPECT_LT(queue.limit, BACKEND_INITIAL_LIMIT);
}

TEST(Server, SubsetsCoverAllServersEvenly)
{
	Example x;
	json_object *servers = nullptr;
	json_object *services;
	json_object_object_get_ex(x.doc, "services", &services);
	json_object_object_get_ex(json_object_array_get_idx(services, 0),
				  "servers", &servers);
	for (int i = 0; i < 400; i++) {
		json_object *o = json_object_new_object();
		std::string address = "10.0." + std::to_string(i / 250) + "." +
				      std::to_string(i % 250 + 1) + ":9000";
		json_object_object_add(o, "address",
				       json_object_new_string(address.c_str()));
		json_object_object_add(o, "zone", json_object_new_string("z"));
		json_object_array_add(servers, o);
	}
	x.build();
	std::vector<uint64_t> nodes;
	for (int n = 0; n < 100; n++)
		nodes.push_back(backend_hash_name(
			("node" + std::to_string(n)).c_str()));
	std::vector<int> users(x.c->n_servers);
	int most = 0;
	for (uint64_t self : nodes) {
		auto t = initial_table(x.c);
		backend_select_subset(x.c, t.data(), nodes.data(), nodes.size(),
				      self, 6);
		int used = 0;
		for (size_t i = 0; i < t.size(); i++) {
			users[i] += t[i].in_subset;
			used += t[i].in_subset;
		}
		most = std::max(most, used);
		EXPECT_GE(used, BACKEND_MIN_PER_SERVICE);
	}
	for (size_t i = 0; i < x.c->n_servers; i++)
		EXPECT_GE(users[i], 6) << x.c->servers[i].address;
	// The mean is 24 servers a node; no node may use twice as many.
	EXPECT_LT(most, 48);
}

TEST(Server, FewNodesUseAllServers)
{
	Example x;
	auto t = initial_table(x.c);
	uint64_t self = backend_hash_name("node1");
	backend_select_subset(x.c, t.data(), &self, 1, self, 12);
	for (const backend_state &s : t)
		EXPECT_TRUE(s.in_subset);
}

// ---- limits ----

TEST(Limit, FloodingOrganisationLeavesRoomForOthers)
{
	Example x;
	limiter l = {};
	cfg_handle flood = cfg_find_org_by_name(x.c, "complaints");
	cfg_handle other = cfg_find_org_by_name(x.c, "tenders");
	int taken = 0;
	limit_admit(&l, x.c, 1, other, 100, 100000, 0);
	for (int i = 0; i < 500; i++)
		taken +=
			limit_admit(&l, x.c, 2, flood, 100, 100000, 0).reason ==
			LIMIT_ADMITTED;
	EXPECT_LT(taken, 95);
	EXPECT_EQ(limit_admit(&l, x.c, 3, other, 100, 100000, 0).reason,
		  LIMIT_ADMITTED);
	EXPECT_EQ(limit_admit(&l, x.c, 3, flood, 100, 100000, 0).reason,
		  LIMIT_OVER_FAIR_SHARE);
}

TEST(Limit, RefusalSetsRetryAfter)
{
	Example x;
	limiter l = {};
	for (int i = 0; i < 10; i++)
		limit_admit(&l, x.c, 1, 0, 10, 100000, 0);
	limit_decision a = limit_admit(&l, x.c, 1, 0, 10, 100000, 0);
	EXPECT_EQ(a.reason, LIMIT_AT_CAPACITY);
	EXPECT_GE(a.retry_after_s, 1u);
	EXPECT_EQ(limit_admit(&l, x.c, 1, 0, 100, 50, 100).reason,
		  LIMIT_DEADLINE_UNMET);
}

TEST(Limit, RetriesAreBoundedByWhatIsAdmitted)
{
	Example x;
	limiter l;
	limit_init(&l);
	int retries = 0;
	for (int i = 0; i < 1000; i++) {
		ASSERT_EQ(limit_admit(&l, x.c, 1, 0, 1e6, 100000, 0).reason,
			  LIMIT_ADMITTED);
		retries += limit_take_retry(&l, 1);
		retries += limit_take_retry(&l, 1);
	}
	EXPECT_LE(retries, 100 + (int)LIMIT_RETRY_TOKENS_INITIAL);
	EXPECT_GE(retries, 90);
}

RC_GTEST_PROP(Limit, InFlightCountMatchesOpenRequests, ())
{
	Example x;
	limiter l = {};
	std::vector<cfg_handle> open;
	for (int i = 0; i < 200; i++) {
		if (*rc::gen::arbitrary<bool>()) {
			cfg_handle org = (cfg_handle)*rc::gen::inRange(0, 4);
			if (limit_admit(&l, x.c, (uint64_t)i + 1, org, 30,
					100000, 0)
				    .reason == LIMIT_ADMITTED)
				open.push_back(org);
		} else if (!open.empty()) {
			limit_release(&l, (uint64_t)i + 1, open.back());
			open.pop_back();
		}
		RC_ASSERT(l.in_flight == open.size());
		RC_ASSERT(l.in_flight <= 30);
	}
}

// ---- sessions ----

session_pin pin_of(const char *org)
{
	session_pin p = {};
	g_strlcpy(p.id, "0123456789abcdef", sizeof(p.id));
	g_strlcpy(p.org, org, sizeof(p.org));
	g_strlcpy(p.version, "quill@3", sizeof(p.version));
	return p;
}

TEST(Session, TokenOpensAtAnyNodeForItsOrganisationOnly)
{
	session_pin p = pin_of("tenders"), back = {};
	g_autofree char *token = session_token_seal(&p, "key");
	EXPECT_EQ(session_token_open(token, "key", "tenders", &back),
		  SESSION_TOKEN_VALID);
	EXPECT_STREQ(back.version, "quill@3");
	EXPECT_EQ(session_token_open(token, "key", "complaints", &back),
		  SESSION_TOKEN_OTHER_ORG);
	EXPECT_EQ(session_token_open(token, "other", "tenders", &back),
		  SESSION_TOKEN_INVALID);
}

RC_GTEST_PROP(Session, AlteredTokenNeverOpens, ())
{
	session_pin p = pin_of("tenders"), back = {};
	g_autofree char *token = session_token_seal(&p, "key");
	std::string t = token;
	size_t at = *rc::gen::inRange<size_t>(0, t.size());
	char to = *rc::gen::inRange<char>('0', 'z');
	RC_PRE(t[at] != to);
	t[at] = to;
	RC_ASSERT(session_token_open(t.c_str(), "key", "tenders", &back) !=
		  SESSION_TOKEN_VALID);
}

RC_GTEST_PROP(Session, AnyBytesAreRefused, (const std::string &bytes))
{
	session_pin back = {};
	RC_ASSERT(session_token_open(bytes.c_str(), "key", "tenders", &back) ==
		  SESSION_TOKEN_INVALID);
}

} // namespace
