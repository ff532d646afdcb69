#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "builtin/builtin.h"
#include "builtin/cli.h"
#include "builtin/explain-log.h"
#include "config/sections.h"
#include "json-check.h"
#include "rollout/evidence.h"

#define MAX_NODES 64
#define MAX_LOG_FILES 1024

static const char explain_text[] =
	"Explains how a request was handled: the candidate versions, why one\n"
	"was chosen, each attempt with its verdict, and what was billed. A "
	"node\n"
	"keeps its last 2048 requests.\n"
	"Of a roll-out, shows the evidence on which it advanced or was "
	"stopped.\n"
	"With --log, builds a timeline from the nodes' log lines alone, with\n"
	"the state of servers, store and configuration that the nodes logged\n"
	"before; '-' is standard input. A roll-out on configured routes has "
	"the\n"
	"name of its service.\n\n"
	"example: chivegw explain 4f..0a --node 127.0.0.1:8201 "
	"--key-file operator.key\n"
	"         chivegw explain rollout quill-4 --platform 127.0.0.1:8000\n"
	"         chivegw explain 4f..0a --log a.log --log b.log\n";

static void print_explanation(struct json_object *o)
{
	struct json_object *hops = jcheck_get(o, "hops");

	json_object_object_foreach (o, key, val) {
		if (val != hops)
			printf("%-16s %s\n", key, json_object_get_string(val));
	}
	for (size_t i = 0; i < jcheck_array_length(hops); i++) {
		struct json_object *h = json_object_array_get_idx(hops, i);

		printf("  hop %-8s +%.1f ms, %.1f ms  %s\n",
		       jcheck_get_string(h, "hop", "?"),
		       jcheck_get_real(h, "after_us", 0) / 1000,
		       jcheck_get_real(h, "took_us", 0) / 1000,
		       jcheck_get_string(h, "detail", ""));
	}
}

/*
 * Asks the nodes in turn and prints the explanation of the first that has the
 * request. Returns an exit code.
 */
static int explain_request(struct cli *c, const char *id, const char **nodes,
			   int n_nodes, const char *key, bool json)
{
	g_autofree char *path = g_strdup_printf("/explain/%s", id);
	bool reached = false;

	for (int i = 0; i < n_nodes; i++) {
		struct cli_response response;
		struct json_object *o;

		if (!cli_get(c, nodes[i], path, key, &response))
			continue;
		reached = true;
		if (response.status == 401) {
			fprintf(stderr,
				"chivegw explain: %s rejected the key\n",
				nodes[i]);
			return CLI_FAILED;
		}
		if (response.status != 200)
			continue;
		o = json_tokener_parse(response.body->str);
		if (json)
			printf("%s\n", response.body->str);
		else
			print_explanation(o);
		json_object_put(o);
		return CLI_OK;
	}
	fprintf(stderr, "chivegw explain: %s\n",
		reached ? "none of the given nodes has this request; it may be "
			  "too old, or another node handled it"
			: "no node answered");
	return reached ? CLI_FAILED : CLI_UNREACHABLE;
}

/*
 * Reads the section of a roll-out from the stored configuration: looks up its
 * digest in the head, then reads the object of that digest. Returns NULL if
 * there is no such roll-out or a read fails.
 */
static struct json_object *read_rollout(struct cli *c, const char *name)
{
	g_autofree char *section = g_strdup_printf("rollout/%s", name);
	g_autofree char *head_text = NULL;
	g_autofree char *object = NULL;
	g_autofree char *text = NULL;
	struct json_object *head, *row = NULL;
	const char *digest;

	if (cli_get_object(c, CFG_SECTION_HEAD_OBJECT, &head_text) != STORE_OK)
		return NULL;
	head = json_tokener_parse(head_text);
	digest = jcheck_get_string(jcheck_get(head, "sections"), section, NULL);
	if (digest) {
		object = cfg_section_object_name(digest);
		if (cli_get_object(c, object, &text) == STORE_OK)
			row = json_tokener_parse(text);
	}
	json_object_put(head);
	return row;
}

/*
 * Prints the counts of one metric, of the new version on all nodes and of the
 * old one, and how close the test is to its two thresholds.
 */
static void print_metric(const struct rollout_evidence *e,
			 enum rollout_metric metric,
			 const struct rollout_params *p)
{
	uint64_t n = 0, bad = 0;
	GHashTableIter it;
	void *counts;

	g_hash_table_iter_init(&it, e->included_to);
	while (g_hash_table_iter_next(&it, NULL, &counts)) {
		n += ((struct rollout_counts *)counts)->n[metric];
		bad += ((struct rollout_counts *)counts)->bad[metric];
	}
	printf("%-8s new: %llu bad of %llu, old: %llu bad of %llu, "
	       "stop score %.2f of %.2f, advance score %.2f of %.2f\n",
	       rollout_metric_name(metric), (unsigned long long)bad,
	       (unsigned long long)n, (unsigned long long)e->from.bad[metric],
	       (unsigned long long)e->from.n[metric], e->test.stop[metric],
	       p->stop_threshold, -e->test.grow[metric], p->advance_threshold);
}

