#include <stdio.h>
#include <string.h>

#include "builtin/builtin.h"
#include "builtin/cli.h"
#include "config/sections.h"
#include "json-check.h"

static const char status_text[] =
	"Shows the stored revision and, for every node that reports, its "
	"zone,\n"
	"the revision in force, its state and the age of its last report.\n\n"
	"example: chivegw status --platform 127.0.0.1:8000\n";

/* Prints the status of a node as one line. */
static void print_row(struct json_object *o)
{
	int64_t age = g_get_real_time() / 1000 - jcheck_get_int(o, "at", 0);

	printf("%-16s %-14s %10lld  %-8s %8.1f s%s\n",
	       jcheck_get_string(o, "node", "?"),
	       jcheck_get_string(o, "zone", "?"),
	       (long long)jcheck_get_int(o, "revision", 0),
	       jcheck_get_string(o, "state", "?"), (double)age / 1000,
	       json_object_get_boolean(jcheck_get(o, "draining")) ? "  draining"
								  : "");
}

/*
 * Appends the status of each node to the array `nodes`. Returns false if the
 * nodes cannot be listed.
 */
static bool read_node_statuses(struct cli *c, struct json_object *nodes)
{
	struct json_object *names;

	if (cli_list_objects(c, "status/", &names) != STORE_OK)
		return false;
	for (size_t i = 0; i < jcheck_array_length(names); i++) {
		g_autofree char *text = NULL;
		const char *name = json_object_get_string(
			json_object_array_get_idx(names, i));
		struct json_object *o = NULL;

		if (cli_get_object(c, name, &text) == STORE_OK)
			o = json_tokener_parse(text);
		if (o)
			json_object_array_add(nodes, o);
	}
	json_object_put(names);
	return true;
}

/* Prints the stored revision and the nodes. Returns an exit code. */
static int show_status(struct cli *c, bool json)
{
	g_autofree char *text = NULL;
	struct json_object *nodes = json_object_new_array();
	struct json_object *head = NULL;
	enum store_outcome outcome =
		cli_get_object(c, CFG_SECTION_HEAD_OBJECT, &text);
	long long revision;

	if ((outcome != STORE_OK && outcome != STORE_NOT_FOUND) ||
	    !read_node_statuses(c, nodes)) {
		fprintf(stderr, "chivegw status: the object API does not "
				"answer\n");
		json_object_put(nodes);
		return CLI_UNREACHABLE;
	}
	if (outcome == STORE_OK)
		head = json_tokener_parse(text);
	revision = jcheck_get_int(head, "revision", 0);
	json_object_put(head);
	if (json) {
		printf("{\"revision\":%lld,\"nodes\":%s}\n", revision,
		       json_object_to_json_string_ext(nodes,
						      JSON_C_TO_STRING_PLAIN));
	} else {
		printf("stored revision %lld\n%-16s %-14s %10s  %-8s %s\n",
		       revision, "node", "zone", "revision", "state",
		       "last report");
		for (size_t i = 0; i < jcheck_array_length(nodes); i++)
			print_row(json_object_array_get_idx(nodes, i));
	}
	json_object_put(nodes);
	return CLI_OK;
}

/* chivegw status --platform IP:PORT [--json] */
int cmd_status(int argc, char **argv)
{
	struct arg_str *platform = arg_str0(NULL, "platform", "IP:PORT",
					    "the platform's object API");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {platform, json, help, end};
	struct cli c;
	int code;

	if (!cli_parse("status", argc, argv, table, end, help, status_text,
		       &code))
		return code;
	if (!cli_open(&c, "status", platform))
		return CLI_USAGE;
	return show_status(&c, json->count > 0);
}
