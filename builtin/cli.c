#include "builtin/cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "builtin/builtin.h"
#include "config/change-task.h"
#include "json-check.h"
#include "log-event.h"

#define CALL_TIMEOUT_MS 5000
#define STORE_TIMEOUT_MS 2000
#define STATUS_POLL_MS 100
#define STATUS_MAX_AGE_MS 15000 /* a node with an older status is down */
#define OPERATION_ID_BYTES 33 /* 32 hexadecimal digits and a NUL */

/*
 * Parses the arguments of `command` into `table`. Returns false if the command
 * ends here, with the code in *exit_code: after printing help for --help, or
 * after printing the errors to standard error. `text` is the description that
 * --help prints.
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
 * Sets up logging, the event loop and the clients. The platform's address comes
 * from the option `platform` or from CLI_PLATFORM_ENV; a command that needs no
 * platform passes NULL. Returns false, after an error message, if the address
 * is missing.
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
			"chivegw %s: --platform IP:PORT or %s is required\n",
			command, CLI_PLATFORM_ENV);
		return false;
	}
	c->store =
		store_new(c->http, address, STORE_TIMEOUT_MS, &c->counter_set);
	return true;
}

/* State of a blocking HTTP call. */
struct pending_call {
	struct cli_response *response;
	bool done;
};

static void on_head(void *user, const struct http_client_head *head)
{
	((struct pending_call *)user)->response->status = head->status;
}

static void on_data(void *user, const char *data, size_t len)
{
	g_string_append_len(((struct pending_call *)user)->response->body, data,
			    (gssize)len);
}

static void on_done(void *user, enum http_client_outcome outcome)
{
	struct pending_call *p = user;

	p->response->outcome = outcome;
	p->done = true;
}

/*
 * Sends a GET request with the bearer key and blocks until it ends. Returns
 * whether a complete response arrived, with any status. The caller frees
 * response->body in either case.
 */
bool cli_get(struct cli *c, const char *address, const char *path,
	     const char *key, struct cli_response *response)
{
	const struct http_client_callbacks events = {on_head, on_data, on_done};
	g_autofree char *headers =
		g_strdup_printf("authorization: Bearer %s\r\n", key);
	struct pending_call p = {.response = response};
	struct http_client_request req = {
		.address = address,
		.method = "GET",
		.path = path,
		.headers = headers,
		.connect_ms = CALL_TIMEOUT_MS,
		.progress_ms = CALL_TIMEOUT_MS,
		.total_ms = CALL_TIMEOUT_MS,
		.new_connection = true,
	};

	response->status = 0;
	response->body = g_string_new(NULL);
	http_client_start(c->http, &req, &events, &p);
	while (!p.done)
		uv_run(c->loop, UV_RUN_ONCE);
	return response->outcome == HTTP_CLIENT_COMPLETE;
}

/*
 * Returns the operators' key from the given file, or from CLI_KEY_ENV if no
 * file is given. NULL if the variable is unset or the file cannot be read. A
 * key from a file points into *buffer, which the caller frees.
 */
const char *cli_operator_key(struct arg_file *file, char **buffer)
{
	if (!file->count)
		return getenv(CLI_KEY_ENV);
	if (!g_file_get_contents(file->filename[0], buffer, NULL, NULL))
		return NULL;
	return g_strstrip(*buffer);
}

/* State of a blocking read from the object API. */
struct pending_read {
	enum store_outcome outcome;
	char *text;
	bool done;
};

static void on_store_result(void *user, const struct store_result *r)
{
	struct pending_read *o = user;

	o->outcome = r->outcome;
	o->text = g_strndup(r->body, r->len);
	o->done = true;
}

/*
 * Reads an object and blocks until the read ends. Sets *text to a copy of the
 * response body, which the caller frees; NULL if there is none.
 */
enum store_outcome cli_get_object(struct cli *c, const char *name, char **text)
{
	struct pending_read o = {.outcome = STORE_OUTCOME_UNKNOWN};

	store_get(c->store, name, on_store_result, &o);
	while (!o.done)
		uv_run(c->loop, UV_RUN_ONCE);
	*text = o.text;
	return o.outcome;
}

/*
 * Lists the names of the objects under a prefix and blocks until the call
 * ends. On STORE_OK, sets *names to a new JSON array of strings; otherwise to
 * NULL.
 */
enum store_outcome cli_list_objects(struct cli *c, const char *prefix,
				    struct json_object **names)
{
	struct pending_read o = {.outcome = STORE_OUTCOME_UNKNOWN};

	*names = NULL;
	store_list_names(c->store, prefix, on_store_result, &o);
	while (!o.done)
		uv_run(c->loop, UV_RUN_ONCE);
	if (o.outcome == STORE_OK)
		*names = json_tokener_parse(o.text);
	g_free(o.text);
	return o.outcome;
}

/* Writes a random 128-bit operation id, as 32 hexadecimal digits. */
void cli_generate_operation_id(char *out, size_t size)
{
	uint64_t r[2] = {0};

	if (getrandom(r, sizeof(r), 0) != sizeof(r))
		g_error("cannot read random bytes");
	snprintf(out, size, "%016llx%016llx", (unsigned long long)r[0],
		 (unsigned long long)r[1]);
}

/* State of a change of the configuration. */
struct change_outcome {
	bool done;
	uint64_t revision;
	GError *err;
};

