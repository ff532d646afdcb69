#include "wire/fleet-codec.h"

#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>

#include "wire/fleet.h"
#include "wire/peer.h"

/* Procedure numbers; those of membership are in wire/peer.x. */
#define PROC_REPORT 4
#define PROC_PLAN 5
#define PROC_SESSIONS 6
#define PROC_LOADS 7
#define PROC_SOURCE 8
#define PROC_LIMITS 9
#define PROC_CRASHES 10
#define PROC_LOAD_LIMITS 11
#define PROC_BRITTLE 12
#define PROC_EVACUATIONS 13
#define PROC_OFFSET 20 /* of the procedure in an ONC RPC call, in bytes */

/*
 * Returns the kind of a received message by the procedure in its header. The
 * message is not verified.
 */
enum fleet_wire_kind fleet_wire_kind_of(const uint8_t *buf, size_t len)
{
	if (len < PROC_OFFSET + 4)
		return FLEET_WIRE_MEMBERSHIP;
	switch (buf[PROC_OFFSET + 3]) {
	case PROC_REPORT:
		return FLEET_WIRE_REPORT;
	case PROC_PLAN:
		return FLEET_WIRE_PLAN;
	case PROC_SESSIONS:
		return FLEET_WIRE_SESSIONS;
	case PROC_LOADS:
		return FLEET_WIRE_LOADS;
	case PROC_SOURCE:
		return FLEET_WIRE_SOURCE;
	case PROC_LIMITS:
		return FLEET_WIRE_LIMITS;
	case PROC_CRASHES:
		return FLEET_WIRE_CRASHES;
	case PROC_LOAD_LIMITS:
		return FLEET_WIRE_LOAD_LIMITS;
	case PROC_BRITTLE:
		return FLEET_WIRE_BRITTLE;
	case PROC_EVACUATIONS:
		return FLEET_WIRE_EVACUATIONS;
	default:
		return FLEET_WIRE_MEMBERSHIP;
	}
}

/* Encodes and signs a message; returns its length in bytes, or 0. */
static size_t encode(uint32_t proc, xdrproc_t body, void *value,
		     const char *key, uint8_t *buf, size_t size)
{
	return peer_wire_encode_call(0, proc, body, value, key, buf, size);
}

/* Verifies and decodes a message whose procedure must be `proc`. */
static enum peer_wire_error decode(uint32_t proc, xdrproc_t body, void *value,
				   const char *key, const uint8_t *buf,
				   size_t len)
{
	enum peer_wire_error error = peer_wire_verify(buf, len, key);
	uint32_t found_proc;
	XDR xdrs;

	if (error != PEER_WIRE_OK)
		return error;
	xdrmem_create(&xdrs, (char *)buf, (u_int)(len - PEER_WIRE_MAC_BYTES),
		      XDR_DECODE);
	if (!peer_wire_decode_header(&xdrs, &found_proc) || found_proc != proc)
		error = PEER_WIRE_BAD_HEADER;
	else if (!body(&xdrs, value))
		error = PEER_WIRE_BAD_BODY;
	xdr_destroy(&xdrs);
	return error;
}

/*
 * Encodes and signs a report of the counts of a roll-out. Returns the length
 * in bytes, or 0 if it does not fit.
 */
size_t fleet_wire_encode_report(const struct fleet_wire_report *r,
				const char *key, uint8_t *buf, size_t size)
{
	const struct shift_evidence *e = &r->report.evidence;
	struct fleet_cell cells[SHIFT_MAX_ROUTES];
	struct fleet_report w = {
		.node = (char *)r->report.node,
		.boot = r->report.boot,
		.service = (char *)r->service,
		.target = (char *)r->target,
		.age_ms = r->report.age_ms,
		.requests = e->requests,
		.sent_new = e->sent_new,
		.old_in_flight = e->old_in_flight,
		.cells = {.cells_len = e->n_routes, .cells_val = cells},
	};

	for (uint32_t i = 0; i < e->n_routes; i++) {
		cells[i].route = e->routes[i].route;
		memcpy(cells[i].count, e->routes[i].count,
		       sizeof(cells[i].count));
	}
	return encode(PROC_REPORT, (xdrproc_t)xdr_fleet_report, &w, key, buf,
		      size);
}

