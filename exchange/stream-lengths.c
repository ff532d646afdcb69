#include "exchange/stream-lengths.h"

#define SAMPLE_WEIGHT 0.05 /* of the latest stream in the mean */

/* Initialises the averages; none is known. */
void stream_lengths_init(struct stream_lengths *l)
{
	l->routes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Adds a complete stream of the route, with its number of events. */
void stream_lengths_add(struct stream_lengths *l, const char *route,
			uint64_t events)
{
	double *mean = g_hash_table_lookup(l->routes, route);

	if (!mean) {
		mean = g_new0(double, 1);
		*mean = (double)events;
		g_hash_table_insert(l->routes, g_strdup(route), mean);
	}
	*mean += SAMPLE_WEIGHT * ((double)events - *mean);
}

/* Returns the mean number of events per stream of the route; 0 if unknown. */
double stream_lengths_mean(const struct stream_lengths *l, const char *route)
{
	const double *mean = g_hash_table_lookup(l->routes, route);

	return mean ? *mean : 0;
}
