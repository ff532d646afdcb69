#include "exchange/exchange.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "exchange/intake-task.h"
#include "invariant.h"
#include "log-event.h"
#include "rollout/shift-task.h"

#define CONNECT_MS 250
#define MAX_HELD_BYTES (1024 * 1024)
#define MAX_UNSENT_BYTES (4 * 1024 * 1024)
#define KEPT_IDLE_MS 3000
#define KEPT_IDLE_ONCE_MS 400
#define MIN_LEFT_MS 5

static void attempt(struct exc *x);

static void free_exchange(struct exc *x)
{
	x->g->open_requests--;
	htm_fields_clear(&x->head);
	htm_fields_clear(&x->spare_head);
	g_string_free(x->body, TRUE);
	g_string_free(x->spare_body, TRUE);
	evs_clear(&x->events);
	rts_unref(x->routes);
	g_free(x->first_server);
	g_free(x->id);
	g_free(x);
}

/* The client has gone, or has all of its answer. */
static void on_gone(void *user)
{
	struct exc *x = user;

	x->req = NULL;
	if (x->call)
		hc_cancel(x->call);
}

static void end_exchange(struct exc *x)
{
	if (x->req)
		hs_watch_gone(x->req, NULL, NULL);
	free_exchange(x);
}

static void log_end(struct exc *x, int status, const char *outcome)
{
	uint64_t now = gwy_now(x->g);

	hst_add(&x->g->request_ms[x->route->kind],
		(double)(now - x->started_at));
	if (x->events.count)
		hst_add(&x->g->first_event_ms, x->first_ms);
	lge(LGE_REQUEST_ENDED,
	    "request=%s route=%s kind=%s org=%s service=%s server=%s model=%s "
	    "version=%s session=%016" G_GINT64_MODIFIER
	    "x status=%d outcome=%s attempts=%u verdict=%s first_ms=%.0f "
	    "ms=%" G_GUINT64_FORMAT " events=%" G_GUINT64_FORMAT
	    " config=%" G_GUINT64_FORMAT " servers=%" G_GUINT64_FORMAT "",
	    x->id, x->route->name, rts_kind_name(x->route->kind),
	    x->org ? x->org : "-", x->service,
	    x->first_server ? x->first_server : "-", x->model ? x->model : "-",
	    x->server_version ? x->server_version : "-", x->session, status,
	    outcome, x->retry.sent, vd_name(x->retry.verdict), x->first_ms,
	    now - x->started_at, x->events.count, x->routes->revision,
	    x->g->as_of[FED_SERVERS]);
}

/* Ends with an answer of our own. */
static void give_refusal(struct exc *x, const struct rty_refusal *r)
{
	log_end(x, r->status, r->reason);
	ctr_add(&x->g->ctr,
		x->retry.verdict == VD_NOT_RUN ? CTR_REFUSED_NOT_RUN
					       : CTR_REFUSED_MAY_HAVE_RUN,
		1);
	if (x->req)
		exc_refuse(x->g, x->req, r->status, vd_name(x->retry.verdict),
			   r->reason, r->retry_after_ms);
	end_exchange(x);
}

static bool is_kept_back(const struct exn *names, const char *name)
{
	return !g_ascii_strcasecmp(name, "content-length") ||
	       !g_ascii_strcasecmp(name, names->load) ||
	       !g_ascii_strcasecmp(name, names->not_run);
}

static void add_answer_headers(struct exc *x, const struct htm_fields *head)
{
	for (size_t i = 0; i < htm_fields_count(head); i++) {
		struct htm_field f = htm_field_at(head, i);

		if (!htm_is_hop_by_hop(head, f.name) &&
		    !is_kept_back(x->g->names, f.name))
			hs_add_header(x->req, f.name, f.value);
	}
}

static void give_whole(struct exc *x, int status, const struct htm_fields *head,
		       const GString *body, bool unframed)
{
	log_end(x, status, status < 400 ? "answered" : "server-failed");
	ctr_add(&x->g->ctr, CTR_ANSWERED, 1);
	if (x->req) {
		add_answer_headers(x, head);
		if (unframed)
			hs_leave_unframed(x->req);
		hs_reply(x->req, status, NULL, body->str, body->len);
	}
	end_exchange(x);
}

static void begin_answer(struct exc *x)
{
	if (x->begun || !x->req)
		return;
	x->begun = true;
	x->first_ms = (double)(gwy_now(x->g) - x->started_at);
	x->first_server = g_strdup(x->server->id);
	add_answer_headers(x, &x->head);
	if (x->unframed)
		hs_leave_unframed(x->req);
	x->begun_unframed = x->unframed;
	hs_begin(x->req, x->answer.status);
}

