#ifndef BUILTIN_CLI_H
#define BUILTIN_CLI_H

#include <argtable2.h>
#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <uv.h>

#include "http/client.h"
#include "store/store-task.h"

/*
 * Shared by the subcommands: argument parsing, blocking HTTP calls and access
 * to the platform's object API.
 */

/* Environment variables used when the matching option is absent. */
#define CLI_PLATFORM_ENV "CHIVEGW_PLATFORM"
#define CLI_KEY_ENV "CHIVEGW_OPERATOR_KEY"

/* Event loop and clients of one run of a subcommand. */
struct cli {
	uv_loop_t *loop;
	struct http_client *http;
	struct counter_set counter_set;
	struct store_client *store; /* NULL if the command needs no platform */
};

/* Result of a blocking HTTP call. */
struct cli_response {
	enum http_client_outcome outcome;
	int status; /* HTTP status; 0 if no head arrived */
	GString *body;
};

bool cli_parse(const char *command, int argc, char **argv, void **table,
	       struct arg_end *end, struct arg_lit *help, const char *text,
	       int *exit_code);
bool cli_open(struct cli *c, const char *command, struct arg_str *platform);
bool cli_get(struct cli *c, const char *address, const char *path,
	     const char *key, struct cli_response *response);
const char *cli_operator_key(struct arg_file *file, char **buffer);
enum store_outcome cli_get_object(struct cli *c, const char *name, char **text);
enum store_outcome cli_list_objects(struct cli *c, const char *prefix,
				    struct json_object **names);
void cli_generate_operation_id(char *out, size_t size);

/*
 * A change of the stored configuration. `edit` and `rebase` are as in struct
 * cfg_change_request; `user` is passed to `edit`.
 */
struct cli_change {
	const char *command; /* name of the subcommand, for messages */
	struct json_object *(*edit)(struct json_object *doc, void *user,
				    GError **err);
	void *user;
	bool rebase;
	uint64_t revision; /* out: the revision that was accepted */
};

/* Options shared by the subcommands that change the configuration. */
struct cli_change_args {
	struct arg_str *platform;
	struct arg_int *wait; /* seconds */
	struct arg_lit *json;
	struct arg_lit *help;
	struct arg_end *end;
};

struct cli_change_args cli_create_change_args(void);
int cli_run_change(struct cli_change *change,
		   const struct cli_change_args *args);

#endif
