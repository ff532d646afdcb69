#include "exchange/model-choice.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define MAX_CELLS 8192
#define FORGET_TRIED 0.25 /* a cell with fewer decayed answers is dropped */
/* Fewer decayed answers than these are no evidence. */
#define MIN_TRIED 8
#define PRIOR_MEAN 0.5
#define PRIOR_ANSWERS 4 /* that the prior counts for */

/* What an answer is worth to the client, one in time being worth 1. */
#define LATE_WORTH 0.2 /* between 0.12 and 0.3, by how late it is */
#define WEAK_WORTH 0.03
/*
 * What running the largest model is taken to cost the other clients, on idle
 * servers and on those where even the smallest takes this share of the objective. At
 * a fixed cost of 0.1, simulated overload led all requests to the largest model,
 * which made it worse, and none was answered in time.
 */
#define CALM_WORK_WORTH 0.1
#define FULL_WORK_WORTH 2.0
#define FULL_SHARE 0.25
/*
 * Spread of the logarithm of a time around its estimate: two of three are within
 * a factor of 1.6.
 */
#define LOG_SPREAD 0.5
/* A first run that succeeds less often is nearly always wasted. */
#define MIN_FIRST_CHANCE 0.1
#define EXPLORE_SHARE 0.04 /* of the requests, while time is plenty */
#define EXPLORE_MIN_VALUE 0.95

struct model_cell {
	double tried; /* answers, decayed to `at` */
	double good; /* of these, were good enough */
	uint64_t at;
};

/* The levels at which evidence is kept, from the widest. */
enum level {
	LEVEL_ROUTE,
	LEVEL_SIZE,
	LEVEL_PART,
	LEVEL_COUNT
};

/* Returns the name of a reason as logs show it. */
const char *model_reason_name(enum model_reason reason)
{
	static const char *const names[] = {"smallest", "value", "explore"};

	return names[reason];
}

/* Initialises the evidence; nothing is known. */
void model_choice_init(struct model_choice *m)
{
	m->cells = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 g_free);
}

/* Frees the evidence. */
void model_choice_clear(struct model_choice *m)
{
	g_hash_table_unref(m->cells);
}

static uint32_t size_class(uint32_t tokens)
{
	return tokens ? 1 + g_bit_nth_msf(tokens, -1) : 0;
}

static uint64_t cell_id(const struct model_key *key, size_t model,
			enum level level)
{
	const uint64_t id[] = {
		key->route,
		model,
		level,
		level >= LEVEL_SIZE ? size_class(key->input_tokens) : 0,
		level >= LEVEL_PART ? key->part : 0,
	};

	return XXH3_64bits(id, sizeof(id));
}

/* Returns what the cell's counts are to be multiplied with now. */
static double decay(const struct model_cell *c, uint64_t now)
{
	double ms = now > c->at ? (double)(now - c->at) : 0;

	return exp2(-ms / MODEL_CHOICE_HALF_LIFE_MS);
}

static gboolean is_forgotten(void *id, void *cell, void *now)
{
	const struct model_cell *c = cell;

	(void)id;
	return c->tried * decay(c, *(uint64_t *)now) < FORGET_TRIED;
}

/* Returns a cell, new if need be; NULL if there are too many. */
static struct model_cell *get_cell(struct model_choice *m, uint64_t now,
				   uint64_t id)
{
	struct model_cell *c = g_hash_table_lookup(m->cells, &id);

	if (c)
		return c;
	if (g_hash_table_size(m->cells) >= MAX_CELLS)
		g_hash_table_foreach_remove(m->cells, is_forgotten, &now);
	if (g_hash_table_size(m->cells) >= MAX_CELLS)
		return NULL;
	c = g_new0(struct model_cell, 1);
	g_hash_table_insert(m->cells, g_memdup2(&id, sizeof(id)), c);
	return c;
}

