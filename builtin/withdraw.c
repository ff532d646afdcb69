#include "builtin/builtin.h"
#include "builtin/cli.h"
#include "config/config.h"
#include "config/edit.h"

static const char withdraw_text[] =
	"Withdraws a version. Once this is in force, the version gets no new\n"
	"requests, not even of running sessions. A withdrawn version cannot "
	"be\n"
	"put back into service.\n\n"
	"example: chivegw withdraw quill@4 --platform 127.0.0.1:8000\n";

/* Withdraws the version named by `user`. */
static struct json_object *edit_withdraw(struct json_object *doc, void *user,
					 GError **err)
{
	if (doc && cfg_edit_withdraw_version(doc, user, err))
		return doc;
	if (!doc)
		g_set_error(err, CFG_ERROR, CFG_ERROR_INVALID,
			    "no configuration is stored yet");
	json_object_put(doc);
	return NULL;
}

/* chivegw withdraw MODEL@VERSION --platform IP:PORT [--wait SECONDS] */
int cmd_withdraw(int argc, char **argv)
{
	struct arg_str *version =
		arg_str1(NULL, NULL, "MODEL@VERSION", "version to withdraw");
	struct cli_change_args args = cli_create_change_args();
	void *table[] = {version,   args.platform, args.wait,
			 args.json, args.help,	   args.end};
	struct cli_change change = {
		.command = "withdraw",
		.edit = edit_withdraw,
		.rebase = true,
	};
	int code;

	if (!cli_parse("withdraw", argc, argv, table, args.end, args.help,
		       withdraw_text, &code))
		return code;
	change.user = (void *)version->sval[0];
	return cli_run_change(&change, &args);
}
