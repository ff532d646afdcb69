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
#define MBR_NAME_MAX 48
#define MBR_MAX_UPDATES 5
#define MBR_PERIOD_MS 500
#define MBR_ACK_MS 200
#define MBR_SUSPECT_MS 3000
#define MBR_FORGET_MS 60000
#define MBR_HELPERS 2
#define MBR_SAMPLE 16
#define MBR_LEAVE_TOLD 8
#define MBR_SAMPLE_MS 6000
#define MBR_NEVER UINT32_MAX

struct mbr_addr {
	uint32_t ip; /* host byte order */
	uint16_t port;
};

enum mbr_state {
	MBR_ALIVE,
	MBR_SUSPECT,
	MBR_LEAVING,
	MBR_DEAD,
};

/* What is told of one member. */
struct mbr_update {
	char name[MBR_NAME_MAX];
	struct mbr_addr addr;
	enum mbr_state state;
	uint32_t incarnation;
};

enum mbr_kind {
	MBR_PING,
	MBR_ACK,
	MBR_PING_REQ, /* ask the receiver to probe `target` */
};

struct mbr_msg {
	enum mbr_kind kind;
	uint32_t sequence;
	struct mbr_update from;
	struct mbr_addr target;
	uint64_t head_revision; /* 0: none known */
	uint32_t head_age_ms; /* MBR_NEVER: not confirmed */
	bool store_cut; /* the sender cannot reach the store */
	uint32_t n_updates;
	struct mbr_update updates[MBR_MAX_UPDATES];
};

/* A message to send. */
struct mbr_out {
	struct mbr_addr to;
	struct mbr_msg msg;
};

struct mbr_member {
	struct mbr_update is;
	uint64_t changed_at;
	uint32_t tell_left; /* times that this is still to be passed on */
};

/* One probe's outcome, for the estimate of who can be heard. */
struct mbr_sample {
	uint64_t at;
	uint32_t who; /* hash of the name */
	bool heard;
	bool cut;
};

struct mbr_probe {
	bool out;
	bool asked_helpers;
	uint32_t sequence;
	uint64_t sent_at;
	char name[MBR_NAME_MAX];
};

/* A probe made for another node. */
struct mbr_relay {
	uint32_t sequence;
	uint32_t their_sequence;
	struct mbr_addr back;
	uint64_t at;
};

/* What an acknowledgement told of the head, as of a time of this node. */
struct mbr_head {
	uint64_t revision;
	uint64_t as_of;
	bool confirmed;
};

struct mbr {
	struct mbr_update self;
	GArray *members; /* struct mbr_member, without self */
	GArray *order; /* names' indices in the order of probing */
	uint32_t next;
	uint32_t sequence;
	uint64_t next_at;
	struct mbr_probe probe;
	GArray *relays; /* struct mbr_relay */
	struct mbr_sample samples[MBR_SAMPLE];
	uint32_t n_samples;
	uint64_t head_revision;
	uint64_t head_confirmed_at;
	bool head_confirmed;
	bool store_cut;
	struct rng rng;
};

void mbr_init(struct mbr *m, const char *name, struct mbr_addr addr,
	      uint32_t incarnation, uint64_t seed);
void mbr_clear(struct mbr *m);
void mbr_seed(struct mbr *m, uint64_t now, const char *name,
	      struct mbr_addr addr);
void mbr_set_head(struct mbr *m, uint64_t revision, uint64_t confirmed_at,
		  bool confirmed, bool store_cut);
void mbr_tick(struct mbr *m, uint64_t now, GArray *out);
struct mbr_head mbr_on_message(struct mbr *m, uint64_t now,
			       const struct mbr_msg *msg, GArray *out);
void mbr_greet(struct mbr *m, uint64_t now, struct mbr_addr to, GArray *out);
void mbr_leave(struct mbr *m, uint64_t now, GArray *out);
struct cfv_peers mbr_peers(const struct mbr *m, uint64_t now);
uint32_t mbr_count(const struct mbr *m, enum mbr_state state);
const char *mbr_state_name(enum mbr_state state);

#endif
