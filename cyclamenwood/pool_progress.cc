// Progress of runs, and what it says of their upstreams.
//
// The lists tell how far each run is. From that follows when it would end here;
// how long the job's other tasks took, or its estimate, tells when it would end
// if it were stopped and started elsewhere. A task is moved when that is the
// better end by far: its upstream stands still or is slow. A job whose task
// can't end before its caller leaves, here or elsewhere, is given up at once:
// its room is worth more to others, and the caller learns it early.
//
// Answers load on which some upstreams are slow or stand still while others
// have room. Work is never run twice at once: the stop is settled first.
#include <fmt/format.h>

#include <algorithm>

#include "cyclamenwood/pool_internal.h"

namespace cyclamenwood {
namespace {

// Progress over a shorter time says little of the whole.
constexpr int64_t MIN_PROGRESS_MS = 100;
// A run without progress for this long stands still, if a tenth of its length
// is less: lists come three times a second.
constexpr int64_t STANDING_MS = 250;
constexpr int64_t STANDING_SHARE = 10;
// From the order to stop until the task runs elsewhere: the time that an
// upstream may take to stop (50 ms) and two orders.
constexpr int64_t MOVE_MS = 70;
// A move throws work away, and callers' estimates are off by up to 40%: what is
// left must be this many times what it takes elsewhere.
constexpr int64_t MIN_GAIN = 2;
// A task that goes slowly everywhere is not moved on and on.
constexpr int MAX_MOVES = 2;
// Progress is told in whole percent, rounded down.
constexpr int64_t ALMOST_DONE_PERCENT = 99;

// How long the task takes on an upstream that is well.
int64_t usual_length_ms(const pool_job& job) {
  return job.longest_run_ms > 0 ? job.longest_run_ms
                                : job.request.estimate_ms();
}

bool stands_still(const pool_job& job, const leased_run& run, unix_ms now) {
  int64_t patience =
      std::max(STANDING_MS, usual_length_ms(job) / STANDING_SHARE);
  return run.percent < ALMOST_DONE_PERCENT &&
         now - run.percent_since_ms >= patience;
}

// When the run would end here; INT64_MAX: never.
unix_ms end_here_ms(const pool_job& job, const leased_run& run, unix_ms now) {
  if (stands_still(job, run, now))
    return INT64_MAX;
  int64_t left = std::max<int64_t>(ALMOST_DONE_PERCENT - run.percent, 0);
  return now + (now - run.began_ms) * left / (run.percent + 1);
}

// How many of its two limits an end at this time misses.
int missed_limits(const pool_job& job, unix_ms end_ms) {
  return (end_ms > job.aim_ms ? 1 : 0) + (end_ms > job.deadline_ms ? 1 : 0);
}

bool gains_by_move(const pool_job& job,
                   unix_ms here_ms,
                   unix_ms elsewhere_ms,
                   unix_ms now) {
  if (elsewhere_ms > job.deadline_ms)
    return false;
  bool far_better = (here_ms - now) / MIN_GAIN > elsewhere_ms - now;
  return far_better &&
         missed_limits(job, elsewhere_ms) < missed_limits(job, here_ms);
}

bool has_room_elsewhere(pool& pool,
                        const leased_upstream& upstream,
                        const pool_job& job,
                        const pool_task& task,
                        unix_ms now) {
  pool_task elsewhere = task;
  elsewhere.failed_on.insert(upstream.info.id());
  const leased_upstream* other = choose_upstream(pool, job, elsewhere, now);
  return other != nullptr && !elsewhere.failed_on.contains(other->info.id());
}

void take_progress(leased_run& run, int64_t percent, unix_ms now) {
  if (run.percent_since_ms != 0 && percent <= run.percent)
    return;
  run.percent = percent;
  run.percent_since_ms = now;
}

void give_up(pool& pool,
             pool_job& job,
             const listed_run& listed,
             const leased_run& run,
             unix_ms now,
             pool_output& out) {
  out.notes.push_back(
      {"job_hopeless",
       fmt::format("task={} percent={} elapsed_ms={} estimate_ms={} left_ms={}",
                   listed.task, listed.percent, now - run.began_ms,
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
  upstream.rest_until_ms = health.ejected_until_ms;
  out.notes.push_back(
      {"upstream_ejected",
       fmt::format("upstream={} failure_rate={:.2f} attempts={} rest_ms={}", id,
                   health.failure_rate, health.samples,
                   health.ejected_until_ms - now)});
}

void judge_progress(pool& pool,
                    leased_upstream& upstream,
                    const listed_run& listed,
                    unix_ms now,
                    pool_output& out) {
  leased_run& run = upstream.runs.at(listed.task);
  take_progress(run, listed.percent, now);
  bool can_tell = run.began_ms != 0 && run.state == run_state::running &&
                  now - run.began_ms >= MIN_PROGRESS_MS;
  pool_job* job = can_tell ? find_job(pool, run) : nullptr;
  if (job == nullptr)
    return;
  pool_task& task = job->tasks[run.task];
  if (task.outcome != wire::RUN_UNSPECIFIED)
    return;
  bool stands = stands_still(*job, run, now);
  if (listed.percent < 1 && !stands)
    return;
  unix_ms here_ms = end_here_ms(*job, run, now);
  unix_ms elsewhere_ms = now + MOVE_MS + usual_length_ms(*job);
  bool moves = task.moves < MAX_MOVES &&
               gains_by_move(*job, here_ms, elsewhere_ms, now) &&
               has_room_elsewhere(pool, upstream, *job, task, now);
  if (moves) {
    ++task.moves;
    task.failed_on.insert(upstream.info.id());
    out.notes.push_back(
        {"task_moved",
         fmt::format("task={} attempt={} upstream={} percent={} elapsed_ms={} "
                     "usual_ms={}",
                     listed.task, run.attempt, upstream.info.id(), run.percent,
                     now - run.began_ms, usual_length_ms(*job))});
    stop_run(pool, upstream, listed.task, now, out);
    record_attempt(pool, upstream, attempt_verdict::failed, now, out);
    return;
  }
  // A run that stands still may go on; room elsewhere may come.
  bool hopeless = here_ms > job->deadline_ms &&
                  (!stands || elsewhere_ms > job->deadline_ms);
  if (hopeless)
    give_up(pool, *job, listed, run, now, out);
}

}  // namespace cyclamenwood
