#include "fleet/cluster-key.h"

#include <openssl/crypto.h>
#include <string.h>

/* Compares the key that a node has sent, or NULL, in constant time. */
bool cluster_key_matches(const char *expected, const char *given)
{
	size_t len = strlen(expected);

	return given && strlen(given) == len &&
	       CRYPTO_memcmp(given, expected, len) == 0;
}
