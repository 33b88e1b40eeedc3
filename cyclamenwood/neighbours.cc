// The pools of a zone are sorted by shard. The position of a host among them is
// that of the first shard that it owns, or a hash of its name if it owns none.
#include "cyclamenwood/neighbours.h"

#include <algorithm>
#include <vector>

#include "cyclamenwood/pool_name.h"
#include "cyclamenwood/types.h"

namespace cyclamenwood {
namespace {

using zone_pools = std::map<std::string, std::vector<const wire::owner_grant*>>;

zone_pools group_by_zone(
    const std::map<std::string, wire::owner_grant>& grants) {
  zone_pools zones;
  for (const auto& [name, grant] : grants)
    zones[grant.zone()].push_back(&grant);
  for (auto& [zone, pools] : zones) {
    std::sort(pools.begin(), pools.end(), [](const auto* a, const auto* b) {
      return a->shard() < b->shard();
    });
  }
  return zones;
}

size_t position_in(const std::vector<const wire::owner_grant*>& pools,
                   const std::string& host) {
  auto own =
      std::find_if(pools.begin(), pools.end(),
                   [&host](const auto* pool) { return pool->host() == host; });
  if (own != pools.end())
    return own - pools.begin();
  return stable_hash(host) % std::max<size_t>(pools.size(), 1);
}

// How many pools of each zone are wanted.
std::map<std::string, size_t> count_wanted(const zone_pools& zones,
                                           const std::string& own_zone) {
  std::map<std::string, size_t> wanted;
  for (const auto& [zone, pools] : zones)
    wanted[zone] = 1;
  if (wanted.contains(own_zone)) {
    wanted[own_zone] += ZONE_NEIGHBOURS;
    return wanted;
  }
  // The own zone is evacuated.
  size_t spare = ZONE_NEIGHBOURS + 1;
  while (spare > 0 && !wanted.empty()) {
    for (auto next = wanted.begin(); next != wanted.end() && spare > 0;
         ++next) {
      ++next->second;
      --spare;
    }
  }
  return wanted;
}

}  // namespace

std::set<std::string> choose_neighbours(
    const std::map<std::string, wire::owner_grant>& grants,
    const std::string& zone,
    const std::string& host,
    const std::set<std::string, std::less<>>& evacuated) {
  std::set<std::string> chosen;
  zone_pools zones = group_by_zone(grants);
  size_t place = position_in(zones[zone], host);
  std::erase_if(zones, [&evacuated](const auto& item) {
    return evacuated.contains(item.first);
  });
  std::map<std::string, size_t> wanted = count_wanted(zones, zone);
  for (const auto& [other, pools] : zones) {
    size_t count = grants.size() <= MAX_FULL_MESH_POOLS
                       ? pools.size()
                       : std::min(wanted.at(other), pools.size());
    for (size_t i = 0; i < count; ++i)
      chosen.insert(pool_name(*pools[(place + i) % pools.size()]));
    for (const wire::owner_grant* pool : pools) {
      if (pool->host() == host)
        chosen.insert(pool_name(*pool));
    }
  }
  return chosen;
}

}  // namespace cyclamenwood
