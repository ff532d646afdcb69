#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

extern "C" {
#include "admission/admission.h"
}

namespace
{

// Requests of one kind from all clients.
struct Kind {
	double per_s;
	uint64_t org;
	uint32_t priority;
	uint32_t size;
	double work_ms; // mean, at an idle slot
	uint32_t objective_ms, deadline_ms;
};

// What the clients of a kind got.
struct Result {
	double asked = 0, served = 0, in_time = 0;
	double share() const
	{
		return asked ? served / asked : 0;
	}
	double good() const
	{
		return asked ? in_time / asked : 0;
	}
};

struct Client {
	admission_request r = {};
	size_t kind = 0;
	double work_ms = 0;
	uint64_t sent_at = 0;
	bool returned = false, counted = false;
};

// Nodes that see each other's load as it was 100 ms ago at most, and the slots
// of a service, with a queue in order of arrival. Refused clients come back once
// if they are asked to within a third of their time.
class Fleet
{
      public:
	uint32_t slots;
	double slow = 1;
	bool cut_off = false; // the nodes hear nothing of each other
	std::vector<Kind> kinds;
	std::vector<Result> results;
	uint64_t idle_refusals = 0, late_starts = 0, max_waiting = 0;
	std::map<uint32_t, std::vector<uint32_t>> retry_after; // by priority
	uint64_t waits = 0;

	Fleet(size_t n, uint32_t slots, std::vector<Kind> kinds)
	    : slots(slots), kinds(kinds), results(kinds.size()), nodes_(n),
	      others_(n)
	{
		rng_seed(&rng_, 1);
		for (auto &a : nodes_)
			admission_init(&a);
	}
	~Fleet()
	{
		for (auto &a : nodes_)
			admission_clear(&a);
	}
	void run(uint64_t ms, bool count)
	{
		for (uint64_t end = now_ + ms; now_ < end; now_++) {
			finish();
			if (now_ % 100 == 0)
				tick();
			for (size_t k = 0; k < kinds.size(); k++)
				if (rng_unit(&rng_) < kinds[k].per_s / 1000)
					arrive(k, count);
			while (!back_.empty() && back_.begin()->first <= now_) {
				offer(back_.begin()->second);
				back_.erase(back_.begin());
			}
		}
	}
	// Counts what arrives after a while, until it is answered.
	void measure()
	{
		run(3000, false);
		run(15000, true);
		for (auto &k : kinds)
			k.per_s = 0;
		run(30000, false);
	}
	Result sum(std::function<bool(const Kind &)> of) const
	{
		Result s;
		for (size_t k = 0; k < kinds.size(); k++)
			if (of(kinds[k])) {
				s.asked += results[k].asked;
				s.served += results[k].served;
				s.in_time += results[k].in_time;
			}
		return s;
	}
	Result all() const
	{
		return sum([](const Kind &) { return true; });
	}
	Result priority(uint32_t p) const
	{
		return sum([p](const Kind &k) { return k.priority == p; });
	}
	Result org(uint64_t o) const
	{
		return sum([o](const Kind &k) { return k.org == o; });
	}

      private:
	using Ref = std::pair<size_t, Client *>; // node, client

