// Which pools an entry host keeps in touch with, so that its jobs may go there.
//
// Each hello costs both sides a message, several times a second. With few pools
// a host greets all of them. With many it greets its own, the next few of its
// zone, and one in each other zone: work that does not fit at home has several
// places to go, every pool has as many neighbours, and the cost for a host does
// not grow with the number of hosts.
#ifndef CYCLAMENWOOD_NEIGHBOURS_H_
#define CYCLAMENWOOD_NEIGHBOURS_H_

#include <map>
#include <set>
#include <string>

#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

// Up to this many pools, all are greeted: four availability zones with one
// pool each, and as many again.
constexpr size_t GREET_ALL_UP_TO = 8;
// Neighbours in the own zone: with four places to go to, waiting for the
// fullest of them is rare.
constexpr size_t ZONE_NEIGHBOURS = 4;

// Names of pools. `grants` are by the pool's name.
std::set<std::string> choose_neighbours(
    const std::map<std::string, wire::owner_grant>& grants,
    const std::string& zone,
    const std::string& host);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_NEIGHBOURS_H_
