// The reducer of an entry host: admission, claims, dispatch, collection of
// answers, the set of known upstreams and the bundle in force, behind one
// deterministic function.
//
// Usage, as in the daemon:
//
//   entry_state state =
//       make_entry(settings, "kranj-1", incarnation, seed, now);
//   entry_effects effects = reduce(state, entry_tick{now});
//   effects = reduce(state, entry_submit{now, caller, request});
//   for (const entry_effect& effect : effects)
//     std::visit(execute, effect);  // Send, start a task, answer a caller.
//   effects = reduce(state, entry_task_ended{now, attempt_id, outcome, ...});
//
// The reducer reads no clock and performs no I/O; random numbers come from a
// generator in its state. `now` is in milliseconds since the Unix epoch. It
// must be read for each event and must not decrease. An `entry_tick` is
// expected every TICK_INTERVAL_MS.
//
// Guarantees about the effects, for any sequence of events:
//  - an entry_start_task for a task of a keyed job is emitted only under a
//    claim granted to this incarnation, and at most once unless every earlier
//    attempt was reported as provably not started;
//  - a `not_run` answer is emitted only if every start of that submission was
//    reported as provably not started, and no start follows for it;
//  - an answer is complete: all results, or one typed failure;
//  - the version of the bundle in force never decreases.
#ifndef CYCLAMENWOOD_ENTRY_H_
#define CYCLAMENWOOD_ENTRY_H_

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cyclamenwood/api.h"
#include "cyclamenwood/bundle.h"
#include "cyclamenwood/fair_queue.h"
#include "cyclamenwood/health.h"
#include "cyclamenwood/job.h"
#include "cyclamenwood/registry.h"
#include "cyclamenwood/settings.h"
#include "cyclamenwood/types.h"
#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

constexpr int64_t TICK_INTERVAL_MS = 20;

// ---- Events ---------------------------------------------------------------

struct entry_tick {
  unix_ms now = 0;
};

// A job or single request was submitted. `caller` identifies the HTTP exchange
// to answer, here and in the other events.
struct entry_submit {
  unix_ms now = 0;
  uint64_t caller = 0;
  submission request;
};

enum class job_verb { show, cancel };

// A caller requested the state of a job, or its cancellation.
struct entry_job_command {
  unix_ms now = 0;
  uint64_t caller = 0;
  job_verb verb = job_verb::show;
  job_id id;
};

// A caller's connection was closed before its exchange was answered.
struct entry_caller_disconnected {
  unix_ms now = 0;
  uint64_t caller = 0;
};

// An upstream announced itself.
struct entry_announce {
  unix_ms now = 0;
  uint64_t caller = 0;
  wire::upstream upstream;
};

enum class task_outcome {
  // A complete answer with a success status was received.
  completed,
  // A complete answer with a failure status was received: the task ran and
  // failed.
  failed,
  // Provably not started: no connection was established, or the upstream
  // reported that it did not start the task.
  not_connected,
  not_started,
  // The request was sent, but no complete answer was received; the task may
  // have started.
  incomplete,
  timed_out,
  too_large,
};

// An attempt started by entry_start_task has ended.
struct entry_task_ended {
  unix_ms now = 0;
  uint64_t attempt_id = 0;
  task_outcome outcome = task_outcome::incomplete;
  // The identity echoed by the upstream; empty if it sent none.
  std::string echoed_identity;
  std::string body;
};

// A message from another process was received.
struct entry_received {
  unix_ms now = 0;
  wire::envelope envelope;
};

// An operator submitted a new version of the bundle.
struct entry_roll_out {
  unix_ms now = 0;
  uint64_t caller = 0;
  std::string content;
};

// The process was requested to drain and stop.
struct entry_drain {
  unix_ms now = 0;
};

using entry_event = std::variant<entry_tick,
                                 entry_submit,
                                 entry_job_command,
                                 entry_caller_disconnected,
                                 entry_announce,
                                 entry_task_ended,
                                 entry_received,
                                 entry_roll_out,
                                 entry_drain>;

