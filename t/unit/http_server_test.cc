// Tests the HTTP server with a client on a real socket, in the test's own thread:
// the test decides when the loop runs, and so what lies in the socket by then.
#include <gtest/gtest.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <memory>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

extern "C" {
#include "http/server.h"
}

namespace {

const char *kAddress = "127.0.0.1:9787";
const unsigned kPort = 9787;
const uint64_t kReceiveMs = 2000;
const size_t kMaxBodyBytes = 1 << 20;

struct TestServer {
	uv_loop_t loop;
	http_server *server;
	std::vector<http_server_request *> requests; // NULL: disconnected
	std::vector<bool> had_left; // when the request was dispatched
	TestServer()
	{
		uv_loop_init(&loop);
		server = http_server_listen(&loop, kAddress, kMaxBodyBytes,
					    kReceiveMs, on_request, this,
					    nullptr);
	}
	~TestServer()
	{
		http_server_shutdown(server);
		run_ms(20);
	}
	static void on_request(void *u, http_server_request *req)
	{
		auto *t = static_cast<TestServer *>(u);
		t->requests.push_back(req);
		t->had_left.push_back(http_server_client_has_left(req));
		http_server_on_disconnect(req, on_disconnect, t);
	}
	// The tests have one open request at a time.
	static void on_disconnect(void *u)
	{
		static_cast<TestServer *>(u)->requests.back() = nullptr;
	}
	void run_ms(int ms)
	{
		for (int i = 0; i < ms; i++) {
			uv_run(&loop, UV_RUN_NOWAIT);
			usleep(1000);
		}
	}
	void wait_for_requests(size_t n)
	{
		for (int i = 0; i < 1000 && requests.size() < n; i++)
			run_ms(1);
	}
};

struct TestClient {
	int fd;
	// With a receive buffer of so many bytes; 0: that of the kernel.
	explicit TestClient(int receive_buffer = 0)
	{
		sockaddr_in sa = {};
		fd = socket(AF_INET, SOCK_STREAM, 0);
		if (receive_buffer)
			setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
				   sizeof(receive_buffer));
		sa.sin_family = AF_INET;
		sa.sin_port = htons(9787);
		sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(connect(fd, (sockaddr *)&sa, sizeof(sa)), 0);
	}
	~TestClient()
	{
		leave();
	}
	void send_bytes(const std::string &s)
	{
		ASSERT_EQ(send(fd, s.data(), s.size(), MSG_NOSIGNAL),
			  (ssize_t)s.size());
	}
	void reset()
	{
		const linger now = {1, 0};
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
		leave();
	}
	void leave()
	{
		if (fd >= 0)
			close(fd);
		fd = -1;
		usleep(20000);
	}
};

const char *kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

TEST(ClientHasLeft, IsKnownBeforeTheEndIsRead)
{
	TestServer s;
	TestClient c;
	c.send_bytes(kRequest);
	c.leave();
	s.wait_for_requests(1);
	ASSERT_EQ(s.had_left.size(), 1u);
	EXPECT_TRUE(s.had_left[0]);
}

TEST(ClientHasLeft, IsFalseForClientThatWaits)
{
	TestServer s;
	TestClient c;
	c.send_bytes(kRequest);
	s.wait_for_requests(1);
	ASSERT_EQ(s.had_left.size(), 1u);
	EXPECT_FALSE(s.had_left[0]);
}

TEST(ClientHasLeft, IsKnownBehindPipelinedRequests)
{
	TestServer s;
	TestClient c;
	c.send_bytes(std::string(kRequest) + kRequest);
	s.wait_for_requests(1);
	c.leave();
	http_server_reply(s.requests[0], 200, nullptr, "", 0);
	s.wait_for_requests(2);
	if (s.had_left.size() > 1) {
		EXPECT_TRUE(s.had_left[1]);
	}
}

