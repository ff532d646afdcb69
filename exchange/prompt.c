#include "exchange/prompt.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define MAX_PROMPT_TOKENS 100000000

/* Returns the number that the text starts with, or 0; NULL is allowed. */
static uint32_t parse_tokens(const char *text)
{
	guint64 n = 0;

	if (text && g_ascii_isdigit(*text))
		n = g_ascii_strtoull(text, NULL, 10);

	return (uint32_t)MIN(n, MAX_PROMPT_TOKENS);
}

/*
 * Parses the list of the prompt's parts ("ID:TOKENS,...", the last of which
 * belongs to the request or its session) and its token counts
 * ("INPUT,MAX_OUTPUT"). Either may be NULL; what cannot be parsed counts as
 * absent.
 */
void prompt_parse(struct prompt_info *p, const char *prefix, const char *tokens)
{
	const char *comma = tokens ? strchr(tokens, ',') : NULL;

	memset(p, 0, sizeof(*p));
	p->input_tokens = parse_tokens(tokens);
	p->max_output_tokens = parse_tokens(comma ? comma + 1 : NULL);
	while (prefix && *prefix) {
		size_t part = strcspn(prefix, ",");
		size_t id = strcspn(prefix, ":,");
		uint32_t n = id < part ? parse_tokens(prefix + id + 1) : 0;
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
