#include <stdio.h>

#include "builtin/builtin.h"
#include "builtin/check-routes.h"
#include "builtin/cli.h"
#include "config/config.h"
#include "config/generate.h"

static const char check_text[] =
	"Validates a questionnaire or, with --config, a configuration. "
	"Reports\n"
	"an error with its file, line, key and reason.\n\n"
	"With --routes, FILE is a configuration of routes as operators send "
	"it.\n"
	"Reports errors, entries that can never match, limits that contradict\n"
	"each other and, with --against, what differs from that file. Exit "
	"code 1\n"
	"if there is an error.\n\n"
	"examples: chivegw check examples/nakhla.jsonc\n"
	"          chivegw check --routes new.json --against current.json\n";

/* Returns whether a configuration is valid. */
static bool check_config(const char *path, const char *text, GError **err)
{
	struct json_object *doc = cfg_parse(path, text, err);
	struct cfg *cfg = doc ? cfg_build(doc, 0, err) : NULL;
	bool ok = cfg != NULL;

	cfg_free(cfg);
	json_object_put(doc);
	return ok;
}

/* Returns whether a questionnaire is valid. */
static bool check_questionnaire(const char *path, const char *text,
				GError **err)
{
	struct json_object *doc = cfg_generate(path, text, err);
	bool ok = doc != NULL;

	json_object_put(doc);
	return ok;
}

/* chivegw check FILE [--config | --routes [--against FILE] [--json]] */
int cmd_check(int argc, char **argv)
{
	struct arg_file *file = arg_file1(NULL, NULL, "FILE", "file to check");
	struct arg_lit *config =
		arg_lit0(NULL, "config", "FILE is a configuration");
	struct arg_lit *routes =
		arg_lit0(NULL, "routes", "FILE is a configuration of routes");
	struct arg_file *against = arg_file0(
		NULL, "against", "FILE", "configuration of routes in force");
	struct arg_file *settings =
		arg_file0(NULL, "settings", "FILE", "settings of a node");
	struct arg_int *memory = arg_int0(NULL, "memory-mb", "MB",
					  "memory of the smallest node");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {file,	 config, routes, against, settings,
			 memory, json,	 help,	 end};
	g_autofree char *text = NULL;
	GError *err = NULL;
	const char *path;
	bool ok;
	int code;

	if (!cli_parse("check", argc, argv, table, end, help, check_text,
		       &code))
		return code;
	path = file->filename[0];
	if (routes->count) {
		const struct check_routes_options o = {
			.path = path,
			.against = against->count ? against->filename[0] : NULL,
			.settings =
				settings->count ? settings->filename[0] : NULL,
			.memory_mb = memory->count && memory->ival[0] > 0
					     ? (uint32_t)memory->ival[0]
					     : 0,
			.json = json->count > 0,
		};

		return check_routes(&o);
	}
	ok = g_file_get_contents(path, &text, NULL, &err);
	if (ok)
		ok = config->count ? check_config(path, text, &err)
				   : check_questionnaire(path, text, &err);
	if (ok)
		printf("%s: valid\n", path);
	else
		fprintf(stderr, "chivegw check: %s\n", err->message);
	g_clear_error(&err);
	return ok ? CLI_OK : CLI_FAILED;
}
