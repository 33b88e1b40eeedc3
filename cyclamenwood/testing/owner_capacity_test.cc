// Owners in zones whose entry hosts differ in processor capacity.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "cyclamenwood/host_settings.h"
#include "cyclamenwood/owner_policy.h"

namespace cyclamenwood {
namespace {

constexpr uint32_t SMALL_MILLI = 90;
constexpr uint32_t LARGE_MILLI = 300;
constexpr uint32_t UPSTREAMS = 88;

known_entry_host make_host(uint32_t processor_milli, unix_ms first_contact_ms) {
  known_entry_host host;
  host.zone = "kranj";
  host.incarnation = 1;
  host.first_contact_ms = first_contact_ms;
  host.in_contact_since_ms = first_contact_ms;
  host.last_contact_ms = first_contact_ms;
  host.upstreams = UPSTREAMS;
  host.processor_milli = processor_milli;
  return host;
}

// Seven small hosts, s0 and so on, and two large ones, t0 and t1.
entry_host_map make_hosts(unix_ms first_contact_ms) {
  entry_host_map hosts;
  for (int i = 0; i < 7; ++i)
    hosts[fmt::format("s{}", i)] = make_host(SMALL_MILLI, first_contact_ms);
  for (int i = 0; i < 2; ++i)
    hosts[fmt::format("t{}", i)] = make_host(LARGE_MILLI, first_contact_ms);
  return hosts;
}

size_t grant_all(control_log& log,
                 const std::vector<wire::owner_grant>& grants) {
  for (const wire::owner_grant& grant : grants)
    apply_grant(log, grant);
  return grants.size();
}

std::map<std::string, int> shards_by_host(const control_log& log) {
  std::map<std::string, int> counts;
  for (const wire::owner_grant& grant : log.table.grants())
    ++counts[grant.host()];
  return counts;
}

void expect_shares_of_capacity(const control_log& log) {
  std::map<std::string, int> counts = shards_by_host(log);
  EXPECT_EQ(counts["t0"], 3);
  EXPECT_EQ(counts["t1"], 3);
  for (int i = 0; i < 7; ++i)
    EXPECT_LE(counts[fmt::format("s{}", i)], 1) << i;
}

// Guards against small hosts that dispatch as many tasks as hosts with three
// times their processor capacity, and are late.
TEST(owner_capacity, large_hosts_own_more_shards_and_keep_them) {
  control_log log;
  entry_host_map hosts = make_hosts(5'000);
  EXPECT_EQ(grant_all(log, choose_owners(log, hosts, 0, 5'000)), 9U);
  expect_shares_of_capacity(log);
  EXPECT_TRUE(choose_owners(log, hosts, 0, 5'200).empty());
}

// Guards against shards that move back and forth between hosts of different
// capacity.
TEST(owner_capacity, shards_move_to_a_large_host_that_comes_later_once) {
  control_log log;
  entry_host_map hosts = make_hosts(5'000);
  entry_host_map late;
  for (const char* name : {"t0", "t1"})
    late.insert(hosts.extract(name));
  grant_all(log, choose_owners(log, hosts, 0, 5'000));
  hosts.merge(late);
  unix_ms now = 5'000 + 2 * MIN_OWNER_AGE_MS;
  for (auto& [name, host] : hosts)
    host.last_contact_ms = now;
  size_t moved = 0;
  for (int round = 0; round < 10; ++round)
    moved += grant_all(log, choose_owners(log, hosts, 0, now));
  // Seven shards, of which the large hosts own three each.
  EXPECT_EQ(moved, 6U);
  EXPECT_TRUE(choose_owners(log, hosts, 0, now).empty());
}

// Guards against a zone that follows the capacities of some hosts only, during
// an update from a version that doesn't tell them.
TEST(owner_capacity, hosts_are_equal_while_a_capacity_is_unknown) {
  control_log log;
  entry_host_map hosts = make_hosts(5'000);
  hosts["s3"].processor_milli = 0;
  grant_all(log, choose_owners(log, hosts, 0, 5'000));
  EXPECT_EQ(shards_by_host(log).size(), 9U);
}

// Guards against the loss of a zone's only large host leaving its shards
// without an owner, or all with one host.
TEST(owner_capacity, the_shards_of_a_lost_large_host_are_spread) {
  control_log log;
  entry_host_map hosts = make_hosts(1'000);
  grant_all(log, choose_owners(log, hosts, 0, 1'000 + CANDIDATE_TIMEOUT_MS));
  unix_ms now = 5'000;
  for (auto& [name, host] : hosts)
    host.last_contact_ms = name == "t0" ? now - OWNER_TIMEOUT_MS - 1 : now;
  grant_all(log, choose_owners(log, hosts, 0, now));
  std::map<std::string, int> counts = shards_by_host(log);
  EXPECT_FALSE(counts.contains("t0"));
  EXPECT_LE(counts["t1"], 4);
}

std::string settings_with(const std::string& member) {
  return fmt::format(
      R"({{"name": "n", "zone": "z", "ip": "10.0.0.1", "rpc_port": 7,
          "seeds": ["10.0.0.1:8"], {}}})",
      member);
}

// Guards against a host that reports a capacity that it doesn't have.
TEST(owner_capacity, the_capacity_is_the_share_of_all_cores) {
  result<host_settings> parsed = parse_host_settings(
      settings_with(R"("processor_share": 0.09, "processor_cores": 2)"));
  ASSERT_TRUE(ok(parsed)) << failure(parsed).detail;
  EXPECT_EQ(value(parsed).processor_milli, 180);
  parsed = parse_host_settings(settings_with(R"("bootstrap": false)"));
  ASSERT_TRUE(ok(parsed)) << failure(parsed).detail;
  EXPECT_EQ(value(parsed).processor_milli, 0);
  for (const char* wrong : {"0", "-1", "\"0.1\"", "1e9"}) {
    parsed = parse_host_settings(
        settings_with(fmt::format(R"("processor_share": {})", wrong)));
    ASSERT_FALSE(ok(parsed)) << wrong;
    EXPECT_NE(failure(parsed).detail.find("processor_share"),
              std::string::npos);
  }
}

}  // namespace
}  // namespace cyclamenwood
