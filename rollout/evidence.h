#ifndef ROLLOUT_EVIDENCE_H
#define ROLLOUT_EVIDENCE_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "rollout/rollout.h"

/*
 * Passes answer counts through the store. Each node's status object holds its
 * own counts, which only increase from its start. A roll-out's evidence object
 * holds the state of its test, and for each run of a node the counts that the
 * test already includes.
 */

/* Answers of one version at this node. */
struct evidence_version {
	char *name;
	struct rollout_counts counts;
};

/* Contents of a roll-out's evidence object. */
struct rollout_evidence {
	char *rollout; /* name */
	char *to; /* version under test; another one starts new evidence */
	size_t step; /* index of the step to which `test` refers */
	struct rollout_test test;
	struct rollout_counts from; /* sum of all counts of the old version */
	/* "node/boot" -> struct rollout_counts, as last read from the status */
	GHashTable *included_to;
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
			 const char *from, struct rollout_counts *to_new);

#endif
