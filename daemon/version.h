#ifndef DAEMON_VERSION_H
#define DAEMON_VERSION_H

#define CHIVEGW_VERSION "0.1.0"

/*
 * Raised with each change to what nodes say to each other that works only if all of
 * them know it; see docs/design/0016-messages-between-nodes.md.
 */
#define CHIVEGW_PROTOCOL 1

const char *version_build(void);

#endif
