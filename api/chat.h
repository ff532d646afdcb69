#ifndef API_CHAT_H
#define API_CHAT_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "answer/answer.h"
#include "api/api.h"
#include "http/client.h"

/* One model request on its way. */
struct chat_request {
	struct api_request api; /* must be first */
	struct json_object *body;
	char *kind;
	char *model; /* wanted model, or NULL */
	char *version; /* "model@version" asked at the moment */
	char *second; /* where a cascade goes on, or NULL */
	char *rollout; /* roll-out that the answer is evidence for, or NULL */
	char *session; /* token for the caller, or NULL */
	bool moved; /* the session's version was withdrawn */
	bool streamed;
	struct answer_relay answer;
	struct http_client_call *call;
	char *server; /* address of the attempt */
	char *last_server;
	uint64_t attempt_at;
	uint64_t attempt_us;
	double first_ms; /* of the current attempt; 0: no byte yet */
	double target;
	double cost; /* micro-units, of all attempts that ran */
	double input_tokens;
	uint64_t affinity;
	bool cascade; /* the current version's answer is rated first */
	uint64_t billing_us;
	GString *tail; /* end of a stream, not yet passed on */
};

bool chat_prepare(struct chat_request *c);
void chat_refuse(struct chat_request *c, int status, const char *reason,
		 const char *message, uint32_t retry_after_s);
double chat_expected_first_ms(const struct chat_request *c);

#endif
