// A client gets the complete answer to its own request, or a beginning of it,
// when events are repeated, missing, malformed, truncated or of another request.
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
	return "data: {\"id\":\"" + id +
	       "\",\"offset\":" + std::to_string(offset) +
	       ",\"choices\":[{\"delta\":{\"content\":\"" + "t" +
	       std::to_string(offset) + " \"}}]}\n\n";
}

std::string end_events(const std::string &id, int count)
{
	return "data: {\"id\":\"" + id +
	       "\",\"offset\":" + std::to_string(count) +
	       ",\"choices\":[],\"usage\":{\"prompt_tokens\":3,"
	       "\"completion_tokens\":5}}\n\n"
	       "data: [DONE]\n\n";
}

void collect(void *user, const char *data, size_t len)
{
	static_cast<std::string *>(user)->append(data, len);
}

// A relay that frees its memory at the end of the test, and what it passed on.
struct TestRelay {
	answer_relay relay;
	std::string received;
	explicit TestRelay(bool streamed)
	{
		answer_init(&relay, "req", streamed);
	}
	~TestRelay() { answer_clear(&relay); }
	bool feed(const std::string &bytes)
	{
		return answer_on_data(&relay, bytes.data(), bytes.size(),
				      collect, &received);
	}
};

std::string full_stream(int tokens)
{
	std::string s;
	for (int i = 0; i < tokens; i++)
		s += event("req", i);
	return s + end_events("req", tokens);
}

TEST(Answer, StreamInPiecesArrivesComplete)
{
	TestRelay x(true);
	std::string s = full_stream(5);
	answer_begin_attempt(&x.relay);
	ASSERT_TRUE(answer_on_head(&x.relay, 200, "req"));
	for (char c : s)
		ASSERT_TRUE(x.feed(std::string(1, c)));
	EXPECT_TRUE(answer_on_end(&x.relay, ANSWER_END_COMPLETE));
	EXPECT_EQ(x.received, s);
	EXPECT_EQ(x.relay.usage.output_tokens, 5u);
	EXPECT_EQ(x.relay.verdict, VERDICT_RAN);
}

TEST(Answer, TheUsageEventGetsChoicesIfItHasNone)
{
	TestRelay x(true);
	std::string s = full_stream(5), bare = s;
	bare.erase(bare.find("\"choices\":[],"), strlen("\"choices\":[],"));
	answer_begin_attempt(&x.relay);
	ASSERT_TRUE(answer_on_head(&x.relay, 200, "req"));
	ASSERT_TRUE(x.feed(bare));
	EXPECT_TRUE(answer_on_end(&x.relay, ANSWER_END_COMPLETE));
	size_t at = x.received.find("\"usage\"");
	ASSERT_NE(at, std::string::npos);
	EXPECT_NE(x.received.find("\"choices\":[]"), std::string::npos);
	EXPECT_EQ(x.received.substr(x.received.size() - 14),
		  "data: [DONE]\n\n");
}

TEST(Answer, HeadOfAnotherRequestIsDropped)
{
	TestRelay x(true);
	answer_begin_attempt(&x.relay);
	EXPECT_FALSE(answer_on_head(&x.relay, 200, "other"));
	EXPECT_FALSE(x.feed(full_stream(5)));
	EXPECT_EQ(x.received, "");
	EXPECT_EQ(x.relay.fault, ANSWER_FAULT_ID_MISMATCH);
}

TEST(Answer, HeadWithoutAnIdIsDropped)
{
	TestRelay x(true);
	answer_begin_attempt(&x.relay);
	EXPECT_FALSE(answer_on_head(&x.relay, 200, nullptr));
	EXPECT_EQ(x.relay.fault, ANSWER_FAULT_ID_MISMATCH);
}

