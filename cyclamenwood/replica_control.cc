// The control log's part of a replica: operators' requests, grants of
// ownership, and news for the entry hosts.
//
// A configuration is acknowledged when its entry is committed. One that is not
// newer than what this replica knows to be committed changes nothing and is
// acknowledged at once, by any replica. A read proposes
// an entry of its own and is answered when that is committed: then a majority
// has confirmed, after the read came, that this replica leads, so that one
// frozen or cut off can't show an older configuration.
//
// News go at once to every entry host heard of lately; each hello says what
// arrived, and what is missing is sent again. A configuration is large and
// every replica has it: the leader sends it, the others only to those that do
// not have it some time later, and none sends it again before it can have
// arrived.
#include <fmt/format.h>

#include <algorithm>

#include "cyclamenwood/pool_name.h"
#include "cyclamenwood/replica_internal.h"

namespace cyclamenwood {
namespace {

// Operators try another replica after a second without an answer.
constexpr int64_t OPERATOR_TIMEOUT_MS = 900;
// A tick this late says that the process was not running.
constexpr int64_t FROZEN_MS = 300;
// Upstreams announce themselves every second or two.
constexpr int64_t UPSTREAM_EXPIRY_MS = 15'000;
// Entry hosts say hello a few times a second.
constexpr int64_t ENTRY_HOST_EXPIRY_MS = 5'000;
constexpr int64_t PEERS_INTERVAL_MS = 1'000;
// Entry hosts and replicas start together and connect within a second or two;
// upstreams announce themselves within three seconds more.
constexpr int64_t FOUNDING_MS = 6'000;
// The leader's message and the hello that follows it take about 250 ms.
constexpr int64_t FOLLOWER_PATIENCE_MS = 400;
// A configuration on its way through a busy link is not sent again: twice the
// interval of hellos.
constexpr int64_t CONFIG_RESEND_MS = 400;
// Entry hosts need the list of the others only when no replica is in reach.
constexpr int64_t HOSTS_INTERVAL_MS = 1'000;

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

// Proposes a command for an operator, or answers who can.
void propose_for_operator(replica_state& state,
                          wire::command command,
                          uint64_t exchange,
                          unix_ms now,
                          bool wants_content,
                          outbox& out) {
  replica_group& group = control_group(state);
  raft_output result;
  std::optional<uint64_t> index;
  if (raft_leader_ready(group.raft))
    index = raft_propose(group.raft, std::move(command), result);
  if (index) {
    state.control->waiting[exchange] = {
        *index, group.raft.term, now + OPERATOR_TIMEOUT_MS, wants_content};
  } else {
    std::string leader = raft_leader_host(group.raft);
    bool elsewhere = !leader.empty() && leader != state.host;
    answer(out, exchange,
           elsewhere ? operator_outcome::redirected
                     : operator_outcome::unavailable,
           {}, elsewhere ? leader : std::string());
  }
  absorb(state, group, std::move(result), out);
}

void answer_waiting(replica_state& state,
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
  if (reader.sent_version >= version)
    return now >= reader.config_sent_ms + CONFIG_RESEND_MS;
  return group.raft.role == raft_role::leader ||
         now >= state.control->latest_since_ms + FOLLOWER_PATIENCE_MS;
}

// What the reader is not known to have.
wire::control_news make_news(const replica_state& state,
                             const replica_group& group,
                             known_entry_host& reader) {
  const wire::control_table& table = log_of(group).table;
  wire::control_news news;
  if (is_config_due(state, group, reader)) {
    *news.mutable_latest() = table.latest();
    reader.sent_version = table.latest().version();
    reader.config_sent_ms = state.control->last_tick_ms;
  }
  for (const wire::owner_grant& grant : table.grants()) {
    if (grant.token() > reader.have_token)
      *news.add_grants() = grant;
  }
  for (const std::string& replica : known_replicas(state))
    news.add_replicas(replica);
  add_changes(state.control->directory, reader.zone, reader.sent_change, news);
  reader.sent_change = state.control->directory.last_change;
  return news;
}

void send_news(const std::string& to, wire::control_news news, outbox& out) {
  wire::envelope envelope;
  *envelope.mutable_control_news() = std::move(news);
  send(out, to, std::move(envelope));
}

void tell_entry_hosts(const replica_state& state,
                      const std::string& to,
                      known_entry_host& reader,
                      unix_ms now,
                      outbox& out) {
  if (now < reader.hosts_sent_ms + HOSTS_INTERVAL_MS)
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
  control_part& control = *state.control;
  bool open = control.grants_index > group.applied_index;
  if (!raft_leader_ready(group.raft) || open)
    return;
  raft_output result;
  for (wire::owner_grant& grant : choose_owners(
           log_of(group), control.entry_hosts, control.receiving_since_ms, now,
           {.first_grant_delay_ms = FOUNDING_MS})) {
    note(out, "owner_proposed", pool_name(grant),
         fmt::format("host={} incarnation={:016x}", grant.host(),
                     grant.incarnation()));
    wire::command command;
    command.set_stamp_ms(now);
    *command.mutable_grant() = std::move(grant);
    std::optional<uint64_t> index =
        raft_propose(group.raft, std::move(command), result);
    control.grants_index = index.value_or(control.grants_index);
  }
  absorb(state, group, std::move(result), out);
}

void expire_operators(replica_state& state, unix_ms now, outbox& out) {
  bool leads = control_group(state).raft.role == raft_role::leader;
  std::erase_if(state.control->waiting, [&](const auto& item) {
    if (leads && now < item.second.answer_by_ms)
      return false;
    answer(out, item.first, operator_outcome::unavailable);
    return true;
  });
}

void tell_peers(replica_state& state, unix_ms now, outbox& out) {
  if (now < state.control->peers_at_ms)
    return;
  state.control->peers_at_ms = now + PEERS_INTERVAL_MS;
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

uint64_t founding_identity(std::string_view host) {
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
    voter.set_identity(founding_identity(seed_host));
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
    bool taken = apply_latest(log, command.latest());
    if (taken)
      state.control->latest_since_ms = state.control->last_tick_ms;
    note(out, taken ? "config_in_force" : "config_overtaken", group.raft.name,
         fmt::format("version={} newest={}", command.latest().version(),
                     log.table.latest().version()));
  } else if (command.has_grant()) {
    apply_grant(log, command.grant());
    note(out, "owner_granted", pool_name(command.grant()),
         fmt::format("host={} token={}", command.grant().host(),
                     log.table.last_token()));
  } else if (command.has_members()) {
    note(out, "membership_committed", group.raft.name,
         fmt::format("voters={}", command.members().voters_size()));
  }
  answer_waiting(state, group, entry, out);
}

void push_news(replica_state& state, const replica_group& group, outbox& out) {
  for (auto& [host, reader] : state.control->entry_hosts) {
    wire::control_news news = make_news(state, group, reader);
    bool tells = news.has_latest() || news.grants_size() > 0 ||
                 news.upstreams_size() > 0;
    if (tells)
      send_news(host, std::move(news), out);
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
    host = {};
    host.incarnation = envelope.incarnation();
    host.first_contact_ms = now;
    note(out, "entry_host_joined", envelope.from(),
         fmt::format("zone={} incarnation={:016x}", hello.zone(),
                     host.incarnation));
  }
  host.zone = hello.zone();
  host.draining = hello.draining();
  host.last_contact_ms = now;
  bool same_life = hello.directory() == state.control->directory.incarnation;
  host.have_version = hello.have_version();
  host.sent_change = same_life ? hello.have_change() : 0;
  host.have_token = hello.have_token();
  host.upstreams = hello.upstreams();
  send_news(envelope.from(), make_news(state, control_group(state), host), out);
  tell_entry_hosts(state, envelope.from(), host, now, out);
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

void offer_config(replica_state& state,
                  const replica_config_offered& event,
                  outbox& out) {
  const wire::control_table& table = log_of(control_group(state)).table;
  if (table.has_latest() &&
      table.latest().version() >= event.latest.version()) {
    note(out, "config_known", control_group(state).raft.name,
         fmt::format("version={} newest={}", event.latest.version(),
                     table.latest().version()));
    answer(out, event.exchange, operator_outcome::accepted);
    return;
  }
  wire::command command;
  command.set_stamp_ms(event.now);
  *command.mutable_latest() = event.latest;
  propose_for_operator(state, std::move(command), event.exchange, event.now,
                       false, out);
}

void want_config(replica_state& state,
                 const replica_config_wanted& event,
                 outbox& out) {
  wire::command command;
  command.set_stamp_ms(event.now);
  command.set_noop(true);
  propose_for_operator(state, std::move(command), event.exchange, event.now,
                       true, out);
}

void tick_control(replica_state& state, unix_ms now, outbox& out) {
  control_part& control = *state.control;
  replica_group& group = control_group(state);
  if (now - control.last_tick_ms > FROZEN_MS)
    control.receiving_since_ms = now;
  control.last_tick_ms = now;
  propose_grants(state, group, now, out);
  expire_operators(state, now, out);
  expire_upstreams(control.directory, now - UPSTREAM_EXPIRY_MS);
  std::erase_if(control.entry_hosts, [now](const auto& item) {
    return now - item.second.last_contact_ms > ENTRY_HOST_EXPIRY_MS;
  });
  tell_peers(state, now, out);
}

}  // namespace cyclamenwood
