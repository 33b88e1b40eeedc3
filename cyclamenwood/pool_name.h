// How an availability zone's upstreams are divided into pools.
//
// A zone with few entry hosts has one pool; a larger one is split into shards,
// so that no owner has more upstreams than its share of a processor can serve.
// The number of shards is part of each grant and stays what it was when the
// zone got its first one: a task's home must not depend on who looks.
#ifndef CYCLAMENWOOD_POOL_NAME_H_
#define CYCLAMENWOOD_POOL_NAME_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

// "kranj" for the only pool of a zone, "kranj/3" for a shard of several.
std::string pool_name(const wire::owner_grant& grant);

// Shards of the zone; one at least.
uint32_t shards_of(const wire::owner_grant& grant);

// The shard that an upstream belongs to.
uint32_t shard_of(std::string_view upstream, uint32_t shards);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_POOL_NAME_H_
