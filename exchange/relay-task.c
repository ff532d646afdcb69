#include "exchange/exchange.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "fleet/fleet-task.h"
#include "log-event.h"
#include "relay/header.h"

#define MAX_CANDIDATES 24 /* nodes among which the helper is chosen */

static void describe_member(const struct member_update *m,
			    struct relay_candidate *c)
{
	struct in_addr in = {.s_addr = htonl(m->addr.ip)};
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &in, ip, sizeof(ip));
	snprintf(c->address, sizeof(c->address), "%s:%u", ip, m->addr.port);
	c->name = m->name;
}

/* Returns a random ready server of the service that is brittle, or NULL. */
static const struct server_record *
any_brittle_server(const struct exchange_request *x)
{
	const GPtrArray *all = x->g->servers.all;
	guint start = all->len ? rng_below(&x->g->rng, all->len) : 0;

	for (guint i = 0; i < all->len; i++) {
		const struct server_record *s =
			all->pdata[(start + i) % all->len];

		if (s->state == SERVER_READY &&
		    !strcmp(s->service, x->service) &&
		    brittle_is_in_force(&s->brittle))
			return s;
	}
	return NULL;
}

/*
 * Stores the nodes that may be asked: those that have slots at a brittle server of
 * the service, or any if there is none. Returns their number.
 */
static uint32_t find_candidates(const struct exchange_request *x,
				const struct member_update **out)
{
	const struct server_record *s = any_brittle_server(x);

	return s ? fleet_task_slot_holders(x->g->fleet, gateway_now(x->g), s,
					   out, MAX_CANDIDATES)
		 : fleet_task_alive_members(x->g->fleet, &x->g->rng, out,
					    MAX_CANDIDATES);
}

/*
 * Chooses the node that serves the next attempt, since this one reaches none of
 * the service's servers. The helper keeps one of the attempts that are left for a
 * break between the nodes. The node that has just failed is not asked again, unless
 * it is the only one: it has the fewest requests then, and may be gone. Returns false
 * if there is none.
 */
bool exchange_choose_helper(struct exchange_request *x, uint64_t now)
{
	const struct member_update *members[MAX_CANDIDATES];
	struct relay_candidate candidates[MAX_CANDIDATES];
	uint32_t n = find_candidates(x, members);
	uint32_t kept = 0;
	uint32_t left = x->retry.max_sent > x->retry.sent
				? x->retry.max_sent - x->retry.sent
				: 1;

	for (uint32_t i = 0; i < n; i++)
		if (n == 1 || g_str_hash(members[i]->name) != x->failed_helper)
			describe_member(members[i], &candidates[kept++]);
	x->helper = relay_helpers_choose(&x->g->helpers, now, candidates, kept);
	if (!x->helper)
		return false;
	x->server = &x->helper->record;
	x->failed_helper = 0;
	x->granted = left > 1 ? left - 1 : 1;
	x->rollout_active = false;
	x->fills = false;
	memset(&x->work, 0, sizeof(x->work));
	memset(&x->sample, 0, sizeof(x->sample));
	log_event(LOG_EVENT_RELAYED, "request=%s service=%s to=%s attempts=%u",
		  x->id, x->service, x->server->id, x->granted);
	return true;
}

static enum server_outcome helper_outcome(const struct exchange_request *x,
					  enum http_client_outcome end)
{
	switch (x->answer.result) {
	case RETRY_RESULT_COMPLETE:
		return SERVER_CALL_OK;
	case RETRY_RESULT_REFUSED:
	case RETRY_RESULT_MISDIRECTED:
		return SERVER_CALL_REFUSED;
	case RETRY_RESULT_UNSERVED:
		return SERVER_CALL_UNSERVED;
	case RETRY_RESULT_WEAK:
	case RETRY_RESULT_CANCELLED:
		return SERVER_CALL_IGNORED;
	case RETRY_RESULT_UNSENT:
	case RETRY_RESULT_BROKEN:
		break;
	}
	if (end == HTTP_CLIENT_TIMED_OUT && gateway_now(x->g) >= x->deadline)
		return SERVER_CALL_IGNORED;
	return end == HTTP_CLIENT_TIMED_OUT ? SERVER_CALL_TIMED_OUT
					    : SERVER_CALL_FAILED;
}

/* Returns the hash of a helper's name, which its id has behind "node:". */
static guint name_hash(const struct relay_helper *helper)
{
	return g_str_hash(strchr(helper->record.id, ':') + 1);
}

/*
 * Updates what is known of the helper by the attempt that has ended. What it
 * says it did not run counts as unsent: another node may be asked.
 */
void exchange_end_relay(struct exchange_request *x,
			enum http_client_outcome end)
{
	uint64_t now = gateway_now(x->g);

	server_on_request_end(&x->g->servers, x->server, now,
			      helper_outcome(x, end), 0);
	switch (x->answer.result) {
	case RETRY_RESULT_REFUSED:
	case RETRY_RESULT_MISDIRECTED:
		relay_helper_on_refusal(x->helper, now);
		x->answer.result = RETRY_RESULT_UNSENT;
		break;
	case RETRY_RESULT_COMPLETE:
	case RETRY_RESULT_UNSERVED:
	case RETRY_RESULT_WEAK:
	case RETRY_RESULT_CANCELLED:
		x->retry.sent += x->granted - 1;
		break;
	case RETRY_RESULT_BROKEN:
		x->retry.sent += x->granted - 1;
		x->failed_helper = name_hash(x->helper);
		break;
	case RETRY_RESULT_UNSENT:
		x->failed_helper = name_hash(x->helper);
		break;
	}
}
