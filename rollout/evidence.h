#ifndef ROLLOUT_EVIDENCE_H
#define ROLLOUT_EVIDENCE_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "rollout/rollout.h"

/*
 * Counts of each version on their way through the store: every node's status
 * holds its own since its start; a roll-out's evidence object holds the test
 * and what of each node's counts has gone into it.
 */
struct evidence_version {
	char *name;
	struct rollout_counts counts;
};

/* One roll-out's evidence object. */
struct rollout_evidence {
	char *rollout;
	char *to; /* version under test; a new one starts anew */
	size_t step;
	struct rollout_test test;
	struct rollout_counts from; /* all that is known of the old version */
	GHashTable *included_to; /* "node/boot" -> struct rollout_counts */
	GHashTable *included_from;
};

struct rollout_counts *evidence_version_counts(GPtrArray *versions,
					       const char *name);
GPtrArray *evidence_versions_new(void);
struct json_object *evidence_versions_json(const GPtrArray *versions);

struct rollout_evidence *evidence_new(const char *rollout, const char *to);
void evidence_free(struct rollout_evidence *e);
struct rollout_evidence *evidence_parse(const char *text, size_t len);
char *evidence_serialize(const struct rollout_evidence *e);
void evidence_add_status(struct rollout_evidence *e, struct json_object *status,
			 const char *from, struct rollout_counts *new_to);

#endif
