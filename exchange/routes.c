#include "exchange/routes.h"

#include <string.h>

#include "json-check.h"

G_DEFINE_QUARK(route_error, route_error)

#define MAX_ROUTES 60000
#define MAX_TIMEOUT_MS 3600000
#define MAX_ATTEMPTS 16
#define DEFAULT_PRIORITY 5
#define DEFAULT_TIMEOUT_MS 60000
#define DEFAULT_MAX_HEAD_BYTES 16384
#define DEFAULT_MAX_BODY_BYTES 4194304
#define DEFAULT_RECEIVE_MS 10000
#define DEFAULT_IDLE_MS 60000

static const char *const kind_names[] = {"idempotent", "non-idempotent",
					 "streaming"};

/* Returns the name of a kind in configurations and logs. */
const char *route_kind_name(enum route_kind kind)
{
	return kind_names[kind];
}

/* Sets an error about the named object and returns false. */
static bool fail(GError **err, enum route_error code, const char *what,
		 const char *name)
{
	g_set_error(err, ROUTE_ERROR, code, "routes: %s: %s", name, what);
	return false;
}

/* Returns the handle of the service with a name, or ROUTE_NONE. */
route_handle route_find_service(const struct route_table *r, const char *name)
{
	for (size_t i = 0; i < r->n_services; i++)
		if (!strcmp(r->services[i].name, name))
			return (route_handle)i;
	return ROUTE_NONE;
}

static bool build_service(struct route_service *s, struct json_object *o,
			  GError **err)
{
	struct json_object *models = jcheck_get(o, "models");

	s->name = g_strdup(jcheck_get_string(o, "name", ""));
	if (!*s->name)
		return fail(err, ROUTE_ERROR_FORMAT, "a service needs a name",
			    "-");
	s->max_connections =
		jcheck_get_bounded(o, "max_connections", 0, UINT16_MAX);
	s->slots = jcheck_get_bounded(o, "slots", 0, UINT16_MAX);
	s->kv_capacity = jcheck_get_bounded(o, "kv_capacity", 0, UINT32_MAX);
	s->cold_ms = (uint32_t)CLAMP(1000 * jcheck_get_real(o, "cold_s", 0), 0,
				     MAX_TIMEOUT_MS);
	s->cold_per_s = jcheck_get_real(o, "cold_per_s", 0);
	s->n_models = jcheck_array_length(models);
	s->models = g_new0(struct route_model, s->n_models + 1);
	for (size_t i = 0; i < s->n_models; i++) {
		struct json_object *m = json_object_array_get_idx(models, i);

		s->models[i].name = g_strdup(jcheck_get_string(m, "name", ""));
		s->models[i].cost = jcheck_get_real(m, "cost", 0);
	}
	return true;
}

static bool build_services(struct route_table *r, struct json_object *list,
			   GError **err)
{
	r->n_services = jcheck_array_length(list);
	r->services = g_new0(struct route_service, r->n_services + 1);
	for (size_t i = 0; i < r->n_services; i++)
		if (!build_service(&r->services[i],
				   json_object_array_get_idx(list, i), err))
			return false;
	return true;
}

static bool build_splits(const struct route_table *r, struct route_entry *route,
			 struct json_object *list, GError **err)
{
	route->n_splits = jcheck_array_length(list);
	route->splits = g_new0(struct route_split, route->n_splits + 1);
	for (size_t i = 0; i < route->n_splits; i++) {
		struct json_object *o = json_object_array_get_idx(list, i);
		struct route_split *s = &route->splits[i];

		s->service = route_find_service(
			r, jcheck_get_string(o, "service", ""));
		s->weight = jcheck_get_bounded(o, "weight", 1, UINT16_MAX);
		if (s->service == ROUTE_NONE)
			return fail(err, ROUTE_ERROR_REFERENCE,
				    "refers to an unknown service",
				    route->name);
		route->total_weight += s->weight;
	}
	if (!route->total_weight)
		return fail(err, ROUTE_ERROR_FORMAT,
			    "needs a service with a weight above 0",
			    route->name);
	return true;
}

static bool parse_kind(const char *name, enum route_kind *kind)
{
	for (size_t i = 0; i < G_N_ELEMENTS(kind_names); i++) {
		if (!strcmp(name, kind_names[i])) {
			*kind = (enum route_kind)i;
			return true;
		}
	}
	return false;
}

static void build_models(struct route_entry *route, struct json_object *list)
{
	route->n_models = jcheck_array_length(list);
	route->models = g_new0(char *, route->n_models + 1);
	for (size_t i = 0; i < route->n_models; i++)
		route->models[i] = g_strdup(json_object_get_string(
			json_object_array_get_idx(list, i)));
}

