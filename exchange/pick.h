#ifndef EXCHANGE_PICK_H
#define EXCHANGE_PICK_H

#include "exchange/servers.h"

/*
 * Chooses the server for a request: the one with the shortest expected delay
 * for model requests, the least loaded one for all others.
 */
#define PICK_MAX_TRIED 8

/* Which server versions a request may use. */
enum pick_versions {
	PICK_ANY_VERSION,
	PICK_ONLY_VERSION, /* only `version` */
	PICK_OTHER_VERSIONS, /* all but `version` */
};

struct pick_criteria {
	const char *service;
	const char *zone; /* of this node */
	enum pick_versions versions;
	const char *version;
	uint64_t affinity; /* hash of the prompt's shared prefix; 0: none */
	uint32_t shared_tokens; /* length of that prefix */
	uint32_t input_tokens; /* length of the whole prompt */
	double weight; /* cost of the model, 0 to 1; 0: not a model request */
	/*
	 * If one of the next two is set, servers are filled one by one: up to
	 * a share of their slots, or to an amount of outstanding work in ms.
	 */
	double fill_share;
	double fill_work_ms;
	uint64_t fill_seed; /* determines the order in which they are filled */
	uint32_t max_in_flight; /* of this node at one server; 0: no limit */
	uint64_t tried[PICK_MAX_TRIED]; /* hashes of ids; these are skipped */
	uint32_t n_tried;
};

/* Expected times of a model request at the server that suits it best. */
struct pick_estimate {
	double first_event_ms; /* until the first event */
	double event_ms; /* between two events */
};

/* What runs and waits at a service's ready servers, and their slots. */
struct pick_room {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
};

struct pick_room pick_room(const struct server_table *t, uint64_t now,
			   const char *service);
bool service_shares_machines(const struct server_table *t, const char *service);
double pick_mean_work_ms(const struct server_table *t, const char *service,
			 const char *but_version);
struct pick_estimate pick_estimate_delay(struct server_table *t, uint64_t now,
					 const struct pick_criteria *c);
struct server_record *pick_best_server(struct server_table *t, uint64_t now,
				       const struct pick_criteria *c,
				       struct rng *rng,
				       struct server_work *work);

#endif
