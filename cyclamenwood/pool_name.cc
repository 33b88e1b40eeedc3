// All processes use the same hash function, so that a change of owner moves no
// upstream to another shard.
#include "cyclamenwood/pool_name.h"

#include <fmt/format.h>

#include <algorithm>

#include "cyclamenwood/types.h"

namespace cyclamenwood {

std::string pool_name(const wire::owner_grant& grant) {
  if (shards_of(grant) == 1)
    return grant.zone();
  return fmt::format("{}/{}", grant.zone(), grant.shard());
}

uint32_t shards_of(const wire::owner_grant& grant) {
  return std::max<uint32_t>(grant.shards(), 1);
}

uint32_t shard_of(std::string_view upstream, uint32_t shards) {
  return static_cast<uint32_t>(stable_hash(upstream) % shards);
}

}  // namespace cyclamenwood
