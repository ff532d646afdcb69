#include "answer/answer.h"

#include <json-c/json.h>
#include <string.h>

#include "invariant.h"
#include "json-check.h"

#define SSE_PREFIX "data: "
#define SSE_DONE "[DONE]"
#define STATUS_TOO_MANY 429
#define STATUS_UNAVAILABLE 503

static const char *const fault_names[] = {
	"ok",	   "crossed", "gap",	"malformed", "too-large",
	"refused", "failed",  "unsent", "cut",
};

/* Returns the fault's name for spans and logs. */
const char *answer_fault_name(enum answer_fault fault)
{
	return fault_names[fault];
}

/* Prepares for the answer to one request. */
void answer_init(struct answer_relay *a, const char *request_id, bool streamed)
{
	memset(a, 0, sizeof(*a));
	a->request_id = g_strdup(request_id);
	a->streamed = streamed;
	a->part = g_string_new(NULL);
	a->text = g_string_new(NULL);
}

/* Frees what an answer holds. */
void answer_clear(struct answer_relay *a)
{
	g_free(a->request_id);
	if (a->part)
		g_string_free(a->part, TRUE);
	if (a->text)
		g_string_free(a->text, TRUE);
	memset(a, 0, sizeof(*a));
}

/*
 * Forgets an answer that was not passed on, to ask another version. Only
 * possible while the caller has received nothing.
 */
void answer_restart(struct answer_relay *a)
{
	INVARIANT(!a->streamed || a->next_offset == 0,
		  "answer: restarted only before the caller got a byte");
	a->next_offset = 0;
	a->done = false;
	a->has_usage = false;
	g_string_truncate(a->text, 0);
}

/* Starts an attempt at an engine; what the last one left unfinished goes. */
void answer_begin_attempt(struct answer_relay *a)
{
	a->attempts++;
	a->fault = ANSWER_FAULT_NONE;
	a->status = 0;
	g_string_truncate(a->part, 0);
}

static bool fail(struct answer_relay *a, enum answer_fault fault)
{
	a->fault = fault;
	return false;
}

/*
 * Checks an answer's head before anything of it is read. Returns false if the
 * attempt is over.
 */
bool answer_on_head(struct answer_relay *a, int status, const char *request_id)
{
	a->status = status;
	if (status == STATUS_TOO_MANY || status == STATUS_UNAVAILABLE)
		return fail(a, ANSWER_FAULT_REFUSED);
	if (status != 200)
		return fail(a, ANSWER_FAULT_ERROR_STATUS);
	if (!request_id || strcmp(request_id, a->request_id) != 0)
		return fail(a, ANSWER_FAULT_ID_MISMATCH);
	a->verdict = VERDICT_RAN;
	return true;
}

static void take_usage(struct answer_relay *a, struct json_object *usage)
{
	a->usage.input_tokens =
		(uint64_t)jcheck_get_int(usage, "prompt_tokens", 0);
	a->usage.output_tokens =
		(uint64_t)jcheck_get_int(usage, "completion_tokens", 0);
	a->has_usage = true;
}

static const char *content_of(struct json_object *event)
{
	struct json_object *choices = jcheck_get(event, "choices");

	if (!jcheck_array_length(choices))
		return "";
	return jcheck_get_string(
		jcheck_get(json_object_array_get_idx(choices, 0), "delta"),
		"content", "");
}

/* Clients of chat completions expect choices in each event. */
static void pass_usage(struct json_object *event, const char *raw, size_t len,
		       answer_sink sink, void *user)
{
	g_autofree char *text = NULL;

	if (jcheck_get(event, "choices")) {
		sink(user, raw, len);
		return;
	}
	json_object_object_add(event, "choices", json_object_new_array());
	text = g_strdup_printf(
		SSE_PREFIX "%s\n\n",
		json_object_to_json_string_ext(event, JSON_C_TO_STRING_PLAIN));
	sink(user, text, strlen(text));
}

/* Decides on one event: passes it on, drops a repeat, or ends the attempt. */
static bool take_event(struct answer_relay *a, struct json_object *event,
		       const char *raw, size_t len, answer_sink sink,
		       void *user)
{
	int64_t offset = jcheck_get_int(event, "offset", -1);

	if (strcmp(jcheck_get_string(event, "id", ""), a->request_id) != 0)
		return fail(a, ANSWER_FAULT_ID_MISMATCH);
	if (offset < 0)
		return fail(a, ANSWER_FAULT_MALFORMED);
	if ((uint64_t)offset < a->next_offset)
		return true;
	if ((uint64_t)offset > a->next_offset)
		return fail(a, ANSWER_FAULT_GAP);
	if (jcheck_get(event, "usage")) {
		if (a->has_usage)
			return true;
		take_usage(a, jcheck_get(event, "usage"));
		pass_usage(event, raw, len, sink, user);
		return true;
	}
	a->next_offset++;
	g_string_append(a->text, content_of(event));
	sink(user, raw, len);
	return true;
}

