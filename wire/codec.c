#include "wire/codec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <rpc/rpc.h>
#include <rpc/rpc_msg.h>
#include <string.h>

#include "wire/peer.h"

static const char *const error_names[] = {"ok", "too-short", "bad-mac",
					  "bad-header", "bad-body"};

/* Returns the name of an error, a constant string. */
const char *peer_wire_error_name(enum peer_wire_error error)
{
	return error_names[error];
}

static void update_to_wire(const struct member_update *u, struct peer_update *w)
{
	w->name = (char *)u->name;
	w->address.ip = u->addr.ip;
	w->address.port = u->addr.port;
	w->state = u->state;
	w->incarnation = u->incarnation;
}

static bool update_from_wire(const struct peer_update *w,
			     struct member_update *u)
{
	if (w->state > MEMBER_DEAD || w->address.port > UINT16_MAX)
		return false;
	g_strlcpy(u->name, w->name, sizeof(u->name));
	u->addr.ip = w->address.ip;
	u->addr.port = (uint16_t)w->address.port;
	u->state = (enum member_state)w->state;
	u->incarnation = w->incarnation;
	return true;
}

static bool encode_header(XDR *xdrs, uint32_t xid, uint32_t proc)
{
	struct rpc_msg call;

	memset(&call, 0, sizeof(call));
	call.rm_xid = xid;
	call.rm_direction = CALL;
	call.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	call.rm_call.cb_prog = CHIVEGW_PEER;
	call.rm_call.cb_vers = CHIVEGW_PEER_V1;
	call.rm_call.cb_proc = proc;
	call.rm_call.cb_cred.oa_flavor = AUTH_NONE;
	call.rm_call.cb_verf.oa_flavor = AUTH_NONE;
	return xdr_callmsg(xdrs, &call);
}

static void compute_mac(const uint8_t *buf, size_t len, const char *key,
			uint8_t *mac)
{
	unsigned int mac_len = PEER_WIRE_MAC_BYTES;

	HMAC(EVP_sha256(), key, (int)strlen(key), buf, len, mac, &mac_len);
}

/*
 * Appends the HMAC of the first `len` bytes to them. `buf` must have room for
 * PEER_WIRE_MAC_BYTES more.
 */
void peer_wire_sign(uint8_t *buf, size_t len, const char *key)
{
	compute_mac(buf, len, key, buf + len);
}

/*
 * Encodes and signs a call of a procedure, with the argument `value` that
 * `body` encodes. Returns its length in bytes, or 0 if it does not fit.
 */
size_t peer_wire_encode_call(uint32_t xid, uint32_t proc, xdrproc_t body,
			     void *value, const char *key, uint8_t *buf,
			     size_t size)
{
	XDR xdrs;
	size_t len;
	bool ok;

	if (size < PEER_WIRE_MAC_BYTES)
		return 0;
	xdrmem_create(&xdrs, (char *)buf, (u_int)(size - PEER_WIRE_MAC_BYTES),
		      XDR_ENCODE);
	ok = encode_header(&xdrs, xid, proc) && body(&xdrs, value);
	len = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	if (!ok)
		return 0;
	peer_wire_sign(buf, len, key);
	return len + PEER_WIRE_MAC_BYTES;
}

/*
 * Encodes and signs a membership message. Returns its length in bytes, or 0 if
 * it does not fit.
 */
size_t peer_wire_encode(const struct member_msg *msg, const char *key,
			uint8_t *buf, size_t size)
{
	struct peer_update updates[MEMBER_MAX_UPDATES];
	struct peer_message w = {
		.sequence = msg->sequence,
		.target = {.ip = msg->target.ip, .port = msg->target.port},
		.head_revision = msg->head_revision,
		.head_age_ms = msg->head_age_ms,
		.store_cut = msg->store_unreachable,
	};

	update_to_wire(&msg->from, &w.from);
	for (uint32_t i = 0; i < msg->n_updates; i++)
		update_to_wire(&msg->updates[i], &updates[i]);
	w.updates.updates_len = msg->n_updates;
	w.updates.updates_val = updates;
	return peer_wire_encode_call(msg->sequence, msg->kind + PEER_PING,
				     (xdrproc_t)xdr_peer_message, &w, key, buf,
				     size);
}

