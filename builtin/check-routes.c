#include "builtin/check-routes.h"

#include <stdio.h>

#include "builtin/builtin.h"
#include "daemon/settings.h"
#include "exchange/route-lint.h"
#include "json-check.h"
#include "platform/translate.h"

/* Returns a JSON file's document, for json_object_put(), or NULL. */
static struct json_object *read_json(const char *path)
{
	g_autofree char *text = NULL;
	g_autoptr(GError) err = NULL;
	struct json_tokener *tokener;
	struct json_object *doc;

	if (!g_file_get_contents(path, &text, NULL, &err)) {
		fprintf(stderr, "chivegw check: %s\n", err->message);
		return NULL;
	}
	tokener = json_tokener_new();
	doc = json_tokener_parse_ex(tokener, text, -1);
	if (!doc)
		fprintf(stderr, "chivegw check: %s: not JSON at byte %zu: %s\n",
			path, json_tokener_get_parse_end(tokener),
			json_tokener_error_desc(
				json_tokener_get_error(tokener)));
	json_tokener_free(tokener);
	return doc;
}

/* Returns the file's configuration as nodes read it, or NULL. */
static struct json_object *read_routes(const char *path)
{
	g_autoptr(GError) err = NULL;
	struct json_object *spec = read_json(path);
	struct json_object *doc;

	if (!spec)
		return NULL;
	doc = platform_translate_config(spec, &err);
	if (!doc)
		fprintf(stderr, "chivegw check: %s: %s\n", path, err->message);
	json_object_put(spec);
	return doc;
}

static bool read_limits(const struct check_routes_options *o,
			struct route_lint_limits *limits)
{
	g_autoptr(GError) err = NULL;
	struct node_settings *s;

	limits->memory_mb = o->memory_mb;
	if (!o->settings)
		return true;
	s = settings_read(o->settings, &err);
	if (!s) {
		fprintf(stderr, "chivegw check: %s\n", err->message);
		return false;
	}
	limits->retry_ratio = s->retry_ratio;
	settings_free(s);
	return true;
}

static void print_text(const char *path, const GPtrArray *findings)
{
	for (guint i = 0; i < findings->len; i++) {
		const struct route_lint_finding *f = findings->pdata[i];

		printf("%s: %s: %s\n", path, route_lint_level_name(f->level),
		       f->text);
	}
}

static void print_json(const GPtrArray *findings)
{
	struct json_object *list = json_object_new_array();

	for (guint i = 0; i < findings->len; i++) {
		const struct route_lint_finding *f = findings->pdata[i];
		struct json_object *o = json_object_new_object();

		jcheck_add_string(o, "level", route_lint_level_name(f->level));
		jcheck_add_string(o, "text", f->text);
		json_object_array_add(list, o);
	}
	puts(json_object_to_json_string_ext(list, JSON_C_TO_STRING_PLAIN));
	json_object_put(list);
}

static bool has_error(const GPtrArray *findings)
{
	for (guint i = 0; i < findings->len; i++)
		if (((const struct route_lint_finding *)findings->pdata[i])
			    ->level == ROUTE_LINT_ERROR)
			return true;
	return false;
}

/* Returns false if the configuration in force cannot be read. */
static bool compare(const char *against, struct json_object *doc,
		    GPtrArray *findings)
{
	struct json_object *from = read_routes(against);

	if (!from)
		return false;
	route_lint_compare(from, doc, findings);
	json_object_put(from);
	return true;
}

/*
 * Checks a configuration of routes with the readers of the nodes and prints what
 * was found. Returns an exit code.
 */
int check_routes(const struct check_routes_options *o)
{
	g_autoptr(GPtrArray) findings = route_lint_new_findings();
	struct route_lint_limits limits = {0, 0};
	struct json_object *doc;
	bool bad = false;

	if (!read_limits(o, &limits))
		return CLI_FAILED;
	doc = read_routes(o->path);
	if (!doc)
		return CLI_FAILED;
	route_table_unref(route_lint_check(doc, &limits, findings));
	if (o->against)
		bad = !compare(o->against, doc, findings);
	bad |= has_error(findings);
	if (o->json)
		print_json(findings);
	else
		print_text(o->path, findings);
	if (!bad && !o->json)
		printf("%s: valid\n", o->path);
	json_object_put(doc);
	return bad ? CLI_FAILED : CLI_OK;
}
