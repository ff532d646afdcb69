#include "config/change-task.h"

#include <string.h>

#include "config/config.h"
#include "config/sections.h"
#include "json-check.h"

G_DEFINE_QUARK(cfg_change - error - quark, cfg_change_error)

#define MAX_CONFLICTS 20 /* edits that other changes overtook */
#define MAX_STORE_FAILURES 5 /* over the whole change */
#define RETRY_DELAY_MS 50 /* doubles with each failure, up to 16 times */

struct cfg_change {
	struct cfg_change_request req;
	char *operation;
	uv_timer_t timer;
	void (*retry)(struct cfg_change *c);
	struct json_object *head; /* as read; NULL: none is stored */
	uint64_t etag; /* of that head */
	GHashTable *texts; /* digest -> text */
	GPtrArray *sections; /* struct cfg_section, of the new document */
	char *new_head; /* text */
	uint64_t revision; /* of the new head */
	uint32_t pending; /* calls on sections, and the loop that makes them */
	uint32_t conflicts;
	uint32_t failures;
	bool section_failed;
	bool head_write_unclear; /* a write of the head may be applied */
};

/* Reads one section. */
struct section_read {
	struct cfg_change *change;
	char *digest;
};

static void read_head(struct cfg_change *c);
static void write_head(struct cfg_change *c);

static void free_change(uv_handle_t *timer)
{
	struct cfg_change *c = timer->data;

	if (c->head)
		json_object_put(c->head);
	if (c->sections)
		g_ptr_array_unref(c->sections);
	g_hash_table_destroy(c->texts);
	g_free(c->new_head);
	g_free(c->operation);
	g_free(c);
}

static void finish(struct cfg_change *c, const GError *err)
{
	c->req.done(c->req.user, err ? 0 : c->revision, err);
	uv_close((uv_handle_t *)&c->timer, free_change);
}

static void finish_with_error(struct cfg_change *c, enum cfg_change_error code,
			      const char *text)
{
	g_autoptr(GError) err =
		g_error_new_literal(CFG_CHANGE_ERROR, code, text);

	finish(c, err);
}

static void on_retry_timer(uv_timer_t *timer)
{
	struct cfg_change *c = timer->data;

	c->retry(c);
}

static void retry_later(struct cfg_change *c,
			void (*retry)(struct cfg_change *c))
{
	c->retry = retry;
	uv_timer_start(&c->timer, on_retry_timer,
		       RETRY_DELAY_MS << MIN(c->failures, 4), 0);
}

/* Repeats a step after a store failure, or gives up after the last one. */
static void retry_or_fail(struct cfg_change *c,
			  void (*step)(struct cfg_change *c))
{
	if (++c->failures < MAX_STORE_FAILURES) {
		retry_later(c, step);
		return;
	}
	if (c->head_write_unclear)
		finish_with_error(
			c, CFG_CHANGE_ERROR_OUTCOME_UNKNOWN,
			"the object API cannot be reached; the change may "
			"have been accepted, check the status later");
	else
		finish_with_error(
			c, CFG_CHANGE_ERROR_NOT_APPLIED,
			"the object API cannot be reached; nothing was "
			"changed");
}

/* Another change was stored first: edits again from its head, or fails. */
static void on_conflict(struct cfg_change *c)
{
	if (!c->req.rebase) {
		finish_with_error(
			c, CFG_CHANGE_ERROR_CONFLICT,
			"another change was accepted first; nothing was "
			"changed, review it and apply again");
		return;
	}
	if (++c->conflicts >= MAX_CONFLICTS) {
		finish_with_error(
			c, CFG_CHANGE_ERROR_CONFLICT,
			"other changes were accepted first at every try; "
			"nothing was changed");
		return;
	}
	retry_later(c, read_head);
}

/*
 * Handles the head that was read after a write with an unclear result: it
 * holds the change, or is still the old one, or another change replaced that.
 */
static void on_read_back(void *user, const struct store_result *r)
{
	struct cfg_change *c = user;
	struct json_object *head;

	if (r->outcome == STORE_NOT_FOUND) {
		retry_later(c, write_head);
		return;
	}
	head = r->outcome == STORE_OK
		       ? cfg_section_parse_head(r->body, r->len, NULL)
		       : NULL;
	if (!head) {
		retry_or_fail(c, write_head);
		return;
	}
	if (cfg_section_head_has_operation(head, c->operation))
		finish(c, NULL);
	else if (r->etag == c->etag)
		retry_later(c, write_head);
	else
		on_conflict(c);
	json_object_put(head);
}

static void read_back(struct cfg_change *c)
{
	store_get(c->req.store, CFG_SECTION_HEAD_OBJECT, on_read_back, c);
}

static void on_head_written(void *user, const struct store_result *r)
{
	struct cfg_change *c = user;

	switch (r->outcome) {
	case STORE_OK:
		finish(c, NULL);
		return;
	case STORE_CONFLICT:
		/* May be this change's earlier write, whose answer was lost. */
		read_back(c);
		return;
	case STORE_NOT_SENT:
		retry_or_fail(c, write_head);
		return;
	default:
		c->head_write_unclear = true;
		retry_or_fail(c, read_back);
		return;
	}
}

