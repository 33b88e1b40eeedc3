// Evaluates the progress of runs and the health of their upstreams.
//
// The lists contain the progress of each run, from which the time of its end on
// this upstream is extrapolated. The durations of the job's other tasks, or
// else its estimate, tell when the task would end if it were stopped and
// started elsewhere. A task is moved if its upstream is so slow, or stalled,
// that it would end much earlier elsewhere and so meet an objective or a
// deadline that it misses here. A job with a task that can't end before the
// deadline, neither here nor elsewhere, is abandoned immediately: other jobs
// can use its resources, and the caller is notified early.
//
// This handles load on which some upstreams are slow or stalled while others
// have free capacity. A task never runs twice at the same time, as its stop is
// settled before it starts elsewhere.
#include <fmt/format.h>

#include <algorithm>

#include "cyclamenwood/pool_internal.h"

namespace cyclamenwood {
namespace {

// Progress over a shorter time is not significant.
constexpr int64_t MIN_PROGRESS_MS = 100;
// A run is stalled if it has made no progress for this long, or for a tenth of
// the task's usual duration if that is longer. Lists arrive three times a
// second.
constexpr int64_t STALL_MS = 250;
constexpr int64_t STALL_LENGTH_DIVISOR = 10;
// The time from the stop order until the task runs elsewhere: the time that an
// upstream may take to stop it (50 ms) and two orders.
constexpr int64_t MOVE_MS = 70;
// A move discards work, and the estimates of callers are off by up to 40%. The
// remaining time must therefore be this many times the time that the task takes
// elsewhere.
constexpr int64_t MIN_GAIN = 2;
// A task that is slow on every upstream is not moved again and again.
constexpr int MAX_MOVES = 2;
// Progress is reported in whole percent, rounded down.
constexpr int64_t ALMOST_DONE_PERCENT = 99;

// The duration of the task on a healthy upstream.
int64_t usual_length_ms(const pool_job& job) {
  return job.longest_run_ms > 0 ? job.longest_run_ms
                                : job.request.estimate_ms();
}

bool is_stalled(const pool_job& job, const leased_run& run, unix_ms now) {
  int64_t limit_ms =
      std::max(STALL_MS, usual_length_ms(job) / STALL_LENGTH_DIVISOR);
  return run.percent < ALMOST_DONE_PERCENT &&
         now - run.last_progress_ms >= limit_ms;
}

// When the run would end on its present upstream; INT64_MAX if never.
unix_ms end_here_ms(const pool_job& job, const leased_run& run, unix_ms now) {
  if (is_stalled(job, run, now))
    return INT64_MAX;
  int64_t left = std::max<int64_t>(ALMOST_DONE_PERCENT - run.percent, 0);
  return now + (now - run.started_ms) * left / (run.percent + 1);
}

// The number of limits (objective, deadline) that are missed by an end at this
// time.
int missed_limits(const pool_job& job, unix_ms end_ms) {
  return (end_ms > job.objective_ms ? 1 : 0) +
         (end_ms > job.deadline_ms ? 1 : 0);
}

bool is_worth_moving(const pool_job& job,
                     unix_ms here_ms,
                     unix_ms elsewhere_ms,
                     unix_ms now) {
  if (elsewhere_ms > job.deadline_ms)
    return false;
  bool far_better = (here_ms - now) / MIN_GAIN > elsewhere_ms - now;
  return far_better &&
         missed_limits(job, elsewhere_ms) < missed_limits(job, here_ms);
}

bool fits_elsewhere(pool& pool,
                    const pool_job& job,
                    const pool_task& task,
                    const std::string& name,
                    unix_ms now) {
  const leased_upstream* other = choose_upstream(pool, job, task, name, nullptr, now);
  return other != nullptr && !task.failed_on.contains(other->info.id());
}

void update_progress(leased_run& run, int64_t percent, unix_ms now) {
  if (run.last_progress_ms != 0 && percent <= run.percent)
    return;
  run.percent = percent;
  run.last_progress_ms = now;
}

void abandon_job(pool& pool,
                 pool_job& job,
                 const listed_run& listed,
                 const leased_run& run,
                 unix_ms now,
                 pool_output& out) {
  out.events.push_back(
      {"job_hopeless",
       fmt::format("task={} percent={} elapsed_ms={} estimate_ms={} left_ms={}",
                   listed.task, listed.percent, now - run.started_ms,
                   job.request.estimate_ms(), job.deadline_ms - now)});
  settle_task(pool, job, run.task, wire::RUN_EXPIRED, out);
}

}  // namespace

void record_attempt(pool& pool,
                    leased_upstream& upstream,
                    attempt_verdict verdict,
                    unix_ms now,
                    pool_output& out) {
  const std::string& id = upstream.info.id();
  bool ejected = health_record(pool.health, id, verdict, now);
  auto found = pool.health.upstreams.find(id);
  if (found == pool.health.upstreams.end())
    return;
  const upstream_health& health = found->second;
  upstream.on_probation = health.ejected_until_ms != 0;
  if (!ejected)
    return;
  upstream.backoff_until_ms = health.ejected_until_ms;
  out.events.push_back(
      {"upstream_ejected",
       fmt::format("upstream={} failure_rate={:.2f} attempts={} rest_ms={}", id,
                   health.failure_rate, health.samples,
                   health.ejected_until_ms - now)});
}

void check_progress(pool& pool,
                    leased_upstream& upstream,
                    const listed_run& listed,
                    unix_ms now,
                    pool_output& out) {
  leased_run& run = upstream.runs.at(listed.task);
  update_progress(run, listed.percent, now);
  bool is_significant = run.started_ms != 0 &&
                        run.state == run_state::running &&
                        now - run.started_ms >= MIN_PROGRESS_MS;
  pool_job* job = is_significant ? find_job(pool, run) : nullptr;
  if (job == nullptr)
    return;
  pool_task& task = job->tasks[run.task];
  if (task.outcome != wire::RUN_UNSPECIFIED)
    return;
  bool stalled = is_stalled(*job, run, now);
  if (listed.percent < 1 && !stalled)
    return;
  unix_ms here_ms = end_here_ms(*job, run, now);
  unix_ms elsewhere_ms = now + MOVE_MS + usual_length_ms(*job);
  bool moves = task.moves < MAX_MOVES &&
               is_worth_moving(*job, here_ms, elsewhere_ms, now) &&
               fits_elsewhere(pool, *job, task, listed.task, now);
  if (moves) {
    ++task.moves;
    task.failed_on.insert(upstream.info.id());
    out.events.push_back(
        {"task_moved",
         fmt::format("task={} attempt={} upstream={} percent={} elapsed_ms={} "
                     "usual_ms={}",
                     listed.task, run.attempt, upstream.info.id(), run.percent,
                     now - run.started_ms, usual_length_ms(*job))});
    stop_run(pool, upstream, listed.task, now, out);
    record_attempt(pool, upstream, attempt_verdict::failed, now, out);
    return;
  }
  // A stalled run may resume, and capacity may become free elsewhere.
  bool unservable = here_ms > job->deadline_ms &&
                    (!stalled || elsewhere_ms > job->deadline_ms);
  if (unservable)
    abandon_job(pool, *job, listed, run, now, out);
}

}  // namespace cyclamenwood
