#ifndef EXCHANGE_ROUTE_LINT_H
#define EXCHANGE_ROUTE_LINT_H

#include <glib.h>
#include <json-c/json.h>

#include "exchange/routes.h"

/*
 * Checks a configuration of routes for what is valid and yet cannot be meant:
 * entries that no request can match, limits that contradict each other. Pure. Keys
 * of organisations never appear in findings.
 */
enum route_lint_level {
	ROUTE_LINT_ERROR, /* nodes would reject it, or it cannot work */
	ROUTE_LINT_WARNING,
	ROUTE_LINT_CHANGE, /* from another configuration */
};

struct route_lint_finding {
	enum route_lint_level level;
	char *text;
};

/* What the configuration is to run with; 0: not known. */
struct route_lint_limits {
	double retry_ratio; /* retries that the fleet may send per request */
	uint32_t memory_mb; /* of the smallest node */
};

GPtrArray *route_lint_new_findings(void);
struct route_table *route_lint_check(struct json_object *doc,
				     const struct route_lint_limits *limits,
				     GPtrArray *findings);
void route_lint_compare(struct json_object *from, struct json_object *to,
			GPtrArray *findings);
const char *route_lint_level_name(enum route_lint_level level);

#endif
