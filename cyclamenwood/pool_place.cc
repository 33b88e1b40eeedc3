// Placement and order of service.
//
// Tasks are taken in the order of their jobs' keys and each goes to the
// upstream where it leaves the least processor room, so that large holes stay
// whole for large tasks. A task that fits nowhere is passed over.
//
// Answers load that is near the room with bursts above it: a queue then holds
// jobs of all priorities, and those that can't end in time any more only take
// room from those that can.
#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "cyclamenwood/pool_internal.h"

namespace cyclamenwood {
namespace {

bool fits(const wire::room& need, const room_sum& free) {
  return need.cpu_milli() <= free.cpu_milli &&
         need.memory_mb() <= free.memory_mb &&
         need.accelerators() <= free.accelerators;
}

bool has_label(const wire::upstream& upstream, const std::string& label) {
  return label.empty() ||
         std::find(upstream.labels().begin(), upstream.labels().end(), label) !=
             upstream.labels().end();
}

// Better is smaller: not failed there before, near its data, fullest.
using preference = std::tuple<bool, bool, int64_t>;

// A former owner's runs may still be unlisted: a resumed job waits until all
// reachable upstreams are, or until no lease of that owner can last.
bool must_wait_for_lists(const pool& pool, const pool_job& job, unix_ms now) {
  if (!job.request.resumed() ||
      now > pool.owned_since_ms + pool.options.lease_ms + ADOPTION_MS)
    return false;
  bool unlisted =
      std::any_of(pool.upstreams.begin(), pool.upstreams.end(),
                  [](const auto& item) { return !item.second.listed; });
  // One that is not even known here has not been heard of yet.
  return unlisted ||
         std::any_of(job.former_upstreams.begin(), job.former_upstreams.end(),
                     [&pool](const std::string& id) {
                       return !pool.upstreams.contains(id);
                     });
}

struct placement {
  // A task was ordered.
  bool took_room = false;
  // Tasks of the job are still queued.
  bool waits = false;
};

// Places what fits.
placement place_job(pool& pool, pool_job& job, unix_ms now, pool_output& out) {
  placement done;
  for (auto& [index, task] : job.tasks) {
    if (!task.queued || adopt_task(pool, job, index, out))
      continue;
    bool busy = pool.placed.contains(task_name(job.request, index));
    leased_upstream* upstream =
        busy ? nullptr : choose_upstream(pool, job, task, now);
    if (upstream == nullptr) {
      done.waits = true;
      continue;
    }
    task.queued = false;
    start_run(pool, *upstream, job, index, now, out);
    done.took_room = true;
  }
  return done;
}

// The most processor room that one upstream of each service has free: most
// jobs of a long queue are passed over by it without a look at the upstreams.
class largest_room {
 public:
  largest_room(const pool& pool, unix_ms now) : pool_(pool), now_(now) {
    measure();
  }

  bool may_fit(const pool_job& job) const {
    auto found = cpu_milli_.find(job.request.service());
    return found != cpu_milli_.end() &&
           job.request.need().cpu_milli() <= found->second;
  }

  // After tasks were placed.
  void measure() {
    cpu_milli_.clear();
    for (const auto& [id, upstream] : pool_.upstreams) {
      if (!may_take_work(upstream, now_))
        continue;
      int64_t& largest = cpu_milli_[upstream.info.service()];
      largest = std::max(largest, free_room(upstream).cpu_milli);
    }
  }

