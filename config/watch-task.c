#include "config/watch-task.h"

#include <string.h>

#include "config/sections.h"
#include "daemon/node.h"
#include "json-check.h"
#include "log-event.h"

#define RETRY_MS 200
#define CUT_AFTER_MS 3000

struct cfg_watch {
	struct node *node;
	struct cfg_view view;
	uint64_t etag; /* of the head last read */
	uint64_t asked_at; /* when the call that is out was made */
	uint64_t store_ok_at; /* 0: never */
	bool reading;
	bool hinted; /* read at once, a peer knows a newer head */
	bool stopped;
	uv_timer_t timer;
	struct json_object *head; /* whose sections are being fetched */
	GHashTable *texts; /* digest -> text */
	uint32_t fetches;
	bool fetch_failed;
};

/* One section being read. */
struct fetch {
	struct cfg_watch *task;
	char *digest;
};

static void next_call(struct cfg_watch *t);

static void on_retry(uv_timer_t *timer)
{
	next_call(timer->data);
}

static void retry_later(struct cfg_watch *t)
{
	if (!t->stopped)
		uv_timer_start(&t->timer, on_retry, RETRY_MS, 0);
}

static void bad_config(struct cfg_watch *t, GError *err)
{
	log_event(LOG_EVENT_CONFIG_BAD,
		  "revision=%" G_GINT64_FORMAT " reason=\"%s\"",
		  jcheck_get_int(t->head, "revision", 0),
		  err ? err->message : "unknown");
	g_clear_error(&err);
}

/* Texts that the head no longer lists would pile up over the changes. */
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

static void put_in_force(struct cfg_watch *t)
{
	uint64_t revision = (uint64_t)jcheck_get_int(t->head, "revision", 0);
	GError *err = NULL;
	struct json_object *doc = cfg_section_join(t->texts, t->head, &err);
	struct cfg *cfg = doc ? cfg_build(doc, revision, &err) : NULL;

	if (doc)
		json_object_put(doc);
	if (!cfg) {
		bad_config(t, err);
		return;
	}
	if (!cfg_view_on_fetched(&t->view, revision)) {
		cfg_free(cfg);
		return;
	}
	drop_unlisted(t);
	node_apply_config(t->node, cfg);
}

static void end_fetches(struct cfg_watch *t)
{
	bool failed = t->fetch_failed;

	if (!failed)
		put_in_force(t);
	json_object_put(t->head);
	t->head = NULL;
	if (failed) {
		t->etag = 0;
		retry_later(t);
	} else {
		next_call(t);
	}
}

static void on_section(void *user, const struct store_result *r)
{
	struct fetch *f = user;
	struct cfg_watch *t = f->task;

	if (r->outcome == STORE_OK &&
	    cfg_section_digest_matches(f->digest, r->body, r->len))
		g_hash_table_insert(t->texts, g_strdup(f->digest),
				    g_strndup(r->body, r->len));
	else
		t->fetch_failed = true;
	g_free(f->digest);
	g_free(f);
	if (--t->fetches == 0)
		end_fetches(t);
}

static void fetch_section(struct cfg_watch *t, const char *digest)
{
	g_autofree char *name = cfg_section_object_name(digest);
	struct fetch *f;

	if (g_hash_table_contains(t->texts, digest))
		return;
	f = g_new0(struct fetch, 1);
	f->task = t;
	f->digest = g_strdup(digest);
	t->fetches++;
	store_get(t->node->store, name, on_section, f);
}

/* Takes over the head and reads the sections that are not here yet. */
static void fetch_sections(struct cfg_watch *t, struct json_object *head)
{
	struct json_object *sections = jcheck_get(head, "sections");

	t->head = head;
	t->fetch_failed = false;
	t->fetches = 1;
	json_object_object_foreach (sections, name, val) {
		(void)name;
		fetch_section(t, json_object_get_string(val));
	}
	if (--t->fetches == 0)
		end_fetches(t);
}

/* Returns true if the head leads to fetches, which go on by themselves. */
static bool take_head(struct cfg_watch *t, uint64_t now,
		      const struct store_result *r)
{
	GError *err = NULL;
	struct json_object *head =
		cfg_section_parse_head(r->body, r->len, &err);
	uint64_t revision;

	if (!head) {
		bad_config(t, err);
		return false;
	}
	t->etag = r->etag;
	revision = (uint64_t)jcheck_get_int(head, "revision", 0);
	if (cfg_view_on_head(&t->view, now, t->asked_at, revision) !=
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

	t->reading = false;
	if (t->stopped)
		return;
	switch (r->outcome) {
	case STORE_OK:
		t->store_ok_at = t->asked_at;
		if (take_head(t, now, r))
			return;
		break;
	case STORE_UNCHANGED:
		t->store_ok_at = t->asked_at;
		cfg_view_on_head(&t->view, now, t->asked_at, t->view.wanted);
		break;
	case STORE_NOT_FOUND:
		t->store_ok_at = t->asked_at;
		retry_later(t);
		return;
	default:
		retry_later(t);
		return;
	}
	next_call(t);
}

/* Reads the head, or waits for a newer one than the last. */
static void next_call(struct cfg_watch *t)
{
	if (t->stopped || t->reading || t->head)
		return;
	t->reading = true;
	t->asked_at = node_now(t->node);
	if (t->etag && !t->hinted)
		store_watch(t->node->store, CFG_SECTION_HEAD_OBJECT, t->etag,
			    (uint32_t)t->node->settings->watch_ms, on_head, t);
	else
		store_get(t->node->store, CFG_SECTION_HEAD_OBJECT, on_head, t);
	t->hinted = false;
}

/* Starts to follow the head. */
struct cfg_watch *cfg_watch_start(struct node *n)
{
	struct cfg_watch *t = g_new0(struct cfg_watch, 1);

	t->node = n;
	t->texts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	uv_timer_init(n->loop, &t->timer);
	t->timer.data = t;
	next_call(t);
	return t;
}

/* Makes no further calls. */
void cfg_watch_stop(struct cfg_watch *t)
{
	t->stopped = true;
	uv_close((uv_handle_t *)&t->timer, NULL);
}

/*
 * Takes what a peer's acknowledgement told of the head. A newer revision than
 * known here is read from the store by the next call, without a wait.
 */
void cfg_watch_on_peer_head(struct cfg_watch *t, uint64_t now,
			    uint64_t revision, bool confirmed, uint64_t as_of)
{
	if (confirmed && revision == t->view.wanted)
		cfg_view_on_head(&t->view, now, as_of, revision);
	if (revision > t->view.wanted)
		t->hinted = true;
}

/* Returns what is known of the head, for decisions and messages. */
const struct cfg_view *cfg_watch_view(const struct cfg_watch *t)
{
	return &t->view;
}

/* Tells whether the store has been out of reach for a while. */
bool cfg_watch_store_unreachable(const struct cfg_watch *t, uint64_t now)
{
	uint64_t limit = CUT_AFTER_MS + (uint64_t)t->node->settings->watch_ms;

	return !t->store_ok_at || now - t->store_ok_at > limit;
}
