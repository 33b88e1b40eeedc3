// The entry host's reducer: admission, claims, dispatch, gathering of answers,
// knowledge of upstreams and the bundle in force, behind one pure function.
//
// Worked usage, as the daemon's shell does it:
//
//   entry_state state = make_entry(settings, "kranj-1", incarnation, seed,
//   now); entry_effects effects = reduce(state, entry_tick{now}); effects =
//   reduce(state, entry_submit{now, caller, request}); for (const entry_effect&
//   effect : effects)
//     std::visit(execute, effect);   // send, start a task, answer a caller
//   effects = reduce(state, entry_task_ended{now, attempt_id, outcome, ...});
//
// The reducer reads no clock and performs no I/O; randomness comes from a
// generator in its state. `now` is in milliseconds since the Unix epoch, must
// be read anew for each event and must not decrease. `entry_tick` should come
// every TICK_INTERVAL_MS.
//
// Promises about the effects, for any sequence of events:
//  - an entry_start_task for a task of a keyed job is emitted only under a
//    granted claim of this incarnation, and at most once unless every earlier
//    attempt was reported as provably not started;
//  - an answer that says `not_run` is emitted only when every start of that
//    submission was reported as provably not started, and none follows for it;
//  - an answer is whole: all results, or one typed failure;
//  - the version of the bundle in force never falls.
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

// A job or single request. `caller` names the HTTP exchange to answer.
struct entry_submit {
  unix_ms now = 0;
  uint64_t caller = 0;
  submission request;
};

enum class job_verb { show, cancel };

struct entry_job_command {
  unix_ms now = 0;
  uint64_t caller = 0;
  job_verb verb = job_verb::show;
  job_id id;
};

struct entry_caller_gone {
  unix_ms now = 0;
  uint64_t caller = 0;
};

struct entry_announce {
  unix_ms now = 0;
  uint64_t caller = 0;
  wire::upstream upstream;
};

enum class task_outcome {
  // A whole answer with a success status.
  completed,
  // A whole answer with a failure status: the task ran and failed.
  failed,
  // Provably not started: no connection, or the upstream says so.
  not_connected,
  not_started,
  // Sent, and no whole answer: it may have started.
  broken,
  timed_out,
  too_large,
};

struct entry_task_ended {
  unix_ms now = 0;
  uint64_t attempt_id = 0;
  task_outcome outcome = task_outcome::broken;
  // The identity echoed by the upstream; empty when it sent none.
  std::string echoed_identity;
  std::string body;
};

struct entry_received {
  unix_ms now = 0;
  wire::envelope envelope;
};

struct entry_roll_out {
  unix_ms now = 0;
  uint64_t caller = 0;
  std::string content;
};

// The process was asked to stop.
struct entry_drain {
  unix_ms now = 0;
};

using entry_event = std::variant<entry_tick,
                                 entry_submit,
                                 entry_job_command,
                                 entry_caller_gone,
                                 entry_announce,
                                 entry_task_ended,
                                 entry_received,
                                 entry_roll_out,
                                 entry_drain>;

// ---- Effects --------------------------------------------------------------

struct entry_answer {
  uint64_t caller = 0;
  api_answer answer;
};

struct entry_start_task {
  uint64_t attempt_id = 0;
  std::string upstream_id;
  std::string address;
  // Unique over all attempts of all incarnations; the upstream echoes it.
  std::string identity;
  job_id id;
  size_t task_index = 0;
  std::string payload;
  unix_ms deadline_ms = 0;
  int64_t max_answer_bytes = 0;
};

// The attempt's answer is no longer wanted: close it and tell the upstream.
struct entry_cancel_task {
  uint64_t attempt_id = 0;
  std::string address;
  std::string identity;
};

struct entry_send {
  std::string host;
  wire::envelope envelope;
};

// Something an operator wants to see.
struct entry_note {
  std::string name;
  std::string detail;
};

