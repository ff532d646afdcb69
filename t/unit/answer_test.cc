// Answers: each caller gets the whole answer to its own request, whatever
// arrives late, doubled, crossed, with gaps or cut off.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "answer/answer.h"
}

namespace {

std::string event(const std::string &id, int offset)
{
	return "data: {\"id\":\"" + id + "\",\"offset\":" +
	       std::to_string(offset) +
	       ",\"choices\":[{\"delta\":{\"content\":\"" + "t" +
	       std::to_string(offset) + " \"}}]}\n\n";
}

std::string tail(const std::string &id, int count)
{
	return "data: {\"id\":\"" + id + "\",\"offset\":" +
	       std::to_string(count) +
	       ",\"choices\":[],\"usage\":{\"prompt_tokens\":3,"
	       "\"completion_tokens\":5}}\n\n"
	       "data: [DONE]\n\n";
}

void collect(void *user, const char *data, size_t len)
{
	static_cast<std::string *>(user)->append(data, len);
}

// An answer whose memory ends with the test.
struct Answer {
	answer_relay a;
	std::string got;
	explicit Answer(bool streamed) { answer_init(&a, "req", streamed); }
	~Answer() { answer_clear(&a); }
	bool data(const std::string &bytes)
	{
		return answer_on_data(&a, bytes.data(), bytes.size(), collect, &got);
	}
};

std::string whole(int tokens)
{
	std::string s;
	for (int i = 0; i < tokens; i++)
		s += event("req", i);
	return s + tail("req", tokens);
}

TEST(Answer, StreamInPiecesArrivesWhole)
{
	Answer x(true);
	std::string s = whole(5);
	answer_begin_attempt(&x.a);
	ASSERT_TRUE(answer_on_head(&x.a, 200, "req"));
	for (char c : s)
		ASSERT_TRUE(x.data(std::string(1, c)));
	EXPECT_TRUE(answer_on_end(&x.a, ANSWER_END_COMPLETE));
	EXPECT_EQ(x.got, s);
	EXPECT_EQ(x.a.usage.output_tokens, 5u);
	EXPECT_EQ(x.a.verdict, VERDICT_RAN);
}

TEST(Answer, TheUsageEventGetsChoicesIfItHasNone)
{
	Answer x(true);
	std::string s = whole(5), bare = s;
	bare.erase(bare.find("\"choices\":[],"), strlen("\"choices\":[],"));
	answer_begin_attempt(&x.a);
	ASSERT_TRUE(answer_on_head(&x.a, 200, "req"));
	ASSERT_TRUE(x.data(bare));
	EXPECT_TRUE(answer_on_end(&x.a, ANSWER_END_COMPLETE));
	size_t at = x.got.find("\"usage\"");
	ASSERT_NE(at, std::string::npos);
	EXPECT_NE(x.got.find("\"choices\":[]"), std::string::npos);
	EXPECT_EQ(x.got.substr(x.got.size() - 14), "data: [DONE]\n\n");
}

TEST(Answer, HeadOfAnotherRequestIsDropped)
{
	Answer x(true);
	answer_begin_attempt(&x.a);
	EXPECT_FALSE(answer_on_head(&x.a, 200, "other"));
	EXPECT_FALSE(x.data(whole(5)));
	EXPECT_EQ(x.got, "");
	EXPECT_EQ(x.a.fault, ANSWER_FAULT_ID_MISMATCH);
}

TEST(Answer, HeadWithoutAnIdIsDropped)
{
	Answer x(true);
	answer_begin_attempt(&x.a);
	EXPECT_FALSE(answer_on_head(&x.a, 200, nullptr));
	EXPECT_EQ(x.a.fault, ANSWER_FAULT_ID_MISMATCH);
}

TEST(Answer, RefusalOfAnEngineIsNotRun)
{
	Answer x(true);
	answer_begin_attempt(&x.a);
	EXPECT_FALSE(answer_on_head(&x.a, 503, "req"));
	EXPECT_FALSE(answer_on_end(&x.a, ANSWER_END_TRUNCATED));
	EXPECT_EQ(x.a.verdict, VERDICT_NOT_RUN);
	EXPECT_EQ(answer_next_step(&x.a, true), ANSWER_STEP_RETRY);
	EXPECT_EQ(answer_next_step(&x.a, false), ANSWER_STEP_GIVE_UP);
}

TEST(Answer, NotRunDoesNotComeBackAfterAnAttemptThatMayHaveRun)
{
	Answer x(true);
	answer_begin_attempt(&x.a);
	answer_on_head(&x.a, 200, "req");
	answer_on_end(&x.a, ANSWER_END_TRUNCATED);
	answer_begin_attempt(&x.a);
	answer_on_head(&x.a, 503, "req");
	answer_on_end(&x.a, ANSWER_END_TRUNCATED);
	EXPECT_NE(x.a.verdict, VERDICT_NOT_RUN);
}

TEST(Answer, CutStreamResumesFromWhereItEnded)
{
	Answer x(true);
	answer_begin_attempt(&x.a);
	answer_on_head(&x.a, 200, "req");
	x.data(event("req", 0) + event("req", 1) + "data: {\"id\":\"re");
	EXPECT_FALSE(answer_on_end(&x.a, ANSWER_END_TRUNCATED));
	EXPECT_EQ(answer_next_step(&x.a, true), ANSWER_STEP_RESUME);
	EXPECT_EQ(x.a.next_offset, 2u);
	answer_begin_attempt(&x.a);
	answer_on_head(&x.a, 200, "req");
	x.data(event("req", 2) + tail("req", 3));
	EXPECT_TRUE(answer_on_end(&x.a, ANSWER_END_COMPLETE));
	EXPECT_EQ(x.got, whole(3));
}

TEST(Answer, EndWithoutTheEndMarkIsNotWhole)
{
	Answer x(true);
	answer_begin_attempt(&x.a);
	answer_on_head(&x.a, 200, "req");
	x.data(event("req", 0));
	EXPECT_FALSE(answer_on_end(&x.a, ANSWER_END_COMPLETE));
}

TEST(Answer, LastEventMissingIsNotWhole)
{
	Answer x(true);
	answer_begin_attempt(&x.a);
	answer_on_head(&x.a, 200, "req");
	EXPECT_FALSE(x.data(event("req", 0) + tail("req", 2)));
	EXPECT_EQ(x.a.fault, ANSWER_FAULT_GAP);
	EXPECT_EQ(x.got, event("req", 0));
}

TEST(Answer, WholeAnswerIsPutTogetherAndResumed)
{
	Answer x(false);
	answer_begin_attempt(&x.a);
	answer_on_head(&x.a, 200, "req");
	x.data(event("req", 0) + event("req", 1));
	EXPECT_FALSE(answer_on_end(&x.a, ANSWER_END_TRUNCATED));
	EXPECT_EQ(answer_next_step(&x.a, true), ANSWER_STEP_RESUME);
	answer_begin_attempt(&x.a);
	answer_on_head(&x.a, 200, "req");
	x.data(event("req", 1) + event("req", 2) + tail("req", 3));
	EXPECT_TRUE(answer_on_end(&x.a, ANSWER_END_COMPLETE));
	g_autofree char *text = answer_to_json(&x.a, "quill@3");
	EXPECT_NE(std::string(text).find("\"t0 t1 t2 \""), std::string::npos);
	EXPECT_NE(std::string(text).find("\"id\":\"req\""), std::string::npos);
}

TEST(Answer, RestartForAnotherVersionForgetsTheFirstAnswer)
{
	Answer x(false);
	answer_begin_attempt(&x.a);
	answer_on_head(&x.a, 200, "req");
	x.data(event("req", 0) + tail("req", 1));
	ASSERT_TRUE(answer_on_end(&x.a, ANSWER_END_COMPLETE));
	answer_restart(&x.a);
	answer_begin_attempt(&x.a);
	answer_on_head(&x.a, 200, "req");
	x.data(event("req", 0) + event("req", 1) + tail("req", 2));
	EXPECT_TRUE(answer_on_end(&x.a, ANSWER_END_COMPLETE));
	EXPECT_STREQ(x.a.text->str, "t0 t1 ");
}

TEST(Answer, EndlessEventIsGivenUp)
{
	Answer x(true);
	answer_begin_attempt(&x.a);
	answer_on_head(&x.a, 200, "req");
	EXPECT_FALSE(x.data("data: " + std::string(300 * 1024, 'x')));
	answer_on_end(&x.a, ANSWER_END_TRUNCATED);
	EXPECT_EQ(answer_next_step(&x.a, true), ANSWER_STEP_GIVE_UP);
}

// What one attempt sends, event by event.
struct Attempt {
	std::vector<int> faults; // one an event: 0 none, 1 twice, 2 left out,
				 // 3 crossed, 4 cut here, 5 garbage
	bool crossed_head;
};

// Random attempts: what the caller has is always the beginning of the right
// answer, and if it is said to be whole, it is all of it.
RC_GTEST_PROP(Answer, CallerHasABeginningOfItsOwnAnswer, ())
{
	const int tokens = *rc::gen::inRange(1, 12);
	const auto attempts = *rc::gen::container<std::vector<Attempt>>(
		rc::gen::build<Attempt>(
			rc::gen::set(&Attempt::faults,
				     rc::gen::container<std::vector<int>>(
					     16,
					     rc::gen::weightedElement<int>(
						     {{30, 0},
						      {3, 1},
						      {1, 2},
						      {1, 3},
						      {1, 4},
						      {1, 5}}))),
			rc::gen::set(&Attempt::crossed_head,
				     rc::gen::weightedElement<bool>(
					     {{5, false}, {1, true}}))));
	const std::string right = whole(tokens);
	Answer x(true);
	bool done = false;

	for (const Attempt &t : attempts) {
		if (done)
			break;
		answer_begin_attempt(&x.a);
		bool cut = false;
		bool on = answer_on_head(&x.a, 200,
				      t.crossed_head ? "other" : "req");
		for (int i = x.a.next_offset; on && !cut && i < tokens; i++) {
			switch (t.faults[i]) {
			case 1:
				on = x.data(event("req", i) + event("req", i));
				break;
			case 2:
				break;
			case 3:
				on = x.data(event("other", i));
				break;
			case 4:
				cut = true;
				break;
			case 5:
				on = x.data("data: {nonsense\n\n");
				break;
			default:
				on = x.data(event("req", i));
			}
		}
		if (on && !cut)
			on = x.data(tail("req", tokens));
		done = answer_on_end(&x.a, cut || !on ? ANSWER_END_TRUNCATED :
						     ANSWER_END_COMPLETE);
		RC_ASSERT(right.compare(0, x.got.size(), x.got) == 0);
		if (done)
			RC_ASSERT(x.got == right);
	}
}

RC_GTEST_PROP(Answer, AnyBytesAreTakenOrRefused,
	      (const std::string &bytes, bool streamed))
{
	Answer x(streamed);
	answer_begin_attempt(&x.a);
	answer_on_head(&x.a, 200, "req");
	x.data(bytes);
	RC_ASSERT(!answer_on_end(&x.a, ANSWER_END_COMPLETE));
	RC_ASSERT(x.got.empty());
}

} // namespace
