#ifndef EXCHANGE_INTAKE_TASK_H
#define EXCHANGE_INTAKE_TASK_H

struct gwy;
struct svt_server;
struct hs_req;

/* Serves the requests of configured routes; the owner is the node. */
void exc_on_request(void *gateway, struct hs_req *req);
void exc_on_ready(struct gwy *g);
char *exc_pool_name(const struct svt_server *s);

#endif
