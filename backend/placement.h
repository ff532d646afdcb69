#ifndef BACKEND_PLACEMENT_H
#define BACKEND_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "config/config.h"

/*
 * Which versions an engine is to have loaded, and the next order that brings
 * it there. Orders state the wanted end and carry the configuration's
 * revision as fencing number; one that lands late does no harm, since the
 * next report shows it and the order of the day is given again.
 */
enum placement_action {
	PLACEMENT_NONE,
	PLACEMENT_LOAD,
	PLACEMENT_UNLOAD,
};

struct placement_order {
	enum placement_action kind;
	cfg_handle version;
	uint64_t fence;
};

uint64_t placement_wanted_versions(const struct cfg *cfg, cfg_handle service);
struct placement_order placement_next_order(const struct cfg *cfg,
					    cfg_handle service,
					    uint64_t loaded);

#endif
