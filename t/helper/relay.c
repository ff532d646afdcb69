/*
 * Test stand-in for the network between two processes: forwards TCP connections
 * from one address to another. POST /control to its control address with
 *   {"mode":"pass"}     forwards new connections; silenced ones stay silent
 *   {"mode":"silence"}  silences open connections for good; forwards new ones
 *   {"mode":"cut"}      silences open connections and all new ones
 *   {"mode":"reset"}    closes open connections; forwards new ones
 *   {"mode":"repeat"}   from now on, when a client sends again on a connection,
 *                       first sends it a second copy of the last answer there
 * A silenced connection stays open and drops what it receives.
 */
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <uv.h>

#include "http/address.h"
#include "http/server.h"
#include "json-check.h"

#define LISTEN_BACKLOG 512
#define CHUNK_BYTES 65536
#define HEAD_TIMEOUT_MS 10000

/* A client's connection and the one that it is forwarded to. */
struct link {
	uv_tcp_t client; /* accepted from the client */
	uv_tcp_t server; /* connected to the target */
	uv_connect_t connect;
	GString *answer; /* what the server sent since the client did */
	bool answered; /* the server has sent since the client did */
	bool silent;
	bool closing;
	int open_handles; /* not yet closed */
};

struct pending_write {
	uv_write_t req;
	char *bytes;
};

static uv_loop_t *loop;
static struct sockaddr_in target;
static GList *links;
static bool silence_new; /* connections, by mode "cut" */
static bool repeat_answers;

static void on_closed(uv_handle_t *h)
{
	struct link *link = h->data;

	if (--link->open_handles == 0) {
		links = g_list_remove(links, link);
		g_string_free(link->answer, TRUE);
		g_free(link);
	}
}

static void close_link(struct link *link)
{
	if (link->closing)
		return;
	link->closing = true;
	uv_close((uv_handle_t *)&link->client, on_closed);
	uv_close((uv_handle_t *)&link->server, on_closed);
}

static void on_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	(void)h;
	(void)size;
	*buf = uv_buf_init(g_malloc(CHUNK_BYTES), CHUNK_BYTES);
}

static void on_written(uv_write_t *req, int status)
{
	struct pending_write *w = (struct pending_write *)req;

	(void)status;
	g_free(w->bytes);
	g_free(w);
}

static void forward(uv_stream_t *to, char *bytes, size_t len)
{
	struct pending_write *w = g_new0(struct pending_write, 1);
	uv_buf_t buf = uv_buf_init(bytes, (unsigned int)len);

	w->bytes = bytes;
	if (uv_write(&w->req, to, &buf, 1, on_written) != 0)
		on_written(&w->req, 0);
}

/* Keeps the last answer, and sends its copy if the client sends again. */
static void keep_or_repeat(struct link *link, bool from_client,
			   const char *bytes, size_t len)
{
	if (!from_client) {
		if (!link->answered)
			g_string_truncate(link->answer, 0);
		link->answered = true;
		g_string_append_len(link->answer, bytes, (gssize)len);
		return;
	}
	if (repeat_answers && link->answered)
		forward((uv_stream_t *)&link->client,
			g_memdup2(link->answer->str, link->answer->len),
			link->answer->len);
	link->answered = false;
}

static void on_read(uv_stream_t *from, ssize_t len, const uv_buf_t *buf)
{
	struct link *link = from->data;
	uv_stream_t *to = from == (uv_stream_t *)&link->client
				  ? (uv_stream_t *)&link->server
				  : (uv_stream_t *)&link->client;

	if (len <= 0 || link->silent || link->closing) {
		g_free(buf->base);
		if (len < 0 && !link->silent)
			close_link(link);
		else if (len < 0)
			uv_read_stop(from);
		return;
	}
	keep_or_repeat(link, from == (uv_stream_t *)&link->client, buf->base,
		       (size_t)len);
	forward(to, buf->base, (size_t)len);
}

static void on_connected(uv_connect_t *req, int status)
{
	struct link *link = req->data;

	if (link->closing)
		return;
	if (status != 0) {
		close_link(link);
		return;
	}
	uv_read_start((uv_stream_t *)&link->client, on_alloc, on_read);
	uv_read_start((uv_stream_t *)&link->server, on_alloc, on_read);
}

static void on_accept(uv_stream_t *listener, int status)
{
	struct link *link;

	if (status != 0)
		return;
	link = g_new0(struct link, 1);
	link->silent = silence_new;
	link->answer = g_string_new(NULL);
	link->open_handles = 2;
	link->client.data = link->server.data = link->connect.data = link;
	uv_tcp_init(loop, &link->client);
	uv_tcp_init(loop, &link->server);
	links = g_list_append(links, link);
	if (uv_accept(listener, (uv_stream_t *)&link->client) != 0) {
		close_link(link);
		return;
	}
	uv_tcp_nodelay(&link->client, 1);
	uv_tcp_nodelay(&link->server, 1);
	if (!silence_new)
		uv_tcp_connect(&link->connect, &link->server,
			       (struct sockaddr *)&target, on_connected);
}

static void on_control(void *owner, struct http_server_request *req)
{
	size_t len;
	const char *bytes = http_server_body(req, &len);
	g_autofree char *text = g_strndup(bytes, len);
	struct json_object *o = json_tokener_parse(text);
	const char *mode = jcheck_get_string(o, "mode", "pass");
	GList *links_now = g_list_copy(links);

	(void)owner;
	silence_new = !strcmp(mode, "cut");
	repeat_answers = !strcmp(mode, "repeat");
	for (GList *l = links_now; l; l = l->next) {
		struct link *link = l->data;

		if (!strcmp(mode, "reset"))
			close_link(link);
		else if (silence_new || !strcmp(mode, "silence"))
			link->silent = true;
	}
	g_list_free(links_now);
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
	struct sockaddr_in listen_address;
	uv_tcp_t listener;
	uv_signal_t sig;
	GError *err = NULL;

	if (argc != 4 || !address_parse(argv[1], &listen_address, &err) ||
	    !address_parse(argv[2], &target, &err)) {
		fprintf(stderr, "usage: relay LISTEN TARGET CONTROL\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	loop = uv_default_loop();
	uv_tcp_init(loop, &listener);
	if (uv_tcp_bind(&listener, (struct sockaddr *)&listen_address, 0) ||
	    uv_listen((uv_stream_t *)&listener, LISTEN_BACKLOG, on_accept) ||
	    !http_server_listen(loop, argv[3], CHUNK_BYTES, HEAD_TIMEOUT_MS,
				on_control, NULL, &err)) {
		fprintf(stderr, "relay: cannot listen\n");
		return 1;
	}
	uv_signal_init(loop, &sig);
	uv_signal_start(&sig, on_signal, SIGTERM);
	uv_run(loop, UV_RUN_DEFAULT);
	return 0;
}
