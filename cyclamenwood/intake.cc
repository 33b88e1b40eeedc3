// A job passes through four stages: its route is resolved, its steps are sent
// when the steps before them are complete, results are counted, and the caller
// is answered.
//
// Both sides count the messages that they exchange, and hellos carry the
// counts, so that lost messages are detected; missing tasks are then requested
// again. An owner recognizes a repeated request and only repeats the results.
// When a pool gets another owner, the missing tasks are requested from the new
// owner at once, and it adopts those that are running.
#include "cyclamenwood/intake.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

#include "cyclamenwood/admission.h"
#include "cyclamenwood/intake_internal.h"
#include "cyclamenwood/pool_name.h"

namespace cyclamenwood {
namespace {

// Missing results are requested again after this time, even if the message
// counts show no loss.
constexpr int64_t RESEND_MS = 2'000;
// Interval at which unassigned tasks are assigned again: that of the pool
// states that report free capacity.
constexpr int64_t UNASSIGNED_RETRY_MS = 100;
// Time for which runs of the previous owner may last: twice a lease.
constexpr int64_t FORMER_RUNS_MS = 2'000;
// A draining process accepts a job when this many times its estimated work, and
// a margin for queues and messages, fit before its end: estimates are off by up
// to 40%, and a slow task is moved once.
constexpr int64_t DRAIN_ALLOWANCE = 2;
constexpr int64_t DRAIN_MARGIN_MS = 300;

// The route of a call, and the part of its path after the route's prefix.
struct call_target {
  const route* queue = nullptr;
  std::string id;
};

call_target find_target(const intake& intake, const caller_call& call) {
  call_target target;
  target.queue = find_route(*intake.routes, call.host, call.path);
  if (target.queue != nullptr)
    target.id = call.path.substr(target.queue->path_prefix.size());
  return target;
}

// Returns the outcome of a job whose time is over. Reachable owners stop its
// runs when they receive the release; at an unreachable one, runs may go on.
caller_outcome outcome_at_deadline(const intake& intake,
                                   const intake_job& job,
                                   unix_ms now) {
  if (job.pools.empty() && !job.started)
    return caller_outcome::refused;
  bool all_reachable = std::all_of(
      job.pools.begin(), job.pools.end(),
      [&](const auto& item) { return is_fresh(intake, item.first, now); });
  return all_reachable ? caller_outcome::given_up : caller_outcome::unknown;
}

// ---- Sending ----------------------------------------------------------------

// Makes a request for tasks of the step, without the tasks.
wire::run_request make_request(const intake_job& job,
                               uint64_t submission,
                               uint32_t index,
                               const std::string& pool,
                               unix_ms now) {
  const step_spec& step = job.job.steps[index];
  wire::run_request request;
  request.set_submission(submission);
  request.set_job(job.id);
  request.set_step(index);
  request.set_spec(job.job.spec);
  *request.mutable_need() = step.need;
  request.set_label(step.label);
  request.set_rack(step.rack);
  request.set_service(job.queue.service);
  request.set_priority(job.queue.priority);
  request.set_max_attempts(job.queue.max_attempts);
  request.set_estimate_ms(step.estimate_ms);
  request.set_aim_ms(job.objective_ms - now);
  request.set_remaining_ms(job.deadline_ms - now);
  request.set_pool(pool);
  return request;
}

// Sends a request to the pool's owner.
void send_request(intake& intake,
                  intake_job& job,
                  wire::run_request request,
                  unix_ms now,
                  intake_output& out) {
  const std::string& name = request.pool();
  const wire::owner_grant& grant = intake.grants.at(name);
  if (const pool_view* pool = find_current_pool(intake, name)) {
    request.set_echo_ms(echo_ms(intake, name));
    if (request.resumed() && now - pool->first_contact_ms < FORMER_RUNS_MS)
      *request.mutable_former_upstreams() = {pool->former_upstreams.begin(),
                                             pool->former_upstreams.end()};
  }
  add_losses(intake.losses, now, request);
  ++intake.pools[name].requests_sent;
  job.pools[name] = grant.token();
  wire::envelope envelope;
  *envelope.mutable_run_request() = std::move(request);
  out.messages.emplace_back(grant.host(), std::move(envelope));
}

// Sends the tasks of a step that are assigned to the pool and were not sent
// yet. Those that may be returned go into a request of their own.
void send_new_tasks(intake& intake,
                    uint64_t submission,
                    uint32_t index,
                    const std::string& name,
                    unix_ms now,
                    intake_output& out) {
  intake_job& job = intake.jobs.at(submission);
  if (!intake.grants.contains(name))
    return;
  for (bool returnable : {true, false}) {
    std::vector<uint32_t> tasks;
    for (uint32_t task = 0; task < job.steps[index].tasks.size(); ++task) {
      intake_task& state = job.steps[index].tasks[task];
      bool belongs = !state.ended && !state.sent && state.pool == name &&
                     state.returnable == returnable;
      if (!belongs)
        continue;
      state.sent = true;
      tasks.push_back(task);
    }
    if (tasks.empty())
      continue;
    wire::run_request request = make_request(job, submission, index, name, now);
    request.set_returnable(returnable);
    *request.mutable_tasks() = {tasks.begin(), tasks.end()};
    send_request(intake, job, std::move(request), now, out);
  }
}

// Sends all tasks of a step that are assigned to the pool and have not ended.
void send_all_tasks(intake& intake,
                    uint64_t submission,
                    uint32_t index,
                    const std::string& name,
                    unix_ms now,
                    intake_output& out) {
  intake_job& job = intake.jobs.at(submission);
  if (!intake.grants.contains(name))
    return;
  wire::run_request request = make_request(job, submission, index, name, now);
  for (uint32_t task = 0; task < job.steps[index].tasks.size(); ++task) {
    intake_task& state = job.steps[index].tasks[task];
    if (state.ended || state.pool != name)
      continue;
    state.sent = true;
    state.returnable = false;
    request.add_tasks(task);
  }
  if (request.tasks().empty())
    return;
  request.set_resumed(job.pools.contains(name));
  // The owner may start tasks on a repeated request. The job counts as started
  // from then on, even if a result reports that no task was started: that
  // result may be older than this request.
  job.started = job.started || request.resumed();
  send_request(intake, job, std::move(request), now, out);
}

// Requests again all tasks that are assigned to a pool and have not ended.
void resend_missing(intake& intake,
                    const std::string& name,
                    unix_ms now,
                    intake_output& out) {
  for (auto& [submission, job] : intake.jobs) {
    if (!job.pools.contains(name))
      continue;
    for (uint32_t index = 0; index < job.steps.size(); ++index)
      send_all_tasks(intake, submission, index, name, now, out);
  }
}

// Assigns the unassigned tasks of runnable steps and sends them: with `all`,
// those that were sent before too.
void send_steps(intake& intake,
                uint64_t submission,
                bool all,
                unix_ms now,
                intake_output& out) {
  intake_job& job = intake.jobs.at(submission);
  job.sent_ms = now;
  for (uint32_t index = 0; index < job.steps.size(); ++index) {
    if (!is_runnable(job, index))
      continue;
    if (has_unassigned(job.steps[index]))
      apply_plan(intake, job, index, plan_step(intake, job, index, now));
    std::set<std::string> pools;
    for (const intake_task& task : job.steps[index].tasks)
      pools.insert(task.pool);
    for (const std::string& name : pools) {
      if (all)
        send_all_tasks(intake, submission, index, name, now, out);
      else
        send_new_tasks(intake, submission, index, name, now, out);
    }
  }
}

// ---- Calls ------------------------------------------------------------------

void refuse(intake_output& out,
            const caller_call& call,
            caller_outcome outcome,
            std::string_view reason) {
  int64_t retry_after =
      outcome == caller_outcome::refused ? MIN_RETRY_AFTER_MS : 0;
  out.answers.push_back({call.exchange, outcome, retry_after, 0, {}, 0});
  out.notes.push_back(
      {"call_refused",
       fmt::format("host={} path={} outcome={} reason={}", call.host, call.path,
                   to_string(outcome), reason)});
}

// The number of events that the job leads to: its call, and the start and the
// end of each task.
uint32_t count_events(const job_spec& job) {
  uint32_t events = 1;
  for (const step_spec& step : job.steps)
    events += 2 * step.count;
  return events;
}

void submit(intake& intake,
            const caller_call& call,
            const call_target& target,
            unix_ms now,
            intake_output& out) {
  if (!ok(call.job)) {
    refuse(out, call, caller_outcome::malformed, failure(call.job).detail);
    return;
  }
  const job_spec& job = std::get<job_spec>(call.job);
  if (!job.best_effort || !job.unsupported_feature.empty() ||
      target.queue->needs_external_policy) {
    refuse(out, call, caller_outcome::refused,
           job.best_effort ? job.unsupported_feature : "stored_job");
    return;
  }
  auto known = intake.by_id.find(target.id);
  if (known != intake.by_id.end()) {
    intake.jobs.at(known->second).exchanges.push_back(call.exchange);
    return;
  }
  loss_verdict verdict = judge_job(intake.losses, target.id);
  if (verdict == loss_verdict::crashed) {
    refuse(out, call, caller_outcome::failed, "upstreams_crashed");
    return;
  }
  if (verdict == loss_verdict::lost) {
    refuse(out, call, caller_outcome::given_up, "upstreams_lost");
    return;
  }
  bool may_exceed_drain =
      now + DRAIN_ALLOWANCE * critical_path_ms(job) + DRAIN_MARGIN_MS >
      intake.answer_by_ms;
  if (may_exceed_drain) {
    refuse(out, call, caller_outcome::refused, "draining");
    return;
  }
  unix_ms objective_ms =
      now + target.queue->target_latency_ms +
      static_cast<int64_t>(target.queue->slack_factor *
                           static_cast<double>(critical_path_ms(job)));
  bool admitted = admit(intake.admission,
                        {target.queue->priority, count_events(job),
                         critical_path_ms(job), objective_ms},
                        now);
  if (!admitted) {
    refuse(out, call, caller_outcome::refused, "host_behind");
    return;
  }
  uint64_t submission = intake.next_submission++;
  intake_job& added = intake.jobs[submission];
  intake.by_id[target.id] = submission;
  added.id = target.id;
  added.exchanges = {call.exchange};
  added.queue = *target.queue;
  added.job = job;
  added.arrived_ms = now;
  int64_t wait_ms = call.wait_ms > 0 ? call.wait_ms : target.queue->timeout_ms;
  added.deadline_ms = now + wait_ms;
  added.objective_ms = objective_ms;
  for (const step_spec& step : job.steps)
    added.steps.push_back({std::vector<intake_task>(step.count), step.count});
  step_plan first = plan_step(intake, added, 0, now);
  if (is_unservable_by_evacuation(intake, added, first.pools, now)) {
    end_job(intake, submission, caller_outcome::refused, "zone_evacuated", now,
            out);
    return;
  }
  if (cannot_finish_in_time(added, first.pools, now)) {
    end_job(intake, submission, caller_outcome::refused, "no_room_in_time", now,
            out, first.pools.wait_ms);
    return;
  }
  apply_plan(intake, added, 0, std::move(first));
  send_steps(intake, submission, false, now, out);
}

}  // namespace

std::string_view to_string(caller_outcome outcome) {
  switch (outcome) {
    case caller_outcome::completed:
      return "completed";
    case caller_outcome::failed:
      return "failed";
    case caller_outcome::refused:
      return "refused";
    case caller_outcome::given_up:
      return "given_up";
    case caller_outcome::unknown:
      return "unknown";
    case caller_outcome::no_route:
      return "no_route";
    case caller_outcome::no_job:
      return "no_job";
    case caller_outcome::malformed:
      return "malformed";
    case caller_outcome::count:
      return "count";
    case caller_outcome::cancelled:
      return "cancelled";
  }
  return "unknown";
}

void receive_call(intake& intake,
                  const caller_call& call,
                  unix_ms now,
                  intake_output& out) {
  if (!intake.routes) {
    refuse(out, call, caller_outcome::refused, "no_configuration");
    return;
  }
  call_target target = find_target(intake, call);
  if (target.queue == nullptr) {
    refuse(out, call, caller_outcome::no_route, "no_route");
    return;
  }
  if (call.kind == call_kind::submit) {
    submit(intake, call, target, now, out);
    return;
  }
  if (call.kind == call_kind::show && target.id.empty()) {
    out.answers.push_back({call.exchange, caller_outcome::count, 0, 0, {}, 0});
    return;
  }
  auto known = intake.by_id.find(target.id);
  if (call.kind == call_kind::show || known == intake.by_id.end()) {
    out.answers.push_back({call.exchange, caller_outcome::no_job, 0, 0, {}, 0});
    return;
  }
  end_job(intake, known->second, caller_outcome::cancelled, "cancelled", now,
          out);
  out.answers.push_back(
      {call.exchange, caller_outcome::cancelled, 0, 0, {}, 0});
}

void caller_disconnected(intake& intake,
                         uint64_t exchange,
                         unix_ms now,
                         intake_output& out) {
  if (leave_refusal(intake, exchange))
    return;
  for (auto& [submission, job] : intake.jobs) {
    auto found =
        std::find(job.exchanges.begin(), job.exchanges.end(), exchange);
    if (found == job.exchanges.end())
      continue;
    job.exchanges.erase(found);
    if (!job.exchanges.empty())
      return;
    out.notes.push_back({"caller_left", fmt::format("job={}", job.id)});
    remove_job(intake, submission, now, out);
    return;
  }
}

bool merge_grants(intake& intake, const grant_list& grants) {
  bool changed = false;
  for (const wire::owner_grant& grant : grants) {
    std::string name = pool_name(grant);
    wire::owner_grant& known = intake.grants[name];
    if (grant.token() <= known.token())
      continue;
    known = grant;
    intake.have_token = std::max(intake.have_token, grant.token());
    changed = true;
    // The previous owner may have started some of its tasks.
    for (auto& [submission, job] : intake.jobs)
      job.started = job.started || job.pools.contains(name);
  }
  return changed;
}

// Returns the initial state of a pool after a change of its owner.
static pool_view make_successor_view(pool_view former, unix_ms now) {
  pool_view next;
  next.first_contact_ms = now;
  next.former_upstreams = std::move(former.upstreams);
  // An owner that was replaced within FORMER_RUNS_MS may not have known all
  // upstreams that the owner before it used.
  if (now - former.first_contact_ms < FORMER_RUNS_MS)
    next.former_upstreams.insert(next.former_upstreams.end(),
                                 former.former_upstreams.begin(),
                                 former.former_upstreams.end());
  return next;
}

static void read_rooms(
    pool_view& pool,
    const google::protobuf::RepeatedPtrField<wire::service_room>& services) {
  pool.rooms.clear();
  for (const wire::service_room& room : services)
    pool.rooms[room.service()] = read_resources(room);
}

void receive_pool_state(intake& intake,
                        const wire::pool_state& state,
                        unix_ms now,
                        intake_output& out) {
  pool_view& pool = intake.pools[state.pool()];
  // A former owner that was suspended may still answer.
  if (state.token() < pool.token)
    return;
  bool is_new_owner = pool.token != state.token();
  if (is_new_owner)
    pool = make_successor_view(std::move(pool), now);
  bool lost = state.requests_lost() || state.results() != pool.results_received;
  pool.token = state.token();
  pool.last_contact_ms = now;
  pool.clock_ms = state.clock_ms();
  pool.results_received = state.results();
  if (state.upstreams_version() != pool.upstreams_version) {
    pool.upstreams_version = state.upstreams_version();
    pool.upstreams = {state.upstreams().begin(), state.upstreams().end()};
  }
  for (const wire::run_loss& loss : state.losses())
    record_loss(intake.losses, loss, now);
  pool.have_losses = std::max(pool.have_losses, state.losses_position());
  read_rooms(pool, state.services());
  if (is_new_owner || lost)
    resend_missing(intake, state.pool(), now, out);
}

int64_t echo_ms(const intake& intake, const std::string& pool) {
  const pool_view* view = find_current_pool(intake, pool);
  return view != nullptr && intake.callers_known ? view->clock_ms : 0;
}

wire::pool_hello make_pool_hello(const intake& intake,
                                 const std::string& name) {
  wire::pool_hello hello;
  hello.set_pool(name);
  if (const pool_view* pool = find_current_pool(intake, name)) {
    hello.set_echo_ms(echo_ms(intake, name));
    hello.set_requests(pool->requests_sent);
    hello.set_have_upstreams(pool->upstreams_version);
    hello.set_have_losses(pool->have_losses);
    hello.set_unconfirmed_echo_ms(unconfirmed_echo_ms(intake, name));
  }
  return hello;
}

// Handles a task that the owner of `pool` returned: it becomes unassigned.
// Returns whether it did.
static bool take_back_task(intake_job& job,
                           const wire::run_result& result,
                           const std::string& pool) {
  intake_task& task = job.steps[result.step()].tasks[result.task()];
  if (task.pool != pool || !task.returnable)
    return false;
  task.pool.clear();
  task.sent = false;
  task.returnable = false;
  ++task.returns;
  // An owner that has returned all tasks of a job has dropped the job.
  bool remains =
      std::any_of(job.steps.begin(), job.steps.end(), [&](const auto& step) {
        return std::any_of(
            step.tasks.begin(), step.tasks.end(),
            [&](const auto& other) { return other.pool == pool; });
      });
  if (!remains)
    job.pools.erase(pool);
  return true;
}

// Refuses the job if tasks are unassigned, nothing was sent, and no pool serves
// it because of an evacuation.
static void refuse_unservable_job(intake& intake,
                                  uint64_t submission,
                                  unix_ms now,
                                  intake_output& out) {
  if (intake.evacuations.zones.empty())
    return;
  const intake_job& job = intake.jobs.at(submission);
  if (has_unassigned_tasks(job) &&
      is_unservable_by_evacuation(intake, job, {}, now))
    end_job(intake, submission, caller_outcome::refused, "zone_evacuated", now,
            out);
}

// Sends what is unassigned, or refuses the job.
static void retry_unassigned(intake& intake,
                             uint64_t submission,
                             unix_ms now,
                             intake_output& out) {
  send_steps(intake, submission, false, now, out);
  refuse_unservable_job(intake, submission, now, out);
}

// An owner that returns tasks reports its capacity with them. Without any, as
// during an evacuation, it must not be chosen for these tasks again.
static bool has_returns(const wire::run_results& results) {
  return std::any_of(results.results().begin(), results.results().end(),
                     [](const wire::run_result& result) {
                       return result.outcome() == wire::RUN_RETURNED;
                     });
}

void receive_run_results(intake& intake,
                         const std::string& from,
                         const wire::run_results& results,
                         unix_ms now,
                         intake_output& out) {
  auto grant = intake.grants.find(results.pool());
  if (grant != intake.grants.end() && grant->second.host() == from) {
    pool_view& pool = intake.pools[results.pool()];
    ++pool.results_received;
    // Owners of earlier versions don't report their capacity with results.
    bool is_current = pool.token == grant->second.token();
    if (is_current && (!results.services().empty() || has_returns(results)))
      read_rooms(pool, results.services());
  }
  std::set<uint64_t> updated_jobs;
  for (const wire::run_result& result : results.results()) {
    auto found = intake.jobs.find(result.submission());
    if (found == intake.jobs.end() ||
        result.step() >= found->second.steps.size()) {
      wire::envelope envelope;
      envelope.mutable_run_release()->set_submission(result.submission());
      envelope.mutable_run_release()->set_pool(results.pool());
      out.messages.emplace_back(from, std::move(envelope));
      continue;
    }
    intake_job& job = found->second;
    intake_step& step = job.steps[result.step()];
    bool known =
        result.task() >= step.tasks.size() || step.tasks[result.task()].ended;
    job.started = job.started || result.started();
    if (known)
      continue;
    if (result.outcome() == wire::RUN_DONE) {
      step.tasks[result.task()].ended = true;
      --step.unfinished;
      updated_jobs.insert(result.submission());
    } else if (result.outcome() == wire::RUN_RETURNED) {
      if (take_back_task(job, result, results.pool()))
        updated_jobs.insert(result.submission());
    } else if (result.outcome() == wire::RUN_FAILED) {
      end_job(intake, result.submission(), caller_outcome::failed,
              "attempts_used_up", now, out);
    } else if (result.outcome() == wire::RUN_CRASHED) {
      end_job(intake, result.submission(), caller_outcome::failed,
              "upstreams_crashed", now, out);
    } else if (result.outcome() == wire::RUN_LOST) {
      end_job(intake, result.submission(), caller_outcome::given_up,
              "upstreams_lost", now, out);
    } else {
      begin_refusal(intake, result.submission(), now, out);
    }
  }
  for (uint64_t submission : updated_jobs) {
    auto found = intake.jobs.find(submission);
    if (found == intake.jobs.end())
      continue;
    const intake_job& job = found->second;
    bool complete = std::all_of(
        job.steps.begin(), job.steps.end(),
        [](const intake_step& step) { return step.unfinished == 0; });
    if (complete)
      end_job(intake, submission, caller_outcome::completed, "done", now, out);
    else
      retry_unassigned(intake, submission, now, out);
  }
}

void receive_evacuations(intake& intake, unix_ms now, intake_output& out) {
  unassign_evacuated_tasks(intake);
  std::vector<uint64_t> unassigned;
  for (const auto& [submission, job] : intake.jobs) {
    if (has_unassigned_tasks(job))
      unassigned.push_back(submission);
  }
  for (uint64_t submission : unassigned)
    retry_unassigned(intake, submission, now, out);
}

void tick_intake(intake& intake, unix_ms now, intake_output& out) {
  expire_losses(intake.losses, now);
  tick_releases(intake, now, out);
  tick_refusals(intake, now, out);
  std::vector<uint64_t> expired;
  std::vector<uint64_t> unassigned;
  for (auto& [submission, job] : intake.jobs) {
    if (now >= std::min(job.deadline_ms, intake.answer_by_ms))
      expired.push_back(submission);
    else if (now >= job.sent_ms + RESEND_MS)
      send_steps(intake, submission, true, now, out);
    else if (now >= job.sent_ms + UNASSIGNED_RETRY_MS &&
             has_unassigned_tasks(job)) {
      send_steps(intake, submission, false, now, out);
      unassigned.push_back(submission);
    }
  }
  for (uint64_t submission : unassigned)
    refuse_unservable_job(intake, submission, now, out);
  for (uint64_t submission : expired) {
    const intake_job& job = intake.jobs.at(submission);
    end_job(intake, submission, outcome_at_deadline(intake, job, now),
            now >= job.deadline_ms ? "deadline" : "draining", now, out);
  }
}

}  // namespace cyclamenwood
