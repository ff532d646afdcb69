#include "http/address.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

G_DEFINE_QUARK(address - error - quark, address_error)

/*
 * Parses an IPv4 address and port of the form "a.b.c.d:port" into `sa`. Returns
 * false and sets ADDRESS_ERROR_SYNTAX if the text has another form. Host names
 * are not accepted: all processes reach each other by IP address.
 */
bool address_parse(const char *text, struct sockaddr_in *sa, GError **err)
{
	const char *colon = strrchr(text, ':');
	g_autofree char *host = NULL;
	char *end;
	long port;

	memset(sa, 0, sizeof(*sa));
	sa->sin_family = AF_INET;
	if (!colon)
		goto bad;
	host = g_strndup(text, (gsize)(colon - text));
	port = strtol(colon + 1, &end, 10);
	if (*end || end == colon + 1 || port < 1 || port > 65535)
		goto bad;
	if (inet_pton(AF_INET, host, &sa->sin_addr) != 1)
		goto bad;
	sa->sin_port = htons((uint16_t)port);
	return true;
bad:
	g_set_error(err, ADDRESS_ERROR, ADDRESS_ERROR_SYNTAX,
		    "'%s' is not an address of the form a.b.c.d:port", text);
	return false;
}
