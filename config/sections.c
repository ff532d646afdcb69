#include "config/sections.h"

#include <string.h>

#include "config/config.h"
#include "json-check.h"

#define MAX_EARLIER_OPERATIONS 32 /* ids in a head besides the newest */

/* Lists of the document, and the prefix of the sections of their rows. */
static const struct {
	const char *list;
	const char *prefix;
} section_lists[] = {
	{"services", "service/"},
	{"models", "model/"},
	{"organisations", "organisation/"},
	{"rollouts", "rollout/"},
};

static void free_section(void *p)
{
	struct cfg_section *s = p;

	g_free(s->name);
	g_free(s->digest);
	g_free(s->text);
	g_free(s);
}

static void add_section(GPtrArray *sections, char *name,
			struct json_object *obj)
{
	struct cfg_section *s = g_new0(struct cfg_section, 1);

	s->name = name;
	s->text = g_strdup(
		json_object_to_json_string_ext(obj, JSON_C_TO_STRING_PLAIN));
	s->digest =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, s->text, -1);
	g_ptr_array_add(sections, s);
}

/*
 * Returns the section's name for a row of a list. It depends on the row alone,
 * so that a change to one row leaves the sections of all others as they are.
 */
static char *section_name(const char *prefix, struct json_object *row)
{
	const char *name = jcheck_get_string(row, "name", "");
	const char *version = jcheck_get_string(row, "version", NULL);

	if (version)
		return g_strdup_printf("%s%s@%s", prefix, name, version);
	return g_strdup_printf("%s%s", prefix, name);
}

static void split_list(GPtrArray *sections, struct json_object *list,
		       const char *prefix)
{
	for (size_t i = 0; i < jcheck_array_length(list); i++) {
		struct json_object *row = json_object_array_get_idx(list, i);

		add_section(sections, section_name(prefix, row), row);
	}
}

/*
 * Splits a checked document into sections (struct cfg_section). Free the array
 * with g_ptr_array_unref().
 */
GPtrArray *cfg_section_split(struct json_object *doc)
{
	GPtrArray *sections = g_ptr_array_new_with_free_func(free_section);

	add_section(sections, g_strdup("general"), jcheck_get(doc, "general"));
	for (size_t i = 0; i < G_N_ELEMENTS(section_lists); i++)
		split_list(sections, jcheck_get(doc, section_lists[i].list),
			   section_lists[i].prefix);
	return sections;
}

static struct json_object *parse_section(GHashTable *texts, const char *digest,
					 const char *name, GError **err)
{
	const char *text = g_hash_table_lookup(texts, digest);
	struct json_object *obj = text ? json_tokener_parse(text) : NULL;

	if (!obj)
		g_set_error(err, CFG_ERROR, CFG_ERROR_MISSING_SECTION,
			    "section '%s' (%s) is missing or not valid JSON",
			    name, digest);
	return obj;
}

static int compare_names(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static GPtrArray *sorted_names(struct json_object *sections)
{
	GPtrArray *names = g_ptr_array_new();

	json_object_object_foreach (sections, name, val) {
		(void)val;
		g_ptr_array_add(names, name);
	}
	g_ptr_array_sort(names, compare_names);
	return names;
}

static struct json_object *list_for(struct json_object *doc, const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(section_lists); i++)
		if (g_str_has_prefix(name, section_lists[i].prefix))
			return jcheck_get(doc, section_lists[i].list);
	return NULL;
}

static bool join_one(struct json_object *doc, GHashTable *texts,
		     const char *name, const char *digest, GError **err)
{
	struct json_object *obj = parse_section(texts, digest, name, err);
	struct json_object *list = list_for(doc, name);

	if (!obj)
		return false;
	if (list)
		json_object_array_add(list, obj);
	else
		json_object_object_add(doc, name, obj);
	return true;
}

/*
 * Joins the sections that a parsed head lists to a new document. `texts` maps
 * digests to section texts. Returns NULL and sets an error if one is missing.
 */
