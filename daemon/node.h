#ifndef DAEMON_NODE_H
#define DAEMON_NODE_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "config/config.h"
#include "config/view.h"
#include "counters.h"
#include "daemon/settings.h"
#include "http/client.h"
#include "http/server.h"
#include "limit/limit.h"
#include "store/store-task.h"
#include "rng.h"
#include "route/quality.h"

struct client_memory;
struct cfg_watch;
struct backend_table;
struct membership_task;
struct usage_writer;
struct rollout_controller;
struct rating_collector;
struct rollout_status_writer;
struct placement_task_state;
struct trace_buffer;

/*
 * One node: its settings, the configuration in force and its tasks, each of
 * which owns its sockets and state. All of it runs on one loop in one thread.
 */
struct node {
	uv_loop_t *loop;
	struct node_settings *settings;
	struct counter_set counter_set;
	struct rng rng;
	struct http_client *http;
	struct store_client *store;
	struct client_memory *client_memory;
	struct http_server *client_listener;
	struct http_server *operator_listener;
	struct cfg_watch *config_task;
	struct backend_table *backend_task;
	struct membership_task *member_task;
	struct usage_writer *usage_task;
	struct rollout_controller *rollout_task;
	struct rating_collector *rating_task;
	struct rollout_status_writer *status_task;
	struct placement_task_state *placement_task;
	struct trace_buffer *trace;
	struct cfg *cfg; /* in force; NULL: none yet */
	struct quality_table quality;
	struct limiter limits;
	char boot[17]; /* 16 random hex digits, differ between runs of a node */
	uint64_t request_count; /* request ids created */
	uint64_t pick_count; /* backend servers picked */
	size_t open_tasks; /* requests with work left, even if answered */
	bool draining;
	enum cfg_view_state last_state; /* as last logged */
};

uint64_t node_now(struct node *n);
void node_new_request_id(struct node *n, char *out, size_t size);
void node_apply_config(struct node *n, struct cfg *cfg);
void node_log_config_state(struct node *n, uint64_t now);
bool node_can_send(struct node *n, uint64_t now, const char **reason);
bool node_accepts_requests(struct node *n, uint64_t now, const char **reason);

#endif
