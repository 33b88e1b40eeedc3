// Labels hold the names of pools, hosts and upstreams of this deployment. A
// metrics page therefore has a few dozen more lines for each pool owned here.
#include "cyclamenwood/host_metrics.h"

#include <fmt/format.h>

#include "cyclamenwood/pool_name.h"

namespace cyclamenwood {
namespace {

void write_owner_gauges(const intake& callers,
                        unix_ms now,
                        exposition& metrics) {
  for (const auto& [name, grant] : callers.grants) {
    metrics.set("owner",
                fmt::format("pool=\"{}\",host=\"{}\"", name, grant.host()),
                static_cast<double>(grant.token()));
  }
  for (const auto& [name, known] : callers.pools) {
    metrics.set("owner_age_ms", fmt::format("pool=\"{}\"", name),
                static_cast<double>(now - known.last_contact_ms));
  }
}

void write_pool_gauges(const pool& pool, exposition& metrics) {
  std::string labels = fmt::format("pool=\"{}\"", pool.name);
  metrics.set("owner_token", labels, static_cast<double>(pool.token));
  metrics.set("pool_jobs", labels, static_cast<double>(pool.jobs.size()));
  metrics.set("pool_queued_jobs", labels,
              static_cast<double>(pool.queue.size()));
  metrics.set("pool_runs", labels, static_cast<double>(pool.placed.size()));
  metrics.set("pool_upstreams", labels,
              static_cast<double>(pool.upstreams.size()));
  const reservation_state& reservations = pool.reservations;
  metrics.set("pool_reservations", labels,
              static_cast<double>(reservations.current.size()));
  metrics.set("pool_reserved_tasks", labels,
              static_cast<double>(reservations.made));
  metrics.set("pool_dropped_reservations", labels,
              static_cast<double>(reservations.dropped));
  metrics.set("pool_tasks_held_back", labels,
              static_cast<double>(reservations.tasks_held_back));
  if (pool.token == 0)
    return;
  for (const auto& [id, upstream] : pool.upstreams) {
    std::string upstream_labels =
        fmt::format("pool=\"{}\",upstream=\"{}\"", pool.name, id);
    metrics.set("upstream_capacity_cpu_milli", upstream_labels,
                static_cast<double>(upstream.info.capacity().cpu_milli()));
    metrics.set("upstream_used_cpu_milli", upstream_labels,
                static_cast<double>(upstream.used.cpu_milli));
    metrics.set("upstream_runs", upstream_labels,
                static_cast<double>(upstream.runs.size()));
    metrics.set("upstream_reachable", upstream_labels,
                upstream.reachable ? 1 : 0);
    if (pool.options.learn_speeds)
      metrics.set("upstream_speed", upstream_labels, upstream.speed.speed);
    metrics.set("upstream_on_probation", upstream_labels,
                upstream.on_probation ? 1 : 0);
  }
}

}  // namespace

void write_host_gauges(const host_entry& state,
                       unix_ms now,
                       exposition& metrics) {
  const intake& callers = state.callers;
  metrics.set(
      "config_version", "",
      callers.routes ? static_cast<double>(callers.routes->version) : 0);
  metrics.set("open_jobs", "", static_cast<double>(callers.jobs.size()));
  metrics.set("draining", "", state.draining ? 1 : 0);
  for (const std::string& zone : callers.evacuations.zones)
    metrics.set("evacuated", fmt::format("zone=\"{}\"", zone), 1);
  write_owner_gauges(callers, now, metrics);
  for (const auto& [name, pool] : state.pools)
    write_pool_gauges(pool, metrics);
}

}  // namespace cyclamenwood