	void look(size_t n)
	{
		uint32_t load = others_[n] + nodes_[n].in_flight;
		uint32_t running = std::min(load, slots);
		admission_set_room(&nodes_[n],
				   {1, slots, running, load - running});
	}
	void tick()
	{
		uint32_t all = 0;
		for (auto &a : nodes_)
			all += a.in_flight;
		for (size_t n = 0; n < nodes_.size(); n++) {
			others_[n] = cut_off ? 0 : all - nodes_[n].in_flight;
			look(n);
			admission_refresh(&nodes_[n], now_);
			while (auto r =
				       admission_take_expired(&nodes_[n], now_))
				refused(owner(r),
					admission_retry_after(&nodes_[n], now_,
							      r, &rng_));
			drain(n);
			admission_is_over(&nodes_[n], now_);
		}
	}
	Client *owner(admission_request *r)
	{
		return reinterpret_cast<Client *>(r);
	}
	void arrive(size_t k, bool count)
	{
		const Kind &kind = kinds[k];
		auto c = new Client;
		clients_.emplace_back(c);
		c->kind = k;
		c->counted = count;
		c->work_ms = kind.work_ms * (0.5 + rng_unit(&rng_));
		c->r.priority = kind.priority;
		c->r.org = kind.org;
		c->r.route = kind.priority + 1;
		c->r.size = kind.size;
		c->r.objective_ms = kind.objective_ms;
		c->r.started_at = now_;
		c->r.deadline = now_ + kind.deadline_ms;
		results[k].asked += count;
		offer({rng_below(&rng_, nodes_.size()), c});
	}
	void offer(Ref ref)
	{
		auto [n, c] = ref;
		admission_refusal why = {};
		admission_request *evicted;
		look(n);
		drain(n);
		bool free = nodes_[n].waiting->len == 0 &&
			    nodes_[n].in_flight + others_[n] < slots / 2;
		switch (admission_offer(&nodes_[n], now_, &c->r, &rng_, &why,
					&evicted)) {
		case ADMISSION_SEND:
			send(n, c);
			break;
		case ADMISSION_REFUSE:
			idle_refusals += free;
			refused(c, why.retry_after_ms);
			break;
		case ADMISSION_WAIT:
			waits++;
			idle_refusals += free;
			if (evicted)
				refused(owner(evicted), why.retry_after_ms);
		}
		max_waiting =
			std::max<uint64_t>(max_waiting, nodes_[n].waiting->len);
	}
	void drain(size_t n)
	{
		while (auto r = admission_on_room(&nodes_[n], now_)) {
			late_starts += now_ > r->deadline;
			send(n, owner(r));
			look(n);
		}
	}
	void refused(Client *c, uint32_t after)
	{
		uint64_t left = c->r.deadline > now_ ? c->r.deadline - now_ : 0;
		retry_after[c->r.priority].push_back(after);
		if (c->returned || after > left / 3 || !left)
			return;
		c->returned = true;
		back_.insert(
			{now_ + after, {rng_below(&rng_, nodes_.size()), c}});
	}
	void send(size_t n, Client *c)
	{
		c->sent_at = now_;
		admission_on_start(&nodes_[n]);
		queue_.push_back({n, c});
		pull();
	}
	void pull()
	{
		while (running_ < slots && !queue_.empty()) {
			auto [n, c] = queue_.front();
			queue_.pop_front();
			running_++;
			ends_.insert({now_ + 1 + (uint64_t)(slow * c->work_ms),
				      {n, c}});
		}
	}
	void finish()
	{
		while (!ends_.empty() && ends_.begin()->first <= now_) {
			auto [n, c] = ends_.begin()->second;
			ends_.erase(ends_.begin());
			running_--;
			results[c->kind].served +=
				c->counted && now_ <= c->r.deadline;
			results[c->kind].in_time +=
				c->counted &&
				now_ <= c->r.started_at + c->r.objective_ms;
			admission_on_end(&nodes_[n], false);
			admission_on_answer(&nodes_[n], &c->r,
					    now_ - c->sent_at,
					    now_ - c->sent_at);
			pull();
			look(n);
			drain(n);
		}
	}

