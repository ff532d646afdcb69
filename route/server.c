#include "route/server.h"

#include <assert.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "invariant.h"

#define LIMIT_CUT 0.85
#define LIMIT_CUT_PAUSE_MS 100
#define SLOW_FACTOR 3.0
#define BEST_WINDOW_MS 5000
#define SLOW_LIMIT_MIN 4.0
#define AFFINITY_SLACK 1.25
#define OTHER_ZONE_COST 0.5
#define MAX_CANDIDATES 4096

/* Starts with nothing known of a server. */
void backend_init(struct backend_state *s)
{
	memset(s, 0, sizeof(*s));
	s->limit = BACKEND_INITIAL_LIMIT;
	s->loaded = UINT64_MAX;
}

/* Hashes a node's name or a server's address for backend_select_subset. */
uint64_t backend_hash_name(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

/* Mixes two hashes into the weight of a pair (rendezvous hashing). */
static uint64_t pair_weight(uint64_t server, uint64_t node)
{
	uint64_t z = server ^ (node * 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 32)) * 0xd6e8feb86659fd93ULL;
	return z ^ (z >> 32);
}

/* Whether this node is among the first k that a server ranks highest. */
static bool is_chosen_by(uint64_t server, const uint64_t *nodes, size_t n_nodes,
			 uint64_t self, size_t k)
{
	uint64_t mine = pair_weight(server, self);
	size_t above = 0;

	for (size_t i = 0; i < n_nodes && above < k; i++)
		above += nodes[i] != self &&
			 pair_weight(server, nodes[i]) > mine;
	return above < k;
}

