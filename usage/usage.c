#include "usage/usage.h"

#include <json-c/json.h>
#include <string.h>

#include "invariant.h"
#include "json-check.h"

#define MIN_RETRY_MS 100
#define MAX_RETRY_MS 5000

/*
 * Initialises the journal of a node's run. `boot` must differ between any two
 * runs of the node.
 */
void usage_init(struct usage_journal *u, const char *node, const char *boot,
		uint64_t flush_interval_ms)
{
	memset(u, 0, sizeof(*u));
	u->prefix = g_strdup_printf("usage/%s/%s/", node, boot);
	u->pending = g_string_new(NULL);
	u->batch = g_string_new(NULL);
	u->flush_interval_ms = flush_interval_ms;
	u->write_tokens = USAGE_WRITE_BURST;
}

/* Frees what the journal owns, but not the journal. */
void usage_clear(struct usage_journal *u)
{
	g_free(u->prefix);
	g_string_free(u->pending, TRUE);
	g_string_free(u->batch, TRUE);
	memset(u, 0, sizeof(*u));
}

/* Adds the record of a request that has ended, as one line of JSON. */
void usage_add(struct usage_journal *u, const struct usage_record *r)
{
	struct json_object *o = json_object_new_object();

	jcheck_add_string(o, "request", r->request_id);
	jcheck_add_string(o, "organisation", r->org);
	jcheck_add_string(o, "version", r->version);
	json_object_object_add(o, "input_tokens",
			       json_object_new_int64((int64_t)r->input_tokens));
	json_object_object_add(
		o, "output_tokens",
		json_object_new_int64((int64_t)r->output_tokens));
	json_object_object_add(o, "cost", json_object_new_double(r->cost));
	jcheck_add_string(o, "verdict", r->verdict);
	g_string_append(u->pending, json_object_to_json_string_ext(
					    o, JSON_C_TO_STRING_PLAIN));
	g_string_append_c(u->pending, '\n');
	u->added++;
	u->pending_records++;
	json_object_put(o);
}

/*
 * Returns whether the limit of records not stored yet is reached. New requests
 * are then refused, since they could never be billed without a record.
 */
bool usage_is_full(const struct usage_journal *u)
{
	return u->pending->len + u->batch->len >= USAGE_MAX_PENDING_BYTES;
}

/* Returns whether all records are durable. */
bool usage_is_empty(const struct usage_journal *u)
{
	return !u->pending->len && !u->batch->len;
}

/* Moves as many whole records as fit into the batch. */
static void fill_batch(struct usage_journal *u)
{
	size_t len = u->pending->len;
	uint64_t records = 0;

	if (len > USAGE_MAX_BATCH_BYTES) {
		len = USAGE_MAX_BATCH_BYTES;
		while (len && u->pending->str[len - 1] != '\n')
			len--;
	}
	for (size_t i = 0; i < len; i++)
		records += u->pending->str[i] == '\n';
	g_string_append_len(u->batch, u->pending->str, (gssize)len);
	g_string_erase(u->pending, 0, (gssize)len);
	u->batch_records = records;
	u->pending_records -= records;
}

/*
 * Refills the token bucket and returns whether it allows a write: on average
 * one per flush_interval_ms under load, several at once after a quiet time, so
 * that single records are written without delay.
 */
static bool may_write(struct usage_journal *u, uint64_t now)
{
	double refill =
		(double)(now - u->refilled_at) / (double)u->flush_interval_ms;

	u->write_tokens = MIN(u->write_tokens + refill, USAGE_WRITE_BURST);
	u->refilled_at = now;
	return u->write_tokens >= 1;
}

/*
 * Returns the batch to write now, owned by the journal, or NULL if none is due.
 * `name` is then set to its object name, newly allocated. With
 * `ignore_interval` a batch is due even if the token bucket is empty. A batch
 * whose write failed is returned again after a pause, unchanged and under the
 * same name. The caller must pass the outcome to usage_on_write_result().
 */
const char *usage_next_batch(struct usage_journal *u, uint64_t now,
			     bool ignore_interval, char **name)
{
	if (u->writing || now < u->retry_at)
		return NULL;
	if (!may_write(u, now) && !ignore_interval)
		return NULL;
	if (!u->batch->len)
		fill_batch(u);
	if (!u->batch->len)
		return NULL;
	u->writing = true;
	u->write_tokens -= 1;
	*name = g_strdup_printf("%s%08" G_GUINT64_FORMAT, u->prefix,
				u->sequence);
	return u->batch->str;
}

/* Returns the pause in ms after that many consecutive failures. */
static uint64_t backoff(uint32_t failures)
{
	uint64_t ms = MIN_RETRY_MS;

	while (--failures > 0 && ms < MAX_RETRY_MS)
		ms *= 2;
	return MIN(ms, MAX_RETRY_MS);
}

/* Handles the outcome of the write of the batch that is under way. */
void usage_on_write_result(struct usage_journal *u, uint64_t now,
			   enum usage_write_result result)
{
	INVARIANT(u->writing, "usage: one batch is written at a time");
	u->writing = false;
	if (result == USAGE_WRITE_FAILED) {
		u->failures++;
		u->retry_at = now + backoff(u->failures);
		return;
	}
	u->failures = 0;
	u->written += u->batch_records;
	u->batch_records = 0;
	u->sequence++;
	g_string_truncate(u->batch, 0);
	INVARIANT(u->written + u->pending_records == u->added,
		  "usage: each record is written once or still held");
}
