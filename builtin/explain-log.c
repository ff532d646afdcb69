#include "builtin/explain-log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log-event.h"

#define TIME_LEN 27 /* 2026-01-02T03:04:05.000006Z */

/* A line as a node wrote it, in parts. */
struct line {
	char *time;
	char *node;
	unsigned int number; /* of the event */
	char *text; /* of the event, with its particulars */
	bool is_topic; /* about what is to be explained */
};

struct xlg {
	enum xlg_topic topic;
	char *name;
	GPtrArray *lines; /* struct line */
};

static void free_line(void *p)
{
	struct line *l = p;

	g_free(l->time);
	g_free(l->node);
	g_free(l->text);
	g_free(l);
}

/* Starts without any line. The name is a request's id or a service. */
struct xlg *xlg_new(enum xlg_topic topic, const char *name)
{
	struct xlg *x = g_new0(struct xlg, 1);

	x->topic = topic;
	x->name = g_strdup(name);
	x->lines = g_ptr_array_new_with_free_func(free_line);
	return x;
}

/* Frees it; NULL is allowed. */
void xlg_free(struct xlg *x)
{
	if (!x)
		return;
	g_ptr_array_unref(x->lines);
	g_free(x->name);
	g_free(x);
}

static bool is_time(const char *s)
{
	return strlen(s) > TIME_LEN && s[4] == '-' && s[10] == 'T' &&
	       s[19] == '.' && s[TIME_LEN - 1] == 'Z' && s[TIME_LEN] == ' ';
}

/* Returns where a node's own line begins, after what a collector put before. */
static const char *find_time(const char *line)
{
	for (const char *s = line; *s; s++)
		if (g_ascii_isdigit(*s) && is_time(s))
			return s;
	return NULL;
}

/* Copies the value of "key=value" into out. False: there is none. */
static bool read_field(const char *text, const char *key, char *out,
		       size_t size)
{
	size_t n = strlen(key);

	for (const char *s = text; (s = strstr(s, key)); s += n) {
		if (s > text && s[-1] == ' ' && s[n] == '=') {
			size_t len = strcspn(s + n + 1, " \n");

			g_strlcpy(out, s + n + 1, MIN(size, len + 1));
			return true;
		}
	}
	return false;
}

static bool has_value(const char *text, const char *key, const char *value)
{
	char found[256];

	return read_field(text, key, found, sizeof(found)) &&
	       !strcmp(found, value);
}

static bool is_of_request(unsigned int number)
{
	return number >= LOG_EVENT_REQUEST_ENDED &&
	       number <= LOG_EVENT_WEAK_ANSWER;
}

static bool is_of_rollout(unsigned int number)
{
	return number >= LOG_EVENT_ROLLOUT_GROWN &&
	       number <= LOG_EVENT_ROLLOUT_WRITTEN;
}

static bool is_topic(const struct xlg *x, unsigned int number, const char *text)
{
	switch (x->topic) {
	case XLG_REQUEST:
		return has_value(text, "request", x->name);
	case XLG_ROLLOUT:
		return is_of_rollout(number) &&
		       (has_value(text, "service", x->name) ||
			has_value(text, "rollout", x->name));
	}
	return false;
}

/* Takes one line of a log; what no node wrote is left out. */
void xlg_add_line(struct xlg *x, const char *line)
{
	const char *start = find_time(line);
	char node[128], level[16];
	unsigned int number;
	struct line *l;
	int used = 0;
	bool topic;

	if (!start ||
	    sscanf(start + TIME_LEN, "%15s %127s E%u %n", level, node, &number,
		   &used) != 3 ||
	    !used)
		return;
	topic = is_topic(x, number, start + TIME_LEN + used);
	if (!topic && (x->topic == XLG_ROLLOUT || is_of_request(number)))
		return;
	l = g_new0(struct line, 1);
	l->time = g_strndup(start, TIME_LEN);
	l->node = g_strdup(node);
	l->number = number;
	l->text = g_strstrip(g_strdup(start + TIME_LEN + used));
	l->is_topic = topic;
	g_ptr_array_add(x->lines, l);
}

static gint by_time(gconstpointer a, gconstpointer b)
{
	const struct line *l = *(struct line *const *)a;
	const struct line *m = *(struct line *const *)b;

	return strcmp(l->time, m->time);
}

static bool is_at_node(const GPtrArray *story, const char *node)
{
	for (guint i = 0; i < story->len; i++)
		if (!strcmp(((struct line *)story->pdata[i])->node, node))
			return true;
	return false;
}

static bool is_at_server(const GPtrArray *story, const char *server)
{
	for (guint i = 0; i < story->len; i++)
		if (has_value(((struct line *)story->pdata[i])->text, "server",
			      server))
			return true;
	return false;
}

