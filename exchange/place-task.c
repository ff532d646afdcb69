#include "exchange/exchange.h"

#include <string.h>
#include <xxhash.h>

#include "fleet/fleet-task.h"
#include "rollout/shift-task.h"

/* Streams of up to this multiple of the mean length must finish in time. */
#define LONG_STREAM_FACTOR 1.6
#define MIN_MODEL_WEIGHT 0.01
/*
 * A retry budget with room for so many is there for a second run later; with less,
 * other requests may have used it by then.
 */
#define CERTAIN_RETRIES 2.0
/* 2^64 over the golden ratio: spreads the indexes of models over all bits. */
#define MODEL_HASH_FACTOR 0x9e3779b97f4a7c15ULL

/*
 * Returns a model's cost relative to that of the route's most expensive model,
 * which NULL stands for. Returns 0 if this is not a model request.
 */
static double model_weight(const struct exchange_request *x, const char *model)
{
	const struct route_entry *r = x->route;
	double max_cost = 0, cost;

	if (r->kind != ROUTE_STREAMING || !x->prompt.input_tokens)
		return 0;
	for (size_t i = 0; i < r->n_models; i++)
		max_cost = MAX(max_cost,
			       route_model_cost(x->routes, r, r->models[i]));
	cost = model ? route_model_cost(x->routes, r, model) : max_cost;
	return max_cost > 0 ? MAX(cost / max_cost, MIN_MODEL_WEIGHT) : 1;
}

/*
 * Returns the affinity key of the prompt's shared prefix, or 0. It differs by
 * model: what one model has cached is of no use to another.
 */
static uint64_t affinity_of(const struct exchange_request *x, size_t model)
{
	return x->prompt.shared ? x->prompt.shared ^ (model * MODEL_HASH_FACTOR)
				: 0;
}

/* Returns which version served the session's last request. */
static enum shift_last_version session_version(const struct exchange_request *x,
					       const struct traffic_shift *s,
					       uint64_t now)
{
	uint64_t version =
		recent_sessions_version(&x->g->recent, now, x->session);

	if (!version)
		return SHIFT_LAST_UNKNOWN;
	return version == shift_task_version_hash(s->target) ? SHIFT_LAST_NEW
							     : SHIFT_LAST_OLD;
}

/*
 * Concentrates the requests of a trial on few new servers. At first, one after
 * the other in turns gets as much work as the old servers have, so that times
 * are comparable; later some are filled up, to find errors under load.
 */
static void set_trial_load(const struct exchange_request *x,
			   const struct traffic_shift *s, uint64_t now,
			   struct pick_criteria *criteria)
{
	if (shift_fills_servers(s)) {
		criteria->fill_share = SHIFT_FILL_SLOT_SHARE;
		return;
	}
	criteria->fill_work_ms =
		pick_mean_work_ms(&x->g->servers, criteria->service, s->target);
	criteria->fill_seed =
		shift_age_ms(s, now) / SHIFT_TRIAL_ROTATION_MS + 1;
}

/* Restricts the criteria to servers of the chosen version. */
static void require_version(const struct exchange_request *x,
			    const struct traffic_shift *s, uint64_t now,
			    struct pick_criteria *criteria)
{
	criteria->version = s->target;
	criteria->versions = x->version == SHIFT_NEW ? PICK_ONLY_VERSION
						     : PICK_OTHER_VERSIONS;
	criteria->fill_share = 0;
	criteria->fill_work_ms = 0;
	if (x->version == SHIFT_NEW && shift_in_trial(s) &&
	    criteria->weight > 0)
		set_trial_load(x, s, now, criteria);
}

/* Chooses between the old and the new version during a roll-out. */
static void choose_version(struct exchange_request *x, uint64_t now,
			   struct pick_criteria *criteria)
{
	const struct traffic_shift *s =
		shift_task_find(x->g->shifts, x->service);
	uint64_t hash = x->session ? x->session : rng_next(&x->g->rng);

	if (!s)
		return;
	if (!x->rollout_active || s->plan.state != SHIFT_IN_PROGRESS)
		x->version = shift_choose_version(s, now, hash,
						  session_version(x, s, now));
	x->rollout_active = true;
	require_version(x, s, now, criteria);
}

