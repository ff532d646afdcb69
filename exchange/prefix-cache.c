#include "exchange/prefix-cache.h"

#include <xxhash.h>

#define SWEEP_INTERVAL_MS 1000

/* Initialises an empty cache. */
void prefix_cache_init(struct prefix_cache *c)
{
	c->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   g_free);
	c->swept_at = 0;
}

/* Frees all entries. */
void prefix_cache_clear(struct prefix_cache *c)
{
	g_hash_table_unref(c->entries);
}

/* Returns the key of a beginning for a model: others cannot use what it holds. */
uint64_t prefix_cache_key(uint64_t beginning, uint64_t model)
{
	const uint64_t both[2] = {beginning, model};

	return XXH3_64bits(both, sizeof(both));
}

/* Returns the entry of a key, or NULL. */
const struct prefix_cache_entry *prefix_cache_find(const struct prefix_cache *c,
						   uint64_t key)
{
	return g_hash_table_lookup(c->entries, &key);
}

/* Returns whether this node has sent the beginning anywhere within memory_ms. */
bool prefix_cache_is_recent(const struct prefix_cache_entry *e, uint64_t now,
			    uint64_t memory_ms)
{
	return e && now - e->used_at <= memory_ms;
}

/*
 * Returns whether the tokens sent since have replaced a beginning: those of this
 * node there, or the share of the fleet's, whichever is more.
 */
static bool is_evicted(const struct prefix_cache_holder *h,
		       const struct prefix_cache_server *s,
		       const struct prefix_cache_limits *l)
{
	double own = (double)(s->sent - h->server.sent);
	double fleet =
		(double)(l->service_sent - h->service_sent) * l->server_share;

	return l->has_capacity && MAX(own, fleet) >= (double)l->capacity;
}

/* Returns whether a server is believed to hold a beginning; NULL: not sent. */
bool prefix_cache_holds(const struct prefix_cache_entry *e, uint64_t now,
			const struct prefix_cache_server *s,
			const struct prefix_cache_limits *l)
{
	for (uint32_t i = 0; e && i < PREFIX_CACHE_MAX_HOLDERS; i++) {
		const struct prefix_cache_holder *h = &e->holders[i];

		if (!h->used_at || h->server.id != s->id)
			continue;
		return h->server.boot == s->boot &&
		       now - h->used_at <= l->memory_ms && !is_evicted(h, s, l);
	}
	return false;
}

/* Frees the entries that no server can hold any more, at most once a second. */
static void sweep(struct prefix_cache *c, uint64_t now, uint64_t memory_ms)
{
	GHashTableIter it;
	void *value;

	if (now - c->swept_at < SWEEP_INTERVAL_MS)
		return;
	c->swept_at = now;
	g_hash_table_iter_init(&it, c->entries);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (!prefix_cache_is_recent(value, now, memory_ms))
			g_hash_table_iter_remove(&it);
}

/* Returns the place of a server in an entry, or that used least recently. */
static struct prefix_cache_holder *place_of(struct prefix_cache_entry *e,
					    uint64_t server)
{
	struct prefix_cache_holder *oldest = &e->holders[0];

	for (uint32_t i = 0; i < PREFIX_CACHE_MAX_HOLDERS; i++) {
		if (e->holders[i].used_at && e->holders[i].server.id == server)
			return &e->holders[i];
		if (e->holders[i].used_at < oldest->used_at)
			oldest = &e->holders[i];
	}
	return oldest;
}

/*
 * Stores that a server gets a beginning now. A new one is left out while the
 * cache is full, so that no client can make a node forget the beginnings in use.
 */
void prefix_cache_add(struct prefix_cache *c, uint64_t now, uint64_t key,
		      const struct prefix_cache_server *s,
		      const struct prefix_cache_limits *l)
{
	struct prefix_cache_entry *e;

	sweep(c, now, l->memory_ms);
	e = g_hash_table_lookup(c->entries, &key);
	if (!e) {
		if (g_hash_table_size(c->entries) >= PREFIX_CACHE_MAX_ENTRIES)
			return;
		e = g_new0(struct prefix_cache_entry, 1);
		e->key = key;
		g_hash_table_insert(c->entries, &e->key, e);
	}
	e->used_at = now;
	*place_of(e, s->id) = (struct prefix_cache_holder) {
		.server = *s,
		.service_sent = l->service_sent,
		.used_at = MAX(now, 1),
	};
}
