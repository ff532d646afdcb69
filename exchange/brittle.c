#include "exchange/brittle.h"

#include <glib.h>

#define MIN_REFUSALS_PER_S 0.2 /* bounds the wait after a refusal */
/* For so long a server's own answer counts more than those of the others. */
#define OWN_ANSWER_MS 2000
/* A request that this node has given up may hold its slot for so long. */
#define ABANDONED_MS 1000

/*
 * Returns the number that a header field names, or 0 if it is absent or malformed.
 * A server that bears no refusal is taken for one that bears MIN_REFUSALS_PER_S.
 */
double brittle_parse(const char *text)
{
	char *end;
	double n;

	if (!text || !g_ascii_isdigit(*text))
		return 0;
	n = g_ascii_strtod(text, &end);
	return *end || !(n < 1e9) ? 0 : MAX(n, MIN_REFUSALS_PER_S);
}

/* Until its rank is known, a node sends nothing. */
static void take_up(struct brittle *b, const struct brittle_notice *said)
{
	if (!b->notice.refusals_per_s) {
		b->ranked = false;
		b->max_in_flight = 0;
		b->wait_until = 0;
	}
	b->notice = *said;
}

/*
 * Takes up what an answer of the server said, unless a later one is known. Returns
 * true if that changes how many refusals a second it is known to bear.
 */
bool brittle_hear(struct brittle *b, const struct brittle_notice *said)
{
	bool changed = said->refusals_per_s != b->notice.refusals_per_s;

	if (said->answered_at < b->notice.answered_at)
		return false;
	take_up(b, said);
	b->own = true;
	return changed;
}

/* Takes up that another server of the service has said to be brittle. */
void brittle_inherit(struct brittle *b, const struct brittle_notice *said)
{
	uint64_t from = b->notice.answered_at + (b->own ? OWN_ANSWER_MS : 0);

	if (!said->refusals_per_s || said->answered_at < from)
		return;
	take_up(b, said);
	b->own = false;
}

/*
 * Handles a start of the server: it has not answered yet, so what is known of its
 * service holds.
 */
void brittle_on_start(struct brittle *b, const struct brittle_notice *service)
{
	bool was_brittle = brittle_is_in_force(b);

	b->notice = *service;
	b->own = false;
	b->wait_until = 0;
	b->abandoned = 0;
	if (!was_brittle) {
		b->ranked = false;
		b->max_in_flight = 0;
	}
}

/*
 * Sets this node's part of the server's slots by its rank, from 0, among the live
 * nodes. Of nodes that are more than the slots, those of the first ranks get one;
 * if the slots are not known, 0, each node gets one.
 */
void brittle_set_rank(struct brittle *b, uint32_t rank, uint32_t nodes,
		      uint32_t slots)
{
	uint32_t shared = slots ? slots : nodes;
	uint32_t senders = MIN(shared, nodes);

	b->nodes = nodes;
	b->max_in_flight = 0;
	if (rank < senders)
		b->max_in_flight = shared / senders + (rank < shared % senders);
	b->ranked = true;
}

static uint32_t count_abandoned(const struct brittle *b, uint64_t now)
{
	return now < b->abandoned_until ? b->abandoned : 0;
}

/* Handles a request that this node has given up while the server may run it. */
void brittle_on_abandoned(struct brittle *b, uint64_t now)
{
	b->abandoned = count_abandoned(b, now) + 1;
	b->abandoned_until = now + ABANDONED_MS;
}

/* Handles a refusal for want of room. */
void brittle_on_refusal(struct brittle *b, uint64_t now)
{
	if (brittle_is_in_force(b))
		b->wait_until = now + (uint64_t)(1000 * MAX(b->nodes, 1) /
						 b->notice.refusals_per_s);
}

/* Returns whether the server is brittle, as far as is known. */
bool brittle_is_in_force(const struct brittle *b)
{
	return b->notice.refusals_per_s > 0;
}

/*
 * Returns whether this node, with so many requests in flight there, may send the
 * server another one.
 */
bool brittle_allows(const struct brittle *b, uint64_t now, uint32_t in_flight)
{
	if (!brittle_is_in_force(b))
		return true;
	return now >= b->wait_until &&
	       in_flight + count_abandoned(b, now) < b->max_in_flight;
}
