// Chooses the availability zone for each task of a step.
//
// The own zone comes first while it has room for the task now, then the zone
// with the most room. Where none has, the task goes where the queued work is
// over first. So the tasks of a wide step may run in several zones.
//
// The plan says how long the last task would wait, so that what can't be served
// in time can be refused on arrival.
//
// Answers load that is uneven over the zones, and jobs that are wider than one
// zone's free room.
#ifndef CYCLAMENWOOD_ZONE_CHOICE_H_
#define CYCLAMENWOOD_ZONE_CHOICE_H_

#include <map>
#include <string>
#include <vector>

#include "cyclamenwood/types.h"
#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

// What an entry host believes of one service's room in one zone. It is what
// the owner said last, less what this entry host has sent there since.
struct zone_room {
  std::vector<int64_t> free_cpu_milli;
  // Processor room (thousandths) times estimated time (ms), by priority.
  std::map<uint32_t, int64_t> queued;
  int64_t total_cpu_milli = 0;
  // More work arrives there than the room can do.
  bool overloaded = false;
};

using zone_rooms = std::map<std::string, zone_room>;

zone_room read_room(const wire::service_room& room);

// What one task takes.
struct task_load {
  int64_t cpu_milli = 0;
  int64_t estimate_ms = 0;
  // 0 goes first.
  uint32_t priority = 0;
};

struct zone_plan {
  // For each task; empty when no room is known.
  std::vector<std::string> zones;
  // Until the last of the tasks may start.
  int64_t wait_ms = 0;
  // A task must wait in a zone that has more work than it can do.
  bool overloaded = false;
};

// What the tasks take is subtracted from `rooms`.
zone_plan choose_zones(zone_rooms& rooms,
                       const std::string& own_zone,
                       const task_load& load,
                       size_t count);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_ZONE_CHOICE_H_
