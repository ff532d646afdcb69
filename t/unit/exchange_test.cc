// Configured routes: which route and key a request has, what of it may be
// sent again, what of an answer may be passed on, and where it goes.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <string>
#include <vector>

extern "C" {
#include "exchange/budget.h"
#include "exchange/cascade.h"
#include "exchange/events.h"
#include "exchange/loads.h"
#include "exchange/prompt.h"
#include "exchange/removals.h"
#include "exchange/retry.h"
#include "exchange/routes.h"
#include "exchange/pick.h"
#include "exchange/servers.h"
}

namespace {

const char *kDoc = R"({
 "routes": [
  {"name": "short", "host": "Api.example", "path": "/a/", "kind": "idempotent",
   "attempts": 2, "timeout_ms": 1000, "objective_ms": 100,
   "services": [{"service": "desk"}]},
  {"name": "long", "host": "api.example", "path": "/a/b/",
   "kind": "non-idempotent", "attempts": 3, "timeout_ms": 1000,
   "services": [{"service": "desk"}]},
  {"name": "talk", "host": "api.example", "path": "/t/", "kind": "streaming",
   "resumable": true, "attempts": 3, "timeout_ms": 15000,
   "objective_ms": 2000, "pause_ms": 1000, "priority": 1,
   "models": ["small", "large"],
   "services": [{"service": "engines", "weight": 9},
                {"service": "desk", "weight": 1}]}],
 "services": [{"name": "desk"},
  {"name": "engines", "slots": 64, "models": [
   {"name": "small", "cost": 0.02}, {"name": "large", "cost": 0.3}]}],
 "organisations": [{"name": "one", "keys": ["k1", "k2"], "priority": 0},
                   {"name": "two", "keys": ["k3"]}],
 "limits": {"max_head_bytes": 100, "idle_ms": 5000}})";

struct Table {
	rts *r;
	explicit Table(const char *text = kDoc)
	{
		json_object *doc = json_tokener_parse(text);
		r = rts_build(doc, 7, nullptr);
		json_object_put(doc);
	}
	~Table() { rts_unref(r); }
	const rts_route *route(const char *path) const
	{
		rts_handle h = rts_match(r, "api.example", path);
		return h == RTS_NONE ? nullptr : &r->routes[h];
	}
};

TEST(Routes, LongestPathOfTheHostWins)
{
	Table t;
	EXPECT_STREQ(t.route("/a/x")->name, "short");
	EXPECT_STREQ(t.route("/a/b/x?q=/")->name, "long");
	EXPECT_EQ(t.route("/a"), nullptr);
	EXPECT_EQ(t.route("/?/a/b/"), nullptr);
	EXPECT_NE(rts_match(t.r, "API.example:8080", "/a/"), RTS_NONE);
	EXPECT_EQ(rts_match(t.r, "other.example", "/a/"), RTS_NONE);
}

TEST(Routes, KeysNameOrganisations)
{
	Table t;
	EXPECT_STREQ(t.r->orgs[rts_org_of_key(t.r, "k2")].name, "one");
	EXPECT_STREQ(t.r->orgs[rts_org_of_key(t.r, "k3")].name, "two");
	EXPECT_EQ(rts_org_of_key(t.r, "k4"), RTS_NONE);
	EXPECT_EQ(rts_org_of_key(t.r, ""), RTS_NONE);
}

TEST(Routes, OnlyTheKindDecidesWhatMayBeRepeated)
{
	Table t;
	EXPECT_TRUE(rts_may_repeat(t.route("/a/x")));
	EXPECT_FALSE(rts_may_repeat(t.route("/a/b/x")));
	EXPECT_TRUE(rts_may_repeat(t.route("/t/x")));
}

TEST(Routes, SplitsByWeight)
{
	Table t;
	int engines = 0;
	for (uint64_t draw = 0; draw < 1000; draw++)
		engines += rts_split(t.route("/t/x"), draw) ==
			   rts_find_service(t.r, "engines");
	EXPECT_EQ(engines, 900);
}

