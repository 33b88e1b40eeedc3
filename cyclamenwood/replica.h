// The replica reducer: all replicated logs that one process holds, with
// their state machines, behind one pure function.
//
// Usage, as in the daemons:
//
//   replica_state state = make_replica(settings, "kranj-r1", identity, seed,
//                                      now);
//   for (const wire::wal_write& write : contents.writes)
//     replay_write(state, write);
//   effects = reduce(state, replica_started{now});
//   ...
//   effects = reduce(state, replica_received{now, envelope});
//   append every replica_persist to the log, send every replica_send;
//   if anything was persisted: reduce(state, replica_flush{now}), sync, then
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

// Ends a batch of events: the commands proposed in it are sent to the other
// replicas. Optional; replica_synced sends them otherwise.
struct replica_flush {
  unix_ms now = 0;
};

// Everything persisted so far is on disk. `sync_us` is how long the sync took.
struct replica_synced {
  unix_ms now = 0;
  int64_t sync_us = 0;
};

// The process was asked to stop. Leadership is handed over first, and a learner
// takes this replica's place if there is one.
struct replica_drain {
  unix_ms now = 0;
};

// An operator submitted a configuration. `latest` has been validated; its
// version, content and digest are set.
struct replica_config_submitted {
  unix_ms now = 0;
  uint64_t exchange = 0;
  wire::roll_out latest;
};

// An operator requested the newest configuration.
struct replica_config_requested {
  unix_ms now = 0;
  uint64_t exchange = 0;
};

// An operator ordered the begin or the finish of the evacuation of a zone. The
// zone has been validated.
struct replica_evacuation_ordered {
  unix_ms now = 0;
  uint64_t exchange = 0;
  wire::evacuation order;
};

// A leased upstream announced itself.
struct replica_upstream_announced {
  unix_ms now = 0;
  wire::upstream upstream;
};

// A leased upstream announced that it is leaving.
struct replica_upstream_leaving {
  unix_ms now = 0;
  std::string id;
};

// The settings changed and list these seeds.
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
                                   replica_config_submitted,
                                   replica_config_requested,
                                   replica_evacuation_ordered,
                                   replica_upstream_announced,
                                   replica_upstream_leaving,
                                   replica_seeds>;

// ---- Effects --------------------------------------------------------------

struct replica_persist {
  wire::wal_write write;
};

struct replica_send {
  std::string host;
  wire::envelope envelope;
};

// A log line for operators.
struct replica_log_event {
  std::string name;
  std::string group;
  std::string detail;
};

// The drain is complete: the process may exit.
struct replica_drained {};

enum class operator_outcome {
  accepted,
  // `content` is the newest configuration.
  content,
  // No configuration has been accepted yet.
  none,
  // The leader, `leader_host`, can answer.
  redirected,
  // This replica could not confirm a result; the caller may retry.
  unavailable,
};

// Returns the name used in metrics.
std::string_view to_string(operator_outcome outcome);

// The answer to an operator's request.
struct replica_operator_answer {
  uint64_t exchange = 0;
  operator_outcome outcome = operator_outcome::unavailable;
  std::string content;
  std::string leader_host;
};

using replica_effect = std::variant<replica_persist,
                                    replica_send,
                                    replica_log_event,
                                    replica_drained,
                                    replica_operator_answer>;
using replica_effects = std::vector<replica_effect>;

// ---- State ----------------------------------------------------------------

// A request whose log entry is not committed yet.
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
  // By the index of the log entry.
  std::map<uint64_t, pending_request> pending;
  raft_role logged_role = raft_role::follower;
};

// An entry host that receives the configuration from this replica.
struct config_reader {
  uint64_t have_version = 0;
  unix_ms expires_ms = 0;
};

// An operator's request whose log entry is not committed yet.
struct operator_request {
  uint64_t index = 0;
  uint64_t term = 0;
  unix_ms answer_by_ms = 0;
  bool wants_content = false;
};

// The state that a replica of a seeded deployment's control log keeps besides
// the log.
struct control_state {
  upstream_directory directory;
  entry_host_map entry_hosts;
  // Requests of operators by exchange.
  std::map<uint64_t, operator_request> waiting;
  // When the process started or last resumed after a suspension. Hellos sent
  // before that time may have been missed.
  unix_ms receiving_since_ms = 0;
  unix_ms last_tick_ms = 0;
  // Index of the last proposed grant. No grants are proposed until it has been
  // applied.
  uint64_t proposed_grant_index = 0;
  unix_ms control_hello_at_ms = 0;
  // When this replica applied the configuration in force.
  unix_ms latest_applied_ms = 0;
};

struct replica_state {
  std::string host;
  uint64_t identity = 0;
  // Availability zone of this host. Set in seeded deployments only.
  std::string zone;
  replica_options options;
  // Hosts of the other replicas.
  std::vector<std::string> peers;
  std::map<std::string, replica_group, std::less<>> groups;
  std::map<uint64_t, std::string> host_of_identity;
  // By host.
  std::map<std::string, config_reader> config_readers;
  // Set in seeded deployments only.
  std::optional<control_state> control;
  unix_ms hello_at_ms = 0;
  bool draining = false;
  unix_ms drain_until_ms = 0;
  bool drained = false;
  int64_t last_sync_us = 0;
};

// Returns the replica `host` of a deployment whose settings list all processes,
// with all groups that it is part of.
replica_state make_replica(const settings& all,
                           std::string_view host,
                           uint64_t identity,
                           uint64_t seed,
                           unix_ms now);

// Returns the replica of the control log on a host of a seeded deployment. The
// initial voters of its group are the seeds.
replica_state make_control_replica(const host_settings& host,
                                   const replica_options& options,
                                   const raft_options& raft,
                                   uint64_t identity,
                                   uint64_t seed,
                                   unix_ms now);

// Returns the identity of an initial voter on this host. It is derived from the
// host, since all seeds must know each other's identities before any of them
// has started. A data folder is formatted with it only while the settings say
// `bootstrap`, which is for the first start. A replica whose data folder is
// lost later returns with a random identity instead.
uint64_t bootstrap_identity(std::string_view host);

// Replays one write of the write-ahead log. To be called for each write in log
// order, before the `replica_started` event.
void replay_write(replica_state& state, const wire::wal_write& write);

// Handles one event and returns its effects, to be executed in order.
replica_effects reduce(replica_state& state, const replica_event& event);

// Returns the whole persistent state as writes, for a new write-ahead log.
std::vector<wire::wal_write> dump_writes(const replica_state& state);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_REPLICA_H_
