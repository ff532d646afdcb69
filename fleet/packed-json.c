#include "fleet/packed-json.h"

#include <glib.h>
#include <string.h>
#include <zlib.h>

/*
 * Returns the packed document, to be freed with g_free(), and stores the length
 * of its JSON text in `len`, which the receiver needs.
 */
char *packed_json_new(struct json_object *doc, size_t *len)
{
	const char *text =
		json_object_to_json_string_ext(doc, JSON_C_TO_STRING_PLAIN);
	uLong text_len = (uLong)strlen(text);
	uLong packed_len = compressBound(text_len);
	guchar *packed = g_malloc(packed_len);
	char *encoded = NULL;

	*len = text_len;
	if (compress2(packed, &packed_len, (const Bytef *)text, text_len,
		      Z_BEST_SPEED) == Z_OK)
		encoded = g_base64_encode(packed, packed_len);
	g_free(packed);
	return encoded;
}

/*
 * Returns the document, to be released with json_object_put(), or NULL if the
 * text is malformed or does not unpack to exactly `len` bytes, at most
 * `max_len`.
 */
struct json_object *packed_json_parse(const char *packed, size_t len,
				      size_t max_len)
{
	uLongf unpacked_len = (uLongf)len;
	struct json_object *doc = NULL;
	gsize compressed_len;
	guchar *compressed;
	char *text;

	if (!packed || !len || len > max_len)
		return NULL;
	compressed = g_base64_decode(packed, &compressed_len);
	text = g_malloc(len + 1);
	if (uncompress((Bytef *)text, &unpacked_len, compressed,
		       (uLong)compressed_len) == Z_OK &&
	    unpacked_len == len) {
		text[len] = '\0';
		doc = json_tokener_parse(text);
	}
	g_free(text);
	g_free(compressed);
	return doc;
}
