#ifndef EXCHANGE_INTAKE_TASK_H
#define EXCHANGE_INTAKE_TASK_H

struct gwy;
struct server_record;
struct hs_req;

/* Serves the requests of configured routes; the owner is the node. */
void exchange_on_request(void *gateway, struct hs_req *req);
void exchange_serve_pending(struct gwy *g);
char *exchange_pool_name(const struct server_record *s);

#endif
