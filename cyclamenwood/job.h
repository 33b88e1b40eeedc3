// The state that an entry host keeps for each job: its tasks, its claim and
// the callers and entry hosts that wait for its answer.
#ifndef CYCLAMENWOOD_JOB_H_
#define CYCLAMENWOOD_JOB_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cyclamenwood/api.h"
#include "cyclamenwood/types.h"

namespace cyclamenwood {

enum class job_phase {
  // Failed admission. A claim or lookup is pending; its reply decides whether
  // the key may have run before, and thus what the refusal can report.
  checking,
  // Admitted; its claim is pending.
  claiming,
  // Owned by another entry host; waiting for that host's answer.
  attached,
  // Owned by this entry host; its tasks are queued or running.
  active,
  // Answered; the answer is kept for resubmissions.
  finished,
};

enum class task_phase { waiting, running, complete };

struct job_task {
  task_phase phase = task_phase::waiting;
  int64_t attempts = 0;
  std::string result;
  // Upstreams at which an earlier attempt failed or did not start.
  std::set<std::string> tried;
};

// A caller connected to this entry host that waits for the answer.
struct local_waiter {
  uint64_t caller = 0;
  unix_ms deadline_ms = 0;
};

// Another entry host that waits for the answer.
struct remote_waiter {
  std::string host;
  uint64_t query_id = 0;
  auto operator<=>(const remote_waiter&) const = default;
};

struct job {
  uint64_t sequence = 0;
  submission request;
  std::string digest;
  job_phase phase = job_phase::claiming;

  // Identifies this owner's claim. A resubmission of a job of which no task
  // has started uses the same id again.
  uint64_t claim_id = 0;
  // A claim was sent; it may be committed even if no reply was received.
  bool claim_sent = false;
  // The claims group has confirmed that this key is owned with this digest.
  // No submission of the key with another digest can have run.
  bool digest_confirmed = false;

  // Invariant: tasks.size() == request.tasks.size() while active.
  std::vector<job_task> tasks;
  // Indices of waiting tasks by service. Invariant: no set is empty, and the
  // job is in the queue of exactly the services listed here.
  std::map<std::string, std::set<size_t>> waiting;
  std::set<uint64_t> running_attempts;
  size_t completed = 0;
  // Number of attempts started, less those that provably did not start.
  int64_t starts = 0;
  // The outcome of at least one started attempt is unknown.
  bool outcome_unknown = false;

  std::vector<local_waiter> local_waiters;
  std::set<remote_waiter> remote_waiters;

  unix_ms submitted_ms = 0;
  unix_ms first_start_ms = 0;
  // Longest execution time of a task, measured at this entry host.
  int64_t longest_task_ms = 0;

  // The reason why the job was refused or failed. Set while phase is checking,
  // and after a failure.
  std::optional<error> refusal;
  // Set once the phase is finished.
  std::optional<api_answer> answer;
  unix_ms finished_ms = 0;
  unix_ms evict_at_ms = 0;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_JOB_H_
