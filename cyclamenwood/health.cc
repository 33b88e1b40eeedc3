// The failure rate is an exponentially weighted average, so that a few old
// successes do not hide that an upstream has started to fail every attempt.
#include "cyclamenwood/health.h"

#include <algorithm>

namespace cyclamenwood {
namespace {

constexpr double SAMPLE_WEIGHT = 0.2;
constexpr double MAX_PEER_FAILURE_RATE = 0.3;
constexpr int64_t MAX_EJECTION_DOUBLINGS = 4;
constexpr int64_t PERCENT = 100;

bool is_ejected(const upstream_health& health) {
  return health.ejected_until_ms != 0;
}

struct peers_summary {
  double failure_rate = 0;
  int64_t in_zone = 0;
  int64_t ejected_in_zone = 0;
};

// Summarizes the other upstreams of the same service.
peers_summary summarize_peers(const health_table& table,
                              std::string_view id,
                              const upstream_health& health) {
  peers_summary summary;
  double rates = 0;
  int64_t sampled = 0;
  for (const auto& [other_id, other] : table.upstreams) {
    if (other.service != health.service)
      continue;
    if (other.zone == health.zone) {
      ++summary.in_zone;
      summary.ejected_in_zone += is_ejected(other) ? 1 : 0;
    }
    if (other_id == id || other.samples == 0 || is_ejected(other))
      continue;
    rates += other.failure_rate;
    ++sampled;
  }
  // If there is no upstream to compare with, the payload may be at fault.
  summary.failure_rate = sampled == 0 ? 1.0 : rates / sampled;
  return summary;
}

bool should_eject(const health_table& table,
                  std::string_view id,
                  const upstream_health& health) {
  if (health.samples < table.limits.min_samples ||
      health.failure_rate < table.limits.failure_rate)
    return false;
  peers_summary peers = summarize_peers(table, id, health);
  bool below_ceiling = (peers.ejected_in_zone + 1) * PERCENT <=
                       peers.in_zone * table.options.max_ejected_percent;
  return below_ceiling && peers.failure_rate < MAX_PEER_FAILURE_RATE;
}

void eject(const health_table& table, upstream_health& health, unix_ms now) {
  int64_t doublings = std::min(health.ejections, MAX_EJECTION_DOUBLINGS);
  health.ejected_until_ms = now + (table.options.ejection_ms << doublings);
  ++health.ejections;
}

void readmit(upstream_health& health) {
  health.ejected_until_ms = 0;
  health.failure_rate = 0;
  health.samples = 0;
}

}  // namespace

upstream_health& health_of(health_table& table,
                           std::string_view id,
                           std::string_view service,
                           std::string_view zone,
                           uint64_t incarnation) {
  upstream_health& health = table.upstreams[std::string(id)];
  if (health.incarnation != incarnation) {
    int64_t running = health.running;
    health = upstream_health();
    health.running = running;
  }
  health.service = service;
  health.zone = zone;
  health.incarnation = incarnation;
  return health;
}

bool health_allows(const upstream_health& health, unix_ms now) {
  if (!is_ejected(health))
    return true;
  return now >= health.ejected_until_ms && health.running == 0;
}

bool health_record(health_table& table,
                   std::string_view id,
                   attempt_verdict verdict,
                   unix_ms now) {
  auto found = table.upstreams.find(id);
  if (found == table.upstreams.end() || verdict == attempt_verdict::neutral)
    return false;
  upstream_health& health = found->second;
  bool failed = verdict == attempt_verdict::failed;
  bool on_probation = is_ejected(health) && now >= health.ejected_until_ms;
  if (on_probation && !failed) {
    readmit(health);
    return false;
  }
  if (on_probation) {
    eject(table, health, now);
    return true;
  }
  health.failure_rate +=
      SAMPLE_WEIGHT * ((failed ? 1.0 : 0.0) - health.failure_rate);
  ++health.samples;
  if (is_ejected(health) || !should_eject(table, id, health))
    return false;
  eject(table, health, now);
  return true;
}

}  // namespace cyclamenwood
