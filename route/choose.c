#include "route/choose.h"

#include <math.h>
#include <string.h>

#include "invariant.h"

#define TOKENS_PER_PRICE_UNIT 1000.0 /* versions are priced per 1000 tokens */

/* Indexed by enum choose_reason. */
static const char *const reason_names[] = {
	"cheapest", "cascade", "best-known",   "pinned",      "repinned",
	"rollout",  "explore", "none-allowed", "none-usable",
};

/* Returns the static name of a reason, for responses, spans and explain. */
const char *choose_reason_name(enum choose_reason reason)
{
	return reason_names[reason];
}

/* Returns the cost of a request at a version, in micro-units. */
double choose_expected_cost(const struct cfg *cfg, cfg_handle version,
			    double input_tokens, double output_tokens)
{
	const struct cfg_version *v = &cfg->versions[version];

	return (v->input_cost * input_tokens + v->output_cost * output_tokens) /
	       TOKENS_PER_PRICE_UNIT;
}

static uint64_t bit(cfg_handle h)
{
	return (uint64_t)1 << h;
}

/* The versions under consideration for one request, indexed by handle. */
struct candidates {
	const struct cfg *cfg;
	const struct quality_table *q;
	const struct choose_request *req;
	double target; /* quality wanted, 0 to 1 */
	double cost[CFG_MAX_VERSIONS]; /* micro-units */
	struct quality_estimate quality[CFG_MAX_VERSIONS];
	uint64_t considered; /* bit i: version i */
	uint64_t meets_target; /* bit i: version i */
};

/*
 * Returns the versions that match the requested model and that the
 * organisation may use.
 */
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

/* Estimates the quality and expected cost of each considered version. */
static void evaluate_candidates(struct candidates *cand)
{
	for (size_t i = 0; i < cand->cfg->n_versions; i++) {
		cfg_handle h = (cfg_handle)i;

		if (!(cand->considered & bit(h)))
			continue;
		cand->quality[i] = quality_estimate(cand->q, cand->cfg, h,
						    cand->req->kind);
		cand->cost[i] = choose_expected_cost(
			cand->cfg, h, cand->req->input_tokens,
			quality_expected_output_tokens(cand->q, h,
						       cand->req->kind));
		if (cand->quality[i].enough &&
		    cand->quality[i].lower >= cand->target)
			cand->meets_target |= bit(h);
	}
}

static cfg_handle cheapest_that_meets_target(const struct candidates *cand)
{
	cfg_handle best = CFG_NONE;

	for (size_t i = 0; i < cand->cfg->n_versions; i++)
		if ((cand->meets_target & bit((cfg_handle)i)) &&
		    (best == CFG_NONE || cand->cost[i] < cand->cost[best]))
			best = (cfg_handle)i;
	return best;
}

/*
 * Returns the considered version with the highest lower bound on quality, the
 * safest choice when none is known to meet the target.
 */
static cfg_handle highest_lower_bound(const struct candidates *cand)
{
	cfg_handle best = CFG_NONE;

	for (size_t i = 0; i < cand->cfg->n_versions; i++)
		if ((cand->considered & bit((cfg_handle)i)) &&
		    (best == CFG_NONE ||
		     cand->quality[i].lower > cand->quality[best].lower))
			best = (cfg_handle)i;
	return best;
}

/*
 * A cascade has to rate the whole first answer before any of it is sent, which
 * a streamed response doesn't allow.
 */
static bool can_cascade(const struct candidates *cand)
{
	return !cand->req->streamed && cand->req->can_rate;
}

/*
 * Returns the version to ask before `last` so that the expected cost is
 * lowest, or CFG_NONE if asking `last` alone costs no more. Sets *cost to the
 * expected cost. The first answer is rated and sent only if it reaches the
 * target, so a version with few ratings can't lower the quality. The expected
 * cost includes the probability that `last` is needed too, which is 1/2 for a
 * version without ratings.
 */
static cfg_handle cheaper_first_version(const struct candidates *cand,
					cfg_handle last, double *cost)
{
	cfg_handle first = CFG_NONE;

	*cost = cand->cost[last];
	if (!can_cascade(cand))
		return CFG_NONE;
	for (size_t i = 0; i < cand->cfg->n_versions; i++) {
		double expected;

		if (!(cand->considered & bit((cfg_handle)i)) || i == last)
			continue;
		expected = cand->cost[i] +
			   (1 - cand->quality[i].acceptance) * cand->cost[last];
		if (expected < *cost) {
			*cost = expected;
			first = (cfg_handle)i;
		}
	}
	return first;
}

/*
 * Returns, for CHOOSE_EXPLORE_SHARE of the requests, a random version that is
 * cheaper than `last` and has too few ratings; otherwise CFG_NONE.
 */
static cfg_handle pick_version_to_explore(const struct candidates *cand,
					  cfg_handle last, struct rng *rng)
{
	cfg_handle unknown[CFG_MAX_VERSIONS];
	uint32_t n = 0;

	if (!can_cascade(cand) || rng_unit(rng) >= CHOOSE_EXPLORE_SHARE)
		return CFG_NONE;
	for (size_t i = 0; i < cand->cfg->n_versions; i++)
		if ((cand->considered & bit((cfg_handle)i)) &&
		    !cand->quality[i].enough &&
		    cand->cost[i] < cand->cost[last])
			unknown[n++] = (cfg_handle)i;
	return n ? unknown[rng_below(rng, n)] : CFG_NONE;
}

