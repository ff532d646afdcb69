#include "rollout/evidence.h"

#include <string.h>

#include "json-check.h"

static void free_version(void *p)
{
	struct evidence_version *v = p;

	g_free(v->name);
	g_free(v);
}

/* Makes an empty list of versions' counts; free with g_ptr_array_unref. */
GPtrArray *evidence_versions_new(void)
{
	return g_ptr_array_new_with_free_func(free_version);
}

/* Returns a version's counts, zero at first. */
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

/* Counts as [n, bad, n, bad, ...] by respect. */
static struct json_object *counts_json(const struct rollout_counts *c)
{
	struct json_object *a = json_object_new_array();

	for (int r = 0; r < ROLLOUT_METRIC_COUNT; r++) {
		json_object_array_add(a,
				      json_object_new_int64((int64_t)c->n[r]));
		json_object_array_add(
			a, json_object_new_int64((int64_t)c->bad[r]));
	}
	return a;
}

static struct rollout_counts counts_from(struct json_object *a)
{
	struct rollout_counts c = {{0}, {0}};

	if (jcheck_array_length(a) != 2 * (size_t)ROLLOUT_METRIC_COUNT)
		return c;
	for (size_t r = 0; r < ROLLOUT_METRIC_COUNT; r++) {
		c.n[r] = (uint64_t)json_object_get_int64(
			json_object_array_get_idx(a, 2 * r));
		c.bad[r] = (uint64_t)json_object_get_int64(
			json_object_array_get_idx(a, 2 * r + 1));
	}
	return c;
}

/* Returns the versions' counts for a status object, newly allocated. */
struct json_object *evidence_versions_json(const GPtrArray *versions)
{
	struct json_object *o = json_object_new_object();

	for (guint i = 0; i < versions->len; i++) {
		const struct evidence_version *v = versions->pdata[i];

		json_object_object_add(o, v->name, counts_json(&v->counts));
	}
	return o;
}

/* Makes the evidence of a roll-out that begins. */
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

/* Frees evidence; NULL is allowed. */
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

static struct json_object *reals_json(const double *a)
{
	struct json_object *list = json_object_new_array();

	for (int r = 0; r < ROLLOUT_METRIC_COUNT; r++)
		json_object_array_add(list, json_object_new_double(a[r]));
	return list;
}

static void reals_from(struct json_object *list, double *a)
{
	for (size_t r = 0;
	     r < ROLLOUT_METRIC_COUNT && r < jcheck_array_length(list); r++)
		a[r] = json_object_get_double(
			json_object_array_get_idx(list, r));
}

static struct json_object *seen_json(GHashTable *seen)
{
	struct json_object *o = json_object_new_object();
	GHashTableIter it;
	void *key, *counts;

	g_hash_table_iter_init(&it, seen);
	while (g_hash_table_iter_next(&it, &key, &counts))
		json_object_object_add(o, key, counts_json(counts));
	return o;
}

static void seen_from_json(struct json_object *o, GHashTable *seen)
{
	if (!o)
		return;
	json_object_object_foreach (o, key, val) {
		struct rollout_counts c = counts_from(val);

		g_hash_table_insert(seen, g_strdup(key),
				    g_memdup2(&c, sizeof(c)));
	}
}

/* Writes evidence as stored; newly allocated. */
char *evidence_serialize(const struct rollout_evidence *e)
{
	struct json_object *o = json_object_new_object();
	char *text;

	json_object_object_add(o, "rollout",
			       json_object_new_string(e->rollout));
	json_object_object_add(o, "to", json_object_new_string(e->to));
	json_object_object_add(o, "step",
			       json_object_new_int64((int64_t)e->step));
	json_object_object_add(o, "stop", reals_json(e->test.stop));
	json_object_object_add(o, "grow", reals_json(e->test.grow));
	json_object_object_add(
		o, "step_n",
		json_object_new_int64((int64_t)e->test.step_ratings));
	json_object_object_add(o, "from_counts", counts_json(&e->from));
	json_object_object_add(o, "seen_to", seen_json(e->included_to));
	json_object_object_add(o, "seen_from", seen_json(e->included_from));
	text = g_strdup(
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
	return text;
}

/*
 * Reads stored evidence; NULL if the text is none. When the step began is
 * not stored, since clocks differ: a new holder counts from when it took over.
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
		reals_from(jcheck_get(o, "stop"), e->test.stop);
		reals_from(jcheck_get(o, "grow"), e->test.grow);
		e->test.step_ratings = (uint64_t)jcheck_get_int(o, "step_n", 0);
		e->from = counts_from(jcheck_get(o, "from_counts"));
		seen_from_json(jcheck_get(o, "seen_to"), e->included_to);
		seen_from_json(jcheck_get(o, "seen_from"), e->included_from);
	}
	json_object_put(o);
	return e;
}

/* Adds what is new in a node's counts since they were last seen. */
static void add_new(GHashTable *seen, const char *key,
		    const struct rollout_counts *now,
		    struct rollout_counts *sum)
{
	struct rollout_counts *before = g_hash_table_lookup(seen, key);

	if (!before) {
		before = g_new0(struct rollout_counts, 1);
		g_hash_table_insert(seen, g_strdup(key), before);
	}
	for (int r = 0; r < ROLLOUT_METRIC_COUNT; r++) {
		if (now->n[r] < before->n[r])
			continue;
		sum->n[r] += now->n[r] - before->n[r];
		sum->bad[r] += now->bad[r] - MIN(before->bad[r], now->bad[r]);
		before->n[r] = now->n[r];
		before->bad[r] = now->bad[r];
	}
}

/*
 * Takes a node's status. Its counts only grow within one run of the node, so
 * each answer enters the evidence once, whichever holder reads it.
 */
void evidence_add_status(struct rollout_evidence *e, struct json_object *status,
			 const char *from, struct rollout_counts *new_to)
{
	struct json_object *versions = jcheck_get(status, "evidence");
	g_autofree char *key =
		g_strdup_printf("%s/%s", jcheck_get_string(status, "node", ""),
				jcheck_get_string(status, "boot", ""));
	struct rollout_counts to_now = counts_from(jcheck_get(versions, e->to));
	struct rollout_counts from_now =
		counts_from(jcheck_get(versions, from));

	add_new(e->included_to, key, &to_now, new_to);
	add_new(e->included_from, key, &from_now, &e->from);
}