TEST(Routes, RefusesWhatDoesNotFitTogether)
{
	const char *bad[] = {
		R"({"routes":[{"host":"h","path":"/a","kind":"idempotent","services":[{"service":"s"}]}],"services":[{"name":"s"}]})",
		R"({"routes":[{"host":"h","path":"/a/","kind":"perhaps","services":[{"service":"s"}]}],"services":[{"name":"s"}]})",
		R"({"routes":[{"host":"h","path":"/a/","kind":"idempotent","services":[{"service":"x"}]}],"services":[{"name":"s"}]})",
		R"({"routes":[{"host":"h","path":"/a/","kind":"idempotent","services":[]}],"services":[{"name":"s"}]})",
		R"({"routes":[{"path":"/a/","kind":"idempotent","services":[{"service":"s"}]}],"services":[{"name":"s"}]})",
		R"({"routes":[],"services":[{}]})",
	};
	for (const char *text : bad) {
		json_object *doc = json_tokener_parse(text);
		GError *err = nullptr;
		EXPECT_EQ(rts_build(doc, 1, &err), nullptr) << text;
		ASSERT_NE(err, nullptr) << text;
		g_error_free(err);
		json_object_put(doc);
	}
}

void collect(void *user, const char *data, size_t len)
{
	static_cast<std::string *>(user)->append(data, len);
}

struct Events {
	evs e;
	std::string got;
	Events() { evs_init(&e); }
	~Events() { evs_clear(&e); }
	evs_fault take(const std::string &s)
	{
		return evs_take(&e, s.data(), s.size(), collect, &got);
	}
};

std::string event(int id)
{
	return "id: " + std::to_string(id) + "\ndata: x" + std::to_string(id) +
	       "\n\n";
}

RC_GTEST_PROP(Events, HoldsBackWhatIsNotWhole, ())
{
	Events s;
	std::string all;
	for (int i = 1; i <= 20; i++)
		all += event(i);
	size_t cut = *rc::gen::inRange<size_t>(0, all.size() + 1);
	for (size_t at = 0; at < cut;) {
		size_t n = *rc::gen::inRange<size_t>(1, 40);
		n = std::min(n, cut - at);
		RC_ASSERT(s.take(all.substr(at, n)) == EVS_OK);
		at += n;
	}
	RC_ASSERT(all.compare(0, s.got.size(), s.got) == 0);
	if (!s.got.empty())
		RC_ASSERT(s.got.substr(s.got.size() - 2) == "\n\n");
	RC_ASSERT(s.e.mid_event == (s.got.size() < cut));
}

TEST(Events, RefusesGapsAndRepeats)
{
	Events gap, twice, resumed;
	EXPECT_EQ(gap.take(event(1) + event(3)), EVS_ORDER);
	EXPECT_EQ(gap.got, event(1));
	EXPECT_EQ(twice.take(event(1) + event(1)), EVS_ORDER);
	evs_start_after(&resumed.e, 12);
	EXPECT_EQ(resumed.take(event(12)), EVS_ORDER);
}

TEST(Events, GoesOnAfterACutEvent)
{
	Events s;
	EXPECT_EQ(s.take(event(1) + "id: 2\nda"), EVS_OK);
	evs_restart(&s.e);
	EXPECT_EQ(s.take(event(2)), EVS_OK);
	EXPECT_EQ(s.got, event(1) + event(2));
}

TEST(Prompt, ReadsPartsAndCounts)
{
	prm p;
	prm_parse(&p, "a1:100,b2:50,c3:7", "157,400");
	EXPECT_EQ(p.shared_tokens, 150u);
	EXPECT_EQ(p.input_tokens, 157u);
	EXPECT_EQ(p.most_output_tokens, 400u);
	EXPECT_NE(p.session, p.shared);
	prm_parse(&p, nullptr, nullptr);
	EXPECT_EQ(p.shared, 0u);
	prm_parse(&p, ",,:,x", "-1,");
	EXPECT_EQ(p.input_tokens, 0u);
}

const rty_head kGood = {200, true, true, false, true, false};

rty_result result_of(rty_head h)
{
	rty_answer a = {};
	rty_on_head(&a, &h);
	return a.result;
}

