#ifndef CONFIG_CONFIG_H
#define CONFIG_CONFIG_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The configuration in memory: tables whose rows refer to each other by
 * handle. It is immutable; each revision gets tables of its own.
 */
#define CFG_MAX_KINDS 8 /* kinds of model requests */
#define CFG_MAX_VERSIONS 64 /* bits of the version sets */
#define CFG_MAX_STEPS 12 /* of a roll-out */
#define CFG_DIGEST_BYTES 32
#define CFG_NONE UINT16_MAX /* no such row */

typedef uint16_t cfg_handle; /* index of a row in its table */

enum cfg_error {
	CFG_ERROR_INVALID, /* unknown, duplicate or malformed value */
	CFG_ERROR_OUT_OF_RANGE, /* too many rows, or a step out of range */
	CFG_ERROR_MISSING_SECTION, /* stored section absent or unreadable */
};

#define CFG_ERROR (cfg_error_quark())
GQuark cfg_error_quark(void);

/* A kind of model request, such as a draft or a tag. */
struct cfg_kind {
	char *name;
	double target; /* default quality target, 0 to 1 */
};

enum cfg_version_state {
	CFG_VERSION_SERVING,
	CFG_VERSION_CANDIDATE, /* gets requests only by a roll-out */
	CFG_VERSION_WITHDRAWN, /* gets no new requests */
};

struct cfg_version {
	char *model;
	char *version;
	char *name; /* "model@version" */
	cfg_handle service;
	enum cfg_version_state state;
	double input_cost; /* micro-units per 1000 tokens */
	double output_cost; /* the same */
	double expected[CFG_MAX_KINDS]; /* stated quality, by kind, 0 to 1 */
};

struct cfg_org {
	char *name;
	uint8_t key_digest[CFG_DIGEST_BYTES]; /* SHA-256 of the bearer key */
	double share; /* weight among organisations, 1 by default */
	uint64_t allowed; /* bit i: version with handle i */
	double target[CFG_MAX_KINDS]; /* quality, by kind, 0 to 1 */
};

enum cfg_service_kind {
	CFG_SERVICE_ENGINE, /* runs models */
	CFG_SERVICE_PLAIN, /* any other HTTP service */
};

/* Requests of a plain service that may be sent again. */
struct cfg_idempotent_rule {
	char *method;
	char *path; /* prefix */
};

struct cfg_service {
	char *name;
	enum cfg_service_kind kind;
	struct cfg_idempotent_rule *idempotent;
	size_t n_idempotent;
	uint64_t versions; /* bit i: version with handle i runs here */
	bool honours_fencing; /* it rejects requests with an old fence */
	bool refusal_is_not_run; /* 429 and 503: the request was not run */
};

struct cfg_server {
	char *address; /* "ip:port" */
	char *zone;
	cfg_handle service;
};

enum cfg_rollout_state {
	CFG_ROLLOUT_RUNNING,
	CFG_ROLLOUT_PAUSED,
	CFG_ROLLOUT_STOPPED,
	CFG_ROLLOUT_DONE,
};

struct cfg_rollout {
	char *name;
	cfg_handle from; /* old version */
	cfg_handle to; /* new version */
	double steps[CFG_MAX_STEPS]; /* share of requests, 0 to 1 */
	size_t n_steps;
	size_t step; /* index of the current one */
	enum cfg_rollout_state state;
	char *reason; /* of that state, for people */
};

struct cfg {
	uint64_t revision;
	char *deployment; /* name */
	struct cfg_kind kinds[CFG_MAX_KINDS];
	size_t n_kinds;
	struct cfg_version *versions;
	size_t n_versions;
	struct cfg_org *orgs;
	size_t n_orgs;
	struct cfg_service *services;
	size_t n_services;
	struct cfg_server *servers;
	size_t n_servers;
	struct cfg_rollout *rollouts;
	size_t n_rollouts;
};

struct json_object *cfg_parse(const char *source, const char *text,
			      GError **err);
struct cfg *cfg_build(struct json_object *doc, uint64_t revision, GError **err);
void cfg_free(struct cfg *cfg);

cfg_handle cfg_find_org_by_key(const struct cfg *cfg,
			       const uint8_t *key_digest);
cfg_handle cfg_find_org_by_name(const struct cfg *cfg, const char *name);
cfg_handle cfg_find_kind(const struct cfg *cfg, const char *name);
cfg_handle cfg_find_version(const struct cfg *cfg, const char *name);
cfg_handle cfg_find_service(const struct cfg *cfg, const char *name);
cfg_handle cfg_find_rollout_to(const struct cfg *cfg, cfg_handle version);
bool cfg_is_idempotent(const struct cfg *cfg, cfg_handle service,
		       const char *method, const char *path);
bool cfg_may_use(const struct cfg *cfg, cfg_handle org, cfg_handle version);
const char *cfg_rollout_state_name(enum cfg_rollout_state state);

#endif
