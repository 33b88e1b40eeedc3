// The process heard of for the longest is taken: those just restarted are the
// likeliest to be restarted again.
#include "cyclamenwood/owner_policy.h"

namespace cyclamenwood {
namespace {

bool is_alive(const known_entry_host& host, unix_ms now) {
  return now - host.heard_ms <= OWNER_SILENCE_MS;
}

bool is_kept(const wire::owner_grant& grant,
             const entry_host_map& hosts,
             unix_ms listening_since_ms,
             unix_ms now) {
  bool can_tell_silence = now - listening_since_ms > OWNER_SILENCE_MS;
  auto found = hosts.find(grant.host());
  if (found == hosts.end())
    return !can_tell_silence;
  const known_entry_host& owner = found->second;
  return owner.incarnation == grant.incarnation() && !owner.draining &&
         (is_alive(owner, now) || !can_tell_silence);
}

}  // namespace

std::vector<wire::owner_grant> choose_owners(const control_log& log,
                                             const entry_host_map& hosts,
                                             unix_ms listening_since_ms,
                                             unix_ms now) {
  std::map<std::string, std::string> best;
  for (const auto& [name, host] : hosts) {
    if (!is_alive(host, now) || host.draining)
      continue;
    auto [found, added] = best.try_emplace(host.zone, name);
    const known_entry_host& other = hosts.at(found->second);
    if (!added && host.first_heard_ms < other.first_heard_ms)
      found->second = name;
  }
  std::vector<wire::owner_grant> wanted;
  for (const auto& [zone, name] : best) {
    const wire::owner_grant* grant = find_grant(log, zone);
    if (grant != nullptr && is_kept(*grant, hosts, listening_since_ms, now))
      continue;
    wire::owner_grant next;
    next.set_zone(zone);
    next.set_host(name);
    next.set_incarnation(hosts.at(name).incarnation);
    wanted.push_back(std::move(next));
  }
  return wanted;
}

}  // namespace cyclamenwood
