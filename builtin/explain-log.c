#include "builtin/explain-log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log-event.h"

#define TIMESTAMP_LEN 27 /* such as 2026-01-02T03:04:05.000006Z */

/* A log line of a node. */
struct log_line {
	char *time; /* timestamp as logged; sorts as text */
	char *node;
	unsigned int event; /* number of the event */
	char *text; /* text of the event and its key=value fields */
	bool is_match; /* names the request or roll-out to explain */
};

struct explain_log {
	enum explain_log_subject subject;
	char *name; /* id of the request; service or name of the roll-out */
	GPtrArray *lines; /* struct log_line */
};

static void free_log_line(void *p)
{
	struct log_line *l = p;

	g_free(l->time);
	g_free(l->node);
	g_free(l->text);
	g_free(l);
}

/*
 * Returns a timeline without lines. `name` is the id of a request, or the
 * service or name of a roll-out. Free it with explain_log_free().
 */
struct explain_log *explain_log_new(enum explain_log_subject subject,
				    const char *name)
{
	struct explain_log *x = g_new0(struct explain_log, 1);

	x->subject = subject;
	x->name = g_strdup(name);
	x->lines = g_ptr_array_new_with_free_func(free_log_line);
	return x;
}

/* Frees a timeline; does nothing if x is NULL. */
void explain_log_free(struct explain_log *x)
{
	if (!x)
		return;
	g_ptr_array_unref(x->lines);
	g_free(x->name);
	g_free(x);
}

static bool starts_with_timestamp(const char *s)
{
	return strlen(s) > TIMESTAMP_LEN && s[4] == '-' && s[10] == 'T' &&
	       s[19] == '.' && s[TIMESTAMP_LEN - 1] == 'Z' &&
	       s[TIMESTAMP_LEN] == ' ';
}

/*
 * Returns the timestamp at which a node's line begins, after any prefix that a
 * log collector added; NULL if there is none.
 */
static const char *find_timestamp(const char *line)
{
	for (const char *s = line; *s; s++)
		if (g_ascii_isdigit(*s) && starts_with_timestamp(s))
			return s;
	return NULL;
}

/*
 * Copies the value of the first " key=value" into out, cut to size. Returns
 * false if the text has no such key.
 */
static bool read_field(const char *text, const char *key, char *out,
		       size_t size)
{
	size_t key_len = strlen(key);

	for (const char *s = text; (s = strstr(s, key)); s += key_len) {
		if (s > text && s[-1] == ' ' && s[key_len] == '=') {
			size_t len = strcspn(s + key_len + 1, " \n");

			g_strlcpy(out, s + key_len + 1, MIN(size, len + 1));
			return true;
		}
	}
	return false;
}

static bool field_equals(const char *text, const char *key, const char *value)
{
	char found[256];

	return read_field(text, key, found, sizeof(found)) &&
	       !strcmp(found, value);
}

/* Returns whether an event is one of those that a request logs about itself. */
static bool is_request_event(unsigned int event)
{
	return event >= LOG_EVENT_REQUEST_ENDED &&
	       event <= LOG_EVENT_WEAK_ANSWER;
}

/* Returns whether an event is about a roll-out. */
static bool is_rollout_event(unsigned int event)
{
	return event >= LOG_EVENT_ROLLOUT_GROWN &&
	       event <= LOG_EVENT_ROLLOUT_WRITTEN;
}

static bool matches_subject(const struct explain_log *x, unsigned int event,
			    const char *text)
{
	switch (x->subject) {
	case EXPLAIN_LOG_REQUEST:
		return field_equals(text, "request", x->name);
	case EXPLAIN_LOG_ROLLOUT:
		return is_rollout_event(event) &&
		       (field_equals(text, "service", x->name) ||
			field_equals(text, "rollout", x->name));
	}
	return false;
}

/*
 * Adds one line of a log. Skips lines that are not in the format of a node's
 * log, and lines about other requests or roll-outs. Lines that name no request
 * are kept as context when a request is explained.
 */
void explain_log_add_line(struct explain_log *x, const char *line)
{
	const char *start = find_timestamp(line);
	char node[128], level[16];
	unsigned int event;
	struct log_line *l;
	int used = 0;
	bool match;

	if (!start ||
	    sscanf(start + TIMESTAMP_LEN, "%15s %127s E%u %n", level, node,
		   &event, &used) != 3 ||
	    !used)
		return;
	match = matches_subject(x, event, start + TIMESTAMP_LEN + used);
	if (!match &&
	    (x->subject == EXPLAIN_LOG_ROLLOUT || is_request_event(event)))
		return;
	l = g_new0(struct log_line, 1);
	l->time = g_strndup(start, TIMESTAMP_LEN);
	l->node = g_strdup(node);
	l->event = event;
	l->text = g_strstrip(g_strdup(start + TIMESTAMP_LEN + used));
	l->is_match = match;
	g_ptr_array_add(x->lines, l);
}

static gint compare_time(gconstpointer a, gconstpointer b)
{
	const struct log_line *l = *(struct log_line *const *)a;
	const struct log_line *m = *(struct log_line *const *)b;

	return strcmp(l->time, m->time);
}

static bool timeline_has_node(const GPtrArray *timeline, const char *node)
{
	for (guint i = 0; i < timeline->len; i++)
		if (!strcmp(((struct log_line *)timeline->pdata[i])->node,
			    node))
			return true;
	return false;
}

