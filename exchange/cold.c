#include "exchange/cold.h"

#include <glib.h>

/*
 * The nodes plan for the limit divided by this. The rest is for nodes whose views
 * of the members differ, and for requests that were on their way.
 */
#define MARGIN_DIVISOR 2
/*
 * In so many ms a sender uses its part once. It exceeds the second for which the
 * limit holds by more than requests of one node differ in how long they travel.
 */
#define PART_MS 1100
/*
 * An entry that does not call the server cold proves that it is warm if it arrives
 * this long after the first contact. Entries are written every 1.2 s; an earlier one
 * may have been written before the server went away.
 */
#define PROOF_AFTER_MS 1500
#define MAX_ANSWER_MS 600000 /* that an answer can name */

/*
 * Returns the rule of a service: its rate times `over`, and `slack` requests more.
 * There is none without a rate or a factor.
 */
struct cold_rule cold_rule_of(double per_s, double over, double slack,
			      uint32_t cold_ms)
{
	struct cold_rule rule = {0, 0};

	if (!(per_s > 0) || !(over > 0))
		return rule;
	rule.max_requests =
		(uint32_t)CLAMP(per_s * over + slack, 1, (double)G_MAXINT32);
	rule.cold_ms = cold_ms;
	return rule;
}

/*
 * Takes up a new entry of the server, which calls it cold for so long. The longest
 * of what was said holds: the time counts from when the entry was written.
 */
void cold_on_entry(struct cold_state *c, uint64_t now, uint32_t left_ms)
{
	if (left_ms || !c->rule.max_requests) {
		uint64_t until = left_ms ? now + left_ms : 0;

		c->cold_until = c->rule.max_requests ? MAX(c->cold_until, until)
						     : until;
		return;
	}
	if (!c->doubted && c->contacted_at &&
	    now - c->contacted_at >= PROOF_AFTER_MS)
		c->contacted_at = 0;
}

/* Handles that the server is new, has started again or serves its zone again. */
void cold_on_start(struct cold_state *c, uint64_t now)
{
	c->started_at = now;
	c->doubted = false;
}

/* Handles that the server was unreachable, silent or broke off an answer. */
void cold_on_doubt(struct cold_state *c)
{
	c->doubted = true;
}

/* Handles an answer of the server, or a connection to it. */
void cold_on_contact(struct cold_state *c, uint64_t now)
{
	if (!c->doubted)
		return;
	c->doubted = false;
	c->contacted_at = now;
}

/* Handles a pause of the process, in which the server may have started again. */
void cold_on_pause(struct cold_state *c, uint64_t now)
{
	c->contacted_at = now;
}

/* Takes up the time that an answer names, in ms; 0 proves that it is warm. */
void cold_on_answer(struct cold_state *c, uint64_t now, const char *left_ms)
{
	uint64_t ms;

	if (!left_ms || !g_ascii_isdigit(*left_ms))
		return;
	ms = MIN(g_ascii_strtoull(left_ms, NULL, 10), MAX_ANSWER_MS);
	c->doubted = false;
	c->contacted_at = 0;
	if (ms)
		c->cold_until = MAX(c->cold_until, now + ms);
}

static uint64_t after(uint64_t at, uint32_t ms)
{
	return at ? at + ms : 0;
}

/* Returns until when the server is said or known to be cold. */
static uint64_t known_until(const struct cold_state *c)
{
	return MAX(c->cold_until, after(c->started_at, c->rule.cold_ms));
}

/* Returns whether the server is said or known to be cold, not only possibly. */
bool cold_is_known(const struct cold_state *c, uint64_t now)
{
	return now < known_until(c);
}

/* Returns until when the server counts as cold; UINT64_MAX: not known. */
static uint64_t in_force_until(const struct cold_state *c)
{
	if (c->doubted)
		return UINT64_MAX;
	return MAX(known_until(c), after(c->contacted_at, c->rule.cold_ms));
}

/* Returns whether the limit of the service's cold servers holds for the server. */
bool cold_is_in_force(const struct cold_state *c, uint64_t now)
{
	return c->rule.max_requests && now < in_force_until(c);
}

/* Returns for how long the server is still cold, for other nodes. */
uint32_t cold_left_ms(const struct cold_state *c, uint64_t now)
{
	return cold_is_known(c, now) ? (uint32_t)(known_until(c) - now) : 0;
}

/* Sets this node's part by its rank, from 0, among the nodes. */
void cold_set_rank(struct cold_state *c, uint32_t rank, uint32_t nodes)
{
	uint32_t planned = MAX(c->rule.max_requests / MARGIN_DIVISOR, 1);
	uint32_t senders = MIN(planned, nodes);
	uint32_t part = senders ? planned / senders : 0;

	c->ranked = true;
	c->spacing_ms = rank < senders ? (PART_MS + part - 1) / part : 0;
}

/* Takes this node's part back, as it is set anew when the server is cold again. */
void cold_clear_rank(struct cold_state *c)
{
	c->ranked = false;
	c->spacing_ms = 0;
}

/* Returns from when on the server may get a request of this node. */
uint64_t cold_allowed_at(const struct cold_state *c, uint64_t now)
{
	if (!cold_is_in_force(c, now))
		return 0;
	if (!c->spacing_ms)
		return in_force_until(c);
	return after(c->sent_at, c->spacing_ms);
}

/* Returns whether the server may get a request of this node now. */
bool cold_allows(const struct cold_state *c, uint64_t now)
{
	return now >= cold_allowed_at(c, now);
}

/* Counts a request that is sent to the server. */
void cold_count(struct cold_state *c, uint64_t now)
{
	c->sent_at = now;
}
