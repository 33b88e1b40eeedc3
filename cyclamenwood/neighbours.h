// Selects the pools with which an entry host exchanges hellos. Its tasks can
// run only in these pools.
//
// Each hello costs a message in both directions several times a second. If
// there are few pools, a host sends hellos to all of them. Otherwise it sends
// them to its own pools, the next few of its zone, and one in each other zone.
// Work that doesn't fit into the own pool then has several alternatives, every
// pool has the same number of neighbours, and the cost for a host does not grow
// with the number of hosts.
//
// Pools of evacuated zones are left out. A host of such a zone gets the places
// of its own zone's pools spread evenly over the other zones.
#ifndef CYCLAMENWOOD_NEIGHBOURS_H_
#define CYCLAMENWOOD_NEIGHBOURS_H_

#include <functional>
#include <map>
#include <set>
#include <string>

#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

// Up to this number of pools, hellos are sent to all of them: four availability
// zones with one pool each, and as many again.
constexpr size_t MAX_FULL_MESH_POOLS = 8;
// Neighbours in the own zone. With four alternatives it is rare that work must
// wait for the fullest of them.
constexpr size_t ZONE_NEIGHBOURS = 4;

// Returns the names of the selected pools. The keys of `grants` are pool names.
std::set<std::string> choose_neighbours(
    const std::map<std::string, wire::owner_grant>& grants,
    const std::string& zone,
    const std::string& host,
    const std::set<std::string, std::less<>>& evacuated = {});

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_NEIGHBOURS_H_
