#ifndef EXCHANGE_FEED_H
#define EXCHANGE_FEED_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "exchange/feed-revision.h"
#include "exchange/servers.h"

/*
 * Interface between the node and the source of its configuration, server list
 * and roll-out orders. Only the source knows the format in which these are
 * stored.
 */
enum feed_topic {
	FEED_CONFIG,
	FEED_SERVERS,
	FEED_ROLLOUTS,
	FEED_EVACUATIONS, /* only with the setting evacuation_ms */
	FEED_TOPIC_COUNT,
};

/* State of a roll-out, as stored with its order. */
enum feed_rollout_state {
	FEED_ROLLOUT_ORDERED, /* no node has started it */
	FEED_ROLLOUT_RUNNING,
	FEED_ROLLOUT_COMPLETED,
	FEED_ROLLOUT_REVERTED,
};

/* An order to move a service's traffic to a version. */
struct feed_rollout {
	const char *service;
	const char *target; /* version */
	uint32_t time_limit_ms; /* from the order to completion */
	enum feed_rollout_state state;
	uint64_t revision; /* of the stored order */
};

/* Callbacks by which a source reports changes; user is the receiver's. */
struct feed_handlers {
	/* A new configuration. The caller keeps its reference to doc. */
	void (*config)(void *user, struct json_object *doc, uint64_t revision);
	/* A server entry was added or changed. */
	void (*server)(void *user, const struct server_entry *entry);
	void (*server_removed)(void *user, const char *id, uint64_t revision);
	/* A complete listing of a topic starts, or has ended. */
	void (*list)(void *user, enum feed_topic topic, bool ended);
	/* A roll-out order was added or changed. */
	void (*rollout)(void *user, const struct feed_rollout *order);
	void (*rollout_removed)(void *user, const char *service);
	/* A zone is evacuated, or taken back, from the next `current` on. */
	void (*evacuation)(void *user, const char *zone, bool evacuated);
	/* All changes up to this revision have been reported. */
	void (*current)(void *user, enum feed_topic topic, uint64_t revision);
	/* The source cannot be read; the reason is for logs. */
	void (*lost)(void *user, enum feed_topic topic, const char *reason);
};

/*
 * Reports the end of a write to the source. applied: the new value is stored.
 * lost_race: another writer changed the object first.
 */
typedef void (*feed_write_done)(void *user, bool applied, bool lost_race);

#endif
