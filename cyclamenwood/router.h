// Chooses the upstream for a task.
//
// Upstreams of the own zone are preferred. Another zone's upstreams are taken
// only when the own zone has no healthy upstream with a free slot, and only as
// far as that zone's own entry hosts leave slots free according to their last
// digest messages.
#ifndef CYCLAMENWOOD_ROUTER_H_
#define CYCLAMENWOOD_ROUTER_H_

#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "cyclamenwood/entry.h"

namespace cyclamenwood {

// Returns the upstream for a new task of `service`, or null when none has a
// free slot. Those in `avoided` are taken only when there is no other.
const upstream_view* choose_upstream(entry_state& state,
                                     std::string_view service,
                                     const std::set<std::string>& avoided,
                                     unix_ms now);

// Returns the number of slots on healthy upstreams that this entry host may
// expect to use.
double expected_slots(entry_state& state,
                      std::string_view service,
                      unix_ms now);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_ROUTER_H_
