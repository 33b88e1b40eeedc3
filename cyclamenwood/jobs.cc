// The state machine of a job at an entry host.
//
//   submit --admitted--> claiming --granted--> active --> finished
//      |                    |  \--owned elsewhere--> attached --> (erased)
//      \--refused--> checking --granted--> finished, answered `not_run`
//
// This host cannot decide on its own that a refused keyed submission is
// answered `not_run`: another entry host may have run the key, or may yet run
// it for an earlier copy of the submission that the caller has abandoned. If a
// submission is refused for lack of capacity, its key is therefore claimed
// first, so that any other request for the key, delayed copies included, is
// directed to this host and finds the refusal. If a submission would be refused
// by every host (an unknown name, a deadline in the past), its key is only
// looked up. Without a reply from the claims group, a refusal reports
// `unknown`.
//
// A job that was refused and has not run can be submitted again. For callers at
// other entry hosts, only a submission that arrived after the refusal counts
// as a new one (see job_query.cc).
//
// Idempotent requests have no key; they become active on submission.
#include <fmt/format.h>

#include <algorithm>

#include "cyclamenwood/entry_internal.h"
#include "cyclamenwood/router.h"

namespace cyclamenwood {
namespace {

constexpr int64_t PERCENT = 100;
constexpr int STATUS_OK = 200;

int64_t response_bytes(const job& ended) {
  return ended.answer ? static_cast<int64_t>(ended.answer->body.size()) : 0;
}

void add_waiter(reduction& r,
                job& awaited,
                uint64_t caller,
                unix_ms deadline_ms) {
  awaited.local_waiters.push_back({caller, deadline_ms});
  r.state.job_of_caller[caller] = awaited.sequence;
  r.state.deadlines.emplace(deadline_ms, awaited.sequence);
}

void answer_waiters(reduction& r, job& ended, const api_answer& reply) {
  for (const local_waiter& waiter : ended.local_waiters) {
    answer(r, waiter.caller, reply);
    r.state.job_of_caller.erase(waiter.caller);
  }
  ended.local_waiters.clear();
  for (const remote_waiter& waiter : ended.remote_waiters)
    send_job_answer(r, waiter, reply);
  ended.remote_waiters.clear();
}

void erase_job(entry_state& state, const job& erased) {
  auto by_id = state.job_by_id.find(erased.request.id);
  if (by_id != state.job_by_id.end() && by_id->second == erased.sequence)
    state.job_by_id.erase(by_id);
  std::erase_if(state.claims, [&erased](const auto& item) {
    return item.second.job == erased.sequence;
  });
  std::erase_if(state.queries, [&erased](const auto& item) {
    return item.second.job == erased.sequence;
  });
  state.jobs.erase(erased.sequence);
}

std::optional<error> check_names(const entry_state& state,
                                 const submission& request) {
  const bundle& config = *state.config.in_force;
  if (!config.tenants.contains(request.id.tenant))
    return error{error_code::unknown_tenant, request.id.tenant};
  if (!config.classes.contains(request.class_name))
    return error{error_code::unknown_class, request.class_name};
  for (const task_spec& task : request.tasks) {
    if (!config.services.contains(task.service))
      return error{error_code::unknown_service, task.service};
  }
  return std::nullopt;
}

std::optional<error> check_capacity(const entry_state& state,
                                    const submission& request) {
  auto wanted = static_cast<int64_t>(request.tasks.size());
  if (state.queued_tasks + wanted > state.options.dispatch.max_queued_tasks)
    return error{error_code::queue_full, "entry host"};
  const bundle& config = *state.config.in_force;
  const tenant_policy& policy = config.tenants.at(request.id.tenant);
  auto load = state.tenants.find(request.id.tenant);
  int64_t queued = load == state.tenants.end() ? 0 : load->second.queued;
  if (queued + wanted > policy.max_queued_tasks)
    return error{error_code::quota_exceeded, "max_queued_tasks"};
  return std::nullopt;
}

// Returns the share of the dispatches that the class gets while every class
// that now has queued work for the service continues to have some.
double class_share(const entry_state& state,
                   const service_load& load,
                   std::string_view class_name) {
  const bundle& config = *state.config.in_force;
  double own = 1;
  double total = 0;
  for (const auto& [name, policy] : config.classes) {
    auto flow = load.queue.classes.find(name);
    bool active = name == class_name || (flow != load.queue.classes.end() &&
                                         !flow->second.tenants.empty());
    if (!active)
      continue;
    total += static_cast<double>(policy.weight);
    if (name == class_name)
      own = static_cast<double>(policy.weight);
  }
  return total == 0 ? 1 : own / total;
}

// Checks whether the job's tasks can be completed before the deadline, behind
// the work already queued for the class at the class's share of the slots.
// Otherwise the job would be admitted only to fail later.
std::optional<error> check_reachable(entry_state& state,
                                     const submission& request,
                                     unix_ms now) {
  std::map<std::string_view, int64_t> tasks;
  for (const task_spec& task : request.tasks)
    ++tasks[task.service];
  for (const auto& [service, wanted] : tasks) {
    double slots = expected_slots(state, service, now);
    if (slots <= 0)
      continue;
    double own_ms = estimate_ms(state, service, request.class_name);
    double queued_ms = 0;
    auto load = state.services.find(service);
    if (load != state.services.end()) {
      double share = class_share(state, load->second, request.class_name);
      auto queued = load->second.queued_cost_ms.find(request.class_name);
      if (queued != load->second.queued_cost_ms.end())
        queued_ms = queued->second / share;
    }
    double work_ms = (queued_ms + own_ms * static_cast<double>(wanted)) / slots;
    double needed_ms = std::max(own_ms, work_ms);
    double allowance =
        static_cast<double>(state.options.dispatch.early_refusal_percent) /
        PERCENT;
    if (static_cast<double>(now) + needed_ms * allowance >
        static_cast<double>(request.deadline_ms))
      return error{error_code::deadline_unreachable,
                   fmt::format("{} needs about {:.0f} ms", service, needed_ms)};
  }
  return std::nullopt;
}

// Returns the reason why the submission cannot be admitted now, if any.
std::optional<error> check_admission(entry_state& state,
                                     const submission& request,
                                     unix_ms now) {
  if (state.refusing)
    return error{error_code::draining, state.host};
  if (now >= request.deadline_ms)
    return error{error_code::deadline_passed, "on arrival"};
  if (auto failed = check_names(state, request))
    return failed;
  if (auto failed = check_capacity(state, request))
    return failed;
  return check_reachable(state, request, now);
}

job& create_job(reduction& r, submission request) {
  uint64_t sequence = new_id(r.state);
  job& created = r.state.jobs[sequence];
  created.sequence = sequence;
  created.claim_id = sequence;
  created.submitted_ms = r.now;
  created.digest = submission_digest(request);
  created.request = std::move(request);
  if (!created.request.id.key.empty())
    r.state.job_by_id[created.request.id] = sequence;
  r.state.deadlines.emplace(created.request.deadline_ms, sequence);
  return created;
}

bool key_expired(const entry_state& state,
                 const submission& request,
                 unix_ms now) {
  parsed_key key = parse_key(request.id.tenant, request.id.key,
                             state.config.in_force->zones);
  return key.expiry_ms != 0 && now >= key.expiry_ms;
}

// Returns whether every entry host would refuse the submission, as opposed to
// a refusal for lack of capacity at this one.
bool is_permanent(const error& refusal) {
  switch (refusal.code) {
    case error_code::unknown_tenant:
    case error_code::unknown_class:
    case error_code::unknown_service:
    case error_code::deadline_passed:
      return true;
    default:
      return false;
  }
}

// Requests the claim of an admitted keyed job, or the claim or lookup that
// decides which execution state the refusal of a job can report.
void start_keyed(reduction& r,
                 job& created,
                 const std::optional<error>& refusal) {
  created.refusal = refusal;
  created.phase = refusal ? job_phase::checking : job_phase::claiming;
  // A process that is about to stop must not acquire the ownership of a key.
  if (refusal && refusal->code == error_code::draining) {
    fail_job(r, created, *refusal, execution::unknown);
    return;
  }
  request_claim(r, created, refusal && is_permanent(*refusal));
}

// Submits a finished job again under its previous claim id. None of its tasks
// has started.
void readmit(reduction& r, job& refused, submission request) {
  r.state.finished_bytes -= response_bytes(refused);
  refused.answer.reset();
  refused.request = std::move(request);
  refused.submitted_ms = r.now;
  refused.tasks.clear();
  refused.waiting.clear();
  refused.completed = 0;
  r.state.deadlines.emplace(refused.request.deadline_ms, refused.sequence);
  std::optional<error> refusal =
      check_admission(r.state, refused.request, r.now);
  // No task of this job has started, and the key is owned by this host or by
  // none. Only a claim or lookup tells which.
  start_keyed(r, refused, refusal);
}

void handle_duplicate(reduction& r,
                      job& known,
                      uint64_t caller,
                      submission request) {
  count(r, counter::duplicate_submissions);
  if (known.digest != submission_digest(request)) {
    refuse(r, caller, error{error_code::key_conflict, request.id.key},
           known.digest_confirmed ? execution::not_run : execution::unknown);
    return;
  }
  if (may_run_again(known)) {
    add_waiter(r, known, caller, request.deadline_ms);
    readmit(r, known, std::move(request));
    return;
  }
  if (known.phase == job_phase::finished) {
    answer(r, caller, *known.answer);
    return;
  }
  if (!request.wait) {
    answer(r, caller, describe_job(r.state, known));
    return;
  }
  add_waiter(r, known, caller, request.deadline_ms);
}

void observe(reduction& r, const job& ended, std::string_view outcome) {
  entry_job_finished seen;
  seen.tenant = ended.request.id.tenant;
  seen.class_name = ended.request.class_name;
  seen.response_ms = r.now - ended.submitted_ms;
  unix_ms started = ended.first_start_ms == 0 ? r.now : ended.first_start_ms;
  seen.queue_ms = started - ended.submitted_ms;
  seen.ideal_ms = ended.longest_task_ms;
  seen.outcome = outcome;
  emit(r, std::move(seen));
}

execution known_execution(const job& ended) {
  if (ended.phase != job_phase::active)
    return execution::unknown;
  if (ended.starts == 0)
    return execution::not_run;
  if (ended.outcome_unknown || !ended.running_attempts.empty())
    return execution::unknown;
  return execution::ran;
}

// Answers only those waiters whose own deadline has passed.
void expire_waiters(reduction& r, job& awaited) {
  std::erase_if(awaited.local_waiters, [&](const local_waiter& waiter) {
    if (r.now < waiter.deadline_ms)
      return false;
    refuse(r, waiter.caller,
           error{error_code::deadline_passed, "while waiting for the answer"},
           execution::unknown);
    r.state.job_of_caller.erase(waiter.caller);
    return true;
  });
}

}  // namespace

bool may_run_again(const job& ended) {
  return ended.phase == job_phase::finished && ended.starts == 0 &&
         ended.refusal.has_value() &&
         ended.refusal->code != error_code::cancelled;
}

job* find_job(entry_state& state, uint64_t sequence) {
  auto found = state.jobs.find(sequence);
  return found == state.jobs.end() ? nullptr : &found->second;
}

job* find_job(entry_state& state, const job_id& id) {
  auto found = state.job_by_id.find(id);
  return found == state.job_by_id.end() ? nullptr
                                        : find_job(state, found->second);
}

void submit(reduction& r, uint64_t caller, submission request) {
  bool keyed = !request.id.key.empty();
  // Without a bundle, the home zone of the key is unknown, so its claim cannot
  // be looked up.
  if (!r.state.config.in_force) {
    refuse(r, caller, error{error_code::bundle_missing, r.state.host},
           keyed ? execution::unknown : execution::not_run);
    return;
  }
  if (keyed) {
    if (job* known = find_job(r.state, request.id)) {
      handle_duplicate(r, *known, caller, std::move(request));
      return;
    }
    if (key_expired(r.state, request, r.now)) {
      refuse(r, caller, error{error_code::key_expired, request.id.key},
             execution::unknown);
      return;
    }
  }
  std::optional<error> refusal = check_admission(r.state, request, r.now);
  if (refusal && !keyed) {
    refuse(r, caller, *refusal, execution::not_run);
    return;
  }
  job& created = create_job(r, std::move(request));
  // Callers that do not wait for the results are answered once the claim is
  // decided.
  unix_ms deadline_ms = refusal
                            ? r.now + r.state.options.dispatch.claim_timeout_ms
                            : created.request.deadline_ms;
  add_waiter(r, created, caller, deadline_ms);
  if (keyed)
    start_keyed(r, created, refusal);
  else
    activate(r, created);
}

void resubmit_for_peer(reduction& r,
                       job& refused,
                       submission request,
                       const remote_waiter& waiter) {
  refused.remote_waiters.insert(waiter);
  readmit(r, refused, std::move(request));
}

void activate(reduction& r, job& owned) {
  owned.phase = job_phase::active;
  owned.refusal.reset();
  if (r.now >= owned.request.deadline_ms) {
    fail_job(r, owned,
             error{error_code::deadline_passed, "before any task was started"});
    return;
  }
  if (!owned.request.wait) {
    api_answer accepted = describe_job(r.state, owned);
    for (const local_waiter& waiter : owned.local_waiters) {
      answer(r, waiter.caller, accepted);
      r.state.job_of_caller.erase(waiter.caller);
    }
    owned.local_waiters.clear();
  }
  enqueue_tasks(r, owned);
  dispatch(r);
}

void attach(reduction& r, job& waiting, const entry_instance& owner) {
  bool own = owner.host == r.state.host;
  if (own) {
    // Owned by this host under another claim id or incarnation, whose state
    // is no longer held.
    error_code code = owner.incarnation == r.state.incarnation
                          ? error_code::answer_not_held
                          : error_code::owner_unreachable;
    fail_job(r, waiting, error{code, owner.host}, execution::unknown);
    return;
  }
  waiting.phase = job_phase::attached;
  waiting.refusal.reset();
  query_owner(r, wire::JOB_ATTACH, waiting.request.id, owner, &waiting, 0);
}

void finish_job(reduction& r,
                job& ended,
                api_answer reply,
                std::string_view outcome) {
  cancel_tasks(r, ended);
  bool owned =
      ended.phase == job_phase::active || ended.phase == job_phase::claiming;
  if (owned)
    observe(r, ended, outcome);
  answer_waiters(r, ended, reply);
  if (!owned || ended.request.id.key.empty()) {
    erase_job(r.state, ended);
    return;
  }
  std::erase_if(r.state.claims, [&ended](const auto& item) {
    return item.second.job == ended.sequence;
  });
  ended.phase = job_phase::finished;
  ended.finished_ms = r.now;
  ended.answer = std::move(reply);
  int64_t retention_ms =
      r.state.config.in_force->answer_retention_s * MS_PER_SECOND;
  ended.evict_at_ms = r.now + retention_ms;
  ended.tasks.clear();
  ended.request.tasks.clear();
  ended.request.body.clear();
  r.state.finished.push_back(ended.sequence);
  r.state.finished_bytes += response_bytes(ended);
}

void fail_job(reduction& r,
              job& failed,
              const error& reason,
              execution executed) {
  failed.refusal = reason;
  finish_job(r, failed,
             failure_answer(reason, executed, version_in_force(r.state)),
             to_string(reason.code));
}

void fail_job(reduction& r, job& failed, const error& reason) {
  fail_job(r, failed, reason, known_execution(failed));
}

api_answer describe_job(const entry_state& state, const job& shown) {
  if (shown.answer)
    return *shown.answer;
  std::string_view name = "claiming";
  if (shown.phase == job_phase::active)
    name = shown.running_attempts.empty() ? "queued" : "running";
  if (shown.phase == job_phase::attached)
    name = "running";
  return job_state_answer(shown.request.id, name, version_in_force(state));
}

void job_command(reduction& r, const entry_job_command& command) {
  if (!r.state.config.in_force) {
    refuse(r, command.caller, error{error_code::bundle_missing, r.state.host},
           execution::unknown);
    return;
  }
  job* known = find_job(r.state, command.id);
  bool here = known != nullptr && (known->phase == job_phase::active ||
                                   known->phase == job_phase::claiming ||
                                   known->phase == job_phase::finished);
  if (!here) {
    look_up_for_command(r, command);
    return;
  }
  if (command.verb == job_verb::cancel && known->phase != job_phase::finished) {
    error reason{error_code::cancelled, known->request.id.key};
    execution executed = known_execution(*known);
    fail_job(r, *known, reason, executed);
    api_answer done =
        failure_answer(reason, executed, version_in_force(r.state));
    done.status = STATUS_OK;
    answer(r, command.caller, std::move(done));
    return;
  }
  answer(r, command.caller, describe_job(r.state, *known));
}

void caller_disconnected(reduction& r, uint64_t caller) {
  std::erase_if(r.state.roll_outs, [caller](const auto& item) {
    return item.second.caller == caller;
  });
  auto found = r.state.job_of_caller.find(caller);
  if (found == r.state.job_of_caller.end())
    return;
  job* awaited = find_job(r.state, found->second);
  r.state.job_of_caller.erase(found);
  if (awaited == nullptr)
    return;
  std::erase_if(awaited->local_waiters, [caller](const local_waiter& waiter) {
    return waiter.caller == caller;
  });
  // Without a key, the answer cannot be requested again.
  if (awaited->request.id.key.empty() && awaited->local_waiters.empty())
    fail_job(r, *awaited, error{error_code::cancelled, "caller disconnected"});
}

void expire_jobs(reduction& r) {
  while (!r.state.deadlines.empty() &&
         r.state.deadlines.begin()->first <= r.now) {
    uint64_t sequence = r.state.deadlines.begin()->second;
    r.state.deadlines.erase(r.state.deadlines.begin());
    job* expired = find_job(r.state, sequence);
    if (expired == nullptr || expired->phase == job_phase::finished)
      continue;
    bool whole_job = r.now >= expired->request.deadline_ms &&
                     expired->phase != job_phase::checking;
    if (whole_job)
      fail_job(r, *expired, error{error_code::deadline_passed, ""});
    else
      expire_waiters(r, *expired);
  }
}

void evict_finished(reduction& r) {
  int64_t max_bytes = r.state.options.dispatch.max_answer_store_bytes;
  while (!r.state.finished.empty()) {
    job* oldest = find_job(r.state, r.state.finished.front());
    bool stale = oldest == nullptr || oldest->phase != job_phase::finished;
    if (!stale) {
      bool over = r.state.finished_bytes > max_bytes;
      if (r.now < oldest->evict_at_ms && !over)
        return;
      r.state.finished_bytes -= response_bytes(*oldest);
      erase_job(r.state, *oldest);
    }
    r.state.finished.pop_front();
  }
}

}  // namespace cyclamenwood