/* Takes one event's bytes, the blank line that ends it included. */
static bool take_raw_event(struct answer_relay *a, const char *raw, size_t len,
			   answer_sink sink, void *user)
{
	size_t prefix = strlen(SSE_PREFIX);
	g_autofree char *text = NULL;
	struct json_object *event;
	bool ok;

	if (len < prefix || strncmp(raw, SSE_PREFIX, prefix) != 0)
		return fail(a, ANSWER_FAULT_MALFORMED);
	text = g_strndup(raw + prefix, len - prefix - 2);
	if (!strcmp(text, SSE_DONE)) {
		if (!a->has_usage)
			return fail(a, ANSWER_FAULT_GAP);
		if (!a->done)
			sink(user, raw, len);
		a->done = true;
		return true;
	}
	event = json_tokener_parse(text);
	if (!event)
		return fail(a, ANSWER_FAULT_MALFORMED);
	ok = take_event(a, event, raw, len, sink, user);
	json_object_put(event);
	return ok;
}

static bool take_stream(struct answer_relay *a, answer_sink sink, void *user)
{
	size_t start = 0;
	char *end;

	while ((end = strstr(a->part->str + start, "\n\n")) != NULL) {
		size_t len = (size_t)(end - a->part->str) + 2 - start;

		if (!take_raw_event(a, a->part->str + start, len, sink, user))
			return false;
		start += len;
	}
	g_string_erase(a->part, 0, (gssize)start);
	if (a->part->len > ANSWER_MAX_EVENT_BYTES ||
	    a->text->len > ANSWER_MAX_TEXT_BYTES)
		return fail(a, ANSWER_FAULT_TOO_LARGE);
	return true;
}

/*
 * Takes bytes of the current attempt and passes on, through the sink, what
 * the caller may have. Returns false if the attempt is over.
 */
bool answer_on_data(struct answer_relay *a, const char *data, size_t len,
		    answer_sink sink, void *user)
{
	if (a->fault != ANSWER_FAULT_NONE)
		return false;
	g_string_append_len(a->part, data, (gssize)len);
	return take_stream(a, sink, user);
}

static void note_end(struct answer_relay *a, enum answer_end end)
{
	if (a->fault != ANSWER_FAULT_NONE)
		return;
	if (end == ANSWER_END_NOT_SENT)
		fail(a, ANSWER_FAULT_NOT_SENT);
	else if (end == ANSWER_END_TRUNCATED && !a->done)
		fail(a, ANSWER_FAULT_TRUNCATED);
	else if (!a->done)
		fail(a, ANSWER_FAULT_TRUNCATED);
}

static enum verdict_kind verdict_of(enum answer_fault fault)
{
	switch (fault) {
	case ANSWER_FAULT_REFUSED:
	case ANSWER_FAULT_NOT_SENT:
		return VERDICT_NOT_RUN;
	default:
		return VERDICT_MAY_HAVE_RUN;
	}
}

/* Ends an attempt; returns true if the answer is whole. */
bool answer_on_end(struct answer_relay *a, enum answer_end end)
{
	note_end(a, end);
	if (a->done && a->fault == ANSWER_FAULT_NONE) {
		a->verdict = VERDICT_RAN;
		return true;
	}
	a->verdict = verdict_merge(a->verdict, verdict_of(a->fault));
	return false;
}

/*
 * Decides what follows an attempt that gave no whole answer. A model request
 * has no effect besides its answer, so it may be repeated; once events have
 * come in, from where they end.
 */
enum answer_step answer_next_step(const struct answer_relay *a, bool may_retry)
{
	if (!may_retry || a->fault == ANSWER_FAULT_TOO_LARGE)
		return ANSWER_STEP_GIVE_UP;
	return a->next_offset ? ANSWER_STEP_RESUME : ANSWER_STEP_RETRY;
}

static struct json_object *usage_json(const struct answer_usage *u)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "prompt_tokens",
			       json_object_new_int64((int64_t)u->input_tokens));
	json_object_object_add(
		o, "completion_tokens",
		json_object_new_int64((int64_t)u->output_tokens));
	return o;
}

/* Returns a delivered answer as one JSON object, newly allocated. */
char *answer_to_json(const struct answer_relay *a, const char *version)
{
	struct json_object *o = json_object_new_object();
	struct json_object *choices = json_object_new_array();
	struct json_object *choice = json_object_new_object();
	struct json_object *message = json_object_new_object();
	char *text;

	json_object_object_add(message, "role",
			       json_object_new_string("assistant"));
	json_object_object_add(
		message, "content",
		json_object_new_string_len(a->text->str, (int)a->text->len));
	json_object_object_add(choice, "index", json_object_new_int(0));
	json_object_object_add(choice, "message", message);
	json_object_object_add(choice, "finish_reason",
			       json_object_new_string("stop"));
	json_object_array_add(choices, choice);
	json_object_object_add(o, "id", json_object_new_string(a->request_id));
	json_object_object_add(o, "object",
			       json_object_new_string("chat.completion"));
	json_object_object_add(o, "model", json_object_new_string(version));
	json_object_object_add(o, "choices", choices);
	json_object_object_add(o, "usage", usage_json(&a->usage));
	text = g_strdup(
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
	return text;
}
