#ifndef CRASH_CRASH_KEYS_H
#define CRASH_CRASH_KEYS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Finds what the requests that crash servers have in common, by what was running
 * at servers that crashed, at any node. A key is a part of a prompt, or the
 * fingerprint of a whole request that clients repeat. Pure; times in ms.
 */

#define CRASH_KEYS_MAX 512 /* kept at the same time */
#define CRASH_KEY_MAX_OBSERVATIONS 32 /* kept of one key */
#define CRASH_KEYS_KNOWN_GOOD_SETS 1024
#define CRASH_KEYS_KNOWN_GOOD_WAYS 4
#define CRASH_KEY_REQUEST_DEPTH 256 /* depth of a whole request's key */

/* A request with the key was running at a server when that crashed. */
struct crash_observation {
	uint64_t key;
	uint64_t server; /* hash of its id */
	uint64_t request; /* hash of its id */
	uint32_t depth; /* index in the prompt, or CRASH_KEY_REQUEST_DEPTH */
	uint64_t at;
};

/* Observations of one key. */
struct crash_key {
	uint64_t key;
	uint32_t depth;
	bool blocked; /* requests with it are not sent */
	uint64_t blocked_at; /* when `blocked` changed; 0: never */
	uint64_t last_at; /* of all observations, also of those not kept */
	uint32_t n;
	struct crash_observation observation[CRASH_KEY_MAX_OBSERVATIONS];
	uint8_t sends_left[CRASH_KEY_MAX_OBSERVATIONS]; /* to other nodes */
};

struct crash_keys {
	GPtrArray *keys; /* struct crash_key */
	GHashTable *by_key; /* the same, by struct crash_key.key */
	/* Keys of complete answers: a cache that drops the oldest of a set. */
	struct crash_keys_known_good {
		uint64_t key;
		uint64_t at; /* 0: unused */
	} known_good[CRASH_KEYS_KNOWN_GOOD_SETS][CRASH_KEYS_KNOWN_GOOD_WAYS];
	uint32_t summary_next; /* first observation of the next summary */
	bool changed; /* since the last crash_keys_update() */
	uint64_t next_trial_at; /* of a blocked request; UINT64_MAX: none */
};

typedef void (*crash_keys_log)(void *user, const struct crash_key *p,
			       uint32_t crashes, uint32_t requests);

void crash_keys_init(struct crash_keys *c);
void crash_keys_clear(struct crash_keys *c);
void crash_keys_on_answer(struct crash_keys *c, uint64_t now,
			  const uint64_t *keys, uint32_t n);
void crash_keys_on_peer_answer(struct crash_keys *c, uint64_t at, uint64_t key);
uint64_t crash_keys_answered_at(const struct crash_keys *c, uint64_t now,
				uint64_t key);
void crash_keys_add(struct crash_keys *c, const struct crash_observation *s,
		    bool seen_here);
void crash_keys_update(struct crash_keys *c, uint64_t now, crash_keys_log log,
		       void *user);
uint64_t crash_keys_blocked_ms(const struct crash_keys *c, uint64_t now,
			       const uint64_t *keys, uint32_t n);
bool crash_keys_on_trial(const struct crash_keys *c, uint64_t now,
			 const uint64_t *keys, uint32_t n);
bool crash_key_is_request(const struct crash_key *p);
uint32_t crash_keys_count_blocked(const struct crash_keys *c, bool requests);
uint32_t crash_keys_take_news(struct crash_keys *c,
			      struct crash_observation *out, uint32_t max);
uint32_t crash_keys_summary(struct crash_keys *c, struct crash_observation *out,
			    uint32_t max);

#endif
