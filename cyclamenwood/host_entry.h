// The reducer of an entry host of a seeded deployment: callers' jobs
// (intake.h), the pools of upstreams that it owns (pool.h), and what it hears
// from the replicas of the control log.
//
//   host_entry state = make_host_entry(settings, incarnation, now);
//   effects = reduce(state, host_call{now, call});
//   effects = reduce(state, host_tick{now});
//   ...
//
// It reads no clock and performs no I/O. `Format` names the format of the
// configuration: `Format::read_routes(content)` returns
// result<route_table>.
#ifndef CYCLAMENWOOD_HOST_ENTRY_H_
#define CYCLAMENWOOD_HOST_ENTRY_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "cyclamenwood/host_settings.h"
#include "cyclamenwood/intake.h"
#include "cyclamenwood/pool.h"

namespace cyclamenwood {

// ---- Events ---------------------------------------------------------------

struct host_tick {
  unix_ms now = 0;
};

struct host_call {
  unix_ms now = 0;
  caller_call call;
};

struct host_caller_left {
  unix_ms now = 0;
  uint64_t exchange = 0;
};

struct host_received {
  unix_ms now = 0;
  wire::envelope envelope;
};

struct host_order_replied {
  unix_ms now = 0;
  uint64_t order = 0;
  order_reply reply;
};

// The process was asked to stop.
struct host_drain {
  unix_ms now = 0;
  // By then all that is open is to be answered.
  unix_ms answer_by_ms = 0;
};

// The settings name these seeds now.
struct host_seeds {
  unix_ms now = 0;
  std::vector<std::string> seeds;
};

using host_event = std::variant<host_tick,
                                host_call,
                                host_caller_left,
                                host_received,
                                host_order_replied,
                                host_drain,
                                host_seeds>;

// ---- Effects --------------------------------------------------------------

struct host_send {
  std::string host;
  wire::envelope envelope;
};

using host_effect =
    std::variant<caller_answer, run_order, host_send, log_event>;
using host_effects = std::vector<host_effect>;

// ---- State ----------------------------------------------------------------

// What arrived from one replica.
struct known_replica {
  uint64_t directory = 0;
  uint64_t have_change = 0;
};

using route_reader = std::function<result<route_table>(std::string_view)>;

struct host_entry {
  host_settings settings;
  uint64_t incarnation = 0;
  route_reader read_routes;
  intake callers;
  // What replicas told of the zone's upstreams, for pools that may become
  // owned here.
  std::map<std::string, wire::upstream> upstreams;
  // By name: those that were ever granted to this process. A pool whose token
  // is 0 is not owned now.
  std::map<std::string, pool> pools;
  std::map<std::string, known_replica> replicas;
  // All entry hosts, as a replica told last.
  std::set<std::string> entry_hosts;
  // The configuration in force, for other entry hosts.
  wire::roll_out latest;
  unix_ms peer_hello_ms = 0;
  unix_ms hello_ms = 0;
  unix_ms pool_hello_ms = 0;
  bool draining = false;
};

host_entry make_host_entry(const host_settings& settings,
                           uint64_t incarnation,
                           route_reader read_routes);

host_effects reduce(host_entry& state, const host_event& event);

// Whether it owns a pool.
bool is_owner(const host_entry& state);

// Whether the balancer should send callers here.
bool is_ready(const host_entry& state);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_HOST_ENTRY_H_
