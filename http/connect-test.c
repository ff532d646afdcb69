#include "http/connect-test.h"

#include <glib.h>

#include "http/address.h"

/* A connection that shows whether something listens at an address. */
struct connect_test {
	connect_test_cb cb;
	void *user;
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_timer_t timer;
	struct sockaddr_in address;
	uint32_t timeout_ms;
	unsigned int open_handles;
	enum connect_test_result result;
	bool ended;
};

static void on_closed(uv_handle_t *handle)
{
	struct connect_test *t = handle->data;

	if (--t->open_handles)
		return;
	t->cb(t->user, t->result);
	g_free(t);
}

static void end_test(struct connect_test *t, enum connect_test_result result)
{
	if (t->ended)
		return;
	t->ended = true;
	t->result = result;
	uv_close((uv_handle_t *)&t->tcp, on_closed);
	uv_close((uv_handle_t *)&t->timer, on_closed);
}

static void on_connect(uv_connect_t *req, int status)
{
	end_test(req->data,
		 status == 0 ? CONNECT_TEST_CONNECTED : CONNECT_TEST_FAILED);
}

static void on_timeout(uv_timer_t *timer)
{
	end_test(timer->data, CONNECT_TEST_FAILED);
}

static void begin(struct connect_test *t)
{
	uv_timer_start(&t->timer, on_timeout, t->timeout_ms, 0);
	if (uv_tcp_connect(&t->connect, &t->tcp, (struct sockaddr *)&t->address,
			   on_connect))
		end_test(t, CONNECT_TEST_NOT_TRIED);
}

static void on_delay_over(uv_timer_t *timer)
{
	begin(timer->data);
}

/*
 * Connects to "ip:port", sends nothing and closes. Calls cb once from the loop,
 * after both times at the latest. Returns false, without calling cb, if the
 * address is malformed.
 */
bool connect_test_start(uv_loop_t *loop, const char *address,
			struct connect_test_times times, connect_test_cb cb,
			void *user)
{
	struct sockaddr_in sa;
	struct connect_test *t;

	if (!address_parse(address, &sa, NULL))
		return false;
	t = g_new0(struct connect_test, 1);
	t->cb = cb;
	t->user = user;
	t->address = sa;
	t->timeout_ms = times.timeout_ms;
	t->open_handles = 2;
	t->tcp.data = t->timer.data = t->connect.data = t;
	uv_tcp_init(loop, &t->tcp);
	uv_timer_init(loop, &t->timer);
	if (times.delay_ms)
		uv_timer_start(&t->timer, on_delay_over, times.delay_ms, 0);
	else
		begin(t);
	return true;
}
