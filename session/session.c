#include "session/session.h"

#include <string.h>

#define TOKEN_FIELDS 4

static char *compute_hmac(const char *payload, const char *key)
{
	return g_compute_hmac_for_string(G_CHECKSUM_SHA256, (const guchar *)key,
					 strlen(key), payload, -1);
}

/*
 * Encodes a name as base64url with "~" for padding. Tokens have the form
 * "id.org.version.hmac" with organisation and version encoded.
 */
static char *encode(const char *text)
{
	char *s = g_base64_encode((const guchar *)text, strlen(text));

	g_strdelimit(s, "+", '-');
	g_strdelimit(s, "/", '_');
	return g_strdelimit(s, "=", '~');
}

static bool decode(const char *text, char *out, size_t size)
{
	g_autofree char *s = g_strdup(text);
	g_autofree guchar *raw = NULL;
	gsize len;

	g_strdelimit(s, "-", '+');
	g_strdelimit(s, "_", '/');
	g_strdelimit(s, "~", '=');
	raw = g_base64_decode(s, &len);
	if (!raw || !len || len >= size)
		return false;
	memcpy(out, raw, len);
	out[len] = '\0';
	return true;
}

/*
 * Returns the token of a pin, newly allocated. `key` is the secret that all
 * nodes of the deployment share.
 */
char *session_token_seal(const struct session_pin *pin, const char *key)
{
	g_autofree char *org = encode(pin->org);
	g_autofree char *version = encode(pin->version);
	g_autofree char *payload =
		g_strdup_printf("%s.%s.%s", pin->id, org, version);
	g_autofree char *hmac = compute_hmac(payload, key);

	return g_strdup_printf("%s.%s", payload, hmac);
}

/* Compares in constant time, so that timing does not reveal the HMAC. */
static bool hmacs_equal(const char *a, const char *b)
{
	size_t len = strlen(a);
	unsigned char differ = 0;

	if (strlen(b) != len)
		return false;
	for (size_t i = 0; i < len; i++)
		differ |= (unsigned char)(a[i] ^ b[i]);
	return differ == 0;
}

/*
 * Verifies a token that a client of `org` sent, and fills in its pin. The pin
 * is valid only if SESSION_TOKEN_VALID is returned. `key` is as for
 * session_token_seal.
 */
enum session_token_check session_token_open(const char *token, const char *key,
					    const char *org,
					    struct session_pin *pin)
{
	g_auto(GStrv) parts = g_strsplit(token, ".", TOKEN_FIELDS + 1);
	g_autofree char *payload = NULL;
	g_autofree char *hmac = NULL;

	if (g_strv_length(parts) != TOKEN_FIELDS)
		return SESSION_TOKEN_INVALID;
	payload = g_strdup_printf("%s.%s.%s", parts[0], parts[1], parts[2]);
	hmac = compute_hmac(payload, key);
	if (!hmacs_equal(hmac, parts[3]))
		return SESSION_TOKEN_INVALID;
	g_strlcpy(pin->id, parts[0], sizeof(pin->id));
	if (!decode(parts[1], pin->org, sizeof(pin->org)) ||
	    !decode(parts[2], pin->version, sizeof(pin->version)))
		return SESSION_TOKEN_INVALID;
	return strcmp(pin->org, org) ? SESSION_TOKEN_OTHER_ORG
				     : SESSION_TOKEN_VALID;
}
