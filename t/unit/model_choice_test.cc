// Tests the choice of the first model on simulated traffic, without a network:
// what clients get under each rule, in calm and under load.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <vector>

extern "C" {
#include "exchange/cascade.h"
#include "exchange/model-choice.h"
#include "rng.h"
}

namespace {

const size_t kModels = 3;
const double kPace[kModels] = {0.3, 0.8, 3};
const double kObjectiveMs = 2000, kDeadlineMs = 15000;
const double kStepMs = 2.97, kTokensPerMs = 101, kEvents = 150;

enum rule { SMALLEST, LARGEST, TODAY, CHOICE, ORACLE };

struct Outcome {
	int requests = 0, in_time = 0, arrivals = 0;
	double good_in_time() const
	{
		return (double)in_time / requests;
	}
	double arrivals_per_request() const
	{
		return (double)arrivals / requests;
	}
};

// A class of requests: prompt tokens and how often each model is good enough.
struct Kind {
	uint32_t tokens;
	double small, middle;
};

// Engines of 16 slots: prompts are read one after the other, and the steps of what
// runs beside them slow them down.
struct Site {
	static const int kEngines = 8;
	double busy_until[kEngines] = {};
	rng r;
	model_choice m;
	explicit Site(uint64_t seed)
	{
		rng_seed(&r, seed);
		model_choice_init(&m);
	}
	~Site()
	{
		model_choice_clear(&m);
	}
	int engine() const
	{
		return (int)(std::min_element(busy_until,
					      busy_until + kEngines) -
			     busy_until);
	}
	double estimate(double now, size_t model, uint32_t tokens) const
	{
		return 6 + std::max(busy_until[engine()] - now, 0.0) +
		       tokens / kTokensPerMs * kPace[model];
	}
	// Returns the time to the first event; the rest of the answer takes its part
	// of the engine only if it is kept.
	double run(double now, size_t model, uint32_t tokens, bool kept)
	{
		double &busy = busy_until[engine()];
		busy = std::max(busy, now) +
		       tokens / kTokensPerMs * kPace[model];
		double first = busy - now + 6;
		if (kept)
			busy += kEvents * kStepMs * kPace[model] / 16;
		return first * (0.8 + 0.4 * rng_unit(&r));
	}
};

void describe(const Site &s, double at, const model_key &key, uint32_t tokens,
	      model_option *o)
{
	for (size_t i = 0; i < kModels; i++) {
		o[i].first_event_ms = s.estimate(at, i, tokens);
		o[i].rest_ms = kEvents * kStepMs * kPace[i];
		o[i].work = kPace[i] / kPace[kModels - 1];
		o[i].belief = model_choice_belief(&s.m, (uint64_t)at, &key, i);
	}
}

// Plays traffic of `per_s` requests; the kinds at a time are those of kind_at.
// Counts from the time `from` on.
Outcome play(rule rule, double per_s, double seconds,
	     const std::function<Kind(double, rng *)> &kind_at, double from = 0)
{
	Site s(1);
	Outcome out;
	rng r;
	rng_seed(&r, 7);
	for (double now = 1; now < 1000 * seconds;
	     now += -std::log(1 - rng_unit(&r)) * 1000 / per_s) {
		Kind k = kind_at(now, &r);
		double quality = rng_unit(&r), draw = rng_unit(&r);
		const double good_below[kModels] = {k.small, k.middle, 1};
		auto is_good = [&](size_t i) { return quality < good_below[i]; };
		model_key key = {1, k.tokens, 0};
		model_option o[kModels];
		enum model_reason why;
		size_t model = rule == LARGEST ? kModels - 1 : 0;
		describe(s, now, key, k.tokens, o);
		model_situation at = {kObjectiveMs, kObjectiveMs, kDeadlineMs, 1,
				      draw};
		if (rule == CHOICE)
			model = model_choice_first(o, kModels, &at, &why);
		if (rule == ORACLE)
			while (!is_good(model))
				model++;
		bool second = false, good = is_good(model);
		size_t next = model;
		if (!good && rule == TODAY) {
			double left =
				kObjectiveMs - o[model].first_event_ms;
			double chance = cascade_chance_in_time(
				left, o[kModels - 1].first_event_ms);
			second = 0.4 < 0.75 * chance;
			next = kModels - 1;
		}
		if (!good && rule == CHOICE) {
			model_situation later = at;
			double value;
			later.objective_left_ms -= o[model].first_event_ms;
			later.deadline_left_ms -= o[model].first_event_ms;
			next = model_choice_next(o, kModels, model, &later,
						 &value);
			second = next != model;
		}
		double first = s.run(now, model, k.tokens, !second);
		if (model + 1 < kModels)
			model_choice_add(&s.m, (uint64_t)now, &key, model, good);
		if (second) {
			first += s.run(now + first, next, k.tokens, true);
			good = is_good(next);
		}
		if (now < 1000 * from)
			continue;
		out.requests++;
		out.arrivals += 1 + second;
		out.in_time += good && first <= kObjectiveMs;
	}
	return out;
}

void print(const char *what, const Outcome &o)
{
	printf("%-28s good in time %.3f, arrivals %.2f\n", what,
	       o.good_in_time(), o.arrivals_per_request());
}

Kind mixed(double, rng *r)
{
	return rng_below(r, 2) ? Kind{826, 0.7, 0.85} : Kind{11992, 0.04, 0.5};
}

struct Results {
	Outcome smallest, largest, today, choice, oracle;
	Results(const char *what, double per_s,
		const std::function<Kind(double, rng *)> &kind)
	{
		Outcome *const all[] = {&smallest, &largest, &today, &choice,
					&oracle};
		const char *const names[] = {"smallest", "largest", "today",
					     "choice", "oracle"};
		for (int i = 0; i < 5; i++) {
			*all[i] = play((rule)i, per_s, 120, kind, 30);
			print((std::string(what) + " " + names[i]).c_str(),
			      *all[i]);
		}
	}
};

// Load: few requests. Guards against losing good answers where time is plenty.
TEST(ModelChoice, IsAsGoodAsAnyRuleInCalm)
{
	Results r("calm", 8, mixed);
	EXPECT_GE(r.choice.good_in_time(), r.today.good_in_time() - 0.01);
	EXPECT_GE(r.choice.good_in_time(), r.largest.good_in_time() - 0.02);
	EXPECT_LT(r.choice.arrivals_per_request(),
		  r.today.arrivals_per_request() - 0.1);
}

// Load: more than the largest model alone could serve in time. Guards against first
// runs that only delay, and against asking the largest for all.
TEST(ModelChoice, ServesMoreInTimeUnderLoad)
{
	Results r("load", 36, mixed);
	EXPECT_GT(r.choice.good_in_time(), r.today.good_in_time());
	EXPECT_GT(r.choice.good_in_time(), r.smallest.good_in_time());
	EXPECT_GT(r.choice.good_in_time(), r.largest.good_in_time());
	EXPECT_LT(r.choice.arrivals_per_request(),
		  r.today.arrivals_per_request());
}

// Load: twice what the largest model could serve. Guards against a
// choice of larger models that makes an overload worse.
TEST(ModelChoice, GivesUpQualityRatherThanTimeInOverload)
{
	Results r("overload", 60, mixed);
	EXPECT_GT(r.choice.good_in_time(), r.today.good_in_time());
	EXPECT_GT(r.choice.good_in_time(), r.smallest.good_in_time());
}

// A model becomes worse in the middle. Guards against evidence that outlives what
// it was about.
TEST(ModelChoice, FollowsAModelThatTurnsWorse)
{
	auto turning = [](double now, rng *) {
		return Kind{11992, now < 120000 ? 0.9 : 0.02, 0.95};
	};
	Outcome before = play(CHOICE, 10, 120, turning, 60);
	Outcome after = play(CHOICE, 10, 480, turning, 360);
	print("before the turn", before);
	print("after the turn", after);
	EXPECT_LT(before.arrivals_per_request(), 1.2);
	EXPECT_LT(after.arrivals_per_request(), 1.2);
	EXPECT_GT(after.good_in_time(), 0.9);
}

struct Options {
	model_option o[kModels] = {};
	model_situation s = {2000, 2000, 15000, 1, 1};
	enum model_reason why;
	Options(double small, double middle, double tried)
	{
		const double ms[kModels] = {40, 100, 400};
		for (size_t i = 0; i < kModels; i++) {
			o[i].first_event_ms = ms[i];
			o[i].work = kPace[i] / kPace[kModels - 1];
		}
		o[0].belief = {small, 0.02, tried};
		o[1].belief = {middle, 0.02, tried};
	}
	size_t first()
	{
		return model_choice_first(o, kModels, &s, &why);
	}
};

// Guards against a change of what is done without evidence.
TEST(ModelChoice, AsksTheSmallestWithoutEvidence)
{
	Options x(0.01, 0.5, 7);
	EXPECT_EQ(x.first(), 0u);
	x.s.objective_left_ms = 100;
	EXPECT_EQ(x.first(), 0u);
}

TEST(ModelChoice, AsksALargerOneWhereTheFirstRunWouldBeWasted)
{
	Options rare(0.02, 0.05, 100), usual(0.6, 0.7, 100);
	EXPECT_EQ(rare.first(), 2u);
	EXPECT_EQ(rare.why, MODEL_REASON_VALUE);
	EXPECT_EQ(usual.first(), 0u);
	Options late(0.2, 0.25, 100);
	late.o[0].first_event_ms = 200;
	late.o[1].first_event_ms = 250;
	EXPECT_EQ(late.first(), 0u);
	late.s.objective_left_ms = 560;
	EXPECT_EQ(late.first(), 2u) << "a second run would come too late";
}

// Guards against second runs that the retry budget does not allow.
TEST(ModelChoice, AsksALargerOneIfNoSecondRunIsAllowed)
{
	Options x(0.6, 0.62, 100);
	EXPECT_EQ(x.first(), 0u);
	x.s.escalation_chance = 0;
	EXPECT_EQ(x.first(), 2u);
}

// Guards against keeping an answer that is worth nothing for one that comes late,
// and against a larger run that cannot end before the deadline.
TEST(ModelChoice, AWeakAnswerIsKeptOnlyIfNoneCanFollow)
{
	Options x(0.5, 0.55, 100);
	double value;
	x.s.objective_left_ms = 50;
	EXPECT_EQ(model_choice_next(x.o, kModels, 0, &x.s, &value), 2u);
	x.s.deadline_left_ms = 100;
	EXPECT_EQ(model_choice_next(x.o, kModels, 0, &x.s, &value), 0u);
	Options middle(0.3, 0.98, 100);
	middle.s.objective_left_ms = 400; // in time only with the middle one
	EXPECT_EQ(model_choice_next(middle.o, kModels, 0, &middle.s, &value),
		  1u);
}

TEST(ModelChoice, EvidenceAgesAndIsKeptByPart)
{
	model_choice m;
	model_choice_init(&m);
	const model_key good = {1, 1000, 11}, bad = {1, 1000, 12},
			other = {1, 100, 0};
	for (int i = 0; i < 40; i++) {
		model_choice_add(&m, 1000, &good, 0, true);
		model_choice_add(&m, 1000, &bad, 0, false);
	}
	EXPECT_GT(model_choice_belief(&m, 1000, &good, 0).mean, 0.9);
	EXPECT_LT(model_choice_belief(&m, 1000, &bad, 0).mean, 0.1);
	EXPECT_NEAR(model_choice_belief(&m, 1000, &other, 0).mean, 0.5, 0.05);
	EXPECT_EQ(model_choice_belief(&m, 1000, &other, 0).tried, 0);
	EXPECT_LT(model_choice_belief(&m, 1000 + 5 * MODEL_CHOICE_HALF_LIFE_MS,
				      &bad, 0)
			  .tried,
		  8);
	model_choice_clear(&m);
}

} // namespace
