#include "config/generate.h"

#include <string.h>

#include "config/config.h"
#include "config/schema.h"
#include "json-check.h"

static const char *const copied_org_keys[] = {"name", "share", "models",
					      "quality_targets"};
static const char *const copied_service_keys[] = {"name",
						  "kind",
						  "servers",
						  "idempotent",
						  "honours_fencing",
						  "refusal_is_not_run"};

static void copy_keys(struct json_object *to, struct json_object *from,
		      const char *const *keys, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		struct json_object *val = jcheck_get(from, keys[i]);

		if (val)
			json_object_object_add(to, keys[i],
					       json_object_get(val));
	}
}

static struct json_object *generate_org(struct json_object *answer,
					GError **err)
{
	const char *key = jcheck_get_string(answer, "key", NULL);
	const char *digest = jcheck_get_string(answer, "key_digest", NULL);
	g_autofree char *computed = NULL;
	struct json_object *org;

	if (!key == !digest) {
		g_set_error(err, CFG_ERROR, CFG_ERROR_INVALID,
			    "organisation '%s' needs exactly one of key and "
			    "key_digest",
			    jcheck_get_string(answer, "name", ""));
		return NULL;
	}
	if (key)
		computed = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key,
							 -1);
	org = json_object_new_object();
	copy_keys(org, answer, copied_org_keys, G_N_ELEMENTS(copied_org_keys));
	json_object_object_add(
		org, "key_digest",
		json_object_new_string(computed ? computed : digest));
	return org;
}

/* Returns whether some request matches both rules, which are path prefixes. */
static bool overlaps(struct json_object *rule, struct json_object *other)
{
	const char *a = jcheck_get_string(rule, "path", "");
	const char *b = jcheck_get_string(other, "path", "");

	if (strcmp(jcheck_get_string(rule, "method", ""),
		   jcheck_get_string(other, "method", "")) != 0)
		return false;
	return g_str_has_prefix(a, b) || g_str_has_prefix(b, a);
}

/*
 * Returns false and sets an error if a request is listed as idempotent and as
 * non-idempotent. Requests in neither list count as non-idempotent, so that
 * list is only checked and not copied.
 */
static bool check_idempotent_rules(struct json_object *answer, GError **err)
{
	struct json_object *non_idempotent =
		jcheck_get(answer, "non_idempotent");
	struct json_object *idempotent = jcheck_get(answer, "idempotent");

	for (size_t i = 0; i < jcheck_array_length(non_idempotent); i++) {
		struct json_object *rule =
			json_object_array_get_idx(non_idempotent, i);
		const char *method = jcheck_get_string(rule, "method", "");

		if (!strcmp(method, "GET") || !strcmp(method, "HEAD")) {
			g_set_error(
				err, CFG_ERROR, CFG_ERROR_INVALID,
				"service '%s' lists %s %s as non-idempotent; "
				"safe methods are always idempotent",
				jcheck_get_string(answer, "name", ""), method,
				jcheck_get_string(rule, "path", ""));
			return false;
		}
		for (size_t j = 0; j < jcheck_array_length(idempotent); j++) {
			if (!overlaps(rule,
				      json_object_array_get_idx(idempotent, j)))
				continue;
			g_set_error(
				err, CFG_ERROR, CFG_ERROR_INVALID,
				"service '%s' lists %s %s as both idempotent "
				"and non-idempotent",
				jcheck_get_string(answer, "name", ""), method,
				jcheck_get_string(rule, "path", ""));
			return false;
		}
	}
	return true;
}

static struct json_object *generate_service(struct json_object *answer,
					    GError **err)
{
	struct json_object *service;

	if (!check_idempotent_rules(answer, err))
		return NULL;
	service = json_object_new_object();
	copy_keys(service, answer, copied_service_keys,
		  G_N_ELEMENTS(copied_service_keys));
	return service;
}

static bool generate_list(
	struct json_object *doc, struct json_object *answers, const char *key,
	struct json_object *(*generate_row)(struct json_object *, GError **),
	GError **err)
{
	struct json_object *list = json_object_new_array();
	struct json_object *rows = jcheck_get(answers, key);

	json_object_object_add(doc, key, list);
	for (size_t i = 0; i < jcheck_array_length(rows); i++) {
		struct json_object *row =
			generate_row(json_object_array_get_idx(rows, i), err);

		if (!row)
			return false;
		json_object_array_add(list, row);
	}
	return true;
}

/*
 * Generates a configuration document from the text of an answered
 * questionnaire; `source` names it in errors. Keys of organisations are
 * replaced by their digests. Returns NULL and sets an error with place and
 * reason if an answer is missing or contradicts another.
 */
struct json_object *cfg_generate(const char *source, const char *text,
				 GError **err)
{
	struct json_object *answers =
		jcheck_parse(source, text, cfg_schema_questionnaire_keys, err);
	struct json_object *doc, *general;
	struct cfg *cfg = NULL;

	if (!answers)
		return NULL;
	doc = json_object_new_object();
	general = json_object_new_object();
	json_object_object_add(doc, "general", general);
	copy_keys(general, answers,
		  (const char *const[]) {"deployment", "kinds"}, 2);
	copy_keys(doc, answers, (const char *const[]) {"models"}, 1);
	if (generate_list(doc, answers, "services", generate_service, err) &&
	    generate_list(doc, answers, "organisations", generate_org, err))
		cfg = cfg_build(doc, 0, err);
	json_object_put(answers);
	if (!cfg) {
		json_object_put(doc);
		return NULL;
	}
	cfg_free(cfg);
	return doc;
}
