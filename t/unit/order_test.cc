// Orders run at most once, and a refusal as "not run" is true, for concurrent
// requests under one key with a store and a backend server that fail at random.
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

// The record under the key, as the store holds it.
struct Stored {
	order_record record;
	uint64_t etag;
};

// A conditional write of the record.
struct Write {
	order_action_kind kind;
	order_record record;
	uint64_t etag;
};

enum StoreFault {
	kNoFault,
	kReplyLost, // takes effect, reply lost
	kDelayedWrite, // reply lost, takes effect later
	kWriteLost, // reply lost, never takes effect
	kStoreRefuses,
	kStoreFaultCount,
};

enum ServerFault {
	kServerAnswers,
	kServerAnswerLost, // ran, but no complete answer
	kServerUnreachable,
	kServerFaultCount,
};

// One request with the key, at one node.
struct Client {
	order_attempt attempt;
	order_action action;
	uint64_t clock = 0;
	bool ended = false;
	bool killed = false;
	int replies = 0;
	order_reply reply = ORDER_REPLY_NONE;
	verdict_kind verdict = VERDICT_NOT_RUN;
	int sent = 0; // times that the request was sent
	std::string operation;
};

class Cluster {
public:
	std::optional<Stored> stored;
	uint64_t next_etag = 1;
	std::deque<Write> delayed_writes;
	std::vector<Client> clients;
	int runs = 0;
	std::map<std::string, int> runs_of;
	bool done_before = false;

