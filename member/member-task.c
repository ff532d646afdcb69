#include "member/member-task.h"

#include <arpa/inet.h>
#include <string.h>
#include <time.h>

#include "backend/table-task.h"
#include "config/watch-task.h"
#include "daemon/node.h"
#include "http/address.h"
#include "member/peer-task.h"
#include "route/server.h"
#include "wire/codec.h"

#define TICK_MS 50 /* at most MEMBER_ACK_TIMEOUT_MS / 2 */

struct membership_task {
	struct node *node;
	struct member_table members;
	uv_udp_t socket;
	uv_timer_t timer;
	uint8_t received[PEER_WIRE_MAX_BYTES];
	struct peer_task_logged_counts logged; /* last logged */
	bool stopped;
};

static void send_all(struct membership_task *t, GArray *out)
{
	peer_task_send_all(&t->socket, &t->node->counter_set,
			   t->node->settings->cluster_key, out);
}

/* Passes what is known of the configuration's head on to the messages. */
static void update_config_head(struct membership_task *t, uint64_t now)
{
	const struct cfg_view *v = cfg_watch_view(t->node->config_task);

	member_set_config_head(
		&t->members, v->latest, v->latest_confirmed_at, v->latest != 0,
		cfg_watch_store_unreachable(t->node->config_task, now));
}

static void report_changes(struct membership_task *t)
{
	if (peer_task_log_changes(&t->members, &t->logged))
		backend_table_on_members(t->node->backend_task);
}

static void on_tick(uv_timer_t *timer)
{
	struct membership_task *t = timer->data;
	GArray *out = peer_task_new_datagrams();
	uint64_t now = node_now(t->node);

	node_log_config_state(t->node, now);
	update_config_head(t, now);
	member_tick(&t->members, now, out);
	send_all(t, out);
	report_changes(t);
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct membership_task *t = handle->data;

	(void)size;
	*buf = uv_buf_init((char *)t->received, sizeof(t->received));
}

static void on_receive(uv_udp_t *socket, ssize_t len, const uv_buf_t *buf,
		       const struct sockaddr *from, unsigned int flags)
{
	struct membership_task *t = socket->data;
	struct member_msg msg;
	struct member_head_report head;
	uint64_t now;
	GArray *out;

	if (len <= 0 || !from || (flags & UV_UDP_PARTIAL))
		return;
	counter_add(&t->node->counter_set, COUNTER_PEER_BYTES_IN,
		    (uint64_t)len);
	if (peer_wire_decode((const uint8_t *)buf->base, (size_t)len,
			     t->node->settings->cluster_key,
			     &msg) != PEER_WIRE_OK) {
		counter_add(&t->node->counter_set, COUNTER_PEER_BAD, 1);
		return;
	}
	now = node_now(t->node);
	out = peer_task_new_datagrams();
	update_config_head(t, now);
	head = member_on_message(&t->members, now, &msg, out);
	send_all(t, out);
	cfg_watch_on_peer_head(t->node->config_task, now, head.revision,
			       head.confirmed, head.confirmed_at);
	report_changes(t);
}

/*
 * Binds the UDP socket and starts to probe members. Returns NULL and sets an
 * error if the address cannot be bound.
 */
struct membership_task *membership_task_start(struct node *n, GError **err)
{
	struct membership_task *t = g_new0(struct membership_task, 1);
	struct sockaddr_in sa;
	struct member_addr addr;
	int rc;

	t->node = n;
	address_parse(n->settings->peer_address, &sa, NULL);
	addr.ip = ntohl(sa.sin_addr.s_addr);
	addr.port = ntohs(sa.sin_port);
	uv_udp_init(n->loop, &t->socket);
	t->socket.data = t;
	rc = uv_udp_bind(&t->socket, (struct sockaddr *)&sa, 0);
	if (rc) {
		g_set_error(err, ADDRESS_ERROR, ADDRESS_ERROR_LISTEN,
			    "cannot listen on %s: %s",
			    n->settings->peer_address, uv_strerror(rc));
		return NULL;
	}
	member_init(&t->members, n->settings->node, addr, (uint32_t)time(NULL),
		    rng_next(&n->rng));
	uv_udp_recv_start(&t->socket, on_alloc, on_receive);
	uv_timer_init(n->loop, &t->timer);
	t->timer.data = t;
	uv_timer_start(&t->timer, on_tick, TICK_MS, TICK_MS);
	return t;
}

/* Announces to other members that this node leaves. */
void membership_task_leave(struct membership_task *t)
{
	GArray *out = peer_task_new_datagrams();

	member_announce_leave(&t->members, node_now(t->node), out);
	send_all(t, out);
}

/* Stops probing and closes the socket. May be called twice. */
void membership_task_stop(struct membership_task *t)
{
	if (t->stopped)
		return;
	t->stopped = true;
	uv_close((uv_handle_t *)&t->timer, NULL);
	uv_close((uv_handle_t *)&t->socket, NULL);
}

/* Adds a node from the platform's list; see member_add(). */
void membership_task_add(struct membership_task *t, const char *name,
			 const struct sockaddr_in *sa)
{
	struct member_addr addr = {
		.ip = ntohl(sa->sin_addr.s_addr),
		.port = ntohs(sa->sin_port),
	};

	member_add(&t->members, node_now(t->node), name, addr);
}

/* Returns the counts that cfg_view_evaluate() needs, as of `now` (ms). */
struct cfg_view_peers membership_task_estimate_peers(struct membership_task *t,
						     uint64_t now)
{
	return member_estimate_peers(&t->members, now);
}

/* Returns the number of live nodes, including this one. */
uint32_t membership_task_live_count(struct membership_task *t)
{
	return member_count(&t->members, MEMBER_ALIVE) + 1;
}

/*
 * Returns the name hashes (uint64_t) of the other nodes that are alive or
 * suspect. The caller frees the array.
 */
GArray *membership_task_name_hashes(struct membership_task *t)
{
	GArray *hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GArray *members = t->members.members;

	for (guint i = 0; i < members->len; i++) {
		const struct member_entry *m =
			&g_array_index(members, struct member_entry, i);
		uint64_t hash = backend_hash_name(m->info.name);

		if (m->info.state == MEMBER_ALIVE ||
		    m->info.state == MEMBER_SUSPECT)
			g_array_append_val(hashes, hash);
	}
	return hashes;
}

/* Returns a new JSON array with name and state of each other member. */
struct json_object *membership_task_status(struct membership_task *t)
{
	struct json_object *list = json_object_new_array();

	for (guint i = 0; i < t->members.members->len; i++) {
		const struct member_entry *m = &g_array_index(
			t->members.members, struct member_entry, i);
		struct json_object *o = json_object_new_object();

		json_object_object_add(o, "name",
				       json_object_new_string(m->info.name));
		json_object_object_add(o, "state",
				       json_object_new_string(member_state_name(
					       m->info.state)));
		json_object_array_add(list, o);
	}
	return list;
}
