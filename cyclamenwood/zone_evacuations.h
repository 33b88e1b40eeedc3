// The evacuations of availability zones in force, as an entry host knows them.
//
// The control log numbers the lists; one with a higher revision replaces those
// before it, from whichever host it arrives.
#ifndef CYCLAMENWOOD_ZONE_EVACUATIONS_H_
#define CYCLAMENWOOD_ZONE_EVACUATIONS_H_

#include <functional>
#include <set>
#include <string>
#include <string_view>

#include "cyclamenwood/types.h"
#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

struct zone_evacuations {
  // 0: no list was received.
  uint64_t revision = 0;
  std::set<std::string, std::less<>> zones;
  // When the list was received.
  unix_ms received_ms = 0;
};

// Takes the list if its revision is higher. Returns whether it is.
bool merge_evacuations(zone_evacuations& known,
                       const wire::evacuation_list& list,
                       unix_ms now);

bool is_evacuated(const zone_evacuations& known, std::string_view zone);

wire::evacuation_list to_wire(const zone_evacuations& known);

// Returns the names of the zones, separated by commas; "none" without any.
std::string describe_zones(const zone_evacuations& known);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_ZONE_EVACUATIONS_H_
