// The reducer of an entry host of a seeded deployment. It combines the callers'
// jobs (intake.h), the pools of upstreams that the host owns (pool.h), and the
// state received from the replicas of the control log.
//
//   host_entry state = make_host_entry(settings, incarnation, &read_routes);
//   effects = reduce(state, host_call{now, call});
//   effects = reduce(state, host_tick{now});
//   ...
//
// It reads no clock and performs no I/O; the daemon (host_entry_daemon.h)
// carries out the effects in order. `now` is in milliseconds since the Unix
// epoch. `read_routes` parses the text of a configuration.
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

struct host_caller_disconnected {
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

// The process was requested to stop.
struct host_drain {
  unix_ms now = 0;
  // All open jobs are answered by this time.
  unix_ms answer_by_ms = 0;
};

// The settings were reloaded and name these seeds.
struct host_seeds_changed {
  unix_ms now = 0;
  std::vector<std::string> seeds;
};

using host_event = std::variant<host_tick,
                                host_call,
                                host_caller_disconnected,
                                host_received,
                                host_order_replied,
                                host_drain,
                                host_seeds_changed>;

// ---- Effects --------------------------------------------------------------

struct host_send {
  std::string host;
  wire::envelope envelope;
};

using host_effect =
    std::variant<caller_answer, run_order, host_send, log_event>;
using host_effects = std::vector<host_effect>;

// ---- State ----------------------------------------------------------------

// How far the changes of one replica's directory of upstreams were received.
struct directory_position {
  uint64_t directory = 0;
  uint64_t have_change = 0;
};

using route_parser = std::function<result<route_table>(std::string_view)>;

struct host_entry {
  host_settings settings;
  uint64_t incarnation = 0;
  route_parser read_routes;
  intake callers;
  // The zone's upstreams as reported by replicas, kept for pools that may be
  // granted to this process.
  std::map<std::string, wire::upstream> upstreams;
  // By name: all pools that were ever granted to this process. One whose token
  // is 0 is not owned now.
  std::map<std::string, pool> pools;
  std::map<std::string, directory_position> replicas;
  // All entry hosts, as last reported by a replica.
  std::set<std::string> entry_hosts;
  // The configuration in force, as sent to other entry hosts.
  wire::roll_out latest;
  // When the zone's last evacuation ended, if this process was told of the end
  // at once; otherwise 0.
  unix_ms restored_ms = 0;
  unix_ms last_control_news_ms = 0;
  unix_ms next_peer_hello_ms = 0;
  unix_ms next_replica_hello_ms = 0;
  unix_ms next_pool_hello_ms = 0;
  bool draining = false;
  unix_ms last_event_ms = 0;
  // Ticks until the ends of connections during a suspension of this process
  // have been seen; 0: it was not suspended lately.
  int ticks_to_catch_up = 0;
};

// Returns the state of a process that has just started. Submissions are
// numbered from `incarnation`, which must differ widely between processes.
host_entry make_host_entry(const host_settings& settings,
                           uint64_t incarnation,
                           route_parser read_routes);

// Applies an event and returns the effects to carry out, in order.
host_effects reduce(host_entry& state, const host_event& event);

// Returns whether this process owns a pool.
bool is_owner(const host_entry& state);

// Returns whether the load balancer should send callers to this process.
bool is_ready(const host_entry& state);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_HOST_ENTRY_H_
