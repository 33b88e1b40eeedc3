// Jobs as an entry host holds them.
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
  // To be refused; the claims group tells whether the key has run before.
  checking,
  // Waits for its claim.
  claiming,
  // Owned by another entry host, whose answer is awaited.
  attached,
  // Owned here: tasks wait or run.
  active,
  // Answered; kept for resubmissions.
  finished,
};

enum class task_phase { waiting, running, complete };

struct job_task {
  task_phase phase = task_phase::waiting;
  int64_t attempts = 0;
  std::string result;
  // Upstreams that refused or failed an attempt.
  std::set<std::string> tried;
};

// A caller of this entry host that waits for the answer.
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

  // Of this owner's claim. A resubmission of a job of which nothing started
  // claims with the same id again.
  uint64_t claim_id = 0;
  // A claim was sent; it may be committed even if no answer came.
  bool claim_sent = false;
  // The claims group has named the owner of this key and digest: any other
  // digest of the key can never have run.
  bool digest_decided = false;

  // Invariant: tasks.size() == request.tasks.size() while active.
  std::vector<job_task> tasks;
  // Waiting task indices by service. Services without any are removed, and
  // exactly those with some are in the service's queue.
  std::map<std::string, std::set<size_t>> waiting;
  std::set<uint64_t> running_attempts;
  size_t completed = 0;
  // Attempts that were started, less those that provably did not start.
  int64_t starts = 0;
  // The outcome of some started attempt is not known.
  bool outcome_unknown = false;

  std::vector<local_waiter> local_waiters;
  std::set<remote_waiter> remote_waiters;

  unix_ms submitted_ms = 0;
  unix_ms first_start_ms = 0;
  // Longest own time of a task, as seen from here.
  int64_t longest_task_ms = 0;

  // Set in phase checking: why the job is to be refused.
  std::optional<error> refusal;
  // Set in phase finished.
  std::optional<api_answer> answer;
  unix_ms finished_ms = 0;
  unix_ms forget_at_ms = 0;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_JOB_H_
