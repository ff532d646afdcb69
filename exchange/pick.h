#ifndef EXCHANGE_PICK_H
#define EXCHANGE_PICK_H

#include "exchange/servers.h"

/*
 * Chooses the server of a request: the one with the shortest expected delay
 * for model requests, the least loaded one for others.
 */
#define PICK_MAX_TRIED 8

/* Which versions a request may use. */
enum pick_versions {
	PICK_ANY_VERSION,
	PICK_ONLY_VERSION, /* `version` */
	PICK_OTHER_VERSIONS, /* any but `version` */
};

struct pick_criteria {
	const char *service;
	const char *zone; /* of this node */
	enum pick_versions versions;
	const char *version;
	uint64_t affinity; /* hash of the shared part of the prompt; 0: none */
	uint32_t shared_tokens; /* of the prompt up to it */
	uint32_t input_tokens; /* of the whole prompt */
	double weight; /* of the model, 0 to 1; 0: no model request */
	double fill; /* fill servers one by one to this share of their slots */
	double fill_ms; /* the same to this much work that waits, in ms */
	uint64_t fill_order; /* changes which is filled first */
	uint32_t most_in_flight; /* of this node at one server; 0: any */
	uint64_t tried[PICK_MAX_TRIED]; /* hashes of their ids */
	uint32_t n_tried;
};

/* What a model request may expect at the server that suits it best. */
struct pick_estimate {
	double first_ms; /* to the first event */
	double event_ms; /* between two events */
};

double pick_mean_work_ms(const struct server_table *t, const char *service,
			 const char *but_version);
struct pick_estimate pick_estimate_delay(struct server_table *t, uint64_t now,
					 const struct pick_criteria *wish);
struct server_record *pick_best_server(struct server_table *t, uint64_t now,
				       const struct pick_criteria *wish,
				       struct rng *rng,
				       struct server_work *work);

#endif
