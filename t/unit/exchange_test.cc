// Serving of configured routes: matching of routes and keys, retries, event
// streams, the model cascade and the choice of a server.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <string>
#include <vector>

extern "C" {
#include "exchange/drain.h"
#include "exchange/budget.h"
#include "exchange/cascade.h"
#include "exchange/events.h"
#include "exchange/feed-revision.h"
#include "crash/crash-keys.h"
#include "exchange/peer-limits.h"
#include "exchange/peer-loads.h"
#include "exchange/prompt.h"
#include "exchange/removals.h"
#include "exchange/retry.h"
#include "exchange/routes.h"
#include "exchange/pick.h"
#include "exchange/servers.h"
}

namespace
{

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
	route_table *r;
	explicit Table(const char *text = kDoc)
	{
		json_object *doc = json_tokener_parse(text);
		r = route_table_build(doc, 7, nullptr);
		json_object_put(doc);
	}
	~Table()
	{
		route_table_unref(r);
	}
	const route_entry *route(const char *path) const
	{
		route_handle h = route_match(r, "api.example", path);
		return h == ROUTE_NONE ? nullptr : &r->routes[h];
	}
};

TEST(Routes, MatchesLongestPathOfTheHost)
{
	Table t;
	EXPECT_STREQ(t.route("/a/x")->name, "short");
	EXPECT_STREQ(t.route("/a/b/x?q=/")->name, "long");
	EXPECT_EQ(t.route("/a"), nullptr);
	EXPECT_EQ(t.route("/?/a/b/"), nullptr);
	EXPECT_NE(route_match(t.r, "API.example:8080", "/a/"), ROUTE_NONE);
	EXPECT_EQ(route_match(t.r, "other.example", "/a/"), ROUTE_NONE);
}

TEST(Routes, KeyIdentifiesOrganisation)
{
	Table t;
	EXPECT_STREQ(t.r->orgs[route_org_of_key(t.r, "k2")].name, "one");
	EXPECT_STREQ(t.r->orgs[route_org_of_key(t.r, "k3")].name, "two");
	EXPECT_EQ(route_org_of_key(t.r, "k4"), ROUTE_NONE);
	EXPECT_EQ(route_org_of_key(t.r, ""), ROUTE_NONE);
}

TEST(Routes, RepeatableByKindAndResumability)
{
	Table t;
	EXPECT_TRUE(route_is_repeatable(t.route("/a/x")));
	EXPECT_FALSE(route_is_repeatable(t.route("/a/b/x")));
	EXPECT_TRUE(route_is_repeatable(t.route("/t/x")));
}

TEST(Routes, DrawsServicesByWeight)
{
	Table t;
	int engines = 0;
	for (uint64_t draw = 0; draw < 1000; draw++)
		engines += route_draw_service(t.route("/t/x"), draw) ==
			   route_find_service(t.r, "engines");
	EXPECT_EQ(engines, 900);
}

TEST(Routes, RejectsInvalidDocuments)
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
		EXPECT_EQ(route_table_build(doc, 1, &err), nullptr) << text;
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
	event_stream e;
	std::string got;
	Events()
	{
		event_stream_init(&e);
	}
	~Events()
	{
		event_stream_clear(&e);
	}
	event_stream_status push(const std::string &s)
	{
		return event_stream_push(&e, s.data(), s.size(), collect, &got);
	}
};

std::string event(int id)
{
	return "id: " + std::to_string(id) + "\ndata: x" + std::to_string(id) +
	       "\n\n";
}

RC_GTEST_PROP(Events, ForwardsOnlyCompleteEvents, ())
{
	Events s;
	std::string all;
	for (int i = 1; i <= 20; i++)
		all += event(i);
	size_t cut = *rc::gen::inRange<size_t>(0, all.size() + 1);
	for (size_t at = 0; at < cut;) {
		size_t n = *rc::gen::inRange<size_t>(1, 40);
		n = std::min(n, cut - at);
		RC_ASSERT(s.push(all.substr(at, n)) == EVENT_STREAM_OK);
		at += n;
	}
	RC_ASSERT(all.compare(0, s.got.size(), s.got) == 0);
	if (!s.got.empty())
		RC_ASSERT(s.got.substr(s.got.size() - 2) == "\n\n");
	RC_ASSERT(s.e.mid_event == (s.got.size() < cut));
}

TEST(Events, RejectsGapsAndRepeatedIds)
{
	Events gap, twice, resumed;
	EXPECT_EQ(gap.push(event(1) + event(3)), EVENT_STREAM_OUT_OF_ORDER);
	EXPECT_EQ(gap.got, event(1));
	EXPECT_EQ(twice.push(event(1) + event(1)), EVENT_STREAM_OUT_OF_ORDER);
	event_stream_start_after(&resumed.e, 12);
	EXPECT_EQ(resumed.push(event(12)), EVENT_STREAM_OUT_OF_ORDER);
}

TEST(Events, ContinuesAfterAnIncompleteEvent)
{
	Events s;
	EXPECT_EQ(s.push(event(1) + "id: 2\nda"), EVENT_STREAM_OK);
	event_stream_restart(&s.e);
	EXPECT_EQ(s.push(event(2)), EVENT_STREAM_OK);
	EXPECT_EQ(s.got, event(1) + event(2));
}

