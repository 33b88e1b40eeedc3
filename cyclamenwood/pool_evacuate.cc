// The pool of an evacuated availability zone, and its return to service.
//
// An evacuated pool orders no start. Its runs go on, and a new owner still
// adopts the runs that it finds. Queued tasks that their entry host can take
// back are returned, since pools of other zones may serve them; all others end,
// since nothing starts them here before their deadline.
//
// This handles the load that follows the end of an evacuation: the upstreams
// may be cold, and would get all jobs of their zone at the same moment.
#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "cyclamenwood/pool_internal.h"

namespace cyclamenwood {
namespace {

// A start order that was not answered before the evacuation may have been
// carried out. The next two lists show whether it was; after this time the run
// counts as not started.
constexpr int64_t UNANSWERED_START_MS = 2 * RENEWAL_WAIT_MS;

// Assigns the runs and ends that were found here to their tasks.
void adopt_tasks(pool& pool, pool_job& job, pool_output& out) {
  bool has_queued = false;
  for (auto& [index, task] : job.tasks) {
    if (task.queued && !adopt_task(pool, job, index, out))
      has_queued = true;
  }
  if (!has_queued)
    pool.queue.erase(key_of(job));
}

size_t end_queued_tasks(pool& pool, const pool_job_id& id, pool_output& out) {
  auto found = pool.jobs.find(id);
  if (found == pool.jobs.end())
    return 0;
  size_t queued =
      std::count_if(found->second.tasks.begin(), found->second.tasks.end(),
                    [](const auto& item) { return item.second.queued; });
  expire_job(pool, found->second, out);
  return queued;
}

}  // namespace

void defer_unanswered_start(leased_run& run, unix_ms now) {
  run.resend_ms = now + UNANSWERED_START_MS;
}

void evacuate_pool(pool& pool, unix_ms now) {
  pool.evacuated = true;
  pool.restored_ms = 0;
  pool.placement_due = true;
  for (auto& [id, upstream] : pool.upstreams) {
    upstream.accepts_work_from_ms = 0;
    for (auto& [name, run] : upstream.runs) {
      if (run.state == run_state::starting && run.resend_ms != INT64_MAX)
        defer_unanswered_start(run, now);
    }
  }
}

void restore_pool(pool& pool, unix_ms restored_ms) {
  pool.evacuated = false;
  pool.restored_ms = restored_ms;
  pool.placement_due = true;
  std::vector<std::pair<uint64_t, leased_upstream*>> order;
  for (auto& [id, upstream] : pool.upstreams)
    order.emplace_back(stable_hash(id), &upstream);
  std::sort(order.begin(), order.end());
  auto count = static_cast<int64_t>(order.size());
  for (int64_t rank = 0; rank < count; ++rank)
    order[rank].second->accepts_work_from_ms =
        restored_ms + RESTORE_MS * (rank + 1) / count;
}

unix_ms accepts_work_from_ms(const pool& pool, std::string_view upstream) {
  if (pool.restored_ms == 0)
    return 0;
  // The lower digits of the hash also select the shard.
  auto place = static_cast<int64_t>((stable_hash(upstream) >> 32) % RESTORE_MS);
  return pool.restored_ms + place;
}

void move_queued_tasks(pool& pool, unix_ms now, pool_output& out) {
  size_t returned = 0;
  size_t ended = 0;
  std::vector<queue_key> waiting(pool.queue.begin(), pool.queue.end());
  for (const queue_key& key : waiting) {
    const auto& id = std::get<pool_job_id>(key);
    pool_job& job = pool.jobs.at(id);
    if (is_expired(job, now)) {
      expire_job(pool, job, out);
      continue;
    }
    // A run of a previous owner may be found yet.
    if (must_wait_for_lists(pool, job, now))
      continue;
    adopt_tasks(pool, job, out);
    returned += return_tasks(pool, id, now, out);
    ended += end_queued_tasks(pool, id, out);
  }
  if (returned + ended == 0)
    return;
  out.events.push_back(
      {"tasks_moved_by_evacuation", fmt::format("pool={} returned={} ended={}",
                                                pool.name, returned, ended)});
}

}  // namespace cyclamenwood
