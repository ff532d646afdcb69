#include "exchange/route-lint.h"

#include <stdarg.h>
#include <string.h>

#include "json-check.h"

/* A node holds several bodies at once, beside what it needs itself. */
#define BODIES_PER_NODE 8
/* Of the attempts beyond the first, a share that the retry budget should pay. */
#define MIN_RETRY_SHARE 0.1

static void free_finding(void *p)
{
	struct route_lint_finding *f = p;

	g_free(f->text);
	g_free(f);
}

/* Returns an empty list, which frees its findings with itself. */
GPtrArray *route_lint_new_findings(void)
{
	return g_ptr_array_new_with_free_func(free_finding);
}

/* Returns the name of a level as it is printed. */
const char *route_lint_level_name(enum route_lint_level level)
{
	static const char *const names[] = {"error", "warning", "change"};

	return names[level];
}

G_GNUC_PRINTF(3, 4)
static void add(GPtrArray *findings, enum route_lint_level level,
		const char *format, ...)
{
	struct route_lint_finding *f = g_new0(struct route_lint_finding, 1);
	va_list args;

	va_start(args, format);
	f->level = level;
	f->text = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(findings, f);
}

/* Reports names that a list holds twice: the first entry is used. */
static void check_names(struct json_object *doc, const char *list,
			GPtrArray *findings)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);
	struct json_object *items = jcheck_get(doc, list);

	for (size_t i = 0; i < jcheck_array_length(items); i++) {
		const char *name = jcheck_get_string(
			json_object_array_get_idx(items, i), "name", "");

		if (*name && !g_hash_table_add(seen, (void *)name))
			add(findings, ROUTE_LINT_ERROR,
			    "%s: the name %s stands twice", list, name);
	}
}

/* Reports keys that are held twice: only the last holder is authorised. */
static void check_keys(struct json_object *doc, GPtrArray *findings)
{
	g_autoptr(GHashTable) holders =
		g_hash_table_new(g_str_hash, g_str_equal);
	struct json_object *orgs = jcheck_get(doc, "organisations");

	for (size_t i = 0; i < jcheck_array_length(orgs); i++) {
		struct json_object *org = json_object_array_get_idx(orgs, i);
		struct json_object *keys = jcheck_get(org, "keys");
		const char *name = jcheck_get_string(org, "name", "-");

		if (!jcheck_array_length(keys))
			add(findings, ROUTE_LINT_WARNING,
			    "organisation %s: has no key", name);
		for (size_t k = 0; k < jcheck_array_length(keys); k++) {
			const char *key = json_object_get_string(
				json_object_array_get_idx(keys, k));
			const char *holder;

			if (!key)
				continue;
			holder = g_hash_table_lookup(holders, key);
			if (holder)
				add(findings, ROUTE_LINT_ERROR,
				    "organisation %s: key %zu is also held by "
				    "%s",
				    name, k + 1, holder);
			g_hash_table_insert(holders, (void *)key, (void *)name);
		}
	}
}

/* Reports routes that no request reaches: another one has the same prefix. */
static void check_shadows(const struct route_table *r, GPtrArray *findings)
{
	g_autoptr(GHashTable) seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (size_t i = 0; i < r->n_routes; i++) {
		const struct route_entry *route = &r->routes[i];
		char *place = g_strdup_printf("%s%s", route->host, route->path);
		const char *first = g_hash_table_lookup(seen, place);

		if (first) {
			add(findings, ROUTE_LINT_ERROR,
			    "route %s: never matched, route %s has the same "
			    "host and path",
			    route->name, first);
			g_free(place);
		} else {
			g_hash_table_insert(seen, place, route->name);
		}
	}
}

static bool offers_model(const struct route_service *s, const char *model)
{
	for (size_t i = 0; i < s->n_models; i++)
		if (!strcmp(s->models[i].name, model))
			return true;
	return !s->n_models;
}