TEST(Retry, HeadsSayWhatRan)
{
	rty_head h = kGood;
	EXPECT_EQ(result_of(h), RTY_GOOD);
	h.receipt = false;
	EXPECT_EQ(result_of(h), RTY_BROKEN) << "a success without a receipt";
	h = kGood;
	h.is_ours = false;
	EXPECT_EQ(result_of(h), RTY_BROKEN) << "another request's";
	h = kGood;
	h.encoded = true;
	EXPECT_EQ(result_of(h), RTY_BROKEN);
	EXPECT_EQ(result_of({503, false, false, true, false, false}),
		  RTY_REFUSED);
	EXPECT_EQ(result_of({503, true, false, true, false, false}),
		  RTY_BROKEN) << "another request's refusal";
	EXPECT_EQ(result_of({503, true, true, false, true, false}), RTY_BROKEN)
		<< "a 503 that does not say that it did not run";
	EXPECT_EQ(result_of({421, false, false, false, false, false}),
		  RTY_MISDIRECTED);
	EXPECT_EQ(result_of({500, true, true, false, true, false}), RTY_GOOD);
}

// Whatever answers come in whatever order, a request that may not be repeated
// is sent again only after attempts that surely did not run, and its refusal
// promises "not run" only then.
RC_GTEST_PROP(Retry, NeverSendsTwiceWhatMayHaveRun, ())
{
	Table t;
	rty r;
	rty_init(&r, t.route("/a/b/x"));
	bool ran = false;
	for (;;) {
		rty_answer a;
		RC_ASSERT(!ran);
		rty_begin(&r, &a);
		int kind = *rc::gen::inRange(0, 5);
		rty_head head = kGood;
		bool whole = *rc::gen::arbitrary<bool>();
		bool unsent = false;
		if (kind == 0)
			head.status = *rc::gen::element(200, 404, 500, 503, 429);
		else if (kind == 1)
			head = {503, false, false, true, false, false};
		else if (kind == 2)
			head = {421, false, false, false, false, false};
		else if (kind == 3)
			unsent = true;
		if (kind < 3)
			rty_on_head(&a, &head);
		rty_on_end(&a, whole, unsent, false);
		ran = kind == 0 || kind == 4;
		rty_situation s = {100, 1000, false, false, false};
		rty_step step = rty_after(&r, &a, &s);
		if (step == RTY_AGAIN)
			continue;
		struct rty_refusal end = rty_refusal(&r, &s);
		if (step == RTY_REFUSE)
			RC_ASSERT((end.status == 503) == !ran);
		if (end.status == 503)
			RC_ASSERT(end.retry_after_ms > 0);
		return;
	}
}

TEST(Retry, IdempotentFailuresAreTriedAgainUpToTheAttempts)
{
	Table t;
	rty r;
	rty_answer a;
	rty_situation s = {0, 1000, false, false, false};
	rty_head failure = {500, true, true, false, true, false};
	rty_init(&r, t.route("/a/x"));
	for (int i = 0; i < 2; i++) {
		rty_begin(&r, &a);
		rty_on_head(&a, &failure);
		rty_on_end(&a, true, false, false);
		EXPECT_EQ(rty_after(&r, &a, &s),
			  i ? RTY_DELIVER : RTY_AGAIN);
	}
	EXPECT_EQ(r.sent, 2u);
}

TEST(Retry, EveryResultAndStepHasAName)
{
	EXPECT_STREQ(rty_result_name(RTY_WEAK), "weak");
	EXPECT_STREQ(rty_result_name(RTY_CANCELLED), "cancelled");
	EXPECT_STREQ(rty_step_name(RTY_FORGET), "forget");
}

TEST(Retry, AStreamThatBeganNeverGetsAnotherHead)
{
	Table t;
	rty r;
	rty_answer a;
	rty_situation s = {0, 15000, true, false, false};
	rty_init(&r, t.route("/t/x"));
	rty_begin(&r, &a);
	a.result = RTY_GOOD;
	a.status = 200;
	a.no_continuation = true;
	EXPECT_EQ(rty_after(&r, &a, &s), RTY_AGAIN);
	r.sent = r.max_sent;
	EXPECT_EQ(rty_after(&r, &a, &s), RTY_BREAK_OFF);
}

TEST(Retry, NothingIsSentShortlyBeforeTheDeadline)
{
	Table t;
	rty r;
	rty_answer a;
	rty_situation s = {990, 1000, false, false, false};
	rty_init(&r, t.route("/a/x"));
	rty_begin(&r, &a);
	rty_on_end(&a, false, false, false);
	EXPECT_EQ(rty_after(&r, &a, &s), RTY_REFUSE);
	EXPECT_EQ(rty_refusal(&r, &s).status, 504);
}

