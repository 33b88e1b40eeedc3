// Each zone is looked at by itself: its shards whose owner is kept are counted
// for their owners, the others go to whoever has the fewest. An owner that was
// started again has none of its own and gets its shard back so. Among equals
// the process heard of for the longest is taken: those just restarted are the
// likeliest to be restarted again.
#include "cyclamenwood/owner_policy.h"

#include <algorithm>
#include <optional>
#include <set>

#include "cyclamenwood/pool_name.h"

namespace cyclamenwood {
namespace {

bool is_alive(const known_entry_host& host, unix_ms now) {
  return now - host.heard_ms <= OWNER_SILENCE_MS;
}

// Whether an owner that is not heard can be told from one that has not come
// back yet.
bool can_tell_silence_of(const entry_host_map& hosts,
                         unix_ms receiving_since_ms,
                         unix_ms now) {
  unix_ms first_ms = now;
  for (const auto& [name, host] : hosts)
    first_ms = std::min(first_ms, host.first_heard_ms);
  return now - std::max(first_ms, receiving_since_ms) > OWNER_SILENCE_MS;
}

bool is_kept(const wire::owner_grant& grant,
             const entry_host_map& hosts,
             bool can_tell_silence,
             unix_ms now) {
  auto found = hosts.find(grant.host());
  if (found == hosts.end())
    return !can_tell_silence;
  const known_entry_host& owner = found->second;
  return owner.incarnation == grant.incarnation() && !owner.draining &&
         (is_alive(owner, now) || !can_tell_silence);
}

// The entry hosts of a zone that may own, and how many shards each does.
using zone_owners = std::map<std::string, size_t>;

zone_owners find_candidates(const entry_host_map& hosts,
                            const std::string& zone,
                            unix_ms now) {
  zone_owners owners;
  for (const auto& [name, host] : hosts) {
    if (host.zone == zone && is_alive(host, now) && !host.draining)
      owners[name] = 0;
  }
  return owners;
}

// Fewest shards first, then heard of for the longest.
const std::string& choose_least(const zone_owners& owners,
                                const entry_host_map& hosts) {
  auto least = std::min_element(
      owners.begin(), owners.end(), [&hosts](const auto& a, const auto& b) {
        return std::pair(a.second, hosts.at(a.first).first_heard_ms) <
               std::pair(b.second, hosts.at(b.first).first_heard_ms);
      });
  return least->first;
}

// Upstreams of the zone, as the entry host that knows most of them says.
uint32_t count_upstreams(const entry_host_map& hosts, const std::string& zone) {
  uint32_t most = 0;
  for (const auto& [name, host] : hosts) {
    if (host.zone == zone)
      most = std::max(most, host.upstreams);
  }
  return most;
}

// Nothing before the zone's first owners may be chosen.
std::optional<uint32_t> count_shards(const control_log& log,
                                     const std::string& zone,
                                     size_t candidates,
                                     uint32_t upstreams,
                                     int64_t listened_ms,
                                     const owner_policy_options& options) {
  if (const wire::owner_grant* first = find_grant(log, zone))
    return shards_of(*first);
  if (listened_ms < options.founding_ms)
    return std::nullopt;
  if (upstreams < options.split_from_upstreams)
    return 1;
  return std::clamp<uint32_t>(upstreams / options.min_upstreams_a_shard, 1,
                              static_cast<uint32_t>(candidates));
}

wire::owner_grant make_grant(const std::string& zone,
                             uint32_t shard,
                             uint32_t shards,
                             const std::string& host,
                             const entry_host_map& hosts) {
  wire::owner_grant grant;
  grant.set_zone(zone);
  grant.set_shard(shard);
  grant.set_shards(shards);
  grant.set_host(host);
  grant.set_incarnation(hosts.at(host).incarnation);
  return grant;
}

// A shard of whoever has the most goes to each settled host that has two fewer.
void add_moves(const control_log& log,
               const std::string& zone,
               uint32_t shards,
               zone_owners owners,
               const entry_host_map& hosts,
               unix_ms now,
               std::vector<wire::owner_grant>& wanted) {
  std::erase_if(owners, [&](const auto& item) {
    return item.second == 0 &&
           now - hosts.at(item.first).first_heard_ms < SETTLED_MS;
  });
  for (uint32_t shard = 0; shard < shards; ++shard) {
    if (owners.empty())
      return;
    const std::string& least = choose_least(owners, hosts);
    auto owner = owners.find(find_grant(log, zone, shard)->host());
    if (owner == owners.end() || owner->second < owners.at(least) + 2)
      continue;
    wanted.push_back(make_grant(zone, shard, shards, least, hosts));
    --owner->second;
    ++owners[least];
  }
}

}  // namespace

std::vector<wire::owner_grant> choose_owners(
    const control_log& log,
    const entry_host_map& hosts,
    unix_ms receiving_since_ms,
    unix_ms now,
    const owner_policy_options& options) {
  std::vector<wire::owner_grant> wanted;
  bool can_tell_silence = can_tell_silence_of(hosts, receiving_since_ms, now);
  std::set<std::string> zones;
  for (const auto& [name, host] : hosts)
    zones.insert(host.zone);
  for (const std::string& zone : zones) {
    zone_owners owners = find_candidates(hosts, zone, now);
    if (owners.empty())
      continue;
    std::optional<uint32_t> shards =
        count_shards(log, zone, owners.size(), count_upstreams(hosts, zone),
                     now - receiving_since_ms, options);
    if (!shards)
      continue;
    std::vector<uint32_t> open;
    for (uint32_t shard = 0; shard < *shards; ++shard) {
      const wire::owner_grant* grant = find_grant(log, zone, shard);
      if (grant == nullptr || !is_kept(*grant, hosts, can_tell_silence, now))
        open.push_back(shard);
      else if (owners.contains(grant->host()))
        ++owners[grant->host()];
    }
    for (uint32_t shard : open) {
      const std::string& host = choose_least(owners, hosts);
      wanted.push_back(make_grant(zone, shard, *shards, host, hosts));
      ++owners[host];
    }
    if (open.empty())
      add_moves(log, zone, *shards, std::move(owners), hosts, now, wanted);
  }
  return wanted;
}

}  // namespace cyclamenwood
