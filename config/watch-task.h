#ifndef CONFIG_WATCH_TASK_H
#define CONFIG_WATCH_TASK_H

#include <stdbool.h>
#include <stdint.h>

#include "config/view.h"

struct node;

/* Follows the head of the stored configuration and applies new revisions. */
struct cfg_watch;

struct cfg_watch *cfg_watch_start(struct node *n);
void cfg_watch_stop(struct cfg_watch *t);
void cfg_watch_on_peer_head(struct cfg_watch *t, uint64_t now,
			    uint64_t revision, bool confirmed,
			    uint64_t confirmed_at);
const struct cfg_view *cfg_watch_view(const struct cfg_watch *t);
bool cfg_watch_store_unreachable(const struct cfg_watch *t, uint64_t now);

#endif
