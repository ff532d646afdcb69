#ifndef HTTP_MEMORY_H
#define HTTP_MEMORY_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Holders up to this size may use the reserve. Bodies of ordinary traffic have
 * at most 72 KB.
 */
#define MEMORY_SMALL_BYTES ((size_t)128 * 1024)

/*
 * Fewer bytes that the kernel holds of responses are not counted: an ordinary response
 * that is on its way to its client.
 */
#define MEMORY_MIN_UNSENT_BYTES ((size_t)2 * 1024)

/*
 * What one connection of a client holds. Only an incomplete request may be
 * evicted, and requests that were sent ahead may be dropped; never one that has
 * been sent to a server, nor an answer.
 */
struct memory_holder {
	GList link; /* in the account's list while a request is received */
	uint64_t client; /* the same for all connections of one client */
	size_t bytes;
	bool receiving;
	uint64_t progress_at; /* ms; when it last received enough */
	size_t unrated; /* bytes received since then */
	GList ahead_link; /* in the account's list while `ahead` is not 0 */
	size_t ahead; /* of its bytes: requests behind the one in progress */
	GList wide_link; /* in the account's list while `wide` */
	bool wide; /* its receive buffer is that for bodies */
	GList unsent_link; /* in the account's list while `unsent` is not 0 */
	size_t unsent; /* of its bytes: responses that lie in the kernel */
	void *user;
};

/* The bytes held for all clients of a process, over all its listeners. */
struct memory_account {
	size_t limit;
	size_t reserve; /* part of the limit that is kept for small holders */
	size_t held;
	size_t peak; /* most held since memory_take_peak() */
	GQueue receiving; /* struct memory_holder */
	GQueue ahead; /* struct memory_holder */
	GQueue wide; /* struct memory_holder, the one widened first in front */
	GQueue unsent; /* struct memory_holder */
	size_t unsent_bytes; /* of all of these */
	uint64_t unsent_checked_at; /* ms; when all were last looked at */
	/* client -> bytes of its incomplete requests and those sent ahead */
	GHashTable *clients;
	uint32_t connections; /* of clients, open */
	uint32_t max_connections;
	uint64_t evicted; /* requests, while they were received */
	uint64_t refused; /* requests that there was no room for */
	uint64_t dropped; /* connections whose requests sent ahead were */
	uint64_t delayed; /* writes, until their clients had taken more */
	uint64_t closed; /* idle connections, to make room for new ones */
	uint64_t turned_away; /* connections beyond the limit */
};

enum memory_verdict {
	MEMORY_FITS,
	MEMORY_EVICT, /* the victim first; then ask again */
	MEMORY_REFUSE,
};

size_t memory_default_limit(uint64_t machine_mb);
uint32_t memory_default_connections(uint64_t descriptors);
void memory_init(struct memory_account *a, size_t limit,
		 uint32_t max_connections);
void memory_clear(struct memory_account *a);
void memory_set_limit(struct memory_account *a, size_t limit);
size_t memory_idle_receive_buffer(const struct memory_account *a);
size_t memory_send_buffer(const struct memory_account *a);
size_t memory_body_receive_buffer(const struct memory_account *a);
bool memory_widen(struct memory_account *a, struct memory_holder *h,
		  struct memory_holder **narrowed);
void memory_narrow(struct memory_account *a, struct memory_holder *h);

void memory_resize(struct memory_account *a, struct memory_holder *h,
		   size_t bytes);
void memory_begin_receiving(struct memory_account *a, struct memory_holder *h,
			    uint64_t now);
void memory_on_received(struct memory_holder *h, uint64_t now, size_t n);
void memory_end_receiving(struct memory_account *a, struct memory_holder *h);
void memory_set_ahead(struct memory_account *a, struct memory_holder *h,
		      size_t bytes);
void memory_set_unsent(struct memory_account *a, struct memory_holder *h,
		       size_t bytes);
bool memory_is_send_limited(const struct memory_account *a);
size_t memory_may_send(const struct memory_account *a,
		       const struct memory_holder *h);
void memory_charge(struct memory_account *a, size_t bytes);
void memory_discharge(struct memory_account *a, size_t bytes);

enum memory_verdict memory_may_begin(struct memory_account *a,
				     const struct memory_holder *h,
				     uint64_t now, size_t bytes,
				     struct memory_holder **victim);
enum memory_verdict memory_may_grow(struct memory_account *a,
				    const struct memory_holder *h, uint64_t now,
				    size_t bytes,
				    struct memory_holder **victim);
bool memory_is_exceeded(const struct memory_account *a);
bool memory_is_short(const struct memory_account *a);
struct memory_holder *memory_next_victim(struct memory_account *a,
					 uint64_t now);
struct memory_holder *memory_next_ahead(const struct memory_account *a);
size_t memory_take_peak(struct memory_account *a);

#endif
