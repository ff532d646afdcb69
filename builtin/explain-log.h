#ifndef BUILTIN_EXPLAIN_LOG_H
#define BUILTIN_EXPLAIN_LOG_H

#include <glib.h>
#include <stdbool.h>

/*
 * Builds the timeline of one request or one roll-out from the log lines of any
 * number of nodes.
 */
enum explain_log_subject {
	EXPLAIN_LOG_REQUEST,
	EXPLAIN_LOG_ROLLOUT,
};

struct explain_log;

struct explain_log *explain_log_new(enum explain_log_subject subject,
				    const char *name);
void explain_log_free(struct explain_log *x);
void explain_log_add_line(struct explain_log *x, const char *line);
bool explain_log_format(struct explain_log *x, GString *out);

#endif
