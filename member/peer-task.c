#include "member/peer-task.h"

#include <netinet/in.h>

#include "log-event.h"
#include "wire/codec.h"

/* Sends one message; what the socket does not take at once is lost. */
void per_send(uv_udp_t *socket, struct ctr *ctr, struct mbr_addr to,
	      const uint8_t *bytes, size_t len)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	uv_buf_t buf = uv_buf_init((char *)bytes, (unsigned int)len);

	if (!len)
		return;
	sa.sin_addr.s_addr = htonl(to.ip);
	sa.sin_port = htons(to.port);
	if (uv_udp_try_send(socket, &buf, 1, (struct sockaddr *)&sa) > 0)
		ctr_add(ctr, CTR_PEER_BYTES_OUT, len);
}

/* Returns an empty list of struct mbr_out. */
GArray *per_new_out(void)
{
	return g_array_new(FALSE, FALSE, sizeof(struct mbr_out));
}

/* Sends all messages of the list, signed with the key, and frees it. */
void per_send_all(uv_udp_t *socket, struct ctr *ctr, const char *key,
		  GArray *out)
{
	uint8_t bytes[WIR_MAX_BYTES];

	for (guint i = 0; i < out->len; i++) {
		const struct mbr_out *o =
			&g_array_index(out, struct mbr_out, i);

		per_send(socket, ctr, o->to, bytes,
			 wir_encode(&o->msg, key, bytes, sizeof(bytes)));
	}
	g_array_free(out, TRUE);
}

/* Logs the counts of members if they changed; returns whether they did. */
bool per_log_changes(const struct mbr *m, struct per_logged *logged)
{
	uint32_t alive = mbr_count(m, MBR_ALIVE);
	uint32_t suspect = mbr_count(m, MBR_SUSPECT);

	if (alive == logged->alive && suspect == logged->suspect)
		return false;
	logged->alive = alive;
	logged->suspect = suspect;
	lge(LGE_MEMBER_CHANGED, "alive=%u suspect=%u leaving=%u dead=%u",
	    alive + 1, suspect, mbr_count(m, MBR_LEAVING),
	    mbr_count(m, MBR_DEAD));
	return true;
}
