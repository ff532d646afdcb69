#include "exchange/exchange.h"

#include <stdio.h>

#include "relay/header.h"

/* Returns true for fields that the gateway sets itself or never forwards. */
static bool is_set_by_gateway(const struct header_names *names,
			      const char *name)
{
	const char *const set[] = {
		names->deadline,
		names->tenant,
		names->expect_server,
		names->urgency,
		"Authorization",
		"Content-Length",
		"Expect",
		RELAY_CLUSTER_KEY_HEADER,
		RELAY_FROM_HEADER,
		RELAY_ATTEMPTS_HEADER,
	};

	for (size_t i = 0; i < G_N_ELEMENTS(set); i++)
		if (!g_ascii_strcasecmp(name, set[i]))
			return true;
	for (const char *const *r = names->reserved; *r; r++)
		if (!g_ascii_strcasecmp(name, *r))
			return true;
	return false;
}

/* Returns true for fields that a server does not get, but another node does. */
static bool is_for_helper(const struct header_names *names, const char *name)
{
	return !g_ascii_strcasecmp(name, "Authorization") ||
	       !g_ascii_strcasecmp(name, names->urgency);
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

		if ((is_set_by_gateway(names, f.name) &&
		     !(x->helper && is_for_helper(names, f.name))) ||
		    (http_message_is_hop_by_hop(fields, f.name) &&
		     !header_names_is_end_to_end(names, f.name)))
			continue;
		if (x->model && !g_ascii_strcasecmp(f.name, names->model))
			continue;
		if (x->answer_started &&
		    !g_ascii_strcasecmp(f.name, names->last_event))
			continue;
		append_header(s, f.name, f.value);
	}
}

static void append_server_headers(const struct exchange_request *x, GString *s)
{
	const struct header_names *names = x->g->header_names;
	char number[32];

	append_header(s, names->expect_server, x->server->id);
	if (x->org)
		append_header(s, names->tenant, x->org);
	if (x->route->kind != ROUTE_STREAMING)
		return;
	snprintf(number, sizeof(number), "%u", x->urgency);
	append_header(s, names->urgency, number);
}

static void append_relay_headers(const struct exchange_request *x, GString *s)
{
	char number[32];

	append_header(s, RELAY_CLUSTER_KEY_HEADER, x->g->settings->cluster_key);
	append_header(s, RELAY_FROM_HEADER, x->g->settings->node);
	snprintf(number, sizeof(number), "%u", x->granted);
	append_header(s, RELAY_ATTEMPTS_HEADER, number);
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
	if (x->helper)
		append_relay_headers(x, s);
	else
		append_server_headers(x, s);
	if (x->model)
		append_header(s, names->model, x->model);
	if (x->answer_started) {
		snprintf(number, sizeof(number), "%" G_GUINT64_FORMAT,
			 x->events.last_id);
		append_header(s, names->last_event, number);
	}
	return g_string_free(s, FALSE);
}
