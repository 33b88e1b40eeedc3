// A seeded deployment without I/O: the entry hosts' reducers, upstreams with
// leases and fences, a control log that grants owners, and callers. Messages
// and orders are delayed, lost or carried out late; hosts freeze, die and
// start again; upstreams are cut off and start again.
#ifndef CYCLAMENWOOD_TESTING_HOST_MODEL_H_
#define CYCLAMENWOOD_TESTING_HOST_MODEL_H_

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cyclamenwood/host_entry.h"
#include "cyclamenwood/owner_policy.h"
#include "cyclamenwood/testing/fake_upstream.h"

namespace cyclamenwood {

struct host_model_counts {
  uint64_t completed = 0;
  uint64_t refused = 0;
  uint64_t resends = 0;
  uint64_t takeovers = 0;
  // Of them, those of a shard of several.
  uint64_t shard_takeovers = 0;
  uint64_t late_orders = 0;
  uint64_t crashes = 0;
  uint64_t freezes = 0;
};

class host_model {
 public:
  explicit host_model(uint64_t seed);

  // Runs with faults, then without, and checks all along.
  void run(int64_t faulty_ms, int64_t calm_ms);

  // The first promise that was broken; nothing when all were kept.
  const std::optional<std::string>& broken() const { return broken_; }
  const host_model_counts& counts() const { return counts_; }
  // Jobs whose caller still waits.
  size_t open_jobs() const;

 private:
  struct host {
    std::string name;
    std::string zone;
    std::optional<host_entry> state;
    unix_ms frozen_until_ms = 0;
    unix_ms back_at_ms = 0;
    std::deque<host_event> inbox;
  };
  struct caller_job {
    std::string id;
    std::string zone;
    uint32_t tasks = 1;
    unix_ms deadline_ms = 0;
    // The host that has the call; empty: none.
    std::string at;
    uint64_t exchange = 0;
    unix_ms resend_ms = 0;
    // Every try so far was refused.
    bool only_refused = true;
    bool over = false;
    bool refused = false;
    bool ran = false;
  };
  struct delayed_message {
    unix_ms at_ms = 0;
    std::string to;
    wire::envelope envelope;
  };
  struct delayed_order {
    unix_ms at_ms = 0;
    std::string from;
    uint64_t incarnation = 0;
    run_order order;
    unix_ms sent_ms = 0;
    bool silent = false;
  };

  bool chance(double share);
  int64_t between(int64_t low, int64_t high);
  void step();
  void make_faults();
  void make_calls();
  void deliver();
  void deliver_order(const delayed_order& delayed);
  void run_host(host& host);
  void feed(host& host, const host_event& event);
  void execute(host& from, const host_effect& effect);
  void execute(host& from, const caller_answer& answer);
  void execute(host& from, const run_order& order);
  void execute(host& from, const host_send& sent);
  void execute(host& from, const log_event& note);
  void grant_owners();
  void send_news(const std::string& to);
  void start_host(host& host);
  void crash(host& host);
  void submit(caller_job& job);
  void check();
  void check_room(const pool& pool);
  void check_room();
  void fail(const std::string& what);
  fake_upstream* find_upstream(const std::string& id);

  std::mt19937_64 random_;
  // Every other seed splits each zone into two shards.
  owner_policy_options owner_policy_;
  unix_ms now_ = 1'000'000;
  bool faulty_ = true;
  std::map<std::string, host> hosts_;
  std::vector<fake_upstream> upstreams_;
  std::set<std::string> cut_upstreams_;
  std::vector<delayed_message> messages_;
  std::vector<delayed_order> orders_;
  std::vector<caller_job> jobs_;
  control_log control_;
  entry_host_map heard_;
  unix_ms grants_at_ms_ = 0;
  uint64_t next_exchange_ = 1;
  uint64_t next_incarnation_ = 1000;
  std::optional<std::string> broken_;
  host_model_counts counts_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_TESTING_HOST_MODEL_H_
