#ifndef MEMBER_MEMBER_TASK_H
#define MEMBER_MEMBER_TASK_H

#include <glib.h>
#include <json-c/json.h>
#include <netinet/in.h>
#include <stdint.h>

#include "config/view.h"

struct node;

/* Runs the membership protocol over this node's UDP socket. */
struct membership_task;

struct membership_task *membership_task_start(struct node *n, GError **err);
void membership_task_leave(struct membership_task *t);
void membership_task_stop(struct membership_task *t);
void membership_task_add(struct membership_task *t, const char *name,
			 const struct sockaddr_in *sa);
struct cfg_view_peers membership_task_estimate_peers(struct membership_task *t,
						     uint64_t now);
struct json_object *membership_task_status(struct membership_task *t);
uint32_t membership_task_live_count(struct membership_task *t);
GArray *membership_task_name_hashes(struct membership_task *t);

#endif
