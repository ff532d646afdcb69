#ifndef FLEET_BUILDS_H
#define FLEET_BUILDS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "member/member.h"

#define BUILDS_MAX 8 /* different builds that are told apart */

/* Which programs the live nodes run, as far as they have told. */
struct builds_summary {
	uint32_t n;
	char id[BUILDS_MAX][MEMBER_BUILD_BYTES];
	uint32_t nodes[BUILDS_MAX]; /* that run it */
	uint32_t unknown; /* nodes that have not told, or told one too many */
	uint32_t protocol; /* that all live nodes know; 0: some have not told */
};

/* Whether the fleet runs more than one build. Initialise with zeroes. */
struct builds_watch {
	uint64_t next_at; /* ms; the next look */
	bool saw_unknown; /* at the latest look */
	bool is_mixed;
};

void builds_count(const struct member_table *m, struct builds_summary *out);
char *builds_to_text(const struct builds_summary *s);
bool builds_watch_update(struct builds_watch *w, uint64_t now,
			 const struct builds_summary *s);

#endif
