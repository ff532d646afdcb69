#include "config/config.h"

#include <string.h>

#include "config/schema.h"
#include "json-check.h"

G_DEFINE_QUARK(cfg - error - quark, cfg_error)

static const char *const version_states[] = {"serving", "candidate",
					     "withdrawn"};
static const char *const service_kinds[] = {"engine", "plain"};
static const char *const rollout_states[] = {"running", "paused", "stopped",
					     "done"};

static const char *const safe_methods[] = {"GET", "HEAD", "OPTIONS"};

/*
 * Parses the text of a whole configuration and checks its keys. `source` names
 * it in errors. Returns a new document, or NULL and sets an error with line,
 * key and reason.
 */
struct json_object *cfg_parse(const char *source, const char *text,
			      GError **err)
{
	return jcheck_parse(source, text, cfg_schema_document_keys, err);
}

/* Stores the index of a name in `names`; false and an error if absent. */
static bool parse_enum(const char *what, const char *text,
		       const char *const *names, size_t n, int *index,
		       GError **err)
{
	for (size_t i = 0; i < n; i++) {
		if (!strcmp(text, names[i])) {
			*index = (int)i;
			return true;
		}
	}
	g_set_error(err, CFG_ERROR, CFG_ERROR_INVALID,
		    "%s '%s' is unknown; '%s', for example, is allowed", what,
		    text, names[0]);
	return false;
}

static bool exceeds_limit(const char *what, size_t n, size_t max, GError **err)
{
	if (n <= max)
		return false;
	g_set_error(err, CFG_ERROR, CFG_ERROR_OUT_OF_RANGE,
		    "%zu %s given, at most %zu are allowed", n, what, max);
	return true;
}

static bool error_unknown(const char *what, const char *name, const char *where,
			  GError **err)
{
	g_set_error(err, CFG_ERROR, CFG_ERROR_INVALID,
		    "%s '%s' referenced by %s does not exist", what, name,
		    where);
	return false;
}

static bool error_duplicate(const char *what, const char *name, GError **err)
{
	g_set_error(err, CFG_ERROR, CFG_ERROR_INVALID,
		    "%s '%s' is defined twice", what, name);
	return false;
}

static bool build_kinds(struct cfg *cfg, struct json_object *list, GError **err)
{
	size_t n = jcheck_array_length(list);

	if (exceeds_limit("kinds", n, CFG_MAX_KINDS, err))
		return false;
	for (size_t i = 0; i < n; i++) {
		struct json_object *o = json_object_array_get_idx(list, i);
		const char *name = jcheck_get_string(o, "name", "");

		if (cfg_find_kind(cfg, name) != CFG_NONE)
			return error_duplicate("kind", name, err);
		cfg->kinds[i].name = g_strdup(name);
		cfg->kinds[i].target = jcheck_get_real(o, "quality_target", 0);
		cfg->n_kinds = i + 1;
	}
	return true;
}

static void build_rules(struct cfg_service *s, struct json_object *list)
{
	s->n_idempotent = jcheck_array_length(list);
	s->idempotent = g_new0(struct cfg_idempotent_rule, s->n_idempotent + 1);
	for (size_t i = 0; i < s->n_idempotent; i++) {
		struct json_object *o = json_object_array_get_idx(list, i);

		s->idempotent[i].method =
			g_strdup(jcheck_get_string(o, "method", ""));
		s->idempotent[i].path =
			g_strdup(jcheck_get_string(o, "path", ""));
	}
}

static bool build_servers(struct cfg *cfg, cfg_handle service,
			  struct json_object *list)
{
	size_t n = jcheck_array_length(list);

	cfg->servers = g_renew(struct cfg_server, cfg->servers,
			       cfg->n_servers + n + 1);
	for (size_t i = 0; i < n; i++) {
		struct json_object *o = json_object_array_get_idx(list, i);
		struct cfg_server *s = &cfg->servers[cfg->n_servers++];

		s->address = g_strdup(jcheck_get_string(o, "address", ""));
		s->zone = g_strdup(jcheck_get_string(o, "zone", ""));
		s->service = service;
	}
	return true;
}

