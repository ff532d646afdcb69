#ifndef BUILTIN_CHECK_ROUTES_H
#define BUILTIN_CHECK_ROUTES_H

#include <stdbool.h>
#include <stdint.h>

struct check_routes_options {
	const char *path; /* of the configuration to check */
	const char *against; /* of the one in force, or NULL */
	const char *settings; /* of a node, or NULL */
	uint32_t memory_mb; /* of the smallest node; 0: not known */
	bool json;
};

int check_routes(const struct check_routes_options *o);

#endif
