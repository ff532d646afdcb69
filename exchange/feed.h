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
enum fed_topic {
	FED_CONFIG,
	FED_SERVERS,
	FED_ROLLOUTS,
	FED_TOPICS,
};

enum fed_rollout_state {
	FED_ORDERED, /* nobody has taken it up */
	FED_RUNNING,
	FED_COMPLETED,
	FED_REVERTED,
};

struct fed_rollout {
	const char *service;
	const char *target; /* version */
	uint32_t over_ms;
	enum fed_rollout_state state;
	uint64_t revision;
};

struct fed_events {
	/* A configuration in the product's form, owned by the caller. */
	void (*config)(void *user, struct json_object *doc, uint64_t revision);
	void (*server)(void *user, const struct svt_entry *entry);
	void (*server_gone)(void *user, const char *id, uint64_t revision);
	/* A whole list begins or has ended. */
	void (*list)(void *user, enum fed_topic topic, bool ended);
	void (*rollout)(void *user, const struct fed_rollout *order);
	void (*rollout_gone)(void *user, const char *service);
	/* All changes up to this revision have been told. */
	void (*current)(void *user, enum fed_topic topic, uint64_t revision);
	void (*lost)(void *user, enum fed_topic topic, const char *reason);
};

typedef void (*fed_written)(void *user, bool taken_effect, bool lost_race);

#endif
