#ifndef WIRE_CODEC_H
#define WIRE_CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <rpc/rpc.h>
#include <stdint.h>

#include "member/member.h"

/*
 * Wire format of the messages between nodes: an ONC RPC call header, the
 * arguments in XDR, and an HMAC-SHA256 of both under the cluster's key. A
 * `key` argument is that key as a string.
 */
#define PEER_WIRE_MAX_BYTES 1400 /* of a datagram, with the HMAC */
#define PEER_WIRE_MAC_BYTES 32

enum peer_wire_error {
	PEER_WIRE_OK,
	PEER_WIRE_BAD_LENGTH, /* shorter than a MAC or longer than allowed */
	PEER_WIRE_BAD_MAC, /* altered, or signed with another key */
	PEER_WIRE_BAD_HEADER, /* not a call of this program and procedure */
	PEER_WIRE_BAD_BODY, /* malformed arguments or value out of range */
};

size_t peer_wire_encode(const struct member_msg *msg, const char *key,
			uint8_t *buf, size_t size);
void peer_wire_sign(uint8_t *buf, size_t len, const char *key);
size_t peer_wire_encode_call(uint32_t xid, uint32_t proc, xdrproc_t body,
			     void *value, const char *key, uint8_t *buf,
			     size_t size);
bool peer_wire_decode_header(XDR *xdrs, uint32_t *proc);
enum peer_wire_error peer_wire_verify(const uint8_t *buf, size_t len,
				      const char *key);
enum peer_wire_error peer_wire_decode(const uint8_t *buf, size_t len,
				      const char *key, struct member_msg *msg);
const char *peer_wire_error_name(enum peer_wire_error error);

#endif
