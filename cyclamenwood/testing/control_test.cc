// Tests of the control log: its state machine, the owner policy, the directory
// of upstreams, and the replicas together.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>

#include "cyclamenwood/owner_policy.h"
#include "cyclamenwood/pool_name.h"
#include "cyclamenwood/replica.h"
#include "cyclamenwood/testing/control_fixture.h"

namespace cyclamenwood {
namespace {

wire::owner_grant make_grant(const std::string& zone,
                             const std::string& host,
                             uint64_t incarnation) {
  wire::owner_grant grant;
  grant.set_zone(zone);
  grant.set_host(host);
  grant.set_incarnation(incarnation);
  return grant;
}

TEST(control_log, the_highest_version_stays_whatever_comes_after) {
  control_log log;
  EXPECT_TRUE(apply_config(log, make_config(4, "four")));
  EXPECT_FALSE(apply_config(log, make_config(3, "three")));
  EXPECT_FALSE(apply_config(log, make_config(4, "another four")));
  EXPECT_EQ(log.table.latest().content(), "four");
  EXPECT_TRUE(apply_config(log, make_config(9, "nine")));
  EXPECT_EQ(log.table.latest().content(), "nine");
}

TEST(control_log, a_token_is_never_given_twice_over_a_snapshot) {
  control_log log;
  apply_grant(log, make_grant("kranj", "e1", 1));
  apply_grant(log, make_grant("kranj", "e2", 2));
  control_log restored = load_control(save_control(log));
  apply_grant(restored, make_grant("vic", "e3", 3));
  EXPECT_EQ(find_grant(restored, "kranj")->token(), 2U);
  EXPECT_EQ(find_grant(restored, "vic")->token(), 3U);
  EXPECT_EQ(restored.table.grants_size(), 2);
}

known_entry_host make_entry_host(const std::string& zone,
                                 uint64_t incarnation,
                                 unix_ms last_contact_ms) {
  known_entry_host host;
  host.zone = zone;
  host.incarnation = incarnation;
  host.first_contact_ms = last_contact_ms;
  record_contact(host, last_contact_ms);
  return host;
}

TEST(owner_policy, keeps_a_live_owner_and_replaces_a_silent_one) {
  control_log log;
  apply_grant(log, make_grant("kranj", "e1", 1));
  entry_host_map hosts{{"e1", make_entry_host("kranj", 1, 1000)},
                       {"e2", make_entry_host("kranj", 2, 1000)},
                       {"e3", make_entry_host("vic", 3, 1000)}};
  std::vector<wire::owner_grant> wanted = choose_owners(log, hosts, 0, 1100);
  ASSERT_EQ(wanted.size(), 1U);
  EXPECT_EQ(wanted[0].zone(), "vic");
  hosts["e2"].last_contact_ms = 2000;
  wanted = choose_owners(log, hosts, 0, 2000);
  ASSERT_EQ(wanted.size(), 1U);
  EXPECT_EQ(wanted[0].host(), "e2");
}

TEST(owner_policy, replaces_an_owner_that_drains_or_was_restarted) {
  control_log log;
  apply_grant(log, make_grant("kranj", "e1", 1));
  entry_host_map hosts{{"e1", make_entry_host("kranj", 1, 1000)},
                       {"e2", make_entry_host("kranj", 2, 1000)}};
  hosts["e1"].draining = true;
  EXPECT_EQ(choose_owners(log, hosts, 0, 1000).at(0).host(), "e2");
  hosts["e1"].draining = false;
  hosts["e1"].incarnation = 7;
  EXPECT_EQ(choose_owners(log, hosts, 0, 1000).at(0).incarnation(), 7U);
}

// After a power loss of the whole deployment a restarted owner must get its
// zone back at once. Waiting for the time after which a silent owner is
// replaced would leave the zone without an owner for that long.
TEST(owner_policy, a_restarted_owner_is_replaced_without_waiting) {
  control_log log;
  apply_grant(log, make_grant("kranj", "e1", 1));
  apply_grant(log, make_grant("vic", "e3", 1));
  entry_host_map hosts{{"e1", make_entry_host("kranj", 2, 1000)},
                       {"e4", make_entry_host("vic", 4, 1000)}};
  std::vector<wire::owner_grant> wanted = choose_owners(log, hosts, 900, 1000);
  ASSERT_EQ(wanted.size(), 1U);
  EXPECT_EQ(wanted[0].zone(), "kranj");
  // The hello of e3 may not have arrived yet.
  hosts["e4"].last_contact_ms = 2000;
  wanted = choose_owners(log, hosts, 900, 2000);
  ASSERT_EQ(wanted.size(), 1U);
  EXPECT_EQ(wanted[0].host(), "e4");
}

entry_host_map six_hosts(uint64_t incarnation, unix_ms last_contact_ms) {
  entry_host_map hosts;
  for (const char* name : {"e1", "e2", "e3", "e4", "e5", "e6"})
    hosts[name] = make_entry_host("kranj", incarnation, last_contact_ms);
  hosts["e3"].upstreams = 100;
  return hosts;
}

void grant_all(control_log& log, const std::vector<wire::owner_grant>& grants) {
  for (const wire::owner_grant& grant : grants)
    apply_grant(log, grant);
}

std::map<std::string, int> shards_by_host(const control_log& log) {
  std::map<std::string, int> counts;
  for (const wire::owner_grant& grant : log.table.grants())
    ++counts[grant.host()];
  return counts;
}

TEST(owner_policy, a_large_zone_is_split_evenly_and_stays_so) {
  entry_host_map hosts = six_hosts(1, 5000);
  control_log log;
  grant_all(log, choose_owners(log, hosts, 0, 5000));
  EXPECT_EQ(shards_by_host(log).size(), 6U);
  hosts["e7"] = make_entry_host("kranj", 1, 5100);
  EXPECT_TRUE(choose_owners(log, hosts, 0, 5200).empty());
  EXPECT_EQ(shards_of(*find_grant(log, "kranj")), 6U);
}

TEST(owner_policy, a_zone_with_few_upstreams_has_one_pool) {
  entry_host_map hosts = six_hosts(1, 5000);
  hosts["e3"].upstreams = 23;
  EXPECT_EQ(choose_owners({}, hosts, 0, 5000).size(), 1U);
  // Every shard gets at least `min_upstreams_per_shard` upstreams.
  hosts["e3"].upstreams = 24;
  EXPECT_EQ(choose_owners({}, hosts, 0, 5000).size(), 3U);
}

// Guards against the first entry host that restarts after a power loss getting
// all shards of its zone. It held them, more than it can serve, for three
// seconds.
TEST(owner_policy, after_a_loss_of_power_each_gets_its_shard_back) {
  control_log log;
  grant_all(log, choose_owners(log, six_hosts(1, 5000), 0, 5000));
  entry_host_map back;
  unix_ms now = 20'000;
  for (const char* name : {"e4", "e1", "e6", "e2", "e3", "e5"}) {
    now += 100;
    back[name] = make_entry_host("kranj", 2, now);
    for (auto& [host, known] : back)
      known.last_contact_ms = now;
    grant_all(log, choose_owners(log, back, 18'000, now));
  }
  EXPECT_EQ(shards_by_host(log).size(), 6U);
  for (const wire::owner_grant& grant : log.table.grants())
    EXPECT_EQ(grant.incarnation(), 2U);
}

// Lets the hosts' hellos of this time arrive, and grants what is proposed.
void receive_and_grant(control_log& log,
                       entry_host_map& hosts,
                       const std::vector<std::string>& from,
                       unix_ms now) {
  for (const std::string& name : from)
    record_contact(hosts.at(name), now);
  grant_all(log, choose_owners(log, hosts, 0, now));
}

// Guards against the first entry host of a zone that is heard after a partition
// getting all shards of the zone.
TEST(owner_policy, after_a_partition_of_a_zone_each_keeps_its_shard) {
  entry_host_map hosts = six_hosts(1, 5000);
  control_log log;
  grant_all(log, choose_owners(log, hosts, 0, 5000));
  uint64_t token = log.table.last_token();
  std::vector<std::string> back;
  unix_ms now = 9000;
  for (const char* name : {"e4", "e1", "e6", "e2", "e3", "e5"}) {
    back.emplace_back(name);
    now += 100;
    receive_and_grant(log, hosts, back, now);
  }
  for (unix_ms end = now + 2 * OWNER_TIMEOUT_MS; now < end; now += 100)
    receive_and_grant(log, hosts, back, now);
  EXPECT_EQ(log.table.last_token(), token);
}

// Guards against the entry hosts whose last hellos came latest getting the
// shards of a zone that is being cut off.
TEST(owner_policy, at_a_partition_of_a_zone_each_keeps_its_shard) {
  entry_host_map hosts = six_hosts(1, 5000);
  control_log log;
  grant_all(log, choose_owners(log, hosts, 0, 5000));
  uint64_t token = log.table.last_token();
  unix_ms now = 5000;
  for (const char* name : {"e4", "e1", "e6", "e2", "e3", "e5"}) {
    now += 33;
    record_contact(hosts.at(name), now);
  }
  for (unix_ms end = now + 4 * OWNER_TIMEOUT_MS; now < end; now += 20)
    grant_all(log, choose_owners(log, hosts, 0, now));
  EXPECT_EQ(log.table.last_token(), token);
}

TEST(owner_policy, an_owner_that_fails_after_a_partition_is_replaced) {
  entry_host_map hosts = six_hosts(1, 5000);
  control_log log;
  grant_all(log, choose_owners(log, hosts, 0, 5000));
  for (unix_ms now = 9000; now < 9000 + 2 * OWNER_TIMEOUT_MS; now += 100)
    receive_and_grant(log, hosts, {"e1", "e2", "e4", "e5", "e6"}, now);
  EXPECT_FALSE(shards_by_host(log).contains("e3"));
  EXPECT_EQ(shards_by_host(log).size(), 5U);
}

TEST(owner_policy, a_failed_owner_is_replaced_by_a_host_that_is_often_late) {
  control_log log;
  entry_host_map hosts{{"e1", make_entry_host("kranj", 1, 1000)},
                       {"e2", make_entry_host("kranj", 2, 1000)}};
  apply_grant(log, make_grant("kranj", "e1", 1));
  unix_ms replaced_ms = 0;
  for (unix_ms now = 1720; now < 20'000 && replaced_ms == 0; now += 720) {
    receive_and_grant(log, hosts, {"e2"}, now);
    if (find_grant(log, "kranj")->host() == "e2")
      replaced_ms = now;
  }
  EXPECT_GT(replaced_ms, 0);
  EXPECT_LE(replaced_ms, 1000 + 4 * OWNER_TIMEOUT_MS);
}

TEST(owner_policy, a_host_that_is_late_at_the_founding_counts_for_the_shards) {
  entry_host_map hosts = six_hosts(1, 5000);
  hosts["e5"].last_contact_ms = 4550;
  EXPECT_EQ(choose_owners({}, hosts, 0, 5000).size(), 6U);
}

TEST(owner_policy, shards_of_lost_hosts_are_shared_out_and_come_back) {
  entry_host_map hosts = six_hosts(1, 5000);
  control_log log;
  grant_all(log, choose_owners(log, hosts, 0, 5000));
  hosts.erase("e3");
  hosts.erase("e4");
  auto receive_from_all = [&hosts](unix_ms now) {
    for (auto& [name, host] : hosts)
      host.last_contact_ms = now;
  };
  receive_from_all(9000);
  grant_all(log, choose_owners(log, hosts, 0, 9000));
  for (const auto& [host, shards] : shards_by_host(log))
    EXPECT_LE(shards, 2) << host;
  hosts["e3"] = make_entry_host("kranj", 2, 9100);
  hosts["e4"] = make_entry_host("kranj", 2, 9100);
  EXPECT_TRUE(choose_owners(log, hosts, 0, 9200).empty());
  receive_from_all(9100 + MIN_OWNER_AGE_MS);
  grant_all(log, choose_owners(log, hosts, 0, 9100 + MIN_OWNER_AGE_MS));
  EXPECT_EQ(shards_by_host(log)["e3"], 1);
  EXPECT_EQ(shards_by_host(log)["e4"], 1);
}

// A partitioned zone keeps its owner, since no other zone can reach its
// upstreams.
TEST(owner_policy, grants_nothing_to_other_zones) {
  control_log log;
  apply_grant(log, make_grant("kranj", "e1", 1));
  entry_host_map hosts{{"e3", make_entry_host("vic", 3, 5000)}};
  std::vector<wire::owner_grant> wanted = choose_owners(log, hosts, 0, 5000);
  ASSERT_EQ(wanted.size(), 1U);
  EXPECT_EQ(wanted[0].zone(), "vic");
}

wire::upstream announcement(uint64_t incarnation,
                            uint64_t sequence,
                            wire::upstream_state state) {
  wire::upstream upstream;
  upstream.set_id("u1");
  upstream.set_zone("kranj");
  upstream.set_incarnation(incarnation);
  upstream.set_sequence(sequence);
  upstream.set_state(state);
  return upstream;
}

TEST(directory, renewals_change_nothing_and_older_messages_are_dropped) {
  upstream_directory directory;
  EXPECT_TRUE(receive_announcement(
      directory, announcement(5, 1, wire::UPSTREAM_READY), 1000));
  EXPECT_FALSE(receive_announcement(
      directory, announcement(5, 2, wire::UPSTREAM_READY), 2000));
  EXPECT_TRUE(receive_announcement(
      directory, announcement(5, 3, wire::UPSTREAM_LEAVING), 3000));
  // A delayed announcement, then one of a previous incarnation.
  EXPECT_FALSE(receive_announcement(
      directory, announcement(5, 2, wire::UPSTREAM_READY), 3100));
  EXPECT_FALSE(receive_announcement(
      directory, announcement(4, 9, wire::UPSTREAM_READY), 3200));
  EXPECT_TRUE(receive_announcement(
      directory, announcement(6, 1, wire::UPSTREAM_READY), 3300));
  wire::control_news updates;
  add_changes(directory, "kranj", 2, updates);
  EXPECT_EQ(updates.upstreams_size(), 1);
  wire::control_news other_zone_updates;
  add_changes(directory, "vic", 0, other_zone_updates);
  EXPECT_EQ(other_zone_updates.upstreams_size(), 0);
}

TEST(directory, a_capacity_that_was_announced_elsewhere_is_reported_again) {
  upstream_directory first;
  upstream_directory second;
  auto announce = [](upstream_directory& directory, uint64_t sequence,
                     uint32_t cpu_milli) {
    wire::upstream sent = announcement(5, sequence, wire::UPSTREAM_READY);
    sent.mutable_capacity()->set_cpu_milli(cpu_milli);
    return receive_announcement(directory, sent, 1000);
  };
  EXPECT_TRUE(announce(first, 1, 1000));
  EXPECT_FALSE(announce(first, 2, 1000));
  EXPECT_TRUE(announce(second, 3, 4000));
  // The capacity that the first replica knows already.
  EXPECT_TRUE(announce(first, 4, 1000));
  EXPECT_FALSE(announce(first, 5, 1000));
}

TEST(directory, an_odd_id_that_leaves_changes_nothing) {
  upstream_directory directory;
  receive_announcement(directory, announcement(5, 1, wire::UPSTREAM_READY),
                       1000);
  for (const std::string& id : {std::string(), std::string("\xff"),
                                std::string("u1\n"), std::string(50'000, 'x')})
    EXPECT_FALSE(mark_leaving(directory, id));
  wire::control_news updates;
  add_changes(directory, "kranj", 0, updates);
  ASSERT_EQ(updates.upstreams_size(), 1);
  EXPECT_EQ(updates.upstreams(0).state(), wire::UPSTREAM_READY);
}

// An upstream has left. An announcement that it sent before, of which this
// replica had received neither it nor a later one, arrives after that.
TEST(directory, an_upstream_that_has_left_stays_so) {
  upstream_directory directory;
  receive_announcement(directory, announcement(5, 1, wire::UPSTREAM_READY),
                       1000);
  ASSERT_TRUE(mark_leaving(directory, announcement(5, 1, {}).id()));
  EXPECT_FALSE(receive_announcement(
      directory, announcement(5, 2, wire::UPSTREAM_READY), 2000));
  wire::control_news updates;
  add_changes(directory, "kranj", 0, updates);
  ASSERT_EQ(updates.upstreams_size(), 1);
  EXPECT_EQ(updates.upstreams(0).state(), wire::UPSTREAM_LEAVING);
  EXPECT_TRUE(receive_announcement(
      directory, announcement(6, 1, wire::UPSTREAM_READY), 3000));
}

TEST_F(control_fixture, bootstrap_elects_from_the_seeds_and_serves_operators) {
  run_for(3000);
  std::string first = leader();
  ASSERT_FALSE(first.empty());
  feed(first, replica_config_submitted{now, 1, make_config(4, "four")});
  run_for(200);
  EXPECT_EQ(answers.at(1).outcome, operator_outcome::accepted);
  feed(first, replica_config_requested{now, 2});
  run_for(200);
  EXPECT_EQ(answers.at(2).outcome, operator_outcome::content);
  EXPECT_EQ(answers.at(2).content, "four");
  for (const auto& [host, state] : hosts) {
    if (host == first)
      continue;
    feed(host, replica_config_requested{now, 3});
    EXPECT_EQ(answers.at(3).outcome, operator_outcome::redirected);
    EXPECT_EQ(answers.at(3).leader_host, first);
  }
}

// A leader without a majority must not return a configuration, since a newer
// one may be in force.
TEST_F(control_fixture, a_cut_off_leader_acknowledges_and_shows_nothing) {
  run_for(3000);
  std::string old = leader();
  feed(old, replica_config_submitted{now, 1, make_config(4, "four")});
  run_for(100);
  cut.insert(old);
  feed(old, replica_config_submitted{now, 2, make_config(5, "five")});
  feed(old, replica_config_requested{now, 3});
  run_for(3000);
  EXPECT_EQ(answers.at(2).outcome, operator_outcome::unavailable);
  EXPECT_EQ(answers.at(3).outcome, operator_outcome::unavailable);
  std::string next = leader();
  ASSERT_FALSE(next.empty());
  feed(next, replica_config_submitted{now, 4, make_config(6, "six")});
  run_for(200);
  EXPECT_EQ(answers.at(4).outcome, operator_outcome::accepted);
  cut.clear();
  run_for(3000);
  feed(leader(), replica_config_requested{now, 5});
  run_for(200);
  EXPECT_EQ(answers.at(5).content, "six");
}

// An operator whose acknowledgment was lost may ask another replica. A replica
// that has the version in force answers without redirecting to the leader.
TEST_F(control_fixture, a_follower_acknowledges_what_is_in_force) {
  run_for(3000);
  feed(leader(), replica_config_submitted{now, 1, make_config(5, "five")});
  run_for(400);
  ASSERT_EQ(answers.at(1).outcome, operator_outcome::accepted);
  std::string follower = leader() == "10.0.0.1:7" ? "10.0.0.2:7" : "10.0.0.1:7";
  feed(follower, replica_config_submitted{now, 2, make_config(5, "five")});
  ASSERT_TRUE(answers.contains(2));
  EXPECT_EQ(answers.at(2).outcome, operator_outcome::accepted);
  feed(follower, replica_config_submitted{now, 3, make_config(4, "four")});
  EXPECT_EQ(answers.at(3).outcome, operator_outcome::accepted);
  feed(follower, replica_config_submitted{now, 4, make_config(6, "six")});
  EXPECT_EQ(answers.at(4).outcome, operator_outcome::redirected);
}

// Guards against replicas sending the whole configuration with every answer to
// a hello. With six replicas this filled the links of entry hosts that were
// slightly behind.
TEST_F(control_fixture, a_configuration_is_sent_once_to_a_host_that_is_behind) {
  run_for(3000);
  hello("e1", "kranj");
  feed(leader(), replica_config_submitted{now, 1, make_config(5, "five")});
  for (int i = 0; i < 10; ++i) {
    run_for(20);
    hello("e1", "kranj");
  }
  EXPECT_EQ(configs_sent, 1);
  // The entry host did not receive it. After a while every replica sends it, at
  // most twice a second.
  for (int i = 0; i < 50; ++i) {
    run_for(20);
    hello("e1", "kranj");
  }
  EXPECT_GE(configs_sent, 1 + 3);
  EXPECT_LE(configs_sent, 1 + 3 * 3);
}

TEST_F(control_fixture, an_owner_is_granted_and_replaced_when_silent) {
  for (int i = 0; i < 350; ++i) {
    hello("e1", "kranj");
    run_for(20);
  }
  ASSERT_EQ(updates.at("e1").grants_size(), 1);
  EXPECT_EQ(updates.at("e1").grants(0).host(), "e1");
  uint64_t token = updates.at("e1").grants(0).token();
  for (int i = 0; i < 100; ++i) {
    hello("e2", "kranj");
    run_for(20);
  }
  EXPECT_EQ(updates.at("e2").grants(0).host(), "e2");
  EXPECT_GT(updates.at("e2").grants(0).token(), token);
}

// A process that was suspended has received no hellos in that time. It must not
// conclude that all entry hosts are lost.
TEST_F(control_fixture, a_suspended_leader_replaces_no_owner_when_it_resumes) {
  for (int i = 0; i < 350; ++i) {
    hello("e1", "kranj");
    hello("e2", "kranj");
    run_for(20);
  }
  std::string owner = updates.at("e1").grants(0).host();
  uint64_t token = updates.at("e1").grants(0).token();
  now += 5000;
  // The tick is handled before the queued messages.
  for (const auto& [host, state] : hosts)
    feed(host, replica_tick{now});
  for (int i = 0; i < 100; ++i) {
    hello("e1", "kranj");
    hello("e2", "kranj");
    run_for(20);
  }
  EXPECT_EQ(updates.at("e1").grants(0).host(), owner);
  EXPECT_EQ(updates.at("e1").grants(0).token(), token);
}

TEST_F(control_fixture, an_empty_replica_elsewhere_takes_a_lost_ones_place) {
  run_for(3000);
  std::string lost = leader() == "10.0.0.1:7" ? "10.0.0.2:7" : "10.0.0.1:7";
  cut.insert(lost);
  add("10.0.0.4:7", false);
  run_for(8000);
  const wire::membership& members = group(leader()).raft.members;
  ASSERT_EQ(members.voters_size(), 3);
  std::set<std::string> voters;
  for (const wire::member& voter : members.voters())
    voters.insert(voter.host());
  EXPECT_TRUE(voters.contains("10.0.0.4:7"));
  EXPECT_FALSE(voters.contains(lost));
}

TEST_F(control_fixture, a_further_replica_does_not_vote_while_all_are_there) {
  run_for(3000);
  add("10.0.0.4:7", false);
  run_for(8000);
  EXPECT_EQ(group(leader()).raft.members.voters_size(), 3);
}

// After all replicas have started, an election takes place without waiting for
// a leader that cannot exist. A replica that starts while there is a live
// leader does not disturb it.
TEST_F(control_fixture, a_started_group_elects_soon_and_a_live_leader_stays) {
  run_for(320);
  std::string first = leader();
  ASSERT_FALSE(first.empty());
  uint64_t term = group(first).raft.term;
  std::string restarted = first == "10.0.0.1:7" ? "10.0.0.2:7" : "10.0.0.1:7";
  hosts.erase(restarted);
  add(restarted, true);
  run_for(3000);
  EXPECT_EQ(leader(), first);
  EXPECT_EQ(group(first).raft.term, term);
}

// To tolerate the loss of two hosts at a time there are five voters, at most
// two of them in one zone: the loss of two hosts or of a zone leaves a
// majority.
TEST_F(control_fixture, voters_grow_to_five_spread_over_zones) {
  hosts.clear();
  for (const char* host : {"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"})
    add(host, true, std::string("zone-of-") + host, 5);
  run_for(3000);
  for (const char* host : {"10.0.0.4:7", "10.0.0.5:7", "10.0.0.6:7"})
    add(host, false, "zone-of-10.0.0.1:7", 5);
  run_for(8000);
  EXPECT_EQ(group(leader()).raft.members.voters_size(), 4);
  add("10.0.0.7:7", false, "zone-of-10.0.0.2:7", 5);
  run_for(8000);
  ASSERT_EQ(group(leader()).raft.members.voters_size(), 5);
  feed(leader(), replica_config_submitted{now, 1, make_config(4, "four")});
  run_for(200);
  cut.insert("10.0.0.7:7");
  cut.insert("10.0.0.2:7");
  run_for(3000);
  ASSERT_FALSE(leader().empty());
  feed(leader(), replica_config_requested{now, 2});
  run_for(200);
  EXPECT_EQ(answers.at(2).content, "four");
}

// Guards against the removal of two voters for one replacement. Two of five
// voters were unreachable, and the leader removed both of them for a sixth
// replica. When they returned with their disks, they considered themselves
// voters and did not announce themselves. With the four remaining voters the
// loss of two disks left no majority.
TEST_F(control_fixture, voters_that_were_away_do_not_leave_four) {
  hosts.clear();
  std::vector<std::string> names;
  for (int i = 1; i <= 6; ++i) {
    names.push_back(fmt::format("10.0.0.{}:7", i));
    add(names.back(), i <= 3, fmt::format("zone-{}", i % 3), 5);
  }
  run_for(15'000);
  ASSERT_EQ(group(leader()).raft.members.voters_size(), 5);
  std::vector<std::string> away;
  for (const wire::member& voter : group(leader()).raft.members.voters()) {
    if (voter.host() != leader() && away.size() < 2)
      away.push_back(voter.host());
  }
  cut.insert(away.begin(), away.end());
  run_for(15'000);
  EXPECT_EQ(group(leader()).raft.members.voters_size(), 5);
  cut.clear();
  run_for(5'000);
  int up_to_date = 0;
  for (const wire::member& voter : group(leader()).raft.members.voters()) {
    bool follows = group(voter.host()).raft.term == group(leader()).raft.term;
    up_to_date += follows ? 1 : 0;
  }
  EXPECT_EQ(up_to_date, 5);
}

// A replica that was removed while it was unreachable rejoins, although it is
// still a voter according to its own log.
TEST_F(control_fixture, a_removed_voter_rejoins_when_a_place_is_free) {
  hosts.clear();
  for (int i = 1; i <= 4; ++i)
    add(fmt::format("10.0.0.{}:7", i), i <= 3, fmt::format("zone-{}", i), 3);
  run_for(5'000);
  std::string away = leader() == "10.0.0.1:7" ? "10.0.0.2:7" : "10.0.0.1:7";
  cut.insert(away);
  run_for(15'000);
  ASSERT_FALSE(raft_is_voter(group(leader()).raft, bootstrap_identity(away)));
  cut.clear();
  // The replica that replaced it is lost.
  cut.insert("10.0.0.4:7");
  run_for(15'000);
  EXPECT_TRUE(raft_is_voter(group(leader()).raft, bootstrap_identity(away)));
}

// Guards against a voter that stays a member after its planned end. Two of
// three voters ended one after the other, each with a successor that had caught
// up, and the remaining voter was no majority.
TEST_F(control_fixture, two_planned_replacements_leave_a_majority) {
  for (const char* first : {"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"}) {
    for (const char* second : {"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"}) {
      if (std::string_view(first) == second)
        continue;
      SCOPED_TRACE(fmt::format("{} then {}", first, second));
      hosts.clear();
      cut.clear();
      SetUp();
      run_for(3000);
      feed(leader(), replica_config_submitted{now, 1, make_config(4, "four")});
      add("10.0.0.4:7", false, fmt::format("zone-of-{}", first), 3);
      add("10.0.0.5:7", false, fmt::format("zone-of-{}", second), 3);
      run_for(CATCH_UP_MS);
      EXPECT_LT(stop(first), STOP_GRACE_MS);
      run_for(1300);
      EXPECT_LT(stop(second), STOP_GRACE_MS);
      run_for(3000);
      EXPECT_TRUE(serves_operators(4));
      EXPECT_EQ(voters().size(), 3U);
      EXPECT_FALSE(voters().contains(first) || voters().contains(second));
    }
  }
}

// Guards against a loss of the group through the loss of one disk just after a
// planned replacement.
TEST_F(control_fixture, a_disk_lost_after_a_planned_replacement_is_one_loss) {
  run_for(3000);
  feed(leader(), replica_config_submitted{now, 1, make_config(4, "four")});
  add("10.0.0.4:7", false, "zone-of-10.0.0.3:7", 3);
  run_for(CATCH_UP_MS);
  EXPECT_LT(stop("10.0.0.3:7"), STOP_GRACE_MS);
  cut.insert(leader());
  run_for(3000);
  EXPECT_TRUE(serves_operators(4));
}

// A replica that is restarted in its place must not wait for a successor that
// does not exist, and stays a voter.
TEST_F(control_fixture, a_voter_without_a_successor_stops_soon_and_stays) {
  run_for(3000);
  std::string follower = leader() == "10.0.0.1:7" ? "10.0.0.2:7" : "10.0.0.1:7";
  EXPECT_LE(stop(follower), 500);
  EXPECT_TRUE(voters().contains(follower));
}

// A learner of a zone that has its share of voters must not replace a voter of
// another zone that is only restarted: the loss of that zone would leave no
// majority.
TEST_F(control_fixture, a_learner_of_a_full_zone_is_no_successor) {
  run_for(3000);
  std::string follower = leader() == "10.0.0.1:7" ? "10.0.0.2:7" : "10.0.0.1:7";
  add("10.0.0.4:7", false, "zone-of-10.0.0.3:7", 3);
  run_for(CATCH_UP_MS);
  EXPECT_LE(stop(follower), 500);
  EXPECT_TRUE(voters().contains(follower));
}

// A learner that is about to stop must not become a voter.
TEST_F(control_fixture, a_learner_that_stops_is_no_successor) {
  run_for(3000);
  add("10.0.0.4:7", false, "zone-of-10.0.0.3:7", 3);
  run_for(CATCH_UP_MS);
  feed("10.0.0.4:7", replica_drain{now});
  run_for(TICK_MS);
  EXPECT_LT(stop("10.0.0.3:7"), 1000);
  run_for(1000);
  ASSERT_FALSE(leader().empty());
  EXPECT_EQ(group(leader()).raft.members_index, 0U);
}

// A voter that crashes between the addition of its successor and its own
// removal must not leave four voters.
TEST_F(control_fixture, a_voter_that_crashes_while_it_leaves_is_removed) {
  run_for(3000);
  std::string leaving = leader() == "10.0.0.1:7" ? "10.0.0.2:7" : "10.0.0.1:7";
  add("10.0.0.4:7", false, "zone-of-" + leaving, 3);
  run_for(CATCH_UP_MS);
  feed(leaving, replica_drain{now});
  for (int i = 0; i < 50 && voters().size() < 4; ++i)
    run_for(TICK_MS);
  ASSERT_EQ(voters().size(), 4U);
  cut.insert(leaving);
  run_for(3000);
  EXPECT_EQ(voters().size(), 3U);
  EXPECT_FALSE(voters().contains(leaving));
}

// Guards against a group that needs the vote of a successor that does not know
// yet that it is a voter: the leader lost its disk before its entry that adds
// the successor had arrived there.
TEST_F(control_fixture, a_successor_votes_before_it_knows_that_it_may) {
  run_for(3000);
  feed(leader(), replica_config_submitted{now, 1, make_config(4, "four")});
  std::string leaving = leader() == "10.0.0.1:7" ? "10.0.0.2:7" : "10.0.0.1:7";
  add("10.0.0.4:7", false, "zone-of-" + leaving, 3);
  run_for(CATCH_UP_MS);
  cut.insert("10.0.0.4:7");
  feed(leaving, replica_drain{now});
  run_for(2 * TICK_MS);
  ASSERT_EQ(voters().size(), 4U);
  cut.insert(leader());
  cut.erase("10.0.0.4:7");
  run_for(2500);
  EXPECT_TRUE(serves_operators(4));
}

// Two voters that stop at the same moment are replaced in turn.
TEST_F(control_fixture, two_voters_that_stop_together_are_both_replaced) {
  run_for(3000);
  add("10.0.0.4:7", false, "zone-of-10.0.0.1:7", 3);
  add("10.0.0.5:7", false, "zone-of-10.0.0.2:7", 3);
  run_for(CATCH_UP_MS);
  feed("10.0.0.1:7", replica_drain{now});
  EXPECT_LT(stop("10.0.0.2:7"), STOP_GRACE_MS);
  EXPECT_LT(stop("10.0.0.1:7"), STOP_GRACE_MS);
  run_for(1000);
  EXPECT_EQ(voters(),
            (std::set<std::string>{"10.0.0.3:7", "10.0.0.4:7", "10.0.0.5:7"}));
}

// Guards against a replica that is killed at the end of its grace period.
TEST_F(control_fixture, a_second_signal_does_not_put_off_the_end) {
  run_for(3000);
  cut = {"10.0.0.2:7", "10.0.0.3:7"};
  feed("10.0.0.1:7", replica_drain{now});
  run_for(2900);
  EXPECT_FALSE(cut.contains("10.0.0.1:7"));
  feed("10.0.0.1:7", replica_drain{now});
  run_for(200);
  EXPECT_TRUE(cut.contains("10.0.0.1:7"));
}

TEST_F(control_fixture, upstreams_reach_their_zones_entry_hosts_only) {
  run_for(3000);
  hello("e1", "kranj");
  hello("e2", "vic");
  updates.clear();
  feed("10.0.0.1:7", replica_upstream_announced{
                         now, announcement(5, 1, wire::UPSTREAM_READY)});
  EXPECT_EQ(updates.at("e1").upstreams_size(), 1);
  // No update is sent to the other zone.
  EXPECT_FALSE(updates.contains("e2"));
  feed("10.0.0.1:7", replica_upstream_leaving{now, "u1"});
  EXPECT_EQ(updates.at("e1").upstreams(0).state(), wire::UPSTREAM_LEAVING);
}

}  // namespace
}  // namespace cyclamenwood
