#include "rollout/evidence.h"

#include <string.h>

#include "json-check.h"

static void free_version(void *p)
{
	struct evidence_version *v = p;

	g_free(v->name);
	g_free(v);
}

/*
 * Returns an empty list of struct evidence_version; to be freed with
 * g_ptr_array_unref().
 */
GPtrArray *evidence_versions_new(void)
{
	return g_ptr_array_new_with_free_func(free_version);
}

/*
 * Returns the counts of the named version, owned by the list. A version that is
 * not in the list is added with counts of zero.
 */
struct rollout_counts *evidence_version_counts(GPtrArray *versions,
					       const char *name)
{
	struct evidence_version *v;

	for (guint i = 0; i < versions->len; i++) {
		v = versions->pdata[i];
		if (!strcmp(v->name, name))
			return &v->counts;
	}
	v = g_new0(struct evidence_version, 1);
	v->name = g_strdup(name);
	g_ptr_array_add(versions, v);
	return &v->counts;
}

/* Returns the counts as [n, bad, n, bad, ...] in the order of the metrics. */
static struct json_object *counts_to_json(const struct rollout_counts *c)
{
	struct json_object *a = json_object_new_array();

	for (int m = 0; m < ROLLOUT_METRIC_COUNT; m++) {
		json_object_array_add(a,
				      json_object_new_int64((int64_t)c->n[m]));
		json_object_array_add(
			a, json_object_new_int64((int64_t)c->bad[m]));
	}
	return a;
}

/* Reads what counts_to_json() wrote; zero counts if the length is wrong. */
static struct rollout_counts counts_from_json(struct json_object *a)
{
	struct rollout_counts c = {{0}, {0}};

	if (jcheck_array_length(a) != 2 * (size_t)ROLLOUT_METRIC_COUNT)
		return c;
	for (size_t m = 0; m < ROLLOUT_METRIC_COUNT; m++) {
		c.n[m] = (uint64_t)json_object_get_int64(
			json_object_array_get_idx(a, 2 * m));
		c.bad[m] = (uint64_t)json_object_get_int64(
			json_object_array_get_idx(a, 2 * m + 1));
	}
	return c;
}

/* Returns the counts by version name for a status object, newly allocated. */
struct json_object *evidence_versions_json(const GPtrArray *versions)
{
	struct json_object *o = json_object_new_object();

	for (guint i = 0; i < versions->len; i++) {
		const struct evidence_version *v = versions->pdata[i];

		json_object_object_add(o, v->name, counts_to_json(&v->counts));
	}
	return o;
}

/* Returns empty evidence for a roll-out to version `to`, newly allocated. */
struct rollout_evidence *evidence_new(const char *rollout, const char *to)
{
	struct rollout_evidence *e = g_new0(struct rollout_evidence, 1);

	e->rollout = g_strdup(rollout);
	e->to = g_strdup(to);
	e->included_to =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->included_from =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return e;
}

/* Frees the evidence; NULL is allowed. */
void evidence_free(struct rollout_evidence *e)
{
	if (!e)
		return;
	g_hash_table_destroy(e->included_to);
	g_hash_table_destroy(e->included_from);
	g_free(e->rollout);
	g_free(e->to);
	g_free(e);
}

static struct json_object *doubles_to_json(const double *a)
{
	struct json_object *list = json_object_new_array();

	for (int m = 0; m < ROLLOUT_METRIC_COUNT; m++)
		json_object_array_add(list, json_object_new_double(a[m]));
	return list;
}

static void doubles_from_json(struct json_object *list, double *a)
{
	for (size_t m = 0;
	     m < ROLLOUT_METRIC_COUNT && m < jcheck_array_length(list); m++)
		a[m] = json_object_get_double(
			json_object_array_get_idx(list, m));
}

static struct json_object *runs_to_json(GHashTable *included)
{
	struct json_object *o = json_object_new_object();
	GHashTableIter it;
	void *key, *counts;

	g_hash_table_iter_init(&it, included);
	while (g_hash_table_iter_next(&it, &key, &counts))
		json_object_object_add(o, key, counts_to_json(counts));
	return o;
}

