#include "crash/crash-keys.h"

#include <string.h>

/*
 * A key is blocked after so many crashes under so many different request ids, if
 * one of these was sent again and crashed a second server, or if so many of the
 * crashes were apart from each other. Several servers that fail at once do
 * neither: no request is sent to a server that is down. Sound requests share
 * parts of their prompts with crashing ones; a whole request is shared by none.
 */
#define MIN_CRASHES 3
#define MIN_REQUESTS 2
#define MIN_CRASHES_APART 5
#define MIN_CRASHES_APART_REQUEST 3
#define APART_MS 200

/* Observations at a server within this time are of the same crash. */
#define SAME_CRASH_MS 1000
#define OBSERVATION_MEMORY_MS 60000 /* of a key that is not blocked */
#define KNOWN_GOOD_MEMORY_MS 30000 /* after an answer, a key is not blocked */
/* After the last crash. */
#define HOLD_MS 600000
#define HOLD_KNOWN_GOOD_MS 15000 /* of a key that was answered before */

#define TRIAL_INTERVAL_MS 3000 /* of releases of whole requests */

#define NEWS_SENDS 3 /* datagrams may be lost */

/* What the observations of a key say that blocked keys do not explain. */
struct crash_score {
	uint32_t crashes;
	uint32_t crashes_apart;
	uint32_t requests;
	bool repeated; /* a request crashed more than one server */
};

/* Initialises without any observation. */
void crash_keys_init(struct crash_keys *c)
{
	memset(c, 0, sizeof(*c));
	c->keys = g_ptr_array_new_with_free_func(g_free);
	c->by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
}

/* Frees the observations. */
void crash_keys_clear(struct crash_keys *c)
{
	g_hash_table_unref(c->by_key);
	g_ptr_array_unref(c->keys);
}

static struct crash_key *key_at(const struct crash_keys *c, guint i)
{
	return c->keys->pdata[i];
}

static struct crash_key *find_key(const struct crash_keys *c, uint64_t key)
{
	return g_hash_table_lookup(c->by_key, &key);
}

/* Returns whether the key is that of a whole request, not of a prompt's part. */
bool crash_key_is_request(const struct crash_key *p)
{
	return p->depth >= CRASH_KEY_REQUEST_DEPTH;
}

static void remove_key(struct crash_keys *c, guint index)
{
	g_hash_table_remove(c->by_key, &key_at(c, index)->key);
	g_ptr_array_remove_index_fast(c->keys, index);
}

static const struct crash_keys_known_good *
find_known_good(const struct crash_keys *c, uint64_t key)
{
	const struct crash_keys_known_good *set =
		c->known_good[key % CRASH_KEYS_KNOWN_GOOD_SETS];

	for (uint32_t i = 0; i < CRASH_KEYS_KNOWN_GOOD_WAYS; i++)
		if (set[i].at && set[i].key == key)
			return &set[i];
	return NULL;
}

static void set_known_good(struct crash_keys *c, uint64_t now, uint64_t key)
{
	struct crash_keys_known_good *set =
		c->known_good[key % CRASH_KEYS_KNOWN_GOOD_SETS];
	struct crash_keys_known_good *to = set;

	for (uint32_t i = 0; i < CRASH_KEYS_KNOWN_GOOD_WAYS; i++) {
		if (set[i].at && set[i].key == key) {
			to = &set[i];
			break;
		}
		if (set[i].at < to->at)
			to = &set[i];
	}
	to->key = key;
	to->at = now;
}

/* Handles a complete answer to a request with these keys. */
void crash_keys_on_answer(struct crash_keys *c, uint64_t now,
			  const uint64_t *keys, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		c->changed |= find_key(c, keys[i]) != NULL;
		set_known_good(c, now, keys[i]);
	}
}

/*
 * Returns when a request with the key was last answered, 0 if that was not
 * lately.
 */
uint64_t crash_keys_answered_at(const struct crash_keys *c, uint64_t now,
				uint64_t key)
{
	const struct crash_keys_known_good *s = find_known_good(c, key);

	return s && now - s->at < KNOWN_GOOD_MEMORY_MS ? s->at : 0;
}

static uint64_t memory_ms(const struct crash_keys *c, const struct crash_key *p)
{
	if (!p->blocked)
		return OBSERVATION_MEMORY_MS;
	return find_known_good(c, p->key) ? HOLD_KNOWN_GOOD_MS : HOLD_MS;
}

static uint64_t ms_between(const struct crash_observation *a,
			   const struct crash_observation *b)
{
	return a->at > b->at ? a->at - b->at : b->at - a->at;
}