// Many nodes with random loads: within any window the fleet's retries keep to
// its bound.
RC_GTEST_PROP(Budget, TheFleetKeepsTheBound, ())
{
	const uint32_t nodes = 5, window = 1000;
	const double ratio = 0.5, burst = 20;
	bud_params p = {ratio, burst, nodes, window};
	std::vector<bud> fleet(nodes);
	for (auto &b : fleet)
		bud_init(&b, &p);
	std::vector<int> requests(4000), retries(4000);
	uint64_t seed = *rc::gen::arbitrary<uint64_t>();
	rng r;
	rng_seed(&r, seed);
	for (int now = 0; now < 4000; now++) {
		for (auto &b : fleet) {
			if (rng_below(&r, 100) < 10) {
				bud_on_request(&b, (uint64_t)now, "s");
				requests[now]++;
			}
			if (rng_below(&r, 100) < 30 &&
			    bud_take(&b, (uint64_t)now, "s"))
				retries[now]++;
		}
	}
	for (int from = 0; from + (int)window <= 4000; from += 50) {
		int asked = 0, again = 0, before = 0;
		for (int i = from; i < from + (int)window; i++) {
			asked += requests[i];
			again += retries[i];
			if (i >= (int)window)
				before += requests[i - window];
		}
		RC_ASSERT(again <= ratio * std::max(asked, before) + burst);
	}
	for (auto &b : fleet)
		bud_clear(&b);
}

TEST(Cascade, DropsWhatTheModelHoldsForPoor)
{
	Table t;
	csc c;
	const rts_route *talk = t.route("/t/x");
	ASSERT_TRUE(csc_parse(&c, "1,0.75"));
	EXPECT_EQ(csc_first(&c, talk), 0u);
	EXPECT_EQ(csc_judge(&c, talk, 0, "74", 1), CSC_DROP);
	EXPECT_EQ(csc_judge(&c, talk, 0, "75", 1), CSC_GOOD);
	EXPECT_EQ(csc_judge(&c, talk, 0, nullptr, 1), CSC_GOOD);
	EXPECT_EQ(csc_judge(&c, talk, 1, "1", 1), CSC_GOOD) << "no larger one";
	EXPECT_EQ(csc_judge(&c, talk, 0, "40", csc_chance(2000, 2000)),
		  CSC_KEEP_LATE)
		<< "kept where the larger one would hardly be on time";
	EXPECT_EQ(csc_judge(&c, talk, 0, "40", csc_chance(2000, 500)), CSC_DROP);
	EXPECT_DOUBLE_EQ(csc_chance(0, 10), 0);
	EXPECT_DOUBLE_EQ(csc_target(&c, 9), 0.75);
	for (const char *bad : {"", "x", "0.5,", "1.5", "0.5;1"})
		EXPECT_FALSE(csc_parse(&c, bad)) << bad;
}

struct Servers {
	svt t;
	rng r;
	Servers()
	{
		svt_init(&t);
		rng_seed(&r, 1);
	}
	~Servers() { svt_clear(&t); }
	svt_server *put(const char *id, const char *zone = "z1",
			const char *version = "v1", bool draining = false,
			uint64_t revision = 1)
	{
		svt_entry e = {id, "s", "10.0.0.1:1", zone, version, 8, 0,
			       draining, revision};
		return svt_put(&t, 0, &e);
	}
	const char *pick(pck_wish w, uint64_t now = 0)
	{
		w.service = "s";
		w.zone = "z1";
		svt_work work;
		svt_server *s = pck_server(&t, now, &w, &r, &work);
		return s ? s->id : "none";
	}
};

TEST(Servers, LeavingOnesGetNothing)
{
	Servers s;
	s.put("a");
	s.put("b", "z1", "v1", true);
	for (int i = 0; i < 20; i++)
		EXPECT_STREQ(s.pick({}), "a");
	svt_remove(&s.t, "a", 0);
	EXPECT_STREQ(s.pick({}), "none");
}

TEST(Servers, AnOlderEntryNeverBringsOneBack)
{
	Servers s;
	s.put("a", "z1", "v1", true, 9);
	s.put("a", "z1", "v1", false, 8);
	EXPECT_STREQ(s.pick({}), "none");
	s.put("a", "z1", "v1", false, 10);
	EXPECT_STREQ(s.pick({}), "a");
	EXPECT_FALSE(svt_remove(&s.t, "a", 9)) << "an older removal";
	EXPECT_STREQ(s.pick({}), "a");
}

