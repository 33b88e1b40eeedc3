// What the two parts send to this host itself is delivered in the same
// reduction; everything else becomes an effect.
#include "cyclamenwood/host_entry.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "cyclamenwood/neighbours.h"
#include "cyclamenwood/pool_name.h"

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

void absorb(host_entry& state,
            pool& source,
            pool_output done,
            host_outbox& out) {
  for (run_order& order : done.orders)
    out.effects.push_back(std::move(order));
  for (auto& [host, results] : done.results) {
    wire::envelope envelope;
    *envelope.mutable_run_results() = std::move(results);
    envelope.mutable_run_results()->set_pool(source.name);
    send(state, host, std::move(envelope), out);
  }
  for (event_note& note : done.notes)
    out.effects.push_back(std::move(note));
  if (done.lost)
    disown_pool(source);
}

// The pool of this name while it is owned here, or null.
pool* find_owned(host_entry& state, const std::string& name) {
  auto found = state.pools.find(name);
  bool owned = found != state.pools.end() && found->second.token != 0;
  return owned ? &found->second : nullptr;
}

void note(host_outbox& out, std::string event, std::string details) {
  out.effects.push_back(event_note{std::move(event), std::move(details)});
}

// The pools that this process keeps in touch with: those that its jobs may go
// to next, and those that have some of its jobs.
std::set<std::string> choose_greeted(const host_entry& state) {
  std::set<std::string> greeted = choose_neighbours(
      state.callers.grants, state.settings.zone, state.settings.rpc);
  for (const auto& [submission, job] : state.callers.jobs) {
    for (const auto& [name, token] : job.pools)
      greeted.insert(name);
  }
  return greeted;
}

void say_pool_hello(host_entry& state, unix_ms now, host_outbox& out) {
  if (now < state.pool_hello_ms)
    return;
  state.pool_hello_ms = now + POOL_HELLO_INTERVAL_MS;
  for (const std::string& name : choose_greeted(state)) {
    auto grant = state.callers.grants.find(name);
    if (grant == state.callers.grants.end())
      continue;
    wire::envelope envelope;
    *envelope.mutable_pool_hello() = make_pool_hello(state.callers, name);
    send(state, grant->second.host(), std::move(envelope), out);
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
                     failure(table).detail));
    return;
  }
  state.callers.routes = std::move(value(table));
  state.latest = latest;
  note(out, "config_in_force",
       fmt::format("version={} routes={}", latest.version(),
                   state.callers.routes->routes.size()));
}

bool is_mine(const host_entry& state, const wire::owner_grant& grant) {
  return grant.host() == state.settings.rpc &&
         grant.incarnation() == state.incarnation;
}

void take_pool(host_entry& state,
               const wire::owner_grant& grant,
               unix_ms now,
               host_outbox& out) {
  pool& pool = state.pools[pool_name(grant)];
  pool.name = pool_name(grant);
  pool.options.lease_ms = state.settings.run_lease_ms;
  pool_output done;
  for (const auto& [id, upstream] : state.upstreams) {
    if (shard_of(id, shards_of(grant)) == grant.shard())
      learn_upstream(pool, upstream, now, done);
  }
  own_pool(pool, grant.token(), now, done);
  absorb(state, pool, std::move(done), out);
}

void take_ownership(host_entry& state, unix_ms now, host_outbox& out) {
  for (const auto& [name, grant] : state.callers.grants) {
    if (grant.zone() != state.settings.zone)
      continue;
    auto known = state.pools.find(name);
    bool is_new = known == state.pools.end() ||
                  grant.token() > known->second.highest_token;
    if (is_new && is_mine(state, grant)) {
      take_pool(state, grant, now, out);
    } else if (is_new && find_owned(state, name) != nullptr) {
      note(out, "ownership_given_up",
           fmt::format("pool={} token={} owner={} by=grant", name,
                       grant.token(), grant.host()));
      disown_pool(known->second);
    }
  }
}

// What a replica or another entry host says is in force.
void take_grants(host_entry& state,
                 const grant_list& grants,
                 unix_ms now,
                 host_outbox& out) {
  bool owner_changed = learn_grants(state.callers, grants);
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
  take_grants(state, told.grants(), now, out);
}

void take_peer_list(host_entry& state, const wire::peer_list& list) {
  state.entry_hosts = {list.entry_hosts().begin(), list.entry_hosts().end()};
  state.entry_hosts.insert(state.settings.rpc);
}

