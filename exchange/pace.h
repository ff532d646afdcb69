#ifndef EXCHANGE_PACE_H
#define EXCHANGE_PACE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Measured speeds of servers that share their machines with other work: what a
 * model's prompt tokens and events take at a server of usual speed, by service,
 * and how each server's speed compares with that. Times are milliseconds of the
 * node's own clock.
 */
#define PACE_USUAL_PERCENT 100 /* slowness figure of a machine as usual */
#define PACE_MAX_MODELS 16 /* of one service; more replace the oldest */

/*
 * Classes of servers by their rank for a beginning that this node has not sent
 * there, and by whether it has sent it anywhere lately.
 */
#define PACE_HOME_RANKS 3
#define PACE_HOMES (2 * PACE_HOME_RANKS)
#define PACE_NO_HOME PACE_HOMES

/* The speed of one model at a server of usual speed. */
struct pace_model {
	uint64_t model; /* hash of its name; 0: unused */
	double token_ms; /* to prefill a token at an idle server; 0: unknown */
	uint32_t n_samples; /* of token_ms, up to a small number */
	double event_ms; /* between events at an idle server; 0: unknown */
	double token_weight; /* of the model in the samples of token_ms */
	double event_weight; /* of the model in the samples of event_ms */
	uint64_t used_at;
};

/* The speeds measured over all servers of a service. */
struct pace_service {
	struct pace_model models[PACE_MAX_MODELS];
	double run_ms; /* mean time that a request holds its slot; 0: unknown */
	double head_ms; /* of a plain request at an idle server; 0: unknown */
	double base_ms; /* of a first event, not for prefill or waiting */
	/*
	 * By class: the chance that the server holds the beginning, since other
	 * nodes have sent it there.
	 */
	double home_chance[PACE_HOMES];
	double prompt_tokens; /* mean length of a prompt; 0: unknown */
	uint64_t sent_tokens; /* prompt tokens that this node has sent */
};

/* The speed of one server. */
struct pace_server {
	double factor; /* its times to those of the service; 0: unknown */
	uint64_t sampled_at; /* last sample of factor */
	double slowness; /* momentary, 1: as usual; 0: never reported */
	uint64_t slow_at; /* when slowness was reported */
	bool said_slow; /* by the last pace_take_change() */
};

/*
 * What was expected of an attempt at a server of usual speed, to compare with
 * what it took.
 */
struct pace_sample {
	struct pace_service *service; /* NULL: not to be measured */
	uint64_t model;
	double weight; /* of the model; 0: a plain request */
	double slowness; /* of the server, momentary */
	double wait_ms; /* for the work before it */
	double prefill_ms; /* of its own tokens */
	double crowding; /* by which running requests lengthen its steps */
	uint32_t tokens; /* of its prompt */
	uint32_t held_tokens; /* of these, believed to be held there */
	uint32_t
		home; /* class by which they are believed so, or PACE_NO_HOME */
	uint32_t shared_tokens; /* held if home_chance of that class were 1 */
};

void pace_service_init(struct pace_service *s);
void pace_on_slowness(struct pace_server *p, uint64_t now, uint32_t percent);
double pace_slowness(const struct pace_server *p, uint64_t now);
double pace_factor(const struct pace_server *p, uint64_t now);
double pace_token_ms(const struct pace_service *s, uint64_t model,
		     double weight);
double pace_event_ms(const struct pace_service *s, uint64_t model,
		     double weight);
void pace_on_first_event(const struct pace_sample *sample,
			 struct pace_server *p, uint64_t now, double ms);
void pace_on_event_interval(const struct pace_sample *sample,
			    struct pace_server *p, uint64_t now, double ms);
void pace_on_head(const struct pace_sample *sample, struct pace_server *p,
		  uint64_t now, double ms);
void pace_on_run(const struct pace_sample *sample, double ms);
bool pace_take_change(struct pace_server *p, uint64_t now);
void pace_on_sent(const struct pace_sample *sample);

#endif
