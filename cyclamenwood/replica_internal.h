// Functions that the files of the replica reducer share; not part of the
// interface.
#ifndef CYCLAMENWOOD_REPLICA_INTERNAL_H_
#define CYCLAMENWOOD_REPLICA_INTERNAL_H_

#include <map>
#include <string>
#include <utility>

#include "cyclamenwood/replica.h"

namespace cyclamenwood {

// The effects of one reduction.
struct outbox {
  replica_effects effects;
  std::map<std::string, wire::raft_batch> raft;
};

inline void send(outbox& out,
                 const std::string& host,
                 wire::envelope envelope) {
  out.effects.push_back(replica_send{host, std::move(envelope)});
}

inline void note(outbox& out,
                 std::string name,
                 const std::string& group,
                 std::string detail) {
  out.effects.push_back(
      replica_note{std::move(name), group, std::move(detail)});
}

// ---- replica.cc -------------------------------------------------------------

// Turns what the consensus reducer returned into effects and applies what it
// committed.
void absorb(replica_state& state,
            replica_group& group,
            raft_output result,
            outbox& out);

// ---- replica_control.cc -----------------------------------------------------

constexpr std::string_view CONTROL_GROUP = "control";

// Seeded deployments only.
replica_group& control_group(replica_state& state);

void apply_control_entry(replica_state& state,
                         replica_group& group,
                         const wire::log_entry& entry,
                         outbox& out);

// Messages go to this host too from now on.
void add_peer(replica_state& state, const std::string& host);

// Tells all entry hosts what they do not have yet.
void push_news(replica_state& state, const replica_group& group, outbox& out);

void receive_entry_hello(replica_state& state,
                         unix_ms now,
                         const wire::envelope& envelope,
                         outbox& out);
void receive_control_hello(replica_state& state,
                           const wire::envelope& envelope);
void offer_config(replica_state& state,
                  const replica_config_offered& event,
                  outbox& out);
void want_config(replica_state& state,
                 const replica_config_wanted& event,
                 outbox& out);
void tick_control(replica_state& state, unix_ms now, outbox& out);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_REPLICA_INTERNAL_H_
