#include "exchange/rate-limit.h"

#include <glib.h>

/* Below this rate a server could not show that it has lifted its limit. */
#define MIN_PER_S 0.2

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
 * is known. Returns true if the limit has changed.
 */
bool rate_limit_hear(struct rate_limit *l, uint64_t answered_at, double per_s)
{
	bool changed = per_s != l->per_s;

	if (answered_at < l->heard_at || (!per_s && !l->heard_at))
		return false;
	l->heard_at = answered_at;
	l->per_s = per_s;
	return changed;
}
