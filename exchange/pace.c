#include "exchange/pace.h"

#include <glib.h>
#include <math.h>

/* The figure changes many times a second, so an old one says little. */
#define SLOWNESS_DECAY_MS 300.0
#define MIN_SLOWNESS 0.25
#define MAX_SLOWNESS 20.0

/* Weights of the latest sample in the moving averages. */
#define FACTOR_WEIGHT 0.25
#define SERVICE_WEIGHT 0.05
/*
 * The first samples of a model set its speed, which may differ tenfold from what
 * was assumed; they say nothing about their servers.
 */
#define FIRST_SAMPLES 8
#define MIN_FACTOR 0.2
#define MAX_FACTOR 10.0
/*
 * A server that is taken for slow gets few requests, so few samples show that it
 * is faster again. Without samples its factor returns to 1 at this rate.
 */
#define FACTOR_DECAY_MS 30000.0
/* Bounds of one sample: a queue that was not known must not count as slowness. */
#define MIN_SAMPLE_RATIO 0.25
#define MAX_SAMPLE_RATIO 4.0
#define DEFAULT_TOKEN_MS 0.021 /* of a model of weight 1, without samples */

/* Returns the slowness last reported, decayed to the usual 1 by its age. */
double pace_slowness(const struct pace_server *p, uint64_t now)
{
	double age = now > p->slow_at ? (double)(now - p->slow_at) : 0;

	if (p->slowness <= 0)
		return 1;
	return 1 + (p->slowness - 1) * exp(-age / SLOWNESS_DECAY_MS);
}

/*
 * Stores the slowness that a server reports, in percent. A rise counts at once
 * and a fall by half, so that the server gets its traffic back in steps.
 */
void pace_on_slowness(struct pace_server *p, uint64_t now, uint32_t percent)
{
	double is = CLAMP(percent / 100.0, MIN_SLOWNESS, MAX_SLOWNESS);
	double was = pace_slowness(p, now);

	p->slowness = is < was ? (is + was) / 2 : is;
	p->slow_at = now;
}

/* Returns how long work takes at the server relative to others, unless slow. */
double pace_factor(const struct pace_server *p, uint64_t now)
{
	double age = now > p->sampled_at ? (double)(now - p->sampled_at) : 0;

	if (p->factor <= 0)
		return 1;
	return 1 + (p->factor - 1) * exp(-age / FACTOR_DECAY_MS);
}

static void add_factor(struct pace_server *p, uint64_t now, double ratio)
{
	double was = pace_factor(p, now);

	p->factor = CLAMP(was + FACTOR_WEIGHT * (ratio - was), MIN_FACTOR,
			  MAX_FACTOR);
	p->sampled_at = now;
}

/* Adds a sample to a moving average that the first sample starts. */
static void add_mean(double *mean, double sample)
{
	if (*mean <= 0)
		*mean = sample;
	*mean += SERVICE_WEIGHT * (sample - *mean);
}

static const struct pace_model *find_model(const struct pace_service *s,
					   uint64_t model)
{
	for (uint32_t i = 0; i < PACE_MAX_MODELS; i++)
		if (s->models[i].model == model)
			return &s->models[i];
	return NULL;
}

/* Returns the entry of a model, in place of the one unused for longest. */
static struct pace_model *get_model(struct pace_service *s, uint64_t now,
				    uint64_t model)
{
	struct pace_model *m = (struct pace_model *)find_model(s, model);

	if (!m) {
		m = &s->models[0];
		for (uint32_t i = 1; i < PACE_MAX_MODELS; i++)
			if (s->models[i].used_at < m->used_at)
				m = &s->models[i];
		*m = (struct pace_model){.model = model};
	}
	m->used_at = now;
	return m;
}

/*
 * Returns the time to prefill a token of a model at an idle server of usual
 * speed: as measured, else by what the service's other models take per unit of
 * their weight (relative cost), else by a constant.
 */
double pace_token_ms(const struct pace_service *s, uint64_t model,
		     double weight)
{
	const struct pace_model *own = s ? find_model(s, model) : NULL;
	double sum = 0;
	uint32_t n = 0;

	if (own && own->token_ms > 0)
		return own->token_ms;
	for (uint32_t i = 0; s && i < PACE_MAX_MODELS; i++) {
		const struct pace_model *m = &s->models[i];

		if (m->token_ms <= 0 || m->token_weight <= 0)
			continue;
		sum += m->token_ms / m->token_weight;
		n++;
	}
	return weight * (n ? sum / n : DEFAULT_TOKEN_MS);
}

/* As pace_token_ms(), of the time between events; 0 if nothing was measured. */
double pace_event_ms(const struct pace_service *s, uint64_t model,
		     double weight)
{
	const struct pace_model *own = s ? find_model(s, model) : NULL;
	double sum = 0;
	uint32_t n = 0;

	if (own && own->event_ms > 0)
		return own->event_ms;
	for (uint32_t i = 0; s && i < PACE_MAX_MODELS; i++) {
		const struct pace_model *m = &s->models[i];

		if (m->event_ms <= 0 || m->event_weight <= 0)
			continue;
		sum += m->event_ms / m->event_weight;
		n++;
	}
	return n ? weight * sum / n : 0;
}

/*
 * Updates both speeds by a prefill whose time was `ratio` times what was
 * expected for a server of factor 1.
 */
void pace_on_prefill(struct pace_service *s, struct pace_server *p,
		     uint64_t now, uint64_t model, double weight, double ratio)
{
	struct pace_model *m = get_model(s, now, model);
	double factor = pace_factor(p, now);

	ratio = CLAMP(ratio, MIN_SAMPLE_RATIO, MAX_SAMPLE_RATIO);
	m->token_weight = weight;
	if (m->token_ms <= 0)
		m->token_ms = pace_token_ms(s, model, weight);
	if (m->n_samples < FIRST_SAMPLES) {
		m->n_samples++;
		m->token_ms *= 1 + (ratio - 1) / m->n_samples;
		return;
	}
	m->token_ms *= 1 + SERVICE_WEIGHT * (ratio / factor - 1);
	add_factor(p, now, ratio);
}

/* Updates both speeds by a stream's mean time between events. */
void pace_on_event_interval(struct pace_service *s, struct pace_server *p,
			    uint64_t now, uint64_t model, double weight,
			    double ms)
{
	struct pace_model *m = get_model(s, now, model);
	double ratio = m->event_ms > 0 ? ms / m->event_ms : 1;

	m->event_weight = weight;
	add_mean(&m->event_ms, ms / pace_factor(p, now));
	add_factor(p, now, CLAMP(ratio, MIN_SAMPLE_RATIO, MAX_SAMPLE_RATIO));
}

/* Updates both speeds by the time to the head of a plain answer. */
void pace_on_head(struct pace_service *s, struct pace_server *p, uint64_t now,
		  double ms)
{
	double ratio = s->head_ms > 0 ? ms / s->head_ms : 1;

	add_mean(&s->head_ms, ms / pace_factor(p, now));
	add_factor(p, now, CLAMP(ratio, MIN_SAMPLE_RATIO, MAX_SAMPLE_RATIO));
}

/* Updates the mean time that a request holds its slot. */
void pace_on_run(struct pace_service *s, double ms)
{
	add_mean(&s->run_ms, ms);
}

/* Counts the prompt tokens of a request of this node. */
void pace_on_sent(struct pace_service *s, uint32_t tokens)
{
	s->sent_tokens += tokens;
	add_mean(&s->prompt_tokens, tokens);
}
