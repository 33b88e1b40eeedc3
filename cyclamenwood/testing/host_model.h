// A simulated seeded deployment without I/O: the reducers of entry hosts,
// upstreams with leases and fencing, a control log that grants pools to owners,
// and callers. Messages and orders are delayed, lost or carried out late; hosts
// are suspended, crash and restart; upstreams become unreachable and restart.
// Options add further faults (host_model_faults.cc); without them, a seed
// stands for the same run as before.
//
//   host_model model(seed);
//   model.run(8'000, 8'000);
//   if (model.violation())
//     ...
#ifndef CYCLAMENWOOD_TESTING_HOST_MODEL_H_
#define CYCLAMENWOOD_TESTING_HOST_MODEL_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cyclamenwood/directory.h"
#include "cyclamenwood/host_entry.h"
#include "cyclamenwood/owner_policy.h"
#include "cyclamenwood/testing/fake_upstream.h"

namespace cyclamenwood {

struct host_model_counts {
  uint64_t completed = 0;
  uint64_t refused = 0;
  uint64_t resends = 0;
  uint64_t takeovers = 0;
  // Those of `takeovers` in zones with several shards.
  uint64_t shard_takeovers = 0;
  uint64_t late_orders = 0;
  uint64_t crashes = 0;
  uint64_t suspensions = 0;
  // Upstreams that a task has crashed.
  uint64_t upstream_crashes = 0;
  // Callers that left before an answer and were to submit their job again.
  uint64_t left = 0;
  // Links that were cut: between hosts, to the replicas, and to upstreams.
  uint64_t cuts = 0;
  // Hosts that ended after a drain.
  uint64_t drains = 0;
  // Stops that an unhealthy upstream refused.
  uint64_t refused_stops = 0;
  uint64_t lost_replies = 0;
  // Evacuations that began.
  uint64_t evacuations = 0;
};

struct host_model_options {
  // The share of jobs whose first task crashes each upstream that starts it.
  double crashing_jobs = 0;
  // Upstreams change their capacity as they run, and announce it to one of two
  // replicas. Without this, hosts hear of all upstreams from one source.
  bool changing_capacity = false;
  // The clocks of upstreams start again when they restart, so that a late order
  // for the process before is not recognized by its lease.
  bool restarting_clocks = false;
  // The longest run of a task. Runs longer than the time after which callers
  // submit a job again may meet a run of the next submission.
  int64_t max_run_ms = 500;
  // The share of submissions whose callers leave before an answer and submit
  // their job again. Hosts that are suspended see that late.
  double leaving_callers = 0;
  // The share of all orders that nobody answers and that are carried out 2 to
  // 12 s later, beside those that are late without this option.
  double late_orders = 0;
  // The share of orders that an unhealthy upstream refuses and does not carry
  // out.
  double refused_orders = 0;
  // The share of orders that are carried out, but whose connection ends before
  // the reply.
  double lost_replies = 0;
  // Upstreams can't be reached by their owner or by another host, and restart
  // meanwhile; hosts that start don't hear of some upstreams for a while.
  bool cut_upstreams = false;
  // Messages between two hosts, or between a host and the replicas, are lost
  // for a while.
  bool cut_hosts = false;
  // Hosts crash at the same time or again after their start, and are suspended
  // several times on end.
  bool fault_series = false;
  // Hosts drain and end.
  bool draining_hosts = false;
  // Evacuations of the zones begin and finish, and lists of them arrive late.
  bool evacuations = false;
  // The share by which the clocks of upstreams are slow at most.
  double slow_clocks = 0;
  // Receives a line for each event, if it is set.
  std::function<void(const std::string& line)> trace;
};

class host_model {
 public:
  explicit host_model(uint64_t seed, const host_model_options& options = {});

  // Runs with faults for `faulty_ms` of simulated time, then without for
  // `calm_ms`, and checks the invariants after every step. Stops at the first
  // violation.
  void run(int64_t faulty_ms, int64_t calm_ms);

  // Description of the first violated invariant; nothing when all hold.
  const std::optional<std::string>& violation() const { return violation_; }
  const host_model_counts& counts() const { return counts_; }
  // Number of jobs whose caller still waits.
  size_t open_jobs() const;

 private:
  struct host {
    std::string name;
    std::string zone;
    std::optional<host_entry> state;
    unix_ms suspended_until_ms = 0;
    unix_ms restart_at_ms = 0;
    std::deque<host_event> inbox;
    // Connections that callers closed, which the host sees after a tick and the
    // events in the inbox.
    std::deque<host_event> closed;
    bool was_suspended = false;
    unix_ms crash_at_ms = INT64_MAX;
    // Draining: it ends by this time.
    unix_ms exit_by_ms = INT64_MAX;
    int suspensions_left = 0;
    unix_ms next_suspension_ms = 0;
  };
  // Since when a process was told without a break that a zone is evacuated.
  struct told_evacuations {
    uint64_t revision = 0;
    std::map<std::string, unix_ms> since_ms;
  };
  struct caller_job {
    std::string id;
    std::string zone;
    uint32_t tasks = 1;
    bool crashes_upstreams = false;
    unix_ms deadline_ms = 0;
    // The host that handles the call; empty: none.
    std::string at;
    uint64_t exchange = 0;
    unix_ms resend_ms = 0;
    // The caller leaves at this time.
    unix_ms leaves_ms = INT64_MAX;
    // All runs have ended by this time, since the caller may submit the job
    // again then.
    unix_ms runs_until_ms = INT64_MAX;
    // Every submission so far was refused.
    bool only_refused = true;
    bool finished = false;
    bool refused = false;
    bool ran = false;
  };
  // A replica, to which upstreams announce themselves.
  struct replica {
    std::string name;
    upstream_directory directory;
    // What each host was sent last: its incarnation, and the number of the
    // directory's change.
    std::map<std::string, std::pair<uint64_t, uint64_t>> sent;
  };
  struct delayed_announcement {
    unix_ms at_ms = 0;
    size_t replica = 0;
    wire::upstream upstream;
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
    bool reply_lost = false;
    // Not an order, but the end of the wait for the reply to one.
    bool is_timeout = false;
    // The incarnation of the upstream that delays its reply; 0: none.
    uint64_t held_by = 0;
  };

