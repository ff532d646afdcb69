#ifndef EXCHANGE_SERVERS_H
#define EXCHANGE_SERVERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "exchange/brittle.h"
#include "exchange/pace.h"
#include "exchange/prefix-cache.h"
#include "exchange/cold.h"
#include "exchange/evacuations.h"
#include "exchange/rate-limit.h"
#include "exchange/removals.h"
#include "relay/reach.h"
#include "rng.h"

/*
 * The backend servers, by their stored entries and by what this node observes
 * on its own requests. Times are milliseconds of the node's own clock.
 */
#define SERVER_EJECT_FIRST_MS 400 /* doubles with each further ejection */
#define SERVER_EJECT_MAX_MS 6000
#define SERVER_MISDIRECTED_FIRST_MS 1000 /* doubles each further time */
#define SERVER_MISDIRECTED_MAX_MS 16000
#define SERVER_LOAD_MAX_AGE_MS 1500
#define SERVER_DRAINED_MEMORY_MS 60000 /* a restored copy is not older */

enum server_state {
	SERVER_READY,
	SERVER_DRAINING,
	SERVER_REMOVED, /* no longer listed; kept while requests run there */
};

/* A server's entry as its source stores it. */
struct server_entry {
	const char *id;
	const char *service;
	const char *address;
	const char *zone;
	const char *version;
	uint32_t slots; /* requests that it runs at the same time */
	uint32_t cold_ms; /* remaining time of its slow phase after start */
	bool draining;
	uint64_t revision; /* of the entry, by feed_revision() */
	uint64_t born; /* when the server started, Unix ms; 0: unknown */
};

/* Longest text of an entry that is used. */
#define SERVER_ENTRY_TEXT_MAX_BYTES 255

/* What this node knows of one server. */
struct server_record {
	char *id;
	char *service;
	char *address;
	char *zone;
	char *version;
	struct brittle brittle;
	struct reach reach; /* of the server from this node */
	struct load_limit *load_limit; /* of the version; owned by the table */
	uint64_t hash; /* of id */
	uint64_t service_hash;
	uint32_t slots;
	struct cold_state cold;
	bool evacuated; /* its zone is: it gets no request */
	enum server_state state;
	uint64_t revision; /* of the entry */
	uint64_t born; /* of the entry */
	/* By its entry, also by one that the source has lost since. */
	bool draining;
	bool said_leaving; /* in an answer; holds until its restart */
	uint64_t removed_at; /* first seen so by server_free_removed() */
	uint32_t in_flight; /* requests of this node */
	uint32_t peer_in_flight; /* of the other nodes, by their reports */
	double decode; /* sum of the weights of this node's model requests */
	double prefill; /* their weighted tokens still to be prefilled */
	double peer_decode; /* as decode, of the other nodes */
	double peer_prefill; /* as prefill, of the other nodes */
	double event_ms; /* mean time between events, per unit of weight */
	uint32_t reported_load; /* running and waiting, by its own report */
	uint32_t reported_in_flight; /* in_flight at reported_at */
	uint64_t reported_at; /* 0: no report yet */
	bool bad_load_report; /* its last report was malformed */
	struct pace_server pace; /* its measured speed */
	uint32_t boots; /* starts seen by this node */
	uint64_t sent_tokens; /* of prompts, by this node */
	double latency_ratio; /* moving average: its head times to the mean */
	double failure_rate; /* moving average, 0 to 1 */
	uint32_t broken_answers; /* not attributed to its version yet */
	uint64_t first_broken_at; /* of these */
	uint32_t failure_streak; /* failed calls in a row */
	uint64_t ejected_until;
	uint64_t ejection_streak; /* ejections without a success between */
	struct rate_limit limit;
	uint64_t paused_until; /* it wants no request of this node before */
	uint64_t misdirected_until; /* another server has its address */
	uint32_t misdirected_streak; /* times without an answer of its own */
	bool listed; /* present in the listing being applied */
};

/* What a model request adds to the load of its server. */
struct server_work {
	double expected_ms; /* to its first event, before delay_ratio */
	double weight; /* cost of the model, 0 to 1 */
	double prefill; /* weighted tokens; 0 after the first event */
};

