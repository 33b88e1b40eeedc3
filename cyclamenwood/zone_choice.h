// Chooses the availability zone for each task of a step.
//
// The own zone comes first while it has room for the task now, then the zone
// with the most room. Where none has, the task goes where the queued work is
// over first. So the tasks of a wide step may run in several zones.
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
  int64_t queued_cpu_milli_ms = 0;
  int64_t total_cpu_milli = 0;
};

using zone_rooms = std::map<std::string, zone_room>;

zone_room read_room(const wire::service_room& room);

// What one task takes.
struct task_load {
  int64_t cpu_milli = 0;
  int64_t estimate_ms = 0;
};

// Zones for `count` equal tasks, in order; empty when `rooms` is. What they
// take is subtracted from `rooms`.
std::vector<std::string> choose_zones(zone_rooms& rooms,
                                      const std::string& own_zone,
                                      const task_load& load,
                                      size_t count);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_ZONE_CHOICE_H_