static void end_stream(struct exc *x)
{
	begin_answer(x);
	len_note(&x->g->lengths, x->route->name, x->events.count);
	log_end(x, x->answer.status, "answered");
	ctr_add(&x->g->ctr, CTR_ANSWERED, 1);
	if (x->req)
		hs_end(x->req);
	end_exchange(x);
}

static void break_off(struct exc *x, const char *reason)
{
	log_end(x, x->answer.status, reason);
	ctr_add(&x->g->ctr, CTR_BROKEN_OFF, 1);
	if (x->req)
		hs_abort(x->req);
	end_exchange(x);
}

static void keep_spare(struct exc *x)
{
	GString *body = x->spare_body;

	x->spare_status = x->answer.status;
	x->spare_unframed = x->unframed;
	htm_fields_copy(&x->spare_head, &x->head);
	x->spare_body = x->body;
	x->body = body;
}

static enum svt_outcome outcome_of(const struct exc *x, enum hc_end end)
{
	switch (x->answer.result) {
	case RTY_GOOD:
		return x->answer.status >= 500 ? SVT_FAILED : SVT_GOOD;
	case RTY_MISDIRECTED:
		return SVT_MISDIRECTED;
	case RTY_REFUSED:
		return SVT_REFUSED;
	case RTY_WEAK:
	case RTY_CANCELLED:
		return SVT_NEUTRAL;
	case RTY_UNSENT:
	case RTY_BROKEN:
		return end == HC_SILENT ? SVT_SILENT : SVT_FAILED;
	}
	return SVT_NEUTRAL;
}

/* Mean time between the attempt's events, 0 if it had too few. */
static double event_ms(const struct exc *x)
{
	if (x->attempt_events < 3)
		return 0;
	return (double)(x->last_event_at - x->first_event_at) /
	       (double)(x->attempt_events - 1);
}

/* Tells a roll-out of the service how the attempt went. */
static void add_evidence(struct exc *x)
{
	struct sft *shift = sht_find(x->g->shifts, x->service);
	struct sft_answer a = {
		.route = XXH3_64bits(x->route->name, strlen(x->route->name)),
		.failed = true,
		.fills = x->fills,
	};

	if (!shift || !x->sent_by_shift)
		return;
	if (x->answer.result == RTY_BROKEN)
		svt_on_broken(x->server, gwy_now(x->g));
	if (x->answer.result != RTY_GOOD)
		return;
	for (uint32_t n = svt_take_broken(x->server, x->attempt_at); n; n--)
		sft_on_answer(shift, x->version, &a);
	a.failed = x->answer.status >= 500;
	a.first_ms = x->head_ms;
	if (x->attempt_events)
		a.first_ms = (double)(x->first_event_at - x->attempt_at) + 0.5;
	a.event_ms = event_ms(x);
	a.load = (x->begin_load + svt_load(x->server, gwy_now(x->g))) / 2;
	sft_on_answer(shift, x->version, &a);
}

static void settle_server(struct exc *x, enum hc_end end)
{
	enum svt_outcome outcome = outcome_of(x, end);

	add_evidence(x);
	if (x->answer.result == RTY_GOOD && x->attempt_events > 4)
		svt_on_pace(&x->g->servers, x->server, &x->work, event_ms(x));
	svt_off_work(x->server, &x->work);
	if (x->route->kind == RTS_STREAMING)
		sht_note_session(x->g->shifts, gwy_now(x->g), x->service,
				 x->session, x->server->version);
	if (outcome == SVT_SILENT && gwy_now(x->g) >= x->deadline)
		outcome = SVT_NEUTRAL;
	svt_on_end(&x->g->servers, x->server, gwy_now(x->g), outcome,
		   x->streamed ? 0 : x->head_ms);
}

static struct rty_situation situation_of(const struct exc *x)
{
	const struct rty_situation s = {
		.now = gwy_now(x->g),
		.deadline = x->deadline,
		.begun = x->begun,
		.client_gone = !x->req,
		.has_spare = x->spare_status != 0,
	};

	return s;
}

static void log_attempt(const struct exc *x, enum hc_end end,
			enum rty_step step)
{
	lge(LGE_ATTEMPT_FAILED,
	    "request=%s server=%s address=%s attempt=%u result=%s end=%s "
	    "status=%d "
	    "ms=%" G_GUINT64_FORMAT " last_event=%" G_GUINT64_FORMAT
	    " next=%s load=%.0f",
	    x->id, x->server->id, x->server->address, x->retry.sent,
	    rty_result_name(x->answer.result), hc_end_name(end),
	    x->answer.status, gwy_now(x->g) - x->attempt_at, x->events.last_id,
	    rty_step_name(step), svt_load(x->server, gwy_now(x->g)));
}