TEST(Prompt, ParsesPartsAndCounts)
{
	prompt_info p;
	prompt_parse(&p, "a1:100,b2:50,c3:7", "157,400");
	EXPECT_EQ(p.shared_tokens, 150u);
	EXPECT_EQ(p.input_tokens, 157u);
	EXPECT_EQ(p.max_output_tokens, 400u);
	EXPECT_NE(p.session, p.shared);
	prompt_parse(&p, nullptr, nullptr);
	EXPECT_EQ(p.shared, 0u);
	prompt_parse(&p, ",,:,x", "-1,");
	EXPECT_EQ(p.input_tokens, 0u);
}

TEST(Prompt, KnowsItsPartsButTheLast)
{
	prompt_info p;
	std::string list;
	g_autofree char *text = nullptr;

	prompt_parse(&p, "5c1e07a2:800, 91bd3f06:410,e4402b7d:250", nullptr);
	text = prompt_parts_text(&p);
	EXPECT_STREQ(text, "5c1e07a2,91bd3f06");
	EXPECT_EQ(p.parts[0], 0x5c1e07a2u);
	for (int i = 1; i <= 40; i++)
		list += std::to_string(i) + ":1,";
	prompt_parse(&p, (list + "ff:1").c_str(), nullptr);
	ASSERT_EQ(p.n_parts, (uint32_t)PROMPT_MAX_PARTS);
	EXPECT_EQ(p.parts[PROMPT_MAX_PARTS - 1], 0x40u);
	prompt_parse(&p, "no-hex:1,x:1", nullptr);
	EXPECT_NE(p.parts[0], 0u);
}

// A request that a node starts must end before the node does, unless the balancer
// could not know yet that it stops.
RC_GTEST_PROP(Drain, StartsNothingLateThatOutlastsTheNode, ())
{
	const uint64_t grace = *rc::gen::inRange(0, 60000);
	const drain d = {(uint64_t)*rc::gen::inRange(0, 60000), grace};
	const uint64_t takes = *rc::gen::inRange(0, 20000);

	if (drain_may_start(&d, takes) && d.elapsed_ms > 2500)
		RC_ASSERT(d.elapsed_ms + takes < drain_exit_ms(grace));
	RC_ASSERT(drain_exit_ms(grace) <= grace);
}

TEST(Drain, StartsWhatEndsInTime)
{
	drain d = {6000, 8000};

	EXPECT_TRUE(drain_may_start(&d, 1000));
	EXPECT_FALSE(drain_may_start(&d, 1550));
	d.elapsed_ms = 2000;
	EXPECT_TRUE(drain_may_start(&d, 15000));
	d.elapsed_ms = 2600;
	EXPECT_FALSE(drain_may_start(&d, 15000));
	EXPECT_TRUE(drain_may_start(&d, 4000));
}

const retry_answer_head kGood = {200, true, true, false, true, false, false};

retry_result result_of(retry_answer_head h)
{
	retry_answer a = {};
	retry_on_head(&a, &h);
	return a.result;
}

TEST(Retry, ClassifiesAnswerHeads)
{
	retry_answer_head h = kGood;
	EXPECT_EQ(result_of(h), RETRY_RESULT_COMPLETE);
	h.has_receipt = false;
	EXPECT_EQ(result_of(h), RETRY_RESULT_BROKEN)
		<< "a success without a receipt";
	h = kGood;
	h.id_matches = false;
	EXPECT_EQ(result_of(h), RETRY_RESULT_BROKEN)
		<< "the answer to another request";
	h = kGood;
	h.encoded = true;
	EXPECT_EQ(result_of(h), RETRY_RESULT_BROKEN);
	EXPECT_EQ(result_of({503, false, false, true, false, false, false}),
		  RETRY_RESULT_REFUSED);
	EXPECT_EQ(result_of({503, true, false, true, false, false, false}),
		  RETRY_RESULT_BROKEN)
		<< "the refusal of another request";
	EXPECT_EQ(result_of({503, true, true, false, true, false, false}),
		  RETRY_RESULT_BROKEN)
		<< "a 503 without the mark that it did not run";
	EXPECT_EQ(result_of({421, false, false, false, false, false, false}),
		  RETRY_RESULT_MISDIRECTED);
	EXPECT_EQ(result_of({421, true, true, false, false, false, true}),
		  RETRY_RESULT_UNSERVED)
		<< "the right server rejects the request as it is";
	EXPECT_EQ(result_of({421, true, false, false, false, false, true}),
		  RETRY_RESULT_BROKEN)
		<< "the rejection of another request";
	EXPECT_EQ(result_of({500, true, true, false, true, false, false}),
		  RETRY_RESULT_COMPLETE);
}

// A client that asks for what servers do not serve is told so; what this node
// chose for it may be served later.
TEST(Retry, TellsClientsThatServersDoNotServeWhatTheyNamed)
{
	Table t;
	retry_state r;
	retry_answer a;
	const retry_answer_head unserved = {421,   true,  true, false,
					    false, false, true};
	retry_context s = {100, 1000, false, false, false, true};
	retry_init(&r, t.route("/a/b/x"));
	retry_begin_attempt(&r, &a);
	retry_on_head(&a, &unserved);
	retry_on_end(&a, true, false, false);
	retry_count_answer(&r, &a);
	EXPECT_EQ(retry_make_refusal(&r, &s).status, 421);
	s.chosen_by_client = false;
	EXPECT_EQ(retry_make_refusal(&r, &s).status, 503);
}

