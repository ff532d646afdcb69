#include "exchange/removals.h"

/* Starts without any removal. */
void removal_log_init(struct removal_log *r)
{
	r->ids = g_ptr_array_new_with_free_func(g_free);
	r->as_of = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	r->unstamped = 0;
	r->complete_from = 0;
}

/* Frees what it holds. */
void removal_log_clear(struct removal_log *r)
{
	g_ptr_array_unref(r->ids);
	g_array_unref(r->as_of);
}

static void drop_oldest(struct removal_log *r)
{
	r->complete_from = g_array_index(r->as_of, uint64_t, 0);
	g_ptr_array_remove_index(r->ids, 0);
	g_array_remove_index(r->as_of, 0);
}

/* A server was removed; removal_log_set_revision() tells as of which revision. */
void removal_log_add(struct removal_log *r, const char *id)
{
	const uint64_t unknown = UINT64_MAX;

	g_ptr_array_add(r->ids, g_strdup(id));
	g_array_append_val(r->as_of, unknown);
	r->unstamped++;
}

/* All changes up to a revision are known. */
void removal_log_set_revision(struct removal_log *r, uint64_t as_of)
{
	if (!r->complete_from)
		r->complete_from = as_of;
	for (; r->unstamped; r->unstamped--)
		g_array_index(r->as_of, uint64_t,
			      r->as_of->len - r->unstamped) = as_of;
	while (r->ids->len > REMOVAL_LOG_MAX_IDS)
		drop_oldest(r);
}

/* Tells whether all removals after a revision are here. */
bool removal_log_covers(const struct removal_log *r, uint64_t since)
{
	return r->complete_from && since >= r->complete_from;
}

/* Returns the index of the first removal after a revision. */
guint removal_log_first_after(const struct removal_log *r, uint64_t since)
{
	guint i = r->as_of->len;

	while (i > 0 && g_array_index(r->as_of, uint64_t, i - 1) > since)
		i--;
	return i;
}
