// The sequential test of roll-outs, the evidence of the fleet, the lease, and
// the usage journal.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

extern "C" {
#include "lease/lease.h"
#include "rng.h"
#include "rollout/evidence.h"
#include "rollout/rollout.h"
#include "usage/usage.h"
}

namespace {

rollout_counts counts(uint64_t n, uint64_t bad, int errors = 0)
{
	rollout_counts c = {};
	c.n[ROLLOUT_RATING] = c.n[ROLLOUT_ERROR] = c.n[ROLLOUT_LATENCY] = n;
	c.bad[ROLLOUT_RATING] = bad;
	c.bad[ROLLOUT_ERROR] = errors;
	return c;
}

// Adds answers one by one, at most `limit`. Returns the number of answers until
// the wanted decision; the negative number if the roll-out was stopped instead;
// 0 if neither happened.
int run_test(rng *r, double p_bad, const rollout_counts &from, int limit,
	     rollout_decision wanted)
{
	rollout_params p = rollout_default_params();
	rollout_test t = {};
	rollout_metric metric;
	for (int i = 1; i <= limit; i++) {
		rollout_counts one = counts(1, rng_unit(r) < p_bad);
		rollout_decision v = rollout_decide(&t, &p, (uint64_t)i * 1000,
						    &from, &one, &metric);
		if (v == wanted)
			return i;
		if (v == ROLLOUT_STOP)
			return -i;
		if (v == ROLLOUT_ADVANCE)
			rollout_begin_step(&t, (uint64_t)i * 1000);
	}
	return 0;
}

TEST(Rollout, BadVersionIsStoppedSoon)
{
	rng r;
	rng_seed(&r, 3);
	rollout_counts from = counts(500, 20);
	for (int i = 0; i < 50; i++) {
		int n = run_test(&r, 0.5, from, 1000, ROLLOUT_STOP);
		EXPECT_GT(n, 0);
		EXPECT_LT(n, 60);
	}
}

TEST(Rollout, GoodVersionIsRarelyStopped)
{
	rng r;
	rng_seed(&r, 4);
	rollout_counts from = counts(500, 20);
	int stopped = 0;
	for (int i = 0; i < 200; i++)
		stopped += run_test(&r, 0.04, from, 1000, ROLLOUT_STOP) > 0;
	EXPECT_LE(stopped, 10); // one in twenty at most
}

// An old version with few rated answers must not make the test stop a new one
// with the same share of bad answers: at most one roll-out in twenty may be
// stopped.
TEST(Rollout, FewOldAnswersDoNotStopGoodVersion)
{
	int stopped = 0;
	for (uint64_t seed = 1; seed <= 300; seed++) {
		rng r;
		rng_seed(&r, seed);
		rollout_params p = rollout_default_params();
		rollout_test t = {};
		rollout_counts from = {};
		rollout_metric metric;
		rollout_decision v = ROLLOUT_HOLD;
		for (int i = 0; i < 1500 && v != ROLLOUT_STOP; i++) {
			if (i % 3 == 0) {
				from.n[ROLLOUT_RATING]++;
				from.bad[ROLLOUT_RATING] += rng_unit(&r) < 0.08;
			}
			rollout_counts one = counts(1, rng_unit(&r) < 0.08);
			v = rollout_decide(&t, &p, (uint64_t)i, &from, &one,
					   &metric);
		}
		stopped += v == ROLLOUT_STOP;
	}
	EXPECT_LE(stopped, 15);
	printf("stopped by mistake: %d of 300\n", stopped);
}

TEST(Rollout, HoldsWithTooFewRatings)
{
	rollout_params p = rollout_default_params();
	rollout_test t = {};
	rollout_counts from = counts(1000, 10);
	rollout_counts few = counts(p.min_step_ratings - 1, 0);
	rollout_metric metric;
	EXPECT_EQ(rollout_decide(&t, &p, 1000000, &from, &few, &metric),
		  ROLLOUT_HOLD);
}

TEST(Rollout, HighErrorRateStopsRollout)
{
	rollout_params p = rollout_default_params();
	rollout_test t = {};
	rollout_counts from = counts(1000, 10);
	rollout_counts bad = counts(40, 0, 12);
	rollout_metric metric;
	EXPECT_EQ(rollout_decide(&t, &p, 1, &from, &bad, &metric),
		  ROLLOUT_STOP);
	EXPECT_EQ(metric, ROLLOUT_ERROR);
}

// A version that degrades after a long good time is still stopped.
TEST(Rollout, LaterDegradationIsStopped)
{
	rng r;
	rng_seed(&r, 5);
	rollout_params p = rollout_default_params();
	rollout_test t = {};
	rollout_counts from = counts(500, 20);
	rollout_metric metric;
	for (int i = 0; i < 2000; i++) {
		rollout_counts one = counts(1, rng_unit(&r) < 0.02);
		ASSERT_NE(rollout_decide(&t, &p, i, &from, &one, &metric),
			  ROLLOUT_STOP);
	}
	int n = 0;
	for (;; n++) {
		rollout_counts one = counts(1, rng_unit(&r) < 0.5);
		if (rollout_decide(&t, &p, 2000 + n, &from, &one, &metric) ==
		    ROLLOUT_STOP)
			break;
		ASSERT_LT(n, 60);
	}
}

// ---- evidence ----

json_object *status(const char *node, const char *boot, uint64_t n,
		    uint64_t bad)
{
	GPtrArray *versions = evidence_versions_new();
	*evidence_version_counts(versions, "quill@4") = counts(n, bad);
	json_object *o = json_object_new_object();
	json_object_object_add(o, "node", json_object_new_string(node));
	json_object_object_add(o, "boot", json_object_new_string(boot));
	json_object_object_add(o, "evidence", evidence_versions_json(versions));
	g_ptr_array_unref(versions);
	return o;
}

// Status objects may be read twice, out of order and after a restart of the
// node, by changing lease holders. Each answer must still be counted once.
RC_GTEST_PROP(Evidence, EachAnswerCountsOnce, ())
{
	rollout_evidence *e = evidence_new("r", "quill@4");
	std::map<std::string, uint64_t> sent;
	std::map<std::string, uint64_t> newest;
	uint64_t counted = 0;
	for (int i = *rc::gen::inRange(0, 60); i > 0; i--) {
		std::string node =
			"n" + std::to_string(*rc::gen::inRange(0, 3));
		std::string boot =
			"b" + std::to_string(*rc::gen::inRange(0, 2));
		std::string key = node + "/" + boot;
		sent[key] += (uint64_t)*rc::gen::inRange(0, 5);
		// The status may be older than one read before.
		uint64_t reported =
			*rc::gen::inRange<uint64_t>(0, sent[key] + 1);
		json_object *o =
			status(node.c_str(), boot.c_str(), reported, 0);
		rollout_counts added = {};
		evidence_add_status(e, o, "quill@3", &added);
		counted += added.n[ROLLOUT_RATING];
		newest[key] = std::max(newest[key], reported);
		json_object_put(o);
		if (*rc::gen::arbitrary<bool>()) { // the lease holder changes
			g_autofree char *text = evidence_serialize(e);
			evidence_free(e);
			e = evidence_parse(text, strlen(text));
			RC_ASSERT(e != nullptr);
		}
	}
	uint64_t all = 0;
	for (auto &t : newest)
		all += t.second;
	RC_ASSERT(counted == all);
	evidence_free(e);
}

RC_GTEST_PROP(Evidence, ParserHandlesAnyBytes, (const std::string &bytes))
{
	evidence_free(evidence_parse(bytes.data(), bytes.size()));
}

// ---- lease ----

// The stored lease object.
struct LeaseStore {
	std::optional<lease_record> record;
	uint64_t etag = 0;
};

// Runs one action of a node. With fault 1 its outcome is lost, with fault 2 a
// write has no effect either.
void lease_step(lease_state *l, LeaseStore &s, uint64_t now, int fault)
{
	lease_action a = lease_tick(l, now);
	lease_result e = {};
	bool ok = false;
	switch (a.kind) {
	case LEASE_NO_ACTION:
		return;
	case LEASE_READ:
		e.kind = s.record ? LEASE_FOUND : LEASE_ABSENT;
		e.etag = s.etag;
		if (s.record)
			e.record = *s.record;
		break;
	default:
		ok = a.kind == LEASE_CREATE ? !s.record
					    : s.record && s.etag == a.etag;
		if (ok && fault != 2) {
			s.record = a.record;
			s.etag++;
		}
		e.kind = ok ? LEASE_WRITTEN : LEASE_CONFLICT;
		e.etag = s.etag;
	}
	if (fault)
		e.kind = LEASE_FAILED;
	lease_on_result(l, now, &e);
}

// Nodes tick at random times, some later than the lease lasts; calls fail, with
// (fault 1) or without (fault 2) effect on the store. No two nodes may hold the
// lease at the same time, and the fencing number must never decrease.
RC_GTEST_PROP(Lease, OneHolderAtATimeAndFenceNeverDecreases, ())
{
	LeaseStore s;
	lease_state nodes[3];
	const char *const names[] = {"a", "b", "c"};
	uint64_t now = 0, fence = 0;
	for (int i = 0; i < 3; i++)
		lease_init(&nodes[i], names[i]);
	for (int i = *rc::gen::inRange(0, 200); i > 0; i--) {
		now += *rc::gen::weightedElement<uint64_t>(
			{{8, 500}, {3, 3000}, {1, 12000}});
		lease_state *l = &nodes[*rc::gen::inRange(0, 3)];
		lease_step(l, s, now,
			   *rc::gen::weightedElement<int>(
				   {{8, 0}, {1, 1}, {1, 2}}));
		int holders = 0;
		for (lease_state &n : nodes)
			holders += lease_is_held(&n, now);
		RC_ASSERT(holders <= 1);
		if (s.record) {
			RC_ASSERT(s.record->fence >= fence);
			fence = s.record->fence;
		}
	}
}

TEST(Lease, IsTakenRenewedAndTakenOver)
{
	LeaseStore s;
	lease_state a, b;
	lease_init(&a, "a");
	lease_init(&b, "b");
	for (uint64_t now = 0; now < 30000; now += 200) {
		lease_step(&a, s, now, 0);
		lease_step(&b, s, now, 0);
	}
	ASSERT_TRUE(lease_is_held(&a, 30000) != lease_is_held(&b, 30000));
	lease_state *other = lease_is_held(&a, 30000) ? &b : &a;
	uint64_t fence = s.record->fence;
	for (uint64_t now = 30000; now < 60000; now += 200)
		lease_step(other, s, now, 0);
	EXPECT_TRUE(lease_is_held(other, 60000));
	EXPECT_GT(s.record->fence, fence);
}

// ---- usage ----

usage_record record(const char *id)
{
	usage_record r = {};
	r.request_id = id;
	r.org = "org";
	r.version = "quill@3";
	r.verdict = "ran";
	return r;
}

// Writes fail at random, with (fault 1) or without (fault 2) effect on the
// store. After retries each added record must be stored exactly once.
RC_GTEST_PROP(Usage, EachRecordIsStoredOnce, ())
{
	usage_journal u;
	std::map<std::string, std::string> objects;
	uint64_t now = 0;
	int added = 0;
	usage_init(&u, "node", "boot", 1000);
	auto flush = [&](int fault) {
		g_autofree char *name = nullptr;
		const char *batch = usage_next_batch(&u, now, false, &name);
		if (!batch)
			return;
		bool absent = !objects.count(name);
		if (absent && fault != 2)
			objects[name] = batch;
		if (fault)
			usage_on_write_result(&u, now, USAGE_WRITE_FAILED);
		else
			usage_on_write_result(&u, now,
					      absent ? USAGE_WRITE_OK
						     : USAGE_WRITE_CONFLICT);
	};
	for (int i = *rc::gen::inRange(0, 80); i > 0; i--) {
		now += (uint64_t)*rc::gen::inRange(0, 1500);
		for (int k = *rc::gen::inRange(0, 4); k > 0; k--) {
			std::string id = "r" + std::to_string(added++);
			usage_record r = record(id.c_str());
			usage_add(&u, &r);
		}
		flush(*rc::gen::weightedElement<int>({{4, 0}, {1, 1}, {1, 2}}));
	}
	for (int i = 0; i < 20; i++, now += 10000)
		flush(0);
	RC_ASSERT(usage_is_empty(&u));
	std::map<std::string, int> stored;
	for (auto &o : objects) {
		g_auto(GStrv) lines = g_strsplit(o.second.c_str(), "\n", -1);
		for (size_t i = 0; lines[i]; i++) {
			std::string line = lines[i];
			if (line.empty())
				continue;
			size_t at = line.find("\"request\":\"") + 11;
			stored[line.substr(at, line.find('"', at) - at)]++;
		}
	}
	RC_ASSERT((int)stored.size() == added);
	for (auto &s : stored)
		RC_ASSERT(s.second == 1);
	usage_clear(&u);
}

TEST(Usage, JournalReportsWhenFull)
{
	usage_journal u;
	usage_init(&u, "node", "boot", 1000);
	while (!usage_is_full(&u)) {
		usage_record r = record("some-request");
		usage_add(&u, &r);
	}
	EXPECT_GE(u.pending->len, (size_t)USAGE_MAX_PENDING_BYTES);
	usage_clear(&u);
}

} // namespace