/* Decides how the request goes on after an attempt, and does it. */
static void go_on(struct exc *x, enum hc_end end)
{
	struct gwy *g = x->g;
	const struct rty_situation s = situation_of(x);
	enum rty_step step = rty_after(&x->retry, &x->answer, &s);

	if (step == RTY_AGAIN && x->answer.result != RTY_UNSENT &&
	    x->answer.result != RTY_WEAK &&
	    !bud_take(&g->budget, gwy_now(g), x->service)) {
		lge(LGE_RETRY_DENIED, "request=%s service=%s", x->id,
		    x->service);
		step = rty_without_budget(&x->retry, &x->answer, &s);
	}
	if (x->answer.result != RTY_WEAK &&
	    (x->answer.result != RTY_GOOD || step != RTY_DELIVER))
		log_attempt(x, end, step);
	x->server = NULL;
	switch (step) {
	case RTY_DELIVER:
		give_whole(x, x->answer.status, &x->head, x->body, x->unframed);
		return;
	case RTY_DELIVER_SPARE:
		give_whole(x, x->spare_status, &x->spare_head, x->spare_body,
			   x->spare_unframed);
		return;
	case RTY_AGAIN:
		if (x->answer.result == RTY_GOOD)
			keep_spare(x);
		ctr_add(&g->ctr, x->begun ? CTR_RESUMES : CTR_RETRIES, 1);
		attempt(x);
		return;
	case RTY_BREAK_OFF:
		break_off(x, "broken-off");
		return;
	case RTY_REFUSE: {
		const struct rty_refusal r = rty_refusal(&x->retry, &s);

		give_refusal(x, &r);
		return;
	}
	case RTY_FORGET:
		log_end(x, 0, "client-gone");
		end_exchange(x);
		return;
	}
}

static void on_done(void *user, enum hc_end end)
{
	struct exc *x = user;

	x->call = NULL;
	rty_on_end(&x->answer, end == HC_WHOLE, end == HC_NOT_SENT,
		   !x->req && end == HC_CANCELLED);
	if (x->answer.result == RTY_GOOD && x->streamed &&
	    (x->events.mid_event || x->fault != EVS_OK ||
	     (x->unframed && x->begun && !x->begun_unframed)))
		x->answer.result = RTY_BROKEN;
	settle_server(x, end);
	if (x->answer.result == RTY_GOOD && x->streamed) {
		rty_on_answer(&x->retry, &x->answer);
		end_stream(x);
		return;
	}
	go_on(x, end);
}

/* Reads "running,waiting,slots". */
static void take_load(struct exc *x, const char *value)
{
	unsigned int running, waiting, slots;

	if (value && sscanf(value, "%u,%u,%u", &running, &waiting, &slots) == 3)
		svt_on_load(x->server, gwy_now(x->g), running, waiting, slots);
}

static enum csc_choice choose_answer(struct exc *x, const char *confidence,
				     double chance)
{
	struct gwy *g = x->g;
	const struct rty_situation s = situation_of(x);
	enum csc_choice choice = csc_judge(&g->cascade, x->route,
					   x->model_index, confidence, chance);

	if (choice != CSC_DROP)
		return choice;
	if (!rty_may_repeat_now(&x->retry, &s))
		return CSC_KEEP_LAST;
	return bud_take(&g->budget, s.now, x->service) ? CSC_DROP
						       : CSC_KEEP_BUDGET;
}

/*
 * Drops the answer of a small model that holds it for poor, while the client
 * has none of it, and names the largest model for the next attempt.
 */
static bool drop_for_larger(struct exc *x, const struct htm_fields *fields)
{
	const char *confidence = htm_find(fields, x->g->names->confidence);
	enum csc_choice choice;
	size_t largest;
	double chance;

	if (!x->model || x->begun || !x->req ||
	    csc_is_enough(&x->g->cascade, x->route, x->model_index, confidence))
		return false;
	largest = x->route->n_models - 1;
	chance = exc_chance_on_time(x, gwy_now(x->g), largest);
	choice = choose_answer(x, confidence, chance);
	lge(LGE_WEAK_ANSWER,
	    "request=%s model=%s confidence=%s wanted=%.0f larger=%s "
	    "chance=%.2f tokens=%u ms=%" G_GUINT64_FORMAT " choice=%s",
	    x->id, x->model, confidence,
	    100 * csc_target(&x->g->cascade, x->route->priority),
	    x->route->models[largest], chance, x->prompt.input_tokens,
	    gwy_now(x->g) - x->started_at, csc_choice_name(choice));
	if (choice != CSC_DROP)
		return false;
	x->model_index = largest;
	x->model = x->route->models[largest];
	x->answer.result = RTY_WEAK;
	ctr_add(&x->g->ctr, CTR_ESCALATIONS, 1);
	return true;
}

