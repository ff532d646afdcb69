/*
 * Fuzz target over all that reads bytes from outside: the first byte chooses
 * the reader. Run by `make fuzz SECONDS=N`.
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
#include "platform/translate.h"
#include "daemon/settings.h"
#include "order/record.h"
#include "rollout/evidence.h"
#include "session/session.h"
#include "wire/codec.h"
#include "wire/fleet-codec.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void drop(void *user, const char *bytes, size_t len)
{
	(void)user;
	(void)bytes;
	(void)len;
}

static void read_answer(const char *text, size_t len, bool streamed)
{
	struct answer_relay a;

	answer_init(&a, "req", streamed);
	answer_begin_attempt(&a);
	answer_on_head(&a, 200, "req");
	answer_on_data(&a, text, len, drop, NULL);
	answer_on_end(&a, ANSWER_END_COMPLETE);
	answer_clear(&a);
}

static void read_message(const uint8_t *data, size_t len)
{
	uint8_t buf[PEER_WIRE_MAX_BYTES];
	struct member_msg msg;

	if (len > sizeof(buf) - PEER_WIRE_MAC_BYTES)
		return;
	memcpy(buf, data, len);
	peer_wire_sign(buf, len, "key");
	peer_wire_decode(buf, len + PEER_WIRE_MAC_BYTES, "key", &msg);
}

static void read_fleet_message(const uint8_t *data, size_t len)
{
	uint8_t buf[PEER_WIRE_MAX_BYTES];
	struct fleet_wire_report report;
	struct fleet_wire_plan plan;
	struct fleet_wire_sessions sessions;
	struct fleet_wire_loads loads;
	struct fleet_wire_source source;

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
}

static void read_events(const char *text, size_t len)
{
	struct event_stream e;

	event_stream_init(&e);
	for (size_t at = 0; at < len; at += 7)
		if (event_stream_push(&e, text + at, MIN(7, len - at), drop,
				      NULL) != EVENT_STREAM_OK)
			break;
	event_stream_clear(&e);
}

/* The platform's objects, and the table of routes that they make. */
static void read_objects(const char *text)
{
	struct json_object *o = json_tokener_parse(text);
	struct json_object *doc = platform_translate_config(o, NULL);
	struct server_entry entry;
	struct feed_rollout order;

	if (doc)
		route_table_unref(route_table_build(doc, 1, NULL));
	route_table_unref(route_table_build(o, 1, NULL));
	if (json_object_is_type(o, json_type_object)) {
		platform_translate_server(o, &entry);
		platform_translate_rollout(o, &order);
	}
	json_object_put(doc);
	json_object_put(o);
}

static void read_head(const char *text, size_t len)
{
	struct prompt_info prompt;
	size_t end = 0;

	http_message_scan_head(text, len, 0, &end);
	prompt_parse(&prompt, text, text);
}

static void read_config(const char *text)
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
	switch (data[0] % 13) {
	case 0:
		settings_free(settings_parse("fuzz", text, NULL));
		break;
	case 1:
		read_config(text);
		break;
	case 2:
		json_object_put(cfg_generate("fuzz", text, NULL));
		break;
	case 3:
		json_object_put(
			cfg_section_parse_head(text, strlen(text), NULL));
		break;
	case 4:
		read_answer((const char *)data + 1, size - 1, size & 1);
		break;
	case 5:
		read_message(data + 1, size - 1);
		break;
	case 6:
		order_record_parse(text, strlen(text), &record, &result);
		order_result_clear(&result);
		break;
	case 7:
		evidence_free(evidence_parse(text, strlen(text)));
		break;
	case 8:
		read_fleet_message(data + 1, size - 1);
		break;
	case 9:
		read_events((const char *)data + 1, size - 1);
		break;
	case 10:
		read_objects(text);
		break;
	case 11:
		read_head(text, strlen(text));
		break;
	default:
		session_token_open(text, "key", "org", &pin);
		break;
	}
	return 0;
}
