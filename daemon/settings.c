#include "daemon/settings.h"

#include "exchange/cascade.h"
#include "http/address.h"

#define ONE_HOUR_MS 3600000

#define TEXT(field, is_required, lo, hi, text)                                 \
	{                                                                      \
		.name = #field, .kind = JCHECK_STRING,                         \
		.required = (is_required), .min = (lo), .max = (hi),           \
		.offset = offsetof(struct node_settings, field),               \
		.help = (text)                                                 \
	}
#define INTEGER(field, lo, hi, text)                                           \
	{                                                                      \
		.name = #field, .kind = JCHECK_INT, .min = (lo), .max = (hi),  \
		.offset = offsetof(struct node_settings, field),               \
		.help = (text)                                                 \
	}
#define REAL(field, lo, hi, text)                                              \
	{                                                                      \
		.name = #field, .kind = JCHECK_REAL, .min = (lo), .max = (hi), \
		.offset = offsetof(struct node_settings, field),               \
		.help = (text)                                                 \
	}

/* The keys of a settings file; docs/SETTINGS.md must list the same ones. */
const struct jcheck_key settings_keys[] = {
	TEXT(node, true, 1, 47, "name of this node, unique in the deployment"),
	TEXT(zone, true, 1, 63, "availability zone of this node"),
	TEXT(caller_address, true, 9, 21, "address for clients, ip:port"),
	TEXT(operator_address, true, 9, 21, "address for operators, ip:port"),
	TEXT(peer_address, true, 9, 21,
	     "address for other nodes, ip:port, UDP and TCP"),
	TEXT(platform_address, true, 9, 21,
	     "address of the platform's object API, ip:port"),
	TEXT(operator_key, true, 16, 256, "bearer key of operators"),
	TEXT(cluster_key, true, 16, 256,
	     "key that nodes share: messages and session tokens"),
	INTEGER(store_timeout_ms, 10, 60000,
		"timeout of one call to the object API"),
	INTEGER(watch_ms, 100, 5000,
		"timeout of a watch of the configuration head"),
	INTEGER(usage_flush_ms, 10, 60000,
		"mean interval between batches of usage records under load"),
	INTEGER(load_poll_ms, 50, 60000,
		"shortest interval between two load reports of one server"),
	INTEGER(reports_per_s, 1, 1000,
		"most load reports requested per second, of all servers "
		"together"),
	INTEGER(status_ms, 100, 60000, "interval between status objects"),
	INTEGER(connect_ms, 10, 60000,
		"timeout of a connection attempt to a backend server"),
	INTEGER(progress_ms, 50, 600000,
		"timeout between two arrivals of bytes of an answer"),
	INTEGER(default_deadline_ms, 100, ONE_HOUR_MS,
		"deadline of a request that doesn't state one"),
	INTEGER(hedge_ms, 5, 60000,
		"delay before an idempotent request is sent a second time"),
	INTEGER(head_timeout_ms, 100, 60000,
		"time within which a client must send its request"),
	INTEGER(max_body_bytes, 1024, 64 * 1024 * 1024, "largest request body"),
	INTEGER(unready_ms, 0, 60000,
		"at shutdown: how long new requests are still answered with a "
		"refusal"),
	INTEGER(drain_ms, 0, ONE_HOUR_MS, "longest graceful shutdown"),
	INTEGER(nodes_per_server, 2, 4096,
		"how many nodes use one backend server"),
	INTEGER(slow_first_token_ms, 10, 600000,
		"a time to first token above it counts against a roll-out"),
	REAL(rating_share, 0, 1, "share of plain answers that are rated"),
	INTEGER(memory_mb, 0, 16 * 1024 * 1024,
		"memory of the machine; 0: what the kernel tells"),
	INTEGER(client_memory_mb, 0, 1024 * 1024,
		"most memory held for clients; 0: computed from memory_mb"),
	TEXT(ready_address, false, 9, 21,
	     "address for the balancer's readiness checks, ip:port; makes the "
	     "node serve configured routes"),
	TEXT(seeds, false, 0, 1024,
	     "addresses of other nodes, separated by commas; may be outdated"),
	REAL(grace_s, 0.1, 3600,
	     "time between the signal to stop and being killed"),
	INTEGER(fleet_nodes, 1, 4096,
		"largest number of nodes, which share the fleet's retry burst"),
	REAL(retry_ratio, 0, 10, "retries that the fleet may send per request"),
	REAL(retry_burst, 0, 1000000,
	     "further retries of the fleet within a window"),
	REAL(retry_window_s, 0.1, 3600, "window of the retry budget"),
	REAL(expose_share, 0, 1,
	     "largest share of a service's requests for a version on trial"),
	REAL(expose_slack, 0, 1000000, "further requests beyond that share"),
	TEXT(quality_targets, false, 1, 256,
	     "quality target by priority, 0 to 1, separated by commas; the "
	     "last one also applies to all further priorities"),
	TEXT(features, false, 0, 1024,
	     "optional behaviours that the deployment asks for, separated by "
	     "commas; names that are not known are ignored"),
	REAL(session_s, 0, 3600,
	     "longest time between two requests of one session"),
	REAL(prefix_memory_s, 0, 3600,
	     "how long a server holds the beginning of a prompt without use"),
	REAL(cold_over, 0, 1000,
	     "factor on the rate that a service's cold servers bear; needed "
	     "for that rate to be kept"),
	REAL(cold_slack, 0, 1000000,
	     "further requests that a cold server bears in a second"),
	INTEGER(evacuation_ms, 100, 600000,
		"time within which the evacuation of a zone is in force; "
		"needed for evacuations to be read"),
	{0},
};