static void check_models(const struct route_table *r,
			 const struct route_entry *route, GPtrArray *findings)
{
	double last = 0;

	for (size_t m = 0; m < route->n_models; m++) {
		double cost = route_model_cost(r, route, route->models[m]);

		for (size_t i = 0; i < route->n_splits; i++) {
			const struct route_service *s =
				&r->services[route->splits[i].service];

			if (!offers_model(s, route->models[m]))
				add(findings, ROUTE_LINT_ERROR,
				    "route %s: service %s has no model %s",
				    route->name, s->name, route->models[m]);
		}
		if (cost < last)
			add(findings, ROUTE_LINT_WARNING,
			    "route %s: model %s costs less than a smaller one",
			    route->name, route->models[m]);
		last = cost;
	}
}

static void check_splits(const struct route_table *r,
			 const struct route_entry *route, GPtrArray *findings)
{
	for (size_t i = 0; i < route->n_splits; i++)
		if (!route->splits[i].weight)
			add(findings, ROUTE_LINT_WARNING,
			    "route %s: service %s has weight 0 and gets no "
			    "request",
			    route->name,
			    r->services[route->splits[i].service].name);
}

/* Reports times and attempts of a route that contradict each other. */
static void check_route_limits(const struct route_entry *route,
			       const struct route_lint_limits *limits,
			       GPtrArray *findings)
{
	if (!route->timeout_ms)
		add(findings, ROUTE_LINT_ERROR,
		    "route %s: a timeout of 0 ms leaves no time to answer",
		    route->name);
	else if (route->timeout_ms < route->objective_ms)
		add(findings, ROUTE_LINT_ERROR,
		    "route %s: the timeout of %u ms ends before the objective "
		    "of %u ms",
		    route->name, route->timeout_ms, route->objective_ms);
	if (route->pause_ms && route->pause_ms > route->timeout_ms)
		add(findings, ROUTE_LINT_WARNING,
		    "route %s: pauses of %u ms are longer than the timeout",
		    route->name, route->pause_ms);
	if (route->resumable && route->kind != ROUTE_STREAMING)
		add(findings, ROUTE_LINT_WARNING,
		    "route %s: only a streaming route can be resumable",
		    route->name);
	if (limits->retry_ratio > 0 && route_is_repeatable(route) &&
	    limits->retry_ratio < MIN_RETRY_SHARE * (route->attempts - 1))
		add(findings, ROUTE_LINT_WARNING,
		    "route %s: the retry budget of %.2f a request hardly pays "
		    "%u attempts",
		    route->name, limits->retry_ratio, route->attempts);
}

static void check_unused_services(const struct route_table *r,
				  GPtrArray *findings)
{
	for (size_t s = 0; s < r->n_services; s++) {
		bool used = false;

		for (size_t i = 0; i < r->n_routes; i++)
			for (size_t k = 0; k < r->routes[i].n_splits; k++)
				used |= r->routes[i].splits[k].service == s &&
					r->routes[i].splits[k].weight;
		if (!used)
			add(findings, ROUTE_LINT_WARNING,
			    "service %s: no route sends to it",
			    r->services[s].name);
		if (r->services[s].max_connections &&
		    r->services[s].max_connections < r->services[s].slots)
			add(findings, ROUTE_LINT_WARNING,
			    "service %s: %u connections cannot fill %u slots",
			    r->services[s].name, r->services[s].max_connections,
			    r->services[s].slots);
	}
}

static void check_limits(const struct route_table *r,
			 const struct route_lint_limits *limits,
			 GPtrArray *findings)
{
	uint64_t bodies = (uint64_t)BODIES_PER_NODE * r->limits.body_bytes;

	if (r->limits.idle_ms < r->limits.receive_ms)
		add(findings, ROUTE_LINT_WARNING,
		    "limits: idle connections close after %u ms, before a "
		    "request of %u ms could arrive",
		    r->limits.idle_ms, r->limits.receive_ms);
	if (limits->memory_mb && bodies / 1048576 > limits->memory_mb)
		add(findings, ROUTE_LINT_WARNING,
		    "limits: %d bodies of %u bytes exceed the node's memory "
		    "of %u MB",
		    BODIES_PER_NODE, r->limits.body_bytes, limits->memory_mb);
}

/*
 * Adds what is wrong with a configuration. Returns its table, for
 * route_table_unref(), or NULL if nodes would reject it.
 */
