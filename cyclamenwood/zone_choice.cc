// Room is counted upstream by upstream: what is free in pieces smaller than
// the task is no room for it.
#include "cyclamenwood/zone_choice.h"

#include <algorithm>

namespace cyclamenwood {
namespace {

// Tasks of this size that fit now.
int64_t places(const zone_room& room, int64_t cpu_milli) {
  int64_t count = 0;
  for (int64_t free : room.free_cpu_milli)
    count += free / std::max<int64_t>(cpu_milli, 1);
  return count;
}

// Takes room where the least is left over, as owners do.
bool take_place(zone_room& room, int64_t cpu_milli) {
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
int64_t wait_ms(const zone_room& room, uint32_t priority) {
  int64_t ahead = 0;
  for (const auto& [queued_priority, work] : room.queued) {
    if (queued_priority <= priority)
      ahead += work;
  }
  return ahead / std::max<int64_t>(room.total_cpu_milli, 1);
}

const std::string& choose_zone(const zone_rooms& rooms,
                               const std::string& own_zone,
                               const task_load& load) {
  auto own = rooms.find(own_zone);
  if (own != rooms.end() && places(own->second, load.cpu_milli) > 0)
    return own->first;
  auto most = rooms.begin();
  auto soonest = rooms.begin();
  for (auto zone = rooms.begin(); zone != rooms.end(); ++zone) {
    if (places(zone->second, load.cpu_milli) >
        places(most->second, load.cpu_milli))
      most = zone;
    int64_t wait = wait_ms(zone->second, load.priority);
    int64_t shortest = wait_ms(soonest->second, load.priority);
    if (wait < shortest || (wait == shortest && zone == own))
      soonest = zone;
  }
  return places(most->second, load.cpu_milli) > 0 ? most->first
                                                  : soonest->first;
}

}  // namespace

zone_room read_room(const wire::service_room& room) {
  zone_room read;
  read.free_cpu_milli.assign(room.free_cpu_milli().begin(),
                             room.free_cpu_milli().end());
  for (const wire::queued_work& queued : room.queued())
    read.queued[queued.priority()] = queued.cpu_milli_ms();
  read.total_cpu_milli = room.total_cpu_milli();
  read.overloaded = room.overloaded();
  return read;
}

zone_plan choose_zones(zone_rooms& rooms,
                       const std::string& own_zone,
                       const task_load& load,
                       size_t count) {
  zone_plan plan;
  if (rooms.empty())
    return plan;
  for (size_t task = 0; task < count; ++task) {
    const std::string& zone = choose_zone(rooms, own_zone, load);
    zone_room& room = rooms.at(zone);
    if (!take_place(room, load.cpu_milli)) {
      plan.wait_ms = std::max(plan.wait_ms, wait_ms(room, load.priority));
      plan.overloaded = plan.overloaded || room.overloaded;
      room.queued[load.priority] += load.cpu_milli * load.estimate_ms;
    }
    plan.zones.push_back(zone);
  }
  return plan;
}

}  // namespace cyclamenwood
