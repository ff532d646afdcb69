#ifndef EXCHANGE_REMOVALS_H
#define EXCHANGE_REMOVALS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Which servers were removed of late, so that another node that knows all up
 * to some revision need only be told of what changed since.
 */
#define RMV_MOST 1024

struct rmv {
	GPtrArray *ids;
	GArray *as_of; /* uint64_t: revision by which the removal was known */
	uint32_t unstamped; /* of the last ones, their revision is not known */
	uint64_t complete_from; /* all removals after it are here; 0: none */
};

void rmv_init(struct rmv *r);
void rmv_clear(struct rmv *r);
void rmv_note(struct rmv *r, const char *id);
void rmv_stamp(struct rmv *r, uint64_t as_of);
bool rmv_covers(const struct rmv *r, uint64_t since);
guint rmv_first_after(const struct rmv *r, uint64_t since);

#endif
