#include "exchange/exchange.h"

#include <stdio.h>

static bool is_ours(const struct header_names *names, const char *name)
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

static void add_line(GString *s, const char *name, const char *value)
{
	g_string_append_printf(s, "%s: %s\r\n", name, value);
}

/* The client's header fields, but for those that are ours to set. */
static void add_client_headers(const struct exchange_request *x, GString *s)
{
	const struct header_names *names = x->g->names;
	const struct http_message_fields *fields = http_server_fields(x->req);

	for (size_t i = 0; i < http_message_fields_count(fields); i++) {
		struct http_message_field f = http_message_field_at(fields, i);

		if (is_ours(names, f.name) ||
		    http_message_is_hop_by_hop(fields, f.name))
			continue;
		if (x->model && !g_ascii_strcasecmp(f.name, names->model))
			continue;
		if (x->begun && !g_ascii_strcasecmp(f.name, names->last_event))
			continue;
		add_line(s, f.name, f.value);
	}
}

/*
 * Returns the header lines of the attempt that begins now, newly allocated.
 */
char *exchange_request_headers(const struct exchange_request *x, uint64_t now)
{
	const struct header_names *names = x->g->names;
	GString *s = g_string_sized_new(512);
	char number[32];

	add_client_headers(x, s);
	snprintf(number, sizeof(number), "%" G_GUINT64_FORMAT,
		 x->deadline - now);
	add_line(s, names->deadline, number);
	add_line(s, names->expect_server, x->server->id);
	if (x->org)
		add_line(s, names->tenant, x->org);
	if (x->model)
		add_line(s, names->model, x->model);
	if (x->route->kind == ROUTE_STREAMING) {
		snprintf(number, sizeof(number), "%u", x->urgency);
		add_line(s, names->urgency, number);
	}
	if (x->begun) {
		snprintf(number, sizeof(number), "%" G_GUINT64_FORMAT,
			 x->events.last_id);
		add_line(s, names->last_event, number);
	}
	return g_string_free(s, FALSE);
}
