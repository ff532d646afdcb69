// Fault matrix of an order: every fault at every step, alone and followed by
// every fault at the next step. Each scenario ends with a repeat of the request
// under the same key at another node, without faults. MATRIX=1 in the
// environment prints the scenarios of a single fault as a table.
#include <gtest/gtest.h>

#include <cstdlib>
#include <deque>
#include <optional>
#include <string>

extern "C" {
#include "order/order.h"
}

namespace {

enum Fault {
	kNoFault,
	kKill, // the node is killed; its write or request takes effect
	kKillWriteLost, // the node is killed; its write or request is lost
	kPauseAfter, // the process is paused past the deadline
	kPauseBefore, // the same, right before the action
	kStoreDown, // the call is refused, no effect
	kReplyLost, // the write takes effect, no reply
	kDelayedWrite, // no reply, the write takes effect much later
	kWriteLost, // no reply, no effect
	kRivalRuns, // another request with the key runs first
	kServerSilent, // ran, but sent no answer
	kServerUnreachable, // could not be reached
	kIdMismatch, // ran, but the answer of another request came
	kFaultCount,
};

// Indexed by Fault; column of the printed table.
const char *const fault_names[] = {
	"none",
	"node killed",
	"node killed, write lost",
	"node frozen",
	"node frozen before acting",
	"store down",
	"answer lost",
	"effect late",
	"write lost",
	"another first",
	"server silent",
	"server gone",
	"answer crossed",
};

enum Step { kClaim, kRead, kSend, kRecord, kStepCount };
const char *const step_names[] = {"claim", "look", "send", "record"};

struct Stored {
	order_record record;
	uint64_t etag;
};

class Scenario {
public:
	int runs = 0;
	int runs_of_first = 0;
	bool killed = false;
	std::optional<order_action> reply;

	Scenario(Fault fault, Step step, Fault second)
		: fault_(fault), step_(step), second_(second)
	{
	}

	void run_first()
	{
		order_attempt o;
		run(o, order_start(&o, 0, "op-1", "digest", 1000), true);
		runs_of_first = runs;
	}

	order_action run_repeat(const char *operation)
	{
		order_attempt o;
		fault_ = second_ = kNoFault;
		while (!delayed_writes_.empty()) {
			apply(delayed_writes_.front());
			delayed_writes_.pop_front();
		}
		now_ = 0;
		reply.reset();
		killed = false;
		run(o, order_start(&o, 0, operation, "digest", 1000), false);
		return reply.value_or(order_action{});
	}

private:
	Fault fault_;
	Step step_;
	Fault second_;
	uint64_t now_ = 0;
	uint64_t etag_ = 1;
	int store_calls_ = 0;
	std::optional<Stored> stored_;
	std::deque<order_action> delayed_writes_;

	bool apply(const order_action &a)
	{
		bool ok = a.kind == ORDER_ACTION_CREATE ?
				  !stored_ :
				  stored_ && stored_->etag == a.etag;
		if (ok)
			stored_ = Stored{a.record, etag_++};
		return ok;
	}

	Step step_of(const order_attempt &o) const
	{
		switch (o.phase) {
		case ORDER_PHASE_CLAIM:
			return kClaim;
		case ORDER_PHASE_SEND:
			return kSend;
		case ORDER_PHASE_RECORD:
			return kRecord;
		default:
			return kRead;
		}
	}

	// Returns the fault to inject at this step. After the first fault the
	// second one is due at the step that follows.
	Fault next_fault(Step at)
	{
		if (at != step_)
			return kNoFault;
		Fault f = fault_;
		fault_ = second_;
		second_ = kNoFault;
		if (f != kNoFault)
			step_ = static_cast<Step>((at + 1) % kStepCount);
		return f;
	}

	order_event store_event(const order_action &a, Fault f)
	{
		order_event e = {};
		bool read = a.kind == ORDER_ACTION_READ;
		if (f == kStoreDown) {
			e.kind = read ? ORDER_EVENT_STORE_UNKNOWN :
					ORDER_EVENT_STORE_REFUSED;
		} else if (f == kReplyLost || f == kDelayedWrite ||
			   f == kWriteLost) {
			if (!read && f == kReplyLost)
				apply(a);
			if (!read && f == kDelayedWrite)
				delayed_writes_.push_back(a);
			e.kind = ORDER_EVENT_STORE_UNKNOWN;
		} else if (read) {
			e.kind = stored_ ? ORDER_EVENT_FOUND :
					   ORDER_EVENT_ABSENT;
			if (stored_) {
				e.record = stored_->record;
				e.etag = stored_->etag;
			}
		} else {
			e.kind = apply(a) ? ORDER_EVENT_WRITTEN :
					    ORDER_EVENT_CONFLICT;
			e.etag = stored_ ? stored_->etag : 0;
		}
		return e;
	}

