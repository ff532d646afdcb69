#include "exchange/pace.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* The figure changes many times a second, so an old one says little. */
#define SLOWNESS_DECAY_MS 300.0
#define MIN_SLOWNESS 0.25
#define MAX_SLOWNESS 20.0

/* Weights of the latest sample in the moving averages. */
/* A server's factor: a sample weighs more the longer there was none. */
#define MIN_FACTOR_WEIGHT 0.1
#define MAX_FACTOR_WEIGHT 0.5
#define FACTOR_SAMPLE_MS 20000.0
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
#define FACTOR_DECAY_MS 60000.0
/* Bounds of one sample: a queue that was not known must not count as slowness. */
#define MIN_SAMPLE_RATIO 0.25
#define MAX_SAMPLE_RATIO 3.0
#define MIN_FIRST_RATIO 0.1
#define MAX_FIRST_RATIO 4.0
#define DEFAULT_BASE_MS 3.0 /* a way between zones and back */
#define MIN_BASE_MS 0.5
#define MAX_BASE_MS 100.0
#define BASE_STEP_MS 0.25
#define BASE_QUANTILE 0.2
/* Factors at which a server begins and ceases to be called slow. */
#define SLOW_FROM 2.0
#define SLOW_UNTIL 1.4
#define DEFAULT_TOKEN_MS 0.021 /* of a model of weight 1, without samples */

/* Before any sample; a beginning that is seen repeatedly is held more often. */
static const double first_home_chance[PACE_HOMES] = {0.5, 0.2, 0.1,
						     0.9, 0.5, 0.2};

/* Initialises without samples. */
void pace_service_init(struct pace_service *s)
{
	memset(s, 0, sizeof(*s));
	s->base_ms = DEFAULT_BASE_MS;
	memcpy(s->home_chance, first_home_chance, sizeof(s->home_chance));
}

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
	double age = now > p->sampled_at ? (double)(now - p->sampled_at) : 0;
	double weight = CLAMP(age / FACTOR_SAMPLE_MS, MIN_FACTOR_WEIGHT,
			      MAX_FACTOR_WEIGHT);

	p->factor = CLAMP(was + weight * (ratio - was), MIN_FACTOR, MAX_FACTOR);
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
		*m = (struct pace_model) {.model = model};
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
 * Updates what a first event takes without prefill and waiting, by a time that
 * may have more waiting in it than was known: it follows a low quantile.
 */
static void add_base(struct pace_service *s, double ms)
{
	s->base_ms += BASE_STEP_MS *
		      (ms > s->base_ms ? BASE_QUANTILE : BASE_QUANTILE - 1);
	s->base_ms = CLAMP(s->base_ms, MIN_BASE_MS, MAX_BASE_MS);
}

/*
 * Updates a model's speed and its server's by a prefill that took `ratio` times
 * what was expected of a server of factor 1.
 */
static void add_prefill(const struct pace_sample *sample, struct pace_server *p,
			uint64_t now, double ratio)
{
	struct pace_service *s = sample->service;
	struct pace_model *m = get_model(s, now, sample->model);

	m->token_weight = sample->weight;
	if (m->token_ms <= 0)
		m->token_ms = pace_token_ms(s, sample->model, sample->weight);
	if (m->n_samples < FIRST_SAMPLES) {
		ratio = CLAMP(ratio, MIN_FIRST_RATIO, MAX_FIRST_RATIO);
		m->token_ms *= 1 + (ratio - 1) / ++m->n_samples;
		return;
	}
	ratio = CLAMP(ratio, MIN_SAMPLE_RATIO, MAX_SAMPLE_RATIO);
	m->token_ms *= 1 + SERVICE_WEIGHT * (ratio / pace_factor(p, now) - 1);
	add_factor(p, now, ratio);
}

/*
 * Updates the chance that servers of the sample's class hold what requests share,
 * by the tokens that were read in `ms`.
 */
