#ifndef MEMBER_PEER_TASK_H
#define MEMBER_PEER_TASK_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "counters.h"
#include "member/member.h"

/* What all tasks that talk to other nodes by UDP do alike. */

/* Counts of members as last logged. */
struct per_logged {
	uint32_t alive;
	uint32_t suspect;
};

void per_send(uv_udp_t *socket, struct ctr *ctr, struct mbr_addr to,
	      const uint8_t *bytes, size_t len);
GArray *per_new_out(void);
void per_send_all(uv_udp_t *socket, struct ctr *ctr, const char *key,
		  GArray *out);
bool per_log_changes(const struct mbr *m, struct per_logged *logged);

#endif
