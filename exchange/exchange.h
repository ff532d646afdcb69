#ifndef EXCHANGE_EXCHANGE_H
#define EXCHANGE_EXCHANGE_H

#include "daemon/gateway.h"
#include "exchange/pick.h"
#include "exchange/events.h"
#include "exchange/prompt.h"
#include "exchange/retry.h"
#include "rollout/shift.h"

/* One request of a client, from its arrival to its final answer. */
struct exchange_request {
	struct gateway_state *g;
	struct http_server_request *req; /* NULL once the client has gone */
	struct route_table *routes; /* the table that it was taken with */
	const struct route_entry *route;
	const char *service;
	char *id;
	const char *org; /* of `routes`; NULL: none */
	uint32_t urgency;
	uint64_t started_at;
	uint64_t deadline; /* the client's or the route's, whichever is first */
	struct prompt_info prompt;
	uint64_t session; /* hash; 0: none */
	const char *model; /* of `routes`, chosen by us; NULL: the client's */
	size_t model_index;
	struct retry_state retry;
	uint64_t tried[PICK_MAX_TRIED];
	uint32_t n_tried;

	/* the attempt under way */
	struct http_client_call *call;
	struct server_record *server;
	struct server_work work; /* counted at the server */
	uint64_t attempt_at;
	struct retry_answer answer;
	struct http_message_fields head;
	GString *body;
	bool streamed; /* the answer is a stream of events */
	bool unframed; /* it ends with its connection */
	enum event_stream_status fault;
	double head_ms;
	bool sent_by_shift; /* a roll-out of the service runs */
	enum shift_version version; /* with sent_by_shift */
	bool fills; /* the server is being filled by a roll-out */
	double begin_load; /* of the attempt's server at its start */
	uint64_t attempt_events;
	uint64_t first_event_at;
	uint64_t last_event_at;
	const char *server_version; /* of the last attempt, interned */

	/* what the client has of the answer */
	struct event_stream events;
	bool begun;
	bool begun_unframed;
	char *first_server;
	double first_ms; /* to the first event */

	/* an answer of a server that failed, given if no better comes */
	int spare_status;
	struct http_message_fields spare_head;
	GString *spare_body;
	bool spare_unframed;
};

void exchange_start(struct gateway_state *g, struct http_server_request *req,
		    const struct route_entry *route, route_handle org,
		    const char *id);
void exchange_refuse(struct gateway_state *g, struct http_server_request *req,
		     int status, const char *verdict, const char *reason,
		     uint32_t retry_after_ms);
struct server_record *exchange_pick_server(struct exchange_request *x,
					   uint64_t now);
double exchange_chance_in_time(struct exchange_request *x, uint64_t now,
			       size_t model);
char *exchange_request_headers(const struct exchange_request *x, uint64_t now);

#endif
