#include "builtin/cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "builtin/builtin.h"
#include "config/change-task.h"
#include "json-check.h"
#include "log-event.h"

#define CALL_MS 5000
#define STORE_MS 2000
#define POLL_MS 100
#define LIVE_MS 15000

/*
 * Parses arguments. Returns false if the command ends here, with its exit
 * code: after --help or after errors.
 */
bool cli_parse(const char *command, int argc, char **argv, void **table,
	       struct arg_end *end, struct arg_lit *help, const char *text,
	       int *exit_code)
{
	int errors = arg_parse(argc, argv, table);

	if (help->count) {
		printf("usage: chivegw %s", command);
		arg_print_syntax(stdout, table, "\n\n");
		printf("%s\n", text);
		arg_print_glossary(stdout, table, "  %-26s %s\n");
		*exit_code = CLI_OK;
		return false;
	}
	if (errors) {
		arg_print_errors(stderr, end, "chivegw");
		fprintf(stderr, "chivegw: see chivegw %s --help\n", command);
		*exit_code = CLI_USAGE;
		return false;
	}
	return true;
}

/*
 * Prepares for calls. The platform's address comes from the argument or the
 * environment; NULL if the command needs none.
 */
bool cli_open(struct cli *c, const char *command, struct arg_str *platform)
{
	const char *address = NULL;

	log_event_setup("chivegw");
	memset(c, 0, sizeof(*c));
	c->loop = uv_default_loop();
	c->http = http_client_new(c->loop);
	if (!platform)
		return true;
	address =
		platform->count ? platform->sval[0] : getenv(CLI_PLATFORM_ENV);
	if (!address) {
		fprintf(stderr,
			"chivegw %s: give --platform IP:PORT or set %s\n",
			command, CLI_PLATFORM_ENV);
		return false;
	}
	c->store = store_new(c->http, address, STORE_MS, &c->counter_set);
	return true;
}

struct pending {
	struct cli_answer *answer;
	bool done;
};

static void on_head(void *user, const struct http_client_head *head)
{
	((struct pending *)user)->answer->status = head->status;
}

static void on_data(void *user, const char *data, size_t len)
{
	g_string_append_len(((struct pending *)user)->answer->body, data,
			    (gssize)len);
}

static void on_done(void *user, enum http_client_outcome end)
{
	struct pending *p = user;

	p->answer->end = end;
	p->done = true;
}

/* Makes a GET call and waits for its answer; false if there was none. */
bool cli_get(struct cli *c, const char *address, const char *path,
	     const char *key, struct cli_answer *answer)
{
	const struct http_client_callbacks events = {on_head, on_data, on_done};
	g_autofree char *headers =
		g_strdup_printf("authorization: Bearer %s\r\n", key);
	struct pending p = {.answer = answer};
	struct http_client_request req = {
		.address = address,
		.method = "GET",
		.path = path,
		.headers = headers,
		.connect_ms = CALL_MS,
		.progress_ms = CALL_MS,
		.total_ms = CALL_MS,
		.fresh = true,
	};

	answer->status = 0;
	answer->body = g_string_new(NULL);
	http_client_start(c->http, &req, &events, &p);
	while (!p.done)
		uv_run(c->loop, UV_RUN_ONCE);
	return answer->end == HTTP_CLIENT_COMPLETE;
}

/* Returns the operators' key, from a file or the environment; NULL if none. */
const char *cli_key(struct arg_file *file, char **held)
{
	if (!file->count)
		return getenv(CLI_KEY_ENV);
	if (!g_file_get_contents(file->filename[0], held, NULL, NULL))
		return NULL;
	return g_strstrip(*held);
}

struct object {
	enum store_outcome outcome;
	char *text;
	bool done;
};

static void on_object(void *user, const struct store_result *r)
{
	struct object *o = user;

	o->outcome = r->outcome;
	o->text = g_strndup(r->body, r->len);
	o->done = true;
}

/* Reads an object; its text is newly allocated. */
enum store_outcome cli_object(struct cli *c, const char *name, char **text)
{
	struct object o = {.outcome = STORE_OUTCOME_UNKNOWN};

	store_get(c->store, name, on_object, &o);
	while (!o.done)
		uv_run(c->loop, UV_RUN_ONCE);
	*text = o.text;
	return o.outcome;
}

/* Lists the objects under a prefix; the array is newly allocated. */
enum store_outcome cli_list(struct cli *c, const char *prefix,
			    struct json_object **names)
{
	struct object o = {.outcome = STORE_OUTCOME_UNKNOWN};

	*names = NULL;
	store_list_names(c->store, prefix, on_object, &o);
	while (!o.done)
		uv_run(c->loop, UV_RUN_ONCE);
	if (o.outcome == STORE_OK)
		*names = json_tokener_parse(o.text);
	g_free(o.text);
	return o.outcome;
}

/* Writes an id that no other change has. */
void cli_operation_id(char *out, size_t size)
{
	uint64_t r[2] = {0};

	if (getrandom(r, sizeof(r), 0) != sizeof(r))
		g_error("no random numbers");
	snprintf(out, size, "%016llx%016llx", (unsigned long long)r[0],
		 (unsigned long long)r[1]);
}

struct outcome {
	bool done;
	uint64_t revision;
	GError *err;
};

static void on_changed(void *user, uint64_t revision, const GError *err)
{
	struct outcome *o = user;

	o->done = true;
	o->revision = revision;
	o->err = err ? g_error_copy(err) : NULL;
}

