#ifndef EXCHANGE_STREAM_LENGTHS_H
#define EXCHANGE_STREAM_LENGTHS_H

#include <glib.h>
#include <stdint.h>

/* Moving average of the number of events per stream, for each route. */
struct stream_lengths {
	GHashTable *routes; /* name -> double, events */
};

void stream_lengths_init(struct stream_lengths *l);
void stream_lengths_add(struct stream_lengths *l, const char *route,
			uint64_t events);
double stream_lengths_mean(const struct stream_lengths *l, const char *route);

#endif