	uint64_t now_ = 1000;
	rng rng_;
	std::vector<admission> nodes_;
	std::vector<uint32_t> others_;
	std::vector<std::unique_ptr<Client>> clients_;
	std::multimap<uint64_t, Ref> back_, ends_;
	std::deque<Ref> queue_;
	uint32_t running_ = 0;
};

// 24 organisations, three of them large, with two priorities. They take `load`
// of the slots.
std::vector<Kind> organisations(double load, double slots = 200)
{
	std::vector<Kind> kinds;
	double unit = load * slots / 0.4 / (3 * 5 + 21);
	for (uint64_t o = 1; o <= 24; o++)
		for (uint32_t p = 0; p < 2; p++)
			kinds.push_back({(o <= 3 ? 5 : 1) * unit / 2, o, p, 0,
					 400, 2000, 8000});
	return kinds;
}

void check_all(const Fleet &f)
{
	EXPECT_EQ(f.idle_refusals, 0u);
	EXPECT_EQ(f.late_starts, 0u);
	EXPECT_LE(f.max_waiting, (uint64_t)ADMISSION_MAX_QUEUE);
	for (uint64_t o = 1; o <= 24; o++)
		EXPECT_GE(f.org(o).share(), 0.25 * f.all().share()) << o;
	EXPECT_GE(f.priority(0).share(), f.priority(1).share() - 0.05);
}

// In calm times admission must not delay anything.
TEST(Admission, CalmSendsAtOnce)
{
	Fleet f(12, 200, organisations(0.7));

	f.measure();
	check_all(f);
	EXPECT_EQ(f.waits, 0u);
	EXPECT_EQ(f.all().good(), 1);
}

// All traffic times 1.7: the more urgent half is served nearly whole, and what
// is served is served in time.
TEST(Admission, AllTrafficTimes17)
{
	for (size_t nodes : {4, 36}) {
		uint32_t slots = 25 * nodes;
		Fleet f(nodes, slots, organisations(0.8 * 1.7, slots));

		f.measure();
		check_all(f);
		EXPECT_GT(f.all().good(), 0.66);
		EXPECT_GT(f.priority(0).share(), 0.9);
	}
}

// Two priorities at twice the capacity, as when half of the servers are lost.
TEST(Admission, TwoPrioritiesAtTwiceTheCapacity)
{
	Fleet f(12, 200, organisations(1));

	f.run(3000, false);
	f.slots = 100;
	f.measure();
	check_all(f);
	EXPECT_GT(f.all().good(), 0.42);
	EXPECT_GT(f.priority(0).share(), 0.8);
}

// One large organisation sends 7.5 times as much: the small ones must get more
// than they would if all requests had the same chance.
TEST(Admission, OneOrganisationFloods)
{
	std::vector<Kind> kinds = organisations(0.8, 300);
	for (auto &k : kinds)
		k.per_s *= k.org == 1 ? 7.5 : 1;
	Fleet f(12, 300, kinds);

	f.measure();
	check_all(f);
	for (uint64_t o = 4; o <= 24; o++)
		EXPECT_GT(f.org(o).share(), f.all().share() + 0.05) << o;
	EXPECT_GT(f.all().good(), 0.9 / (0.8 * (1 + 6.5 * 5 / 36)));
}

// An organisation with a low priority of its own must not starve.
TEST(Admission, LowPriorityOfAnOrganisation)
{
	std::vector<Kind> kinds = organisations(2.2);
	for (auto &k : kinds)
		k.priority = k.org == 9 ? 5 : 0;
	Fleet f(12, 200, kinds);

	f.measure();
	check_all(f);
}

// Long requests of an organisation starve neither its short ones nor the other
// way around.
TEST(Admission, SizesOfAnOrganisation)
{
	std::vector<Kind> kinds;
	for (uint64_t o = 1; o <= 24; o++) {
		kinds.push_back({20, o, 0, 0, 150, 2000, 4000});
		kinds.push_back({5, o, 0, 2, 1500, 3000, 15000});
	}
	Fleet f(12, 150, kinds);

	f.measure();
	check_all(f);
	Result small = f.sum([](const Kind &k) { return k.size == 0; });
	Result large = f.sum([](const Kind &k) { return k.size == 2; });
	EXPECT_GT(small.share(), 0.7 * large.share());
	EXPECT_GT(large.share(), 0.7 * small.share());
}

// Nodes that do not hear of each other send too much rather than too little.
TEST(Admission, CutOffNodesSend)
{
	Fleet f(12, 200, organisations(0.8));

	f.cut_off = true;
	f.measure();
	EXPECT_EQ(f.waits, 0u);
	EXPECT_EQ(f.idle_refusals, 0u);
}

// Servers become three times slower, with a work of 600 to 1,800 ms of which the
// objective is 2,000: more urgent requests must still be answered in time.
TEST(Admission, SlowServers)
{
	Fleet f(12, 300, organisations(0.8, 300));

	f.run(3000, false);
	f.slow = 3;
	f.measure();
	check_all(f);
	EXPECT_GT(f.priority(0).good(), 0.4);
}

// Clients that return together make the next peak; they honour up to a third of
// the time that they have left.
TEST(Admission, RetryAfterIsSpreadAndByPriority)
{
	Fleet f(12, 200, organisations(3));
	double mean[2] = {0, 0};

	f.measure();
	for (uint32_t p = 0; p < 2; p++) {
		auto &v = f.retry_after[p];
		ASSERT_GT(v.size(), 100u);
		std::sort(v.begin(), v.end());
		EXPECT_LE(v.back(), 8000u / 3);
		EXPECT_GT(v[v.size() * 9 / 10], 1.5 * v[v.size() / 10]);
		for (uint32_t ms : v)
			mean[p] += (double)ms / v.size();
	}
	EXPECT_GT(mean[1], mean[0]);
}

// One node of which the service's servers are full.
struct Full {
	admission a;
	rng random;
	admission_refusal why = {};
	admission_request *evicted = nullptr;
	std::deque<admission_request> requests;