TEST(Answer, RefusalOfAnEngineIsNotRun)
{
	TestRelay x(true);
	answer_begin_attempt(&x.relay);
	EXPECT_FALSE(answer_on_head(&x.relay, 503, "req"));
	EXPECT_FALSE(answer_on_end(&x.relay, ANSWER_END_TRUNCATED));
	EXPECT_EQ(x.relay.verdict, VERDICT_NOT_RUN);
	EXPECT_EQ(answer_next_step(&x.relay, true), ANSWER_STEP_RETRY);
	EXPECT_EQ(answer_next_step(&x.relay, false), ANSWER_STEP_GIVE_UP);
}

TEST(Answer, NotRunDoesNotComeBackAfterAnAttemptThatMayHaveRun)
{
	TestRelay x(true);
	answer_begin_attempt(&x.relay);
	answer_on_head(&x.relay, 200, "req");
	answer_on_end(&x.relay, ANSWER_END_TRUNCATED);
	answer_begin_attempt(&x.relay);
	answer_on_head(&x.relay, 503, "req");
	answer_on_end(&x.relay, ANSWER_END_TRUNCATED);
	EXPECT_NE(x.relay.verdict, VERDICT_NOT_RUN);
}

TEST(Answer, TruncatedStreamResumesAtTheNextOffset)
{
	TestRelay x(true);
	answer_begin_attempt(&x.relay);
	answer_on_head(&x.relay, 200, "req");
	x.feed(event("req", 0) + event("req", 1) + "data: {\"id\":\"re");
	EXPECT_FALSE(answer_on_end(&x.relay, ANSWER_END_TRUNCATED));
	EXPECT_EQ(answer_next_step(&x.relay, true), ANSWER_STEP_RESUME);
	EXPECT_EQ(x.relay.next_offset, 2u);
	answer_begin_attempt(&x.relay);
	answer_on_head(&x.relay, 200, "req");
	x.feed(event("req", 2) + end_events("req", 3));
	EXPECT_TRUE(answer_on_end(&x.relay, ANSWER_END_COMPLETE));
	EXPECT_EQ(x.received, full_stream(3));
}

TEST(Answer, EndWithoutTheEndMarkerIsIncomplete)
{
	TestRelay x(true);
	answer_begin_attempt(&x.relay);
	answer_on_head(&x.relay, 200, "req");
	x.feed(event("req", 0));
	EXPECT_FALSE(answer_on_end(&x.relay, ANSWER_END_COMPLETE));
}

TEST(Answer, MissingLastEventIsDetected)
{
	TestRelay x(true);
	answer_begin_attempt(&x.relay);
	answer_on_head(&x.relay, 200, "req");
	EXPECT_FALSE(x.feed(event("req", 0) + end_events("req", 2)));
	EXPECT_EQ(x.relay.fault, ANSWER_FAULT_GAP);
	EXPECT_EQ(x.received, event("req", 0));
}

TEST(Answer, UnstreamedAnswerIsAssembledOverTwoAttempts)
{
	TestRelay x(false);
	answer_begin_attempt(&x.relay);
	answer_on_head(&x.relay, 200, "req");
	x.feed(event("req", 0) + event("req", 1));
	EXPECT_FALSE(answer_on_end(&x.relay, ANSWER_END_TRUNCATED));
	EXPECT_EQ(answer_next_step(&x.relay, true), ANSWER_STEP_RESUME);
	answer_begin_attempt(&x.relay);
	answer_on_head(&x.relay, 200, "req");
	x.feed(event("req", 1) + event("req", 2) + end_events("req", 3));
	EXPECT_TRUE(answer_on_end(&x.relay, ANSWER_END_COMPLETE));
	g_autofree char *text = answer_to_json(&x.relay, "quill@3");
	EXPECT_NE(std::string(text).find("\"t0 t1 t2 \""), std::string::npos);
	EXPECT_NE(std::string(text).find("\"id\":\"req\""), std::string::npos);
}