/*
 * What a line tells a belief about: its event, and the server or service if
 * it names one. Returns false if it says nothing about the story's request.
 */
static bool belief_of(const GPtrArray *story, const struct line *l, char *out,
		      size_t size)
{
	char about[128] = "";

	if (!is_at_node(story, l->node))
		return false;
	if (read_field(l->text, "server", about, sizeof(about))) {
		if (!is_at_server(story, about))
			return false;
	} else if (read_field(l->text, "service", about, sizeof(about))) {
		const struct line *last = story->pdata[story->len - 1];

		if (!has_value(last->text, "service", about))
			return false;
	}
	snprintf(out, size, "%s %u %s", l->node, l->number, about);
	return true;
}

/* Adds what the nodes of the story last learnt before its end. */
static void add_beliefs(const struct xlg *x, GPtrArray *story)
{
	const struct line *last = story->pdata[story->len - 1];
	g_autoptr(GHashTable) known =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter it;
	void *l;

	for (guint i = 0; i < x->lines->len; i++) {
		struct line *line = x->lines->pdata[i];
		char key[320];

		if (line->is_topic || strcmp(line->time, last->time) > 0 ||
		    !belief_of(story, line, key, sizeof(key)))
			continue;
		g_hash_table_replace(known, g_strdup(key), line);
	}
	g_hash_table_iter_init(&it, known);
	while (g_hash_table_iter_next(&it, NULL, &l))
		g_ptr_array_add(story, l);
	g_ptr_array_sort(story, by_time);
}

static double seconds_of(const char *time)
{
	g_autoptr(GDateTime) t = g_date_time_new_from_iso8601(time, NULL);

	return t ? (double)g_date_time_to_unix(t) +
			       g_date_time_get_microsecond(t) / 1e6
		 : 0;
}

static void print_line(const struct line *l, double from, GString *out)
{
	g_string_append_printf(out, "%+12.3f s  %-20s %s E%03u %s\n",
			       seconds_of(l->time) - from, l->node,
			       l->is_topic ? "*" : " ", l->number, l->text);
}

/* The part of a plan's line that is the same at all nodes that follow it. */
static char *plan_key(const struct line *l)
{
	char state[64] = "", share[64] = "", target[128] = "";

	read_field(l->text, "state", state, sizeof(state));
	read_field(l->text, "share", share, sizeof(share));
	read_field(l->text, "target", target, sizeof(target));
	return g_strdup_printf("%u %s %s %s", l->number, state, share, target);
}

/* A step of a roll-out: the first node that took it, and those that followed. */
struct step {
	const struct line *first;
	const struct line *last;
	guint followers;
};

static void print_step(const struct step *s, double from, GString *out)
{
	print_line(s->first, from, out);
	if (s->followers)
		g_string_append_printf(out,
				       "%14s  %-20s   by %u more node%s, "
				       "the last at %+.3f s\n",
				       "", "", s->followers,
				       s->followers == 1 ? "" : "s",
				       seconds_of(s->last->time) - from);
}

/* Prints each step once, in the order in which the first node took it. */
static void print_steps(const GPtrArray *story, double from, GString *out)
{
	g_autoptr(GHashTable) by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_autoptr(GPtrArray) steps = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < story->len; i++) {
		const struct line *l = story->pdata[i];
		char *key = plan_key(l);
		struct step *s = g_hash_table_lookup(by_key, key);

		if (s) {
			s->followers += strcmp(s->first->node, l->node) != 0;
			s->last = l;
			g_free(key);
			continue;
		}
		s = g_new0(struct step, 1);
		s->first = l;
		s->last = l;
		g_ptr_array_add(steps, s);
		g_hash_table_insert(by_key, key, s);
	}
	for (guint i = 0; i < steps->len; i++)
		print_step(steps->pdata[i], from, out);
}

/* Writes the story. False: no line is about it. */
bool xlg_tell(struct xlg *x, GString *out)
{
	g_autoptr(GPtrArray) story = g_ptr_array_new();
	const struct line *first;
	double from;

	g_ptr_array_sort(x->lines, by_time);
	for (guint i = 0; i < x->lines->len; i++) {
		struct line *l = x->lines->pdata[i];

		if (l->is_topic)
			g_ptr_array_add(story, l);
	}
	if (!story->len)
		return false;
	first = story->pdata[0];
	from = seconds_of(first->time);
	g_string_append_printf(out, "%s, from %s; * tells of it itself\n",
			       x->name, first->time);
	if (x->topic == XLG_ROLLOUT) {
		print_steps(story, from, out);
		return true;
	}
	add_beliefs(x, story);
	for (guint i = 0; i < story->len; i++)
		print_line(story->pdata[i], from, out);
	return true;
}
