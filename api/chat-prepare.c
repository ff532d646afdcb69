#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "api/chat.h"
#include "backend/table-task.h"
#include "invariant.h"
#include "json-check.h"
#include "rollout/rating-task.h"
#include "route/choose.h"
#include "session/session.h"

/*
 * The first part of a request to a model: parses it, chooses the version or
 * cascade that answers it, and admits it. chat-task.c sends it.
 */
#define BYTES_PER_TOKEN 4.0 /* estimate; usage has the exact count */
#define RETRY_AFTER_S 1
#define AFFINITY_PREFIX_BYTES 512 /* of the first message */

/*
 * Refuses the request with the verdict of the attempts made so far, and ends
 * it. `retry_after_s` is 0 if a retry does not help.
 */
void chat_refuse(struct chat_request *c, int status, const char *reason,
		 const char *message, uint32_t retry_after_s)
{
	const struct api_refusal r = {
		.status = status,
		.verdict = c->answer.verdict,
		.reason = reason,
		.message = message,
		.retry_after_s = retry_after_s,
	};

	api_refuse(&c->api, &r);
}

/*
 * Returns the usual time to the first byte, in milliseconds, for the version
 * and kind of the request; 0 if unknown.
 */
double chat_expected_first_ms(const struct chat_request *c)
{
	const struct node *n = c->api.node;
	cfg_handle v = cfg_find_version(n->cfg, c->version);
	cfg_handle k = cfg_find_kind(n->cfg, c->kind);

	if (v == CFG_NONE || k == CFG_NONE)
		return 0;
	return n->quality.stats[v][k].first_token_ms;
}

static bool bad_request(struct chat_request *c, const char *reason,
			const char *message)
{
	chat_refuse(c, 400, reason, message, 0);
	return false;
}

static bool parse_body(struct chat_request *c)
{
	size_t len;
	const char *bytes = http_server_body(c->api.http_request, &len);
	g_autofree char *text = g_strndup(bytes, len);
	const char *model;

	if (!g_utf8_validate(bytes, (gssize)len, NULL))
		return bad_request(c, "bad-body",
				   "the body is not valid UTF-8");
	c->body = json_tokener_parse(text);
	if (!json_object_is_type(c->body, json_type_object))
		return bad_request(c, "bad-body",
				   "the body is not a JSON object");
	if (!jcheck_array_length(jcheck_get(c->body, "messages")))
		return bad_request(c, "bad-body",
				   "messages must be an array with at least "
				   "one message");
	model = jcheck_get_string(c->body, "model", "auto");
	if (strcmp(model, "auto") != 0)
		c->model = g_strdup(model);
	c->streamed = json_object_get_boolean(jcheck_get(c->body, "stream"));
	c->input_tokens = (double)len / BYTES_PER_TOKEN;
	return true;
}

static bool parse_kind(struct chat_request *c)
{
	const struct cfg *cfg = c->api.node->cfg;
	const char *kind =
		http_server_header(c->api.http_request, "x-chivegw-kind");

	c->kind = g_strdup(kind ? kind : cfg->kinds[0].name);
	if (cfg_find_kind(cfg, c->kind) == CFG_NONE)
		return bad_request(c, "unknown-kind",
				   "x-chivegw-kind is not a kind of request "
				   "of this deployment");
	return true;
}

/*
 * Fills in the pin of the session that x-chivegw-session gives: a token, or
 * "new" for a new session. `wanted` is false if the header is missing.
 */
static bool parse_session(struct chat_request *c, struct session_pin *pin,
			  bool *wanted)
{
	const char *token =
		http_server_header(c->api.http_request, "x-chivegw-session");
	struct node *n = c->api.node;

	*wanted = token != NULL;
	if (!token)
		return true;
	if (!strcmp(token, "new")) {
		snprintf(pin->id, sizeof(pin->id), "%s", c->api.id);
		return true;
	}
	switch (session_token_open(token, n->settings->cluster_key, c->api.org,
				   pin)) {
	case SESSION_TOKEN_VALID:
		return true;
	case SESSION_TOKEN_INVALID:
		return bad_request(c, "bad-session",
				   "x-chivegw-session is neither 'new' nor a "
				   "token that this gateway issued");
	case SESSION_TOKEN_OTHER_ORG:
		chat_refuse(c, 403, "session-of-other-organisation",
			    "the session belongs to another organisation", 0);
		return false;
	}
	return false;
}

static void seal_session(struct chat_request *c, struct session_pin *pin)
{
	const char *version = c->escalation ? c->escalation : c->version;

	g_strlcpy(pin->org, c->api.org, sizeof(pin->org));
	g_strlcpy(pin->version, version, sizeof(pin->version));
	c->session_token =
		session_token_seal(pin, c->api.node->settings->cluster_key);
}

static void append_version_names(GString *s, const struct cfg *cfg,
				 uint64_t set)
{
	for (size_t i = 0; i < cfg->n_versions; i++)
		if ((set >> i) & 1)
			g_string_append_printf(s, "%s%s", s->len ? " " : "",
					       cfg->versions[i].name);
}