/*
 * Returns true if the other version may serve when the chosen one has no
 * server: the new one only once its roll-out is completed.
 */
static bool may_use_other_version(const struct exchange_request *x,
				  const struct traffic_shift *s)
{
	return x->version == SHIFT_NEW || s->plan.state == SHIFT_COMPLETED;
}

/*
 * Returns this node's part of the connections that the fleet may open to one
 * server, at least 1; 0 means no limit.
 */
static uint32_t max_in_flight(const struct exchange_request *x)
{
	route_handle h = route_find_service(x->routes, x->service);
	uint32_t max = x->routes->services[h].max_connections;

	return max ? MAX(max / fleet_task_live_count(x->g->fleet), 1) : 0;
}

/*
 * Sets what the choice of a server that shares its machine goes by: the model,
 * the prompt, and how long and how much servers of the service remember.
 */
static void add_shared_criteria(const struct exchange_request *x, size_t model,
				struct pick_criteria *criteria)
{
	route_handle h = route_find_service(x->routes, x->service);
	const char *name =
		x->model
			? x->route->models[model]
			: http_server_header(x->req, x->g->header_names->model);

	criteria->model = name ? XXH3_64bits(name, strlen(name)) : 1;
	criteria->prompt = &x->prompt;
	criteria->kv_capacity = x->routes->services[h].kv_capacity;
	criteria->prefix_memory_ms =
		(uint32_t)(1000 * x->g->settings->prefix_memory_s);
	criteria->live_nodes = fleet_task_live_count(x->g->fleet);
}

/* Returns the criteria for the server of an attempt with a model. */
static struct pick_criteria criteria_of(struct exchange_request *x,
					uint64_t now, size_t model)
{
	struct pick_criteria criteria = {
		.service = x->service,
		.zone = x->g->settings->zone,
		.affinity = affinity_of(x, model),
		.shared_tokens = x->prompt.shared_tokens,
		.input_tokens = x->prompt.input_tokens,
		.weight = model_weight(x, x->model ? x->route->models[model]
						   : NULL),
		.n_tried = x->n_tried,
		.max_in_flight = max_in_flight(x),
	};

	memcpy(criteria.tried, x->tried, sizeof(criteria.tried));
	if (service_shares_machines(&x->g->servers, x->service))
		add_shared_criteria(x, model, &criteria);
	/* Clients state the counts; no server runs what exceeds its memory. */
	if (criteria.kv_capacity) {
		criteria.input_tokens =
			MIN(criteria.input_tokens, criteria.kv_capacity);
		criteria.shared_tokens =
			MIN(criteria.shared_tokens, criteria.input_tokens);
	}
	choose_version(x, now, &criteria);
	return criteria;
}

/*
 * Returns the chance, 0 to 1, that an attempt with a model yields its first
 * event within the route's objective and its last one before the deadline.
 */
double exchange_chance_in_time(struct exchange_request *x, uint64_t now,
			       size_t model)
{
	struct pick_criteria criteria = criteria_of(x, now, model);
	struct pick_estimate o =
		pick_estimate_delay(&x->g->servers, now, &criteria);
	double elapsed_ms = (double)(now - x->started_at);
	double total_ms = o.first_event_ms +
			  o.event_ms * LONG_STREAM_FACTOR *
				  stream_lengths_mean(&x->g->stream_lengths,
						      x->route->name);
	double chance =
		cascade_chance_in_time((double)(x->deadline - now), total_ms);

	if (!x->route->objective_ms)
		return chance;
	return MIN(chance,
		   cascade_chance_in_time(x->route->objective_ms - elapsed_ms,
					  o.first_event_ms));
}

/*
 * Returns whether the models of the request are chosen by time and evidence: the
 * gateway names them, and the service's servers share their machines.
 */
bool exchange_chooses_by_time(const struct exchange_request *x)
{
	return x->g->times_models && x->model && x->route->n_models > 1 &&
	       x->route->n_models <= MODEL_CHOICE_MAX_MODELS &&
	       service_shares_machines(&x->g->servers, x->service);
}

