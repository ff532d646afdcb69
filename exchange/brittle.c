#include "exchange/brittle.h"

#include <glib.h>

/* A server that has not answered for so long may have ceased to be brittle. */
#define MEMORY_MS 10000
#define MIN_REFUSALS_PER_S 0.2 /* bounds the wait after a refusal */

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

/* Takes up what an answer said, 0 if nothing. Returns true if it has changed. */
bool brittle_hear(struct brittle *b, uint64_t now, double refusals_per_s)
{
	bool changed = refusals_per_s != b->refusals_per_s;

	if (!b->refusals_per_s)
		b->ranked = false;
	b->refusals_per_s = refusals_per_s;
	b->heard_at = now;
	return changed;
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

/* Handles a refusal for want of room. */
void brittle_on_refusal(struct brittle *b, uint64_t now)
{
	if (b->refusals_per_s)
		b->wait_until = now + (uint64_t)(1000 * MAX(b->nodes, 1) /
						 b->refusals_per_s);
}

/* Returns whether the server is brittle, as far as is known. */
bool brittle_is_in_force(const struct brittle *b, uint64_t now)
{
	return b->refusals_per_s > 0 && now - b->heard_at < MEMORY_MS;
}

/*
 * Returns whether this node, with so many requests in flight there, may send the
 * server another one. Until its rank is known that is one at a time.
 */
bool brittle_allows(const struct brittle *b, uint64_t now, uint32_t in_flight)
{
	if (!brittle_is_in_force(b, now))
		return true;
	return now >= b->wait_until &&
	       in_flight < (b->ranked ? b->max_in_flight : 1);
}
