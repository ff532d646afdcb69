#include "exchange/intake-task.h"

#include <stdio.h>
#include <string.h>

#include "exchange/exchange.h"
#include "fleet/cluster-key.h"
#include "log-event.h"
#include "relay/header.h"

#define START_WAIT_MS 500 /* after the start, for the configuration */

#define MAX_RELAYED_REQUESTS 128 /* that this node serves for others */

/* Retry-After of refusals. */
#define CONFIG_UNSURE_RETRY_AFTER_MS 300
#define NO_CONFIG_RETRY_AFTER_MS 400

/*
 * Answers a request with an error of the gateway's own: verdict says whether it
 * may have run; retry_after_ms 0 means no Retry-After.
 */
void exchange_refuse(struct gateway_state *g, struct http_server_request *req,
		     int status, const char *verdict, const char *reason,
		     uint32_t retry_after_ms)
{
	g_autofree char *body = g_strdup_printf(
		"{\"error\":{\"verdict\":\"%s\",\"reason\":\"%s\"}}", verdict,
		reason);
	const char *id = http_server_header(req, g->header_names->request_id);
	char after[32];

	if (id)
		http_server_add_header(req, g->header_names->request_id, id);
	if (retry_after_ms) {
		snprintf(after, sizeof(after), "%.2f", retry_after_ms / 1000.0);
		http_server_add_header(req, "Retry-After", after);
	}
	http_server_reply_json(req, status, body);
}

/* Returns the key in the request's Authorization field, or NULL. */
static const char *api_key(const struct gateway_state *g,
			   struct http_server_request *req)
{
	const char *value = http_server_header(req, "authorization");
	size_t n = strlen(g->header_names->auth_scheme);

	if (!value ||
	    g_ascii_strncasecmp(value, g->header_names->auth_scheme, n) != 0 ||
	    value[n] != ' ')
		return NULL;
	value += n;
	return value + strspn(value, " ");
}

/*
 * Refuses a request that was not sent to any server; `relayed` if another node
 * has passed it on, which may ask elsewhere then.
 */
static void refuse_not_run(struct gateway_state *g,
			   struct http_server_request *req, bool relayed,
			   int status, const char *reason,
			   uint32_t retry_after_ms)
{
	const char *id = http_server_header(req, g->header_names->request_id);
	const char *host = http_server_header(req, "host");

	log_event(LOG_EVENT_REQUEST_REFUSED,
		  "request=%s host=%s status=%d reason=%s "
		  "config=%" G_GUINT64_FORMAT " as_of=%" G_GUINT64_FORMAT
		  " sure=%d",
		  id ? id : "-", host ? host : "-", status, reason,
		  g->routes ? g->routes->revision : 0,
		  g->complete_revision[FEED_CONFIG],
		  gateway_config_is_current(g, gateway_now(g)));
	counter_add(&g->counter_set, COUNTER_REFUSED_NOT_RUN, 1);
	if (relayed)
		http_server_add_header(req, g->header_names->not_run, "1");
	exchange_refuse(g, req, status, verdict_name(VERDICT_NOT_RUN), reason,
			retry_after_ms);
}

/*
 * Refuses a request because of the configuration in force; with 503 if that may
 * be out of date, since a newer one might admit it.
 */
static void refuse_by_config(struct gateway_state *g,
			     struct http_server_request *req, bool relayed,
			     int status, const char *reason)
{
	if (gateway_config_is_current(g, gateway_now(g)))
		refuse_not_run(g, req, relayed, status, reason, 0);
	else
		refuse_not_run(g, req, relayed, 503, "configuration-unsure",
			       CONFIG_UNSURE_RETRY_AFTER_MS);
}

/* Returns true if a field that decides on the request occurs twice. */
static bool is_ambiguous(const struct gateway_state *g,
			 struct http_server_request *req)
{
	const char *const single[] = {g->header_names->request_id,
				      "authorization",
				      g->header_names->deadline};

	for (size_t i = 0; i < G_N_ELEMENTS(single); i++)
		if (http_message_count_name(http_server_fields(req),
					    single[i]) > 1)
			return true;
	return false;
}

/* Returns false if the client names a model that the route does not have. */
static bool is_model_known(const struct gateway_state *g,
			   struct http_server_request *req,
			   const struct route_entry *route)
{
	const char *model = http_server_header(req, g->header_names->model);

	if (!route->n_models || !model ||
	    !strcmp(model, g->header_names->any_model))
		return true;
	for (size_t i = 0; i < route->n_models; i++)
		if (!strcmp(route->models[i], model))
			return true;
	return false;
}

/*
 * Returns true if a node sent the request to a server whose entry has this node's
 * own address. It would go round between nodes, without the client's key.
 */
static bool is_for_server_at_own_address(const struct gateway_state *g,
					 struct http_server_request *req)
{
	const char *id =
		http_server_header(req, g->header_names->expect_server);
	const struct server_record *s =
		id ? server_find(&g->servers, id) : NULL;

	return s && !strcmp(s->address, g->settings->caller_address);
}

/* A request that waits for the configuration. */
struct pending_request {
	struct gateway_state *g;
	struct http_server_request *req;
};

static void on_pending_disconnect(void *user)
{
	struct pending_request *p = user;

	g_ptr_array_remove(p->g->pending_requests, p);
	g_free(p);
}

/*
 * Keeps a request that came right after the node's start, or after a pause of
 * the process, until the configuration is known. Returns false if it does not
 * wait.
 */
