#ifndef SESSION_SESSION_H
#define SESSION_SESSION_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/*
 * A session's version travels in a token that the gateway makes and seals,
 * so no node keeps anything and any node can honour it.
 */
#define SESSION_ID_SIZE 33
#define SESSION_NAME_SIZE 136

struct session_pin {
	char id[SESSION_ID_SIZE]; /* made by the gateway */
	char org[SESSION_NAME_SIZE];
	char version[SESSION_NAME_SIZE]; /* "model@version" */
};

enum session_token_check {
	SESSION_TOKEN_VALID,
	SESSION_TOKEN_INVALID, /* not a token of this gateway, or altered */
	SESSION_TOKEN_OTHER_ORG, /* sealed for another organisation */
};

char *session_token_seal(const struct session_pin *pin, const char *key);
enum session_token_check session_token_open(const char *token, const char *key,
					    const char *org,
					    struct session_pin *pin);

#endif