/*
 * Encodes and signs the plan of a roll-out. Returns the length in bytes, or 0
 * if it does not fit.
 */
size_t fleet_wire_encode_plan(const struct fleet_wire_plan *p, const char *key,
			      uint8_t *buf, size_t size)
{
	struct fleet_plan w = {
		.node = (char *)p->node,
		.service = (char *)p->service,
		.target = (char *)p->target,
		.age_ms = p->plan.age_ms,
		.share = p->plan.share,
		.state = p->plan.state,
		.fills = p->plan.fills,
	};

	return encode(PROC_PLAN, (xdrproc_t)xdr_fleet_plan, &w, key, buf, size);
}

/*
 * Verifies and decodes a report into `r`, which is zeroed on an error. Returns
 * PEER_WIRE_OK or what was wrong.
 */
enum peer_wire_error fleet_wire_decode_report(const uint8_t *buf, size_t len,
					      const char *key,
					      struct fleet_wire_report *r)
{
	struct fleet_report w;
	struct shift_evidence *e = &r->report.evidence;
	enum peer_wire_error error;

	memset(&w, 0, sizeof(w));
	memset(r, 0, sizeof(*r));
	error = decode(PROC_REPORT, (xdrproc_t)xdr_fleet_report, &w, key, buf,
		       len);
	if (error == PEER_WIRE_OK) {
		g_strlcpy(r->report.node, w.node, sizeof(r->report.node));
		g_strlcpy(r->service, w.service, sizeof(r->service));
		g_strlcpy(r->target, w.target, sizeof(r->target));
		r->report.boot = w.boot;
		r->report.age_ms = w.age_ms;
		e->requests = w.requests;
		e->sent_new = w.sent_new;
		e->old_in_flight = w.old_in_flight;
		e->n_routes = MIN(w.cells.cells_len, SHIFT_MAX_ROUTES);
		for (uint32_t i = 0; i < e->n_routes; i++) {
			e->routes[i].route = w.cells.cells_val[i].route;
			memcpy(e->routes[i].count, w.cells.cells_val[i].count,
			       sizeof(e->routes[i].count));
		}
	}
	xdr_free((xdrproc_t)xdr_fleet_report, (char *)&w);
	return error;
}

/*
 * Verifies and decodes a plan into `p`, which is zeroed on an error. Returns
 * PEER_WIRE_OK or what was wrong.
 */
enum peer_wire_error fleet_wire_decode_plan(const uint8_t *buf, size_t len,
					    const char *key,
					    struct fleet_wire_plan *p)
{
	struct fleet_plan w;
	enum peer_wire_error error;

	memset(&w, 0, sizeof(w));
	memset(p, 0, sizeof(*p));
	error = decode(PROC_PLAN, (xdrproc_t)xdr_fleet_plan, &w, key, buf, len);
	if (error == PEER_WIRE_OK &&
	    (w.state > SHIFT_COMPLETED || w.share > SHIFT_FULL_SHARE))
		error = PEER_WIRE_BAD_BODY;
	if (error == PEER_WIRE_OK) {
		g_strlcpy(p->node, w.node, sizeof(p->node));
		g_strlcpy(p->service, w.service, sizeof(p->service));
		g_strlcpy(p->target, w.target, sizeof(p->target));
		p->plan.age_ms = w.age_ms;
		p->plan.share = w.share;
		p->plan.state = (enum shift_state)w.state;
		p->plan.fills = w.fills;
	}
	xdr_free((xdrproc_t)xdr_fleet_plan, (char *)&w);
	return error;
}

/*
 * Encodes and signs a list of sessions. Returns the length in bytes, or 0 if
 * it does not fit.
 */
size_t fleet_wire_encode_sessions(const struct fleet_wire_sessions *s,
				  const char *key, uint8_t *buf, size_t size)
{
	struct fleet_session list[FLEET_WIRE_MAX_SESSIONS];
	struct fleet_sessions w = {
		.service = (char *)s->service,
		.target = (char *)s->target,
		.list = {.list_len = s->n, .list_val = list},
	};

	for (uint32_t i = 0; i < s->n; i++) {
		list[i].session = s->session[i];
		list[i].is_new = s->is_new[i];
	}
	return encode(PROC_SESSIONS, (xdrproc_t)xdr_fleet_sessions, &w, key,
		      buf, size);
}

