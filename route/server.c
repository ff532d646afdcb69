#include "route/server.h"

#include <assert.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "invariant.h"

#define LIMIT_REDUCTION_FACTOR 0.85
#define LIMIT_REDUCTION_INTERVAL_MS 100 /* at most one reduction in it */
#define SLOW_RESPONSE_FACTOR 3.0 /* times the fastest first byte: a queue */
#define FASTEST_WINDOW_MS 5000
#define MIN_LIMIT_IF_SLOW 4.0 /* slow responses don't reduce below it */
#define AFFINITY_MAX_LOAD_RATIO 1.25 /* to the mean, plus one request */
#define OTHER_ZONE_PENALTY 0.5 /* in requests in flight */
#define MAX_CANDIDATES 4096 /* eligible servers considered for one pick */

/*
 * Initialises the state of a server of which nothing is known yet: until its
 * first report it is assumed to run any version.
 */
void backend_init(struct backend_state *s)
{
	memset(s, 0, sizeof(*s));
	s->limit = BACKEND_INITIAL_LIMIT;
	s->loaded = UINT64_MAX;
}

/* Returns the hash of a node's name or a server's address for ranking. */
uint64_t backend_hash_name(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

/* Returns the rendezvous-hashing weight of a server and a node. */
static uint64_t pair_weight(uint64_t server, uint64_t node)
{
	uint64_t z = server ^ (node * 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 32)) * 0xd6e8feb86659fd93ULL;
	return z ^ (z >> 32);
}

/*
 * Returns whether this node is among the k nodes that a server ranks highest.
 */
static bool is_among_highest_ranked(uint64_t server, const uint64_t *nodes,
				    size_t n_nodes, uint64_t self, size_t k)
{
	uint64_t own_weight = pair_weight(server, self);
	size_t n_higher = 0;

	for (size_t i = 0; i < n_nodes && n_higher < k; i++)
		n_higher += nodes[i] != self &&
			    pair_weight(server, nodes[i]) > own_weight;
	return n_higher < k;
}

/*
 * Adds to the subset the server of a service that this node ranks highest
 * among those not in it.
 */
static void add_highest_ranked_server(const struct cfg *cfg,
				      struct backend_state *table,
				      size_t service, uint64_t self)
{
	cfg_handle best = CFG_NONE;
	uint64_t best_weight = 0;

	for (size_t i = 0; i < cfg->n_servers; i++) {
		uint64_t weight;

		if (cfg->servers[i].service != service || table[i].in_subset)
			continue;
		weight = pair_weight(backend_hash_name(cfg->servers[i].address),
				     self);
		if (best == CFG_NONE || weight > best_weight) {
			best = (cfg_handle)i;
			best_weight = weight;
		}
	}
	if (best != CFG_NONE)
		table[best].in_subset = true;
}

static size_t count_in_subset(const struct cfg *cfg,
			      const struct backend_state *table, size_t service)
{
	size_t n = 0;

	for (size_t i = 0; i < cfg->n_servers; i++)
		n += cfg->servers[i].service == service && table[i].in_subset;
	return n;
}

/*
 * Selects the subset of servers that this node uses, which bounds the number
 * of servers that it polls and connects to. Each server is used by the
 * nodes_per_server nodes that it ranks highest, so every server is used. A
 * node with fewer than BACKEND_MIN_PER_SERVICE servers of a service adds those
 * that it ranks highest, so every node can serve every service. `nodes` are
 * the hashes of the live nodes' names, with or without this one; `self` is
 * the hash of this node's name.
 */
void backend_select_subset(const struct cfg *cfg, struct backend_state *table,
			   const uint64_t *nodes, size_t n_nodes, uint64_t self,
			   size_t nodes_per_server)
{
	for (size_t i = 0; i < cfg->n_servers; i++) {
		uint64_t hash = backend_hash_name(cfg->servers[i].address);

		table[i].ranks_this_node_first =
			is_among_highest_ranked(hash, nodes, n_nodes, self, 1);
		table[i].in_subset = is_among_highest_ranked(
			hash, nodes, n_nodes, self, nodes_per_server);
	}
	for (size_t s = 0; s < cfg->n_services; s++)
		for (size_t n = count_in_subset(cfg, table, s);
		     n < BACKEND_MIN_PER_SERVICE; n++)
			add_highest_ranked_server(cfg, table, s, self);
}

/* Returns whether this node may send new requests to a server. */
bool backend_is_in_use(const struct backend_state *s)
{
	return s->in_subset && !s->leaving;
}

/* Returns whether a server is ejected because of recent failures. */
bool backend_is_ejected(const struct backend_state *s, uint64_t now)
{
	return now < s->ejected_until;
}

