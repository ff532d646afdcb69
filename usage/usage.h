#ifndef USAGE_USAGE_H
#define USAGE_USAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Gathers one record for each request and writes them in batches under
 * deterministic names, so that writing a batch again does no harm.
 */
#define USAGE_WRITE_BURST 8.0
#define USAGE_MAX_BATCH_BYTES (512 * 1024)
#define USAGE_MAX_PENDING_BYTES (16 * 1024 * 1024)

struct usage_record {
	const char *request_id;
	const char *org;
	const char *version; /* or service */
	uint64_t input_tokens;
	uint64_t output_tokens;
	double cost; /* micro-units, of all attempts and of a cascade */
	const char *verdict;
};

enum usage_write_result {
	USAGE_WRITE_OK,
	USAGE_WRITE_CONFLICT, /* the name exists: an earlier try took effect */
	USAGE_WRITE_FAILED, /* unknown or refused */
};

struct usage_journal {
	char *prefix; /* "usage/NODE/BOOT/" */
	uint64_t sequence; /* of the batch that is out, or the next */
	GString *open; /* records of the next batches */
	GString *out; /* the batch that is being written */
	bool writing;
	uint64_t next_at; /* after a failure */
	uint64_t flush_ms; /* mean time between writes under load */
	double allowance; /* writes that may be made at once */
	uint64_t allowed_at; /* when the allowance last grew */
	uint32_t failures;
	uint64_t written; /* records that are durable */
	uint64_t taken; /* records taken in */
	uint64_t out_records;
	uint64_t open_records;
};

void usage_init(struct usage_journal *u, const char *node, const char *boot,
		uint64_t flush_ms);
void usage_clear(struct usage_journal *u);
void usage_add(struct usage_journal *u, const struct usage_record *record);
bool usage_is_full(const struct usage_journal *u);
bool usage_is_empty(const struct usage_journal *u);
const char *usage_next_batch(struct usage_journal *u, uint64_t now, bool hurry,
			     char **name);
void usage_on_write_result(struct usage_journal *u, uint64_t now,
			   enum usage_write_result event);

#endif