// A client may send so much behind a request that the server stops to read.
TEST(Disconnect, IsNoticedBehindUnreadInput)
{
	TestServer s;
	TestClient c;
	const std::string behind(300 * 1024, 'x');
	c.send_bytes(kRequest);
	s.wait_for_requests(1);
	ASSERT_NE(s.requests[0], nullptr);
	for (size_t sent = 0; sent < behind.size(); sent += 30 * 1024) {
		c.send_bytes(behind.substr(sent, 30 * 1024));
		s.run_ms(2);
	}
	EXPECT_NE(s.requests[0], nullptr);
	c.leave();
	s.run_ms(500);
	EXPECT_EQ(s.requests[0], nullptr);
}

// Returns what read() gives once all bytes are read: 0 for an orderly end, -1 for
// a reset; the bytes are added to *text.
ssize_t read_to_end(TestServer *s, TestClient *c, std::string *text)
{
	char bytes[4096];
	ssize_t n = -1;
	for (int i = 0; i < 500; i++) {
		s->run_ms(1);
		n = recv(c->fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		if (n > 0)
			text->append(bytes, (size_t)n);
		else if (n == 0 || errno != EAGAIN)
			return n;
	}
	ADD_FAILURE() << "the connection did not end";
	return n;
}

const char *kOldRequest = "GET / HTTP/1.0\r\n\r\n";

// Without a length or chunks only the kind of its end shows a client that a
// response is incomplete.
TEST(Abort, ResetsResponseThatEndsWithItsConnection)
{
	TestServer s;
	TestClient c;
	std::string text;
	c.send_bytes(kOldRequest);
	s.wait_for_requests(1);
	http_server_begin_response(s.requests[0], 200);
	http_server_write(s.requests[0], "part", 4);
	s.run_ms(20);
	http_server_abort(s.requests[0]);
	EXPECT_EQ(read_to_end(&s, &c, &text), -1);
}

TEST(Abort, LeavesOutTheLastChunk)
{
	TestServer s;
	TestClient c;
	std::string text;
	c.send_bytes(kRequest);
	s.wait_for_requests(1);
	http_server_begin_response(s.requests[0], 200);
	http_server_write(s.requests[0], "part", 4);
	http_server_abort(s.requests[0]);
	EXPECT_EQ(read_to_end(&s, &c, &text), 0);
	EXPECT_NE(text.find("4\r\npart\r\n"), std::string::npos);
	EXPECT_EQ(text.find("0\r\n\r\n"), std::string::npos);
}

TEST(EndResponse, EndsConnectionInOrder)
{
	TestServer s;
	TestClient c;
	std::string text;
	c.send_bytes(kOldRequest);
	s.wait_for_requests(1);
	http_server_begin_response(s.requests[0], 200);
	http_server_write(s.requests[0], "whole", 5);
	http_server_end_response(s.requests[0]);
	EXPECT_EQ(read_to_end(&s, &c, &text), 0);
	EXPECT_NE(text.find("whole"), std::string::npos);
}

// A request that lies in the socket when a planned stop begins must be answered.
TEST(StopAccepting, ServesConnectionsThatAreNotAcceptedYet)
{
	TestServer s;
	TestClient a, b;
	a.send_bytes(kRequest);
	http_server_stop_accepting(s.server);
	b.send_bytes(kRequest);
	EXPECT_EQ(http_server_unanswered(s.server), 2u);
	s.wait_for_requests(2);
	EXPECT_EQ(s.requests.size(), 2u);
}

TEST(CloseIdle, ServesRequestThatIsNotReadYet)
{
	TestServer s;
	TestClient c;
	s.run_ms(10);
	c.send_bytes(kRequest);
	usleep(20000);
	http_server_close_idle(s.server);
	s.run_ms(50);
	EXPECT_EQ(s.requests.size(), 1u);
}

TEST(CloseIdle, ServesFirstRequestOfNewConnection)
{
	TestServer s;
	TestClient c;
	s.run_ms(10);
	http_server_close_idle(s.server);
	s.run_ms(50);
	c.send_bytes(kRequest);
	s.run_ms(50);
	EXPECT_EQ(s.requests.size(), 1u);
}

TEST(CloseIdle, ClosesConnectionsThatHaveBeenServed)
{
	TestServer s;
	TestClient c;
	char bytes[4096];
	c.send_bytes(kRequest);
	s.wait_for_requests(1);
	http_server_reply(s.requests[0], 200, nullptr, "", 0);
	s.run_ms(50);
	ASSERT_GT(read(c.fd, bytes, sizeof(bytes)), 0);
	http_server_close_idle(s.server);
	s.run_ms(50);
	EXPECT_EQ(recv(c.fd, bytes, sizeof(bytes), MSG_DONTWAIT), 0);
}

struct TestAccount {
	memory_account account;
	explicit TestAccount(size_t limit, uint32_t connections = 100)
	{
		memory_init(&account, limit, connections);
	}
	~TestAccount()
	{
		EXPECT_EQ(account.held, 0u);
		memory_clear(&account);
	}
	void limit(TestServer *s)
	{
		http_server_set_memory(s->server, &account, HTTP_SERVER_CLIENTS,
				       nullptr);
	}
};

const size_t kLargeBytes = 600000;

// Sends the head of a large request and so much of its body.
void send_part(TestServer *s, TestClient *c, size_t bytes)
{
	c->send_bytes("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
		      std::to_string(kLargeBytes) + "\r\n\r\n");
	for (size_t n; bytes; bytes -= n) {
		n = std::min<size_t>(bytes, 30000);
		c->send_bytes(std::string(n, 'x'));
		s->run_ms(3);
	}
}

// Guards against bodies that stop before their end and keep the room of others,
// and against a refusal that their clients cannot read.
TEST(Memory, StalledBodyMakesRoomForAnother)
{
	TestAccount a(1 << 20);
	TestServer s;
	TestClient stalled, other;
	std::string answer;
	char bytes[4096];
	ssize_t n;
	a.limit(&s);
	send_part(&s, &stalled, kLargeBytes - 100000);
	s.run_ms(1100);
	send_part(&s, &other, kLargeBytes);
	s.wait_for_requests(1);
	EXPECT_EQ(s.requests.size(), 1u);
	EXPECT_EQ(a.account.evicted, 1u);
	EXPECT_LT(a.account.held, kLargeBytes + 100000);
	stalled.send_bytes(std::string(30000, 'x')); // it has not noticed yet
	s.run_ms(20);
	while ((n = recv(stalled.fd, bytes, sizeof(bytes), MSG_DONTWAIT)) > 0)
		answer.append(bytes, (size_t)n);
	EXPECT_EQ(n, 0);
	EXPECT_EQ(answer.rfind("HTTP/1.1 503 ", 0), 0u) << answer;
	EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
	EXPECT_NE(answer.find("\"not-run\""), std::string::npos);
}

// Guards against a full account that drops requests which servers may run.
TEST(Memory, CompleteRequestIsNotEvicted)
{
	TestAccount a(1 << 20);
	TestServer s;
	TestClient complete, other;
	a.limit(&s);
	send_part(&s, &complete, kLargeBytes);
	s.wait_for_requests(1);
	s.run_ms(1100);
	send_part(&s, &other, 1);
	s.run_ms(20);
	EXPECT_EQ(a.account.refused, 1u);
	ASSERT_EQ(s.requests.size(), 1u);
	EXPECT_NE(s.requests[0], nullptr);
}

// Guards against idle connections that shut out others.
TEST(Memory, IdleConnectionMakesRoomForAnother)
{
	TestAccount a(1 << 20, 2);
	TestServer s;
	char byte;
	a.limit(&s);
	TestClient oldest;
	s.run_ms(5);
	TestClient second;
	s.run_ms(5);
	TestClient third;
	s.run_ms(5);
	EXPECT_EQ(recv(oldest.fd, &byte, 1, MSG_DONTWAIT), 0);
	EXPECT_EQ(a.account.connections, 2u);
	third.send_bytes(kRequest);
	s.wait_for_requests(1);
	EXPECT_EQ(s.requests.size(), 1u);
}

// Sends whole requests of 64 KiB in all, as often as the socket takes them at once.
// Returns how many bytes it took.
size_t send_ahead(TestClient *c, std::string *rest)
{
	size_t sent = 0;
	ssize_t n;
	do {
		while (rest->size() < 65536)
			rest->append(kRequest);
		n = send(c->fd, rest->data(), rest->size(),
			 MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n > 0) {
			sent += (size_t)n;
			rest->erase(0, (size_t)n);
		}
	} while (n > 0);
	return sent;
}

// Guards against requests sent ahead that are read faster than they are answered.
TEST(Ahead, InputThatWaitsIsBounded)
{
	const size_t limit = 64 << 20; // far from short
	TestAccount a(limit);
	TestServer s;
	TestClient c;
	std::string rest;
	size_t most = 0, sent = 0;
	a.limit(&s);
	for (int i = 0; i < 500; i++) {
		if (sent < 4000000)
			sent += send_ahead(&c, &rest);
		s.run_ms(1);
		if (!s.requests.empty() && s.requests.back())
			http_server_reply(s.requests.back(), 200, nullptr, "",
					  0);
		most = std::max(most, a.account.held);
	}
	EXPECT_GT(s.requests.size(), 100u);
	EXPECT_LT(most, 1u << 20);
	c.leave();
	s.run_ms(500);
}

// Returns how many bytes the kernel holds for connections to the server.
struct KernelBytes {
	size_t unsent, unread;
};
KernelBytes kernel_bytes()
{
	std::ifstream file("/proc/net/tcp");
	std::string line;
	KernelBytes total = {};
	while (std::getline(file, line)) {
		unsigned port, state, tx, rx;
		if (sscanf(line.c_str(), " %*d: %*8x:%x %*8x:%*x %x %x:%x",
			   &port, &state, &tx, &rx) == 4 &&
		    port == kPort && state != TCP_LISTEN) {
			total.unsent += tx;
			total.unread += rx;
		}
	}
	return total;
}

size_t unread_bytes()
{
	return kernel_bytes().unread;
}

// Guards against a connection that fills the kernel's memory while it is not read
// from: the window of one that has been read from fast grows to megabytes.
TEST(Ahead, KernelHoldsNoMoreThanTheReceiveBuffer)
{
	TestAccount a(4 << 20);
	TestServer s;
	TestClient c;
	std::string rest;
	a.limit(&s);
	c.send_bytes("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000"
		     "\r\n\r\n");
	for (size_t sent = 0; sent < 1000000; sent += 10000) {
		c.send_bytes(std::string(10000, 'x'));
		s.run_ms(1);
	}
	s.wait_for_requests(1);
	ASSERT_EQ(s.requests.size(), 1u);
	for (int i = 0; i < 300; i++) {
		send_ahead(&c, &rest);
		s.run_ms(1);
	}
	EXPECT_GT(unread_bytes(), 0u);
	EXPECT_LT(unread_bytes(), 128u * 1024);
	c.reset(); // an orderly end would lie behind what the window holds back
	s.run_ms(500);
}

// Guards against new connections that fill the kernel before they are read from.
TEST(Ahead, KernelHoldsLittleForANewConnection)
{
	TestAccount a(1 << 20);
	TestServer s;
	std::string rest;
	a.limit(&s);
	TestClient c;
	for (int i = 0; i < 50; i++) {
		send_ahead(&c, &rest);
		usleep(1000); // the loop does not run
	}
	EXPECT_GT(unread_bytes(), 0u);
	EXPECT_LT(unread_bytes(), 16u * 1024);
	c.reset();
	s.run_ms(50);
}

// Guards against requests sent ahead that keep the room of others, and against the
// loss of a response because more was sent behind its request.
TEST(Ahead, IsDroppedWhileMemoryIsShortAndTheResponseIsSent)
{
	TestAccount a(1 << 20);
	TestServer s;
	TestClient ahead, other;
	std::string answer;
	char bytes[4096];
	ssize_t n;
	a.limit(&s);
	ahead.send_bytes(kRequest);
	s.wait_for_requests(1);
	ahead.send_bytes(std::string(kRequest) + kRequest);
	s.run_ms(5);
	EXPECT_EQ(a.account.dropped, 0u);
	send_part(&s, &other, kLargeBytes);
	EXPECT_EQ(a.account.dropped, 1u);
	ahead.send_bytes(kRequest);
	s.run_ms(5);
	http_server_reply(s.requests[0], 200, nullptr, "whole", 5);
	s.run_ms(50);
	while ((n = recv(ahead.fd, bytes, sizeof(bytes), MSG_DONTWAIT)) > 0)
		answer.append(bytes, (size_t)n);
	EXPECT_EQ(n, 0);
	EXPECT_NE(answer.find("Connection: close"), std::string::npos);
	EXPECT_NE(answer.find("whole"), std::string::npos);
	EXPECT_EQ(s.requests.size(), 2u); // its first, and the other client's
}

// Guards against a response that its client cannot read, since it was still sending
// when the connection was closed.
TEST(Ahead, ResponseIsReadByAClientThatWasStillSending)
{
	TestAccount a(1 << 20);
	TestServer s;
	TestClient ahead, other;
	const std::string request = kRequest;
	char bytes[4096];
	a.limit(&s);
	ahead.send_bytes(request);
	s.wait_for_requests(1);
	ahead.send_bytes(request);
	send_part(&s, &other, kLargeBytes); // memory is short from now on
	ASSERT_EQ(a.account.dropped, 1u);
	http_server_reply(s.requests[0], 200, nullptr, "whole", 5);
	for (int i = 0; i < 50; i++) {
		s.run_ms(20);
		ASSERT_EQ(send(ahead.fd, request.data(), request.size(),
			       MSG_NOSIGNAL),
			  (ssize_t)request.size());
	}
	ASSERT_GT(recv(ahead.fd, bytes, sizeof(bytes) - 1, 0), 0);
	EXPECT_EQ(strncmp(bytes, "HTTP/1.1 200", 12), 0);
}

// A client whose response is complete sends its next request in time, though the
// server may not have noticed that the response is sent.
TEST(Ahead, NextRequestAfterAResponseIsNotDropped)
{
	TestAccount a(1 << 20);
	TestServer s;
	TestClient c, other;
	char bytes[4096];
	a.limit(&s);
	c.send_bytes(kRequest);
	s.wait_for_requests(1);
	send_part(&s, &other, kLargeBytes); // memory is short from now on
	ASSERT_EQ(s.requests.size(), 2u);
	http_server_reply(s.requests[0], 200, nullptr, "whole", 5);
	ASSERT_GT(recv(c.fd, bytes, sizeof(bytes), 0), 0);
	c.send_bytes(kRequest);
	s.wait_for_requests(3);
	EXPECT_EQ(a.account.dropped, 0u);
	EXPECT_EQ(s.requests.size(), 3u);
}

// Reads until so many bytes have come, or none for 500 ms; returns how many did.
size_t read_bytes(TestServer *s, TestClient *c, size_t most)
{
	std::vector<char> bytes(1 << 16);
	size_t total = 0;
	ssize_t n;
	for (int idle = 0; idle < 500 && total < most;) {
		n = recv(c->fd, bytes.data(), bytes.size(), MSG_DONTWAIT);
		if (n == 0)
			break;
		if (n > 0)
			total += (size_t)n;
		idle = n > 0 ? 0 : idle + 1;
		s->run_ms(1);
	}
	return total;
}

// Guards against one response that fills the kernel's memory.
TEST(Unsent, KernelHoldsNoMoreThanTheSendBuffer)
{
	TestAccount a(64 << 20);
	TestServer s;
	TestClient c;
	const std::string body(8 << 20, 'x');
	a.limit(&s);
	c.send_bytes(kRequest);
	s.wait_for_requests(1);
	http_server_reply(s.requests[0], 200, nullptr, body.data(),
			  body.size());
	s.run_ms(100);
	EXPECT_GT(kernel_bytes().unsent, 0u);
	EXPECT_LT(kernel_bytes().unsent, 1u << 20);
	c.reset();
	s.run_ms(500);
}

// Guards against many responses that together fill the kernel's memory, and against
// their loss or delay without end when their clients take them after all.
TEST(Unsent, ResponsesKeepToTheLimitTogetherAndArriveWhole)
{
	const size_t limit = 16 << 20;
	const std::string body(250000, 'x');
	TestAccount a(limit);
	TestServer s;
	std::vector<std::unique_ptr<TestClient>> clients(40);
	a.limit(&s);
	for (size_t i = 0; i < clients.size(); i++) {
		clients[i] = std::make_unique<TestClient>(4096);
		clients[i]->send_bytes(kRequest);
		s.wait_for_requests(i + 1);
		ASSERT_EQ(s.requests.size(), i + 1);
		http_server_on_disconnect(s.requests[i], nullptr, nullptr);
		http_server_reply(s.requests[i], 200, nullptr, body.data(),
				  body.size());
	}
	s.run_ms(100);
	EXPECT_GT(kernel_bytes().unsent, 0u);
	EXPECT_LT(kernel_bytes().unsent, limit * 3 / 8);
	for (auto &c : clients)
		EXPECT_GE(read_bytes(&s, c.get(), body.size()), body.size());
}

// Guards against a connection that times out while its client still takes the
// response: what the kernel goes on to deliver would be counted nowhere.
TEST(Unsent, ResponseIsCountedUntilItIsTaken)
{
	const http_server_limits limits = {65536, kMaxBodyBytes, kReceiveMs,
					   100};
	TestAccount a(64 << 20);
	TestServer s;
	TestClient c;
	const std::string body(400000, 'x');
	a.limit(&s);
	http_server_set_limits(s.server, &limits);
	c.send_bytes(kRequest);
	s.wait_for_requests(1);
	http_server_reply(s.requests[0], 200, nullptr, body.data(),
			  body.size());
	s.run_ms(700);
	EXPECT_EQ(http_server_open_requests(s.server), 0u);
	EXPECT_GT(a.account.unsent_bytes, 0u);
	EXPECT_GE(read_bytes(&s, &c, body.size()), body.size());
	s.run_ms(400);
	EXPECT_EQ(a.account.held, 0u);
}

// Guards against an owner that is not told when it may write on.
TEST(Backlog, OwnerIsToldWhenTheClientHasRead)
{
	TestServer s;
	TestClient c;
	bool drained = false;
	std::vector<char> bytes(1 << 20);
	const std::string part(4 << 20, 'x');
	c.send_bytes(kRequest);
	s.wait_for_requests(1);
	http_server_on_drain(
		s.requests[0], [](void *u) { *static_cast<bool *>(u) = true; },
		&drained);
	http_server_begin_response(s.requests[0], 200);
	for (int i = 0; i < 4; i++) {
		http_server_write(s.requests[0], part.data(), part.size());
		s.run_ms(5);
	}
	EXPECT_GT(http_server_unsent_bytes(s.requests[0]),
		  HTTP_SERVER_BACKLOG_BYTES);
	drained = false;
	for (int i = 0; i < 500 && !drained; i++) {
		recv(c.fd, bytes.data(), bytes.size(), MSG_DONTWAIT);
		s.run_ms(1);
	}
	EXPECT_TRUE(drained);
}

} // namespace
