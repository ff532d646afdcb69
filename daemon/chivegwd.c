#include <argtable2.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "backend/placement-task.h"
#include "backend/table-task.h"
#include "config/watch-task.h"
#include "daemon/client-memory-task.h"
#include "daemon/gateway.h"
#include "daemon/node.h"
#include "daemon/version.h"
#include "api/client-listener.h"
#include "api/operator-task.h"
#include "log-event.h"
#include "member/member-task.h"
#include "rollout/rating-task.h"
#include "rollout/rollout-task.h"
#include "rollout/status-task.h"
#include "trace/trace.h"
#include "usage/usage-task.h"

#define OPERATOR_MAX_BODY_BYTES 65536
#define DRAIN_TICK_MS 20
#define EXIT_BAD_ARGUMENTS 2

/* A node's graceful shutdown. */
struct drain {
	struct node *node;
	uint64_t started_at; /* in ms of the loop's clock */
	uv_timer_t timer;
	bool listener_closed; /* clients can no longer connect */
};

static void stop_tasks(struct node *n)
{
	http_server_shutdown(n->client_listener);
	http_server_stop_accepting(n->operator_listener);
	cfg_watch_stop(n->config_task);
	backend_table_stop(n->backend_task);
	membership_task_stop(n->member_task);
	usage_task_stop(n->usage_task);
	rollout_status_stop(n->status_task);
	rollout_task_stop(n->rollout_task);
	placement_task_stop(n->placement_task);
	uv_stop(n->loop);
}

static bool is_drained(const struct node *n)
{
	return !n->open_tasks &&
	       !http_server_open_requests(n->client_listener) &&
	       usage_task_is_empty(n->usage_task);
}

/*
 * After unready_ms stops accepting connections; ends the process when all
 * requests are finished, or after drain_ms.
 */
static void on_drain(uv_timer_t *timer)
{
	struct drain *d = timer->data;
	struct node *n = d->node;
	uint64_t elapsed_ms = node_now(n) - d->started_at;

	if (elapsed_ms < (uint64_t)n->settings->unready_ms)
		return;
	if (!d->listener_closed) {
		d->listener_closed = true;
		http_server_shutdown(n->client_listener);
		usage_task_flush_now(n->usage_task);
	}
	if (!is_drained(n)) {
		if (elapsed_ms < (uint64_t)n->settings->drain_ms)
			return;
		log_event(LOG_EVENT_DRAIN_EXPIRED, "open=%zu", n->open_tasks);
	}
	log_event(LOG_EVENT_STOPPED, "node=%s", n->settings->node);
	uv_timer_stop(timer);
	stop_tasks(n);
}

/*
 * Begins a graceful shutdown: the node is unready at once, new requests are
 * refused as not run, accepted ones are finished, and pending usage records are
 * written.
 */
static void on_stop_signal(uv_signal_t *signal, int number)
{
	struct drain *d = signal->data;
	struct node *n = d->node;

	if (n->draining)
		return;
	log_event(LOG_EVENT_STOPPING, "signal=%d open=%zu", number,
		  n->open_tasks);
	n->draining = true;
	d->started_at = node_now(n);
	membership_task_leave(n->member_task);
	uv_timer_start(&d->timer, on_drain, DRAIN_TICK_MS, DRAIN_TICK_MS);
}

static void seed_rng(struct node *n)
{
	uint64_t seed = 0, boot = 0;

	if (getrandom(&seed, sizeof(seed), 0) != sizeof(seed) ||
	    getrandom(&boot, sizeof(boot), 0) != sizeof(boot))
		g_error("no random numbers: %s", strerror(errno));
	rng_seed(&n->rng, seed);
	snprintf(n->boot, sizeof(n->boot), "%016llx", (unsigned long long)boot);
}

static bool start_listeners(struct node *n, GError **err)
{
	struct node_settings *s = n->settings;
	struct memory_account *memory;

	n->client_listener = http_server_listen(
		n->loop, s->caller_address, (size_t)s->max_body_bytes,
		(uint64_t)s->head_timeout_ms, client_listener_handle, n, err);
	if (!n->client_listener)
		return false;
	n->operator_listener = http_server_listen(
		n->loop, s->operator_address, OPERATOR_MAX_BODY_BYTES,
		(uint64_t)s->head_timeout_ms, operator_handle, n, err);
	if (!n->operator_listener)
		return false;
	memory = client_memory_account(n->client_memory);
	http_server_set_memory(n->client_listener, memory, HTTP_SERVER_CLIENTS,
			       NULL);
	http_server_set_memory(n->operator_listener, memory,
			       HTTP_SERVER_OPERATORS, NULL);
	return true;
}