static struct choose_result make_result(const struct candidates *cand,
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
		.considered = cand->considered,
		.meets_target = cand->meets_target,
	};

	return c;
}

/*
 * Chooses the lowest expected cost that meets the target, alone or as a
 * cascade, or a version to explore.
 */
static struct choose_result choose_by_expected_cost(struct candidates *cand,
						    struct rng *rng)
{
	cfg_handle last = cheapest_that_meets_target(cand);
	enum choose_reason reason = CHOOSE_CHEAPEST;
	cfg_handle first;
	double cost;

	if (last == CFG_NONE) {
		last = highest_lower_bound(cand);
		reason = CHOOSE_BEST_KNOWN;
	}
	first = pick_version_to_explore(cand, last, rng);
	if (first != CFG_NONE)
		return make_result(cand, CHOOSE_EXPLORE, first, last,
				   cand->cost[first] + cand->cost[last]);
	first = cheaper_first_version(cand, last, &cost);
	if (first != CFG_NONE)
		return make_result(cand, CHOOSE_CASCADE, first, last, cost);
	return make_result(cand, reason, last, CFG_NONE, cand->cost[last]);
}

/* Returns the share of requests for the new version at a roll-out's step. */
static double current_share(const struct cfg_rollout *r)
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
 * Replaces a roll-out's old version by its new one for the share of requests
 * that the roll-out has reached. Only the version whose answer is final counts:
 * the second of a cascade, or the single one. Pinned sessions don't move.
 */
static void apply_rollouts(const struct candidates *cand,
			   struct choose_result *c, uint64_t allowed,
			   struct rng *rng)
{
	for (size_t i = 0; i < cand->cfg->n_rollouts; i++) {
		const struct cfg_rollout *r = &cand->cfg->rollouts[i];
		uint64_t to = bit(r->to);
		bool is_final = c->second == CFG_NONE ? c->first == r->from
						      : c->second == r->from;

		if (!is_final || c->reason == CHOOSE_PINNED)
			continue;
		c->rollout = (cfg_handle)i;
		if (!(allowed & to & cand->req->usable) ||
		    (cand->req->withheld_versions & to))
			continue;
		if (rng_unit(rng) >= current_share(r))
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

static struct choose_result refusal(enum choose_reason reason,
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

/* Returns the roll-out that a version is part of, old or new, or CFG_NONE. */
static cfg_handle find_rollout(const struct cfg *cfg, cfg_handle version)
{
	for (size_t i = 0; i < cfg->n_rollouts; i++)
		if (cfg->rollouts[i].to == version ||
		    cfg->rollouts[i].from == version)
			return (cfg_handle)i;
	return CFG_NONE;
}

/*
 * Keeps a session on its version. If no server can run it now, the request is
 * refused as not run instead of being sent to another version.
 */
static struct choose_result choose_pinned(const struct candidates *cand)
{
	cfg_handle v = cand->req->pinned;
	struct choose_result c;

	if (!(cand->req->usable & bit(v)))
		return refusal(CHOOSE_NONE_AVAILABLE, bit(v));
	c = make_result(
		cand, CHOOSE_PINNED, v, CFG_NONE,
		choose_expected_cost(cand->cfg, v, cand->req->input_tokens,
				     quality_expected_output_tokens(
					     cand->q, v, cand->req->kind)));
	c.rollout = find_rollout(cand->cfg, v);
	return c;
}

/*
 * Chooses the version or cascade that answers a request. Only versions that
 * the organisation may use and that are not withdrawn are eligible. A session
 * keeps its version. Otherwise the lowest expected cost among the versions and
 * cascades that meet the quality target is chosen; then roll-outs move their
 * share of requests to their new versions. Returns a result with `first`
 * CFG_NONE if no version is eligible.
 */
struct choose_result choose_for_request(const struct cfg *cfg,
					const struct quality_table *q,
					const struct choose_request *req,
					struct rng *rng)
{
	struct candidates cand = {.cfg = cfg, .q = q, .req = req};
	uint64_t allowed = allowed_versions(cfg, req);
	bool repinned = false;
	struct choose_result c;

	cand.target = cfg->orgs[req->org].target[req->kind];
	if (req->pinned != CFG_NONE) {
		if (cfg_may_use(cfg, req->org, req->pinned))
			return choose_pinned(&cand);
		repinned = true;
	}
	if (!allowed)
		return refusal(CHOOSE_NONE_ALLOWED, 0);
	cand.considered = allowed & serving_versions(cfg) & req->usable;
	if (!cand.considered)
		return refusal(CHOOSE_NONE_AVAILABLE, allowed);
	evaluate_candidates(&cand);
	c = choose_by_expected_cost(&cand, rng);
	if (repinned)
		c.reason = CHOOSE_REPINNED;
	apply_rollouts(&cand, &c, allowed, rng);
	INVARIANT(cfg_may_use(cfg, req->org, c.first),
		  "choice: the version is allowed and not withdrawn");
	INVARIANT(c.second == CFG_NONE || cfg_may_use(cfg, req->org, c.second),
		  "choice: the version is allowed and not withdrawn");
	return c;
}