// Replicas differ in what they have heard: the newest counts.
void take_upstream(host_entry& state,
                   const wire::upstream& heard,
                   unix_ms now,
                   host_outbox& out) {
  wire::upstream& known = state.upstreams[heard.id()];
  bool leaves = known.state() == wire::UPSTREAM_LEAVING &&
                known.incarnation() == heard.incarnation();
  if (heard.incarnation() >= known.incarnation())
    known = heard;
  if (leaves)
    known.set_state(wire::UPSTREAM_LEAVING);
  for (auto& [name, pool] : state.pools) {
    const wire::owner_grant& grant = state.callers.grants.at(name);
    bool belongs = shard_of(heard.id(), shards_of(grant)) == grant.shard();
    if (!belongs)
      continue;
    pool_output learned;
    learn_upstream(pool, heard, now, learned);
    absorb(state, pool, std::move(learned), out);
  }
}

void take_news(host_entry& state,
               unix_ms now,
               const wire::envelope& envelope,
               host_outbox& out) {
  const wire::control_news& news = envelope.control_news();
  for (const std::string& replica : news.replicas()) {
    // It may be the leader, who must hear of this process to make it an owner.
    if (state.replicas.try_emplace(replica).second)
      state.hello_ms = now;
  }
  known_replica& from = state.replicas[envelope.from()];
  from.directory = news.directory();
  from.have_change = news.change();
  if (news.has_latest())
    take_config(state, news.latest(), out);
  for (const wire::upstream& upstream : news.upstreams())
    take_upstream(state, upstream, now, out);
  take_grants(state, news.grants(), now, out);
}

// ---- Messages ---------------------------------------------------------------

void answer_pool_hello(host_entry& state,
                       unix_ms now,
                       const wire::envelope& envelope,
                       host_outbox& out) {
  pool* asked = find_owned(state, envelope.pool_hello().pool());
  if (asked == nullptr)
    return;
  pool_output done;
  hear_peer(*asked, envelope.from(), envelope.incarnation(),
            envelope.pool_hello().echo_ms(), now, done);
  absorb(state, *asked, std::move(done), out);
  wire::envelope reply;
  *reply.mutable_pool_state() =
      answer_hello(*asked, envelope.from(), envelope.pool_hello(), now);
  send(state, envelope.from(), std::move(reply), out);
}

void take_request(host_entry& state,
                  unix_ms now,
                  const wire::envelope& envelope,
                  host_outbox& out) {
  const wire::run_request& request = envelope.run_request();
  pool* asked = find_owned(state, request.pool());
  if (asked == nullptr)
    return;
  pool_output done;
  if (hear_peer(*asked, envelope.from(), envelope.incarnation(),
                request.echo_ms(), now, done))
    request_runs(*asked, envelope.from(), request, now, done);
  absorb(state, *asked, std::move(done), out);
}

void take_release(host_entry& state,
                  unix_ms now,
                  uint64_t submission,
                  host_outbox& out) {
  for (auto& [name, pool] : state.pools) {
    if (pool.token == 0)
      continue;
    pool_output done;
    release_runs(pool, submission, now, done);
    absorb(state, pool, std::move(done), out);
  }
}

void receive(host_entry& state,
             unix_ms now,
             const wire::envelope& envelope,
             host_outbox& out) {
  intake_output taken;
  switch (envelope.body_case()) {
    case wire::envelope::kControlNews:
      take_news(state, now, envelope, out);
      break;
    case wire::envelope::kRunRequest:
      take_request(state, now, envelope, out);
      break;
    case wire::envelope::kRunRelease:
      take_release(state, now, envelope.run_release().submission(), out);
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
    hello.set_have_token(state.callers.have_token);
    hello.set_upstreams(static_cast<uint32_t>(state.upstreams.size()));
    send(state, host, std::move(envelope), out);
  }
}

// ---- Events -----------------------------------------------------------------

void on_event(host_entry& state, const host_tick& event, host_outbox& out) {
  say_hello(state, event.now, out);
  say_pool_hello(state, event.now, out);
  say_peer_hellos(state, event.now, out);
  for (auto& [name, pool] : state.pools) {
    pool_output ticked;
    tick_pool(pool, event.now, ticked);
    absorb(state, pool, std::move(ticked), out);
  }
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
  for (auto& [name, pool] : state.pools) {
    if (pool.token != token_of_order(event.order))
      continue;
    pool_output replied;
    order_replied(pool, event.order, event.reply, event.now, replied);
    absorb(state, pool, std::move(replied), out);
  }
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
  state.callers.host = settings.rpc;
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
    for (auto& [name, pool] : state.pools) {
      pool_output placed;
      place_tasks(pool, now, placed);
      absorb(state, pool, std::move(placed), out);
    }
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
