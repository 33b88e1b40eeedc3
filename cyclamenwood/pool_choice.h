// Chooses the pool for each task of a step.
//
// A task goes to the nearest pool that has free capacity for it now; among
// equally near pools, to the one with the most free capacity. If no pool has
// any, the task goes to the pool whose queued work will be done first. The
// tasks of a wide step may therefore run in several pools.
//
// The plan contains the longest wait of any of the tasks, so that a job that
// can't be served in time can be rejected on arrival.
//
// This handles load that is unevenly distributed over the pools, and jobs that
// need more than the free capacity of one pool.
#ifndef CYCLAMENWOOD_POOL_CHOICE_H_
#define CYCLAMENWOOD_POOL_CHOICE_H_

#include <map>
#include <string>
#include <vector>

#include "cyclamenwood/types.h"
#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

// The distance of a pool from an entry host. Messages to pools of the host
// itself cost nothing; those to other zones take the longest.
enum class pool_distance {
  own_host,
  own_zone,
  other_zone,
};

// An entry host's estimate of the capacity of one pool for one service: what
// the owner last reported, less what this entry host has sent there since.
struct pool_capacity {
  std::vector<int64_t> free_cpu_milli;
  // Processor capacity (thousandths of a core) times estimated time (ms), by
  // priority.
  std::map<uint32_t, int64_t> queued;
  int64_t total_cpu_milli = 0;
  // Work arrives there faster than the capacity can process it.
  bool overloaded = false;
  pool_distance distance = pool_distance::other_zone;
};

// By name of the pool.
using pool_capacities = std::map<std::string, pool_capacity>;

// Converts the report of an owner; `distance` remains to be set.
pool_capacity read_resources(const wire::service_room& capacity);

// The resources that one task needs.
struct task_load {
  int64_t cpu_milli = 0;
  int64_t estimate_ms = 0;
  // 0 is served first.
  uint32_t priority = 0;
};

struct pool_plan {
  // One for each task; empty if no pool's capacity is known.
  std::vector<std::string> pools;
  // For each task: no capacity is free for it in its pool.
  std::vector<bool> queued;
  // The time until the last of the tasks can start.
  int64_t wait_ms = 0;
  // A task must be queued in a pool that is overloaded.
  bool overloaded = false;
};

// Chooses a pool for each of `count` equal tasks, and subtracts what they need
// from `capacities`.
pool_plan choose_pools(pool_capacities& capacities,
                       const task_load& load,
                       size_t count);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_POOL_CHOICE_H_
