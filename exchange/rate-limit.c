#include "exchange/rate-limit.h"

#include <glib.h>

/* Below this rate a server could not show that it has lifted its limit. */
#define MIN_PER_S 0.2
/*
 * Nodes that divide a limit between them: this number, and one more for each
 * request a second. Few nodes keep the first requests of all, which no rate
 * delays, within what a server can bear.
 */
#define BASE_NODES 2
/* How long before it is due a request may be sent, after an idle time. */
#define BURST_MS 500
/* For so long a limit holds without an answer that names it. */
#define UNCONFIRMED_MS 25000
/* All nodes together try at the rate of the limit, divided by this. */
#define TRY_DIVISOR 4

/*
 * Returns the rate that a header field names, a decimal number, or 0 if it is
 * absent or malformed. Rates below MIN_PER_S are raised to it.
 */
double rate_limit_parse(const char *text)
{
	char *end;
	double per_s;

	if (!text || !g_ascii_isdigit(*text))
		return 0;
	per_s = g_ascii_strtod(text, &end);
	if (*end || !(per_s < 1e9))
		return 0;
	return MAX(per_s, MIN_PER_S);
}

/*
 * Takes up what an answer said, 0 if it named no limit, unless a later answer
 * is known. Returns true if the limit has changed. A new limit allows nothing
 * until rate_limit_set_rank().
 */
bool rate_limit_hear(struct rate_limit *l, uint64_t answered_at, double per_s,
		     bool heard_here)
{
	bool changed = per_s != l->per_s;

	if (answered_at < l->heard_at || (!per_s && !l->per_s))
		return false;
	if (!l->per_s)
		l->share_per_s = 0;
	l->heard_at = answered_at;
	l->heard_here = heard_here;
	l->per_s = per_s;
	return changed;
}

/* Sets this node's part by its rank, from 0, among the live nodes. */
void rate_limit_set_rank(struct rate_limit *l, uint32_t rank, uint32_t nodes)
{
	uint32_t senders = MIN(BASE_NODES + (uint32_t)l->per_s, nodes);

	l->share_per_s = rank < senders ? l->per_s / senders : 0;
	l->rank = rank;
	l->nodes = nodes;
}

/* Returns how long so many nodes take to try the server one after the other. */
static uint64_t tries_ms(const struct rate_limit *l, uint32_t nodes)
{
	return (uint64_t)(TRY_DIVISOR * 1000.0 * nodes / l->per_s);
}

/* Returns when a node without a part may next try whether the limit holds. */
static uint64_t next_try_at(const struct rate_limit *l)
{
	uint64_t first = l->heard_at + UNCONFIRMED_MS + tries_ms(l, l->rank);

	return l->tried_at < l->heard_at
		       ? first
		       : MAX(first, l->tried_at + tries_ms(l, l->nodes));
}

/*
 * Returns from when on this node's part allows a request to the server;
 * UINT64_MAX if it has none.
 */
uint64_t rate_limit_allowed_at(const struct rate_limit *l)
{
	if (!l->per_s)
		return 0;
	if (!l->share_per_s)
		return UINT64_MAX;
	return l->next_at > BURST_MS ? l->next_at - BURST_MS : 0;
}

/* Returns whether this node may send the server a request now. */
bool rate_limit_allows(const struct rate_limit *l, uint64_t now)
{
	if (!l->per_s || l->share_per_s > 0 || !l->nodes)
		return now >= rate_limit_allowed_at(l);
	return now >= next_try_at(l);
}

/* Counts a request that is sent to the server. */
void rate_limit_count(struct rate_limit *l, uint64_t now)
{
	if (l->share_per_s > 0)
		l->next_at = MAX(l->next_at, now) +
			     (uint64_t)(1000 / l->share_per_s);
	else
		l->tried_at = now;
}
