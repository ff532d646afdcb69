#include "histogram.h"

static const double bounds_ms[HISTOGRAM_BUCKETS] = {
	1,  2,	 3,   4,   6,	8,   12,  16,	24,   32,   48,	  64,
	96, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 4096, 8192};

static int bucket_of(double ms)
{
	int i = 0;

	while (i < HISTOGRAM_BUCKETS && ms > bounds_ms[i])
		i++;
	return i;
}

/* Adds a sample in ms. */
void histogram_add(struct histogram_ms *h, double ms)
{
	h->count[bucket_of(ms)]++;
	h->total++;
	h->sum += ms;
}

/*
 * Appends the histogram to `out` as metric chivegw_NAME; `label` is one label
 * with its value, e.g. `kind="streaming"`.
 */
void histogram_write_text(const struct histogram_ms *h, const char *name,
			  const char *label, GString *out)
{
	uint64_t cumulative = 0;

	for (int i = 0; i < HISTOGRAM_BUCKETS; i++) {
		cumulative += h->count[i];
		g_string_append_printf(
			out,
			"chivegw_%s_bucket{%s,le=\"%.0f\"} %" G_GUINT64_FORMAT
			"\n",
			name, label, bounds_ms[i], cumulative);
	}
	g_string_append_printf(
		out,
		"chivegw_%s_bucket{%s,le=\"+Inf\"} %" G_GUINT64_FORMAT "\n"
		"chivegw_%s_sum{%s} %.1f\nchivegw_%s_count{%s} "
		"%" G_GUINT64_FORMAT "\n",
		name, label, h->total, name, label, h->sum, name, label,
		h->total);
}
