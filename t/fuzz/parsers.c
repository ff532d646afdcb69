/*
 * Fuzz target for all parsers of external input. The first byte of the fuzzer's
 * data selects the parser, the rest is its input. Run by `make fuzz SECONDS=N`.
 */
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include "answer/answer.h"
#include "config/config.h"
#include "config/generate.h"
#include "config/sections.h"
#include "exchange/events.h"
#include "exchange/prompt.h"
#include "exchange/routes.h"
#include "http/message.h"
#include "json-check.h"
#include "platform/envelope.h"
#include "platform/translate.h"
#include "daemon/settings.h"
#include "order/record.h"
#include "rollout/evidence.h"
#include "session/session.h"
#include "wire/codec.h"
#include "wire/fleet-codec.h"

/* Splits streams into small chunks, so that events cross their borders. */
#define EVENT_CHUNK_BYTES 7
/* Number of cases in LLVMFuzzerTestOneInput(). */
#define TARGET_COUNT 14

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void discard_bytes(void *user, const char *bytes, size_t len)
{
	(void)user;
	(void)bytes;
	(void)len;
}

static void fuzz_answer(const char *text, size_t len, bool streamed)
{
	struct answer_relay relay;

	answer_init(&relay, "req", streamed);
	answer_begin_attempt(&relay);
	answer_on_head(&relay, 200, "req");
	answer_on_data(&relay, text, len, discard_bytes, NULL);
	answer_on_end(&relay, ANSWER_END_COMPLETE);
	answer_clear(&relay);
}

/* Signs the bytes, so that the decoder reads on past the check of the MAC. */
static void fuzz_peer_message(const uint8_t *data, size_t len)
{
	uint8_t buf[PEER_WIRE_MAX_BYTES];
	struct member_msg msg;

	if (len > sizeof(buf) - PEER_WIRE_MAC_BYTES)
		return;
	memcpy(buf, data, len);
	peer_wire_sign(buf, len, "key");
	peer_wire_decode(buf, len + PEER_WIRE_MAC_BYTES, "key", &msg);
}

/* As fuzz_peer_message(), for each kind of message that nodes exchange. */
static void fuzz_fleet_message(const uint8_t *data, size_t len)
{
	uint8_t buf[PEER_WIRE_MAX_BYTES];
	struct fleet_wire_report report;
	struct fleet_wire_plan plan;
	struct fleet_wire_sessions sessions;
	struct fleet_wire_loads loads;
	struct fleet_wire_source source;
	struct fleet_wire_limits limits;
	struct fleet_wire_brittle brittle;

	if (len > sizeof(buf) - PEER_WIRE_MAC_BYTES)
		return;
	memcpy(buf, data, len);
	peer_wire_sign(buf, len, "key");
	len += PEER_WIRE_MAC_BYTES;
	fleet_wire_kind_of(buf, len);
	fleet_wire_decode_report(buf, len, "key", &report);
	fleet_wire_decode_plan(buf, len, "key", &plan);
	fleet_wire_decode_sessions(buf, len, "key", &sessions);
	fleet_wire_decode_loads(buf, len, "key", &loads);
	fleet_wire_decode_source(buf, len, "key", &source);
	fleet_wire_decode_limits(buf, len, "key", &limits);
	fleet_wire_decode_brittle(buf, len, "key", &brittle);
}

static void fuzz_event_stream(const char *text, size_t len)
{
	struct event_stream stream;

	event_stream_init(&stream);
	for (size_t offset = 0; offset < len; offset += EVENT_CHUNK_BYTES)
		if (event_stream_push(&stream, text + offset,
				      MIN(EVENT_CHUNK_BYTES, len - offset),
				      discard_bytes, NULL) != EVENT_STREAM_OK)
			break;
	event_stream_clear(&stream);
}

/*
 * Translates the text as a platform object and builds a route table both from
 * the translated document and from the text itself.
 */
static void fuzz_platform_object(const char *text)
{
	struct json_object *object = json_tokener_parse(text);
	struct json_object *doc = platform_translate_config(object, NULL);
	struct server_entry entry;
	struct feed_rollout rollout;

	if (doc)
		route_table_unref(route_table_build(doc, 1, NULL));
	route_table_unref(route_table_build(object, 1, NULL));
	if (json_object_is_type(object, json_type_object)) {
		platform_translate_server(object, &entry);
		platform_translate_rollout(object, &rollout);
	}
	json_object_put(doc);
	json_object_put(object);
}

/* Reads the text as an answer of the platform's store, and each of its items. */
static void fuzz_store_answer(const char *text, size_t len)
{
	struct envelope e;

	envelope_read(&e, text, len, "items");
	for (guint i = 0; i < e.items->len; i++) {
		struct json_span span =
			g_array_index(e.items, struct json_span, i);
		struct json_object *object;
		struct server_entry entry;

		json_span_is_true(json_span_member(span, "removed"));
		if (envelope_object(span, &object) == ENVELOPE_OBJECT_GOOD)
			platform_translate_server(object, &entry);
		json_object_put(object);
	}
	envelope_clear(&e);
}

static void fuzz_head_and_prompt(const char *text, size_t len)
{
	struct prompt_info prompt;
	size_t head_len = 0;

	http_message_scan_head(text, len, 0, &head_len);
	prompt_parse(&prompt, text, text);
}

static void fuzz_config(const char *text)
{
	struct json_object *doc = cfg_parse("fuzz", text, NULL);
	struct cfg *cfg = doc ? cfg_build(doc, 1, NULL) : NULL;

	cfg_free(cfg);
	json_object_put(doc);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	g_autofree char *text = NULL;
	struct order_result result;
	struct order_record record;
	struct session_pin pin;

	if (!size)
		return 0;
	text = g_strndup((const char *)data + 1, size - 1);
	switch (data[0] % TARGET_COUNT) {
	case 0:
		settings_free(settings_parse("fuzz", text, NULL));
		break;
	case 1:
		fuzz_config(text);
		break;
	case 2:
		json_object_put(cfg_generate("fuzz", text, NULL));
		break;
	case 3:
		json_object_put(
			cfg_section_parse_head(text, strlen(text), NULL));
		break;
	case 4:
		fuzz_answer((const char *)data + 1, size - 1, size & 1);
		break;
	case 5:
		fuzz_peer_message(data + 1, size - 1);
		break;
	case 6:
		order_record_parse(text, strlen(text), &record, &result);
		order_result_clear(&result);
		break;
	case 7:
		evidence_free(evidence_parse(text, strlen(text)));
		break;
	case 8:
		fuzz_fleet_message(data + 1, size - 1);
		break;
	case 9:
		fuzz_event_stream((const char *)data + 1, size - 1);
		break;
	case 10:
		fuzz_platform_object(text);
		break;
	case 11:
		fuzz_head_and_prompt(text, strlen(text));
		break;
	case 12:
		fuzz_store_answer((const char *)data + 1, size - 1);
		break;
	default:
		session_token_open(text, "key", "org", &pin);
		break;
	}
	return 0;
}
