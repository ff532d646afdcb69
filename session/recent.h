#ifndef SESSION_RECENT_H
#define SESSION_RECENT_H

#include <glib.h>
#include <stdint.h>

/*
 * Maps each recent session to the version that its last request went to.
 * Sessions and versions are given by their hashes. Times are milliseconds of
 * the node's own clock.
 */
struct recent_sessions {
	GHashTable *sessions; /* session -> struct recent_session */
	uint64_t keep_ms; /* after a session's last request */
};

void recent_sessions_init(struct recent_sessions *r, uint64_t keep_ms);
void recent_sessions_clear(struct recent_sessions *r);
void recent_sessions_record(struct recent_sessions *r, uint64_t now,
			    uint64_t session, uint64_t version_hash);
uint64_t recent_sessions_version(const struct recent_sessions *r, uint64_t now,
				 uint64_t session);
void recent_sessions_expire(struct recent_sessions *r, uint64_t now);

#endif
