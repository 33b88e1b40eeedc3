// Configurations in quick succession, each of half a megabyte: what a replica
// keeps of them in memory is bounded.
#include <string>

#include "cyclamenwood/testing/control_fixture.h"

namespace cyclamenwood {
namespace {

constexpr size_t CONFIG_BYTES = 500'000;
constexpr uint64_t CONFIGS = 60;
// The bound of the log in bytes, and one configuration above it.
constexpr size_t MAX_APPLIED_BYTES = (4 << 20) + CONFIG_BYTES + 1000;
constexpr size_t MAX_UNCOMMITTED_BYTES = (8 << 20) + CONFIG_BYTES + 1000;

class large_configs : public control_fixture {
 protected:
  void submit(uint64_t version) {
    feed(first, replica_config_submitted{
                    now, ++last_exchange,
                    make_config(version, std::string(CONFIG_BYTES, 'x'))});
  }

  size_t logged_bytes(const std::string& host) {
    size_t bytes = 0;
    for (const wire::log_entry& entry : group(host).raft.log)
      bytes += entry.ByteSizeLong();
    return bytes;
  }

  size_t logged_configs(const std::string& host) {
    size_t configs = 0;
    for (const wire::log_entry& entry : group(host).raft.log)
      configs += entry.command().has_latest() ? 1 : 0;
    return configs;
  }

  void elect() {
    run_for(3000);
    first = leader();
    ASSERT_FALSE(first.empty());
  }

  void cut_followers() {
    for (const auto& [host, state] : hosts) {
      if (host != first)
        cut.insert(host);
    }
  }

  std::string first;
  uint64_t last_exchange = 0;
};

// review/3: the log was bounded by its number of entries only.
TEST_F(large_configs, do_not_fill_the_log) {
  elect();
  for (uint64_t version = 1; version <= CONFIGS; ++version) {
    submit(version);
    run_for(20);
    for (const auto& [host, state] : hosts)
      ASSERT_LE(logged_bytes(host), MAX_APPLIED_BYTES) << host;
  }
  EXPECT_EQ(answers.at(last_exchange).outcome, operator_outcome::accepted);
}

// A replica that was away gets the newest configuration, not all of them.
TEST_F(large_configs, do_not_all_reach_a_replica_that_was_away) {
  elect();
  std::string away = first == "10.0.0.1:7" ? "10.0.0.2:7" : "10.0.0.1:7";
  cut.insert(away);
  for (uint64_t version = 1; version <= CONFIGS; ++version) {
    submit(version);
    run_for(20);
  }
  cut.clear();
  run_for(3000);
  EXPECT_LE(logged_bytes(away), MAX_APPLIED_BYTES);
  EXPECT_EQ(group(away).applied_index, group(leader()).applied_index);
}

// A leader whose followers do not answer refuses what it can't commit.
TEST_F(large_configs, are_not_collected_by_a_leader_without_followers) {
  elect();
  cut_followers();
  for (uint64_t version = 1; version <= CONFIGS; ++version)
    submit(version);
  EXPECT_LE(logged_bytes(first), MAX_UNCOMMITTED_BYTES);
  EXPECT_EQ(answers.at(last_exchange).outcome, operator_outcome::unavailable);
  cut.clear();
  run_for(3000);
  first = leader();
  submit(CONFIGS + 1);
  run_for(200);
  EXPECT_EQ(answers.at(last_exchange).outcome, operator_outcome::accepted);
}

// Operators send a configuration again until it is acknowledged.
TEST_F(large_configs, are_logged_once_however_often_they_are_sent) {
  elect();
  cut_followers();
  size_t before = logged_configs(first);
  for (int i = 0; i < 5; ++i)
    submit(7);
  submit(6);
  EXPECT_EQ(logged_configs(first), before + 1);
  cut.clear();
  // The leader repeats the append after its time-out.
  run_for(1000);
  for (uint64_t exchange = 1; exchange <= last_exchange; ++exchange)
    EXPECT_EQ(answers.at(exchange).outcome, operator_outcome::accepted);
}

// At most one is sent to an entry host that does not acknowledge any, within
// the time after which it is sent again.
TEST_F(large_configs, do_not_add_up_for_an_entry_host_that_is_silent) {
  elect();
  hello("e1", "kranj");
  configs_sent = 0;
  for (uint64_t version = 1; version <= 15; ++version) {
    submit(version);
    run_for(20);
  }
  // 300 ms, less than the time between repetitions.
  EXPECT_LE(configs_sent, 1);
}

}  // namespace
}  // namespace cyclamenwood
