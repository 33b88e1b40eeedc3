// Tests of the HTTP server. The test runs the iterations of the event loop
// itself, so that the result does not depend on timing.
#include "cyclamenwood/http_server.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cyclamenwood/loop.h"
#include "cyclamenwood/server_drain.h"
#include "cyclamenwood/testing/raw_http.h"

namespace cyclamenwood {
namespace {

constexpr char ANY_PORT[] = "127.0.0.1:0";
// Far more iterations than a request needs, and far fewer than happen between
// two runs of the server's housekeeping.
constexpr int MAX_ITERATIONS = 2'000;
constexpr int CLOSE_LIMIT_MS = 5'000;

class http_server_fixture : public testing::Test {
 protected:
  http_server_fixture()
      : server(
            loop,
            http_settings(),
            [this](const http_request& request) {
              open.push_back(request.exchange);
              ++handled;
              on_request();
            },
            [this](uint64_t exchange) { on_disconnect(exchange); }) {
    server.capture_headers({"Host"});
  }

  void SetUp() override { ASSERT_TRUE(ok(server.listen(ANY_PORT))); }

  std::string address() const {
    return fmt::format("127.0.0.1:{}", server.port());
  }

  // Runs iterations of the loop until the condition holds. Never blocks.
  bool run_until(const std::function<bool()>& holds) {
    for (int turn = 0; turn < MAX_ITERATIONS && !holds(); ++turn)
      ev_run(loop.raw(), EVRUN_NOWAIT);
    return holds();
  }

  // Sends a request, which the server answers in a later iteration.
  bool exchange(raw_http& caller) {
    caller.send(raw_http::post("/x", "{}"));
    if (!run_until([this] { return !open.empty(); }))
      return false;
    server.respond(std::exchange(open, {}).front(), {200, "{}", {}});
    return run_until([this] { return server.open_exchanges() == 0; });
  }

  // Answers the other open exchanges, as a reducer may.
  void on_disconnect(uint64_t /*exchange*/) {
    ++disconnected;
    for (uint64_t other : open)
      server.respond(other, {503, "{}", {}});
  }