/*
 * Verifies and decodes a list of sessions into `s`, which is zeroed on an
 * error. Returns PEER_WIRE_OK or what was wrong.
 */
enum peer_wire_error fleet_wire_decode_sessions(const uint8_t *buf, size_t len,
						const char *key,
						struct fleet_wire_sessions *s)
{
	struct fleet_sessions w;
	enum peer_wire_error error;

	memset(&w, 0, sizeof(w));
	memset(s, 0, sizeof(*s));
	error = decode(PROC_SESSIONS, (xdrproc_t)xdr_fleet_sessions, &w, key,
		       buf, len);
	if (error == PEER_WIRE_OK) {
		g_strlcpy(s->service, w.service, sizeof(s->service));
		g_strlcpy(s->target, w.target, sizeof(s->target));
		s->n = MIN(w.list.list_len, FLEET_WIRE_MAX_SESSIONS);
		for (uint32_t i = 0; i < s->n; i++) {
			s->session[i] = w.list.list_val[i].session;
			s->is_new[i] = w.list.list_val[i].is_new;
		}
	}
	xdr_free((xdrproc_t)xdr_fleet_sessions, (char *)&w);
	return error;
}

/* Loads with the sender's zone, which older builds neither send nor read. */
struct loads_and_zone {
	struct fleet_loads loads;
	char *zone; /* NULL: not sent */
};

static bool_t xdr_loads_and_zone(XDR *xdrs, struct loads_and_zone *v)
{
	if (!xdr_fleet_loads(xdrs, &v->loads))
		return FALSE;
	if (xdrs->x_op == XDR_DECODE && !xdrs->x_handy)
		return TRUE;
	return xdr_string(xdrs, &v->zone, FLEET_NAME_MAX);
}

/*
 * Encodes and signs loads. Returns the length in bytes, or 0 if it does not
 * fit.
 */
size_t fleet_wire_encode_loads(const struct fleet_wire_loads *l,
			       const char *key, uint8_t *buf, size_t size)
{
	struct fleet_load list[FLEET_WIRE_MAX_LOADS];
	struct loads_and_zone w = {
		.loads = {.node = (char *)l->node,
			  .list = {.list_len = l->n, .list_val = list}},
		.zone = (char *)l->zone,
	};

	memcpy(w.loads.changed, l->changed, sizeof(w.loads.changed));
	for (uint32_t i = 0; i < l->n; i++) {
		list[i].server = l->load[i].server;
		list[i].decode = l->load[i].decode;
		list[i].prefill = l->load[i].prefill;
		list[i].in_flight = l->load[i].in_flight;
	}
	return encode(PROC_LOADS, (xdrproc_t)xdr_loads_and_zone, &w, key, buf,
		      size);
}

/*
 * Verifies and decodes loads into `l`, which is zeroed on an error. Returns
 * PEER_WIRE_OK or what was wrong.
 */
enum peer_wire_error fleet_wire_decode_loads(const uint8_t *buf, size_t len,
					     const char *key,
					     struct fleet_wire_loads *l)
{
	struct loads_and_zone w;
	enum peer_wire_error error;

	memset(&w, 0, sizeof(w));
	memset(l, 0, sizeof(*l));
	error = decode(PROC_LOADS, (xdrproc_t)xdr_loads_and_zone, &w, key, buf,
		       len);
	if (error == PEER_WIRE_OK) {
		g_strlcpy(l->node, w.loads.node, sizeof(l->node));
		g_strlcpy(l->zone, w.zone ? w.zone : "", sizeof(l->zone));
		memcpy(l->changed, w.loads.changed, sizeof(l->changed));
		l->n = MIN(w.loads.list.list_len, FLEET_WIRE_MAX_LOADS);
		for (uint32_t i = 0; i < l->n; i++) {
			const struct fleet_load *from =
				&w.loads.list.list_val[i];

			l->load[i].server = from->server;
			l->load[i].decode = from->decode;
			l->load[i].prefill = from->prefill;
			l->load[i].in_flight = from->in_flight;
		}
	}
	xdr_free((xdrproc_t)xdr_loads_and_zone, (char *)&w);
	return error;
}

#define MILLI_PER_UNIT 1000.0

/*
 * Encodes and signs limits of servers. Returns the length in bytes, or 0 if it
 * does not fit.
 */