static bool timeline_has_server(const GPtrArray *timeline, const char *server)
{
	for (guint i = 0; i < timeline->len; i++)
		if (field_equals(((struct log_line *)timeline->pdata[i])->text,
				 "server", server))
			return true;
	return false;
}

/*
 * Writes a key for lines that report the same kind of state: node, event, and
 * the server or service that the line names. A later line with the same key
 * replaces an earlier one. Returns false if the line has no bearing on the
 * request: another node, another server or another service.
 */
static bool read_context_key(const GPtrArray *timeline,
			     const struct log_line *l, char *out, size_t size)
{
	char subject[128] = "";

	if (!timeline_has_node(timeline, l->node))
		return false;
	if (read_field(l->text, "server", subject, sizeof(subject))) {
		if (!timeline_has_server(timeline, subject))
			return false;
	} else if (read_field(l->text, "service", subject, sizeof(subject))) {
		const struct log_line *last =
			timeline->pdata[timeline->len - 1];

		if (!field_equals(last->text, "service", subject))
			return false;
	}
	snprintf(out, size, "%s %u %s", l->node, l->event, subject);
	return true;
}

/*
 * Adds the last line of each context key that was logged before the request
 * ended: the state of servers, store and configuration that the nodes had then.
 */
static void add_context(const struct explain_log *x, GPtrArray *timeline)
{
	const struct log_line *last = timeline->pdata[timeline->len - 1];
	g_autoptr(GHashTable) latest =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter it;
	void *l;

	for (guint i = 0; i < x->lines->len; i++) {
		struct log_line *line = x->lines->pdata[i];
		char key[320];

		if (line->is_match || strcmp(line->time, last->time) > 0 ||
		    !read_context_key(timeline, line, key, sizeof(key)))
			continue;
		g_hash_table_replace(latest, g_strdup(key), line);
	}
	g_hash_table_iter_init(&it, latest);
	while (g_hash_table_iter_next(&it, NULL, &l))
		g_ptr_array_add(timeline, l);
	g_ptr_array_sort(timeline, compare_time);
}

/* Returns seconds since the epoch; 0 if the time is malformed. */
static double parse_time_s(const char *time)
{
	g_autoptr(GDateTime) t = g_date_time_new_from_iso8601(time, NULL);

	return t ? (double)g_date_time_to_unix(t) +
			       g_date_time_get_microsecond(t) / 1e6
		 : 0;
}

static void append_line(const struct log_line *l, double start_s, GString *out)
{
	g_string_append_printf(out, "%+12.3f s  %-20s %s E%03u %s\n",
			       parse_time_s(l->time) - start_s, l->node,
			       l->is_match ? "*" : " ", l->event, l->text);
}

/* Returns a key that is the same on all nodes that log the same step. */
static char *rollout_step_key(const struct log_line *l)
{
	char state[64] = "", share[64] = "", target[128] = "";

	read_field(l->text, "state", state, sizeof(state));
	read_field(l->text, "share", share, sizeof(share));
	read_field(l->text, "target", target, sizeof(target));
	return g_strdup_printf("%u %s %s %s", l->event, state, share, target);
}

/* A step of a roll-out. */
struct step {
	const struct log_line *first; /* of the first node that logged it */
	const struct log_line *last;
	guint other_nodes; /* lines of nodes other than the first */
};

static void append_step(const struct step *s, double start_s, GString *out)
{
	append_line(s->first, start_s, out);
	if (s->other_nodes)
		g_string_append_printf(out,
				       "%14s  %-20s   by %u more node%s, "
				       "the last at %+.3f s\n",
				       "", "", s->other_nodes,
				       s->other_nodes == 1 ? "" : "s",
				       parse_time_s(s->last->time) - start_s);
}

/* Appends each step once, in the order in which it was first logged. */
static void append_steps(const GPtrArray *timeline, double start_s,
			 GString *out)
{
	g_autoptr(GHashTable) by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_autoptr(GPtrArray) steps = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < timeline->len; i++) {
		const struct log_line *l = timeline->pdata[i];
		char *key = rollout_step_key(l);
		struct step *s = g_hash_table_lookup(by_key, key);

		if (s) {
			s->other_nodes += strcmp(s->first->node, l->node) != 0;
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
		append_step(steps->pdata[i], start_s, out);
}

/*
 * Appends the timeline to out, sorted by time: of a request, its lines and the
 * context on its nodes; of a roll-out, each step once. Returns false, and
 * appends nothing, if no line matches.
 */
bool explain_log_format(struct explain_log *x, GString *out)
{
	g_autoptr(GPtrArray) timeline = g_ptr_array_new();
	const struct log_line *first;
	double start_s;

	g_ptr_array_sort(x->lines, compare_time);
	for (guint i = 0; i < x->lines->len; i++) {
		struct log_line *l = x->lines->pdata[i];

		if (l->is_match)
			g_ptr_array_add(timeline, l);
	}
	if (!timeline->len)
		return false;
	first = timeline->pdata[0];
	start_s = parse_time_s(first->time);
	g_string_append_printf(out, "%s, from %s; lines marked * name it\n",
			       x->name, first->time);
	if (x->subject == EXPLAIN_LOG_ROLLOUT) {
		append_steps(timeline, start_s, out);
		return true;
	}
	add_context(x, timeline);
	for (guint i = 0; i < timeline->len; i++)
		append_line(timeline->pdata[i], start_s, out);
	return true;
}
