#ifndef EXCHANGE_PICK_SHARED_H
#define EXCHANGE_PICK_SHARED_H

#include "exchange/pick.h"

/*
 * The choice of a server of a service whose servers share their machines with
 * other work: by measured speeds, and by which servers hold the beginning of the
 * prompt. pick_best_server() and pick_estimate_delay() use it for such services.
 */
struct server_record *pick_shared_server(struct server_table *t, uint64_t now,
					 const struct pick_criteria *c,
					 struct server_record *required,
					 struct rng *rng,
					 struct server_work *work);
struct pick_estimate pick_shared_estimate(const struct server_table *t,
					  uint64_t now,
					  const struct pick_criteria *c);

#endif