/* Adds the servers of a service that this node itself ranks highest. */
static void add_own_choice(const struct cfg *cfg, struct backend_state *table,
			   size_t service, uint64_t self)
{
	cfg_handle best = CFG_NONE;
	uint64_t best_weight = 0;

	for (size_t i = 0; i < cfg->n_servers; i++) {
		uint64_t w;

		if (cfg->servers[i].service != service || table[i].in_subset)
			continue;
		w = pair_weight(backend_hash_name(cfg->servers[i].address),
				self);
		if (best == CFG_NONE || w > best_weight) {
			best = (cfg_handle)i;
			best_weight = w;
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
 * Marks the servers that a node uses, so that it polls and connects to few of
 * many. Each server ranks the nodes and has its first nodes_per_server use
 * it, so none is left out; a node that few servers of a service chose adds
 * some of its own choice, so it can serve every service. `nodes` are hashes
 * of the live nodes' names, this one included or not.
 */
void backend_select_subset(const struct cfg *cfg, struct backend_state *table,
			   const uint64_t *nodes, size_t n_nodes, uint64_t self,
			   size_t nodes_per_server)
{
	for (size_t i = 0; i < cfg->n_servers; i++) {
		uint64_t hash = backend_hash_name(cfg->servers[i].address);

		table[i].ranks_this_node_first =
			is_chosen_by(hash, nodes, n_nodes, self, 1);
		table[i].in_subset = is_chosen_by(hash, nodes, n_nodes, self,
						  nodes_per_server);
	}
	for (size_t s = 0; s < cfg->n_services; s++)
		for (size_t n = count_in_subset(cfg, table, s);
		     n < BACKEND_MIN_PER_SERVICE; n++)
			add_own_choice(cfg, table, s, self);
}

/* Tells whether this node uses a server: one that leaves gets no new work. */
bool backend_is_in_use(const struct backend_state *s)
{
	return s->in_subset && !s->leaving;
}

/* Tells whether a server has failed of late and is given a rest. */
bool backend_is_ejected(const struct backend_state *s, uint64_t now)
{
	return now < s->ejected_until;
}

static bool fits(const struct cfg *cfg, const struct backend_state *table,
		 size_t i, const struct backend_criteria *wish)
{
	const struct backend_state *s = &table[i];

	if (cfg->servers[i].service != wish->service || !backend_is_in_use(s))
		return false;
	if (wish->version != CFG_NONE && !((s->loaded >> wish->version) & 1))
		return false;
	return s->in_flight < s->limit;
}

/* Own requests in flight; another zone counts as part of one more. */
static double score(const struct cfg *cfg, const struct backend_state *table,
		    cfg_handle h, const struct backend_criteria *wish)
{
	double load = table[h].in_flight;

	if (strcmp(cfg->servers[h].zone, wish->zone) != 0)
		load += OTHER_ZONE_COST;
	return load;
}

static uint64_t weight_of(const struct cfg *cfg, cfg_handle h,
			  uint64_t affinity)
{
	const char *address = cfg->servers[h].address;

	return XXH64(address, strlen(address), affinity);
}

/*
 * Returns the server that this session or prompt prefers (rendezvous
 * hashing), unless it is loaded well above the mean.
 */
static cfg_handle preferred(const struct cfg *cfg,
			    const struct backend_state *table,
			    const struct backend_criteria *wish,
			    const cfg_handle *fit, uint32_t n)
{
	cfg_handle best = CFG_NONE;
	uint64_t best_weight = 0;
	double sum = 0;

	for (uint32_t i = 0; i < n; i++) {
		uint64_t w = weight_of(cfg, fit[i], wish->affinity);

		sum += table[fit[i]].in_flight;
		if (best == CFG_NONE || w > best_weight) {
			best = fit[i];
			best_weight = w;
		}
	}
	if (table[best].in_flight > AFFINITY_SLACK * (sum / n) + 1)
		return CFG_NONE;
	return best;
}

/*
 * Gathers the servers that can take a request, without the one to avoid.
 * Ejected ones come in only if there is no other: when all fail, a guess is
 * better than no try.
 */
static uint32_t gather(const struct cfg *cfg, const struct backend_state *table,
		       uint64_t now, const struct backend_criteria *wish,
		       cfg_handle *fit)
{
	uint32_t n = 0;

	for (int ejected = 0; ejected < 2 && !n; ejected++)
		for (size_t i = 0; i < cfg->n_servers && n < MAX_CANDIDATES;
		     i++)
			if (i != wish->avoid && fits(cfg, table, i, wish) &&
			    backend_is_ejected(&table[i], now) ==
				    (ejected != 0))
				fit[n++] = (cfg_handle)i;
	return n;
}

/*
 * Returns the one with the lowest score, among equal ones the one picked
 * longest ago.
 */
static cfg_handle least_loaded(const struct cfg *cfg,
			       const struct backend_state *table,
			       const struct backend_criteria *wish,
			       const cfg_handle *fit, uint32_t n)
{
	cfg_handle best = fit[0];
	double best_score = score(cfg, table, best, wish);

	for (uint32_t i = 1; i < n; i++) {
		double s = score(cfg, table, fit[i], wish);

		if (s < best_score ||
		    (s == best_score &&
		     table[fit[i]].picked < table[best].picked)) {
			best = fit[i];
			best_score = s;
		}
	}
	return best;
}

/*
 * Picks a server for a request, or CFG_NONE if none can take one more: the
 * one with the fewest of this node's own requests in flight, in turn among
 * equal ones, a session's own server as long as it is not crowded. What
 * servers report of their load comes too late to choose by: nodes that follow
 * it all go to the same few (docs/design/0002-server-choice.md).
 */
cfg_handle backend_pick(const struct cfg *cfg,
			const struct backend_state *table, uint64_t now,
			const struct backend_criteria *wish)
{
	static_assert(MAX_CANDIDATES < CFG_NONE, "handles are 16 bits");
	cfg_handle fit[MAX_CANDIDATES];
	cfg_handle own;
	uint32_t n = gather(cfg, table, now, wish, fit);

	if (!n && wish->avoid != CFG_NONE &&
	    fits(cfg, table, wish->avoid, wish))
		return wish->avoid;
	if (!n)
		return CFG_NONE;
	if (wish->affinity) {
		own = preferred(cfg, table, wish, fit, n);
		if (own != CFG_NONE)
			return own;
	}
	return least_loaded(cfg, table, wish, fit, n);
}

/*
 * Counts a request that goes to the server. The sequence grows with each
 * request of this node.
 */
void backend_on_request_start(struct backend_state *s, uint64_t sequence)
{
	INVARIANT(!s->leaving, "server: no new work for a leaving one");
	s->in_flight++;
	s->picked = sequence;
}

static void cut_limit(struct backend_state *s, uint64_t now)
{
	if (s->limit_cut_at && now - s->limit_cut_at < LIMIT_CUT_PAUSE_MS)
		return;
	s->limit_cut_at = now;
	s->limit = fmax(s->limit * LIMIT_CUT, BACKEND_MIN_LIMIT);
}

/* Notes a time to the first byte; returns the best of the last windows. */
static double best_of_late(struct backend_state *s, uint64_t now,
			   double first_ms)
{
	if (now - s->window_at >= BEST_WINDOW_MS) {
		s->before_ms = s->window_ms;
		s->window_ms = 0;
		s->window_at = now;
	}
	if (s->window_ms <= 0 || first_ms < s->window_ms)
		s->window_ms = first_ms;
	if (s->before_ms > 0 && s->before_ms < s->window_ms)
		return s->before_ms;
	return s->window_ms;
}

/*
 * The limit grows by one for each full round of good answers while it is in
 * use, and shrinks when answers start much later than the best of late, which
 * is a queue at the server. A server that has become slower as a whole is
 * measured by its new best within two windows.
 */
static void on_good(struct backend_state *s, uint64_t now, double first_ms,
		    bool at_limit)
{
	s->failures = 0;
	if (first_ms > 0 &&
	    first_ms > SLOW_FACTOR * best_of_late(s, now, first_ms) &&
	    at_limit && s->limit > SLOW_LIMIT_MIN) {
		cut_limit(s, now);
		return;
	}
	if (at_limit)
		s->limit = fmin(s->limit + 1 / s->limit, BACKEND_MAX_LIMIT);
}

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

/* Counts a request that has ended, and learns from how it did. */
void backend_on_request_end(struct backend_state *s, uint64_t now,
			    enum backend_outcome outcome, double first_ms)
{
	bool at_limit = s->in_flight + 1 >= s->limit;

	INVARIANT(s->in_flight > 0, "server: ended no more than started");
	s->in_flight--;
	switch (outcome) {
	case BACKEND_OUTCOME_SUCCESS:
		on_good(s, now, first_ms, at_limit);
		return;
	case BACKEND_OUTCOME_OVERLOADED:
		cut_limit(s, now);
		return;
	case BACKEND_OUTCOME_FAILED:
		eject(s, now);
		return;
	case BACKEND_OUTCOME_IGNORED:
		return;
	}
}

/*
 * Notes that a server turned out not to have a version, which its last report
 * did not show; until the next report it gets none of that version.
 */
void backend_on_missing_version(struct backend_state *s, cfg_handle version)
{
	s->loaded &= ~((uint64_t)1 << version);
}

/* Takes a load report: requests at the server and versions it can run. */
void backend_on_load_report(struct backend_state *s, double requests,
			    uint64_t loaded)
{
	s->reported = requests;
	s->loaded = loaded;
}

/*
 * Returns the versions that some server can run now; those that only ejected
 * servers run are left out unless asked for.
 */
uint64_t backend_available_versions(const struct cfg *cfg,
				    const struct backend_state *table,
				    uint64_t now, bool ejected_too)
{
	uint64_t usable = 0;

	for (size_t i = 0; i < cfg->n_servers; i++)
		if (backend_is_in_use(&table[i]) &&
		    (ejected_too || !backend_is_ejected(&table[i], now)))
			usable |=
				table[i].loaded &
				cfg->services[cfg->servers[i].service].versions;
	return usable;
}
