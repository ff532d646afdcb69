#ifndef EXCHANGE_BRITTLE_H
#define EXCHANGE_BRITTLE_H

#include <stdbool.h>
#include <stdint.h>

/* What an answer says of being brittle; times are ms of the node's own clock. */
struct brittle_notice {
	double refusals_per_s; /* that the server bears; 0: not brittle */
	uint64_t answered_at; /* of the answer that said so; 0: none */
};

/*
 * What a brittle server bears: it crashes if it has to refuse more than a few
 * requests a second for want of room. Its slots are divided between as many nodes,
 * chosen by rank, so that it never has to; a node that is refused all the same
 * leaves it alone until all nodes together cannot exceed the number. All servers of
 * a service are brittle at the same time, so what one says is inherited by those that
 * have not answered themselves. Only an answer ends it, not silence or a restart.
 */
struct brittle {
	struct brittle_notice notice;
	bool own; /* the answer was the server's, since its latest start */
	bool news; /* what this node has heard must be told to the others */
	bool ranked; /* the next two are set by rank; until then it must not send */
	uint32_t max_in_flight; /* of this node; 0: it must not send */
	uint32_t nodes; /* that divide the slots */
	uint64_t wait_until; /* after a refusal */
	uint32_t abandoned; /* requests that were given up and may still run */
	uint64_t abandoned_until; /* then they do not count any more */
};

double brittle_parse(const char *text);
bool brittle_hear(struct brittle *b, const struct brittle_notice *said);
void brittle_inherit(struct brittle *b, const struct brittle_notice *said);
void brittle_on_start(struct brittle *b, const struct brittle_notice *service);
void brittle_set_rank(struct brittle *b, uint32_t rank, uint32_t nodes,
		      uint32_t slots);
void brittle_on_abandoned(struct brittle *b, uint64_t now);
void brittle_on_refusal(struct brittle *b, uint64_t now);
bool brittle_is_in_force(const struct brittle *b);
bool brittle_allows(const struct brittle *b, uint64_t now, uint32_t in_flight);

#endif
