#ifndef CRASH_FINGERPRINT_H
#define CRASH_FINGERPRINT_H

#include <stddef.h>
#include <stdint.h>

/*
 * Identifies a request by what a client sends again when it repeats it: the
 * repeat has an id and a deadline of its own. Pure.
 */
struct fingerprint_input {
	const char *method;
	const char *host; /* NULL: none, as in all fields */
	const char *path; /* with its query */
	const char *caller; /* the client's organisation */
	const void *body;
	size_t body_len;
};

uint64_t fingerprint_of(const struct fingerprint_input *in);

#endif
