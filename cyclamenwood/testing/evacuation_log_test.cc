// Tests of evacuations of availability zones in the control log: what an
// acknowledgement promises, and what entry hosts are sent.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>

#include "cyclamenwood/control_log.h"
#include "cyclamenwood/replica.h"
#include "cyclamenwood/testing/control_fixture.h"

namespace cyclamenwood {
namespace {

using zone_names = std::vector<std::string>;

wire::evacuation make_order(const std::string& zone, bool active) {
  wire::evacuation order;
  order.set_zone(zone);
  order.set_active(active);
  return order;
}

zone_names zones_of(const wire::evacuation_list& list) {
  zone_names zones(list.zones().begin(), list.zones().end());
  std::sort(zones.begin(), zones.end());
  return zones;
}

// Guards against a list that looks older than it is: entry hosts keep the one
// with the higher revision.
TEST(evacuation_log, every_command_raises_the_revision) {
  control_log log;
  uint64_t revision = 0;
  for (bool active : {true, true, false, false, true}) {
    apply_evacuation(log, make_order("kranj", active));
    EXPECT_EQ(log.table.evacuations().revision(), ++revision);
    EXPECT_EQ(zones_of(log.table.evacuations()),
              active ? zone_names{"kranj"} : zone_names{});
  }
}

// Guards against a finish that returns another zone to service.
TEST(evacuation_log, zones_are_evacuated_independently) {
  control_log log;
  for (const char* zone : {"kranj", "vic", "bezigrad"})
    apply_evacuation(log, make_order(zone, true));
  apply_evacuation(log, make_order("vic", false));
  EXPECT_EQ(zones_of(log.table.evacuations()),
            (zone_names{"bezigrad", "kranj"}));
}

// Guards against a revision that begins anew: entry hosts would ignore all
// commands after the snapshot.
TEST(evacuation_log, a_snapshot_keeps_zones_and_revision) {
  control_log log;
  for (bool active : {true, false, true})
    apply_evacuation(log, make_order("kranj", active));
  control_log restored = load_control(save_control(log));
  EXPECT_EQ(zones_of(restored.table.evacuations()), zone_names{"kranj"});
  apply_evacuation(restored, make_order("vic", true));
  EXPECT_EQ(restored.table.evacuations().revision(), 4U);
  // A snapshot from before the first evacuation.
  EXPECT_EQ(load_control("").table.evacuations().revision(), 0U);
}

class evacuation_fixture : public control_fixture {
 protected:
  replica_event make_event(const std::string& zone, bool active) {
    return replica_evacuation_ordered{now, ++last_exchange,
                                      make_order(zone, active)};
  }

  // Returns the exchange.
  uint64_t order(const std::string& host,
                 const std::string& zone,
                 bool active) {
    feed(host, make_event(zone, active));
    return last_exchange;
  }

  operator_outcome outcome_of(uint64_t exchange) {
    EXPECT_TRUE(answers.contains(exchange)) << exchange;
    return answers[exchange].outcome;
  }

  const wire::evacuation_list& list_at(const std::string& host) {
    return std::get<control_log>(group(host).machine).table.evacuations();
  }

  std::string follower() {
    return leader() == "10.0.0.1:7" ? "10.0.0.2:7" : "10.0.0.1:7";
  }

  void expect_everywhere(const zone_names& zones, uint64_t revision) {
    for (const auto& [host, state] : hosts) {
      EXPECT_EQ(zones_of(list_at(host)), zones) << host;
      EXPECT_EQ(list_at(host).revision(), revision) << host;
    }
  }

  void send_hello(const std::string& from,
                  const std::string& zone,
                  uint64_t have_evacuations,
                  uint64_t incarnation = 1) {
    wire::envelope envelope;
    envelope.set_from(from);
    envelope.set_incarnation(incarnation);
    envelope.mutable_entry_hello()->set_zone(zone);
    envelope.mutable_entry_hello()->set_have_evacuations(have_evacuations);
    for (const auto& [host, state] : hosts) {
      if (!cut.contains(host))
        feed(host, replica_received{now, envelope});
    }
  }

  // Power fails everywhere at once; the disks stay.
  void restart_all() {
    std::map<std::string, std::vector<wire::wal_write>> disks;
    for (const auto& [host, state] : hosts)
      disks[host] = dump_writes(state);
    hosts.clear();
    now += 5000;
    for (const auto& [host, disk] : disks)
      add(host, bootstrap_identity(host), "zone-of-" + host, 3, disk);
    run_for(3000);
  }

