// Chooses the pool for each task of a step.
//
// The nearest pool that has room for the task now is taken, among equally near
// ones that with the most room. Where none has, the task goes where the queued
// work is over first. So the tasks of a wide step may run in several pools.
//
// The plan says how long the last task would wait, so that what can't be served
// in time can be refused on arrival.
//
// Answers load that is uneven over the pools, and jobs that are wider than one
// pool's free room.
#ifndef CYCLAMENWOOD_POOL_CHOICE_H_
#define CYCLAMENWOOD_POOL_CHOICE_H_

#include <map>
#include <string>
#include <vector>

#include "cyclamenwood/types.h"
#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

// How far a pool is from an entry host: messages to itself cost nothing, those
// to other zones take longest.
enum class pool_distance {
  own_host,
  own_zone,
  other_zone,
};

// What an entry host believes of one service's room in one pool. It is what
// the owner said last, less what this entry host has sent there since.
struct pool_room {
  std::vector<int64_t> free_cpu_milli;
  // Processor room (thousandths) times estimated time (ms), by priority.
  std::map<uint32_t, int64_t> queued;
  int64_t total_cpu_milli = 0;
  // More work arrives there than the room can do.
  bool overloaded = false;
  pool_distance distance = pool_distance::other_zone;
};

// By the pool's name.
using pool_rooms = std::map<std::string, pool_room>;

pool_room read_room(const wire::service_room& room);

// What one task takes.
struct task_load {
  int64_t cpu_milli = 0;
  int64_t estimate_ms = 0;
  // 0 goes first.
  uint32_t priority = 0;
};

struct pool_plan {
  // For each task; empty when no room is known.
  std::vector<std::string> pools;
  // Until the last of the tasks may start.
  int64_t wait_ms = 0;
  // A task must wait in a pool that has more work than it can do.
  bool overloaded = false;
};

// What the tasks take is subtracted from `rooms`.
pool_plan choose_pools(pool_rooms& rooms, const task_load& load, size_t count);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_POOL_CHOICE_H_
