#include "exchange/intake-task.h"

#include <stdio.h>
#include <string.h>

#include "exchange/exchange.h"
#include "log-event.h"

#define LATE_STREAM_MS 2500
#define LATE_PLAIN_MS 1300 /* before the end of the time of grace */
#define EARLY_MS 500 /* after the start: requests wait for what is to know */

/* Answers a request with a refusal of our own. */
void exchange_refuse(struct gateway_state *g, struct http_server_request *req,
		     int status, const char *verdict, const char *reason,
		     uint32_t retry_after_ms)
{
	g_autofree char *body = g_strdup_printf(
		"{\"error\":{\"verdict\":\"%s\",\"reason\":\"%s\"}}", verdict,
		reason);
	const char *id = http_server_header(req, g->names->request_id);
	char after[32];

	if (id)
		http_server_add_header(req, g->names->request_id, id);
	if (retry_after_ms) {
		snprintf(after, sizeof(after), "%.2f", retry_after_ms / 1000.0);
		http_server_add_header(req, "Retry-After", after);
	}
	http_server_reply_json(req, status, body);
}

static const char *key_of(const struct gateway_state *g,
			  struct http_server_request *req)
{
	const char *value = http_server_header(req, "authorization");
	size_t n = strlen(g->names->auth_scheme);

	if (!value ||
	    g_ascii_strncasecmp(value, g->names->auth_scheme, n) != 0 ||
	    value[n] != ' ')
		return NULL;
	value += n;
	return value + strspn(value, " ");
}

static void refuse_early(struct gateway_state *g,
			 struct http_server_request *req, int status,
			 const char *reason, uint32_t retry_after_ms)
{
	const char *id = http_server_header(req, g->names->request_id);
	const char *host = http_server_header(req, "host");

	log_event(LOG_EVENT_REQUEST_REFUSED,
		  "request=%s host=%s status=%d reason=%s "
		  "config=%" G_GUINT64_FORMAT " as_of=%" G_GUINT64_FORMAT
		  " sure=%d",
		  id ? id : "-", host ? host : "-", status, reason,
		  g->routes ? g->routes->revision : 0, g->as_of[FEED_CONFIG],
		  gateway_config_is_current(g, gateway_now(g)));
	counter_add(&g->counter_set, COUNTER_REFUSED_NOT_RUN, 1);
	exchange_refuse(g, req, status, verdict_name(VERDICT_NOT_RUN), reason,
			retry_after_ms);
}

/* A refusal that another configuration might not give is not final. */
static void refuse_by_config(struct gateway_state *g,
			     struct http_server_request *req, int status,
			     const char *reason)
{
	if (gateway_config_is_current(g, gateway_now(g)))
		refuse_early(g, req, status, reason, 0);
	else
		refuse_early(g, req, 503, "configuration-unsure", 300);
}

/* Tells whether a field by which the request is judged comes twice. */
static bool is_ambiguous(const struct gateway_state *g,
			 struct http_server_request *req)
{
	const char *const single[] = {g->names->request_id, "authorization",
				      g->names->deadline};

	for (size_t i = 0; i < G_N_ELEMENTS(single); i++)
		if (http_message_count_name(http_server_fields(req),
					    single[i]) > 1)
			return true;
	return false;
}

/* Tells whether the node stops too soon for a request of the route. */
static bool is_too_late(struct gateway_state *g,
			const struct route_entry *route)
{
	uint64_t passed = gateway_now(g) - g->drain_started_at;
	uint64_t grace = (uint64_t)(1000 * g->settings->grace_s);

	if (!g->draining)
		return false;
	return passed + LATE_PLAIN_MS > grace ||
	       (route->kind == ROUTE_STREAMING && passed > LATE_STREAM_MS);
}

struct early {
	struct gateway_state *g;
	struct http_server_request *req;
};

static void on_early_gone(void *user)
{
	struct early *e = user;

	g_ptr_array_remove(e->g->early, e);
	g_free(e);
}

/* A node that has just started knows all in a moment: the request waits. */
static bool waits_for_start(struct gateway_state *g,
			    struct http_server_request *req)
{
	struct early *e;

	if (gateway_now(g) - g->started_at > EARLY_MS || g->draining)
		return false;
	e = g_new0(struct early, 1);
	e->g = g;
	e->req = req;
	g_ptr_array_add(g->early, e);
	http_server_on_disconnect(req, on_early_gone, e);
	return true;
}

static void take(struct gateway_state *g, struct http_server_request *req);

/* All is known, or the time to wait for it is over: serves who waits. */
void exchange_serve_pending(struct gateway_state *g)
{
	while (g->early->len) {
		struct early *e = g_ptr_array_steal_index(g->early, 0);

		http_server_on_disconnect(e->req, NULL, NULL);
		take(g, e->req);
		g_free(e);
	}
}

static void take(struct gateway_state *g, struct http_server_request *req)
{
	const char *id = http_server_header(req, g->names->request_id);
	const char *host = http_server_header(req, "host");
	const char *key = key_of(g, req);
	const struct route_entry *route;
	route_handle h, org = ROUTE_NONE;

	if (!id || !*id || is_ambiguous(g, req)) {
		refuse_early(g, req, 400, "no-single-request-id-or-key", 0);
		return;
	}
	if (!gateway_has_all_topics(g)) {
		refuse_early(g, req, 503, "no-configuration", 400);
		return;
	}
	h = host ? route_match(g->routes, host, http_server_path(req))
		 : ROUTE_NONE;
	if (h == ROUTE_NONE) {
		refuse_by_config(g, req, 404, "unknown-route");
		return;
	}
	route = &g->routes->routes[h];
	if (key)
		org = route_org_of_key(g->routes, key);
	if (org == ROUTE_NONE && g->routes->n_orgs && !route->is_public) {
		refuse_by_config(g, req, 401, "unknown-key");
		return;
	}
	if (is_too_late(g, route)) {
		refuse_early(g, req, 503, "draining", 100);
		return;
	}
	exchange_start(g, req, route, org, id);
}

/* Takes a request of a client; it ends by itself. */
void exchange_on_request(void *gateway, struct http_server_request *req)
{
	struct gateway_state *g = gateway;

	counter_add(&g->counter_set, COUNTER_REQUESTS, 1);
	if (gateway_has_all_topics(g) || !waits_for_start(g, req))
		take(g, req);
}
