#ifndef WIRE_CODEC_H
#define WIRE_CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <rpc/rpc.h>
#include <stdint.h>

#include "member/member.h"

/*
 * Members' messages as bytes: an ONC RPC call header, the arguments in XDR,
 * and an HMAC-SHA256 over both under the deployment's key.
 */
#define WIR_MAX_BYTES 1400
#define WIR_MAC_BYTES 32

enum wir_fault {
	WIR_OK,
	WIR_TOO_SHORT,
	WIR_BAD_MAC,
	WIR_BAD_HEADER,
	WIR_BAD_BODY,
};

size_t wir_encode(const struct mbr_msg *msg, const char *key, uint8_t *buf,
		  size_t size);
void wir_seal(uint8_t *buf, size_t len, const char *key);
size_t wir_put(uint32_t xid, uint32_t proc, xdrproc_t body, void *value,
	       const char *key, uint8_t *buf, size_t size);
bool wir_get_call(XDR *xdrs, uint32_t *proc);
enum wir_fault wir_check(const uint8_t *buf, size_t len, const char *key);
enum wir_fault wir_decode(const uint8_t *buf, size_t len, const char *key,
			  struct mbr_msg *msg);
const char *wir_fault_name(enum wir_fault fault);

#endif