/*
 * Decodes a call header and stores its procedure number in `proc`. Returns
 * false if it is not a call of this program and version.
 */
bool peer_wire_decode_header(XDR *xdrs, uint32_t *proc)
{
	char cred[MAX_AUTH_BYTES], verf[MAX_AUTH_BYTES];
	struct rpc_msg call;

	memset(&call, 0, sizeof(call));
	call.rm_call.cb_cred.oa_base = cred;
	call.rm_call.cb_verf.oa_base = verf;
	if (!xdr_callmsg(xdrs, &call) || call.rm_direction != CALL ||
	    call.rm_call.cb_rpcvers != RPC_MSG_VERSION ||
	    call.rm_call.cb_prog != CHIVEGW_PEER ||
	    call.rm_call.cb_vers != CHIVEGW_PEER_V1)
		return false;
	*proc = call.rm_call.cb_proc;
	return true;
}

static bool decode_kind(XDR *xdrs, struct member_msg *msg)
{
	uint32_t proc;

	if (!peer_wire_decode_header(xdrs, &proc) || proc < PEER_PING ||
	    proc > PEER_PING_REQ)
		return false;
	msg->kind = (enum member_msg_kind)(proc - PEER_PING);
	return true;
}

static bool decode_body(XDR *xdrs, struct member_msg *msg)
{
	struct peer_message w;
	bool ok;

	memset(&w, 0, sizeof(w));
	ok = xdr_peer_message(xdrs, &w) &&
	     update_from_wire(&w.from, &msg->from) &&
	     w.target.port <= UINT16_MAX;
	for (u_int i = 0; ok && i < w.updates.updates_len; i++)
		ok = update_from_wire(&w.updates.updates_val[i],
				      &msg->updates[msg->n_updates++]);
	if (ok) {
		msg->sequence = w.sequence;
		msg->target.ip = w.target.ip;
		msg->target.port = (uint16_t)w.target.port;
		msg->head_revision = w.head_revision;
		msg->head_age_ms = w.head_age_ms;
		msg->store_unreachable = w.store_cut;
	}
	xdr_free((xdrproc_t)xdr_peer_message, (char *)&w);
	return ok;
}

/* Verifies length and HMAC. Returns PEER_WIRE_OK or what was wrong. */
enum peer_wire_error peer_wire_verify(const uint8_t *buf, size_t len,
				      const char *key)
{
	uint8_t mac[PEER_WIRE_MAC_BYTES];

	if (len <= PEER_WIRE_MAC_BYTES || len > PEER_WIRE_MAX_BYTES)
		return PEER_WIRE_BAD_LENGTH;
	len -= PEER_WIRE_MAC_BYTES;
	compute_mac(buf, len, key, mac);
	return CRYPTO_memcmp(mac, buf + len, PEER_WIRE_MAC_BYTES) == 0
		       ? PEER_WIRE_OK
		       : PEER_WIRE_BAD_MAC;
}

/*
 * Verifies and decodes a membership message. Nothing is decoded unless the
 * HMAC matches. Returns PEER_WIRE_OK, or what was wrong; then `msg` holds
 * nothing of use.
 */
enum peer_wire_error peer_wire_decode(const uint8_t *buf, size_t len,
				      const char *key, struct member_msg *msg)
{
	enum peer_wire_error error = peer_wire_verify(buf, len, key);
	XDR xdrs;

	memset(msg, 0, sizeof(*msg));
	if (error != PEER_WIRE_OK)
		return error;
	xdrmem_create(&xdrs, (char *)buf, (u_int)(len - PEER_WIRE_MAC_BYTES),
		      XDR_DECODE);
	if (!decode_kind(&xdrs, msg))
		error = PEER_WIRE_BAD_HEADER;
	else if (!decode_body(&xdrs, msg))
		error = PEER_WIRE_BAD_BODY;
	xdr_destroy(&xdrs);
	return error;
}