size_t fleet_wire_encode_limits(const struct fleet_wire_limits *l,
				const char *key, uint8_t *buf, size_t size)
{
	struct fleet_limit list[FLEET_WIRE_MAX_LIMITS];
	struct fleet_limits w = {
		.node = (char *)l->node,
		.list = {.list_len = l->n, .list_val = list},
	};

	for (uint32_t i = 0; i < l->n; i++) {
		list[i].server = l->limit[i].server;
		list[i].per_s_milli = (u_int)MIN(
			l->limit[i].per_s * MILLI_PER_UNIT, UINT32_MAX);
		list[i].age_ms = l->limit[i].age_ms;
	}
	return encode(PROC_LIMITS, (xdrproc_t)xdr_fleet_limits, &w, key, buf,
		      size);
}

/*
 * Verifies and decodes limits of servers into `l`, which is zeroed on an error.
 * Returns PEER_WIRE_OK or what was wrong.
 */
enum peer_wire_error fleet_wire_decode_limits(const uint8_t *buf, size_t len,
					      const char *key,
					      struct fleet_wire_limits *l)
{
	struct fleet_limits w;
	enum peer_wire_error error;

	memset(&w, 0, sizeof(w));
	memset(l, 0, sizeof(*l));
	error = decode(PROC_LIMITS, (xdrproc_t)xdr_fleet_limits, &w, key, buf,
		       len);
	if (error == PEER_WIRE_OK) {
		g_strlcpy(l->node, w.node, sizeof(l->node));
		l->n = MIN(w.list.list_len, FLEET_WIRE_MAX_LIMITS);
		for (uint32_t i = 0; i < l->n; i++) {
			const struct fleet_limit *from = &w.list.list_val[i];

			l->limit[i].server = from->server;
			l->limit[i].per_s = from->per_s_milli / MILLI_PER_UNIT;
			l->limit[i].age_ms = from->age_ms;
		}
	}
	xdr_free((xdrproc_t)xdr_fleet_limits, (char *)&w);
	return error;
}

/*
 * Encodes and signs a source status. Returns the length in bytes, or 0 if it
 * does not fit.
 */
size_t fleet_wire_encode_source(const struct fleet_wire_source *s,
				const char *key, uint8_t *buf, size_t size)
{
	struct fleet_source w = {
		.node = (char *)s->node,
		.servers = s->servers,
	};

	memcpy(w.changed, s->changed, sizeof(w.changed));
	return encode(PROC_SOURCE, (xdrproc_t)xdr_fleet_source, &w, key, buf,
		      size);
}

/*
 * Verifies and decodes a source status into `s`, which is zeroed on an error.
 * Returns PEER_WIRE_OK or what was wrong.
 */
enum peer_wire_error fleet_wire_decode_source(const uint8_t *buf, size_t len,
					      const char *key,
					      struct fleet_wire_source *s)
{
	struct fleet_source w;
	enum peer_wire_error error;

	memset(&w, 0, sizeof(w));
	memset(s, 0, sizeof(*s));
	error = decode(PROC_SOURCE, (xdrproc_t)xdr_fleet_source, &w, key, buf,
		       len);
	if (error == PEER_WIRE_OK) {
		g_strlcpy(s->node, w.node, sizeof(s->node));
		s->servers = w.servers;
		memcpy(s->changed, w.changed, sizeof(s->changed));
	}
	xdr_free((xdrproc_t)xdr_fleet_source, (char *)&w);
	return error;
}

/*
 * Encodes and signs observations of crashes, whose times are ages. Returns the
 * length in bytes, or 0 if it does not fit.
 */
size_t fleet_wire_encode_crashes(const struct fleet_wire_crashes *m,
				 const char *key, uint8_t *buf, size_t size)
{
	struct fleet_crash list[FLEET_WIRE_MAX_CRASHES];
	struct fleet_answered_part answered[FLEET_WIRE_MAX_CRASHES];
	struct fleet_crashes w = {
		.node = (char *)m->node,
		.list = {.list_len = m->n, .list_val = list},
		.answered = {.answered_len = m->n_answered,
			     .answered_val = answered},
	};

	for (uint32_t i = 0; i < m->n; i++) {
		list[i].part = m->observation[i].key;
		list[i].server = m->observation[i].server;
		list[i].request = m->observation[i].request;
		list[i].depth = m->observation[i].depth;
		list[i].age_ms = (u_int)MIN(m->observation[i].at, UINT32_MAX);
	}
	for (uint32_t i = 0; i < m->n_answered; i++) {
		answered[i].part = m->answered[i];
		answered[i].age_ms =
			(u_int)MIN(m->answered_age_ms[i], UINT32_MAX);
	}
	return encode(PROC_CRASHES, (xdrproc_t)xdr_fleet_crashes, &w, key, buf,
		      size);
}

