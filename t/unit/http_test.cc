// HTTP on sockets: how an answer without a length ends, answers of other
// requests, kept connections; and what a request's head may hold.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

extern "C" {
#include "http/client.h"
#include "http/message.h"
#include "verdict.h"
}

namespace {

// A server in the test's own thread: bytes and ends come exactly when wanted.
struct Server {
	int fd, conn = -1;
	std::string address;
	Server()
	{
		sockaddr_in sa = {};
		socklen_t len = sizeof(sa);
		fd = socket(AF_INET, SOCK_STREAM, 0);
		sa.sin_family = AF_INET;
		sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		bind(fd, (sockaddr *)&sa, sizeof(sa));
		listen(fd, 8);
		getsockname(fd, (sockaddr *)&sa, &len);
		address = "127.0.0.1:" + std::to_string(ntohs(sa.sin_port));
	}
	~Server()
	{
		close(fd);
		if (conn >= 0)
			close(conn);
	}
	bool readable(int what) const
	{
		pollfd p = {what, POLLIN, 0};
		return poll(&p, 1, 0) > 0;
	}
	void say(const std::string &s)
	{
		ASSERT_EQ(send(conn, s.data(), s.size(), MSG_NOSIGNAL),
			  (ssize_t)s.size());
	}
	void finish()
	{
		close(conn);
		conn = -1;
	}
	void reset()
	{
		linger l = {1, 0};
		setsockopt(conn, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
		finish();
	}
};

struct Client {
	uv_loop_t loop;
	http_client *http;
	Server server;
	int status = 0;
	std::string body;
	int ended = -1;
	Client()
	{
		uv_loop_init(&loop);
		http = http_client_new(&loop);
	}
	static void on_head(void *u, const http_client_head *head)
	{
		static_cast<Client *>(u)->status = head->status;
	}
	static void on_data(void *u, const char *data, size_t len)
	{
		static_cast<Client *>(u)->body.append(data, len);
	}
	static void on_done(void *u, http_client_outcome end)
	{
		static_cast<Client *>(u)->ended = end;
	}
	void start(const char *id)
	{
		static const http_client_callbacks events = {on_head, on_data, on_done};
		http_client_request r = {};
		status = 0;
		body.clear();
		ended = -1;
		r.address = server.address.c_str();
		r.method = "GET";
		r.path = "/";
		r.connect_ms = r.progress_ms = 2000;
		r.correlation_header = "id";
		r.correlation_value = id;
		http_client_start(http, &r, &events, this);
	}
	// Turns the loop until the request is at the server.
	void send_off(bool new_connection = true)
	{
		char bytes[4096];
		for (int i = 0; i < 1000 && new_connection; i++) {
			uv_run(&loop, UV_RUN_NOWAIT);
			if (server.readable(server.fd)) {
				server.conn = accept(server.fd, nullptr,
						     nullptr);
				break;
			}
			usleep(1000);
		}
		for (int i = 0; i < 1000; i++) {
			uv_run(&loop, UV_RUN_NOWAIT);
			if (server.readable(server.conn)) {
				ASSERT_GT(read(server.conn, bytes,
					       sizeof(bytes)),
					  0);
				return;
			}
			usleep(1000);
		}
		FAIL() << "no request came";
	}
	int end()
	{
		usleep(20000); // all that the server did is here before we look
		for (int i = 0; i < 3000 && ended < 0; i++) {
			uv_run(&loop, UV_RUN_NOWAIT);
			usleep(1000);
		}
		return ended;
	}
};

const char *kUnframed = "HTTP/1.1 200 OK\r\nid: a\r\n\r\nsome bytes";
const char *kFramed =
	"HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 4\r\n\r\nbody";

TEST(Client, AnAnswerWithoutALengthIsWholeOnlyAfterAnOrderlyEnd)
{
	Client c;
	c.start("a");
	c.send_off();
	c.server.say(kUnframed);
	c.server.finish();
	EXPECT_EQ(c.end(), HTTP_CLIENT_COMPLETE);
	EXPECT_EQ(c.body, "some bytes");
}

TEST(Client, AnAnswerWithoutALengthThatEndsByAResetIsBroken)
{
	Client c;
	c.start("a");
	c.send_off();
	c.server.say(kUnframed);
	c.server.reset();
	EXPECT_EQ(c.end(), HTTP_CLIENT_INTERRUPTED);
}

TEST(Client, AnswersOfOtherRequestsAreDropped)
{
	Client c;
	c.start("a");
	c.send_off();
	c.server.say("HTTP/1.1 200 OK\r\nid: b\r\nContent-Length: 5\r\n\r\n"
		     "alien");
	c.server.say(kFramed);
	EXPECT_EQ(c.end(), HTTP_CLIENT_COMPLETE);
	EXPECT_EQ(c.body, "body");
	EXPECT_EQ(http_client_mismatch_count(c.http), 1u);
}

TEST(Client, BytesAfterAnAnswerCloseTheConnection)
{
	Client c;
	c.start("a");
	c.send_off();
	c.server.say(std::string(kFramed) + kFramed);
	EXPECT_EQ(c.end(), HTTP_CLIENT_COMPLETE);
	EXPECT_EQ(http_client_open_connections(c.http, c.server.address.c_str()), 0u);
}

TEST(Client, LateBytesOnAKeptConnectionCloseIt)
{
	Client c;
	c.start("a");
	c.send_off();
	c.server.say(kFramed);
	ASSERT_EQ(c.end(), HTTP_CLIENT_COMPLETE);
	EXPECT_EQ(http_client_open_connections(c.http, c.server.address.c_str()), 1u);
	c.server.say(kFramed);
	usleep(20000);
	uv_run(&c.loop, UV_RUN_NOWAIT);
	EXPECT_EQ(http_client_open_connections(c.http, c.server.address.c_str()), 0u);
}

TEST(Client, AKeptConnectionCarriesTheNextRequest)
{
	Client c;
	c.start("a");
	c.send_off();
	c.server.say(kFramed);
	ASSERT_EQ(c.end(), HTTP_CLIENT_COMPLETE);
	c.start("a");
	c.send_off(false);
	c.server.say(kFramed);
	EXPECT_EQ(c.end(), HTTP_CLIENT_COMPLETE);
	EXPECT_EQ(http_client_connect_count(c.http), 1u);
}

TEST(Client, ACutAnswerIsBrokenAndARefusedConnectionNotSent)
{
	Client c;
	c.start("a");
	c.send_off();
	c.server.say("HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 9\r\n\r\nhalf");
	c.server.finish();
	EXPECT_EQ(c.end(), HTTP_CLIENT_INTERRUPTED);
	close(c.server.fd);
	c.server.fd = -1;
	c.start("a");
	EXPECT_EQ(c.end(), HTTP_CLIENT_NOT_SENT);
}

http_message_scan_result scan(const std::string &s, size_t *len)
{
	return http_message_scan_head(s.data(), s.size(), 0, len);
}

TEST(Message, HeadsThatParsersReadInDifferentWaysAreBad)
{
	size_t len = 0;
	EXPECT_EQ(scan("GET / HTTP/1.1\r\nA: b\r\n\r\nrest", &len), HTTP_MESSAGE_HEAD_COMPLETE);
	EXPECT_EQ(len, 24u);
	EXPECT_EQ(scan("GET / HTTP/1.1\r\nA: b\r\n", &len), HTTP_MESSAGE_INCOMPLETE);
	for (const char *bad :
	     {"GET / HTTP/1.1\nA: b\r\n\r\n", "GET / HTTP/1.1\r\nA: b\rc\r\n",
	      "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", " GET / HTTP/1.1\r\n",
	      "GET / HTTP/1.1\r\nA: \x01\r\n\r\n"})
		EXPECT_EQ(scan(bad, &len), HTTP_MESSAGE_MALFORMED) << bad;
}

TEST(Message, FieldsOfOneConnectionAreToldApart)
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

} // namespace
