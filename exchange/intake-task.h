#ifndef EXCHANGE_INTAKE_TASK_H
#define EXCHANGE_INTAKE_TASK_H

struct gateway_state;
struct server_record;
struct http_server_request;

/* Accepts requests for the configured routes. */
void exchange_on_relayed_request(void *gateway,
				 struct http_server_request *req);
void exchange_on_request(void *gateway, struct http_server_request *req);
void exchange_serve_pending(struct gateway_state *g);
char *exchange_pool_name(const struct server_record *s);
void exchange_on_evicted(void *gateway, struct http_server_request *req);
void exchange_on_relayed_evicted(void *gateway,
				 struct http_server_request *req);

#endif
