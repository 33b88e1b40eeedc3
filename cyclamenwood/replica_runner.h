// Runs a replica reducer on an event loop, with its log on disk, its messages
// and its ticks. Both replica daemons are built on it.
//
//   replica_runner runner(loop, options, heartbeat_interval_ms, peers);
//   result<wal_contents> contents = runner.open(folder);
//   runner.start(make_replica(...), value(contents), rpc_address);
//   loop.run();
//   return runner.outcome();
#ifndef CYCLAMENWOOD_REPLICA_RUNNER_H_
#define CYCLAMENWOOD_REPLICA_RUNNER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cyclamenwood/loop.h"
#include "cyclamenwood/replica.h"
#include "cyclamenwood/rpc.h"
#include "cyclamenwood/wal.h"

namespace cyclamenwood {

class replica_runner {
 public:
  using answer_handler = std::function<void(const replica_operator_answer&)>;
  using drained_handler = std::function<void()>;

  // `peers` maps hosts to addresses. In seeded deployments a host's name is its
  // address, and the map may be empty.
  replica_runner(event_loop& loop,
                 const replica_options& options,
                 int64_t heartbeat_interval_ms,
                 const std::map<std::string, std::string>& peers);

  // Opens the data folder and reads its log.
  result<wal_contents> open(const std::string& folder);

  // Replays the writes, listens on `rpc_address` and starts the replica. Fails
  // if the replica can't write its log.
  result<done> start(replica_state state,
                     std::vector<wire::wal_write> writes,
                     const std::string& rpc_address);

  // Sets the receiver of answers to operators' requests.
  void set_answer_handler(answer_handler handler);
  // Sets the function that ends the process after a drain. By default the loop
  // is stopped.
  void set_drained_handler(drained_handler handler);

  // Handles one event; `sync` must follow before the loop waits again. Drops
  // the event once a write has failed.
  void handle(const replica_event& event);
  // Syncs until no unsynced write is left: handling the end of a sync may cause
  // further writes.
  void sync();
  // Hands leadership over, then calls the drained handler.
  void drain();

  // The error that stopped the loop, if any.
  result<done> outcome() const;
  // Whether a write has failed. Requests that the last iteration of the loop
  // reads after that must be refused.
  bool has_failed() const { return failed_.has_value(); }

  const replica_state& state() const { return state_; }
  uint64_t log_bytes() const { return folder_.size(); }
  rpc_counts counts() const { return rpc_.counts(); }

 private:
  void execute(const replica_persist& effect);
  void execute(const replica_send& effect);
  void execute(const replica_log_event& effect);
  void execute(const replica_drained& effect);
  void execute(const replica_operator_answer& effect);
  void check(const result<done>& attempt);
  void rewrite_log_if_large();

  event_loop& loop_;
  replica_options options_;
  replica_state state_;
  data_folder folder_;
  rpc_node rpc_;
  std::unique_ptr<periodic_timer> tick_;
  int64_t tick_interval_ms_;
  answer_handler answer_;
  drained_handler drained_;
  bool unsynced_ = false;
  uint64_t rewritten_bytes_ = 0;
  std::optional<error> failed_;
  bool has_dropped_events_ = false;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_REPLICA_RUNNER_H_
