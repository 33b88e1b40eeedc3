// Forecasts of run times, from the estimates of callers and, if the pool learns
// the speeds of its upstreams, from completed runs and the progress of the run.
//
// This handles upstreams of different speeds and estimates that are off by 40%:
// plain estimates then mistake a long task for one on a slow upstream.
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string_view>
#include <vector>

#include "cyclamenwood/pool_internal.h"

namespace cyclamenwood {
namespace {

// How often speeds are computed anew from the recorded runs.
constexpr int64_t SPEED_REFRESH_MS = 100;
// Progress below this is rounded too coarsely to predict the end of a run.
constexpr int64_t MIN_FORECAST_PERCENT = 5;

void log_speed(leased_upstream& upstream, pool_output& out) {
  upstream_speed& learned = upstream.speed;
  double ratio = learned.speed / learned.logged_speed;
  if (ratio < MIN_SPEED_RATIO && ratio > 1 / MIN_SPEED_RATIO)
    return;
  out.events.push_back(
      {"upstream_speed",
       fmt::format("upstream={} speed={:.2f} former_speed={:.2f} runs={:.0f}",
                   upstream.info.id(), learned.speed, learned.logged_speed,
                   learned.totals.runs)});
  learned.logged_speed = learned.speed;
}

}  // namespace

void learn_run(pool& pool,
               leased_upstream& upstream,
               const pool_job& job,
               const leased_run& run,
               unix_ms now) {
  if (!pool.options.learn_speeds)
    return;
  const wire::run_request& request = job.request;
  record_run(pool.times, upstream.speed,
             {request.service(), request.priority()}, request.estimate_ms(),
             now - run.started_ms, now);
}

void refresh_speeds(pool& pool, unix_ms now, pool_output& out) {
  if (!pool.options.learn_speeds ||
      now - pool.times.refreshed_ms < SPEED_REFRESH_MS)
    return;
  pool.times.refreshed_ms = now;
  for (auto& [kind, totals] : pool.times.kinds)
    decay(totals, now);
  std::map<std::string_view, std::vector<upstream_speed*>> services;
  for (auto& [id, upstream] : pool.upstreams) {
    decay(upstream.speed.totals, now);
    services[upstream.info.service()].push_back(&upstream.speed);
  }
  pool.times.uneven_services.clear();
  for (const auto& [service, speeds] : services) {
    normalize_speeds(speeds);
    if (speeds_differ(speeds))
      pool.times.uneven_services.emplace(service);
  }
  for (auto& [id, upstream] : pool.upstreams)
    log_speed(upstream, out);
}

bool has_uneven_speeds(const pool& pool, const std::string& service) {
  return !pool.times.uneven_services.empty() &&
         pool.times.uneven_services.contains(service);
}

double effective_speed(const pool& pool, const leased_upstream& upstream) {
  return has_uneven_speeds(pool, upstream.info.service()) ? upstream.speed.speed
                                                          : 1;
}

double expected_size_ms(const pool& pool, const wire::run_request& request) {
  auto estimate_ms = static_cast<double>(request.estimate_ms());
  if (pool.times.kinds.empty())
    return estimate_ms;
  return estimate_ms * estimate_correction(
                           pool.times, {request.service(), request.priority()});
}

int64_t expected_run_ms(const pool& pool,
                        const leased_upstream& upstream,
                        const wire::run_request& request) {
  return static_cast<int64_t>(expected_size_ms(pool, request) /
                              upstream.speed.speed);
}

unix_ms expected_end_ms(const pool& pool,
                        const leased_upstream& upstream,
                        const leased_run& run,
                        unix_ms now) {
  auto job = pool.jobs.find({run.submission, run.step});
  if (job == pool.jobs.end())
    return INT64_MAX;
  unix_ms started_ms = run.started_ms != 0 ? run.started_ms : now;
  int64_t run_ms = expected_run_ms(pool, upstream, job->second.request);
  bool progress_is_significant = pool.options.learn_speeds &&
                                 run.started_ms != 0 &&
                                 run.percent >= MIN_FORECAST_PERCENT;
  if (progress_is_significant)
    run_ms = (run.last_progress_ms - run.started_ms) * 100 / run.percent;
  return std::max(now, started_ms + run_ms);
}

}  // namespace cyclamenwood
