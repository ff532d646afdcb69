// Tests the HTTP client against a server on a real socket: responses without a
// length, responses to other requests and reused connections. Tests the
// validation of request heads and the classification of header fields.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <poll.h>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

extern "C" {
#include "http/client.h"
#include "http/message.h"
#include "verdict.h"
}

namespace {

// A server in the test's own thread: the test decides when it sends bytes and
// closes connections.
struct TestServer {
	int listen_fd, conn_fd = -1;
	std::string address;
	TestServer()
	{
		sockaddr_in sa = {};
		socklen_t len = sizeof(sa);
		listen_fd = socket(AF_INET, SOCK_STREAM, 0);
		sa.sin_family = AF_INET;
		sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		bind(listen_fd, (sockaddr *)&sa, sizeof(sa));
		listen(listen_fd, 8);
		getsockname(listen_fd, (sockaddr *)&sa, &len);
		address = "127.0.0.1:" + std::to_string(ntohs(sa.sin_port));
	}
	~TestServer()
	{
		close(listen_fd);
		if (conn_fd >= 0)
			close(conn_fd);
	}
	bool is_readable(int sock) const
	{
		pollfd p = {sock, POLLIN, 0};
		return poll(&p, 1, 0) > 0;
	}
	void send_bytes(const std::string &s)
	{
		ASSERT_EQ(send(conn_fd, s.data(), s.size(), MSG_NOSIGNAL),
			  (ssize_t)s.size());
	}
	void close_connection()
	{
		close(conn_fd);
		conn_fd = -1;
	}
	void reset_connection()
	{
		linger l = {1, 0};
		setsockopt(conn_fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
		close_connection();
	}
};

struct TestClient {
	uv_loop_t loop;
	http_client *http;
	TestServer server;
	int status = 0;
	std::string body;
	int outcome = -1; // http_client_outcome; -1: none yet
	http_client_call *call = nullptr;
	TestClient()
	{
		uv_loop_init(&loop);
		http = http_client_new(&loop);
	}
	static void on_head(void *u, const http_client_head *head)
	{
		static_cast<TestClient *>(u)->status = head->status;
	}
	static void on_data(void *u, const char *data, size_t len)
	{
		static_cast<TestClient *>(u)->body.append(data, len);
	}
	static void on_done(void *u, http_client_outcome result)
	{
		static_cast<TestClient *>(u)->outcome = result;
	}
	void start(const char *request_id, uint32_t total_ms = 0,
		   const std::string &upload = "")
	{
		static const http_client_callbacks callbacks = {
			on_head, on_data, on_done};
		http_client_request r = {};
		status = 0;
		body.clear();
		outcome = -1;
		r.address = server.address.c_str();
		r.method = "GET";
		r.path = "/";
		r.connect_ms = r.progress_ms = 2000;
		r.total_ms = total_ms;
		r.body = upload.data();
		r.len = upload.size();
		r.correlation_header = "id";
		r.correlation_value = request_id;
		call = http_client_start(http, &r, &callbacks, this);
	}
	// Runs the loop until the server has read the request.
	void wait_for_request(bool new_connection = true)
	{
		char bytes[4096];
		for (int i = 0; i < 1000 && new_connection; i++) {
			uv_run(&loop, UV_RUN_NOWAIT);
			if (server.is_readable(server.listen_fd)) {
				server.conn_fd = accept(server.listen_fd,
							nullptr, nullptr);
				break;
			}
			usleep(1000);
		}
		for (int i = 0; i < 1000; i++) {
			uv_run(&loop, UV_RUN_NOWAIT);
			if (server.is_readable(server.conn_fd)) {
				ASSERT_GT(read(server.conn_fd, bytes,
					       sizeof(bytes)),
					  0);
				return;
			}
			usleep(1000);
		}
		FAIL() << "the request did not arrive";
	}
	int wait_for_outcome()
	{
		// Lets all that the server has sent or closed reach the client's
		// socket first.
		usleep(20000);
		for (int i = 0; i < 3000 && outcome < 0; i++) {
			uv_run(&loop, UV_RUN_NOWAIT);
			usleep(1000);
		}
		return outcome;
	}
};

const char *kUnframed = "HTTP/1.1 200 OK\r\nid: a\r\n\r\nsome bytes";
const char *kFramed =
	"HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 4\r\n\r\nbody";

TEST(Client, ResponseWithoutLengthIsCompleteAfterOrderlyClose)
{
	TestClient c;
	c.start("a");
	c.wait_for_request();
	c.server.send_bytes(kUnframed);
	c.server.close_connection();
	EXPECT_EQ(c.wait_for_outcome(), HTTP_CLIENT_COMPLETE);
	EXPECT_EQ(c.body, "some bytes");
}

// Responses with these statuses have no body, whatever length they state.
TEST(Client, NotModifiedIsCompleteWithoutTheBodyWhoseLengthItStates)
{
	TestClient c;
	c.start("a");
	c.wait_for_request();
	c.server.send_bytes("HTTP/1.1 304 Not Modified\r\nid: a\r\n"
			    "Content-Length: 9\r\n\r\n");
	EXPECT_EQ(c.wait_for_outcome(), HTTP_CLIENT_COMPLETE);
	EXPECT_EQ(c.body, "");
}

// After a short read libuv reports a reset as an orderly close, by which a cut
// response without a length would count as complete.
TEST(Client, ResponseWithoutLengthIsInterruptedByReset)
{
	TestClient c;
	c.start("a");
	c.wait_for_request();
	c.server.send_bytes(kUnframed);
	c.server.reset_connection();
	EXPECT_EQ(c.wait_for_outcome(), HTTP_CLIENT_INTERRUPTED);
}

// Guards against an early response that looks complete though its server has
// reset the connection while the request was still being written.
TEST(Client, EarlyResponseWithoutLengthIsInterruptedByReset)
{
	const std::string upload(16 << 20, 'x');
	for (int fin_first = 0; fin_first < 2; fin_first++)
		for (int pause = 0; pause < 2; pause++) {
			TestClient c;
			c.start("a", 0, upload);
			c.wait_for_request();
			c.server.send_bytes(kUnframed);
			if (fin_first)
				shutdown(c.server.conn_fd, SHUT_WR);
			for (int i = 0; pause && i < 20; i++) {
				uv_run(&c.loop, UV_RUN_NOWAIT);
				usleep(1000);
			}
			// Bytes of the request are unread: a reset.
			c.server.close_connection();
			EXPECT_EQ(c.wait_for_outcome(), HTTP_CLIENT_INTERRUPTED)
				<< "fin " << fin_first << " pause " << pause;
		}
}

// Guards against the loss of a response that ends in order before its server has
// read the whole request.
TEST(Client, EarlyResponseWithoutLengthIsCompleteOnceTheRequestIsRead)
{
	const std::string upload(16 << 20, 'x');
	std::string bytes(1 << 20, '\0');
	TestClient c;
	c.start("a", 0, upload);
	c.wait_for_request();
	c.server.send_bytes(kUnframed);
	shutdown(c.server.conn_fd, SHUT_WR);
	for (int i = 0; i < 2000 && c.outcome < 0; i++) {
		uv_run(&c.loop, UV_RUN_NOWAIT);
		recv(c.server.conn_fd, &bytes[0], bytes.size(), MSG_DONTWAIT);
		usleep(1000);
	}
	EXPECT_EQ(c.outcome, HTTP_CLIENT_COMPLETE);
	EXPECT_EQ(c.body, "some bytes");
}

// Guards against waiting for the time limit after a status that none can be: it
// has three digits, 100 to 599.
TEST(Client, InvalidStatusInterruptsAtOnce)
{
	for (const char *status : {"000", "0", "20", "99", "600", "999"}) {
		TestClient c;
		c.start("a");
		c.wait_for_request();
		c.server.send_bytes(std::string("HTTP/1.1 ") + status +
				    " X\r\nid: a\r\nContent-Length: 0\r\n\r\n");
		EXPECT_EQ(c.wait_for_outcome(), HTTP_CLIENT_INTERRUPTED)
			<< status;
		EXPECT_EQ(c.status, 0) << status;
	}
}

TEST(Client, ResponsesToOtherRequestsAreDiscarded)
{
	TestClient c;
	c.start("a");
	c.wait_for_request();
	c.server.send_bytes(
		"HTTP/1.1 200 OK\r\nid: b\r\nContent-Length: 5\r\n\r\n"
		"alien");
	c.server.send_bytes(kFramed);
	EXPECT_EQ(c.wait_for_outcome(), HTTP_CLIENT_COMPLETE);
	EXPECT_EQ(c.body, "body");
	EXPECT_EQ(http_client_mismatch_count(c.http), 1u);
}

TEST(Client, BytesAfterAResponseCloseTheConnection)
{
	TestClient c;
	c.start("a");
	c.wait_for_request();
	c.server.send_bytes(std::string(kFramed) + kFramed);
	EXPECT_EQ(c.wait_for_outcome(), HTTP_CLIENT_COMPLETE);
	EXPECT_EQ(
		http_client_open_connections(c.http, c.server.address.c_str()),
		0u);
}

TEST(Client, BytesOnAnIdleConnectionCloseIt)
{
	TestClient c;
	c.start("a");
	c.wait_for_request();
	c.server.send_bytes(kFramed);
	ASSERT_EQ(c.wait_for_outcome(), HTTP_CLIENT_COMPLETE);
	EXPECT_EQ(
		http_client_open_connections(c.http, c.server.address.c_str()),
		1u);
	c.server.send_bytes(kFramed);
	usleep(20000);
	uv_run(&c.loop, UV_RUN_NOWAIT);
	EXPECT_EQ(
		http_client_open_connections(c.http, c.server.address.c_str()),
		0u);
}

TEST(Client, IdleConnectionIsReusedForTheNextRequest)
{
	TestClient c;
	c.start("a");
	c.wait_for_request();
	c.server.send_bytes(kFramed);
	ASSERT_EQ(c.wait_for_outcome(), HTTP_CLIENT_COMPLETE);
	c.start("a");
	c.wait_for_request(false);
	c.server.send_bytes(kFramed);
	EXPECT_EQ(c.wait_for_outcome(), HTTP_CLIENT_COMPLETE);
	EXPECT_EQ(http_client_connect_count(c.http), 1u);
}

TEST(Client, TruncatedResponseIsInterruptedAndRefusedConnectionNotSent)
{
	TestClient c;
	c.start("a");
	c.wait_for_request();
	c.server.send_bytes(
		"HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 9\r\n\r\nhalf");
	c.server.close_connection();
	EXPECT_EQ(c.wait_for_outcome(), HTTP_CLIENT_INTERRUPTED);
	close(c.server.listen_fd);
	c.server.listen_fd = -1;
	c.start("a");
	EXPECT_EQ(c.wait_for_outcome(), HTTP_CLIENT_NOT_SENT);
}

http_message_scan_result scan_head(const std::string &s, size_t *len)
{
	return http_message_scan_head(s.data(), s.size(), 0, len);
}

TEST(Message, AmbiguousHeadsAreMalformed)
{
	size_t len = 0;
	EXPECT_EQ(scan_head("GET / HTTP/1.1\r\nA: b\r\n\r\nrest", &len),
		  HTTP_MESSAGE_HEAD_COMPLETE);
	EXPECT_EQ(len, 24u);
	EXPECT_EQ(scan_head("GET / HTTP/1.1\r\nA: b\r\n", &len),
		  HTTP_MESSAGE_INCOMPLETE);
	for (const char *head :
	     {"GET / HTTP/1.1\nA: b\r\n\r\n", "GET / HTTP/1.1\r\nA: b\rc\r\n",
	      "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", " GET / HTTP/1.1\r\n",
	      "GET / HTTP/1.1\r\nA: \x01\r\n\r\n"})
		EXPECT_EQ(scan_head(head, &len), HTTP_MESSAGE_MALFORMED)
			<< head;
}

TEST(Message, HopByHopFieldsAreRecognised)
{
	http_message_fields f;
	http_message_fields_init(&f);
	const char *fields[][2] = {{"Connection", "close, X-Mine"},
				   {"X-Mine", "1"},
				   {"X-Other", ""}};
	for (auto &field : fields) {
		http_message_fields_add_name(&f, field[0], strlen(field[0]));
		http_message_fields_add_value(&f, field[1], strlen(field[1]));
	}
	http_message_fields_finish(&f);
	EXPECT_TRUE(http_message_is_hop_by_hop(&f, "x-mine"));
	EXPECT_TRUE(http_message_is_hop_by_hop(&f, "Keep-Alive"));
	EXPECT_FALSE(http_message_is_hop_by_hop(&f, "X-Other"));
	EXPECT_STREQ(http_message_find(&f, "x-other"), "");
	http_message_fields_clear(&f);
}

// A response that names no request could be a late copy of an earlier one, so its
// connection must carry no further request.
TEST(Client, ConnectionIsNotReusedAfterResponseWithoutId)
{
	TestClient c;
	c.start("a");
	c.wait_for_request();
	c.server.send_bytes("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
	ASSERT_EQ(c.wait_for_outcome(), HTTP_CLIENT_COMPLETE);
	c.start("b");
	EXPECT_EQ(http_client_connect_count(c.http), 2u);
}

// The server's close may lie in the socket unread when the next call starts.
TEST(Client, ConnectionThatServerHasClosedIsNotReused)
{
	TestClient c;
	c.start("a");
	c.wait_for_request();
	c.server.send_bytes(kFramed);
	ASSERT_EQ(c.wait_for_outcome(), HTTP_CLIENT_COMPLETE);
	c.server.close_connection();
	usleep(20000);
	c.start("b");
	EXPECT_EQ(http_client_connect_count(c.http), 2u);
}

// Bytes that arrived on an idle connection belong to no request.
TEST(Client, ConnectionWithUnreadBytesIsNotReused)
{
	TestClient c;
	c.start("a");
	c.wait_for_request();
	c.server.send_bytes(kFramed);
	ASSERT_EQ(c.wait_for_outcome(), HTTP_CLIENT_COMPLETE);
	c.server.send_bytes(kFramed);
	usleep(20000);
	c.start("b");
	EXPECT_EQ(http_client_connect_count(c.http), 2u);
}

// Lets the process open no more descriptors while it exists.
struct NoDescriptors {
	rlimit before;
	NoDescriptors()
	{
		rlimit none;
		getrlimit(RLIMIT_NOFILE, &before);
		none = before;
		none.rlim_cur = 3;
		setrlimit(RLIMIT_NOFILE, &none);
	}
	~NoDescriptors()
	{
		setrlimit(RLIMIT_NOFILE, &before);
	}
};

void count_handle(uv_handle_t *, void *count)
{
	++*static_cast<int *>(count);
}

// A socket that cannot be created must not damage the loop's list of handles.
TEST(Client, CallWithoutDescriptorEndsAsNotSent)
{
	TestClient c;
	uv_timer_t timer;
	int handles = 0;
	alarm(5); // a damaged list may have no end
	{
		NoDescriptors none;
		c.start("a");
		uv_timer_init(&c.loop, &timer);
		EXPECT_EQ(c.wait_for_outcome(), HTTP_CLIENT_NOT_SENT);
	}
	uv_walk(&c.loop, count_handle, &handles);
	alarm(0);
	EXPECT_EQ(handles, 1);
	c.start("a");
	c.wait_for_request();
	c.server.send_bytes(kFramed);
	EXPECT_EQ(c.wait_for_outcome(), HTTP_CLIENT_COMPLETE);
}

void sleep_once(uv_prepare_t *prepare)
{
	usleep(300000);
	uv_prepare_stop(prepare);
}

// A process that is paused while it connects finds the connection made before it
// finds that the call's time is over.
TEST(Client, RequestIsNotSentAfterPauseBeyondDeadline)
{
	TestClient c;
	uv_prepare_t pause;
	uv_prepare_init(&c.loop, &pause);
	uv_prepare_start(&pause, sleep_once);
	c.start("a", 200);
	EXPECT_EQ(c.wait_for_outcome(), HTTP_CLIENT_NOT_SENT);
	EXPECT_TRUE(c.server.is_readable(c.server.listen_fd));
	c.server.conn_fd = accept(c.server.listen_fd, nullptr, nullptr);
	char byte;
	EXPECT_EQ(read(c.server.conn_fd, &byte, 1), 0);
}

// Guards against a slow client whose server is taken for silent, and against an
// answer that is lost or a connection that is not read on after a pause.
TEST(Pause, CallIsNotEndedBySilenceAndGoesOn)
{
	TestClient c;
	c.start("a");
	c.wait_for_request();
	c.server.send_bytes("HTTP/1.1 200 OK\r\nid: a\r\n"
			    "Content-Length: 4\r\n\r\nab");
	for (int i = 0; i < 20; i++) {
		uv_run(&c.loop, UV_RUN_NOWAIT);
		usleep(1000);
	}
	ASSERT_EQ(c.body, "ab");
	http_client_pause(c.call);
	c.server.send_bytes("cd");
	for (int i = 0; i < 2200; i++) { // longer than progress_ms
		uv_run(&c.loop, UV_RUN_NOWAIT);
		usleep(1000);
	}
	EXPECT_EQ(c.outcome, -1);
	EXPECT_EQ(c.body, "ab");
	http_client_resume(c.call);
	EXPECT_EQ(c.wait_for_outcome(), HTTP_CLIENT_COMPLETE);
	EXPECT_EQ(c.body, "abcd");
}

// Guards against a pause that outlasts the request's deadline.
TEST(Pause, EndsAtTheTotalLimit)
{
	TestClient c;
	c.start("a", 300);
	c.wait_for_request();
	http_client_pause(c.call);
	EXPECT_EQ(c.wait_for_outcome(), HTTP_CLIENT_TIMED_OUT);
}

} // namespace
