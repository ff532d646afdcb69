/*
 * Compares two ways to record the claims of orders in the store, within the
 * store's limit on writes and at several rates of orders: one object per key,
 * and group commit on shard objects. Time is simulated in steps of one
 * millisecond and random numbers are seeded.
 */
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "rng.h"

#define STORE_WRITES_PER_S 300
#define STORE_WRITE_MS 4
#define RUN_MS 20000
#define MAX_CLAIMS 1000000
#define MAX_ARRIVALS 1000 /* per ms */
#define SHARD_QUEUE_LEN 4096 /* claims that wait for one shard */
#define SMALL_FLEET_NODES 8
#define LARGE_FLEET_NODES 400

/*
 * A store that accepts STORE_WRITES_PER_S with bursts of up to 100 ms, as a
 * token bucket, and refuses the rest.
 */
struct store {
	double tokens;
	uint64_t writes;
	uint64_t refused;
};

/* Makes a write if there is a token; returns whether it was accepted. */
static bool store_try_write(struct store *s)
{
	if (s->tokens < 1) {
		s->refused++;
		return false;
	}
	s->tokens -= 1;
	s->writes++;
	return true;
}

/* Adds the tokens of one millisecond. */
static void store_add_tokens(struct store *s)
{
	s->tokens = fmin(s->tokens + STORE_WRITES_PER_S / 1000.0,
			 STORE_WRITES_PER_S / 10.0);
}

/* Result of a simulated run. */
struct result {
	double *claim_ms; /* latency of each accepted claim */
	int n; /* accepted claims */
	uint64_t orders;
	uint64_t refused_claims;
	struct store store;
};

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* Returns a quantile of the latencies, which must be sorted. */
static double claim_quantile_ms(struct result *r, double probability)
{
	if (!r->n)
		return 0;
	return r->claim_ms[(int)(probability * (r->n - 1))];
}

static void print_row(const char *method, int nodes, double orders_per_s,
		      struct result *r)
{
	qsort(r->claim_ms, (size_t)r->n, sizeof(double), compare_doubles);
	printf("| %s | %d | %.0f | %.2f | %.0f | %.1f ms | %.1f ms | %.1f %% "
	       "|\n",
	       method, nodes, orders_per_s,
	       r->n ? (double)r->store.writes / r->n : 0,
	       (double)r->store.writes * 1000 / RUN_MS,
	       claim_quantile_ms(r, 0.5), claim_quantile_ms(r, 0.99),
	       100.0 * (double)r->refused_claims / (double)r->orders);
}

/* Draws the orders of one millisecond, Poisson distributed. */
static int draw_arrivals(struct rng *rng, double orders_per_s)
{
	double mean = orders_per_s / 1000, point = rng_unit(rng);
	double probability = exp(-mean), sum = probability;
	int n = 0;

	while (point > sum && n < MAX_ARRIVALS) {
		n++;
		probability *= mean / n;
		sum += probability;
	}
	return n;
}

/*
 * Simulates one object per key: one write for the claim, one for the outcome.
 * If the store refuses the claim, the client's order is refused; an outcome
 * waits until the store accepts it.
 */
static struct result simulate_per_key(double orders_per_s)
{
	struct result r = {.claim_ms = g_new(double, MAX_CLAIMS)};
	uint64_t outcomes = 0;
	struct rng rng;

	rng_seed(&rng, 1);
	for (int now = 0; now < RUN_MS; now++) {
		store_add_tokens(&r.store);
		for (int i = draw_arrivals(&rng, orders_per_s); i > 0; i--) {
			r.orders++;
			if (!store_try_write(&r.store)) {
				r.refused_claims++;
				continue;
			}
			r.claim_ms[r.n++] = STORE_WRITE_MS;
			outcomes++;
		}
		while (outcomes && store_try_write(&r.store))
			outcomes--;
	}
	return r;
}

/* Queue of claims and outcomes for the next write of a shard object. */
struct shard {
	int waiting; /* not used */
	double arrived_ms[SHARD_QUEUE_LEN]; /* of the waiting claims */
	int n_waiting;
	int next_write_ms; /* earliest time of the next write */
	int in_write; /* not used */
	int n_outcomes;
};

/*
 * Simulates group commit: each shard is written by its preferred node, one
 * write at a time, and a write has all claims and outcomes that wait. Two
 * writes of a shard are at least interval_ms apart.
 */
static struct result simulate_group_commit(double orders_per_s, int shards,
					   int interval_ms)
{
	struct result r = {.claim_ms = g_new(double, MAX_CLAIMS)};
	struct shard *s = g_new0(struct shard, shards);
	struct rng rng;

	rng_seed(&rng, 1);
	for (int now = 0; now < RUN_MS; now++) {
		store_add_tokens(&r.store);
		for (int i = draw_arrivals(&rng, orders_per_s); i > 0; i--) {
			struct shard *t = &s[rng_below(&rng, (uint32_t)shards)];

			r.orders++;
			if (t->n_waiting == SHARD_QUEUE_LEN) {
				r.refused_claims++;
				continue;
			}
			t->arrived_ms[t->n_waiting++] = now;
		}
		for (int k = 0; k < shards; k++) {
			struct shard *t = &s[k];

			if (now < t->next_write_ms ||
			    (!t->n_waiting && !t->n_outcomes) ||
			    !store_try_write(&r.store))
				continue;
			for (int i = 0; i < t->n_waiting; i++)
				r.claim_ms[r.n++] =
					now + STORE_WRITE_MS - t->arrived_ms[i];
			t->n_outcomes = t->n_waiting;
			t->n_waiting = 0;
			t->next_write_ms =
				now + MAX(interval_ms, STORE_WRITE_MS);
		}
	}
	g_free(s);
	return r;
}

int main(void)
{
	static const struct {
		int nodes;
		double orders_per_s;
	} sizes[] = {
		{SMALL_FLEET_NODES, 5},	  {SMALL_FLEET_NODES, 50},
		{SMALL_FLEET_NODES, 150}, {LARGE_FLEET_NODES, 300},
		{LARGE_FLEET_NODES, 700}, {LARGE_FLEET_NODES, 1400},
	};

	printf("claims of orders: store of %d writes a second, %d ms a write; "
	       "%d s, seed 1\n\n",
	       STORE_WRITES_PER_S, STORE_WRITE_MS, RUN_MS / 1000);
	printf("| way | nodes | orders a second | writes an order | writes a "
	       "second | claim p50 | claim p99 | refused |\n"
	       "|---|---|---|---|---|---|---|---|\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct result r = simulate_per_key(sizes[i].orders_per_s);

		print_row("one object a key", sizes[i].nodes,
			  sizes[i].orders_per_s, &r);
		g_free(r.claim_ms);
		r = simulate_group_commit(sizes[i].orders_per_s, 16, 100);
		print_row("16 shards, 100 ms", sizes[i].nodes,
			  sizes[i].orders_per_s, &r);
		g_free(r.claim_ms);
		r = simulate_group_commit(sizes[i].orders_per_s, 64, 300);
		print_row("64 shards, 300 ms", sizes[i].nodes,
			  sizes[i].orders_per_s, &r);
		g_free(r.claim_ms);
	}
	return 0;
}
