#include "backend/table-task.h"

#include <string.h>

#include "daemon/node.h"
#include "http/address.h"
#include "json-check.h"
#include "log-event.h"
#include "member/member-task.h"

#define REPORT_TIMEOUT_MS 1000
#define MAX_PENDING_REPORTS 16
#define VM_LIST_INTERVAL_MS 1000 /* between requests for the list of VMs */
#define MAX_REPORT_BYTES 65536

struct backend_table {
	struct node *node;
	struct backend_state *rows; /* indexed by server handle */
	size_t n; /* number of rows */
	uint64_t generation; /* incremented with each new table */
	uv_timer_t report_timer;
	uv_timer_t vm_timer;
	GHashTable *leaving; /* addresses of servers about to be removed */
	uint32_t pending_reports;
	size_t next_server; /* handle of the next server to poll */
	uint64_t round_started_at; /* of polling all servers; in ms */
	bool list_pending;
	bool stopped;
};

/* A load report that has been requested. */
struct report {
	struct backend_table *table;
	uint64_t generation; /* of the table that `server` refers to */
	cfg_handle server;
	GString *body;
	int status;
};

static void on_report_head(void *user, const struct http_client_head *head)
{
	((struct report *)user)->status = head->status;
}

static void on_report_data(void *user, const char *data, size_t len)
{
	struct report *r = user;

	if (r->body->len + len <= MAX_REPORT_BYTES)
		g_string_append_len(r->body, data, (gssize)len);
}

static uint64_t loaded_versions(const struct cfg *cfg, struct json_object *list)
{
	uint64_t loaded = 0;

	for (size_t i = 0; i < jcheck_array_length(list); i++) {
		cfg_handle v = cfg_find_version(
			cfg, json_object_get_string(
				     json_object_array_get_idx(list, i)));

		if (v != CFG_NONE)
			loaded |= (uint64_t)1 << v;
	}
	return loaded;
}

static void apply_report(struct report *r)
{
	struct backend_table *t = r->table;
	struct json_object *o = json_tokener_parse(r->body->str);
	struct json_object *versions = jcheck_get(o, "versions");
	uint64_t loaded = UINT64_MAX;

	if (versions)
		loaded = loaded_versions(t->node->cfg, versions);
	if (o)
		backend_on_load_report(&t->rows[r->server],
				       jcheck_get_real(o, "running", 0) +
					       jcheck_get_real(o, "waiting", 0),
				       loaded);
	if (o)
		t->rows[r->server].reports_loaded = versions != NULL;
	json_object_put(o);
}

static void on_report_done(void *user, enum http_client_outcome end)
{
	struct report *r = user;
	struct backend_table *t = r->table;

	t->pending_reports--;
	if (end == HTTP_CLIENT_COMPLETE && r->status == 200 &&
	    r->generation == t->generation && !t->stopped)
		apply_report(r);
	g_string_free(r->body, TRUE);
	g_free(r);
}

static const struct http_client_callbacks report_events = {
	on_report_head, on_report_data, on_report_done};

static void request_report(struct backend_table *t, cfg_handle server)
{
	struct report *r = g_new0(struct report, 1);
	struct http_client_request req = {
		.address = t->node->cfg->servers[server].address,
		.method = "GET",
		.path = "/load",
		.new_connection = true, /* a report names no request */
		.connect_ms = REPORT_TIMEOUT_MS,
		.progress_ms = REPORT_TIMEOUT_MS,
		.total_ms = REPORT_TIMEOUT_MS,
	};

	r->table = t;
	r->generation = t->generation;
	r->server = server;
	r->body = g_string_new(NULL);
	t->pending_reports++;
	http_client_start(t->node->http, &req, &report_events, r);
}

/* Returns the next server in use of this round, or CFG_NONE at its end. */
static cfg_handle next_server_to_poll(struct backend_table *t)
{
	while (t->next_server < t->n) {
		size_t i = t->next_server++;

		if (backend_is_in_use(&t->rows[i]))
			return (cfg_handle)i;
	}
	return CFG_NONE;
}

/*
 * Polls one server at each tick, so that reports_per_s bounds the cost of
 * polling for any number of servers. A round over all servers takes at least
 * load_poll_ms.
 */
static void on_report_timer(uv_timer_t *timer)
{
	struct backend_table *t = timer->data;
	uint64_t now = node_now(t->node);
	uint64_t min_round_ms = (uint64_t)t->node->settings->load_poll_ms;
	cfg_handle server;

	if (t->pending_reports >= MAX_PENDING_REPORTS)
		return;
	server = next_server_to_poll(t);
	if (server == CFG_NONE && now - t->round_started_at >= min_round_ms) {
		t->next_server = 0;
		t->round_started_at = now;
		server = next_server_to_poll(t);
	}
	if (server != CFG_NONE)
		request_report(t, server);
}

static void mark_leaving(struct backend_table *t, const struct cfg *cfg)
{
	for (size_t i = 0; i < t->n; i++) {
		const char *address = cfg->servers[i].address;
		bool leaving = g_hash_table_contains(t->leaving, address);

		if (leaving && !t->rows[i].leaving)
			log_event(LOG_EVENT_SERVER_LEAVING, "address=%s",
				  address);
		t->rows[i].leaving = leaving;
	}
}

static void add_seed_node(struct backend_table *t, struct json_object *vm)
{
	struct sockaddr_in sa;

	if (address_parse(jcheck_get_string(vm, "address", ""), &sa, NULL))
		membership_task_add(t->node->member_task,
				    jcheck_get_string(vm, "name", ""), &sa);
}

