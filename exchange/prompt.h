#ifndef EXCHANGE_PROMPT_H
#define EXCHANGE_PROMPT_H

#include <stdbool.h>
#include <stdint.h>

/* What the header fields of a model request say about its prompt. */
struct prompt_info {
	uint64_t session; /* hash of the last part's id; 0: none */
	uint64_t shared; /* hash of the id of the part before it; 0: none */
	uint32_t shared_tokens; /* length of all parts but the last */
	uint32_t input_tokens; /* length of the whole prompt */
	uint32_t max_output_tokens;
};

void prompt_parse(struct prompt_info *p, const char *prefix,
		  const char *tokens);

#endif
