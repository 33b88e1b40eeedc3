// The configuration of a seeded deployment in typed form: it maps jobs to
// services and sets their limits.
//
// The bundle's text is kept as the operator sent it; the adapter that knows its
// format turns it into this table.
#ifndef CYCLAMENWOOD_ROUTE_TABLE_H_
#define CYCLAMENWOOD_ROUTE_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenwood {

// A rule for the jobs with this host and path prefix.
struct route {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;
  int64_t timeout_ms = 0;
  // Added to the target completion time of each job.
  int64_t target_latency_ms = 0;
  // Lower values are served first; 0 is the highest priority.
  uint32_t priority = 0;
  uint32_t max_attempts = 1;
  // The target completion time is this factor times the estimated time of the
  // job's longest chain of dependent steps, plus `target_latency_ms`.
  double slack_factor = 1.0;
  // An external policy selects the upstreams for each step.
  bool needs_external_policy = false;
};

struct route_table {
  uint64_t version = 0;
  std::vector<route> routes;
  std::vector<std::string> services;
};

// Returns the route with this host and the longest matching prefix, or null.
const route* find_route(const route_table& table,
                        std::string_view host,
                        std::string_view path);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_ROUTE_TABLE_H_