  bool chance(double share);
  int64_t between(int64_t low, int64_t high);
  void step();
  void inject_faults();
  void inject_further_faults();
  void inject_host_faults(host& host);
  void crash_several_hosts();
  void cut_hosts();
  void cut_upstream(fake_upstream& upstream);
  void cut(const std::string& from, const std::string& to);
  bool is_cut(const std::string& from, const std::string& to) const;
  // The host that owns the upstream's pool; empty: none.
  std::string owner_of(const std::string& upstream) const;
  void end_drained(host& host);
  void change_evacuations();
  // Records what the message tells the process.
  void record_told(const host& host, const host_event& event);
  // No start is ordered by a process that was told of the evacuation, and none
  // is carried out later than the longest lease after that.
  void check_start_order(const host& host, const run_order& order);
  void check_carried_out(const delayed_order& delayed,
                         const fake_upstream& upstream);
  void end_further_faults();
  void leave(caller_job& job);
  void stop_waiting(caller_job& job);
  bool has_runs(const caller_job& job);
  void trace(const std::string& line) const;
  void trace(const delayed_order& delayed, const order_reply& reply) const;
  void change_capacities();
  void announce_upstreams();
  void submit_calls();
  void deliver();
  void deliver_order(const delayed_order& delayed);
  // Whether the upstream is unhealthy and refuses the order.
  bool refuses(const delayed_order& delayed);
  bool loses_reply();
  void delay_order(delayed_order& delayed, int64_t low_ms, int64_t high_ms);
  void run_host(host& host);
  void dispatch_event(host& host, const host_event& event);
  void execute(host& from, const host_effect& effect);
  void execute(host& from, const caller_answer& answer);
  void execute(host& from, const run_order& order);
  void execute(host& from, const host_send& sent);
  void execute(host& from, const log_event& note);
  void grant_owners();
  void send_news(const std::string& to);
  void send_replica_news(replica& from, const std::string& to);
  wire::envelope make_news(const std::string& from) const;
  void start_host(host& host);
  void restart_host(host& host);
  void crash(host& host);
  void submit(caller_job& job);
  void check();
  void check_capacity(const pool& pool);
  void check_capacity();
  // The largest capacity that the upstream has had lately.
  uint32_t recent_capacity(const std::string& id) const;
  void check_known_capacity(const host& host, const pool& pool);
  void check_crashes();
  void fail(const std::string& what);
  fake_upstream* find_upstream(const std::string& id);

  std::mt19937_64 random_;
  host_model_options options_;
  // Even seeds split each zone into two shards, one for each entry host.
  owner_policy_options owner_policy_;
  unix_ms now_ = 1'000'000;
  bool faulty_ = true;
  std::map<std::string, host> hosts_;
  std::vector<fake_upstream> upstreams_;
  std::set<std::string> unreachable_upstreams_;
  // Links that are cut, (from, to), with the times when they no longer are.
  std::map<std::pair<std::string, std::string>, unix_ms> cuts_;
  // By id: when the upstream restarts while it is cut off, and until when hosts
  // don't hear of it.
  std::map<std::string, unix_ms> restarts_;
  std::map<std::string, unix_ms> hidden_until_;
  std::vector<replica> replicas_;
  std::vector<delayed_announcement> announcements_;
  // The replica that each upstream announces itself to, by id.
  std::map<std::string, size_t> announces_to_;
  // When each capacity of an upstream ended, by id.
  std::map<std::string, std::map<unix_ms, uint32_t>> past_capacities_;
  std::vector<delayed_message> messages_;
  std::vector<delayed_order> orders_;
  std::vector<caller_job> jobs_;
  // Names of tasks that crash upstreams.
  std::set<std::string> crashing_tasks_;
  control_log control_;
  entry_host_map entry_hosts_;
  unix_ms grants_at_ms_ = 0;
  wire::evacuation_list evacuations_;
  // By incarnation of the process.
  std::map<uint64_t, told_evacuations> told_;
  unix_ms calm_since_ms_ = 0;
  // By evacuated zone.
  std::map<std::string, unix_ms> evacuated_since_ms_;
  uint64_t next_exchange_ = 1;
  uint64_t next_incarnation_ = 1000;
  std::optional<std::string> violation_;
  host_model_counts counts_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_TESTING_HOST_MODEL_H_