/*
 * Verifies and decodes observations of crashes into `m`, which is zeroed on an
 * error. Returns PEER_WIRE_OK or what was wrong.
 */
enum peer_wire_error fleet_wire_decode_crashes(const uint8_t *buf, size_t len,
					       const char *key,
					       struct fleet_wire_crashes *m)
{
	struct fleet_crashes w;
	enum peer_wire_error error;

	memset(&w, 0, sizeof(w));
	memset(m, 0, sizeof(*m));
	error = decode(PROC_CRASHES, (xdrproc_t)xdr_fleet_crashes, &w, key, buf,
		       len);
	if (error == PEER_WIRE_OK) {
		g_strlcpy(m->node, w.node, sizeof(m->node));
		m->n = MIN(w.list.list_len, FLEET_WIRE_MAX_CRASHES);
		for (uint32_t i = 0; i < m->n; i++) {
			const struct fleet_crash *from = &w.list.list_val[i];

			m->observation[i].key = from->part;
			m->observation[i].server = from->server;
			m->observation[i].request = from->request;
			m->observation[i].depth = from->depth;
			m->observation[i].at = from->age_ms;
		}
		m->n_answered =
			MIN(w.answered.answered_len, FLEET_WIRE_MAX_CRASHES);
		for (uint32_t i = 0; i < m->n_answered; i++) {
			m->answered[i] = w.answered.answered_val[i].part;
			m->answered_age_ms[i] =
				w.answered.answered_val[i].age_ms;
		}
	}
	xdr_free((xdrproc_t)xdr_fleet_crashes, (char *)&w);
	return error;
}

/*
 * Encodes and signs what servers said of being brittle. Returns the length in
 * bytes, or 0 if it does not fit.
 */
size_t fleet_wire_encode_brittle(const struct fleet_wire_brittle *m,
				 const char *key, uint8_t *buf, size_t size)
{
	struct fleet_brittle list[FLEET_WIRE_MAX_BRITTLE];
	struct fleet_brittle_list w = {
		.node = (char *)m->node,
		.list = {.list_len = m->n, .list_val = list},
	};

	for (uint32_t i = 0; i < m->n; i++) {
		const struct fleet_wire_brittle_notice *from = &m->notice[i];

		list[i].service = from->service;
		list[i].server = from->server;
		list[i].refusals_per_s_milli = (u_int)MIN(
			from->refusals_per_s * MILLI_PER_UNIT, UINT32_MAX);
		list[i].age_ms = from->age_ms;
	}
	return encode(PROC_BRITTLE, (xdrproc_t)xdr_fleet_brittle_list, &w, key,
		      buf, size);
}

/*
 * Verifies and decodes what servers said of being brittle into `m`, which is
 * zeroed on an error. Returns PEER_WIRE_OK or what was wrong.
 */
enum peer_wire_error fleet_wire_decode_brittle(const uint8_t *buf, size_t len,
					       const char *key,
					       struct fleet_wire_brittle *m)
{
	struct fleet_brittle_list w;
	enum peer_wire_error error;

	memset(&w, 0, sizeof(w));
	memset(m, 0, sizeof(*m));
	error = decode(PROC_BRITTLE, (xdrproc_t)xdr_fleet_brittle_list, &w, key,
		       buf, len);
	if (error == PEER_WIRE_OK) {
		g_strlcpy(m->node, w.node, sizeof(m->node));
		m->n = MIN(w.list.list_len, FLEET_WIRE_MAX_BRITTLE);
		for (uint32_t i = 0; i < m->n; i++) {
			const struct fleet_brittle *from = &w.list.list_val[i];

			m->notice[i].service = from->service;
			m->notice[i].server = from->server;
			m->notice[i].refusals_per_s =
				from->refusals_per_s_milli / MILLI_PER_UNIT;
			m->notice[i].age_ms = from->age_ms;
		}
	}
	xdr_free((xdrproc_t)xdr_fleet_brittle_list, (char *)&w);
	return error;
}