/* Adds an answer of a model, and whether it was good enough. */
void model_choice_add(struct model_choice *m, uint64_t now,
		      const struct model_key *key, size_t model, bool good)
{
	int levels = key->part ? LEVEL_COUNT : LEVEL_PART;

	for (int level = 0; level < levels; level++) {
		struct model_cell *c =
			get_cell(m, now, cell_id(key, model, level));
		double kept;

		if (!c)
			continue;
		kept = decay(c, now);
		c->tried = c->tried * kept + 1;
		c->good = c->good * kept + good;
		c->at = now;
	}
}

/*
 * Returns the chance that the answer of a model is good enough. The evidence of
 * the prompt's size counts, and that of its last shared part if it is enough;
 * that of all the route's requests is their prior.
 */
struct model_belief model_choice_belief(const struct model_choice *m,
					uint64_t now,
					const struct model_key *key,
					size_t model)
{
	int levels = key->part ? LEVEL_COUNT : LEVEL_PART;
	struct model_belief b = {PRIOR_MEAN, 0.5, 0};

	for (int level = 0; level < levels; level++) {
		uint64_t id = cell_id(key, model, level);
		const struct model_cell *c = g_hash_table_lookup(m->cells, &id);
		double tried = c ? c->tried * decay(c, now) : 0;
		double good = c ? c->good * decay(c, now) : 0;
		double n = tried + PRIOR_ANSWERS;

		if (level == LEVEL_PART && tried < MIN_TRIED)
			break;
		b.mean = (good + PRIOR_ANSWERS * b.mean) / n;
		b.deviation = sqrt(b.mean * (1 - b.mean) / (n + 1));
		b.tried = tried;
	}
	return b;
}

/* Returns the chance that what is expected after expected_ms comes in left_ms. */
static double chance_within(double left_ms, double expected_ms)
{
	if (left_ms <= 0)
		return 0;
	if (expected_ms <= 0)
		return 1;
	return 0.5 * erfc(-log(left_ms / expected_ms) / LOG_SPREAD / M_SQRT2);
}

/* Returns what the work of the largest model is worth at the servers' load. */
static double work_worth(const struct model_option *options,
			 const struct model_situation *s)
{
	double full_ms = FULL_SHARE * s->objective_ms;
	double wait_ms = options[0].first_event_ms - options[0].own_ms;
	double used = full_ms > 0 ? MAX(wait_ms, 0) / full_ms : 0;

	used = MIN(used, 1);
	return CALM_WORK_WORTH +
	       (FULL_WORK_WORTH - CALM_WORK_WORTH) * used * used;
}

/* Returns what a good answer of a model, asked after_ms from now, is worth. */
static double worth_after(const struct model_option *o, double after_ms,
			  const struct model_situation *s)
{
	double first_ms = after_ms + o->first_event_ms;
	double in_time = chance_within(s->objective_left_ms, first_ms);

	return chance_within(s->deadline_left_ms, first_ms + o->rest_ms) *
	       (in_time + LATE_WORTH * (1 - in_time));
}

/*
 * Returns the chance that model i is good enough, for its benefit the smallest
 * one's and to its disadvantage any other's as far as it is uncertain: only what is
 * known well changes what is done without evidence.
 */
static double chance_good(const struct model_option *options, size_t n,
			  size_t i)
{
	const struct model_belief *b = &options[i].belief;

	if (i + 1 == n)
		return 1;
	return i ? MAX(b->mean - b->deviation, 0)
		 : MIN(b->mean + b->deviation, 1);
}

/*
 * Returns the chance that model i is good enough after a weak answer of a smaller
 * one. A larger model is taken to be good wherever a smaller one is.
 */
static double chance_after_weak(const struct model_option *options, size_t n,
				size_t weak, size_t i)
{
	double p = chance_good(options, n, i);
	double before = options[weak].belief.mean;

	if (i + 1 == n || before >= 1)
		return 1;
	return MAX((p - before) / (1 - before), 0);
}

/* Returns what asking model i after a weak answer is worth, less its work. */
static double second_value(const struct model_option *options, size_t n,
			   size_t weak, size_t i, double after_ms,
			   const struct model_situation *s)
{
	double p = i + 1 < n && options[i].belief.tried < MIN_TRIED
			   ? 0
			   : chance_after_weak(options, n, weak, i);

	return p * worth_after(&options[i], after_ms, s) +
	       (1 - p) * WEAK_WORTH - work_worth(options, s) * options[i].work;
}

