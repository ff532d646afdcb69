#ifndef EXCHANGE_EXCHANGE_H
#define EXCHANGE_EXCHANGE_H

#include "admission/admission.h"
#include "daemon/gateway.h"
#include "exchange/pick.h"
#include "exchange/events.h"
#include "exchange/model-choice.h"
#include "exchange/prompt.h"
#include "exchange/retry.h"
#include "rollout/shift.h"

/* Retry-After of requests that a node refuses because it stops. */
#define EXCHANGE_DRAINING_RETRY_AFTER_MS 100

/* A client's request, from its admission to the end of its answer. */
struct exchange_request {
	struct gateway_state *g;
	struct http_server_request *req; /* NULL after a disconnect */
	struct route_table *routes; /* in force at admission; a reference */
	const struct route_entry *route;
	const char *service; /* owned by `routes` */
	char *id; /* the client's request id */
	const char *org; /* name, owned by `routes`; NULL: none */
	uint32_t urgency; /* 0 is the most urgent */
	uint64_t started_at; /* ms of the node's clock, as all times here */
	uint64_t deadline; /* the earlier of the client's and the route's */
	struct prompt_info prompt;
	/*
	 * By which crashes are related to it: the parts of the prompt, then the
	 * fingerprint, which is the same for all repeats by the client.
	 */
	uint64_t crash_keys[PROMPT_MAX_PARTS + 1];
	uint32_t n_crash_keys;
	uint64_t session; /* hash; 0: none */
	const char *model; /* chosen by the gateway; NULL: by the client */
	size_t model_index; /* of `model`, among those of the route */
	struct retry_state retry;
	uint64_t tried[PICK_MAX_TRIED]; /* hashes of server ids */
	uint32_t n_tried;

	/* Admission; without a service if its servers need none. */
	struct admission_service *admission_service;
	struct admission_request admission;
	bool admission_counted; /* the attempt in progress */

	/* Passing it on between nodes. */
	bool relayed; /* another node has passed it on to this one */
	struct relay_helper *helper; /* that the attempt goes to, or NULL */
	uint32_t granted; /* attempts that the helper may make */
	guint failed_helper; /* of the last attempt: hash of its name; 0: none */

	/* The attempt in progress. */
	struct http_client_call *call;
	struct server_record *server;
	struct server_work work; /* added to the server's load */
	struct pace_sample sample; /* what is expected of the attempt */
	uint64_t attempt_at; /* start of the attempt */
	struct retry_answer answer;
	struct http_message_fields head;
	GString *body; /* of an answer that is not a stream */
	bool by_server; /* a server gave the answer, not a helper of its own */
	bool streamed; /* the answer is an event stream */
	bool was_paused; /* its times are not the server's */
	enum http_client_framing framing; /* of the answer */
	enum http_client_close closed; /* by the server */
	enum event_stream_status stream_status;
	double head_ms; /* from the attempt's start to the answer's head */
	bool rollout_active; /* a roll-out of the service is known */
	enum shift_version version; /* valid with rollout_active */
	bool latency_counted; /* for the roll-out */
	bool fills; /* the roll-out is filling the server up to its slots */
	double load_at_start; /* of the server when the attempt started */
	bool brittle_at_start; /* the server, as far as was known then */
	uint64_t attempt_events;
	uint64_t first_event_at;
	uint64_t last_event_at;
	const char *server_version; /* of the last attempt, interned */

	size_t counted_bytes; /* of buffers, in the node's account */
	bool waits_for_room; /* in the node's paused_answers */

	/* What the client has received of the answer. */
	struct event_stream events;
	bool answer_started;
	char *first_server; /* id of the server whose head was sent */
	double first_event_ms; /* from started_at to the first event */

	/* A server's 5xx answer, delivered if no further attempt succeeds. */
	int saved_status; /* 0: none */
	struct http_message_fields saved_head;
	GString *saved_body;
};

void exchange_start(struct gateway_state *g, struct http_server_request *req,
		    const struct route_entry *route, route_handle org,
		    const char *id, bool relayed);
uint64_t exchange_time_ms(const struct gateway_state *g,
			  struct http_server_request *req,
			  const struct route_entry *route);
void exchange_start_admitted(struct exchange_request *x);
void exchange_refuse_unsent(struct exchange_request *x, const char *reason,
			    uint32_t retry_after_ms);
void exchange_check_overdue(struct gateway_state *g, uint64_t now);
void exchange_resume_answers(struct gateway_state *g);
void exchange_refuse(struct gateway_state *g, struct http_server_request *req,
		     int status, const char *verdict, const char *reason,
		     uint32_t retry_after_ms);
struct server_record *exchange_pick_server(struct exchange_request *x,
					   uint64_t now);
double exchange_chance_in_time(struct exchange_request *x, uint64_t now,
			       size_t model);
bool exchange_chooses_by_time(const struct exchange_request *x);
struct model_key exchange_model_key(const struct exchange_request *x);
struct model_situation
exchange_describe_models(struct exchange_request *x, uint64_t now,
			 struct model_option options[MODEL_CHOICE_MAX_MODELS]);
bool exchange_choose_helper(struct exchange_request *x, uint64_t now);
void exchange_end_relay(struct exchange_request *x,
			enum http_client_outcome end);
char *exchange_request_headers(const struct exchange_request *x, uint64_t now);

#endif