static bool is_same_crash(const struct crash_observation *a,
			  const struct crash_observation *b)
{
	return a->server == b->server && ms_between(a, b) <= SAME_CRASH_MS;
}

/*
 * Returns whether to keep one key rather than another. A key that was observed
 * again outlasts the many that were running at one crash only.
 */
static bool is_worth_more(const struct crash_key *a, const struct crash_key *b)
{
	if (a->blocked != b->blocked)
		return a->blocked;
	if ((a->n > 1) != (b->n > 1))
		return a->n > 1;
	return a->last_at > b->last_at;
}

static void make_room(struct crash_keys *c)
{
	guint least = 0;

	for (guint i = 1; i < c->keys->len; i++)
		if (is_worth_more(key_at(c, least), key_at(c, i)))
			least = i;
	remove_key(c, least);
}

static struct crash_key *get_key(struct crash_keys *c, uint64_t key)
{
	struct crash_key *p = find_key(c, key);

	if (p)
		return p;
	if (c->keys->len == CRASH_KEYS_MAX)
		make_room(c);
	p = g_new0(struct crash_key, 1);
	p->key = key;
	g_ptr_array_add(c->keys, p);
	g_hash_table_insert(c->by_key, &p->key, p);
	return p;
}

/* Scores the observations of a key that are not left out. */
static struct crash_score score_observations(const struct crash_key *p,
					     const bool *left_out)
{
	struct crash_score score = {0};

	for (uint32_t i = 0; i < p->n; i++) {
		const struct crash_observation *s = &p->observation[i];
		bool new_crash = true, is_apart = true, new_request = true;

		if (left_out[i])
			continue;
		for (uint32_t k = 0; k < i; k++) {
			const struct crash_observation *other =
				&p->observation[k];
			bool same_crash = is_same_crash(s, other);

			if (left_out[k])
				continue;
			new_crash &= !same_crash;
			is_apart &= ms_between(s, other) >= APART_MS;
			new_request &= s->request != other->request;
			score.repeated |=
				s->request == other->request && !same_crash;
		}
		score.crashes += new_crash;
		score.crashes_apart += is_apart;
		score.requests += new_request;
	}
	return score;
}

static struct crash_score score_all(const struct crash_key *p)
{
	const bool none_left_out[CRASH_KEY_MAX_OBSERVATIONS] = {false};

	return score_observations(p, none_left_out);
}

/*
 * Adds an observation of this node or of another one. One that is known, or
 * beyond CRASH_KEY_MAX_OBSERVATIONS, changes nothing but the time of the last.
 */
void crash_keys_add(struct crash_keys *c, const struct crash_observation *s,
		    bool seen_here)
{
	struct crash_key *p = get_key(c, s->key);

	p->last_at = MAX(p->last_at, s->at);
	for (uint32_t i = 0; i < p->n; i++)
		if (is_same_crash(&p->observation[i], s) &&
		    p->observation[i].request == s->request)
			return;
	if (p->n == CRASH_KEY_MAX_OBSERVATIONS)
		return;
	p->depth = MAX(p->depth, s->depth);
	p->sends_left[p->n] = seen_here ? NEWS_SENDS : 0;
	p->observation[p->n++] = *s;
	c->changed = true;
}

/* Returns whether the key was running at the crash of an observation. */
static bool ran_at(const struct crash_key *p, const struct crash_observation *s)
{
	for (uint32_t i = 0; i < p->n; i++)
		if (is_same_crash(&p->observation[i], s))
			return true;
	return false;
}

/* Returns whether a blocked key, or only a part, ran at the crash. */
static bool is_explained(const struct crash_keys *c,
			 const struct crash_observation *s, bool by_part)
{
	for (guint i = 0; i < c->keys->len; i++) {
		const struct crash_key *p = key_at(c, i);

		if (!p->blocked || (by_part && crash_key_is_request(p)))
			continue;
		if (ran_at(p, s))
			return true;
	}
	return false;
}

static struct crash_score score_unexplained(const struct crash_keys *c,
					    const struct crash_key *p,
					    bool by_part)
{
	bool explained[CRASH_KEY_MAX_OBSERVATIONS];

	for (uint32_t i = 0; i < p->n; i++)
		explained[i] = is_explained(c, &p->observation[i], by_part);
	return score_observations(p, explained);
}

static bool is_enough(const struct crash_score *s, uint32_t min_apart)
{
	return s->requests >= MIN_REQUESTS &&
	       ((s->repeated && s->crashes >= MIN_CRASHES) ||
		s->crashes_apart >= min_apart);
}