static bool build_service(struct cfg *cfg, struct json_object *o, GError **err)
{
	struct cfg_service *s = &cfg->services[cfg->n_services];
	const char *name = jcheck_get_string(o, "name", "");
	int kind;

	if (cfg_find_service(cfg, name) != CFG_NONE)
		return error_duplicate("service", name, err);
	if (!parse_enum("service kind", jcheck_get_string(o, "kind", ""),
			service_kinds, G_N_ELEMENTS(service_kinds), &kind, err))
		return false;
	s->name = g_strdup(name);
	s->kind = (enum cfg_service_kind)kind;
	s->honours_fencing =
		json_object_get_boolean(jcheck_get(o, "honours_fencing"));
	s->refusal_is_not_run =
		json_object_get_boolean(jcheck_get(o, "refusal_is_not_run"));
	build_rules(s, jcheck_get(o, "idempotent"));
	return build_servers(cfg, (cfg_handle)cfg->n_services++,
			     jcheck_get(o, "servers"));
}

static bool build_services(struct cfg *cfg, struct json_object *list,
			   GError **err)
{
	cfg->services =
		g_new0(struct cfg_service, jcheck_array_length(list) + 1);
	for (size_t i = 0; i < jcheck_array_length(list); i++)
		if (!build_service(cfg, json_object_array_get_idx(list, i),
				   err))
			return false;
	return true;
}

static bool read_values_by_kind(const struct cfg *cfg, struct json_object *map,
				const char *where, double *out, GError **err)
{
	if (!map)
		return true;
	json_object_object_foreach (map, name, val) {
		cfg_handle kind = cfg_find_kind(cfg, name);

		if (kind == CFG_NONE)
			return error_unknown("kind", name, where, err);
		out[kind] = json_object_get_double(val);
	}
	return true;
}

static bool build_version(struct cfg *cfg, struct json_object *o, GError **err)
{
	struct cfg_version *v = &cfg->versions[cfg->n_versions];
	const char *service = jcheck_get_string(o, "service", "");
	int state;

	v->model = g_strdup(jcheck_get_string(o, "name", ""));
	v->version = g_strdup(jcheck_get_string(o, "version", ""));
	v->name = g_strdup_printf("%s@%s", v->model, v->version);
	if (cfg_find_version(cfg, v->name) != CFG_NONE) {
		cfg->n_versions++;
		return error_duplicate("version", v->name, err);
	}
	cfg->n_versions++;
	v->service = cfg_find_service(cfg, service);
	if (v->service == CFG_NONE ||
	    cfg->services[v->service].kind != CFG_SERVICE_ENGINE)
		return error_unknown("engine service", service, v->name, err);
	cfg->services[v->service].versions |= (uint64_t)1
					      << (cfg->n_versions - 1);
	if (!parse_enum(
		    "version state", jcheck_get_string(o, "state", "serving"),
		    version_states, G_N_ELEMENTS(version_states), &state, err))
		return false;
	v->state = (enum cfg_version_state)state;
	v->input_cost = jcheck_get_real(o, "input_cost", 0);
	v->output_cost = jcheck_get_real(o, "output_cost", 0);
	return read_values_by_kind(cfg, jcheck_get(o, "expected_quality"),
				   v->name, v->expected, err);
}

static bool build_versions(struct cfg *cfg, struct json_object *list,
			   GError **err)
{
	if (exceeds_limit("versions", jcheck_array_length(list),
			  CFG_MAX_VERSIONS, err))
		return false;
	cfg->versions =
		g_new0(struct cfg_version, jcheck_array_length(list) + 1);
	for (size_t i = 0; i < jcheck_array_length(list); i++)
		if (!build_version(cfg, json_object_array_get_idx(list, i),
				   err))
			return false;
	return true;
}

/*
 * Allows the versions that match "model@version" or "model@*". Returns false
 * and sets an error if there is none.
 */