/* All servers, and averages over them that single ones are compared with. */
struct server_table {
	GHashTable *by_id; /* id -> struct server_record */
	GHashTable *load_limits; /* "service/version" -> struct load_limit */
	/*
	 * Hash of a service's name -> struct brittle_notice, the latest of its
	 * servers. Kept while none of them is listed.
	 */
	GHashTable *brittle_services;
	GPtrArray *all;
	/*
	 * Hash of a service's name -> struct pace_service, of those whose servers
	 * report how slow their machines are.
	 */
	GHashTable *paces;
	/* Such services' servers are chosen by measured speeds. */
	bool measured_placement;
	struct prefix_cache prefixes;
	struct removal_log removals;
	struct evacuations evacuations;
	bool listed_once; /* servers first seen from now on are new */
	double mean_head_ms; /* mean time to the head of plain answers */
	double mean_event_ms; /* mean event_ms of all servers */
	double base_delay_ms; /* time to a first event at an idle server */
	double delay_ratio; /* measured to expected delay, beyond the base */
};

/* Of how many of a service's ready servers it is known whether they are reached. */
struct server_reach {
	uint32_t known;
	uint32_t lost; /* of these, are out of reach */
};

/* How a call went, as far as it says something about the server. */
enum server_outcome {
	SERVER_CALL_OK,
	SERVER_CALL_REFUSED, /* the server did not run the request */
	SERVER_CALL_FAILED,
	SERVER_CALL_TIMED_OUT, /* no progress within the limit */
	SERVER_CALL_MISDIRECTED, /* another server has the address */
	SERVER_CALL_UNSERVED, /* it does not serve such requests */
	SERVER_CALL_IGNORED, /* ended by the client or by this node */
};

void server_table_init(struct server_table *t);
void server_table_clear(struct server_table *t);
struct server_record *server_find(const struct server_table *t, const char *id);
struct server_record *server_find_by_hash(const struct server_table *t,
					  uint64_t hash);
const char *server_entry_unusable_field(const struct server_entry *entry);
struct server_record *server_update(struct server_table *t, uint64_t now,
				    const struct server_entry *entry);
void server_hear_cold(struct server_table *t, uint64_t now, const char *id,
		      uint64_t revision, uint32_t left_ms);
bool server_remove(struct server_table *t, const char *id, uint64_t revision);
void server_apply_evacuations(struct server_table *t, uint64_t now);
bool server_service_is_suspected(const struct server_table *t, uint64_t now,
				 const char *service);
void server_begin_listing(struct server_table *t);
uint32_t server_end_listing(struct server_table *t);
void server_on_pause(struct server_record *s, uint64_t now, uint64_t ms);
struct load_limit *server_load_limit_by_hash(const struct server_table *t,
					     uint64_t hash);
bool server_bears_another(const struct server_record *s, uint64_t now);
bool server_may_get_request(const struct server_record *s, uint64_t now);
uint64_t server_wait_ms(const struct server_table *t, uint64_t now,
			const char *service);
bool server_table_is_cut_off(const struct server_table *t, uint64_t now);
struct server_reach server_service_reach(const struct server_table *t,
					 uint64_t now, const char *service);
bool server_reach_is_impaired(const struct server_reach *r);
bool server_hear_brittle(struct server_table *t, struct server_record *s,
			 const struct brittle_notice *said);
bool server_hear_brittle_service(struct server_table *t, uint64_t service,
				 const struct brittle_notice *said);
bool server_service_is_brittle(const struct server_table *t,
			       const char *service);
bool server_on_said_leaving(struct server_record *s);
void server_free_removed(struct server_table *t, uint64_t now);
uint64_t server_table_digest(const struct server_table *t);

double server_load(const struct server_record *s, uint64_t now);
void server_on_first_event(struct server_table *t,
			   const struct server_work *work,
			   double first_event_ms);
void server_add_work(struct server_record *s, const struct server_work *work);
void server_on_prefill_done(struct server_record *s, struct server_work *work);
void server_on_broken_answer(struct server_record *s, uint64_t now);
uint32_t server_take_broken_answers(struct server_record *s, uint64_t began_at);
void server_remove_work(struct server_record *s, struct server_work *work);
void server_on_event_interval(struct server_table *t, struct server_record *s,
			      const struct server_work *work, double event_ms);
void server_on_request_start(struct server_record *s, uint64_t now);
void server_on_load_report(struct server_record *s, uint64_t now,
			   uint32_t running, uint32_t waiting, uint32_t slots);
bool server_on_slowness_report(struct server_table *t, struct server_record *s,
			       uint64_t now, uint32_t percent);
bool service_shares_machines(const struct server_table *t, const char *service);
struct pace_service *server_pace_service(const struct server_table *t,
					 const char *service);
void server_on_request_end(struct server_table *t, struct server_record *s,
			   uint64_t now, enum server_outcome outcome,
			   double head_ms);
uint32_t server_count_ready(const struct server_table *t, const char *service,
			    const char *version);
const char *server_state_name(enum server_state state);

#endif
