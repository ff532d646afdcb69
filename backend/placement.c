#include "backend/placement.h"

#include <stddef.h>

static bool is_rolled_out(const struct cfg *cfg, cfg_handle version)
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
		return is_rolled_out(cfg, version);
	case CFG_VERSION_WITHDRAWN:
		return false;
	}
	return false;
}

/*
 * Returns the versions that engines of a service are to have: those that
 * serve and those that a roll-out leads to.
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

static cfg_handle lowest(uint64_t set)
{
	cfg_handle h = 0;

	while (!((set >> h) & 1))
		h++;
	return h;
}

/*
 * Returns the next order for an engine that reports these versions: what is
 * lacking is loaded first. Only withdrawn versions are unloaded, so an order
 * by an old configuration never takes away what a newer one needs.
 */
struct placement_order placement_next_order(const struct cfg *cfg,
					    cfg_handle service, uint64_t loaded)
{
	uint64_t lacking = placement_wanted_versions(cfg, service) & ~loaded;
	struct placement_order o = {.fence = cfg->revision};

	if (lacking) {
		o.kind = PLACEMENT_LOAD;
		o.version = lowest(lacking);
		return o;
	}
	for (size_t i = 0; i < cfg->n_versions; i++) {
		if (!((loaded >> i) & 1) ||
		    cfg->versions[i].service != service ||
		    cfg->versions[i].state != CFG_VERSION_WITHDRAWN)
			continue;
		o.kind = PLACEMENT_UNLOAD;
		o.version = (cfg_handle)i;
		return o;
	}
	return o;
}