static bool allow_pattern(struct cfg *cfg, struct cfg_org *org,
			  const char *pattern, GError **err)
{
	bool any = g_str_has_suffix(pattern, "@*");
	size_t len = strlen(pattern) - 1;
	uint64_t before = org->allowed;
	bool matched = false;

	for (size_t i = 0; i < cfg->n_versions; i++) {
		const char *name = cfg->versions[i].name;

		if (any ? !strncmp(name, pattern, len)
			: !strcmp(name, pattern)) {
			org->allowed |= (uint64_t)1 << i;
			matched = true;
		}
	}
	if (!matched) {
		org->allowed = before;
		return error_unknown("version", pattern, org->name, err);
	}
	return true;
}

static bool parse_digest(const char *hex, uint8_t *out)
{
	if (strlen(hex) != 2 * CFG_DIGEST_BYTES)
		return false;
	for (size_t i = 0; i < CFG_DIGEST_BYTES; i++) {
		int hi = g_ascii_xdigit_value(hex[2 * i]);
		int lo = g_ascii_xdigit_value(hex[2 * i + 1]);

		if (hi < 0 || lo < 0)
			return false;
		out[i] = (uint8_t)(hi * 16 + lo);
	}
	return true;
}

static bool build_org(struct cfg *cfg, struct json_object *o, GError **err)
{
	struct cfg_org *org = &cfg->orgs[cfg->n_orgs];
	struct json_object *models = jcheck_get(o, "models");
	const char *name = jcheck_get_string(o, "name", "");

	if (cfg_find_org_by_name(cfg, name) != CFG_NONE)
		return error_duplicate("organisation", name, err);
	org->name = g_strdup(name);
	org->share = jcheck_get_real(o, "share", 1);
	cfg->n_orgs++;
	if (!parse_digest(jcheck_get_string(o, "key_digest", ""),
			  org->key_digest)) {
		g_set_error(err, CFG_ERROR, CFG_ERROR_INVALID,
			    "key_digest of organisation '%s' is not 64 hex "
			    "digits",
			    name);
		return false;
	}
	for (size_t i = 0; i < jcheck_array_length(models); i++)
		if (!allow_pattern(
			    cfg, org,
			    json_object_get_string(
				    json_object_array_get_idx(models, i)),
			    err))
			return false;
	for (size_t i = 0; i < cfg->n_kinds; i++)
		org->target[i] = cfg->kinds[i].target;
	return read_values_by_kind(cfg, jcheck_get(o, "quality_targets"), name,
				   org->target, err);
}

static bool build_orgs(struct cfg *cfg, struct json_object *list, GError **err)
{
	cfg->orgs = g_new0(struct cfg_org, jcheck_array_length(list) + 1);
	for (size_t i = 0; i < jcheck_array_length(list); i++)
		if (!build_org(cfg, json_object_array_get_idx(list, i), err))
			return false;
	return true;
}

static bool build_steps(struct cfg_rollout *r, struct json_object *list,
			GError **err)
{
	double last = 0;

	r->n_steps = jcheck_array_length(list);
	if (exceeds_limit("roll-out steps", r->n_steps, CFG_MAX_STEPS, err))
		return false;
	for (size_t i = 0; i < r->n_steps; i++) {
		double share = json_object_get_double(
			json_object_array_get_idx(list, i));

		if (share <= last || share > 1) {
			g_set_error(err, CFG_ERROR, CFG_ERROR_OUT_OF_RANGE,
				    "steps of roll-out '%s' must increase and "
				    "not exceed 1",
				    r->name);
			return false;
		}
		r->steps[i] = last = share;
	}
	return true;
}

