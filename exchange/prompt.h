#ifndef EXCHANGE_PROMPT_H
#define EXCHANGE_PROMPT_H

#include <stdbool.h>
#include <stdint.h>

#define PROMPT_MAX_PARTS 16

/* What the header fields of a model request say about its prompt. */
struct prompt_info {
	uint64_t session; /* hash of the last part's id; 0: none */
	uint64_t shared; /* hash of the id of the part before it; 0: none */
	/*
	 * All parts but the last, in order; of a longer list the last ones. A
	 * hexadecimal id is its number, any other the id's hash.
	 */
	uint64_t parts[PROMPT_MAX_PARTS];
	uint32_t n_parts;
	/*
	 * The prompt's beginnings, from its first part to all of it. Each number
	 * depends on all parts up to there, and the tokens are their sum. Of a longer
	 * list the first ones.
	 */
	uint64_t beginnings[PROMPT_MAX_PARTS];
	uint32_t beginning_tokens[PROMPT_MAX_PARTS];
	uint32_t n_beginnings;
	uint32_t shared_tokens; /* length of all parts but the last */
	uint32_t input_tokens; /* length of the whole prompt */
	uint32_t max_output_tokens;
};

void prompt_parse(struct prompt_info *p, const char *prefix,
		  const char *tokens);
char *prompt_parts_text(const struct prompt_info *p);

#endif
