#include "crash/fingerprint.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

static uint64_t hash_text(const char *text)
{
	return text ? XXH3_64bits(text, strlen(text)) : 0;
}

/*
 * Returns the hash by which all nodes recognise the request; never 0. Texts are
 * hashed one by one, so that "a" and "bc" differ from "ab" and "c".
 */
uint64_t fingerprint_of(const struct fingerprint_input *in)
{
	const uint64_t hashes[] = {
		hash_text(in->method),
		hash_text(in->host),
		hash_text(in->path),
		hash_text(in->caller),
		in->body_len ? XXH3_64bits(in->body, in->body_len) : 0,
	};

	return MAX(XXH3_64bits(hashes, sizeof(hashes)), 1);
}
