#include "route/choose.h"

#include <math.h>
#include <string.h>

#include "invariant.h"

#define TOKENS_PER_PRICE 1000.0

static const char *const reason_names[] = {
	"cheapest", "cascade", "best-known",   "pinned",      "repinned",
	"rollout",  "explore", "none-allowed", "none-usable",
};

/* Returns a reason's name for answers, spans and explanations. */
const char *choose_reason_name(enum choose_reason reason)
{
	return reason_names[reason];
}

/* Returns what a request costs at a version, in micro-units. */
double choose_expected_cost(const struct cfg *cfg, cfg_handle version,
			    double input_tokens, double output_tokens)
{
	const struct cfg_version *v = &cfg->versions[version];

	return (v->input_cost * input_tokens + v->output_cost * output_tokens) /
	       TOKENS_PER_PRICE;
}

static uint64_t bit(cfg_handle h)
{
	return (uint64_t)1 << h;
}

/* What the choice knows of each version while it is made. */
struct field {
	const struct cfg *cfg;
	const struct quality_table *q;
	const struct choose_request *req;
	double target;
	double cost[CFG_MAX_VERSIONS];
	struct quality_estimate quality[CFG_MAX_VERSIONS];
	uint64_t considered;
	uint64_t meets_target;
};

static uint64_t allowed_versions(const struct cfg *cfg,
				 const struct choose_request *req)
{
	uint64_t allowed = 0;

	for (size_t i = 0; i < cfg->n_versions; i++) {
		const struct cfg_version *v = &cfg->versions[i];

		if (req->model && strcmp(req->model, v->model) != 0 &&
		    strcmp(req->model, v->name) != 0)
			continue;
		if (cfg_may_use(cfg, req->org, (cfg_handle)i))
			allowed |= bit((cfg_handle)i);
	}
	return allowed;
}

static uint64_t serving_versions(const struct cfg *cfg)
{
	uint64_t serving = 0;

	for (size_t i = 0; i < cfg->n_versions; i++)
		if (cfg->versions[i].state == CFG_VERSION_SERVING)
			serving |= bit((cfg_handle)i);
	return serving;
}

static void judge_versions(struct field *f)
{
	for (size_t i = 0; i < f->cfg->n_versions; i++) {
		cfg_handle h = (cfg_handle)i;

		if (!(f->considered & bit(h)))
			continue;
		f->quality[i] = quality_estimate(f->q, f->cfg, h, f->req->kind);
		f->cost[i] = choose_expected_cost(
			f->cfg, h, f->req->input_tokens,
			quality_expected_output_tokens(f->q, h, f->req->kind));
		if (f->quality[i].enough && f->quality[i].lower >= f->target)
			f->meets_target |= bit(h);
	}
}

static cfg_handle cheapest_meeting(const struct field *f)
{
	cfg_handle best = CFG_NONE;

	for (size_t i = 0; i < f->cfg->n_versions; i++)
		if ((f->meets_target & bit((cfg_handle)i)) &&
		    (best == CFG_NONE || f->cost[i] < f->cost[best]))
			best = (cfg_handle)i;
	return best;
}

/* With nothing known to meet the target, the highest bound is the safest. */
static cfg_handle best_known(const struct field *f)
{
	cfg_handle best = CFG_NONE;

	for (size_t i = 0; i < f->cfg->n_versions; i++)
		if ((f->considered & bit((cfg_handle)i)) &&
		    (best == CFG_NONE ||
		     f->quality[i].lower > f->quality[best].lower))
			best = (cfg_handle)i;
	return best;
}

static bool can_cascade(const struct field *f)
{
	return !f->req->streamed && f->req->can_rate;
}

/*
 * Looks for a cheaper version to ask before `last`: its answer is rated and
 * passed on only at or above the target, so quality holds whatever it turns
 * out to be, also if little is known of it. The expected cost counts the
 * chance of escalating, one half where nothing is known.
 */
static cfg_handle cascade_first(const struct field *f, cfg_handle last,
				double *cost)
{
	cfg_handle first = CFG_NONE;

	*cost = f->cost[last];
	if (!can_cascade(f))
		return CFG_NONE;
	for (size_t i = 0; i < f->cfg->n_versions; i++) {
		double expected;

		if (!(f->considered & bit((cfg_handle)i)) || i == last)
			continue;
		expected = f->cost[i] +
			   (1 - f->quality[i].acceptance) * f->cost[last];
		if (expected < *cost) {
			*cost = expected;
			first = (cfg_handle)i;
		}
	}
	return first;
}

/* Draws, now and then, a cheaper version of which too little is known. */
static cfg_handle explore(const struct field *f, cfg_handle last,
			  struct rng *rng)
{
	cfg_handle unknown[CFG_MAX_VERSIONS];
	uint32_t n = 0;

	if (!can_cascade(f) || rng_unit(rng) >= CHOOSE_EXPLORE_SHARE)
		return CFG_NONE;
	for (size_t i = 0; i < f->cfg->n_versions; i++)
		if ((f->considered & bit((cfg_handle)i)) &&
		    !f->quality[i].enough && f->cost[i] < f->cost[last])
			unknown[n++] = (cfg_handle)i;
	return n ? unknown[rng_below(rng, n)] : CFG_NONE;
}

