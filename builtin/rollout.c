#include <stdio.h>
#include <string.h>

#include "builtin/builtin.h"
#include "builtin/cli.h"
#include "config/config.h"
#include "config/edit.h"

static const char rollout_text[] =
	"Starts a roll-out of a new version, or pauses, resumes or stops one.\n"
	"A stop withdraws the new version.\n\n"
	"example: chivegw rollout start quill-4 --from quill@3 --to quill@4 "
	"\\\n"
	"             --steps 0.01,0.05,0.25,1 --platform 127.0.0.1:8000\n";

/* Arguments of the command. */
struct rollout_edit {
	const char *verb;
	const char *name;
	const char *from;
	const char *to;
	double steps[CFG_MAX_STEPS]; /* shares of traffic */
	size_t n_steps;
};

/* Applies the verb to the document; returns false and an error on failure. */
static bool edit_by_verb(struct json_object *doc, struct rollout_edit *e,
			 GError **err)
{
	if (!strcmp(e->verb, "start"))
		return cfg_edit_start_rollout(doc, e->name, e->from, e->to,
					      e->steps, e->n_steps, err);
	if (!strcmp(e->verb, "pause"))
		return cfg_edit_set_rollout_state(doc, e->name, "paused",
						  "paused by an operator", err);
	if (!strcmp(e->verb, "resume"))
		return cfg_edit_set_rollout_state(doc, e->name, "running", "",
						  err);
	return cfg_edit_stop_rollout(doc, e->name, "stopped by an operator",
				     err);
}

static struct json_object *edit_rollout(struct json_object *doc, void *user,
					GError **err)
{
	if (!doc) {
		g_set_error(err, CFG_ERROR, CFG_ERROR_INVALID,
			    "no configuration is stored yet");
		return NULL;
	}
	if (edit_by_verb(doc, user, err))
		return doc;
	json_object_put(doc);
	return NULL;
}

/* Parses "S,S,..."; returns false if the text is malformed. */
static bool parse_steps(const char *text, struct rollout_edit *e)
{
	g_auto(GStrv) parts = g_strsplit(text, ",", CFG_MAX_STEPS + 1);

	e->n_steps = g_strv_length(parts);
	if (!e->n_steps || e->n_steps > CFG_MAX_STEPS)
		return false;
	for (size_t i = 0; i < e->n_steps; i++) {
		char *end;

		e->steps[i] = g_ascii_strtod(parts[i], &end);
		if (*end || end == parts[i])
			return false;
	}
	return true;
}

static bool is_verb(const char *verb)
{
	return !strcmp(verb, "start") || !strcmp(verb, "pause") ||
	       !strcmp(verb, "resume") || !strcmp(verb, "stop");
}

/* chivegw rollout start|pause|resume|stop NAME ... */
int cmd_rollout(int argc, char **argv)
{
	struct arg_str *verb =
		arg_str1(NULL, NULL, "start|pause|resume|stop", NULL);
	struct arg_str *name =
		arg_str1(NULL, NULL, "NAME", "name of the roll-out");
	struct arg_str *from = arg_str0(NULL, "from", "MODEL@VERSION",
					"with start: the version in use");
	struct arg_str *to = arg_str0(NULL, "to", "MODEL@VERSION",
				      "with start: the new version");
	struct arg_str *steps =
		arg_str0(NULL, "steps", "S,S,...",
			 "with start: traffic shares, increasing to 1");
	struct cli_change_args args = cli_create_change_args();
	void *table[] = {verb,	    name,	   from,      to,
			 steps,	    args.platform, args.wait, args.json,
			 args.help, args.end};
	struct rollout_edit edit = {0};
	struct cli_change change = {
		.command = "rollout",
		.edit = edit_rollout,
		.rebase = true,
		.user = &edit,
	};
	int code;

	if (!cli_parse("rollout", argc, argv, table, args.end, args.help,
		       rollout_text, &code))
		return code;
	edit.verb = verb->sval[0];
	edit.name = name->sval[0];
	edit.from = from->sval[0];
	edit.to = to->sval[0];
	if (!is_verb(edit.verb) ||
	    (!strcmp(edit.verb, "start") &&
	     (!from->count || !to->count ||
	      !parse_steps(steps->count ? steps->sval[0] : "0.01,0.05,0.25,1",
			   &edit)))) {
		fprintf(stderr, "chivegw rollout: start needs --from, --to and "
				"growing --steps; see --help\n");
		return CLI_USAGE;
	}
	return cli_run_change(&change, &args);
}
