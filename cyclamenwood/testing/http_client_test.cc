// Tests that the task client never sends a request twice, with or without a
// body: an HTTP client may repeat a request when a reused connection is closed
// before the first byte of the answer.
#include "cyclamenwood/http_client.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "cyclamenwood/loop.h"
#include "cyclamenwood/testing/deployment.h"

namespace cyclamenwood {
namespace {

TEST(http_client, a_closed_kept_connection_costs_no_second_start) {
  deployment site({.zones = {"kranj"}, .upstreams_a_zone = 1});
  site.start();
  std::string address = site.upstream_address("kranj-u1");
  ASSERT_TRUE(wait_until([&] {
    return http_call(address, "POST", "/control", "ok").status == 200;
  }));
  event_loop loop;
  std::map<uint64_t, task_outcome> outcomes;
  http_client client(
      loop, dispatch_settings(),
      [&](uint64_t attempt, task_outcome outcome,
          const std::string& /*identity*/, const std::string& /*body*/) {
        outcomes[attempt] = outcome;
        loop.stop();
      });
  auto run = [&](uint64_t attempt, const std::string& payload) {
    entry_start_task start;
    start.attempt_id = attempt;
    start.address = address;
    start.identity = fmt::format("t/1/1/1/{}", attempt);
    start.id = {"zupancic", fmt::format("key-{}", attempt)};
    start.payload = payload;
    start.max_answer_bytes = 1 << 20;
    client.start(start);
    loop.run();
    return outcomes[attempt];
  };
  // The second attempt reuses the connection of the first. The upstream starts
  // its task, then closes the connection without an answer.
  EXPECT_EQ(run(1, "ms=1"), task_outcome::completed);
  EXPECT_EQ(run(2, "ms=1 mode=close"), task_outcome::incomplete);
  EXPECT_EQ(run(3, "ms=1"), task_outcome::completed);
  http_call(address, "POST", "/control", "close");
  EXPECT_EQ(run(4, ""), task_outcome::incomplete);
  http_call(address, "POST", "/control", "ok");
  EXPECT_EQ(run(5, ""), task_outcome::completed);
  for (uint64_t attempt = 1; attempt <= 5; ++attempt)
    EXPECT_EQ(site.starts_of(fmt::format("key-{}", attempt)), 1U) << attempt;
  // Nothing listens on the address, so the task is certain not to have started.
  site.kill_process("upstreams-kranj");
  EXPECT_EQ(run(6, "ms=1"), task_outcome::not_connected);
}

}  // namespace
}  // namespace cyclamenwood
