#ifndef API_PLAIN_H
#define API_PLAIN_H

#include "api/backend-call.h"
#include "api/api.h"
#include "route/server.h"

/* What idempotent requests and orders to plain services have in common. */
struct plain_request {
	struct api_request api; /* must be first */
	char *service;
	char *method;
	char *path; /* at the service */
	char *type;
	char *body;
	size_t len;
};

cfg_handle plain_pick_server(struct plain_request *p, cfg_handle avoid,
			     const char **reason);
struct backend_call *plain_call_server(struct plain_request *p,
				       cfg_handle server, const char *key,
				       bool fresh, backend_call_done done);
void plain_refuse(struct plain_request *p, int status,
		  enum verdict_kind verdict, const char *reason,
		  const char *message, uint32_t after_s);
void plain_reply(struct plain_request *p, int status, const char *type,
		 const char *body, size_t len, const char *server);
void plain_record_usage(struct plain_request *p, enum verdict_kind verdict);
void plain_free(struct plain_request *p);

void plain_idempotent_start(struct plain_request *p);
void order_task_start(struct plain_request *p, const char *key);

#endif