// For any sequence of answers, a non-repeatable request is sent again only after
// attempts that certainly did not run, and is refused with 503, which means that
// it did not run, only then.
RC_GTEST_PROP(Retry, NeverResendsWhatMayHaveRun, ())
{
	Table t;
	retry_state r;
	retry_init(&r, t.route("/a/b/x"));
	bool ran = false;
	for (;;) {
		retry_answer a;
		RC_ASSERT(!ran);
		retry_begin_attempt(&r, &a);
		int kind = *rc::gen::inRange(0, 6);
		retry_answer_head head = kGood;
		bool complete = *rc::gen::arbitrary<bool>();
		bool unsent = false;
		if (kind == 0)
			head.status =
				*rc::gen::element(200, 404, 500, 503, 429);
		else if (kind == 1)
			head = {503, false, false, true, false, false, false};
		else if (kind == 2)
			head = {421, false, false, false, false, false, false};
		else if (kind == 5)
			head = {421,   true,  true, false,
				false, false, true};
		else if (kind == 3)
			unsent = true;
		if (kind < 3 || kind == 5)
			retry_on_head(&a, &head);
		retry_on_end(&a, complete, unsent, false);
		ran = kind == 0 || kind == 4;
		retry_context s = {100, 1000, false, false, false, false};
		retry_step step = retry_next_step(&r, &a, &s);
		if (step == RETRY_STEP_RESEND)
			continue;
		struct retry_refusal end = retry_make_refusal(&r, &s);
		if (step == RETRY_STEP_REFUSE)
			RC_ASSERT((end.status == 503) == !ran);
		if (end.status == 503)
			RC_ASSERT(end.retry_after_ms > 0);
		return;
	}
}

TEST(Retry, RetriesIdempotentFailuresUpToTheAttemptLimit)
{
	Table t;
	retry_state r;
	retry_answer a;
	retry_context s = {0, 1000, false, false, false, false};
	retry_answer_head failure = {500, true, true, false, true, false, false};
	retry_init(&r, t.route("/a/x"));
	for (int i = 0; i < 2; i++) {
		retry_begin_attempt(&r, &a);
		retry_on_head(&a, &failure);
		retry_on_end(&a, true, false, false);
		EXPECT_EQ(retry_next_step(&r, &a, &s),
			  i ? RETRY_STEP_DELIVER : RETRY_STEP_RESEND);
	}
	EXPECT_EQ(r.sent, 2u);
}

// Guards against a node whose view of the servers is old, and which gives up after
// as many wrong addresses as the route has attempts.
TEST(Retry, MisdirectedAttemptsAreGivenBackUpToTheirOwnLimit)
{
	Table t;
	retry_state r;
	retry_answer a;
	retry_context s = {0, 1000, false, false, false, false};
	retry_answer_head other = {421, false, false, false, false, false, false};
	retry_init(&r, t.route("/a/x"));
	for (int i = 1; i <= RETRY_MAX_MISDIRECTED; i++) {
		retry_begin_attempt(&r, &a);
		retry_on_head(&a, &other);
		retry_on_end(&a, true, false, false);
		EXPECT_EQ(retry_next_step(&r, &a, &s),
			  i < RETRY_MAX_MISDIRECTED ? RETRY_STEP_RESEND
						    : RETRY_STEP_REFUSE);
	}
	EXPECT_EQ(r.sent, 0u);
	EXPECT_EQ(retry_make_refusal(&r, &s).status, 503);
}

TEST(Retry, NamesResultsAndSteps)
{
	EXPECT_STREQ(retry_result_name(RETRY_RESULT_WEAK), "weak");
	EXPECT_STREQ(retry_result_name(RETRY_RESULT_CANCELLED), "cancelled");
	EXPECT_STREQ(retry_step_name(RETRY_STEP_DISCARD), "forget");
}

TEST(Retry, AbortsAStreamThatCannotBeResumed)
{
	Table t;
	retry_state r;
	retry_answer a;
	retry_context s = {0, 15000, true, false, false, false};
	retry_init(&r, t.route("/t/x"));
	retry_begin_attempt(&r, &a);
	a.result = RETRY_RESULT_COMPLETE;
	a.status = 200;
	a.not_a_stream = true;
	EXPECT_EQ(retry_next_step(&r, &a, &s), RETRY_STEP_RESEND);
	r.sent = r.max_sent;
	EXPECT_EQ(retry_next_step(&r, &a, &s), RETRY_STEP_ABORT);
}

TEST(Retry, DoesNotRetryShortlyBeforeTheDeadline)
{
	Table t;
	retry_state r;
	retry_answer a;
	retry_context s = {990, 1000, false, false, false, false};
	retry_init(&r, t.route("/a/x"));
	retry_begin_attempt(&r, &a);
	retry_on_end(&a, false, false, false);
	EXPECT_EQ(retry_next_step(&r, &a, &s), RETRY_STEP_REFUSE);
	EXPECT_EQ(retry_make_refusal(&r, &s).status, 504);
}