/* The edit gets the command's own data, `done` the outcome. */
struct both {
	struct cli_change *change;
	struct outcome outcome;
};

static struct json_object *run_edit(struct json_object *doc, void *user,
				    GError **err)
{
	struct both *b = user;

	return b->change->edit(doc, b->change->user, err);
}

static void run_done(void *user, uint64_t revision, const GError *err)
{
	on_changed(&((struct both *)user)->outcome, revision, err);
}

static int exit_code_of(const GError *err)
{
	if (g_error_matches(err, CFG_CHANGE_ERROR,
			    CFG_CHANGE_ERROR_NOT_APPLIED))
		return CLI_UNREACHABLE;
	if (g_error_matches(err, CFG_CHANGE_ERROR,
			    CFG_CHANGE_ERROR_OUTCOME_UNKNOWN))
		return CLI_UNCLEAR;
	if (g_error_matches(err, CFG_CHANGE_ERROR, CFG_CHANGE_ERROR_CONFLICT))
		return CLI_RACE;
	return CLI_FAILED;
}

/* Makes a change and waits until it is accepted or has failed. */
static int make_change(struct cli *c, struct cli_change *change)
{
	struct both both = {.change = change};
	char operation[33];
	struct cfg_change_request req = {
		.store = c->store,
		.loop = c->loop,
		.operation = operation,
		.edit = run_edit,
		.rebase = change->rebase,
		.user = &both,
		.done = run_done,
	};
	int code;

	cli_operation_id(operation, sizeof(operation));
	cfg_change_start(&req);
	while (!both.outcome.done)
		uv_run(c->loop, UV_RUN_ONCE);
	if (!both.outcome.err) {
		change->revision = both.outcome.revision;
		return CLI_OK;
	}
	fprintf(stderr, "chivegw %s: %s\n", change->command,
		both.outcome.err->message);
	code = exit_code_of(both.outcome.err);
	g_clear_error(&both.outcome.err);
	return code;
}

/* Counts the nodes that report, and those of them with the revision. */
static bool count_nodes(struct cli *c, uint64_t revision,
			unsigned int *in_force, unsigned int *all)
{
	struct json_object *names;
	int64_t now = g_get_real_time() / 1000;

	*in_force = 0;
	*all = 0;
	if (cli_list(c, "status/", &names) != STORE_OK)
		return false;
	for (size_t i = 0; i < jcheck_array_length(names); i++) {
		g_autofree char *text = NULL;
		struct json_object *o = NULL;

		if (cli_object(c,
			       json_object_get_string(
				       json_object_array_get_idx(names, i)),
			       &text) == STORE_OK)
			o = json_tokener_parse(text);
		if (o && now - jcheck_get_int(o, "at", 0) < LIVE_MS &&
		    !json_object_get_boolean(jcheck_get(o, "draining"))) {
			*all += 1;
			*in_force += (uint64_t)jcheck_get_int(o, "revision",
							      0) >= revision;
		}
		json_object_put(o);
	}
	json_object_put(names);
	return true;
}

/*
 * Waits until a revision is in force on all nodes that report, and shows the
 * progress on standard error.
 */
static int wait_in_force(struct cli *c, uint64_t revision, unsigned int limit_s,
			 bool json)
{
	gint64 until = g_get_monotonic_time() + (gint64)limit_s * 1000000;
	unsigned int in_force = 0, all = 0, shown = UINT32_MAX;
	bool done = false;

	while (!done && g_get_monotonic_time() < until) {
		if (count_nodes(c, revision, &in_force, &all) &&
		    shown != in_force) {
			shown = in_force;
			fprintf(stderr, "in force on %u of %u nodes\n",
				in_force, all);
		}
		done = all && in_force == all;
		if (!done)
			g_usleep(POLL_MS * 1000);
	}
	if (json)
		printf("{\"revision\":%llu,\"in_force\":%u,\"nodes\":%u}\n",
		       (unsigned long long)revision, in_force, all);
	return done ? CLI_OK : CLI_PARTIAL;
}

/* Returns the arguments that commands of changes share. */
struct cli_change_args cli_change_args(void)
{
	struct cli_change_args a = {
		.platform = arg_str0(NULL, "platform", "IP:PORT",
				     "the platform's object API"),
		.wait = arg_int0(NULL, "wait", "SECONDS",
				 "wait until in force on all nodes"),
		.json = arg_lit0(NULL, "json", "print JSON"),
		.help = arg_lit0("h", "help", "print this help"),
		.end = arg_end(8),
	};

	return a;
}

/*
 * Makes a change, says under which revision it was accepted and, if asked to,
 * waits until it is in force. Returns an exit code.
 */
int cli_run_change(struct cli_change *change,
		   const struct cli_change_args *args)
{
	unsigned long long revision;
	struct cli c;
	int code;

	if (!cli_open(&c, change->command, args->platform))
		return CLI_USAGE;
	code = make_change(&c, change);
	if (code)
		return code;
	revision = change->revision;
	if (args->wait->count) {
		fprintf(stderr, "accepted as revision %llu\n", revision);
		return wait_in_force(&c, change->revision,
				     (unsigned int)args->wait->ival[0],
				     args->json->count > 0);
	}
	if (args->json->count)
		printf("{\"revision\":%llu}\n", revision);
	else
		printf("accepted as revision %llu\n", revision);
	return CLI_OK;
}
