#include "api/models-task.h"

#include <json-c/json.h>

#include "api/api.h"
#include "json-check.h"

/* Returns one entry of the list, in the format of the OpenAI API. */
static struct json_object *model_json(const char *model)
{
	struct json_object *o = json_object_new_object();

	jcheck_add_string(o, "id", model);
	jcheck_add_string(o, "object", "model");
	jcheck_add_string(o, "owned_by", "chivegw");
	json_object_object_add(o, "created", json_object_new_int(0));
	return o;
}

/*
 * Returns the list of "auto", which leaves the choice to the gateway, and the
 * models that an organisation may ask for by name.
 */
static struct json_object *models_json(const struct cfg *cfg, cfg_handle org)
{
	struct json_object *o = json_object_new_object();
	struct json_object *list = json_object_new_array();
	g_autoptr(GHashTable) listed =
		g_hash_table_new(g_str_hash, g_str_equal);

	json_object_array_add(list, model_json("auto"));
	for (size_t i = 0; i < cfg->n_versions; i++) {
		char *model = cfg->versions[i].model;

		if (cfg_may_use(cfg, org, (cfg_handle)i) &&
		    g_hash_table_add(listed, model))
			json_object_array_add(list, model_json(model));
	}
	jcheck_add_string(o, "object", "list");
	json_object_object_add(o, "data", list);
	return o;
}

/* Serves GET /v1/models: lists the models that the organisation may use. */
void models_handle(struct node *n, struct http_server_request *req)
{
	struct api_request request;
	struct json_object *o;
	cfg_handle org;

	if (api_begin(&request, n, req) && api_find_org(&request, &org)) {
		o = models_json(n->cfg, org);
		api_add_headers(&request, NULL, VERDICT_RAN);
		http_server_reply_json(req, 200,
				       json_object_to_json_string_ext(
					       o, JSON_C_TO_STRING_PLAIN));
		json_object_put(o);
		api_end(&request, VERDICT_RAN);
	}
	api_clear(&request);
}