TEST(Removals, AreToldToThoseWhoMayNotKnowThem)
{
	rmv r;
	rmv_init(&r);
	EXPECT_FALSE(rmv_covers(&r, 5)) << "nothing is known yet";
	rmv_stamp(&r, 10);
	EXPECT_FALSE(rmv_covers(&r, 9)) << "one may have gone before the list";
	EXPECT_TRUE(rmv_covers(&r, 10));
	rmv_note(&r, "a");
	rmv_note(&r, "b");
	rmv_stamp(&r, 12);
	rmv_note(&r, "c");
	rmv_stamp(&r, 15);
	EXPECT_EQ(rmv_first_after(&r, 10), 0u);
	EXPECT_EQ(rmv_first_after(&r, 12), 2u);
	EXPECT_EQ(rmv_first_after(&r, 15), 3u);
	for (int i = 0; i < RMV_MOST; i++)
		rmv_note(&r, "d");
	rmv_stamp(&r, 20);
	EXPECT_EQ(r.ids->len, (guint)RMV_MOST);
	EXPECT_FALSE(rmv_covers(&r, 14)) << "the oldest are forgotten";
	EXPECT_TRUE(rmv_covers(&r, 15));
	rmv_clear(&r);
}

TEST(Servers, AWholeListShowsWhoIsGone)
{
	Servers s;
	s.put("a");
	s.put("b");
	svt_begin_list(&s.t);
	s.put("b");
	EXPECT_EQ(svt_end_list(&s.t), 1u);
	EXPECT_STREQ(s.pick({}), "b");
}

TEST(Servers, ANodeKeepsToItsPartOfAServersConnections)
{
	Servers s;
	svt_server *a = s.put("a");
	pck_wish w = {};
	w.most_in_flight = 2;
	svt_on_start(a);
	EXPECT_STREQ(s.pick(w), "a");
	svt_on_start(a);
	EXPECT_STREQ(s.pick(w), "none");
}

TEST(Servers, VersionsAreKeptApart)
{
	Servers s;
	s.put("old", "z1", "v1");
	s.put("new", "z1", "v2");
	pck_wish w = {};
	w.version = "v2";
	w.versions = PCK_ONLY;
	EXPECT_STREQ(s.pick(w), "new");
	w.versions = PCK_NOT;
	EXPECT_STREQ(s.pick(w), "old");
}

TEST(Servers, AFilledServerGetsAllUntilItIsFull)
{
	Servers s;
	for (const char *id : {"a", "b", "c"})
		s.put(id, "z1", "v2");
	s.put("old", "z1", "v1");
	pck_wish w = {};
	w.version = "v2";
	w.versions = PCK_ONLY;
	w.fill = 0.75;
	const char *first = s.pick(w);
	for (int i = 0; i < 6; i++) {
		ASSERT_STREQ(s.pick(w), first) << i;
		svt_on_start(svt_find(&s.t, first));
	}
	EXPECT_STRNE(s.pick(w), first) << "three quarters of 8 slots";
}

TEST(Servers, NewServersAreLoadedLikeTheOldOnesInTurns)
{
	Servers s;
	for (const char *id : {"a", "b", "c"})
		s.put(id, "z1", "v2");
	const svt_work work = {0, 1, 1000};
	svt_server *old = s.put("old", "z1", "v1");
	svt_on_work(old, &work);
	svt_on_work(old, &work);
	pck_wish w = {};
	w.weight = 1;
	w.input_tokens = 1000;
	w.version = "v2";
	w.versions = PCK_ONLY;
	w.fill_ms = pck_mean_work(&s.t, "s", "v2");
	w.fill_order = 1;
	EXPECT_GT(w.fill_ms, 0);
	EXPECT_DOUBLE_EQ(pck_mean_work(&s.t, "other", "v2"), 0);
	std::string first = s.pick(w);
	for (int i = 0; i < 3; i++) {
		ASSERT_EQ(s.pick(w), first) << i;
		svt_on_work(svt_find(&s.t, first.c_str()), &work);
	}
	EXPECT_NE(s.pick(w), first) << "more to do than the old one";
}

