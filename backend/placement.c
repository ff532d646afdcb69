#include "backend/placement.h"

#include <stddef.h>

static bool has_unstopped_rollout(const struct cfg *cfg, cfg_handle version)
{
	cfg_handle r = cfg_find_rollout_to(cfg, version);

	if (r == CFG_NONE)
		return false;
	return cfg->rollouts[r].state != CFG_ROLLOUT_STOPPED;
}

static bool is_wanted(const struct cfg *cfg, cfg_handle version)
{
	switch (cfg->versions[version].state) {
	case CFG_VERSION_SERVING:
		return true;
	case CFG_VERSION_CANDIDATE:
		return has_unstopped_rollout(cfg, version);
	case CFG_VERSION_WITHDRAWN:
		return false;
	}
	return false;
}

/*
 * Returns a bit for each version that the servers of a service should have
 * loaded: those in state "serving" and candidates of a roll-out that has not
 * been stopped.
 */
uint64_t placement_wanted_versions(const struct cfg *cfg, cfg_handle service)
{
	uint64_t wanted = 0;

	for (size_t i = 0; i < cfg->n_versions; i++)
		if (cfg->versions[i].service == service &&
		    is_wanted(cfg, (cfg_handle)i))
			wanted |= (uint64_t)1 << i;
	return wanted;
}

/* Returns the number of the lowest bit of a set that is not empty. */
static cfg_handle lowest_bit(uint64_t set)
{
	cfg_handle h = 0;

	while (!((set >> h) & 1))
		h++;
	return h;
}

/*
 * Returns the next order for a server of a service that reports the versions
 * `loaded`, or PLACEMENT_NONE. Missing versions are loaded first. Only
 * withdrawn versions are unloaded, so an order from an old configuration never
 * unloads a version that a newer one needs.
 */
struct placement_order placement_next_order(const struct cfg *cfg,
					    cfg_handle service, uint64_t loaded)
{
	uint64_t missing = placement_wanted_versions(cfg, service) & ~loaded;
	struct placement_order o = {.fence = cfg->revision};

	if (missing) {
		o.action = PLACEMENT_LOAD;
		o.version = lowest_bit(missing);
		return o;
	}
	for (size_t i = 0; i < cfg->n_versions; i++) {
		if (!((loaded >> i) & 1) ||
		    cfg->versions[i].service != service ||
		    cfg->versions[i].state != CFG_VERSION_WITHDRAWN)
			continue;
		o.action = PLACEMENT_UNLOAD;
		o.version = (cfg_handle)i;
		return o;
	}
	return o;
}
