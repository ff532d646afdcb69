#ifndef HISTOGRAM_H
#define HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/*
 * Histograms of durations in ms, written in the Prometheus text format. Bucket
 * bounds grow by alternating factors of 3/2 and 4/3 from 2 to 2048 ms.
 */
#define HISTOGRAM_BUCKETS 24

struct histogram_ms {
	uint64_t count[HISTOGRAM_BUCKETS + 1]; /* the last one: +Inf */
	uint64_t total; /* samples */
	double sum; /* of the samples, in ms */
};

void histogram_add(struct histogram_ms *h, double ms);
void histogram_write_text(const struct histogram_ms *h, const char *name,
			  const char *label, GString *out);

#endif
