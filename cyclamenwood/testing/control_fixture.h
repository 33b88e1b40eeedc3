// The fixture of the control log's tests: replicas of a seeded deployment.
#ifndef CYCLAMENWOOD_TESTING_CONTROL_FIXTURE_H_
#define CYCLAMENWOOD_TESTING_CONTROL_FIXTURE_H_

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cyclamenwood/replica.h"

namespace cyclamenwood {

inline wire::roll_out make_config(uint64_t version,
                                  const std::string& content) {
  wire::roll_out config;
  config.set_version(version);
  config.set_content(content);
  return config;
}

// Interval of the replicas' ticks.
constexpr int64_t TICK_MS = 10;
// Longest time from the request to stop until the end of a process.
constexpr int64_t STOP_GRACE_MS = 6'000;
// A new host counts as lost for this time after its start.
constexpr int64_t CATCH_UP_MS = 4'000;

// Replicas on a network that delivers at once, except to and from the hosts in
// `cut`.
class control_fixture : public testing::Test {
 protected:
  void SetUp() override {
    for (const char* host : {"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"})
      add(host, true);
  }

  void add(const std::string& host, bool initial_voter) {
    add(host, initial_voter, "zone-of-" + host, 3);
  }

  void add(const std::string& host,
           bool initial_voter,
           const std::string& zone,
           int target_voters) {
    uint64_t identity =
        initial_voter ? bootstrap_identity(host) : next_identity++;
    add(host, identity, zone, target_voters, {});
  }

  // `disk`: what an earlier process of this identity has written.
  void add(const std::string& host,
           uint64_t identity,
           const std::string& zone,
           int target_voters,
           std::span<const wire::wal_write> disk) {
    host_settings settings;
    settings.rpc = host;
    settings.zone = zone;
    settings.seeds = seeds;
    raft_options raft;
    raft.election_timeout_ms = 500;
    raft.heartbeat_interval_ms = 100;
    raft.first_election_timeout_ms = 150;
    raft.open_membership = true;
    raft.target_voters = target_voters;
    replica_state state =
        make_control_replica(settings, options, raft, identity, identity, now);
    for (const wire::wal_write& write : disk)
      replay_write(state, write);
    hosts.insert_or_assign(host, std::move(state));
    cut.erase(host);
    feed(host, replica_started{now});
  }

  void feed(const std::string& host, const replica_event& event) {
    feed_together(host, {event});
  }

  // Feeds events that arrive together: what they write is synced after the last
  // one.
  void feed_together(const std::string& host,
                     const std::vector<replica_event>& events) {
    std::deque<std::pair<std::string, replica_event>> inbox;
    for (const replica_event& event : events)
      inbox.emplace_back(host, event);
    while (!inbox.empty()) {
      auto [to, next] = std::move(inbox.front());
      inbox.pop_front();
      bool wrote = false;
      for (replica_effect& effect : reduce(hosts.at(to), next)) {
        if (std::holds_alternative<replica_persist>(effect))
          wrote = true;
        if (auto* sent = std::get_if<replica_send>(&effect))
          deliver(to, *sent, inbox);
        if (auto* answer = std::get_if<replica_operator_answer>(&effect))
          answers[answer->exchange] = *answer;
        if (auto* line = std::get_if<replica_log_event>(&effect))
          log_events[to].push_back(*line);
        if (std::holds_alternative<replica_drained>(effect))
          cut.insert(to);
      }
      if (wrote)
        inbox.emplace_back(to, replica_synced{now, 0});
    }
  }

  void deliver(const std::string& from,
               const replica_send& sent,
               std::deque<std::pair<std::string, replica_event>>& inbox) {
    if (sent.envelope.has_control_news()) {
      updates[sent.host] = sent.envelope.control_news();
      configs_sent += sent.envelope.control_news().has_latest() ? 1 : 0;
    }
    bool reaches = hosts.contains(sent.host) && !cut.contains(from) &&
                   !cut.contains(sent.host);
    if (reaches && drops() % 100 >= drop_percent)
      inbox.emplace_back(sent.host, replica_received{now, sent.envelope});
  }

  void run_for(int64_t ms) {
    for (unix_ms end = now + ms; now < end;) {
      now += TICK_MS;
      for (const auto& [host, state] : hosts)
        feed(host, replica_tick{now});
    }
  }

  // Asks a replica to stop and runs until it has stopped or the grace period is
  // over. Returns how long it took.
  int64_t stop(const std::string& host) {
    unix_ms begin = now;
    feed(host, replica_drain{now});
    while (!cut.contains(host) && now - begin < STOP_GRACE_MS)
      run_for(TICK_MS);
    cut.insert(host);
    return now - begin;
  }

  std::set<std::string> voters() {
    std::set<std::string> names;
    if (!leader().empty()) {
      for (const wire::member& voter : group(leader()).raft.members.voters())
        names.insert(voter.host());
    }
    return names;
  }

  // Whether the newest configuration is shown and a newer one acknowledged.
  bool serves_operators(uint64_t newest) {
    if (leader().empty())
      return false;
    feed(leader(), replica_config_requested{now, 1});
    run_for(200);
    feed(leader(),
         replica_config_submitted{now, 2, make_config(newest + 1, "newer")});
    run_for(200);
    return answers[1].outcome == operator_outcome::content &&
           answers[2].outcome == operator_outcome::accepted;
  }

  std::string leader() {
    for (const auto& [host, state] : hosts) {
      if (!cut.contains(host) && raft_leader_ready(group(host).raft))
        return host;
    }
    return {};
  }

  const replica_group& group(const std::string& host) {
    return hosts.at(host).groups.begin()->second;
  }

  void hello(const std::string& from, const std::string& zone) {
    wire::envelope envelope;
    envelope.set_from(from);
    envelope.set_incarnation(1);
    envelope.mutable_entry_hello()->set_zone(zone);
    for (const auto& [host, state] : hosts) {
      if (!cut.contains(host))
        feed(host, replica_received{now, envelope});
    }
  }

  unix_ms now = 1'000'000;
  // Share of the messages that are lost, in percent.
  unsigned drop_percent = 0;
  std::mt19937_64 drops;
  // In the settings of replicas that are added.
  std::vector<std::string> seeds{"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"};
  // Of replicas that are added.
  replica_options options;
  // Of a replica that is not an initial voter.
  uint64_t next_identity = 900;
  std::map<std::string, replica_state> hosts;
  std::map<uint64_t, replica_operator_answer> answers;
  std::map<std::string, wire::control_news> updates;
  // Log lines by host.
  std::map<std::string, std::vector<replica_log_event>> log_events;
  // Number of updates that contained a configuration.
  int configs_sent = 0;
  std::set<std::string> cut;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_TESTING_CONTROL_FIXTURE_H_
