#include "api/models-task.h"

#include <json-c/json.h>

#include "api/api.h"
#include "json-check.h"

/* A model as clients of chat completions expect it in a list. */
static struct json_object *model_json(const char *model)
{
	struct json_object *o = json_object_new_object();

	jcheck_add_string(o, "id", model);
	jcheck_add_string(o, "object", "model");
	jcheck_add_string(o, "owned_by", "chivegw");
	json_object_object_add(o, "created", json_object_new_int(0));
	return o;
}

/* The models that an organisation may ask for by name, and the choice of all. */
static struct json_object *models_json(const struct cfg *cfg, cfg_handle org)
{
	struct json_object *o = json_object_new_object();
	struct json_object *list = json_object_new_array();
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);

	json_object_array_add(list, model_json("auto"));
	for (size_t i = 0; i < cfg->n_versions; i++) {
		char *model = cfg->versions[i].model;

		if (cfg_may_use(cfg, org, (cfg_handle)i) &&
		    g_hash_table_add(seen, model))
			json_object_array_add(list, model_json(model));
	}
	jcheck_add_string(o, "object", "list");
	json_object_object_add(o, "data", list);
	return o;
}

/* Answers which models the caller's organisation may use. */
void models_handle(struct node *n, struct http_server_request *req)
{
	struct api_request d;
	struct json_object *o;
	cfg_handle org;

	if (api_begin(&d, n, req) && api_find_org(&d, &org)) {
		o = models_json(n->cfg, org);
		api_add_headers(&d, NULL, VERDICT_RAN);
		http_server_reply_json(req, 200,
				       json_object_to_json_string_ext(
					       o, JSON_C_TO_STRING_PLAIN));
		json_object_put(o);
		api_end(&d, VERDICT_RAN);
	}
	api_clear(&d);
}
