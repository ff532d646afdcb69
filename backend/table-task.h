#ifndef BACKEND_TABLE_TASK_H
#define BACKEND_TABLE_TASK_H

#include <stdint.h>

#include "config/config.h"
#include "route/server.h"

struct node;

/*
 * Owns the table of backend servers, one row for each server of the
 * configuration. Polls the servers' load reports and the platform's list of
 * VMs, which shows which servers are about to be removed and which nodes exist.
 */
struct backend_table;

struct backend_table *backend_table_start(struct node *n);
void backend_table_stop(struct backend_table *t);
void backend_table_on_config(struct backend_table *t, const struct cfg *cfg,
			     const struct cfg *previous);
void backend_table_on_members(struct backend_table *t);
struct backend_state *backend_table_rows(struct backend_table *t);
double backend_table_capacity(struct backend_table *t, const struct cfg *cfg,
			      cfg_handle service);
struct backend_state *backend_table_find(struct backend_table *t,
					 const struct cfg *cfg,
					 const char *address);

#endif
