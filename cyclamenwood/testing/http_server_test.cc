// The HTTP server on a loop that the test turns by itself, so that nothing
// depends on how long anything takes.
#include "cyclamenwood/http_server.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "cyclamenwood/loop.h"
#include "cyclamenwood/testing/raw_http.h"

namespace cyclamenwood {
namespace {

constexpr char ANY_PORT[] = "127.0.0.1:0";
// Far more than a request needs; far fewer than pass between two runs of the
// server's housekeeping.
constexpr int MAX_TURNS = 2'000;

class http_server_fixture : public testing::Test {
 protected:
  http_server_fixture()
      : server(
            loop,
            http_settings(),
            [this](const http_request& request) {
              open.push_back(request.exchange);
            },
            [](uint64_t /*exchange*/) {}) {}

  void SetUp() override { ASSERT_TRUE(ok(server.listen(ANY_PORT))); }

  std::string address() const {
    return fmt::format("127.0.0.1:{}", server.port());
  }

  // Turns the loop until the condition holds. Never waits.
  bool turn_until(const std::function<bool()>& holds) {
    for (int turn = 0; turn < MAX_TURNS && !holds(); ++turn)
      ev_run(loop.raw(), EVRUN_NOWAIT);
    return holds();
  }

  // One request and its answer, which is given in a later turn.
  bool exchange(raw_http& caller) {
    caller.send(raw_http::post("/x", "{}"));
    if (!turn_until([this] { return !open.empty(); }))
      return false;
    server.respond(std::exchange(open, {}).front(), {200, "{}", {}});
    return turn_until([this] { return server.open_exchanges() == 0; });
  }

  event_loop loop;
  std::vector<uint64_t> open;
  http_server server;
};

// Requests on a kept connection waited up to 500 ms: the server's library
// leaves work for its next run without its descriptor becoming readable.
TEST_F(http_server_fixture, a_kept_connection_is_served_without_housekeeping) {
  raw_http caller(address());
  for (int request = 0; request < 20; ++request) {
    ASSERT_TRUE(exchange(caller)) << "request " << request;
    EXPECT_NE(caller.receive().find("200"), std::string::npos);
  }
}

// Two processes shared an address without a word, each with a part of the
// connections.
TEST_F(http_server_fixture, an_address_that_is_listened_on_is_refused) {
  http_server second(
      loop, http_settings(), [](const http_request&) {},
      [](uint64_t /*exchange*/) {});
  result<done> listening = second.listen(address());
  ASSERT_FALSE(ok(listening));
  EXPECT_EQ(failure(listening).code, error_code::listen_failed);
}

// A process that drains ends when no exchange is open; a request that was read
// on a kept connection and not yet counted was cut by that.
TEST_F(http_server_fixture, a_request_read_while_closing_is_open) {
  raw_http caller(address());
  ASSERT_TRUE(exchange(caller));
  caller.receive();
  server.close_after_answers();
  caller.send(raw_http::post("/x", "{}"));
  EXPECT_TRUE(turn_until([this] { return server.open_exchanges() == 1; }));
}

}  // namespace
}  // namespace cyclamenwood
