// Tests of how the daemons end: with real sockets, in this process. Parts of a
// daemon that take long to destroy are replaced by ones that look at the
// callers' connections instead.
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "cyclamenwood/host_entry_daemon.h"
#include "cyclamenwood/testing/deployment.h"
#include "cyclamenwood/testing/raw_http.h"
#include "platform/adapter.h"

namespace cyclamenwood {
namespace {

// Longer than a connection that is being closed takes, on any machine.
constexpr int CLOSE_LIMIT_MS = 5'000;

std::string address_of(int port) {
  return fmt::format("127.{}.{}.7:{}", 100 + ::getpid() / 250 % 100,
                     1 + ::getpid() % 250, port);
}

// Calls `on_destruction` in place of aborting open requests.
class observed_upstream_client {
 public:
  static inline std::function<void()> on_destruction;

  observed_upstream_client(
      event_loop& /*loop*/,
      const platform::upstream_client::reply_handler& /*on_reply*/) {}
  observed_upstream_client(const observed_upstream_client&) = delete;
  observed_upstream_client& operator=(const observed_upstream_client&) = delete;
  ~observed_upstream_client() { on_destruction(); }

  void send(const run_order& /*order*/) {}
};

struct observed_adapter : platform::adapter {
  using upstream_client = observed_upstream_client;
};

class entry_host_shutdown : public testing::Test {
 protected:
  entry_host_shutdown() {
    settings.name = "kranj-1";
    settings.zone = "kranj";
    settings.callers = address_of(20'001);
    settings.readiness = address_of(20'002);
    settings.metrics = address_of(20'003);
    settings.rpc = address_of(20'004);
  }

  // Runs a host entry daemon until it is destroyed; `use` runs beside it as
  // soon as it answers callers.
  void run_daemon(const std::function<void()>& use) {
    std::thread daemon([this] {
      host_entry_daemon<observed_adapter> host(settings, "");
      EXPECT_TRUE(ok(host.run()));
    });
    EXPECT_TRUE(wait_until([this] {
      return http_call(settings.callers, "GET", "/").status != 0;
    }));
    use();
    daemon.join();
  }

  host_settings settings;
};

// Guards against requests that are taken at the end of a drain and cut: an open
// connection must be closed before anything slow is destroyed.
TEST_F(entry_host_shutdown, no_connection_is_left_open_unread) {
  std::unique_ptr<raw_http> kept;
  bool is_closed = false;
  observed_upstream_client::on_destruction = [&] {
    kept->send(raw_http::post("/x", "{}"));
    is_closed = kept->closed_within(CLOSE_LIMIT_MS);
  };
  run_daemon([&] {
    kept = std::make_unique<raw_http>(settings.callers);
    kept->send(raw_http::post("/x", "{}"));
    EXPECT_NE(kept->receive().find("HTTP/1.1 503"), std::string::npos);
    ::kill(::getpid(), SIGTERM);
  });
  EXPECT_TRUE(is_closed);
}

}  // namespace
}  // namespace cyclamenwood