static size_t best_second(const struct model_option *options, size_t n,
			  size_t weak, double after_ms,
			  const struct model_situation *s, double *value)
{
	size_t best = n - 1;

	*value = second_value(options, n, weak, best, after_ms, s);
	for (size_t i = weak + 1; i + 1 < n; i++) {
		double v = second_value(options, n, weak, i, after_ms, s);

		if (v > *value) {
			best = i;
			*value = v;
		}
	}
	return best;
}

/* Returns what asking model i first is worth, with a second run if need be. */
static double path_value(const struct model_option *options, size_t n, size_t i,
			 const struct model_situation *s)
{
	double p = chance_good(options, n, i);
	double value = p * worth_after(&options[i], 0, s) -
		       work_worth(options, s) * options[i].work;
	double second;

	if (i + 1 == n)
		return value;
	best_second(options, n, i, options[i].first_event_ms, s, &second);
	second = MAX(second, WEAK_WORTH);
	return value + (1 - p) * (s->escalation_chance * second +
				  (1 - s->escalation_chance) * WEAK_WORTH);
}

/* Returns the model whose path is worth most; of equals the smallest. */
static size_t best_first(const struct model_option *options, size_t n,
			 const struct model_situation *s)
{
	size_t best = n - 1;
	double best_value = path_value(options, n, best, s);
	/* Where the largest is worth nothing, little work is worth most. */
	double min_chance = best_value > WEAK_WORTH ? MIN_FIRST_CHANCE : 0;

	for (size_t i = n - 1; i-- > 0;) {
		double value = path_value(options, n, i, s);

		if (options[i].belief.tried < MIN_TRIED ||
		    chance_good(options, n, i) < min_chance ||
		    value < best_value)
			continue;
		best = i;
		best_value = value;
	}
	return best;
}

/*
 * Returns whether the middle model is to be asked to learn of it: nothing else
 * ever gives it a first request. It costs the client nothing while time is
 * plenty.
 */
static bool explores(const struct model_option *options, size_t n,
		     const struct model_situation *s)
{
	return n > 2 && s->draw < EXPLORE_SHARE && s->escalation_chance >= 1 &&
	       worth_after(&options[n - 1], options[1].first_event_ms, s) >=
		       EXPLORE_MIN_VALUE;
}

/*
 * Returns the model that is asked first, and why. Without evidence that is the
 * smallest one; otherwise the one whose path, with a second run after a weak
 * answer, is worth most.
 */
size_t model_choice_first(const struct model_option *options, size_t n,
			  const struct model_situation *s,
			  enum model_reason *reason)
{
	size_t best;

	*reason = MODEL_REASON_EXPLORE;
	if (explores(options, n, s))
		return 1;
	*reason = MODEL_REASON_SMALLEST;
	if (options[0].belief.tried < MIN_TRIED)
		return 0;
	best = best_first(options, n, s);
	if (best)
		*reason = MODEL_REASON_VALUE;
	return best;
}

/*
 * Returns what a weak answer is worth by the model's own opinion of it, as a share of
 * the quality target. Half of the answers with half of the target's confidence are
 * not good by far: the worth falls faster than the confidence.
 */
double model_choice_kept_worth(double confidence, double target)
{
	double share = target > 0 ? CLAMP(confidence / target, 0, 1) : 1;

	return share * share;
}

/*
 * Returns the model that is asked after a weak answer, or `weak` if that answer is
 * to be kept since no other is worth more. Stores the worth of what is chosen.
 */
size_t model_choice_next(const struct model_option *options, size_t n,
			 size_t weak, const struct model_situation *s,
			 double *value)
{
	size_t best = best_second(options, n, weak, 0, s, value);
	double kept = MAX(s->kept_worth, WEAK_WORTH);

	if (*value > kept)
		return best;
	*value = kept;
	return weak;
}
