// The callers' part of an entry host: jobs that wait for their answer here.
//
// A job's steps are sent to the owners of pools of upstreams (pool_name.h), its
// tasks are reported back one by one, and the caller is answered when all have
// ended. Nothing is stored: a job lives as long as its caller's connection.
//
//   intake intake;
//   learn_routes(intake, table);
//   call_arrived(intake, call, now, out);
//   ... run results, pool states, grants, ticks ...
//
// Each task goes to the pool that pool_choice.h names.
#ifndef CYCLAMENWOOD_INTAKE_H_
#define CYCLAMENWOOD_INTAKE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cyclamenwood/error.h"
#include "cyclamenwood/pool_choice.h"
#include "cyclamenwood/route_table.h"
#include "cyclamenwood/types.h"
#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

// One step of a job: `count` equal tasks.
struct step_spec {
  uint32_t count = 0;
  wire::room need;
  int64_t estimate_ms = 0;
  // Earlier steps that must be complete.
  std::vector<uint32_t> depends_on;
  // A label that the upstream must have; empty: any.
  std::string label;
  // The rack where the data is; empty: any.
  std::string rack;
};

struct job_spec {
  std::string spec;
  std::vector<step_spec> steps;
  // The job is answered when it has ended, and not stored.
  bool best_effort = false;
  // What the job asks for that is not served here; empty: nothing.
  std::string not_served;
};

enum class call_kind { submit, show, cancel };

// A request of a caller, read but not yet looked up.
struct caller_call {
  uint64_t exchange = 0;
  call_kind kind = call_kind::submit;
  std::string host;
  std::string path;
  // How long the caller waits; 0: not told.
  int64_t wait_ms = 0;
  // Submissions only.
  result<job_spec> job;
};

enum class caller_outcome {
  completed,
  // A task failed as often as its route allows.
  failed,
  // Nothing has run nor will.
  refused,
  // It was ended here: it can't be complete before its caller leaves.
  given_up,
  // Some of it may have run, or may still.
  unknown,
  no_route,
  no_job,
  malformed,
  // `pending` jobs of the queue have not begun.
  count,
  cancelled,
};

// The name used in logs.
std::string_view to_string(caller_outcome outcome);

struct caller_answer {
  uint64_t exchange = 0;
  caller_outcome outcome = caller_outcome::refused;
  // When a refused caller may come back.
  int64_t retry_after_ms = 0;
  int64_t pending = 0;
  // Of jobs: their queue, and the time since they arrived here.
  std::string queue;
  int64_t elapsed_ms = 0;
};

struct intake_task {
  bool ended = false;
  // Where it was sent; empty: nowhere so far.
  std::string pool;
};

struct intake_step {
  std::vector<intake_task> tasks;
  // Tasks that have not ended.
  size_t missing = 0;
};

struct intake_job {
  std::string id;
  std::vector<uint64_t> exchanges;
  route queue;
  job_spec job;
  std::vector<intake_step> steps;
  unix_ms arrived_ms = 0;
  unix_ms deadline_ms = 0;
  unix_ms aim_ms = 0;
  // Pools that tasks were sent to, with their owners' tokens then.
  std::map<std::string, uint64_t> pools;
  unix_ms sent_ms = 0;
  // A task may have begun.
  bool started = false;
};

using grant_list = google::protobuf::RepeatedPtrField<wire::owner_grant>;

// What is known of one pool.
struct known_pool {
  uint64_t token = 0;
  unix_ms heard_ms = 0;
  // The owner's clock when it told this.
  int64_t clock_ms = 0;
  // Messages to and from this owner; see pool_hello and pool_state.
  uint64_t requests_sent = 0;
  uint64_t results_received = 0;
  // When this owner was first heard.
  unix_ms since_ms = 0;
  // The owner's upstreams, as of its list's version, and those of the owners
  // before it whose runs may last.
  uint64_t upstreams_version = 0;
  std::vector<std::string> upstreams;
  std::vector<std::string> former_upstreams;
  // By service.
  std::map<std::string, pool_room> rooms;
};

struct intake {
  std::string zone;
  // This process, as grants name it.
  std::string host;
  uint64_t next_submission = 1;
  // The process ends then: what is open is answered, and calls whose job may
  // not end before are refused.
  unix_ms answer_by_ms = INT64_MAX;
  std::optional<route_table> routes;
  // By the pool's name.
  std::map<std::string, wire::owner_grant> grants;
  // The highest token among them.
  uint64_t have_token = 0;
  std::map<std::string, known_pool> pools;
  std::map<uint64_t, intake_job> jobs;
  // Submissions by the job's id.
  std::map<std::string, uint64_t> by_id;
};

struct intake_output {
  std::vector<caller_answer> answers;
  std::vector<std::pair<std::string, wire::envelope>> messages;
  std::vector<log_event> notes;
};

void call_arrived(intake& intake,
                  const caller_call& call,
                  unix_ms now,
                  intake_output& out);
// The caller closed its connection.
void caller_left(intake& intake, uint64_t exchange, intake_output& out);

// Returns whether an owner changed: it is to be greeted at once.
bool learn_grants(intake& intake, const grant_list& grants);
void hear_pool(intake& intake,
               const wire::pool_state& state,
               unix_ms now,
               intake_output& out);

// What this entry host says to the owner of a pool a few times a second.
wire::pool_hello make_pool_hello(const intake& intake, const std::string& name);
void take_results(intake& intake,
                  const std::string& from,
                  const wire::run_results& results,
                  unix_ms now,
                  intake_output& out);
void tick_intake(intake& intake, unix_ms now, intake_output& out);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_INTAKE_H_