static bool start_node(struct node *n, GError **err)
{
	seed_rng(n);
	limit_init(&n->limits);
	n->trace = trace_new(n->settings->node);
	n->client_memory =
		client_memory_start(n->loop, n->settings, &n->counter_set);
	n->http = http_client_new(n->loop);
	http_client_set_memory(n->http,
			       client_memory_account(n->client_memory));
	n->store = store_new(n->http, n->settings->platform_address,
			     (uint32_t)n->settings->store_timeout_ms,
			     &n->counter_set);
	n->member_task = membership_task_start(n, err);
	if (!n->member_task || !start_listeners(n, err))
		return false;
	n->config_task = cfg_watch_start(n);
	n->backend_task = backend_table_start(n);
	n->usage_task = usage_task_start(n);
	n->rating_task = rating_new(n);
	n->status_task = rollout_status_start(n);
	n->rollout_task = rollout_task_start(n);
	n->placement_task = placement_task_start(n);
	log_event(LOG_EVENT_STARTED, "node=%s zone=%s callers=%s version=%s",
		  n->settings->node, n->settings->zone,
		  n->settings->caller_address, CHIVEGW_VERSION);
	return true;
}

static void watch_signal(struct node *n, uv_signal_t *signal, int number,
			 struct drain *drain)
{
	uv_signal_init(n->loop, signal);
	signal->data = drain;
	uv_signal_start(signal, on_stop_signal, number);
}

static int run_node(struct node_settings *settings)
{
	struct node *n = g_new0(struct node, 1);
	struct drain drain = {.node = n};
	uv_signal_t term, interrupt;
	GError *err = NULL;

	signal(SIGPIPE, SIG_IGN);
	n->loop = uv_default_loop();
	n->settings = settings;
	if (!start_node(n, &err)) {
		fprintf(stderr, "chivegwd: %s\n", err->message);
		return EXIT_FAILURE;
	}
	uv_timer_init(n->loop, &drain.timer);
	drain.timer.data = &drain;
	watch_signal(n, &term, SIGTERM, &drain);
	watch_signal(n, &interrupt, SIGINT, &drain);
	uv_run(n->loop, UV_RUN_DEFAULT);
	return EXIT_SUCCESS;
}

static int read_settings_and_run(const char *path, bool check_only)
{
	GError *err = NULL;
	struct node_settings *settings = settings_read(path, &err);

	if (!settings) {
		fprintf(stderr, "chivegwd: %s\n", err->message);
		return EXIT_FAILURE;
	}
	if (check_only) {
		printf("%s: settings are valid\n", path);
		settings_free(settings);
		return EXIT_SUCCESS;
	}
	log_event_setup(settings->node);
	return settings->ready_address ? gateway_run(settings, path)
				       : run_node(settings);
}

int main(int argc, char **argv)
{
	struct arg_file *settings =
		arg_file0("s", "settings", "FILE", "run with these settings");
	struct arg_file *check = arg_file0(NULL, "check-settings", "FILE",
					   "check settings and exit");
	struct arg_lit *version =
		arg_lit0(NULL, "version", "print the version");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {settings, check, version, help, end};
	int errors = arg_parse(argc, argv, table);

	if (help->count) {
		printf("usage: chivegwd");
		arg_print_syntax(stdout, table, "\n\n");
		arg_print_glossary(stdout, table, "  %-28s %s\n");
		printf("\nexit codes: 0 stopped on request, 1 failed, 2 bad "
		       "arguments\n");
		return EXIT_SUCCESS;
	}
	if (version->count) {
		printf("chivegwd %s build %s\n", CHIVEGW_VERSION,
		       version_build());
		return EXIT_SUCCESS;
	}
	if (errors || settings->count + check->count != 1) {
		arg_print_errors(stderr, end, "chivegwd");
		fprintf(stderr, "chivegwd: give --settings FILE or "
				"--check-settings FILE; see --help\n");
		return EXIT_BAD_ARGUMENTS;
	}
	if (check->count)
		return read_settings_and_run(check->filename[0], true);
	return read_settings_and_run(settings->filename[0], false);
}
