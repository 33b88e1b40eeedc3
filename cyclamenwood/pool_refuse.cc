// Rejects jobs that can't be served in time.
//
// The queue is traversed in the order of service. The work ahead of a job,
// divided by the capacity for its service, gives the time when the job would
// start. A job that would start too late for its deadline is rejected at once.
// While work arrives faster than the capacity can process it, so is a job that
// can't meet its objective, since jobs that can meet theirs are served before
// it until the load falls.
//
// This handles load above the capacity: the callers of jobs that can't be
// served get their answer on arrival, when they can still react, and the other
// jobs are served within their objective. A job is never rejected once a start
// was ordered for one of its tasks.
#include <algorithm>
#include <cmath>
#include <map>
#include <string_view>

#include "cyclamenwood/pool_internal.h"

namespace cyclamenwood {
namespace {

// Half-life of the weight of past arrivals: longer than the gaps between
// arrivals, shorter than a burst.
constexpr double LOAD_HALF_LIFE_MS = 500;
// Tasks of about half the size of an upstream leave some of its capacity
// unused.
constexpr double USABLE_SHARE = 0.85;

struct service_queue {
  int64_t capacity_milli = 0;
  double work_ahead = 0;
};

using service_queues = std::map<std::string_view, service_queue>;

service_queues measure_capacity(const pool& pool, unix_ms now) {
  service_queues queues;
  for (const auto& [id, upstream] : pool.upstreams) {
    if (may_take_work(pool, upstream, now))
      queues[upstream.info.service()].capacity_milli +=
          weighted_cpu_milli(pool, upstream);
  }
  return queues;
}

// Whether the job is to be rejected, given the expected wait before it starts.
bool is_unservable(const pool_job& job,
                   double wait_ms,
                   bool overloaded,
                   unix_ms now) {
  if (job.started)
    return false;
  unix_ms start_ms = now + static_cast<int64_t>(std::min(wait_ms, 1e9));
  unix_ms last_ms = job.deadline_ms - job.request.estimate_ms();
  return start_ms >
             (overloaded ? std::min(latest_start_ms(job), last_ms) : last_ms) ||
         (overloaded && job.late);
}

// Speeds and corrections of estimates are only defined up to a common factor,
// so that both apply or neither.
double work_of(const pool& pool,
               const wire::run_request& request,
               size_t tasks) {
  double size_ms = has_uneven_speeds(pool, request.service())
                       ? expected_size_ms(pool, request)
                       : static_cast<double>(request.estimate_ms());
  return static_cast<double>(tasks) * request.need().cpu_milli() * size_ms;
}

// The meter's work, decayed to the current time.
double decayed_work(const load_meter& meter, unix_ms now) {
  auto span = static_cast<double>(now - meter.read_ms);
  return meter.work * std::exp2(-span / LOAD_HALF_LIFE_MS);
}

}  // namespace

bool is_overloaded(const pool& pool,
                   const std::string& service,
                   int64_t capacity_milli,
                   unix_ms now) {
  auto found = pool.load.find(service);
  if (found == pool.load.end())
    return false;
  double arriving_milli =
      decayed_work(found->second, now) * std::log(2.0) / LOAD_HALF_LIFE_MS;
  return arriving_milli > USABLE_SHARE * static_cast<double>(capacity_milli);
}

int64_t weighted_cpu_milli(const pool& pool, const leased_upstream& upstream) {
  return static_cast<int64_t>(upstream.info.capacity().cpu_milli() *
                              effective_speed(pool, upstream));
}

double queued_work_of(const pool& pool, const pool_job& job) {
  auto queued =
      std::count_if(job.tasks.begin(), job.tasks.end(),
                    [](const auto& item) { return item.second.queued; });
  return work_of(pool, job.request, queued);
}

void record_load(pool& pool,
                 const wire::run_request& request,
                 size_t tasks,
                 unix_ms now) {
  load_meter& meter = pool.load[request.service()];
  meter.work = decayed_work(meter, now) + work_of(pool, request, tasks);
  meter.read_ms = now;
}

void subtract_load(pool& pool,
                   const wire::run_request& request,
                   size_t tasks,
                   unix_ms now) {
  load_meter& meter = pool.load[request.service()];
  meter.work =
      std::max(decayed_work(meter, now) - work_of(pool, request, tasks), 0.0);
  meter.read_ms = now;
}

void reject_unservable_jobs(pool& pool, unix_ms now, pool_output& out) {
  if (pool.queue.empty())
    return;
  service_queues queues = measure_capacity(pool, now);
  std::vector<pool_job_id> rejected;
  for (const queue_key& key : pool.queue) {
    const pool_job& job = pool.jobs.at(std::get<pool_job_id>(key));
    service_queue& queue = queues[job.request.service()];
    // Without any usable upstream nothing is rejected: capacity may return
    // before the deadline.
    if (queue.capacity_milli <= 0)
      continue;
    bool overloaded =
        is_overloaded(pool, job.request.service(), queue.capacity_milli, now);
    double wait_ms = queue.work_ahead /
                     (USABLE_SHARE * static_cast<double>(queue.capacity_milli));
    if (is_unservable(job, wait_ms, overloaded, now))
      rejected.push_back(std::get<pool_job_id>(key));
    else
      queue.work_ahead += queued_work_of(pool, job);
  }
  for (const pool_job_id& id : rejected)
    expire_job(pool, pool.jobs.at(id), out);
}

}  // namespace cyclamenwood
