#ifndef HISTOGRAM_H
#define HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/* Times in ms, in buckets that grow by half or a third, as text for metrics. */
#define HST_BUCKETS 24

struct hst {
	uint64_t count[HST_BUCKETS + 1]; /* the last one has no bound */
	uint64_t total;
	double sum;
};

void hst_add(struct hst *h, double ms);
void hst_text(const struct hst *h, const char *name, const char *label,
	      GString *out);

#endif
