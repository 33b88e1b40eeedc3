// Refusal of what can't be served in time.
//
// The queue is gone through in the order of service. The work ahead of a job
// over the room of its service says when it would start. One that can't start
// early enough for its caller is given up at once; while more work arrives than
// the room can do, so is one that can't meet its objective, since those that
// can go before it until the load falls.
//
// Answers load above the room: callers of what can't be done hear so on
// arrival, while they can still do something else, and the others are served
// within their objective. Jobs of which a task was ordered stay.
#include <algorithm>
#include <cmath>
#include <map>
#include <string_view>

#include "cyclamenwood/pool_internal.h"

namespace cyclamenwood {
namespace {

// Arrivals count with half their weight after this time: longer than the gaps
// between arrivals, shorter than a burst.
constexpr double LOAD_HALF_LIFE_MS = 500;
// Tasks of about half an upstream's room leave some of it unused.
constexpr double USABLE_SHARE = 0.85;

struct service_queue {
  int64_t room_milli = 0;
  double work_ahead = 0;
};

using service_queues = std::map<std::string_view, service_queue>;

service_queues measure_room(const pool& pool, unix_ms now) {
  service_queues queues;
  for (const auto& [id, upstream] : pool.upstreams) {
    if (may_take_work(upstream, now))
      queues[upstream.info.service()].room_milli +=
          upstream.info.capacity().cpu_milli();
  }
  return queues;
}

// Whether the job, with this much wait ahead, is to be given up.
bool is_hopeless(const pool_job& job,
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

// What is left of the meter's work at this time.
double faded_work(const load_meter& meter, unix_ms now) {
  auto span = static_cast<double>(now - meter.read_ms);
  return meter.work * std::exp2(-span / LOAD_HALF_LIFE_MS);
}

}  // namespace

bool is_overloaded(const pool& pool,
                   const std::string& service,
                   int64_t room_milli,
                   unix_ms now) {
  auto found = pool.load.find(service);
  if (found == pool.load.end())
    return false;
  double arriving_milli =
      faded_work(found->second, now) * std::log(2.0) / LOAD_HALF_LIFE_MS;
  return arriving_milli > USABLE_SHARE * static_cast<double>(room_milli);
}

double queued_work_of(const pool_job& job) {
  auto queued =
      std::count_if(job.tasks.begin(), job.tasks.end(),
                    [](const auto& item) { return item.second.queued; });
  return static_cast<double>(queued) * job.request.need().cpu_milli() *
         static_cast<double>(job.request.estimate_ms());
}

void count_load(pool& pool, const wire::run_request& request, unix_ms now) {
  load_meter& meter = pool.load[request.service()];
  meter.work = faded_work(meter, now);
  meter.read_ms = now;
  meter.work += static_cast<double>(request.tasks_size()) *
                request.need().cpu_milli() *
                static_cast<double>(request.estimate_ms());
}

void refuse_hopeless(pool& pool, unix_ms now, pool_output& out) {
  if (pool.queue.empty())
    return;
  service_queues queues = measure_room(pool, now);
  std::vector<pool_job_id> hopeless;
  for (const queue_key& key : pool.queue) {
    const pool_job& job = pool.jobs.at(std::get<pool_job_id>(key));
    service_queue& queue = queues[job.request.service()];
    // Without any upstream the room may come back before the caller leaves.
    if (queue.room_milli <= 0)
      continue;
    bool overloaded =
        is_overloaded(pool, job.request.service(), queue.room_milli, now);
    double wait_ms = queue.work_ahead /
                     (USABLE_SHARE * static_cast<double>(queue.room_milli));
    if (is_hopeless(job, wait_ms, overloaded, now))
      hopeless.push_back(std::get<pool_job_id>(key));
    else
      queue.work_ahead += queued_work_of(job);
  }
  for (const pool_job_id& id : hopeless)
    expire_job(pool, pool.jobs.at(id), out);
}

}  // namespace cyclamenwood
