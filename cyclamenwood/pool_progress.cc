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
// Where the speeds of the upstreams are known to differ, slow progress on an
// upstream of known speed shows the size of the task, and with it when the task
// would end elsewhere. A task that is merely long is then not moved. Several
// runs that are all far slower than the upstream's speed explains show that the
// upstream has become slow.
//
// This handles load on which some upstreams are slow or stalled while others
// have free capacity. A task never runs twice at the same time, as its stop is
// settled before it starts elsewhere.
#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>

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
// An upstream whose runs all progress at less than this share of its learned
// speed is slow. Estimates are off by 40%, so that single runs often do.
constexpr double SLOW_SHARE = 0.5;
// The number of runs that show that an upstream is slow: one may be long.
constexpr int MIN_SLOW_RUNS = 2;
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

// The speed of the fastest other upstream of its service.
double fastest_speed(const pool& pool, const leased_upstream& upstream) {
  double fastest = 0;
  for (const auto& [id, other] : pool.upstreams) {
    if (&other != &upstream && other.info.service() == upstream.info.service())
      fastest = std::max(fastest, other.speed.speed);
  }
  return std::max(fastest, 0.01);
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

const leased_upstream* choose_other(pool& pool,
                                    const pool_job& job,
                                    const pool_task& task,
                                    const std::string& name,
                                    unix_ms now) {
  const leased_upstream* other =
      choose_upstream(pool, job, task, name, nullptr, now);
  bool failed = other != nullptr && task.failed_on.contains(other->info.id());
  return failed ? nullptr : other;
}

bool is_significant(const leased_run& run, unix_ms now) {
  return run.started_ms != 0 && run.state == run_state::running &&
         now - run.started_ms >= MIN_PROGRESS_MS;
}

// The time that the whole run takes on its upstream.
double length_here_ms(const leased_run& run, unix_ms now) {
  return static_cast<double>(now - run.started_ms) * 100 /
         static_cast<double>(run.percent + 1);
}

// The speed of the run, if it is as large as expected, relative to the speed of
// its upstream; nothing if it is not known.
std::optional<double> relative_speed(const pool& pool,
                                     const leased_upstream& upstream,
                                     const leased_run& run,
                                     unix_ms now) {
  auto job = pool.jobs.find({run.submission, run.step});
  if (job == pool.jobs.end() || run.started_ms == 0 ||
      now - run.started_ms < MIN_PROGRESS_MS)
    return std::nullopt;
  auto expected_ms =
      static_cast<double>(expected_run_ms(pool, upstream, job->second.request));
  return expected_ms / length_here_ms(run, now);
}

// The speed of the upstream as its present runs show it: the learned one,
// unless several runs are all far slower than that. The fastest of them, which
// is least likely to be long, then shows the speed.
double present_speed(const pool& pool,
                     const leased_upstream& upstream,
                     unix_ms now) {
  int runs = 0;
  double fastest = 0;
  for (const auto& [name, run] : upstream.runs) {
    // A run that is being stopped counts: the same list may have shown that it
    // is slow.
    std::optional<double> speed = relative_speed(pool, upstream, run, now);
    if (!speed)
      continue;
    ++runs;
    fastest = std::max(fastest, *speed);
  }
  bool is_slow = runs >= MIN_SLOW_RUNS && fastest < SLOW_SHARE;
  return upstream.speed.speed * (is_slow ? fastest : 1);
}

struct move_forecast {
  unix_ms here_ms = 0;
  unix_ms elsewhere_ms = 0;
  // The task may be moved there.
  const leased_upstream* other = nullptr;
  // The upstream is slower than its learned speed.
  bool below_speed = true;
};

move_forecast forecast_by_estimate(pool& pool,
                                   const pool_job& job,
                                   const pool_task& task,
                                   const leased_run& run,
                                   const std::string& name,
                                   unix_ms now) {
  move_forecast forecast;
  forecast.here_ms = end_here_ms(job, run, now);
  forecast.elsewhere_ms = now + MOVE_MS + usual_length_ms(job);
  if (task.moves < MAX_MOVES &&
      is_worth_moving(job, forecast.here_ms, forecast.elsewhere_ms, now))
    forecast.other = choose_other(pool, job, task, name, now);
  return forecast;
}

// As above, with the task's own size as its progress shows it.
move_forecast forecast_by_speed(pool& pool,
                                const leased_upstream& upstream,
                                const pool_job& job,
                                pool_task& task,
                                const leased_run& run,
                                const std::string& name,
                                unix_ms now) {
  move_forecast forecast;
  forecast.here_ms = end_here_ms(job, run, now);
  double speed = present_speed(pool, upstream, now);
  double size_ms = length_here_ms(run, now) * speed;
  forecast.below_speed = speed < upstream.speed.speed;
  forecast.elsewhere_ms =
      now + MOVE_MS +
      static_cast<int64_t>(size_ms / fastest_speed(pool, upstream));
  if (task.moves >= MAX_MOVES ||
      !is_worth_moving(job, forecast.here_ms, forecast.elsewhere_ms, now))
    return forecast;
  // The choice depends on the size.
  double former_size_ms = std::exchange(task.size_ms, size_ms);
  const leased_upstream* other = choose_other(pool, job, task, name, now);
  if (other != nullptr) {
    unix_ms end_ms =
        now + MOVE_MS + static_cast<int64_t>(size_ms / other->speed.speed);
    if (is_worth_moving(job, forecast.here_ms, end_ms, now))
      forecast.other = other;
  }
  if (forecast.other == nullptr)
    task.size_ms = former_size_ms;
  return forecast;
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
  pool_job* job = is_significant(run, now) ? find_job(pool, run) : nullptr;
  if (job == nullptr)
    return;
  pool_task& task = job->tasks[run.task];
  if (task.outcome != wire::RUN_UNSPECIFIED)
    return;
  bool stalled = is_stalled(*job, run, now);
  if (listed.percent < 1 && !stalled)
    return;
  bool by_speed = !stalled && has_uneven_speeds(pool, job->request.service());
  move_forecast forecast =
      by_speed
          ? forecast_by_speed(pool, upstream, *job, task, run, listed.task, now)
          : forecast_by_estimate(pool, *job, task, run, listed.task, now);
  if (forecast.other != nullptr) {
    ++task.moves;
    task.failed_on.insert(upstream.info.id());
    out.events.push_back(
        {"task_moved",
         fmt::format("task={} attempt={} upstream={} percent={} elapsed_ms={} "
                     "usual_ms={}",
                     listed.task, run.attempt, upstream.info.id(), run.percent,
                     now - run.started_ms, usual_length_ms(*job))});
    stop_run(pool, upstream, listed.task, now, out);
    // A speed that is known is no failure.
    record_attempt(pool, upstream,
                   forecast.below_speed ? attempt_verdict::failed
                                        : attempt_verdict::neutral,
                   now, out);
    return;
  }
  // A stalled run may resume, and capacity may become free elsewhere.
  bool unservable = forecast.here_ms > job->deadline_ms &&
                    (!stalled || forecast.elsewhere_ms > job->deadline_ms);
  if (unservable)
    abandon_job(pool, *job, listed, run, now, out);
}

}  // namespace cyclamenwood