  event_loop loop;
  std::vector<uint64_t> open;
  int handled = 0;
  int disconnected = 0;
  std::function<void()> on_request = [] {};
  http_server server;
};

// Guards against delays of up to 500 ms for requests on a kept-alive
// connection: libmicrohttpd leaves work for its next run without its descriptor
// becoming readable.
TEST_F(http_server_fixture, a_kept_connection_is_served_without_housekeeping) {
  raw_http caller(address());
  for (int request = 0; request < 20; ++request) {
    ASSERT_TRUE(exchange(caller)) << "request " << request;
    EXPECT_NE(caller.receive().find("200"), std::string::npos);
  }
}

TEST_F(http_server_fixture, a_request_whose_caller_has_left_is_not_handled) {
  {
    raw_http caller(address());
    caller.send(raw_http::post("/x", "{}"));
  }
  raw_http next(address());
  ASSERT_TRUE(exchange(next));
  EXPECT_EQ(handled, 1);
}

// Guards against two processes listening on the same address without an error,
// each of them receiving a part of the connections.
TEST_F(http_server_fixture, an_address_in_use_is_refused) {
  http_server second(
      loop, http_settings(), [](const http_request&) {},
      [](uint64_t /*exchange*/) {});
  result<done> listening = second.listen(address());
  ASSERT_FALSE(ok(listening));
  EXPECT_EQ(failure(listening).code, error_code::listen_failed);
}

// Guards against a lost request: a draining process stops when no connection is
// open. A request that had been read from a kept-alive connection but was not
// counted as open yet would be aborted by that.
TEST_F(http_server_fixture, a_request_read_while_closing_is_answered) {
  raw_http caller(address());
  ASSERT_TRUE(exchange(caller));
  caller.receive();
  caller.send(raw_http::post("/x", "{}"));
  server.quiesce();
  ASSERT_TRUE(run_until([this] { return open.size() == 1; }));
  EXPECT_EQ(server.open_exchanges(), 1U);
  server.respond(open.front(), {200, "{}", {}});
  EXPECT_TRUE(run_until([this] { return server.open_connections() == 0; }));
  std::string answer = caller.receive();
  EXPECT_NE(answer.find("HTTP/1.1 200"), std::string::npos);
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
}

// Guards against a lost request: a connection that is kept between two requests
// would stay open until the process has ended.
TEST_F(http_server_fixture, quiescing_closes_connections_without_a_request) {
  raw_http caller(address());
  ASSERT_TRUE(exchange(caller));
  caller.receive();
  raw_http unused(address());
  ASSERT_TRUE(run_until([this] { return server.open_connections() == 2; }));
  server.quiesce();
  EXPECT_TRUE(run_until([this] { return server.open_connections() == 0; }));
  EXPECT_TRUE(caller.closed_within(CLOSE_LIMIT_MS));
  EXPECT_TRUE(unused.closed_within(CLOSE_LIMIT_MS));
  EXPECT_EQ(handled, 1);
}

// Guards against a request that is executed though its answer can't be sent.
TEST_F(http_server_fixture, a_request_on_a_closed_connection_is_not_handled) {
  raw_http caller(address());
  ASSERT_TRUE(exchange(caller));
  caller.receive();
  server.quiesce();
  caller.send(raw_http::post("/x", "{}"));
  EXPECT_TRUE(run_until([this] { return server.open_connections() == 0; }));
  EXPECT_EQ(handled, 1);
}

// Guards against callers that wait in the queue of the listening socket as it
// is closed.
TEST_F(http_server_fixture, quiescing_accepts_the_connections_that_wait) {
  std::vector<std::unique_ptr<raw_http>> callers;
  for (int number = 0; number < 40; ++number) {
    callers.push_back(std::make_unique<raw_http>(address()));
    callers.back()->send(raw_http::post("/x", "{}"));
  }
  server.quiesce();
  EXPECT_TRUE(run_until([&] { return open.size() == callers.size(); }));
}

// Guards against callers that keep using a connection until it is closed.
TEST_F(http_server_fixture, an_answer_of_a_drain_closes_the_connection) {
  raw_http caller(address());
  ASSERT_TRUE(exchange(caller));
  EXPECT_EQ(caller.receive().find("Connection: close"), std::string::npos);
  server.drain();
  ASSERT_TRUE(exchange(caller));
  EXPECT_NE(caller.receive().find("Connection: close"), std::string::npos);
  raw_http next(address());
  EXPECT_TRUE(exchange(next));
}

// Guards against requests that were read and are dropped: libmicrohttpd drops
// those behind an answer that closes the connection.
TEST_F(http_server_fixture, all_pipelined_requests_of_a_drain_are_answered) {
  raw_http caller(address());
  ASSERT_TRUE(exchange(caller));
  caller.receive();
  caller.send(raw_http::post("/x", "{}") + raw_http::post("/x", "{\n}"));
  ASSERT_TRUE(run_until([this] { return open.size() == 1; }));
  server.quiesce();
  server.respond(std::exchange(open, {}).front(), {200, "{}", {}});
  EXPECT_NE(caller.receive().find("HTTP/1.1 200"), std::string::npos);
  ASSERT_TRUE(run_until([this] { return open.size() == 1; }));
  server.respond(open.front(), {200, "{}", {}});
  EXPECT_TRUE(run_until([this] { return server.open_connections() == 0; }));
  std::string last = caller.receive();
  EXPECT_NE(last.find("HTTP/1.1 200"), std::string::npos);
  EXPECT_NE(last.find("Connection: close"), std::string::npos);
}

// The same for one that arrives while the request before it is answered.
TEST_F(http_server_fixture, a_request_sent_before_an_answer_is_answered) {
  raw_http caller(address());
  caller.send(raw_http::post("/x", "{}"));
  ASSERT_TRUE(run_until([this] { return open.size() == 1; }));
  server.quiesce();
  caller.send(raw_http::post("/x", "{}"));
  server.respond(std::exchange(open, {}).front(), {200, "{}", {}});
  EXPECT_NE(caller.receive().find("HTTP/1.1 200"), std::string::npos);
  ASSERT_TRUE(run_until([this] { return open.size() == 1; }));
  server.respond(open.front(), {200, "{}", {}});
  EXPECT_TRUE(run_until([this] { return server.open_connections() == 0; }));
  EXPECT_NE(caller.receive().find("HTTP/1.1 200"), std::string::npos);
}

// Guards against a use of the handlers' state while it is destroyed.
TEST_F(http_server_fixture, closing_ends_the_exchanges_that_are_open) {
  raw_http caller(address());
  caller.send(raw_http::post("/x", "{}"));
  raw_http second(address());
  second.send(raw_http::post("/x", "{}"));
  ASSERT_TRUE(run_until([this] { return open.size() == 2; }));
  server.close();
  EXPECT_EQ(server.open_exchanges(), 0U);
  EXPECT_EQ(server.open_connections(), 0U);
  // The handler has answered the second exchange.
  EXPECT_EQ(disconnected, 1);
  EXPECT_TRUE(caller.closed_within(CLOSE_LIMIT_MS));
  server.respond(open.front(), {200, "{}", {}});
}

// Guards against a process that ends with requests that were read.
TEST_F(http_server_fixture, a_loop_that_drains_its_server_ends_after_answers) {
  raw_http caller(address());
  raw_http kept(address());
  ASSERT_TRUE(exchange(kept));
  kept.receive();
  caller.send(raw_http::post("/x", "{}"));
  ASSERT_TRUE(run_until([this] { return open.size() == 1; }));
  server_drain drain(loop, server);
  drain.begin(INT64_MAX);
  EXPECT_TRUE(run_until([this] { return server.open_connections() == 1; }));
  loop.post([this] { server.respond(open.front(), {200, "{}", {}}); });
  loop.run();
  EXPECT_EQ(server.open_connections(), 0U);
  EXPECT_NE(caller.receive().find("HTTP/1.1 200"), std::string::npos);
}

// Guards against a request that is accepted after the end has begun.
TEST_F(http_server_fixture, requests_read_while_a_drain_begins_know_of_it) {
  raw_http caller(address());
  ASSERT_TRUE(exchange(caller));
  caller.receive();
  caller.send(raw_http::post("/x", "{}"));
  server_drain drain(loop, server);
  bool knew = false;
  on_request = [&] { knew = drain.has_begun(); };
  drain.begin(INT64_MAX);
  ASSERT_TRUE(run_until([this] { return open.size() == 1; }));
  EXPECT_TRUE(knew);
}

TEST_F(http_server_fixture, a_loop_that_drains_its_server_ends_in_time) {
  raw_http caller(address());
  caller.send(raw_http::post("/x", "{}"));
  ASSERT_TRUE(run_until([this] { return open.size() == 1; }));
  server_drain drain(loop, server);
  drain.begin(current_time());
  loop.run();
  server.close();
  EXPECT_EQ(disconnected, 1);
}

// Guards against messages that no receiver accepts and log lines that a caller
// writes: both take text from the path and the Host header.
TEST_F(http_server_fixture, a_request_whose_path_is_not_text_is_refused) {
  for (const char* path : {"/x/%ff", "/x/%c3", "/x/%ed%a0%80", "/x/a%0ab",
                           "/x/%0d%0aX:%20y", "/x/%1b[2J", "/x/%c2%9b"}) {
    raw_http caller(address());
    caller.send(raw_http::post(path, "{}"));
    EXPECT_FALSE(run_until([this] { return !open.empty(); })) << path;
    EXPECT_NE(caller.receive().find("HTTP/1.1 400"), std::string::npos) << path;
    while (!open.empty()) {
      server.respond(open.back(), {200, "{}", {}});
      open.pop_back();
    }
  }
}

TEST_F(http_server_fixture, a_request_whose_header_is_not_text_is_refused) {
  raw_http caller(address());
  caller.send("POST /x HTTP/1.1\r\nHost: h\xff\r\nContent-Length: 2\r\n\r\n{}");
  EXPECT_FALSE(run_until([this] { return !open.empty(); }));
  EXPECT_NE(caller.receive().find("HTTP/1.1 400"), std::string::npos);
}

TEST_F(http_server_fixture, a_path_may_have_any_printable_text) {
  raw_http caller(address());
  caller.send(raw_http::post("/x/i-7f3a%20%c3%a9%25", "{}"));
  EXPECT_TRUE(run_until([this] { return !open.empty(); }));
}

}  // namespace
}  // namespace cyclamenwood
