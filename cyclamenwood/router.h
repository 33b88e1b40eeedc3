// Chooses the upstream for a task.
//
// Own zone first. Another zone's upstreams are taken only when the own zone
// has no healthy upstream with a free slot, and only as far as that zone's
// own entry hosts leave slots free, by what they vouched last.
#ifndef CYCLAMENWOOD_ROUTER_H_
#define CYCLAMENWOOD_ROUTER_H_

#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "cyclamenwood/entry.h"

namespace cyclamenwood {

// The upstream for a new task of `service`, not one of `avoided` unless there
// is no other.
const known_upstream* choose_upstream(entry_state& state,
                                      std::string_view service,
                                      const std::set<std::string>& avoided,
                                      unix_ms now);

// Slots of healthy upstreams that this entry host may expect to use.
double expected_slots(entry_state& state,
                      std::string_view service,
                      unix_ms now);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_ROUTER_H_
