#include "exchange/exchange.h"

#include <string.h>

#include "fleet/fleet-task.h"
#include "rollout/shift-task.h"

#define LONG_STREAM 1.6 /* to the mean number of events */
#define MODEL_MIX 0x9e3779b97f4a7c15ULL

/* A model's share of the cost of the route's dearest one. */
static double model_weight(const struct exchange_request *x, const char *model)
{
	const struct route_entry *r = x->route;
	double most = 0, cost;

	if (r->kind != ROUTE_STREAMING || !x->prompt.input_tokens)
		return 0;
	for (size_t i = 0; i < r->n_models; i++)
		most = MAX(most, route_model_cost(x->routes, r, r->models[i]));
	cost = model ? route_model_cost(x->routes, r, model) : most;
	return most > 0 ? MAX(cost / most, 0.01) : 1;
}

/* The cache of a model serves no other one. */
static uint64_t affinity_of(const struct exchange_request *x, size_t model)
{
	return x->prompt.shared ? x->prompt.shared ^ (model * MODEL_MIX) : 0;
}

static enum shift_last_version seen_on(const struct exchange_request *x,
				       const struct traffic_shift *s,
				       uint64_t now)
{
	uint64_t was = recent_sessions_version(&x->g->recent, now, x->session);

	if (!was)
		return SHIFT_LAST_UNKNOWN;
	return was == shift_task_version_hash(s->target) ? SHIFT_LAST_NEW
							 : SHIFT_LAST_OLD;
}

/*
 * A trial loads few new servers as much as the old ones are, in turns, so that
 * times compare; later a few as far as they go, to see errors under load.
 */
static void load_new(const struct exchange_request *x,
		     const struct traffic_shift *s, uint64_t now,
		     struct pick_criteria *wish)
{
	if (shift_fills_servers(s)) {
		wish->fill = SHIFT_FILL_SLOT_SHARE;
		return;
	}
	wish->fill_ms =
		pick_mean_work_ms(&x->g->servers, wish->service, s->target);
	wish->fill_order = shift_age_ms(s, now) / SHIFT_TRIAL_ROTATION_MS + 1;
}

/* Wants a server of the version chosen, by the way in which it is loaded. */
static void want_version(const struct exchange_request *x,
			 const struct traffic_shift *s, uint64_t now,
			 struct pick_criteria *wish)
{
	wish->version = s->target;
	wish->versions = x->version == SHIFT_NEW ? PICK_ONLY_VERSION
						 : PICK_OTHER_VERSIONS;
	wish->fill = 0;
	wish->fill_ms = 0;
	if (x->version == SHIFT_NEW && shift_in_trial(s) && wish->weight > 0)
		load_new(x, s, now, wish);
}

/* Chooses between old and new servers while a roll-out is known. */
static void choose_version(struct exchange_request *x, uint64_t now,
			   struct pick_criteria *wish)
{
	const struct traffic_shift *s =
		shift_task_find(x->g->shifts, x->service);
	uint64_t hash = x->session ? x->session : rng_next(&x->g->rng);

	if (!s)
		return;
	if (!x->sent_by_shift || s->plan.state != SHIFT_IN_PROGRESS)
		x->version =
			shift_choose_version(s, now, hash, seen_on(x, s, now));
	x->sent_by_shift = true;
	want_version(x, s, now, wish);
}

/*
 * The other version serves where the chosen one has no server at all, but for
 * a new one that is on trial or failed.
 */
static bool may_use_other(const struct exchange_request *x,
			  const struct traffic_shift *s)
{
	return x->version == SHIFT_NEW || s->plan.state == SHIFT_COMPLETED;
}

/* This node's part of the connections that a server takes from the fleet. */
static uint32_t most_in_flight(const struct exchange_request *x)
{
	route_handle h = route_find_service(x->routes, x->service);
	uint32_t most = x->routes->services[h].max_connections;

	return most ? MAX(most / fleet_task_live_count(x->g->fleet), 1) : 0;
}

/* What is wanted of a server for an attempt with that model. */
static struct pick_criteria wish_of(struct exchange_request *x, uint64_t now,
				    size_t model)
{
	struct pick_criteria wish = {
		.service = x->service,
		.zone = x->g->settings->zone,
		.affinity = affinity_of(x, model),
		.shared_tokens = x->prompt.shared_tokens,
		.input_tokens = x->prompt.input_tokens,
		.weight = model_weight(x, x->model ? x->route->models[model]
						   : NULL),
		.n_tried = x->n_tried,
		.most_in_flight = most_in_flight(x),
	};

	memcpy(wish.tried, x->tried, sizeof(wish.tried));
	choose_version(x, now, &wish);
	return wish;
}

/*
 * The chance that another model's first event comes within the objective and
 * its last one before the deadline.
 */
double exchange_chance_in_time(struct exchange_request *x, uint64_t now,
			       size_t model)
{
	struct pick_criteria wish = wish_of(x, now, model);
	struct pick_estimate o =
		pick_estimate_delay(&x->g->servers, now, &wish);
	double passed = (double)(now - x->started_at);
	double whole_ms =
		o.first_ms +
		o.event_ms * LONG_STREAM *
			stream_lengths_mean(&x->g->lengths, x->route->name);
	double finish =
		cascade_chance_in_time((double)(x->deadline - now), whole_ms);

	if (!x->route->objective_ms)
		return finish;
	return MIN(finish,
		   cascade_chance_in_time(x->route->objective_ms - passed,
					  o.first_ms));
}

/* Tells whether a server may be asked again that was asked before. */
static bool may_ask_again(const struct exchange_request *x)
{
	return x->n_tried && x->retry.repeatable &&
	       x->answer.result != RETRY_RESULT_REFUSED &&
	       x->answer.result != RETRY_RESULT_MISDIRECTED;
}

/*
 * Chooses the server of the next attempt, or returns NULL; counts in x->work
 * what the request adds to it. Servers that were not asked yet go first, the
 * version chosen before the other one.
 */
struct server_record *exchange_pick_server(struct exchange_request *x,
					   uint64_t now)
{
	struct server_table *servers = &x->g->servers;
	struct rng *rng = &x->g->rng;
	struct pick_criteria wish = wish_of(x, now, x->model_index);
	const struct traffic_shift *shift =
		shift_task_find(x->g->shifts, x->service);
	struct server_record *s =
		pick_best_server(servers, now, &wish, rng, &x->work);

	if (!s && may_ask_again(x)) {
		wish.n_tried = 0;
		s = pick_best_server(servers, now, &wish, rng, &x->work);
	}
	if (!s && shift && may_use_other(x, shift)) {
		x->version = x->version == SHIFT_NEW ? SHIFT_OLD : SHIFT_NEW;
		want_version(x, shift, now, &wish);
		s = pick_best_server(servers, now, &wish, rng, &x->work);
	}
	x->fills = wish.fill > 0;
	return s;
}
