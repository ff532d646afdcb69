#ifndef EXCHANGE_COLD_H
#define EXCHANGE_COLD_H

#include <stdbool.h>
#include <stdint.h>

/*
 * A server is slow for some time after its start, and crashes if it then gets more
 * requests a second from all nodes together than its service allows. Few nodes,
 * chosen by rank, send to a cold server, each with a minimum time between two
 * requests, so that the sum holds without messages between the nodes. Times are ms
 * of the node's own clock, above 0. Initialise with zeroes.
 */

/* What a service says of its cold servers. */
struct cold_rule {
	uint32_t max_requests; /* of all nodes, in any second; 0: no rule */
	uint32_t cold_ms; /* from the start of a server */
};

struct cold_state {
	struct cold_rule rule;
	uint64_t cold_until; /* by its entries and answers */
	uint64_t started_at; /* as far as known here; 0: long ago */
	bool doubted; /* it may restart; no contact since */
	uint64_t contacted_at; /* first contact after that; 0: proven warm */
	uint64_t sent_at; /* last request of this node; 0: none */
	uint32_t spacing_ms; /* between two requests; 0: none may be sent */
	bool ranked; /* spacing_ms is set */
	bool logged; /* logged as cold */
};

struct cold_rule cold_rule_of(double per_s, double over, double slack,
			      uint32_t cold_ms);
void cold_on_entry(struct cold_state *c, uint64_t now, uint32_t left_ms);
void cold_on_start(struct cold_state *c, uint64_t now);
void cold_on_doubt(struct cold_state *c);
void cold_on_contact(struct cold_state *c, uint64_t now);
void cold_on_pause(struct cold_state *c, uint64_t now);
void cold_on_answer(struct cold_state *c, uint64_t now, const char *left_ms);
bool cold_is_known(const struct cold_state *c, uint64_t now);
bool cold_is_in_force(const struct cold_state *c, uint64_t now);
uint32_t cold_left_ms(const struct cold_state *c, uint64_t now);
void cold_set_rank(struct cold_state *c, uint32_t rank, uint32_t nodes);
void cold_clear_rank(struct cold_state *c);
uint64_t cold_allowed_at(const struct cold_state *c, uint64_t now);
bool cold_allows(const struct cold_state *c, uint64_t now);
void cold_count(struct cold_state *c, uint64_t now);

#endif
