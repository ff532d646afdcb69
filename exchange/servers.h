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
#define SERVER_EJECT_FIRST_MS 400
#define SERVER_EJECT_MAX_MS 6000
#define SERVER_LOAD_MAX_AGE_MS 1500

enum server_state {
	SERVER_READY,
	SERVER_DRAINING,
	SERVER_REMOVED, /* kept while requests run there */
};

/* What a server's entry says. */
struct server_entry {
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

struct server_record {
	char *id;
	char *service;
	char *address;
	char *zone;
	char *version;
	uint64_t hash; /* of id */
	uint32_t slots;
	uint64_t cold_until;
	enum server_state state;
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

struct server_table {
	GHashTable *by_id; /* id -> struct server_record */
	GPtrArray *all;
	struct removal_log removals;
	double usual_ms; /* mean time to the head of plain answers */
	double usual_event_ms; /* of all servers */
	double delay_base; /* ms to a first event at an idle server */
	double delay_ratio; /* what comes on top, to what was expected */
};

enum server_outcome {
	SERVER_CALL_OK,
	SERVER_CALL_REFUSED, /* full */
	SERVER_CALL_FAILED,
	SERVER_CALL_TIMED_OUT,
	SERVER_CALL_MISDIRECTED, /* another server has the address */
	SERVER_CALL_IGNORED,
};

void server_table_init(struct server_table *t);
void server_table_clear(struct server_table *t);
struct server_record *server_find(const struct server_table *t, const char *id);
struct server_record *server_update(struct server_table *t, uint64_t now,
				    const struct server_entry *entry);
bool server_remove(struct server_table *t, const char *id, uint64_t revision);
void server_begin_listing(struct server_table *t);
uint32_t server_end_listing(struct server_table *t);
void server_free_removed(struct server_table *t);
uint64_t server_table_digest(const struct server_table *t);

double server_load(const struct server_record *s, uint64_t now);
/* What a model request adds to its server's load. */
struct server_work {
	double expected_ms; /* to its first event, uncorrected */
	double weight;
	double prefill; /* 0 once its first event is here */
};

void server_on_first_event(struct server_table *t,
			   const struct server_work *work, double first_ms);
void server_add_work(struct server_record *s, const struct server_work *work);
void server_on_prefill_done(struct server_record *s, struct server_work *work);
void server_on_broken_answer(struct server_record *s, uint64_t now);
uint32_t server_take_broken_answers(struct server_record *s, uint64_t began_at);
void server_remove_work(struct server_record *s, struct server_work *work);
void server_on_event_interval(struct server_table *t, struct server_record *s,
			      const struct server_work *work, double event_ms);
void server_on_request_start(struct server_record *s);
void server_on_load_report(struct server_record *s, uint64_t now,
			   uint32_t running, uint32_t waiting, uint32_t slots);
void server_on_request_end(struct server_table *t, struct server_record *s,
			   uint64_t now, enum server_outcome outcome,
			   double head_ms);
uint32_t server_count_ready(const struct server_table *t, const char *service,
			    const char *version);
const char *server_state_name(enum server_state state);

#endif
