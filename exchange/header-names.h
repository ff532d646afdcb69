#ifndef EXCHANGE_HEADER_NAMES_H
#define EXCHANGE_HEADER_NAMES_H

/*
 * The names of the header fields by which clients, nodes and servers tell
 * each other about a request. Another installation may use others.
 */
struct header_names {
	const char *request_id;
	const char *deadline; /* ms that the client waits */
	const char *receipt; /* by which a server signs its answer */
	const char *tenant; /* organisation, told to the server */
	const char *expect_server; /* only that server may run it */
	const char *load; /* running,waiting,slots */
	const char *not_run; /* marks an answer: the request did not run */
	const char *model;
	const char *tokens; /* of the prompt, most of the answer */
	const char *prefix; /* parts of the prompt, ID:TOKENS,... */
	const char *urgency; /* 0 is first */
	const char *confidence; /* 0 to 100: the model's view of its answer */
	const char *last_event;
	const char *auth_scheme;
	const char *session;
	const char *any_model; /* the client leaves the choice to us */
	const char *const *reserved; /* a client's are dropped; NULL ends */
};

extern const struct header_names header_names_default;

#endif
