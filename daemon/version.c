#include "daemon/version.h"

#ifndef CHIVEGW_BUILD
#define CHIVEGW_BUILD "unknown"
#endif

/* Returns a digest of the sources that the program was built from; a constant. */
const char *version_build(void)
{
	return CHIVEGW_BUILD;
}