static bool wait_for_configuration(struct gateway_state *g,
				   struct http_server_request *req)
{
	struct pending_request *p;

	if (!gateway_is_confirming(g) &&
	    (gateway_now(g) - g->started_at > START_WAIT_MS || g->draining))
		return false;
	p = g_new0(struct pending_request, 1);
	p->g = g;
	p->req = req;
	g_ptr_array_add(g->pending_requests, p);
	http_server_on_disconnect(req, on_pending_disconnect, p);
	return true;
}

static void admit(struct gateway_state *g, struct http_server_request *req,
		  bool relayed);

/*
 * Serves the requests that wait for the configuration: it is known now, or the
 * wait is over.
 */
void exchange_serve_pending(struct gateway_state *g)
{
	while (g->pending_requests->len) {
		struct pending_request *p =
			g_ptr_array_steal_index(g->pending_requests, 0);

		http_server_on_disconnect(p->req, NULL, NULL);
		admit(g, p->req, false);
		g_free(p);
	}
}

/* Checks a request against the configuration; starts or refuses it. */
static void admit(struct gateway_state *g, struct http_server_request *req,
		  bool relayed)
{
	const char *id = http_server_header(req, g->header_names->request_id);
	const char *host = http_server_header(req, "host");
	const char *key = api_key(g, req);
	const struct route_entry *route;
	route_handle h, org = ROUTE_NONE;

	if (!id || !*id || is_ambiguous(g, req)) {
		refuse_not_run(g, req, relayed, 400,
			       "no-single-request-id-or-key", 0);
		return;
	}
	if (!gateway_has_all_topics(g)) {
		refuse_not_run(g, req, relayed, 503, "no-configuration",
			       NO_CONFIG_RETRY_AFTER_MS);
		return;
	}
	if (is_for_server_at_own_address(g, req)) {
		refuse_not_run(g, req, relayed, 421, "own-address", 0);
		return;
	}
	h = host ? route_match(g->routes, host, http_server_path(req))
		 : ROUTE_NONE;
	if (h == ROUTE_NONE) {
		refuse_by_config(g, req, relayed, 404, "unknown-route");
		return;
	}
	route = &g->routes->routes[h];
	if (key)
		org = route_org_of_key(g->routes, key);
	if (org == ROUTE_NONE && g->routes->n_orgs && !route->is_public) {
		refuse_by_config(g, req, relayed, 401, "unknown-key");
		return;
	}
	if (!is_model_known(g, req, route)) {
		refuse_by_config(g, req, relayed, 421, "unknown-model");
		return;
	}
	if (!gateway_may_start(g, exchange_time_ms(g, req, route))) {
		refuse_not_run(g, req, relayed, 503, "draining",
			       EXCHANGE_DRAINING_RETRY_AFTER_MS);
		return;
	}
	exchange_start(g, req, route, org, id, relayed);
}

/*
 * Accepts a client's request, which is answered in any case; gateway is the
 * node's struct gateway_state.
 */
void exchange_on_request(void *gateway, struct http_server_request *req)
{
	struct gateway_state *g = gateway;

	counter_add(&g->counter_set, COUNTER_REQUESTS, 1);
	gateway_check_pause(g);
	if (gateway_may_serve(g) || !wait_for_configuration(g, req))
		admit(g, req, false);
}

/* Returns why this node does not serve a request of another node, or NULL. */
static const char *relay_refusal(struct gateway_state *g)
{
	gateway_check_pause(g);
	if (g->draining)
		return "draining";
	if (gateway_is_confirming(g))
		return "resumed";
	if (!gateway_may_serve(g))
		return "starting";
	return g->relayed_requests >= MAX_RELAYED_REQUESTS ? "busy" : NULL;
}

/*
 * Accepts a request that another node passes on for its client, because it does
 * not reach the servers. It is never passed on again.
 */
void exchange_on_relayed_request(void *gateway, struct http_server_request *req)
{
	struct gateway_state *g = gateway;
	const char *refusal = relay_refusal(g);
	const char *from = http_server_header(req, RELAY_FROM_HEADER);
	const char *id = http_server_header(req, g->header_names->request_id);

	if (!cluster_key_matches(
		    g->settings->cluster_key,
		    http_server_header(req, RELAY_CLUSTER_KEY_HEADER))) {
		refuse_not_run(g, req, true, 403, "no-cluster-key", 0);
		return;
	}
	log_event(LOG_EVENT_RELAY_ACCEPTED, "request=%s node=%s refused=%s",
		  id ? id : "-", from ? from : "-", refusal ? refusal : "no");
	if (refusal)
		refuse_not_run(g, req, true, 503, refusal,
			       EXCHANGE_DRAINING_RETRY_AFTER_MS);
	else
		admit(g, req, true);
}

/*
 * Adds the header fields of refusals to that of a client's request that is
 * evicted before it was read completely.
 */
void exchange_on_evicted(void *gateway, struct http_server_request *req)
{
	struct gateway_state *g = gateway;
	const char *id = http_server_header(req, g->header_names->request_id);

	counter_add(&g->counter_set, COUNTER_REFUSED_NOT_RUN, 1);
	if (id)
		http_server_add_header(req, g->header_names->request_id, id);
}

/* The same for a request that another node passes on, which may ask elsewhere. */
void exchange_on_relayed_evicted(void *gateway, struct http_server_request *req)
{
	const struct gateway_state *g = gateway;

	exchange_on_evicted(gateway, req);
	http_server_add_header(req, g->header_names->not_run, "1");
}
