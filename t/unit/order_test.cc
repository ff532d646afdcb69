// Orders: at most once, and a true "not run", over many nodes in one process
// with a store that fails in every way the platform can.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

extern "C" {
#include "order/order.h"
#include "order/record.h"
}

namespace {

struct Stored {
	order_record record;
	uint64_t etag;
};

// A write on its way to the store, or left there after its answer was lost.
struct Write {
	order_action_kind kind;
	order_record record;
	uint64_t etag;
};

enum Fault {
	kNone,
	kLoseAnswer, // takes effect, answer lost
	kLateEffect, // answer lost, takes effect later
	kDropped, // answer lost, never takes effect
	kRefused,
	kFaults,
};

enum ServerFault {
	kAnswers,
	kAnswerLost, // ran, no answer
	kNotSent,
	kServerFaults,
};

// One caller's order at one node.
struct Client {
	order_attempt order;
	order_action action;
	uint64_t clock = 0;
	bool ended = false;
	bool killed = false;
	int answers = 0;
	order_reply answer = ORDER_REPLY_NONE;
	verdict_kind verdict = VERDICT_NOT_RUN;
	int sent = 0;
	std::string operation;
};

class World {
public:
	std::optional<Stored> stored;
	uint64_t next_etag = 1;
	std::deque<Write> late;
	std::vector<Client> clients;
	int runs = 0;
	std::map<std::string, int> runs_by;
	bool done_before = false;

	void start(int n, uint64_t deadline)
	{
		clients.resize(n);
		for (int i = 0; i < n; i++) {
			Client &c = clients[i];
			c.operation = "op-" + std::to_string(i);
			take(c, order_start(&c.order, 0, c.operation.c_str(),
					  "digest", deadline));
		}
	}

	bool apply(const Write &w)
	{
		bool ok = w.kind == ORDER_ACTION_CREATE ?
				  !stored :
				  stored && stored->etag == w.etag;
		if (ok)
			stored = Stored{w.record, next_etag++};
		return ok;
	}

	void take(Client &c, order_action a)
	{
		c.action = a;
		if (a.answer != ORDER_REPLY_NONE) {
			c.answers++;
			c.answer = a.answer;
			c.verdict = a.verdict;
		}
		if (a.kind == ORDER_ACTION_END)
			c.ended = true;
	}

	void feed(Client &c, order_event e)
	{
		take(c, order_handle_event(&c.order, c.clock, &e));
	}

	void store_step(Client &c, int fault)
	{
		order_event e = {};
		Write w = {c.action.kind, c.action.record, c.action.etag};
		switch (fault) {
		case kRefused:
			e.kind = ORDER_EVENT_STORE_REFUSED;
			break;
		case kLoseAnswer:
			apply(w);
			e.kind = ORDER_EVENT_STORE_UNKNOWN;
			break;
		case kLateEffect:
			late.push_back(w);
			e.kind = ORDER_EVENT_STORE_UNKNOWN;
			break;
		case kDropped:
			e.kind = ORDER_EVENT_STORE_UNKNOWN;
			break;
		default:
			e.kind = apply(w) ? ORDER_EVENT_WRITTEN : ORDER_EVENT_CONFLICT;
			e.etag = stored ? stored->etag : 0;
		}
		feed(c, e);
	}

	void read_step(Client &c, int fault)
	{
		order_event e = {};
		if (fault != kNone) {
			e.kind = ORDER_EVENT_STORE_UNKNOWN;
		} else if (!stored) {
			e.kind = ORDER_EVENT_ABSENT;
		} else {
			e.kind = ORDER_EVENT_FOUND;
			e.record = stored->record;
			e.etag = stored->etag;
		}
		feed(c, e);
	}

	void send_step(Client &c, int fault)
	{
		order_event e = {};
		c.sent++;
		if (fault != kNotSent) {
			runs++;
			runs_by[c.operation]++;
		}
		e.kind = fault == kAnswers    ? ORDER_EVENT_ANSWERED :
			 fault == kAnswerLost ? ORDER_EVENT_NO_ANSWER :
						ORDER_EVENT_NOT_SENT;
		feed(c, e);
	}

	void step(Client &c, int store_fault, int server_fault)
	{
		if (c.ended || c.killed)
			return;
		switch (c.action.kind) {
		case ORDER_ACTION_CREATE:
		case ORDER_ACTION_REPLACE:
			store_step(c, store_fault);
			return;
		case ORDER_ACTION_READ:
			read_step(c, store_fault);
			return;
		case ORDER_ACTION_SEND:
			send_step(c, server_fault);
			return;
		default:
			return;
		}
	}