// A finished job, for the histograms.
struct entry_observe {
  std::string tenant;
  std::string class_name;
  int64_t response_ms = 0;
  int64_t queue_ms = 0;
  // The longest task's own time.
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

// Everything is finished: the process may exit.
struct entry_drained {};

using entry_effect = std::variant<entry_answer,
                                  entry_start_task,
                                  entry_cancel_task,
                                  entry_send,
                                  entry_note,
                                  entry_observe,
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

// A request to the leader of a group, which may have to be found first.
struct leader_request {
  std::string group;
  // Index into the group's replicas.
  size_t target = 0;
  int64_t redirects = 0;
  unix_ms resend_at_ms = 0;
  unix_ms give_up_at_ms = 0;
};

// A claim or lookup on its way to a claims group.
struct pending_claim {
  leader_request route;
  wire::claim_request request;
  // The job it is for, or 0 when `command` asks for a job not known here.
  uint64_t job = 0;
  std::optional<entry_job_command> command;
};

// A question to the owner of a job at another entry host.
struct pending_query {
  wire::job_query query;
  std::string owner_host;
  // ATTACH: the job. SHOW and CANCEL: the caller.
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

// Which bundle is in force here, and how that is kept up to date. After a
// start nothing is in force until a majority of the configuration group has
// answered and no member of it holds a version that it has not applied: then
// no version that any entry host had in force can be newer.
struct config_follower {
  bool confirmed = false;
  std::optional<bundle> in_force;
  std::string content;
  // The newest version heard of before the confirmation.
  wire::roll_out candidate;
  // What each configuration replica said last, before the confirmation.
  std::map<std::string, wire::config_state> reports;
  unix_ms read_at_ms = 0;
  unix_ms own_zone_heard_ms = 0;
};

struct tenant_load {
  int64_t queued = 0;
  int64_t running = 0;
};

struct service_load {
  fair_queue queue;
  int64_t queued = 0;
  int64_t running = 0;
  // No upstream was free at the last attempt; reset by whatever may free one.
  bool blocked = false;
  // Sum of the queued tasks' estimates, by class.
  std::map<std::string, double, std::less<>> queued_cost_ms;
};

// The usable upstreams of one service and zone, kept for a moment, and the
// load that the zone's other entry hosts vouched for.
struct zone_view {
  uint64_t revision = 0;
  unix_ms stale_at_ms = 0;
  std::vector<std::string> usable;
  int64_t slots = 0;
  // Entry hosts in the zone that are alive, this one not counted.
  int64_t other_hosts = 0;
  // Their demand.
  double other_demand = 0;
};

struct entry_state {
  std::string host;
  std::string zone;
  uint64_t incarnation = 0;
  settings all;
  // Other entry hosts.
  std::vector<std::string> peers;
  // Replicas' names by group, own zone first.
  std::map<std::string, std::vector<std::string>, std::less<>> group_replicas;
  // Index into group_replicas of the replica that answered last.
  std::map<std::string, size_t, std::less<>> group_leader;

  config_follower config;
  registry upstreams;
  health_table health;
  // By service and zone.
  std::map<std::pair<std::string, std::string>, zone_view> zone_views;

  std::map<uint64_t, job> jobs;
  std::map<job_id, uint64_t> job_by_id;
  // Jobs that are not finished, by deadline.
  std::set<std::pair<unix_ms, uint64_t>> deadlines;
  // Finished jobs in the order of finishing.
  std::deque<uint64_t> finished;
  int64_t finished_bytes = 0;
  std::map<uint64_t, running_attempt> attempts;
  std::map<uint64_t, uint64_t> job_of_caller;

  std::map<std::string, service_load, std::less<>> services;
  std::map<std::string, tenant_load, std::less<>> tenants;
  int64_t queued_tasks = 0;
  // Observed task times by (service, class), exponentially weighted.
  std::map<std::pair<std::string, std::string>, double> estimates_ms;
  // Tokens for retries of tasks that may have run; each first attempt adds
  // the bundle's share of one.
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

entry_state make_entry(const settings& all,
                       std::string_view host,
                       uint64_t incarnation,
                       uint64_t seed,
                       unix_ms now);

entry_effects reduce(entry_state& state, const entry_event& event);

// Version of the bundle in force; 0 when there is none.
uint64_t version_in_force(const entry_state& state);

// Whether the balancer should send callers here.
bool is_serving(const entry_state& state);

// The status page, as JSON.
std::string describe_status(const entry_state& state, unix_ms now);
// The upstreams known, as JSON.
std::string describe_upstreams(const entry_state& state, unix_ms now);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_ENTRY_H_
