// The slots of an upstream are shared by the entry hosts of its zone. With the
// `shared` policy, the limit of one entry host on one upstream is
//
//   max(fair share, slots - slots used by the others)
//
// The use by the others is estimated from the demand in their digest messages,
// which are sent each second anyway: idle hosts leave all slots to a busy one,
// and busy hosts are limited to their fair share. No further messages are
// needed.
#include "cyclamenwood/router.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <vector>

namespace cyclamenwood {
namespace {

// Share of the slots of another zone's upstream that is left to its own zone.
constexpr double SPILL_RESERVE = 0.25;
constexpr int MAX_SAMPLES = 5;

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
    const upstream_view& upstream = state.upstreams.upstreams.at(id);
    if (upstream.record.zone() != zone ||
        !registry_usable(state.upstreams, upstream, now))
      continue;
    view.usable.push_back(id);
    view.slots += upstream.record.slots();
  }
  for (const auto& [host, holder] : state.upstreams.holders) {
    bool alive = now < holder.last_contact_ms +
                           state.options.membership.vouch_timeout_ms;
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

// Returns the view of a zone. It is recomputed when the registry changed, and
// at least once per tick.
const zone_view& view_zone(entry_state& state,
                           std::string_view service,
                           std::string_view zone,
                           unix_ms now) {
  zone_view& view = state.zone_views[{std::string(service), std::string(zone)}];
  if (now >= view.stale_at_ms || view.revision != state.upstreams.revision)
    view = make_view(state, service, zone, now);
  return view;
}

// Returns how many tasks this entry host may run on the upstream at the same
// time.
double slot_limit(const entry_state& state,
                  const upstream_view& upstream,
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
  double remote_hosts = 0;
  for (const entry_host_settings& host : state.options.entry_hosts)
    remote_hosts += host.zone == upstream.record.zone() ? 0 : 1;
  double spare = slots * (1 - SPILL_RESERVE) - others;
  return std::ceil(std::max(0.0, spare) / std::max(1.0, remote_hosts));
}

// An upstream with a free slot, and the used share of its limit.
struct candidate {
  const upstream_view* upstream = nullptr;
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

// Samples a few random upstreams and returns the less loaded of the first two
// that have a free slot.
std::optional<candidate> sample_upstreams(entry_state& state,
                                          const zone_view& view,
                                          const std::set<std::string>& avoided,
                                          unix_ms now) {
  std::uniform_int_distribution<size_t> any(0, view.usable.size() - 1);
  std::optional<candidate> first;
  for (int i = 0; i < MAX_SAMPLES; ++i) {
    std::optional<candidate> sampled =
        check_free(state, view, view.usable[any(state.random)], avoided, now);
    if (!sampled)
      continue;
    if (first)
      return sampled->load < first->load ? sampled : first;
    first = sampled;
    if (state.options.dispatch.slots == slot_policy::random)
      break;
  }
  return first;
}

const upstream_view* choose_in_zone(entry_state& state,
                                    std::string_view service,
                                    std::string_view zone,
                                    const std::set<std::string>& avoided,
                                    unix_ms now) {
  const zone_view& view = view_zone(state, service, zone, now);
  if (view.usable.empty())
    return nullptr;
  if (std::optional<candidate> sampled =
          sample_upstreams(state, view, avoided, now))
    return sampled->upstream;
  // Few upstreams have a free slot: check all of them, from a random position.
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

const upstream_view* choose_upstream(entry_state& state,
                                     std::string_view service,
                                     const std::set<std::string>& avoided,
                                     unix_ms now) {
  if (const upstream_view* own =
          choose_in_zone(state, service, state.zone, avoided, now))
    return own;
  std::vector<std::string> others;
  for (const std::string& zone : state.options.zones) {
    if (zone != state.zone)
      others.push_back(zone);
  }
  std::shuffle(others.begin(), others.end(), state.random);
  for (const std::string& zone : others) {
    if (const upstream_view* other =
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
