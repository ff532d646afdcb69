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
#define MAX_LOGS 1024

static const char explain_text[] =
	"Tells how a request was handled: which versions were candidates, why\n"
	"one was chosen, what was tried with what verdict, what was billed.\n"
	"Nodes keep their last 2048 requests.\n"
	"Of a roll-out, tells the evidence by which it grew or was stopped.\n"
	"With --log, tells the same from the nodes' log lines alone, in the\n"
	"order of time, with what the nodes then knew of servers, store and\n"
	"configuration; '-' is standard input. A roll-out on configured "
	"routes\n"
	"has the name of its service.\n\n"
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

static int explain(struct cli *c, const char *id, const char **nodes, int n,
		   const char *key, bool json)
{
	g_autofree char *path = g_strdup_printf("/explain/%s", id);
	bool reached = false;

	for (int i = 0; i < n; i++) {
		struct cli_response a;
		struct json_object *o;

		if (!cli_get(c, nodes[i], path, key, &a))
			continue;
		reached = true;
		if (a.status == 401) {
			fprintf(stderr, "chivegw explain: %s refuses the key\n",
				nodes[i]);
			return CLI_FAILED;
		}
		if (a.status != 200)
			continue;
		o = json_tokener_parse(a.body->str);
		if (json)
			printf("%s\n", a.body->str);
		else
			print_explanation(o);
		json_object_put(o);
		return CLI_OK;
	}
	fprintf(stderr, "chivegw explain: %s\n",
		reached ? "no asked node keeps this request; it may be too "
			  "long ago, or on another node"
			: "no node answered");
	return reached ? CLI_FAILED : CLI_UNREACHABLE;
}

/* Reads the roll-out's section through the head; NULL if there is none. */
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

static void print_respect(const struct rollout_evidence *e,
			  enum rollout_metric r, const struct rollout_params *p)
{
	uint64_t n = 0, bad = 0;
	GHashTableIter it;
	void *counts;

	g_hash_table_iter_init(&it, e->included_to);
	while (g_hash_table_iter_next(&it, NULL, &counts)) {
		n += ((struct rollout_counts *)counts)->n[r];
		bad += ((struct rollout_counts *)counts)->bad[r];
	}
	printf("%-8s new: %llu bad of %llu, old: %llu bad of %llu, "
	       "for stopping %.2f of %.2f, for growing %.2f of %.2f\n",
	       rollout_metric_name(r), (unsigned long long)bad,
	       (unsigned long long)n, (unsigned long long)e->from.bad[r],
	       (unsigned long long)e->from.n[r], e->test.stop[r],
	       p->stop_threshold, -e->test.grow[r], p->advance_threshold);
}

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
	for (int r = 0; e && r < ROLLOUT_METRIC_COUNT; r++)
		print_respect(e, (enum rollout_metric)r, &params);
	evidence_free(e);
	json_object_put(row);
	return CLI_OK;
}

static bool read_log(struct xlg *x, const char *path)
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
		xlg_add_line(x, line);
	ok = !ferror(file);
	if (!ok)
		fprintf(stderr, "chivegw explain: cannot read %s: %s\n", path,
			g_strerror(errno));
	free(line);
	if (file != stdin)
		(void)fclose(file);
	return ok;
}

static int explain_logs(enum xlg_topic topic, const char *name,
			const char **paths, int n)
{
	struct xlg *x = xlg_new(topic, name);
	g_autoptr(GString) out = g_string_new(NULL);
	int code = CLI_OK;

	for (int i = 0; i < n && code == CLI_OK; i++)
		if (!read_log(x, paths[i]))
			code = CLI_USAGE;
	if (code == CLI_OK && !xlg_tell(x, out)) {
		fprintf(stderr,
			"chivegw explain: no line of these logs tells of "
			"'%s'\n",
			name);
		code = CLI_FAILED;
	}
	if (code == CLI_OK)
		fputs(out->str, stdout);
	xlg_free(x);
	return code;
}

/* chivegw explain REQUEST-ID --node IP:PORT ...; explain rollout NAME; both --log */
int cmd_explain(int argc, char **argv)
{
	struct arg_str *what = arg_strn(NULL, NULL, "REQUEST-ID|rollout NAME",
					1, 2, "what to explain");
	struct arg_str *node = arg_strn(NULL, "node", "IP:PORT", 0, MAX_NODES,
					"operators' address of a node");
	struct arg_str *platform = arg_str0(NULL, "platform", "IP:PORT",
					    "with rollout: the object API");
	struct arg_file *log = arg_filen(NULL, "log", "FILE", 0, MAX_LOGS,
					 "log of a node, or of many; '-'");
	struct arg_file *key = arg_file0(NULL, "key-file", "FILE",
					 "operators' key; or "
					 "CHIVEGW_OPERATOR_KEY");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {what, node, platform, log, key, json, help, end};
	g_autofree char *held = NULL;
	const char *secret;
	struct cli c;
	int code;

	if (!cli_parse("explain", argc, argv, table, end, help, explain_text,
		       &code))
		return code;
	if (what->count == 2) {
		if (strcmp(what->sval[0], "rollout") != 0) {
			fprintf(stderr, "chivegw explain: give one request, or "
					"rollout NAME\n");
			return CLI_USAGE;
		}
		if (log->count)
			return explain_logs(XLG_ROLLOUT, what->sval[1],
					    log->filename, log->count);
		if (!cli_open(&c, "explain", platform))
			return CLI_USAGE;
		return explain_rollout(&c, what->sval[1]);
	}
	if (log->count)
		return explain_logs(XLG_REQUEST, what->sval[0], log->filename,
				    log->count);
	secret = cli_operator_key(key, &held);
	if (!secret || !node->count) {
		fprintf(stderr,
			"chivegw explain: give --node IP:PORT, and --key-file "
			"FILE or set %s\n",
			CLI_KEY_ENV);
		return CLI_USAGE;
	}
	if (!cli_open(&c, "explain", NULL))
		return CLI_USAGE;
	return explain(&c, what->sval[0], node->sval, node->count, secret,
		       json->count > 0);
}
