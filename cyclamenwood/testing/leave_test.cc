// Leaving upstreams and graceful shutdown, tested with real processes.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <thread>

#include "cyclamenwood/loop.h"
#include "cyclamenwood/testing/background_load.h"
#include "cyclamenwood/testing/deployment.h"

namespace cyclamenwood {
namespace {

// The users' requirement: no new work this long after the leave.
constexpr int64_t LEAVE_BOUND_MS = 3000;

// Returns the time of the last start at the upstream, relative to `since`; 0
// when there is none.
int64_t last_start_after(const deployment& site,
                         const std::string& upstream,
                         unix_ms since) {
  int64_t last = 0;
  for (const start_record& record : site.starts()) {
    if (record.upstream == upstream)
      last = std::max(last, record.time_ms - since);
  }
  return last;
}

// Returns the entry host that receives the upstream's announcements.
std::string holder_of(deployment& site, const std::string& upstream) {
  nlohmann::json page =
      site.call(site.entry_hosts().front(), "GET", "/v1/upstreams").json();
  for (const nlohmann::json& item : page["upstreams"]) {
    if (item["id"] == upstream)
      return item["holder"];
  }
  return {};
}

class leaving : public ::testing::Test {
 protected:
  leaving() : site_({.proxy_all_links = true}) {}

  void start_load() {
    site_.start();
    ASSERT_TRUE(site_.start_serving());
    load_ = std::make_unique<background_load>(
        site_, load_options{.callers = 12,
                            .tasks = 2,
                            .payload = "ms=30",
                            .deadline_ms = 4000});
    ASSERT_TRUE(wait_until([&] {
      std::vector<start_record> starts = site_.starts();
      return std::any_of(starts.begin(), starts.end(), [](const auto& record) {
        return record.upstream == UPSTREAM;
      });
    }));
  }

  // Continues the load beyond the bound, then checks the time of the last
  // start.
  void expect_no_work_after_bound(unix_ms left_ms) {
    int before = load_->completed();
    ASSERT_TRUE(wait_until([&] {
      return current_time() > left_ms + LEAVE_BOUND_MS + 2000 &&
             load_->completed() > before + 50;
    }));
    load_result result = load_->stop();
    int64_t last = last_start_after(site_, UPSTREAM, left_ms);
    EXPECT_LE(last, LEAVE_BOUND_MS);
    RecordProperty("last_start_ms", static_cast<int>(last));
    fmt::print("last new start {} ms after the leave\n", last);
    EXPECT_EQ(result.wrong_answers, 0);
    EXPECT_LE(site_.max_starts(), 1U);
  }

  static constexpr const char* UPSTREAM = "kranj-u1";
  deployment site_;
  std::unique_ptr<background_load> load_;
};

TEST_F(leaving, an_announced_leave_stops_new_work) {
  start_load();
  unix_ms left_ms = current_time();
  site_.control_upstream(UPSTREAM, "leave");
  expect_no_work_after_bound(left_ms);
}

// The holder receives the leave but is partitioned from the other entry hosts.
TEST_F(leaving, the_holder_is_cut_off) {
  start_load();
  std::string holder = holder_of(site_, UPSTREAM);
  site_.cut_process(holder);
  unix_ms left_ms = current_time();
  site_.control_upstream(UPSTREAM, "leave");
  expect_no_work_after_bound(left_ms);
}

TEST_F(leaving, the_holder_is_killed_after_the_leave) {
  start_load();
  std::string holder = holder_of(site_, UPSTREAM);
  site_.cut_process(holder);
  unix_ms left_ms = current_time();
  site_.control_upstream(UPSTREAM, "leave");
  site_.kill_process(holder);
  expect_no_work_after_bound(left_ms);
}

// The upstream stops its announcements without a leave, and would still accept
// tasks.
TEST_F(leaving, an_upstream_falls_silent) {
  start_load();
  unix_ms left_ms = current_time();
  site_.control_upstream(UPSTREAM, "vanish");
  expect_no_work_after_bound(left_ms);
}

TEST_F(leaving, a_new_incarnation_gets_work_again) {
  start_load();
  site_.stop_process("upstreams-kranj");
  site_.start_process("upstreams-kranj");
  unix_ms restarted_ms = current_time();
  EXPECT_TRUE(wait_until(
      [&] { return last_start_after(site_, UPSTREAM, restarted_ms) > 0; }));
  load_result result = load_->stop();
  EXPECT_LE(site_.max_starts(), 1U);
  EXPECT_EQ(result.wrong_answers, 0);
}

// ---- Graceful shutdown ------------------------------------------------------

class drain : public ::testing::Test {
 protected:
  void start_load(deployment& site) {
    site.start();
    ASSERT_TRUE(site.start_serving());
    load_ = std::make_unique<background_load>(
        site, load_options{.callers = 10, .tasks = 3, .payload = "ms=150"});
    ASSERT_TRUE(wait_until([&] { return load_->completed() > 20; }));
  }

  void stop_and_restart(deployment& site, const std::string& name) {
    EXPECT_EQ(site.stop_process(name), 0) << name;
    site.start_process(name);
    // Waits until entry hosts serve again and replicas know their leaders.
    ASSERT_TRUE(wait_until([&] {
      nlohmann::json page = site.status(name);
      if (!page.is_object())
        return false;
      if (page.contains("serving"))
        return page.value("serving", false);
      for (const auto& [group, item] : page["groups"].items()) {
        if (item["leader"] == "")
          return false;
      }
      return true;
    })) << name;
  }

  void expect_nothing_failed(const deployment& site) {
    load_result result = load_->stop();
    EXPECT_EQ(result.outcomes.size(), 1U) << result.example_failure;
    EXPECT_GT(result.outcomes["complete"], 0);
    EXPECT_EQ(result.wrong_answers, 0);
    EXPECT_EQ(site.max_starts(), 1U);
  }

  std::unique_ptr<background_load> load_;
};

TEST_F(drain, every_process_one_after_another) {
  deployment site;
  start_load(site);
  for (const std::string& replica : site.replicas())
    stop_and_restart(site, replica);
  for (const std::string& host : site.entry_hosts())
    stop_and_restart(site, host);
  expect_nothing_failed(site);
}

TEST_F(drain, two_hosts_of_one_zone_and_the_leaders) {
  deployment site;
  start_load(site);
  site.signal_process("kranj-1", SIGTERM);
  site.signal_process("kranj-2", SIGTERM);
  EXPECT_EQ(site.wait_for_exit("kranj-1"), 0);
  EXPECT_EQ(site.wait_for_exit("kranj-2"), 0);
  std::string leader = site.leader_of("claims/lj-vic");
  // Replicas are restarted one at a time: with two down, a group could lose its
  // quorum.
  stop_and_restart(site, leader);
  // A roll-out while the leader of the configuration group shuts down.
  std::string config_leader;
  ASSERT_TRUE(wait_until([&] {
    config_leader = site.leader_of("config");
    return !config_leader.empty();
  }));
  site.signal_process(config_leader, SIGTERM);
  EXPECT_EQ(site.roll_out(2).status, 200);
  EXPECT_EQ(site.wait_for_exit(config_leader), 0);
  int before = load_->completed();
  EXPECT_TRUE(wait_until([&] { return load_->completed() > before + 20; }));
  expect_nothing_failed(site);
}

}  // namespace
}  // namespace cyclamenwood
