#include "order/record.h"

#include <json-c/json.h>
#include <string.h>

#include "json-check.h"

/*
 * Returns the name of the store object for a key, newly allocated. It is a
 * digest of both, since a key may hold any byte and the same key of two
 * organisations must give two objects.
 */
char *order_object_name(const char *org, const char *key)
{
	g_autoptr(GChecksum) sum = g_checksum_new(G_CHECKSUM_SHA256);

	g_checksum_update(sum, (const guchar *)org, (gssize)strlen(org) + 1);
	g_checksum_update(sum, (const guchar *)key, (gssize)strlen(key));
	return g_strdup_printf("order/%s", g_checksum_get_string(sum));
}

/*
 * Returns the SHA-256 digest of a request in hex, newly allocated. It shows
 * whether a key is reused for a different request.
 */
char *order_request_digest(const char *method, const char *path,
			   const char *body, size_t len)
{
	g_autoptr(GChecksum) sum = g_checksum_new(G_CHECKSUM_SHA256);

	g_checksum_update(sum, (const guchar *)method,
			  (gssize)strlen(method) + 1);
	g_checksum_update(sum, (const guchar *)path, (gssize)strlen(path) + 1);
	g_checksum_update(sum, (const guchar *)body, (gssize)len);
	return g_strdup(g_checksum_get_string(sum));
}

/*
 * Returns a record as the JSON text that is stored, newly allocated. `result`
 * is NULL while there is none.
 */
char *order_record_to_json(const struct order_record *record, const char *org,
			   const struct order_result *result)
{
	struct json_object *o = json_object_new_object();
	char *text;

	jcheck_add_string(o, "state", order_state_name(record->state));
	jcheck_add_string(o, "operation", record->operation);
	jcheck_add_string(o, "digest", record->digest);
	jcheck_add_string(o, "organisation", org);
	if (result && result->body) {
		g_autofree char *body = g_base64_encode(
			(const guchar *)result->body, result->len);

		json_object_object_add(o, "status",
				       json_object_new_int(result->status));
		jcheck_add_string(o, "type", result->type ? result->type : "");
		jcheck_add_string(o, "body", body);
	}
	text = g_strdup(
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
	return text;
}

static void parse_result(struct json_object *o, struct order_result *result)
{
	const char *body = jcheck_get_string(o, "body", NULL);
	gsize len;

	if (!body)
		return;
	result->status = (int)jcheck_get_int(o, "status", 0);
	result->type = g_strdup(jcheck_get_string(o, "type", ""));
	result->body = (char *)g_base64_decode(body, &len);
	result->len = len;
}

/*
 * Parses a stored record. Returns false if the text is not a record. Fills the
 * result if the record has one; the owner frees it with order_result_clear.
 */
bool order_record_parse(const char *text, size_t len,
			struct order_record *record,
			struct order_result *result)
{
	g_autofree char *copy = g_strndup(text, len);
	struct json_object *o = json_tokener_parse(copy);
	bool ok;

	memset(record, 0, sizeof(*record));
	memset(result, 0, sizeof(*result));
	ok = o &&
	     order_state_parse(jcheck_get_string(o, "state", ""),
			       &record->state) &&
	     jcheck_get(o, "operation") && jcheck_get(o, "digest");
	if (ok) {
		g_strlcpy(record->operation,
			  jcheck_get_string(o, "operation", ""),
			  sizeof(record->operation));
		g_strlcpy(record->digest, jcheck_get_string(o, "digest", ""),
			  sizeof(record->digest));
		parse_result(o, result);
	}
	if (o)
		json_object_put(o);
	return ok;
}

/* Frees the members of a result and zeroes it. */
void order_result_clear(struct order_result *result)
{
	g_free(result->type);
	g_free(result->body);
	memset(result, 0, sizeof(*result));
}