// Nodes with random load: within any window, the retries of the fleet stay
// within its bound.
RC_GTEST_PROP(Budget, BoundsTheRetriesOfTheFleet, ())
{
	const uint32_t nodes = 5, window = 1000;
	const double ratio = 0.5, burst = 20;
	budget_params p = {ratio, burst, nodes, window};
	std::vector<retry_budget> fleet(nodes);
	for (auto &b : fleet)
		budget_init(&b, &p);
	std::vector<int> requests(4000), retries(4000);
	uint64_t seed = *rc::gen::arbitrary<uint64_t>();
	rng r;
	rng_seed(&r, seed);
	for (int now = 0; now < 4000; now++) {
		for (auto &b : fleet) {
			if (rng_below(&r, 100) < 10) {
				budget_count_request(&b, (uint64_t)now, "s");
				requests[now]++;
			}
			if (rng_below(&r, 100) < 30 &&
			    budget_take_retry(&b, (uint64_t)now, "s"))
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
		budget_clear(&b);
}

TEST(Cascade, EscalatesLowConfidenceAnswers)
{
	Table t;
	cascade_targets c;
	const route_entry *talk = t.route("/t/x");
	ASSERT_TRUE(cascade_parse(&c, "1,0.75"));
	EXPECT_EQ(cascade_first_model(&c, talk), 0u);
	EXPECT_EQ(cascade_decide(&c, talk, 0, "74", 1), CASCADE_ESCALATE);
	EXPECT_EQ(cascade_decide(&c, talk, 0, "75", 1), CASCADE_KEEP_GOOD);
	EXPECT_EQ(cascade_decide(&c, talk, 0, nullptr, 1), CASCADE_KEEP_GOOD);
	EXPECT_EQ(cascade_decide(&c, talk, 1, "1", 1), CASCADE_KEEP_GOOD)
		<< "there is no larger model";
	EXPECT_EQ(cascade_decide(&c, talk, 0, "40",
				 cascade_chance_in_time(2000, 2000)),
		  CASCADE_KEEP_TOO_LATE)
		<< "kept because the larger model is unlikely to be in time";
	EXPECT_EQ(cascade_decide(&c, talk, 0, "40",
				 cascade_chance_in_time(2000, 500)),
		  CASCADE_ESCALATE);
	EXPECT_DOUBLE_EQ(cascade_chance_in_time(0, 10), 0);
	EXPECT_DOUBLE_EQ(cascade_target(&c, 9), 0.75);
	for (const char *bad : {"", "x", "0.5,", "1.5", "0.5;1"})
		EXPECT_FALSE(cascade_parse(&c, bad)) << bad;
}

struct Servers {
	server_table t;
	rng r;
	Servers()
	{
		server_table_init(&t);
		rng_seed(&r, 1);
	}
	~Servers()
	{
		server_table_clear(&t);
	}
	server_record *put(const char *id, const char *zone = "z1",
			   const char *version = "v1", bool draining = false,
			   uint64_t revision = 1, uint64_t born = 0)
	{
		server_entry e = {id, "s",	"10.0.0.1:1", zone, version, 8,
				  0,  draining, revision,     born};
		return server_update(&t, 0, &e);
	}
	const char *pick(pick_criteria c, uint64_t now = 0)
	{
		c.service = "s";
		c.zone = "z1";
		server_work work;
		server_record *s = pick_best_server(&t, now, &c, &r, &work);
		return s ? s->id : "none";
	}
};

TEST(Servers, DrainingAndRemovedServersGetNoRequests)
{
	Servers s;
	s.put("a");
	s.put("b", "z1", "v1", true);
	for (int i = 0; i < 20; i++)
		EXPECT_STREQ(s.pick({}), "a");
	server_remove(&s.t, "a", 0);
	EXPECT_STREQ(s.pick({}), "none");
}

TEST(Servers, IgnoresOlderEntries)
{
	Servers s;
	s.put("a", "z1", "v1", true, 9);
	s.put("a", "z1", "v1", false, 8);
	EXPECT_STREQ(s.pick({}), "none");
	s.put("a", "z1", "v1", false, 10);
	EXPECT_STREQ(s.pick({}), "a");
	EXPECT_FALSE(server_remove(&s.t, "a", 9))
		<< "the removal is older than the entry";
	EXPECT_STREQ(s.pick({}), "a");
}

TEST(Servers, ALeavingServerStaysSoWhenTheSourceIsRestoredFromACopy)
{
	Servers s;
	s.put("a", "z1", "v1", true, feed_revision(1, 9), 77);
	s.put("a", "z1", "v1", false, feed_revision(2, 4), 77);
	EXPECT_STREQ(s.pick({}), "none");
	s.put("a", "z1", "v1", false, feed_revision(2, 4), 77);
	EXPECT_STREQ(s.pick({}), "none") << "the same entry, listed again";

	server_remove(&s.t, "a", feed_revision(2, 5));
	server_free_removed(&s.t, 1000);
	s.put("a", "z1", "v1", false, feed_revision(3, 4), 77);
	EXPECT_STREQ(s.pick({}), "none") << "removed, then restored";

	server_remove(&s.t, "a", feed_revision(3, 5));
	server_free_removed(&s.t, 2000);
	server_free_removed(&s.t, 2001 + SERVER_DRAINED_MEMORY_MS);
	EXPECT_EQ(server_find(&s.t, "a"), nullptr);
}

TEST(Servers, AServerThatWantsAPauseIsNotUsedUntilThen)
{
	Servers s;
	server_record *a = s.put("a");

	EXPECT_EQ(server_wait_ms(&s.t, 1000, "s"), 0u);
	server_on_pause(a, 1000, 3000);
	server_on_pause(a, 1100, 10);
	EXPECT_STREQ(s.pick({}, 3999), "none");
	EXPECT_EQ(server_wait_ms(&s.t, 1500, "s"), 2500u);
	EXPECT_STREQ(s.pick({}, 4000), "a");
	s.put("b");
	EXPECT_EQ(server_wait_ms(&s.t, 1500, "s"), 0u);
	server_on_pause(a, 4000, 9000);
	s.put("a", "z1", "v1", false, 5, 77);
	EXPECT_TRUE(server_may_get_request(a, 4001)) << "started again";
}

TEST(Servers, AServerThatSaysItLeavesIsNotUsedUntilItsRestart)
{
	Servers s;
	EXPECT_TRUE(server_on_said_leaving(s.put("a")));
	EXPECT_STREQ(s.pick({}), "none");
	EXPECT_FALSE(server_on_said_leaving(server_find(&s.t, "a")));
	s.put("a", "z1", "v1", false, 5);
	EXPECT_STREQ(s.pick({}), "none") << "its entry was written again";
	s.put("a", "z1", "v1", false, 6, 77);
	EXPECT_STREQ(s.pick({}), "a") << "started again";
}

TEST(Servers, ALeavingServerIsReadyAgainAfterItsRestart)
{
	Servers s;
	s.put("a", "z1", "v1", true, feed_revision(1, 9), 77);
	s.put("a", "z1", "v1", false, feed_revision(2, 4), 78);
	EXPECT_STREQ(s.pick({}), "a") << "under the same id";
	s.put("b", "z1", "v1", true, feed_revision(2, 9));
	server_remove(&s.t, "a", 0);
	server_remove(&s.t, "b", 0);
	s.put("b", "z1", "v1", false, feed_revision(2, 12));
	EXPECT_STREQ(s.pick({}), "b") << "without a time of its start";
}

RC_GTEST_PROP(Feed, RevisionsGrowWithTheEraThoughTheSourceStartsLower, ())
{
	uint64_t era = *rc::gen::inRange<uint64_t>(0, 100000);
	uint64_t before = *rc::gen::inRange<uint64_t>(0, FEED_ERA_UNIT);
	uint64_t after = *rc::gen::inRange<uint64_t>(0, FEED_ERA_UNIT);
	uint64_t revision = feed_revision(era + 1, after);

	RC_ASSERT(revision > feed_revision(era, before));
	RC_ASSERT(feed_revision_era(revision) == era + 1);
	RC_ASSERT(feed_revision_in_era(revision) == after);
	RC_ASSERT(revision <= (uint64_t)INT64_MAX);
}

TEST(RateLimit, ParsesDecimalNumbers)
{
	EXPECT_DOUBLE_EQ(rate_limit_parse("2.5"), 2.5);
	EXPECT_DOUBLE_EQ(rate_limit_parse("40"), 40);
	EXPECT_GT(rate_limit_parse("0"), 0) << "a server is asked now and then";
	for (const char *bad : {"", "-1", "x", "1x", "inf", "nan", "1e99"})
		EXPECT_DOUBLE_EQ(rate_limit_parse(bad), 0) << bad;
	EXPECT_DOUBLE_EQ(rate_limit_parse(nullptr), 0);
}

TEST(RateLimit, ALaterAnswerOfAnyNodeCounts)
{
	rate_limit l = {};

	EXPECT_FALSE(rate_limit_hear(&l, 100, 0, true));
	EXPECT_TRUE(rate_limit_allows(&l, 100));
	EXPECT_TRUE(rate_limit_hear(&l, 200, 2, false));
	EXPECT_FALSE(rate_limit_allows(&l, 200)) << "its part is not known yet";
	EXPECT_FALSE(rate_limit_hear(&l, 150, 0, false)) << "older news";
	EXPECT_TRUE(rate_limit_hear(&l, 300, 0, false));
	EXPECT_TRUE(rate_limit_allows(&l, 300));
	EXPECT_FALSE(rate_limit_hear(&l, 250, 2, false)) << "older news";
}

/*
 * Nodes with more demand than the limit, each with its own view of its rank,
 * off by one for some time when a node comes or goes.
 */
RC_GTEST_PROP(RateLimit, TheFleetKeepsToWhatAServerNames, ())
{
	const uint64_t window_ms = 4000;
	auto nodes = *rc::gen::inRange<uint32_t>(2, 80);
	double per_s = *rc::gen::inRange(2, 400) / 10.0;
	std::vector<rate_limit> l(nodes);
	std::vector<uint64_t> sent;

	for (uint64_t now = 1000; now < 16000; now += 10) {
		uint32_t gone = now / 5000 % 2;

		for (uint32_t i = gone; i < nodes; i++) {
			rate_limit_hear(&l[i], now, per_s, true);
			rate_limit_set_rank(&l[i], i - gone, nodes - gone);
			if (!rate_limit_allows(&l[i], now))
				continue;
			rate_limit_count(&l[i], now);
			sent.push_back(now);
		}
	}
	for (size_t first = 0, i = 0; i < sent.size(); i++) {
		while (sent[i] - sent[first] > window_ms)
			first++;
		RC_ASSERT(i - first + 1 <= 1.5 * per_s * 4 + 5);
	}
	RC_ASSERT(sent.size() >= 0.8 * per_s * 15 - 1);
}

// A node that is no sender and missed the end of a limit must not leave the server
// alone for good; while it hears that the limit holds, it must.
TEST(RateLimit, ALimitThatNobodyConfirmsIsTriedByAllNodes)
{
	rate_limit l = {};
	const uint32_t rank = 70, nodes = 76;
	uint64_t now = 1000;

	rate_limit_hear(&l, now, 3, false);
	for (; now < 600000; now += 5000) {
		rate_limit_hear(&l, now, 3, false);
		rate_limit_set_rank(&l, rank, nodes);
		ASSERT_FALSE(rate_limit_allows(&l, now)) << "confirmed at " << now;
	}
	while (!rate_limit_allows(&l, now) && now < 800000)
		rate_limit_set_rank(&l, rank, nodes), now += 100;
	EXPECT_LT(now, 720000u);
	rate_limit_count(&l, now);
	EXPECT_FALSE(rate_limit_allows(&l, now + 1000)) << "one at a time";
	rate_limit_hear(&l, now, 0, true);
	EXPECT_TRUE(rate_limit_allows(&l, now + 1));
}

// Nor may they all do so at once.
RC_GTEST_PROP(RateLimit, UnconfirmedLimitsAreTriedWithinTheLimit, ())
{
	const uint64_t window_ms = 4000;
	auto nodes = *rc::gen::inRange<uint32_t>(2, 300);
	double per_s = *rc::gen::inRange(2, 200) / 10.0;
	std::vector<rate_limit> l(nodes);
	std::vector<uint64_t> sent;

	for (uint32_t i = 0; i < nodes; i++)
		rate_limit_hear(&l[i], 1000, per_s, false);
	for (uint64_t now = 20000; now < 60000; now += 20)
		for (uint32_t i = 0; i < nodes; i++) {
			rate_limit_set_rank(&l[i], i, nodes);
			if (!rate_limit_allows(&l[i], now))
				continue;
			rate_limit_count(&l[i], now);
			sent.push_back(now);
		}
	for (size_t first = 0, i = 0; i < sent.size(); i++) {
		while (sent[i] - sent[first] > window_ms)
			first++;
		RC_ASSERT(i - first + 1 <= 1.5 * per_s * 4 + 5);
	}
}

TEST(RateLimit, AServerOverItsLimitIsNotPicked)
{
	Servers s;
	server_record *a = s.put("a");

	rate_limit_hear(&a->limit, 1000, 0.5, true);
	EXPECT_STREQ(s.pick({}, 1000), "none");
	rate_limit_set_rank(&a->limit, 0, 1);
	EXPECT_STREQ(s.pick({}, 1000), "a");
	server_on_request_start(a, 1000);
	EXPECT_STREQ(s.pick({}, 1100), "none");
	EXPECT_STREQ(s.pick({}, 3000), "a");
}

TEST(RateLimit, NodesTellEachOtherWhatTheyHeardThemselves)
{
	Servers one, two;
	fleet_wire_limits m;
	server_record *a = one.put("a");

	two.put("a");
	EXPECT_FALSE(peer_limits_report(&one.t, 1000, "n", &m));
	rate_limit_hear(&a->limit, 900, 2, true);
	ASSERT_TRUE(peer_limits_report(&one.t, 1000, "n", &m));
	ASSERT_EQ(m.n, 1u);
	EXPECT_EQ(m.limit[0].age_ms, 100u);
	ASSERT_NE(peer_limits_apply(&two.t, 5000, &m.limit[0]), nullptr);
	EXPECT_STREQ(two.pick({}, 5000), "none");
	EXPECT_FALSE(peer_limits_report(&two.t, 5000, "m", &m))
		<< "hearsay is not repeated";
	EXPECT_FALSE(peer_limits_report(&one.t, 901 + PEER_LIMITS_REPEAT_MS,
					"n", &m));
}

TEST(RemovalLog, FindsTheRemovalsAfterARevision)
{
	removal_log r;
	removal_log_init(&r);
	EXPECT_FALSE(removal_log_covers(&r, 5)) << "no revision is known yet";
	removal_log_set_revision(&r, 10);
	EXPECT_FALSE(removal_log_covers(&r, 9))
		<< "a server may have been removed before the listing";
	EXPECT_TRUE(removal_log_covers(&r, 10));
	removal_log_add(&r, "a");
	removal_log_add(&r, "b");
	removal_log_set_revision(&r, 12);
	removal_log_add(&r, "c");
	removal_log_set_revision(&r, 15);
	EXPECT_EQ(removal_log_first_after(&r, 10), 0u);
	EXPECT_EQ(removal_log_first_after(&r, 12), 2u);
	EXPECT_EQ(removal_log_first_after(&r, 15), 3u);
	for (int i = 0; i < REMOVAL_LOG_MAX_IDS; i++)
		removal_log_add(&r, "d");
	removal_log_set_revision(&r, 20);
	EXPECT_EQ(r.ids->len, (guint)REMOVAL_LOG_MAX_IDS);
	EXPECT_FALSE(removal_log_covers(&r, 14))
		<< "the oldest entries are dropped";
	EXPECT_TRUE(removal_log_covers(&r, 15));
	removal_log_clear(&r);
}

TEST(Servers, ACompleteListingRemovesTheOtherServers)
{
	Servers s;
	s.put("a");
	s.put("b");
	server_begin_listing(&s.t);
	s.put("b");
	EXPECT_EQ(server_end_listing(&s.t), 1u);
	EXPECT_STREQ(s.pick({}), "b");
}

TEST(Servers, LimitsTheRequestsInFlightAtOneServer)
{
	Servers s;
	server_record *a = s.put("a");
	pick_criteria c = {};
	c.max_in_flight = 2;
	server_on_request_start(a, 0);
	EXPECT_STREQ(s.pick(c), "a");
	server_on_request_start(a, 0);
	EXPECT_STREQ(s.pick(c), "none");
}

TEST(Servers, PicksServersOfTheWantedVersion)
{
	Servers s;
	s.put("old", "z1", "v1");
	s.put("new", "z1", "v2");
	pick_criteria c = {};
	c.version = "v2";
	c.versions = PICK_ONLY_VERSION;
	EXPECT_STREQ(s.pick(c), "new");
	c.versions = PICK_OTHER_VERSIONS;
	EXPECT_STREQ(s.pick(c), "old");
}

TEST(Servers, FillsOneServerUpToTheShareOfItsSlots)
{
	Servers s;
	for (const char *id : {"a", "b", "c"})
		s.put(id, "z1", "v2");
	s.put("old", "z1", "v1");
	pick_criteria c = {};
	c.version = "v2";
	c.versions = PICK_ONLY_VERSION;
	c.fill_share = 0.75;
	const char *first = s.pick(c);
	for (int i = 0; i < 6; i++) {
		ASSERT_STREQ(s.pick(c), first) << i;
		server_on_request_start(server_find(&s.t, first), 0);
	}
	EXPECT_STRNE(s.pick(c), first)
		<< "6 requests are three quarters of 8 slots";
}

TEST(Servers, FillsOneServerUpToTheMeanWorkOfTheOldVersion)
{
	Servers s;
	for (const char *id : {"a", "b", "c"})
		s.put(id, "z1", "v2");
	const server_work work = {0, 1, 1000};
	server_record *old = s.put("old", "z1", "v1");
	server_add_work(old, &work);
	server_add_work(old, &work);
	pick_criteria c = {};
	c.weight = 1;
	c.input_tokens = 1000;
	c.version = "v2";
	c.versions = PICK_ONLY_VERSION;
	c.fill_work_ms = pick_mean_work_ms(&s.t, "s", "v2");
	c.fill_seed = 1;
	EXPECT_GT(c.fill_work_ms, 0);
	EXPECT_DOUBLE_EQ(pick_mean_work_ms(&s.t, "other", "v2"), 0);
	std::string first = s.pick(c);
	for (int i = 0; i < 3; i++) {
		ASSERT_EQ(s.pick(c), first) << i;
		server_add_work(server_find(&s.t, first.c_str()), &work);
	}
	EXPECT_NE(s.pick(c), first) << "has more work than the old server";
}

TEST(Servers, TheFillSeedDeterminesWhichServerIsFilledFirst)
{
	Servers s;
	for (const char *id : {"a", "b", "c"})
		s.put(id);
	pick_criteria c = {};
	c.fill_share = 0.5;
	std::set<std::string> first;
	for (c.fill_seed = 1; c.fill_seed < 20; c.fill_seed++)
		first.insert(s.pick(c));
	EXPECT_EQ(first.size(), 3u);
}

TEST(Servers, UsesEjectedServersOnlyIfThereIsNoOther)
{
	Servers s;
	server_record *a = s.put("a");
	s.put("b");
	server_on_request_start(a, 0);
	server_on_request_end(&s.t, a, 0, SERVER_CALL_TIMED_OUT, 0);
	for (int i = 0; i < 20; i++)
		EXPECT_STREQ(s.pick({}, 1), "b");
	server_remove(&s.t, "b", 0);
	EXPECT_STREQ(s.pick({}, 1), "a");
}

void misdirect(Servers *s, server_record *r, uint64_t now)
{
	server_on_request_start(r, now);
	server_on_request_end(&s->t, r, now, SERVER_CALL_MISDIRECTED, 0);
}

// What is believed of an address must not keep a sound server out for good.
TEST(Servers, MisdirectionEndsByItself)
{
	Servers s;
	server_record *a = s.put("a");
	uint64_t now = 0;
	for (int i = 0; i < 40; i++) {
		uint64_t began = now;
		misdirect(&s, a, now);
		EXPECT_STREQ(s.pick({}, now), "none");
		while (s.pick({}, now) == std::string("none") &&
		       now - began <= SERVER_MISDIRECTED_MAX_MS)
			now += 100;
		EXPECT_LE(now - began, SERVER_MISDIRECTED_MAX_MS);
	}
}

TEST(Servers, MisdirectionEndsWithAnotherStartOfTheServer)
{
	Servers s;
	server_record *a = s.put("a", "z1", "v1", false, 1, 1000);
	misdirect(&s, a, 0);
	EXPECT_STREQ(s.pick({}, 1), "none");
	s.put("a", "z1", "v1", false, 2, 2000);
	EXPECT_STREQ(s.pick({}, 1), "a");
}

TEST(Servers, RejectedRequestsDoNotCountAgainstTheServer)
{
	Servers s;
	server_record *a = s.put("a");
	for (int i = 0; i < 20; i++) {
		server_on_request_start(a, i);
		server_on_request_end(&s.t, a, i, SERVER_CALL_UNSERVED, 0);
		EXPECT_STREQ(s.pick({}, i), "a");
	}
	EXPECT_EQ(a->in_flight, 0u);
}

TEST(Servers, BlamesBrokenAnswersOnTheVersionIfTheServerAnswersAgain)
{
	Servers s;
	server_record *a = s.put("a"), *crashed = s.put("b");
	server_on_broken_answer(crashed, 100);
	server_on_broken_answer(a, 100);
	server_on_broken_answer(a, 120);
	EXPECT_EQ(server_take_broken_answers(a, 90), 0u)
		<< "the request began before the broken answer";
	EXPECT_EQ(server_take_broken_answers(a, 130), 2u);
	EXPECT_EQ(server_take_broken_answers(a, 140), 0u)
		<< "each is returned once";
}

TEST(Servers, PicksTheServerWithLessPrefillWork)
{
	Servers s;
	server_record *a = s.put("a"), *b = s.put("b");
	server_work work = {0, 1, 20000};
	pick_criteria c = {};
	c.weight = 1;
	c.input_tokens = 1000;
	server_add_work(a, &work);
	EXPECT_STREQ(s.pick(c), "b");
	server_on_prefill_done(a, &work);
	b->peer_prefill = 40000;
	EXPECT_STREQ(s.pick(c), "a") << "the work of other nodes counts";
}

TEST(Servers, CorrectsEstimatesByMeasuredDelays)
{
	Servers s;
	s.put("a");
	pick_criteria c = {};
	c.service = "s";
	c.weight = 1;
	c.input_tokens = 10000;
	double before = pick_estimate_delay(&s.t, 0, &c).first_event_ms;
	server_work work;
	ASSERT_EQ(pick_best_server(&s.t, 0, &c, &s.r, &work),
		  server_find(&s.t, "a"));
	for (int i = 0; i < 100; i++)
		server_on_first_event(&s.t, &work, 3 * work.expected_ms);
	EXPECT_NEAR(pick_estimate_delay(&s.t, 0, &c).first_event_ms, 3 * before,
		    before / 10);
}

TEST(Servers, SharedPrefixesGoToOneServerUntilItIsBusy)
{
	Servers s;
	for (int i = 0; i < 8; i++)
		s.put(("s" + std::to_string(i)).c_str());
	pick_criteria c = {};
	c.weight = 1;
	c.affinity = 77;
	c.shared_tokens = 5000;
	c.input_tokens = 6000;
	std::string affinity_target = s.pick(c);
	for (int i = 0; i < 5; i++)
		EXPECT_EQ(s.pick(c), affinity_target);
	server_work work = {0, 1, 60000};
	server_add_work(server_find(&s.t, affinity_target.c_str()), &work);
	EXPECT_NE(s.pick(c), affinity_target);
}

TEST(Servers, ForgetTheLimitsOfVersionsWithoutServers)
{
	Servers s;
	s.put("a", "z1", "v1");
	s.put("b", "z1", "v2");
	ASSERT_EQ(g_hash_table_size(s.t.load_limits), 2u);
	server_remove(&s.t, "b", 0);
	server_free_removed(&s.t, 1);
	EXPECT_EQ(g_hash_table_size(s.t.load_limits), 1u);
	EXPECT_NE(server_find(&s.t, "a")->load_limit, nullptr);
}

TEST(PeerLoads, AddsThoseOfOtherNodesUntilTheyExpire)
{
	Servers s;
	peer_loads l;
	fleet_wire_loads report = {};
	server_record *a = s.put("a");
	peer_loads_init(&l);
	g_strlcpy(report.node, "n1", sizeof(report.node));
	report.n = 1;
	report.load[0] = {a->hash, 250, 900, 3};
	peer_loads_update(&l, 100, &report);
	g_strlcpy(report.node, "n2", sizeof(report.node));
	peer_loads_update(&l, 100, &report);
	peer_loads_apply(&l, 200, &s.t);
	EXPECT_DOUBLE_EQ(a->peer_decode, 5.0);
	EXPECT_EQ(a->peer_in_flight, 6u);
	peer_loads_apply(&l, 200 + PEER_LOADS_MAX_AGE_MS, &s.t);
	EXPECT_EQ(a->peer_in_flight, 0u);
	peer_loads_clear(&l);
}

// The id stands in a header field of each request, the texts in lines and messages.
TEST(Servers, EntriesThatNoRequestOrMessageCanNameAreUnusable)
{
	const std::string long_text(SERVER_ENTRY_TEXT_MAX_BYTES + 1, 'x');
	const auto unusable = [](const std::string &id,
				 const std::string &service = "s",
				 const std::string &zone = "z",
				 const std::string &version = "") {
		server_entry e = {};
		e.id = id.c_str();
		e.service = service.c_str();
		e.address = "10.0.0.1:1";
		e.zone = zone.c_str();
		e.version = version.c_str();
		const char *field = server_entry_unusable_field(&e);
		return std::string(field ? field : "-");
	};

	for (const char *id : {"i-7f3a91c2", "a&b+c#d%e?/\"", "~"})
		EXPECT_EQ(unusable(id), "-") << id;
	for (const char *id : {"", " ", "a b", "a ", "a\r\nb: c", "a\t", "a\x7f",
			       "\xc3\xa9"})
		EXPECT_EQ(unusable(id), "id") << id;
	EXPECT_EQ(unusable(long_text.substr(1)), "-");
	EXPECT_EQ(unusable(long_text), "id");
	EXPECT_EQ(unusable("a", long_text), "service");
	EXPECT_EQ(unusable("a", "s", long_text), "zone");
	EXPECT_EQ(unusable("a", "s", "z", long_text), "version");
}

} // namespace
