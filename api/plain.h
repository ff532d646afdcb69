#ifndef API_PLAIN_H
#define API_PLAIN_H

#include "api/api.h"
#include "api/backend-call.h"
#include "route/server.h"

/*
 * The common part of all requests to plain services. Idempotent ones are served
 * by plain-idempotent-task.c, all others by order/order-task.c.
 */
struct plain_request {
	struct api_request api; /* must be first */
	char *service;
	char *method;
	char *path; /* at the service, with the query */
	char *type; /* content type, or NULL */
	char *body;
	size_t len; /* bytes of the body */
};

cfg_handle plain_pick_server(struct plain_request *p, cfg_handle avoid,
			     const char **reason);
struct backend_call *plain_call_server(struct plain_request *p,
				       cfg_handle server, const char *key,
				       bool new_connection,
				       backend_call_done done);
void plain_refuse(struct plain_request *p, int status,
		  enum verdict_kind verdict, const char *reason,
		  const char *message, uint32_t retry_after_s);
void plain_reply(struct plain_request *p, int status, const char *type,
		 const char *body, size_t len, const char *server);
void plain_record_usage(struct plain_request *p, enum verdict_kind verdict);
void plain_free(struct plain_request *p);

void plain_idempotent_start(struct plain_request *p);
void order_task_start(struct plain_request *p, const char *key);

#endif
