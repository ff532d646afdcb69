#include "exchange/prompt.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define MAX_TOKENS 100000000

static uint32_t to_tokens(const char *text)
{
	guint64 n = 0;

	if (text && g_ascii_isdigit(*text))
		n = g_ascii_strtoull(text, NULL, 10);

	return (uint32_t)MIN(n, MAX_TOKENS);
}

/*
 * Reads the list of parts ("ID:TOKENS,...", the last one the request's own or
 * its session's) and the token counts ("IN,MOST_OUT"). Either may be NULL;
 * what cannot be read counts as absent.
 */
void prompt_parse(struct prompt_info *p, const char *prefix, const char *tokens)
{
	const char *comma = tokens ? strchr(tokens, ',') : NULL;

	memset(p, 0, sizeof(*p));
	p->input_tokens = to_tokens(tokens);
	p->most_output_tokens = to_tokens(comma ? comma + 1 : NULL);
	while (prefix && *prefix) {
		size_t part = strcspn(prefix, ",");
		size_t id = strcspn(prefix, ":,");
		uint32_t n = id < part ? to_tokens(prefix + id + 1) : 0;
		bool last = !prefix[part];

		while (id && *prefix == ' ') {
			prefix++;
			part--;
			id--;
		}
		if (last) {
			p->session = XXH3_64bits(prefix, id);
		} else {
			p->shared = XXH3_64bits(prefix, id);
			p->shared_tokens += n;
		}
		prefix += part + !last;
	}
}