/* Prints the state and the evidence of a roll-out. Returns an exit code. */
static int explain_rollout(struct cli *c, const char *name)
{
	g_autofree char *object = g_strdup_printf("evidence/%s", name);
	g_autofree char *text = NULL;
	struct rollout_params params = rollout_default_params();
	struct json_object *row = read_rollout(c, name);
	struct rollout_evidence *e = NULL;

	if (!row) {
		fprintf(stderr, "chivegw explain: no roll-out '%s' is stored\n",
			name);
		return CLI_FAILED;
	}
	printf("%s from %s to %s: %s, step %lld%s%s\n", name,
	       jcheck_get_string(row, "from", "?"),
	       jcheck_get_string(row, "to", "?"),
	       jcheck_get_string(row, "state", "?"),
	       (long long)jcheck_get_int(row, "step", 0),
	       *jcheck_get_string(row, "reason", "") ? ": " : "",
	       jcheck_get_string(row, "reason", ""));
	if (cli_get_object(c, object, &text) == STORE_OK)
		e = evidence_parse(text, strlen(text));
	if (!e)
		printf("no evidence yet\n");
	for (int m = 0; e && m < ROLLOUT_METRIC_COUNT; m++)
		print_metric(e, (enum rollout_metric)m, &params);
	evidence_free(e);
	json_object_put(row);
	return CLI_OK;
}

/*
 * Adds the lines of a log file, or of standard input for "-". Returns false,
 * after an error message, if it cannot be read.
 */
static bool read_log(struct explain_log *x, const char *path)
{
	FILE *file = strcmp(path, "-") ? fopen(path, "r") : stdin;
	char *line = NULL;
	size_t size = 0;
	bool ok;

	if (!file) {
		fprintf(stderr, "chivegw explain: cannot open %s: %s\n", path,
			g_strerror(errno));
		return false;
	}
	while (getline(&line, &size, file) >= 0)
		explain_log_add_line(x, line);
	ok = !ferror(file);
	if (!ok)
		fprintf(stderr, "chivegw explain: cannot read %s: %s\n", path,
			g_strerror(errno));
	free(line);
	if (file != stdin)
		(void)fclose(file);
	return ok;
}

/*
 * Prints the timeline of a request or a roll-out from log files. Returns an
 * exit code.
 */
static int explain_logs(enum explain_log_subject subject, const char *name,
			const char **paths, int n_paths)
{
	struct explain_log *x = explain_log_new(subject, name);
	g_autoptr(GString) out = g_string_new(NULL);
	int code = CLI_OK;

	for (int i = 0; i < n_paths && code == CLI_OK; i++)
		if (!read_log(x, paths[i]))
			code = CLI_USAGE;
	if (code == CLI_OK && !explain_log_format(x, out)) {
		fprintf(stderr, "chivegw explain: no log line names '%s'\n",
			name);
		code = CLI_FAILED;
	}
	if (code == CLI_OK)
		fputs(out->str, stdout);
	explain_log_free(x);
	return code;
}

/*
 * chivegw explain REQUEST-ID --node IP:PORT... --key-file FILE
 * chivegw explain rollout NAME --platform IP:PORT
 * chivegw explain (REQUEST-ID | rollout NAME) --log FILE...
 */
int cmd_explain(int argc, char **argv)
{
	struct arg_str *what = arg_strn(NULL, NULL, "REQUEST-ID|rollout NAME",
					1, 2, "what to explain");
	struct arg_str *node = arg_strn(NULL, "node", "IP:PORT", 0, MAX_NODES,
					"operator address of a node");
	struct arg_str *platform = arg_str0(NULL, "platform", "IP:PORT",
					    "with rollout: the object API");
	struct arg_file *log = arg_filen(NULL, "log", "FILE", 0, MAX_LOG_FILES,
					 "log of one or more nodes; '-'");
	struct arg_file *key_file = arg_file0(NULL, "key-file", "FILE",
					      "operator key; default: "
					      "CHIVEGW_OPERATOR_KEY");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {what, node, platform, log, key_file, json, help, end};
	g_autofree char *key_buffer = NULL;
	const char *operator_key;
	struct cli c;
	int code;

	if (!cli_parse("explain", argc, argv, table, end, help, explain_text,
		       &code))
		return code;
	if (what->count == 2) {
		if (strcmp(what->sval[0], "rollout") != 0) {
			fprintf(stderr, "chivegw explain: takes REQUEST-ID, "
					"or rollout NAME\n");
			return CLI_USAGE;
		}
		if (log->count)
			return explain_logs(EXPLAIN_LOG_ROLLOUT, what->sval[1],
					    log->filename, log->count);
		if (!cli_open(&c, "explain", platform))
			return CLI_USAGE;
		return explain_rollout(&c, what->sval[1]);
	}
	if (log->count)
		return explain_logs(EXPLAIN_LOG_REQUEST, what->sval[0],
				    log->filename, log->count);
	operator_key = cli_operator_key(key_file, &key_buffer);
	if (!operator_key || !node->count) {
		fprintf(stderr,
			"chivegw explain: --node IP:PORT is required, and "
			"--key-file FILE or %s\n",
			CLI_KEY_ENV);
		return CLI_USAGE;
	}
	if (!cli_open(&c, "explain", NULL))
		return CLI_USAGE;
	return explain_request(&c, what->sval[0], node->sval, node->count,
			       operator_key, json->count > 0);
}
