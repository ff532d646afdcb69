#include "crash/crash-keys.h"

#include <string.h>

/*
 * A key is blocked after so many crashes under so many different requests, if
 * one of these was sent again and crashed a second server, or if so many of the
 * crashes were apart from each other. Several servers that fail at once do
 * neither: no request is sent to a server that is down.
 */
#define MIN_CRASHES 3
#define MIN_REQUESTS 2
#define MIN_CRASHES_APART 5
#define APART_MS 200

/* Observations at a server within this time are of the same crash. */
#define SAME_CRASH_MS 1000
#define OBSERVATION_MEMORY_MS 60000 /* of a key that is not blocked */
#define KNOWN_GOOD_MEMORY_MS 30000 /* after an answer, a key is not blocked */
/* After the last crash. */
#define HOLD_MS 600000
#define HOLD_KNOWN_GOOD_MS 15000 /* of a key that was answered before */

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
}

/* Frees the observations. */
void crash_keys_clear(struct crash_keys *c)
{
	g_ptr_array_unref(c->keys);
}

static struct crash_key *key_at(const struct crash_keys *c, guint i)
{
	return c->keys->pdata[i];
}

static struct crash_key *find_key(const struct crash_keys *c, uint64_t key)
{
	for (guint i = 0; i < c->keys->len; i++)
		if (key_at(c, i)->key == key)
			return key_at(c, i);
	return NULL;
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

/* Makes room for a key: drops the one that was observed longest ago. */
static void drop_oldest_key(struct crash_keys *c)
{
	guint oldest = 0;

	for (guint i = 1; i < c->keys->len; i++)
		if (key_at(c, oldest)->blocked ||
		    (!key_at(c, i)->blocked &&
		     key_at(c, i)->last_at < key_at(c, oldest)->last_at))
			oldest = i;
	g_ptr_array_remove_index(c->keys, oldest);
}

static struct crash_key *get_key(struct crash_keys *c, uint64_t key)
{
	struct crash_key *p = find_key(c, key);

	if (p)
		return p;
	if (c->keys->len == CRASH_KEYS_MAX)
		drop_oldest_key(c);
	p = g_new0(struct crash_key, 1);
	p->key = key;
	g_ptr_array_add(c->keys, p);
	return p;
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

static bool is_explained(const struct crash_keys *c,
			 const struct crash_observation *s)
{
	for (guint i = 0; i < c->keys->len; i++) {
		const struct crash_key *p = key_at(c, i);

		for (uint32_t k = 0; p->blocked && k < p->n; k++)
			if (is_same_crash(&p->observation[k], s))
				return true;
	}
	return false;
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

static struct crash_score score_unexplained(const struct crash_keys *c,
					    const struct crash_key *p)
{
	bool explained[CRASH_KEY_MAX_OBSERVATIONS];

	for (uint32_t i = 0; i < p->n; i++)
		explained[i] = is_explained(c, &p->observation[i]);
	return score_observations(p, explained);
}

static bool is_conclusive(const struct crash_score *s)
{
	return s->requests >= MIN_REQUESTS &&
	       ((s->repeated && s->crashes >= MIN_CRASHES) ||
		s->crashes_apart >= MIN_CRASHES_APART);
}

/*
 * Returns the key that explains most of the crashes that are not explained
 * yet, if it does so conclusively, or NULL. Among equals it is the deepest: the
 * ones before it are shared by more requests, good ones too.
 */
static struct crash_key *next_crashing_key(const struct crash_keys *c,
					   uint64_t now)
{
	struct crash_key *best = NULL;
	struct crash_score best_score = {0};

	for (guint i = 0; i < c->keys->len; i++) {
		struct crash_key *p = key_at(c, i);
		struct crash_score s;

		if (p->blocked || crash_keys_answered_at(c, now, p->key))
			continue;
		s = score_unexplained(c, p);
		if (!is_conclusive(&s) || s.crashes < best_score.crashes ||
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
	const bool none_left_out[CRASH_KEY_MAX_OBSERVATIONS] = {false};
	struct crash_score s = score_observations(p, none_left_out);

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
		g_ptr_array_remove_index_fast(c->keys, i);
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

/*
 * Forgets old observations and decides anew which keys are blocked. Calls log
 * for each key that is blocked or released.
 */
void crash_keys_update(struct crash_keys *c, uint64_t now, crash_keys_log log,
		       void *user)
{
	bool was_blocked[CRASH_KEYS_MAX];
	struct crash_key *p;

	forget_old(c, now, log, user);
	if (!c->changed)
		return;
	c->changed = false;
	for (guint i = 0; i < c->keys->len; i++) {
		was_blocked[i] = key_at(c, i)->blocked;
		key_at(c, i)->blocked = false;
	}
	while ((p = next_crashing_key(c, now)))
		p->blocked = true;
	for (guint i = 0; i < c->keys->len; i++)
		if (key_at(c, i)->blocked != was_blocked[i])
			report(key_at(c, i), log, user);
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

/* Returns how many keys are blocked. */
uint32_t crash_keys_count_blocked(const struct crash_keys *c)
{
	uint32_t n = 0;

	for (guint i = 0; i < c->keys->len; i++)
		n += key_at(c, i)->blocked;
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