/* Returns whether server i can take one more request with these criteria. */
static bool is_eligible(const struct cfg *cfg,
			const struct backend_state *table, size_t i,
			const struct backend_criteria *criteria)
{
	const struct backend_state *s = &table[i];

	if (cfg->servers[i].service != criteria->service ||
	    !backend_is_in_use(s))
		return false;
	if (criteria->version != CFG_NONE &&
	    !((s->loaded >> criteria->version) & 1))
		return false;
	return s->in_flight < s->limit;
}

/* Returns this node's requests in flight, plus a penalty for another zone. */
static double score(const struct cfg *cfg, const struct backend_state *table,
		    cfg_handle h, const struct backend_criteria *criteria)
{
	double load = table[h].in_flight;

	if (strcmp(cfg->servers[h].zone, criteria->zone) != 0)
		load += OTHER_ZONE_PENALTY;
	return load;
}

static uint64_t affinity_weight(const struct cfg *cfg, cfg_handle h,
				uint64_t affinity)
{
	const char *address = cfg->servers[h].address;

	return XXH64(address, strlen(address), affinity);
}

/*
 * Returns the eligible server with the highest rendezvous-hashing weight for a
 * session or prompt, or CFG_NONE if its load is far above the mean.
 */
static cfg_handle affinity_server(const struct cfg *cfg,
				  const struct backend_state *table,
				  const struct backend_criteria *criteria,
				  const cfg_handle *eligible, uint32_t n)
{
	cfg_handle best = CFG_NONE;
	uint64_t best_weight = 0;
	double sum = 0;

	for (uint32_t i = 0; i < n; i++) {
		uint64_t weight =
			affinity_weight(cfg, eligible[i], criteria->affinity);

		sum += table[eligible[i]].in_flight;
		if (best == CFG_NONE || weight > best_weight) {
			best = eligible[i];
			best_weight = weight;
		}
	}
	if (table[best].in_flight > AFFINITY_MAX_LOAD_RATIO * (sum / n) + 1)
		return CFG_NONE;
	return best;
}

/*
 * Collects the servers that can take a request, except the one to avoid, and
 * returns their number. Ejected servers are included only if there is no other
 * one: an attempt that may fail is better than none.
 */
static uint32_t collect_eligible(const struct cfg *cfg,
				 const struct backend_state *table,
				 uint64_t now,
				 const struct backend_criteria *criteria,
				 cfg_handle *eligible)
{
	uint32_t n = 0;

	for (int ejected = 0; ejected < 2 && !n; ejected++)
		for (size_t i = 0; i < cfg->n_servers && n < MAX_CANDIDATES;
		     i++)
			if (i != criteria->avoid &&
			    is_eligible(cfg, table, i, criteria) &&
			    backend_is_ejected(&table[i], now) ==
				    (ejected != 0))
				eligible[n++] = (cfg_handle)i;
	return n;
}

/*
 * Returns the eligible server with the lowest score; of equal ones the least
 * recently picked.
 */
static cfg_handle least_loaded(const struct cfg *cfg,
			       const struct backend_state *table,
			       const struct backend_criteria *criteria,
			       const cfg_handle *eligible, uint32_t n)
{
	cfg_handle best = eligible[0];
	double best_score = score(cfg, table, best, criteria);

	for (uint32_t i = 1; i < n; i++) {
		double s = score(cfg, table, eligible[i], criteria);

		if (s < best_score ||
		    (s == best_score && table[eligible[i]].last_picked <
						table[best].last_picked)) {
			best = eligible[i];
			best_score = s;
		}
	}
	return best;
}

/*
 * Returns the server for a request, or CFG_NONE if none can take one more: the
 * server of the session or prompt unless its load is far above the mean, else
 * the one with the fewest requests of this node in flight, round robin among
 * equal ones. Load reports aren't used, since they arrive too late: all nodes
 * would send to the same few servers (docs/design/0002-server-choice.md).
 */
cfg_handle backend_pick(const struct cfg *cfg,
			const struct backend_state *table, uint64_t now,
			const struct backend_criteria *criteria)
{
	static_assert(MAX_CANDIDATES < CFG_NONE, "handles are 16 bits");
	cfg_handle eligible[MAX_CANDIDATES];
	cfg_handle preferred;
	uint32_t n = collect_eligible(cfg, table, now, criteria, eligible);

	if (!n && criteria->avoid != CFG_NONE &&
	    is_eligible(cfg, table, criteria->avoid, criteria))
		return criteria->avoid;
	if (!n)
		return CFG_NONE;
	if (criteria->affinity) {
		preferred = affinity_server(cfg, table, criteria, eligible, n);
		if (preferred != CFG_NONE)
			return preferred;
	}
	return least_loaded(cfg, table, criteria, eligible, n);
}

/*
 * Counts a request that is sent to the server. `sequence` grows with each
 * request of this node.
 */
