// Room is counted upstream by upstream: what is free in pieces smaller than
// the task is no room for it.
#include "cyclamenwood/pool_choice.h"

#include <algorithm>

namespace cyclamenwood {
namespace {

// Tasks of this size that fit now.
int64_t places(const pool_room& room, int64_t cpu_milli) {
  int64_t count = 0;
  for (int64_t free : room.free_cpu_milli)
    count += free / std::max<int64_t>(cpu_milli, 1);
  return count;
}

// Takes room where the least is left over, as owners do.
bool take_place(pool_room& room, int64_t cpu_milli) {
  int64_t* best = nullptr;
  for (int64_t& free : room.free_cpu_milli) {
    bool better = free >= cpu_milli && (best == nullptr || free < *best);
    if (better)
      best = &free;
  }
  if (best == nullptr)
    return false;
  *best -= cpu_milli;
  return true;
}

// Until the queued work that goes before the priority is done.
int64_t wait_ms(const pool_room& room, uint32_t priority) {
  int64_t ahead = 0;
  for (const auto& [queued_priority, work] : room.queued) {
    if (queued_priority <= priority)
      ahead += work;
  }
  return ahead / std::max<int64_t>(room.total_cpu_milli, 1);
}

const std::string& choose_pool(const pool_rooms& rooms, const task_load& load) {
  auto nearest = rooms.end();
  int64_t most = 0;
  auto soonest = rooms.begin();
  int64_t shortest = INT64_MAX;
  for (auto pool = rooms.begin(); pool != rooms.end(); ++pool) {
    const pool_room& room = pool->second;
    int64_t offered = places(room, load.cpu_milli);
    bool nearer =
        nearest == rooms.end() || room.distance < nearest->second.distance;
    bool as_near =
        !nearer && room.distance == nearest->second.distance && offered > most;
    if (offered > 0 && (nearer || as_near)) {
      nearest = pool;
      most = offered;
    }
    int64_t wait = wait_ms(room, load.priority);
    bool sooner = wait < shortest || (wait == shortest &&
                                      room.distance < soonest->second.distance);
    if (sooner) {
      soonest = pool;
      shortest = wait;
    }
  }
  return nearest != rooms.end() ? nearest->first : soonest->first;
}

}  // namespace

pool_room read_room(const wire::service_room& room) {
  pool_room read;
  read.free_cpu_milli.assign(room.free_cpu_milli().begin(),
                             room.free_cpu_milli().end());
  for (const wire::queued_work& queued : room.queued())
    read.queued[queued.priority()] = queued.cpu_milli_ms();
  read.total_cpu_milli = room.total_cpu_milli();
  read.overloaded = room.overloaded();
  return read;
}

pool_plan choose_pools(pool_rooms& rooms, const task_load& load, size_t count) {
  pool_plan plan;
  if (rooms.empty())
    return plan;
  for (size_t task = 0; task < count; ++task) {
    const std::string& zone = choose_pool(rooms, load);
    pool_room& room = rooms.at(zone);
    if (!take_place(room, load.cpu_milli)) {
      plan.wait_ms = std::max(plan.wait_ms, wait_ms(room, load.priority));
      plan.overloaded = plan.overloaded || room.overloaded;
      room.queued[load.priority] += load.cpu_milli * load.estimate_ms;
    }
    plan.pools.push_back(zone);
  }
  return plan;
}

}  // namespace cyclamenwood
