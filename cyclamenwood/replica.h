// The replica reducer: all replicated logs that one process holds, with
// their state machines, behind one pure function.
//
// Worked usage, as the daemon's shell does it:
//
//   replica_state state = make_replica(settings, "kranj-r1", identity, seed,
//                                      now);
//   for (const wire::wal_write& write : contents.writes)
//     replay_write(state, write);
//   effects = reduce(state, replica_started{now});
//   ...
//   effects = reduce(state, replica_received{now, envelope});
//   append every replica_persist to the log, deliver every replica_send;
//   when something was persisted: reduce(state, replica_flush{now}), sync,
//   then
//   effects = reduce(state, replica_synced{now, sync_us});
//
// The reducer reads no clock and performs no I/O. `now` must not decrease.
#ifndef CYCLAMENWOOD_REPLICA_H_
#define CYCLAMENWOOD_REPLICA_H_

#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cyclamenwood/bundle.h"
#include "cyclamenwood/claims.h"
#include "cyclamenwood/control_log.h"
#include "cyclamenwood/directory.h"
#include "cyclamenwood/host_settings.h"
#include "cyclamenwood/owner_policy.h"
#include "cyclamenwood/raft.h"
#include "cyclamenwood/settings.h"
#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

// ---- Events ---------------------------------------------------------------

struct replica_started {
  unix_ms now = 0;
};

struct replica_tick {
  unix_ms now = 0;
};

// A message from another process.
struct replica_received {
  unix_ms now = 0;
  wire::envelope envelope;
};

// The events of one batch are over: what they proposed is sent to the other
// replicas. Optional; replica_synced does the same later.
struct replica_flush {
  unix_ms now = 0;
};

// Everything persisted so far is on disk.
struct replica_synced {
  unix_ms now = 0;
  int64_t sync_us = 0;
};

// The process was asked to stop: leadership is handed over first.
struct replica_drain {
  unix_ms now = 0;
};

// An operator's configuration; `latest` is checked and has version, content
// and digest.
struct replica_config_offered {
  unix_ms now = 0;
  uint64_t exchange = 0;
  wire::roll_out latest;
};

// An operator asks for the newest configuration.
struct replica_config_wanted {
  unix_ms now = 0;
  uint64_t exchange = 0;
};

// A leased upstream announced itself.
struct replica_upstream_heard {
  unix_ms now = 0;
  wire::upstream upstream;
};

// A leased upstream says that it ends.
struct replica_upstream_left {
  unix_ms now = 0;
  std::string id;
};

// The settings name these seeds now.
struct replica_seeds {
  unix_ms now = 0;
  std::vector<std::string> seeds;
};

using replica_event = std::variant<replica_started,
                                   replica_tick,
                                   replica_received,
                                   replica_flush,
                                   replica_synced,
                                   replica_drain,
                                   replica_config_offered,
                                   replica_config_wanted,
                                   replica_upstream_heard,
                                   replica_upstream_left,
                                   replica_seeds>;

// ---- Effects --------------------------------------------------------------

struct replica_persist {
  wire::wal_write write;
};

struct replica_send {
  std::string host;
  wire::envelope envelope;
};

// Something an operator wants to see.
struct replica_note {
  std::string name;
  std::string group;
  std::string detail;
};

// Leadership is handed over: the process may exit.
struct replica_drained {};

enum class operator_outcome {
  accepted,
  // `content` is the newest configuration.
  content,
  // No configuration was accepted so far.
  none,
  // `leader_host` can answer.
  redirected,
  // Nobody here can be sure; the caller may ask again.
  unavailable,
};

// The name used in metrics.
std::string_view to_string(operator_outcome outcome);

// Answers an operator's request.
struct replica_operator_answer {
  uint64_t exchange = 0;
  operator_outcome outcome = operator_outcome::unavailable;
  std::string content;
  std::string leader_host;
};

using replica_effect = std::variant<replica_persist,
                                    replica_send,
                                    replica_note,
                                    replica_drained,
                                    replica_operator_answer>;
using replica_effects = std::vector<replica_effect>;

// ---- State ----------------------------------------------------------------

// A request that waits for its log entry to be committed.
struct pending_request {
  std::string host;
  uint64_t request_id = 0;
  uint64_t term = 0;
};

struct replica_group {
  raft_group raft;
  std::variant<claim_table, config_log, control_log> machine;
  // Index of the last command applied to `machine`.
  uint64_t applied_index = 0;
  std::map<uint64_t, pending_request> pending;
  raft_role noted_role = raft_role::follower;
};

// An entry host that reads the configuration.
struct config_reader {
  uint64_t have_version = 0;
  unix_ms expires_ms = 0;
};

// An operator's request that waits for its log entry to be committed.
struct waiting_operator {
  uint64_t index = 0;
  uint64_t term = 0;
  unix_ms answer_by_ms = 0;
  bool wants_content = false;
};

// What a replica of a seeded deployment's control log keeps besides the log.
struct control_part {
  upstream_directory directory;
  entry_host_map entry_hosts;
  // By exchange.
  std::map<uint64_t, waiting_operator> waiting;
  // When the process started or was last found to have stood still.
  unix_ms receiving_since_ms = 0;
  unix_ms last_tick_ms = 0;
  // Index of the newest grant proposed; one round of grants at a time.
  uint64_t grants_index = 0;
  unix_ms peers_at_ms = 0;
  // When the configuration in force came to be so here.
  unix_ms latest_since_ms = 0;
};

struct replica_state {
  std::string host;
  uint64_t identity = 0;
  // Seeded deployments only.
  std::string zone;
  replica_options options;
  // Hosts of the other replicas.
  std::vector<std::string> peers;
  std::map<std::string, replica_group, std::less<>> groups;
  std::map<uint64_t, std::string> host_of_identity;
  std::map<std::string, config_reader> config_readers;
  // Set in seeded deployments.
  std::optional<control_part> control;
  unix_ms hello_at_ms = 0;
  bool draining = false;
  unix_ms drain_until_ms = 0;
  int64_t last_sync_us = 0;
};

replica_state make_replica(const settings& all,
                           std::string_view host,
                           uint64_t identity,
                           uint64_t seed,
                           unix_ms now);

// The replica of the control log on a seeded deployment's host. The group's
// first voters are the seeds.
replica_state make_control_replica(const host_settings& host,
                                   const replica_options& options,
                                   const raft_options& raft,
                                   uint64_t identity,
                                   uint64_t seed,
                                   unix_ms now);

// The identity of a founding replica on this host: all seeds must know each
// other's before any of them has started. A replica whose folder was lost
// returns with a random one.
uint64_t founding_identity(std::string_view host);

// Feeds one write of the log, in order, before `replica_started`.
void replay_write(replica_state& state, const wire::wal_write& write);

replica_effects reduce(replica_state& state, const replica_event& event);

// The whole state as writes, for a new write-ahead log.
std::vector<wire::wal_write> dump_writes(const replica_state& state);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_REPLICA_H_
