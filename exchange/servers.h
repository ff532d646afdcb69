#ifndef EXCHANGE_SERVERS_H
#define EXCHANGE_SERVERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "exchange/removals.h"
#include "rng.h"

/*
 * The servers behind the routes, as their own entries and this node's
 * requests show them. Times are milliseconds of the node's own clock.
 */
#define SVT_EJECT_FIRST_MS 400
#define SVT_EJECT_MAX_MS 6000
#define SVT_LOAD_FRESH_MS 1500

enum svt_state {
	SVT_READY,
	SVT_DRAINING,
	SVT_GONE, /* kept while requests run there */
};

/* What a server's entry says. */
struct svt_entry {
	const char *id;
	const char *service;
	const char *address;
	const char *zone;
	const char *version;
	uint32_t slots;
	uint32_t cold_ms; /* how much longer it is slow after its start */
	bool draining;
	uint64_t revision; /* of the entry */
};

struct svt_server {
	char *id;
	char *service;
	char *address;
	char *zone;
	char *version;
	uint64_t hash; /* of id */
	uint32_t slots;
	uint64_t cold_until;
	enum svt_state state;
	uint64_t revision;
	uint32_t in_flight; /* of this node */
	uint32_t others_in_flight; /* of the other nodes, as they told */
	double decode; /* weights of this node's model requests there */
	double prefill; /* their weighted tokens not read in yet */
	double others_decode; /* the same of the other nodes */
	double others_prefill;
	double event_ms; /* mean time between events, per unit of weight */
	uint32_t reported; /* running and waiting, by its own answers */
	uint32_t reported_in_flight; /* of this node, at that moment */
	uint64_t reported_at;
	double slowness; /* its times relative to those of all; 1: as all */
	double failure; /* recent share of failed calls */
	uint32_t broken; /* answers broken since broken_at, not told yet */
	uint64_t broken_at;
	uint32_t failures; /* in a row */
	uint64_t ejected_until;
	uint64_t ejections; /* in a row */
	bool misdirected; /* another server has its address */
	bool listed; /* mark while a list is taken */
};

struct svt {
	GHashTable *by_id; /* id -> struct svt_server */
	GPtrArray *all;
	struct rmv removals;
	double usual_ms; /* mean time to the head of plain answers */
	double usual_event_ms; /* of all servers */
	double delay_base; /* ms to a first event at an idle server */
	double delay_ratio; /* what comes on top, to what was expected */
};

enum svt_outcome {
	SVT_GOOD,
	SVT_REFUSED, /* full */
	SVT_FAILED,
	SVT_SILENT,
	SVT_MISDIRECTED, /* another server has the address */
	SVT_NEUTRAL,
};

void svt_init(struct svt *t);
void svt_clear(struct svt *t);
struct svt_server *svt_find(const struct svt *t, const char *id);
struct svt_server *svt_put(struct svt *t, uint64_t now,
			   const struct svt_entry *entry);
bool svt_remove(struct svt *t, const char *id, uint64_t revision);
void svt_begin_list(struct svt *t);
uint32_t svt_end_list(struct svt *t);
void svt_sweep(struct svt *t);
uint64_t svt_digest(const struct svt *t);

double svt_load(const struct svt_server *s, uint64_t now);
/* What a model request adds to its server's load. */
struct svt_work {
	double expected_ms; /* to its first event, uncorrected */
	double weight;
	double prefill; /* 0 once its first event is here */
};

void svt_on_first(struct svt *t, const struct svt_work *work, double first_ms);
void svt_on_work(struct svt_server *s, const struct svt_work *work);
void svt_on_read(struct svt_server *s, struct svt_work *work);
void svt_on_broken(struct svt_server *s, uint64_t now);
uint32_t svt_take_broken(struct svt_server *s, uint64_t began_at);
void svt_off_work(struct svt_server *s, struct svt_work *work);
void svt_on_pace(struct svt *t, struct svt_server *s,
		 const struct svt_work *work, double event_ms);
void svt_on_start(struct svt_server *s);
void svt_on_load(struct svt_server *s, uint64_t now, uint32_t running,
		 uint32_t waiting, uint32_t slots);
void svt_on_end(struct svt *t, struct svt_server *s, uint64_t now,
		enum svt_outcome outcome, double head_ms);
uint32_t svt_count_ready(const struct svt *t, const char *service,
			 const char *version);
const char *svt_state_name(enum svt_state state);

#endif
