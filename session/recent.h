#ifndef SESSION_RECENT_H
#define SESSION_RECENT_H

#include <glib.h>
#include <stdint.h>

/*
 * The sessions of late and the versions on which their last requests ran.
 * Times are milliseconds of the node's own clock.
 */
struct rcs {
	GHashTable *sessions; /* key -> struct rcs_entry */
	uint64_t keep_ms;
};

void rcs_init(struct rcs *r, uint64_t keep_ms);
void rcs_clear(struct rcs *r);
void rcs_note(struct rcs *r, uint64_t now, uint64_t session,
	      uint64_t version_hash);
uint64_t rcs_version(const struct rcs *r, uint64_t now, uint64_t session);
void rcs_sweep(struct rcs *r, uint64_t now);

#endif
