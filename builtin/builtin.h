#ifndef BUILTIN_BUILTIN_H
#define BUILTIN_BUILTIN_H

/* Exit codes of all subcommands. */
#define CLI_OK 0
#define CLI_FAILED 1 /* valid arguments, but the command did not succeed */
#define CLI_USAGE 2 /* invalid arguments */
#define CLI_UNREACHABLE 3 /* the platform or a node did not answer */
#define CLI_CONFLICT 4 /* another operator's change was accepted first */
#define CLI_OUTCOME_UNKNOWN 5 /* no response; the change may take effect */
#define CLI_NOT_IN_FORCE 6 /* accepted, but not in force on all nodes in time */

/*
 * Subcommands. Each parses its arguments, with argv[0] the name of the
 * subcommand, runs, and returns one of the exit codes above.
 */
int cmd_generate(int argc, char **argv);
int cmd_check(int argc, char **argv);
int cmd_apply(int argc, char **argv);
int cmd_status(int argc, char **argv);
int cmd_rollout(int argc, char **argv);
int cmd_withdraw(int argc, char **argv);
int cmd_explain(int argc, char **argv);
int cmd_load(int argc, char **argv);
int cmd_version(int argc, char **argv);

#endif
