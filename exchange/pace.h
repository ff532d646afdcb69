#ifndef EXCHANGE_PACE_H
#define EXCHANGE_PACE_H

#include <stdint.h>

/*
 * Measured speeds of servers that share their machines with other work: what a
 * model's prompt tokens and events take at a server of usual speed, by service,
 * and how each server's speed compares with that. Times are milliseconds of the
 * node's own clock.
 */
#define PACE_MAX_MODELS 16 /* of one service; more replace the oldest */

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
	double prompt_tokens; /* mean length of a prompt; 0: unknown */
	uint64_t sent_tokens; /* prompt tokens that this node has sent */
};

/* The speed of one server. */
struct pace_server {
	double factor; /* its times to those of the service; 0: unknown */
	uint64_t sampled_at; /* last sample of factor */
	double slowness; /* momentary, 1: as usual; 0: never reported */
	uint64_t slow_at; /* when slowness was reported */
};

void pace_on_slowness(struct pace_server *p, uint64_t now, uint32_t percent);
double pace_slowness(const struct pace_server *p, uint64_t now);
double pace_factor(const struct pace_server *p, uint64_t now);
double pace_token_ms(const struct pace_service *s, uint64_t model,
		     double weight);
double pace_event_ms(const struct pace_service *s, uint64_t model,
		     double weight);
void pace_on_prefill(struct pace_service *s, struct pace_server *p,
		     uint64_t now, uint64_t model, double weight, double ratio);
void pace_on_event_interval(struct pace_service *s, struct pace_server *p,
			    uint64_t now, uint64_t model, double weight,
			    double ms);
void pace_on_head(struct pace_service *s, struct pace_server *p, uint64_t now,
		  double ms);
void pace_on_run(struct pace_service *s, double ms);
void pace_on_sent(struct pace_service *s, uint32_t tokens);

#endif
