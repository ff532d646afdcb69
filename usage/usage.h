#ifndef USAGE_USAGE_H
#define USAGE_USAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Collects one usage record per request and writes the records in batches. The
 * name of a batch is determined by the node, its run and a sequence number, so
 * a retried write can't store its records twice. Times are milliseconds of the
 * node's own clock.
 */
#define USAGE_WRITE_BURST 8.0 /* writes allowed at once after a quiet time */
#define USAGE_MAX_BATCH_BYTES (512 * 1024)
/* At this size of records not stored yet, new requests are refused. */
#define USAGE_MAX_PENDING_BYTES (16 * 1024 * 1024)

/* What one request used, for billing. */
struct usage_record {
	const char *request_id;
	const char *org; /* name of the organisation */
	const char *version; /* or service */
	uint64_t input_tokens;
	uint64_t output_tokens;
	double cost; /* micro-units, of all attempts and of a cascade */
	const char *verdict; /* as sent to the client; see verdict.h */
};

/* Outcome of writing a batch. */
enum usage_write_result {
	USAGE_WRITE_OK,
	USAGE_WRITE_CONFLICT, /* the object exists: an earlier try succeeded */
	USAGE_WRITE_FAILED, /* not sent, or outcome unknown */
};

/* Records accepted by one run of a node. */
struct usage_journal {
	char *prefix; /* "usage/NODE/BOOT/" */
	uint64_t sequence; /* of the current batch, or else the next one */
	GString *pending; /* records not yet in a batch; JSON lines */
	GString *batch; /* the current batch, kept until it is stored */
	bool writing; /* a write of the batch is under way */
	uint64_t retry_at; /* no retry before */
	uint64_t flush_interval_ms; /* mean time between writes under load */
	double write_tokens; /* writes allowed now; a token bucket */
	uint64_t refilled_at; /* when the bucket was last refilled */
	uint32_t failures; /* consecutive failed writes */
	uint64_t written; /* durable records */
	uint64_t added; /* records added */
	uint64_t batch_records; /* in the batch */
	uint64_t pending_records; /* not yet in a batch */
};

void usage_init(struct usage_journal *u, const char *node, const char *boot,
		uint64_t flush_interval_ms);
void usage_clear(struct usage_journal *u);
void usage_add(struct usage_journal *u, const struct usage_record *record);
bool usage_is_full(const struct usage_journal *u);
bool usage_is_empty(const struct usage_journal *u);
const char *usage_next_batch(struct usage_journal *u, uint64_t now,
			     bool ignore_interval, char **name);
void usage_on_write_result(struct usage_journal *u, uint64_t now,
			   enum usage_write_result result);

#endif
