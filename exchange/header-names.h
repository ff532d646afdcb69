#ifndef EXCHANGE_HEADER_NAMES_H
#define EXCHANGE_HEADER_NAMES_H

#include <stdbool.h>

/*
 * Names of the header fields that clients, nodes and backend servers exchange
 * about a request. An installation may use other names than the default ones.
 */
struct header_names {
	const char *request_id;
	const char *deadline; /* how long the client waits, in ms */
	const char *receipt; /* the server's signature of its answer */
	const char *tenant; /* organisation of the client */
	const char *expect_server; /* only the server of this id may run it */
	const char *server; /* of an answer: id of the server that gave it */
	const char *load; /* running,waiting,slots */
	const char *leaving; /* "1": the server is about to leave */
	const char *rate_limit; /* requests a second that the server takes */
	const char *brittle; /* refusals a second that the server bears */
	const char *cold; /* ms for which the server is still slow */
	const char *not_run; /* present if the server did not run the request */
	const char *model;
	const char *tokens; /* of the prompt, and at most of the answer */
	const char *prefix; /* parts of the prompt, ID:TOKENS,... */
	const char *urgency; /* 0 is the most urgent */
	const char *confidence; /* model's rating of its answer, 0 to 100 */
	const char *last_event;
	const char *auth_scheme; /* of the Authorization field */
	const char *session;
	const char *any_model; /* value of `model`: the gateway chooses */
	const char *const *reserved; /* never forwarded; NULL ends it */
};

extern const struct header_names header_names_default;

bool header_names_is_end_to_end(const struct header_names *names,
				const char *name);

#endif