static struct choose_result choice_of(const struct field *f,
				      enum choose_reason reason,
				      cfg_handle first, cfg_handle second,
				      double cost)
{
	struct choose_result c = {
		.reason = reason,
		.first = first,
		.second = second,
		.rollout = CFG_NONE,
		.expected_cost = cost,
		.considered = f->considered,
		.meets_target = f->meets_target,
	};

	return c;
}

static struct choose_result choose_by_cost(struct field *f, struct rng *rng)
{
	cfg_handle last = cheapest_meeting(f);
	enum choose_reason reason = CHOOSE_CHEAPEST;
	cfg_handle first;
	double cost;

	if (last == CFG_NONE) {
		last = best_known(f);
		reason = CHOOSE_BEST_KNOWN;
	}
	first = explore(f, last, rng);
	if (first != CFG_NONE)
		return choice_of(f, CHOOSE_EXPLORE, first, last,
				 f->cost[first] + f->cost[last]);
	first = cascade_first(f, last, &cost);
	if (first != CFG_NONE)
		return choice_of(f, CHOOSE_CASCADE, first, last, cost);
	return choice_of(f, reason, last, CFG_NONE, f->cost[last]);
}

static double rollout_share(const struct cfg_rollout *r)
{
	switch (r->state) {
	case CFG_ROLLOUT_RUNNING:
	case CFG_ROLLOUT_PAUSED:
		return r->steps[r->step];
	case CFG_ROLLOUT_DONE:
		return 1;
	case CFG_ROLLOUT_STOPPED:
		return 0;
	}
	return 0;
}

/*
 * Moves the share of requests that a roll-out has reached from its old to its
 * new version, wherever the old one stands in the choice.
 */
static void apply_rollouts(const struct field *f, struct choose_result *c,
			   uint64_t allowed, struct rng *rng)
{
	for (size_t i = 0; i < f->cfg->n_rollouts; i++) {
		const struct cfg_rollout *r = &f->cfg->rollouts[i];
		uint64_t to = bit(r->to);
		bool last = c->second == CFG_NONE ? c->first == r->from
						  : c->second == r->from;

		if (!last || c->reason == CHOOSE_PINNED)
			continue;
		c->rollout = (cfg_handle)i;
		if (!(allowed & to & f->req->usable) ||
		    (f->req->held_back & to))
			continue;
		if (rng_unit(rng) >= rollout_share(r))
			continue;
		if (c->second == CFG_NONE)
			c->first = r->to;
		else
			c->second = r->to;
		if (c->reason != CHOOSE_REPINNED && c->second == CFG_NONE)
			c->reason = CHOOSE_ROLLOUT;
		return;
	}
}

static struct choose_result refused(enum choose_reason reason,
				    uint64_t considered)
{
	struct choose_result c = {
		.reason = reason,
		.first = CFG_NONE,
		.second = CFG_NONE,
		.rollout = CFG_NONE,
		.considered = considered,
	};

	return c;
}

static cfg_handle rollout_of(const struct cfg *cfg, cfg_handle version)
{
	for (size_t i = 0; i < cfg->n_rollouts; i++)
		if (cfg->rollouts[i].to == version ||
		    cfg->rollouts[i].from == version)
			return (cfg_handle)i;
	return CFG_NONE;
}

/*
 * Keeps a session on its version. If no server can run it at the moment, the
 * request is refused as not run rather than moved.
 */
static struct choose_result keep_pinned(const struct field *f)
{
	cfg_handle v = f->req->pinned;
	struct choose_result c;

	if (!(f->req->usable & bit(v)))
		return refused(CHOOSE_NONE_AVAILABLE, bit(v));
	c = choice_of(f, CHOOSE_PINNED, v, CFG_NONE,
		      choose_expected_cost(f->cfg, v, f->req->input_tokens,
					   quality_expected_output_tokens(
						   f->q, v, f->req->kind)));
	c.rollout = rollout_of(f->cfg, v);
	return c;
}

/*
 * Chooses what answers a request: only versions that the organisation may use
 * and that are not withdrawn; a session's own version if it has one; else the
 * lowest expected cost that is known to meet the quality target, a cascade
 * included; then the draw of a running roll-out.
 */
struct choose_result choose_for_request(const struct cfg *cfg,
					const struct quality_table *q,
					const struct choose_request *req,
					struct rng *rng)
{
	struct field f = {.cfg = cfg, .q = q, .req = req};
	uint64_t allowed = allowed_versions(cfg, req);
	bool repinned = false;
	struct choose_result c;

	f.target = cfg->orgs[req->org].target[req->kind];
	if (req->pinned != CFG_NONE) {
		if (cfg_may_use(cfg, req->org, req->pinned))
			return keep_pinned(&f);
		repinned = true;
	}
	if (!allowed)
		return refused(CHOOSE_NONE_ALLOWED, 0);
	f.considered = allowed & serving_versions(cfg) & req->usable;
	if (!f.considered)
		return refused(CHOOSE_NONE_AVAILABLE, allowed);
	judge_versions(&f);
	c = choose_by_cost(&f, rng);
	if (repinned)
		c.reason = CHOOSE_REPINNED;
	apply_rollouts(&f, &c, allowed, rng);
	INVARIANT(cfg_may_use(cfg, req->org, c.first),
		  "choice: only allowed versions that are not withdrawn");
	INVARIANT(c.second == CFG_NONE || cfg_may_use(cfg, req->org, c.second),
		  "choice: only allowed versions that are not withdrawn");
	return c;
}
