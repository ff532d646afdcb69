#ifndef EXCHANGE_REMOVALS_H
#define EXCHANGE_REMOVALS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Log of recently removed servers. A node that knows all servers up to some
 * revision is brought up to date by sending it only the removals after it.
 */
#define REMOVAL_LOG_MAX_IDS 1024

struct removal_log {
	GPtrArray *ids; /* oldest first */
	GArray *revisions; /* uint64_t per id: removed at or before it */
	uint32_t n_pending; /* ids at the end without a revision yet */
	uint64_t complete_since; /* every later removal is here; 0: unknown */
};

void removal_log_init(struct removal_log *r);
void removal_log_clear(struct removal_log *r);
void removal_log_add(struct removal_log *r, const char *id);
void removal_log_set_revision(struct removal_log *r, uint64_t revision);
bool removal_log_covers(const struct removal_log *r, uint64_t since);
guint removal_log_first_after(const struct removal_log *r, uint64_t since);

#endif