/* Updates the servers about to be removed and the known nodes from the list. */
static void apply_vm_list(struct backend_table *t, struct json_object *list)
{
	g_hash_table_remove_all(t->leaving);
	for (size_t i = 0; i < jcheck_array_length(list); i++) {
		struct json_object *vm = json_object_array_get_idx(list, i);
		bool leaving =
			!strcmp(jcheck_get_string(vm, "state", ""), "leaving");

		if (!strcmp(jcheck_get_string(vm, "role", ""), "entry"))
			add_seed_node(t, vm);
		else if (leaving)
			g_hash_table_add(
				t->leaving,
				g_strdup(jcheck_get_string(vm, "address", "")));
	}
	if (t->node->cfg)
		mark_leaving(t, t->node->cfg);
}

static void on_vm_list(void *user, const struct store_result *r)
{
	struct backend_table *t = user;
	struct json_object *list;

	t->list_pending = false;
	if (r->outcome != STORE_OK || t->stopped)
		return;
	list = json_tokener_parse(r->body);
	if (!list)
		return;
	apply_vm_list(t, list);
	json_object_put(list);
}

static void on_vm_timer(uv_timer_t *timer)
{
	struct backend_table *t = timer->data;

	if (t->list_pending)
		return;
	t->list_pending = true;
	store_list_vms(t->node->store, on_vm_list, t);
}

/* Starts polling. Returns the table, which lives as long as the process. */
struct backend_table *backend_table_start(struct node *n)
{
	struct backend_table *t = g_new0(struct backend_table, 1);
	uint64_t interval_ms = 1000 / (uint64_t)n->settings->reports_per_s;

	t->node = n;
	t->leaving =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	uv_timer_init(n->loop, &t->report_timer);
	uv_timer_init(n->loop, &t->vm_timer);
	t->report_timer.data = t;
	t->vm_timer.data = t;
	uv_timer_start(&t->report_timer, on_report_timer, 0, interval_ms);
	uv_timer_start(&t->vm_timer, on_vm_timer, 0, VM_LIST_INTERVAL_MS);
	return t;
}

/* Stops polling; the table stays valid. */
void backend_table_stop(struct backend_table *t)
{
	t->stopped = true;
	uv_close((uv_handle_t *)&t->report_timer, NULL);
	uv_close((uv_handle_t *)&t->vm_timer, NULL);
}

static cfg_handle find_server(const struct cfg *cfg, const char *address)
{
	for (size_t i = 0; i < cfg->n_servers; i++)
		if (!strcmp(cfg->servers[i].address, address))
			return (cfg_handle)i;
	return CFG_NONE;
}

static void select_subset(struct backend_table *t, const struct cfg *cfg)
{
	g_autoptr(GArray) nodes =
		membership_task_name_hashes(t->node->member_task);

	backend_select_subset(cfg, t->rows, (const uint64_t *)nodes->data,
			      nodes->len,
			      backend_hash_name(t->node->settings->node),
			      (size_t)t->node->settings->nodes_per_server);
}

/* Selects the servers that this node uses again after the members changed. */
void backend_table_on_members(struct backend_table *t)
{
	if (t->node->cfg)
		select_subset(t, t->node->cfg);
}

/*
 * Creates the table for a new configuration. Servers that were in the previous
 * one (NULL: none) keep their state, except the loaded versions: these are
 * unknown until the next report, since version handles may have changed.
 */
void backend_table_on_config(struct backend_table *t, const struct cfg *cfg,
			     const struct cfg *previous)
{
	struct backend_state *old = t->rows;

	t->rows = g_new0(struct backend_state, cfg->n_servers + 1);
	for (size_t i = 0; i < cfg->n_servers; i++) {
		cfg_handle old_handle = CFG_NONE;

		if (previous)
			old_handle =
				find_server(previous, cfg->servers[i].address);
		if (old_handle == CFG_NONE) {
			backend_init(&t->rows[i]);
		} else {
			t->rows[i] = old[old_handle];
			t->rows[i].loaded = UINT64_MAX;
			t->rows[i].reports_loaded = false;
		}
	}
	g_free(old);
	t->n = cfg->n_servers;
	t->generation++;
	select_subset(t, cfg);
	mark_leaving(t, cfg);
}

/*
 * Returns the rows, indexed by server handle. They are valid until the next
 * configuration.
 */
struct backend_state *backend_table_rows(struct backend_table *t)
{
	return t->rows;
}

/*
 * Returns how many requests this node may have in flight at the servers of a
 * service that it uses: the sum of their limits.
 */
double backend_table_capacity(struct backend_table *t, const struct cfg *cfg,
			      cfg_handle service)
{
	double sum = 0;

	for (size_t i = 0; i < t->n; i++)
		if (cfg->servers[i].service == service &&
		    backend_is_in_use(&t->rows[i]))
			sum += t->rows[i].limit;
	return sum;
}

/*
 * Returns a server's row by its address, or NULL if the configuration has no
 * such server. Unlike a handle, an address stays valid when the configuration
 * changes during a request.
 */
struct backend_state *backend_table_find(struct backend_table *t,
					 const struct cfg *cfg,
					 const char *address)
{
	cfg_handle h = find_server(cfg, address);

	return h == CFG_NONE ? NULL : &t->rows[h];
}
