// Each zone is processed on its own. First the shards whose owners stay are
// counted for these owners. Each of the other shards then goes to the entry
// host that would have the fewest shards for its processor capacity. A
// restarted owner therefore starts with none and gets its shard back. Among
// entry hosts that would be equal, the one that has been known for the longest
// time is chosen, since those that restarted recently are the most likely to
// restart again.
//
// The processor capacity counts since the dispatch of a shard's tasks costs its
// owner processor time: a small host with as many shards as a large one is late
// while the large one is idle. A zone in which not every host has told its
// capacity counts its hosts as equal.
#include "cyclamenwood/owner_policy.h"

#include <algorithm>
#include <optional>
#include <set>

#include "cyclamenwood/pool_name.h"

namespace cyclamenwood {
namespace {

bool is_alive(const known_entry_host& host, unix_ms now) {
  return now - host.last_contact_ms <= OWNER_TIMEOUT_MS;
}

bool can_take_over(const known_entry_host& host, unix_ms now) {
  return now - host.last_contact_ms <= CANDIDATE_TIMEOUT_MS && !host.draining;
}

// Whether a failed owner can be distinguished from one that has not reported
// since the replica started, the power returned, or a partition of the zone was
// over.
bool can_detect_silent_owners(const entry_host_map& hosts,
                              const std::string& zone,
                              unix_ms receiving_since_ms,
                              unix_ms now) {
  unix_ms first_ms = now;
  for (const auto& [name, host] : hosts) {
    if (host.zone == zone && is_alive(host, now))
      first_ms = std::min(first_ms, host.in_contact_since_ms);
  }
  return now - std::max(first_ms, receiving_since_ms) > OWNER_TIMEOUT_MS;
}

bool is_kept(const wire::owner_grant& grant,
             const entry_host_map& hosts,
             bool can_detect_silence,
             unix_ms now) {
  auto found = hosts.find(grant.host());
  if (found == hosts.end())
    return !can_detect_silence;
  const known_entry_host& owner = found->second;
  return owner.incarnation == grant.incarnation() && !owner.draining &&
         (is_alive(owner, now) || !can_detect_silence);
}

struct zone_owner {
  size_t shards = 0;
  // Processor capacity in thousandths of a core, or 1 if it does not count.
  uint64_t weight = 1;
};

// The entry hosts of a zone that are eligible as owners.
using zone_owners = std::map<std::string, zone_owner>;

zone_owners find_eligible_hosts(const entry_host_map& hosts,
                                const std::string& zone,
                                unix_ms now) {
  zone_owners owners;
  bool all_known = true;
  for (const auto& [name, host] : hosts) {
    if (host.zone != zone || !can_take_over(host, now))
      continue;
    owners[name].weight = host.processor_milli;
    all_known = all_known && host.processor_milli > 0;
  }
  for (auto& [name, owner] : owners)
    owner.weight = all_known ? owner.weight : 1;
  return owners;
}

// Whether `a` with `a_shards` has more shards for its capacity than `b` with
// `b_shards`.
bool has_more(const zone_owner& a,
              size_t a_shards,
              const zone_owner& b,
              size_t b_shards) {
  return a_shards * b.weight > b_shards * a.weight;
}

// Chooses the entry host that has the fewest shards for its capacity after it
// got one more; on a tie, the one that has been known for the longest time.
const std::string& choose_least(const zone_owners& owners,
                                const entry_host_map& hosts) {
  auto least = std::min_element(
      owners.begin(), owners.end(), [&hosts](const auto& a, const auto& b) {
        size_t a_shards = a.second.shards + 1;
        size_t b_shards = b.second.shards + 1;
        if (has_more(b.second, b_shards, a.second, a_shards))
          return true;
        return !has_more(a.second, a_shards, b.second, b_shards) &&
               hosts.at(a.first).first_contact_ms <
                   hosts.at(b.first).first_contact_ms;
      });
  return least->first;
}

// The number of upstreams of the zone: the highest that any of its entry hosts
// reported.
uint32_t count_upstreams(const entry_host_map& hosts, const std::string& zone) {
  uint32_t most = 0;
  for (const auto& [name, host] : hosts) {
    if (host.zone == zone)
      most = std::max(most, host.upstreams);
  }
  return most;
}

size_t count_live_hosts(const entry_host_map& hosts,
                        const std::string& zone,
                        unix_ms now) {
  return std::count_if(hosts.begin(), hosts.end(), [&](const auto& item) {
    const known_entry_host& host = item.second;
    return host.zone == zone && is_alive(host, now) && !host.draining;
  });
}

// Returns nothing if it is too early to choose the zone's first owners.
std::optional<uint32_t> count_shards(const control_log& log,
                                     const std::string& zone,
                                     size_t candidates,
                                     uint32_t upstreams,
                                     int64_t receiving_ms,
                                     const owner_policy_options& options) {
  if (const wire::owner_grant* first = find_grant(log, zone))
    return shards_of(*first);
  if (receiving_ms < options.first_grant_delay_ms)
    return std::nullopt;
  if (upstreams < options.min_upstreams_to_split)
    return 1;
  return std::clamp<uint32_t>(upstreams / options.min_upstreams_per_shard, 1,
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

// Moves a shard to the entry host with the fewest shards for its capacity if
// that has fewer than the present owner even afterwards. An entry host without
// a shard is eligible once it has been known for MIN_OWNER_AGE_MS.
void add_moves(const control_log& log,
               const std::string& zone,
               uint32_t shards,
               zone_owners owners,
               const entry_host_map& hosts,
               unix_ms now,
               std::vector<wire::owner_grant>& grants) {
  std::erase_if(owners, [&](const auto& item) {
    return item.second.shards == 0 &&
           now - hosts.at(item.first).first_contact_ms < MIN_OWNER_AGE_MS;
  });
  for (uint32_t shard = 0; shard < shards; ++shard) {
    if (owners.empty())
      return;
    const std::string& least = choose_least(owners, hosts);
    auto owner = owners.find(find_grant(log, zone, shard)->host());
    bool is_better = owner != owners.end() &&
                     has_more(owner->second, owner->second.shards,
                              owners.at(least), owners.at(least).shards + 1);
    if (!is_better)
      continue;
    grants.push_back(make_grant(zone, shard, shards, least, hosts));
    --owner->second.shards;
    ++owners[least].shards;
  }
}

}  // namespace

void record_contact(known_entry_host& host, unix_ms now) {
  bool was_silent = now - host.last_contact_ms > OWNER_TIMEOUT_MS;
  if (was_silent && now - host.in_contact_since_ms > RETURN_EXPIRY_MS)
    host.in_contact_since_ms = now;
  host.last_contact_ms = now;
}

std::vector<wire::owner_grant> choose_owners(
    const control_log& log,
    const entry_host_map& hosts,
    unix_ms receiving_since_ms,
    unix_ms now,
    const owner_policy_options& options) {
  std::vector<wire::owner_grant> grants;
  std::set<std::string> zones;
  for (const auto& [name, host] : hosts)
    zones.insert(host.zone);
  for (const std::string& zone : zones) {
    zone_owners owners = find_eligible_hosts(hosts, zone, now);
    if (owners.empty())
      continue;
    std::optional<uint32_t> shards = count_shards(
        log, zone, count_live_hosts(hosts, zone, now),
        count_upstreams(hosts, zone), now - receiving_since_ms, options);
    if (!shards)
      continue;
    bool can_detect_silence =
        can_detect_silent_owners(hosts, zone, receiving_since_ms, now);
    std::vector<uint32_t> vacant;
    for (uint32_t shard = 0; shard < *shards; ++shard) {
      const wire::owner_grant* grant = find_grant(log, zone, shard);
      if (grant == nullptr || !is_kept(*grant, hosts, can_detect_silence, now))
        vacant.push_back(shard);
      else if (owners.contains(grant->host()))
        ++owners[grant->host()].shards;
    }
    for (uint32_t shard : vacant) {
      const std::string& host = choose_least(owners, hosts);
      grants.push_back(make_grant(zone, shard, *shards, host, hosts));
      ++owners[host].shards;
    }
    if (vacant.empty())
      add_moves(log, zone, *shards, std::move(owners), hosts, now, grants);
  }
  return grants;
}

}  // namespace cyclamenwood
