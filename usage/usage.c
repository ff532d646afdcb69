#include "usage/usage.h"

#include <json-c/json.h>
#include <string.h>

#include "invariant.h"
#include "json-check.h"

#define RETRY_FIRST_MS 100
#define RETRY_MAX_MS 5000

/* Prepares for a node's run; the boot id differs between any two runs. */
void usage_init(struct usage_journal *u, const char *node, const char *boot,
		uint64_t flush_ms)
{
	memset(u, 0, sizeof(*u));
	u->prefix = g_strdup_printf("usage/%s/%s/", node, boot);
	u->open = g_string_new(NULL);
	u->out = g_string_new(NULL);
	u->flush_ms = flush_ms;
	u->allowance = USAGE_WRITE_BURST;
}

/* Frees what the journal holds. */
void usage_clear(struct usage_journal *u)
{
	g_free(u->prefix);
	g_string_free(u->open, TRUE);
	g_string_free(u->out, TRUE);
	memset(u, 0, sizeof(*u));
}

/* Takes the record of a request that has ended; one line of JSON. */
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
	g_string_append(u->open, json_object_to_json_string_ext(
					 o, JSON_C_TO_STRING_PLAIN));
	g_string_append_c(u->open, '\n');
	u->taken++;
	u->open_records++;
	json_object_put(o);
}

/*
 * Tells whether no more may be taken in. New work is then refused, since a
 * record that could not be kept would be a request never billed.
 */
bool usage_is_full(const struct usage_journal *u)
{
	return u->open->len + u->out->len >= USAGE_MAX_PENDING_BYTES;
}

/* Tells whether all records are durable. */
bool usage_is_empty(const struct usage_journal *u)
{
	return !u->open->len && !u->out->len;
}

/* Cuts the next batch at the end of a record. */
static void cut_batch(struct usage_journal *u)
{
	size_t len = u->open->len;
	uint64_t records = 0;

	if (len > USAGE_MAX_BATCH_BYTES) {
		len = USAGE_MAX_BATCH_BYTES;
		while (len && u->open->str[len - 1] != '\n')
			len--;
	}
	for (size_t i = 0; i < len; i++)
		records += u->open->str[i] == '\n';
	g_string_append_len(u->out, u->open->str, (gssize)len);
	g_string_erase(u->open, 0, (gssize)len);
	u->out_records = records;
	u->open_records -= records;
}

/*
 * Whether a write may be made: one each flush_ms under load, some at once
 * after a quiet time, so that single records wait for nothing.
 */
static bool may_write(struct usage_journal *u, uint64_t now)
{
	double grown = (double)(now - u->allowed_at) / (double)u->flush_ms;

	u->allowance = MIN(u->allowance + grown, USAGE_WRITE_BURST);
	u->allowed_at = now;
	return u->allowance >= 1;
}

/*
 * Returns the batch to write now and its name, newly allocated, or NULL. With
 * `hurry` the allowance does not count. A batch whose write failed comes
 * again, after a pause, under the same name and unchanged.
 */
const char *usage_next_batch(struct usage_journal *u, uint64_t now, bool hurry,
			     char **name)
{
	if (u->writing || now < u->next_at)
		return NULL;
	if (!may_write(u, now) && !hurry)
		return NULL;
	if (!u->out->len)
		cut_batch(u);
	if (!u->out->len)
		return NULL;
	u->writing = true;
	u->allowance -= 1;
	*name = g_strdup_printf("%s%08" G_GUINT64_FORMAT, u->prefix,
				u->sequence);
	return u->out->str;
}

static uint64_t backoff(uint32_t failures)
{
	uint64_t ms = RETRY_FIRST_MS;

	while (--failures > 0 && ms < RETRY_MAX_MS)
		ms *= 2;
	return MIN(ms, RETRY_MAX_MS);
}

/* Takes the outcome of the write that usage_next_batch asked for. */
void usage_on_write_result(struct usage_journal *u, uint64_t now,
			   enum usage_write_result event)
{
	INVARIANT(u->writing, "usage: one batch is written at a time");
	u->writing = false;
	if (event == USAGE_WRITE_FAILED) {
		u->failures++;
		u->next_at = now + backoff(u->failures);
		return;
	}
	u->failures = 0;
	u->written += u->out_records;
	u->out_records = 0;
	u->sequence++;
	g_string_truncate(u->out, 0);
	INVARIANT(u->written + u->open_records == u->taken,
		  "usage: each record is written once or still held");
}
