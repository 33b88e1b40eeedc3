// Tests with real processes: a task starts at most once, and `not_run` is
// answered only for jobs of which no task has started.
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

#include "cyclamenwood/loop.h"
#include "cyclamenwood/testing/background_load.h"
#include "cyclamenwood/testing/deployment.h"

namespace cyclamenwood {
namespace {

void sleep_ms(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// Checks the answers that the load received against the log of starts of the
// stand-in upstreams.
void expect_consistent(const deployment& site, const load_result& load) {
  EXPECT_EQ(load.wrong_answers, 0);
  EXPECT_LE(site.max_starts(), 1U);
  for (const std::string& key : load.not_run_keys)
    EXPECT_EQ(site.starts_of(key), 0U) << key;
}

TEST(starts, resubmissions_at_all_hosts_share_one_run) {
  deployment site;
  site.start();
  ASSERT_TRUE(site.start_serving());
  std::vector<std::future<http_reply>> replies;
  for (const std::string& host : site.entry_hosts()) {
    for (int copy = 0; copy < 2; ++copy)
      replies.push_back(std::async(std::launch::async, [&site, host] {
        return site.submit(host, "kranj:shared", 3, "ms=300");
      }));
  }
  std::string first;
  for (auto& pending : replies) {
    http_reply reply = pending.get();
    EXPECT_EQ(reply.outcome(), "complete") << reply.body;
    if (first.empty())
      first = reply.json()["results"].dump();
    EXPECT_EQ(reply.json()["results"].dump(), first);
  }
  // Resubmissions with a new deadline, at the owner and at other hosts.
  for (const std::string& host : site.entry_hosts())
    EXPECT_EQ(site.submit(host, "kranj:shared", 3, "ms=300").outcome(),
              "complete");
  EXPECT_EQ(site.starts_of("kranj:shared"), 3U);
  for (const std::string& host : site.entry_hosts()) {
    http_reply other = site.submit(host, "kranj:shared", 2, "ms=10");
    EXPECT_EQ(other.outcome(), "key_conflict");
    EXPECT_EQ(other.execution(), "not_run");
  }
  EXPECT_EQ(site.starts_of("kranj:shared"), 3U);
}

// The owner is killed after increasing delays since the submission: before the
// claim, between claim and start, between starts, and before the answer.
TEST(starts, a_killed_owner_leaves_no_second_start) {
  deployment site({.slots = 1});
  site.start();
  ASSERT_TRUE(site.start_serving());
  const std::string owner = "kranj-1";
  int round = 0;
  for (int64_t delay_ms : {0, 1, 2, 3, 5, 8, 20, 100, 250, 400}) {
    std::string key = fmt::format("kranj:killed-{}", round++);
    auto lost = std::async(std::launch::async, [&] {
      return site.submit(owner, key, 4, "ms=150", 4000);
    });
    sleep_ms(delay_ms);
    site.kill_process(owner);
    lost.get();
    http_reply elsewhere = site.submit("lj-vic-1", key, 4, "ms=150", 4000);
    if (elsewhere.outcome() != "complete") {
      EXPECT_EQ(elsewhere.execution(), "unknown") << elsewhere.body;
    }
    site.start_process(owner);
    ASSERT_TRUE(wait_until(
        [&] { return site.call(owner, "GET", "/healthz").status == 200; }));
    // A new incarnation does not inherit the claims of the previous one.
    http_reply back = site.submit(owner, key, 4, "ms=150", 4000);
    if (back.outcome() != "complete") {
      EXPECT_EQ(back.execution(), "unknown") << back.body;
    }
    EXPECT_LE(site.max_starts(), 1U) << "killed after " << delay_ms << " ms";
  }
}

TEST(starts, a_frozen_owner_starts_nothing_after_the_deadline) {
  deployment site({.zones = {"kranj"}, .upstreams_a_zone = 1, .slots = 1});
  site.start();
  ASSERT_TRUE(site.start_serving());
  auto blocking = std::async(std::launch::async, [&] {
    return site.submit("kranj-1", "kranj:blocking", 1, "ms=900", 20'000);
  });
  ASSERT_TRUE(wait_until([&] { return site.starts().size() == 1; }));
  auto queued = std::async(std::launch::async, [&] {
    return site.submit("kranj-1", "kranj:queued", 1, "ms=10", 700);
  });
  ASSERT_TRUE(wait_until(
      [&] { return site.status("kranj-1").value("queued_tasks", 0) == 1; }));
  site.signal_process("kranj-1", SIGSTOP);
  sleep_ms(2000);
  site.signal_process("kranj-1", SIGCONT);
  http_reply late = queued.get();
  EXPECT_EQ(late.outcome(), "deadline_passed");
  EXPECT_EQ(late.execution(), "not_run");
  EXPECT_EQ(blocking.get().outcome(), "complete");
  EXPECT_EQ(site.starts_of("kranj:queued"), 0U);
  // The refused job runs when it is submitted again.
  EXPECT_EQ(site.submit("kranj-1", "kranj:queued", 1, "ms=10").outcome(),
            "complete");
  EXPECT_EQ(site.starts_of("kranj:queued"), 1U);
}

// The claims leader is killed, suspended and partitioned in one direction while
// jobs are submitted.
TEST(starts, claim_leaders_come_and_go) {
  deployment site({.proxy_all_links = true});
  site.start();
  ASSERT_TRUE(site.start_serving());
  background_load load(site, {.home = "kranj"});
  const std::string group = "claims/kranj";
  std::string leader;
  auto find_leader = [&] {
    leader = site.leader_of(group);
    return !leader.empty();
  };
  auto progress = [&] {
    int before = load.completed();
    return wait_until([&] { return load.completed() > before + 20; });
  };
  ASSERT_TRUE(progress());
  ASSERT_TRUE(wait_until(find_leader));
  site.kill_process(leader);
  EXPECT_TRUE(progress());
  site.start_process(leader);
  ASSERT_TRUE(wait_until(find_leader));
  site.signal_process(leader, SIGSTOP);
  EXPECT_TRUE(progress());
  site.signal_process(leader, SIGCONT);
  EXPECT_TRUE(progress());
  ASSERT_TRUE(wait_until(find_leader));
  for (const std::string& other : site.replicas()) {
    if (other != leader)
      site.cut_one_way(other, leader);
  }
  EXPECT_TRUE(progress());
  site.heal();
  EXPECT_TRUE(progress());
  expect_consistent(site, load.stop());
}

TEST(starts, a_cut_off_zone_serves_its_own_keys) {
  deployment site;
  site.start();
  ASSERT_TRUE(site.start_serving());
  site.cut_zone("kranj");
  // The claims group of the partitioned zone has its quorum inside the zone.
  for (int i = 0; i < 5; ++i) {
    http_reply inside =
        site.submit("kranj-1", fmt::format("kranj:cut-{}", i), 2, "ms=30");
    EXPECT_EQ(inside.outcome(), "complete") << inside.body;
  }
  // The claims group of this key's home zone is unreachable from here.
  http_reply outside = site.submit("kranj-1", "lj-vic:cut", 2, "ms=30", 4000);
  EXPECT_EQ(outside.outcome(), "claim_unavailable") << outside.body;
  EXPECT_EQ(outside.execution(), "unknown");
  http_reply elsewhere = site.submit("lj-vic-1", "lj-vic:cut2", 2, "ms=30");
  EXPECT_EQ(elsewhere.outcome(), "complete") << elsewhere.body;
  // Idempotent requests need no claim.
  nlohmann::json request = {{"tenant", "guest"},
                            {"class", "interactive"},
                            {"deadline_ms", current_time() + 5000},
                            {"idempotent", true},
                            {"payload", "ms=20"}};
  http_reply single =
      site.call("kranj-2", "POST", "/v1/requests/fit-desk", request.dump());
  EXPECT_EQ(single.outcome(), "complete") << single.body;
  site.heal();
  ASSERT_TRUE(wait_until([&] {
    return site.submit("kranj-1", "lj-vic:cut", 2, "ms=30", 4000).outcome() ==
           "complete";
  }));
  EXPECT_LE(site.max_starts(), 1U);
}

TEST(starts, misbehaving_upstreams_get_a_task_once) {
  deployment site;
  site.start();
  ASSERT_TRUE(site.start_serving());
  struct row {
    const char* mode;
    const char* outcome;
    const char* execution;
  };
  const row rows[] = {{"close", "task_outcome_unknown", "unknown"},
                      {"silent", "deadline_passed", "unknown"},
                      {"late", "deadline_passed", "unknown"},
                      {"twice", "complete", "ran"},
                      {"wrong", "task_outcome_unknown", "unknown"},
                      {"truncate", "task_outcome_unknown", "unknown"},
                      {"huge", "answer_too_large", "ran"},
                      {"fail", "task_failed", "ran"},
                      {"not_started", "no_upstream", "not_run"}};
  for (const row& item : rows) {
    std::string key = fmt::format("kranj:{}", item.mode);
    http_reply reply = site.submit(
        "kranj-1", key, 1, fmt::format("ms=10 mode={}", item.mode), 1500);
    EXPECT_EQ(reply.outcome(), item.outcome) << reply.body;
    EXPECT_EQ(reply.execution(), item.execution) << item.mode;
    http_reply again = site.submit(
        "lj-vic-1", key, 1, fmt::format("ms=10 mode={}", item.mode), 1500);
    EXPECT_EQ(again.execution(), item.execution) << item.mode;
    size_t wanted = std::string_view(item.mode) == "not_started" ? 0 : 1;
    EXPECT_EQ(site.starts_of(key), wanted) << item.mode;
  }
  // A reused connection on which an upstream answered twice does not corrupt
  // later answers.
  for (int i = 0; i < 20; ++i) {
    std::string key = fmt::format("kranj:after-{}", i);
    EXPECT_EQ(site.submit("kranj-1", key, 3, "ms=5 mode=twice").outcome(),
              "complete");
  }
  EXPECT_LE(site.max_starts(), 1U);
}

TEST(starts, a_lost_disk_is_replaced_and_a_second_loss_survived) {
  deployment site;
  site.start();
  ASSERT_TRUE(site.start_serving());
  ASSERT_EQ(site.submit("kranj-1", "kranj:before", 2, "ms=10").outcome(),
            "complete");
  site.kill_process("kranj-r1");
  site.wipe_data("kranj-r1");
  // The replica does not start with an unformatted data folder.
  site.start_process("kranj-r1");
  EXPECT_EQ(site.wait_for_exit("kranj-r1"), 4);
  site.format_data("kranj-r1");
  site.start_process("kranj-r1");
  auto replaced = [&] {
    nlohmann::json page = site.status("kranj-r1");
    if (!page.is_object())
      return false;
    for (const auto& [name, group] : page["groups"].items()) {
      size_t voters = name == "config" ? 6 : 3;
      if (!group.value("voter", false) || group["voters"] != voters)
        return false;
    }
    return true;
  };
  ASSERT_TRUE(wait_until(replaced)) << site.status("kranj-r1").dump(1);
  // A second replica is lost permanently right after the repair.
  site.kill_process("kranj-r2");
  site.wipe_data("kranj-r2");
  http_reply known = site.submit("lj-vic-1", "kranj:before", 2, "ms=10");
  EXPECT_EQ(known.outcome(), "complete") << known.body;
  http_reply fresh = site.submit("kranj-2", "kranj:after", 2, "ms=10");
  EXPECT_EQ(fresh.outcome(), "complete") << fresh.body;
  EXPECT_EQ(site.starts_of("kranj:before"), 2U);
  EXPECT_EQ(site.roll_out(2).status, 200);
}

TEST(starts, a_damaged_log_stops_the_replica) {
  deployment site;
  site.start();
  ASSERT_TRUE(site.start_serving());
  for (int i = 0; i < 10; ++i)
    site.submit("kranj-1", fmt::format("kranj:{}", i), 1, "ms=5");
  std::string log = site.data_folder("kranj-r1") + "/log";
  site.kill_process("kranj-r1");
  std::fstream file(log, std::ios::in | std::ios::out | std::ios::binary);
  file.seekg(200);
  char byte = static_cast<char>(file.get());
  file.seekp(200);
  file.put(static_cast<char>(byte ^ 1));
  file.close();
  site.start_process("kranj-r1");
  EXPECT_EQ(site.wait_for_exit("kranj-r1"), 4);
  EXPECT_NE(site.log_of("kranj-r1").find("log_corrupt"), std::string::npos);
  // The group remains available without this replica.
  EXPECT_EQ(site.submit("kranj-1", "kranj:on", 1, "ms=5").outcome(),
            "complete");
}

TEST(starts, a_full_disk_acknowledges_nothing) {
  deployment site({.zones = {"kranj"}, .replicas_a_zone = 1});
  site.start();
  ASSERT_TRUE(site.start_serving());
  ASSERT_EQ(site.submit("kranj-1", "kranj:a", 1, "ms=5").outcome(), "complete");
  // The file size limit prevents the log from growing.
  std::string log = site.data_folder("kranj-r1") + "/log";
  std::ifstream file(log, std::ios::ate | std::ios::binary);
  site.limit_file_size("kranj-r1", file.tellg());
  http_reply refused = site.submit("kranj-1", "kranj:b", 1, "ms=5", 1500);
  EXPECT_EQ(refused.execution(), "unknown") << refused.body;
  EXPECT_EQ(site.wait_for_exit("kranj-r1"), 4);
  EXPECT_NE(site.log_of("kranj-r1").find("write_failed"), std::string::npos);
  EXPECT_EQ(site.starts_of("kranj:b"), 0U);
  site.start_process("kranj-r1");
  ASSERT_TRUE(wait_until([&] {
    return site.submit("kranj-1", "kranj:b", 1, "ms=5", 3000).outcome() ==
           "complete";
  }));
  EXPECT_EQ(site.starts_of("kranj:b"), 1U);
}

// Guards against a replica that goes on without taking part, since its first
// write failed while it started.
TEST(starts, a_replica_that_cannot_write_as_it_starts_ends) {
  constexpr uintmax_t MAX_LOG_BYTES = 4096;
  nlohmann::json settings;
  settings["replica"]["max_log_bytes"] = MAX_LOG_BYTES;
  deployment site({.zones = {"kranj"},
                   .replicas_a_zone = 1,
                   .settings = std::move(settings)});
  site.start();
  ASSERT_TRUE(site.start_serving());
  for (int i = 0; i < 50; ++i)
    site.submit("kranj-1", fmt::format("kranj:{}", i), 1, "ms=5");
  EXPECT_EQ(site.stop_process("kranj-r1"), 0);
  std::filesystem::path folder = site.data_folder("kranj-r1");
  ASSERT_GT(std::filesystem::file_size(folder / "log"), MAX_LOG_BYTES);
  // Nothing can be written in its place, so the rewrite of the log fails.
  std::filesystem::create_directory(folder / "log.new");
  site.start_process("kranj-r1");
  ASSERT_EQ(site.wait_for_exit("kranj-r1"), 4) << site.log_of("kranj-r1");
  std::filesystem::remove(folder / "log.new");
  site.start_process("kranj-r1");
  ASSERT_TRUE(wait_until([&] {
    return site.submit("kranj-1", "kranj:after", 1, "ms=5", 3000).outcome() ==
           "complete";
  }));
  EXPECT_LE(site.max_starts(), 1U);
}

// A full claim table refuses new jobs as `not_run` and keeps existing claims.
TEST(starts, a_full_table_refuses_new_jobs) {
  deployment site({.settings = {{"replica", {{"max_claim_records", 5}}}}});
  site.start();
  ASSERT_TRUE(site.start_serving());
  for (int i = 0; i < 5; ++i)
    EXPECT_EQ(
        site.submit("kranj-1", fmt::format("kranj:{}", i), 1, "ms=5").outcome(),
        "complete");
  http_reply refused = site.submit("kranj-1", "kranj:new", 1, "ms=5");
  EXPECT_EQ(refused.outcome(), "claim_table_full");
  EXPECT_EQ(refused.execution(), "not_run");
  EXPECT_EQ(site.starts_of("kranj:new"), 0U);
  EXPECT_EQ(site.submit("lj-vic-1", "kranj:3", 1, "ms=5").outcome(),
            "complete");
  EXPECT_EQ(site.starts_of("kranj:3"), 1U);
}

// Submits a key with its own expiry time repeatedly: before the expiry, after
// it, and after its record was dropped.
TEST(starts, an_expired_key_is_never_run_again) {
  deployment site({.zones = {"kranj"}});
  site.start();
  ASSERT_TRUE(site.start_serving());
  int64_t expiry_s = current_time() / 1000 + 2;
  std::string key = fmt::format("kranj:{}:fit", expiry_s);
  EXPECT_EQ(site.submit("kranj-1", key, 1, "ms=5").outcome(), "complete");
  ASSERT_TRUE(wait_until([&] {
    std::string outcome = site.submit("kranj-2", key, 1, "ms=5").outcome();
    EXPECT_TRUE(outcome == "complete" || outcome == "key_expired") << outcome;
    return outcome == "key_expired" && current_time() / 1000 > expiry_s + 7;
  }));
  EXPECT_EQ(site.starts_of(key), 1U);
}

// Entry hosts and replicas are killed and restarted and a zone is partitioned
// while jobs are submitted.
TEST(starts, not_run_is_true_under_kills_and_cuts) {
  deployment site({.slots = 2});
  site.start();
  ASSERT_TRUE(site.start_serving());
  background_load load(
      site,
      {.callers = 16, .tasks = 3, .payload = "ms=120", .deadline_ms = 900});
  for (size_t round = 0; round < 3; ++round) {
    std::string host = site.entry_hosts()[round * 2];
    std::string replica = site.replicas()[round * 2 + 1];
    site.kill_process(host);
    sleep_ms(300);
    site.kill_process(replica);
    site.cut_zone("lj-vic");
    sleep_ms(700);
    site.start_process(replica);
    site.start_process(host);
    site.heal();
    sleep_ms(500);
  }
  load_result result = load.stop();
  EXPECT_GT(result.outcomes["complete"], 20);
  EXPECT_GT(result.not_run_keys.size(), 0U);
  expect_consistent(site, result);
}

}  // namespace
}  // namespace cyclamenwood
