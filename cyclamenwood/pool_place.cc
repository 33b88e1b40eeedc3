// Placement and order of service.
//
// Tasks are processed in the order of their jobs' keys. Each task goes to the
// upstream where it leaves the least processor capacity free (best fit), so
// that large gaps remain available to large tasks. A task that fits on no
// upstream is skipped, or returned to its entry host if that asked for it: the
// entry host knows of capacity elsewhere, where the task starts sooner than it
// would here.
//
// Upstreams may be reserved for tasks that wait (pool_reserve.h).
//
// A task that may have crashed an upstream gets one to itself: if it crashes
// that one too, it takes no other task with it, and the second crash shows
// which of the tasks that were lost in the first one was the cause.
//
// This handles load that is close to the capacity, with bursts above it. The
// queue then contains jobs of all priorities, and jobs that can no longer
// complete in time would only take capacity from those that can.
#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "cyclamenwood/pool_internal.h"
#include "cyclamenwood/pool_reserve.h"

namespace cyclamenwood {
namespace {

// Smaller is better: did not fail there before, limits (objective with and
// without a margin, deadline) that it is expected to miss, not reserved for
// another task lately, close to its data, least capacity left.
using preference = std::tuple<bool, int, bool, bool, int64_t>;

// Estimates are off by 40%: a task is expected to meet a limit if it does so
// with this many times its expected size. Without that, more of the tasks whose
// estimate is too low miss their objective on a slow upstream than others meet
// theirs on a fast one (docs/design/upstream-speeds.md).
constexpr double SIZE_MARGIN = 1.4;

// The speeds that an upstream needs for a task to meet its job's limits; 0 if
// the speeds of upstreams are not known to differ.
struct needed_speeds {
  double safe_objective = 0;
  double objective = 0;
  double safe_deadline = 0;
};

needed_speeds speeds_for(const pool& pool,
                         const pool_job& job,
                         const pool_task& task,
                         unix_ms now) {
  if (!has_uneven_speeds(pool, job.request.service()))
    return {};
  bool is_known = task.size_ms > 0;
  double size_ms =
      is_known ? task.size_ms : expected_size_ms(pool, job.request);
  double safe_size_ms = is_known ? size_ms : SIZE_MARGIN * size_ms;
  auto until = [now](unix_ms end_ms) {
    return static_cast<double>(std::max<int64_t>(end_ms - now, 1));
  };
  return {safe_size_ms / until(job.objective_ms),
          size_ms / until(job.objective_ms),
          safe_size_ms / until(job.deadline_ms)};
}

int missed_limits(const leased_upstream& upstream,
                  const needed_speeds& needed) {
  double speed = upstream.speed.speed;
  return (speed < needed.safe_objective ? 1 : 0) +
         (speed < needed.objective ? 1 : 0) +
         (speed < needed.safe_deadline ? 1 : 0);
}

struct placement {
  // A start was ordered.
  bool started_any = false;
  // Tasks of the job are still queued.
  bool has_queued = false;
};

// Starts those tasks of the job that fit.
placement place_job(pool& pool,
                    pool_job& job,
                    reservation_plan& plan,
                    unix_ms now,
                    pool_output& out) {
  placement done;
  for (auto& [index, task] : job.tasks) {
    if (!task.queued || adopt_task(pool, job, index, out))
      continue;
    std::string name = task_name(job.request, index);
    leased_upstream* upstream =
        pool.placed.contains(name)
            ? nullptr
            : choose_upstream(pool, job, task, name, &plan, now);
    if (upstream == nullptr) {
      done.has_queued = true;
      continue;
    }
    task.queued = false;
    start_run(pool, *upstream, job, index, now, out);
    plan.task_started(*upstream, job.request);
    done.started_any = true;
  }
  return done;
}

// The largest free processor capacity of any single upstream that is not
// reserved, by service. In a
// long queue most jobs can be skipped by it without a search of the upstreams.
class largest_free_cpu {
 public:
  largest_free_cpu(const pool& pool, const reservation_plan& plan, unix_ms now)
      : pool_(pool), plan_(plan), now_(now) {
    measure();
  }

