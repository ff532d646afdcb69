#ifndef COUNTERS_H
#define COUNTERS_H

#include <glib.h>
#include <stdint.h>

/* Counters of one process, served as text at /metrics. */
#define COUNTER_LIST(X)                                                        \
	X(REQUESTS, "requests_total", "requests that reached a caller's door") \
	X(ANSWERED, "answered_total", "requests answered whole")               \
	X(REFUSED_NOT_RUN, "refused_not_run_total", "refusals: not run")       \
	X(REFUSED_MAY_HAVE_RUN, "refused_may_have_run_total",                  \
	  "refusals: may have run")                                            \
	X(REFUSED_RAN, "refused_ran_total", "failures after a run")            \
	X(BROKEN_OFF, "broken_off_total", "streams broken off")                \
	X(ATTEMPTS, "attempts_total", "calls to backend servers")              \
	X(RETRIES, "retries_total", "attempts after the first")                \
	X(RESUMES, "resumes_total", "streams resumed at another engine")       \
	X(HEDGES, "hedges_total", "second calls of idempotent requests")       \
	X(CROSSED, "crossed_answers_total", "answers of another request")      \
	X(ESCALATIONS, "escalations_total", "cascades that went on")           \
	X(RATINGS, "ratings_total", "answers rated")                           \
	X(ORDERS_SENT, "orders_sent_total", "non-idempotent requests sent")    \
	X(ORDERS_REPLAYED, "orders_replayed_total", "recorded results given")  \
	X(STORE_CALLS, "store_calls_total", "calls to the object API")         \
	X(STORE_FAILURES, "store_failures_total", "of these, without answer")  \
	X(PEER_BYTES_OUT, "peer_bytes_out_total", "bytes sent to members")     \
	X(PEER_BYTES_IN, "peer_bytes_in_total", "bytes from members")          \
	X(PEER_BAD, "peer_bad_total", "messages refused")                      \
	X(USAGE_TAKEN, "usage_taken_total", "usage records taken")             \
	X(USAGE_WRITTEN, "usage_written_total", "usage records durable")       \
	X(CONFIG_APPLIED, "config_applied_total", "revisions put in force")    \
	X(ROLLOUT_STEPS, "rollout_steps_total", "steps made by this node")     \
	X(ROLLOUT_STOPS, "rollout_stops_total", "stops made by this node")

enum counter_id {
#define X(id, name, help) COUNTER_##id,
	COUNTER_LIST(X)
#undef X
	COUNTER_COUNT
};

struct counter_set {
	uint64_t value[COUNTER_COUNT];
};

void counter_add(struct counter_set *c, enum counter_id id, uint64_t n);
void counter_write_text(const struct counter_set *c, GString *out);

#endif
