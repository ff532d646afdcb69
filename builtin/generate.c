#include <stdio.h>
#include <string.h>

#include "builtin/builtin.h"
#include "builtin/cli.h"
#include "config/config.h"
#include "config/generate.h"

static const char help_text[] =
	"Generates a configuration from a team's answers to the "
	"questionnaire.\n"
	"The output has digests in place of the organisations' keys.\n\n"
	"example: chivegw generate examples/etcheverry.jsonc -o config.json\n";

/* Writes to a file, or to standard output if path is NULL. */
static bool write_text(const char *path, const char *text, GError **err)
{
	if (path)
		return g_file_set_contents(path, text, -1, err);
	return fputs(text, stdout) >= 0;
}

/* Generates a configuration from a questionnaire. Returns an exit code. */
static int generate(const char *input, const char *output)
{
	GError *err = NULL;
	g_autofree char *text = NULL;
	struct json_object *doc = NULL;
	int code = CLI_FAILED;

	if (g_file_get_contents(input, &text, NULL, &err))
		doc = cfg_generate(input, text, &err);
	if (doc) {
		g_autofree char *json = g_strdup_printf(
			"%s\n", json_object_to_json_string_ext(
					doc, JSON_C_TO_STRING_PRETTY));

		if (write_text(output, json, &err))
			code = CLI_OK;
		json_object_put(doc);
	}
	if (code != CLI_OK)
		fprintf(stderr, "chivegw generate: %s\n",
			err ? err->message : "cannot write standard output");
	g_clear_error(&err);
	return code;
}

/* chivegw generate QUESTIONNAIRE [-o FILE] */
int cmd_generate(int argc, char **argv)
{
	struct arg_file *input =
		arg_file1(NULL, NULL, "QUESTIONNAIRE",
			  "a filled-in questionnaire, JSON with comments");
	struct arg_file *output =
		arg_file0("o", "output", "FILE",
			  "write to FILE instead of standard output");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {input, output, help, end};
	int code;

	if (!cli_parse("generate", argc, argv, table, end, help, help_text,
		       &code))
		return code;
	return generate(input->filename[0],
			output->count ? output->filename[0] : NULL);
}
