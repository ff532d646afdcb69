#ifndef EXCHANGE_ROUTES_H
#define EXCHANGE_ROUTES_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The configured routes, with the services, limits and organisations that they
 * refer to. A table is immutable; each configuration revision gets a new one.
 */
#define ROUTE_NONE UINT16_MAX

/* Index of a route, service or organisation in its table, or ROUTE_NONE. */
typedef uint16_t route_handle;

enum route_error {
	ROUTE_ERROR_FORMAT, /* a field is missing or invalid */
	ROUTE_ERROR_REFERENCE, /* a name refers to nothing */
};

#define ROUTE_ERROR (route_error_quark())
GQuark route_error_quark(void);

/* Whether the requests of a route may run more than once. */
enum route_kind {
	ROUTE_IDEMPOTENT,
	ROUTE_NON_IDEMPOTENT,
	ROUTE_STREAMING, /* non-idempotent, unless the route is resumable */
};

/* One of the services that a route's requests are divided among. */
struct route_split {
	route_handle service;
	uint32_t weight;
};

/* A route: which requests it matches and how they are served. */
struct route_entry {
	char *name;
	char *host;
	char *path; /* prefix; begins and ends with a slash */
	enum route_kind kind;
	bool resumable; /* another server can continue a stream */
	bool is_public; /* needs no key */
	uint32_t timeout_ms; /* of the whole request */
	uint32_t objective_ms; /* for the head or first event; 0: none */
	uint32_t pause_ms; /* objective for the gap between events; 0: none */
	uint32_t attempts; /* limit per request */
	uint32_t priority; /* 0 is the highest */
	struct route_split *splits;
	size_t n_splits;
	uint32_t total_weight; /* of all splits */
	char **models; /* smallest first; empty: the client names one */
	size_t n_models;
};

struct route_model {
	char *name;
	double cost; /* of 1000 generated tokens */
};

struct route_service {
	char *name;
	uint32_t max_connections; /* fleet to one server; 0: no limit */
	uint32_t slots; /* of one server; 0: given by its entry */
	uint32_t kv_capacity; /* of one server, in tokens; 0: not known */
	uint32_t cold_ms; /* a server is slow for so long after its start */
	double cold_per_s; /* requests that it bears then; 0: no limit */
	struct route_model *models;
	size_t n_models;
};

struct route_org {
	char *name;
	bool has_priority;
	uint32_t priority; /* replaces the route's, with has_priority */
};

/* Limits on client requests and connections. */
struct route_limits {
	uint32_t head_bytes;
	uint32_t body_bytes;
	uint32_t receive_ms; /* to receive a request, from its first byte */
	uint32_t idle_ms; /* without a request on an open connection */
};

struct route_table {
	uint32_t refs;
	uint64_t revision; /* of the configuration */
	struct route_entry *routes;
	size_t n_routes;
	struct route_service *services;
	size_t n_services;
	struct route_org *orgs;
	size_t n_orgs;
	GHashTable *keys; /* key -> handle of its organisation + 1 */
	GHashTable *hosts; /* host -> GArray of handles, longest path first */
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
route_handle route_draw_service(const struct route_entry *route, uint64_t draw);
bool route_is_repeatable(const struct route_entry *route);
double route_model_cost(const struct route_table *r,
			const struct route_entry *route, const char *model);
const char *route_kind_name(enum route_kind kind);

#endif
