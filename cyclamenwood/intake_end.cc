// The end of a job: its callers are answered, and the owners that have tasks of
// it release them.
//
// A caller that got no result may submit the job again after a while, and it
// may then be sent to other owners. A release of tasks that have not ended is
// therefore sent until its owner confirms it: one that was lost would leave a
// task in a queue or running, beside its run for the next submission.
//
// An owner's report that it has started nothing may be older than the last
// request that it was sent. What it says in its confirmation is final, since it
// ignores requests that arrive after the release. A caller is therefore told
// that its job has not run only after the confirmations of all owners.
#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>

#include "cyclamenwood/intake_internal.h"
#include "cyclamenwood/pool.h"

namespace cyclamenwood {
namespace {

// Several times the time that a confirmation takes within a region. It doubles
// with each repetition.
constexpr int64_t RELEASE_RESEND_MS = 100;
// An owner that receives nothing from this host for this long has dropped its
// jobs.
constexpr int64_t RELEASE_EXPIRY_MS = 2 * PEER_TIMEOUT_MS;

// Callers wait this long at most to learn whether their job has run: a release,
// a repeated one, and their confirmations.
constexpr int64_t REFUSAL_CONFIRMATION_MS = 250;

void send_release(const std::string& host,
                  uint64_t submission,
                  const std::string& pool,
                  int64_t echo_ms,
                  bool confirm,
                  intake_output& out) {
  wire::envelope envelope;
  wire::run_release& release = *envelope.mutable_run_release();
  release.set_submission(submission);
  release.set_pool(pool);
  release.set_echo_ms(echo_ms);
  release.set_confirm(confirm);
  out.messages.emplace_back(host, std::move(envelope));
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

// Lists "pool/token" of each owner that tasks were sent to.
std::string describe_owners(const intake_job& job) {
  std::string text;
  for (const auto& [name, token] : job.pools)
    text += fmt::format("{}{}/{}", text.empty() ? "" : ",", name, token);
  return text.empty() ? "none" : text;
}

// How often owners returned tasks of the job.
uint32_t count_returns(const intake_job& job) {
  uint32_t returns = 0;
  for (const intake_step& step : job.steps) {
    for (const intake_task& task : step.tasks)
      returns += task.returns;
  }
  return returns;
}

void finish_job(const intake& intake,
                const intake_job& job,
                caller_outcome outcome,
                std::string_view reason,
                int64_t wait_ms,
                unix_ms now,
                intake_output& out) {
  answer_job(out, job, outcome,
             outcome == caller_outcome::refused
                 ? std::max(wait_ms, MIN_RETRY_AFTER_MS)
                 : 0,
             now);
  out.notes.push_back(
      {"job_ended",
       fmt::format("job={} queue={} outcome={} reason={} ms={} wait_ms={} "
                   "tasks={} cpu_milli={} estimate_ms={} returns={} owners={} "
                   "version={}",
                   job.id, job.queue.name, to_string(outcome), reason,
                   now - job.arrived_ms, job.deadline_ms - job.arrived_ms,
                   job.job.steps.front().count,
                   job.job.steps.front().need.cpu_milli(),
                   critical_path_ms(job.job), count_returns(job),
                   describe_owners(job), intake.routes->version)});
}

bool awaits_confirmation(const intake& intake, uint64_t submission) {
  auto next = intake.releases.lower_bound({submission, std::string()});
  return next != intake.releases.end() && next->first.first == submission;
}

}  // namespace

int64_t critical_path_ms(const job_spec& job) {
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

void remove_job(intake& intake,
                uint64_t submission,
                unix_ms now,
                intake_output& out) {
  auto found = intake.jobs.find(submission);
  const intake_job& job = found->second;
  bool unfinished =
      std::any_of(job.steps.begin(), job.steps.end(),
                  [](const intake_step& step) { return step.unfinished > 0; });
  for (const auto& [name, token] : job.pools) {
    auto grant = intake.grants.find(name);
    if (grant == intake.grants.end())
      continue;
    const std::string& host = grant->second.host();
    int64_t echo = echo_ms(intake, name);
    send_release(host, submission, name, echo, unfinished, out);
    if (!unfinished)
      continue;
    pending_release& release = intake.releases[{submission, name}];
    release = {host, token, echo};
    release.resend_ms = now + RELEASE_RESEND_MS;
    release.expires_ms = now + RELEASE_EXPIRY_MS;
  }
  intake.by_id.erase(job.id);
  intake.jobs.erase(found);
}

void end_job(intake& intake,
             uint64_t submission,
             caller_outcome outcome,
             std::string_view reason,
             unix_ms now,
             intake_output& out,
             int64_t wait_ms) {
  finish_job(intake, intake.jobs.at(submission), outcome, reason, wait_ms, now,
             out);
  remove_job(intake, submission, now, out);
}

void begin_refusal(intake& intake,
                   uint64_t submission,
                   unix_ms now,
                   intake_output& out) {
  if (intake.jobs.at(submission).started) {
    end_job(intake, submission, caller_outcome::given_up, "no_time_left", now,
            out);
    return;
  }
  pending_refusal& added = intake.refusals[submission];
  added.job = intake.jobs.at(submission);
  added.answer_by_ms = std::min({now + REFUSAL_CONFIRMATION_MS,
                                 added.job.deadline_ms, intake.answer_by_ms});
  remove_job(intake, submission, now, out);
}

bool leave_refusal(intake& intake, uint64_t exchange) {
  for (auto& [submission, refusal] : intake.refusals) {
    if (std::erase(refusal.job.exchanges, exchange) > 0)
      return true;
  }
  return false;
}

void tick_refusals(intake& intake, unix_ms now, intake_output& out) {
  std::erase_if(intake.refusals, [&](const auto& item) {
    const pending_refusal& refusal = item.second;
    if (now < refusal.answer_by_ms)
      return false;
    finish_job(intake, refusal.job, caller_outcome::unknown, "unconfirmed", 0,
               now, out);
    return true;
  });
}

int64_t unconfirmed_echo_ms(const intake& intake, const std::string& pool) {
  int64_t earliest_ms = 0;
  for (const auto& [id, release] : intake.releases) {
    bool is_earlier = earliest_ms == 0 || release.echo_ms < earliest_ms;
    if (id.second == pool && release.echo_ms > 0 && is_earlier)
      earliest_ms = release.echo_ms;
  }
  return earliest_ms;
}

void tick_releases(intake& intake, unix_ms now, intake_output& out) {
  std::erase_if(intake.releases, [now](const auto& item) {
    return now >= item.second.expires_ms;
  });
  for (auto& [id, release] : intake.releases) {
    if (now < release.resend_ms)
      continue;
    ++release.resends;
    release.resend_ms = now + (RELEASE_RESEND_MS << release.resends);
    send_release(release.host, id.first, id.second, release.echo_ms, true, out);
  }
}

void receive_run_released(intake& intake,
                          const wire::run_released& released,
                          unix_ms now,
                          intake_output& out) {
  uint64_t submission = released.submission();
  auto release = intake.releases.find({submission, released.pool()});
  if (release == intake.releases.end())
    return;
  bool unstarted =
      released.unstarted() && released.token() == release->second.token;
  intake.releases.erase(release);
  auto refusal = intake.refusals.find(submission);
  if (refusal == intake.refusals.end() ||
      (unstarted && awaits_confirmation(intake, submission)))
    return;
  finish_job(intake, refusal->second.job,
             unstarted ? caller_outcome::refused : caller_outcome::given_up,
             "no_time_left", 0, now, out);
  intake.refusals.erase(refusal);
}

}  // namespace cyclamenwood