/* Returns what the evidence of the request's models is kept by. */
struct model_key exchange_model_key(const struct exchange_request *x)
{
	const struct prompt_info *p = &x->prompt;
	const struct model_key key = {
		.route = XXH3_64bits(x->route->name, strlen(x->route->name)),
		.input_tokens = p->input_tokens,
		.part = p->n_parts ? p->parts[p->n_parts - 1] : 0,
	};

	return key;
}

/* Returns the chance that a second run will be allowed when it is wanted. */
static double escalation_chance(struct exchange_request *x, uint64_t now)
{
	if (!x->retry.repeatable || x->retry.sent + 1 >= x->retry.max_sent)
		return 0;
	return CLAMP(budget_remaining(&x->g->budget, now, x->service) /
			     CERTAIN_RETRIES,
		     0, 1);
}

/*
 * Stores what each model of the request's route is expected to take now, and
 * returns the request's situation.
 */
struct model_situation
exchange_describe_models(struct exchange_request *x, uint64_t now,
			 struct model_option options[MODEL_CHOICE_MAX_MODELS])
{
	const struct model_key key = exchange_model_key(x);
	double events =
		LONG_STREAM_FACTOR *
		stream_lengths_mean(&x->g->stream_lengths, x->route->name);
	double deadline_ms = (double)x->deadline - (double)now;
	double objective_ms =
		x->route->objective_ms ? x->route->objective_ms : deadline_ms;
	const struct model_situation s = {
		.objective_ms = objective_ms,
		.objective_left_ms =
			x->route->objective_ms
				? objective_ms - (double)(now - x->started_at)
				: deadline_ms,
		.deadline_left_ms = deadline_ms,
		.escalation_chance = escalation_chance(x, now),
		.draw = rng_unit(&x->g->rng),
	};

	for (size_t i = 0; i < x->route->n_models; i++) {
		struct pick_criteria criteria = criteria_of(x, now, i);
		struct pick_estimate o =
			pick_estimate_delay(&x->g->servers, now, &criteria);

		options[i].first_event_ms = o.first_event_ms;
		options[i].own_ms = o.own_ms;
		options[i].rest_ms = o.event_ms * events;
		options[i].work = criteria.weight;
		options[i].belief =
			model_choice_belief(&x->g->model_choice, now, &key, i);
	}
	return s;
}

/* Returns true if servers that were tried already may be tried again. */
static bool may_reuse_servers(const struct exchange_request *x)
{
	return x->n_tried && x->retry.repeatable &&
	       x->answer.result != RETRY_RESULT_REFUSED &&
	       x->answer.result != RETRY_RESULT_MISDIRECTED &&
	       x->answer.result != RETRY_RESULT_UNSERVED;
}

/*
 * Returns the server for the next attempt, or NULL, and sets x->work to what
 * the request adds to its load. Servers not tried yet are preferred to others,
 * and the chosen version to the other one.
 */
struct server_record *exchange_pick_server(struct exchange_request *x,
					   uint64_t now)
{
	struct server_table *servers = &x->g->servers;
	struct rng *rng = &x->g->rng;
	struct pick_criteria criteria = criteria_of(x, now, x->model_index);
	const struct traffic_shift *shift =
		shift_task_find(x->g->shifts, x->service);
	struct server_record *s =
		pick_best_server(servers, now, &criteria, rng, &x->work);

	if (!s && may_reuse_servers(x)) {
		criteria.n_tried = 0;
		s = pick_best_server(servers, now, &criteria, rng, &x->work);
	}
	if (!s && shift && may_use_other_version(x, shift)) {
		x->version = x->version == SHIFT_NEW ? SHIFT_OLD : SHIFT_NEW;
		require_version(x, shift, now, &criteria);
		s = pick_best_server(servers, now, &criteria, rng, &x->work);
	}
	x->fills = criteria.fill_share > 0;
	memset(&x->sample, 0, sizeof(x->sample));
	if (s)
		x->sample = pick_on_sent(servers, now, &criteria, s);
	return s;
}
