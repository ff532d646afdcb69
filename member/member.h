#ifndef MEMBER_MEMBER_H
#define MEMBER_MEMBER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "config/view.h"
#include "rng.h"

/*
 * Which nodes there are and how they are, by probes with suspicion (SWIM).
 * Messages also carry the configuration's head, so that a change reaches
 * nodes that the store doesn't. Times are milliseconds of the node's clock.
 */
#define MEMBER_NAME_BYTES 48
#define MEMBER_MAX_UPDATES 5
#define MEMBER_PROBE_PERIOD_MS 500
#define MEMBER_ACK_TIMEOUT_MS 200
#define MEMBER_SUSPECT_TIMEOUT_MS 3000
#define MEMBER_RETENTION_MS 60000
#define MEMBER_INDIRECT_PROBES 2
#define MEMBER_PROBE_HISTORY 16
#define MEMBER_LEAVE_FANOUT 8
#define MEMBER_PROBE_HISTORY_MS 6000
#define MEMBER_AGE_UNKNOWN UINT32_MAX

struct member_addr {
	uint32_t ip; /* host byte order */
	uint16_t port;
};

enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_LEAVING,
	MEMBER_DEAD,
};

/* What is told of one member. */
struct member_update {
	char name[MEMBER_NAME_BYTES];
	struct member_addr addr;
	enum member_state state;
	uint32_t incarnation;
};

enum member_msg_kind {
	MEMBER_PING,
	MEMBER_ACK,
	MEMBER_PING_REQ, /* ask the receiver to probe `target` */
};

struct member_msg {
	enum member_msg_kind kind;
	uint32_t sequence;
	struct member_update from;
	struct member_addr target;
	uint64_t head_revision; /* 0: none known */
	uint32_t head_age_ms; /* MEMBER_AGE_UNKNOWN: not confirmed */
	bool store_cut; /* the sender cannot reach the store */
	uint32_t n_updates;
	struct member_update updates[MEMBER_MAX_UPDATES];
};

/* A message to send. */
struct member_datagram {
	struct member_addr to;
	struct member_msg msg;
};

struct member_entry {
	struct member_update is;
	uint64_t changed_at;
	uint32_t tell_left; /* times that this is still to be passed on */
};

/* One probe's outcome, for the estimate of who can be heard. */
struct member_probe_result {
	uint64_t at;
	uint32_t who; /* hash of the name */
	bool heard;
	bool cut;
};

struct member_probe {
	bool out;
	bool asked_helpers;
	uint32_t sequence;
	uint64_t sent_at;
	char name[MEMBER_NAME_BYTES];
};

/* A probe made for another node. */
struct member_relay {
	uint32_t sequence;
	uint32_t their_sequence;
	struct member_addr back;
	uint64_t at;
};

/* What an acknowledgement told of the head, as of a time of this node. */
struct member_head_report {
	uint64_t revision;
	uint64_t as_of;
	bool confirmed;
};

struct member_table {
	struct member_update self;
	GArray *members; /* struct member_entry, without self */
	GArray *order; /* names' indices in the order of probing */
	uint32_t next;
	uint32_t sequence;
	uint64_t next_at;
	struct member_probe probe;
	GArray *relays; /* struct member_relay */
	struct member_probe_result samples[MEMBER_PROBE_HISTORY];
	uint32_t n_samples;
	uint64_t head_revision;
	uint64_t head_confirmed_at;
	bool head_confirmed;
	bool store_cut;
	struct rng rng;
};

void member_init(struct member_table *m, const char *name,
		 struct member_addr addr, uint32_t incarnation, uint64_t seed);
void member_clear(struct member_table *m);
void member_add(struct member_table *m, uint64_t now, const char *name,
		struct member_addr addr);
void member_set_config_head(struct member_table *m, uint64_t revision,
			    uint64_t confirmed_at, bool confirmed,
			    bool store_cut);
void member_tick(struct member_table *m, uint64_t now, GArray *out);
struct member_head_report member_on_message(struct member_table *m,
					    uint64_t now,
					    const struct member_msg *msg,
					    GArray *out);
void member_ping_address(struct member_table *m, uint64_t now,
			 struct member_addr to, GArray *out);
void member_announce_leave(struct member_table *m, uint64_t now, GArray *out);
struct cfg_view_peers member_estimate_peers(const struct member_table *m,
					    uint64_t now);
uint32_t member_count(const struct member_table *m, enum member_state state);
const char *member_state_name(enum member_state state);

#endif
