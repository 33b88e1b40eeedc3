// What the two parts send to this host itself is delivered in the same
// reduction; everything else becomes an effect.
#include "cyclamenwood/host_entry.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace cyclamenwood {
namespace {

// Hellos carry both liveness and what has arrived; a third of the silence
// after which a peer is given up.
constexpr int64_t HELLO_INTERVAL_MS = 200;
// Owners are asked for their room more often: a choice of zones is as good as
// its age.
constexpr int64_t POOL_HELLO_INTERVAL_MS = 100;

// Entry hosts tell each other what is in force; it matters when no replica is
// in reach.
constexpr int64_t PEER_HELLO_INTERVAL_MS = 1'000;
// To this many of the others, the next by name: one that was started again is
// reached unless as many before it are gone.
constexpr size_t PEER_FANOUT = 3;

struct host_outbox {
  host_effects effects;
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

void absorb(host_entry& state, intake_output done, host_outbox& out) {
  for (caller_answer& answer : done.answers)
    out.effects.push_back(answer);
  for (auto& [host, envelope] : done.messages)
    send(state, host, std::move(envelope), out);
  for (event_note& note : done.notes)
    out.effects.push_back(std::move(note));
}

void absorb(host_entry& state, pool_output done, host_outbox& out) {
  for (run_order& order : done.orders)
    out.effects.push_back(std::move(order));
  for (auto& [host, results] : done.results) {
    wire::envelope envelope;
    *envelope.mutable_run_results() = std::move(results);
    send(state, host, std::move(envelope), out);
  }
  for (event_note& note : done.notes)
    out.effects.push_back(std::move(note));
  if (done.lost)
    disown_pool(state.upstreams);
}

void note(host_outbox& out, std::string event, std::string details) {
  out.effects.push_back(event_note{std::move(event), std::move(details)});
}

void say_pool_hello(host_entry& state, unix_ms now, host_outbox& out) {
  if (now < state.pool_hello_ms)
    return;
  state.pool_hello_ms = now + POOL_HELLO_INTERVAL_MS;
  for (const auto& [zone, grant] : state.callers.grants) {
    wire::envelope envelope;
    *envelope.mutable_pool_hello() = make_pool_hello(state.callers, zone);
    send(state, grant.host(), std::move(envelope), out);
  }
}

// ---- News from the replicas -------------------------------------------------

void take_config(host_entry& state,
                 const wire::roll_out& latest,
                 host_outbox& out) {
  uint64_t version = state.callers.routes ? state.callers.routes->version : 0;
  if (latest.version() <= version)
    return;
  result<route_table> table = state.read_routes(latest.content());
  if (!ok(table)) {
    note(out, "config_unreadable",
         fmt::format("version={} reason={}", latest.version(),
                     failure(table).argument));
    return;
  }
  state.callers.routes = std::move(value(table));
  state.latest = latest;
  note(out, "config_in_force",
       fmt::format("version={} routes={}", latest.version(),
                   state.callers.routes->routes.size()));
}

void take_ownership(host_entry& state, unix_ms now, host_outbox& out) {
  auto found = state.callers.grants.find(state.settings.zone);
  if (found == state.callers.grants.end())
    return;
  const wire::owner_grant& grant = found->second;
  pool& pool = state.upstreams;
  if (grant.token() <= pool.highest_token)
    return;
  bool mine = grant.host() == state.settings.rpc &&
              grant.incarnation() == state.incarnation;
  pool_output done;
  if (mine) {
    own_pool(pool, grant.token(), now, done);
  } else if (pool.token != 0) {
    note(
        out, "ownership_given_up",
        fmt::format("token={} owner={} by=grant", grant.token(), grant.host()));
    disown_pool(pool);
  }
  absorb(state, std::move(done), out);
}

// What a replica or another entry host says is in force.
void take_grants(host_entry& state,
                 const wire::control_news& news,
                 unix_ms now,
                 host_outbox& out) {
  bool owner_changed = learn_grants(state.callers, news);
  take_ownership(state, now, out);
  if (!owner_changed)
    return;
  state.pool_hello_ms = now;
  say_pool_hello(state, now, out);
}

void say_peer_hello(host_entry& state,
                    const std::string& host,
                    host_outbox& out) {
  wire::envelope envelope;
  envelope.mutable_peer_hello()->set_have_version(state.latest.version());
  send(state, host, std::move(envelope), out);
}

// Greets the next few of the other entry hosts.
void say_peer_hellos(host_entry& state, unix_ms now, host_outbox& out) {
  if (now < state.peer_hello_ms || state.entry_hosts.empty())
    return;
  state.peer_hello_ms = now + PEER_HELLO_INTERVAL_MS;
  auto next = state.entry_hosts.upper_bound(state.settings.rpc);
  size_t greeted = std::min(PEER_FANOUT, state.entry_hosts.size() - 1);
  while (greeted > 0) {
    if (next == state.entry_hosts.end())
      next = state.entry_hosts.begin();
    if (*next != state.settings.rpc) {
      say_peer_hello(state, *next, out);
      --greeted;
    }
    ++next;
  }
}

// Sends what the other has not, or asks it for what is missing here.
void answer_peer_hello(host_entry& state,
                       const wire::envelope& envelope,
                       host_outbox& out) {
  uint64_t theirs = envelope.peer_hello().have_version();
  if (theirs > state.latest.version())
    say_peer_hello(state, envelope.from(), out);
  if (theirs >= state.latest.version())
    return;
  wire::envelope news;
  *news.mutable_peer_news()->mutable_latest() = state.latest;
  for (const auto& [zone, grant] : state.callers.grants)
    *news.mutable_peer_news()->add_grants() = grant;
  send(state, envelope.from(), std::move(news), out);
}

void take_peer_news(host_entry& state,
                    const wire::peer_news& told,
                    unix_ms now,
                    host_outbox& out) {
  take_config(state, told.latest(), out);
  wire::control_news news;
  *news.mutable_grants() = told.grants();
  take_grants(state, news, now, out);
}

void take_peer_list(host_entry& state, const wire::peer_list& list) {
  state.entry_hosts = {list.entry_hosts().begin(), list.entry_hosts().end()};
  state.entry_hosts.insert(state.settings.rpc);
}

void take_news(host_entry& state,
               unix_ms now,
               const wire::envelope& envelope,
               host_outbox& out) {
  const wire::control_news& news = envelope.control_news();
  for (const std::string& replica : news.replicas())
    state.replicas.try_emplace(replica);
  known_replica& from = state.replicas[envelope.from()];
  from.directory = news.directory();
  from.have_change = news.change();
  if (news.has_latest())
    take_config(state, news.latest(), out);
  pool_output learned;
  for (const wire::upstream& upstream : news.upstreams())
    learn_upstream(state.upstreams, upstream, now, learned);
  absorb(state, std::move(learned), out);
  take_grants(state, news, now, out);
}

// ---- Messages ---------------------------------------------------------------

void answer_pool_hello(host_entry& state,
                       unix_ms now,
                       const wire::envelope& envelope,
                       host_outbox& out) {
  if (state.upstreams.token == 0)
    return;
  pool_output done;
  hear_peer(state.upstreams, envelope.from(), envelope.incarnation(),
            envelope.pool_hello().echo_ms(), now, done);
  absorb(state, std::move(done), out);
  wire::envelope reply;
  *reply.mutable_pool_state() = answer_hello(state.upstreams, envelope.from(),
                                             envelope.pool_hello(), now);
  send(state, envelope.from(), std::move(reply), out);
}

void receive(host_entry& state,
             unix_ms now,
             const wire::envelope& envelope,
             host_outbox& out) {
  pool_output pooled;
  intake_output taken;
  switch (envelope.body_case()) {
    case wire::envelope::kControlNews:
      take_news(state, now, envelope, out);
      break;
    case wire::envelope::kRunRequest:
      if (hear_peer(state.upstreams, envelope.from(), envelope.incarnation(),
                    envelope.run_request().echo_ms(), now, pooled))
        request_runs(state.upstreams, envelope.from(), envelope.run_request(),
                     now, pooled);
      break;
    case wire::envelope::kRunRelease:
      release_runs(state.upstreams, envelope.run_release().submission(), now,
                   pooled);
      break;
    case wire::envelope::kRunResults:
      take_results(state.callers, envelope.from(), envelope.run_results(), now,
                   taken);
      break;
    case wire::envelope::kPoolHello:
      answer_pool_hello(state, now, envelope, out);
      break;
    case wire::envelope::kPoolState:
      hear_pool(state.callers, envelope.pool_state(), now, taken);
      break;
    case wire::envelope::kPeerHello:
      answer_peer_hello(state, envelope, out);
      break;
    case wire::envelope::kPeerNews:
      take_peer_news(state, envelope.peer_news(), now, out);
      break;
    case wire::envelope::kPeerList:
      take_peer_list(state, envelope.peer_list());
      break;
    default:
      break;
  }
  absorb(state, std::move(pooled), out);
  absorb(state, std::move(taken), out);
}

void say_hello(host_entry& state, unix_ms now, host_outbox& out) {
  if (now < state.hello_ms)
    return;
  state.hello_ms = now + HELLO_INTERVAL_MS;
  for (const auto& [host, replica] : state.replicas) {
    wire::envelope envelope;
    wire::entry_hello& hello = *envelope.mutable_entry_hello();
    hello.set_zone(state.settings.zone);
    hello.set_draining(state.draining);
    hello.set_have_version(state.callers.routes ? state.callers.routes->version
                                                : 0);
    hello.set_directory(replica.directory);
    hello.set_have_change(replica.have_change);
    send(state, host, std::move(envelope), out);
  }
}

// ---- Events -----------------------------------------------------------------

void on_event(host_entry& state, const host_tick& event, host_outbox& out) {
  say_hello(state, event.now, out);
  say_pool_hello(state, event.now, out);
  say_peer_hellos(state, event.now, out);
  pool_output pooled;
  tick_pool(state.upstreams, event.now, pooled);
  absorb(state, std::move(pooled), out);
  intake_output taken;
  tick_intake(state.callers, event.now, taken);
  absorb(state, std::move(taken), out);
}

void on_event(host_entry& state, const host_call& event, host_outbox& out) {
  intake_output taken;
  call_arrived(state.callers, event.call, event.now, taken);
  absorb(state, std::move(taken), out);
}

void on_event(host_entry& state,
              const host_caller_left& event,
              host_outbox& out) {
  intake_output taken;
  caller_left(state.callers, event.exchange, taken);
  absorb(state, std::move(taken), out);
}

void on_event(host_entry& state, const host_received& event, host_outbox& out) {
  receive(state, event.now, event.envelope, out);
}

void on_event(host_entry& state,
              const host_order_replied& event,
              host_outbox& out) {
  pool_output pooled;
  order_replied(state.upstreams, event.order, event.reply, event.now, pooled);
  absorb(state, std::move(pooled), out);
}

void on_event(host_entry& state, const host_drain& event, host_outbox& out) {
  state.draining = true;
  state.callers.answer_by_ms = event.answer_by_ms;
  state.hello_ms = 0;
  say_hello(state, event.now, out);
}

void on_event(host_entry& state,
              const host_seeds& event,
              host_outbox& /*out*/) {
  for (const std::string& seed : event.seeds)
    state.replicas.try_emplace(seed);
}

}  // namespace

host_entry make_host_entry(const host_settings& settings,
                           uint64_t incarnation,
                           route_reader read_routes) {
  host_entry state;
  state.settings = settings;
  state.incarnation = incarnation;
  state.read_routes = std::move(read_routes);
  state.callers.zone = settings.zone;
  // Submissions of different processes never share a number.
  state.callers.next_submission = incarnation;
  state.upstreams.zone = settings.zone;
  state.upstreams.options.lease_ms = settings.run_lease_ms;
  for (const std::string& seed : settings.seeds)
    state.replicas.try_emplace(seed);
  return state;
}

host_effects reduce(host_entry& state, const host_event& event) {
  host_outbox out;
  std::visit([&](const auto& kind) { on_event(state, kind, out); }, event);
  unix_ms now = std::visit([](const auto& kind) { return kind.now; }, event);
  // Deliveries to this host may lead to more of them.
  do {
    std::vector<wire::envelope> inbox = std::move(out.to_self);
    out.to_self.clear();
    for (const wire::envelope& envelope : inbox)
      receive(state, now, envelope, out);
    pool_output placed;
    place_tasks(state.upstreams, now, placed);
    absorb(state, std::move(placed), out);
  } while (!out.to_self.empty());
  return std::move(out.effects);
}

bool is_ready(const host_entry& state) {
  return state.callers.routes.has_value() && !state.draining;
}

}  // namespace cyclamenwood
