// Labels name pools, hosts and upstreams of this deployment, so that a page has
// a few dozen lines more for each pool owned here.
#include "cyclamenwood/host_metrics.h"

#include <fmt/format.h>

#include "cyclamenwood/pool_name.h"

namespace cyclamenwood {
namespace {

void show_owners(const intake& callers, unix_ms now, exposition& seen) {
  for (const auto& [name, grant] : callers.grants) {
    seen.set("owner",
             fmt::format("pool=\"{}\",host=\"{}\"", name, grant.host()),
             static_cast<double>(grant.token()));
  }
  for (const auto& [name, known] : callers.pools) {
    seen.set("owner_age_ms", fmt::format("pool=\"{}\"", name),
             static_cast<double>(now - known.last_contact_ms));
  }
}

void show_pool(const pool& pool, exposition& seen) {
  std::string labels = fmt::format("pool=\"{}\"", pool.name);
  seen.set("owner_token", labels, static_cast<double>(pool.token));
  seen.set("pool_jobs", labels, static_cast<double>(pool.jobs.size()));
  seen.set("pool_queued_jobs", labels, static_cast<double>(pool.queue.size()));
  seen.set("pool_runs", labels, static_cast<double>(pool.placed.size()));
  seen.set("pool_upstreams", labels,
           static_cast<double>(pool.upstreams.size()));
  if (pool.token == 0)
    return;
  for (const auto& [id, upstream] : pool.upstreams) {
    std::string of = fmt::format("pool=\"{}\",upstream=\"{}\"", pool.name, id);
    seen.set("upstream_capacity_cpu_milli", of,
             static_cast<double>(upstream.info.capacity().cpu_milli()));
    seen.set("upstream_used_cpu_milli", of,
             static_cast<double>(upstream.used.cpu_milli));
    seen.set("upstream_runs", of, static_cast<double>(upstream.runs.size()));
    seen.set("upstream_reachable", of, upstream.reachable ? 1 : 0);
    seen.set("upstream_on_probation", of, upstream.on_probation ? 1 : 0);
  }
}

}  // namespace

void show_host(const host_entry& state, unix_ms now, exposition& seen) {
  const intake& callers = state.callers;
  seen.set("config_version", "",
           callers.routes ? static_cast<double>(callers.routes->version) : 0);
  seen.set("open_jobs", "", static_cast<double>(callers.jobs.size()));
  seen.set("draining", "", state.draining ? 1 : 0);
  show_owners(callers, now, seen);
  for (const auto& [name, pool] : state.pools)
    show_pool(pool, seen);
}

}  // namespace cyclamenwood