static bool build_route(const struct route_table *r, struct route_entry *route,
			struct json_object *o, GError **err)
{
	route->name = g_strdup(jcheck_get_string(o, "name", "-"));
	route->host = g_ascii_strdown(jcheck_get_string(o, "host", ""), -1);
	route->path = g_strdup(jcheck_get_string(o, "path", ""));
	if (!*route->host || route->path[0] != '/' ||
	    !g_str_has_suffix(route->path, "/"))
		return fail(err, ROUTE_ERROR_FORMAT,
			    "needs a host and a path that begins and ends "
			    "with a slash",
			    route->name);
	if (!parse_kind(jcheck_get_string(o, "kind", ""), &route->kind))
		return fail(err, ROUTE_ERROR_FORMAT,
			    "kind must be idempotent, non-idempotent or "
			    "streaming",
			    route->name);
	route->resumable = json_object_get_boolean(jcheck_get(o, "resumable"));
	route->is_public = json_object_get_boolean(jcheck_get(o, "public"));
	route->timeout_ms = jcheck_get_bounded(
		o, "timeout_ms", DEFAULT_TIMEOUT_MS, MAX_TIMEOUT_MS);
	route->objective_ms =
		jcheck_get_bounded(o, "objective_ms", 0, MAX_TIMEOUT_MS);
	route->pause_ms = jcheck_get_bounded(o, "pause_ms", 0, MAX_TIMEOUT_MS);
	route->attempts =
		MAX(jcheck_get_bounded(o, "attempts", 1, MAX_ATTEMPTS), 1);
	route->priority =
		jcheck_get_bounded(o, "priority", DEFAULT_PRIORITY, UINT16_MAX);
	build_models(route, jcheck_get(o, "models"));
	return build_splits(r, route, jcheck_get(o, "services"), err);
}

static bool build_org(struct route_table *r, size_t i, struct json_object *o,
		      GError **err)
{
	struct json_object *keys = jcheck_get(o, "keys");
	struct route_org *org = &r->orgs[i];

	org->name = g_strdup(jcheck_get_string(o, "name", ""));
	if (!*org->name)
		return fail(err, ROUTE_ERROR_FORMAT,
			    "an organisation needs a name", "-");
	org->has_priority = jcheck_get(o, "priority") != NULL;
	org->priority =
		jcheck_get_bounded(o, "priority", DEFAULT_PRIORITY, UINT16_MAX);
	for (size_t k = 0; k < jcheck_array_length(keys); k++)
		g_hash_table_insert(
			r->keys,
			g_strdup(json_object_get_string(
				json_object_array_get_idx(keys, k))),
			GUINT_TO_POINTER(i + 1));
	return true;
}

static bool build_orgs(struct route_table *r, struct json_object *list,
		       GError **err)
{
	r->n_orgs = jcheck_array_length(list);
	r->orgs = g_new0(struct route_org, r->n_orgs + 1);
	for (size_t i = 0; i < r->n_orgs; i++)
		if (!build_org(r, i, json_object_array_get_idx(list, i), err))
			return false;
	return true;
}

static void build_limits(struct route_limits *l, struct json_object *o)
{
	l->head_bytes = jcheck_get_bounded(o, "max_head_bytes",
					   DEFAULT_MAX_HEAD_BYTES, UINT32_MAX);
	l->body_bytes = jcheck_get_bounded(o, "max_body_bytes",
					   DEFAULT_MAX_BODY_BYTES, UINT32_MAX);
	l->receive_ms = jcheck_get_bounded(o, "head_ms", DEFAULT_RECEIVE_MS,
					   MAX_TIMEOUT_MS);
	l->idle_ms = jcheck_get_bounded(o, "idle_ms", DEFAULT_IDLE_MS,
					MAX_TIMEOUT_MS);
}

static size_t path_length(const struct route_table *r, route_handle h)
{
	return strlen(r->routes[h].path);
}

/* Adds a route to its host's list, which has the longest path first. */
static void index_route(struct route_table *r, route_handle h)
{
	const char *host = r->routes[h].host;
	GArray *list = g_hash_table_lookup(r->hosts, host);
	guint at = 0;

	if (!list) {
		list = g_array_new(FALSE, FALSE, sizeof(route_handle));
		g_hash_table_insert(r->hosts, g_strdup(host), list);
	}
	while (at < list->len &&
	       path_length(r, g_array_index(list, route_handle, at)) >=
		       path_length(r, h))
		at++;
	g_array_insert_val(list, at, h);
}

static bool build_routes(struct route_table *r, struct json_object *list,
			 GError **err)
{
	r->n_routes = jcheck_array_length(list);
	if (r->n_routes > MAX_ROUTES) {
		r->n_routes = 0;
		return fail(err, ROUTE_ERROR_FORMAT, "too many routes", "-");
	}
	r->routes = g_new0(struct route_entry, r->n_routes + 1);
	for (size_t i = 0; i < r->n_routes; i++) {
		if (!build_route(r, &r->routes[i],
				 json_object_array_get_idx(list, i), err))
			return false;
		index_route(r, (route_handle)i);
	}
	return true;
}