static void on_head(void *user, const struct hc_head *head)
{
	struct exc *x = user;
	const struct exn *names = x->g->names;
	const char *id = htm_find(head->fields, names->request_id);
	const char *type = htm_find(head->fields, "content-type");
	const struct rty_head h = {
		.status = head->status,
		.has_id = id != NULL,
		.is_ours = id && !strcmp(id, x->id),
		.not_run = htm_find(head->fields, names->not_run) != NULL,
		.receipt = htm_find(head->fields, names->receipt) != NULL,
		.encoded = htm_find(head->fields, "content-encoding") != NULL,
	};

	x->head_ms = (double)(gwy_now(x->g) - x->attempt_at) + 0.5;
	take_load(x, htm_find(head->fields, names->load));
	if (!rty_on_head(&x->answer, &h)) {
		hc_cancel(x->call);
		return;
	}
	x->unframed = !head->framed;
	x->streamed = head->status == 200 && type &&
		      g_str_has_prefix(type, "text/event-stream");
	if (x->streamed && drop_for_larger(x, head->fields)) {
		hc_cancel(x->call);
		return;
	}
	/* A stream that goes on elsewhere keeps the head of its first server. */
	if (!x->begun)
		htm_fields_copy(&x->head, head->fields);
	else if (!x->streamed)
		x->answer.no_continuation = true;
}

static void pass_event(void *user, const char *data, size_t len)
{
	struct exc *x = user;

	begin_answer(x);
	x->last_event_at = gwy_now(x->g);
	if (!x->attempt_events++) {
		x->first_event_at = x->last_event_at;
		svt_on_first(&x->g->servers, &x->work,
			     (double)(x->first_event_at - x->attempt_at));
		svt_on_read(x->server, &x->work);
	}
	if (x->call)
		hc_set_progress(x->call, rty_gap_ms(&x->retry, x->route));
	if (x->req)
		hs_write(x->req, data, len);
}

static void on_data(void *user, const char *data, size_t len)
{
	struct exc *x = user;

	if (x->answer.result != RTY_GOOD)
		return;
	if (!x->streamed) {
		g_string_append_len(x->body, data, (gssize)len);
		if (x->body->len > MAX_HELD_BYTES)
			x->answer.too_large = true;
	} else {
		x->fault = evs_take(&x->events, data, len, pass_event, x);
	}
	if (x->fault != EVS_OK || x->answer.too_large ||
	    (x->req && hs_unsent(x->req) > MAX_UNSENT_BYTES)) {
		x->answer.result = RTY_BROKEN;
		if (x->call)
			hc_cancel(x->call);
	}
}

static const struct hc_events server_events = {on_head, on_data, on_done};

/*
 * Returns the name of the kept connections to a server, newly allocated: an
 * address may come to belong to another one.
 */
char *exc_pool_name(const struct svt_server *s)
{
	return g_strdup_printf("%s/%s", s->address, s->id);
}

static void call_server(struct exc *x, uint64_t now)
{
	struct gwy *g = x->g;
	g_autofree char *headers = exc_request_headers(x, now);
	g_autofree char *pool = exc_pool_name(x->server);
	size_t len;
	const char *body = hs_body(x->req, &len);
	bool repeatable = rts_may_repeat(x->route);
	uint32_t left = (uint32_t)(x->deadline - now);
	uint32_t first =
		rty_first_ms(&x->retry, x->route, x->prompt.input_tokens);
	struct hc_request req = {
		.address = x->server->address,
		.pool = pool,
		.method = hs_method(x->req),
		.path = hs_path(x->req),
		.headers = headers,
		.body = body,
		.len = len,
		.connect_ms = MIN(CONNECT_MS, left),
		.first_ms = MIN(first, left),
		.progress_ms = first,
		.total_ms = left,
		.max_idle_ms = repeatable ? KEPT_IDLE_MS : KEPT_IDLE_ONCE_MS,
		.own_host = true,
		.no_length =
			!len && !htm_find(hs_fields(x->req), "content-length"),
		.id_name = g->names->request_id,
		.id_value = x->id,
	};

	ctr_add(&g->ctr, CTR_ATTEMPTS, 1);
	x->attempt_at = now;
	x->call = hc_start(g->http, &req, &server_events, x);
}

