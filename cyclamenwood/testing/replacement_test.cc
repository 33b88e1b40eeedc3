// Random series of replica losses, each within the number of losses that the
// deployment tolerates: the next one begins when the previous one has ceased to
// count. At the end the group must show the newest configuration and
// acknowledge another one.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <iterator>
#include <random>

#include "cyclamenwood/testing/control_fixture.h"

namespace cyclamenwood {
namespace {

// Time after the last event within which the group must serve again.
constexpr int64_t RECOVERY_MS = 12'000;
constexpr int SEEDS = 300;
constexpr int LOSSY_SEEDS = 4000;
constexpr unsigned LOST_PERCENT = 10;
constexpr int EVENTS = 5;

class replacement_fixture : public control_fixture {
 protected:
  void play(uint64_t seed, unsigned lost_percent) {
    random_.seed(seed);
    drops.seed(seed);
    drop_percent = 0;
    hosts.clear();
    cut.clear();
    zones_.clear();
    history_.clear();
    next_number_ = 1;
    seeds = {"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"};
    for (int i = 1; i <= 3; ++i)
      add_next(fmt::format("zone-{}", i));
    run_for(3000);
    feed(leader(), replica_config_submitted{now, 1, make_config(4, "four")});
    drop_percent = lost_percent;
    for (int event = 0; event < EVENTS; ++event)
      perform_event();
    drop_percent = 0;
    run_for(RECOVERY_MS);
    EXPECT_TRUE(serves_operators(4)) << history_;
    EXPECT_EQ(voters().size(), 3U) << history_;
  }

  void SetUp() override {}

 private:
  int64_t below(int64_t bound) {
    return std::uniform_int_distribution<int64_t>(0, bound - 1)(random_);
  }

  void add_next(const std::string& zone) {
    int number = next_number_++;
    std::string host = fmt::format("10.0.0.{}:7", number);
    add(host, number <= 3, zone, 3);
    zones_[host] = zone;
  }

  void perform_event() {
    auto chosen = std::next(zones_.begin(), below(std::ssize(zones_)));
    auto [host, zone] = *chosen;
    seeds.clear();
    for (const auto& [seed, seed_zone] : zones_)
      seeds.push_back(seed);
    history_ += fmt::format("{} {}{}: ", now, host,
                            host == leader() ? " (leader)" : "");
    switch (below(4)) {
      case 0:
        replace_as_planned(host, zone);
        break;
      case 1:
        replace_without_notice(host, zone);
        break;
      case 2:
        lose_disk(host, zone);
        break;
      default:
        restart(host);
        break;
    }
  }

  // The successor starts first. Once it has had its time, the end of the old
  // host is no loss.
  void replace_as_planned(const std::string& host, const std::string& zone) {
    history_ += "planned replacement\n";
    add_next(zone);
    run_for(CATCH_UP_MS + below(1000));
    EXPECT_LT(stop(host), STOP_GRACE_MS);
    zones_.erase(host);
    run_for(below(2000));
  }

  void replace_without_notice(const std::string& host,
                              const std::string& zone) {
    history_ += "replacement without notice\n";
    cut.insert(host);
    zones_.erase(host);
    run_for(below(2000));
    add_next(zone);
    run_for(CATCH_UP_MS);
  }

  void lose_disk(const std::string& host, const std::string& zone) {
    history_ += "lost disk\n";
    cut.insert(host);
    run_for(below(2000));
    add(host, false, zone, 3);
    run_for(CATCH_UP_MS);
  }

  void restart(const std::string& host) {
    history_ += "restart\n";
    stop(host);
    run_for(below(2000));
    std::vector<wire::wal_write> disk = dump_writes(hosts.at(host));
    add(host, hosts.at(host).identity, zones_.at(host), 3, disk);
    run_for(CATCH_UP_MS);
  }

  std::mt19937_64 random_;
  std::map<std::string, std::string> zones_;
  int next_number_ = 1;
  std::string history_;
};

// Guards against the loss of the group in a series of losses that it tolerates
// one by one.
TEST_F(replacement_fixture, losses_in_series_leave_a_majority) {
  for (uint64_t seed = 1; seed <= SEEDS; ++seed) {
    SCOPED_TRACE(fmt::format("seed {}", seed));
    play(seed, 0);
  }
}

// Guards against a lost leader that stays a voter for too long: its silence
// counts from the election of the next leader, which lost messages delay.
TEST_F(replacement_fixture, losses_and_lost_messages_leave_a_majority) {
  for (uint64_t seed = 1; seed <= LOSSY_SEEDS; ++seed) {
    SCOPED_TRACE(fmt::format("seed {}", seed));
    play(seed, LOST_PERCENT);
  }
}

}  // namespace
}  // namespace cyclamenwood
