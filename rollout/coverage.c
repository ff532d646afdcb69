#include "rollout/coverage.h"

static const char *const gap_names[] = {"none", "late", "unreachable",
					"silent"};

/* Returns the gap's name for logs. */
const char *coverage_gap_name(enum coverage_gap gap)
{
	return gap_names[gap];
}

/* Notes what the member table says now; call it often while the order is open. */
void coverage_update(struct coverage *c, uint64_t now,
		     const struct coverage_view *v)
{
	if (!v->gets_reports)
		c->since = 0;
	else if (!c->since)
		c->since = now;
	c->unreachable = c->unreachable || v->any_dead;
}

/* Handles the end of a pause of the process, in which reports were not received. */
void coverage_on_pause(struct coverage *c, uint64_t now)
{
	if (c->since)
		c->since = now;
}

/* Returns whether each node that may serve has sent a new report. */
static bool all_report(const struct traffic_shift *s, uint64_t now,
		       const struct coverage_view *v)
{
	g_autoptr(GHashTable) heard = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < s->reports->len; i++) {
		struct shift_report *r =
			&g_array_index(s->reports, struct shift_report, i);

		if (shift_report_is_new(r, now))
			g_hash_table_add(heard, r->node);
	}
	for (uint32_t i = 0; i < v->n_serving; i++)
		if (!g_hash_table_contains(heard, v->serving[i]))
			return false;
	return true;
}

/* Returns why this node may lack counts of the shift's service, if it may. */
enum coverage_gap coverage_find_gap(const struct coverage *c,
				    const struct traffic_shift *s, uint64_t now,
				    const struct coverage_view *v)
{
	if (!c->since || c->since > s->began_at + COVERAGE_LEARN_MS)
		return COVERAGE_LATE;
	if (c->unreachable)
		return COVERAGE_UNREACHABLE;
	return all_report(s, now, v) ? COVERAGE_COMPLETE : COVERAGE_SILENT;
}
