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
#define ROUTE_NONE UINT16_MAX

typedef uint16_t route_handle;

enum route_error {
	ROUTE_ERROR_FORMAT,
	ROUTE_ERROR_REFERENCE,
};

#define ROUTE_ERROR (route_error_quark())
GQuark route_error_quark(void);

/* What of a request may be repeated. */
enum route_kind {
	ROUTE_IDEMPOTENT,
	ROUTE_NON_IDEMPOTENT,
	ROUTE_STREAMING, /* as non-idempotent, unless the route is resumable */
};

struct route_split {
	route_handle service;
	uint32_t weight;
};

struct route_entry {
	char *name;
	char *host;
	char *path; /* prefix; begins and ends with a slash */
	enum route_kind kind;
	bool resumable;
	bool is_public;
	uint32_t timeout_ms;
	uint32_t objective_ms;
	uint32_t pause_ms; /* longest pause between events on time; 0: none */
	uint32_t attempts;
	uint32_t priority; /* 0 is first */
	struct route_split *splits;
	size_t n_splits;
	uint32_t weight_sum;
	char **models; /* smallest first; empty: the client names it */
	size_t n_models;
};

struct route_model {
	char *name;
	double cost; /* per 1000 tokens generated */
};

struct route_service {
	char *name;
	uint32_t max_connections; /* of all nodes together; 0: no bound */
	uint32_t slots; /* of one server; 0: its entry tells */
	struct route_model *models;
	size_t n_models;
};

struct route_org {
	char *name;
	bool has_priority;
	uint32_t priority;
};

struct route_limits {
	uint32_t head_bytes;
	uint32_t body_bytes;
	uint32_t head_ms;
	uint32_t idle_ms;
};

struct route_table {
	uint32_t refs;
	uint64_t revision;
	struct route_entry *routes;
	size_t n_routes;
	struct route_service *services;
	size_t n_services;
	struct route_org *orgs;
	size_t n_orgs;
	GHashTable *keys; /* key -> handle of its organisation + 1 */
	GHashTable *hosts; /* host -> GArray of route handles, longest first */
	struct route_limits limits;
};

struct route_table *route_table_build(struct json_object *doc,
				      uint64_t revision, GError **err);
struct route_table *route_table_ref(struct route_table *r);
void route_table_unref(struct route_table *r);

route_handle route_match(const struct route_table *r, const char *host,
			 const char *target);
route_handle route_org_of_key(const struct route_table *r, const char *key);
route_handle route_find_service(const struct route_table *r, const char *name);
route_handle route_split(const struct route_entry *route, uint64_t draw);
bool route_is_repeatable(const struct route_entry *route);
double route_model_cost(const struct route_table *r,
			const struct route_entry *route, const char *model);
const char *route_kind_name(enum route_kind kind);

#endif
