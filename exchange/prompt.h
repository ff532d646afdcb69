#ifndef EXCHANGE_PROMPT_H
#define EXCHANGE_PROMPT_H

#include <stdbool.h>
#include <stdint.h>

/* What a model request's header fields say of its prompt. */
struct prompt_info {
	uint64_t session; /* hash of the last part; 0: none */
	uint64_t shared; /* hash of the part before it; 0: none */
	uint32_t shared_tokens; /* of all parts but the last */
	uint32_t input_tokens;
	uint32_t most_output_tokens;
};

void prompt_parse(struct prompt_info *p, const char *prefix,
		  const char *tokens);

#endif