	// What must hold whatever came before.
	void check()
	{
		RC_ASSERT(runs <= 1);
		for (const Client &c : clients) {
			RC_ASSERT(c.answers <= 1);
			bool refused = c.answer == ORDER_REPLY_REFUSAL;
			if (refused && c.verdict == VERDICT_NOT_RUN) {
				auto it = runs_by.find(c.operation);
				RC_ASSERT(it == runs_by.end());
			}
		}
	}
};

// Steps of a random run: who, store's fault, server's fault, extra.
struct Step {
	int who, store, server, extra;
};

rc::Gen<Step> genStep()
{
	return rc::gen::build<Step>(
		rc::gen::set(&Step::who, rc::gen::inRange(0, 5)),
		rc::gen::set(&Step::store,
			     rc::gen::weightedElement<int>(
				     {{6, kNone},
				      {2, kLoseAnswer},
				      {2, kLateEffect},
				      {1, kDropped},
				      {1, kRefused}})),
		rc::gen::set(&Step::server,
			     rc::gen::weightedElement<int>(
				     {{4, kAnswers}, {2, kAnswerLost}, {2, kNotSent}})),
		rc::gen::set(&Step::extra, rc::gen::inRange(0, 12)));
}

void run_steps(World &w, const std::vector<Step> &steps)
{
	for (const Step &s : steps) {
		Client &c = w.clients[s.who % w.clients.size()];
		switch (s.extra) {
		case 0: // a kill of the node
			c.killed = true;
			break;
		case 1: // a freeze past the deadline, then waking
			c.clock += 2000;
			break;
		case 2: // a late write reaches the store
			if (!w.late.empty()) {
				w.apply(w.late.front());
				w.late.pop_front();
			}
			break;
		default:
			w.step(c, s.store, s.server);
		}
		w.check();
	}
}

RC_GTEST_PROP(Order, RunsAtMostOnceUnderAnyFaults, ())
{
	const auto steps = *rc::gen::container<std::vector<Step>>(genStep());
	World w;
	w.start(4, 1000);
	run_steps(w, steps);
}

// Without faults every caller ends, one runs, the rest get the result or are
// told that it is under way.
TEST(Order, OneRunsTheOthersReplayOrWait)
{
	World w;
	w.start(3, 1000);
	for (int round = 0; round < 50; round++)
		for (Client &c : w.clients)
			w.step(c, kNone, kAnswers);
	EXPECT_EQ(w.runs, 1);
	for (Client &c : w.clients) {
		EXPECT_TRUE(c.ended);
		EXPECT_EQ(c.answers, 1);
	}
}

TEST(Order, RepeatAfterwardsGetsTheRecordedResult)
{
	World w;
	w.start(1, 1000);
	while (!w.clients[0].ended)
		w.step(w.clients[0], kNone, kAnswers);
	Client again;
	w.clients.push_back(again);
	Client &c = w.clients[1];
	w.take(c, order_start(&c.order, 0, "op-again", "digest", 1000));
	while (!c.ended)
		w.step(c, kNone, kAnswers);
	EXPECT_EQ(c.answer, ORDER_REPLY_RECORDED);
	EXPECT_EQ(w.runs, 1);
}

TEST(Order, ReleasedClaimCanBeTakenOver)
{
	World w;
	w.start(1, 1000);
	while (!w.clients[0].ended)
		w.step(w.clients[0], kNone, kNotSent);
	EXPECT_EQ(w.clients[0].verdict, VERDICT_NOT_RUN);
	Client again;
	w.clients.push_back(again);
	Client &c = w.clients[1];
	w.take(c, order_start(&c.order, 0, "op-again", "digest", 1000));
	while (!c.ended)
		w.step(c, kNone, kAnswers);
	EXPECT_EQ(c.answer, ORDER_REPLY_RESULT);
	EXPECT_EQ(w.runs, 1);
}

TEST(Order, AnotherRequestUnderTheKeyIsRefused)
{
	World w;
	w.start(1, 1000);
	while (!w.clients[0].ended)
		w.step(w.clients[0], kNone, kAnswers);
	order_attempt o;
	order_action a = order_start(&o, 0, "op-2", "other digest", 1000);
	order_event conflict = {ORDER_EVENT_CONFLICT, 0, {}};
	a = order_handle_event(&o, 0, &conflict);
	ASSERT_EQ(a.kind, ORDER_ACTION_READ);
	order_event found = {ORDER_EVENT_FOUND, w.stored->etag, w.stored->record};
	a = order_handle_event(&o, 0, &found);
	EXPECT_EQ(a.answer, ORDER_REPLY_REFUSAL);
	EXPECT_EQ(a.reason, ORDER_REASON_KEY_REUSED);
	EXPECT_EQ(a.verdict, VERDICT_NOT_RUN);
}

TEST(Order, FrozenPastTheDeadlineNeverSends)
{
	order_attempt o;
	order_start(&o, 0, "op", "digest", 1000);
	order_event written = {ORDER_EVENT_WRITTEN, 7, {}};
	order_action a = order_handle_event(&o, 5000, &written);
	EXPECT_EQ(a.kind, ORDER_ACTION_REPLACE);
	EXPECT_EQ(a.record.state, ORDER_RELEASED);
	EXPECT_EQ(a.answer, ORDER_REPLY_REFUSAL);
	EXPECT_EQ(a.verdict, VERDICT_NOT_RUN);
	EXPECT_EQ(a.reason, ORDER_REASON_DEADLINE_PASSED);
}

// The claim's answer is lost, the process is frozen past the deadline and the
// write shows only later: the caller is refused at once, the claim given back.
TEST(Order, ClaimThatShowsAfterTheRefusalIsGivenBack)
{
	order_attempt o;
	order_start(&o, 0, "op", "digest", 1000);
	order_event unknown = {ORDER_EVENT_STORE_UNKNOWN, 0, {}};
	order_action a = order_handle_event(&o, 5000, &unknown);
	EXPECT_EQ(a.answer, ORDER_REPLY_REFUSAL);
	EXPECT_EQ(a.verdict, VERDICT_NOT_RUN);
	ASSERT_EQ(a.kind, ORDER_ACTION_READ);
	order_event absent = {ORDER_EVENT_ABSENT, 0, {}};
	a = order_handle_event(&o, 5100, &absent);
	ASSERT_EQ(a.kind, ORDER_ACTION_READ);
	order_event found = {ORDER_EVENT_FOUND, 9, o.mine};
	a = order_handle_event(&o, 5200, &found);
	EXPECT_EQ(a.kind, ORDER_ACTION_REPLACE);
	EXPECT_EQ(a.record.state, ORDER_RELEASED);
	EXPECT_EQ(a.etag, 9u);
	EXPECT_EQ(a.answer, ORDER_REPLY_NONE);
}

TEST(Order, StoreOutageRefusesWithFewCalls)
{
	order_attempt o;
	order_action a = order_start(&o, 0, "op", "digest", 60000);
	order_event refused = {ORDER_EVENT_STORE_REFUSED, 0, {}};
	a = order_handle_event(&o, 1, &refused);
	EXPECT_EQ(a.answer, ORDER_REPLY_REFUSAL);
	EXPECT_EQ(a.verdict, VERDICT_NOT_RUN);
	EXPECT_EQ(a.reason, ORDER_REASON_STORE_UNAVAILABLE);
}

TEST(OrderRecord, KeysOfTwoOrganisationsNeverMeet)
{
	g_autofree char *a = order_object_name("ab", "c");
	g_autofree char *b = order_object_name("a", "bc");
	EXPECT_STRNE(a, b);
}

RC_GTEST_PROP(OrderRecord, ReadsBackWhatItWrote, ())
{
	const auto body = *rc::gen::arbitrary<std::string>();
	order_record r = {ORDER_DONE, "op", "digest"};
	order_result result = {201, (char *)"text/plain", (char *)body.data(),
			     body.size()};
	g_autofree char *text = order_record_to_json(&r, "org", &result);
	order_record back;
	order_result back_result;
	RC_ASSERT(order_record_parse(text, strlen(text), &back, &back_result));
	RC_ASSERT(back.state == ORDER_DONE);
	RC_ASSERT(back_result.status == 201);
	RC_ASSERT(std::string(back_result.body ? back_result.body : "",
			      back_result.len) == body);
	order_result_clear(&back_result);
}

// Whatever bytes stand under a key, they are a record or refused.
RC_GTEST_PROP(OrderRecord, RefusesGarbage, (const std::string &bytes))
{
	order_record r;
	order_result result;
	order_record_parse(bytes.data(), bytes.size(), &r, &result);
	order_result_clear(&result);
}

} // namespace