  uint64_t last_exchange = 0;
};

// Guards against an acknowledged evacuation that is forgotten when all replicas
// start again.
TEST_F(evacuation_fixture, an_acknowledged_order_survives_a_loss_of_all_power) {
  run_for(3000);
  uint64_t begun = order(leader(), "kranj", true);
  ASSERT_EQ(outcome_of(begun), operator_outcome::accepted);
  restart_all();
  ASSERT_FALSE(leader().empty());
  expect_everywhere({"kranj"}, 1);
}

// Guards against a snapshot that leaves the evacuations out: the entries before
// it are gone.
TEST_F(evacuation_fixture, an_order_survives_in_a_snapshot) {
  hosts.clear();
  options.snapshot_min_entries = 4;
  SetUp();
  run_for(3000);
  order(leader(), "kranj", true);
  for (uint64_t version = 1; version <= 20; ++version)
    feed(leader(), replica_config_submitted{now, 100 + version,
                                            make_config(version, "content")});
  run_for(400);
  ASSERT_GT(group(leader()).raft.snapshot.index(), 10U);
  restart_all();
  expect_everywhere({"kranj"}, 1);
  order(leader(), "vic", true);
  run_for(400);
  expect_everywhere({"kranj", "vic"}, 2);
}

// Guards against a replica with an empty disk that tells entry hosts of no
// evacuation after it has taken a lost one's place.
TEST_F(evacuation_fixture, a_new_replica_gets_the_list) {
  hosts.clear();
  options.snapshot_min_entries = 4;
  SetUp();
  run_for(3000);
  order(leader(), "kranj", true);
  for (uint64_t version = 1; version <= 20; ++version)
    feed(leader(), replica_config_submitted{now, 100 + version,
                                            make_config(version, "content")});
  add("10.0.0.4:7", false);
  cut.insert(follower());
  run_for(8000);
  EXPECT_TRUE(voters().contains("10.0.0.4:7"));
  EXPECT_EQ(zones_of(list_at("10.0.0.4:7")), zone_names{"kranj"});
}

// Guards against an evacuation that ends with its leader, and against the
// refusal of an order that the operator repeats since the answer was lost.
TEST_F(evacuation_fixture, an_order_outlives_its_leader_and_may_be_repeated) {
  run_for(3000);
  std::string old = leader();
  ASSERT_EQ(outcome_of(order(old, "kranj", true)), operator_outcome::accepted);
  cut.insert(old);
  run_for(3000);
  ASSERT_FALSE(leader().empty());
  EXPECT_EQ(zones_of(list_at(leader())), zone_names{"kranj"});
  uint64_t repeated = order(leader(), "kranj", true);
  run_for(200);
  EXPECT_EQ(outcome_of(repeated), operator_outcome::accepted);
  EXPECT_EQ(zones_of(list_at(leader())), zone_names{"kranj"});
  EXPECT_EQ(list_at(leader()).revision(), 2U);
  cut.clear();
  run_for(1000);
  expect_everywhere({"kranj"}, 2);
}

// Guards against a begin that is taken for an old one and acknowledged without
// effect.
TEST_F(evacuation_fixture, a_begin_after_a_finish_begins_anew) {
  run_for(3000);
  for (bool active : {true, false, true}) {
    uint64_t exchange = order(leader(), "kranj", active);
    EXPECT_EQ(outcome_of(exchange), operator_outcome::accepted);
  }
  run_for(400);
  expect_everywhere({"kranj"}, 3);
}

// Guards against orders of one batch that overwrite each other, in the list or
// among the waiting operators.
TEST_F(evacuation_fixture, orders_of_one_batch_are_all_acknowledged) {
  run_for(3000);
  feed_together(leader(),
                {make_event("kranj", true), make_event("vic", true),
                 make_event("kranj", true), make_event("kranj", false)});
  for (uint64_t exchange = 1; exchange <= 4; ++exchange)
    EXPECT_EQ(outcome_of(exchange), operator_outcome::accepted) << exchange;
  run_for(400);
  expect_everywhere({"vic"}, 4);
}

// Guards against the second of two evacuated zones replacing the first.
TEST_F(evacuation_fixture, two_zones_are_evacuated_together) {
  run_for(3000);
  order(leader(), "kranj", true);
  order(leader(), "vic", true);
  run_for(400);
  expect_everywhere({"kranj", "vic"}, 2);
  order(leader(), "kranj", false);
  run_for(400);
  expect_everywhere({"vic"}, 3);
}

// Guards against an order that a follower acknowledges, since it has not
// reached a majority, or keeps without an answer.
TEST_F(evacuation_fixture, a_follower_redirects_even_a_repeated_order) {
  run_for(3000);
  order(leader(), "kranj", true);
  run_for(400);
  for (bool active : {true, false}) {
    uint64_t exchange = order(follower(), "kranj", active);
    EXPECT_EQ(outcome_of(exchange), operator_outcome::redirected);
    EXPECT_EQ(answers[exchange].leader_host, leader());
  }
  expect_everywhere({"kranj"}, 1);
}

// Guards against an acknowledgement without a majority: the order is lost when
// the partition heals.
TEST_F(evacuation_fixture, a_partitioned_leader_acknowledges_nothing) {
  run_for(3000);
  std::string old = leader();
  order(old, "kranj", true);
  run_for(400);
  cut.insert(old);
  uint64_t repeated = order(old, "kranj", true);
  uint64_t lost = order(old, "vic", true);
  EXPECT_FALSE(answers.contains(lost));
  unix_ms ordered_ms = now;
  while (!answers.contains(lost) && now < ordered_ms + 3000)
    run_for(TICK_MS);
  EXPECT_EQ(outcome_of(lost), operator_outcome::unavailable);
  EXPECT_EQ(outcome_of(repeated), operator_outcome::unavailable);
  EXPECT_LE(now - ordered_ms, 900);
  run_for(3000);
  ASSERT_EQ(outcome_of(order(leader(), "bezigrad", true)),
            operator_outcome::accepted);
  cut.clear();
  run_for(3000);
  expect_everywhere({"bezigrad", "kranj"}, 2);
  EXPECT_EQ(outcome_of(lost), operator_outcome::unavailable);
}

// Guards against a list that waits for the next hello, or for another change.
TEST_F(evacuation_fixture, a_list_is_sent_at_commit_to_hosts_that_lack_it) {
  run_for(3000);
  send_hello("e1", "kranj", 0);
  send_hello("e2", "vic", 0);
  updates.clear();
  order(leader(), "kranj", true);
  for (const char* host : {"e1", "e2"}) {
    ASSERT_TRUE(updates.contains(host));
    EXPECT_EQ(updates[host].evacuations().revision(), 1U);
    EXPECT_EQ(zones_of(updates[host].evacuations()), zone_names{"kranj"});
    EXPECT_EQ(updates[host].grants_size(), 0);
  }
  updates.clear();
  order(leader(), "kranj", false);
  ASSERT_TRUE(updates["e1"].has_evacuations());
  EXPECT_EQ(updates["e1"].evacuations().revision(), 2U);
  EXPECT_EQ(updates["e1"].evacuations().zones_size(), 0);
}

// Guards against a host that missed the message and never gets the list, and
// against sending the list again with every answer to a hello.
TEST_F(evacuation_fixture, a_list_is_repeated_until_the_host_has_it) {
  run_for(3000);
  order(leader(), "kranj", true);
  run_for(400);
  for (int i = 0; i < 2; ++i) {
    updates.clear();
    send_hello("e1", "kranj", 0);
    EXPECT_EQ(updates.at("e1").evacuations().revision(), 1U);
  }
  send_hello("e1", "kranj", 1);
  EXPECT_FALSE(updates.at("e1").has_evacuations());
  updates.clear();
  feed(leader(), replica_config_submitted{now, 100, make_config(4, "four")});
  ASSERT_TRUE(updates.contains("e1"));
  EXPECT_FALSE(updates.at("e1").has_evacuations());
  // A new incarnation has lost the list.
  send_hello("e1", "kranj", 0, 2);
  EXPECT_EQ(updates.at("e1").evacuations().revision(), 1U);
}

// Guards against a new owner that starts tasks in the evacuated zone before it
// has the list.
TEST_F(evacuation_fixture, no_grant_arrives_before_the_list) {
  run_for(3000);
  order(leader(), "kranj", true);
  int with_grants = 0;
  for (int i = 0; i < 350; ++i) {
    updates.clear();
    send_hello("e1", "kranj", 0);
    run_for(20);
    if (!updates.contains("e1") || updates.at("e1").grants_size() == 0)
      continue;
    ++with_grants;
    ASSERT_TRUE(updates.at("e1").has_evacuations());
  }
  EXPECT_GT(with_grants, 0);
  restart_all();
  updates.clear();
  send_hello("e1", "kranj", 0, 2);
  ASSERT_GT(updates.at("e1").grants_size(), 0);
  EXPECT_EQ(zones_of(updates.at("e1").evacuations()), zone_names{"kranj"});
}

// Guards against messages to entry hosts that grow where no zone was ever
// evacuated.
TEST_F(evacuation_fixture, no_list_is_sent_before_the_first_order) {
  run_for(3000);
  send_hello("e1", "kranj", 0);
  EXPECT_FALSE(updates.at("e1").has_evacuations());
  updates.clear();
  run_for(1000);
  EXPECT_FALSE(updates.contains("e1"));
}

// Guards against a commit that operators cannot match with their request, or
// that is logged on the leader only.
TEST_F(evacuation_fixture, every_replica_logs_a_committed_order) {
  run_for(3000);
  last_exchange = 41;
  order(leader(), "kranj", true);
  run_for(400);
  for (const auto& [host, lines] : log_events) {
    std::vector<std::string> details;
    for (const replica_log_event& line : lines) {
      if (line.name == "evacuation_committed")
        details.push_back(line.detail);
    }
    EXPECT_EQ(details, (std::vector<std::string>{fmt::format(
                           "zone=kranj active=true revision=1 exchange={}",
                           host == leader() ? 42 : 0)}))
        << host;
  }
  EXPECT_EQ(log_events.size(), 3U);
}

}  // namespace
}  // namespace cyclamenwood
