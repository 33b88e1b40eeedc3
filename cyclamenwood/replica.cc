// Each event is handled by the groups that it concerns. `process_raft_output`
// then applies the entries that the consensus reducer committed and converts
// its output into effects. The consensus messages that one event produces in
// all groups are sent in one envelope per host, so that idle heartbeats cost
// one message per pair of hosts.
#include "cyclamenwood/replica.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <set>

#include "cyclamenwood/replica_internal.h"

namespace cyclamenwood {
namespace {

constexpr int64_t HELLO_INTERVAL_MS = 1000;
// Twice the longest election timeout of the control log. A voter that has not
// been in contact with a leader for this long may have been removed.
constexpr int64_t LEADER_CONTACT_TIMEOUT_MS = 2000;
constexpr int64_t CONFIG_READER_TIMEOUT_MS = 10'000;
// Allows for an election and two changes of the membership.
constexpr int64_t HANDOVER_TIMEOUT_MS = 3000;
constexpr int64_t HANDOVER_LINGER_MS = 300;

void restore(replica_group& group, const wire::snapshot& snapshot) {
  if (std::holds_alternative<claim_table>(group.machine))
    group.machine = load_claims(snapshot.data());
  else if (std::holds_alternative<control_log>(group.machine))
    group.machine = load_control(snapshot.data());
  else
    group.machine = load_config(snapshot.data());
  group.applied_index = snapshot.index();
}

std::string save(const replica_group& group) {
  if (const auto* claims = std::get_if<claim_table>(&group.machine))
    return save_claims(*claims);
  if (const auto* control = std::get_if<control_log>(&group.machine))
    return save_control(*control);
  return save_config(std::get<config_log>(group.machine));
}

wire::claim_reply make_claim_reply(const replica_state& state,
                                   uint64_t request_id,
                                   const claim_outcome& outcome) {
  wire::claim_reply reply;
  reply.set_request_id(request_id);
  reply.set_result(outcome.result);
  reply.set_owner_host(outcome.owner.host);
  reply.set_owner_incarnation(outcome.owner.incarnation);
  reply.set_sync_us(state.last_sync_us);
  return reply;
}

void send_claim_reply(outbox& out,
                      const std::string& host,
                      wire::claim_reply reply) {
  wire::envelope envelope;
  *envelope.mutable_claim_reply() = std::move(reply);
  send(out, host, std::move(envelope));
}

void send_roll_out_reply(outbox& out,
                         const std::string& host,
                         uint64_t request_id,
                         const roll_out_outcome& outcome,
                         const std::string& leader_host) {
  wire::envelope envelope;
  wire::roll_out_reply& reply = *envelope.mutable_roll_out_reply();
  reply.set_request_id(request_id);
  reply.set_result(outcome.result);
  *reply.mutable_winner() = outcome.winner;
  reply.set_detail(outcome.detail);
  reply.set_leader_host(leader_host);
  send(out, host, std::move(envelope));
}

// Returns the newest version in the log, committed or not. A logged roll-out
// may be refused when it is applied; the applied version then stays in force
// and the reader asks again.
uint64_t logged_version(const replica_group& group) {
  uint64_t newest = newest_version(std::get<config_log>(group.machine));
  for (auto entry = group.raft.log.rbegin(); entry != group.raft.log.rend();
       ++entry) {
    if (entry->index() <= group.applied_index)
      break;
    newest = std::max(newest, entry->command().roll_out().version());
  }
  return newest;
}

void send_config_state(const replica_state& state,
                       const replica_group& group,
                       const std::string& host,
                       uint64_t have_version,
                       outbox& out) {
  const auto& log = std::get<config_log>(group.machine);
  wire::envelope envelope;
  wire::config_state& config = *envelope.mutable_config_state();
  config.set_identity(state.identity);
  config.set_applied_version(newest_version(log));
  config.set_logged_version(logged_version(group));
  config.set_members_index(group.raft.members_index);
  *config.mutable_members() = group.raft.members;
  config.set_leader_host(raft_leader_host(group.raft));
  if (newest_version(log) > have_version)
    *config.add_versions() = log.versions.back();
  send(out, host, std::move(envelope));
}

void push_config(replica_state& state,
                 const replica_group& group,
                 outbox& out) {
  uint64_t newest = newest_version(std::get<config_log>(group.machine));
  for (auto& [host, reader] : state.config_readers) {
    if (reader.have_version >= newest)
      continue;
    send_config_state(state, group, host, reader.have_version, out);
    reader.have_version = newest;
  }
}

void apply_claim_entry(replica_state& state,
                       replica_group& group,
                       const wire::log_entry& entry,
                       const pending_request* request,
                       outbox& out) {
  const wire::command& command = entry.command();
  claim_outcome outcome =
      apply_claim(std::get<claim_table>(group.machine), command.claim(),
                  command.stamp_ms(), command.max_records());
  if (request != nullptr)
    send_claim_reply(out, request->host,
                     make_claim_reply(state, request->request_id, outcome));
}

void apply_roll_out_entry(replica_group& group,
                          const wire::log_entry& entry,
                          const pending_request* request,
                          outbox& out) {
  auto& log = std::get<config_log>(group.machine);
  roll_out_outcome outcome = apply_roll_out(log, entry.command().roll_out());
  if (request != nullptr)
    send_roll_out_reply(out, request->host, request->request_id, outcome, "");
  if (outcome.result == wire::ROLL_OUT_ACCEPTED)
    add_log_event(out, "bundle_accepted", group.raft.name,
                  fmt::format("version={}", newest_version(log)));
}

void apply_entry(replica_state& state,
                 replica_group& group,
                 const wire::log_entry& entry,
                 outbox& out) {
  if (entry.index() <= group.applied_index)
    return;
  group.applied_index = entry.index();
  auto waiting = group.pending.find(entry.index());
  const pending_request* request = nullptr;
  if (waiting != group.pending.end() && waiting->second.term == entry.term())
    request = &waiting->second;
  const wire::command& command = entry.command();
  if (command.has_claim())
    apply_claim_entry(state, group, entry, request, out);
  else if (command.has_roll_out())
    apply_roll_out_entry(group, entry, request, out);
  else if (std::holds_alternative<control_log>(group.machine))
    apply_control_entry(state, group, entry, out);
  else if (command.has_members())
    log_committed_members(group, command.members(), out);
  group.pending.erase(group.pending.begin(),
                      group.pending.upper_bound(entry.index()));
}

void log_membership_events(const replica_group& group,
                           const raft_output& result,
                           outbox& out) {
  for (const membership_event& event : result.membership_events) {
    add_log_event(
        out, std::string(to_string(event.step)), group.raft.name,
        fmt::format("host={} silent_ms={}", event.host, event.silent_ms));
  }
}

void log_role_change(replica_group& group, outbox& out) {
  if (group.raft.role == group.logged_role)
    return;
  if (group.raft.role == raft_role::leader)
    add_log_event(out, "leader_elected", group.raft.name,
                  fmt::format("term={}", group.raft.term));
  else if (group.logged_role == raft_role::leader)
    add_log_event(out, "leader_stepped_down", group.raft.name,
                  fmt::format("term={}", group.raft.term));
  if (group.raft.role != raft_role::leader)
    group.pending.clear();
  group.logged_role = group.raft.role;
}

void route_message(replica_state& state,
                   wire::raft_message message,
                   outbox& out) {
  auto found = state.host_of_identity.find(message.to());
  if (found == state.host_of_identity.end())
    return;
  *out.raft[found->second].add_messages() = std::move(message);
}

void record_voter_hosts(replica_state& state, const replica_group& group) {
  for (const wire::member& voter : group.raft.members.voters()) {
    state.host_of_identity[voter.identity()] = voter.host();
    if (state.control)
      add_peer(state, voter.host());
  }
}

size_t machine_records(const replica_group& group) {
  const auto* claims = std::get_if<claim_table>(&group.machine);
  return claims == nullptr ? 0 : claims->records.size();
}

// Whether the log exceeds its bound in entries. That grows with the number of
// claim records, so that the cost of a snapshot stays proportional to the
// number of commands since the previous one.
bool has_many_entries(const replica_state& state, const replica_group& group) {
  size_t bound = std::max<size_t>(state.options.snapshot_min_entries,
                                  machine_records(group) / 2);
  return group.raft.log.size() > bound;
}

// Whether the applied entries exceed the bound of the log in bytes. An entry
// may contain a whole configuration. The size of the last snapshot keeps its
// cost proportional here too.
bool has_large_entries(const replica_state& state, const replica_group& group) {
  uint64_t bound = std::max<uint64_t>(state.options.snapshot_min_bytes,
                                      group.raft.snapshot.data().size());
  return raft_log_bytes(group.raft, group.raft.snapshot.index() + 1,
                        group.applied_index) > bound;
}

// Takes a snapshot when the log exceeds a bound.
void compact(replica_state& state, replica_group& group, raft_output& out) {
  bool is_due =
      group.applied_index > group.raft.snapshot.index() &&
      (has_many_entries(state, group) || has_large_entries(state, group));
  if (!is_due)
    return;
  raft_compact(group.raft, group.applied_index, save(group), out);
}

}  // namespace

void log_committed_members(const replica_group& group,
                           const wire::membership& members,
                           outbox& out) {
  std::string hosts;
  for (const wire::member& voter : members.voters())
    hosts += (hosts.empty() ? "" : ",") + voter.host();
  add_log_event(
      out, "membership_committed", group.raft.name,
      fmt::format("voters={} hosts={}", members.voters_size(), hosts));
}

void process_raft_output(replica_state& state,
                         replica_group& group,
                         raft_output result,
                         outbox& out) {
  if (result.restored) {
    restore(group, *result.restored);
    add_log_event(out, "snapshot_installed", group.raft.name,
                  fmt::format("index={}", group.applied_index));
  }
  for (const wire::log_entry& entry : result.committed)
    apply_entry(state, group, entry, out);
  if (!result.committed.empty())
    compact(state, group, result);
  log_membership_events(group, result, out);
  record_voter_hosts(state, group);
  for (wire::wal_write& write : result.writes)
    out.effects.push_back(replica_persist{std::move(write)});
  for (wire::raft_message& message : result.messages)
    route_message(state, std::move(message), out);
  bool changed = !result.committed.empty() || result.restored.has_value();
  if (changed && std::holds_alternative<config_log>(group.machine))
    push_config(state, group, out);
  if (changed && state.control)
    push_updates(state, group, out);
  log_role_change(group, out);
}

namespace {

replica_effects finish(outbox out) {
  for (auto& [host, batch] : out.raft) {
    wire::envelope envelope;
    *envelope.mutable_raft() = std::move(batch);
    send(out, host, std::move(envelope));
  }
  return std::move(out.effects);
}

// ---- Messages -------------------------------------------------------------

void receive_raft(replica_state& state,
                  unix_ms now,
                  const wire::envelope& envelope,
                  outbox& out) {
  for (const wire::raft_message& message : envelope.raft().messages()) {
    auto found = state.groups.find(message.group());
    if (found == state.groups.end())
      continue;
    state.host_of_identity[message.from()] = envelope.from();
    raft_output result;
    raft_receive(found->second.raft, message, now, result);
    process_raft_output(state, found->second, std::move(result), out);
  }
}

void receive_hello(replica_state& state, const wire::envelope& envelope) {
  uint64_t identity = envelope.replica_hello().identity();
  state.host_of_identity[identity] = envelope.from();
  for (auto& [name, group] : state.groups)
    raft_record_announcement(group.raft, envelope.from(), identity);
}

// Looks for a claim on the same key that is logged but not applied yet. A
// lookup must not report such a key as free.
claim_outcome find_unapplied_claim(const replica_group& group,
                                   const wire::claim& wanted) {
  claim_outcome outcome;
  outcome.result = wire::CLAIM_ABSENT;
  for (auto entry = group.raft.log.rbegin(); entry != group.raft.log.rend();
       ++entry) {
    if (entry->index() <= group.applied_index)
      break;
    const wire::claim& claim = entry->command().claim();
    if (claim.tenant() != wanted.tenant() || claim.key() != wanted.key())
      continue;
    outcome.result = wire::CLAIM_OWNED;
    outcome.owner = {claim.owner_host(), claim.owner_incarnation()};
  }
  return outcome;
}

void receive_claim(replica_state& state,
                   unix_ms now,
                   const wire::envelope& envelope,
                   outbox& out) {
  const wire::claim_request& request = envelope.claim_request();
  claim_outcome outcome;
  outcome.result = wire::CLAIM_NOT_LEADER;
  auto found = state.groups.find(request.group());
  replica_group* group = found == state.groups.end() ? nullptr : &found->second;
  if (group == nullptr ||
      !std::holds_alternative<claim_table>(group->machine) ||
      !raft_leader_ready(group->raft)) {
    wire::claim_reply reply =
        make_claim_reply(state, request.request_id(), outcome);
    if (group != nullptr && group->raft.role != raft_role::leader)
      reply.set_leader_host(raft_leader_host(group->raft));
    send_claim_reply(out, envelope.from(), std::move(reply));
    return;
  }
  // A key with a committed claim needs no log entry.
  outcome = find_claim(std::get<claim_table>(group->machine), request.claim());
  if (request.lookup() && outcome.result == wire::CLAIM_ABSENT)
    outcome = find_unapplied_claim(*group, request.claim());
  if (request.lookup() || outcome.result != wire::CLAIM_ABSENT) {
    send_claim_reply(out, envelope.from(),
                     make_claim_reply(state, request.request_id(), outcome));
    return;
  }
  wire::command command;
  command.set_stamp_ms(now);
  command.set_max_records(state.options.max_claim_records);
  *command.mutable_claim() = request.claim();
  raft_output result;
  std::optional<uint64_t> index =
      raft_propose(group->raft, std::move(command), result);
  if (index)
    group->pending[*index] = {envelope.from(), request.request_id(),
                              group->raft.term};
  else {
    send_claim_reply(
        out, envelope.from(),
        make_claim_reply(state, request.request_id(),
                         claim_outcome{wire::CLAIM_NOT_LEADER, {}}));
  }
  process_raft_output(state, *group, std::move(result), out);
}

replica_group* config_group(replica_state& state) {
  auto found = state.groups.find(CONFIG_GROUP);
  return found == state.groups.end() ? nullptr : &found->second;
}

void receive_roll_out(replica_state& state,
                      unix_ms now,
                      const wire::envelope& envelope,
                      outbox& out) {
  const wire::roll_out_request& request = envelope.roll_out_request();
  replica_group* group = config_group(state);
  roll_out_outcome refusal;
  refusal.result = wire::ROLL_OUT_NOT_LEADER;
  if (group == nullptr || !raft_leader_ready(group->raft) ||
      !raft_has_room(group->raft)) {
    std::string hint;
    if (group != nullptr && group->raft.role != raft_role::leader)
      hint = raft_leader_host(group->raft);
    send_roll_out_reply(out, envelope.from(), request.request_id(), refusal,
                        hint);
    return;
  }
  result<wire::roll_out> checked = make_roll_out(request.roll_out().content());
  if (!ok(checked)) {
    refusal.result = wire::ROLL_OUT_REFUSED;
    refusal.detail = failure(checked).detail;
    send_roll_out_reply(out, envelope.from(), request.request_id(), refusal,
                        "");
    return;
  }
  wire::command command;
  command.set_stamp_ms(now);
  *command.mutable_roll_out() = value(checked);
  raft_output result;
  std::optional<uint64_t> index =
      raft_propose(group->raft, std::move(command), result);
  if (index)
    group->pending[*index] = {envelope.from(), request.request_id(),
                              group->raft.term};
  else
    send_roll_out_reply(out, envelope.from(), request.request_id(), refusal,
                        "");
  process_raft_output(state, *group, std::move(result), out);
}

void receive_config_read(replica_state& state,
                         unix_ms now,
                         const wire::envelope& envelope,
                         outbox& out) {
  replica_group* group = config_group(state);
  if (group == nullptr)
    return;
  uint64_t have = envelope.config_read().have_version();
  send_config_state(state, *group, envelope.from(), have, out);
  uint64_t newest = newest_version(std::get<config_log>(group->machine));
  state.config_readers[envelope.from()] = {std::max(have, newest),
                                           now + CONFIG_READER_TIMEOUT_MS};
}

// ---- Events ---------------------------------------------------------------

void on_event(replica_state& state, const replica_started& event, outbox& out) {
  for (auto& [name, group] : state.groups) {
    bool is_new = group.raft.term == 0 && raft_last_index(group.raft) == 0;
    raft_replay_done(group.raft, event.now);
    if (group.raft.snapshot.index() > 0)
      restore(group, group.raft.snapshot);
    raft_output result;
    if (is_new)
      raft_write_initial_members(group.raft, result);
    process_raft_output(state, group, std::move(result), out);
  }
  state.hello_at_ms = event.now;
}

// Whether this replica, as far as it can determine, is a member of the group. A
// replica that was removed while it was unreachable does not have that entry in
// its log, and the leader no longer sends it messages.
bool is_member(const replica_state& state,
               const replica_group& group,
               unix_ms now) {
  bool has_leader =
      group.raft.role == raft_role::leader ||
      now - group.raft.last_leader_contact_ms <= LEADER_CONTACT_TIMEOUT_MS;
  return raft_is_voter(group.raft, state.identity) &&
         (has_leader || !state.control);
}

// Announces this replica to its peers while it is not a member of all its
// groups. A replica that is about to stop must not become one.
void send_hellos(replica_state& state, unix_ms now, outbox& out) {
  if (now < state.hello_at_ms || state.draining)
    return;
  state.hello_at_ms = now + HELLO_INTERVAL_MS;
  bool member = true;
  for (const auto& [name, group] : state.groups)
    member = member && is_member(state, group, now);
  if (member)
    return;
  for (const std::string& peer : state.peers) {
    wire::envelope envelope;
    envelope.mutable_replica_hello()->set_identity(state.identity);
    send(out, peer, std::move(envelope));
  }
}

// `has_left`: all groups can do without this replica.
void check_drained(replica_state& state,
                   bool has_left,
                   unix_ms now,
                   outbox& out) {
  if (!state.draining || state.drained)
    return;
  bool leads = false;
  for (const auto& [name, group] : state.groups)
    leads = leads || group.raft.role == raft_role::leader;
  // A process that does not lead stays for a moment, so that its replicas can
  // still answer a new leader.
  bool early =
      now < state.drain_until_ms - HANDOVER_TIMEOUT_MS + HANDOVER_LINGER_MS;
  bool complete = has_left && !leads && !early;
  if (!complete && now < state.drain_until_ms)
    return;
  add_log_event(out, "drain_ended", state.host,
                fmt::format("complete={} leads={} has_left={}", complete, leads,
                            has_left));
  state.drained = true;
  out.effects.push_back(replica_drained{});
}

void on_event(replica_state& state, const replica_tick& event, outbox& out) {
  bool has_left = true;
  for (auto& [name, group] : state.groups) {
    raft_output result;
    raft_tick(group.raft, event.now, result);
    bool can_hand_over = state.draining &&
                         group.raft.role == raft_role::leader &&
                         group.raft.handover_target == 0;
    if (can_hand_over)
      raft_hand_over(group.raft, event.now, result);
    if (state.draining)
      has_left = raft_leave(group.raft, event.now, result) && has_left;
    process_raft_output(state, group, std::move(result), out);
  }
  send_hellos(state, event.now, out);
  std::erase_if(state.config_readers, [&event](const auto& reader) {
    return event.now >= reader.second.expires_ms;
  });
  if (state.control)
    tick_control(state, event.now, out);
  check_drained(state, has_left, event.now, out);
}

void on_event(replica_state& state,
              const replica_received& event,
              outbox& out) {
  const wire::envelope& envelope = event.envelope;
  switch (envelope.body_case()) {
    case wire::envelope::kRaft:
      receive_raft(state, event.now, envelope, out);
      break;
    case wire::envelope::kReplicaHello:
      receive_hello(state, envelope);
      break;
    case wire::envelope::kClaimRequest:
      receive_claim(state, event.now, envelope, out);
      break;
    case wire::envelope::kRollOutRequest:
      receive_roll_out(state, event.now, envelope, out);
      break;
    case wire::envelope::kEntryHello:
      receive_entry_hello(state, event.now, envelope, out);
      break;
    case wire::envelope::kControlHello:
      receive_control_hello(state, envelope);
      break;
    case wire::envelope::kConfigRead:
      receive_config_read(state, event.now, envelope, out);
      break;
    default:
      break;
  }
}

void on_event(replica_state& state, const replica_flush& event, outbox& out) {
  for (auto& [name, group] : state.groups) {
    raft_output result;
    raft_flush(group.raft, event.now, result);
    process_raft_output(state, group, std::move(result), out);
  }
}

void on_event(replica_state& state, const replica_synced& event, outbox& out) {
  state.last_sync_us = event.sync_us;
  for (auto& [name, group] : state.groups) {
    if (!group.raft.unsynced_writes)
      continue;
    raft_output result;
    raft_synced(group.raft, event.now, result);
    process_raft_output(state, group, std::move(result), out);
  }
}

void on_event(replica_state& state, const replica_drain& event, outbox& out) {
  if (state.draining)
    return;
  state.draining = true;
  state.drain_until_ms = event.now + HANDOVER_TIMEOUT_MS;
  for (const auto& [name, group] : state.groups) {
    add_log_event(
        out, "drain_started", name,
        fmt::format("leads={} leader={}", group.raft.role == raft_role::leader,
                    raft_leader_host(group.raft)));
  }
  on_event(state, replica_tick{event.now}, out);
}

void on_event(replica_state& state,
              const replica_config_submitted& event,
              outbox& out) {
  handle_config_submission(state, event, out);
}

void on_event(replica_state& state,
              const replica_config_requested& event,
              outbox& out) {
  handle_config_request(state, event, out);
}

void on_event(replica_state& state,
              const replica_evacuation_ordered& event,
              outbox& out) {
  handle_evacuation_order(state, event, out);
}

void on_event(replica_state& state,
              const replica_upstream_announced& event,
              outbox& out) {
  if (state.control &&
      receive_announcement(state.control->directory, event.upstream, event.now))
    push_updates(state, control_group(state), out);
}

void on_event(replica_state& state,
              const replica_upstream_leaving& event,
              outbox& out) {
  if (state.control && mark_leaving(state.control->directory, event.id))
    push_updates(state, control_group(state), out);
}

void on_event(replica_state& state,
              const replica_seeds& event,
              outbox& /*out*/) {
  for (const std::string& seed : event.seeds)
    add_peer(state, seed);
}

}  // namespace

replica_state make_replica(const settings& all,
                           std::string_view host,
                           uint64_t identity,
                           uint64_t seed,
                           unix_ms now) {
  replica_state state;
  state.host = host;
  state.identity = identity;
  state.options = all.replica;
  wire::member self;
  self.set_host(state.host);
  self.set_identity(identity);
  std::set<std::string> peers;
  for (const auto& [name, replicas] : all_groups(all)) {
    bool is_replica =
        std::find(replicas.begin(), replicas.end(), host) != replicas.end();
    if (!is_replica)
      continue;
    wire::membership voters;
    for (const std::string& replica : replicas) {
      wire::member& voter = *voters.add_voters();
      voter.set_host(replica);
      voter.set_identity(find_replica(all, replica)->identity);
      if (replica != host)
        peers.insert(replica);
    }
    replica_group& group = state.groups[name];
    group.raft = make_raft_group(name, self, voters, all.raft,
                                 seed ^ stable_hash(name), now);
    if (name == CONFIG_GROUP)
      group.machine = config_log();
  }
  state.peers.assign(peers.begin(), peers.end());
  return state;
}

void replay_write(replica_state& state, const wire::wal_write& write) {
  auto found = state.groups.find(write.group());
  if (found != state.groups.end())
    raft_replay(found->second.raft, write);
}

replica_effects reduce(replica_state& state, const replica_event& event) {
  outbox out;
  std::visit([&](const auto& kind) { on_event(state, kind, out); }, event);
  replica_effects effects = finish(std::move(out));
  for (replica_effect& effect : effects) {
    if (auto* sent = std::get_if<replica_send>(&effect))
      sent->envelope.set_from(state.host);
  }
  return effects;
}

std::vector<wire::wal_write> dump_writes(const replica_state& state) {
  std::vector<wire::wal_write> writes;
  for (const auto& [name, group] : state.groups) {
    std::vector<wire::wal_write> dump = raft_dump(group.raft);
    std::move(dump.begin(), dump.end(), std::back_inserter(writes));
  }
  return writes;
}

}  // namespace cyclamenwood
