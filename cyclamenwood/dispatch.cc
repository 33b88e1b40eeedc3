// Queues tasks, starts attempts and evaluates how they end.
//
// start_attempt() is the only place that emits a start effect. A task of a
// keyed job returns to the queue only if its attempt provably did not start; a
// task of an idempotent request also after a failure, within the retry budget.
#include <fmt/format.h>

#include <algorithm>

#include "cyclamenwood/entry_internal.h"
#include "cyclamenwood/router.h"

namespace cyclamenwood {
namespace {

constexpr double ESTIMATE_WEIGHT = 0.1;
constexpr double MAX_RETRY_TOKENS = 100;
constexpr double PERCENT = 100;

double cost_of(const entry_state& state,
               const job& owned,
               std::string_view service) {
  return estimate_ms(state, service, owned.request.class_name);
}

queue_entry queue_entry_of(const job& owned) {
  return {owned.request.deadline_ms, owned.sequence};
}

void change_queued(reduction& r,
                   const job& owned,
                   const std::string& service,
                   int64_t change) {
  service_load& load = r.state.services[service];
  load.queued += change;
  double& cost = load.queued_cost_ms[owned.request.class_name];
  cost += static_cast<double>(change) * cost_of(r.state, owned, service);
  // The estimate may change between the addition and the removal of a task,
  // so the sum drifts. It is reset when the queue is empty.
  if (load.queued == 0)
    load.queued_cost_ms.clear();
  else
    cost = std::max(cost, 0.0);
  r.state.queued_tasks += change;
  r.state.tenants[owned.request.id.tenant].queued += change;
}

void change_running(reduction& r,
                    const job& owned,
                    const std::string& service,
                    int64_t change) {
  r.state.services[service].running += change;
  r.state.tenants[owned.request.id.tenant].running += change;
}

void enqueue_task(reduction& r, job& owned, size_t task) {
  const std::string& service = owned.request.tasks[task].service;
  std::set<size_t>& waiting = owned.waiting[service];
  if (waiting.empty())
    queue_push(r.state.services[service].queue, owned.request.class_name,
               owned.request.id.tenant, queue_entry_of(owned));
  waiting.insert(task);
  owned.tasks[task].phase = task_phase::waiting;
  change_queued(r, owned, service, 1);
}

void dequeue_task(reduction& r,
                  job& owned,
                  const std::string& service,
                  size_t task) {
  auto waiting = owned.waiting.find(service);
  waiting->second.erase(task);
  if (waiting->second.empty()) {
    queue_remove(r.state.services[service].queue, owned.request.class_name,
                 owned.request.id.tenant, queue_entry_of(owned));
    owned.waiting.erase(waiting);
  }
  change_queued(r, owned, service, -1);
}

const service_policy& policy_of(const entry_state& state,
                                std::string_view service) {
  static const service_policy default_policy;
  const auto& services = state.config.in_force->services;
  auto found = services.find(service);
  return found == services.end() ? default_policy : found->second;
}

// Starts one attempt of a task that was just removed from the queue.
void start_attempt(reduction& r,
                   job& owned,
                   size_t task,
                   const upstream_view& upstream) {
  const task_spec& spec = owned.request.tasks[task];
  const service_policy& policy = policy_of(r.state, spec.service);
  uint64_t attempt_id = new_id(r.state);
  job_task& state = owned.tasks[task];
  ++state.attempts;
  state.phase = task_phase::running;
  ++owned.starts;
  owned.running_attempts.insert(attempt_id);
  if (owned.first_start_ms == 0)
    owned.first_start_ms = r.now;

  running_attempt attempt;
  attempt.job = owned.sequence;
  attempt.task = task;
  attempt.upstream_id = upstream.record.id();
  attempt.address = upstream.record.address();
  attempt.identity =
      fmt::format("{}/{:x}/{}/{}/{}", r.state.host, r.state.incarnation,
                  owned.sequence, task, state.attempts);
  attempt.started_ms = r.now;
  attempt.timeout_ms = r.now + policy.task_timeout_ms;

  entry_start_task start;
  start.attempt_id = attempt_id;
  start.upstream_id = attempt.upstream_id;
  start.address = attempt.address;
  start.identity = attempt.identity;
  start.id = owned.request.id;
  start.task_index = task;
  start.payload = spec.payload;
  start.deadline_ms = std::min(owned.request.deadline_ms, attempt.timeout_ms);
  start.max_answer_bytes = policy.max_answer_bytes;

  upstream_health& health =
      health_of(r.state.health, upstream.record.id(), upstream.record.service(),
                upstream.record.zone(), upstream.record.incarnation());
  ++health.running;
  change_running(r, owned, spec.service, 1);
  r.state.attempts.emplace(attempt_id, std::move(attempt));
  if (state.attempts == 1) {
    double share =
        static_cast<double>(r.state.config.in_force->retry_budget_percent) /
        PERCENT;
    r.state.retry_tokens =
        std::min(MAX_RETRY_TOKENS, r.state.retry_tokens + share);
  }
  count(r, counter::task_starts);
  emit(r, std::move(start));
}

// Dispatches one task of the service. Returns false if none can be started.
bool dispatch_one(reduction& r, const std::string& service) {
  service_load& load = r.state.services[service];
  const bundle& config = *r.state.config.in_force;
  auto allowed = [&](std::string_view tenant) {
    auto policy = config.tenants.find(tenant);
    auto running = r.state.tenants.find(tenant);
    return policy == config.tenants.end() || running == r.state.tenants.end() ||
           running->second.running < policy->second.max_running_tasks;
  };
  std::optional<queue_pick> next = queue_next(load.queue, allowed);
  if (!next)
    return false;
  job& owned = r.state.jobs.at(next->job);
  // The deadline is checked again here, because a process that was suspended
  // must not start a task after its deadline.
  if (r.now >= owned.request.deadline_ms) {
    fail_job(r, owned, error{error_code::deadline_passed, "while queued"});
    return true;
  }
  size_t task = *owned.waiting.at(service).begin();
  const upstream_view* upstream =
      choose_upstream(r.state, service, owned.tasks[task].tried, r.now);
  if (upstream == nullptr) {
    load.blocked = true;
    return false;
  }
  auto weight = [](const auto& policies, std::string_view name) {
    auto policy = policies.find(name);
    return policy == policies.end()
               ? 1.0
               : static_cast<double>(policy->second.weight);
  };
  queue_charge(load.queue, *next, cost_of(r.state, owned, service),
               weight(config.classes, next->class_name),
               weight(config.tenants, next->tenant));
  dequeue_task(r, owned, service, task);
  start_attempt(r, owned, task, *upstream);
  return true;
}

void update_estimate(reduction& r,
                     const job& owned,
                     const running_attempt& attempt) {
  const std::string& service = owned.request.tasks[attempt.task].service;
  auto observed = static_cast<double>(r.now - attempt.started_ms);
  double known = estimate_ms(r.state, service, owned.request.class_name);
  r.state.estimates_ms[{service, owned.request.class_name}] =
      known + ESTIMATE_WEIGHT * (observed - known);
}

void complete_task(reduction& r,
                   job& owned,
                   const running_attempt& attempt,
                   std::string body) {
  update_estimate(r, owned, attempt);
  job_task& task = owned.tasks[attempt.task];
  task.phase = task_phase::complete;
  task.result = std::move(body);
  owned.longest_task_ms =
      std::max(owned.longest_task_ms, r.now - attempt.started_ms);
  ++owned.completed;
  if (owned.completed < owned.tasks.size())
    return;
  std::vector<std::string> results;
  for (job_task& done : owned.tasks)
    results.push_back(std::move(done.result));
  std::optional<api_answer> whole =
      complete_answer(owned.request, results, version_in_force(r.state));
  if (whole)
    finish_job(r, owned, std::move(*whole), "complete");
  else
    fail_job(r, owned,
             error{error_code::answer_mismatch, "result is not valid UTF-8"},
             execution::ran);
}

// Takes a token from the retry budget. Returns whether a task that may have run
// can be retried, which requires an idempotent request and an attempt left.
bool consume_retry_token(entry_state& state,
                         const job& owned,
                         const job_task& task) {
  bool allowed = owned.request.idempotent && state.retry_tokens >= 1 &&
                 task.attempts < state.options.dispatch.max_attempts;
  if (allowed)
    state.retry_tokens -= 1;
  return allowed;
}

void retry_task(reduction& r, job& owned, const running_attempt& attempt) {
  owned.tasks[attempt.task].tried.insert(attempt.upstream_id);
  count(r, counter::task_retries);
  enqueue_task(r, owned, attempt.task);
}

void not_started(reduction& r, job& owned, const running_attempt& attempt) {
  --owned.starts;
  job_task& task = owned.tasks[attempt.task];
  if (task.attempts < r.state.options.dispatch.max_attempts) {
    retry_task(r, owned, attempt);
    return;
  }
  fail_job(r, owned, error{error_code::no_upstream, attempt.upstream_id});
}

error failure_of(task_outcome outcome, const running_attempt& attempt) {
  std::string where =
      fmt::format("task {} at {}", attempt.task, attempt.upstream_id);
  switch (outcome) {
    case task_outcome::failed:
      return error{error_code::task_failed, where};
    case task_outcome::too_large:
      return error{error_code::answer_too_large, where};
    default:
      return error{error_code::task_outcome_unknown, where};
  }
}

attempt_verdict verdict_of(task_outcome outcome) {
  switch (outcome) {
    case task_outcome::completed:
      return attempt_verdict::succeeded;
    case task_outcome::not_started:
    case task_outcome::too_large:
      return attempt_verdict::neutral;
    default:
      return attempt_verdict::failed;
  }
}

// Returns the outcome of the attempt. An answer that does not echo the
// attempt's identity is treated as if none had been received.
task_outcome check_identity(reduction& r,
                            const entry_task_ended& event,
                            const running_attempt& attempt) {
  bool has_answer = event.outcome == task_outcome::completed ||
                    event.outcome == task_outcome::failed ||
                    event.outcome == task_outcome::not_started;
  if (!has_answer || event.echoed_identity == attempt.identity)
    return event.outcome;
  count(r, counter::mismatched_answers);
  return task_outcome::incomplete;
}

void release_attempt(reduction& r,
                     job& owned,
                     uint64_t attempt_id,
                     const running_attempt& attempt) {
  owned.running_attempts.erase(attempt_id);
  change_running(r, owned, owned.request.tasks[attempt.task].service, -1);
  auto health = r.state.health.upstreams.find(attempt.upstream_id);
  if (health != r.state.health.upstreams.end() && health->second.running > 0)
    --health->second.running;
  unblock(r.state);
}

void end_attempt(reduction& r,
                 uint64_t attempt_id,
                 task_outcome outcome,
                 std::string body) {
  auto found = r.state.attempts.find(attempt_id);
  running_attempt attempt = std::move(found->second);
  r.state.attempts.erase(found);
  job& owned = r.state.jobs.at(attempt.job);
  bool ejected = health_record(r.state.health, attempt.upstream_id,
                               verdict_of(outcome), r.now);
  release_attempt(r, owned, attempt_id, attempt);
  if (ejected) {
    count(r, counter::upstream_ejections);
    log_event(r, "upstream_ejected", attempt.upstream_id);
  }
  switch (outcome) {
    case task_outcome::completed:
      complete_task(r, owned, attempt, std::move(body));
      return;
    case task_outcome::not_connected:
    case task_outcome::not_started:
      not_started(r, owned, attempt);
      return;
    default:
      break;
  }
  bool outcome_known =
      outcome == task_outcome::failed || outcome == task_outcome::too_large;
  if (consume_retry_token(r.state, owned, owned.tasks[attempt.task])) {
    retry_task(r, owned, attempt);
    return;
  }
  owned.outcome_unknown = owned.outcome_unknown || !outcome_known;
  fail_job(r, owned, failure_of(outcome, attempt));
}

}  // namespace

double estimate_ms(const entry_state& state,
                   std::string_view service,
                   std::string_view class_name) {
  auto found =
      state.estimates_ms.find({std::string(service), std::string(class_name)});
  if (found != state.estimates_ms.end())
    return std::max(found->second, 1.0);
  return static_cast<double>(policy_of(state, service).default_time_ms);
}

void enqueue_tasks(reduction& r, job& owned) {
  owned.tasks.assign(owned.request.tasks.size(), job_task());
  for (size_t task = 0; task < owned.tasks.size(); ++task)
    enqueue_task(r, owned, task);
}

void cancel_tasks(reduction& r, job& ended) {
  while (!ended.waiting.empty()) {
    std::string service = ended.waiting.begin()->first;
    size_t task = *ended.waiting.begin()->second.begin();
    dequeue_task(r, ended, service, task);
  }
  std::set<uint64_t> running = ended.running_attempts;
  for (uint64_t attempt_id : running) {
    auto found = r.state.attempts.find(attempt_id);
    running_attempt attempt = std::move(found->second);
    r.state.attempts.erase(found);
    release_attempt(r, ended, attempt_id, attempt);
    count(r, counter::task_cancels);
    emit(r, entry_cancel_task{attempt_id, attempt.address, attempt.identity});
  }
}

void unblock(entry_state& state) {
  for (auto& [service, load] : state.services)
    load.blocked = false;
}

void dispatch(reduction& r) {
  if (!r.state.config.in_force)
    return;
  std::vector<std::string> services;
  for (const auto& [service, load] : r.state.services) {
    if (load.queued > 0 && !load.blocked)
      services.push_back(service);
  }
  for (const std::string& service : services) {
    while (dispatch_one(r, service)) {
    }
  }
}

void task_ended(reduction& r, const entry_task_ended& event) {
  auto found = r.state.attempts.find(event.attempt_id);
  if (found == r.state.attempts.end()) {
    count(r, counter::late_answers);
    return;
  }
  task_outcome outcome = check_identity(r, event, found->second);
  end_attempt(r, event.attempt_id, outcome, event.body);
  dispatch(r);
}

void time_out_attempts(reduction& r) {
  std::vector<uint64_t> late;
  for (const auto& [attempt_id, attempt] : r.state.attempts) {
    if (r.now >= attempt.timeout_ms)
      late.push_back(attempt_id);
  }
  for (uint64_t attempt_id : late) {
    auto found = r.state.attempts.find(attempt_id);
    if (found == r.state.attempts.end())
      continue;
    emit(r, entry_cancel_task{attempt_id, found->second.address,
                              found->second.identity});
    count(r, counter::task_cancels);
    end_attempt(r, attempt_id, task_outcome::timed_out, {});
  }
}

}  // namespace cyclamenwood
