#include "member/peer-task.h"

#include <netinet/in.h>

#include "log-event.h"
#include "wire/codec.h"

/*
 * Sends one encoded message. It is dropped if it is empty or if the socket
 * cannot take it at once.
 */
void peer_task_send(uv_udp_t *socket, struct counter_set *counter_set,
		    struct member_addr to, const uint8_t *bytes, size_t len)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	uv_buf_t buf = uv_buf_init((char *)bytes, (unsigned int)len);

	if (!len)
		return;
	sa.sin_addr.s_addr = htonl(to.ip);
	sa.sin_port = htons(to.port);
	if (uv_udp_try_send(socket, &buf, 1, (struct sockaddr *)&sa) > 0)
		counter_add(counter_set, COUNTER_PEER_BYTES_OUT, len);
}

/* Returns a new empty array of struct member_datagram. */
GArray *peer_task_new_datagrams(void)
{
	return g_array_new(FALSE, FALSE, sizeof(struct member_datagram));
}

/* Signs all messages of `out` with the key, sends them and frees the array. */
void peer_task_send_all(uv_udp_t *socket, struct counter_set *counter_set,
			const char *key, GArray *out)
{
	uint8_t bytes[PEER_WIRE_MAX_BYTES];

	for (guint i = 0; i < out->len; i++) {
		const struct member_datagram *o =
			&g_array_index(out, struct member_datagram, i);

		peer_task_send(
			socket, counter_set, o->to, bytes,
			peer_wire_encode(&o->msg, key, bytes, sizeof(bytes)));
	}
	g_array_free(out, TRUE);
}

/* Logs the member counts and returns true if they changed since last time. */
bool peer_task_log_changes(const struct member_table *m,
			   struct peer_task_logged_counts *logged)
{
	uint32_t alive = member_count(m, MEMBER_ALIVE);
	uint32_t suspect = member_count(m, MEMBER_SUSPECT);

	if (alive == logged->alive && suspect == logged->suspect)
		return false;
	logged->alive = alive;
	logged->suspect = suspect;
	log_event(LOG_EVENT_MEMBER_CHANGED,
		  "alive=%u suspect=%u leaving=%u dead=%u", alive + 1, suspect,
		  member_count(m, MEMBER_LEAVING),
		  member_count(m, MEMBER_DEAD));
	return true;
}
