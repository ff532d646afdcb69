#include "exchange/load-limit.h"

#include <glib.h>

#define DECAY_INTERVAL_MS 10000 /* then older answers count half */
#define MIN_LIMITED_BIN 4 /* lower loads are never limited */
#define MIN_FAILED 3 /* beyond the limit */
#define MIN_FAILED_SHARE 0.3 /* the same, of the answers */
#define MIN_ANSWERS_BELOW 20 /* the limit */
#define MAX_FAILED_RATIO 0.25 /* of the shares below and beyond the limit */
/* After the last failure the limit holds, then rises by 1 each interval. */
#define HOLD_MS 30000
#define RISE_INTERVAL_MS 5000
#define NEWS_SENDS 3

static void decay(struct load_limit *l, uint64_t now)
{
	if (now - l->decayed_at < DECAY_INTERVAL_MS)
		return;
	l->decayed_at = now;
	for (int i = 0; i < LOAD_LIMIT_BINS; i++) {
		l->bin[i].n /= 2;
		l->bin[i].failed /= 2;
	}
}

static struct load_limit_bin sum_of_bins(const struct load_limit *l, int from,
					 int to)
{
	struct load_limit_bin sum = {0, 0};

	for (int i = from; i < to; i++) {
		sum.n += l->bin[i].n;
		sum.failed += l->bin[i].failed;
	}
	return sum;
}

/* Returns whether servers fail from the bin's loads on, and not below. */
static bool fails_from(const struct load_limit *l, int bin)
{
	struct load_limit_bin below = sum_of_bins(l, 0, bin);
	struct load_limit_bin beyond = sum_of_bins(l, bin, LOAD_LIMIT_BINS);

	return l->bin[bin].failed > 0 &&
	       l->bin[bin].failed >= MIN_FAILED_SHARE * l->bin[bin].n &&
	       beyond.failed >= MIN_FAILED &&
	       beyond.failed >= MIN_FAILED_SHARE * beyond.n &&
	       below.n >= MIN_ANSWERS_BELOW &&
	       below.failed * beyond.n <=
		       MAX_FAILED_RATIO * beyond.failed * below.n;
}

static uint32_t current_limit(const struct load_limit *l, uint64_t now)
{
	uint64_t held_ms = now - l->failed_at;

	if (held_ms <= HOLD_MS)
		return l->limit;
	return l->limit + (uint32_t)((held_ms - HOLD_MS) / RISE_INTERVAL_MS);
}

/*
 * Handles an answer to a request that was sent when its server had so many,
 * itself included. Returns whether the limit changed.
 */
bool load_limit_on_answer(struct load_limit *l, uint64_t now, double load,
			  bool failed)
{
	const int last = LOAD_LIMIT_BINS - 1;
	/* Compared before the cast: a load may exceed any int. */
	int bin = load < (double)last * LOAD_LIMIT_BIN_REQUESTS
			  ? (int)(MAX(load, 0) / LOAD_LIMIT_BIN_REQUESTS)
			  : last;
	uint32_t before = l->limit;

	decay(l, now);
	l->bin[bin].n++;
	if (!failed)
		return false;
	l->bin[bin].failed++;
	if (l->limit && load > l->limit)
		l->failed_at = now;
	for (int i = MIN_LIMITED_BIN; i <= bin; i++) {
		if (!fails_from(l, i))
			continue;
		l->limit = (uint32_t)i * LOAD_LIMIT_BIN_REQUESTS - 1;
		l->failed_at = now;
		l->sends_left = NEWS_SENDS;
		return l->limit != before;
	}
	return false;
}

/*
 * Handles the limit that another node has found by failures until `failed_at`.
 * It is ignored if servers answer this node well beyond it.
 */
void load_limit_on_peer_limit(struct load_limit *l, uint64_t failed_at,
			      uint32_t limit)
{
	struct load_limit_bin beyond = sum_of_bins(
		l, MIN(limit / LOAD_LIMIT_BIN_REQUESTS, LOAD_LIMIT_BINS - 1),
		LOAD_LIMIT_BINS);

	if (limit < MIN_LIMITED_BIN * LOAD_LIMIT_BIN_REQUESTS ||
	    (beyond.n >= MIN_ANSWERS_BELOW &&
	     beyond.failed < MIN_FAILED_SHARE * beyond.n))
		return;
	if (l->limit && l->limit <= limit)
		return;
	l->limit = limit;
	l->failed_at = failed_at;
}

/* Returns whether the limit must be sent to other nodes once more. */
bool load_limit_take_news(struct load_limit *l)
{
	if (!l->sends_left)
		return false;
	l->sends_left--;
	return true;
}

/* Returns whether a server bears so many requests at a time. */
bool load_limit_allows(const struct load_limit *l, uint64_t now, double load)
{
	return !l->limit || load <= current_limit(l, now);
}
