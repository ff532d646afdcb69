#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "builtin/builtin.h"

struct command {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *help;
};

static const struct command commands[] = {
	{"generate", cmd_generate,
	 "generate a configuration from a questionnaire"},
	{"check", cmd_check, "check a questionnaire or a configuration"},
	{"apply", cmd_apply, "store a configuration"},
	{"status", cmd_status, "show the nodes and the revisions in force"},
	{"rollout", cmd_rollout, "start, pause, resume or stop a roll-out"},
	{"withdraw", cmd_withdraw, "withdraw a version"},
	{"explain", cmd_explain,
	 "explain how a request or a roll-out was handled"},
	{"load", cmd_load, "send a mix of requests and measure latency"},
	{"version", cmd_version, "print the version"},
};

static void print_help(FILE *out)
{
	fprintf(out, "usage: chivegw COMMAND [OPTIONS]\n\ncommands:\n");
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		fprintf(out, "  %-10s %s\n", commands[i].name,
			commands[i].help);
	fprintf(out,
		"\nEach command has --help.\n"
		"exit codes: 0 done, 1 failed, 2 bad arguments, "
		"3 unreachable,\n  4 conflict with another change, "
		"5 outcome unknown,\n  6 accepted, but not in force on all "
		"nodes in time\n");
}

int main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	if (argc < 2) {
		print_help(stderr);
		return CLI_USAGE;
	}
	if (!strcmp(argv[1], "--help") || !strcmp(argv[1], "help")) {
		print_help(stdout);
		return CLI_OK;
	}
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		if (!strcmp(argv[1], commands[i].name))
			return commands[i].run(argc - 1, argv + 1);
	fprintf(stderr, "chivegw: unknown command '%s'; see chivegw --help\n",
		argv[1]);
	return CLI_USAGE;
}
