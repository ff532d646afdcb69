#ifndef COUNTERS_H
#define COUNTERS_H

#include <glib.h>
#include <stdint.h>

/*
 * Counters of one process, served at /metrics in the Prometheus text format.
 * Each entry is X(id, name, help); names are public and must not change.
 */
#define COUNTER_LIST(X)                                                        \
	X(REQUESTS, "requests_total", "requests received")                     \
	X(ANSWERED, "answered_total", "requests answered completely")          \
	X(REFUSED_NOT_RUN, "refused_not_run_total",                            \
	  "refusals, request not run")                                         \
	X(REFUSED_MAY_HAVE_RUN, "refused_may_have_run_total",                  \
	  "refusals, request may have run")                                    \
	X(REFUSED_RAN, "refused_ran_total", "failures after the request ran")  \
	X(BROKEN_OFF, "broken_off_total", "streams aborted before their end")  \
	X(ATTEMPTS, "attempts_total", "calls to backend servers")              \
	X(RETRIES, "retries_total", "attempts after the first")                \
	X(RESUMES, "resumes_total", "streams resumed at another server")       \
	X(HEDGES, "hedges_total", "hedged calls of idempotent requests")       \
	X(CROSSED, "crossed_answers_total",                                    \
	  "answers to another request dropped")                                \
	X(ESCALATIONS, "escalations_total",                                    \
	  "cascades that asked a second version")                              \
	X(LARGER_FIRST, "larger_first_total",                                  \
	  "requests that asked a larger model than the smallest first")        \
	X(RATINGS, "ratings_total", "answers rated")                           \
	X(ORDERS_SENT, "orders_sent_total", "non-idempotent requests sent")    \
	X(ORDERS_REPLAYED, "orders_replayed_total",                            \
	  "recorded results replayed")                                         \
	X(CLIENTS_LEFT, "clients_left_total",                                  \
	  "requests not sent because their client had left")                   \
	X(ADMISSION_WAITED, "admission_waited_total",                          \
	  "requests that waited for room at their servers")                    \
	X(ADMISSION_REFUSED, "admission_refused_total",                        \
	  "requests refused for want of room at their servers")                \
	X(BRITTLE_REFUSALS, "brittle_refusals_total",                          \
	  "requests that a brittle server had no room for")                    \
	X(PROMPT_TOKENS, "prompt_tokens_total",                                \
	  "prompt tokens sent to servers that share their machines")           \
	X(PROMPT_TOKENS_HELD, "prompt_tokens_held_total",                      \
	  "of these, tokens that the server was expected to hold")             \
	X(COLD_REQUESTS, "cold_requests_total",                                \
	  "requests sent to servers that count as cold")                       \
	X(REFUSED_FOR_MEMORY, "refused_for_memory_total",                      \
	  "incomplete requests refused for want of memory")                    \
	X(AHEAD_DROPPED, "ahead_dropped_total",                                \
	  "connections whose requests sent ahead were dropped")                \
	X(CONNECTIONS_CLOSED, "connections_closed_total",                      \
	  "connections of clients closed or refused beyond their limit")       \
	X(BAD_LOAD_REPORTS, "bad_load_reports_total",                          \
	  "load reports of servers that could not be read")                    \
	X(STORE_CALLS, "store_calls_total", "calls to the object API")         \
	X(STORE_FAILURES, "store_failures_total",                              \
	  "calls to the object API that failed")                               \
	X(BAD_ENTRIES, "bad_entries_total",                                    \
	  "objects of the object API that could not be read")                  \
	X(PEER_BYTES_OUT, "peer_bytes_out_total", "bytes sent to other nodes") \
	X(PEER_BYTES_IN, "peer_bytes_in_total",                                \
	  "bytes received from other nodes")                                   \
	X(PEER_BAD, "peer_bad_total", "messages of other nodes rejected")      \
	X(USAGE_TAKEN, "usage_taken_total", "usage records accepted")          \
	X(USAGE_WRITTEN, "usage_written_total",                                \
	  "usage records stored durably")                                      \
	X(CONFIG_APPLIED, "config_applied_total",                              \
	  "configuration revisions applied")                                   \
	X(ROLLOUT_STEPS, "rollout_steps_total",                                \
	  "roll-out steps made by this node")                                  \
	X(ROLLOUT_STOPS, "rollout_stops_total",                                \
	  "roll-outs stopped by this node")

enum counter_id {
#define X(id, name, help) COUNTER_##id,
	COUNTER_LIST(X)
#undef X
	COUNTER_COUNT
};

struct counter_set {
	uint64_t value[COUNTER_COUNT]; /* indexed by enum counter_id */
};

void counter_add(struct counter_set *c, enum counter_id id, uint64_t n);
void counter_write_text(const struct counter_set *c, GString *out);

#endif
