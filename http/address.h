#ifndef HTTP_ADDRESS_H
#define HTTP_ADDRESS_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

enum address_error {
	ADDRESS_ERROR_SYNTAX,
	ADDRESS_ERROR_LISTEN,
};

#define ADDRESS_ERROR (address_error_quark())
GQuark address_error_quark(void);

bool address_parse(const char *text, struct sockaddr_in *sa, GError **err);

#endif
