#ifndef EXCHANGE_ROUTES_H
#define EXCHANGE_ROUTES_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The configured routes with the services, limits and organisations that they
 * refer to. A table never changes once made; a new revision makes a new one.
 */
#define RTS_NONE UINT16_MAX

typedef uint16_t rts_handle;

enum rts_error {
	RTS_ERROR_FORM,
	RTS_ERROR_REFERENCE,
};

#define RTS_ERROR (rts_error_quark())
GQuark rts_error_quark(void);

/* What of a request may be repeated. */
enum rts_kind {
	RTS_IDEMPOTENT,
	RTS_NON_IDEMPOTENT,
	RTS_STREAMING, /* as non-idempotent, unless the route is resumable */
};

struct rts_split {
	rts_handle service;
	uint32_t weight;
};

struct rts_route {
	char *name;
	char *host;
	char *path; /* prefix; begins and ends with a slash */
	enum rts_kind kind;
	bool resumable;
	bool is_public;
	uint32_t timeout_ms;
	uint32_t objective_ms;
	uint32_t pause_ms; /* longest pause between events on time; 0: none */
	uint32_t attempts;
	uint32_t priority; /* 0 is first */
	struct rts_split *splits;
	size_t n_splits;
	uint32_t weight_sum;
	char **models; /* smallest first; empty: the client names it */
	size_t n_models;
};

struct rts_model {
	char *name;
	double cost; /* per 1000 tokens generated */
};

struct rts_service {
	char *name;
	uint32_t max_connections; /* of all nodes together; 0: no bound */
	uint32_t slots; /* of one server; 0: its entry tells */
	struct rts_model *models;
	size_t n_models;
};

struct rts_org {
	char *name;
	bool has_priority;
	uint32_t priority;
};

struct rts_limits {
	uint32_t head_bytes;
	uint32_t body_bytes;
	uint32_t head_ms;
	uint32_t idle_ms;
};

struct rts {
	uint32_t refs;
	uint64_t revision;
	struct rts_route *routes;
	size_t n_routes;
	struct rts_service *services;
	size_t n_services;
	struct rts_org *orgs;
	size_t n_orgs;
	GHashTable *keys; /* key -> handle of its organisation + 1 */
	GHashTable *hosts; /* host -> GArray of route handles, longest first */
	struct rts_limits limits;
};

struct rts *rts_build(struct json_object *doc, uint64_t revision, GError **err);
struct rts *rts_ref(struct rts *r);
void rts_unref(struct rts *r);

rts_handle rts_match(const struct rts *r, const char *host, const char *target);
rts_handle rts_org_of_key(const struct rts *r, const char *key);
rts_handle rts_find_service(const struct rts *r, const char *name);
rts_handle rts_split(const struct rts_route *route, uint64_t draw);
bool rts_may_repeat(const struct rts_route *route);
double rts_model_cost(const struct rts *r, const struct rts_route *route,
		      const char *model);
const char *rts_kind_name(enum rts_kind kind);

#endif