  bool may_fit(const pool_job& job) const {
    auto found = cpu_milli_.find(job.request.service());
    return (found != cpu_milli_.end() &&
            job.request.need().cpu_milli() <= found->second) ||
           plan_.may_backfill(job.request);
  }

  // Whether it changes when an upstream with this free capacity is reserved for
  // the job.
  bool depends_on(const pool_job& job, int64_t cpu_milli) const {
    if (cpu_milli == 0)
      return false;
    auto found = cpu_milli_.find(job.request.service());
    return found != cpu_milli_.end() && cpu_milli >= found->second;
  }

  // Must be called again after tasks were placed, or if it depends on an
  // upstream that was reserved.
  void measure() {
    cpu_milli_.clear();
    for (const auto& [id, upstream] : pool_.upstreams) {
      if (!may_take_work(pool_, upstream, now_) || plan_.is_reserved(upstream))
        continue;
      int64_t& largest = cpu_milli_[upstream.info.service()];
      largest = std::max(largest, free_resources(upstream).cpu_milli);
    }
  }

 private:
  const pool& pool_;
  const reservation_plan& plan_;
  unix_ms now_;
  std::map<std::string_view, int64_t> cpu_milli_;
};

// Whether a run or an end that a new owner found may belong to a queued task.
bool may_adopt(const pool& pool, unix_ms now) {
  return !pool.unclaimed_ends.empty() || now <= pool.adoptable_until_ms;
}

}  // namespace

// Runs that a previous owner started may not have been listed yet. A resumed
// job therefore waits until all known upstreams have been listed, including
// those that its entry host named, or until all leases that the previous owner
// requested must have expired. That one may not know that it was replaced. It
// extends leases for the job's tasks as long as their entry host exchanges
// hellos with it, which may be longer than this process is the owner, but ends
// before the first request arrives here.
bool must_wait_for_lists(const pool& pool, const pool_job& job, unix_ms now) {
  unix_ms former_runs_since_ms =
      job.former_upstreams.empty()
          ? pool.owned_since_ms
          : std::max(pool.owned_since_ms, job.requested_ms);
  bool former_runs_are_over =
      now > former_runs_since_ms + pool.options.lease_ms + ADOPTION_WINDOW_MS;
  if (!job.request.resumed() || former_runs_are_over)
    return false;
  bool unlisted =
      std::any_of(pool.upstreams.begin(), pool.upstreams.end(),
                  [](const auto& item) { return !item.second.listed; });
  // An upstream that is missing here has not announced itself yet.
  return unlisted ||
         std::any_of(job.former_upstreams.begin(), job.former_upstreams.end(),
                     [&pool](const std::string& id) {
                       return !pool.upstreams.contains(id);
                     });
}

bool fits(const wire::room& need, const resource_amount& free) {
  return need.cpu_milli() <= free.cpu_milli &&
         need.memory_mb() <= free.memory_mb &&
         need.accelerators() <= free.accelerators;
}

bool has_label(const wire::upstream& upstream, const std::string& label) {
  return label.empty() ||
         std::find(upstream.labels().begin(), upstream.labels().end(), label) !=
             upstream.labels().end();
}

bool may_take_work(const pool& pool,
                   const leased_upstream& upstream,
                   unix_ms now) {
  return !pool.evacuated && now >= upstream.accepts_work_from_ms &&
         upstream.listed && upstream.reachable && upstream.clock_offset_ms &&
         upstream.info.state() == wire::UPSTREAM_READY &&
         now >= upstream.backoff_until_ms && !upstream.isolated &&
         !(upstream.on_probation && !upstream.runs.empty());
}

bool is_expired(const pool_job& job, unix_ms now) {
  return now + job.request.estimate_ms() / 2 > job.deadline_ms;
}

void expire_job(pool& pool, pool_job& job, pool_output& out) {
  for (auto& [index, task] : job.tasks) {
    if (task.queued)
      settle_task(pool, job, index, wire::RUN_EXPIRED, out);
  }
}

unix_ms latest_start_ms(const pool_job& job) {
  unix_ms by_ms =
      job.late ? job.deadline_ms : std::min(job.objective_ms, job.deadline_ms);
  return by_ms - job.request.estimate_ms();
}

leased_upstream* choose_upstream(pool& pool,
                                 const pool_job& job,
                                 const pool_task& task,
                                 const std::string& name,
                                 const reservation_plan* plan,
                                 unix_ms now) {
  const wire::run_request& request = job.request;
  auto peer = pool.peers.find(job.from);
  if (peer == pool.peers.end())
    return nullptr;
  unix_ms wanted_ms = last_wanted_ms(peer->second);
  uint64_t known_version = peer->second.known_upstreams_version;
  // Not needed where the task fits on no upstream.
  std::optional<needed_speeds> needed;
  leased_upstream* best = nullptr;
  preference best_preference;
  for (auto& [id, upstream] : pool.upstreams) {
    if (!may_take_work(pool, upstream, now) ||
        (task.suspect && !upstream.runs.empty()) ||
        upstream.first_listed_version > known_version ||
        upstream.info.service() != request.service() ||
        !has_label(upstream.info, request.label()))
      continue;
    resource_amount free = free_resources(upstream);
    if (!fits(request.need(), free) || upstream.runs.contains(name) ||
        !may_start_under_lease(pool, upstream, wanted_ms, now))
      continue;
    bool may_use = plan != nullptr ? plan->allows(upstream, request)
                                   : find_reservation(pool, id) == nullptr;
    if (!may_use)
      continue;
    if (!needed)
      needed = speeds_for(pool, job, task, now);
    preference offered{task.failed_on.contains(id),
                       missed_limits(upstream, *needed),
                       plan != nullptr && plan->was_reserved(upstream),
                       !has_label(upstream.info, request.rack()),
                       free.cpu_milli - request.need().cpu_milli()};
    if (best == nullptr || offered < best_preference) {
      best = &upstream;
      best_preference = offered;
    }
  }
  return best;
}

resource_amount free_resources(const leased_upstream& upstream) {
  const wire::room& capacity = upstream.info.capacity();
  const resource_amount& used = upstream.used;
  return {std::max<int64_t>(capacity.cpu_milli() - used.cpu_milli, 0),
          std::max<int64_t>(capacity.memory_mb() - used.memory_mb, 0),
          std::max<int64_t>(capacity.accelerators() - used.accelerators, 0)};
}

void add_resources(resource_amount& amount, const wire::room& need) {
  amount.cpu_milli += need.cpu_milli();
  amount.memory_mb += need.memory_mb();
  amount.accelerators += need.accelerators();
}

void subtract_resources(resource_amount& amount, const wire::room& need) {
  amount.cpu_milli -= need.cpu_milli();
  amount.memory_mb -= need.memory_mb();
  amount.accelerators -= need.accelerators();
}

void reserve_resources(leased_upstream& upstream, const wire::room& need) {
  add_resources(upstream.used, need);
}

void release_resources(leased_upstream& upstream, const wire::room& need) {
  subtract_resources(upstream.used, need);
}

void demote_late_jobs(pool& pool, unix_ms now) {
  std::vector<queue_key> late;
  for (const queue_key& key : pool.queue) {
    const pool_job& job = pool.jobs.at(std::get<pool_job_id>(key));
    if (!job.late && !job.started && now > latest_start_ms(job))
      late.push_back(key);
  }
  for (const queue_key& key : late) {
    pool_job& job = pool.jobs.at(std::get<pool_job_id>(key));
    pool.queue.erase(key);
    job.late = true;
    pool.queue.insert(key_of(job));
  }
}

queue_key key_of(const pool_job& job) {
  return {job.late,
          job.request.priority(),
          latest_start_ms(job),
          {job.request.submission(), job.request.step()}};
}

void place_tasks(pool& pool, unix_ms now, pool_output& out) {
  if (pool.token == 0)
    return;
  expire_peers(pool, now, out);
  if (!std::exchange(pool.placement_due, false))
    return;
  if (pool.evacuated) {
    move_queued_tasks(pool, now, out);
    return;
  }
  reservation_plan plan(pool, now);
  largest_free_cpu largest_free(pool, plan, now);
  bool may_adopt_runs = may_adopt(pool, now);
  std::vector<queue_key> waiting(pool.queue.begin(), pool.queue.end());
  for (const queue_key& key : waiting) {
    pool_job& job = pool.jobs.at(std::get<pool_job_id>(key));
    if (is_expired(job, now)) {
      expire_job(pool, job, out);
      continue;
    }
    if (must_wait_for_lists(pool, job, now))
      continue;
    placement placed{.has_queued = true};
    if (may_adopt_runs || largest_free.may_fit(job))
      placed = place_job(pool, job, plan, now, out);
    int64_t reserved_cpu = placed.has_queued ? plan.job_waits(job, out) : 0;
    if (!placed.has_queued)
      pool.queue.erase(key);
    if (placed.started_any || largest_free.depends_on(job, reserved_cpu))
      largest_free.measure();
  }
  plan.finish();
  for (const queue_key& key : waiting)
    return_tasks(pool, std::get<pool_job_id>(key), now, out);
  reject_unservable_jobs(pool, now, out);
}

// Sets `queued` for each service.
static void add_queued_work(const pool& pool,
                            std::map<std::string, wire::service_room>& rooms) {
  std::map<std::pair<std::string, uint32_t>, int64_t> work;
  for (const queue_key& key : pool.queue) {
    const pool_job& job = pool.jobs.at(std::get<pool_job_id>(key));
    if (!job.late)
      work[{job.request.service(), job.request.priority()}] +=
          static_cast<int64_t>(queued_work_of(pool, job));
  }
  for (const auto& [key, amount] : work) {
    wire::queued_work& queued = *rooms[key.first].add_queued();
    queued.set_priority(key.second);
    queued.set_cpu_milli_ms(amount);
  }
}

// What a task may use that takes any time.
static uint32_t free_for_any_task(const pool& pool,
                                  const leased_upstream& upstream) {
  int64_t free = free_resources(upstream).cpu_milli;
  const upstream_reservation* reserved =
      find_reservation(pool, upstream.info.id());
  if (reserved != nullptr)
    free = std::clamp<int64_t>(reserved->spare.cpu_milli, 0, free);
  return static_cast<uint32_t>(free);
}

wire::pool_state describe_pool(const pool& pool, unix_ms now) {
  wire::pool_state described;
  described.set_pool(pool.name);
  described.set_token(pool.token);
  described.set_clock_ms(now);
  std::map<std::string, wire::service_room> rooms;
  for (const auto& [id, upstream] : pool.upstreams) {
    if (!may_take_work(pool, upstream, now))
      continue;
    wire::service_room& room = rooms[upstream.info.service()];
    room.add_free_cpu_milli(free_for_any_task(pool, upstream));
    room.set_total_cpu_milli(room.total_cpu_milli() +
                             weighted_cpu_milli(pool, upstream));
  }
  add_queued_work(pool, rooms);
  for (auto& [service, room] : rooms) {
    room.set_overloaded(
        is_overloaded(pool, service, room.total_cpu_milli(), now));
    room.set_service(service);
    *described.add_services() = std::move(room);
  }
  return described;
}

}  // namespace cyclamenwood
