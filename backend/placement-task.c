#include "backend/placement-task.h"

#include <json-c/json.h>
#include <string.h>

#include "backend/placement.h"
#include "backend/table-task.h"
#include "daemon/node.h"
#include "log-event.h"

#define CHECK_INTERVAL_MS 300 /* between checks for an order to send */
#define ORDER_TIMEOUT_MS 5000
#define REPEAT_INTERVAL_MS 2000 /* before the same order is sent again */

/*
 * Orders are sent one at a time. This also limits the load on the weight store,
 * since a node causes no more than one load of a version at a time.
 */
struct placement_task_state {
	struct node *node;
	uv_timer_t timer;
	bool order_pending; /* an order was sent and has no response yet */
	int status; /* of the response to the last order */
	char *server; /* address, of the last order */
	char *version; /* name, of the last order */
	uint64_t sent_at; /* of the last order, in ms of the loop's clock */
	size_t next_server; /* handle at which the next check begins */
	bool stopped;
};

static void on_head(void *user, const struct http_client_head *head)
{
	((struct placement_task_state *)user)->status = head->status;
}

static void on_data(void *user, const char *data, size_t len)
{
	(void)user;
	(void)data;
	(void)len;
}

static void on_done(void *user, enum http_client_outcome end)
{
	struct placement_task_state *t = user;

	t->order_pending = false;
	if (end == HTTP_CLIENT_COMPLETE && t->status != 200)
		log_event(LOG_EVENT_ENGINE_ORDER_REFUSED,
			  "server=%s version=%s status=%d", t->server,
			  t->version, t->status);
}

static const struct http_client_callbacks events = {on_head, on_data, on_done};

/* Returns the JSON body of an order; the caller frees it. */
static char *encode_order(const struct placement_task_state *t,
			  const struct placement_order *o)
{
	struct json_object *j = json_object_new_object();
	char *text;

	json_object_object_add(j, "version",
			       json_object_new_string(t->version));
	json_object_object_add(
		j, "loaded",
		json_object_new_boolean(o->action == PLACEMENT_LOAD));
	json_object_object_add(j, "fence",
			       json_object_new_int64((int64_t)o->fence));
	text = g_strdup(
		json_object_to_json_string_ext(j, JSON_C_TO_STRING_PLAIN));
	json_object_put(j);
	return text;
}

/*
 * Returns whether the same order was sent to the server less than
 * REPEAT_INTERVAL_MS ago: it may still be loading, and its report lags.
 */
static bool sent_recently(const struct placement_task_state *t,
			  const char *server, const char *version, uint64_t now)
{
	return t->server && !strcmp(t->server, server) &&
	       !strcmp(t->version, version) &&
	       now - t->sent_at < REPEAT_INTERVAL_MS;
}

static void send_order(struct placement_task_state *t, cfg_handle server,
		       const struct placement_order *o)
{
	const struct cfg *cfg = t->node->cfg;
	g_autofree char *text = NULL;
	struct http_client_request req = {
		.address = cfg->servers[server].address,
		.method = "POST",
		.path = "/orders",
		.headers = "content-type: application/json\r\n",
		.connect_ms = ORDER_TIMEOUT_MS,
		.progress_ms = ORDER_TIMEOUT_MS,
		.total_ms = ORDER_TIMEOUT_MS,
		.new_connection = true,
	};

	g_free(t->server);
	g_free(t->version);
	t->server = g_strdup(cfg->servers[server].address);
	t->version = g_strdup(cfg->versions[o->version].name);
	t->sent_at = node_now(t->node);
	t->order_pending = true;
	t->status = 0;
	text = encode_order(t, o);
	req.body = text;
	req.len = strlen(text);
	log_event(LOG_EVENT_ENGINE_ORDERED,
		  "server=%s version=%s %s fence=%" G_GUINT64_FORMAT, t->server,
		  t->version, o->action == PLACEMENT_LOAD ? "load" : "unload",
		  o->fence);
	http_client_start(t->node->http, &req, &events, t);
}

/*
 * Sends the next order that a server needs, if any and if it ranks this node
 * first. Returns whether one was sent.
 */
static bool send_next_order(struct placement_task_state *t, cfg_handle server,
			    uint64_t now)
{
	const struct cfg *cfg = t->node->cfg;
	const struct backend_state *s =
		&backend_table_rows(t->node->backend_task)[server];
	cfg_handle service = cfg->servers[server].service;
	struct placement_order o;

	if (!s->ranks_this_node_first || s->leaving || !s->reports_loaded ||
	    cfg->services[service].kind != CFG_SERVICE_ENGINE)
		return false;
	o = placement_next_order(cfg, service, s->loaded);
	if (o.action == PLACEMENT_NONE ||
	    sent_recently(t, cfg->servers[server].address,
			  cfg->versions[o.version].name, now))
		return false;
	send_order(t, server, &o);
	return true;
}

static void on_tick(uv_timer_t *timer)
{
	struct placement_task_state *t = timer->data;
	struct node *n = t->node;
	uint64_t now = node_now(n);
	const char *reason;

	/* With a stale configuration, the wanted versions may be outdated. */
	if (t->order_pending || !n->cfg ||
	    !node_accepts_requests(n, now, &reason))
		return;
	for (size_t i = 0; i < n->cfg->n_servers; i++) {
		size_t at = (t->next_server + i) % n->cfg->n_servers;

		if (!send_next_order(t, (cfg_handle)at, now))
			continue;
		t->next_server = at + 1;
		return;
	}
}

/* Starts the task. Returns its state, which lives as long as the process. */
struct placement_task_state *placement_task_start(struct node *n)
{
	struct placement_task_state *t = g_new0(struct placement_task_state, 1);

	t->node = n;
	uv_timer_init(n->loop, &t->timer);
	t->timer.data = t;
	uv_timer_start(&t->timer, on_tick, CHECK_INTERVAL_MS,
		       CHECK_INTERVAL_MS);
	return t;
}

/* Stops sending orders; further calls have no effect. */
void placement_task_stop(struct placement_task_state *t)
{
	if (t->stopped)
		return;
	t->stopped = true;
	uv_close((uv_handle_t *)&t->timer, NULL);
}
