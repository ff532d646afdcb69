#include "answer/answer.h"

#include <json-c/json.h>
#include <string.h>

#include "invariant.h"
#include "json-check.h"

#define SSE_DATA_PREFIX "data: "
#define SSE_DONE "[DONE]"
#define HTTP_TOO_MANY_REQUESTS 429
#define HTTP_SERVICE_UNAVAILABLE 503

/* Indexed by enum answer_fault. */
static const char *const fault_names[] = {
	"ok",	   "crossed", "gap",	"malformed", "too-large",
	"refused", "failed",  "unsent", "cut",
};

/* Returns the fault's name as it stands in spans and logs. */
const char *answer_fault_name(enum answer_fault fault)
{
	return fault_names[fault];
}

/* Initialises the relay of the answer to one request. */
void answer_init(struct answer_relay *a, const char *request_id, bool streamed)
{
	memset(a, 0, sizeof(*a));
	a->request_id = g_strdup(request_id);
	a->streamed = streamed;
	a->partial_event = g_string_new(NULL);
	a->text = g_string_new(NULL);
}

/* Frees the members of a relay and zeroes it. */
void answer_clear(struct answer_relay *a)
{
	g_free(a->request_id);
	if (a->partial_event)
		g_string_free(a->partial_event, TRUE);
	if (a->text)
		g_string_free(a->text, TRUE);
	memset(a, 0, sizeof(*a));
}

/*
 * Discards the answer in order to ask another version. Allowed only while the
 * client has received nothing.
 */
void answer_restart(struct answer_relay *a)
{
	INVARIANT(!a->streamed || a->next_offset == 0,
		  "answer: restarted only before the client got a byte");
	a->next_offset = 0;
	a->done = false;
	a->has_usage = false;
	g_string_truncate(a->text, 0);
}

/* Starts an attempt at an engine; drops a partial event of the last one. */
void answer_begin_attempt(struct answer_relay *a)
{
	a->attempts++;
	a->fault = ANSWER_FAULT_NONE;
	a->status = 0;
	g_string_truncate(a->partial_event, 0);
}

/* Ends the attempt with a fault. Returns false, for the caller to return. */
static bool set_fault(struct answer_relay *a, enum answer_fault fault)
{
	a->fault = fault;
	return false;
}

/*
 * Checks status and request id of a response before its body is read. The id
 * is NULL if the response has none. Returns false if the attempt has failed;
 * `fault` then says why.
 */
bool answer_on_head(struct answer_relay *a, int status, const char *request_id)
{
	a->status = status;
	if (status == HTTP_TOO_MANY_REQUESTS ||
	    status == HTTP_SERVICE_UNAVAILABLE)
		return set_fault(a, ANSWER_FAULT_REFUSED);
	if (status != 200)
		return set_fault(a, ANSWER_FAULT_ERROR_STATUS);
	if (!request_id || strcmp(request_id, a->request_id) != 0)
		return set_fault(a, ANSWER_FAULT_ID_MISMATCH);
	a->verdict = VERDICT_RAN;
	return true;
}

static void store_usage(struct answer_relay *a, struct json_object *usage)
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

/*
 * Passes on the usage event, with an empty "choices" added if it has none:
 * clients of chat completions expect the member in every event.
 */
static void pass_usage_event(struct json_object *event, const char *raw,
			     size_t len, answer_sink sink, void *user)
{
	g_autofree char *text = NULL;

	if (jcheck_get(event, "choices")) {
		sink(user, raw, len);
		return;
	}
	json_object_object_add(event, "choices", json_object_new_array());
	text = g_strdup_printf(
		SSE_DATA_PREFIX "%s\n\n",
		json_object_to_json_string_ext(event, JSON_C_TO_STRING_PLAIN));
	sink(user, text, strlen(text));
}

/*
 * Passes an event on, or drops it if it was passed on before. Returns false if
 * the attempt has failed.
 */
