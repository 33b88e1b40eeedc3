// Functions shared by the source files of the replica reducer. Not part of its
// public interface.
#ifndef CYCLAMENWOOD_REPLICA_INTERNAL_H_
#define CYCLAMENWOOD_REPLICA_INTERNAL_H_

#include <map>
#include <string>
#include <utility>

#include "cyclamenwood/replica.h"

namespace cyclamenwood {

// Collects the effects of one event.
struct outbox {
  replica_effects effects;
  // Consensus messages by host.
  std::map<std::string, wire::raft_batch> raft;
};

inline void send(outbox& out,
                 const std::string& host,
                 wire::envelope envelope) {
  out.effects.push_back(replica_send{host, std::move(envelope)});
}

inline void add_log_event(outbox& out,
                          std::string name,
                          const std::string& group,
                          std::string detail) {
  out.effects.push_back(
      replica_log_event{std::move(name), group, std::move(detail)});
}

// ---- replica.cc -------------------------------------------------------------

// Applies the entries that the consensus reducer committed and converts the
// rest of its output into effects.
void process_raft_output(replica_state& state,
                         replica_group& group,
                         raft_output result,
                         outbox& out);

void log_committed_members(const replica_group& group,
                           const wire::membership& members,
                           outbox& out);

// ---- replica_control.cc -----------------------------------------------------

constexpr std::string_view CONTROL_GROUP = "control";

// Exists in seeded deployments only.
replica_group& control_group(replica_state& state);

void apply_control_entry(replica_state& state,
                         replica_group& group,
                         const wire::log_entry& entry,
                         outbox& out);

// Adds a host to the other replicas, unless it is known or is this host.
void add_peer(replica_state& state, const std::string& host);

// Sends each entry host the changes that it does not have yet.
void push_updates(replica_state& state,
                  const replica_group& group,
                  outbox& out);

void receive_entry_hello(replica_state& state,
                         unix_ms now,
                         const wire::envelope& envelope,
                         outbox& out);
void receive_control_hello(replica_state& state,
                           const wire::envelope& envelope);
void handle_config_submission(replica_state& state,
                              const replica_config_submitted& event,
                              outbox& out);
void handle_config_request(replica_state& state,
                           const replica_config_requested& event,
                           outbox& out);
void handle_evacuation_order(replica_state& state,
                             const replica_evacuation_ordered& event,
                             outbox& out);
void tick_control(replica_state& state, unix_ms now, outbox& out);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_REPLICA_INTERNAL_H_
