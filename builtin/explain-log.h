#ifndef BUILTIN_EXPLAIN_LOG_H
#define BUILTIN_EXPLAIN_LOG_H

#include <glib.h>
#include <stdbool.h>

/*
 * Tells the story of one request, or of one roll-out, from the log lines of
 * any number of nodes, in the order of time.
 */
enum xlg_topic {
	XLG_REQUEST,
	XLG_ROLLOUT,
};

struct xlg;

struct xlg *xlg_new(enum xlg_topic topic, const char *name);
void xlg_free(struct xlg *x);
void xlg_add_line(struct xlg *x, const char *line);
bool xlg_tell(struct xlg *x, GString *out);

#endif
