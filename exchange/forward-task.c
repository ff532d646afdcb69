#include "exchange/exchange.h"

#include <stdio.h>

/* Returns true for fields that the gateway sets itself or never forwards. */
static bool is_set_by_gateway(const struct header_names *names,
			      const char *name)
{
	const char *const set[] = {
		names->deadline, names->tenant,	  names->expect_server,
		names->urgency,	 "Authorization", "Content-Length",
		"Expect",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(set); i++)
		if (!g_ascii_strcasecmp(name, set[i]))
			return true;
	for (const char *const *r = names->reserved; *r; r++)
		if (!g_ascii_strcasecmp(name, *r))
			return true;
	return false;
}

static void append_header(GString *s, const char *name, const char *value)
{
	g_string_append_printf(s, "%s: %s\r\n", name, value);
}

/* Appends the client's header fields except those that the gateway sets. */
static void append_client_headers(const struct exchange_request *x, GString *s)
{
	const struct header_names *names = x->g->header_names;
	const struct http_message_fields *fields = http_server_fields(x->req);

	for (size_t i = 0; i < http_message_fields_count(fields); i++) {
		struct http_message_field f = http_message_field_at(fields, i);

		if (is_set_by_gateway(names, f.name) ||
		    http_message_is_hop_by_hop(fields, f.name))
			continue;
		if (x->model && !g_ascii_strcasecmp(f.name, names->model))
			continue;
		if (x->answer_started &&
		    !g_ascii_strcasecmp(f.name, names->last_event))
			continue;
		append_header(s, f.name, f.value);
	}
}

/*
 * Returns the header lines of an attempt that starts now, each ended by CRLF,
 * newly allocated.
 */
char *exchange_request_headers(const struct exchange_request *x, uint64_t now)
{
	const struct header_names *names = x->g->header_names;
	GString *s = g_string_sized_new(512);
	char number[32];

	append_client_headers(x, s);
	snprintf(number, sizeof(number), "%" G_GUINT64_FORMAT,
		 x->deadline - now);
	append_header(s, names->deadline, number);
	append_header(s, names->expect_server, x->server->id);
	if (x->org)
		append_header(s, names->tenant, x->org);
	if (x->model)
		append_header(s, names->model, x->model);
	if (x->route->kind == ROUTE_STREAMING) {
		snprintf(number, sizeof(number), "%u", x->urgency);
		append_header(s, names->urgency, number);
	}
	if (x->answer_started) {
		snprintf(number, sizeof(number), "%" G_GUINT64_FORMAT,
			 x->events.last_id);
		append_header(s, names->last_event, number);
	}
	return g_string_free(s, FALSE);
}
