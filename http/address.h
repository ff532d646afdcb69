#ifndef HTTP_ADDRESS_H
#define HTTP_ADDRESS_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

/* Addresses of the form "a.b.c.d:port". */
enum address_error {
	ADDRESS_ERROR_SYNTAX, /* the text is not an address */
	ADDRESS_ERROR_LISTEN, /* the address cannot be bound */
};

#define ADDRESS_ERROR (address_error_quark())
GQuark address_error_quark(void);

bool address_parse(const char *text, struct sockaddr_in *sa, GError **err);

#endif
