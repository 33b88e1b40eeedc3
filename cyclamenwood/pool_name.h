// How the upstreams of an availability zone are divided into pools.
//
// A zone with few entry hosts has one pool. A larger zone is split into shards,
// so that no owner has more upstreams than its share of a processor can serve.
// Each grant contains the number of shards. It never changes after the zone's
// first grant, as all processes must compute the same home for a task.
#ifndef CYCLAMENWOOD_POOL_NAME_H_
#define CYCLAMENWOOD_POOL_NAME_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

// Returns "kranj" for the only pool of a zone, "kranj/3" for one of several
// shards.
std::string pool_name(const wire::owner_grant& grant);

// The number of shards of the zone, at least one.
uint32_t shards_of(const wire::owner_grant& grant);

// The shard that contains the upstream.
uint32_t shard_of(std::string_view upstream, uint32_t shards);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_POOL_NAME_H_
