// A small group of replica and entry reducers with fakes for the network, the
// disks, the upstreams and the callers, on one thread and in simulated time. A
// test case is a list of numbers, each of which selects one action (deliver
// some messages, crash a process, partition a zone, submit a job, ...), so that
// RapidCheck can generate and shrink it.
//
//   model system(seed);
//   for (uint32_t action : actions)
//     system.perform_action(action);
//   system.heal_and_check();
//   // system.violations() must be empty.
//
// `violations` lists the violated invariants:
//
//  - no task is started twice;
//  - `not_run` is answered only if no task of the job has started, and none is
//    started afterwards for that submission or an earlier one;
//  - a complete answer has all results, and they belong to the caller's job;
//  - two committed entries at the same index of a group are equal;
//  - a claim is granted to one owner only;
//  - the version in force at an entry host never decreases, also across
//    restarts;
//  - no accepted version is lost, or accepted with two different contents.
#ifndef CYCLAMENWOOD_TESTING_MODEL_H_
#define CYCLAMENWOOD_TESTING_MODEL_H_

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cyclamenwood/entry.h"
#include "cyclamenwood/replica.h"

namespace cyclamenwood {

class model {
 public:
  explicit model(uint64_t seed);

  // Performs the action that the number selects.
  void perform_action(uint32_t action);
  // Ends all faults and advances the time. Then checks that every waiting
  // caller was answered and that the newest accepted version is in force at
  // all entry hosts.
  void heal_and_check();

  const std::vector<std::string>& violations() const { return violations_; }
  // Number of occurrences by kind of event; shows whether the test cases
  // exercise each kind.
  std::map<std::string, int> event_counts;

 private:
  struct fake_replica {
    std::string name;
    std::string zone;
    uint64_t identity = 0;
    std::optional<replica_state> state;
    std::vector<wire::wal_write> disk;
    std::vector<wire::wal_write> unsynced;
    bool suspended = false;
    std::map<std::string, uint64_t> checked_index;
  };
  struct fake_entry {
    std::string name;
    std::string zone;
    std::optional<entry_state> state;
    uint64_t incarnation = 0;
    bool suspended = false;
    // Highest version that was ever in force on this host.
    uint64_t highest_version = 0;
  };
  struct in_flight_message {
    std::string from;
    std::string to;
    wire::envelope envelope;
  };
  struct fake_submission {
    std::string entry;
    uint64_t incarnation = 0;
    std::string key;
    int content = 0;
    size_t tasks = 0;
    bool answered = false;
    bool answered_not_run = false;
    // Positions in the common order of all submissions and answers.
    uint64_t submitted_at = 0;
    uint64_t answered_at = 0;
  };
  struct fake_roll_out {
    uint64_t version = 0;
    std::string content;
  };
  struct fake_task {
    std::string entry;
    uint64_t incarnation = 0;
    entry_start_task start;
  };

  void tick_all();
  void deliver(size_t index);
  void deliver_some(uint32_t amount, uint32_t drop, uint32_t duplicate);
  void run_replica(fake_replica& replica, const replica_event& event);
  void sync_replica(fake_replica& replica);
  void start_replica(fake_replica& replica);
  void crash_replica(fake_replica& replica);
  void wipe_replica(fake_replica& replica);
  bool may_wipe() const;
  void run_entry(fake_entry& entry, const entry_event& event);
  void restart_entry(fake_entry& entry);
  void submit_job(uint32_t choice);
  void cancel_job(uint32_t choice);
  void roll_out(uint32_t choice);
  void announce(uint32_t choice, bool leaving);
  void end_task(uint32_t choice);
  void on_start(fake_entry& entry, const entry_start_task& start);
  void on_answer(fake_entry& entry, const entry_answer& answer);
  void check_submission_answer(fake_submission& submission,
                               const api_answer& answer);
  void check_committed(fake_replica& replica);
  void check_grant(const wire::claim_reply& reply,
                   const in_flight_message& sent);
  bool reachable(const std::string& from, const std::string& to) const;
  void report_violation(const std::string& what);
  std::string payload_of(const std::string& key,
                         int content,
                         size_t task) const;
  uint32_t random_below(uint32_t bound);
  template <typename T>
  T& pick(std::vector<T>& from, uint32_t choice) {
    return from[choice % from.size()];
  }

  settings all_;
  std::mt19937_64 random_;
  unix_ms now_ = 1'700'000'000'000;
  std::vector<fake_replica> replicas_;
  std::vector<fake_entry> entries_;
  std::map<std::string, std::string> zone_of_;
  std::vector<in_flight_message> network_;
  std::set<std::string> partitioned_zones_;
  uint64_t next_identity_ = 100;
  uint64_t next_incarnation_ = 1000;
  uint64_t next_caller_ = 1;
  uint64_t event_order_ = 0;
  uint64_t upstream_sequence_ = 0;
  std::map<uint64_t, fake_submission> submissions_;
  std::map<uint64_t, fake_roll_out> roll_outs_;
  std::vector<fake_task> running_;
  // Number of starts by key, content and task.
  std::map<std::tuple<std::string, int, size_t>, int> starts_;
  std::map<std::string, std::map<uint64_t, std::string>> committed_;
  std::map<std::string, std::string> granted_;
  std::map<uint64_t, std::string> pending_claims_;
  std::map<uint64_t, std::string> accepted_;
  uint64_t newest_accepted_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_TESTING_MODEL_H_
