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

#define TICK_MS 50

struct mbt {
	struct node *node;
	struct mbr members;
	uv_udp_t socket;
	uv_timer_t timer;
	uint8_t in[WIR_MAX_BYTES];
	struct per_logged logged;
	bool stopped;
};

static void send_all(struct mbt *t, GArray *out)
{
	per_send_all(&t->socket, &t->node->ctr, t->node->settings->cluster_key,
		     out);
}

static void tell_head(struct mbt *t, uint64_t now)
{
	const struct cfv *v = cft_view(t->node->config_task);

	mbr_set_head(&t->members, v->wanted, v->wanted_at, v->wanted != 0,
		     cft_store_cut(t->node->config_task, now));
}

static void note_changes(struct mbt *t)
{
	if (per_log_changes(&t->members, &t->logged))
		bkt_on_members(t->node->backend_task);
}

static void on_tick(uv_timer_t *timer)
{
	struct mbt *t = timer->data;
	GArray *out = per_new_out();
	uint64_t now = node_now(t->node);

	node_note_state(t->node, now);
	tell_head(t, now);
	mbr_tick(&t->members, now, out);
	send_all(t, out);
	note_changes(t);
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct mbt *t = handle->data;

	(void)size;
	*buf = uv_buf_init((char *)t->in, sizeof(t->in));
}

static void on_receive(uv_udp_t *socket, ssize_t len, const uv_buf_t *buf,
		       const struct sockaddr *from, unsigned int flags)
{
	struct mbt *t = socket->data;
	struct mbr_msg msg;
	struct mbr_head head;
	uint64_t now;
	GArray *out;

	if (len <= 0 || !from || (flags & UV_UDP_PARTIAL))
		return;
	ctr_add(&t->node->ctr, CTR_PEER_BYTES_IN, (uint64_t)len);
	if (wir_decode((const uint8_t *)buf->base, (size_t)len,
		       t->node->settings->cluster_key, &msg) != WIR_OK) {
		ctr_add(&t->node->ctr, CTR_PEER_BAD, 1);
		return;
	}
	now = node_now(t->node);
	out = per_new_out();
	tell_head(t, now);
	head = mbr_on_message(&t->members, now, &msg, out);
	send_all(t, out);
	cft_on_peer_head(t->node->config_task, now, head.revision,
			 head.confirmed, head.as_of);
	note_changes(t);
}

/* Starts to take part; an error is set if the address cannot be bound. */
struct mbt *mbt_start(struct node *n, GError **err)
{
	struct mbt *t = g_new0(struct mbt, 1);
	struct sockaddr_in sa;
	struct mbr_addr addr;
	int rc;

	t->node = n;
	adr_parse(n->settings->peer_address, &sa, NULL);
	addr.ip = ntohl(sa.sin_addr.s_addr);
	addr.port = ntohs(sa.sin_port);
	uv_udp_init(n->loop, &t->socket);
	t->socket.data = t;
	rc = uv_udp_bind(&t->socket, (struct sockaddr *)&sa, 0);
	if (rc) {
		g_set_error(err, ADR_ERROR, ADR_ERROR_LISTEN,
			    "cannot listen on %s: %s",
			    n->settings->peer_address, uv_strerror(rc));
		return NULL;
	}
	mbr_init(&t->members, n->settings->node, addr, (uint32_t)time(NULL),
		 rng_next(&n->rng));
	uv_udp_recv_start(&t->socket, on_alloc, on_receive);
	uv_timer_init(n->loop, &t->timer);
	t->timer.data = t;
	uv_timer_start(&t->timer, on_tick, TICK_MS, TICK_MS);
	return t;
}

/* Tells the others that this node leaves. */
void mbt_leave(struct mbt *t)
{
	GArray *out = per_new_out();

	mbr_leave(&t->members, node_now(t->node), out);
	send_all(t, out);
}

/* Closes the socket. */
void mbt_stop(struct mbt *t)
{
	if (t->stopped)
		return;
	t->stopped = true;
	uv_close((uv_handle_t *)&t->timer, NULL);
	uv_close((uv_handle_t *)&t->socket, NULL);
}

/* Takes a node from the platform's list. */
void mbt_seed(struct mbt *t, const char *name, const struct sockaddr_in *sa)
{
	struct mbr_addr addr = {
		.ip = ntohl(sa->sin_addr.s_addr),
		.port = ntohs(sa->sin_port),
	};

	mbr_seed(&t->members, node_now(t->node), name, addr);
}

/* Estimates who can be heard, for decisions on the configuration. */
struct cfv_peers mbt_peers(struct mbt *t, uint64_t now)
{
	return mbr_peers(&t->members, now);
}

/* Returns how many nodes are alive, this one included. */
uint32_t mbt_live_count(struct mbt *t)
{
	return mbr_count(&t->members, MBR_ALIVE) + 1;
}

/* Returns the hashes of the live nodes' names, newly allocated. */
GArray *mbt_name_hashes(struct mbt *t)
{
	GArray *hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GArray *members = t->members.members;

	for (guint i = 0; i < members->len; i++) {
		const struct mbr_member *m =
			&g_array_index(members, struct mbr_member, i);
		uint64_t hash = srv_name_hash(m->is.name);

		if (m->is.state == MBR_ALIVE || m->is.state == MBR_SUSPECT)
			g_array_append_val(hashes, hash);
	}
	return hashes;
}

/* Returns the members and their states, newly allocated. */
struct json_object *mbt_status(struct mbt *t)
{
	struct json_object *list = json_object_new_array();

	for (guint i = 0; i < t->members.members->len; i++) {
		const struct mbr_member *m = &g_array_index(
			t->members.members, struct mbr_member, i);
		struct json_object *o = json_object_new_object();

		json_object_object_add(o, "name",
				       json_object_new_string(m->is.name));
		json_object_object_add(
			o, "state",
			json_object_new_string(mbr_state_name(m->is.state)));
		json_object_array_add(list, o);
	}
	return list;
}