struct route_table *route_lint_check(struct json_object *doc,
				     const struct route_lint_limits *limits,
				     GPtrArray *findings)
{
	g_autoptr(GError) err = NULL;
	struct route_table *r = route_table_build(doc, 1, &err);

	if (!r) {
		add(findings, ROUTE_LINT_ERROR, "%s", err->message);
		return NULL;
	}
	check_names(doc, "routes", findings);
	check_names(doc, "services", findings);
	check_names(doc, "organisations", findings);
	check_keys(doc, findings);
	check_shadows(r, findings);
	for (size_t i = 0; i < r->n_routes; i++) {
		check_splits(r, &r->routes[i], findings);
		check_models(r, &r->routes[i], findings);
		check_route_limits(&r->routes[i], limits, findings);
	}
	check_unused_services(r, findings);
	check_limits(r, limits, findings);
	return r;
}

static struct json_object *find_by_name(struct json_object *list,
					const char *name)
{
	for (size_t i = 0; i < jcheck_array_length(list); i++) {
		struct json_object *o = json_object_array_get_idx(list, i);

		if (!strcmp(jcheck_get_string(o, "name", ""), name))
			return o;
	}
	return NULL;
}

static const char *value_text(struct json_object *value)
{
	return value ? json_object_to_json_string_ext(value,
						      JSON_C_TO_STRING_PLAIN)
		     : "(absent)";
}

/* Adds the members that differ; the values of `keys` are secret. */
static void compare_members(const char *what, const char *name,
			    struct json_object *from, struct json_object *to,
			    GPtrArray *findings)
{
	json_object_object_foreach (to, key, value) {
		struct json_object *before = jcheck_get(from, key);

		if (before && json_object_equal(before, value))
			continue;
		if (!strcmp(key, "keys"))
			add(findings, ROUTE_LINT_CHANGE,
			    "%s %s: keys change, from %zu to %zu", what, name,
			    jcheck_array_length(before),
			    jcheck_array_length(value));
		else
			add(findings, ROUTE_LINT_CHANGE,
			    "%s %s: %s from %s to %s", what, name, key,
			    value_text(before), value_text(value));
	}
	json_object_object_foreach (from, old_key, old_value) {
		(void)old_value;
		if (!jcheck_get(to, old_key))
			add(findings, ROUTE_LINT_CHANGE, "%s %s: %s is removed",
			    what, name, old_key);
	}
}

static void compare_lists(struct json_object *from, struct json_object *to,
			  const char *list, const char *what,
			  GPtrArray *findings)
{
	struct json_object *before = jcheck_get(from, list);
	struct json_object *after = jcheck_get(to, list);

	for (size_t i = 0; i < jcheck_array_length(after); i++) {
		struct json_object *o = json_object_array_get_idx(after, i);
		const char *name = jcheck_get_string(o, "name", "");
		struct json_object *old = find_by_name(before, name);

		if (old)
			compare_members(what, name, old, o, findings);
		else
			add(findings, ROUTE_LINT_CHANGE, "%s %s: added", what,
			    name);
	}
	for (size_t i = 0; i < jcheck_array_length(before); i++) {
		const char *name = jcheck_get_string(
			json_object_array_get_idx(before, i), "name", "");

		if (!find_by_name(after, name))
			add(findings, ROUTE_LINT_CHANGE, "%s %s: removed", what,
			    name);
	}
}

/* Adds in what a configuration differs from the one in force, `from`. */
void route_lint_compare(struct json_object *from, struct json_object *to,
			GPtrArray *findings)
{
	int64_t old_revision = jcheck_get_int(from, "revision", 0);
	int64_t revision = jcheck_get_int(to, "revision", 0);

	if (revision <= old_revision)
		add(findings, ROUTE_LINT_ERROR,
		    "revision %" G_GINT64_FORMAT
		    " is not above %" G_GINT64_FORMAT ", which is in force",
		    revision, old_revision);
	compare_lists(from, to, "routes", "route", findings);
	compare_lists(from, to, "services", "service", findings);
	compare_lists(from, to, "organisations", "organisation", findings);
	if (jcheck_get(from, "limits") && jcheck_get(to, "limits"))
		compare_members("limits", "of clients",
				jcheck_get(from, "limits"),
				jcheck_get(to, "limits"), findings);
}
