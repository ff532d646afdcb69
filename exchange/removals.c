#include "exchange/removals.h"

/* Initialises an empty log. */
void removal_log_init(struct removal_log *r)
{
	r->ids = g_ptr_array_new_with_free_func(g_free);
	r->revisions = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	r->n_pending = 0;
	r->complete_since = 0;
}

/* Frees the entries. */
void removal_log_clear(struct removal_log *r)
{
	g_ptr_array_unref(r->ids);
	g_array_unref(r->revisions);
}

/* Drops the oldest entry; the log is then complete only after it. */
static void remove_oldest(struct removal_log *r)
{
	r->complete_since = g_array_index(r->revisions, uint64_t, 0);
	g_ptr_array_remove_index(r->ids, 0);
	g_array_remove_index(r->revisions, 0);
}

/*
 * Adds a removed server. Its revision stays unknown until the next
 * removal_log_set_revision().
 */
void removal_log_add(struct removal_log *r, const char *id)
{
	const uint64_t unknown = UINT64_MAX;

	g_ptr_array_add(r->ids, g_strdup(id));
	g_array_append_val(r->revisions, unknown);
	r->n_pending++;
}

/*
 * Gives the entries without a revision this one, up to which all changes are
 * known. The first call also makes the log complete from there on.
 */
void removal_log_set_revision(struct removal_log *r, uint64_t revision)
{
	if (!r->complete_since)
		r->complete_since = revision;
	for (; r->n_pending; r->n_pending--)
		g_array_index(r->revisions, uint64_t,
			      r->revisions->len - r->n_pending) = revision;
	while (r->ids->len > REMOVAL_LOG_MAX_IDS)
		remove_oldest(r);
}

/* Returns true if the log has all removals after a revision. */
bool removal_log_covers(const struct removal_log *r, uint64_t since)
{
	return r->complete_since && since >= r->complete_since;
}

/* Returns the index of the first removal after a revision, or the length. */
guint removal_log_first_after(const struct removal_log *r, uint64_t since)
{
	guint i = r->revisions->len;

	while (i > 0 && g_array_index(r->revisions, uint64_t, i - 1) > since)
		i--;
	return i;
}
