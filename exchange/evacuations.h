#ifndef EXCHANGE_EVACUATIONS_H
#define EXCHANGE_EVACUATIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The zones whose servers must get no request, with the revision up to which all
 * changes of the set are known. Changes are staged until it is known up to which
 * revision they go, so that an answer that is older than the set changes nothing.
 */
struct evacuations {
	GHashTable *zones; /* set of names */
	GHashTable *staged; /* the set after the changes; NULL: none */
	uint64_t revision; /* by feed_revision() */
	uint32_t changes; /* how often the zones have changed */
};

void evacuations_init(struct evacuations *e);
void evacuations_clear(struct evacuations *e);
bool evacuations_has(const struct evacuations *e, const char *zone);
uint32_t evacuations_count(const struct evacuations *e);
GPtrArray *evacuations_list(const struct evacuations *e);
void evacuations_begin_listing(struct evacuations *e);
void evacuations_stage(struct evacuations *e, const char *zone, bool evacuated);
bool evacuations_replace(struct evacuations *e, const GPtrArray *zones,
			 uint64_t revision);
bool evacuations_commit(struct evacuations *e, uint64_t revision);

#endif
