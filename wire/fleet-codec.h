#ifndef WIRE_FLEET_CODEC_H
#define WIRE_FLEET_CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rollout/shift.h"
#include "wire/codec.h"

/* Reports and plans of roll-outs as bytes, sealed as members' messages are. */
enum wfl_kind {
	WFL_OTHER, /* a message of the membership */
	WFL_REPORT,
	WFL_PLAN,
	WFL_SESSIONS,
	WFL_LOADS,
	WFL_SOURCE,
};

struct wfl_report {
	char service[SHIFT_NAME_MAX];
	char target[SHIFT_NAME_MAX];
	struct shift_report report;
};

struct wfl_plan {
	char node[SHIFT_NAME_MAX];
	char service[SHIFT_NAME_MAX];
	char target[SHIFT_NAME_MAX];
	struct shift_plan plan;
};

#define WFL_MAX_SESSIONS 64

/* Sessions that requests of the sender belonged to, and where those ran. */
struct wfl_sessions {
	char service[SHIFT_NAME_MAX];
	char target[SHIFT_NAME_MAX];
	uint32_t n;
	uint64_t session[WFL_MAX_SESSIONS];
	bool is_new[WFL_MAX_SESSIONS]; /* on the new version */
};

#define WFL_MAX_LOADS 48
#define WFL_TOPICS 3

struct wfl_load {
	uint64_t server; /* hash of its id */
	uint32_t decode; /* hundredths of a unit of weight */
	uint32_t prefill; /* weighted tokens */
	uint32_t in_flight;
};

/*
 * What the sender's requests put on the servers, and how new its knowledge
 * is.
 */
struct wfl_loads {
	char node[SHIFT_NAME_MAX];
	uint64_t changed[WFL_TOPICS]; /* latest change known, by topic */
	uint32_t n;
	struct wfl_load load[WFL_MAX_LOADS];
};

/* A node whose source answers: the latest changes that it knows of. */
struct wfl_source {
	char node[SHIFT_NAME_MAX];
	uint64_t servers; /* digest of its list of servers */
	uint64_t changed[WFL_TOPICS];
};

enum wfl_kind wfl_kind_of(const uint8_t *buf, size_t len);
size_t wfl_put_report(const struct wfl_report *r, const char *key, uint8_t *buf,
		      size_t size);
size_t wfl_put_plan(const struct wfl_plan *p, const char *key, uint8_t *buf,
		    size_t size);
size_t wfl_put_sessions(const struct wfl_sessions *s, const char *key,
			uint8_t *buf, size_t size);
enum wir_fault wfl_get_report(const uint8_t *buf, size_t len, const char *key,
			      struct wfl_report *r);
enum wir_fault wfl_get_plan(const uint8_t *buf, size_t len, const char *key,
			    struct wfl_plan *p);
enum wir_fault wfl_get_sessions(const uint8_t *buf, size_t len, const char *key,
				struct wfl_sessions *s);
size_t wfl_put_loads(const struct wfl_loads *l, const char *key, uint8_t *buf,
		     size_t size);
enum wir_fault wfl_get_loads(const uint8_t *buf, size_t len, const char *key,
			     struct wfl_loads *l);
size_t wfl_put_source(const struct wfl_source *s, const char *key, uint8_t *buf,
		      size_t size);
enum wir_fault wfl_get_source(const uint8_t *buf, size_t len, const char *key,
			      struct wfl_source *s);

#endif