	order_event server_event(Fault f)
	{
		order_event e = {};
		if (f == kServerUnreachable) {
			e.kind = ORDER_EVENT_NOT_SENT;
			return e;
		}
		runs++;
		e.kind = f == kServerSilent || f == kIdMismatch ?
				 ORDER_EVENT_NO_ANSWER :
				 ORDER_EVENT_ANSWERED;
		return e;
	}

	// Another request with the key runs before ours claims it.
	void run_rival()
	{
		if (stored_)
			return;
		order_record r = {ORDER_DONE, "op-other", "digest"};
		stored_ = Stored{r, etag_++};
		runs++;
	}

	void accept(const order_action &a)
	{
		if (a.reply == ORDER_REPLY_NONE)
			return;
		ASSERT_FALSE(reply.has_value()) << "answered twice";
		reply = a;
	}

	void run(order_attempt &o, order_action a, bool inject)
	{
		for (int i = 0; i < 200; i++) {
			accept(a);
			if (a.kind == ORDER_ACTION_END ||
			    a.kind == ORDER_ACTION_NONE)
				return;
			Fault f = inject ? next_fault(step_of(o)) : kNoFault;
			if (f == kKill || f == kKillWriteLost) {
				// kKill: what the node had sent still arrives.
				bool write = a.kind != ORDER_ACTION_SEND &&
					     a.kind != ORDER_ACTION_READ;
				if (write && f == kKill)
					delayed_writes_.push_back(a);
				if (a.kind == ORDER_ACTION_SEND && f == kKill)
					runs++;
				killed = true;
				return;
			}
			if (f == kRivalRuns)
				run_rival();
			if (f == kPauseBefore)
				now_ += 5000;
			order_event e = a.kind == ORDER_ACTION_SEND ?
						server_event(f) :
						store_event(a, f);
			if (f == kPauseAfter)
				now_ += 5000;
			a = order_handle_event(&o, now_, &e);
		}
		ADD_FAILURE() << "never ends";
	}
};

const char *reply_name(const std::optional<order_action> &a, bool killed)
{
	if (!a)
		return killed ? "none, killed" : "none";
	if (a->reply == ORDER_REPLY_REFUSAL)
		return a->verdict == VERDICT_NOT_RUN ? "not run" :
						       "may have run";
	return a->reply == ORDER_REPLY_RESULT ? "result" : "recorded result";
}

void check_scenario(Fault fault, Step step, Fault second, bool print)
{
	Scenario r(fault, step, second);
	r.run_first();
	std::optional<order_action> first = r.reply;
	bool killed = r.killed;
	int runs_of_first = r.runs_of_first;
	std::string what = std::string(fault_names[fault]) + " at " +
			   step_names[step] + ", then " + fault_names[second];

	EXPECT_LE(r.runs, 1) << what;
	EXPECT_TRUE(first || killed) << what << ": no answer";
	if (first && first->reply == ORDER_REPLY_REFUSAL &&
	    first->verdict == VERDICT_NOT_RUN) {
		EXPECT_EQ(runs_of_first, 0) << what;
	}
	order_action repeated = r.run_repeat("op-2");
	EXPECT_LE(r.runs, 1) << what << ", repeated";
	EXPECT_NE(repeated.reply, ORDER_REPLY_NONE) << what;
	if (repeated.reply == ORDER_REPLY_REFUSAL &&
	    repeated.verdict == VERDICT_NOT_RUN) {
		EXPECT_EQ(r.runs, 0) << what << ", repeated";
	}
	if (repeated.reply != ORDER_REPLY_REFUSAL) {
		EXPECT_EQ(r.runs, 1) << what << ", repeated";
	}
	if (print)
		printf("| %s | %s | %s | %s | %s | %d |\n", step_names[step],
		       fault_names[fault], fault_names[second],
		       reply_name(first, killed), reply_name(repeated, false),
		       r.runs);
}

TEST(Matrix, EveryFaultAtEveryStepOfAnOrder)
{
	bool print = getenv("MATRIX") != nullptr;
	int rows = 0;
	if (print)
		printf("| step | fault | and then | caller | repeat | runs |\n"
		       "|---|---|---|---|---|---|\n");
	for (int step = 0; step < kStepCount; step++) {
		for (int fault = 0; fault < kFaultCount; fault++) {
			for (int second = 0; second < kFaultCount; second++) {
				if (fault == kNoFault && second != kNoFault)
					continue;
				check_scenario(static_cast<Fault>(fault),
					       static_cast<Step>(step),
					       static_cast<Fault>(second),
					       print && second == kNoFault);
				rows++;
			}
		}
	}
	printf("matrix: %d rows\n", rows);
}

} // namespace
