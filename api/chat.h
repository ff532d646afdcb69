#ifndef API_CHAT_H
#define API_CHAT_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "answer/answer.h"
#include "api/api.h"
#include "http/client.h"

/*
 * One request to a model. Times in ms are of the node's own clock, those in us
 * of the wall clock, for the trace.
 */
struct chat_request {
	struct api_request api; /* must be first */
	struct json_object *body;
	char *kind; /* kind of request, from x-chivegw-kind */
	char *model; /* model that the client asked for, or NULL for any */
	char *version; /* "model@version" of the current attempt */
	char *escalation; /* second version of a cascade, or NULL */
	char *rollout; /* roll-out that the answer is evidence for, or NULL */
	char *session_token; /* for the client, or NULL */
	bool version_withdrawn; /* the version that the session was pinned to */
	bool streamed; /* the client asked for a stream */
	struct answer_relay answer;
	struct http_client_call *call;
	char *server; /* address, of the current attempt */
	char *previous_server; /* of the attempt before, or NULL */
	uint64_t attempt_started_at; /* ms */
	uint64_t attempt_started_us;
	double first_byte_ms; /* time taken; 0: no byte of the attempt yet */
	double quality_target; /* of organisation and kind */
	double cost; /* micro-units, of all attempts that ran */
	double input_tokens; /* estimate */
	uint64_t affinity; /* hash; equal ones prefer the same server */
	bool rate_before_delivery; /* first version of a cascade */
	uint64_t usage_started_us; /* when the usage record was added */
	GString *held_events; /* end of a stream, not yet passed on */
};

bool chat_prepare(struct chat_request *c);
void chat_refuse(struct chat_request *c, int status, const char *reason,
		 const char *message, uint32_t retry_after_s);
double chat_expected_first_ms(const struct chat_request *c);

#endif