static void settings_set_defaults(struct node_settings *s)
{
	s->store_timeout_ms = 1000;
	s->watch_ms = 2000;
	s->usage_flush_ms = 100;
	s->load_poll_ms = 250;
	s->reports_per_s = 20;
	s->status_ms = 1000;
	s->connect_ms = 500;
	s->progress_ms = 5000;
	s->default_deadline_ms = 60000;
	s->hedge_ms = 250;
	s->head_timeout_ms = 10000;
	s->max_body_bytes = 4 * 1024 * 1024;
	s->unready_ms = 2000;
	s->drain_ms = 120000;
	s->nodes_per_server = 12;
	s->slow_first_token_ms = 1100;
	s->rating_share = 0.1;
	s->grace_s = 8;
	s->fleet_nodes = 16;
	s->retry_ratio = 0.5;
	s->retry_burst = 50;
	s->retry_window_s = 10;
	s->expose_share = 0.1;
	s->expose_slack = 20;
	s->session_s = 10;
	s->prefix_memory_s = 10;
}

static gboolean check_addresses(const struct node_settings *s, GError **err)
{
	const char *const addresses[] = {s->caller_address, s->operator_address,
					 s->peer_address, s->platform_address};
	struct sockaddr_in sa;

	for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++)
		if (!address_parse(addresses[i], &sa, err))
			return FALSE;
	return TRUE;
}

static gboolean check_targets(const struct node_settings *s, GError **err)
{
	struct cascade_targets c;

	if (cascade_parse(&c, s->quality_targets))
		return TRUE;
	g_set_error(
		err, JCHECK_ERROR, JCHECK_ERROR_KEY,
		"quality_targets: '%s' is not a list of numbers from 0 to 1",
		s->quality_targets);
	return FALSE;
}

static struct node_settings *from_object(struct json_object *obj, GError **err)
{
	struct node_settings *s;

	if (!obj)
		return NULL;
	s = g_new0(struct node_settings, 1);
	settings_set_defaults(s);
	jcheck_fill_struct(s, obj, settings_keys);
	json_object_put(obj);
	if (check_addresses(s, err) && check_targets(s, err))
		return s;
	settings_free(s);
	return NULL;
}

/*
 * Reads and checks a settings file. Returns settings that the caller frees, or
 * NULL and an error.
 */
struct node_settings *settings_read(const char *path, GError **err)
{
	return from_object(jcheck_read_file(path, settings_keys, err), err);
}

/*
 * Checks settings given as text as settings_read does; `source` names the text
 * in errors.
 */
struct node_settings *settings_parse(const char *source, const char *text,
				     GError **err)
{
	return from_object(jcheck_parse(source, text, settings_keys, err), err);
}

/* Returns whether the deployment asks for an optional behaviour. */
bool settings_has_feature(const struct node_settings *s, const char *name)
{
	g_auto(GStrv) names =
		g_strsplit(s->features ? s->features : "", ",", -1);

	return g_strv_contains((const char *const *)names, name);
}

/* Frees settings; NULL is allowed. */
void settings_free(struct node_settings *s)
{
	if (!s)
		return;
	g_free(s->node);
	g_free(s->zone);
	g_free(s->caller_address);
	g_free(s->operator_address);
	g_free(s->peer_address);
	g_free(s->platform_address);
	g_free(s->operator_key);
	g_free(s->cluster_key);
	g_free(s);
}