static bool handle_event(struct answer_relay *a, struct json_object *event,
			 const char *raw, size_t len, answer_sink sink,
			 void *user)
{
	int64_t offset = jcheck_get_int(event, "offset", -1);

	if (strcmp(jcheck_get_string(event, "id", ""), a->request_id) != 0)
		return set_fault(a, ANSWER_FAULT_ID_MISMATCH);
	if (offset < 0)
		return set_fault(a, ANSWER_FAULT_MALFORMED);
	if ((uint64_t)offset < a->next_offset)
		return true;
	if ((uint64_t)offset > a->next_offset)
		return set_fault(a, ANSWER_FAULT_GAP);
	if (jcheck_get(event, "usage")) {
		if (a->has_usage)
			return true;
		store_usage(a, jcheck_get(event, "usage"));
		pass_usage_event(event, raw, len, sink, user);
		return true;
	}
	a->next_offset++;
	g_string_append(a->text, content_of(event));
	sink(user, raw, len);
	return true;
}

/*
 * Handles the bytes of one event, up to and including the blank line. Returns
 * false if the attempt has failed.
 */
static bool handle_raw_event(struct answer_relay *a, const char *raw,
			     size_t len, answer_sink sink, void *user)
{
	size_t prefix = strlen(SSE_DATA_PREFIX);
	g_autofree char *text = NULL;
	struct json_object *event;
	bool ok;

	if (len < prefix || strncmp(raw, SSE_DATA_PREFIX, prefix) != 0)
		return set_fault(a, ANSWER_FAULT_MALFORMED);
	text = g_strndup(raw + prefix, len - prefix - 2);
	if (!strcmp(text, SSE_DONE)) {
		if (!a->has_usage)
			return set_fault(a, ANSWER_FAULT_GAP);
		if (!a->done)
			sink(user, raw, len);
		a->done = true;
		return true;
	}
	event = json_tokener_parse(text);
	if (!event)
		return set_fault(a, ANSWER_FAULT_MALFORMED);
	ok = handle_event(a, event, raw, len, sink, user);
	json_object_put(event);
	return ok;
}

static bool split_events(struct answer_relay *a, answer_sink sink, void *user)
{
	size_t start = 0;
	char *end;

	while ((end = strstr(a->partial_event->str + start, "\n\n")) != NULL) {
		size_t len = (size_t)(end - a->partial_event->str) + 2 - start;

		if (!handle_raw_event(a, a->partial_event->str + start, len,
				      sink, user))
			return false;
		start += len;
	}
	g_string_erase(a->partial_event, 0, (gssize)start);
	if (a->partial_event->len > ANSWER_MAX_EVENT_BYTES ||
	    a->text->len > ANSWER_MAX_TEXT_BYTES)
		return set_fault(a, ANSWER_FAULT_TOO_LARGE);
	return true;
}

/*
 * Handles body bytes of the current attempt and passes accepted events to the
 * sink. Returns false if the attempt has failed.
 */
bool answer_on_data(struct answer_relay *a, const char *data, size_t len,
		    answer_sink sink, void *user)
{
	if (a->fault != ANSWER_FAULT_NONE)
		return false;
	g_string_append_len(a->partial_event, data, (gssize)len);
	return split_events(a, sink, user);
}

static void set_end_fault(struct answer_relay *a, enum answer_end end)
{
	if (a->fault != ANSWER_FAULT_NONE)
		return;
	if (end == ANSWER_END_NOT_SENT)
		set_fault(a, ANSWER_FAULT_NOT_SENT);
	else if (end == ANSWER_END_TRUNCATED && !a->done)
		set_fault(a, ANSWER_FAULT_TRUNCATED);
	else if (!a->done)
		set_fault(a, ANSWER_FAULT_TRUNCATED);
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

/* Ends an attempt. Returns true if the answer is complete. */
bool answer_on_end(struct answer_relay *a, enum answer_end end)
{
	set_end_fault(a, end);
	if (a->done && a->fault == ANSWER_FAULT_NONE) {
		a->verdict = VERDICT_RAN;
		return true;
	}
	a->verdict = verdict_merge(a->verdict, verdict_of(a->fault));
	return false;
}

/*
 * Returns what follows an attempt without a complete answer. A model request
 * has no effect other than its answer, so it may be repeated; once events were
 * accepted, from the next offset on.
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

/*
 * Returns a complete answer as one chat.completion object in JSON, newly
 * allocated. `version` is "model@version".
 */
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
