#include "exchange/removals.h"

/* Starts without any removal. */
void rmv_init(struct rmv *r)
{
	r->ids = g_ptr_array_new_with_free_func(g_free);
	r->as_of = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	r->unstamped = 0;
	r->complete_from = 0;
}

/* Frees what it holds. */
void rmv_clear(struct rmv *r)
{
	g_ptr_array_unref(r->ids);
	g_array_unref(r->as_of);
}

static void drop_oldest(struct rmv *r)
{
	r->complete_from = g_array_index(r->as_of, uint64_t, 0);
	g_ptr_array_remove_index(r->ids, 0);
	g_array_remove_index(r->as_of, 0);
}

/* A server was removed; rmv_stamp() tells as of which revision. */
void rmv_note(struct rmv *r, const char *id)
{
	const uint64_t unknown = UINT64_MAX;

	g_ptr_array_add(r->ids, g_strdup(id));
	g_array_append_val(r->as_of, unknown);
	r->unstamped++;
}

/* All changes up to a revision are known. */
void rmv_stamp(struct rmv *r, uint64_t as_of)
{
	if (!r->complete_from)
		r->complete_from = as_of;
	for (; r->unstamped; r->unstamped--)
		g_array_index(r->as_of, uint64_t,
			      r->as_of->len - r->unstamped) = as_of;
	while (r->ids->len > RMV_MOST)
		drop_oldest(r);
}

/* Tells whether all removals after a revision are here. */
bool rmv_covers(const struct rmv *r, uint64_t since)
{
	return r->complete_from && since >= r->complete_from;
}

/* Returns the index of the first removal after a revision. */
guint rmv_first_after(const struct rmv *r, uint64_t since)
{
	guint i = r->as_of->len;

	while (i > 0 && g_array_index(r->as_of, uint64_t, i - 1) > since)
		i--;
	return i;
}