static void unref_array(void *array)
{
	g_array_unref(array);
}

/*
 * Builds the table of a document with `routes`, `services`, `organisations` and
 * `limits`. Returns it with one reference, or NULL with an error set if a field
 * is invalid or a name refers to nothing.
 */
struct route_table *route_table_build(struct json_object *doc,
				      uint64_t revision, GError **err)
{
	struct route_table *r = g_new0(struct route_table, 1);

	r->refs = 1;
	r->revision = revision;
	r->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	r->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 unref_array);
	build_limits(&r->limits, jcheck_get(doc, "limits"));
	if (build_services(r, jcheck_get(doc, "services"), err) &&
	    build_routes(r, jcheck_get(doc, "routes"), err) &&
	    build_orgs(r, jcheck_get(doc, "organisations"), err))
		return r;
	route_table_unref(r);
	return NULL;
}

static void free_route(struct route_entry *route)
{
	for (size_t i = 0; i < route->n_models; i++)
		g_free(route->models[i]);
	g_free(route->models);
	g_free(route->splits);
	g_free(route->name);
	g_free(route->host);
	g_free(route->path);
}

/* Adds a reference to a table and returns it. */
struct route_table *route_table_ref(struct route_table *r)
{
	r->refs++;
	return r;
}

/* Drops a reference; the last one frees the table. NULL is allowed. */
void route_table_unref(struct route_table *r)
{
	if (!r || --r->refs)
		return;
	for (size_t i = 0; i < r->n_routes; i++)
		free_route(&r->routes[i]);
	for (size_t i = 0; i < r->n_services; i++) {
		for (size_t k = 0; k < r->services[i].n_models; k++)
			g_free(r->services[i].models[k].name);
		g_free(r->services[i].models);
		g_free(r->services[i].name);
	}
	for (size_t i = 0; i < r->n_orgs; i++)
		g_free(r->orgs[i].name);
	g_free(r->routes);
	g_free(r->services);
	g_free(r->orgs);
	g_hash_table_unref(r->keys);
	g_hash_table_unref(r->hosts);
	g_free(r);
}

/* Returns a Host value in lower case without its port, newly allocated. */
static char *host_name(const char *host)
{
	const char *colon = strrchr(host, ':');
	bool has_port = colon && colon[1] &&
			strspn(colon + 1, "0123456789") == strlen(colon + 1);

	return g_ascii_strdown(host, has_port ? colon - host : -1);
}

/*
 * Returns the route of a request, or ROUTE_NONE: of the host's routes, the one
 * with the longest path that is a prefix of the target without its query.
 */
route_handle route_match(const struct route_table *r, const char *host,
			 const char *target)
{
	g_autofree char *name = host_name(host);
	const GArray *list = g_hash_table_lookup(r->hosts, name);
	size_t len = strcspn(target, "?");

	for (guint i = 0; list && i < list->len; i++) {
		route_handle h = g_array_index(list, route_handle, i);
		const char *path = r->routes[h].path;
		size_t n = strlen(path);

		if (n <= len && !memcmp(path, target, n))
			return h;
	}
	return ROUTE_NONE;
}

/* Returns the organisation that a key belongs to, or ROUTE_NONE. */
route_handle route_org_of_key(const struct route_table *r, const char *key)
{
	void *found = g_hash_table_lookup(r->keys, key);

	return found ? (route_handle)(GPOINTER_TO_UINT(found) - 1) : ROUTE_NONE;
}

/* Returns a service of the route, drawn by weight; draw is a random number. */
route_handle route_draw_service(const struct route_entry *route, uint64_t draw)
{
	uint64_t at = draw % route->total_weight;

	for (size_t i = 0; i < route->n_splits; i++) {
		if (at < route->splits[i].weight)
			return route->splits[i].service;
		at -= route->splits[i].weight;
	}
	return route->splits[0].service;
}

/* Returns true if a request of the route may run more than once. */
bool route_is_repeatable(const struct route_entry *route)
{
	return route->kind == ROUTE_IDEMPOTENT ||
	       (route->kind == ROUTE_STREAMING && route->resumable);
}

/* Returns the cost of 1000 generated tokens of a model; 0 if unknown. */
double route_model_cost(const struct route_table *r,
			const struct route_entry *route, const char *model)
{
	for (size_t i = 0; i < route->n_splits; i++) {
		const struct route_service *s =
			&r->services[route->splits[i].service];

		for (size_t k = 0; k < s->n_models; k++)
			if (!strcmp(s->models[k].name, model))
				return s->models[k].cost;
	}
	return 0;
}