static uint32_t min_apart(const struct crash_key *p)
{
	return crash_key_is_request(p) ? MIN_CRASHES_APART_REQUEST
				       : MIN_CRASHES_APART;
}

/*
 * Returns the key that explains most of the crashes that are not explained yet,
 * if it does so conclusively, or NULL. Among equals it is the deepest: the ones
 * before it are shared by more requests, good ones too.
 */
static struct crash_key *next_crashing_key(const struct crash_keys *c,
					   uint64_t now)
{
	struct crash_key *best = NULL;
	struct crash_score best_score = {0};

	for (guint i = 0; i < c->keys->len; i++) {
		struct crash_key *p = key_at(c, i);
		struct crash_score s;

		if (p->n < MIN_CRASHES || p->blocked ||
		    crash_keys_answered_at(c, now, p->key))
			continue;
		s = score_unexplained(c, p, false);
		if (!is_enough(&s, min_apart(p)) ||
		    s.crashes < best_score.crashes ||
		    (best && s.crashes == best_score.crashes &&
		     p->depth < best->depth))
			continue;
		best = p;
		best_score = s;
	}
	return best;
}

static void report(const struct crash_key *p, crash_keys_log log, void *user)
{
	struct crash_score s = score_all(p);

	log(user, p, s.crashes, s.requests);
}

static void forget_old(struct crash_keys *c, uint64_t now, crash_keys_log log,
		       void *user)
{
	for (guint i = c->keys->len; i-- > 0;) {
		struct crash_key *p = key_at(c, i);

		if (now - p->last_at <= memory_ms(c, p))
			continue;
		if (p->blocked) {
			p->blocked = false;
			report(p, log, user);
		}
		remove_key(c, i);
		c->changed = true;
	}
}

/*
 * Handles another node's report that a request with the key was answered at
 * a time.
 */
void crash_keys_on_peer_answer(struct crash_keys *c, uint64_t at, uint64_t key)
{
	const struct crash_keys_known_good *s = find_known_good(c, key);

	if (s && s->at >= at)
		return;
	c->changed |= find_key(c, key) != NULL;
	set_known_good(c, at, key);
}

/* Returns whether a whole request ran at enough crashes, whoever caused them. */
static bool is_suspect(const struct crash_keys *c, uint64_t now,
		       const struct crash_key *p)
{
	struct crash_score s;

	if (!crash_key_is_request(p) || p->n < MIN_CRASHES ||
	    crash_keys_answered_at(c, now, p->key))
		return false;
	s = score_unexplained(c, p, true);
	return is_enough(&s, MIN_CRASHES_APART_REQUEST);
}

static uint64_t last_observed_at(const struct crash_key *p)
{
	uint64_t at = 0;

	for (uint32_t i = 0; i < p->n; i++)
		at = MAX(at, p->observation[i].at);
	return at;
}

/* Returns whether no other blocked request can have caused one of the crashes. */
static bool is_proven(const struct crash_keys *c, const struct crash_key *p)
{
	for (uint32_t i = 0; i < p->n; i++) {
		bool alone = true;

		for (guint k = 0; k < c->keys->len && alone; k++) {
			const struct crash_key *q = key_at(c, k);

			alone = q == p || !crash_key_is_request(q) ||
				!q->blocked_at || find_known_good(c, q->key) ||
				!ran_at(q, &p->observation[i]);
		}
		if (alone)
			return true;
	}
	return false;
}

/*
 * Decides which whole requests are blocked: all that ran at enough crashes, as it
 * does not show at once which of those that always run together causes them. One
 * that has been released for a trial is blocked again by its next crash.
 */
static void block_requests(struct crash_keys *c, uint64_t now,
			   const bool *was_blocked)
{
	for (guint i = 0; i < c->keys->len; i++) {
		struct crash_key *p = key_at(c, i);

		if (crash_key_is_request(p))
			p->blocked = is_suspect(c, now, p) &&
				     (was_blocked[i] || !p->blocked_at ||
				      last_observed_at(p) > p->blocked_at);
	}
}

/*
 * Releases the next of the blocked requests whose crashes others may have caused.
 * While those are blocked, its next run tells: it is answered, or crashes its
 * server alone.
 */
