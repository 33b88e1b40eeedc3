// The intake of an entry host: accepts jobs from callers and answers them.
//
// The tasks of a job's steps are sent to the owners of pools of upstreams
// (pool_name.h), which report the result of each task. The caller is answered
// when all tasks have ended. Nothing is stored: a job is dropped when the last
// of its callers disconnects. pool_choice.h selects the pool for each task.
//
//   intake intake;
//   merge_grants(intake, grants);

//   receive_call(intake, call, now, out);

//   ... pool states, run results, ticks ...
//
// The functions perform no I/O. They append answers, messages and log events to
// `out`, and the I/O layer carries them out. `now` is in milliseconds since the
// Unix epoch.
#ifndef CYCLAMENWOOD_INTAKE_H_
#define CYCLAMENWOOD_INTAKE_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cyclamenwood/admission.h"
#include "cyclamenwood/error.h"
#include "cyclamenwood/loss_history.h"
#include "cyclamenwood/pool_choice.h"
#include "cyclamenwood/route_table.h"
#include "cyclamenwood/types.h"
#include "cyclamenwood/wire.pb.h"
#include "cyclamenwood/zone_evacuations.h"

namespace cyclamenwood {

// One step of a job: `count` equal tasks.
struct step_spec {
  uint32_t count = 0;
  wire::room need;
  int64_t estimate_ms = 0;
  // Indices of the earlier steps that must be complete before this one starts.
  std::vector<uint32_t> depends_on;
  // Label that the upstream must have; empty: any upstream.
  std::string label;
  // Rack that holds the step's data; empty: no preference.
  std::string rack;
};

struct job_spec {
  std::string spec;
  std::vector<step_spec> steps;
  // The caller is answered when the job has ended, and the job is not stored.
  bool best_effort = false;
  // Name of a requested feature that is not supported; empty: none.
  std::string unsupported_feature;
};

enum class call_kind { submit, show, cancel };

// A parsed request from a caller; its route has not been resolved.
struct caller_call {
  uint64_t exchange = 0;
  call_kind kind = call_kind::submit;
  std::string host;
  std::string path;
  // Time that the caller is willing to wait; 0: not specified.
  int64_t wait_ms = 0;
  // Submissions only.
  result<job_spec> job;
};

enum class caller_outcome {
  completed,
  // A task has used up the attempts that its route allows, or was lost with
  // several upstreams that crashed.
  failed,
  // No task has run, and none will.
  refused,
  // The job was ended here because it cannot complete before its deadline; some
  // of its tasks may have run.
  given_up,
  // Tasks may have run, and may still be running.
  unknown,
  no_route,
  no_job,
  malformed,
  // `pending` jobs of the queue have not started.
  count,
  cancelled,
};

// Returns the name used in logs and metrics.
std::string_view to_string(caller_outcome outcome);

struct caller_answer {
  uint64_t exchange = 0;
  caller_outcome outcome = caller_outcome::refused;
  // Refusals: earliest time after which the caller should retry.
  int64_t retry_after_ms = 0;
  int64_t pending = 0;
  // Jobs only: the name of their queue, and the time since their arrival.
  std::string queue;
  int64_t elapsed_ms = 0;
};

struct intake_task {
  bool ended = false;
  // Name of the pool that it is assigned to; empty: none.
  std::string pool;
  // It was sent to this pool.
  bool sent = false;
  // The pool's owner may return it instead of queueing it, and has not been
  // asked for it again since. Only then can a return be accepted: on a repeated
  // request the owner may start a task that it has returned.
  bool returnable = false;
  uint32_t returns = 0;
};

struct intake_step {
  std::vector<intake_task> tasks;
  // Number of tasks that have not ended.
  size_t unfinished = 0;
};

struct intake_job {
  std::string id;
  std::vector<uint64_t> exchanges;
  route queue;
  job_spec job;
  std::vector<intake_step> steps;
  unix_ms arrived_ms = 0;
  unix_ms deadline_ms = 0;
  unix_ms objective_ms = 0;
  // Pools that tasks were sent to, with the token of the owner at that time.
  std::map<std::string, uint64_t> pools;
  unix_ms sent_ms = 0;
  // A task may have started.
  bool started = false;
};

// A release that its owner has not confirmed. While it is not known there, the
// owner may still start the tasks.
struct pending_release {
  std::string host;
  // The token under which the owner got the tasks.
  uint64_t token = 0;
  // See run_release.
  int64_t echo_ms = 0;
  uint32_t resends = 0;
  unix_ms resend_ms = 0;
  unix_ms expires_ms = 0;
};

// A job that is over because it can't be done in time. Its caller is told that
// it has not run once all owners that got its tasks have confirmed that, and
// otherwise that it may have run.
struct pending_refusal {
  intake_job job;
  // Answered without the missing confirmations at this time.
  unix_ms answer_by_ms = 0;
};

using grant_list = google::protobuf::RepeatedPtrField<wire::owner_grant>;

// The last reported state of one pool.
struct pool_view {
  uint64_t token = 0;
  unix_ms last_contact_ms = 0;
  // The owner's clock when it sent the state.
  int64_t clock_ms = 0;
  // Numbers of request messages sent to this owner and of result messages
  // received from it. Both sides compare their counts to detect lost messages;
  // see pool_hello and pool_state.
  uint64_t requests_sent = 0;
  uint64_t results_received = 0;
  // Time of the first message from this owner.
  unix_ms first_contact_ms = 0;
  // The position up to which the owner's losses were received.
  uint64_t have_losses = 0;
  // The owner's upstreams, as of `upstreams_version` of its list, and the
  // upstreams of previous owners whose runs may still exist.
  uint64_t upstreams_version = 0;
  std::vector<std::string> upstreams;
  std::vector<std::string> former_upstreams;
  // Free and queued capacity by service, less what was assigned to the pool
  // since the last report.
  std::map<std::string, pool_capacity> rooms;
};

struct intake {
  std::string zone;
  // Address of this process, as it stands in grants.
  std::string host;
  uint64_t next_submission = 1;
  // Whether the ends of callers' connections have been seen up to now, and
  // callers are still answered. If not, messages contain no echo, so that
  // owners don't take the callers for waiting.
  bool callers_known = true;
  // Set when the process drains: by this time all open jobs are answered. Calls
  // whose job may not end before it are refused.
  unix_ms answer_by_ms = INT64_MAX;
  // Which jobs are accepted while this process is behind.
  admission_state admission;
  std::optional<route_table> routes;
  // Latest grant of each pool, by the pool's name.
  std::map<std::string, wire::owner_grant> grants;
  // The evacuations in force: their zones' pools get no new job.
  zone_evacuations evacuations;
  // Highest token in `grants`.
  uint64_t have_token = 0;
  std::map<std::string, pool_view> pools;
  std::map<uint64_t, intake_job> jobs;
  // By submission and name of the pool.
  std::map<std::pair<uint64_t, std::string>, pending_release> releases;
  // By submission.
  std::map<uint64_t, pending_refusal> refusals;
  // Runs that were lost, as reported by owners; given to the owners that the
  // tasks are sent to next.
  loss_history losses;
  // Submission numbers by job id.
  std::map<std::string, uint64_t> by_id;
};

struct intake_output {
  std::vector<caller_answer> answers;
  std::vector<std::pair<std::string, wire::envelope>> messages;
  std::vector<log_event> notes;
};

// Handles a request: the answer is given at once, or, for an accepted job, when
// it ends.
void receive_call(intake& intake,
                  const caller_call& call,
                  unix_ms now,
                  intake_output& out);

// Removes a caller that closed its connection. A job without callers is dropped
// and its runs are released.
void caller_disconnected(intake& intake,
                         uint64_t exchange,
                         unix_ms now,
                         intake_output& out);

// Takes those of `grants` that have a higher token than the known ones. Returns
// whether the owner of a pool changed; its new owner should be sent a hello at
// once.
bool merge_grants(intake& intake, const grant_list& grants);

// Handles a change of `evacuations`: tasks that were not sent are assigned
// anew, and jobs that no pool serves any more are refused.
void receive_evacuations(intake& intake, unix_ms now, intake_output& out);

// Takes the state that a pool's owner reported. Requests the unfinished
// tasks again when the owner is new or messages were lost.
void receive_pool_state(intake& intake,
                        const wire::pool_state& state,
                        unix_ms now,
                        intake_output& out);

// Returns the hello that is sent to the owner of a pool several times a second.
wire::pool_hello make_pool_hello(const intake& intake, const std::string& name);

// Takes results of runs that the process `from` reported, and answers the jobs
// that have ended. `from` is asked to release runs of unknown jobs.
void receive_run_results(intake& intake,
                         const std::string& from,
                         const wire::run_results& results,
                         unix_ms now,
                         intake_output& out);

// Takes the confirmation of a release, and answers the job that waited for it.
void receive_run_released(intake& intake,
                          const wire::run_released& released,
                          unix_ms now,
                          intake_output& out);

// Ends jobs whose deadline has passed and sends what is due again. To be called
// every few tens of milliseconds.
void tick_intake(intake& intake, unix_ms now, intake_output& out);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_INTAKE_H_