	Full()
	{
		admission_init(&a);
		rng_seed(&random, 1);
		admission_set_room(&a, {1, 100, 100, 25});
		admission_on_start(&a);
	}
	~Full()
	{
		admission_clear(&a);
	}
	admission_verdict offer(uint64_t now, uint32_t priority, uint64_t org,
				uint32_t time_ms = 1000)
	{
		admission_request r = {};
		r.priority = priority;
		r.org = org;
		r.started_at = now;
		r.deadline = now + time_ms;
		requests.push_back(r);
		return admission_offer(&a, now, &requests.back(), &random, &why,
				       &evicted);
	}
};

// A request that cannot be served any more must not be sent.
TEST(Admission, ExpiredRequestIsGivenBack)
{
	Full f;

	EXPECT_EQ(f.offer(1000, 0, 1), ADMISSION_WAIT);
	EXPECT_EQ(admission_on_room(&f.a, 1500), nullptr);
	EXPECT_EQ(admission_take_expired(&f.a, 1500), nullptr);
	EXPECT_EQ(admission_take_expired(&f.a, 2000), &f.requests[0]);
	EXPECT_EQ(f.a.waiting->len, 0u);
}

// A request of a client that has left must not take a place.
TEST(Admission, RemovedRequestIsNotStarted)
{
	Full f;

	f.offer(1000, 0, 1);
	f.offer(1000, 1, 1);
	admission_remove(&f.a, &f.requests[0]);
	admission_set_room(&f.a, {1, 100, 0, 0});
	EXPECT_EQ(admission_on_room(&f.a, 1001), &f.requests[1]);
	EXPECT_EQ(admission_on_room(&f.a, 1001), nullptr);
}

// A full queue must not keep urgent requests out, nor grow.
TEST(Admission, FullQueueRefusesTheLeastUrgent)
{
	Full f;

	admission_on_answer(&f.a, (f.offer(0, 9, 3), &f.requests[0]), 10, 100);
	admission_remove(&f.a, &f.requests[0]);
	for (int i = 0; i < 40; i++)
		f.offer(1000, 2, 1, 60000);
	uint32_t full = f.a.waiting->len;
	EXPECT_EQ(full, (uint32_t)ADMISSION_MIN_QUEUE);
	EXPECT_EQ(f.offer(1000, 0, 2), ADMISSION_WAIT);
	ASSERT_NE(f.evicted, nullptr);
	EXPECT_EQ(f.evicted->priority, 2u);
	EXPECT_EQ(f.a.waiting->len, full);
	EXPECT_EQ(f.offer(1000, 3, 2), ADMISSION_REFUSE);
}

// Clients that are refused at the same moment must not return together.
TEST(Admission, RetryAfterOfOneMomentIsSpread)
{
	Full f;
	double mean[2] = {0, 0};

	for (int i = 0; i < 8; i++)
		f.offer(1000, i % 2, 1, 3000);
	for (uint32_t p = 0; p < 2; p++) {
		uint32_t least = UINT32_MAX, most = 0;
		for (int i = 0; i < 200; i++) {
			uint32_t ms = admission_retry_after(
				&f.a, 1000, &f.requests[p], &f.random);
			least = std::min(least, ms);
			most = std::max(most, ms);
			mean[p] += ms / 200.0;
		}
		EXPECT_GT(most, 2 * least);
		EXPECT_LE(most, 1000u);
	}
	EXPECT_GT(mean[1], mean[0]);
}

// Servers that refuse for want of room show that a node takes too much of it.
TEST(Admission, RefusalsOfServersLowerThePart)
{
	Full f;
	double part = admission_part(&f.a);

	admission_on_start(&f.a);
	admission_on_end(&f.a, true);
	EXPECT_LT(admission_part(&f.a), 0.6 * part);
	for (int i = 1; i < 40; i++)
		admission_refresh(&f.a, 100 * i);
	EXPECT_EQ(admission_part(&f.a), part);
}

// Without a ready server the reason of the refusal is another one's to give.
TEST(Admission, NoServersIsNoShortage)
{
	Full f;

	admission_set_room(&f.a, {0, 0, 0, 0});
	EXPECT_EQ(f.offer(1000, 0, 1), ADMISSION_SEND);
}

} // namespace
