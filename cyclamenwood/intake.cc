// A job goes through: looked up, sent step by step, results counted, answered.
//
// What may have been lost on the way is sent again: owners know requests that
// they have and only repeat results. When a zone's upstreams get another
// owner, the missing tasks are asked of it at once; it adopts those that run.
#include "cyclamenwood/intake.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace cyclamenwood {
namespace {

// A pool that was silent for this long gets no new job: three replies to
// hellos are missing.
constexpr int64_t POOL_SILENCE_MS = 600;
// Missing results are asked for again after this time.
constexpr int64_t RESEND_MS = 400;
// Wait of a caller that does not tell its own, and whose route has no limit.
constexpr int64_t DEFAULT_WAIT_MS = 30'000;
// Shortest time after which a refused caller may find room.
constexpr int64_t RETRY_AFTER_MS = 1'000;

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
                int64_t retry_after_ms = 0) {
  for (uint64_t exchange : job.exchanges)
    out.answers.push_back({exchange, outcome, retry_after_ms, 0});
}

// Ends a job: its owner may forget it.
void drop_job(intake& intake, uint64_t submission, intake_output& out) {
  auto found = intake.jobs.find(submission);
  const intake_job& job = found->second;
  auto grant = intake.grants.find(job.zone);
  if (grant != intake.grants.end()) {
    wire::envelope envelope;
    envelope.mutable_run_release()->set_submission(submission);
    out.messages.emplace_back(grant->second.host(), std::move(envelope));
  }
  intake.by_id.erase(job.id);
  intake.jobs.erase(found);
}

void end_job(intake& intake,
             uint64_t submission,
             caller_outcome outcome,
             std::string_view reason,
             unix_ms now,
             intake_output& out) {
  const intake_job& job = intake.jobs.at(submission);
  answer_job(out, job, outcome,
             outcome == caller_outcome::refused ? RETRY_AFTER_MS : 0);
  out.notes.push_back(
      {"job_ended",
       fmt::format("job={} queue={} outcome={} reason={} ms={} zone={} "
                   "token={} version={}",
                   job.id, job.queue.name, static_cast<int>(outcome), reason,
                   now - job.arrived_ms, job.zone, job.token,
                   intake.routes->version)});
  drop_job(intake, submission, out);
}

// ---- Choice of a zone -------------------------------------------------------

struct zone_room {
  int64_t free = 0;
  int64_t queued = 0;
};

std::optional<zone_room> room_in(const intake& intake,
                                 const std::string& zone,
                                 const std::string& service,
                                 unix_ms now) {
  auto found = intake.pools.find(zone);
  auto grant = intake.grants.find(zone);
  bool fresh = found != intake.pools.end() && grant != intake.grants.end() &&
               now - found->second.heard_ms <= POOL_SILENCE_MS &&
               found->second.state.token() == grant->second.token();
  if (!fresh)
    return std::nullopt;
  for (const wire::service_room& room : found->second.state.services()) {
    if (room.service() == service)
      return zone_room{room.free_cpu_milli(), room.queued_cpu_milli()};
  }
  return std::nullopt;
}

std::string choose_zone(const intake& intake,
                        const intake_job& job,
                        unix_ms now) {
  int64_t wanted = 0;
  for (const step_spec& step : job.job.steps)
    wanted =
        std::max<int64_t>(wanted, int64_t{step.count} * step.need.cpu_milli());
  std::optional<zone_room> own =
      room_in(intake, intake.zone, job.queue.service, now);
  bool own_suffices = own && own->queued == 0 && own->free >= wanted;
  if (own_suffices)
    return intake.zone;
  std::string best = own ? intake.zone : std::string();
  int64_t best_spare = own ? own->free - own->queued - wanted : INT64_MIN;
  for (const auto& [zone, pool] : intake.pools) {
    if (zone == intake.zone)
      continue;
    std::optional<zone_room> other =
        room_in(intake, zone, job.queue.service, now);
    if (!other)
      continue;
    int64_t spare = other->free - other->queued - wanted;
    bool better = best.empty() || (spare > 0 && spare > best_spare);
    if (better) {
      best = zone;
      best_spare = spare;
    }
  }
  return best;
}

// What this job takes is not free any more, until the pool says so itself.
void reserve(intake& intake, const intake_job& job, const step_spec& step) {
  auto found = intake.pools.find(job.zone);
  if (found == intake.pools.end())
    return;
  for (wire::service_room& room : *found->second.state.mutable_services()) {
    if (room.service() != job.queue.service)
      continue;
    int64_t wanted = int64_t{step.count} * step.need.cpu_milli();
    int64_t free = room.free_cpu_milli() - wanted;
    room.set_free_cpu_milli(std::max<int64_t>(free, 0));
    if (free < 0)
      room.set_queued_cpu_milli(room.queued_cpu_milli() - free);
  }
}

// With its owner in touch, a job is over when its owner is told so.
caller_outcome outcome_at_deadline(const intake& intake,
                                   const intake_job& job,
                                   unix_ms now) {
  if (job.zone.empty())
    return caller_outcome::refused;
  auto pool = intake.pools.find(job.zone);
  bool in_touch = pool != intake.pools.end() &&
                  now - pool->second.heard_ms <= POOL_SILENCE_MS;
  return in_touch ? caller_outcome::given_up : caller_outcome::unknown;
}

// ---- Sending ----------------------------------------------------------------

