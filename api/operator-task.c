#include "api/operator-task.h"

#include <json-c/json.h>
#include <openssl/crypto.h>
#include <string.h>

#include "api/api.h"
#include "backend/table-task.h"
#include "daemon/node.h"
#include "member/member-task.h"
#include "rollout/status-task.h"

#define BEARER_PREFIX "Bearer "
#define EXPLAIN_PREFIX "/explain/"

/* Serves GET /healthz and /readyz, which need no key. */
void operator_handle_health(struct node *n, struct http_server_request *req)
{
	const char *reason = "ready";
	bool ready = node_accepts_requests(n, node_now(n), &reason);
	g_autofree char *text = NULL;

	if (!strcmp(http_server_path(req), "/healthz")) {
		http_server_reply_json(req, 200, "{\"healthy\":true}");
		return;
	}
	text = g_strdup_printf("{\"ready\":%s,\"reason\":\"%s\"}",
			       ready ? "true" : "false", reason);
	http_server_reply_json(req, ready ? 200 : 503, text);
}

static bool has_operator_key(struct node *n, struct http_server_request *req)
{
	const char *auth = http_server_header(req, "authorization");
	const char *key = n->settings->operator_key;

	if (!auth || !g_str_has_prefix(auth, BEARER_PREFIX))
		return false;
	auth += strlen(BEARER_PREFIX);
	return strlen(auth) == strlen(key) &&
	       CRYPTO_memcmp(auth, key, strlen(key)) == 0;
}

/* Replies with an object and drops the reference to it. */
static void reply_json(struct http_server_request *req, int status,
		       struct json_object *o)
{
	http_server_reply_json(
		req, status,
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
}

static struct json_object *servers_json(struct node *n)
{
	struct json_object *list = json_object_new_array();
	const struct backend_state *table = backend_table_rows(n->backend_task);
	uint64_t now = node_now(n);

	for (size_t i = 0; n->cfg && i < n->cfg->n_servers; i++) {
		struct json_object *o = json_object_new_object();

		json_object_object_add(
			o, "address",
			json_object_new_string(n->cfg->servers[i].address));
		json_object_object_add(
			o, "in_flight",
			json_object_new_int((int)table[i].in_flight));
		json_object_object_add(o, "limit",
				       json_object_new_double(table[i].limit));
		json_object_object_add(
			o, "reported",
			json_object_new_double(table[i].reported));
		json_object_object_add(
			o, "ejected",
			json_object_new_boolean(
				backend_is_ejected(&table[i], now)));
		json_object_object_add(
			o, "leaving",
			json_object_new_boolean(table[i].leaving));
		json_object_array_add(list, o);
	}
	return list;
}

static struct json_object *rollouts_json(const struct cfg *cfg)
{
	struct json_object *list = json_object_new_array();

	for (size_t i = 0; cfg && i < cfg->n_rollouts; i++) {
		const struct cfg_rollout *r = &cfg->rollouts[i];
		struct json_object *o = json_object_new_object();

		json_object_object_add(o, "name",
				       json_object_new_string(r->name));
		json_object_object_add(
			o, "from",
			json_object_new_string(cfg->versions[r->from].name));
		json_object_object_add(
			o, "to",
			json_object_new_string(cfg->versions[r->to].name));
		json_object_object_add(
			o, "state",
			json_object_new_string(
				cfg_rollout_state_name(r->state)));
		json_object_object_add(
			o, "share", json_object_new_double(r->steps[r->step]));
		json_object_object_add(o, "reason",
				       json_object_new_string(r->reason));
		json_object_array_add(list, o);
	}
	return list;
}

static void reply_status(struct node *n, struct http_server_request *req)
{
	struct json_object *o = rollout_status_json(n);

	json_object_object_add(o, "members",
			       membership_task_status(n->member_task));
	json_object_object_add(o, "servers", servers_json(n));
	json_object_object_add(o, "rollouts", rollouts_json(n->cfg));
	json_object_object_add(o, "open_requests",
			       json_object_new_int64((int64_t)n->open_tasks));
	reply_json(req, 200, o);
}

static void reply_metrics(struct node *n, struct http_server_request *req)
{
	g_autoptr(GString) text = g_string_new(NULL);

	counter_write_text(&n->counter_set, text);
	http_server_reply(req, 200, "text/plain; version=0.0.4", text->str,
			  text->len);
}

static void reply_explanation(struct node *n, struct http_server_request *req)
{
	struct json_object *o = trace_explain(
		n->trace, http_server_path(req) + strlen(EXPLAIN_PREFIX));

	if (o)
		reply_json(req, 200, o);
	else
		http_server_reply_json(
			req, 404,
			"{\"error\":\"not handled by this node, or no longer "
			"kept\"}");
}

/*
 * Dispatches a request on the address for operators by path. Every path but the
 * health checks requires the operator key. `node` is the struct node that owns
 * the listener.
 */
void operator_handle(void *node, struct http_server_request *req)
{
	struct node *n = node;
	const char *path = http_server_path(req);

	if (!strcmp(path, "/healthz") || !strcmp(path, "/readyz")) {
		operator_handle_health(n, req);
	} else if (!has_operator_key(n, req)) {
		http_server_reply_json(req, 401,
				       "{\"error\":\"operator key required\"}");
	} else if (strcmp(http_server_method(req), "GET") != 0) {
		http_server_reply_json(req, 405,
				       "{\"error\":\"only GET is allowed\"}");
	} else if (!strcmp(path, "/status")) {
		reply_status(n, req);
	} else if (!strcmp(path, "/metrics")) {
		reply_metrics(n, req);
	} else if (!strcmp(path, "/traces")) {
		reply_json(req, 200, trace_export_otlp(n->trace));
	} else if (g_str_has_prefix(path, EXPLAIN_PREFIX)) {
		reply_explanation(n, req);
	} else {
		http_server_reply_json(req, 404,
				       "{\"error\":\"no such path\"}");
	}
}
