#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

extern "C" {
#include "crash/fingerprint.h"
}

namespace {

struct Request {
	std::string method = "POST", host = "a.example", path = "/desk/1?x=2";
	std::string caller = "org", body = "pallet";

	uint64_t fingerprint() const
	{
		const fingerprint_input in = {
			method.c_str(), host.c_str(), path.c_str(),
			caller.empty() ? nullptr : caller.c_str(),
			body.data(),	body.size()};

		return fingerprint_of(&in);
	}
};

TEST(Fingerprint, DiffersWithEachFieldOfARequest)
{
	const uint64_t same = Request().fingerprint();
	Request r[6];

	r[0].method = "PUT";
	r[1].host = "b.example";
	r[2].path = "/desk/1?x=3";
	r[3].caller = "";
	r[4].body = "pallets";
	r[5].path = "/desk/1";
	EXPECT_EQ(Request().fingerprint(), same);
	for (const Request &other : r)
		EXPECT_NE(other.fingerprint(), same);
}

TEST(Fingerprint, DoesNotMergeNeighbouringFields)
{
	Request a, b;

	a.host = "x";
	a.path = "yz";
	b.host = "xy";
	b.path = "z";
	EXPECT_NE(a.fingerprint(), b.fingerprint());
}

RC_GTEST_PROP(Fingerprint, CoversAWholeBody, (std::string body, uint16_t at))
{
	RC_PRE(!body.empty());
	Request a, b;

	a.body = b.body = body;
	b.body[at % body.size()] ^= 1;
	RC_ASSERT(a.fingerprint() == a.fingerprint());
	RC_ASSERT(a.fingerprint() != b.fingerprint());
}

} // namespace
