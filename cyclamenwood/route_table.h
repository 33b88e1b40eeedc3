// The configuration of a seeded deployment in typed form: which job goes to
// which service, and how.
//
// The bundle's text is kept as the operator sent it; whoever knows its format
// turns it into this table.
#ifndef CYCLAMENWOOD_ROUTE_TABLE_H_
#define CYCLAMENWOOD_ROUTE_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenwood {

// Jobs with this host and path prefix.
struct route {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;
  int64_t timeout_ms = 0;
  // Added to the objective of each job.
  int64_t target_latency_ms = 0;
  // 0 goes first.
  uint32_t priority = 0;
  uint32_t max_attempts = 1;
  // The objective is this times the job's longest chain of work.
  double slack_factor = 1.0;
  // An outside policy picks the upstreams for each step.
  bool needs_advice = false;
};

struct route_table {
  uint64_t version = 0;
  std::vector<route> routes;
  std::vector<std::string> services;
};

// The route with the longest matching prefix, or null.
const route* find_route(const route_table& table,
                        std::string_view host,
                        std::string_view path);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_ROUTE_TABLE_H_
