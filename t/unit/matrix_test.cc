// The fault matrix of an order, in one process: every fault at every step,
// alone and together with every fault at the next step, each followed by a
// repeat of the same key at another node once all is well again. With
// MATRIX=1 in the environment a row is printed for each.
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
	kNone,
	kKill, // the node ends; what it was writing takes effect
	kKillLost, // the node ends; what it was writing is lost
	kFreeze, // the node wakes after the deadline
	kFreezeAtOnce, // the node is frozen right before it acts
	kStoreDown, // refused, no effect
	kAnswerLost, // effect, no answer
	kLateEffect, // no answer, effect much later
	kWriteLost, // no answer, no effect
	kOperatorRace, // another request takes the key first
	kServerSilent, // ran, no answer
	kServerGone, // could not be reached
	kCrossed, // ran, another request's answer came
	kFaults,
};

const char *const fault_names[] = {
	"none",	       "node killed",	  "node killed, write lost",	  "node frozen",  "node frozen before acting",
	"store down",  "answer lost",	  "effect late",  "write lost",
	"another first", "server silent", "server gone", "answer crossed",
};

enum Step { kClaim, kLook, kSend, kRecord, kSteps };
const char *const step_names[] = {"claim", "look", "send", "record"};

struct Stored {
	order_record record;
	uint64_t etag;
};

class Run {
public:
	int runs = 0;
	int first_runs = 0;
	bool killed = false;
	std::optional<order_action> answer;

	Run(Fault fault, Step step, Fault second)
		: fault_(fault), step_(step), second_(second)
	{
	}

	void first()
	{
		order_attempt o;
		go(o, order_start(&o, 0, "op-1", "digest", 1000), true);
		first_runs = runs;
	}

	order_action repeat(const char *operation)
	{
		order_attempt o;
		fault_ = second_ = kNone;
		while (!late_.empty()) {
			apply(late_.front());
			late_.pop_front();
		}
		now_ = 0;
		answer.reset();
		killed = false;
		go(o, order_start(&o, 0, operation, "digest", 1000), false);
		return answer.value_or(order_action{});
	}

private:
	Fault fault_;
	Step step_;
	Fault second_;
	uint64_t now_ = 0;
	uint64_t etag_ = 1;
	int store_calls_ = 0;
	std::optional<Stored> stored_;
	std::deque<order_action> late_;

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
			return kLook;
		}
	}

	// The fault that strikes now; the second follows at the next step.
	Fault strike(Step at)
	{
		if (at != step_)
			return kNone;
		Fault f = fault_;
		fault_ = second_;
		second_ = kNone;
		if (f != kNone)
			step_ = static_cast<Step>((at + 1) % kSteps);
		return f;
	}

	order_event store_event(const order_action &a, Fault f)
	{
		order_event e = {};
		bool read = a.kind == ORDER_ACTION_READ;
		if (f == kStoreDown) {
			e.kind = read ? ORDER_EVENT_STORE_UNKNOWN : ORDER_EVENT_STORE_REFUSED;
		} else if (f == kAnswerLost || f == kLateEffect ||
			   f == kWriteLost) {
			if (!read && f == kAnswerLost)
				apply(a);
			if (!read && f == kLateEffect)
				late_.push_back(a);
			e.kind = ORDER_EVENT_STORE_UNKNOWN;
		} else if (read) {
			e.kind = stored_ ? ORDER_EVENT_FOUND : ORDER_EVENT_ABSENT;
			if (stored_) {
				e.record = stored_->record;
				e.etag = stored_->etag;
			}
		} else {
			e.kind = apply(a) ? ORDER_EVENT_WRITTEN : ORDER_EVENT_CONFLICT;
			e.etag = stored_ ? stored_->etag : 0;
		}
		return e;
	}

	order_event server_event(Fault f)
	{
		order_event e = {};
		if (f == kServerGone) {
			e.kind = ORDER_EVENT_NOT_SENT;
			return e;
		}
		runs++;
		e.kind = f == kServerSilent || f == kCrossed ? ORDER_EVENT_NO_ANSWER :
							       ORDER_EVENT_ANSWERED;
		return e;
	}

	// Another request with the key gets in first, and runs.
	void race()
	{
		if (stored_)
			return;
		order_record r = {ORDER_DONE, "op-other", "digest"};
		stored_ = Stored{r, etag_++};
		runs++;
	}

	void take(const order_action &a)
	{
		if (a.answer == ORDER_REPLY_NONE)
			return;
		ASSERT_FALSE(answer.has_value()) << "answered twice";
		answer = a;
	}

	void go(order_attempt &o, order_action a, bool faulty)
	{
		for (int i = 0; i < 200; i++) {
			take(a);
			if (a.kind == ORDER_ACTION_END || a.kind == ORDER_ACTION_NONE)
				return;
			Fault f = faulty ? strike(step_of(o)) : kNone;
			if (f == kKill || f == kKillLost) {
				// Whatever was on its way is on its way.
				bool write = a.kind != ORDER_ACTION_SEND &&
					     a.kind != ORDER_ACTION_READ;
				if (write && f == kKill)
					late_.push_back(a);
				if (a.kind == ORDER_ACTION_SEND && f == kKill)
					runs++;
				killed = true;
				return;
			}
			if (f == kOperatorRace)
				race();
			if (f == kFreezeAtOnce)
				now_ += 5000;
			order_event e = a.kind == ORDER_ACTION_SEND ?
					      server_event(f) :
					      store_event(a, f);
			if (f == kFreeze)
				now_ += 5000;
			a = order_handle_event(&o, now_, &e);
		}
		ADD_FAILURE() << "never ends";
	}
};

