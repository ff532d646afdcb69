#ifndef MEMBER_MEMBER_H
#define MEMBER_MEMBER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "config/view.h"
#include "rng.h"

/*
 * Fleet membership by SWIM: periodic probes, indirect probes through other
 * members, suspicion before a member counts as dead, and updates piggybacked
 * on the messages. Messages also carry the revision of the configuration's
 * head, so that a node that cannot reach the store learns of a change from
 * its peers. Times are milliseconds of the node's own clock.
 */
#define MEMBER_NAME_BYTES 48 /* with the terminating NUL */
#define MEMBER_BUILD_BYTES 16 /* with the terminating NUL */
#define MEMBER_MAX_UPDATES 5 /* updates in one message */
#define MEMBER_PROBE_PERIOD_MS 500
#define MEMBER_ACK_TIMEOUT_MS 200 /* then the indirect probes are sent */
#define MEMBER_SUSPECT_TIMEOUT_MS 3000 /* then the suspect counts as dead */
#define MEMBER_RETENTION_MS 60000 /* dead and leaving members are kept */
#define MEMBER_INDIRECT_PROBES 2 /* members asked to probe a silent one */
#define MEMBER_PROBE_HISTORY 16 /* probe results kept */
#define MEMBER_LEAVE_FANOUT 8 /* members to which a leaving node sends */
#define MEMBER_PROBE_HISTORY_MS 6000 /* older results are not counted */
#define MEMBER_AGE_UNKNOWN UINT32_MAX /* head_age_ms: not confirmed */

struct member_addr {
	uint32_t ip; /* host byte order */
	uint16_t port; /* host byte order */
};

/* The values go into messages. At equal incarnations the higher one wins. */
enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT, /* did not answer the last probe */
	MEMBER_LEAVING, /* announced that it leaves */
	MEMBER_DEAD,
};

/* State of one member, as messages carry it. */
struct member_update {
	char name[MEMBER_NAME_BYTES];
	struct member_addr addr;
	enum member_state state;
	uint32_t incarnation; /* raised only by the member itself */
};

enum member_msg_kind {
	MEMBER_PING,
	MEMBER_ACK,
	MEMBER_PING_REQ, /* asks the receiver to probe `target` */
};

struct member_msg {
	enum member_msg_kind kind;
	uint32_t sequence; /* an acknowledgement repeats the ping's */
	struct member_update from;
	struct member_addr target;
	uint64_t head_revision; /* 0: none known */
	uint32_t head_age_ms; /* since head_revision was confirmed as head */
	bool store_unreachable; /* for the sender */
	uint32_t n_updates;
	struct member_update updates[MEMBER_MAX_UPDATES];
};

/* A message to send and its destination. */
struct member_datagram {
	struct member_addr to;
	struct member_msg msg;
};

/* The program that a member runs, as it has told the others. */
struct member_build {
	char id[MEMBER_BUILD_BYTES]; /* "": not told */
	uint32_t protocol; /* 0: not told; see daemon/version.h */
};

struct member_entry {
	struct member_update info;
	struct member_build build; /* at info.incarnation */
	uint64_t changed_at; /* ms; last change of info */
	uint32_t sends_left; /* messages that still carry info */
};

/* Result of one probe, for member_estimate_peers(). */
struct member_probe_result {
	uint64_t at; /* ms */
	uint32_t name_hash;
	bool acknowledged;
	bool store_unreachable; /* for the member, by its acknowledgement */
};

/* The probe of the current period. */
struct member_probe {
	bool pending; /* sent and not acknowledged */
	bool indirect_sent;
	uint32_t sequence;
	uint64_t sent_at; /* ms */
	char name[MEMBER_NAME_BYTES];
};

/* A probe made on behalf of another node. */
struct member_relay {
	uint32_t sequence; /* of the ping that this node sent */
	uint32_t requester_sequence; /* of the request */
	struct member_addr requester;
	uint64_t sent_at; /* ms */
};

/* What a message says of the configuration's head. */
struct member_head_report {
	uint64_t revision;
	uint64_t confirmed_at; /* ms; set if confirmed */
	bool confirmed; /* revision was the head at confirmed_at */
};

struct member_table {
	struct member_update self;
	struct member_build self_build;
	GArray *members; /* struct member_entry, without this node */
	GArray *probe_order; /* uint32_t indices into members, shuffled */
	uint32_t next_probe; /* index into probe_order */
	uint32_t sequence; /* last one used */
	uint64_t next_probe_at; /* ms */
	uint64_t heard_at; /* ms; sending of the latest acknowledged probe */
	struct member_probe probe;
	GArray *relays; /* struct member_relay */
	struct member_probe_result probe_results[MEMBER_PROBE_HISTORY];
	uint32_t n_probe_results; /* ever recorded; probe_results is a ring */
	uint64_t head_revision; /* as set by member_set_config_head() */
	uint64_t head_confirmed_at; /* ms */
	bool head_confirmed;
	bool store_unreachable; /* for this node */
	uint32_t n_announced; /* first members that member_announce() told */
	struct rng rng;
};

void member_init(struct member_table *m, const char *name,
		 struct member_addr addr, uint32_t incarnation, uint64_t seed);
void member_clear(struct member_table *m);
void member_add(struct member_table *m, uint64_t now, const char *name,
		struct member_addr addr);
bool member_learn(struct member_table *m, uint64_t now,
		  const struct member_update *u);
void member_learn_build(struct member_table *m, const struct member_update *u,
			const struct member_build *build);
void member_set_config_head(struct member_table *m, uint64_t revision,
			    uint64_t confirmed_at, bool confirmed,
			    bool store_unreachable);
void member_tick(struct member_table *m, uint64_t now, GArray *out);
struct member_head_report member_on_message(struct member_table *m,
					    uint64_t now,
					    const struct member_msg *msg,
					    GArray *out);
void member_announce(struct member_table *m, uint32_t max, GArray *out);
void member_ping_address(struct member_table *m, uint64_t now,
			 struct member_addr to, GArray *out);
void member_announce_leave(struct member_table *m, uint64_t now, GArray *out);
struct cfg_view_peers member_estimate_peers(const struct member_table *m,
					    uint64_t now);
bool member_is_alive_at(const struct member_table *m, struct member_addr addr);
uint32_t member_count(const struct member_table *m, enum member_state state);
const char *member_state_name(enum member_state state);

#endif