static void trace_choice(struct chat_request *c,
			 const struct choose_result *choice)
{
	const struct cfg *cfg = c->api.node->cfg;
	g_autoptr(GString) considered = g_string_new(NULL);
	g_autoptr(GString) meets_target = g_string_new(NULL);

	append_version_names(considered, cfg, choice->considered);
	append_version_names(meets_target, cfg, choice->meets_target);
	api_trace_note(&c->api, "organisation", "%s", c->api.org);
	api_trace_note(&c->api, "kind", "%s, target %.3f", c->kind,
		       c->quality_target);
	api_trace_note(&c->api, "revision", "%" G_GUINT64_FORMAT,
		       cfg->revision);
	api_trace_note(&c->api, "considered", "%s", considered->str);
	api_trace_note(&c->api, "known-to-meet", "%s", meets_target->str);
	api_trace_note(&c->api, "chosen", "%s%s%s (%s), expected cost %.3f",
		       c->version, c->escalation ? " then " : "",
		       c->escalation ? c->escalation : "",
		       choose_reason_name(choice->reason),
		       choice->expected_cost);
}

static void refuse_choice(struct chat_request *c,
			  const struct choose_result *choice)
{
	if (choice->reason == CHOOSE_NONE_ALLOWED)
		chat_refuse(c, 403, "not-allowed",
			    "the organisation may not use such a model", 0);
	else
		chat_refuse(c, 503, "no-backend-server",
			    "no backend server runs an allowed version now",
			    RETRY_AFTER_S);
}

/* Falls back to versions that run only on ejected servers. */
static struct choose_result
choose_usable(struct node *n, struct choose_request *req, uint64_t now)
{
	const struct backend_state *table = backend_table_rows(n->backend_task);
	struct choose_result c;

	req->usable = backend_available_versions(n->cfg, table, now, false);
	c = choose_for_request(n->cfg, &n->quality, req, &n->rng);
	if (c.reason != CHOOSE_NONE_AVAILABLE)
		return c;
	req->usable = backend_available_versions(n->cfg, table, now, true);
	return choose_for_request(n->cfg, &n->quality, req, &n->rng);
}

static bool choose_version(struct chat_request *c, struct session_pin *pin,
			   bool session)
{
	struct node *n = c->api.node;
	uint64_t now = node_now(n);
	struct choose_request req = {
		.kind = cfg_find_kind(n->cfg, c->kind),
		.model = c->model,
		.pinned = CFG_NONE,
		.streamed = c->streamed,
		.can_rate =
			!session && rating_is_available(n->rating_task, now),
		.input_tokens = c->input_tokens,
		.withheld_versions = rating_withheld_versions(n->rating_task),
	};
	struct choose_result choice;

	if (!api_find_org(&c->api, &req.org)) {
		chat_refuse(c, 401, "unauthenticated", "the key is unknown", 0);
		return false;
	}
	if (pin->version[0]) {
		req.pinned = cfg_find_version(n->cfg, pin->version);
		c->version_withdrawn =
			req.pinned == CFG_NONE ||
			!cfg_may_use(n->cfg, req.org, req.pinned);
	}
	c->quality_target = n->cfg->orgs[req.org].target[req.kind];
	choice = choose_usable(n, &req, now);
	if (choice.first == CFG_NONE) {
		refuse_choice(c, &choice);
		return false;
	}
	INVARIANT(!pin->version[0] || c->version_withdrawn ||
			  choice.first == req.pinned,
		  "session: keeps its version unless it was withdrawn");
	c->version = g_strdup(n->cfg->versions[choice.first].name);
	if (choice.second != CFG_NONE)
		c->escalation = g_strdup(n->cfg->versions[choice.second].name);
	c->rate_before_delivery = choice.second != CFG_NONE;
	if (choice.rollout != CFG_NONE)
		c->rollout = g_strdup(n->cfg->rollouts[choice.rollout].name);
	trace_choice(c, &choice);
	return true;
}

static bool admit(struct chat_request *c)
{
	struct node *n = c->api.node;
	cfg_handle v = cfg_find_version(n->cfg, c->version);
	double capacity = backend_table_capacity(n->backend_task, n->cfg,
						 n->cfg->versions[v].service);

	return api_admit(&c->api, capacity, chat_expected_first_ms(c));
}

/*
 * Returns a hash, never 0, by which the requests of a session, or those with
 * the same prompt, prefer the server that has their prefix cached.
 */
static uint64_t affinity_of(const struct chat_request *c,
			    const struct session_pin *pin)
{
	struct json_object *first =
		json_object_array_get_idx(jcheck_get(c->body, "messages"), 0);
	const char *prompt = jcheck_get_string(first, "content", "");

	if (pin->id[0])
		return XXH64(pin->id, strlen(pin->id), 1) | 1;
	return XXH64(prompt, strnlen(prompt, AFFINITY_PREFIX_BYTES), 2) | 1;
}

/*
 * Parses a request, chooses its version or cascade and admits it. Returns false
 * if the request was refused.
 */
bool chat_prepare(struct chat_request *c)
{
	struct session_pin pin = {.id = ""};
	bool session;

	if (!parse_body(c) || !parse_kind(c) ||
	    !parse_session(c, &pin, &session) ||
	    !choose_version(c, &pin, session))
		return false;
	c->affinity = affinity_of(c, &pin);
	if (session)
		seal_session(c, &pin);
	return admit(c);
}