const char *answer_name(const std::optional<order_action> &a, bool killed)
{
	if (!a)
		return killed ? "none, killed" : "none";
	if (a->answer == ORDER_REPLY_REFUSAL)
		return a->verdict == VERDICT_NOT_RUN ? "not run" : "may have run";
	return a->answer == ORDER_REPLY_RESULT ? "result" : "recorded result";
}

void check_row(Fault fault, Step step, Fault second, bool print)
{
	Run r(fault, step, second);
	r.first();
	std::optional<order_action> first = r.answer;
	bool killed = r.killed;
	int first_runs = r.first_runs;
	std::string what = std::string(fault_names[fault]) + " at " +
			   step_names[step] + ", then " + fault_names[second];

	EXPECT_LE(r.runs, 1) << what;
	EXPECT_TRUE(first || killed) << what << ": no answer";
	if (first && first->answer == ORDER_REPLY_REFUSAL &&
	    first->verdict == VERDICT_NOT_RUN) {
		EXPECT_EQ(first_runs, 0) << what;
	}
	order_action repeated = r.repeat("op-2");
	EXPECT_LE(r.runs, 1) << what << ", repeated";
	EXPECT_NE(repeated.answer, ORDER_REPLY_NONE) << what;
	if (repeated.answer == ORDER_REPLY_REFUSAL &&
	    repeated.verdict == VERDICT_NOT_RUN) {
		EXPECT_EQ(r.runs, 0) << what << ", repeated";
	}
	if (repeated.answer != ORDER_REPLY_REFUSAL) {
		EXPECT_EQ(r.runs, 1) << what << ", repeated";
	}
	if (print)
		printf("| %s | %s | %s | %s | %s | %d |\n", step_names[step],
		       fault_names[fault], fault_names[second],
		       answer_name(first, killed),
		       answer_name(repeated, false), r.runs);
}

TEST(Matrix, EveryFaultAtEveryStepOfAnOrder)
{
	bool print = getenv("MATRIX") != nullptr;
	int rows = 0;
	if (print)
		printf("| step | fault | and then | caller | repeat | runs |\n"
		       "|---|---|---|---|---|---|\n");
	for (int step = 0; step < kSteps; step++) {
		for (int fault = 0; fault < kFaults; fault++) {
			for (int second = 0; second < kFaults; second++) {
				if (fault == kNone && second != kNone)
					continue;
				check_row(static_cast<Fault>(fault),
					  static_cast<Step>(step),
					  static_cast<Fault>(second),
					  print && second == kNone);
				rows++;
			}
		}
	}
	printf("matrix: %d rows\n", rows);
}

} // namespace
