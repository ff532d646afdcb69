#include "rollout/rating-task.h"

#include <string.h>

#include "daemon/node.h"
#include "json-check.h"
#include "member/member-task.h"
#include "rollout/evidence.h"

#define RETRY_AFTER_FAILURE_MS 2000 /* pause after a failed rating call */
#define MAX_UNRATED_ANSWERS 40 /* of one version, in the whole fleet */
#define MIN_ROLLOUT_RATING_SHARE 0.3 /* of answers assigned to a roll-out */

struct rating_collector {
	struct node *node;
	GPtrArray *versions; /* struct evidence_version, since node start */
	GHashTable *unrated; /* version -> number of answers being rated */
	uint64_t rating_failed_at; /* ms; 0: never */
};

static void count_answer(struct rating_collector *t, const char *version,
			 enum rollout_metric metric, bool bad)
{
	struct rollout_counts *c =
		evidence_version_counts(t->versions, version);

	c->n[metric]++;
	c->bad[metric] += bad;
}

/* Counts a failed attempt at an engine of the version. */
void rating_on_failed(struct rating_collector *t, const char *version)
{
	count_answer(t, version, ROLLOUT_ERROR, true);
}

/* A call to the rating service that is under way. */
struct rating_call {
	struct rating_collector *collector;
	char *version;
	char *kind;
	double target;
	rating_callback done; /* may be NULL */
	void *user;
};

static void add_unrated(struct rating_collector *t, const char *version,
			int delta)
{
	int n = GPOINTER_TO_INT(g_hash_table_lookup(t->unrated, version)) +
		delta;

	g_hash_table_insert(t->unrated, g_strdup(version),
			    GINT_TO_POINTER(MAX(n, 0)));
}

static void count_rating(struct rating_call *r, double rating)
{
	struct rating_collector *t = r->collector;
	struct node *n = t->node;
	cfg_handle v = cfg_find_version(n->cfg, r->version);
	cfg_handle k = cfg_find_kind(n->cfg, r->kind);

	counter_add(&n->counter_set, COUNTER_RATINGS, 1);
	count_answer(t, r->version, ROLLOUT_RATING, rating < r->target);
	if (v != CFG_NONE && k != CFG_NONE)
		quality_add_rating(&n->quality, v, k, rating, r->target);
}

static void on_rated(void *user, const struct store_result *result)
{
	struct rating_call *r = user;
	struct json_object *o = NULL;
	bool rated;
	double rating;

	if (result->outcome == STORE_OK)
		o = json_tokener_parse(result->body);
	rating = jcheck_get_real(o, "rating", -1);
	rated = rating >= 0 && rating <= 1;
	json_object_put(o);
	add_unrated(r->collector, r->version, -1);
	if (rated)
		count_rating(r, rating);
	else
		r->collector->rating_failed_at = node_now(r->collector->node);
	if (r->done)
		r->done(r->user, rated, rating);
	g_free(r->version);
	g_free(r->kind);
	g_free(r);
}

/*
 * Requests a rating of the answer and counts the result. `done`, if not NULL,
 * is called with the rating, or with `rated` false if the service gave none.
 */
void rating_request(struct rating_collector *t, const struct rating_sample *s,
		    rating_callback done, void *user)
{
	struct rating_call *r = g_new0(struct rating_call, 1);
	struct json_object *o = json_object_new_object();

	r->collector = t;
	r->version = g_strdup(s->version);
	r->kind = g_strdup(s->kind);
	r->target = s->target;
	r->done = done;
	r->user = user;
	json_object_object_add(o, "kind", json_object_new_string(s->kind));
	json_object_object_add(o, "request",
			       json_object_new_string(s->request));
	json_object_object_add(o, "answer", json_object_new_string(s->answer));
	add_unrated(t, s->version, 1);
	store_request_rating(t->node->store, json_object_to_json_string(o),
			     on_rated, r);
	json_object_put(o);
}

/* Returns whether no call to the rating service has failed recently. */
bool rating_is_available(const struct rating_collector *t, uint64_t now)
{
	return !t->rating_failed_at ||
	       now - t->rating_failed_at > RETRY_AFTER_FAILURE_MS;
}

/*
 * Returns the new versions of roll-outs that must not serve requests now, as a
 * bit mask over their handles: too many of their answers wait for a rating.
 * This bounds how many bad answers can be delivered before the test detects
 * them.
 */
uint64_t rating_withheld_versions(const struct rating_collector *t)
{
	const struct cfg *cfg = t->node->cfg;
	int limit = MAX_UNRATED_ANSWERS /
		    (int)membership_task_live_count(t->node->member_task);
	uint64_t withheld = 0;

	for (size_t i = 0; i < cfg->n_rollouts; i++) {
		cfg_handle to = cfg->rollouts[i].to;
		int n = GPOINTER_TO_INT(g_hash_table_lookup(
			t->unrated, cfg->versions[to].name));

		if (cfg->rollouts[i].state != CFG_ROLLOUT_DONE &&
		    n >= MAX(limit, 1))
			withheld |= (uint64_t)1 << to;
	}
	return withheld;
}

/* Returns the probability with which an answer is sent to be rated. */
static double rating_share(const struct rating_collector *t,
			   const struct rating_sample *s)
{
	const struct cfg *cfg = t->node->cfg;
	cfg_handle v = cfg_find_version(cfg, s->version);
	cfg_handle r = v == CFG_NONE ? CFG_NONE : cfg_find_rollout_to(cfg, v);
	double default_share = t->node->settings->rating_share;

	if (r != CFG_NONE && cfg->rollouts[r].state == CFG_ROLLOUT_RUNNING)
		return 1;
	return s->rollout ? MAX(default_share, MIN_ROLLOUT_RATING_SHARE)
			  : default_share;
}

/*
 * Counts an answer that the client has received completely. All answers of a
 * version whose roll-out is running are sent to be rated, and a share of the
 * others. `first_token_ms` is 0 if the answer had no first token.
 */
void rating_on_delivered(struct rating_collector *t,
			 const struct rating_sample *s, double first_token_ms)
{
	double slow_ms = (double)t->node->settings->slow_first_token_ms;

	count_answer(t, s->version, ROLLOUT_ERROR, false);
	if (first_token_ms > 0)
		count_answer(t, s->version, ROLLOUT_LATENCY,
			     first_token_ms > slow_ms);
	if (rng_unit(&t->node->rng) < rating_share(t, s))
		rating_request(t, s, NULL, NULL);
}

/* Returns the counts by version name for the status object, newly allocated. */
struct json_object *rating_evidence_json(const struct rating_collector *t)
{
	return evidence_versions_json(t->versions);
}

/* Returns a collector with no counts, newly allocated. */
struct rating_collector *rating_new(struct node *n)
{
	struct rating_collector *t = g_new0(struct rating_collector, 1);

	t->node = n;
	t->versions = evidence_versions_new();
	t->unrated =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return t;
}