void backend_on_request_start(struct backend_state *s, uint64_t sequence)
{
	INVARIANT(!s->leaving, "server: no new requests for a leaving one");
	s->in_flight++;
	s->last_picked = sequence;
}

static void reduce_limit(struct backend_state *s, uint64_t now)
{
	if (s->limit_reduced_at &&
	    now - s->limit_reduced_at < LIMIT_REDUCTION_INTERVAL_MS)
		return;
	s->limit_reduced_at = now;
	s->limit = fmax(s->limit * LIMIT_REDUCTION_FACTOR, BACKEND_MIN_LIMIT);
}

/*
 * Records a time to first byte. Returns the shortest one of the current and
 * the previous window, in ms.
 */
static double update_fastest_ms(struct backend_state *s, uint64_t now,
				double first_byte_ms)
{
	if (now - s->window_started_at >= FASTEST_WINDOW_MS) {
		s->fastest_in_last_window_ms = s->fastest_in_window_ms;
		s->fastest_in_window_ms = 0;
		s->window_started_at = now;
	}
	if (s->fastest_in_window_ms <= 0 ||
	    first_byte_ms < s->fastest_in_window_ms)
		s->fastest_in_window_ms = first_byte_ms;
	if (s->fastest_in_last_window_ms > 0 &&
	    s->fastest_in_last_window_ms < s->fastest_in_window_ms)
		return s->fastest_in_last_window_ms;
	return s->fastest_in_window_ms;
}

/*
 * Adapts the limit after a success. While the limit is reached, it grows by
 * one for each `limit` successes. It is reduced when the first byte takes much
 * longer than the fastest recent one, which indicates a queue at the server. If
 * a server becomes slower for all requests, the fastest recent time follows
 * within two windows.
 */
static void on_success(struct backend_state *s, uint64_t now,
		       double first_byte_ms, bool at_limit)
{
	s->failures = 0;
	if (first_byte_ms > 0 &&
	    first_byte_ms > SLOW_RESPONSE_FACTOR *
				    update_fastest_ms(s, now, first_byte_ms) &&
	    at_limit && s->limit > MIN_LIMIT_IF_SLOW) {
		reduce_limit(s, now);
		return;
	}
	if (at_limit)
		s->limit = fmin(s->limit + 1 / s->limit, BACKEND_MAX_LIMIT);
}

/*
 * Ejects a server for a time that doubles from the third consecutive failure
 * on, up to BACKEND_MAX_EJECTION_MS.
 */
static void eject(struct backend_state *s, uint64_t now)
{
	uint64_t ms = BACKEND_FIRST_EJECTION_MS;

	for (uint32_t i = 1; i < s->failures && ms < BACKEND_MAX_EJECTION_MS;
	     i++)
		ms *= 2;
	s->failures++;
	s->ejected_until =
		now +
		(ms < BACKEND_MAX_EJECTION_MS ? ms : BACKEND_MAX_EJECTION_MS);
}

/*
 * Counts a request that has ended and updates the limit and ejection by its
 * outcome. first_byte_ms is the time to first byte; 0 or less: unknown.
 */
void backend_on_request_end(struct backend_state *s, uint64_t now,
			    enum backend_outcome outcome, double first_byte_ms)
{
	bool at_limit = s->in_flight + 1 >= s->limit;

	INVARIANT(s->in_flight > 0,
		  "server: no more requests end than have started");
	s->in_flight--;
	switch (outcome) {
	case BACKEND_OUTCOME_SUCCESS:
		on_success(s, now, first_byte_ms, at_limit);
		return;
	case BACKEND_OUTCOME_OVERLOADED:
		reduce_limit(s, now);
		return;
	case BACKEND_OUTCOME_FAILED:
		eject(s, now);
		return;
	case BACKEND_OUTCOME_IGNORED:
		return;
	}
}

/*
 * Records that a server refused a version that its last report listed. It gets
 * no requests for the version until its next report.
 */
void backend_on_missing_version(struct backend_state *s, cfg_handle version)
{
	s->loaded &= ~((uint64_t)1 << version);
}

/*
 * Updates the state from a load report: the requests at the server, and a bit
 * for each version that it can run.
 */
void backend_on_load_report(struct backend_state *s, double requests,
			    uint64_t loaded)
{
	s->reported = requests;
	s->loaded = loaded;
}

/*
 * Returns a bit for each version that some server in use can run now; ejected
 * servers count only if include_ejected is set.
 */
uint64_t backend_available_versions(const struct cfg *cfg,
				    const struct backend_state *table,
				    uint64_t now, bool include_ejected)
{
	uint64_t available = 0;

	for (size_t i = 0; i < cfg->n_servers; i++)
		if (backend_is_in_use(&table[i]) &&
		    (include_ejected || !backend_is_ejected(&table[i], now)))
			available |=
				table[i].loaded &
				cfg->services[cfg->servers[i].service].versions;
	return available;
}
