// Free capacity is counted per upstream: fragments that are smaller than a task
// can't run it.
#include "cyclamenwood/pool_choice.h"

#include <algorithm>

namespace cyclamenwood {
namespace {

// The number of tasks of this size that can start now.
int64_t count_slots(const pool_capacity& capacity, int64_t cpu_milli) {
  int64_t count = 0;
  for (int64_t free : capacity.free_cpu_milli)
    count += free / std::max<int64_t>(cpu_milli, 1);
  return count;
}

// Reserves capacity on the upstream that has the least left afterwards, as
// owners do (best fit).
bool reserve_slot(pool_capacity& capacity, int64_t cpu_milli) {
  int64_t* best = nullptr;
  for (int64_t& free : capacity.free_cpu_milli) {
    bool better = free >= cpu_milli && (best == nullptr || free < *best);
    if (better)
      best = &free;
  }
  if (best == nullptr)
    return false;
  *best -= cpu_milli;
  return true;
}

// The time until the queued work of this priority and of those served before it
// is done.
int64_t wait_ms(const pool_capacity& capacity, uint32_t priority) {
  int64_t ahead = 0;
  for (const auto& [queued_priority, work] : capacity.queued) {
    if (queued_priority <= priority)
      ahead += work;
  }
  return ahead / std::max<int64_t>(capacity.total_cpu_milli, 1);
}

const std::string& choose_pool(const pool_capacities& capacities,
                               const task_load& load) {
  auto nearest = capacities.end();
  int64_t most_slots = 0;
  auto soonest = capacities.begin();
  int64_t shortest = INT64_MAX;
  for (auto pool = capacities.begin(); pool != capacities.end(); ++pool) {
    const pool_capacity& capacity = pool->second;
    int64_t slots = count_slots(capacity, load.cpu_milli);
    bool nearer = nearest == capacities.end() ||
                  capacity.distance < nearest->second.distance;
    bool as_near = !nearer && capacity.distance == nearest->second.distance &&
                   slots > most_slots;
    if (slots > 0 && (nearer || as_near)) {
      nearest = pool;
      most_slots = slots;
    }
    int64_t wait = wait_ms(capacity, load.priority);
    bool sooner =
        wait < shortest ||
        (wait == shortest && capacity.distance < soonest->second.distance);
    if (sooner) {
      soonest = pool;
      shortest = wait;
    }
  }
  return nearest != capacities.end() ? nearest->first : soonest->first;
}

}  // namespace

pool_capacity read_resources(const wire::service_room& capacity) {
  pool_capacity read;
  read.free_cpu_milli.assign(capacity.free_cpu_milli().begin(),
                             capacity.free_cpu_milli().end());
  for (const wire::queued_work& queued : capacity.queued())
    read.queued[queued.priority()] = queued.cpu_milli_ms();
  read.total_cpu_milli = capacity.total_cpu_milli();
  read.overloaded = capacity.overloaded();
  return read;
}

pool_plan choose_pools(pool_capacities& capacities,
                       const task_load& load,
                       size_t count) {
  pool_plan plan;
  if (capacities.empty())
    return plan;
  for (size_t task = 0; task < count; ++task) {
    const std::string& chosen = choose_pool(capacities, load);
    pool_capacity& capacity = capacities.at(chosen);
    plan.queued.push_back(!reserve_slot(capacity, load.cpu_milli));
    if (plan.queued.back()) {
      plan.wait_ms = std::max(plan.wait_ms, wait_ms(capacity, load.priority));
      plan.overloaded = plan.overloaded || capacity.overloaded;
      capacity.queued[load.priority] += load.cpu_milli * load.estimate_ms;
    }
    plan.pools.push_back(chosen);
  }
  return plan;
}

}  // namespace cyclamenwood
