#include "session/recent.h"

struct recent_session {
	uint64_t session;
	uint64_t version_hash;
	uint64_t last_request_at;
};

/* Starts empty. Keeps a session for keep_ms after its last request. */
void recent_sessions_init(struct recent_sessions *r, uint64_t keep_ms)
{
	r->keep_ms = keep_ms;
	r->sessions = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    g_free);
}

/* Frees all sessions. */
void recent_sessions_clear(struct recent_sessions *r)
{
	g_hash_table_unref(r->sessions);
}

/*
 * Records that a request of the session was sent to, or ended at, a version.
 * Does nothing if `session` is 0, which means none.
 */
void recent_sessions_record(struct recent_sessions *r, uint64_t now,
			    uint64_t session, uint64_t version_hash)
{
	struct recent_session *e;

	if (!session)
		return;
	e = g_hash_table_lookup(r->sessions, &session);
	if (!e) {
		e = g_new0(struct recent_session, 1);
		e->session = session;
		g_hash_table_insert(r->sessions, &e->session, e);
	}
	e->version_hash = version_hash;
	e->last_request_at = now;
}

/*
 * Returns the hash of the version of the session's last request, or 0 if there
 * was none within keep_ms.
 */
uint64_t recent_sessions_version(const struct recent_sessions *r, uint64_t now,
				 uint64_t session)
{
	const struct recent_session *e =
		g_hash_table_lookup(r->sessions, &session);

	return e && now - e->last_request_at <= r->keep_ms ? e->version_hash
							   : 0;
}

struct expiry {
	uint64_t now;
	uint64_t keep_ms;
};

static gboolean is_expired(gpointer key, gpointer value, gpointer user)
{
	const struct recent_session *e = value;
	const struct expiry *expiry = user;

	(void)key;
	return expiry->now > e->last_request_at &&
	       expiry->now - e->last_request_at > expiry->keep_ms;
}

/* Removes the sessions without a request within keep_ms. */
void recent_sessions_expire(struct recent_sessions *r, uint64_t now)
{
	struct expiry expiry = {.now = now, .keep_ms = r->keep_ms};

	g_hash_table_foreach_remove(r->sessions, is_expired, &expiry);
}
