#ifndef LOG_EVENT_H
#define LOG_EVENT_H

#include <glib.h>
#include <stdbool.h>

/*
 * Numbered log events, as X(id, number, level, text). docs/EVENTS.md lists them
 * all. A number is never reused for another event.
 */
#define LOG_EVENT_LIST(X)                                                      \
	X(START_FAILED, 103, ERROR, "node failed to start")                    \
	X(CRASHED, 105, ERROR, "node terminated by a signal")                  \
	X(STARTED, 100, MESSAGE, "node started")                               \
	X(STOPPING, 101, MESSAGE, "node stopping, no new requests")            \
	X(STOPPED, 102, MESSAGE, "node stopped")                               \
	X(DRAIN_EXPIRED, 104, WARNING, "drain time over, requests aborted")    \
	X(CONFIG_IN_FORCE, 200, MESSAGE, "configuration in force")             \
	X(CONFIG_BAD, 201, WARNING, "configuration rejected")                  \
	X(CONFIG_STATE, 202, WARNING, "configuration state changed")           \
	X(STORE_DOWN, 210, WARNING, "object API unreachable")                  \
	X(STORE_UP, 211, MESSAGE, "object API reachable again")                \
	X(STORE_RESTORED, 213, WARNING, "object API restored from a copy")     \
	X(ENTRY_BAD, 214, WARNING, "objects left out that cannot be read")     \
	X(ANSWER_BAD, 215, WARNING, "object API answer cannot be read on")     \
	X(STORE_CALL, 212, MESSAGE, "object API call ended")                   \
	X(ORDER_CLAIM_STUCK, 300, WARNING, "order outcome not recorded")       \
	X(ORDER_LOST, 301, WARNING, "order sent, outcome unknown")             \
	X(ANSWER_CROSSED, 310, WARNING, "answer of another request dropped")   \
	X(STREAM_RESUMED, 311, MESSAGE, "stream resumed at another server")    \
	X(STREAM_BROKEN, 312, WARNING, "stream aborted")                       \
	X(SERVER_LEAVING, 320, MESSAGE, "backend server about to be removed")  \
	X(ENGINE_ORDERED, 330, MESSAGE, "load or unload order sent")           \
	X(ENGINE_ORDER_REFUSED, 331, WARNING, "load or unload order refused")  \
	X(ROLLOUT_GROWN, 400, MESSAGE, "roll-out share increased")             \
	X(ROLLOUT_STOPPED, 401, WARNING, "roll-out stopped")                   \
	X(ROLLOUT_DONE, 402, MESSAGE, "roll-out completed")                    \
	X(LEASE_TAKEN, 410, MESSAGE, "lease acquired")                         \
	X(MEMBER_CHANGED, 500, MESSAGE, "member changed state")                \
	X(BUILDS, 501, MESSAGE, "builds of the live nodes changed")            \
	X(USAGE_WAITING, 600, WARNING, "usage records not written yet")        \
	X(PAUSED, 106, WARNING, "process did not run for a while")             \
	X(SETTINGS_READ, 110, MESSAGE, "settings read")                        \
	X(SETTINGS_BAD, 111, WARNING, "settings rejected, old ones kept")      \
	X(LOG_DROPPED, 112, WARNING, "log lines dropped")                      \
	X(READY, 120, MESSAGE, "readiness changed")                            \
	X(REQUEST_ENDED, 700, MESSAGE, "request ended")                        \
	X(ATTEMPT_FAILED, 701, MESSAGE, "attempt without a usable answer")     \
	X(REQUEST_REFUSED, 702, MESSAGE, "request refused")                    \
	X(RETRY_DENIED, 703, MESSAGE, "retry denied, budget exhausted")        \
	X(WEAK_ANSWER, 704, MESSAGE, "answer with too low confidence")         \
	X(MODEL_CHOSEN, 755, MESSAGE, "larger model asked first")              \
	X(WATCHING, 221, MESSAGE, "watch of the source changed")               \
	X(STATE_FROM_PEER, 220, MESSAGE, "state received from another node")   \
	X(BEHIND_PEERS, 222, WARNING, "node is behind other nodes")            \
	X(CAUGHT_UP, 223, MESSAGE, "node caught up with other nodes")          \
	X(SOURCE_STATUS, 224, MESSAGE, "source status began or ended")         \
	X(ROLLOUT_ORDER, 420, MESSAGE, "roll-out order")                       \
	X(SHIFT_PLAN, 421, MESSAGE, "roll-out plan")                           \
	X(ROLLOUT_WRITTEN, 422, MESSAGE, "end of a roll-out written")          \
	X(ROLLOUT_PARTIAL, 423, WARNING, "roll-out judged without all counts") \
	X(SERVER_CHANGED, 710, MESSAGE, "server changed state")                \
	X(SERVER_UNUSABLE, 723, WARNING, "entry names no server to use")       \
	X(SERVER_PAUSE, 713, MESSAGE, "server asked for a pause")              \
	X(PART_BLOCKED, 714, WARNING, "part of prompts crashes servers")       \
	X(REQUEST_BLOCKED, 716, WARNING, "request crashes servers")            \
	X(SERVER_REACH, 717, MESSAGE, "reach of a server changed")             \
	X(SERVER_BRITTLE, 720, MESSAGE, "server says that it is brittle")      \
	X(BRITTLE_REFUSED, 722, WARNING, "brittle server had no room")         \
	X(CLIENT_LEFT, 721, MESSAGE, "client left before an attempt began")    \
	X(RELAYED, 718, MESSAGE, "request passed on to a node")                \
	X(RELAY_ACCEPTED, 719, MESSAGE, "request from another node")           \
	X(SHARED_MACHINES, 745, MESSAGE, "servers share their machines")       \
	X(LOAD_REPORT_BAD, 747, WARNING, "load report of a server not usable") \
	X(SERVER_PACE, 746, MESSAGE, "speed of a server changed")              \
	X(LOAD_LIMIT, 715, WARNING, "servers fail beyond a load")              \
	X(SERVER_LIMIT, 712, MESSAGE, "server named a limit")                  \
	X(EVACUATIONS, 730, WARNING, "evacuated zones changed")                \
	X(SERVER_COLD, 731, MESSAGE, "server counts as cold")                  \
	X(SERVER_WARM, 732, MESSAGE, "server no longer counts as cold")        \
	X(MEMORY_SHORT, 740, WARNING, "requests refused for want of memory")   \
	X(CONNECTIONS_SHORT, 741, WARNING, "too many connections of clients")  \
	X(SHORTAGE, 750, MESSAGE, "shortage of a service began")               \
	X(SHORTAGE_OVER, 751, MESSAGE, "shortage of a service is over")        \
	X(ADMISSION_REFUSED, 752, MESSAGE, "request refused for want of room") \
	X(ADMITTED, 753, MESSAGE, "request sent after a wait for room")        \
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
