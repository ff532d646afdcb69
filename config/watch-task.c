#include "config/watch-task.h"

#include <string.h>

#include "config/sections.h"
#include "daemon/node.h"
#include "json-check.h"
#include "log-event.h"

#define RETRY_DELAY_MS 200 /* after a failed call */
#define UNREACHABLE_AFTER_MS 3000 /* without an answer, beyond a watch */

struct cfg_watch {
	struct node *node;
	struct cfg_view view;
	uint64_t etag; /* of the head last read; 0: read it unconditionally */
	uint64_t requested_at; /* ms; start of the latest call */
	uint64_t store_reached_at; /* ms; start of the last good call, or 0 */
	bool call_pending; /* reads or watches the head */
	bool peer_has_newer; /* the next call must not wait for a change */
	bool stopped;
	uv_timer_t timer;
	struct json_object *head; /* whose sections are being fetched */
	GHashTable *texts; /* digest -> text */
	uint32_t pending_fetches; /* sections being read */
	bool fetch_failed;
};

/* Reads one section. */
struct section_fetch {
	struct cfg_watch *task;
	char *digest;
};

static void start_next_call(struct cfg_watch *t);

static void on_retry(uv_timer_t *timer)
{
	start_next_call(timer->data);
}

static void retry_later(struct cfg_watch *t)
{
	if (!t->stopped)
		uv_timer_start(&t->timer, on_retry, RETRY_DELAY_MS, 0);
}

static void log_bad_config(struct cfg_watch *t, GError *err)
{
	log_event(LOG_EVENT_CONFIG_BAD,
		  "revision=%" G_GINT64_FORMAT " reason=\"%s\"",
		  jcheck_get_int(t->head, "revision", 0),
		  err ? err->message : "unknown");
	g_clear_error(&err);
}

/* Frees texts that the head no longer lists; they would pile up otherwise. */
static void drop_unlisted(struct cfg_watch *t)
{
	struct json_object *sections = jcheck_get(t->head, "sections");
	g_autoptr(GHashTable) listed =
		g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter it;
	void *digest;

	json_object_object_foreach (sections, name, val) {
		(void)name;
		g_hash_table_add(listed, (void *)json_object_get_string(val));
	}
	g_hash_table_iter_init(&it, t->texts);
	while (g_hash_table_iter_next(&it, &digest, NULL))
		if (!g_hash_table_contains(listed, digest))
			g_hash_table_iter_remove(&it);
}

static void apply_config(struct cfg_watch *t)
{
	uint64_t revision = (uint64_t)jcheck_get_int(t->head, "revision", 0);
	GError *err = NULL;
	struct json_object *doc = cfg_section_join(t->texts, t->head, &err);
	struct cfg *cfg = doc ? cfg_build(doc, revision, &err) : NULL;

	if (doc)
		json_object_put(doc);
	if (!cfg) {
		log_bad_config(t, err);
		return;
	}
	if (!cfg_view_on_fetched(&t->view, revision)) {
		cfg_free(cfg);
		return;
	}
	drop_unlisted(t);
	node_apply_config(t->node, cfg);
}

static void finish_fetches(struct cfg_watch *t)
{
	bool failed = t->fetch_failed;

	if (!failed)
		apply_config(t);
	json_object_put(t->head);
	t->head = NULL;
	if (failed) {
		t->etag = 0;
		retry_later(t);
	} else {
		start_next_call(t);
	}
}

static void on_section(void *user, const struct store_result *r)
{
	struct section_fetch *f = user;
	struct cfg_watch *t = f->task;

	if (r->outcome == STORE_OK &&
	    cfg_section_digest_matches(f->digest, r->body, r->len))
		g_hash_table_insert(t->texts, g_strdup(f->digest),
				    g_strndup(r->body, r->len));
	else
		t->fetch_failed = true;
	g_free(f->digest);
	g_free(f);
	if (--t->pending_fetches == 0)
		finish_fetches(t);
}

static void fetch_section(struct cfg_watch *t, const char *digest)
{
	g_autofree char *name = cfg_section_object_name(digest);
	struct section_fetch *f;

	if (g_hash_table_contains(t->texts, digest))
		return;
	f = g_new0(struct section_fetch, 1);
	f->task = t;
	f->digest = g_strdup(digest);
	t->pending_fetches++;
	store_get(t->node->store, name, on_section, f);
}

