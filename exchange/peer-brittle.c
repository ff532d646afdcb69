#include "exchange/peer-brittle.h"

#include <string.h>

/* For so long nodes repeat that a server is not brittle any more. */
#define END_REPEAT_MS 30000

static void begin_message(struct fleet_wire_brittle *m, const char *node)
{
	memset(m, 0, sizeof(*m));
	g_strlcpy(m->node, node, sizeof(m->node));
}

static void add_notice(struct fleet_wire_brittle *m, uint64_t now,
		       uint64_t service, uint64_t server,
		       const struct brittle_notice *n)
{
	struct fleet_wire_brittle_notice *to;

	if (m->n == FLEET_WIRE_MAX_BRITTLE)
		return;
	to = &m->notice[m->n++];
	to->service = service;
	to->server = server;
	to->refusals_per_s = n->refusals_per_s;
	to->age_ms = (uint32_t)MIN(now - n->answered_at, UINT32_MAX);
}

/*
 * Fills in what this node has heard from servers themselves and not told the
 * others yet. Returns false if that is nothing.
 */
bool peer_brittle_take_news(struct server_table *servers, uint64_t now,
			    const char *node, struct fleet_wire_brittle *out)
{
	begin_message(out, node);
	for (guint i = 0; i < servers->all->len; i++) {
		struct server_record *s = servers->all->pdata[i];

		if (!s->brittle.news || out->n == FLEET_WIRE_MAX_BRITTLE)
			continue;
		s->brittle.news = false;
		add_notice(out, now, s->service_hash, s->hash,
			   &s->brittle.notice);
	}
	return out->n > 0;
}

static bool is_worth_telling(const struct brittle_notice *n, uint64_t now)
{
	return n->answered_at &&
	       (n->refusals_per_s > 0 || now - n->answered_at < END_REPEAT_MS);
}

/*
 * Fills in what is known of brittle services, then of servers, from `start` on, by
 * their own answers. Returns false if that is nothing.
 */
bool peer_brittle_summary(const struct server_table *servers, uint64_t now,
			  const char *node, uint32_t start,
			  struct fleet_wire_brittle *out)
{
	const GPtrArray *all = servers->all;
	GHashTableIter it;
	void *service, *notice;

	begin_message(out, node);
	g_hash_table_iter_init(&it, servers->brittle_services);
	while (g_hash_table_iter_next(&it, &service, &notice))
		if (is_worth_telling(notice, now))
			add_notice(out, now, *(uint64_t *)service, 0, notice);
	for (guint i = 0; i < all->len; i++) {
		const struct server_record *s =
			all->pdata[(start + i) % all->len];

		if (s->brittle.own && is_worth_telling(&s->brittle.notice, now))
			add_notice(out, now, s->service_hash, s->hash,
				   &s->brittle.notice);
	}
	return out->n > 0;
}

/*
 * Adds to `reply`, which is empty at first, the end of what another node still
 * tells of a service, if this one knows it: it may have been told while that node
 * was cut off.
 */
void peer_brittle_correct(const struct server_table *servers, uint64_t now,
			  const char *node,
			  const struct fleet_wire_brittle_notice *from,
			  struct fleet_wire_brittle *reply)
{
	const struct brittle_notice *known =
		g_hash_table_lookup(servers->brittle_services, &from->service);

	if (from->server || !(from->refusals_per_s > 0) || !known ||
	    known->refusals_per_s > 0 ||
	    known->answered_at <= now - MIN(now, from->age_ms))
		return;
	if (!reply->n)
		begin_message(reply, node);
	add_notice(reply, now, from->service, 0, known);
	for (guint i = 0; i < servers->all->len; i++) {
		const struct server_record *s = servers->all->pdata[i];

		if (s->service_hash == from->service &&
		    s->brittle.notice.answered_at &&
		    !brittle_is_in_force(&s->brittle))
			add_notice(reply, now, s->service_hash, s->hash,
				   &s->brittle.notice);
	}
}

/* Returns the name of a service by its hash, "-" if no server of it is known. */
static const char *find_service(const struct server_table *servers,
				uint64_t hash)
{
	for (guint i = 0; i < servers->all->len; i++) {
		const struct server_record *s = servers->all->pdata[i];

		if (s->service_hash == hash)
			return s->service;
	}
	return "-";
}

/*
 * Takes up what another node has heard of a server or of its service. Returns true
 * if what is known has changed, and then sets their names, "-" if one is not known
 * here.
 */
bool peer_brittle_apply(struct server_table *servers, uint64_t now,
			const struct fleet_wire_brittle_notice *from,
			const char **service, const char **server)
{
	struct server_record *s = server_find_by_hash(servers, from->server);
	const struct brittle_notice said = {
		.refusals_per_s = from->refusals_per_s,
		.answered_at = now - MIN(now, from->age_ms),
	};

	*service = find_service(servers, from->service);
	*server = s ? s->id : "-";
	if (!from->service)
		return false;
	if (s)
		return server_hear_brittle(servers, s, &said);
	return server_hear_brittle_service(servers, from->service, &said);
}
