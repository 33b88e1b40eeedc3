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
#include <optional>
#include <vector>

namespace cyclamenwood {
namespace {

// Of another zone's upstream, this share of slots is left to its own zone.
constexpr double SPILL_RESERVE = 0.25;
constexpr int MAX_DRAWS = 5;

std::string_view zone_of_host(const entry_state& state, std::string_view host) {
  const entry_host_settings* found = find_entry_host(state.options, host);
  return found == nullptr ? std::string_view() : found->zone;
}

zone_view make_view(const entry_state& state,
                    std::string_view service,
                    std::string_view zone,
                    unix_ms now) {
  zone_view view;
  view.revision = state.upstreams.revision;
  view.stale_at_ms = now + TICK_INTERVAL_MS;
  auto ids = state.upstreams.by_service.find(service);
  if (ids == state.upstreams.by_service.end())
    return view;
  for (const std::string& id : ids->second) {
    const known_upstream& upstream = state.upstreams.upstreams.at(id);
    if (upstream.record.zone() != zone ||
        !registry_usable(state.upstreams, upstream, now))
      continue;
    view.usable.push_back(id);
    view.slots += upstream.record.slots();
  }
  for (const auto& [host, holder] : state.upstreams.holders) {
    bool alive =
        now < holder.heard_ms + state.options.membership.vouch_timeout_ms;
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

// The view is made anew when the registry changed, and at least once a tick.
const zone_view& view_zone(entry_state& state,
                           std::string_view service,
                           std::string_view zone,
                           unix_ms now) {
  zone_view& view = state.zone_views[{std::string(service), std::string(zone)}];
  if (now >= view.stale_at_ms || view.revision != state.upstreams.revision)
    view = make_view(state, service, zone, now);
  return view;
}

// How many tasks this entry host may run on the upstream at a time.
double slot_limit(const entry_state& state,
                  const known_upstream& upstream,
                  const zone_view& view) {
  double slots = upstream.record.slots();
  if (state.options.dispatch.slots != slot_policy::shared || view.slots == 0)
    return slots;
  double share_of_zone = slots / static_cast<double>(view.slots);
  double others = std::min(slots, view.other_demand * share_of_zone);
  if (upstream.record.zone() == state.zone) {
    double fair = slots / static_cast<double>(view.other_hosts + 1);
    return std::max(std::max(1.0, fair), slots - others);
  }
  double outsiders = 0;
  for (const entry_host_settings& host : state.options.entry_hosts)
    outsiders += host.zone == upstream.record.zone() ? 0 : 1;
  double spare = slots * (1 - SPILL_RESERVE) - others;
  return std::ceil(std::max(0.0, spare) / std::max(1.0, outsiders));
}

// An upstream with a free slot, and how full it is.
struct candidate {
  const known_upstream* upstream = nullptr;
  double load = 0;
};

std::optional<candidate> check_free(entry_state& state,
                                    const zone_view& view,
                                    const std::string& id,
                                    const std::set<std::string>& avoided,
                                    unix_ms now) {
  auto found = state.upstreams.upstreams.find(id);
  if (found == state.upstreams.upstreams.end() || avoided.contains(id))
    return std::nullopt;
  const wire::upstream& record = found->second.record;
  const upstream_health& health = health_of(
      state.health, id, record.service(), record.zone(), record.incarnation());
  double limit = slot_limit(state, found->second, view);
  if (!health_allows(health, now) ||
      static_cast<double>(health.running) >= limit)
    return std::nullopt;
  return candidate{&found->second, static_cast<double>(health.running) / limit};
}

// Draws a few upstreams and takes the less loaded of the first two that are
// free.
std::optional<candidate> draw(entry_state& state,
                              const zone_view& view,
                              const std::set<std::string>& avoided,
                              unix_ms now) {
  std::uniform_int_distribution<size_t> any(0, view.usable.size() - 1);
  std::optional<candidate> first;
  for (int i = 0; i < MAX_DRAWS; ++i) {
    std::optional<candidate> drawn =
        check_free(state, view, view.usable[any(state.random)], avoided, now);
    if (!drawn)
      continue;
    if (first)
      return drawn->load < first->load ? drawn : first;
    first = drawn;
    if (state.options.dispatch.slots == slot_policy::random)
      break;
  }
  return first;
}

const known_upstream* choose_in_zone(entry_state& state,
                                     std::string_view service,
                                     std::string_view zone,
                                     const std::set<std::string>& avoided,
                                     unix_ms now) {
  const zone_view& view = view_zone(state, service, zone, now);
  if (view.usable.empty())
    return nullptr;
  if (std::optional<candidate> drawn = draw(state, view, avoided, now))
    return drawn->upstream;
  // Nearly full: look at all, from a random place on.
  size_t count = view.usable.size();
  size_t start = state.random() % count;
  for (size_t i = 0; i < count; ++i) {
    std::optional<candidate> free =
        check_free(state, view, view.usable[(start + i) % count], avoided, now);
    if (free)
      return free->upstream;
  }
  return nullptr;
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
  for (const std::string& zone : state.options.zones) {
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

double expected_slots(entry_state& state,
                      std::string_view service,
                      unix_ms now) {
  auto sum = [&](const std::string& zone) {
    const zone_view& view = view_zone(state, service, zone, now);
    double slots = 0;
    for (const std::string& id : view.usable) {
      auto health = state.health.upstreams.find(id);
      bool ejected = health != state.health.upstreams.end() &&
                     health->second.ejected_until_ms > now;
      auto found = state.upstreams.upstreams.find(id);
      if (!ejected && found != state.upstreams.upstreams.end())
        slots += slot_limit(state, found->second, view);
    }
    return slots;
  };
  double slots = sum(state.zone);
  if (slots > 0)
    return slots;
  for (const std::string& zone : state.options.zones)
    slots += zone == state.zone ? 0 : sum(zone);
  return slots;
}

}  // namespace cyclamenwood
