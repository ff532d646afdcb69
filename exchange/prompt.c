#include "exchange/prompt.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define MAX_PROMPT_TOKENS 100000000
#define MAX_HEX_DIGITS 16 /* of a 64-bit number */

/* Returns the number that the text starts with, or 0; NULL is allowed. */
static uint32_t parse_tokens(const char *text)
{
	guint64 n = 0;

	if (text && g_ascii_isdigit(*text))
		n = g_ascii_strtoull(text, NULL, 10);

	return (uint32_t)MIN(n, MAX_PROMPT_TOKENS);
}

/* Returns the number that identifies a part; see prompt_info.parts. */
static uint64_t part_number(const char *id, size_t len)
{
	size_t digits = 0;

	while (digits < len && g_ascii_isxdigit(id[digits]))
		digits++;
	if (!len || digits < len || len > MAX_HEX_DIGITS)
		return XXH3_64bits(id, len);
	return g_ascii_strtoull(id, NULL, 16);
}

static void add_part(struct prompt_info *p, uint64_t part)
{
	if (p->n_parts == PROMPT_MAX_PARTS)
		memmove(p->parts, p->parts + 1,
			--p->n_parts * sizeof(p->parts[0]));
	p->parts[p->n_parts++] = part;
}

/* Adds the beginning that ends with a part. */
static void add_beginning(struct prompt_info *p, uint64_t part, uint32_t tokens)
{
	uint32_t n = p->n_beginnings;
	uint64_t both[2] = {n ? p->beginnings[n - 1] : 0, part};
	uint32_t before = n ? p->beginning_tokens[n - 1] : 0;

	if (n == PROMPT_MAX_PARTS)
		return;
	p->beginnings[n] = XXH3_64bits(both, sizeof(both));
	p->beginning_tokens[n] = MIN(before + tokens, MAX_PROMPT_TOKENS);
	p->n_beginnings++;
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
		if (id)
			add_beginning(p, XXH3_64bits(prefix, id), n);
		if (last) {
			p->session = XXH3_64bits(prefix, id);
		} else {
			p->shared = XXH3_64bits(prefix, id);
			add_part(p, part_number(prefix, id));
			p->shared_tokens += n;
		}
		prefix += part + !last;
	}
}

/* Returns the parts as logs show them, newly allocated. */
char *prompt_parts_text(const struct prompt_info *p)
{
	GString *s = g_string_new(p->n_parts ? NULL : "-");

	for (uint32_t i = 0; i < p->n_parts; i++)
		g_string_append_printf(s, "%s%" G_GINT64_MODIFIER "x",
				       i ? "," : "", p->parts[i]);
	return g_string_free(s, FALSE);
}
