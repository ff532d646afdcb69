#ifndef CONFIG_VIEW_H
#define CONFIG_VIEW_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides which revision of the configuration a node serves, and whether it is
 * sure enough of it to accept new work. Times are milliseconds of the node's
 * own clock.
 */
#define CFG_VIEW_MAX_AGE_MS 6000

/* What a node knows of its peers when it decides. */
struct cfg_view_peers {
	uint32_t members; /* with this node and dead ones, not leaving ones */
	uint32_t without_store; /* an estimate of those that cannot reach it */
};

struct cfg_view {
	uint64_t in_force; /* revision that is served; 0: none yet */
	uint64_t latest; /* highest revision seen as the head */
	uint64_t latest_confirmed_at; /* last time known to be the head */
	uint64_t in_force_confirmed_at; /* the same for the one in force */
	bool ever_confirmed; /* in_force_confirmed_at holds a time */
};

enum cfg_view_action {
	CFG_VIEW_NO_ACTION,
	CFG_VIEW_FETCH, /* the head's revision is above the one in force */
};

enum cfg_view_state {
	CFG_VIEW_EMPTY, /* no configuration yet */
	CFG_VIEW_FRESH, /* in force was the head within CFG_VIEW_MAX_AGE_MS */
	CFG_VIEW_OUTAGE, /* a majority of the members cannot reach the store */
	CFG_VIEW_STALE, /* may be out of date: no new work */
};

enum cfg_view_action cfg_view_on_head(struct cfg_view *v, uint64_t now,
				      uint64_t confirmed_at, uint64_t revision);
bool cfg_view_on_fetched(struct cfg_view *v, uint64_t revision);
enum cfg_view_state cfg_view_evaluate(const struct cfg_view *v, uint64_t now,
				      const struct cfg_view_peers *peers);
bool cfg_view_accepts_work(enum cfg_view_state state);
const char *cfg_view_state_name(enum cfg_view_state state);
uint64_t cfg_view_age_ms(const struct cfg_view *v, uint64_t now);

#endif
