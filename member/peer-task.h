#ifndef MEMBER_PEER_TASK_H
#define MEMBER_PEER_TASK_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "counters.h"
#include "member/member.h"

/* Functions shared by the tasks that exchange UDP messages with nodes. */

/* Member counts as last logged, without this node. */
struct peer_task_logged_counts {
	uint32_t alive;
	uint32_t suspect;
};

void peer_task_send(uv_udp_t *socket, struct counter_set *counter_set,
		    struct member_addr to, const uint8_t *bytes, size_t len);
GArray *peer_task_new_datagrams(void);
void peer_task_send_all(uv_udp_t *socket, struct counter_set *counter_set,
			const char *key, GArray *out);
bool peer_task_log_changes(const struct member_table *m,
			   struct peer_task_logged_counts *logged);

#endif
