#include "fleet/builds.h"

#include <string.h>

/* A node that has just started tells its build within a few looks. */
#define LOOK_INTERVAL_MS 20000

static void count_one(struct builds_summary *s, const struct member_build *b)
{
	uint32_t i = 0;

	s->protocol = MIN(s->protocol, b->protocol);
	while (i < s->n && strcmp(s->id[i], b->id) != 0)
		i++;
	if (!b->id[0] || i == BUILDS_MAX) {
		s->unknown++;
		return;
	}
	if (i == s->n)
		g_strlcpy(s->id[s->n++], b->id, MEMBER_BUILD_BYTES);
	s->nodes[i]++;
}

/* Counts the builds of this node and of all that are alive or suspect. */
void builds_count(const struct member_table *m, struct builds_summary *out)
{
	memset(out, 0, sizeof(*out));
	out->protocol = UINT32_MAX;
	count_one(out, &m->self_build);
	for (guint i = 0; i < m->members->len; i++) {
		const struct member_entry *e =
			&g_array_index(m->members, struct member_entry, i);

		if (e->info.state == MEMBER_ALIVE ||
		    e->info.state == MEMBER_SUSPECT)
			count_one(out, &e->build);
	}
}

/* Returns the builds and their nodes, "ID:N,ID:N,unknown:N"; free with g_free(). */
char *builds_to_text(const struct builds_summary *s)
{
	GString *text = g_string_new(NULL);

	for (uint32_t i = 0; i < s->n; i++)
		g_string_append_printf(text, "%s%s:%u", i ? "," : "", s->id[i],
				       s->nodes[i]);
	if (s->unknown)
		g_string_append_printf(text, "%sunknown:%u",
				       text->len ? "," : "", s->unknown);
	return g_string_free(text, FALSE);
}

/*
 * Looks now and then whether the nodes run more than one build. A node that has not
 * told its build counts if that was so at the look before, too. Returns true if the
 * result has changed.
 */
bool builds_watch_update(struct builds_watch *w, uint64_t now,
			 const struct builds_summary *s)
{
	bool mixed = s->n > 1 || (s->unknown && w->saw_unknown);
	bool changed = mixed != w->is_mixed;

	if (now < w->next_at)
		return false;
	w->next_at = now + LOOK_INTERVAL_MS;
	w->saw_unknown = s->unknown > 0;
	w->is_mixed = mixed;
	return changed;
}