static bool build_rollout(struct cfg *cfg, struct json_object *o, GError **err)
{
	struct cfg_rollout *r = &cfg->rollouts[cfg->n_rollouts++];
	int state;

	r->name = g_strdup(jcheck_get_string(o, "name", ""));
	r->reason = g_strdup(jcheck_get_string(o, "reason", ""));
	r->from = cfg_find_version(cfg, jcheck_get_string(o, "from", ""));
	r->to = CFG_NONE;
	for (size_t i = 0; i + 1 < cfg->n_rollouts; i++)
		if (!strcmp(cfg->rollouts[i].name, r->name))
			return error_duplicate("roll-out", r->name, err);
	if (cfg_find_rollout_to(
		    cfg,
		    cfg_find_version(cfg, jcheck_get_string(o, "to", ""))) !=
	    CFG_NONE)
		return error_duplicate("roll-out to",
				       jcheck_get_string(o, "to", ""), err);
	r->to = cfg_find_version(cfg, jcheck_get_string(o, "to", ""));
	if (r->from == CFG_NONE)
		return error_unknown("version",
				     jcheck_get_string(o, "from", ""), r->name,
				     err);
	if (r->to == CFG_NONE)
		return error_unknown("version", jcheck_get_string(o, "to", ""),
				     r->name, err);
	if (!parse_enum(
		    "roll-out state", jcheck_get_string(o, "state", "running"),
		    rollout_states, G_N_ELEMENTS(rollout_states), &state, err))
		return false;
	r->state = (enum cfg_rollout_state)state;
	if (!build_steps(r, jcheck_get(o, "steps"), err))
		return false;
	r->step = (size_t)jcheck_get_int(o, "step", 0);
	if (r->step >= r->n_steps) {
		g_set_error(err, CFG_ERROR, CFG_ERROR_OUT_OF_RANGE,
			    "step %zu of roll-out '%s' does not exist", r->step,
			    r->name);
		return false;
	}
	return true;
}

static bool build_rollouts(struct cfg *cfg, struct json_object *list,
			   GError **err)
{
	cfg->rollouts =
		g_new0(struct cfg_rollout, jcheck_array_length(list) + 1);
	for (size_t i = 0; i < jcheck_array_length(list); i++)
		if (!build_rollout(cfg, json_object_array_get_idx(list, i),
				   err))
			return false;
	return true;
}

/*
 * Builds the tables from a checked document, which stays the caller's. Returns
 * NULL and sets an error if a name is defined twice or refers to nothing. Free
 * the result with cfg_free().
 */
struct cfg *cfg_build(struct json_object *doc, uint64_t revision, GError **err)
{
	struct cfg *cfg = g_new0(struct cfg, 1);
	struct json_object *general = jcheck_get(doc, "general");

	cfg->revision = revision;
	cfg->deployment =
		g_strdup(jcheck_get_string(general, "deployment", ""));
	if (build_kinds(cfg, jcheck_get(general, "kinds"), err) &&
	    build_services(cfg, jcheck_get(doc, "services"), err) &&
	    build_versions(cfg, jcheck_get(doc, "models"), err) &&
	    build_orgs(cfg, jcheck_get(doc, "organisations"), err) &&
	    build_rollouts(cfg, jcheck_get(doc, "rollouts"), err))
		return cfg;
	cfg_free(cfg);
	return NULL;
}

static void free_service(struct cfg_service *s)
{
	for (size_t i = 0; i < s->n_idempotent; i++) {
		g_free(s->idempotent[i].method);
		g_free(s->idempotent[i].path);
	}
	g_free(s->idempotent);
	g_free(s->name);
}

/* Frees a configuration; NULL is allowed. */
void cfg_free(struct cfg *cfg)
{
	if (!cfg)
		return;
	for (size_t i = 0; i < cfg->n_kinds; i++)
		g_free(cfg->kinds[i].name);
	for (size_t i = 0; i < cfg->n_versions; i++) {
		g_free(cfg->versions[i].model);
		g_free(cfg->versions[i].version);
		g_free(cfg->versions[i].name);
	}
	for (size_t i = 0; i < cfg->n_orgs; i++)
		g_free(cfg->orgs[i].name);
	for (size_t i = 0; i < cfg->n_services; i++)
		free_service(&cfg->services[i]);
	for (size_t i = 0; i < cfg->n_servers; i++) {
		g_free(cfg->servers[i].address);
		g_free(cfg->servers[i].zone);
	}
	for (size_t i = 0; i < cfg->n_rollouts; i++) {
		g_free(cfg->rollouts[i].name);
		g_free(cfg->rollouts[i].reason);
	}
	g_free(cfg->versions);
	g_free(cfg->orgs);
	g_free(cfg->services);
	g_free(cfg->servers);
	g_free(cfg->rollouts);
	g_free(cfg->deployment);
	g_free(cfg);
}

