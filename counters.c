#include "counters.h"

static const char *const names[] = {
#define X(id, name, help) name,
	COUNTER_LIST(X)
#undef X
};

static const char *const help_texts[] = {
#define X(id, name, help) help,
	COUNTER_LIST(X)
#undef X
};

/* Adds n to a counter. */
void counter_add(struct counter_set *c, enum counter_id id, uint64_t n)
{
	c->value[id] += n;
}

/* Appends all counters with their help and type lines to `out`. */
void counter_write_text(const struct counter_set *c, GString *out)
{
	for (int i = 0; i < COUNTER_COUNT; i++)
		g_string_append_printf(out,
				       "# HELP chivegw_%s %s\n"
				       "# TYPE chivegw_%s counter\n"
				       "chivegw_%s %" G_GUINT64_FORMAT "\n",
				       names[i], help_texts[i], names[i],
				       names[i], c->value[i]);
}
