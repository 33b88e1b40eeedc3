// The queued work of one service. Classes share the dispatches by weight, the
// tenants of a class likewise, and the jobs of a tenant are served in order of
// their deadlines.
//
// The shares are kept by stride scheduling (Waldspurger and Weihl, 1995): each
// flow has a pass value that grows by cost / weight with every dispatched task,
// and the flow with the smallest pass is served next. A flow that was empty
// resumes at the smallest pass of the other flows, so that it earns no credit
// while it is idle.
#ifndef CYCLAMENWOOD_FAIR_QUEUE_H_
#define CYCLAMENWOOD_FAIR_QUEUE_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "cyclamenwood/types.h"

namespace cyclamenwood {

// The queued tasks that one job has for the service, as a single entry.
struct queue_entry {
  unix_ms deadline_ms = 0;
  uint64_t job = 0;
  auto operator<=>(const queue_entry&) const = default;
};

struct tenant_flow {
  double pass = 0;
  std::set<queue_entry> jobs;
};

struct class_flow {
  double pass = 0;
  // Tenants without queued jobs are removed.
  std::map<std::string, tenant_flow, std::less<>> tenants;
};

struct fair_queue {
  std::map<std::string, class_flow, std::less<>> classes;
};

struct queue_pick {
  std::string class_name;
  std::string tenant;
  uint64_t job = 0;
};

void queue_push(fair_queue& queue,
                std::string_view class_name,
                std::string_view tenant,
                const queue_entry& entry);

void queue_remove(fair_queue& queue,
                  std::string_view class_name,
                  std::string_view tenant,
                  const queue_entry& entry);

// Returns the job whose task is to be dispatched next. Tenants for which
// `allowed` returns false are skipped.
std::optional<queue_pick> queue_next(
    const fair_queue& queue,
    const std::function<bool(std::string_view tenant)>& allowed);

// Charges the flows of the pick for one dispatched task.
void queue_charge(fair_queue& queue,
                  const queue_pick& pick,
                  double cost,
                  double class_weight,
                  double tenant_weight);

bool queue_empty(const fair_queue& queue);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_FAIR_QUEUE_H_