/* Compares in constant time, so that its duration says nothing of a key. */
static bool digests_equal(const uint8_t *a, const uint8_t *b)
{
	uint8_t difference = 0;

	for (size_t i = 0; i < CFG_DIGEST_BYTES; i++)
		difference |= a[i] ^ b[i];
	return difference == 0;
}

/* Returns the organisation whose key has this SHA-256, or CFG_NONE. */
cfg_handle cfg_find_org_by_key(const struct cfg *cfg, const uint8_t *key_digest)
{
	cfg_handle found = CFG_NONE;

	for (size_t i = 0; i < cfg->n_orgs; i++)
		if (digests_equal(cfg->orgs[i].key_digest, key_digest))
			found = (cfg_handle)i;
	return found;
}

/* Returns the organisation of that name, or CFG_NONE. */
cfg_handle cfg_find_org_by_name(const struct cfg *cfg, const char *name)
{
	for (size_t i = 0; i < cfg->n_orgs; i++)
		if (!strcmp(cfg->orgs[i].name, name))
			return (cfg_handle)i;
	return CFG_NONE;
}

/* Returns the kind of model request of that name, or CFG_NONE. */
cfg_handle cfg_find_kind(const struct cfg *cfg, const char *name)
{
	for (size_t i = 0; i < cfg->n_kinds; i++)
		if (!strcmp(cfg->kinds[i].name, name))
			return (cfg_handle)i;
	return CFG_NONE;
}

/* Returns the version named "model@version", or CFG_NONE. */
cfg_handle cfg_find_version(const struct cfg *cfg, const char *name)
{
	for (size_t i = 0; i < cfg->n_versions; i++)
		if (!strcmp(cfg->versions[i].name, name))
			return (cfg_handle)i;
	return CFG_NONE;
}

/* Returns the service of that name, or CFG_NONE. */
cfg_handle cfg_find_service(const struct cfg *cfg, const char *name)
{
	for (size_t i = 0; i < cfg->n_services; i++)
		if (g_strcmp0(cfg->services[i].name, name) == 0)
			return (cfg_handle)i;
	return CFG_NONE;
}

/* Returns the roll-out whose new version this is, or CFG_NONE. */
cfg_handle cfg_find_rollout_to(const struct cfg *cfg, cfg_handle version)
{
	if (version == CFG_NONE)
		return CFG_NONE;
	for (size_t i = 0; i < cfg->n_rollouts; i++)
		if (cfg->rollouts[i].to == version)
			return (cfg_handle)i;
	return CFG_NONE;
}

static bool is_safe_method(const char *method)
{
	for (size_t i = 0; i < G_N_ELEMENTS(safe_methods); i++)
		if (!strcmp(method, safe_methods[i]))
			return true;
	return false;
}

/*
 * Returns whether a request to a plain service may be sent again: its method
 * is safe, or the configuration lists method and path prefix as idempotent.
 */
bool cfg_is_idempotent(const struct cfg *cfg, cfg_handle service,
		       const char *method, const char *path)
{
	const struct cfg_service *s = &cfg->services[service];

	if (is_safe_method(method))
		return true;
	for (size_t i = 0; i < s->n_idempotent; i++)
		if (!strcmp(s->idempotent[i].method, method) &&
		    g_str_has_prefix(path, s->idempotent[i].path))
			return true;
	return false;
}

/*
 * Returns whether new requests of an organisation may run on a version. False
 * for CFG_NONE and for a withdrawn version.
 */
bool cfg_may_use(const struct cfg *cfg, cfg_handle org, cfg_handle version)
{
	if (org >= cfg->n_orgs || version >= cfg->n_versions)
		return false;
	if (cfg->versions[version].state == CFG_VERSION_WITHDRAWN)
		return false;
	return (cfg->orgs[org].allowed >> version) & 1;
}

/* Returns the state's name as the document has it; a constant. */
const char *cfg_rollout_state_name(enum cfg_rollout_state state)
{
	return rollout_states[state];
}
