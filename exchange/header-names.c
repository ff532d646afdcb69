#include "exchange/header-names.h"

#include <glib.h>
#include <stddef.h>

static const char *const reserved[] = {NULL};

/* The names that are used unless the installation has its own. */
const struct header_names header_names_default = {
	.request_id = "X-Request-Id",
	.deadline = "X-Chivegw-Deadline-Ms",
	.receipt = "X-Chivegw-Receipt",
	.tenant = "X-Chivegw-Organisation",
	.expect_server = "X-Chivegw-Server",
	.server = "X-Chivegw-Served-By",
	.load = "X-Chivegw-Load",
	.leaving = "X-Chivegw-Leaving",
	.rate_limit = "X-Chivegw-Rate-Limit",
	.brittle = "X-Chivegw-Brittle",
	.not_run = "X-Chivegw-Not-Run",
	.model = "X-Chivegw-Model",
	.tokens = "X-Chivegw-Tokens",
	.prefix = "X-Chivegw-Prefix",
	.urgency = "X-Chivegw-Urgency",
	.confidence = "X-Chivegw-Confidence",
	.last_event = "Last-Event-Id",
	.auth_scheme = "Bearer",
	.session = "X-Chivegw-Session",
	.any_model = "*",
	.reserved = reserved,
};

/*
 * Returns whether a field concerns the request or its answer as a whole: it is
 * forwarded even if a Connection field names it, since the server would not know
 * the request, or the client the answer, without it.
 */
bool header_names_is_end_to_end(const struct header_names *names,
				const char *name)
{
	const char *const fields[] = {
		names->request_id, names->receipt,    names->model,
		names->tokens,	   names->prefix,     names->session,
		names->last_event, names->confidence,
	};

	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++)
		if (!g_ascii_strcasecmp(name, fields[i]))
			return true;
	return false;
}