TEST(Servers, WhichIsFilledFirstChangesWithTheOrder)
{
	Servers s;
	for (const char *id : {"a", "b", "c"})
		s.put(id);
	pck_wish w = {};
	w.fill = 0.5;
	std::set<std::string> first;
	for (w.fill_order = 1; w.fill_order < 20; w.fill_order++)
		first.insert(s.pick(w));
	EXPECT_EQ(first.size(), 3u);
}

TEST(Servers, FailingOnesAreEjectedUnlessThereIsNoOther)
{
	Servers s;
	svt_server *a = s.put("a");
	s.put("b");
	svt_on_start(a);
	svt_on_end(&s.t, a, 0, SVT_SILENT, 0);
	for (int i = 0; i < 20; i++)
		EXPECT_STREQ(s.pick({}, 1), "b");
	svt_remove(&s.t, "b", 0);
	EXPECT_STREQ(s.pick({}, 1), "a");
}

TEST(Servers, BrokenAnswersAreTheVersionsFaultOnlyIfTheServerLives)
{
	Servers s;
	svt_server *a = s.put("a"), *crashed = s.put("b");
	svt_on_broken(crashed, 100);
	svt_on_broken(a, 100);
	svt_on_broken(a, 120);
	EXPECT_EQ(svt_take_broken(a, 90), 0u) << "began before the break";
	EXPECT_EQ(svt_take_broken(a, 130), 2u);
	EXPECT_EQ(svt_take_broken(a, 140), 0u) << "told once";
}

TEST(Servers, LongPromptsGoWhereLessWaitsToBeRead)
{
	Servers s;
	svt_server *a = s.put("a"), *b = s.put("b");
	svt_work work = {0, 1, 20000};
	pck_wish w = {};
	w.weight = 1;
	w.input_tokens = 1000;
	svt_on_work(a, &work);
	EXPECT_STREQ(s.pick(w), "b");
	svt_on_read(a, &work);
	b->others_prefill = 40000;
	EXPECT_STREQ(s.pick(w), "a") << "what other nodes put there counts";
}

TEST(Servers, ExpectationsAreCorrectedByWhatIsSeen)
{
	Servers s;
	s.put("a");
	pck_wish w = {};
	w.service = "s";
	w.weight = 1;
	w.input_tokens = 10000;
	double before = pck_expect(&s.t, 0, &w).first_ms;
	svt_work work;
	ASSERT_EQ(pck_server(&s.t, 0, &w, &s.r, &work), svt_find(&s.t, "a"));
	for (int i = 0; i < 100; i++)
		svt_on_first(&s.t, &work, 3 * work.expected_ms);
	EXPECT_NEAR(pck_expect(&s.t, 0, &w).first_ms, 3 * before, before / 10);
}

TEST(Servers, SharedPartsGoHomeWhileItIsNotBusy)
{
	Servers s;
	for (int i = 0; i < 8; i++)
		s.put(("s" + std::to_string(i)).c_str());
	pck_wish w = {};
	w.weight = 1;
	w.affinity = 77;
	w.shared_tokens = 5000;
	w.input_tokens = 6000;
	std::string home = s.pick(w);
	for (int i = 0; i < 5; i++)
		EXPECT_EQ(s.pick(w), home);
	svt_work work = {0, 1, 60000};
	svt_on_work(svt_find(&s.t, home.c_str()), &work);
	EXPECT_NE(s.pick(w), home);
}

TEST(Loads, OfOtherNodesAreAddedAndForgotten)
{
	Servers s;
	lds l;
	wfl_loads told = {};
	svt_server *a = s.put("a");
	lds_init(&l);
	g_strlcpy(told.node, "n1", sizeof(told.node));
	told.n = 1;
	told.load[0] = {a->hash, 250, 900, 3};
	lds_take(&l, 100, &told);
	g_strlcpy(told.node, "n2", sizeof(told.node));
	lds_take(&l, 100, &told);
	lds_apply(&l, 200, &s.t);
	EXPECT_DOUBLE_EQ(a->others_decode, 5.0);
	EXPECT_EQ(a->others_in_flight, 6u);
	lds_apply(&l, 200 + LDS_FRESH_MS, &s.t);
	EXPECT_EQ(a->others_in_flight, 0u);
	lds_clear(&l);
}

} // namespace
