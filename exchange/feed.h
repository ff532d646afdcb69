#ifndef EXCHANGE_FEED_H
#define EXCHANGE_FEED_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "exchange/servers.h"

/*
 * What a source of configuration, servers and roll-out orders tells, and what
 * it is asked to write. The source is the only code that knows in what form
 * they are kept.
 */
enum feed_topic {
	FEED_CONFIG,
	FEED_SERVERS,
	FEED_ROLLOUTS,
	FEED_TOPIC_COUNT,
};

enum feed_rollout_state {
	FEED_ROLLOUT_ORDERED, /* nobody has taken it up */
	FEED_ROLLOUT_RUNNING,
	FEED_ROLLOUT_COMPLETED,
	FEED_ROLLOUT_REVERTED,
};

struct feed_rollout {
	const char *service;
	const char *target; /* version */
	uint32_t over_ms;
	enum feed_rollout_state state;
	uint64_t revision;
};

struct feed_handlers {
	/* A configuration in the product's form, owned by the caller. */
	void (*config)(void *user, struct json_object *doc, uint64_t revision);
	void (*server)(void *user, const struct server_entry *entry);
	void (*server_removed)(void *user, const char *id, uint64_t revision);
	/* A whole list begins or has ended. */
	void (*list)(void *user, enum feed_topic topic, bool ended);
	void (*rollout)(void *user, const struct feed_rollout *order);
	void (*rollout_removed)(void *user, const char *service);
	/* All changes up to this revision have been told. */
	void (*current)(void *user, enum feed_topic topic, uint64_t revision);
	void (*lost)(void *user, enum feed_topic topic, const char *reason);
};

typedef void (*feed_write_done)(void *user, bool applied, bool lost_race);

#endif
