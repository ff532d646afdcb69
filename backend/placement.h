#ifndef BACKEND_PLACEMENT_H
#define BACKEND_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "config/config.h"

/*
 * Decides which versions a backend server should have loaded and the next order
 * that gets it there. An order states whether a version is to be loaded and
 * carries the configuration's revision as its fencing number. One that arrives
 * late does no harm: the next report shows its effect, and the order that is
 * needed now is sent again.
 */
enum placement_action {
	PLACEMENT_NONE,
	PLACEMENT_LOAD,
	PLACEMENT_UNLOAD,
};

struct placement_order {
	enum placement_action action;
	cfg_handle version;
	uint64_t fence; /* revision of the configuration */
};

uint64_t placement_wanted_versions(const struct cfg *cfg, cfg_handle service);
struct placement_order placement_next_order(const struct cfg *cfg,
					    cfg_handle service,
					    uint64_t loaded);

#endif