// ---- Effects --------------------------------------------------------------

// Send the response of the caller's exchange.
struct entry_answer {
  uint64_t caller = 0;
  api_answer answer;
};

// Send a task to an upstream, once; report its end as entry_task_ended.
struct entry_start_task {
  uint64_t attempt_id = 0;
  std::string upstream_id;
  std::string address;
  // Unique among all attempts of all incarnations; echoed by the upstream.
  std::string identity;
  job_id id;
  size_t task_index = 0;
  std::string payload;
  unix_ms deadline_ms = 0;
  int64_t max_answer_bytes = 0;
};

// The attempt's answer is no longer needed: close the transfer and request the
// upstream to cancel the task.
struct entry_cancel_task {
  uint64_t attempt_id = 0;
  std::string address;
  std::string identity;
};

// Send a message to another process; it may be lost.
struct entry_send {
  std::string host;
  wire::envelope envelope;
};

// A log event for operators.
struct entry_log_event {
  std::string name;
  std::string detail;
};

// A job of this host has finished; input of the histograms.
struct entry_job_finished {
  std::string tenant;
  std::string class_name;
  int64_t response_ms = 0;
  int64_t queue_ms = 0;
  // Execution time of the longest task.
  int64_t ideal_ms = 0;
  // "complete" or the failure's type.
  std::string outcome;
};

enum class counter {
  task_starts,
  task_retries,
  task_cancels,
  claim_requests,
  claim_resends,
  attach_queries,
  late_answers,
  mismatched_answers,
  duplicate_submissions,
  upstream_ejections,
};

struct entry_count {
  counter kind = counter::task_starts;
};

// The drain is complete: the process may exit.
struct entry_drained {};

using entry_effect = std::variant<entry_answer,
                                  entry_start_task,
                                  entry_cancel_task,
                                  entry_send,
                                  entry_log_event,
                                  entry_job_finished,
                                  entry_count,
                                  entry_drained>;
using entry_effects = std::vector<entry_effect>;

std::string_view to_string(counter kind);

// ---- State ----------------------------------------------------------------

// An attempt that was started and has not ended.
struct running_attempt {
  uint64_t job = 0;
  size_t task = 0;
  std::string upstream_id;
  std::string address;
  std::string identity;
  unix_ms started_ms = 0;
  unix_ms timeout_ms = 0;
};

// A request to the leader of a group, which may have to be located first.
struct leader_request {
  std::string group;
  // Index into the group's replicas.
  size_t target = 0;
  int64_t redirects = 0;
  unix_ms resend_at_ms = 0;
  unix_ms give_up_at_ms = 0;
};

// A claim or lookup that a claims group has not answered yet.
struct pending_claim {
  leader_request route;
  wire::claim_request request;
  // The job that needs the claim, or 0 if the request is a lookup for
  // `command`, which concerns a job that this host does not hold.
  uint64_t job = 0;
  std::optional<entry_job_command> command;
};

// A query to another entry host, which owns the job.
struct pending_query {
  wire::job_query query;
  std::string owner_host;
  // The recipient of the answer: `job` for JOB_ATTACH, `caller` for JOB_SHOW
  // and JOB_CANCEL.
  uint64_t job = 0;
  uint64_t caller = 0;
  unix_ms resend_at_ms = 0;
  unix_ms give_up_at_ms = 0;
};

struct pending_roll_out {
  leader_request route;
  uint64_t caller = 0;
  wire::roll_out content;
};

// The bundle in force at this host and the state needed to keep it current.
// After a start, no bundle is in force until a majority of the configuration
// group has answered and the newest version applied among the answers is at
// least as new as the newest one logged. No entry host can then have had a
// newer version in force.
struct config_follower {
  bool confirmed = false;
  std::optional<bundle> in_force;
  std::string content;
  // The newest version received from a replica.
  wire::roll_out candidate;
  // The last report of each configuration replica; used until confirmation.
  std::map<std::string, wire::config_state> reports;
  unix_ms read_at_ms = 0;
  // Time of the last message from a configuration replica in this zone.
  unix_ms own_zone_contact_ms = 0;
};