/* Takes ownership of the head and reads the sections not held yet. */
static void fetch_sections(struct cfg_watch *t, struct json_object *head)
{
	struct json_object *sections = jcheck_get(head, "sections");

	t->head = head;
	t->fetch_failed = false;
	/* One for this loop, so that no fetch ends it early. */
	t->pending_fetches = 1;
	json_object_object_foreach (sections, name, val) {
		(void)name;
		fetch_section(t, json_object_get_string(val));
	}
	if (--t->pending_fetches == 0)
		finish_fetches(t);
}

/*
 * Processes a head that was read. Returns true if its sections are now being
 * fetched; finish_fetches() then starts the next call.
 */
static bool process_head(struct cfg_watch *t, uint64_t now,
			 const struct store_result *r)
{
	GError *err = NULL;
	struct json_object *head =
		cfg_section_parse_head(r->body, r->len, &err);
	uint64_t revision;

	if (!head) {
		log_bad_config(t, err);
		return false;
	}
	t->etag = r->etag;
	revision = (uint64_t)jcheck_get_int(head, "revision", 0);
	if (cfg_view_on_head(&t->view, now, t->requested_at, revision) !=
	    CFG_VIEW_FETCH) {
		json_object_put(head);
		return false;
	}
	fetch_sections(t, head);
	return true;
}

static void on_head(void *user, const struct store_result *r)
{
	struct cfg_watch *t = user;
	uint64_t now = node_now(t->node);

	t->call_pending = false;
	if (t->stopped)
		return;
	switch (r->outcome) {
	case STORE_OK:
		t->store_reached_at = t->requested_at;
		if (process_head(t, now, r))
			return;
		break;
	case STORE_UNCHANGED:
		t->store_reached_at = t->requested_at;
		cfg_view_on_head(&t->view, now, t->requested_at,
				 t->view.latest);
		break;
	case STORE_NOT_FOUND:
		t->store_reached_at = t->requested_at;
		retry_later(t);
		return;
	default:
		retry_later(t);
		return;
	}
	start_next_call(t);
}

/*
 * Reads the head, or watches for a newer one than the last. Only one call is
 * made at a time.
 */
static void start_next_call(struct cfg_watch *t)
{
	if (t->stopped || t->call_pending || t->head)
		return;
	t->call_pending = true;
	t->requested_at = node_now(t->node);
	if (t->etag && !t->peer_has_newer)
		store_watch(t->node->store, CFG_SECTION_HEAD_OBJECT, t->etag,
			    (uint32_t)t->node->settings->watch_ms, on_head, t);
	else
		store_get(t->node->store, CFG_SECTION_HEAD_OBJECT, on_head, t);
	t->peer_has_newer = false;
}

/*
 * Starts to follow the head in the store. Each new revision is passed to
 * node_apply_config().
 */
struct cfg_watch *cfg_watch_start(struct node *n)
{
	struct cfg_watch *t = g_new0(struct cfg_watch, 1);

	t->node = n;
	t->texts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	uv_timer_init(n->loop, &t->timer);
	t->timer.data = t;
	start_next_call(t);
	return t;
}

/* Stops: makes no further calls and ignores the result of a pending one. */
void cfg_watch_stop(struct cfg_watch *t)
{
	t->stopped = true;
	uv_close((uv_handle_t *)&t->timer, NULL);
}

/*
 * Handles what a peer's message says of the head. A confirmed revision that is
 * the latest known here counts as read from the store at `confirmed_at` (ms). A
 * newer one is read from the store by the next call, which does not wait.
 */
void cfg_watch_on_peer_head(struct cfg_watch *t, uint64_t now,
			    uint64_t revision, bool confirmed,
			    uint64_t confirmed_at)
{
	if (confirmed && revision == t->view.latest)
		cfg_view_on_head(&t->view, now, confirmed_at, revision);
	if (revision > t->view.latest)
		t->peer_has_newer = true;
}

/* Returns what is known of the head. It stays owned by the task. */
const struct cfg_view *cfg_watch_view(const struct cfg_watch *t)
{
	return &t->view;
}

/*
 * Returns whether the store has not answered for UNREACHABLE_AFTER_MS more
 * than a watch may take, or never.
 */
bool cfg_watch_store_unreachable(const struct cfg_watch *t, uint64_t now)
{
	uint64_t limit =
		UNREACHABLE_AFTER_MS + (uint64_t)t->node->settings->watch_ms;

	return !t->store_reached_at || now - t->store_reached_at > limit;
}