/* Sends the request to a server; without one it ends here. */
static void attempt(struct exc *x)
{
	uint64_t now = gwy_now(x->g);
	struct sft *shift;
	const struct rty_situation s = situation_of(x);

	INVARIANT(rty_may_send(&x->retry),
		  "exchange: no second send of what may have run");
	x->server = now + MIN_LEFT_MS < x->deadline ? exc_pick(x, now) : NULL;
	if (!x->server) {
		struct rty_refusal r = rty_refusal(&x->retry, &s);

		if (x->begun)
			break_off(x, "no-server");
		else if (x->spare_status)
			give_whole(x, x->spare_status, &x->spare_head,
				   x->spare_body, x->spare_unframed);
		else
			give_refusal(x, &r);
		return;
	}
	INVARIANT(x->server->state == SVT_READY,
		  "exchange: no new work for a leaving server");
	if (x->n_tried < PCK_MAX_TRIED)
		x->tried[x->n_tried++] = x->server->hash;
	rty_begin(&x->retry, &x->answer);
	g_string_truncate(x->body, 0);
	evs_restart(&x->events);
	x->streamed = false;
	x->fault = EVS_OK;
	x->head_ms = 0;
	x->attempt_events = 0;
	svt_on_start(x->server);
	svt_on_work(x->server, &x->work);
	x->begin_load = svt_load(x->server, now);
	x->server_version = g_intern_string(x->server->version);
	shift = sht_find(x->g->shifts, x->service);
	if (shift && x->sent_by_shift)
		sft_on_sent(shift, x->version);
	if (x->route->kind == RTS_STREAMING)
		sht_note_session(x->g->shifts, now, x->service, x->session,
				 x->server->version);
	call_server(x, now);
}

static uint64_t deadline_of(const struct gwy *g, struct hs_req *req,
			    const struct rts_route *route, uint64_t now)
{
	const char *value = hs_header(req, g->names->deadline);
	uint64_t ms = route->timeout_ms;

	if (value && g_ascii_isdigit(*value))
		ms = MIN(ms, g_ascii_strtoull(value, NULL, 10));
	return now + ms;
}

static void choose_model(struct exc *x)
{
	const char *asked = hs_header(x->req, x->g->names->model);

	if (!x->route->n_models || !asked ||
	    strcmp(asked, x->g->names->any_model) != 0)
		return;
	x->model_index = x->events.has_last
				 ? x->route->n_models - 1
				 : csc_first(&x->g->cascade, x->route);
	x->model = x->route->models[x->model_index];
}

static struct exc *new_exchange(struct gwy *g, struct hs_req *req,
				const struct rts_route *route, rts_handle org,
				const char *id)
{
	struct exc *x = g_new0(struct exc, 1);
	const char *last_event = hs_header(req, g->names->last_event);
	const char *session = hs_header(req, g->names->session);

	x->g = g;
	x->req = req;
	x->routes = rts_ref(g->routes);
	x->route = route;
	x->id = g_strdup(id);
	x->started_at = gwy_now(g);
	x->deadline = deadline_of(g, req, route, x->started_at);
	x->urgency = route->priority;
	if (org != RTS_NONE) {
		x->org = g->routes->orgs[org].name;
		if (g->routes->orgs[org].has_priority)
			x->urgency = g->routes->orgs[org].priority;
	}
	x->urgency = MIN(x->urgency, 9);
	prm_parse(&x->prompt, hs_header(req, g->names->prefix),
		  hs_header(req, g->names->tokens));
	x->session = session ? XXH3_64bits(session, strlen(session))
			     : x->prompt.session;
	rty_init(&x->retry, route);
	htm_fields_init(&x->head);
	htm_fields_init(&x->spare_head);
	x->body = g_string_new(NULL);
	x->spare_body = g_string_new(NULL);
	evs_init(&x->events);
	if (last_event && g_ascii_isdigit(*last_event))
		evs_start_after(&x->events,
				g_ascii_strtoull(last_event, NULL, 10));
	g->open_requests++;
	return x;
}

/* Takes a request that is allowed; it ends by itself. */
void exc_start(struct gwy *g, struct hs_req *req, const struct rts_route *route,
	       rts_handle org, const char *id)
{
	struct exc *x = new_exchange(g, req, route, org, id);
	rts_handle service = rts_split(route, rng_next(&g->rng));
	struct sft *shift;

	x->service = g->routes->services[service].name;
	choose_model(x);
	bud_on_request(&g->budget, gwy_now(g), x->service);
	shift = sht_find(g->shifts, x->service);
	if (shift)
		sft_on_request(shift);
	hs_watch_gone(req, on_gone, x);
	attempt(x);
}