struct tenant_load {
  int64_t queued = 0;
  int64_t running = 0;
};

struct service_load {
  fair_queue queue;
  int64_t queued = 0;
  int64_t running = 0;
  // No upstream was available at the last attempt to dispatch. Reset by every
  // event that may make one available.
  bool blocked = false;
  // Sum of the queued tasks' estimates, by class.
  std::map<std::string, double, std::less<>> queued_cost_ms;
};

// The usable upstreams of one service and zone, cached until `stale_at_ms`,
// and the load that the zone's other entry hosts reported in their digest
// messages.
struct zone_view {
  uint64_t revision = 0;
  unix_ms stale_at_ms = 0;
  std::vector<std::string> usable;
  int64_t slots = 0;
  // Number of other live entry hosts in the zone.
  int64_t other_hosts = 0;
  // Sum of their demand.
  double other_demand = 0;
};

struct entry_state {
  std::string host;
  std::string zone;
  uint64_t incarnation = 0;
  settings options;
  // Names of the other entry hosts.
  std::vector<std::string> peers;
  // Names of the replicas of each group, those of the own zone first.
  std::map<std::string, std::vector<std::string>, std::less<>> group_replicas;
  // Index into group_replicas of the replica that last answered as leader.
  std::map<std::string, size_t, std::less<>> group_leader;

  config_follower config;
  registry upstreams;
  health_table health;
  // By service and zone.
  std::map<std::pair<std::string, std::string>, zone_view> zone_views;

  std::map<uint64_t, job> jobs;
  std::map<job_id, uint64_t> job_by_id;
  // Jobs by the deadlines of the job and of its waiting callers. Entries of
  // finished jobs remain until their deadline.
  std::set<std::pair<unix_ms, uint64_t>> deadlines;
  // Finished jobs in the order in which they finished.
  std::deque<uint64_t> finished;
  int64_t finished_bytes = 0;
  std::map<uint64_t, running_attempt> attempts;
  std::map<uint64_t, uint64_t> job_of_caller;

  std::map<std::string, service_load, std::less<>> services;
  std::map<std::string, tenant_load, std::less<>> tenants;
  int64_t queued_tasks = 0;
  // Exponentially weighted averages of the observed execution times, by
  // service and class.
  std::map<std::pair<std::string, std::string>, double> estimates_ms;
  // Retry budget for tasks that may have run. A retry takes one token; each
  // first attempt adds the fraction of a token that the bundle configures.
  double retry_tokens = 0;

  std::map<uint64_t, pending_claim> claims;
  std::map<uint64_t, pending_query> queries;
  std::map<uint64_t, pending_roll_out> roll_outs;

  uint64_t next_id = 1;
  std::mt19937_64 random;
  bool draining = false;
  bool refusing = false;
  unix_ms refuse_at_ms = 0;
  unix_ms drain_limit_ms = 0;
};

// Returns the state of a newly started entry host. `incarnation` must differ
// from that of every earlier process of this host; `seed` initializes the
// random generator.
entry_state make_entry(const settings& all,
                       std::string_view host,
                       uint64_t incarnation,
                       uint64_t seed,
                       unix_ms now);

// Applies one event and returns the effects, to be executed in order.
entry_effects reduce(entry_state& state, const entry_event& event);

// Returns the version of the bundle in force, or 0 if there is none.
uint64_t version_in_force(const entry_state& state);

// Returns whether the load balancer should send callers to this host.
bool is_serving(const entry_state& state);

// Returns the status page as JSON.
std::string describe_status(const entry_state& state, unix_ms now);
// Returns the known upstreams as JSON.
std::string describe_upstreams(const entry_state& state, unix_ms now);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_ENTRY_H_