static void write_head(struct cfg_change *c)
{
	store_put(c->req.store, CFG_SECTION_HEAD_OBJECT, c->new_head,
		  strlen(c->new_head),
		  c->head ? STORE_IF_MATCH : STORE_IF_ABSENT, c->etag,
		  on_head_written, c);
}

static void write_sections(struct cfg_change *c);

static void on_section_written(void *user, const struct store_result *r)
{
	struct cfg_change *c = user;

	/* Named by its digest: a conflict means that it is stored already. */
	if (r->outcome != STORE_OK && r->outcome != STORE_CONFLICT)
		c->section_failed = true;
	if (--c->pending)
		return;
	if (c->section_failed)
		retry_or_fail(c, write_sections);
	else
		write_head(c);
}

static bool is_stored(const struct cfg_change *c, const char *digest)
{
	return g_hash_table_contains(c->texts, digest);
}

static void write_sections(struct cfg_change *c)
{
	c->pending = 1;
	c->section_failed = false;
	for (size_t i = 0; i < c->sections->len; i++) {
		const struct cfg_section *s = c->sections->pdata[i];
		g_autofree char *name = cfg_section_object_name(s->digest);

		if (is_stored(c, s->digest))
			continue;
		c->pending++;
		store_put(c->req.store, name, s->text, strlen(s->text),
			  STORE_IF_ABSENT, 0, on_section_written, c);
	}
	if (--c->pending == 0)
		write_head(c);
}

/*
 * Returns whether nodes can load the document; otherwise it must not be the
 * head.
 */
static bool is_valid(struct json_object *doc, GError **err)
{
	struct json_object *checked = cfg_parse(
		"configuration", json_object_to_json_string(doc), err);
	struct cfg *cfg = checked ? cfg_build(checked, 0, err) : NULL;
	bool ok = cfg != NULL;

	json_object_put(checked);
	cfg_free(cfg);
	return ok;
}

static void edit_document(struct cfg_change *c, struct json_object *doc)
{
	GError *err = NULL;
	struct json_object *new = c->req.edit(doc, c->req.user, &err);

	if (!new || !is_valid(new, &err)) {
		finish(c, err);
		g_clear_error(&err);
		json_object_put(new);
		return;
	}
	if (c->sections)
		g_ptr_array_unref(c->sections);
	c->sections = cfg_section_split(new);
	json_object_put(new);
	c->revision = (uint64_t)jcheck_get_int(c->head, "revision", 0) + 1;
	g_free(c->new_head);
	c->new_head = cfg_section_format_head(c->revision, c->operation,
					      c->sections, c->head);
	write_sections(c);
}

static void join_and_edit(struct cfg_change *c)
{
	GError *err = NULL;
	struct json_object *doc = cfg_section_join(c->texts, c->head, &err);

	if (doc) {
		edit_document(c, doc);
		return;
	}
	finish(c, err);
	g_clear_error(&err);
}

static void on_section_read(void *user, const struct store_result *r)
{
	struct section_read *p = user;
	struct cfg_change *c = p->change;

	if (r->outcome == STORE_OK &&
	    cfg_section_digest_matches(p->digest, r->body, r->len))
		g_hash_table_insert(c->texts, g_strdup(p->digest),
				    g_strndup(r->body, r->len));
	else
		c->section_failed = true;
	g_free(p->digest);
	g_free(p);
	if (--c->pending)
		return;
	if (c->section_failed)
		retry_or_fail(c, read_head);
	else
		join_and_edit(c);
}

static void read_sections(struct cfg_change *c)
{
	struct json_object *sections = jcheck_get(c->head, "sections");

	c->pending = 1;
	c->section_failed = false;
	json_object_object_foreach (sections, name, val) {
		const char *digest = json_object_get_string(val);
		g_autofree char *object = cfg_section_object_name(digest);
		struct section_read *p;

		(void)name;
		if (g_hash_table_contains(c->texts, digest))
			continue;
		p = g_new0(struct section_read, 1);
		p->change = c;
		p->digest = g_strdup(digest);
		c->pending++;
		store_get(c->req.store, object, on_section_read, p);
	}
	if (--c->pending == 0)
		join_and_edit(c);
}

static void on_head_read(void *user, const struct store_result *r)
{
	struct cfg_change *c = user;

	if (c->head)
		json_object_put(c->head);
	c->head = NULL;
	c->etag = r->etag;
	if (r->outcome == STORE_NOT_FOUND) {
		edit_document(c, NULL);
		return;
	}
	if (r->outcome == STORE_OK)
		c->head = cfg_section_parse_head(r->body, r->len, NULL);
	if (!c->head)
		retry_or_fail(c, read_head);
	else
		read_sections(c);
}

static void read_head(struct cfg_change *c)
{
	store_get(c->req.store, CFG_SECTION_HEAD_OBJECT, on_head_read, c);
}

/*
 * Starts a change. Copies the request; what its pointers refer to, except for
 * the operation id, must live until `done` is called, once, from the loop.
 */
void cfg_change_start(const struct cfg_change_request *request)
{
	struct cfg_change *c = g_new0(struct cfg_change, 1);

	c->req = *request;
	c->operation = g_strdup(request->operation);
	c->texts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	uv_timer_init(request->loop, &c->timer);
	c->timer.data = c;
	read_head(c);
}
