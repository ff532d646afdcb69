#ifndef CONFIG_SECTIONS_H
#define CONFIG_SECTIONS_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The stored form of a configuration: immutable sections, each an object named
 * by its SHA-256 digest, and one head object that lists the digest of every
 * section under an increasing revision.
 */
#define CFG_SECTION_HEAD_OBJECT "config/head"

struct cfg_section {
	char *name; /* in the head */
	char *digest; /* SHA-256 of text, in hex */
	char *text; /* JSON */
};

GPtrArray *cfg_section_split(struct json_object *doc);
struct json_object *cfg_section_join(GHashTable *texts,
				     struct json_object *head, GError **err);
char *cfg_section_format_head(uint64_t revision, const char *operation,
			      GPtrArray *sections,
			      struct json_object *previous_head);
bool cfg_section_head_has_operation(struct json_object *head,
				    const char *operation);
struct json_object *cfg_section_parse_head(const char *text, size_t len,
					   GError **err);
char *cfg_section_object_name(const char *digest);
bool cfg_section_digest_matches(const char *digest, const char *text,
				size_t len);

#endif
