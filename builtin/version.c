#include <stdio.h>

#include "builtin/builtin.h"
#include "daemon/version.h"

/* chivegw version */
int cmd_version(int argc, char **argv)
{
	(void)argv;
	if (argc > 1) {
		fprintf(stderr, "chivegw version: takes no arguments\n");
		return CLI_USAGE;
	}
	printf("chivegw %s build %s\n", CHIVEGW_VERSION, version_build());
	return CLI_OK;
}