 private:
  const pool& pool_;
  unix_ms now_;
  std::map<std::string_view, int64_t> cpu_milli_;
};

// A run or an end that a new owner found may be what a queued task waits for.
bool may_adopt(const pool& pool, unix_ms now) {
  return !pool.found_ends.empty() || now <= pool.adoptable_until_ms;
}

}  // namespace

bool may_take_work(const leased_upstream& upstream, unix_ms now) {
  return upstream.listed && upstream.reachable &&
         upstream.info.state() == wire::UPSTREAM_READY &&
         now >= upstream.rest_until_ms &&
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
      job.late ? job.deadline_ms : std::min(job.aim_ms, job.deadline_ms);
  return by_ms - job.request.estimate_ms();
}

leased_upstream* choose_upstream(pool& pool,
                                 const pool_job& job,
                                 const pool_task& task,
                                 unix_ms now) {
  const wire::run_request& request = job.request;
  auto peer = pool.peers.find(job.from);
  uint64_t known = peer == pool.peers.end() ? 0 : peer->second.has_upstreams;
  leased_upstream* best = nullptr;
  preference best_preference;
  for (auto& [id, upstream] : pool.upstreams) {
    if (!may_take_work(upstream, now) || upstream.listed_since > known ||
        upstream.info.service() != request.service() ||
        !has_label(upstream.info, request.label()))
      continue;
    room_sum free = free_room(upstream);
    if (!fits(request.need(), free))
      continue;
    preference offered{task.failed_on.contains(id),
                       !has_label(upstream.info, request.rack()),
                       free.cpu_milli - request.need().cpu_milli()};
    if (best == nullptr || offered < best_preference) {
      best = &upstream;
      best_preference = offered;
    }
  }
  return best;
}

room_sum free_room(const leased_upstream& upstream) {
  const wire::room& capacity = upstream.info.capacity();
  const room_sum& used = upstream.used;
  return {std::max<int64_t>(capacity.cpu_milli() - used.cpu_milli, 0),
          std::max<int64_t>(capacity.memory_mb() - used.memory_mb, 0),
          std::max<int64_t>(capacity.accelerators() - used.accelerators, 0)};
}

void take_room(leased_upstream& upstream, const wire::room& need) {
  upstream.used.cpu_milli += need.cpu_milli();
  upstream.used.memory_mb += need.memory_mb();
  upstream.used.accelerators += need.accelerators();
}

void give_room_back(leased_upstream& upstream, const wire::room& need) {
  upstream.used.cpu_milli -= need.cpu_milli();
  upstream.used.memory_mb -= need.memory_mb();
  upstream.used.accelerators -= need.accelerators();
}

void sort_out_late(pool& pool, unix_ms now) {
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
  if (!std::exchange(pool.may_place, false))
    return;
  largest_room room(pool, now);
  bool adopts = may_adopt(pool, now);
  std::vector<queue_key> waiting(pool.queue.begin(), pool.queue.end());
  for (const queue_key& key : waiting) {
    pool_job& job = pool.jobs.at(std::get<pool_job_id>(key));
    if (is_expired(job, now)) {
      expire_job(pool, job, out);
      continue;
    }
    bool hopeful = adopts || room.may_fit(job);
    if (!hopeful || must_wait_for_lists(pool, job, now))
      continue;
    placement placed = place_job(pool, job, now, out);
    if (!placed.waits)
      pool.queue.erase(key);
    if (placed.took_room)
      room.measure();
  }
  refuse_hopeless(pool, now, out);
}

// Fills `queued` of each service's room.
static void add_queued_work(const pool& pool,
                            std::map<std::string, wire::service_room>& rooms) {
  std::map<std::pair<std::string, uint32_t>, int64_t> work;
  for (const queue_key& key : pool.queue) {
    const pool_job& job = pool.jobs.at(std::get<pool_job_id>(key));
    if (!job.late)
      work[{job.request.service(), job.request.priority()}] +=
          static_cast<int64_t>(queued_work_of(job));
  }
  for (const auto& [key, amount] : work) {
    wire::queued_work& queued = *rooms[key.first].add_queued();
    queued.set_priority(key.second);
    queued.set_cpu_milli_ms(amount);
  }
}

wire::pool_state describe_pool(const pool& pool, unix_ms now) {
  wire::pool_state described;
  described.set_pool(pool.name);
  described.set_token(pool.token);
  described.set_clock_ms(now);
  std::map<std::string, wire::service_room> rooms;
  for (const auto& [id, upstream] : pool.upstreams) {
    if (!may_take_work(upstream, now))
      continue;
    wire::service_room& room = rooms[upstream.info.service()];
    room.add_free_cpu_milli(
        static_cast<uint32_t>(free_room(upstream).cpu_milli));
    room.set_total_cpu_milli(room.total_cpu_milli() +
                             upstream.info.capacity().cpu_milli());
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
