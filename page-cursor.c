#include "page-cursor.h"

/* Initialises a cursor before the first page. */
void page_cursor_init(struct page_cursor *c)
{
	c->names = g_ptr_array_new_with_free_func(g_free);
	c->after = NULL;
}

/* Goes back to before the first page. */
void page_cursor_reset(struct page_cursor *c)
{
	g_ptr_array_set_size(c->names, 0);
	g_clear_pointer(&c->after, g_free);
}

/* Takes up a new page, whose names follow. */
void page_cursor_begin_page(struct page_cursor *c)
{
	g_ptr_array_set_size(c->names, 0);
}

/* Adds a name of the page, in order, and takes it over; NULL: it can't be read. */
void page_cursor_add_name(struct page_cursor *c, char *name)
{
	if (name)
		g_ptr_array_add(c->names, name);
}

/*
 * Goes on after the page's last name. Returns false if that is the same place
 * again, or if no name of the page can be read.
 */
bool page_cursor_advance(struct page_cursor *c)
{
	const char *last =
		c->names->len ? c->names->pdata[c->names->len - 1] : NULL;

	if (!last || !g_strcmp0(last, c->after))
		return false;
	g_free(c->after);
	c->after = g_strdup(last);
	return true;
}

/*
 * Goes on after the name before the last one, because no page can be asked for
 * after that: the next page then begins with it. Returns false if the page has no
 * earlier name.
 */
bool page_cursor_step_back(struct page_cursor *c)
{
	if (c->names->len)
		g_ptr_array_remove_index(c->names, c->names->len - 1);
	return page_cursor_advance(c);
}
