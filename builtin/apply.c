#include <stdio.h>
#include <string.h>

#include "builtin/builtin.h"
#include "builtin/cli.h"
#include "config/config.h"
#include "config/edit.h"
#include "json-check.h"

static const char apply_text[] =
	"Stores a configuration by a conditional update. Versions withdrawn "
	"by\n"
	"operators stay withdrawn; stored roll-outs are kept unless CONFIG "
	"has\n"
	"its own. If another change is accepted first, nothing is changed and\n"
	"the exit code is 4.\n\n"
	"example: chivegw apply config.json --platform 127.0.0.1:8000 --wait "
	"10\n";

/* Withdraws in the new document the versions that are withdrawn in the old. */
static bool copy_withdrawals(struct json_object *old, struct json_object *new)
{
	struct json_object *list = jcheck_get(old, "models");

	for (size_t i = 0; i < jcheck_array_length(list); i++) {
		struct json_object *row = json_object_array_get_idx(list, i);
		g_autofree char *name = g_strdup_printf(
			"%s@%s", jcheck_get_string(row, "name", ""),
			jcheck_get_string(row, "version", ""));

		if (!strcmp(jcheck_get_string(row, "state", "serving"),
			    "withdrawn"))
			cfg_edit_withdraw_version(new, name, NULL);
	}
	return true;
}

/*
 * Replaces the stored document by a copy of `user`. Withdrawals are kept, and
 * so are roll-outs unless the new document has its own.
 */
static struct json_object *edit_apply(struct json_object *doc, void *user,
				      GError **err)
{
	struct json_object *new = NULL;

	(void)err;
	json_object_deep_copy(user, &new, NULL);
	if (!doc)
		return new;
	copy_withdrawals(doc, new);
	if (jcheck_get(doc, "rollouts") && !jcheck_get(new, "rollouts"))
		json_object_object_add(
			new, "rollouts",
			json_object_get(jcheck_get(doc, "rollouts")));
	json_object_put(doc);
	return new;
}

/* Reads and validates a configuration; NULL and an error if it is invalid. */
static struct json_object *read_config(const char *path, GError **err)
{
	g_autofree char *text = NULL;
	struct json_object *doc;
	struct cfg *cfg;

	if (!g_file_get_contents(path, &text, NULL, err))
		return NULL;
	doc = cfg_parse(path, text, err);
	cfg = doc ? cfg_build(doc, 0, err) : NULL;
	if (cfg) {
		cfg_free(cfg);
		return doc;
	}
	json_object_put(doc);
	return NULL;
}

/* chivegw apply CONFIG --platform IP:PORT [--wait SECONDS] */
int cmd_apply(int argc, char **argv)
{
	struct arg_file *config_file = arg_file1(
		NULL, NULL, "CONFIG", "configuration made by generate");
	struct cli_change_args args = cli_create_change_args();
	void *table[] = {config_file, args.platform, args.wait,
			 args.json,   args.help,     args.end};
	struct cli_change change = {.command = "apply", .edit = edit_apply};
	GError *err = NULL;
	int code;

	if (!cli_parse("apply", argc, argv, table, args.end, args.help,
		       apply_text, &code))
		return code;
	change.user = read_config(config_file->filename[0], &err);
	if (!change.user) {
		fprintf(stderr, "chivegw apply: %s\n", err->message);
		g_clear_error(&err);
		return CLI_FAILED;
	}
	code = cli_run_change(&change, &args);
	json_object_put(change.user);
	return code;
}
