#ifndef PAGE_CURSOR_H
#define PAGE_CURSOR_H

#include <glib.h>
#include <stdbool.h>

/* A position in a list that is read page by page, each after a name. */
struct page_cursor {
	GPtrArray *names; /* of the last page, up to the one to go on after */
	char *after; /* the next page begins after it; NULL: the first page */
};

void page_cursor_init(struct page_cursor *c);
void page_cursor_reset(struct page_cursor *c);
void page_cursor_begin_page(struct page_cursor *c);
void page_cursor_add_name(struct page_cursor *c, char *name);
bool page_cursor_advance(struct page_cursor *c);
bool page_cursor_step_back(struct page_cursor *c);

#endif