static void on_changed(void *user, uint64_t revision, const GError *err)
{
	struct change_outcome *o = user;

	o->done = true;
	o->revision = revision;
	o->err = err ? g_error_copy(err) : NULL;
}

/* Passed to both callbacks of a change: run_edit() and run_done(). */
struct running_change {
	struct cli_change *change;
	struct change_outcome outcome;
};

static struct json_object *run_edit(struct json_object *doc, void *user,
				    GError **err)
{
	struct running_change *r = user;

	return r->change->edit(doc, r->change->user, err);
}

static void run_done(void *user, uint64_t revision, const GError *err)
{
	on_changed(&((struct running_change *)user)->outcome, revision, err);
}

/* Returns the exit code that matches the error of a change. */
static int exit_code_for_error(const GError *err)
{
	if (g_error_matches(err, CFG_CHANGE_ERROR,
			    CFG_CHANGE_ERROR_NOT_APPLIED))
		return CLI_UNREACHABLE;
	if (g_error_matches(err, CFG_CHANGE_ERROR,
			    CFG_CHANGE_ERROR_OUTCOME_UNKNOWN))
		return CLI_OUTCOME_UNKNOWN;
	if (g_error_matches(err, CFG_CHANGE_ERROR, CFG_CHANGE_ERROR_CONFLICT))
		return CLI_CONFLICT;
	return CLI_FAILED;
}

/*
 * Runs a change and blocks until it is accepted or has failed. Returns an exit
 * code; prints the error, or sets change->revision on success.
 */
static int run_change(struct cli *c, struct cli_change *change)
{
	struct running_change running_change = {.change = change};
	char operation[OPERATION_ID_BYTES];
	struct cfg_change_request req = {
		.store = c->store,
		.loop = c->loop,
		.operation = operation,
		.edit = run_edit,
		.rebase = change->rebase,
		.user = &running_change,
		.done = run_done,
	};
	int code;

	cli_generate_operation_id(operation, sizeof(operation));
	cfg_change_start(&req);
	while (!running_change.outcome.done)
		uv_run(c->loop, UV_RUN_ONCE);
	if (!running_change.outcome.err) {
		change->revision = running_change.outcome.revision;
		return CLI_OK;
	}
	fprintf(stderr, "chivegw %s: %s\n", change->command,
		running_change.outcome.err->message);
	code = exit_code_for_error(running_change.outcome.err);
	g_clear_error(&running_change.outcome.err);
	return code;
}

/*
 * Counts the nodes that report and are not draining, and those of them that
 * have the revision or a later one in force. Returns false if the list of
 * nodes cannot be read.
 */
static bool count_nodes(struct cli *c, uint64_t revision,
			unsigned int *in_force, unsigned int *reporting)
{
	struct json_object *names;
	int64_t now = g_get_real_time() / 1000;

	*in_force = 0;
	*reporting = 0;
	if (cli_list_objects(c, "status/", &names) != STORE_OK)
		return false;
	for (size_t i = 0; i < jcheck_array_length(names); i++) {
		g_autofree char *text = NULL;
		struct json_object *o = NULL;

		if (cli_get_object(c,
				   json_object_get_string(
					   json_object_array_get_idx(names, i)),
				   &text) == STORE_OK)
			o = json_tokener_parse(text);
		if (o && now - jcheck_get_int(o, "at", 0) < STATUS_MAX_AGE_MS &&
		    !json_object_get_boolean(jcheck_get(o, "draining"))) {
			*reporting += 1;
			*in_force += (uint64_t)jcheck_get_int(o, "revision",
							      0) >= revision;
		}
		json_object_put(o);
	}
	json_object_put(names);
	return true;
}

/*
 * Waits until a revision is in force on all reporting nodes, for at most
 * timeout_s, and prints the progress to standard error. Returns CLI_OK, or
 * CLI_NOT_IN_FORCE after the time limit.
 */
static int wait_in_force(struct cli *c, uint64_t revision,
			 unsigned int timeout_s, bool json)
{
	gint64 deadline_us =
		g_get_monotonic_time() + (gint64)timeout_s * 1000000;
	unsigned int in_force = 0, reporting = 0, last_printed = UINT32_MAX;
	bool done = false;

	while (!done && g_get_monotonic_time() < deadline_us) {
		if (count_nodes(c, revision, &in_force, &reporting) &&
		    last_printed != in_force) {
			last_printed = in_force;
			fprintf(stderr, "in force on %u of %u nodes\n",
				in_force, reporting);
		}
		done = reporting && in_force == reporting;
		if (!done)
			g_usleep(STATUS_POLL_MS * 1000);
	}
	if (json)
		printf("{\"revision\":%llu,\"in_force\":%u,\"nodes\":%u}\n",
		       (unsigned long long)revision, in_force, reporting);
	return done ? CLI_OK : CLI_NOT_IN_FORCE;
}

/* Creates the options shared by the commands that change the configuration. */
struct cli_change_args cli_create_change_args(void)
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
 * Runs a change, prints the revision under which it was accepted and, with
 * --wait, waits until that revision is in force. Returns an exit code.
 */
int cli_run_change(struct cli_change *change,
		   const struct cli_change_args *args)
{
	unsigned long long revision;
	struct cli c;
	int code;

	if (!cli_open(&c, change->command, args->platform))
		return CLI_USAGE;
	code = run_change(&c, change);
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
