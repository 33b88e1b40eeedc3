// Messages from this host to itself are delivered within the same reduction;
// all others become effects.
#include "cyclamenwood/host_entry.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "cyclamenwood/neighbours.h"
#include "cyclamenwood/pool_name.h"

namespace cyclamenwood {
namespace {

// Interval of hellos to replicas, which carry liveness and the position up to
// which changes were received. It is a third of the time without messages after
// which a peer is considered lost.
constexpr int64_t HELLO_INTERVAL_MS = 200;
// Owners are asked for their free capacity more often: the choice of a pool is
// only as good as this information is recent.
constexpr int64_t POOL_HELLO_INTERVAL_MS = 100;

// Entry hosts exchange the configuration and the grants in force, for times
// when no replica is reachable.
constexpr int64_t PEER_HELLO_INTERVAL_MS = 1'000;
// Number of entry hosts that receive each hello: the next ones by name. A
// restarted host is reached unless as many hosts before it are down.
constexpr size_t PEER_FANOUT = 3;

// An end of an evacuation that arrives later than this after the last news of a
// replica may be old: five hellos were not answered.
constexpr int64_t CONTACT_MS = 1'000;

// A process without any event for longer than this was suspended: ticks are
// more frequent by far.
constexpr int64_t SUSPENSION_MS = 100;
// Between two ticks all events that wait are read, in any order.
constexpr int CATCH_UP_TICKS = 2;

struct host_outbox {
  host_effects effects;
  // Results of own pools, by the name of the pool, with their receivers. They
  // are sent after the placement that follows, with the capacity that it
  // leaves.
  std::vector<std::tuple<std::string, std::string, wire::run_results>> results;
  std::vector<wire::envelope> to_self;
};

void send(host_entry& state,
          const std::string& host,
          wire::envelope envelope,
          host_outbox& out) {
  envelope.set_from(state.settings.rpc);
  envelope.set_incarnation(state.incarnation);
  if (host == state.settings.rpc)
    out.to_self.push_back(std::move(envelope));
  else
    out.effects.push_back(host_send{host, std::move(envelope)});
}

void apply_output(host_entry& state, intake_output done, host_outbox& out) {
  for (caller_answer& answer : done.answers)
    out.effects.push_back(answer);
  for (auto& [host, envelope] : done.messages)
    send(state, host, std::move(envelope), out);
  for (log_event& note : done.notes)
    out.effects.push_back(std::move(note));
}

void apply_output(host_entry& state,
                  pool& source,
                  pool_output done,
                  unix_ms now,
                  host_outbox& out) {
  for (const wire::run_loss& loss : done.losses)
    record_loss(state.callers.losses, loss, now);
  for (run_order& order : done.orders)
    out.effects.push_back(std::move(order));
  for (auto& [host, results] : done.results)
    out.results.emplace_back(source.name, host, std::move(results));
  for (log_event& note : done.events)
    out.effects.push_back(std::move(note));
  if (done.ownership_lost)
    release_ownership(source);
}

void send_results(host_entry& state, unix_ms now, host_outbox& out) {
  std::map<std::string, wire::pool_state> described;
  for (auto& [name, host, results] : std::exchange(out.results, {})) {
    auto [found, added] = described.try_emplace(name);
    if (added)
      found->second = describe_pool(state.pools.at(name), now);
    wire::envelope envelope;
    results.set_pool(name);
    *results.mutable_services() = found->second.services();
    *envelope.mutable_run_results() = std::move(results);
    send(state, host, std::move(envelope), out);
  }
}

// Returns the pool of this name if this process owns it, or null.
pool* find_owned(host_entry& state, const std::string& name) {
  auto found = state.pools.find(name);
  bool owned = found != state.pools.end() && found->second.token != 0;
  return owned ? &found->second : nullptr;
}

void note(host_outbox& out, std::string event, std::string details) {
  out.effects.push_back(log_event{std::move(event), std::move(details)});
}

// Returns the pools that this process exchanges hellos with: those that its
// jobs may go to next, and those that have some of its jobs.
std::set<std::string> choose_hello_targets(const host_entry& state) {
  std::set<std::string> targets =
      choose_neighbours(state.callers.grants, state.settings.zone,
                        state.settings.rpc, state.callers.evacuations.zones);
  for (const auto& [submission, job] : state.callers.jobs) {
    for (const auto& [name, token] : job.pools)
      targets.insert(name);
  }
  return targets;
}

void send_pool_hellos(host_entry& state, unix_ms now, host_outbox& out) {
  if (now < state.next_pool_hello_ms)
    return;
  state.next_pool_hello_ms = now + POOL_HELLO_INTERVAL_MS;
  for (const std::string& name : choose_hello_targets(state)) {
    auto grant = state.callers.grants.find(name);
    if (grant == state.callers.grants.end())
      continue;
    wire::envelope envelope;
    *envelope.mutable_pool_hello() = make_pool_hello(state.callers, name);
    send(state, grant->second.host(), std::move(envelope), out);
  }
}

// ---- State from replicas and entry hosts -----------------------------------

void apply_config(host_entry& state,
                  const wire::roll_out& latest,
                  host_outbox& out) {
  uint64_t version = state.callers.routes ? state.callers.routes->version : 0;
  if (latest.version() <= version)
    return;
  result<route_table> table = state.read_routes(latest.content());
  if (!ok(table)) {
    note(out, "config_unreadable",
         fmt::format("version={} reason={}", latest.version(),
                     failure(table).detail));
    return;
  }
  state.callers.routes = std::move(value(table));
  state.latest = latest;
  note(out, "config_in_force",
       fmt::format("version={} routes={}", latest.version(),
                   state.callers.routes->routes.size()));
}

// Applies the list to the pools. Those that are not owned here follow it too,
// since they may be granted to this process later.
void update_evacuated_pools(host_entry& state, unix_ms now) {
  bool evacuated = is_evacuated(state.callers.evacuations, state.settings.zone);
  for (auto& [name, pool] : state.pools) {
    if (evacuated && !pool.evacuated)
      evacuate_pool(pool, now);
    else if (!evacuated && pool.evacuated)
      restore_pool(pool, now);
  }
}

void apply_evacuations(host_entry& state,
                       const wire::evacuation_list& list,
                       unix_ms now,
                       host_outbox& out) {
  zone_evacuations& known = state.callers.evacuations;
  bool was_evacuated = is_evacuated(known, state.settings.zone);
  if (!merge_evacuations(known, list, now))
    return;
  note(out, "evacuation_in_force",
       fmt::format("zones={} revision={}", describe_zones(known),
                   known.revision));
  bool in_contact = now - state.last_control_news_ms <= CONTACT_MS;
  if (is_evacuated(known, state.settings.zone))
    state.restored_ms = 0;
  else if (was_evacuated)
    state.restored_ms = in_contact ? now : 0;
  update_evacuated_pools(state, now);
  // The neighbours may be others.
  state.next_pool_hello_ms = now;
  intake_output taken;
  receive_evacuations(state.callers, now, taken);
  apply_output(state, std::move(taken), out);
}

bool is_granted_here(const host_entry& state, const wire::owner_grant& grant) {
  return grant.host() == state.settings.rpc &&
         grant.incarnation() == state.incarnation;
}

void acquire_pool(host_entry& state,
                  const wire::owner_grant& grant,
                  unix_ms now,
                  host_outbox& out) {
  pool& pool = state.pools[pool_name(grant)];
  pool.name = pool_name(grant);
  pool.evacuated = is_evacuated(state.callers.evacuations, state.settings.zone);
  pool.options.lease_ms = state.settings.run_lease_ms;
  pool.options.resubmission_ms = state.settings.resubmission_ms;
  pool.options.learn_speeds = state.settings.learn_speeds;
  pool.options.reserve_for_waiting = state.settings.reserve_for_waiting;
  pool_output done;
  for (const auto& [id, upstream] : state.upstreams) {
    if (shard_of(id, shards_of(grant)) == grant.shard())
      update_upstream(pool, upstream, now, done);
  }
  acquire_ownership(pool, grant.token(), now, done);
  bool is_restoring = !pool.evacuated && state.restored_ms != 0 &&
                      now < state.restored_ms + RESTORE_MS;
  if (is_restoring)
    restore_pool(pool, state.restored_ms);
  apply_output(state, pool, std::move(done), now, out);
}

void update_ownership(host_entry& state, unix_ms now, host_outbox& out) {
  for (const auto& [name, grant] : state.callers.grants) {
    if (grant.zone() != state.settings.zone)
      continue;
    auto known = state.pools.find(name);
    bool is_new = known == state.pools.end() ||
                  grant.token() > known->second.highest_token;
    if (is_new && is_granted_here(state, grant)) {
      acquire_pool(state, grant, now, out);
    } else if (is_new && find_owned(state, name) != nullptr) {
      note(out, "ownership_given_up",
           fmt::format("pool={} token={} owner={} by=grant", name,
                       grant.token(), grant.host()));
      release_ownership(known->second);
    }
  }
}

// Handles the grants in force, as reported by a replica or another entry host.
void receive_grants(host_entry& state,
                    const grant_list& grants,
                    unix_ms now,
                    host_outbox& out) {
  bool owner_changed = merge_grants(state.callers, grants);
  update_ownership(state, now, out);
  if (!owner_changed)
    return;
  state.next_pool_hello_ms = now;
  send_pool_hellos(state, now, out);
}

void send_peer_hello(host_entry& state,
                     const std::string& host,
                     host_outbox& out) {
  wire::envelope envelope;
  envelope.mutable_peer_hello()->set_have_version(state.latest.version());
  envelope.mutable_peer_hello()->set_have_evacuations(
      state.callers.evacuations.revision);
  send(state, host, std::move(envelope), out);
}

// Sends hellos to the next few of the other entry hosts.
void send_peer_hellos(host_entry& state, unix_ms now, host_outbox& out) {
  if (now < state.next_peer_hello_ms || state.entry_hosts.empty())
    return;
  state.next_peer_hello_ms = now + PEER_HELLO_INTERVAL_MS;
  auto next = state.entry_hosts.upper_bound(state.settings.rpc);
  size_t targets = std::min(PEER_FANOUT, state.entry_hosts.size() - 1);
  while (targets > 0) {
    if (next == state.entry_hosts.end())
      next = state.entry_hosts.begin();
    if (*next != state.settings.rpc) {
      send_peer_hello(state, *next, out);
      --targets;
    }
    ++next;
  }
}

// Sends the configuration, the evacuations and the grants to a host with an
// older configuration or list of evacuations, and requests them from one with
// newer ones.
void answer_peer_hello(host_entry& state,
                       const wire::envelope& envelope,
                       host_outbox& out) {
  const wire::peer_hello& theirs = envelope.peer_hello();
  uint64_t version = state.latest.version();
  uint64_t revision = state.callers.evacuations.revision;
  if (theirs.have_version() < version || theirs.have_evacuations() < revision) {
    wire::envelope news;
    *news.mutable_peer_news()->mutable_latest() = state.latest;
    *news.mutable_peer_news()->mutable_evacuations() =
        to_wire(state.callers.evacuations);
    for (const auto& [zone, grant] : state.callers.grants)
      *news.mutable_peer_news()->add_grants() = grant;
    send(state, envelope.from(), std::move(news), out);
  }
  if (theirs.have_version() > version || theirs.have_evacuations() > revision)
    send_peer_hello(state, envelope.from(), out);
}

void receive_peer_news(host_entry& state,
                       const wire::peer_news& message,
                       unix_ms now,
                       host_outbox& out) {
  apply_config(state, message.latest(), out);
  apply_evacuations(state, message.evacuations(), now, out);
  receive_grants(state, message.grants(), now, out);
}

void receive_peer_list(host_entry& state, const wire::peer_list& list) {
  state.entry_hosts = {list.entry_hosts().begin(), list.entry_hosts().end()};
  state.entry_hosts.insert(state.settings.rpc);
}

// Replicas hear different announcements of an upstream. The latest one counts,
// but leaving is final within an incarnation.
void receive_upstream(host_entry& state,
                      const wire::upstream& reported,
                      unix_ms now,
                      host_outbox& out) {
  wire::upstream& known = state.upstreams[reported.id()];
  bool has_left = known.incarnation() == reported.incarnation() &&
                  (known.state() == wire::UPSTREAM_LEAVING ||
                   reported.state() == wire::UPSTREAM_LEAVING);
  bool is_older = std::pair(reported.incarnation(), reported.sequence()) <
                  std::pair(known.incarnation(), known.sequence());
  if (!is_older)
    known = reported;
  if (has_left)
    known.set_state(wire::UPSTREAM_LEAVING);
  for (auto& [name, pool] : state.pools) {
    const wire::owner_grant& grant = state.callers.grants.at(name);
    bool belongs = shard_of(reported.id(), shards_of(grant)) == grant.shard();
    if (!belongs)
      continue;
    // The pool may have forgotten that the upstream has left; `known` has not.
    pool_output learned;
    update_upstream(pool, known, now, learned);
    apply_output(state, pool, std::move(learned), now, out);
  }
}

void receive_control_news(host_entry& state,
                          unix_ms now,
                          const wire::envelope& envelope,
                          host_outbox& out) {
  const wire::control_news& news = envelope.control_news();
  for (const std::string& replica : news.replicas()) {
    // It may be the leader, which must receive a hello from this process before
    // it can grant it a pool.
    if (state.replicas.try_emplace(replica).second)
      state.next_replica_hello_ms = now;
  }
  directory_position& from = state.replicas[envelope.from()];
  from.directory = news.directory();
  from.have_change = news.change();
  if (news.has_latest())
    apply_config(state, news.latest(), out);
  // Before the grants: a new owner must not start a task in an evacuated zone.
  apply_evacuations(state, news.evacuations(), now, out);
  state.last_control_news_ms = now;
  for (const wire::upstream& upstream : news.upstreams())
    receive_upstream(state, upstream, now, out);
  receive_grants(state, news.grants(), now, out);
}

// ---- Messages ---------------------------------------------------------------

void answer_pool_hello(host_entry& state,
                       unix_ms now,
                       const wire::envelope& envelope,
                       host_outbox& out) {
  pool* requested = find_owned(state, envelope.pool_hello().pool());
  if (requested == nullptr)
    return;
  pool_output done;
  update_peer(*requested, envelope.from(), envelope.incarnation(),
              envelope.pool_hello().echo_ms(), now, done);
  apply_output(state, *requested, std::move(done), now, out);
  wire::envelope reply;
  wire::pool_state& described = *reply.mutable_pool_state();
  described =
      answer_hello(*requested, envelope.from(), envelope.pool_hello(), now);
  add_losses_after(state.callers.losses, envelope.pool_hello().have_losses(),
                   now, described);
  send(state, envelope.from(), std::move(reply), out);
}

void receive_run_request(host_entry& state,
                         unix_ms now,
                         const wire::envelope& envelope,
                         host_outbox& out) {
  wire::run_request request = envelope.run_request();
  pool* requested = find_owned(state, request.pool());
  if (requested == nullptr)
    return;
  // This host may know of losses that the sender has not heard of yet.
  add_losses(state.callers.losses, now, request);
  pool_output done;
  if (update_peer(*requested, envelope.from(), envelope.incarnation(),
                  request.echo_ms(), now, done))
    request_runs(*requested, envelope.from(), request, now, done);
  apply_output(state, *requested, std::move(done), now, out);
}

void receive_run_release(host_entry& state,
                         unix_ms now,
                         const wire::envelope& envelope,
                         host_outbox& out) {
  const wire::run_release& release = envelope.run_release();
  wire::envelope reply;
  wire::run_released& released = *reply.mutable_run_released();
  released.set_submission(release.submission());
  released.set_pool(release.pool());
  for (auto& [name, pool] : state.pools) {
    bool meant = release.pool().empty() || release.pool() == name;
    if (pool.token == 0 || !meant)
      continue;
    pool_output done;
    released.set_unstarted(
        release_runs(pool, release.submission(), release.echo_ms(), now, done));
    released.set_token(pool.token);
    apply_output(state, pool, std::move(done), now, out);
  }
  if (release.confirm())
    send(state, envelope.from(), std::move(reply), out);
}

void receive(host_entry& state,
             unix_ms now,
             const wire::envelope& envelope,
             host_outbox& out) {
  intake_output taken;
  switch (envelope.body_case()) {
    case wire::envelope::kControlNews:
      receive_control_news(state, now, envelope, out);
      break;
    case wire::envelope::kRunRequest:
      receive_run_request(state, now, envelope, out);
      break;
    case wire::envelope::kRunRelease:
      receive_run_release(state, now, envelope, out);
      break;
    case wire::envelope::kRunReleased:
      receive_run_released(state.callers, envelope.run_released(), now, taken);
      break;
    case wire::envelope::kRunResults:
      receive_run_results(state.callers, envelope.from(),
                          envelope.run_results(), now, taken);
      break;
    case wire::envelope::kPoolHello:
      answer_pool_hello(state, now, envelope, out);
      break;
    case wire::envelope::kPoolState:
      receive_pool_state(state.callers, envelope.pool_state(), now, taken);
      break;
    case wire::envelope::kPeerHello:
      answer_peer_hello(state, envelope, out);
      break;
    case wire::envelope::kPeerNews:
      receive_peer_news(state, envelope.peer_news(), now, out);
      break;
    case wire::envelope::kPeerList:
      receive_peer_list(state, envelope.peer_list());
      break;
    default:
      break;
  }
  apply_output(state, std::move(taken), out);
}

void send_replica_hellos(host_entry& state, unix_ms now, host_outbox& out) {
  if (now < state.next_replica_hello_ms)
    return;
  state.next_replica_hello_ms = now + HELLO_INTERVAL_MS;
  for (const auto& [host, replica] : state.replicas) {
    wire::envelope envelope;
    wire::entry_hello& hello = *envelope.mutable_entry_hello();
    hello.set_zone(state.settings.zone);
    hello.set_draining(state.draining);
    hello.set_have_version(state.callers.routes ? state.callers.routes->version
                                                : 0);
    hello.set_directory(replica.directory);
    hello.set_have_change(replica.have_change);
    hello.set_have_evacuations(state.callers.evacuations.revision);
    hello.set_have_token(state.callers.have_token);
    hello.set_upstreams(static_cast<uint32_t>(state.upstreams.size()));
    hello.set_processor_milli(
        static_cast<uint32_t>(state.settings.processor_milli));
    send(state, host, std::move(envelope), out);
  }
}

// ---- Events -----------------------------------------------------------------

void on_event(host_entry& state, const host_tick& event, host_outbox& out) {
  record_tick(state.callers.admission, event.now);
  send_replica_hellos(state, event.now, out);
  send_pool_hellos(state, event.now, out);
  send_peer_hellos(state, event.now, out);
  for (auto& [name, pool] : state.pools) {
    pool_output ticked;
    tick_pool(pool, event.now, ticked);
    apply_output(state, pool, std::move(ticked), event.now, out);
  }
  intake_output taken;
  tick_intake(state.callers, event.now, taken);
  apply_output(state, std::move(taken), out);
}

void on_event(host_entry& state, const host_call& event, host_outbox& out) {
  intake_output taken;
  receive_call(state.callers, event.call, event.now, taken);
  apply_output(state, std::move(taken), out);
}

void on_event(host_entry& state,
              const host_caller_disconnected& event,
              host_outbox& out) {
  intake_output taken;
  caller_disconnected(state.callers, event.exchange, event.now, taken);
  apply_output(state, std::move(taken), out);
}

void on_event(host_entry& state, const host_received& event, host_outbox& out) {
  receive(state, event.now, event.envelope, out);
}

void on_event(host_entry& state,
              const host_order_replied& event,
              host_outbox& out) {
  for (auto& [name, pool] : state.pools) {
    if (pool.token != token_of_order(event.order))
      continue;
    pool_output replied;
    order_replied(pool, event.order, event.reply, event.now, replied);
    apply_output(state, pool, std::move(replied), event.now, out);
  }
}

void on_event(host_entry& state, const host_drain& event, host_outbox& out) {
  state.draining = true;
  state.callers.answer_by_ms = event.answer_by_ms;
  state.next_replica_hello_ms = 0;
  send_replica_hellos(state, event.now, out);
}

void on_event(host_entry& state,
              const host_seeds_changed& event,
              host_outbox& /*out*/) {
  for (const std::string& seed : event.seeds)
    state.replicas.try_emplace(seed);
}

// A caller may have left during a suspension, and may have submitted its job
// elsewhere, before the end of its connection is read here.
void detect_suspension(host_entry& state,
                       const host_event& event,
                       unix_ms now) {
  bool suspended =
      state.last_event_ms != 0 && now - state.last_event_ms > SUSPENSION_MS;
  state.last_event_ms = now;
  if (suspended)
    state.ticks_to_catch_up = CATCH_UP_TICKS;
  if (std::holds_alternative<host_tick>(event) && state.ticks_to_catch_up > 0)
    --state.ticks_to_catch_up;
  bool answers_callers = now < state.callers.answer_by_ms;
  state.callers.callers_known = state.ticks_to_catch_up == 0 && answers_callers;
}

}  // namespace

host_entry make_host_entry(const host_settings& settings,
                           uint64_t incarnation,
                           route_parser read_routes) {
  host_entry state;
  state.settings = settings;
  state.incarnation = incarnation;
  state.read_routes = std::move(read_routes);
  state.callers.zone = settings.zone;
  // The submissions of different processes never share a number.
  state.callers.next_submission = incarnation;
  state.callers.host = settings.rpc;
  for (const std::string& seed : settings.seeds)
    state.replicas.try_emplace(seed);
  return state;
}

host_effects reduce(host_entry& state, const host_event& event) {
  host_outbox out;
  unix_ms now = std::visit([](const auto& kind) { return kind.now; }, event);
  detect_suspension(state, event, now);
  std::visit([&](const auto& kind) { on_event(state, kind, out); }, event);
  // Messages delivered to this host may lead to further ones.
  do {
    std::vector<wire::envelope> inbox = std::move(out.to_self);
    out.to_self.clear();
    for (const wire::envelope& envelope : inbox)
      receive(state, now, envelope, out);
    for (auto& [name, pool] : state.pools) {
      pool_output placed;
      place_tasks(pool, now, placed);
      apply_output(state, pool, std::move(placed), now, out);
    }
    send_results(state, now, out);
  } while (!out.to_self.empty());
  return std::move(out.effects);
}

bool is_owner(const host_entry& state) {
  return std::any_of(state.pools.begin(), state.pools.end(),
                     [](const auto& item) { return item.second.token != 0; });
}

bool is_ready(const host_entry& state) {
  return state.callers.routes.has_value() && !state.draining;
}

}  // namespace cyclamenwood
