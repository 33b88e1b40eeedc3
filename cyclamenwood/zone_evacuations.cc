#include "cyclamenwood/zone_evacuations.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace cyclamenwood {

bool merge_evacuations(zone_evacuations& known,
                       const wire::evacuation_list& list,
                       unix_ms now) {
  if (list.revision() <= known.revision)
    return false;
  known.revision = list.revision();
  known.zones = {list.zones().begin(), list.zones().end()};
  known.received_ms = now;
  return true;
}

bool is_evacuated(const zone_evacuations& known, std::string_view zone) {
  return known.zones.contains(zone);
}

wire::evacuation_list to_wire(const zone_evacuations& known) {
  wire::evacuation_list list;
  list.set_revision(known.revision);
  for (const std::string& zone : known.zones)
    list.add_zones(zone);
  return list;
}

std::string describe_zones(const zone_evacuations& known) {
  return known.zones.empty() ? "none"
                             : fmt::format("{}", fmt::join(known.zones, ","));
}

}  // namespace cyclamenwood