/*
 * Encodes and signs limits of load. Returns the length in bytes, or 0 if it
 * does not fit.
 */
size_t fleet_wire_encode_load_limits(const struct fleet_wire_load_limits *l,
				     const char *key, uint8_t *buf, size_t size)
{
	struct fleet_load_limit list[FLEET_WIRE_MAX_LOAD_LIMITS];
	struct fleet_load_limits w = {
		.node = (char *)l->node,
		.list = {.list_len = l->n, .list_val = list},
	};

	for (uint32_t i = 0; i < l->n; i++) {
		list[i].version_hash = l->limit[i].version;
		list[i].limit = l->limit[i].limit;
		list[i].age_ms = l->limit[i].age_ms;
	}
	return encode(PROC_LOAD_LIMITS, (xdrproc_t)xdr_fleet_load_limits, &w,
		      key, buf, size);
}

/*
 * Verifies and decodes limits of load into `l`, which is zeroed on an error.
 * Returns PEER_WIRE_OK or what was wrong.
 */
enum peer_wire_error
fleet_wire_decode_load_limits(const uint8_t *buf, size_t len, const char *key,
			      struct fleet_wire_load_limits *l)
{
	struct fleet_load_limits w;
	enum peer_wire_error error;

	memset(&w, 0, sizeof(w));
	memset(l, 0, sizeof(*l));
	error = decode(PROC_LOAD_LIMITS, (xdrproc_t)xdr_fleet_load_limits, &w,
		       key, buf, len);
	if (error == PEER_WIRE_OK) {
		g_strlcpy(l->node, w.node, sizeof(l->node));
		l->n = MIN(w.list.list_len, FLEET_WIRE_MAX_LOAD_LIMITS);
		for (uint32_t i = 0; i < l->n; i++) {
			l->limit[i].version = w.list.list_val[i].version_hash;
			l->limit[i].limit = w.list.list_val[i].limit;
			l->limit[i].age_ms = w.list.list_val[i].age_ms;
		}
	}
	xdr_free((xdrproc_t)xdr_fleet_load_limits, (char *)&w);
	return error;
}

/*
 * Encodes and signs the evacuated zones. Returns the length in bytes, or 0 if it
 * does not fit.
 */
size_t fleet_wire_encode_evacuations(const struct fleet_wire_evacuations *m,
				     const char *key, uint8_t *buf, size_t size)
{
	fleet_zone zones[FLEET_WIRE_MAX_ZONES];
	struct fleet_evacuations w = {
		.node = (char *)m->node,
		.revision = m->revision,
		.zones = {.zones_len = m->n, .zones_val = zones},
	};

	for (uint32_t i = 0; i < m->n; i++)
		zones[i] = (char *)m->zone[i];
	return encode(PROC_EVACUATIONS, (xdrproc_t)xdr_fleet_evacuations, &w,
		      key, buf, size);
}

/*
 * Verifies and decodes the evacuated zones into `m`, which is zeroed on an error.
 * Returns PEER_WIRE_OK or what was wrong.
 */
enum peer_wire_error
fleet_wire_decode_evacuations(const uint8_t *buf, size_t len, const char *key,
			      struct fleet_wire_evacuations *m)
{
	struct fleet_evacuations w;
	enum peer_wire_error error;

	memset(&w, 0, sizeof(w));
	memset(m, 0, sizeof(*m));
	error = decode(PROC_EVACUATIONS, (xdrproc_t)xdr_fleet_evacuations, &w,
		       key, buf, len);
	if (error == PEER_WIRE_OK) {
		g_strlcpy(m->node, w.node, sizeof(m->node));
		m->revision = w.revision;
		m->n = MIN(w.zones.zones_len, FLEET_WIRE_MAX_ZONES);
		for (uint32_t i = 0; i < m->n; i++)
			g_strlcpy(m->zone[i], w.zones.zones_val[i],
				  sizeof(m->zone[i]));
	}
	xdr_free((xdrproc_t)xdr_fleet_evacuations, (char *)&w);
	return error;
}
