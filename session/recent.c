#include "session/recent.h"

struct recent_session {
	uint64_t key;
	uint64_t version_hash;
	uint64_t at;
};

/* Starts with no session; one is kept for keep_ms after its last request. */
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

/* A request of the session was sent to, or ended at, that version. */
void recent_sessions_record(struct recent_sessions *r, uint64_t now,
			    uint64_t session, uint64_t version_hash)
{
	struct recent_session *e;

	if (!session)
		return;
	e = g_hash_table_lookup(r->sessions, &session);
	if (!e) {
		e = g_new0(struct recent_session, 1);
		e->key = session;
		g_hash_table_insert(r->sessions, &e->key, e);
	}
	e->version_hash = version_hash;
	e->at = now;
}

/* Returns the version of the session's last request, or 0. */
uint64_t recent_sessions_version(const struct recent_sessions *r, uint64_t now,
				 uint64_t session)
{
	const struct recent_session *e =
		g_hash_table_lookup(r->sessions, &session);

	return e && now - e->at <= r->keep_ms ? e->version_hash : 0;
}

struct sweep {
	uint64_t now;
	uint64_t keep_ms;
};

static gboolean is_old(gpointer key, gpointer value, gpointer user)
{
	const struct recent_session *e = value;
	const struct sweep *limit = user;

	(void)key;
	return limit->now > e->at && limit->now - e->at > limit->keep_ms;
}

/* Forgets the sessions whose time is over. */
void recent_sessions_expire(struct recent_sessions *r, uint64_t now)
{
	struct sweep limit = {.now = now, .keep_ms = r->keep_ms};

	g_hash_table_foreach_remove(r->sessions, is_old, &limit);
}
