#ifndef EXCHANGE_REMOVALS_H
#define EXCHANGE_REMOVALS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Which servers were removed of late, so that another node that knows all up
 * to some revision need only be told of what changed since.
 */
#define REMOVAL_LOG_MAX_IDS 1024

struct removal_log {
	GPtrArray *ids;
	GArray *as_of; /* uint64_t: revision by which the removal was known */
	uint32_t unstamped; /* of the last ones, their revision is not known */
	uint64_t complete_from; /* all removals after it are here; 0: none */
};

void removal_log_init(struct removal_log *r);
void removal_log_clear(struct removal_log *r);
void removal_log_add(struct removal_log *r, const char *id);
void removal_log_set_revision(struct removal_log *r, uint64_t as_of);
bool removal_log_covers(const struct removal_log *r, uint64_t since);
guint removal_log_first_after(const struct removal_log *r, uint64_t since);

#endif
