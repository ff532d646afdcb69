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

static struct json_object *generate_org(struct json_object *asked, GError **err)
{
	const char *key = jcheck_get_string(asked, "key", NULL);
	const char *digest = jcheck_get_string(asked, "key_digest", NULL);
	g_autofree char *computed = NULL;
	struct json_object *org;

	if (!key == !digest) {
		g_set_error(err, CFG_ERROR, CFG_ERROR_INVALID,
			    "organisation '%s' needs either key or key_digest",
			    jcheck_get_string(asked, "name", ""));
		return NULL;
	}
	if (key)
		computed = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key,
							 -1);
	org = json_object_new_object();
	copy_keys(org, asked, copied_org_keys, G_N_ELEMENTS(copied_org_keys));
	json_object_object_add(
		org, "key_digest",
		json_object_new_string(computed ? computed : digest));
	return org;
}

static bool covers(struct json_object *rule, struct json_object *other)
{
	const char *a = jcheck_get_string(rule, "path", "");
	const char *b = jcheck_get_string(other, "path", "");

	if (strcmp(jcheck_get_string(rule, "method", ""),
		   jcheck_get_string(other, "method", "")) != 0)
		return false;
	return g_str_has_prefix(a, b) || g_str_has_prefix(b, a);
}

/*
 * A request cannot be answered to be both. All that is not named idempotent
 * counts as non-idempotent, so the answers only need to agree.
 */
static bool rules_agree(struct json_object *asked, GError **err)
{
	struct json_object *once = jcheck_get(asked, "non_idempotent");
	struct json_object *again = jcheck_get(asked, "idempotent");

	for (size_t i = 0; i < jcheck_array_length(once); i++) {
		struct json_object *rule = json_object_array_get_idx(once, i);
		const char *method = jcheck_get_string(rule, "method", "");

		if (!strcmp(method, "GET") || !strcmp(method, "HEAD")) {
			g_set_error(err, CFG_ERROR, CFG_ERROR_INVALID,
				    "service '%s' names %s %s non-idempotent; "
				    "reading methods are always idempotent",
				    jcheck_get_string(asked, "name", ""),
				    method,
				    jcheck_get_string(rule, "path", ""));
			return false;
		}
		for (size_t j = 0; j < jcheck_array_length(again); j++) {
			if (!covers(rule, json_object_array_get_idx(again, j)))
				continue;
			g_set_error(err, CFG_ERROR, CFG_ERROR_INVALID,
				    "service '%s' names %s %s both idempotent "
				    "and non-idempotent",
				    jcheck_get_string(asked, "name", ""),
				    method,
				    jcheck_get_string(rule, "path", ""));
			return false;
		}
	}
	return true;
}

static struct json_object *generate_service(struct json_object *asked,
					    GError **err)
{
	struct json_object *service;

	if (!rules_agree(asked, err))
		return NULL;
	service = json_object_new_object();
	copy_keys(service, asked, copied_service_keys,
		  G_N_ELEMENTS(copied_service_keys));
	return service;
}

static bool generate_list(struct json_object *doc, struct json_object *answers,
			  const char *key,
			  struct json_object *(*one)(struct json_object *,
						     GError **),
			  GError **err)
{
	struct json_object *list = json_object_new_array();
	struct json_object *asked = jcheck_get(answers, key);

	json_object_object_add(doc, key, list);
	for (size_t i = 0; i < jcheck_array_length(asked); i++) {
		struct json_object *row =
			one(json_object_array_get_idx(asked, i), err);

		if (!row)
			return false;
		json_object_array_add(list, row);
	}
	return true;
}

/*
 * Makes a configuration from a team's answers to the questionnaire. Keys of
 * organisations leave only as digests. Returns NULL and sets an error with
 * the place and the reason if an answer is missing or contradicts another.
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
