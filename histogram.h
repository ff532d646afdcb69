#ifndef HISTOGRAM_H
#define HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/* Times in ms, in buckets that grow by half or a third, as text for metrics. */
#define HISTOGRAM_BUCKETS 24

struct histogram_ms {
	uint64_t count[HISTOGRAM_BUCKETS + 1]; /* the last one has no bound */
	uint64_t total;
	double sum;
};

void histogram_add(struct histogram_ms *h, double ms);
void histogram_write_text(const struct histogram_ms *h, const char *name,
			  const char *label, GString *out);

#endif
