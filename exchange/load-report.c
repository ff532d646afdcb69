#include "exchange/load-report.h"

#include <glib.h>
#include <string.h>

/*
 * Reads a decimal number without a sign, of which a fraction is dropped, and goes on
 * to what follows it. Returns false if there is none, or if it exceeds `max`.
 */
static bool read_figure(const char **text, uint32_t max, uint32_t *out)
{
	const char *at = *text;
	uint64_t n = 0;

	while (*at == ' ' || *at == '\t')
		at++;
	if (!g_ascii_isdigit(*at))
		return false;
	for (; g_ascii_isdigit(*at); at++) {
		n = 10 * n + (uint64_t)(*at - '0');
		if (n > max)
			return false;
	}
	if (*at == '.')
		at += 1 + strspn(at + 1, "0123456789");
	while (*at == ' ' || *at == '\t')
		at++;
	*out = (uint32_t)n;
	*text = at;
	return *at == ',' || !*at;
}

static bool skip_comma(const char **text)
{
	if (**text != ',')
		return false;
	++*text;
	return true;
}

/*
 * Reads the field by which a server reports its load: the requests that run and
 * that wait there and its slots, then the time that work takes in percent of the
 * usual; the last may be absent, further figures are ignored. Returns false if a
 * figure is malformed or larger than any server's.
 */
bool load_report_parse(const char *text, struct load_report *r)
{
	memset(r, 0, sizeof(*r));
	if (!read_figure(&text, LOAD_REPORT_MAX_REQUESTS, &r->running) ||
	    !skip_comma(&text) ||
	    !read_figure(&text, LOAD_REPORT_MAX_REQUESTS, &r->waiting) ||
	    !skip_comma(&text) ||
	    !read_figure(&text, LOAD_REPORT_MAX_SLOTS, &r->slots))
		return false;
	return !skip_comma(&text) ||
	       read_figure(&text, LOAD_REPORT_MAX_PERCENT, &r->percent);
}