struct json_object *cfg_section_join(GHashTable *texts,
				     struct json_object *head, GError **err)
{
	struct json_object *sections = jcheck_get(head, "sections");
	g_autoptr(GPtrArray) names = sorted_names(sections);
	struct json_object *doc = json_object_new_object();

	for (size_t i = 0; i < G_N_ELEMENTS(section_lists); i++)
		json_object_object_add(doc, section_lists[i].list,
				       json_object_new_array());
	for (size_t i = 0; i < names->len; i++) {
		const char *name = names->pdata[i];

		if (!join_one(doc, texts, name,
			      jcheck_get_string(sections, name, ""), err)) {
			json_object_put(doc);
			return NULL;
		}
	}
	return doc;
}

/* Returns the newest operation id and at most MAX_EARLIER_OPERATIONS before. */
static struct json_object *list_operations(const char *operation,
					   struct json_object *previous_head)
{
	struct json_object *old = jcheck_get(previous_head, "operations");
	struct json_object *list = json_object_new_array();

	json_object_array_add(list, json_object_new_string(operation));
	for (size_t i = 0;
	     i < jcheck_array_length(old) && i < MAX_EARLIER_OPERATIONS; i++)
		json_object_array_add(
			list,
			json_object_get(json_object_array_get_idx(old, i)));
	return list;
}

/*
 * Returns the text of a head; the caller frees it. By the operation ids a
 * writer whose answer was lost learns whether its change took effect, also if
 * others followed it.
 */
char *cfg_section_format_head(uint64_t revision, const char *operation,
			      GPtrArray *sections,
			      struct json_object *previous_head)
{
	struct json_object *head = json_object_new_object();
	struct json_object *digests = json_object_new_object();
	char *text;

	json_object_object_add(head, "revision",
			       json_object_new_int64((int64_t)revision));
	json_object_object_add(head, "operations",
			       list_operations(operation, previous_head));
	json_object_object_add(head, "sections", digests);
	for (size_t i = 0; i < sections->len; i++) {
		const struct cfg_section *s = sections->pdata[i];

		json_object_object_add(digests, s->name,
				       json_object_new_string(s->digest));
	}
	text = g_strdup(
		json_object_to_json_string_ext(head, JSON_C_TO_STRING_PLAIN));
	json_object_put(head);
	return text;
}

/* Returns whether a head lists this operation id. */
bool cfg_section_head_has_operation(struct json_object *head,
				    const char *operation)
{
	struct json_object *list = jcheck_get(head, "operations");

	for (size_t i = 0; i < jcheck_array_length(list); i++)
		if (!strcmp(json_object_get_string(
				    json_object_array_get_idx(list, i)),
			    operation))
			return true;
	return false;
}

static const struct jcheck_key head_keys[] = {
	{.name = "revision",
	 .kind = JCHECK_INT,
	 .required = true,
	 .min = 1,
	 .max = 9e15},
	{.name = "operations", .kind = JCHECK_STRINGS, .required = true},
	{.name = "sections", .kind = JCHECK_ANY, .required = true},
	{0},
};

/* Returns a parsed head, or NULL and sets an error. */
struct json_object *cfg_section_parse_head(const char *text, size_t len,
					   GError **err)
{
	g_autofree char *copy = g_strndup(text, len);

	return jcheck_parse(CFG_SECTION_HEAD_OBJECT, copy, head_keys, err);
}

/* Returns the name of the object that holds a section; the caller frees it. */
char *cfg_section_object_name(const char *digest)
{
	return g_strdup_printf("config/section/%s", digest);
}

/* Returns whether a section text has this digest. */
bool cfg_section_digest_matches(const char *digest, const char *text,
				size_t len)
{
	g_autofree char *sum = g_compute_checksum_for_data(
		G_CHECKSUM_SHA256, (const guchar *)text, len);

	return !strcmp(sum, digest);
}
