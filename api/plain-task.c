#include "api/plain-task.h"

#include <string.h>

#include "api/plain.h"
#include "backend/table-task.h"
#include "usage/usage-task.h"

#define PATH_PREFIX "/services/"
#define MAX_KEY_BYTES 256

/* Frees a request that has ended, and stops watching its client. */
void plain_free(struct plain_request *p)
{
	if (p->api.http_request)
		http_server_on_disconnect(p->api.http_request, NULL, NULL);
	g_free(p->service);
	g_free(p->method);
	g_free(p->path);
	g_free(p->type);
	g_free(p->body);
	api_clear(&p->api);
	g_free(p);
}

/*
 * Refuses the request and ends it; retry_after_s is 0 if a retry does not help.
 */
void plain_refuse(struct plain_request *p, int status,
		  enum verdict_kind verdict, const char *reason,
		  const char *message, uint32_t retry_after_s)
{
	const struct api_refusal r = {
		.status = status,
		.verdict = verdict,
		.reason = reason,
		.message = message,
		.retry_after_s = retry_after_s,
	};

	api_refuse(&p->api, &r);
}

/*
 * Replies with the answer of a server or with a recorded result, and ends the
 * request. `server` is the value of the x-chivegw-hops header.
 */
void plain_reply(struct plain_request *p, int status, const char *type,
		 const char *body, size_t len, const char *server)
{
	struct api_request *request = &p->api;

	counter_add(&request->node->counter_set, COUNTER_ANSWERED, 1);
	if (request->http_request) {
		api_add_headers(request, p->service, VERDICT_RAN);
		http_server_add_header(request->http_request, "x-chivegw-hops",
				       server);
		http_server_reply(request->http_request, status, type, body,
				  len);
	}
	api_end(request, VERDICT_RAN);
}

/*
 * Adds the usage record of the request, unless it was not run. To be called
 * once per request.
 */
void plain_record_usage(struct plain_request *p, enum verdict_kind verdict)
{
	const struct usage_record r = {
		.request_id = p->api.id,
		.org = p->api.org,
		.version = p->service,
		.verdict = verdict_name(verdict),
	};

	if (verdict != VERDICT_NOT_RUN)
		usage_task_add(p->api.node->usage_task, &r, NULL, NULL);
}

/*
 * Picks a server, other than `avoid` if possible. Called right before each
 * attempt, since it also checks that the deadline has not passed and that the
 * configuration is still current. Returns CFG_NONE and sets the reason if the
 * request may not be sent.
 */
cfg_handle plain_pick_server(struct plain_request *p, cfg_handle avoid,
			     const char **reason)
{
	struct node *n = p->api.node;
	uint64_t now = node_now(n);
	struct backend_criteria criteria = {
		.service = cfg_find_service(n->cfg, p->service),
		.version = CFG_NONE,
		.zone = n->settings->zone,
		.avoid = avoid,
	};

	*reason = "deadline";
	if (now >= p->api.deadline)
		return CFG_NONE;
	if (!node_can_send(n, now, reason))
		return CFG_NONE;
	*reason = "overloaded";
	if (criteria.service == CFG_NONE)
		return CFG_NONE;
	return backend_pick(n->cfg, backend_table_rows(n->backend_task), now,
			    &criteria);
}

/*
 * Sends the request to a server and counts it there. `key` is the idempotency
 * key, or NULL; `new_connection` asks for a new connection.
 */
struct backend_call *plain_call_server(struct plain_request *p,
				       cfg_handle server, const char *key,
				       bool new_connection,
				       backend_call_done done)
{
	struct node *n = p->api.node;
	const struct cfg_service *service =
		&n->cfg->services[n->cfg->servers[server].service];
	struct backend_call_request r = {
		.server = n->cfg->servers[server].address,
		.method = p->method,
		.path = p->path,
		.type = p->type,
		.key = key,
		.body = p->body,
		.len = p->len,
		.new_connection = new_connection,
		.refusal_is_not_run = service->refusal_is_not_run,
	};

	backend_on_request_start(&backend_table_rows(n->backend_task)[server],
				 ++n->pick_count);
	return backend_call_start(&p->api, &r, done, p);
}

static bool parse_path(struct plain_request *p)
{
	const char *rest =
		http_server_path(p->api.http_request) + strlen(PATH_PREFIX);
	size_t len = strcspn(rest, "/?");
	const struct cfg *cfg = p->api.node->cfg;
	cfg_handle service;

	p->service = g_strndup(rest, len);
	service = cfg_find_service(cfg, p->service);
	if (service == CFG_NONE ||
	    cfg->services[service].kind != CFG_SERVICE_PLAIN) {
		plain_refuse(p, 404, VERDICT_NOT_RUN, "unknown-service",
			     "there is no such plain service", 0);
		return false;
	}
	p->path = rest[len] == '/' ? g_strdup(rest + len)
				   : g_strdup_printf("/%s", rest + len);
	return true;
}

static void copy_body(struct plain_request *p)
{
	const char *bytes = http_server_body(p->api.http_request, &p->len);

	p->method = g_strdup(http_server_method(p->api.http_request));
	p->type = g_strdup(
		http_server_header(p->api.http_request, "content-type"));
	p->body = g_memdup2(bytes, p->len ? p->len : 1);
}

static bool admit(struct plain_request *p)
{
	struct node *n = p->api.node;
	cfg_handle s = cfg_find_service(n->cfg, p->service);
	double capacity = backend_table_capacity(n->backend_task, n->cfg, s);

	return api_admit(&p->api, capacity, 0);
}

static bool is_valid_key(const char *key)
{
	size_t len = strlen(key);

	if (!len || len > MAX_KEY_BYTES)
		return false;
	for (size_t i = 0; i < len; i++)
		if (!g_ascii_isgraph(key[i]))
			return false;
	return true;
}

/*
 * Serves a request to a plain service; its state is freed when it has ended.
 */
void plain_start(struct node *n, struct http_server_request *req)
{
	struct plain_request *p = g_new0(struct plain_request, 1);
	const char *key = http_server_header(req, "idempotency-key");
	cfg_handle s;

	if (!api_begin(&p->api, n, req) || !parse_path(p))
		goto refused;
	copy_body(p);
	if (key && !is_valid_key(key)) {
		plain_refuse(p, 400, VERDICT_NOT_RUN, "bad-key",
			     "idempotency-key must be 1 to 256 visible "
			     "characters",
			     0);
		goto refused;
	}
	if (!admit(p))
		goto refused;
	s = cfg_find_service(n->cfg, p->service);
	api_trace_note(&p->api, "organisation", "%s", p->api.org);
	if (cfg_is_idempotent(n->cfg, s, p->method, p->path))
		plain_idempotent_start(p);
	else
		order_task_start(p, key);
	return;
refused:
	plain_free(p);
}
