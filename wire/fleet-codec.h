#ifndef WIRE_FLEET_CODEC_H
#define WIRE_FLEET_CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "crash/crash-keys.h"
#include "rollout/shift.h"
#include "wire/codec.h"

/*
 * Wire format of the fleet's messages other than membership: load on servers,
 * source status, and what a roll-out needs. They are signed like membership
 * messages.
 */
enum fleet_wire_kind {
	FLEET_WIRE_MEMBERSHIP, /* any other; see wire/codec.h */
	FLEET_WIRE_REPORT,
	FLEET_WIRE_PLAN,
	FLEET_WIRE_SESSIONS,
	FLEET_WIRE_LOADS,
	FLEET_WIRE_SOURCE,
	FLEET_WIRE_LIMITS,
	FLEET_WIRE_CRASHES,
	FLEET_WIRE_LOAD_LIMITS,
	FLEET_WIRE_BRITTLE,
	FLEET_WIRE_EVACUATIONS,
};

/* A node's counts in the roll-out of a service to its target version. */
struct fleet_wire_report {
	char service[SHIFT_NAME_MAX];
	char target[SHIFT_NAME_MAX];
	struct shift_report report;
};

/* The plan of a roll-out that is in force at the sender. */
struct fleet_wire_plan {
	char node[SHIFT_NAME_MAX];
	char service[SHIFT_NAME_MAX];
	char target[SHIFT_NAME_MAX]; /* the new version */
	struct shift_plan plan;
};

#define FLEET_WIRE_MAX_SESSIONS 64 /* in one message */

/* Sessions of the sender's requests, and the version that served them. */
struct fleet_wire_sessions {
	char service[SHIFT_NAME_MAX];
	char target[SHIFT_NAME_MAX];
	uint32_t n;
	uint64_t session[FLEET_WIRE_MAX_SESSIONS];
	bool is_new[FLEET_WIRE_MAX_SESSIONS]; /* served by the target version */
};

#define FLEET_WIRE_MAX_LOADS 48 /* in one message */
#define FLEET_WIRE_TOPICS 3 /* enum feed_topic */

/* Load that the sender's requests put on one server. */
struct fleet_wire_load {
	uint64_t server; /* hash of its id */
	uint32_t decode; /* weight of its requests, in hundredths */
	uint32_t prefill; /* weighted prompt tokens not processed yet */
	uint32_t in_flight; /* requests */
};

/*
 * Load that the sender's requests put on the servers, and the latest changes
 * that it knows of.
 */
struct fleet_wire_loads {
	char node[SHIFT_NAME_MAX];
	char zone[SHIFT_NAME_MAX]; /* of the node; "": an older build's */
	uint64_t changed[FLEET_WIRE_TOPICS]; /* revision, by enum feed_topic */
	uint32_t n;
	struct fleet_wire_load load[FLEET_WIRE_MAX_LOADS];
};

#define FLEET_WIRE_MAX_LIMITS 64 /* in one message */

/* What the sender heard of a server's limit, from the server itself. */
struct fleet_wire_limit {
	uint64_t server; /* hash of its id */
	double per_s; /* 0: none any more */
	uint32_t age_ms; /* of the answer that said so */
};

struct fleet_wire_limits {
	char node[SHIFT_NAME_MAX];
	uint32_t n;
	struct fleet_wire_limit limit[FLEET_WIRE_MAX_LIMITS];
};

#define FLEET_WIRE_MAX_CRASHES 32 /* in one message */

/* Requests that were running at servers that crashed, and answered parts. */
struct fleet_wire_crashes {
	char node[SHIFT_NAME_MAX];
	uint32_t n;
	struct crash_observation
		observation[FLEET_WIRE_MAX_CRASHES]; /* at: age */
	uint32_t n_answered;
	uint64_t answered[FLEET_WIRE_MAX_CRASHES]; /* parts of prompts */
	uint64_t answered_age_ms[FLEET_WIRE_MAX_CRASHES];
};

#define FLEET_WIRE_MAX_LOAD_LIMITS 32 /* in one message */

/* At how many requests the sender has found servers of versions to fail. */
struct fleet_wire_load_limits {
	char node[SHIFT_NAME_MAX];
	uint32_t n;
	struct fleet_wire_load_limit {
		uint64_t version; /* hash of "service/version" */
		uint32_t limit;
		uint32_t age_ms; /* of the last failure */
	} limit[FLEET_WIRE_MAX_LOAD_LIMITS];
};

