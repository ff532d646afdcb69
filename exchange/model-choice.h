#ifndef EXCHANGE_MODEL_CHOICE_H
#define EXCHANGE_MODEL_CHOICE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Chooses the model that a request asks first, and the one that is asked after a
 * weak answer, by how often each model's answers were good enough and by the
 * time that is left. Evidence is this node's own and decays with time. Models are
 * numbered by size, smallest first. Times are ms of the node's own clock.
 */
#define MODEL_CHOICE_MAX_MODELS 8
#define MODEL_CHOICE_HALF_LIFE_MS 60000

/* What a request's evidence is kept by. */
struct model_key {
	uint64_t route; /* hash of its name */
	uint32_t input_tokens;
	uint64_t part; /* the last shared part of the prompt; 0: none */
};

struct model_choice {
	GHashTable *cells; /* hash of key and model -> struct model_cell */
};

/* The chance that a model's answer is good enough, as far as it is known. */
struct model_belief {
	double mean;
	double deviation; /* standard deviation of the mean */
	double tried; /* answers that it rests on, decayed */
};

/* What asking a model now is expected to take. */
struct model_option {
	double first_event_ms;
	double rest_ms; /* from the first event to the last */
	double work; /* relative to the largest model, 0 to 1 */
	struct model_belief belief;
	double own_ms; /* of first_event_ms, at an idle server; 0: unknown */
};

struct model_situation {
	double objective_ms; /* for the first event; 0: none */
	double objective_left_ms;
	double deadline_left_ms; /* for the last event */
	double escalation_chance; /* that a second run will be allowed */
	double draw; /* random, 0 to 1: whether to gain evidence */
	double kept_worth; /* of a weak answer that is kept, 0 to 1; 0: unknown */
};

enum model_reason {
	MODEL_REASON_SMALLEST, /* the smallest one, as without evidence */
	MODEL_REASON_VALUE, /* a larger one is worth more to the client */
	MODEL_REASON_EXPLORE, /* little is known of the model */
};

void model_choice_init(struct model_choice *m);
void model_choice_clear(struct model_choice *m);
void model_choice_add(struct model_choice *m, uint64_t now,
		      const struct model_key *key, size_t model, bool good);
struct model_belief model_choice_belief(const struct model_choice *m,
					uint64_t now,
					const struct model_key *key,
					size_t model);
size_t model_choice_first(const struct model_option *options, size_t n,
			  const struct model_situation *s,
			  enum model_reason *reason);
size_t model_choice_next(const struct model_option *options, size_t n,
			 size_t weak, const struct model_situation *s,
			 double *value);
double model_choice_kept_worth(double confidence, double target);
const char *model_reason_name(enum model_reason reason);

#endif