TEST(Answer, RestartForAnotherVersionDiscardsTheFirstAnswer)
{
	TestRelay x(false);
	answer_begin_attempt(&x.relay);
	answer_on_head(&x.relay, 200, "req");
	x.feed(event("req", 0) + end_events("req", 1));
	ASSERT_TRUE(answer_on_end(&x.relay, ANSWER_END_COMPLETE));
	answer_restart(&x.relay);
	answer_begin_attempt(&x.relay);
	answer_on_head(&x.relay, 200, "req");
	x.feed(event("req", 0) + event("req", 1) + end_events("req", 2));
	EXPECT_TRUE(answer_on_end(&x.relay, ANSWER_END_COMPLETE));
	EXPECT_STREQ(x.relay.text->str, "t0 t1 ");
}

TEST(Answer, OversizedEventEndsTheAnswer)
{
	TestRelay x(true);
	answer_begin_attempt(&x.relay);
	answer_on_head(&x.relay, 200, "req");
	EXPECT_FALSE(x.feed("data: " + std::string(300 * 1024, 'x')));
	answer_on_end(&x.relay, ANSWER_END_TRUNCATED);
	EXPECT_EQ(answer_next_step(&x.relay, true), ANSWER_STEP_GIVE_UP);
}

enum EventFault {
	kNoFault,
	kSentTwice,
	kLeftOut,
	kOtherId, // the event carries the id of another request
	kTruncated, // the connection breaks before the event
	kMalformed,
};

// What an engine sends in one attempt.
struct Attempt {
	std::vector<int> faults; // of each event
	bool other_id_in_head;
};

// Over random attempts, what the client has received is always a prefix of the
// expected answer, and all of it once the relay reports completion.
RC_GTEST_PROP(Answer, ClientReceivesAPrefixOfItsOwnAnswer, ())
{
	const int tokens = *rc::gen::inRange(1, 12);
	const auto attempts = *rc::gen::container<std::vector<Attempt>>(
		rc::gen::build<Attempt>(
			rc::gen::set(&Attempt::faults,
				     rc::gen::container<std::vector<int>>(
					     16, rc::gen::weightedElement<int>(
							 {{30, kNoFault},
							  {3, kSentTwice},
							  {1, kLeftOut},
							  {1, kOtherId},
							  {1, kTruncated},
							  {1, kMalformed}}))),
			rc::gen::set(&Attempt::other_id_in_head,
				     rc::gen::weightedElement<bool>(
					     {{5, false}, {1, true}}))));
	const std::string expected = full_stream(tokens);
	TestRelay x(true);
	bool done = false;

	for (const Attempt &t : attempts) {
		if (done)
			break;
		answer_begin_attempt(&x.relay);
		bool truncated = false;
		bool accepted = answer_on_head(
			&x.relay, 200, t.other_id_in_head ? "other" : "req");
		for (int i = x.relay.next_offset;
		     accepted && !truncated && i < tokens; i++) {
			switch (t.faults[i]) {
			case kSentTwice:
				accepted = x.feed(event("req", i) +
						  event("req", i));
				break;
			case kLeftOut:
				break;
			case kOtherId:
				accepted = x.feed(event("other", i));
				break;
			case kTruncated:
				truncated = true;
				break;
			case kMalformed:
				accepted = x.feed("data: {nonsense\n\n");
				break;
			default:
				accepted = x.feed(event("req", i));
			}
		}
		if (accepted && !truncated)
			accepted = x.feed(end_events("req", tokens));
		done = answer_on_end(&x.relay, truncated || !accepted ?
						       ANSWER_END_TRUNCATED :
						       ANSWER_END_COMPLETE);
		RC_ASSERT(expected.compare(0, x.received.size(), x.received) ==
			  0);
		if (done)
			RC_ASSERT(x.received == expected);
	}
}

RC_GTEST_PROP(Answer, AnyBytesAreHandledWithoutACrash,
	      (const std::string &bytes, bool streamed))
{
	TestRelay x(streamed);
	answer_begin_attempt(&x.relay);
	answer_on_head(&x.relay, 200, "req");
	x.feed(bytes);
	RC_ASSERT(!answer_on_end(&x.relay, ANSWER_END_COMPLETE));
	RC_ASSERT(x.received.empty());
}

} // namespace