#define FLEET_WIRE_MAX_BRITTLE 32 /* in one message */

/* What a server last said of being brittle; see exchange/brittle.h. */
struct fleet_wire_brittle_notice {
	uint64_t service; /* hash of its name */
	uint64_t
		server; /* hash of its id; 0: one that is not listed any more */
	double refusals_per_s; /* 0: not brittle */
	uint32_t age_ms; /* of the answer that said so */
};

/* Without any notice it asks for those that the receiver knows. */
struct fleet_wire_brittle {
	char node[SHIFT_NAME_MAX];
	uint32_t n;
	struct fleet_wire_brittle_notice notice[FLEET_WIRE_MAX_BRITTLE];
};

/*
 * Source status: the latest changes that the sender knows of. Sent by a node
 * that watches the source and whose source answers.
 */
struct fleet_wire_source {
	char node[SHIFT_NAME_MAX];
	uint64_t servers; /* digest of its list of servers */
	uint64_t changed[FLEET_WIRE_TOPICS]; /* revision, by feed_topic */
};

#define FLEET_WIRE_MAX_ZONES 12 /* in one message */

/* The evacuated zones, with the revision up to which the sender knows changes. */
struct fleet_wire_evacuations {
	char node[SHIFT_NAME_MAX];
	uint64_t revision;
	uint32_t n;
	char zone[FLEET_WIRE_MAX_ZONES][SHIFT_NAME_MAX];
};

enum fleet_wire_kind fleet_wire_kind_of(const uint8_t *buf, size_t len);
size_t fleet_wire_encode_report(const struct fleet_wire_report *r,
				const char *key, uint8_t *buf, size_t size);
size_t fleet_wire_encode_plan(const struct fleet_wire_plan *p, const char *key,
			      uint8_t *buf, size_t size);
size_t fleet_wire_encode_sessions(const struct fleet_wire_sessions *s,
				  const char *key, uint8_t *buf, size_t size);
enum peer_wire_error fleet_wire_decode_report(const uint8_t *buf, size_t len,
					      const char *key,
					      struct fleet_wire_report *r);
enum peer_wire_error fleet_wire_decode_plan(const uint8_t *buf, size_t len,
					    const char *key,
					    struct fleet_wire_plan *p);
enum peer_wire_error fleet_wire_decode_sessions(const uint8_t *buf, size_t len,
						const char *key,
						struct fleet_wire_sessions *s);
size_t fleet_wire_encode_loads(const struct fleet_wire_loads *l,
			       const char *key, uint8_t *buf, size_t size);
enum peer_wire_error fleet_wire_decode_loads(const uint8_t *buf, size_t len,
					     const char *key,
					     struct fleet_wire_loads *l);
size_t fleet_wire_encode_load_limits(const struct fleet_wire_load_limits *l,
				     const char *key, uint8_t *buf,
				     size_t size);
enum peer_wire_error
fleet_wire_decode_load_limits(const uint8_t *buf, size_t len, const char *key,
			      struct fleet_wire_load_limits *l);
size_t fleet_wire_encode_crashes(const struct fleet_wire_crashes *m,
				 const char *key, uint8_t *buf, size_t size);
enum peer_wire_error fleet_wire_decode_crashes(const uint8_t *buf, size_t len,
					       const char *key,
					       struct fleet_wire_crashes *m);
size_t fleet_wire_encode_brittle(const struct fleet_wire_brittle *m,
				 const char *key, uint8_t *buf, size_t size);
enum peer_wire_error fleet_wire_decode_brittle(const uint8_t *buf, size_t len,
					       const char *key,
					       struct fleet_wire_brittle *m);
size_t fleet_wire_encode_limits(const struct fleet_wire_limits *l,
				const char *key, uint8_t *buf, size_t size);
enum peer_wire_error fleet_wire_decode_limits(const uint8_t *buf, size_t len,
					      const char *key,
					      struct fleet_wire_limits *l);
size_t fleet_wire_encode_source(const struct fleet_wire_source *s,
				const char *key, uint8_t *buf, size_t size);
enum peer_wire_error fleet_wire_decode_source(const uint8_t *buf, size_t len,
					      const char *key,
					      struct fleet_wire_source *s);
size_t fleet_wire_encode_evacuations(const struct fleet_wire_evacuations *m,
				     const char *key, uint8_t *buf,
				     size_t size);
enum peer_wire_error
fleet_wire_decode_evacuations(const uint8_t *buf, size_t len, const char *key,
			      struct fleet_wire_evacuations *m);

#endif
