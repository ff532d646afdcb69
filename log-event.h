#ifndef LOG_EVENT_H
#define LOG_EVENT_H

#include <glib.h>
#include <stdbool.h>

/*
 * Numbered events. The catalogue docs/EVENTS.md has a row for each; numbers
 * are never used again for something else.
 */
#define LOG_EVENT_LIST(X)                                                      \
	X(START_FAILED, 103, ERROR, "node cannot start")                       \
	X(CRASHED, 105, ERROR, "node ends by a signal")                        \
	X(STARTED, 100, MESSAGE, "node started")                               \
	X(STOPPING, 101, MESSAGE, "node stopping, no new work")                \
	X(STOPPED, 102, MESSAGE, "node stopped")                               \
	X(DRAIN_EXPIRED, 104, WARNING, "drain time over, requests cut")        \
	X(CONFIG_IN_FORCE, 200, MESSAGE, "configuration in force")             \
	X(CONFIG_BAD, 201, WARNING, "configuration not usable")                \
	X(CONFIG_STATE, 202, WARNING, "configuration state changed")           \
	X(STORE_DOWN, 210, WARNING, "object API out of reach")                 \
	X(STORE_UP, 211, MESSAGE, "object API reached again")                  \
	X(ORDER_CLAIM_STUCK, 300, WARNING, "order outcome not recorded")       \
	X(ORDER_LOST, 301, WARNING, "order sent, outcome unknown")             \
	X(ANSWER_CROSSED, 310, WARNING, "answer of another request dropped")   \
	X(STREAM_RESUMED, 311, MESSAGE, "stream resumed at another engine")    \
	X(STREAM_BROKEN, 312, WARNING, "stream broken off")                    \
	X(SERVER_LEAVING, 320, MESSAGE, "backend server leaves")               \
	X(ENGINE_ORDERED, 330, MESSAGE, "order given to an engine")            \
	X(ENGINE_ORDER_REFUSED, 331, WARNING, "engine refused an order")       \
	X(ROLLOUT_GROWN, 400, MESSAGE, "roll-out grew")                        \
	X(ROLLOUT_STOPPED, 401, WARNING, "roll-out stopped")                   \
	X(ROLLOUT_DONE, 402, MESSAGE, "roll-out done")                         \
	X(LEASE_TAKEN, 410, MESSAGE, "lease taken")                            \
	X(MEMBER_CHANGED, 500, MESSAGE, "member changed state")                \
	X(USAGE_WAITING, 600, WARNING, "usage records wait for the store")     \
	X(SETTINGS_READ, 110, MESSAGE, "settings read")                        \
	X(SETTINGS_BAD, 111, WARNING, "settings not usable, old ones stay")    \
	X(LOG_DROPPED, 112, WARNING, "log lines dropped")                      \
	X(READY, 120, MESSAGE, "readiness changed")                            \
	X(REQUEST_ENDED, 700, MESSAGE, "request ended")                        \
	X(ATTEMPT_FAILED, 701, MESSAGE, "attempt without an answer to give")   \
	X(REQUEST_REFUSED, 702, MESSAGE, "request refused")                    \
	X(RETRY_DENIED, 703, MESSAGE, "no retry budget")                       \
	X(WEAK_ANSWER, 704, MESSAGE, "weak answer of a model")                 \
	X(WATCHING, 221, MESSAGE, "watching of the source changed")            \
	X(STATE_FROM_PEER, 220, MESSAGE, "configuration from another node")    \
	X(ROLLOUT_ORDER, 420, MESSAGE, "roll-out order")                       \
	X(SHIFT_PLAN, 421, MESSAGE, "roll-out plan")                           \
	X(ROLLOUT_WRITTEN, 422, MESSAGE, "roll-out's end written")             \
	X(SERVER_CHANGED, 710, MESSAGE, "server changed state")                \
	X(SERVERS_LISTED, 711, MESSAGE, "servers listed")

enum log_event_id {
#define X(id, number, level, text) LOG_EVENT_##id = number,
	LOG_EVENT_LIST(X)
#undef X
};

void log_event_setup(const char *node);
void log_event_start_buffering(void);
void log_event_flush(void);
void log_event_catch_crashes(void);
void log_event(enum log_event_id event, const char *fmt, ...)
	G_GNUC_PRINTF(2, 3);

#endif