static void add_home(const struct pace_sample *sample, double ms)
{
	double *chance = &sample->service->home_chance[sample->home];
	uint32_t expected = sample->tokens - sample->held_tokens;
	double token_ms = expected ? sample->prefill_ms / expected : 0;
	double held;

	if (token_ms <= 0 || !sample->shared_tokens)
		return;
	held = (sample->tokens - ms / token_ms) / sample->shared_tokens;
	*chance += SERVICE_WEIGHT * (CLAMP(held, 0, 1) - *chance);
}

/*
 * Updates the speeds by an attempt whose first event took `ms`. The time tells
 * what prefill takes only if most of it was the attempt's own prefill.
 */
void pace_on_first_event(const struct pace_sample *sample,
			 struct pace_server *p, uint64_t now, double ms)
{
	struct pace_service *s = sample->service;
	double speed;

	if (!s || sample->weight <= 0)
		return;
	speed = sample->slowness * pace_factor(p, now);
	if (sample->wait_ms > sample->prefill_ms)
		return;
	if (sample->prefill_ms < s->base_ms) {
		add_base(s,
			 ms - (sample->wait_ms + sample->prefill_ms) * speed);
		return;
	}
	ms -= s->base_ms + sample->wait_ms * speed;
	if (sample->home != PACE_NO_HOME) {
		add_home(sample, ms / speed);
		return;
	}
	add_prefill(sample, p, now,
		    ms / (sample->prefill_ms * sample->slowness));
}

/* Returns a time as it were at an idle server that is not slow. */
static double idle_ms(const struct pace_sample *sample, double ms)
{
	return ms / (sample->slowness * sample->crowding);
}

/* Updates both speeds by a stream's mean time between events. */
void pace_on_event_interval(const struct pace_sample *sample,
			    struct pace_server *p, uint64_t now, double ms)
{
	struct pace_model *m;
	double ratio;

	if (!sample->service || sample->weight <= 0 || ms <= 0)
		return;
	m = get_model(sample->service, now, sample->model);
	ms = idle_ms(sample, ms);
	ratio = m->event_ms > 0 ? ms / m->event_ms : 1;
	m->event_weight = sample->weight;
	add_mean(&m->event_ms, ms / pace_factor(p, now));
	add_factor(p, now, CLAMP(ratio, MIN_SAMPLE_RATIO, MAX_SAMPLE_RATIO));
}

/* Updates both speeds by the time to the head of a plain answer. */
void pace_on_head(const struct pace_sample *sample, struct pace_server *p,
		  uint64_t now, double ms)
{
	struct pace_service *s = sample->service;
	double ratio;

	if (!s || sample->weight > 0 || ms <= 0)
		return;
	ms = idle_ms(sample, ms);
	ratio = s->head_ms > 0 ? ms / s->head_ms : 1;
	add_mean(&s->head_ms, ms / pace_factor(p, now));
	add_factor(p, now, CLAMP(ratio, MIN_SAMPLE_RATIO, MAX_SAMPLE_RATIO));
}

/* Updates the mean time that a request holds its slot. */
void pace_on_run(const struct pace_sample *sample, double ms)
{
	if (sample->service)
		add_mean(&sample->service->run_ms, ms);
}

/* Counts the prompt tokens of a request of this node. */
void pace_on_sent(const struct pace_sample *sample)
{
	struct pace_service *s = sample->service;

	if (!s || !sample->tokens)
		return;
	s->sent_tokens += sample->tokens - sample->held_tokens;
	add_mean(&s->prompt_tokens, sample->tokens);
}

/* Returns whether the server became slow or ceased to be since the last call. */
bool pace_take_change(struct pace_server *p, uint64_t now)
{
	double factor = pace_factor(p, now);
	bool is_slow = factor > (p->said_slow ? SLOW_UNTIL : SLOW_FROM);
	bool changed = is_slow != p->said_slow;

	p->said_slow = is_slow;
	return changed;
}
