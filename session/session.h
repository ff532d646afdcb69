#ifndef SESSION_SESSION_H
#define SESSION_SESSION_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/*
 * Session tokens. A token carries the version to which a session is pinned and
 * an HMAC, so nodes keep no state and any node can serve the session.
 */
#define SESSION_ID_SIZE 33 /* 32 hex digits and a NUL */
#define SESSION_NAME_SIZE 136 /* with the terminating NUL */

/* The contents of a token. */
struct session_pin {
	char id[SESSION_ID_SIZE]; /* request id of the first request */
	char org[SESSION_NAME_SIZE];
	char version[SESSION_NAME_SIZE]; /* "model@version" */
};

enum session_token_check {
	SESSION_TOKEN_VALID,
	SESSION_TOKEN_INVALID, /* not from this deployment, or altered */
	SESSION_TOKEN_OTHER_ORG, /* issued to another organisation */
};

char *session_token_seal(const struct session_pin *pin, const char *key);
enum session_token_check session_token_open(const char *token, const char *key,
					    const char *org,
					    struct session_pin *pin);

#endif
