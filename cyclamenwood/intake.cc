// A job goes through: looked up, sent step by step, results counted, answered.
//
// Both sides count their messages, so that the exchange of hellos shows when
// some were lost; what is missing is then sent again. Owners know requests that
// they have and only repeat results. When a pool gets another
// owner, the missing tasks are asked of it at once; it adopts those that run.
#include "cyclamenwood/intake.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

#include "cyclamenwood/pool_name.h"

namespace cyclamenwood {
namespace {

// A pool that was silent for this long gets no new job: three replies to
// hellos are missing.
constexpr int64_t POOL_SILENCE_MS = 600;
// Missing results are asked for again after this time, whatever the counts of
// messages say.
constexpr int64_t RESEND_MS = 2'000;
// Tasks that no pool could take so far look for one again: the interval of the
// news that tell of room.
constexpr int64_t UNASSIGNED_RETRY_MS = 100;
// For this long runs of an owner's predecessor may last: twice a lease.
constexpr int64_t FORMER_RUNS_MS = 2'000;
// A draining process takes a call when this many times its estimated work, and
// a margin for queues and messages, fit before its end: estimates are off by up
// to 40%, and a slow task is moved once.
constexpr int64_t DRAIN_ALLOWANCE = 2;
constexpr int64_t DRAIN_MARGIN_MS = 300;
// Refused callers come back at the earliest after this time: the shortest that
// can be told them, in whole seconds.
constexpr int64_t MIN_RETRY_AFTER_MS = 1'000;

// Where a call goes: its route and what follows the prefix.
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

// The longest chain of estimated work.
int64_t longest_chain_ms(const job_spec& job) {
  std::vector<int64_t> ends;
  int64_t longest = 0;
  for (const step_spec& step : job.steps) {
    int64_t start = 0;
    for (uint32_t earlier : step.depends_on)
      start = std::max(start, ends[earlier]);
    ends.push_back(start + step.estimate_ms);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

void answer_job(intake_output& out,
                const intake_job& job,
                caller_outcome outcome,
                int64_t retry_after_ms,
                unix_ms now) {
  for (uint64_t exchange : job.exchanges)
    out.answers.push_back({exchange, outcome, retry_after_ms, 0, job.queue.name,
                           now - job.arrived_ms});
}

// Ends a job: its owner may forget it.
void drop_job(intake& intake, uint64_t submission, intake_output& out) {
  auto found = intake.jobs.find(submission);
  const intake_job& job = found->second;
  for (const auto& [name, token] : job.pools) {
    auto grant = intake.grants.find(name);
    if (grant == intake.grants.end())
      continue;
    wire::envelope envelope;
    envelope.mutable_run_release()->set_submission(submission);
    out.messages.emplace_back(grant->second.host(), std::move(envelope));
  }
  intake.by_id.erase(job.id);
  intake.jobs.erase(found);
}

// "pool/token" of each owner that got tasks.
std::string describe_owners(const intake_job& job) {
  std::string text;
  for (const auto& [name, token] : job.pools)
    text += fmt::format("{}{}/{}", text.empty() ? "" : ",", name, token);
  return text.empty() ? "none" : text;
}

void end_job(intake& intake,
             uint64_t submission,
             caller_outcome outcome,
             std::string_view reason,
             unix_ms now,
             intake_output& out,
             int64_t wait_ms = 0) {
  const intake_job& job = intake.jobs.at(submission);
  answer_job(out, job, outcome,
             outcome == caller_outcome::refused
                 ? std::max(wait_ms, MIN_RETRY_AFTER_MS)
                 : 0,
             now);
  out.notes.push_back(
      {"job_ended",
       fmt::format("job={} queue={} outcome={} reason={} ms={} wait_ms={} "
                   "tasks={} cpu_milli={} estimate_ms={} owners={} version={}",
                   job.id, job.queue.name, to_string(outcome), reason,
                   now - job.arrived_ms, job.deadline_ms - job.arrived_ms,
                   job.job.steps.front().count,
                   job.job.steps.front().need.cpu_milli(),
                   longest_chain_ms(job.job), describe_owners(job),
                   intake.routes->version)});
  drop_job(intake, submission, out);
}

// ---- Choice of pools --------------------------------------------------------

// What the present owner of the pool has told; nothing when it has not yet.
const known_pool* find_current(const intake& intake, const std::string& name) {
  auto pool = intake.pools.find(name);
  auto grant = intake.grants.find(name);
  bool current = pool != intake.pools.end() && grant != intake.grants.end() &&
                 pool->second.token == grant->second.token();
  return current ? &pool->second : nullptr;
}

bool is_fresh(const intake& intake, const std::string& name, unix_ms now) {
  const known_pool* pool = find_current(intake, name);
  return pool != nullptr && now - pool->heard_ms <= POOL_SILENCE_MS;
}

// Zones for tasks of a step, and what is left of the room then.
struct step_plan {
  pool_plan pools;
  pool_rooms rooms;
};

bool has_no_pool(const intake_task& task) {
  return task.pool.empty();
}

pool_distance distance_to(const intake& intake, const std::string& name) {
  const wire::owner_grant& grant = intake.grants.at(name);
  if (grant.host() == intake.host)
    return pool_distance::own_host;
  return grant.zone() == intake.zone ? pool_distance::own_zone
                                     : pool_distance::other_zone;
}

// For the tasks of the step that have no pool so far.
step_plan plan_step(const intake& intake,
                    const intake_job& job,
                    uint32_t index,
                    unix_ms now) {
  step_plan planned;
  for (const auto& [name, pool] : intake.pools) {
    auto room = pool.rooms.find(job.queue.service);
    if (!is_fresh(intake, name, now) || room == pool.rooms.end())
      continue;
    planned.rooms[name] = room->second;
    planned.rooms[name].distance = distance_to(intake, name);
  }
  const step_spec& step = job.job.steps[index];
  const std::vector<intake_task>& tasks = job.steps[index].tasks;
  planned.pools = choose_pools(
      planned.rooms,
      {step.need.cpu_milli(), step.estimate_ms, job.queue.priority},
      std::count_if(tasks.begin(), tasks.end(), has_no_pool));
  return planned;
}

void carry_out_plan(intake& intake,
                    intake_job& job,
                    uint32_t index,
                    step_plan planned) {
  auto pool = planned.pools.pools.begin();
  for (intake_task& task : job.steps[index].tasks) {
    if (has_no_pool(task) && pool != planned.pools.pools.end())
      task.pool = *pool++;
  }
  for (auto& [name, room] : planned.rooms)
    intake.pools[name].rooms[job.queue.service] = std::move(room);
}

// Whether a job that has not begun can't be served in time: not before its
// caller leaves or, where more work comes than can be done, not within its
// objective.
bool comes_too_late(const intake_job& job, const pool_plan& plan, unix_ms now) {
  unix_ms ends_ms = now + plan.wait_ms + longest_chain_ms(job.job);
  bool too_late = ends_ms > job.deadline_ms;
  bool past_aim = ends_ms > job.aim_ms;
  return plan.wait_ms > 0 && (too_late || (plan.overloaded && past_aim));
}

// With its owner in touch, a job is over when its owner is told so.
caller_outcome outcome_at_deadline(const intake& intake,
                                   const intake_job& job,
                                   unix_ms now) {
  if (job.pools.empty())
    return caller_outcome::refused;
  bool in_touch = std::all_of(
      job.pools.begin(), job.pools.end(),
      [&](const auto& item) { return is_fresh(intake, item.first, now); });
  return in_touch ? caller_outcome::given_up : caller_outcome::unknown;
}

// ---- Sending ----------------------------------------------------------------

// The step's tasks that the pool has and that have not ended.
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
  for (uint32_t task = 0; task < step.count; ++task) {
    const intake_task& state = job.steps[index].tasks[task];
    if (!state.ended && state.pool == pool)
      request.add_tasks(task);
  }
  request.set_spec(job.job.spec);
  *request.mutable_need() = step.need;
  request.set_label(step.label);
  request.set_rack(step.rack);
  request.set_service(job.queue.service);
  request.set_priority(job.queue.priority);
  request.set_max_attempts(job.queue.max_attempts);
  request.set_estimate_ms(step.estimate_ms);
  request.set_aim_ms(job.aim_ms - now);
  request.set_remaining_ms(job.deadline_ms - now);
  request.set_pool(pool);
  return request;
}

bool is_due(const intake_job& job, uint32_t index) {
  if (job.steps[index].missing == 0)
    return false;
  const step_spec& step = job.job.steps[index];
  return std::all_of(
      step.depends_on.begin(), step.depends_on.end(),
      [&job](uint32_t earlier) { return job.steps[earlier].missing == 0; });
}

// Sends a step's missing tasks that are in one pool to its owner.
void send_to_pool(intake& intake,
                  uint64_t submission,
                  uint32_t index,
                  const std::string& name,
                  unix_ms now,
                  intake_output& out) {
  intake_job& job = intake.jobs.at(submission);
  auto grant = intake.grants.find(name);
  if (grant == intake.grants.end())
    return;
  wire::envelope envelope;
  wire::run_request& request = *envelope.mutable_run_request();
  request = make_request(job, submission, index, name, now);
  if (request.tasks().empty())
    return;
  request.set_resumed(job.pools.contains(name));
  // A result that says otherwise may be older than this request.
  job.started = job.started || request.resumed();
  if (const known_pool* pool = find_current(intake, name)) {
    request.set_echo_ms(pool->clock_ms);
    if (request.resumed())
      *request.mutable_former_upstreams() = {pool->former_upstreams.begin(),
                                             pool->former_upstreams.end()};
  }
  ++intake.pools[name].requests_sent;
  job.pools[name] = grant->second.token();
  out.messages.emplace_back(grant->second.host(), std::move(envelope));
}

// Asks a pool's owner for what is missing.
void ask_again(intake& intake,
               const std::string& name,
               unix_ms now,
               intake_output& out) {
  for (auto& [submission, job] : intake.jobs) {
    if (!job.pools.contains(name))
      continue;
    for (uint32_t index = 0; index < job.steps.size(); ++index)
      send_to_pool(intake, submission, index, name, now, out);
  }
}

// Sends the steps that are due and were not sent, or all that are due.
void send_steps(intake& intake,
                uint64_t submission,
                bool all,
                unix_ms now,
                intake_output& out) {
  intake_job& job = intake.jobs.at(submission);
  job.sent_ms = now;
  for (uint32_t index = 0; index < job.steps.size(); ++index) {
    bool unsent = job.steps[index].tasks.front().pool.empty();
    if (!is_due(job, index) || !(unsent || all))
      continue;
    carry_out_plan(intake, job, index, plan_step(intake, job, index, now));
    std::set<std::string> pools;
    for (const intake_task& task : job.steps[index].tasks)
      pools.insert(task.pool);
    for (const std::string& name : pools)
      send_to_pool(intake, submission, index, name, now, out);
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
  if (!job.best_effort || !job.not_served.empty() ||
      target.queue->needs_advice) {
    refuse(out, call, caller_outcome::refused,
           job.best_effort ? job.not_served : "stored_job");
    return;
  }
  auto known = intake.by_id.find(target.id);
  if (known != intake.by_id.end()) {
    intake.jobs.at(known->second).exchanges.push_back(call.exchange);
    return;
  }
  bool may_outlast =
      now + DRAIN_ALLOWANCE * longest_chain_ms(job) + DRAIN_MARGIN_MS >
      intake.answer_by_ms;
  if (may_outlast) {
    refuse(out, call, caller_outcome::refused, "draining");
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
  added.aim_ms =
      now + target.queue->target_latency_ms +
      static_cast<int64_t>(target.queue->slack_factor *
                           static_cast<double>(longest_chain_ms(job)));
  for (const step_spec& step : job.steps)
    added.steps.push_back({std::vector<intake_task>(step.count), step.count});
  step_plan first = plan_step(intake, added, 0, now);
  if (comes_too_late(added, first.pools, now)) {
    end_job(intake, submission, caller_outcome::refused, "no_room_in_time", now,
            out, first.pools.wait_ms);
    return;
  }
  carry_out_plan(intake, added, 0, std::move(first));
  send_steps(intake, submission, true, now, out);
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

void call_arrived(intake& intake,
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

void caller_left(intake& intake, uint64_t exchange, intake_output& out) {
  for (auto& [submission, job] : intake.jobs) {
    auto found =
        std::find(job.exchanges.begin(), job.exchanges.end(), exchange);
    if (found == job.exchanges.end())
      continue;
    job.exchanges.erase(found);
    if (!job.exchanges.empty())
      return;
    out.notes.push_back({"caller_left", fmt::format("job={}", job.id)});
    drop_job(intake, submission, out);
    return;
  }
}

bool learn_grants(intake& intake, const grant_list& grants) {
  bool changed = false;
  for (const wire::owner_grant& grant : grants) {
    std::string name = pool_name(grant);
    wire::owner_grant& known = intake.grants[name];
    if (grant.token() <= known.token())
      continue;
    known = grant;
    intake.have_token = std::max(intake.have_token, grant.token());
    changed = true;
    // The former owner may have started some of it.
    for (auto& [submission, job] : intake.jobs)
      job.started = job.started || job.pools.contains(name);
  }
  return changed;
}

// What is known of a pool whose owner has just changed.
static known_pool succeed(known_pool former, unix_ms now) {
  known_pool next;
  next.since_ms = now;
  next.former_upstreams = std::move(former.upstreams);
  // An owner of a moment ago may not have heard of all that the one before it
  // used.
  if (now - former.since_ms < FORMER_RUNS_MS)
    next.former_upstreams.insert(next.former_upstreams.end(),
                                 former.former_upstreams.begin(),
                                 former.former_upstreams.end());
  return next;
}

void hear_pool(intake& intake,
               const wire::pool_state& state,
               unix_ms now,
               intake_output& out) {
  known_pool& pool = intake.pools[state.pool()];
  bool is_new_owner = pool.token != state.token();
  if (is_new_owner)
    pool = succeed(std::move(pool), now);
  bool lost = state.requests_lost() || state.results() != pool.results_received;
  pool.token = state.token();
  pool.heard_ms = now;
  pool.clock_ms = state.clock_ms();
  pool.results_received = state.results();
  if (state.upstreams_version() != pool.upstreams_version) {
    pool.upstreams_version = state.upstreams_version();
    pool.upstreams = {state.upstreams().begin(), state.upstreams().end()};
  }
  pool.rooms.clear();
  for (const wire::service_room& room : state.services())
    pool.rooms[room.service()] = read_room(room);
  if (is_new_owner || lost)
    ask_again(intake, state.pool(), now, out);
}

wire::pool_hello make_pool_hello(const intake& intake,
                                 const std::string& name) {
  wire::pool_hello hello;
  hello.set_pool(name);
  if (const known_pool* pool = find_current(intake, name)) {
    hello.set_echo_ms(pool->clock_ms);
    hello.set_requests(pool->requests_sent);
    hello.set_have_upstreams(pool->upstreams_version);
  }
  return hello;
}

void take_results(intake& intake,
                  const std::string& from,
                  const wire::run_results& results,
                  unix_ms now,
                  intake_output& out) {
  auto grant = intake.grants.find(results.pool());
  if (grant != intake.grants.end() && grant->second.host() == from)
    ++intake.pools[results.pool()].results_received;
  std::vector<uint64_t> touched;
  for (const wire::run_result& result : results.results()) {
    auto found = intake.jobs.find(result.submission());
    if (found == intake.jobs.end() ||
        result.step() >= found->second.steps.size()) {
      wire::envelope envelope;
      envelope.mutable_run_release()->set_submission(result.submission());
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
      --step.missing;
      touched.push_back(result.submission());
    } else if (result.outcome() == wire::RUN_FAILED) {
      end_job(intake, result.submission(), caller_outcome::failed,
              "attempts_used_up", now, out);
    } else {
      end_job(intake, result.submission(),
              job.started || job.pools.size() > 1 ? caller_outcome::given_up
                                                  : caller_outcome::refused,
              "no_time_left", now, out);
    }
  }
  for (uint64_t submission : touched) {
    auto found = intake.jobs.find(submission);
    if (found == intake.jobs.end())
      continue;
    const intake_job& job = found->second;
    bool complete =
        std::all_of(job.steps.begin(), job.steps.end(),
                    [](const intake_step& step) { return step.missing == 0; });
    if (complete)
      end_job(intake, submission, caller_outcome::completed, "done", now, out);
    else
      send_steps(intake, submission, false, now, out);
  }
}

static int64_t resend_interval_ms(const intake_job& job) {
  return job.pools.empty() ? UNASSIGNED_RETRY_MS : RESEND_MS;
}

void tick_intake(intake& intake, unix_ms now, intake_output& out) {
  std::vector<uint64_t> expired;
  for (auto& [submission, job] : intake.jobs) {
    if (now >= std::min(job.deadline_ms, intake.answer_by_ms))
      expired.push_back(submission);
    else if (now >= job.sent_ms + resend_interval_ms(job))
      send_steps(intake, submission, true, now, out);
  }
  for (uint64_t submission : expired) {
    const intake_job& job = intake.jobs.at(submission);
    end_job(intake, submission, outcome_at_deadline(intake, job, now),
            now >= job.deadline_ms ? "deadline" : "draining", now, out);
  }
}

}  // namespace cyclamenwood
