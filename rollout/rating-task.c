#include "rollout/rating-task.h"

#include <string.h>

#include "daemon/node.h"
#include "json-check.h"
#include "member/member-task.h"
#include "rollout/evidence.h"

#define RATING_DOWN_MS 2000
#define UNRATED_FLEET 40
#define FROM_SAMPLE_SHARE 0.3

struct rating_collector {
	struct node *node;
	GPtrArray *versions; /* counts since the start of this node */
	GHashTable *unrated; /* version -> answers whose rating is out */
	uint64_t rating_failed_at;
};

static void count(struct rating_collector *t, const char *version,
		  enum rollout_metric respect, bool bad)
{
	struct rollout_counts *c =
		evidence_version_counts(t->versions, version);

	c->n[respect]++;
	c->bad[respect] += bad;
}

/* Counts an attempt that failed at a version's engine. */
void rating_on_failed(struct rating_collector *t, const char *version)
{
	count(t, version, ROLLOUT_ERROR, true);
}

/* One rating on its way. */
struct rating {
	struct rating_collector *task;
	char *version;
	char *kind;
	double target;
	rating_callback done; /* NULL: nobody waits */
	void *user;
};

static void change_unrated(struct rating_collector *t, const char *version,
			   int by)
{
	int n = GPOINTER_TO_INT(g_hash_table_lookup(t->unrated, version)) + by;

	g_hash_table_insert(t->unrated, g_strdup(version),
			    GINT_TO_POINTER(MAX(n, 0)));
}

static void take_rating(struct rating *r, double rating)
{
	struct rating_collector *t = r->task;
	struct node *n = t->node;
	cfg_handle v = cfg_find_version(n->cfg, r->version);
	cfg_handle k = cfg_find_kind(n->cfg, r->kind);

	counter_add(&n->counter_set, COUNTER_RATINGS, 1);
	count(t, r->version, ROLLOUT_RATING, rating < r->target);
	if (v != CFG_NONE && k != CFG_NONE)
		quality_add_rating(&n->quality, v, k, rating, r->target);
}

static void on_rated(void *user, const struct store_result *result)
{
	struct rating *r = user;
	struct json_object *o = NULL;
	bool rated;
	double rating;

	if (result->outcome == STORE_OK)
		o = json_tokener_parse(result->body);
	rating = jcheck_get_real(o, "rating", -1);
	rated = rating >= 0 && rating <= 1;
	json_object_put(o);
	change_unrated(r->task, r->version, -1);
	if (rated)
		take_rating(r, rating);
	else
		r->task->rating_failed_at = node_now(r->task->node);
	if (r->done)
		r->done(r->user, rated, rating);
	g_free(r->version);
	g_free(r->kind);
	g_free(r);
}

/* Asks the rating service; `done` may be NULL. */
void rating_request(struct rating_collector *t, const struct rating_sample *s,
		    rating_callback done, void *user)
{
	struct rating *r = g_new0(struct rating, 1);
	struct json_object *o = json_object_new_object();

	r->task = t;
	r->version = g_strdup(s->version);
	r->kind = g_strdup(s->kind);
	r->target = s->target;
	r->done = done;
	r->user = user;
	json_object_object_add(o, "kind", json_object_new_string(s->kind));
	json_object_object_add(o, "request",
			       json_object_new_string(s->request));
	json_object_object_add(o, "answer", json_object_new_string(s->answer));
	change_unrated(t, s->version, 1);
	store_request_rating(t->node->store, json_object_to_json_string(o),
			     on_rated, r);
	json_object_put(o);
}

/* Tells whether the rating service has answered of late. */
bool rating_is_available(const struct rating_collector *t, uint64_t now)
{
	return !t->rating_failed_at ||
	       now - t->rating_failed_at > RATING_DOWN_MS;
}

/*
 * Returns the versions under roll-out that this node must not give to callers
 * for now: too many of their answers wait for a rating. That bounds how many
 * bad ones can go out before the test can know.
 */
uint64_t rating_withheld_versions(const struct rating_collector *t)
{
	const struct cfg *cfg = t->node->cfg;
	int limit = UNRATED_FLEET /
		    (int)membership_task_live_count(t->node->member_task);
	uint64_t held = 0;

	for (size_t i = 0; i < cfg->n_rollouts; i++) {
		cfg_handle to = cfg->rollouts[i].to;
		int n = GPOINTER_TO_INT(g_hash_table_lookup(
			t->unrated, cfg->versions[to].name));

		if (cfg->rollouts[i].state != CFG_ROLLOUT_DONE &&
		    n >= MAX(limit, 1))
			held |= (uint64_t)1 << to;
	}
	return held;
}

static double rating_share(const struct rating_collector *t,
			   const struct rating_sample *s)
{
	const struct cfg *cfg = t->node->cfg;
	cfg_handle v = cfg_find_version(cfg, s->version);
	cfg_handle r = v == CFG_NONE ? CFG_NONE : cfg_find_rollout_to(cfg, v);
	double usual = t->node->settings->rating_share;

	if (r != CFG_NONE && cfg->rollouts[r].state == CFG_ROLLOUT_RUNNING)
		return 1;
	return s->rollout ? MAX(usual, FROM_SAMPLE_SHARE) : usual;
}

/*
 * Takes an answer that its caller has received whole. All answers of a
 * version under roll-out get rated, and a share of the others.
 */
void rating_on_delivered(struct rating_collector *t,
			 const struct rating_sample *s, double first_ms)
{
	double slow = (double)t->node->settings->slow_first_token_ms;

	count(t, s->version, ROLLOUT_ERROR, false);
	if (first_ms > 0)
		count(t, s->version, ROLLOUT_LATENCY, first_ms > slow);
	if (rng_unit(&t->node->rng) < rating_share(t, s))
		rating_request(t, s, NULL, NULL);
}

/* Returns the counts of all versions, newly allocated. */
struct json_object *rating_evidence_json(const struct rating_collector *t)
{
	return evidence_versions_json(t->versions);
}

/* Starts without evidence. */
struct rating_collector *rating_new(struct node *n)
{
	struct rating_collector *t = g_new0(struct rating_collector, 1);

	t->node = n;
	t->versions = evidence_versions_new();
	t->unrated =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return t;
}