static void release_for_trial(struct crash_keys *c, uint64_t now)
{
	struct crash_key *next = NULL;

	if (now < c->next_trial_at)
		return;
	c->next_trial_at = UINT64_MAX;
	for (guint i = 0; i < c->keys->len; i++) {
		struct crash_key *p = key_at(c, i);

		if (!p->blocked || !crash_key_is_request(p) || is_proven(c, p))
			continue;
		c->next_trial_at = now + TRIAL_INTERVAL_MS;
		if (p->blocked_at + TRIAL_INTERVAL_MS <= now &&
		    (!next || p->key < next->key))
			next = p;
	}
	if (next)
		next->blocked = false;
}

/*
 * Forgets old observations and decides anew which keys are blocked. Calls log
 * for each key that is blocked or released.
 */
void crash_keys_update(struct crash_keys *c, uint64_t now, crash_keys_log log,
		       void *user)
{
	bool was_blocked[CRASH_KEYS_MAX] = {false};
	struct crash_key *p;

	forget_old(c, now, log, user);
	if (!c->changed && now < c->next_trial_at)
		return;
	if (c->changed)
		c->next_trial_at =
			MIN(c->next_trial_at, now + TRIAL_INTERVAL_MS);
	c->changed = false;
	for (guint i = 0; i < c->keys->len; i++) {
		was_blocked[i] = key_at(c, i)->blocked;
		key_at(c, i)->blocked = false;
	}
	while ((p = next_crashing_key(c, now)))
		p->blocked = true;
	block_requests(c, now, was_blocked);
	release_for_trial(c, now);
	for (guint i = 0; i < c->keys->len; i++) {
		p = key_at(c, i);
		if (p->blocked == was_blocked[i])
			continue;
		p->blocked_at = now;
		report(p, log, user);
	}
}

/*
 * Returns for how many ms from now requests with these keys will not be sent;
 * 0 if none of them is blocked.
 */
uint64_t crash_keys_blocked_ms(const struct crash_keys *c, uint64_t now,
			       const uint64_t *keys, uint32_t n)
{
	uint64_t ms = 0;

	for (uint32_t i = 0; i < n && c->keys->len; i++) {
		const struct crash_key *p = find_key(c, keys[i]);
		uint64_t until;

		if (!p || !p->blocked)
			continue;
		until = p->last_at + memory_ms(c, p);
		ms = MAX(ms, until > now ? until - now : 1);
	}
	return ms;
}

/*
 * Returns whether a request with these keys is on trial, so that it must not be
 * sent again after a broken answer: one of the keys was blocked, and no request
 * with it has been answered since.
 */
bool crash_keys_on_trial(const struct crash_keys *c, uint64_t now,
			 const uint64_t *keys, uint32_t n)
{
	for (uint32_t i = 0; i < n && c->keys->len; i++) {
		const struct crash_key *p = find_key(c, keys[i]);

		if (p && p->blocked_at && !p->blocked &&
		    !crash_keys_answered_at(c, now, p->key))
			return true;
	}
	return false;
}

/* Returns how many whole requests, or parts of prompts, are blocked. */
uint32_t crash_keys_count_blocked(const struct crash_keys *c, bool requests)
{
	uint32_t n = 0;

	for (guint i = 0; i < c->keys->len; i++) {
		const struct crash_key *p = key_at(c, i);

		n += p->blocked && crash_key_is_request(p) == requests;
	}
	return n;
}

/*
 * Stores in `out` the observations of this node that other nodes must still
 * hear of, each in a few calls. Returns their number, at most `max`.
 */
uint32_t crash_keys_take_news(struct crash_keys *c,
			      struct crash_observation *out, uint32_t max)
{
	uint32_t n = 0;

	for (guint i = 0; i < c->keys->len; i++) {
		struct crash_key *p = key_at(c, i);

		for (uint32_t k = 0; k < p->n && n < max; k++) {
			if (!p->sends_left[k])
				continue;
			p->sends_left[k]--;
			out[n++] = p->observation[k];
		}
	}
	return n;
}

/*
 * Stores in `out` observations of blocked keys, by which a node that has
 * started since learns of them; each call goes on where the last one ended.
 * Returns their number, at most `max`.
 */
uint32_t crash_keys_summary(struct crash_keys *c, struct crash_observation *out,
			    uint32_t max)
{
	uint32_t n = 0, index = 0;

	for (guint i = 0; i < c->keys->len; i++) {
		const struct crash_key *p = key_at(c, i);

		for (uint32_t k = 0; p->blocked && k < p->n && n < max; k++)
			if (index++ >= c->summary_next)
				out[n++] = p->observation[k];
	}
	c->summary_next = n < max ? 0 : index;
	return n;
}
