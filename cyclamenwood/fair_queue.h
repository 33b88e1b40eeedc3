// The waiting work of one service: classes share dispatches by weight, the
// tenants of a class by theirs, and a tenant's jobs go by earliest deadline.
//
// Shares are kept by stride scheduling (Waldspurger and Weihl, 1995): each
// flow has a pass that grows by cost / weight with every task dispatched, and
// the flow with the smallest pass is next. A flow that was empty starts at
// the smallest pass of the others, so that idleness saves nothing up.
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

// A job's waiting tasks of the service, as one entry.
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
  // Tenants without waiting jobs are removed.
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

// The job whose task is to be dispatched next. Tenants for which `allowed`
// is false are passed over.
std::optional<queue_pick> queue_next(
    const fair_queue& queue,
    const std::function<bool(std::string_view tenant)>& allowed);

// Accounts one dispatched task of the pick's flows.
void queue_charge(fair_queue& queue,
                  const queue_pick& pick,
                  double cost,
                  double class_weight,
                  double tenant_weight);

bool queue_empty(const fair_queue& queue);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_FAIR_QUEUE_H_
