#ifndef EXCHANGE_PREFIX_CACHE_H
#define EXCHANGE_PREFIX_CACHE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The beginnings of prompts that servers are believed to hold, by what this node
 * has sent there. Times are milliseconds of the node's own clock.
 */
#define PREFIX_CACHE_MAX_HOLDERS 4 /* of one beginning; the oldest goes first */
#define PREFIX_CACHE_MAX_ENTRIES 8192

/* A server at a moment. */
struct prefix_cache_server {
	uint64_t id; /* hash */
	uint64_t boot; /* differs between its starts */
	uint64_t sent; /* tokens sent there until now */
};

/* A server that holds a beginning since it was sent there. */
struct prefix_cache_holder {
	struct prefix_cache_server server; /* when the beginning was sent */
	uint64_t service_sent; /* tokens sent to the service until then */
	uint64_t used_at; /* 0: unused */
};

/* One beginning for one model. */
struct prefix_cache_entry {
	uint64_t key;
	uint64_t used_at; /* at any server */
	struct prefix_cache_holder holders[PREFIX_CACHE_MAX_HOLDERS];
};

struct prefix_cache {
	GHashTable *entries; /* key -> struct prefix_cache_entry */
	uint64_t swept_at;
};

/* By when a server has dropped what it held. */
struct prefix_cache_limits {
	uint64_t memory_ms; /* without use */
	uint64_t capacity; /* tokens that fit beside those in use; 0: none */
	bool has_capacity; /* false: not known, so it does not count */
	uint64_t service_sent; /* tokens sent by this node to the service */
	/* Of the fleet's tokens to one server, by one of this node's to any. */
	double server_share;
};

void prefix_cache_init(struct prefix_cache *c);
void prefix_cache_clear(struct prefix_cache *c);
uint64_t prefix_cache_key(uint64_t beginning, uint64_t model);
const struct prefix_cache_entry *prefix_cache_find(const struct prefix_cache *c,
						   uint64_t key);
bool prefix_cache_is_recent(const struct prefix_cache_entry *e, uint64_t now,
			    uint64_t memory_ms);
bool prefix_cache_holds(const struct prefix_cache_entry *e, uint64_t now,
			const struct prefix_cache_server *s,
			const struct prefix_cache_limits *l);
void prefix_cache_add(struct prefix_cache *c, uint64_t now, uint64_t key,
		      const struct prefix_cache_server *s,
		      const struct prefix_cache_limits *l);

#endif
