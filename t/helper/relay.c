/*
 * Stand-in for the network between two processes: passes TCP connections from
 * one address on to another. POST /control to its control address with
 *   {"mode":"pass"}     passes bytes (new connections and those not silenced)
 *   {"mode":"silence"}  silences all open connections for good; new ones pass
 *   {"mode":"cut"}      silences open connections and all new ones
 *   {"mode":"reset"}    closes open connections; new ones pass
 */
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <uv.h>

#include "http/address.h"
#include "http/server.h"
#include "json-check.h"

#define BACKLOG 512
#define CHUNK 65536

struct pair {
	uv_tcp_t in; /* from the caller */
	uv_tcp_t out; /* to the target */
	uv_connect_t connect;
	bool silent;
	bool closing;
	int open; /* handles not yet closed */
};

struct write {
	uv_write_t req;
	char *bytes;
};

static uv_loop_t *loop;
static struct sockaddr_in target;
static GList *pairs;
static bool cut;

static void on_closed(uv_handle_t *h)
{
	struct pair *p = h->data;

	if (--p->open == 0) {
		pairs = g_list_remove(pairs, p);
		g_free(p);
	}
}

static void close_pair(struct pair *p)
{
	if (p->closing)
		return;
	p->closing = true;
	uv_close((uv_handle_t *)&p->in, on_closed);
	uv_close((uv_handle_t *)&p->out, on_closed);
}

static void on_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	(void)h;
	(void)size;
	*buf = uv_buf_init(g_malloc(CHUNK), CHUNK);
}

static void on_written(uv_write_t *req, int status)
{
	struct write *w = (struct write *)req;

	(void)status;
	g_free(w->bytes);
	g_free(w);
}

static void pass_on(uv_stream_t *to, char *bytes, size_t len)
{
	struct write *w = g_new0(struct write, 1);
	uv_buf_t buf = uv_buf_init(bytes, (unsigned int)len);

	w->bytes = bytes;
	if (uv_write(&w->req, to, &buf, 1, on_written) != 0)
		on_written(&w->req, 0);
}

static void on_read(uv_stream_t *from, ssize_t len, const uv_buf_t *buf)
{
	struct pair *p = from->data;
	uv_stream_t *to = from == (uv_stream_t *)&p->in ? (uv_stream_t *)&p->out
							: (uv_stream_t *)&p->in;

	if (len <= 0 || p->silent || p->closing) {
		g_free(buf->base);
		if (len < 0 && !p->silent)
			close_pair(p);
		else if (len < 0)
			uv_read_stop(from);
		return;
	}
	pass_on(to, buf->base, (size_t)len);
}

static void on_connected(uv_connect_t *req, int status)
{
	struct pair *p = req->data;

	if (p->closing)
		return;
	if (status != 0) {
		close_pair(p);
		return;
	}
	uv_read_start((uv_stream_t *)&p->in, on_alloc, on_read);
	uv_read_start((uv_stream_t *)&p->out, on_alloc, on_read);
}

static void on_accept(uv_stream_t *listener, int status)
{
	struct pair *p;

	if (status != 0)
		return;
	p = g_new0(struct pair, 1);
	p->silent = cut;
	p->open = 2;
	p->in.data = p->out.data = p->connect.data = p;
	uv_tcp_init(loop, &p->in);
	uv_tcp_init(loop, &p->out);
	pairs = g_list_append(pairs, p);
	if (uv_accept(listener, (uv_stream_t *)&p->in) != 0) {
		close_pair(p);
		return;
	}
	uv_tcp_nodelay(&p->in, 1);
	uv_tcp_nodelay(&p->out, 1);
	if (!cut)
		uv_tcp_connect(&p->connect, &p->out, (struct sockaddr *)&target,
			       on_connected);
}

static void on_control(void *owner, struct http_server_request *req)
{
	size_t len;
	const char *bytes = http_server_body(req, &len);
	g_autofree char *text = g_strndup(bytes, len);
	struct json_object *o = json_tokener_parse(text);
	const char *mode = jcheck_get_string(o, "mode", "pass");
	GList *all = g_list_copy(pairs);

	(void)owner;
	cut = !strcmp(mode, "cut");
	for (GList *l = all; l; l = l->next) {
		struct pair *p = l->data;

		if (!strcmp(mode, "reset"))
			close_pair(p);
		else if (cut || !strcmp(mode, "silence"))
			p->silent = true;
	}
	g_list_free(all);
	json_object_put(o);
	http_server_reply_json(req, 200, "{}");
}

static void on_signal(uv_signal_t *sig, int num)
{
	(void)num;
	uv_stop(sig->loop);
}

int main(int argc, char **argv)
{
	struct sockaddr_in listen_at;
	uv_tcp_t listener;
	uv_signal_t sig;
	GError *err = NULL;

	if (argc != 4 || !address_parse(argv[1], &listen_at, &err) ||
	    !address_parse(argv[2], &target, &err)) {
		fprintf(stderr, "usage: relay LISTEN TARGET CONTROL\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	loop = uv_default_loop();
	uv_tcp_init(loop, &listener);
	if (uv_tcp_bind(&listener, (struct sockaddr *)&listen_at, 0) ||
	    uv_listen((uv_stream_t *)&listener, BACKLOG, on_accept) ||
	    !http_server_listen(loop, argv[3], CHUNK, 10000, on_control, NULL,
				&err)) {
		fprintf(stderr, "relay: cannot listen\n");
		return 1;
	}
	uv_signal_init(loop, &sig);
	uv_signal_start(&sig, on_signal, SIGTERM);
	uv_run(loop, UV_RUN_DEFAULT);
	return 0;
}