	void start(int n, uint64_t deadline)
	{
		clients.resize(n);
		for (int i = 0; i < n; i++) {
			Client &c = clients[i];
			c.operation = "op-" + std::to_string(i);
			accept(c,
			       order_start(&c.attempt, 0, c.operation.c_str(),
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

	void accept(Client &c, order_action a)
	{
		c.action = a;
		if (a.reply != ORDER_REPLY_NONE) {
			c.replies++;
			c.reply = a.reply;
			c.verdict = a.verdict;
		}
		if (a.kind == ORDER_ACTION_END)
			c.ended = true;
	}

	void handle_event(Client &c, order_event e)
	{
		accept(c, order_handle_event(&c.attempt, c.clock, &e));
	}

	void store_write_step(Client &c, int fault)
	{
		order_event e = {};
		Write w = {c.action.kind, c.action.record, c.action.etag};
		switch (fault) {
		case kStoreRefuses:
			e.kind = ORDER_EVENT_STORE_REFUSED;
			break;
		case kReplyLost:
			apply(w);
			e.kind = ORDER_EVENT_STORE_UNKNOWN;
			break;
		case kDelayedWrite:
			delayed_writes.push_back(w);
			e.kind = ORDER_EVENT_STORE_UNKNOWN;
			break;
		case kWriteLost:
			e.kind = ORDER_EVENT_STORE_UNKNOWN;
			break;
		default:
			e.kind = apply(w) ? ORDER_EVENT_WRITTEN :
					    ORDER_EVENT_CONFLICT;
			e.etag = stored ? stored->etag : 0;
		}
		handle_event(c, e);
	}

	void store_read_step(Client &c, int fault)
	{
		order_event e = {};
		if (fault != kNoFault) {
			e.kind = ORDER_EVENT_STORE_UNKNOWN;
		} else if (!stored) {
			e.kind = ORDER_EVENT_ABSENT;
		} else {
			e.kind = ORDER_EVENT_FOUND;
			e.record = stored->record;
			e.etag = stored->etag;
		}
		handle_event(c, e);
	}

	void send_step(Client &c, int fault)
	{
		order_event e = {};
		c.sent++;
		if (fault != kServerUnreachable) {
			runs++;
			runs_of[c.operation]++;
		}
		e.kind = fault == kServerAnswers    ? ORDER_EVENT_ANSWERED :
			 fault == kServerAnswerLost ? ORDER_EVENT_NO_ANSWER :
						      ORDER_EVENT_NOT_SENT;
		handle_event(c, e);
	}

	void step(Client &c, int store_fault, int server_fault)
	{
		if (c.ended || c.killed)
			return;
		switch (c.action.kind) {
		case ORDER_ACTION_CREATE:
		case ORDER_ACTION_REPLACE:
			store_write_step(c, store_fault);
			return;
		case ORDER_ACTION_READ:
			store_read_step(c, store_fault);
			return;
		case ORDER_ACTION_SEND:
			send_step(c, server_fault);
			return;
		default:
			return;
		}
	}

	// Holds after every step of every run.
	void check_invariants()
	{
		RC_ASSERT(runs <= 1);
		for (const Client &c : clients) {
			RC_ASSERT(c.replies <= 1);
			bool refused = c.reply == ORDER_REPLY_REFUSAL;
			if (refused && c.verdict == VERDICT_NOT_RUN) {
				auto it = runs_of.find(c.operation);
				RC_ASSERT(it == runs_of.end());
			}
		}
	}
};

// One step of a random run, with the faults to inject. An incident of 0 to 2
// replaces the step by a kill, a pause or a delayed write; see run_steps.
struct Step {
	int client, store, server, incident;
};

rc::Gen<Step> genStep()
{
	return rc::gen::build<Step>(
		rc::gen::set(&Step::client, rc::gen::inRange(0, 5)),
		rc::gen::set(&Step::store, rc::gen::weightedElement<int>(
						   {{6, kNoFault},
						    {2, kReplyLost},
						    {2, kDelayedWrite},
						    {1, kWriteLost},
						    {1, kStoreRefuses}})),
		rc::gen::set(&Step::server, rc::gen::weightedElement<int>(
						    {{4, kServerAnswers},
						     {2, kServerAnswerLost},
						     {2, kServerUnreachable}})),
		rc::gen::set(&Step::incident, rc::gen::inRange(0, 12)));
}

void run_steps(Cluster &w, const std::vector<Step> &steps)
{
	for (const Step &s : steps) {
		Client &c = w.clients[s.client % w.clients.size()];
		switch (s.incident) {
		case 0: // the node is killed
			c.killed = true;
			break;
		case 1: // the process is paused past the deadline
			c.clock += 2000;
			break;
		case 2: // a delayed write reaches the store
			if (!w.delayed_writes.empty()) {
				w.apply(w.delayed_writes.front());
				w.delayed_writes.pop_front();
			}
			break;
		default:
			w.step(c, s.store, s.server);
		}
		w.check_invariants();
	}
}

RC_GTEST_PROP(Order, RunsAtMostOnceUnderAnyFaults, ())
{
	const auto steps = *rc::gen::container<std::vector<Step>>(genStep());
	Cluster w;
	w.start(4, 1000);
	run_steps(w, steps);
}

// Without faults one request runs; the others get its result or are refused as
// already running.
TEST(Order, OneRequestRunsAndTheOthersReplayOrAreRefused)
{
	Cluster w;
	w.start(3, 1000);
	for (int round = 0; round < 50; round++)
		for (Client &c : w.clients)
			w.step(c, kNoFault, kServerAnswers);
	EXPECT_EQ(w.runs, 1);
	for (Client &c : w.clients) {
		EXPECT_TRUE(c.ended);
		EXPECT_EQ(c.replies, 1);
	}
}

TEST(Order, RepeatAfterwardsGetsTheRecordedResult)
{
	Cluster w;
	w.start(1, 1000);
	while (!w.clients[0].ended)
		w.step(w.clients[0], kNoFault, kServerAnswers);
	Client again;
	w.clients.push_back(again);
	Client &c = w.clients[1];
	w.accept(c, order_start(&c.attempt, 0, "op-again", "digest", 1000));
	while (!c.ended)
		w.step(c, kNoFault, kServerAnswers);
	EXPECT_EQ(c.reply, ORDER_REPLY_RECORDED);
	EXPECT_EQ(w.runs, 1);
}

TEST(Order, ReleasedClaimCanBeTakenOver)
{
	Cluster w;
	w.start(1, 1000);
	while (!w.clients[0].ended)
		w.step(w.clients[0], kNoFault, kServerUnreachable);
	EXPECT_EQ(w.clients[0].verdict, VERDICT_NOT_RUN);
	Client again;
	w.clients.push_back(again);
	Client &c = w.clients[1];
	w.accept(c, order_start(&c.attempt, 0, "op-again", "digest", 1000));
	while (!c.ended)
		w.step(c, kNoFault, kServerAnswers);
	EXPECT_EQ(c.reply, ORDER_REPLY_RESULT);
	EXPECT_EQ(w.runs, 1);
}

TEST(Order, AnotherRequestUnderTheKeyIsRefused)
{
	Cluster w;
	w.start(1, 1000);
	while (!w.clients[0].ended)
		w.step(w.clients[0], kNoFault, kServerAnswers);
	order_attempt o;
	order_action a = order_start(&o, 0, "op-2", "other digest", 1000);
	order_event conflict = {ORDER_EVENT_CONFLICT, 0, {}};
	a = order_handle_event(&o, 0, &conflict);
	ASSERT_EQ(a.kind, ORDER_ACTION_READ);
	order_event found = {ORDER_EVENT_FOUND, w.stored->etag,
			     w.stored->record};
	a = order_handle_event(&o, 0, &found);
	EXPECT_EQ(a.reply, ORDER_REPLY_REFUSAL);
	EXPECT_EQ(a.reason, ORDER_REASON_KEY_REUSED);
	EXPECT_EQ(a.verdict, VERDICT_NOT_RUN);
}

TEST(Order, PausedPastTheDeadlineNeverSends)
{
	order_attempt o;
	order_start(&o, 0, "op", "digest", 1000);
	order_event written = {ORDER_EVENT_WRITTEN, 7, {}};
	order_action a = order_handle_event(&o, 5000, &written);
	EXPECT_EQ(a.kind, ORDER_ACTION_REPLACE);
	EXPECT_EQ(a.record.state, ORDER_RELEASED);
	EXPECT_EQ(a.reply, ORDER_REPLY_REFUSAL);
	EXPECT_EQ(a.verdict, VERDICT_NOT_RUN);
	EXPECT_EQ(a.reason, ORDER_REASON_DEADLINE_PASSED);
}

// The reply to the claim's write is lost, the deadline passes, and the write
// takes effect only then: the client is refused at once and the claim released.
TEST(Order, ClaimWrittenAfterTheRefusalIsReleased)
{
	order_attempt o;
	order_start(&o, 0, "op", "digest", 1000);
	order_event unknown = {ORDER_EVENT_STORE_UNKNOWN, 0, {}};
	order_action a = order_handle_event(&o, 5000, &unknown);
	EXPECT_EQ(a.reply, ORDER_REPLY_REFUSAL);
	EXPECT_EQ(a.verdict, VERDICT_NOT_RUN);
	ASSERT_EQ(a.kind, ORDER_ACTION_READ);
	order_event absent = {ORDER_EVENT_ABSENT, 0, {}};
	a = order_handle_event(&o, 5100, &absent);
	ASSERT_EQ(a.kind, ORDER_ACTION_READ);
	order_event found = {ORDER_EVENT_FOUND, 9, o.record};
	a = order_handle_event(&o, 5200, &found);
	EXPECT_EQ(a.kind, ORDER_ACTION_REPLACE);
	EXPECT_EQ(a.record.state, ORDER_RELEASED);
	EXPECT_EQ(a.etag, 9u);
	EXPECT_EQ(a.reply, ORDER_REPLY_NONE);
}

TEST(Order, StoreOutageRefusesWithFewCalls)
{
	order_attempt o;
	order_action a = order_start(&o, 0, "op", "digest", 60000);
	order_event refused = {ORDER_EVENT_STORE_REFUSED, 0, {}};
	a = order_handle_event(&o, 1, &refused);
	EXPECT_EQ(a.reply, ORDER_REPLY_REFUSAL);
	EXPECT_EQ(a.verdict, VERDICT_NOT_RUN);
	EXPECT_EQ(a.reason, ORDER_REASON_STORE_UNAVAILABLE);
}

TEST(OrderRecord, ObjectNamesOfTwoOrganisationsDiffer)
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

// Any bytes under a key are parsed as a record or rejected, without a crash.
RC_GTEST_PROP(OrderRecord, ParsesOrRejectsAnyBytes, (const std::string &bytes))
{
	order_record r;
	order_result result;
	order_record_parse(bytes.data(), bytes.size(), &r, &result);
	order_result_clear(&result);
}

} // namespace
