#ifndef BUILTIN_CLI_H
#define BUILTIN_CLI_H

#include <argtable2.h>
#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <uv.h>

#include "http/client.h"
#include "store/store-task.h"

/* What subcommands share: arguments, one call at a time, the platform. */
#define CLI_PLATFORM_ENV "CHIVEGW_PLATFORM"
#define CLI_KEY_ENV "CHIVEGW_OPERATOR_KEY"

struct cli {
	uv_loop_t *loop;
	struct http_client *http;
	struct counter_set counter_set;
	struct store_client *store;
};

/* A whole answer, kept. */
struct cli_answer {
	enum http_client_outcome end;
	int status;
	GString *body;
};

bool cli_parse(const char *command, int argc, char **argv, void **table,
	       struct arg_end *end, struct arg_lit *help, const char *text,
	       int *exit_code);
bool cli_open(struct cli *c, const char *command, struct arg_str *platform);
bool cli_get(struct cli *c, const char *address, const char *path,
	     const char *key, struct cli_answer *answer);
const char *cli_key(struct arg_file *file, char **held);
enum store_outcome cli_object(struct cli *c, const char *name, char **text);
enum store_outcome cli_list(struct cli *c, const char *prefix,
			    struct json_object **names);
void cli_operation_id(char *out, size_t size);

/* Changes the stored configuration; returns an exit code. */
struct cli_change {
	const char *command;
	struct json_object *(*edit)(struct json_object *doc, void *user,
				    GError **err);
	void *user;
	bool rebase;
	uint64_t revision; /* out: that was accepted */
};

/* Arguments of all subcommands that change the configuration. */
struct cli_change_args {
	struct arg_str *platform;
	struct arg_int *wait;
	struct arg_lit *json;
	struct arg_lit *help;
	struct arg_end *end;
};

struct cli_change_args cli_change_args(void);
int cli_run_change(struct cli_change *change,
		   const struct cli_change_args *args);

#endif