wire::run_request make_request(const intake_job& job,
                               uint64_t submission,
                               uint32_t index,
                               unix_ms now) {
  const step_spec& step = job.job.steps[index];
  wire::run_request request;
  request.set_submission(submission);
  request.set_job(job.id);
  request.set_step(index);
  for (uint32_t task = 0; task < step.count; ++task) {
    if (!job.steps[index].ended[task])
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
  request.set_zone(job.zone);
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

// Sends the steps that are due and not sent, or all that are due.
void send_steps(intake& intake,
                uint64_t submission,
                bool all,
                bool resumed,
                unix_ms now,
                intake_output& out) {
  intake_job& job = intake.jobs.at(submission);
  if (job.zone.empty())
    job.zone = choose_zone(intake, job, now);
  auto grant = intake.grants.find(job.zone);
  if (grant == intake.grants.end())
    return;
  job.token = grant->second.token();
  job.sent_ms = now;
  for (uint32_t index = 0; index < job.steps.size(); ++index) {
    if (!is_due(job, index) || (job.steps[index].sent && !all))
      continue;
    if (!job.steps[index].sent)
      reserve(intake, job, job.job.steps[index]);
    job.steps[index].sent = true;
    wire::envelope envelope;
    *envelope.mutable_run_request() = make_request(job, submission, index, now);
    envelope.mutable_run_request()->set_resumed(resumed);
    out.messages.emplace_back(grant->second.host(), std::move(envelope));
  }
}

// ---- Calls ------------------------------------------------------------------

void refuse(intake_output& out,
            const caller_call& call,
            caller_outcome outcome,
            std::string_view reason) {
  int64_t retry_after = outcome == caller_outcome::refused ? RETRY_AFTER_MS : 0;
  out.answers.push_back({call.exchange, outcome, retry_after, 0});
  out.notes.push_back(
      {"call_refused",
       fmt::format("host={} path={} outcome={} reason={}", call.host, call.path,
                   static_cast<int>(outcome), reason)});
}

void submit(intake& intake,
            const caller_call& call,
            const call_target& target,
            unix_ms now,
            intake_output& out) {
  if (!ok(call.job)) {
    refuse(out, call, caller_outcome::malformed, failure(call.job).argument);
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
  if (now > intake.last_calls_ms) {
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
  int64_t wait_ms = call.wait_ms > 0 ? call.wait_ms : DEFAULT_WAIT_MS;
  if (target.queue->timeout_ms > 0)
    wait_ms = std::min(wait_ms, target.queue->timeout_ms);
  added.deadline_ms = now + wait_ms;
  added.aim_ms =
      now + target.queue->target_latency_ms +
      static_cast<int64_t>(target.queue->slack_factor *
                           static_cast<double>(longest_chain_ms(job)));
  for (const step_spec& step : job.steps)
    added.steps.push_back(
        {false, std::vector<bool>(step.count, false), step.count});
  send_steps(intake, submission, false, false, now, out);
}

}  // namespace

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
    out.answers.push_back({call.exchange, caller_outcome::count, 0, 0});
    return;
  }
  auto known = intake.by_id.find(target.id);
  if (call.kind == call_kind::show || known == intake.by_id.end()) {
    out.answers.push_back({call.exchange, caller_outcome::no_job, 0, 0});
    return;
  }
  end_job(intake, known->second, caller_outcome::cancelled, "cancelled", now,
          out);
  out.answers.push_back({call.exchange, caller_outcome::cancelled, 0, 0});
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

void learn_grants(intake& intake,
                  const wire::control_news& news,
                  unix_ms now,
                  intake_output& out) {
  for (const wire::owner_grant& grant : news.grants()) {
    wire::owner_grant& known = intake.grants[grant.zone()];
    if (grant.token() <= known.token())
      continue;
    known = grant;
    for (auto& [submission, job] : intake.jobs) {
      if (job.zone != grant.zone())
        continue;
      // The former owner may have started some of it.
      job.started = job.started || job.token != 0;
      send_steps(intake, submission, true, true, now, out);
    }
  }
}

void hear_pool(intake& intake, const wire::pool_state& state, unix_ms now) {
  intake.pools[state.zone()] = {state, now};
}

void take_results(intake& intake,
                  const std::string& from,
                  const wire::run_results& results,
                  unix_ms now,
                  intake_output& out) {
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
        result.task() >= step.ended.size() || step.ended[result.task()];
    job.started = job.started || result.started();
    if (known)
      continue;
    if (result.outcome() == wire::RUN_DONE) {
      step.ended[result.task()] = true;
      --step.missing;
      touched.push_back(result.submission());
    } else if (result.outcome() == wire::RUN_FAILED) {
      end_job(intake, result.submission(), caller_outcome::failed,
              "attempts_used_up", now, out);
    } else {
      end_job(intake, result.submission(),
              job.started ? caller_outcome::given_up : caller_outcome::refused,
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
      send_steps(intake, submission, false, false, now, out);
  }
}

void tick_intake(intake& intake, unix_ms now, intake_output& out) {
  std::vector<uint64_t> expired;
  for (auto& [submission, job] : intake.jobs) {
    if (now >= job.deadline_ms)
      expired.push_back(submission);
    else if (now >= job.sent_ms + RESEND_MS)
      send_steps(intake, submission, true, false, now, out);
  }
  for (uint64_t submission : expired) {
    const intake_job& job = intake.jobs.at(submission);
    end_job(intake, submission, outcome_at_deadline(intake, job, now),
            "deadline", now, out);
  }
}

}  // namespace cyclamenwood
