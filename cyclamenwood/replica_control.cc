// The control log's part of a replica: requests of operators, grants of
// ownership, and updates for the entry hosts.
//
// A configuration is acknowledged when its entry is committed. Any replica
// acknowledges a configuration at once that is not newer than the committed one
// it has, since such a configuration changes nothing. A read proposes an entry
// of its own and is answered when that entry is committed: a majority has then
// confirmed, after the read arrived, that this replica leads. A replica that
// was suspended or is partitioned therefore cannot return an older
// configuration. An order to begin or finish an evacuation always proposes an
// entry, also when it was given before: the last one that is committed is in
// force, so a repeated order must come after all that were committed before it.
//
// Changes are sent at once to every entry host with a recent hello. Each hello
// reports what the entry host has, and anything missing is sent again. A
// configuration is large and every replica has it. The leader therefore sends
// it first, the other replicas send it only to entry hosts that still lack it
// some time later, and no replica sends it again before it can have arrived.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "cyclamenwood/pool_name.h"
#include "cyclamenwood/replica_internal.h"
#include "cyclamenwood/util/text.h"

namespace cyclamenwood {
namespace {

// Below the one second after which operators try another replica.
constexpr int64_t OPERATOR_TIMEOUT_MS = 900;
// A longer interval between ticks means that the process was suspended.
constexpr int64_t SUSPENSION_THRESHOLD_MS = 300;
// Upstreams announce themselves every one to two seconds.
constexpr int64_t UPSTREAM_EXPIRY_MS = 15'000;
// Entry hosts send a few hellos per second.
constexpr int64_t ENTRY_HOST_EXPIRY_MS = 5'000;
constexpr int64_t CONTROL_HELLO_INTERVAL_MS = 1'000;
// Entry hosts and replicas start together and connect within one to two
// seconds; upstreams announce themselves within another three seconds.
constexpr int64_t BOOTSTRAP_MS = 6'000;
// The leader's update and the entry host's next hello take about 250 ms.
constexpr int64_t FOLLOWER_SEND_DELAY_MS = 400;
// Twice the interval of hellos, so that a configuration that is still being
// transferred over a busy link is not sent again.
constexpr int64_t CONFIG_RESEND_MS = 400;
// Entry hosts need the list of the other entry hosts only when they cannot
// reach a replica.
constexpr int64_t HOST_LIST_INTERVAL_MS = 1'000;
constexpr size_t MAX_LOGGED_ZONE_BYTES = 64;

void answer(outbox& out,
            uint64_t exchange,
            operator_outcome outcome,
            std::string content = {},
            std::string leader_host = {}) {
  out.effects.push_back(replica_operator_answer{
      exchange, outcome, std::move(content), std::move(leader_host)});
}

const control_log& log_of(const replica_group& group) {
  return std::get<control_log>(group.machine);
}

// Proposes a command for an operator's request. Without leadership, redirects
// the operator to the leader if that is known.
void propose_operator_request(replica_state& state,
                              wire::command command,
                              uint64_t exchange,
                              unix_ms now,
                              bool wants_content,
                              outbox& out) {
  replica_group& group = control_group(state);
  raft_output result;
  std::optional<uint64_t> index;
  if (raft_leader_ready(group.raft) && raft_has_room(group.raft))
    index = raft_propose(group.raft, std::move(command), result);
  if (index) {
    state.control->waiting[exchange] = {
        *index, group.raft.term, now + OPERATOR_TIMEOUT_MS, wants_content};
  } else {
    std::string leader = raft_leader_host(group.raft);
    bool redirect = !leader.empty() && leader != state.host;
    answer(
        out, exchange,
        redirect ? operator_outcome::redirected : operator_outcome::unavailable,
        {}, redirect ? leader : std::string());
  }
  process_raft_output(state, group, std::move(result), out);
}

// Returns the entry of this leader that will settle a submission of the version
// as soon as it is committed: the first one with this version or a higher one.
// Operators send a configuration again until it is acknowledged.
std::optional<uint64_t> find_pending_config(const replica_group& group,
                                            uint64_t version) {
  if (!raft_leader_ready(group.raft))
    return std::nullopt;
  std::optional<uint64_t> found;
  for (auto entry = group.raft.log.rbegin(); entry != group.raft.log.rend();
       ++entry) {
    if (entry->index() <= group.applied_index)
      break;
    if (entry->command().latest().version() >= version)
      found = entry->index();
  }
  return found;
}

// Returns the exchange of the operator that waits for this entry here, or 0.
uint64_t find_exchange(const replica_state& state,
                       const wire::log_entry& entry) {
  for (const auto& [exchange, waiting] : state.control->waiting) {
    if (waiting.index == entry.index() && waiting.term == entry.term())
      return exchange;
  }
  return 0;
}

void apply_evacuation_entry(const replica_state& state,
                            replica_group& group,
                            const wire::log_entry& entry,
                            outbox& out) {
  auto& log = std::get<control_log>(group.machine);
  const wire::evacuation& order = entry.command().evacuation();
  apply_evacuation(log, order);
  add_log_event(out, "evacuation_committed", group.raft.name,
                fmt::format("zone={} active={} revision={} exchange={}",
                            escape_for_log(order.zone(), MAX_LOGGED_ZONE_BYTES),
                            order.active(), log.table.evacuations().revision(),
                            find_exchange(state, entry)));
}

void answer_operators(replica_state& state,
                      const replica_group& group,
                      const wire::log_entry& entry,
                      outbox& out) {
  const wire::control_table& table = log_of(group).table;
  std::erase_if(state.control->waiting, [&](const auto& item) {
    const auto& [exchange, waiting] = item;
    if (waiting.index != entry.index())
      return false;
    if (waiting.term != entry.term())
      answer(out, exchange, operator_outcome::unavailable);
    else if (!waiting.wants_content)
      answer(out, exchange, operator_outcome::accepted);
    else if (table.has_latest())
      answer(out, exchange, operator_outcome::content,
             table.latest().content());
    else
      answer(out, exchange, operator_outcome::none);
    return true;
  });
}

std::vector<std::string> known_replicas(const replica_state& state) {
  std::vector<std::string> all = state.peers;
  all.push_back(state.host);
  return all;
}

bool is_config_due(const replica_state& state,
                   const replica_group& group,
                   const known_entry_host& reader) {
  uint64_t version = log_of(group).table.latest().version();
  unix_ms now = state.control->last_tick_ms;
  if (reader.have_version >= version)
    return false;
  // At most one configuration is on its way to a reader, so that those for a
  // reader that can't be reached do not add up.
  if (reader.sent_version > reader.have_version)
    return now >= reader.config_sent_ms + CONFIG_RESEND_MS;
  return group.raft.role == raft_role::leader ||
         now >= state.control->latest_applied_ms + FOLLOWER_SEND_DELAY_MS;
}

// Returns the changes that the reader is not known to have, and records them as
// sent.
wire::control_news make_update(const replica_state& state,
                               const replica_group& group,
                               known_entry_host& reader) {
  const wire::control_table& table = log_of(group).table;
  wire::control_news update;
  if (is_config_due(state, group, reader)) {
    *update.mutable_latest() = table.latest();
    reader.sent_version = table.latest().version();
    reader.config_sent_ms = state.control->last_tick_ms;
  }
  for (const wire::owner_grant& grant : table.grants()) {
    if (grant.token() > reader.have_token)
      *update.add_grants() = grant;
  }
  // In the same message as the grants, so that no entry host becomes the owner
  // of an evacuated zone before it has the list.
  if (table.evacuations().revision() > reader.have_evacuations)
    *update.mutable_evacuations() = table.evacuations();
  for (const std::string& replica : known_replicas(state))
    update.add_replicas(replica);
  add_changes(state.control->directory, reader.zone, reader.sent_change,
              update);
  reader.sent_change = state.control->directory.last_change;
  return update;
}

void send_update(const std::string& to,
                 wire::control_news update,
                 outbox& out) {
  wire::envelope envelope;
  *envelope.mutable_control_news() = std::move(update);
  send(out, to, std::move(envelope));
}

void send_entry_host_list(const replica_state& state,
                          const std::string& to,
                          known_entry_host& reader,
                          unix_ms now,
                          outbox& out) {
  if (now < reader.hosts_sent_ms + HOST_LIST_INTERVAL_MS)
    return;
  reader.hosts_sent_ms = now;
  wire::envelope envelope;
  wire::peer_list& list = *envelope.mutable_peer_list();
  for (const auto& [host, known] : state.control->entry_hosts)
    list.add_entry_hosts(host);
  send(out, to, std::move(envelope));
}

void propose_grants(replica_state& state,
                    replica_group& group,
                    unix_ms now,
                    outbox& out) {
  control_state& control = *state.control;
  bool open = control.proposed_grant_index > group.applied_index;
  if (!raft_leader_ready(group.raft) || open)
    return;
  raft_output result;
  for (wire::owner_grant& grant : choose_owners(
           log_of(group), control.entry_hosts, control.receiving_since_ms, now,
           {.first_grant_delay_ms = BOOTSTRAP_MS})) {
    add_log_event(out, "owner_proposed", pool_name(grant),
                  fmt::format("host={} incarnation={:016x}", grant.host(),
                              grant.incarnation()));
    wire::command command;
    command.set_stamp_ms(now);
    *command.mutable_grant() = std::move(grant);
    std::optional<uint64_t> index =
        raft_propose(group.raft, std::move(command), result);
    control.proposed_grant_index = index.value_or(control.proposed_grant_index);
  }
  process_raft_output(state, group, std::move(result), out);
}

void expire_operator_requests(replica_state& state, unix_ms now, outbox& out) {
  bool leads = control_group(state).raft.role == raft_role::leader;
  std::erase_if(state.control->waiting, [&](const auto& item) {
    if (leads && now < item.second.answer_by_ms)
      return false;
    answer(out, item.first, operator_outcome::unavailable);
    return true;
  });
}

void send_control_hellos(replica_state& state, unix_ms now, outbox& out) {
  if (now < state.control->control_hello_at_ms)
    return;
  state.control->control_hello_at_ms = now + CONTROL_HELLO_INTERVAL_MS;
  for (const std::string& peer : state.peers) {
    wire::envelope envelope;
    for (const std::string& replica : known_replicas(state))
      envelope.mutable_control_hello()->add_replicas(replica);
    envelope.mutable_control_hello()->set_zone(state.zone);
    send(out, peer, std::move(envelope));
  }
}

}  // namespace

std::string_view to_string(operator_outcome outcome) {
  switch (outcome) {
    case operator_outcome::accepted:
      return "accepted";
    case operator_outcome::content:
      return "content";
    case operator_outcome::none:
      return "none";
    case operator_outcome::redirected:
      return "redirected";
    case operator_outcome::unavailable:
      return "unavailable";
  }
  return "unavailable";
}

void add_peer(replica_state& state, const std::string& host) {
  bool known = host == state.host ||
               std::find(state.peers.begin(), state.peers.end(), host) !=
                   state.peers.end();
  if (!known)
    state.peers.push_back(host);
}

uint64_t bootstrap_identity(std::string_view host) {
  // Data folders hold such identities, so this text must not change. No
  // identity is 0.
  return stable_hash(fmt::format("founding/{}", host)) | 1;
}

replica_state make_control_replica(const host_settings& host,
                                   const replica_options& options,
                                   const raft_options& raft,
                                   uint64_t identity,
                                   uint64_t seed,
                                   unix_ms now) {
  replica_state state;
  state.host = host.rpc;
  state.identity = identity;
  state.zone = host.zone;
  state.options = options;
  state.control.emplace();
  state.control->directory.incarnation = seed;
  state.control->receiving_since_ms = now;
  state.control->last_tick_ms = now;
  wire::member self;
  self.set_host(state.host);
  self.set_identity(identity);
  wire::membership voters;
  for (const std::string& seed_host : host.seeds) {
    wire::member& voter = *voters.add_voters();
    voter.set_host(seed_host);
    voter.set_identity(bootstrap_identity(seed_host));
    add_peer(state, seed_host);
  }
  replica_group& group = state.groups[std::string(CONTROL_GROUP)];
  group.raft = make_raft_group(CONTROL_GROUP, self, voters, raft, seed, now);
  group.machine = control_log();
  group.raft.zones[state.host] = state.zone;
  return state;
}

replica_group& control_group(replica_state& state) {
  return state.groups.find(CONTROL_GROUP)->second;
}

void apply_control_entry(replica_state& state,
                         replica_group& group,
                         const wire::log_entry& entry,
                         outbox& out) {
  auto& log = std::get<control_log>(group.machine);
  const wire::command& command = entry.command();
  if (command.has_latest()) {
    bool applied = apply_config(log, command.latest());
    if (applied)
      state.control->latest_applied_ms = state.control->last_tick_ms;
    add_log_event(
        out, applied ? "config_in_force" : "config_overtaken", group.raft.name,
        fmt::format("version={} newest={}", command.latest().version(),
                    log.table.latest().version()));
  } else if (command.has_grant()) {
    apply_grant(log, command.grant());
    add_log_event(out, "owner_granted", pool_name(command.grant()),
                  fmt::format("host={} token={}", command.grant().host(),
                              log.table.last_token()));
  } else if (command.has_evacuation()) {
    apply_evacuation_entry(state, group, entry, out);
  } else if (command.has_members()) {
    log_committed_members(group, command.members(), out);
  }
  answer_operators(state, group, entry, out);
}

void push_updates(replica_state& state,
                  const replica_group& group,
                  outbox& out) {
  for (auto& [host, reader] : state.control->entry_hosts) {
    wire::control_news update = make_update(state, group, reader);
    bool has_changes = update.has_latest() || update.grants_size() > 0 ||
                       update.upstreams_size() > 0 || update.has_evacuations();
    if (has_changes)
      send_update(host, std::move(update), out);
  }
}

void receive_entry_hello(replica_state& state,
                         unix_ms now,
                         const wire::envelope& envelope,
                         outbox& out) {
  if (!state.control)
    return;
  const wire::entry_hello& hello = envelope.entry_hello();
  auto [found, added] = state.control->entry_hosts.try_emplace(envelope.from());
  known_entry_host& host = found->second;
  if (added || host.incarnation != envelope.incarnation()) {
    known_entry_host former = std::exchange(host, {});
    host.incarnation = envelope.incarnation();
    host.last_contact_ms = former.last_contact_ms;
    host.in_contact_since_ms = former.in_contact_since_ms;
    host.first_contact_ms = now;
    add_log_event(out, "entry_host_joined", envelope.from(),
                  fmt::format("zone={} incarnation={:016x}", hello.zone(),
                              host.incarnation));
  }
  host.zone = hello.zone();
  host.draining = hello.draining();
  record_contact(host, now);
  bool same_incarnation =
      hello.directory() == state.control->directory.incarnation;
  host.have_version = hello.have_version();
  host.sent_change = same_incarnation ? hello.have_change() : 0;
  host.have_token = hello.have_token();
  host.upstreams = hello.upstreams();
  host.processor_milli = hello.processor_milli();
  host.have_evacuations = hello.have_evacuations();
  send_update(envelope.from(), make_update(state, control_group(state), host),
              out);
  send_entry_host_list(state, envelope.from(), host, now, out);
}

void receive_control_hello(replica_state& state,
                           const wire::envelope& envelope) {
  if (!state.control)
    return;
  add_peer(state, envelope.from());
  control_group(state).raft.zones[envelope.from()] =
      envelope.control_hello().zone();
  for (const std::string& replica : envelope.control_hello().replicas())
    add_peer(state, replica);
}

void handle_config_submission(replica_state& state,
                              const replica_config_submitted& event,
                              outbox& out) {
  const wire::control_table& table = log_of(control_group(state)).table;
  if (table.has_latest() &&
      table.latest().version() >= event.latest.version()) {
    add_log_event(out, "config_known", control_group(state).raft.name,
                  fmt::format("version={} newest={}", event.latest.version(),
                              table.latest().version()));
    answer(out, event.exchange, operator_outcome::accepted);
    return;
  }
  if (std::optional<uint64_t> pending =
          find_pending_config(control_group(state), event.latest.version())) {
    state.control->waiting[event.exchange] = {
        *pending, control_group(state).raft.term,
        event.now + OPERATOR_TIMEOUT_MS, false};
    return;
  }
  wire::command command;
  command.set_stamp_ms(event.now);
  *command.mutable_latest() = event.latest;
  propose_operator_request(state, std::move(command), event.exchange, event.now,
                           false, out);
}

void handle_config_request(replica_state& state,
                           const replica_config_requested& event,
                           outbox& out) {
  wire::command command;
  command.set_stamp_ms(event.now);
  command.set_noop(true);
  propose_operator_request(state, std::move(command), event.exchange, event.now,
                           true, out);
}

void handle_evacuation_order(replica_state& state,
                             const replica_evacuation_ordered& event,
                             outbox& out) {
  wire::command command;
  command.set_stamp_ms(event.now);
  *command.mutable_evacuation() = event.order;
  propose_operator_request(state, std::move(command), event.exchange, event.now,
                           false, out);
}

void tick_control(replica_state& state, unix_ms now, outbox& out) {
  control_state& control = *state.control;
  replica_group& group = control_group(state);
  if (now - control.last_tick_ms > SUSPENSION_THRESHOLD_MS)
    control.receiving_since_ms = now;
  control.last_tick_ms = now;
  propose_grants(state, group, now, out);
  expire_operator_requests(state, now, out);
  expire_upstreams(control.directory, now - UPSTREAM_EXPIRY_MS);
  std::erase_if(control.entry_hosts, [now](const auto& item) {
    return now - item.second.last_contact_ms > ENTRY_HOST_EXPIRY_MS;
  });
  send_control_hellos(state, now, out);
}

}  // namespace cyclamenwood