static void runs_from_json(struct json_object *o, GHashTable *included)
{
	if (!o)
		return;
	json_object_object_foreach (o, key, val) {
		struct rollout_counts c = counts_from_json(val);

		g_hash_table_insert(included, g_strdup(key),
				    g_memdup2(&c, sizeof(c)));
	}
}

/* Returns the evidence as JSON text for the store, newly allocated. */
char *evidence_serialize(const struct rollout_evidence *e)
{
	struct json_object *o = json_object_new_object();
	char *text;

	json_object_object_add(o, "rollout",
			       json_object_new_string(e->rollout));
	json_object_object_add(o, "to", json_object_new_string(e->to));
	json_object_object_add(o, "step",
			       json_object_new_int64((int64_t)e->step));
	json_object_object_add(o, "stop", doubles_to_json(e->test.stop));
	json_object_object_add(o, "grow", doubles_to_json(e->test.grow));
	json_object_object_add(
		o, "step_n",
		json_object_new_int64((int64_t)e->test.step_ratings));
	json_object_object_add(o, "from_counts", counts_to_json(&e->from));
	json_object_object_add(o, "seen_to", runs_to_json(e->included_to));
	json_object_object_add(o, "seen_from", runs_to_json(e->included_from));
	text = g_strdup(
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
	return text;
}

/*
 * Parses stored evidence; returns NULL if the text is not a valid object. The
 * start time of the step is not stored, since the nodes' clocks differ: a new
 * lease holder counts from when it took over.
 */
struct rollout_evidence *evidence_parse(const char *text, size_t len)
{
	g_autofree char *copy = g_strndup(text, len);
	struct json_object *o = json_tokener_parse(copy);
	struct rollout_evidence *e = NULL;

	if (jcheck_get_string(o, "rollout", NULL) &&
	    jcheck_get_string(o, "to", NULL)) {
		e = evidence_new(jcheck_get_string(o, "rollout", ""),
				 jcheck_get_string(o, "to", ""));
		e->step = (size_t)jcheck_get_int(o, "step", 0);
		doubles_from_json(jcheck_get(o, "stop"), e->test.stop);
		doubles_from_json(jcheck_get(o, "grow"), e->test.grow);
		e->test.step_ratings = (uint64_t)jcheck_get_int(o, "step_n", 0);
		e->from = counts_from_json(jcheck_get(o, "from_counts"));
		runs_from_json(jcheck_get(o, "seen_to"), e->included_to);
		runs_from_json(jcheck_get(o, "seen_from"), e->included_from);
	}
	json_object_put(o);
	return e;
}

/*
 * Adds to `sum` by how much a node's counts have increased since they were last
 * included. A count that has decreased comes from an older status and is
 * skipped.
 */
static void add_increase(GHashTable *included, const char *key,
			 const struct rollout_counts *now,
			 struct rollout_counts *sum)
{
	struct rollout_counts *last = g_hash_table_lookup(included, key);

	if (!last) {
		last = g_new0(struct rollout_counts, 1);
		g_hash_table_insert(included, g_strdup(key), last);
	}
	for (int m = 0; m < ROLLOUT_METRIC_COUNT; m++) {
		if (now->n[m] < last->n[m])
			continue;
		sum->n[m] += now->n[m] - last->n[m];
		sum->bad[m] += now->bad[m] - MIN(last->bad[m], now->bad[m]);
		last->n[m] = now->n[m];
		last->bad[m] = now->bad[m];
	}
}

/*
 * Adds the counts of a node's status object to the evidence: those of the
 * version `from` to e->from, and the increase of those of e->to to `to_new`.
 * Counts only increase within one run of a node, so each answer is included
 * once, whichever lease holder reads it.
 */
void evidence_add_status(struct rollout_evidence *e, struct json_object *status,
			 const char *from, struct rollout_counts *to_new)
{
	struct json_object *versions = jcheck_get(status, "evidence");
	g_autofree char *key =
		g_strdup_printf("%s/%s", jcheck_get_string(status, "node", ""),
				jcheck_get_string(status, "boot", ""));
	struct rollout_counts to_now =
		counts_from_json(jcheck_get(versions, e->to));
	struct rollout_counts from_now =
		counts_from_json(jcheck_get(versions, from));

	add_increase(e->included_to, key, &to_now, to_new);
	add_increase(e->included_from, key, &from_now, &e->from);
}
