// The slots of an upstream are shared by the entry hosts of its zone. With
// the `shared` policy a host's limit on one upstream is
//
//   max(fair share, slots - what the others use there)
//
// where the others' use is estimated from the demand that they vouch for each
// second: idle hosts leave all slots to the busy one, and busy hosts keep to
// their fair share. No message is spent on it.
#include "cyclamenwood/router.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace cyclamenwood {
namespace {

// Of another zone's upstream, this share of slots is left to its own zone.
constexpr double SPILL_RESERVE = 0.25;

// The load on one zone's upstreams of a service.
struct zone_view {
  std::vector<const known_upstream*> usable;
  int64_t slots = 0;
  // Entry hosts in the zone that are alive, this one not counted.
  int64_t other_hosts = 0;
  // Their demand.
  double other_demand = 0;
};

std::string_view zone_of_host(const entry_state& state, std::string_view host) {
  const entry_host_settings* found = find_entry_host(state.all, host);
  return found == nullptr ? std::string_view() : found->zone;
}

zone_view view_zone(const entry_state& state,
                    std::string_view service,
                    std::string_view zone,
                    unix_ms now) {
  zone_view view;
  auto ids = state.upstreams.by_service.find(service);
  if (ids == state.upstreams.by_service.end())
    return view;
  for (const std::string& id : ids->second) {
    const known_upstream& upstream = state.upstreams.upstreams.at(id);
    if (upstream.record.zone() != zone ||
        !registry_usable(state.upstreams, upstream, now))
      continue;
    view.usable.push_back(&upstream);
    view.slots += upstream.record.slots();
  }
  for (const auto& [host, holder] : state.upstreams.holders) {
    bool alive = now < holder.heard_ms + state.all.membership.vouch_timeout_ms;
    if (!alive || zone_of_host(state, host) != zone)
      continue;
    auto demand = holder.demand.find(service);
    double value = demand == holder.demand.end() ? 0 : demand->second;
    bool counts = !holder.draining || value > 0;
    view.other_hosts += counts ? 1 : 0;
    view.other_demand += value;
  }
  return view;
}

// How many tasks this entry host may run on the upstream at a time.
double slot_limit(const entry_state& state,
                  const known_upstream& upstream,
                  const zone_view& view) {
  double slots = upstream.record.slots();
  if (state.all.dispatch.slots != slot_policy::shared || view.slots == 0)
    return slots;
  double share_of_zone = slots / static_cast<double>(view.slots);
  double others = std::min(slots, view.other_demand * share_of_zone);
  if (upstream.record.zone() == state.zone) {
    double fair = slots / static_cast<double>(view.other_hosts + 1);
    return std::max(std::max(1.0, fair), slots - others);
  }
  double outsiders = 0;
  for (const entry_host_settings& host : state.all.entry_hosts)
    outsiders += host.zone == upstream.record.zone() ? 0 : 1;
  double spare = slots * (1 - SPILL_RESERVE) - others;
  return std::ceil(std::max(0.0, spare) / std::max(1.0, outsiders));
}

struct candidate {
  const known_upstream* upstream = nullptr;
  double load = 0;
};

std::vector<candidate> free_candidates(entry_state& state,
                                       const zone_view& view,
                                       const std::set<std::string>& avoided,
                                       unix_ms now) {
  std::vector<candidate> free;
  for (const known_upstream* upstream : view.usable) {
    const wire::upstream& record = upstream->record;
    if (avoided.contains(record.id()))
      continue;
    const upstream_health& health =
        health_of(state.health, record.id(), record.service(), record.zone(),
                  record.incarnation());
    double limit = slot_limit(state, *upstream, view);
    if (health_allows(health, now) && health.running < limit)
      free.push_back({upstream, health.running / limit});
  }
  return free;
}

const known_upstream* pick(entry_state& state,
                           const std::vector<candidate>& free) {
  if (free.empty())
    return nullptr;
  std::uniform_int_distribution<size_t> any(0, free.size() - 1);
  const candidate& first = free[any(state.random)];
  if (state.all.dispatch.slots == slot_policy::random)
    return first.upstream;
  const candidate& second = free[any(state.random)];
  return second.load < first.load ? second.upstream : first.upstream;
}

const known_upstream* choose_in_zone(entry_state& state,
                                     std::string_view service,
                                     std::string_view zone,
                                     const std::set<std::string>& avoided,
                                     unix_ms now) {
  zone_view view = view_zone(state, service, zone, now);
  return pick(state, free_candidates(state, view, avoided, now));
}

}  // namespace

const known_upstream* choose_upstream(entry_state& state,
                                      std::string_view service,
                                      const std::set<std::string>& avoided,
                                      unix_ms now) {
  if (const known_upstream* own =
          choose_in_zone(state, service, state.zone, avoided, now))
    return own;
  std::vector<std::string> others;
  for (const std::string& zone : state.all.zones) {
    if (zone != state.zone)
      others.push_back(zone);
  }
  std::shuffle(others.begin(), others.end(), state.random);
  for (const std::string& zone : others) {
    if (const known_upstream* other =
            choose_in_zone(state, service, zone, avoided, now))
      return other;
  }
  if (avoided.empty())
    return nullptr;
  return choose_upstream(state, service, {}, now);
}

double expected_slots(const entry_state& state,
                      std::string_view service,
                      unix_ms now) {
  zone_view own = view_zone(state, service, state.zone, now);
  double slots = 0;
  for (const known_upstream* upstream : own.usable) {
    auto health = state.health.upstreams.find(upstream->record.id());
    bool ejected = health != state.health.upstreams.end() &&
                   health->second.ejected_until_ms > now;
    if (!ejected)
      slots += slot_limit(state, *upstream, own);
  }
  if (slots > 0)
    return slots;
  for (const std::string& zone : state.all.zones) {
    if (zone == state.zone)
      continue;
    zone_view view = view_zone(state, service, zone, now);
    for (const known_upstream* upstream : view.usable)
      slots += slot_limit(state, *upstream, view);
  }
  return slots;
}

}  // namespace cyclamenwood
